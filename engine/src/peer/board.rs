//! What all VMs have under way and waiting, as they told the manager.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;

use super::TargetHash;
use crate::{
    placement::{
        bucket::TokenBucket,
        quota::{self, Quota, RateCapacity, TargetQueue},
        rates::{RateReport, Rates},
    },
    target::Rate,
};

/// How long a VM's word counts at the least. A VM that is lost has no requests; one that is slow still
/// tells several times a second.
const LIFE_LEAST: Duration = Duration::from_millis(600);
/// How many of its pauses a VM's word counts: one word may be lost on its way.
const LIFE_PAUSES: u32 = 3;

/// One VM's word.
#[derive(Clone, Debug)]
struct Word {
    flights: Vec<(TargetHash, u32)>,
    queues: Vec<TargetQueue>,
    /// What it may have sent since, by the rights that it got.
    given: Vec<(TargetHash, u32)>,
    at: Duration,
    /// Until when it counts.
    until: Duration,
}

impl Word {
    /// Takes note of rights that the VM gets: what waited is on its way.
    fn give(&mut self, share: &Quota) {
        let count = share.within_goal + share.past_goal;
        if count > 0 {
            self.given.push((share.target, count));
        }
        let queues = self.queues.iter_mut();
        for queue in queues.filter(|queue| queue.target == share.target) {
            queue.first.retain(|it| !share.demoted.contains(&it.ticket));
            let gone = queue.first.len().min(share.within_goal as usize);
            queue.first.drain(..gone);
            let beyond = u32::try_from(share.demoted.len()).unwrap_or(u32::MAX);
            queue.within_goal = queue.within_goal.saturating_sub(share.within_goal + beyond);
            queue.past_goal = queue.past_goal.saturating_sub(share.past_goal);
        }
    }
}

/// What waits for one target and what is there, of all VMs.
#[derive(Debug, Default)]
struct Line<'a> {
    own: Option<&'a TargetQueue>,
    /// Other VMs' queues, with the milliseconds since they told.
    others: Vec<(&'a TargetQueue, u32)>,
    /// Requests there, and rights to send that are not used yet.
    flights: u32,
}

/// The requests of each VM at each target, and those that wait for one.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::peer::FleetLoad;
///
/// let mut fleet_load = FleetLoad::default();
/// fleet_load.update(Duration::ZERO, "vm-1", vec![(7, 2)], Vec::new(), Duration::ZERO);
/// fleet_load.update(Duration::ZERO, "vm-2", vec![(7, 1)], Vec::new(), Duration::ZERO);
/// assert_eq!(fleet_load.in_flight_elsewhere(Duration::ZERO, "vm-1"), [(7, 1)]);
/// assert!(fleet_load.in_flight_elsewhere(Duration::from_secs(1), "vm-1").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    words: HashMap<String, Word>,
    /// The rates that targets have named to any VM.
    rates: Rates,
    /// What may go to the targets that are held to one.
    buckets: IndexMap<TargetHash, TokenBucket>,
}

impl FleetLoad {
    /// Takes in what a VM has under way and waiting; `pause` is the time until its next word.
    ///
    /// # Example
    ///
    /// See [`FleetLoad`].
    pub fn update(
        &mut self,
        now: Duration,
        start: &str,
        flights: Vec<(TargetHash, u32)>,
        queues: Vec<TargetQueue>,
        pause: Duration,
    ) {
        self.words.retain(|_, word| now < word.until);
        let word = Word {
            flights,
            queues,
            given: Vec::new(),
            at: now,
            until: now + LIFE_LEAST.max(pause * LIFE_PAUSES),
        };
        self.words.insert(start.to_owned(), word);
    }

    /// Takes in the rates that targets have named to a VM.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{peer::FleetLoad, placement::rates::RateReport};
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// let news = RateReport { target: 7, rate: Some(1.5), age: Duration::ZERO };
    /// fleet_load.merge_rates(Duration::ZERO, &[news]);
    /// assert_eq!(fleet_load.rates(Duration::ZERO), [news]);
    /// ```
    pub fn merge_rates(&mut self, now: Duration, news: &[RateReport]) {
        // VMs log what they believe; what changes here they hear with the next word, and forget by themselves.
        let _ = self.rates.merge(now, news);
        let _ = self.rates.expire(now);
    }

    /// Returns the rates that targets have named to any VM.
    ///
    /// # Example
    ///
    /// See [`FleetLoad::merge_rates`].
    pub fn rates(&self, now: Duration) -> Vec<RateReport> {
        self.rates.reports(now)
    }

    /// Returns the targets that ask to be held to a rate, with the rates.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{peer::FleetLoad, placement::rates::RateReport};
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// let news = RateReport { target: 7, rate: Some(1.5), age: Duration::ZERO };
    /// fleet_load.merge_rates(Duration::ZERO, &[news]);
    /// assert_eq!(fleet_load.rate_limits(), [(7, 1.5)]);
    /// ```
    pub fn rate_limits(&self) -> Vec<(TargetHash, Rate)> {
        self.rates.active().collect()
    }

    /// Returns what all others have under way.
    ///
    /// # Example
    ///
    /// See [`FleetLoad`].
    pub fn in_flight_elsewhere(&self, now: Duration, start: &str) -> Vec<(TargetHash, u32)> {
        let mut sums: HashMap<TargetHash, u32> = HashMap::new();
        for (_, word) in self.live(now).filter(|(other, _)| *other != start) {
            for (target, count) in word.flights.iter().chain(&word.given) {
                *sums.entry(*target).or_default() += count;
            }
        }
        sums.into_iter().collect()
    }

    /// Shares out the room at each target for which requests wait, and notes what this VM got.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{
    ///     peer::FleetLoad,
    ///     placement::quota::{TargetQueue, QueuedRequest},
    /// };
    ///
    /// let waiting = |age| TargetQueue {
    ///     target: 7,
    ///     slots: 2,
    ///     limit: 3,
    ///     within_goal: 1,
    ///     first: vec![QueuedRequest { ticket: 1, priority: 1, age_ms: age, max_ahead: 5 }],
    ///     past_goal: 0,
    /// };
    /// let mut fleet_load = FleetLoad::default();
    /// let now = Duration::ZERO;
    /// fleet_load.update(now, "vm-1", vec![(7, 2)], vec![waiting(20)], Duration::ZERO);
    /// fleet_load.update(now, "vm-2", Vec::new(), vec![waiting(30)], Duration::ZERO);
    /// assert_eq!(fleet_load.assign_quotas(now, "vm-1")[0].within_goal, 0, "the other waits longer");
    /// assert_eq!(fleet_load.assign_quotas(now, "vm-2")[0].within_goal, 1);
    /// ```
    pub fn assign_quotas(&mut self, now: Duration, start: &str) -> Vec<Quota> {
        let rooms = self.rooms(now);
        let lines = self.lines(now, start);
        let shares = lines.into_iter().map(|(target, line)| {
            let own = line.own.cloned().unwrap_or(TargetQueue {
                target,
                ..TargetQueue::default()
            });
            match rooms.get(&target) {
                Some(room) => quota::allot_at_rate(*room, &own, &line.others, line.flights),
                None => quota::allot(&own, &line.others, line.flights),
            }
        });
        let shares: Vec<Quota> = shares
            .filter(|share| share.busy || share.past_goal > 0 || share.others_past > 0)
            .collect();
        for share in &shares {
            if let Some(bucket) = self.buckets.get_mut(&share.target) {
                bucket.take(share.within_goal + share.past_goal);
            }
        }
        if let Some(word) = self.words.get_mut(start) {
            for share in &shares {
                word.give(share);
            }
        }
        shares
    }

    /// What may go now to each target that is held to a rate.
    fn rooms(&mut self, now: Duration) -> IndexMap<TargetHash, RateCapacity> {
        let rates = &self.rates;
        self.buckets
            .retain(|target, _| rates.rate(*target).is_some());
        let mut rooms = IndexMap::new();
        for (target, rate) in rates.active() {
            let bucket = self.buckets.entry(target);
            let bucket = bucket.or_insert_with(|| TokenBucket::new(now));
            let most = bucket.available(now, rate);
            let wait = bucket.wait_time(rate);
            rooms.insert(
                target,
                RateCapacity {
                    available: most,
                    wait,
                },
            );
        }
        rooms
    }

    /// Gathers what waits for each target, and what is there; one pass over all words.
    fn lines(&self, now: Duration, start: &str) -> IndexMap<TargetHash, Line<'_>> {
        let mut lines: IndexMap<TargetHash, Line<'_>> = IndexMap::new();
        for (name, word) in self.live(now) {
            let since = now.saturating_sub(word.at).as_millis();
            let since = u32::try_from(since).unwrap_or(u32::MAX);
            for queue in &word.queues {
                let line = lines.entry(queue.target).or_default();
                if name == start {
                    line.own = Some(queue);
                } else {
                    line.others.push((queue, since));
                }
            }
        }
        for (_, word) in self.live(now) {
            for (target, count) in word.flights.iter().chain(&word.given) {
                if let Some(line) = lines.get_mut(target) {
                    line.flights += count;
                }
            }
        }
        lines
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (&str, &Word)> {
        let words = self.words.iter();
        let live = words.filter(move |(_, word)| now < word.until);
        live.map(|(start, word)| (start.as_str(), word))
    }
}
