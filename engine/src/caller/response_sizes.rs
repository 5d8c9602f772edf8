//! Estimates which routes' responses are large, since traffic between failure domains costs money.

use std::{cell::RefCell, rc::Rc};

use indexmap::IndexMap;

/// The number of routes for which a size is kept.
const MAX_ROUTES: usize = 4096;
/// The weight of the latest response in the mean.
const LATEST_WEIGHT: f64 = 0.05;
/// The mean size from which responses are large, in bytes; a head and the request take some 0.5 KB.
const MIN_LARGE_BYTES: f64 = 4096.0;

/// The mean size of the responses of each route, in bytes; clones share it.
///
/// # Example
///
/// ```
/// use bramleypier_engine::caller::response_sizes::ResponseSizes;
///
/// let sizes = ResponseSizes::default();
/// assert!(!sizes.are_large("r"), "nothing is known");
/// sizes.record("r", 20_000);
/// assert!(sizes.are_large("r"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes(Rc<RefCell<IndexMap<String, f64>>>);

impl ResponseSizes {
    /// Records the size of a response, in bytes.
    ///
    /// # Example
    ///
    /// See [`ResponseSizes`].
    #[allow(clippy::cast_precision_loss, reason = "a body is far below 2^52 bytes")]
    pub fn record(&self, route: &str, bytes: u64) {
        let mut means = self.0.borrow_mut();
        if let Some(mean) = means.get_mut(route) {
            *mean += (bytes as f64 - *mean) * LATEST_WEIGHT;
            return;
        }
        if means.len() >= MAX_ROUTES {
            means.swap_remove_index(0);
        }
        means.insert(route.to_owned(), bytes as f64);
    }

    /// Returns whether a route's responses are large in the mean; false before the first one.
    ///
    /// # Example
    ///
    /// See [`ResponseSizes`].
    pub fn are_large(&self, route: &str) -> bool {
        let means = self.0.borrow();
        means
            .get(route)
            .is_some_and(|mean| *mean >= MIN_LARGE_BYTES)
    }
}
