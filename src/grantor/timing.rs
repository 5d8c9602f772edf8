//! The spans of time on which ownership rests, in one place.

use std::time::Duration;

/// How long promises last and how often they are renewed.
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
    /// How long a grant, or a sender's lease, lasts from the reading it is counted from.
    pub grant: Duration,
    /// How often a grant is renewed.
    pub renew: Duration,
    /// After how much silence a target or a peer counts as not heard.
    pub unresponsive_after: Duration,
    /// How long a word lasts, counted from when it was asked for; and an own read of the record,
    /// counted from when it was sent.
    pub permission: Duration,
    /// How often a word is asked for, and, for want of words, the record read.
    pub permission_renew: Duration,
    /// How long a target that was never heard may take to start.
    pub start_timeout: Duration,
    /// How long a grantor that hears no other leaves it to the others to replace someone.
    pub isolated_wait: Duration,
    /// How long a replaced grantor is not named again by the one that replaced it.
    pub exclusion: Duration,
    /// How long what is in flight to an unchecked target may run on after a planned move.
    pub drain: Duration,
    /// How long a lower-ranked grantor leaves a write to a higher-ranked one.
    pub rank_delay: Duration,
    /// How long a write without an answer waits before it is sent again.
    pub retry: Duration,
    /// The share by which one clock may run ahead of another.
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
    /// Returns the span as its giver counts it: never shorter than its holder does.
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

    /// Returns the span as its holder counts it: never longer than its giver does.
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
