//! Counts this VM's requests by key between two sync requests to the manager.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use super::record::RequestKey;
use crate::catalogue::ServiceId;

/// Counts requests by service and key; clones share the counts.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::tally::Tally;
///
/// let tally = Tally::default();
/// tally.count("s", 7);
/// tally.count("s", 7);
/// assert_eq!(tally.take(), [("s".to_owned(), vec![(7, 2)])]);
/// assert!(tally.take().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tally(Rc<RefCell<HashMap<ServiceId, HashMap<RequestKey, u32>>>>);

impl Tally {
    /// Counts one request.
    ///
    /// # Example
    ///
    /// See [`Tally`].
    pub fn count(&self, service: &str, key: RequestKey) {
        let mut counts = self.0.borrow_mut();
        if let Some(keys) = counts.get_mut(service) {
            *keys.entry(key).or_default() += 1;
        } else {
            counts.insert(service.to_owned(), [(key, 1)].into());
        }
    }

    /// Returns all counts and resets them.
    ///
    /// # Example
    ///
    /// See [`Tally`].
    pub fn take(&self) -> Vec<(ServiceId, Vec<(RequestKey, u32)>)> {
        let counts = std::mem::take(&mut *self.0.borrow_mut());
        let list = counts
            .into_iter()
            .map(|(name, keys)| (name, keys.into_iter().collect()));
        list.collect()
    }
}
