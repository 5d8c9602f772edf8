//! The boot-time clock, which all processes of a machine share.

use std::time::Duration;

use rustix::time::{self as system, ClockId};

/// Returns the time since the machine's boot; it advances while a process is frozen.
///
/// # Example
///
/// ```
/// use bramleypier_standins::clock;
///
/// assert!(clock::now() <= clock::now());
/// ```
pub fn now() -> Duration {
    let reading = system::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(reading.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Converts a duration to whole milliseconds.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_standins::clock;
///
/// assert_eq!(clock::millis(Duration::from_secs(2)), 2000);
/// ```
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
