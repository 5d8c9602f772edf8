//! Which keys move to which target.
//!
//! Load patterns that it answers:
//!
//! - *Busy keys lie close together and change*: the narrowest run of keys that carries the needed
//!   load moves, since moving is paid by the share of keys that change hands.
//! - *One key has more requests than a slow target can do*: it moves to a target on which it leaves
//!   the lowest utilisation, usually the fastest; then that target's other keys move away.
//! - *A target joins*: it gets some load at once, the rest as others grow busy.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::collections::HashMap;

use indexmap::IndexMap;

use super::{
    load::Load,
    record::{Incarnation, KeyRange, Record, RequestKey},
};

/// Up to which utilisation a target is left alone: below it, few requests wait.
const CALM: f64 = 0.5;
/// How far a target's utilisation may lie above the mean before keys move, as a factor.
///
/// Rates over some seconds scatter by a tenth or two; below 1.25 the scatter alone would move keys.
const TOLERANCE: f64 = 1.25;
/// To which part a move must lower the higher of two utilisations to be worth its disturbance.
///
/// Powers are known to within some 15 %; at 0.9 a busy key went to and fro among fast targets.
const WORTH: f64 = 0.8;
/// Utilisations that differ by less count as even; then the run found first is taken.
const EVEN: f64 = 0.01;
/// The most moves begun at once: each makes its keys wait for a moment.
const MOVES: usize = 5;
/// The utilisation that a target without load is filled up to, as a part of the mean.
const FILL: f64 = 0.5;
/// The least part of the wanted load that a run of keys must carry, so that a narrower one is found.
const LEAST_PART: f64 = 0.5;
/// The most that it may carry beyond the wanted load.
const MOST_PART: f64 = 1.25;

/// A move of some keys to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The first key.
    pub from: RequestKey,
    /// The last key.
    pub to: RequestKey,
    /// The new owner.
    pub owner: Incarnation,
}

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its life.
    pub incarnation: Incarnation,
    /// How many requests a second it can do.
    pub capacity: f64,
}

/// Splits ranges that nobody owns among holders, in proportion to capacity, least loaded first.
///
/// Ranges without measured load are cut evenly; owners of neighbouring keys are preferred to none.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{
///     balance::{self, Candidate},
///     load::Load,
///     record::{Incarnation, Record},
/// };
///
/// let holder = |id: &str| Candidate { incarnation: Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() }, capacity: 2.0 };
/// let record = Record::unowned(99);
/// let moves = balance::assign(&record, &record.ranges, &[holder("a"), holder("b")], &Load::default());
/// let bounds: Vec<_> = moves.iter().map(|it| (it.from, it.to)).collect();
/// assert_eq!(bounds, [(0, 49), (50, 99)]);
/// ```
pub fn assign(record: &Record, free: &[KeyRange], holders: &[Candidate], load: &Load) -> Vec<Move> {
    if holders.is_empty() {
        return Vec::new();
    }
    let mut filled = fill(record, holders, load);
    let keys: u64 = record.ranges.iter().map(KeyRange::width).sum();
    let mut moves = Vec::new();
    for part in free {
        split(part, keys, holders, load, &mut filled, &mut moves);
    }
    moves
}

/// What each holder carries, in parts of all load and keys.
fn fill(record: &Record, holders: &[Candidate], load: &Load) -> IndexMap<Incarnation, f64> {
    let mut filled: IndexMap<_, _> = holders
        .iter()
        .map(|it| (it.incarnation.clone(), 0.0))
        .collect();
    let keys: u64 = record.ranges.iter().map(KeyRange::width).sum();
    let total = load.rate(0, RequestKey::MAX).max(1.0);
    for part in &record.ranges {
        let Some(sum) = part.owner.as_ref().and_then(|life| filled.get_mut(life)) else {
            continue;
        };
        *sum += weigh(part.from, part.to, keys, total, load);
    }
    filled
}

/// The weight of a range: mostly its load, a little its keys, which may become busy.
fn weigh(from: RequestKey, to: RequestKey, keys: u64, total: f64, load: &Load) -> f64 {
    const KEYS_PART: f64 = 0.2;
    let width = (to - from + 1) as f64 / keys.max(1) as f64;
    load.rate(from, to) / total + KEYS_PART * width
}

fn split(
    part: &KeyRange,
    keys: u64,
    holders: &[Candidate],
    load: &Load,
    filled: &mut IndexMap<Incarnation, f64>,
    moves: &mut Vec<Move>,
) {
    let total = load.rate(0, RequestKey::MAX).max(1.0);
    let capacity: f64 = holders.iter().map(|it| it.capacity).sum();
    let whole: f64 = weigh(part.from, part.to, keys, total, load);
    let all: f64 = filled.values().sum::<f64>() + whole;
    let mut rest = part.clone();
    loop {
        let Some(holder) = emptiest(holders, filled) else {
            return;
        };
        let room = all * holder.capacity / capacity - filled[&holder.incarnation];
        let left = weigh(rest.from, rest.to, keys, total, load);
        let to = if room >= left * 0.95 {
            rest.to
        } else {
            reach(&rest, room, keys, total, load)
        };
        let weight = weigh(rest.from, to, keys, total, load);
        *filled.entry(holder.incarnation.clone()).or_default() += weight;
        moves.push(Move {
            from: rest.from,
            to,
            owner: holder.incarnation.clone(),
        });
        if to >= rest.to {
            return;
        }
        rest.from = to + 1;
    }
}

fn emptiest<'a>(
    holders: &'a [Candidate],
    filled: &IndexMap<Incarnation, f64>,
) -> Option<&'a Candidate> {
    let level = |it: &Candidate| {
        filled.get(&it.incarnation).copied().unwrap_or(0.0) / it.capacity.max(0.01)
    };
    holders.iter().min_by(|a, b| level(a).total_cmp(&level(b)))
}

/// The last key of a prefix of `part` that weighs about `room`, by bisection.
fn reach(part: &KeyRange, room: f64, keys: u64, total: f64, load: &Load) -> RequestKey {
    let (mut low, mut high) = (part.from, part.to);
    while low < high {
        let middle = low + (high - low) / 2;
        if weigh(part.from, middle, keys, total, load) < room {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    low
}

/// Plans moves from the busiest holders to others.
///
/// Returns nothing while no holder stands out: see the constants of this module.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     balance::{self, Candidate},
///     load::Load,
///     record::{Incarnation, KeyRange, Record},
/// };
///
/// let life = |id: &str| Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let part = |from, to, id| KeyRange { from, to, fence: 1, owner: Some(life(id)) };
/// let record = Record { ranges: vec![part(0, 49, "a"), part(50, 99, "b")], ..Record::default() };
/// let mut load = Load::default();
/// load.add(Duration::ZERO, [(1, 30), (9, 30), (60, 2)]);
/// let holders = [Candidate { incarnation: life("a"), capacity: 20.0 }, Candidate { incarnation: life("b"), capacity: 20.0 }];
/// let moves = balance::plan(&record, &holders, &load, &[]);
/// assert_eq!(moves.len(), 1);
/// assert_eq!(moves[0].from, moves[0].to);
/// assert_eq!(moves[0].owner.id, "b");
/// ```
pub fn plan(record: &Record, holders: &[Candidate], load: &Load, resting: &[Move]) -> Vec<Move> {
    let mut plan = Plan::new(record, holders, load);
    plan.resting = resting;
    while plan.moves.len() < MOVES && plan.step() {}
    plan.moves
}

/// A plan under way.
struct Plan<'a> {
    record: &'a Record,
    holders: &'a [Candidate],
    load: &'a Load,
    /// Rates by holder, as they will be after the moves.
    rates: Vec<f64>,
    mean: f64,
    moves: Vec<Move>,
    /// Keys that moved lately and are left alone.
    resting: &'a [Move],
}

/// A run of keys with its rate.
#[derive(Clone, Copy)]
struct Run {
    from: RequestKey,
    to: RequestKey,
    rate: f64,
}

impl<'a> Plan<'a> {
    fn new(record: &'a Record, holders: &'a [Candidate], load: &'a Load) -> Self {
        let index: HashMap<&Incarnation, usize> = holders
            .iter()
            .enumerate()
            .map(|(at, it)| (&it.incarnation, at))
            .collect();
        let mut rates = vec![0.0; holders.len()];
        for part in &record.ranges {
            if let Some(at) = part.owner.as_ref().and_then(|life| index.get(life)) {
                rates[*at] += load.rate(part.from, part.to);
            }
        }
        let capacity: f64 = holders.iter().map(|it| it.capacity).sum();
        Self {
            record,
            holders,
            load,
            mean: rates.iter().sum::<f64>() / capacity.max(0.01),
            rates,
            moves: Vec::new(),
            resting: &[],
        }
    }

    /// Returns whether some of a range moves already, or has moved lately.
    fn is_taken(&self, from: RequestKey, to: RequestKey) -> bool {
        let mut taken = self.moves.iter().chain(self.resting);
        taken.any(|it| it.from <= to && from <= it.to)
    }

    fn used(&self, at: usize) -> f64 {
        self.rates[at] / self.holders[at].capacity.max(0.01)
    }

    /// Adds one move; returns whether there was one worth making.
    fn step(&mut self) -> bool {
        let order = |a: &usize, b: &usize| self.used(*a).total_cmp(&self.used(*b));
        let Some(busiest) = (0..self.holders.len()).max_by(order) else {
            return false;
        };
        let Some(idlest) = (0..self.holders.len()).min_by(order) else {
            return false;
        };
        let used = self.used(busiest);
        let hot = used > CALM && used > self.mean * TOLERANCE;
        let empty = self.rates[idlest] < 0.2 && self.mean > 0.0;
        let chosen = if hot {
            self.relieve(busiest)
        } else if empty {
            self.fill(busiest, idlest)
        } else {
            None
        };
        let Some((run, to)) = chosen else {
            return false;
        };
        self.rates[busiest] -= run.rate;
        self.rates[to] += run.rate;
        self.moves.push(Move {
            from: run.from,
            to: run.to,
            owner: self.holders[to].incarnation.clone(),
        });
        true
    }

    /// The run of the busiest holder's keys, and its new owner, that lower the load most.
    fn relieve(&self, busiest: usize) -> Option<(Run, usize)> {
        let before = self.used(busiest);
        let hottest = self.hottest(busiest);
        let mut best: Option<(Run, usize, f64)> = None;
        for to in (0..self.holders.len()).filter(|to| *to != busiest) {
            // Both ends would be used alike after a move of this rate.
            let (from, into) = (&self.holders[busiest], &self.holders[to]);
            let want = (self.rates[busiest] * into.capacity - self.rates[to] * from.capacity)
                / (from.capacity + into.capacity);
            if want <= 0.0 {
                continue;
            }
            let runs = [self.narrowest(busiest, want), hottest];
            for run in runs.into_iter().flatten() {
                let left = (self.rates[busiest] - run.rate) / from.capacity;
                let filled = (self.rates[to] + run.rate) / into.capacity;
                let after = left.max(filled);
                if best.is_none_or(|(_, _, least)| after < least - EVEN) {
                    best = Some((run, to, after));
                }
            }
        }
        let (run, to, after) = best?;
        (after < before * WORTH).then_some((run, to))
    }

    /// The busiest single key of a holder.
    fn hottest(&self, owner: usize) -> Option<Run> {
        let life = &self.holders[owner].incarnation;
        let own = self
            .record
            .ranges
            .iter()
            .filter(|part| part.owner.as_ref() == Some(life));
        let keys = own.flat_map(|part| self.load.key_rates(part.from, part.to));
        let free = keys.filter(|(key, _)| !self.is_taken(*key, *key));
        let (key, rate) = free.max_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(Run {
            from: key,
            to: key,
            rate,
        })
    }

    /// A run of the busiest holder's keys for one that has nothing to do.
    fn fill(&self, busiest: usize, idlest: usize) -> Option<(Run, usize)> {
        let want = self.mean * self.holders[idlest].capacity * FILL;
        let run = self.narrowest(busiest, want)?;
        Some((run, idlest))
    }

    /// The narrowest run of a holder's keys that carries about `want`.
    fn narrowest(&self, owner: usize, want: f64) -> Option<Run> {
        let life = &self.holders[owner].incarnation;
        let own = self
            .record
            .ranges
            .iter()
            .filter(|part| part.owner.as_ref() == Some(life));
        let runs = own.filter_map(|part| self.narrowest_of(part, want));
        runs.min_by_key(|run| run.to - run.from)
    }

    fn narrowest_of(&self, part: &KeyRange, want: f64) -> Option<Run> {
        let keys = self.load.key_rates(part.from, part.to);
        let (mut start, mut rate) = (0, 0.0);
        let mut best: Option<Run> = None;
        for (end, (last, own)) in keys.iter().enumerate() {
            rate += own;
            while start < end && (rate - keys[start].1 >= want || rate > want * MOST_PART) {
                rate -= keys[start].1;
                start += 1;
            }
            let run = Run {
                from: keys[start].0,
                to: *last,
                rate,
            };
            let fits = rate >= want * LEAST_PART && rate <= want * MOST_PART;
            let taken = self.is_taken(run.from, run.to);
            let narrower = best.is_none_or(|least| run.to - run.from < least.to - least.from);
            if fits && !taken && narrower {
                best = Some(run);
            }
        }
        best
    }
}
