//! Plans which keys move to which target, so that no target is overloaded.
//!
//! It handles these load patterns:
//!
//! - *Hot keys lie close together and change*: the narrowest run of keys that carries the needed load
//!   moves, since the cost of a move is the fraction of keys that change owner.
//! - *One key has more requests than a slow target can serve*: it moves to the target on which it causes
//!   the lowest utilisation, usually the fastest; then other keys of that target move away.
//! - *A target joins*: it gets some load at once and the rest as other targets become busy.
//! - *The busiest target can't be relieved*, since one of its keys is too busy for any target, or its keys have just moved:
//!   the next busiest one is.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::collections::{HashMap, HashSet};

use super::{
    load::Load,
    record::{Incarnation, Record, RequestKey},
};

/// Targets up to this utilisation keep their keys, since they queue few requests.
const LOW_UTILISATION: f64 = 0.5;
/// Ratio of a target's utilisation to the mean above which keys move away.
///
/// Rates over some seconds scatter by 10 to 20 %; below 1.25 that scatter alone would move keys.
const MAX_IMBALANCE: f64 = 1.25;
/// Ratio by which a move must lower the higher of the two utilisations to be worth its cost.
///
/// Capacities are known to within some 15 %; at 0.9 a hot key moved back and forth among fast targets.
const REQUIRED_RATIO: f64 = 0.8;
/// Utilisations that differ by less count as equal; then the run found first is taken.
const UTILISATION_TOLERANCE: f64 = 0.01;
/// How many targets that can't be relieved a plan passes over: each is compared with all others, and of thousands hundreds
/// may be too busy at once.
const MAX_PASSED_OVER: usize = 12;
/// The maximum number of moves begun at once: requests for the keys of each move wait for a moment.
const MAX_MOVES: usize = 5;
/// The rate below which a target counts as without load, in requests per second.
const MAX_IDLE_RATE: f64 = 0.2;
/// The utilisation up to which a target without load is filled, as a ratio to the mean.
const IDLE_FILL_RATIO: f64 = 0.5;
/// The minimum ratio of the wanted load that a run of keys must carry, so that a narrower one is found.
const MIN_RUN_RATIO: f64 = 0.5;
/// The maximum ratio of the wanted load that a run of keys may carry.
const MAX_RUN_RATIO: f64 = 1.25;

/// A move of a run of keys to another owner.
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
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How many requests per second it can serve.
    pub capacity: f64,
}

/// Plans moves from the busiest candidates to others.
///
/// Keys in `cooling_down` stay where they are. Returns nothing while the load is even enough: see the constants of
/// this module.
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
/// let incarnation = |id: &str| Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let range = |from, to, id| KeyRange { from, to, fence: 1, owner: Some(incarnation(id)) };
/// let record = Record { ranges: vec![range(0, 49, "a"), range(50, 99, "b")], ..Record::default() };
/// let mut load = Load::default();
/// load.add(Duration::ZERO, [(1, 30), (9, 30), (60, 2)]);
/// let candidates = ["a", "b"].map(|id| Candidate { incarnation: incarnation(id), capacity: 20.0 });
/// let moves = balance::plan(&record, &candidates, &load, &[]);
/// assert_eq!(moves.len(), 1);
/// assert_eq!(moves[0].from, moves[0].to);
/// assert_eq!(moves[0].owner.id, "b");
/// ```
pub fn plan(
    record: &Record,
    candidates: &[Candidate],
    load: &Load,
    cooling_down: &[Move],
) -> Vec<Move> {
    Plan::new(record, candidates, load, cooling_down).build(MAX_PASSED_OVER)
}

/// Plans moves like [`plan`], but ends at the first candidate that can't be relieved.
///
/// It takes less time, and begins few moves while the busiest candidate stays as it is.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{balance, load::Load, record::Record};
///
/// assert_eq!(balance::plan_busiest(&Record::unowned(9), &[], &Load::default(), &[]), []);
/// ```
pub fn plan_busiest(
    record: &Record,
    candidates: &[Candidate],
    load: &Load,
    cooling_down: &[Move],
) -> Vec<Move> {
    Plan::new(record, candidates, load, cooling_down).build(0)
}

/// A plan that is being built.
struct Plan<'a> {
    record: &'a Record,
    candidates: &'a [Candidate],
    load: &'a Load,
    /// Requests a second by candidate, as they will be after the moves.
    rates: Vec<f64>,
    /// The mean utilisation.
    mean: f64,
    moves: Vec<Move>,
    /// Keys that moved recently and stay where they are.
    cooling_down: &'a [Move],
    /// Candidates that no move of this plan relieves.
    passed_over: HashSet<usize>,
}

/// The busy keys of one owner with their rates in requests per second, by range.
type BusyKeys = Vec<Vec<(RequestKey, f64)>>;

/// A move to be planned: the run, its present owner and the next one, as indexes of candidates.
#[derive(Clone, Copy)]
struct Step {
    run: Run,
    from: usize,
    to: usize,
}

/// A run of keys with its rate in requests per second.
#[derive(Clone, Copy)]
struct Run {
    from: RequestKey,
    to: RequestKey,
    rate: f64,
}

impl<'a> Plan<'a> {
    fn new(
        record: &'a Record,
        candidates: &'a [Candidate],
        load: &'a Load,
        cooling_down: &'a [Move],
    ) -> Self {
        let index: HashMap<&Incarnation, usize> = candidates
            .iter()
            .enumerate()
            .map(|(at, it)| (&it.incarnation, at))
            .collect();
        let mut rates = vec![0.0; candidates.len()];
        for range in &record.ranges {
            if let Some(at) = range
                .owner
                .as_ref()
                .and_then(|incarnation| index.get(incarnation))
            {
                rates[*at] += load.rate(range.from, range.to);
            }
        }
        let capacity: f64 = candidates.iter().map(|it| it.capacity).sum();
        Self {
            record,
            candidates,
            load,
            mean: rates.iter().sum::<f64>() / capacity.max(0.01),
            rates,
            moves: Vec::new(),
            cooling_down,
            passed_over: HashSet::new(),
        }
    }

    /// Adds moves until enough are planned, none is worth making, or too many candidates can't be relieved.
    fn build(mut self, max_passed_over: usize) -> Vec<Move> {
        while self.moves.len() < MAX_MOVES {
            let Some(step) = self.next_step(max_passed_over) else {
                break;
            };
            self.add(step);
        }
        self.moves
    }

    /// Returns whether any key of a range already moves in this plan or is in its cooldown.
    fn is_excluded(&self, from: RequestKey, to: RequestKey) -> bool {
        let mut excluded = self.moves.iter().chain(self.cooling_down);
        excluded.any(|it| it.from <= to && from <= it.to)
    }

    /// Returns the utilisation of a candidate, as it will be after the moves.
    fn utilisation(&self, at: usize) -> f64 {
        self.rates[at] / self.candidates[at].capacity.max(0.01)
    }

    /// Adds a move.
    fn add(&mut self, step: Step) {
        let Step { run, from, to } = step;
        self.rates[from] -= run.rate;
        self.rates[to] += run.rate;
        self.moves.push(Move {
            from: run.from,
            to: run.to,
            owner: self.candidates[to].incarnation.clone(),
        });
    }

    /// Returns the busiest candidate that wasn't passed over.
    fn busiest(&self) -> Option<usize> {
        let open = (0..self.candidates.len()).filter(|at| !self.passed_over.contains(at));
        open.max_by(|a, b| self.utilisation(*a).total_cmp(&self.utilisation(*b)))
    }

    /// Returns whether a candidate is so busy that keys move away.
    fn is_overloaded(&self, at: usize) -> bool {
        let utilisation = self.utilisation(at);
        utilisation > LOW_UTILISATION && utilisation > self.mean * MAX_IMBALANCE
    }

    /// Returns the next move: away from the busiest candidate that can be relieved, or else to one without load.
    fn next_step(&mut self, max_passed_over: usize) -> Option<Step> {
        loop {
            let busiest = self.busiest()?;
            if !self.is_overloaded(busiest) {
                return self.fill_idle(busiest);
            }
            if let Some(step) = self.relieve(busiest) {
                return Some(step);
            }
            self.passed_over.insert(busiest);
            if self.passed_over.len() > max_passed_over {
                return None;
            }
        }
    }

    /// Returns the run of the busiest candidate's keys and the new owner that lower the utilisation most.
    fn relieve(&self, busiest: usize) -> Option<Step> {
        let before = self.utilisation(busiest);
        let keys = self.busy_keys(busiest);
        let hottest_key = self.hottest_key(&keys);
        let mut best: Option<(Run, usize, f64)> = None;
        for to in (0..self.candidates.len()).filter(|to| *to != busiest) {
            // After a move of this rate both have the same utilisation.
            let (from, into) = (&self.candidates[busiest], &self.candidates[to]);
            let wanted = (self.rates[busiest] * into.capacity - self.rates[to] * from.capacity)
                / (from.capacity + into.capacity);
            if wanted <= 0.0 {
                continue;
            }
            let runs = [self.narrowest_run(&keys, wanted), hottest_key];
            for run in runs.into_iter().flatten() {
                let kept = (self.rates[busiest] - run.rate) / from.capacity;
                let added = (self.rates[to] + run.rate) / into.capacity;
                let after = kept.max(added);
                if best.is_none_or(|(_, _, least)| after < least - UTILISATION_TOLERANCE) {
                    best = Some((run, to, after));
                }
            }
        }
        let (run, to, after) = best?;
        let from = busiest;
        (after < before * REQUIRED_RATIO).then_some(Step { run, from, to })
    }

    /// Returns the keys of a candidate that have load.
    fn busy_keys(&self, owner: usize) -> BusyKeys {
        let incarnation = &self.candidates[owner].incarnation;
        let ranges = self.record.ranges.iter();
        let own = ranges.filter(|range| range.owner.as_ref() == Some(incarnation));
        own.map(|range| self.load.key_rates(range.from, range.to))
            .collect()
    }

    /// Returns the single key that has the highest rate of those that may move.
    fn hottest_key(&self, keys: &BusyKeys) -> Option<Run> {
        let keys = keys.iter().flatten();
        let free = keys.filter(|(key, _)| !self.is_excluded(*key, *key));
        let (key, rate) = free.max_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(Run {
            from: *key,
            to: *key,
            rate: *rate,
        })
    }

    /// Returns the move of a run of the busiest candidate's keys to one without load, if there is one.
    fn fill_idle(&self, busiest: usize) -> Option<Step> {
        let all = 0..self.candidates.len();
        let idlest = all.min_by(|a, b| self.utilisation(*a).total_cmp(&self.utilisation(*b)))?;
        if self.rates[idlest] >= MAX_IDLE_RATE || self.mean <= 0.0 {
            return None;
        }
        let wanted = self.mean * self.candidates[idlest].capacity * IDLE_FILL_RATIO;
        let run = self.narrowest_run(&self.busy_keys(busiest), wanted)?;
        Some(Step {
            run,
            from: busiest,
            to: idlest,
        })
    }

    /// Returns the narrowest run within one range that carries about `wanted` requests per second.
    fn narrowest_run(&self, keys: &BusyKeys, wanted: f64) -> Option<Run> {
        let runs = keys
            .iter()
            .filter_map(|range| self.narrowest_run_in(range, wanted));
        runs.min_by_key(|run| run.to - run.from)
    }

    /// Returns the narrowest such run of some keys, by a sliding window.
    fn narrowest_run_in(&self, keys: &[(RequestKey, f64)], wanted: f64) -> Option<Run> {
        let (mut start, mut rate) = (0, 0.0);
        let mut best: Option<Run> = None;
        for (end, (last, key_rate)) in keys.iter().enumerate() {
            rate += key_rate;
            while start < end && (rate - keys[start].1 >= wanted || rate > wanted * MAX_RUN_RATIO) {
                rate -= keys[start].1;
                start += 1;
            }
            let run = Run {
                from: keys[start].0,
                to: *last,
                rate,
            };
            let fits = rate >= wanted * MIN_RUN_RATIO && rate <= wanted * MAX_RUN_RATIO;
            let narrower = best.is_none_or(|least| run.to - run.from < least.to - least.from);
            if fits && narrower && !self.is_excluded(run.from, run.to) {
                best = Some(run);
            }
        }
        best
    }
}
