//! Whether this process accepts callers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bramleypier_util::clock::Clock;
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{self, Shared},
};

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Until when the load balancer may send callers.
    pub balanced_until: Duration,
    /// When attempts at targets are given up.
    pub attempts_end: Duration,
}

/// Whether the process accepts callers or is draining; clones share it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::serving::{ServingState, StopTimes};
///
/// let serving = ServingState::default();
/// assert!(serving.attempts_end().is_none());
/// serving.drain(StopTimes {
///     balanced_until: Duration::from_secs(2),
///     attempts_end: Duration::from_secs(5),
/// });
/// assert!(serving.is_draining() && !serving.is_ready());
/// assert_eq!(serving.attempts_end(), Some(Duration::from_secs(5)));
/// ```
#[derive(Clone, Debug)]
pub struct ServingState {
    ready: Rc<Cell<bool>>,
    /// The times of the stop, once the process drains.
    stop: Rc<Cell<Option<StopTimes>>>,
    /// Dropped when draining starts, which completes `draining`.
    serving: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    draining: Shared<oneshot::Receiver<()>>,
}

impl Default for ServingState {
    fn default() -> Self {
        let (serving, draining) = oneshot::channel();
        Self {
            ready: Rc::default(),
            stop: Rc::default(),
            serving: Rc::new(RefCell::new(Some(serving))),
            draining: draining.shared(),
        }
    }
}

impl ServingState {
    /// Sets whether the readiness check succeeds.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns when attempts at targets are given up; `None` unless the process drains.
    pub fn attempts_end(&self) -> Option<Duration> {
        self.stop.get().map(|it| it.attempts_end)
    }

    /// Returns whether a request may be taken now that may last until its deadline.
    ///
    /// Once the load balancer sends no more callers, a stopping process takes only what it surely sees the end of. Others are
    /// better refused, since another VM can serve them: broken off, it wouldn't be known whether they have run.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::serving::{ServingState, StopTimes};
    ///
    /// let second = Duration::from_secs;
    /// let serving = ServingState::default();
    /// assert!(serving.has_time_for(second(3), second(9)));
    /// serving.drain(StopTimes { balanced_until: second(2), attempts_end: second(5) });
    /// assert!(serving.has_time_for(second(1), second(9)));
    /// assert!(serving.has_time_for(second(3), second(5)));
    /// assert!(!serving.has_time_for(second(3), second(6)));
    /// ```
    pub fn has_time_for(&self, now: Duration, deadline: Duration) -> bool {
        self.stop
            .get()
            .is_none_or(|it| now < it.balanced_until || deadline <= it.attempts_end)
    }

    /// Waits until the process drains and attempts at targets have to be given up.
    pub(crate) async fn until_attempts_end(&self, clock: &Clock) {
        // The sender is dropped without a message.
        let _ = self.draining.clone().await;
        match self.attempts_end() {
            Some(end) => clock.sleep(end.saturating_sub(clock.now())).await,
            None => future::pending().await,
        }
    }

    /// Starts draining: the readiness check fails, and each response closes its connection.
    ///
    /// `times` says how long requests are taken and attempts go on.
    pub fn drain(&self, times: StopTimes) {
        self.ready.set(false);
        self.stop.set(Some(times));
        self.serving.borrow_mut().take();
    }
}
