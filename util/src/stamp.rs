//! Hybrid logical time: close to the wall clock, and never against the order of cause and effect.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A hybrid logical time: 48 bits of milliseconds since 1970, then a count of 16 bits.
pub type Stamp = u64;

/// How many bits of a stamp are the count.
const COUNT_BITS: u32 = 16;
/// How far another process's time may be ahead before it is ignored.
///
/// One wall clock that is set wrong would otherwise pull all processes with it for good.
const AHEAD_MAX: Duration = Duration::from_mins(10);

/// Returns the wall clock's reading since 1970, for [`Hybrid`] only.
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

/// Returns the first stamp of a reading of the wall clock.
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
    millis.min(u64::MAX >> COUNT_BITS) << COUNT_BITS
}

/// Returns a stamp's time since 1970.
///
/// # Example
///
/// ```
/// use bramleypier_util::stamp;
///
/// assert_eq!(stamp::time(3 << 16).as_millis(), 3);
/// ```
pub fn time(stamp: Stamp) -> Duration {
    Duration::from_millis(stamp >> COUNT_BITS)
}

/// Returns a stamp's count within its millisecond.
///
/// # Example
///
/// ```
/// use bramleypier_util::stamp;
///
/// assert_eq!(stamp::count((3 << 16) + 5), 5);
/// ```
pub fn count(stamp: Stamp) -> u64 {
    stamp & ((1 << COUNT_BITS) - 1)
}

/// The hybrid clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Hybrid {
    last: Stamp,
    ignored: u64,
}

impl Hybrid {
    /// Returns a stamp later than all before it: for an event, or a message that is sent.
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
    /// // The wall clock was set back.
    /// assert!(hybrid.tick(Duration::from_secs(1)) > first);
    /// ```
    pub fn tick(&mut self, wall: Duration) -> Stamp {
        let next = self.last.saturating_add(1);
        self.last = next.max(first(wall));
        self.last
    }

    /// Takes the stamp of a message that was received: all later stamps here are above it.
    ///
    /// A stamp that is more than ten minutes ahead of the wall clock is ignored and counted.
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
        if time(theirs) > wall + AHEAD_MAX {
            self.ignored += 1;
            return;
        }
        self.last = self.last.max(theirs);
    }

    /// Returns how many stamps were ignored because they were far ahead.
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
