//! What all VMs have under way and waiting, as they told the manager.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;

use super::TargetHash;
use crate::{
    place::{
        bucket::Bucket,
        rates::{RateNews, Rates},
        share::{self, Queue, Room, Share},
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
    queues: Vec<Queue>,
    /// What it may have sent since, by the rights that it got.
    given: Vec<(TargetHash, u32)>,
    at: Duration,
    /// Until when it counts.
    until: Duration,
}

impl Word {
    /// Takes note of rights that the VM gets: what waited is on its way.
    fn give(&mut self, share: &Share) {
        let count = share.fresh + share.late;
        if count > 0 {
            self.given.push((share.target, count));
        }
        let queues = self.queues.iter_mut();
        for queue in queues.filter(|queue| queue.target == share.target) {
            queue.first.retain(|it| !share.beyond.contains(&it.ticket));
            let gone = queue.first.len().min(share.fresh as usize);
            queue.first.drain(..gone);
            let beyond = u32::try_from(share.beyond.len()).unwrap_or(u32::MAX);
            queue.fresh = queue.fresh.saturating_sub(share.fresh + beyond);
            queue.late = queue.late.saturating_sub(share.late);
        }
    }
}

/// What waits for one target and what is there, of all VMs.
#[derive(Debug, Default)]
struct Line<'a> {
    own: Option<&'a Queue>,
    /// Other VMs' queues, with the milliseconds since they told.
    others: Vec<(&'a Queue, u32)>,
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
    buckets: IndexMap<TargetHash, Bucket>,
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
        queues: Vec<Queue>,
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
    /// use bramleypier_engine::{peer::FleetLoad, place::rates::RateNews};
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// let news = RateNews { target: 7, rate: Some(1.5), age: Duration::ZERO };
    /// fleet_load.merge_rates(Duration::ZERO, &[news]);
    /// assert_eq!(fleet_load.rates(Duration::ZERO), [news]);
    /// ```
    pub fn merge_rates(&mut self, now: Duration, news: &[RateNews]) {
        // VMs log what they believe; what changes here they hear with the next word, and forget by themselves.
        let _ = self.rates.merge(now, news);
        let _ = self.rates.expire(now);
    }

    /// Returns the rates that targets have named to any VM.
    ///
    /// # Example
    ///
    /// See [`FleetLoad::merge_rates`].
    pub fn rates(&self, now: Duration) -> Vec<RateNews> {
        self.rates.news(now)
    }

    /// Returns the targets that ask to be held to a rate, with the rates.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{peer::FleetLoad, place::rates::RateNews};
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// let news = RateNews { target: 7, rate: Some(1.5), age: Duration::ZERO };
    /// fleet_load.merge_rates(Duration::ZERO, &[news]);
    /// assert_eq!(fleet_load.rate_limits(), [(7, 1.5)]);
    /// ```
    pub fn rate_limits(&self) -> Vec<(TargetHash, Rate)> {
        self.rates.named().collect()
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
    ///     place::share::{Queue, Waited},
    /// };
    ///
    /// let waiting = |age| Queue {
    ///     target: 7,
    ///     slots: 2,
    ///     limit: 3,
    ///     fresh: 1,
    ///     first: vec![Waited { ticket: 1, priority: 1, age, reach: 5 }],
    ///     late: 0,
    /// };
    /// let mut fleet_load = FleetLoad::default();
    /// let now = Duration::ZERO;
    /// fleet_load.update(now, "vm-1", vec![(7, 2)], vec![waiting(20)], Duration::ZERO);
    /// fleet_load.update(now, "vm-2", Vec::new(), vec![waiting(30)], Duration::ZERO);
    /// assert_eq!(fleet_load.assign_quotas(now, "vm-1")[0].fresh, 0, "the other waits longer");
    /// assert_eq!(fleet_load.assign_quotas(now, "vm-2")[0].fresh, 1);
    /// ```
    pub fn assign_quotas(&mut self, now: Duration, start: &str) -> Vec<Share> {
        let rooms = self.rooms(now);
        let lines = self.lines(now, start);
        let shares = lines.into_iter().map(|(target, line)| {
            let own = line.own.cloned().unwrap_or(Queue {
                target,
                ..Queue::default()
            });
            match rooms.get(&target) {
                Some(room) => share::within(*room, &own, &line.others, line.flights),
                None => share::of(&own, &line.others, line.flights),
            }
        });
        let shares: Vec<Share> = shares
            .filter(|share| share.busy || share.late > 0 || share.behind > 0)
            .collect();
        for share in &shares {
            if let Some(bucket) = self.buckets.get_mut(&share.target) {
                bucket.take(share.fresh + share.late);
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
    fn rooms(&mut self, now: Duration) -> IndexMap<TargetHash, Room> {
        let rates = &self.rates;
        self.buckets
            .retain(|target, _| rates.rate(*target).is_some());
        let mut rooms = IndexMap::new();
        for (target, rate) in rates.named() {
            let bucket = self.buckets.entry(target);
            let bucket = bucket.or_insert_with(|| Bucket::new(now));
            let most = bucket.room(now, rate);
            let wait = bucket.wait(rate);
            rooms.insert(target, Room { most, wait });
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
