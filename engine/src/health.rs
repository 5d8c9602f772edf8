//! Whether the store answers this VM, told by one cheap call every second.
//!
//! A watch that is lost on its way looks like one that has nothing to tell. Whoever watches asks
//! again when the pulse has failed, and makes no calls of its own until it is back.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

type Signal = Shared<oneshot::Receiver<()>>;

/// The state of the pulse; clones share it.
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
    well: Rc<Cell<bool>>,
    failures: Rc<Cell<u64>>,
    /// When the latest call was sent that was answered.
    answered: Rc<Cell<Option<Duration>>>,
    change: Rc<RefCell<(oneshot::Sender<()>, Signal)>>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            well: Rc::new(Cell::new(true)),
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
    /// Takes note of one call's outcome.
    ///
    /// # Example
    ///
    /// See [`Health`].
    pub fn record_outcome(&self, ok: bool) {
        if !ok {
            self.failures.set(self.failures.get() + 1);
        }
        if self.well.replace(ok) != ok {
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
        self.well.get()
    }

    /// Returns how many calls have failed.
    ///
    /// # Example
    ///
    /// See [`Health`].
    pub fn failures(&self) -> u64 {
        self.failures.get()
    }

    /// Takes note of a call that was sent at this time and answered, whoever made it.
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

    /// Returns whether a call was answered that was sent at this time or later.
    ///
    /// # Example
    ///
    /// See [`Health::record_answer`].
    pub fn answered_since(&self, since: Duration) -> bool {
        self.answered.get().is_some_and(|sent| sent >= since)
    }

    /// Waits until the store answers, at once if it does.
    pub async fn well(&self) {
        while !self.is_healthy() {
            self.changed().await;
        }
    }

    /// Waits until the store stops answering, at once if it doesn't.
    pub async fn ill(&self) {
        while self.is_healthy() {
            self.changed().await;
        }
    }

    async fn changed(&self) {
        let signal = self.change.borrow().1.clone();
        // An error is the wake-up: the sender was dropped.
        let _ = signal.await;
    }
}
