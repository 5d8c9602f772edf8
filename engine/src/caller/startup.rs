//! Holds requests that arrive before this VM knows a configuration.
//!
//! When all VMs start at once, for example after a power cut, callers reach them during the first listing of the
//! store, which takes about 0.1 s. A caller that is refused then retries long after the listing has ended, or not
//! at all. So requests wait for the first configuration, but only shortly after the start: a VM that still has none
//! may get none until the store is back, and other VMs serve its callers better.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::StreamExt;

use crate::{catalogue::Config, fleet::SharedFleet};

/// How long after the start requests are held: enough for several listings of a loaded store.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// The maximum number of requests held at once.
const MAX_WAITING: usize = 512;

/// Decides which requests wait for the first configuration; clones share the count.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::caller::startup::StartupWait;
/// use bramleypier_util::clock::Clock;
///
/// let clock = Clock::paused();
/// let startup = StartupWait::new(&clock);
/// assert!(startup.may_wait(clock.now()));
/// clock.advance(Duration::from_secs(1));
/// assert!(!startup.may_wait(clock.now()));
/// ```
#[derive(Clone, Debug)]
pub struct StartupWait {
    /// When requests stop waiting.
    deadline: Duration,
    waiting: Rc<Cell<usize>>,
}

impl StartupWait {
    /// Creates the state when the process starts.
    ///
    /// # Example
    ///
    /// See [`StartupWait`].
    pub fn new(clock: &Clock) -> Self {
        Self {
            deadline: clock.now() + HOLD_TIME,
            waiting: Rc::default(),
        }
    }

    /// Returns whether a request that arrives now may wait for the first configuration.
    ///
    /// # Example
    ///
    /// See [`StartupWait`].
    pub fn may_wait(&self, now: Duration) -> bool {
        now < self.deadline && self.waiting.get() < MAX_WAITING
    }

    /// Returns the configuration, and waits for the first one if the request may wait, but no longer than
    /// the caller's remaining time.
    pub(super) async fn config(
        &self,
        shared_fleet: &SharedFleet,
        clock: &Clock,
        remaining: Option<Duration>,
    ) -> Option<Rc<Config>> {
        let known = shared_fleet.get().config.clone();
        let now = clock.now();
        if known.is_some() || !self.may_wait(now) {
            return known;
        }
        let _slot = WaitSlot::take(&self.waiting);
        let left = self.deadline.saturating_sub(now);
        let left = remaining.map_or(left, |it| it.min(left));
        // A timeout yields `None`, and the request is refused.
        clock
            .timeout(left, first_config(shared_fleet))
            .await
            .ok()
            .flatten()
    }
}

/// Waits for the first configuration.
async fn first_config(shared_fleet: &SharedFleet) -> Option<Rc<Config>> {
    let mut changes = shared_fleet.subscribe();
    loop {
        if let Some(config) = shared_fleet.get().config.clone() {
            return Some(config);
        }
        changes.next().await?;
    }
}

/// One of [`MAX_WAITING`] slots; dropping it frees the slot.
struct WaitSlot(Rc<Cell<usize>>);

impl WaitSlot {
    fn take(waiting: &Rc<Cell<usize>>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting.clone())
    }
}

impl Drop for WaitSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
