//! The watcher role: which VMs watch the platform's service, and the calls that they make.
//!
//! In each failure domain the first [`Timing::count`] eligible members by rendezvous hashing hold a
//! watch each. All other VMs receive the changes from them by [`spread`](crate::spread), so the
//! load on the service grows with the number of failure domains and not with the fleet. A watcher
//! lists the keys when it takes on the role and after every outage, reads the values that are newer
//! than the stored ones, and then waits in a watch. Each further watcher reads later than the one
//! before it, and only what it has not received by then. While the service is down a watcher backs
//! off, with jitter.
//!
//! While the platform answers, a watcher sends a regular heartbeat, an item of its failure domain.
//! A VM that has received no heartbeat for a while lists the keys itself, at a rate that is limited
//! for the whole fleet.

mod message;

use std::time::Duration;

use crate::id::Version;
pub use crate::watcher::message::{Call, Change, Counts, Effect, Event, Listing, Timing};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Subject of the rendezvous hash that selects the watchers.
pub const SUBJECT: &str = "watch";
/// Maximum number of doublings of the back-off.
const MAX_DOUBLINGS: u32 = 16;

/// What the watcher currently does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has no call pending and receives changes from other VMs.
    Idle,
    /// It lists the keys.
    Listing,
    /// It waits for changes.
    Watching,
    /// It waits until this time to list the keys, after a failure or without heartbeats.
    Waiting(Duration),
}

/// A planned or running read.
#[derive(Clone, Copy, Debug)]
struct PlannedRead {
    version: Version,
    at: Duration,
    running: bool,
}

/// The state of one process's watcher role.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::watcher::{Effect, Event, Timing, Watcher};
///
/// let mut watcher = Watcher::new(Timing::default(), 7);
/// let role = Event::Role { rank: Some(0), fleet_size: 3 };
/// assert_eq!(watcher.on(Duration::ZERO, role), [Effect::List]);
/// ```
#[derive(Debug)]
pub struct Watcher {
    timing: Timing,
    random: StdRng,
    rank: Option<usize>,
    fleet_size: usize,
    phase: Phase,
    failures: u32,
    reachable: Option<bool>,
    revision: Version,
    stored: IndexMap<String, Version>,
    planned: IndexMap<String, PlannedRead>,
    own_heartbeat: Duration,
    last_contact: Duration,
    counts: Counts,
}

impl Watcher {
    /// Creates a watcher that doesn't have the role.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::watcher::{Timing, Watcher};
    ///
    /// assert!(!Watcher::new(Timing::default(), 7).is_active());
    /// ```
    pub fn new(timing: Timing, seed: u64) -> Self {
        Self {
            timing,
            random: StdRng::seed_from_u64(seed),
            rank: None,
            fleet_size: 1,
            phase: Phase::Idle,
            failures: 0,
            reachable: None,
            revision: 0,
            stored: IndexMap::new(),
            planned: IndexMap::new(),
            own_heartbeat: Duration::ZERO,
            last_contact: Duration::ZERO,
            counts: Counts::default(),
        }
    }

    /// Processes an event and returns the actions to perform, in order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::watcher::{Event, Timing, Watcher};
    ///
    /// let mut watcher = Watcher::new(Timing::default(), 7);
    /// assert!(watcher.on(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Role { rank, fleet_size } => self.set_role(now, rank, fleet_size, &mut effects),
            Event::Listed(listing) => self.listed(now, listing, &mut effects),
            Event::Watched(listing) => self.watched(now, listing, &mut effects),
            Event::Read(change) => self.read(now, &change, &mut effects),
            Event::Failed(call) => self.failed(now, &call, &mut effects),
            Event::Stored(change) => self.record_stored(change),
            Event::Heartbeat { own } => self.record_heartbeat(now, own),
        }
        effects
    }

    /// Returns whether this VM watches for its failure domain.
    pub fn is_active(&self) -> bool {
        self.rank.is_some()
    }

    /// Returns whether the platform answered the last call; `None` before the first.
    pub fn is_reachable(&self) -> Option<bool> {
        self.reachable
    }

    /// Returns the numbers of calls to the platform since the start.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::watcher::{Timing, Watcher};
    ///
    /// assert_eq!(Watcher::new(Timing::default(), 7).counts().lists, 0);
    /// ```
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes on or gives up the role, depending on the rank.
    fn set_role(
        &mut self,
        now: Duration,
        rank: Option<usize>,
        fleet_size: usize,
        effects: &mut Vec<Effect>,
    ) {
        self.fleet_size = fleet_size.max(1);
        let rank = rank.filter(|rank| *rank < self.timing.count);
        let took_on = rank.is_some() && self.rank.is_none();
        self.rank = rank;
        let can_list = matches!(self.phase, Phase::Idle | Phase::Waiting(_)) && self.failures == 0;
        if took_on && can_list {
            self.list(effects);
        }
        if self.last_contact.is_zero() {
            self.last_contact = now;
        }
    }

    /// Makes the calls that are due and sends a heartbeat if one is.
    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        match self.phase {
            Phase::Waiting(until) if now >= until => self.list(effects),
            Phase::Idle if self.is_contact_lost(now) => self.fall_back(now),
            _ => {}
        }
        self.read_due(now, effects);
        let is_watching = self.rank.is_some() && self.reachable == Some(true);
        if is_watching && now >= self.own_heartbeat + self.timing.mark {
            self.record_heartbeat(now, true);
            effects.push(Effect::Heartbeat);
        }
    }

    /// Returns whether neither a heartbeat nor a response of the platform came for too long.
    fn is_contact_lost(&self, now: Duration) -> bool {
        now >= self.last_contact + self.timing.silence
    }

    /// Plans a list by this VM, after a random delay that keeps the whole fleet within its rate.
    fn fall_back(&mut self, now: Duration) {
        let interval = Duration::from_secs(1) * u32::try_from(self.fleet_size).unwrap_or(u32::MAX)
            / self.timing.fallback.max(1);
        self.phase = Phase::Waiting(now + interval.mul_f64(self.random.random_range(0.5..1.5)));
    }

    /// Requests a list of the keys.
    fn list(&mut self, effects: &mut Vec<Effect>) {
        self.phase = Phase::Listing;
        self.counts.lists += 1;
        effects.push(Effect::List);
    }

    /// Processes a list: detects deleted keys, plans reads and watches for later changes.
    fn listed(&mut self, now: Duration, listing: Listing, effects: &mut Vec<Effect>) {
        let listed: IndexSet<&str> = listing.keys.iter().map(|it| it.key.as_str()).collect();
        let removed: Vec<String> = self
            .stored
            .iter()
            .filter(|(_, version)| **version <= listing.revision)
            .filter(|(key, _)| !listed.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        let removed = removed.into_iter().map(|key| Change { key, version: 0 });
        let keys = listing.keys.into_iter().chain(removed).collect();
        self.changed(now, listing.revision, keys, effects);
        self.watch_next(effects);
    }

    /// Processes the changes of a watch and watches for later ones.
    fn watched(&mut self, now: Duration, listing: Listing, effects: &mut Vec<Effect>) {
        self.changed(now, listing.revision, listing.keys, effects);
        self.watch_next(effects);
    }

    /// Starts the next watch, if this VM is a watcher.
    fn watch_next(&mut self, effects: &mut Vec<Effect>) {
        if self.rank.is_none() {
            self.phase = Phase::Idle;
            return;
        }
        self.phase = Phase::Watching;
        self.counts.watches += 1;
        effects.push(Effect::Watch(self.revision));
    }

    /// Plans reads of the values that are newer than the stored ones, and passes on deletions.
    fn changed(
        &mut self,
        now: Duration,
        revision: Version,
        keys: Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        self.set_reachable(true, effects);
        self.failures = 0;
        self.last_contact = now;
        self.revision = self.revision.max(revision);
        let rank = u32::try_from(self.rank.unwrap_or(0)).unwrap_or(0);
        let at = now + self.timing.stagger * rank;
        for change in keys {
            if change.version == 0 {
                self.remove(change.key, revision, effects);
            } else if self
                .stored
                .get(&change.key)
                .is_none_or(|it| *it < change.version)
            {
                self.plan(change, at);
            }
        }
        self.read_due(now, effects);
    }

    /// Plans a read, unless one of the same or a higher version is planned.
    fn plan(&mut self, change: Change, at: Duration) {
        let due = PlannedRead {
            version: change.version,
            at,
            running: false,
        };
        let planned = self.planned.entry(change.key).or_insert(due);
        if planned.version < change.version {
            *planned = due;
        }
    }

    /// Passes on the deletion of a key that is stored.
    fn remove(&mut self, key: String, revision: Version, effects: &mut Vec<Effect>) {
        self.planned.swap_remove(&key);
        if self.stored.swap_remove(&key).is_some() {
            effects.push(Effect::Removed(Change {
                key,
                version: revision,
            }));
        }
    }

    /// Makes the reads that are due, up to the limit of concurrent ones.
    fn read_due(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let running = self.planned.values().filter(|due| due.running).count();
        let free = self.timing.reads.saturating_sub(running);
        let ready = self
            .planned
            .iter_mut()
            .filter(|(_, due)| !due.running && due.at <= now)
            .take(free);
        for (key, due) in ready {
            due.running = true;
            self.counts.reads += 1;
            effects.push(Effect::Read(Change {
                key: key.clone(),
                version: due.version,
            }));
        }
    }

    /// Processes a completed read; a value older than the change is read again.
    fn read(&mut self, now: Duration, change: &Change, effects: &mut Vec<Effect>) {
        self.set_reachable(true, effects);
        self.failures = 0;
        self.record_stored(change.clone());
        if let Some(due) = self.planned.get_mut(&change.key) {
            due.running = false;
            due.at = now + self.timing.first;
        }
        self.read_due(now, effects);
    }

    /// Records a version that is stored, and drops a planned read that it makes unnecessary.
    fn record_stored(&mut self, change: Change) {
        if self
            .planned
            .get(&change.key)
            .is_some_and(|due| due.version <= change.version)
        {
            self.planned.swap_remove(&change.key);
        }
        let stored = self.stored.entry(change.key).or_default();
        *stored = (*stored).max(change.version);
    }

    /// Processes a failed call and backs off.
    fn failed(&mut self, now: Duration, call: &Call, effects: &mut Vec<Effect>) {
        self.counts.failures += 1;
        self.set_reachable(false, effects);
        let wait = self.back_off();
        match call {
            Call::Read(key) => {
                if let Some(due) = self.planned.get_mut(key) {
                    due.running = false;
                    due.at = now + wait;
                }
            }
            Call::List | Call::Watch if self.rank.is_some() => {
                self.phase = Phase::Waiting(now + wait);
            }
            Call::List | Call::Watch => self.phase = Phase::Idle,
        }
    }

    /// Returns the back-off with jitter, and doubles the next one.
    fn back_off(&mut self) -> Duration {
        let doubled = self.timing.first * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let wait = doubled.min(self.timing.longest);
        wait.mul_f64(self.random.random_range(0.5..1.0))
    }

    /// Records the heartbeat of a watcher.
    fn record_heartbeat(&mut self, now: Duration, own: bool) {
        self.last_contact = now;
        if own {
            self.own_heartbeat = now;
        }
    }

    /// Records whether the platform answers, and reports a change.
    fn set_reachable(&mut self, reachable: bool, effects: &mut Vec<Effect>) {
        if self.reachable.replace(reachable) != Some(reachable) {
            effects.push(Effect::Reachable(reachable));
        }
    }
}
