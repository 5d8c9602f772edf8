//! The durations on which exclusive ownership relies.

use std::time::Duration;

/// How long grants and permissions last, and how often they are renewed.
///
/// # Example
///
/// ```
/// use bramleypier::grantor::timing::Timing;
///
/// let timing = Timing::default();
/// assert!(timing.renew * 2 < timing.unresponsive_after);
/// assert!(timing.issuer_span(timing.grant) > timing.grant);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a grant or a sender's lease lasts, counted from the clock reading that it refers to.
    pub grant: Duration,
    /// How often a grant is renewed.
    pub renew: Duration,
    /// After how long without a message a target or a peer counts as unresponsive.
    pub unresponsive_after: Duration,
    /// How long a permission lasts, counted from when it was requested. A grantor's own read of the
    /// record lasts as long, counted from when it was sent.
    pub permission: Duration,
    /// How often a permission is requested, and how often the record is read while permissions are
    /// missing.
    pub permission_renew: Duration,
    /// How long a target that has never answered may take to start.
    pub start_timeout: Duration,
    /// How much longer a grantor that receives nothing from any other waits before it replaces one.
    pub isolated_wait: Duration,
    /// How long a grantor doesn't name a replaced grantor again.
    pub exclusion: Duration,
    /// How long requests in flight to a target that doesn't check grants may take to end during a
    /// planned move.
    pub drain: Duration,
    /// How long a grantor waits for each higher-ranked one to make a write first.
    pub rank_delay: Duration,
    /// The retry interval of writes: a write with an unknown outcome is retried after one interval, a
    /// write without any answer after several.
    pub retry: Duration,
    /// The largest relative difference in rate between two clocks.
    pub drift: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            grant: Duration::from_secs(1),
            renew: Duration::from_millis(250),
            unresponsive_after: Duration::from_millis(700),
            permission: Duration::from_millis(700),
            permission_renew: Duration::from_millis(200),
            start_timeout: Duration::from_secs(6),
            isolated_wait: Duration::from_secs(2),
            exclusion: Duration::from_secs(30),
            drain: Duration::from_secs(5),
            rank_delay: Duration::from_millis(300),
            retry: Duration::from_millis(200),
            drift: 0.02,
        }
    }
}

impl Timing {
    /// Returns the span as the issuer of a grant or permission counts it: never shorter than the
    /// holder's.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grantor::timing::Timing;
    ///
    /// let timing = Timing::default();
    /// assert!(timing.issuer_span(timing.permission) > timing.permission);
    /// ```
    pub fn issuer_span(&self, span: Duration) -> Duration {
        span.mul_f64(1.0 + self.drift)
    }

    /// Returns the span as the holder of a grant or permission counts it: never longer than the
    /// issuer's.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grantor::timing::Timing;
    ///
    /// let timing = Timing::default();
    /// assert!(timing.holder_span(timing.permission) < timing.permission);
    /// ```
    pub fn holder_span(&self, span: Duration) -> Duration {
        span.mul_f64(1.0 - self.drift)
    }
}
