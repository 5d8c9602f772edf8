//! How long callers of a route wait at the most, learned from what they say.

use std::{cell::RefCell, rc::Rc, time::Duration};

use indexmap::IndexMap;

/// How many routes are remembered.
const ROUTES: usize = 4096;

/// The longest wait that callers told, by route; clones share it.
///
/// A caller that tries again tells what is left of its first wait, so what is missing to the
/// longest is the time that has passed since its first try.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::caller::timeouts::RouteTimeouts;
///
/// let patience = RouteTimeouts::default();
/// let ms = Duration::from_millis;
/// assert_eq!(patience.passed("r", ms(500)), ms(0));
/// assert_eq!(patience.passed("r", ms(380)), ms(120));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTimeouts(Rc<RefCell<IndexMap<String, Duration>>>);

impl RouteTimeouts {
    /// Takes a caller's wait in, and returns how long ago it probably tried first.
    ///
    /// # Example
    ///
    /// See [`RouteTimeouts`].
    pub fn passed(&self, route: &str, wait: Duration) -> Duration {
        let mut longest = self.0.borrow_mut();
        if let Some(known) = longest.get_mut(route) {
            *known = wait.max(*known);
            return known.saturating_sub(wait);
        }
        if longest.len() >= ROUTES {
            longest.swap_remove_index(0);
        }
        longest.insert(route.to_owned(), wait);
        Duration::ZERO
    }
}
