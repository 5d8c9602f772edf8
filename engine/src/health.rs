//! Tracks whether calls to the store, or to the manager, are answered.
//!
//! One cheap call a second checks the store: a watch whose response is lost looks like one without changes. So a
//! failed check ends the watch, and no further call is made until the check succeeds again.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

type Signal = Shared<oneshot::Receiver<()>>;

/// Whether calls to one peer are answered; clones share the state.
///
/// # Example
///
/// ```
/// use bramleypier_engine::health::Health;
///
/// let health = Health::default();
/// assert!(health.is_healthy());
/// health.record_outcome(false);
/// assert!(!health.is_healthy());
/// health.record_outcome(true);
/// assert_eq!(health.failures(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Health {
    healthy: Rc<Cell<bool>>,
    failures: Rc<Cell<u64>>,
    /// When the most recent answered call was sent.
    answered: Rc<Cell<Option<Duration>>>,
    change: Rc<RefCell<(oneshot::Sender<()>, Signal)>>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            healthy: Rc::new(Cell::new(true)),
            failures: Rc::default(),
            answered: Rc::default(),
            change: Rc::new(RefCell::new(signal())),
        }
    }
}

fn signal() -> (oneshot::Sender<()>, Signal) {
    let (sender, receiver) = oneshot::channel();
    (sender, receiver.shared())
}

impl Health {
    /// Records whether a call was answered.
    ///
    /// # Example
    ///
    /// See [`Health`].
    pub fn record_outcome(&self, ok: bool) {
        if !ok {
            self.failures.set(self.failures.get() + 1);
        }
        if self.healthy.replace(ok) != ok {
            // The receivers wake when the sender is dropped.
            drop(self.change.replace(signal()));
        }
    }

    /// Returns whether the last call was answered.
    ///
    /// # Example
    ///
    /// See [`Health`].
    pub fn is_healthy(&self) -> bool {
        self.healthy.get()
    }

    /// Returns how many calls have failed.
    ///
    /// # Example
    ///
    /// See [`Health`].
    pub fn failures(&self) -> u64 {
        self.failures.get()
    }

    /// Records that a call sent at this time, by any task, was answered.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::health::Health;
    ///
    /// let second = Duration::from_secs(1);
    /// let health = Health::default();
    /// health.record_answer(second);
    /// assert!(health.answered_since(second));
    /// assert!(!health.answered_since(2 * second));
    /// ```
    pub fn record_answer(&self, sent: Duration) {
        self.answered.set(self.answered.get().max(Some(sent)));
    }

    /// Returns whether a call sent at this time or later was answered.
    ///
    /// # Example
    ///
    /// See [`Health::record_answer`].
    pub fn answered_since(&self, since: Duration) -> bool {
        self.answered.get().is_some_and(|sent| sent >= since)
    }

    /// Waits until calls are answered; returns at once if they are.
    pub async fn wait_healthy(&self) {
        while !self.is_healthy() {
            self.changed().await;
        }
    }

    /// Waits until calls are not answered; returns at once if they aren't.
    pub async fn wait_unhealthy(&self) {
        while self.is_healthy() {
            self.changed().await;
        }
    }

    async fn changed(&self) {
        let signal = self.change.borrow().1.clone();
        // The sender is dropped without a message, so the result is always an error.
        let _ = signal.await;
    }
}
