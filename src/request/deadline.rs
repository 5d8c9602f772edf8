//! Deadlines, which shrink as time is spent.

use std::time::Duration;

/// The longest deadline that a header can ask for: a day.
pub const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// The reading of this process's clock at which a request's time ends.
///
/// It never travels: what travels is the time that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    /// The reading.
    pub at: Duration,
}

impl Deadline {
    /// Creates the deadline of a request that came in now.
    ///
    /// The time is what the caller asked for, and never longer than the class allows.
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

    /// Returns the time that is left, or nothing once less than a millisecond is.
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

    /// Returns the header for the next hop: whole milliseconds, rounded down.
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
