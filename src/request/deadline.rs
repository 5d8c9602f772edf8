//! Deadlines of requests, which are sent to the next hop as the remaining time.

use std::time::Duration;

/// The longest time that a header can ask for.
pub const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// The time by this process's clock at which a request must have ended.
///
/// Clocks of processes differ, so only the remaining time is sent to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// The time by this process's clock.
    pub at: Duration,
}

impl Deadline {
    /// Creates the deadline of a request that arrived now.
    ///
    /// The time is the one that the caller requested, limited to the maximum of the class.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::request::Deadline;
    ///
    /// let second = Duration::from_secs(1);
    /// let deadline = Deadline::new(second, Some(9 * second), 2 * second);
    /// assert_eq!(deadline.at, 3 * second);
    /// ```
    pub fn new(now: Duration, requested: Option<Duration>, max: Duration) -> Self {
        let timeout = requested.map_or(max, |requested| requested.min(max));
        Self { at: now + timeout }
    }

    /// Returns the remaining time, or `None` if it is less than a millisecond.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::request::Deadline;
    ///
    /// let deadline = Deadline { at: Duration::from_millis(10) };
    /// assert_eq!(deadline.remaining(Duration::from_millis(4)), Some(Duration::from_millis(6)));
    /// assert_eq!(deadline.remaining(Duration::from_millis(10)), None);
    /// ```
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        let left = self.at.saturating_sub(now);
        (left >= Duration::from_millis(1)).then_some(left)
    }

    /// Returns the header value for the next hop: whole milliseconds, rounded down.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::request::Deadline;
    ///
    /// let deadline = Deadline { at: Duration::from_micros(10_900) };
    /// assert_eq!(deadline.header(Duration::from_millis(4)).as_deref(), Some("6"));
    /// ```
    pub fn header(&self, now: Duration) -> Option<String> {
        Some(self.remaining(now)?.as_millis().to_string())
    }
}
