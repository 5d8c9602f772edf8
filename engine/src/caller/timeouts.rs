//! Decides from the times of a route and its callers how long ago a request was first attempted, and whether it is
//! served past its goal.

use std::{cell::RefCell, rc::Rc, time::Duration};

use indexmap::IndexMap;

/// The number of routes for which a timeout is kept.
const MAX_ROUTES: usize = 4096;

/// From how many goals of time on a late response is worth a slot.
///
/// A queue of requests within their goals takes up to a goal, and late ones are served behind it. With two goals no
/// time is left for that, and with three a whole goal is.
const LATE_FACTOR: f64 = 2.5;

/// Returns whether requests of a route are served past their goal, by how long its callers and the router wait for a
/// response.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::caller::timeouts;
///
/// let ms = Duration::from_millis;
/// assert!(!timeouts::serves_late(ms(800), ms(1600)));
/// assert!(timeouts::serves_late(ms(800), ms(2400)));
/// ```
pub fn serves_late(goal: Duration, timeout: Duration) -> bool {
    timeout >= goal.mul_f64(LATE_FACTOR)
}

/// The longest remaining time that callers have stated, by route; clones share it.
///
/// A caller that retries states what is left of its first timeout. So the difference from the
/// longest value is the time that has passed since its first attempt.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::caller::timeouts::RouteTimeouts;
///
/// let timeouts = RouteTimeouts::default();
/// let ms = Duration::from_millis;
/// assert_eq!(timeouts.elapsed("r", ms(500)), ms(0));
/// assert_eq!(timeouts.elapsed("r", ms(380)), ms(120));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTimeouts(Rc<RefCell<IndexMap<String, Duration>>>);

impl RouteTimeouts {
    /// Records a caller's remaining time, and estimates how long ago its first attempt was.
    ///
    /// # Example
    ///
    /// See [`RouteTimeouts`].
    pub fn elapsed(&self, route: &str, remaining: Duration) -> Duration {
        let mut longest = self.0.borrow_mut();
        if let Some(known) = longest.get_mut(route) {
            *known = remaining.max(*known);
            return known.saturating_sub(remaining);
        }
        if longest.len() >= MAX_ROUTES {
            longest.swap_remove_index(0);
        }
        longest.insert(route.to_owned(), remaining);
        Duration::ZERO
    }
}
