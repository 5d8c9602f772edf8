//! A hybrid logical clock, whose timestamps order events of several processes.
//!
//! Timestamps are close to the wall clock. An event's timestamp is greater than that of each event that
//! could have caused it, also when the wall clocks of the processes differ.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A timestamp of a hybrid logical clock: 48 bits of milliseconds since 1970, then a 16-bit counter.
pub type Stamp = u64;

/// The number of a timestamp's low bits that are the counter.
const COUNTER_BITS: u32 = 16;
/// The largest difference by which another process's timestamp may be ahead of the wall clock.
///
/// Without it, one wrong wall clock would advance the clocks of all processes permanently.
const MAX_AHEAD: Duration = Duration::from_mins(10);

/// Returns the wall clock's time since 1970; only for use with [`Hybrid`].
///
/// # Example
///
/// ```
/// use bramleypier_util::stamp;
///
/// assert!(stamp::wall().as_secs() > 0);
/// ```
pub fn wall() -> Duration {
    let now = SystemTime::now();
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns the lowest timestamp of a wall clock time.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_util::stamp;
///
/// let time = Duration::from_millis(7);
/// assert_eq!(stamp::time(stamp::first(time)), time);
/// ```
pub fn first(wall: Duration) -> Stamp {
    let millis = u64::try_from(wall.as_millis()).unwrap_or(u64::MAX);
    millis.min(u64::MAX >> COUNTER_BITS) << COUNTER_BITS
}

/// Returns the time since 1970 of a timestamp.
///
/// # Example
///
/// ```
/// use bramleypier_util::stamp;
///
/// assert_eq!(stamp::time(3 << 16).as_millis(), 3);
/// ```
pub fn time(stamp: Stamp) -> Duration {
    Duration::from_millis(stamp >> COUNTER_BITS)
}

/// Returns a timestamp's counter within its millisecond.
///
/// # Example
///
/// ```
/// use bramleypier_util::stamp;
///
/// assert_eq!(stamp::count((3 << 16) + 5), 5);
/// ```
pub fn count(stamp: Stamp) -> u64 {
    stamp & ((1 << COUNTER_BITS) - 1)
}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Hybrid {
    last: Stamp,
    ignored: u64,
}

impl Hybrid {
    /// Returns a timestamp greater than all earlier ones, for a local event or a message to be sent.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_util::stamp::Hybrid;
    ///
    /// let mut hybrid = Hybrid::default();
    /// let first = hybrid.tick(Duration::from_secs(9));
    /// // The wall clock has been set back.
    /// assert!(hybrid.tick(Duration::from_secs(1)) > first);
    /// ```
    pub fn tick(&mut self, wall: Duration) -> Stamp {
        let next = self.last.saturating_add(1);
        self.last = next.max(first(wall));
        self.last
    }

    /// Merges the timestamp of a received message: all later timestamps of this clock are greater.
    ///
    /// A timestamp that is more than ten minutes ahead of the wall clock is ignored and counted.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_util::stamp::{self, Hybrid};
    ///
    /// let mut hybrid = Hybrid::default();
    /// let theirs = stamp::first(Duration::from_secs(5));
    /// hybrid.merge(Duration::from_secs(1), theirs);
    /// assert!(hybrid.tick(Duration::from_secs(1)) > theirs);
    /// ```
    pub fn merge(&mut self, wall: Duration, theirs: Stamp) {
        if time(theirs) > wall + MAX_AHEAD {
            self.ignored += 1;
            return;
        }
        self.last = self.last.max(theirs);
    }

    /// Returns how many timestamps were ignored because they were too far ahead of the wall clock.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_util::stamp::Hybrid;
    ///
    /// let mut hybrid = Hybrid::default();
    /// hybrid.merge(Duration::ZERO, u64::MAX);
    /// assert_eq!(hybrid.ignored(), 1);
    /// ```
    pub fn ignored(&self) -> u64 {
        self.ignored
    }
}
