//! Decides when a server's connection has taken too long to send its next request; free of I/O.

use std::time::Duration;

use crate::server::ConnectionLimits;

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte of a request has arrived since the last response.
    Idle,
    /// The head of a request has arrived in part.
    Head,
    /// A request is being handled.
    Handling,
}

/// Tracks a connection's stage and the deadline for its next request.
///
/// The deadline is the idle timeout until the first byte of a request, and the head timeout from there until the
/// head is complete. While a request is being handled there is none.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_util::{timer::ConnectionTimer, server::ConnectionLimits};
///
/// let ms = Duration::from_millis;
/// let limits = ConnectionLimits {
///     head_time: ms(300),
///     idle_time: ms(900),
///     ..ConnectionLimits::default()
/// };
/// let mut timer = ConnectionTimer::new(limits, ms(0));
/// assert_eq!(timer.deadline(), Some(ms(900)));
/// timer.on_read(ms(500));
/// timer.on_read(ms(700));
/// assert_eq!(timer.deadline(), Some(ms(800)), "further bytes do not extend the head timeout");
/// timer.on_request();
/// assert_eq!(timer.deadline(), None);
/// timer.on_response(ms(2000));
/// assert_eq!(timer.deadline(), Some(ms(2900)));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionTimer {
    limits: ConnectionLimits,
    stage: Stage,
    since: Duration,
}

impl ConnectionTimer {
    /// Creates the timer of a connection that is opened at `now`.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn new(limits: ConnectionLimits, now: Duration) -> Self {
        Self {
            limits,
            stage: Stage::Idle,
            since: now,
        }
    }

    /// Records that bytes were received.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_read(&mut self, now: Duration) {
        if self.stage == Stage::Idle {
            (self.stage, self.since) = (Stage::Head, now);
        }
    }

    /// Records that the head of a request is complete.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_request(&mut self) {
        self.stage = Stage::Handling;
    }

    /// Records that the response starts.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_response(&mut self, now: Duration) {
        (self.stage, self.since) = (Stage::Idle, now);
    }

    /// Records that bytes of a response were sent: a connection that sends a long response isn't idle.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn on_write(&mut self, now: Duration) {
        if self.stage == Stage::Idle {
            self.since = now;
        }
    }

    /// Returns whether no byte of a request has arrived since the last response.
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

    /// Returns the time at which the connection must be closed; none while a request is being handled.
    ///
    /// # Example
    ///
    /// See [`ConnectionTimer`].
    pub fn deadline(&self) -> Option<Duration> {
        match self.stage {
            Stage::Idle => Some(self.since + self.limits.idle_time),
            Stage::Head => Some(self.since + self.limits.head_time),
            Stage::Handling => None,
        }
    }
}
