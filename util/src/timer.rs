//! How long a caller's connection may take over its next request; free of I/O.

use std::time::Duration;

use crate::server::ConnectionLimits;

/// What a connection's peer is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing of a request has come since the last answer.
    Idle,
    /// A head has begun and has not come whole.
    Head,
    /// A request is being answered.
    Busy,
}

/// A connection's stage, and since when.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_util::{timer::ConnectionTimer, server::ConnectionLimits};
///
/// let ms = Duration::from_millis;
/// let bounds = ConnectionLimits {
///     head_time: ms(300),
///     idle_time: ms(900),
///     ..ConnectionLimits::default()
/// };
/// let mut pace = ConnectionTimer::new(bounds, ms(0));
/// assert_eq!(pace.due(), Some(ms(900)));
/// pace.on_read(ms(500));
/// pace.on_read(ms(700));
/// assert_eq!(pace.due(), Some(ms(800)), "slow pieces gain a head no time");
/// pace.on_request();
/// assert_eq!(pace.due(), None);
/// pace.on_answer(ms(2000));
/// assert_eq!(pace.due(), Some(ms(2900)));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionTimer {
    bounds: ConnectionLimits,
    stage: Stage,
    since: Duration,
}

impl ConnectionTimer {
    /// Creates the pace of a connection that opens now.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn new(bounds: ConnectionLimits, now: Duration) -> Self {
        Self {
            bounds,
            stage: Stage::Idle,
            since: now,
        }
    }

    /// Takes note that bytes came.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_read(&mut self, now: Duration) {
        if self.stage == Stage::Idle {
            (self.stage, self.since) = (Stage::Head, now);
        }
    }

    /// Takes note that a head has come whole.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_request(&mut self) {
        self.stage = Stage::Busy;
    }

    /// Takes note that the answer begins.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_answer(&mut self, now: Duration) {
        (self.stage, self.since) = (Stage::Idle, now);
    }

    /// Takes note that bytes of an answer left: a long answer isn't idle.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_write(&mut self, now: Duration) {
        if self.stage == Stage::Idle {
            self.since = now;
        }
    }

    /// Returns whether nothing of a request has come since the last answer.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_util::{timer::ConnectionTimer, server::ConnectionLimits};
    ///
    /// assert!(ConnectionTimer::new(ConnectionLimits::default(), Duration::ZERO).is_idle());
    /// ```
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle
    }

    /// Returns when the connection's time is over; none while a request is being answered.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn due(&self) -> Option<Duration> {
        match self.stage {
            Stage::Idle => Some(self.since + self.bounds.idle_time),
            Stage::Head => Some(self.since + self.bounds.head_time),
            Stage::Busy => None,
        }
    }
}
