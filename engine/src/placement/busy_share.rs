//! The share of time in which a target's capacity is used by requests that can still meet their goals.

use std::time::Duration;

/// The time over which the share is averaged, in seconds: longer than a few sync exchanges, shorter than most overloads.
const WINDOW_SECS: f64 = 1.0;

/// The moving average of how often more requests within their goals are queued for a target than it has room for.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::busy_share::BusyShare;
///
/// let ms = Duration::from_millis;
/// let mut share = BusyShare::default();
/// share.record(ms(0), true);
/// share.record(ms(100), true);
/// assert!(share.value() > 0.05 && share.value() < 0.15);
/// share.record(ms(5000), false);
/// assert!(share.value() > 0.99, "it was busy all the time");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BusyShare {
    share: f64,
    /// The latest state and when it was reported.
    last: Option<(Duration, bool)>,
}

impl BusyShare {
    /// Records whether the target is busy from now on.
    ///
    /// # Example
    ///
    /// See [`BusyShare`].
    pub fn record(&mut self, now: Duration, busy: bool) {
        if let Some((at, before)) = self.last {
            let elapsed = now.saturating_sub(at).as_secs_f64();
            let weight = 1.0 - (-elapsed / WINDOW_SECS).exp();
            self.share += (f64::from(u8::from(before)) - self.share) * weight;
        }
        self.last = Some((now, busy));
    }

    /// Returns the share, from 0 to 1.
    ///
    /// # Example
    ///
    /// See [`BusyShare`].
    pub fn value(&self) -> f64 {
        self.share
    }
}
