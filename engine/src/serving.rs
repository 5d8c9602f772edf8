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

/// Whether the process accepts callers or is draining; clones share it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::serving::ServingState;
///
/// let serving = ServingState::default();
/// assert!(serving.attempts_end().is_none());
/// serving.drain(Duration::from_secs(5));
/// assert!(serving.is_draining() && !serving.is_ready());
/// assert_eq!(serving.attempts_end(), Some(Duration::from_secs(5)));
/// ```
#[derive(Clone, Debug)]
pub struct ServingState {
    ready: Rc<Cell<bool>>,
    /// When attempts at targets are given up, once the process drains.
    attempts_end: Rc<Cell<Option<Duration>>>,
    /// Dropped when draining starts, which completes `draining`.
    serving: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    draining: Shared<oneshot::Receiver<()>>,
}

impl Default for ServingState {
    fn default() -> Self {
        let (serving, draining) = oneshot::channel();
        Self {
            ready: Rc::default(),
            attempts_end: Rc::default(),
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
        self.attempts_end.get().is_some()
    }

    /// Returns when attempts at targets are given up; `None` unless the process drains.
    pub fn attempts_end(&self) -> Option<Duration> {
        self.attempts_end.get()
    }

    /// Waits until the process drains and attempts at targets have to be given up.
    pub(crate) async fn until_attempts_end(&self, clock: &Clock) {
        // The sender is dropped without a message.
        let _ = self.draining.clone().await;
        match self.attempts_end.get() {
            Some(end) => clock.sleep(end.saturating_sub(clock.now())).await,
            None => future::pending().await,
        }
    }

    /// Starts draining: the readiness check fails, and each response closes its connection.
    ///
    /// Attempts at targets are given up at `attempts_end`.
    pub fn drain(&self, attempts_end: Duration) {
        self.ready.set(false);
        self.attempts_end.set(Some(attempts_end));
        self.serving.borrow_mut().take();
    }
}
