//! The duty to watch the platform's service, and what is asked of it.
//!
//! In each failure domain the first [`Timing::count`] duty members by rendezvous hashing hold a
//! watch each; everyone else learns from them by spread, so the service's load grows with the
//! failure domains and not with the fleet. A watcher lists the keys when it takes the duty up and
//! after every outage, reads the values that are newer than those held, and then waits in a watch.
//! The second and third watcher read later than the first, and only what spread has not brought
//! by then. While the service is down a watcher backs off, with jitter.
//!
//! A watcher that hears from the platform says so from time to time, by an item of its failure
//! domain. A VM that has heard of no such item for a while lists the keys itself, at a rate that
//! the whole fleet shares.

mod message;

use std::time::Duration;

use crate::id::Version;
pub use crate::watcher::message::{Call, Change, Counts, Effect, Event, Listing, Timing};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Subject of the rendezvous hash that chooses watchers.
pub const SUBJECT: &str = "watch";
/// Doublings of the back-off at most.
const MOST_DOUBLINGS: u32 = 16;

/// What the watcher is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has no duty and waits for news by spread.
    Idle,
    /// It lists the keys.
    Listing,
    /// It waits for changes.
    Watching,
    /// It waits after a failure.
    Waiting(Duration),
}

/// A read to be made.
#[derive(Clone, Copy, Debug)]
struct Due {
    version: Version,
    at: Duration,
    running: bool,
}

/// One process's part in the duty.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::watcher::{Effect, Event, Timing, Watcher};
///
/// let mut watcher = Watcher::new(Timing::default(), 7);
/// let duty = Event::Role { rank: Some(0), fleet_size: 3 };
/// assert_eq!(watcher.on(Duration::ZERO, duty), [Effect::List]);
/// ```
#[derive(Debug)]
pub struct Watcher {
    timing: Timing,
    random: StdRng,
    place: Option<usize>,
    size: usize,
    phase: Phase,
    failures: u32,
    reached: Option<bool>,
    revision: Version,
    held: IndexMap<String, Version>,
    due: IndexMap<String, Due>,
    marked: Duration,
    heard: Duration,
    counts: Counts,
}

impl Watcher {
    /// Creates a watcher without a duty.
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
            place: None,
            size: 1,
            phase: Phase::Idle,
            failures: 0,
            reached: None,
            revision: 0,
            held: IndexMap::new(),
            due: IndexMap::new(),
            marked: Duration::ZERO,
            heard: Duration::ZERO,
            counts: Counts::default(),
        }
    }

    /// Takes an event in and returns what is to be done, in order.
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
            Event::Role { rank, fleet_size } => self.duty(now, rank, fleet_size, &mut effects),
            Event::Listed(listing) => self.listed(now, listing, &mut effects),
            Event::Watched(listing) => self.watched(now, listing, &mut effects),
            Event::Read(change) => self.read(now, &change, &mut effects),
            Event::Failed(asked) => self.failed(now, &asked, &mut effects),
            Event::Stored(change) => self.note(change),
            Event::Heartbeat { own } => self.mark(now, own),
        }
        effects
    }

    /// Returns whether this VM watches for its failure domain.
    pub fn is_active(&self) -> bool {
        self.place.is_some()
    }

    /// Returns whether the platform answered the last call; `None` before the first.
    pub fn is_reachable(&self) -> Option<bool> {
        self.reached
    }

    /// Returns what was asked of the platform so far.
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

    /// Takes the duty up or lays it down.
    fn duty(
        &mut self,
        now: Duration,
        place: Option<usize>,
        size: usize,
        effects: &mut Vec<Effect>,
    ) {
        self.size = size.max(1);
        let place = place.filter(|place| *place < self.timing.count);
        let took_up = place.is_some() && self.place.is_none();
        self.place = place;
        let is_free = matches!(self.phase, Phase::Idle | Phase::Waiting(_)) && self.failures == 0;
        if took_up && is_free {
            self.list(effects);
        }
        if self.heard.is_zero() {
            self.heard = now;
        }
    }

    /// Runs what is due.
    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        match self.phase {
            Phase::Waiting(until) if now >= until => self.list(effects),
            Phase::Idle if self.is_silent(now) => self.fall_back(now),
            _ => {}
        }
        self.read_due(now, effects);
        let hears = self.place.is_some() && self.reached == Some(true);
        if hears && now >= self.marked + self.timing.mark {
            self.mark(now, true);
            effects.push(Effect::Heartbeat);
        }
    }

    /// Returns whether no watcher was heard of for long.
    fn is_silent(&self, now: Duration) -> bool {
        now >= self.heard + self.timing.silence
    }

    /// Plans a list of this VM's own, so late that the fleet together keeps to its rate.
    fn fall_back(&mut self, now: Duration) {
        let share = Duration::from_secs(1) * u32::try_from(self.size).unwrap_or(u32::MAX)
            / self.timing.fallback.max(1);
        self.phase = Phase::Waiting(now + share.mul_f64(self.random.random_range(0.5..1.5)));
    }

    /// Asks for the keys.
    fn list(&mut self, effects: &mut Vec<Effect>) {
        self.phase = Phase::Listing;
        self.counts.lists += 1;
        effects.push(Effect::List);
    }

    /// Takes the keys in, and watches for what comes after.
    fn listed(&mut self, now: Duration, listing: Listing, effects: &mut Vec<Effect>) {
        let listed: IndexSet<&str> = listing.keys.iter().map(|it| it.key.as_str()).collect();
        let removed: Vec<String> = self
            .held
            .iter()
            .filter(|(_, version)| **version <= listing.revision)
            .filter(|(key, _)| !listed.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        let removed = removed.into_iter().map(|key| Change { key, version: 0 });
        let keys = listing.keys.into_iter().chain(removed).collect();
        self.changed(now, listing.revision, keys, effects);
        self.go_on(effects);
    }

    /// Takes changes in, and watches on.
    fn watched(&mut self, now: Duration, listing: Listing, effects: &mut Vec<Effect>) {
        self.changed(now, listing.revision, listing.keys, effects);
        self.go_on(effects);
    }

    /// Watches on while on duty.
    fn go_on(&mut self, effects: &mut Vec<Effect>) {
        if self.place.is_none() {
            self.phase = Phase::Idle;
            return;
        }
        self.phase = Phase::Watching;
        self.counts.watches += 1;
        effects.push(Effect::Watch(self.revision));
    }

    /// Plans the reads of what is newer than what is held.
    fn changed(
        &mut self,
        now: Duration,
        revision: Version,
        keys: Vec<Change>,
        effects: &mut Vec<Effect>,
    ) {
        self.reach(true, effects);
        self.failures = 0;
        self.heard = now;
        self.revision = self.revision.max(revision);
        let later = u32::try_from(self.place.unwrap_or(0)).unwrap_or(0);
        let at = now + self.timing.stagger * later;
        for change in keys {
            if change.version == 0 {
                self.remove(change.key, revision, effects);
            } else if self
                .held
                .get(&change.key)
                .is_none_or(|it| *it < change.version)
            {
                self.plan(change, at);
            }
        }
        self.read_due(now, effects);
    }

    /// Plans a read, unless one is planned that will bring the same.
    fn plan(&mut self, change: Change, at: Duration) {
        let due = Due {
            version: change.version,
            at,
            running: false,
        };
        let planned = self.due.entry(change.key).or_insert(due);
        if planned.version < change.version {
            *planned = due;
        }
    }

    /// Passes a deletion on.
    fn remove(&mut self, key: String, revision: Version, effects: &mut Vec<Effect>) {
        self.due.swap_remove(&key);
        if self.held.swap_remove(&key).is_some() {
            effects.push(Effect::Removed(Change {
                key,
                version: revision,
            }));
        }
    }

    /// Makes the reads that are due, a few at a time.
    fn read_due(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let running = self.due.values().filter(|due| due.running).count();
        let room = self.timing.reads.saturating_sub(running);
        let ready = self
            .due
            .iter_mut()
            .filter(|(_, due)| !due.running && due.at <= now)
            .take(room);
        for (key, due) in ready {
            due.running = true;
            self.counts.reads += 1;
            effects.push(Effect::Read(Change {
                key: key.clone(),
                version: due.version,
            }));
        }
    }

    /// Takes the end of a read in; a value older than the change is read again.
    fn read(&mut self, now: Duration, change: &Change, effects: &mut Vec<Effect>) {
        self.reach(true, effects);
        self.failures = 0;
        self.note(change.clone());
        if let Some(due) = self.due.get_mut(&change.key) {
            due.running = false;
            due.at = now + self.timing.first;
        }
        self.read_due(now, effects);
    }

    /// Notes a version that is held, and drops the read that would have brought it.
    fn note(&mut self, change: Change) {
        if self
            .due
            .get(&change.key)
            .is_some_and(|due| due.version <= change.version)
        {
            self.due.swap_remove(&change.key);
        }
        let held = self.held.entry(change.key).or_default();
        *held = (*held).max(change.version);
    }

    /// Backs off after a failure.
    fn failed(&mut self, now: Duration, asked: &Call, effects: &mut Vec<Effect>) {
        self.counts.failures += 1;
        self.reach(false, effects);
        let wait = self.back_off();
        match asked {
            Call::Read(key) => {
                if let Some(due) = self.due.get_mut(key) {
                    due.running = false;
                    due.at = now + wait;
                }
            }
            Call::List | Call::Watch if self.place.is_some() => {
                self.phase = Phase::Waiting(now + wait);
            }
            Call::List | Call::Watch => self.phase = Phase::Idle,
        }
    }

    /// Returns how long to wait, and waits longer the next time.
    fn back_off(&mut self) -> Duration {
        let doubled = self.timing.first * 2_u32.pow(self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        let wait = doubled.min(self.timing.longest);
        wait.mul_f64(self.random.random_range(0.5..1.0))
    }

    /// Notes that a watcher hears from the platform.
    fn mark(&mut self, now: Duration, own: bool) {
        self.heard = now;
        if own {
            self.marked = now;
        }
    }

    /// Notes whether the platform answers, and says so when that changed.
    fn reach(&mut self, reached: bool, effects: &mut Vec<Effect>) {
        if self.reached.replace(reached) != Some(reached) {
            effects.push(Effect::Reachable(reached));
        }
    }
}
