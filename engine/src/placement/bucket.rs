//! The token bucket from which the manager grants requests to a rate-limited target.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests are far below 2^31 and never negative"
)]

use std::time::Duration;

use super::rates;
use crate::catalogue::Rate;

/// How many requests may be sent at once after an idle period, in addition to those of [`MAX_ACCRUAL`].
const BURST: f64 = 2.0;
/// How long tokens accrue: a VM may take this long between two sync exchanges.
const MAX_ACCRUAL: Duration = Duration::from_millis(250);

/// A token bucket: how many requests all VMs together may send now to a rate-limited target.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::bucket::TokenBucket;
///
/// let mut bucket = TokenBucket::new(Duration::ZERO);
/// assert_eq!(bucket.available(Duration::ZERO, 2.0), 0);
/// assert_eq!(bucket.wait_time(2.0), Duration::from_millis(500));
/// assert_eq!(bucket.available(Duration::from_millis(500), 2.0), 1);
/// bucket.take(1);
/// assert_eq!(bucket.available(Duration::from_secs(60), 2.0), 2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket.
    ///
    /// # Example
    ///
    /// See [`TokenBucket`].
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns how many requests may be sent now.
    ///
    /// # Example
    ///
    /// See [`TokenBucket`].
    pub fn available(&mut self, now: Duration, rate: Rate) -> u32 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let rate = rates::effective_rate(rate);
        let capacity = BURST + rate * MAX_ACCRUAL.as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.tokens as u32
    }

    /// Takes the tokens of requests that have been granted.
    ///
    /// # Example
    ///
    /// See [`TokenBucket`].
    pub fn take(&mut self, count: u32) {
        self.tokens -= f64::from(count);
    }

    /// Returns the minimum time until one more request may be sent.
    ///
    /// # Example
    ///
    /// See [`TokenBucket`].
    pub fn wait_time(&self, rate: Rate) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / rates::effective_rate(rate))
    }
}
