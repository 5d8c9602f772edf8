//! Requests that come before this VM knows a configuration.
//!
//! Load pattern: all VMs get power back at once. Callers who have waited reach them in the tenth of a second in
//! which the first listing of the store is under way, and who is refused then comes back when it is long over, or
//! not at all. So they wait for it, but only just after the start: a VM that has had no configuration for longer
//! may have none for as long as the store is away, and its callers are better served by others.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::StreamExt;

use crate::{catalogue::Config, fleet::SharedFleet};

/// How long after the start requests wait: some listings of the store under load.
const START: Duration = Duration::from_millis(500);
/// How many requests wait at the most.
const WAITING_MOST: usize = 512;

/// Requests that wait for the first configuration; clones share it.
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
/// let early = StartupWait::new(&clock);
/// assert!(early.may_wait(clock.now()));
/// clock.advance(Duration::from_secs(1));
/// assert!(!early.may_wait(clock.now()));
/// ```
#[derive(Clone, Debug)]
pub struct StartupWait {
    /// Until when requests wait.
    until: Duration,
    waiting: Rc<Cell<usize>>,
}

impl StartupWait {
    /// Begins with a process's start.
    ///
    /// # Example
    ///
    /// See [`StartupWait`].
    pub fn new(clock: &Clock) -> Self {
        Self {
            until: clock.now() + START,
            waiting: Rc::default(),
        }
    }

    /// Returns whether a request that comes now waits for the first configuration.
    ///
    /// # Example
    ///
    /// See [`StartupWait`].
    pub fn may_wait(&self, now: Duration) -> bool {
        now < self.until && self.waiting.get() < WAITING_MOST
    }

    /// Returns the configuration, waiting for the first one as long as that is worth while and no longer than
    /// the caller waits.
    pub(super) async fn config(
        &self,
        shared_fleet: &SharedFleet,
        clock: &Clock,
        patience: Option<Duration>,
    ) -> Option<Rc<Config>> {
        let known = shared_fleet.get().config.clone();
        let now = clock.now();
        if known.is_some() || !self.may_wait(now) {
            return known;
        }
        let _place = Place::take(&self.waiting);
        let left = self.until.saturating_sub(now);
        let left = patience.map_or(left, |it| it.min(left));
        // Whoever has waited in vain is refused.
        clock
            .timeout(left, first(shared_fleet))
            .await
            .ok()
            .flatten()
    }
}

/// Waits for the first configuration.
async fn first(shared_fleet: &SharedFleet) -> Option<Rc<Config>> {
    let mut changes = shared_fleet.subscribe();
    loop {
        if let Some(config) = shared_fleet.get().config.clone() {
            return Some(config);
        }
        changes.next().await?;
    }
}

/// A place among those that wait.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(waiting: &Rc<Cell<usize>>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
