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
//! - *One key is more than any target can serve*: it stays on its own, and the other keys of its owner move away.
//! - *Hot keys overload one target many times over*: many runs leave it at once, each as large as its new owner can take.
//! - *Targets turn out to differ in speed*: each slow one gives its excess to fast ones, all in one round, see
//!   [`level`].
//!
//! Thousands of targets with tens of thousands of keys take some milliseconds: targets are kept sorted by utilisation
//! and by free capacity, and a run of keys is offered to a few of each end.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

mod busy_keys;
mod order;
mod taken;

use std::collections::{HashMap, HashSet};

use self::{
    busy_keys::{BusyKeys, Run},
    order::Order,
    taken::Taken,
};
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
/// That ratio while targets are levelled.
const MAX_LEVEL_IMBALANCE: f64 = 1.1;
/// Ratio by which a move must lower the higher of the two utilisations to be worth its cost.
///
/// Capacities are known to within some 15 %; at 0.9 a hot key moved back and forth among fast targets.
const REQUIRED_RATIO: f64 = 0.8;
/// That ratio while targets are levelled.
const REQUIRED_LEVEL_RATIO: f64 = 0.95;
/// Ratio of a target's utilisation to the mean above which one move can't relieve it: several targets take a part each.
const FAR_IMBALANCE: f64 = 1.6;
/// Ratio to the mean utilisation up to which targets are filled with parts of such a target's load.
const FILL_RATIO: f64 = 1.1;
/// The minimum ratio of such a part to the capacity of its new owner.
const MIN_PART_RATIO: f64 = 0.05;
/// The minimum ratio of a single key's rate to that of its owner that makes its other keys move away.
const DOMINANT_RATIO: f64 = 0.6;
/// The minimum utilisation at which they do.
const MIN_DOMINATED_UTILISATION: f64 = 0.9;
/// Utilisations that differ by less count as equal; then the run found first is taken.
const UTILISATION_TOLERANCE: f64 = 0.01;
/// Up to how many candidates each one is considered as the next owner of a run.
const MAX_COMPARED: usize = 24;
/// How many of the least utilised candidates, and of those with the most free capacity, are considered otherwise.
const RECEIVERS: usize = 6;
/// How many targets that can't be relieved a plan passes over, besides [`MOVE_RATIO`] of the targets.
const MIN_PASSED_OVER: usize = 12;
/// The maximum number of moves begun at once for an imbalance that chance may explain.
const MINOR_MOVES: usize = 5;
/// Up to which fraction of the targets moves are begun at once.
const MOVE_RATIO: f64 = 0.125;
/// The maximum number of keys that a plan looks at: it takes some 10 ms on half a core.
const MAX_KEYS_EXAMINED: usize = 400_000;
/// The rate below which a target counts as without load, in requests per second.
const MAX_IDLE_RATE: f64 = 0.2;
/// The utilisation up to which a target without load is filled, as a ratio to the mean.
const IDLE_FILL_RATIO: f64 = 0.5;
/// The minimum ratio of the wanted load that a run of keys must carry, so that a narrower one is found.
const MIN_RUN_RATIO: f64 = 0.5;
/// That ratio while targets are levelled, since each gives its excess in one run.
const MIN_LEVEL_RUN_RATIO: f64 = 0.85;
/// The number of requests counted at an owner at which half of its rate counts as known while targets are levelled.
const KNOWN_COUNT: f64 = 20.0;
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

/// How many moves a plan may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveLimits {
    /// For imbalances that chance may explain, and in all if there are no others.
    pub minor: usize,
    /// For all imbalances.
    pub all: usize,
}

impl MoveLimits {
    /// Returns the limits for a number of targets.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::owner::balance::MoveLimits;
    ///
    /// assert_eq!(MoveLimits::of_targets(15), MoveLimits { minor: 5, all: 5 });
    /// assert_eq!(MoveLimits::of_targets(400), MoveLimits { minor: 5, all: 50 });
    /// ```
    pub fn of_targets(count: usize) -> Self {
        Self {
            minor: MINOR_MOVES,
            all: MINOR_MOVES.max(portion(count)),
        }
    }
}

/// Returns [`MOVE_RATIO`] of a count of targets.
fn portion(count: usize) -> usize {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a count"
    )]
    let portion = (count as f64 * MOVE_RATIO) as usize;
    portion
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
    let limits = MoveLimits::of_targets(candidates.len());
    plan_within(record, candidates, load, cooling_down, limits)
}

/// Plans moves like [`plan`], with limits on their number.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{balance::{self, MoveLimits}, load::Load, record::Record};
///
/// let limits = MoveLimits { minor: 0, all: 2 };
/// assert_eq!(balance::plan_within(&Record::unowned(9), &[], &Load::default(), &[], limits), []);
/// ```
pub fn plan_within(
    record: &Record,
    candidates: &[Candidate],
    load: &Load,
    cooling_down: &[Move],
    limits: MoveLimits,
) -> Vec<Move> {
    Plan::new(record, candidates, load, cooling_down, false).build(limits)
}

/// Plans the moves by which all targets that are above their share by capacity give the excess to those below it.
///
/// It moves up to a fifth of the keys when a third of the targets is 2.3 times as fast as the rest; whether that is worth
/// its cost is decided by [`super::redistribution::speed_gain`].
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{balance, load::Load, record::Record};
///
/// assert_eq!(balance::level(&Record::unowned(9), &[], &Load::default(), &[]), []);
/// ```
pub fn level(
    record: &Record,
    candidates: &[Candidate],
    load: &Load,
    in_transition: &[Move],
) -> Vec<Move> {
    let plan = Plan::new(record, candidates, load, in_transition, true);
    plan.build(MoveLimits {
        minor: candidates.len(),
        all: candidates.len(),
    })
}

/// The ranges of one candidate, by first and last key.
type Ranges = Vec<(RequestKey, RequestKey)>;

/// Shrinks the rates of owners towards what they would be if all keys had the same rate, by how many requests were counted.
///
/// Levelling moves most owners' keys at once, and would otherwise follow the scatter of the load.
fn shrink_rates(rates: &mut [f64], ranges: &[Ranges], load: &Load) {
    let width = |own: &Ranges| -> f64 { own.iter().map(|(from, to)| (to - from + 1) as f64).sum() };
    let all: f64 = ranges.iter().map(width).sum();
    let total: f64 = rates.iter().sum();
    for (rate, own) in rates.iter_mut().zip(ranges) {
        let count = load.counted(*rate);
        let known = count / (count + KNOWN_COUNT);
        *rate = *rate * known + total * width(own) / all.max(1.0) * (1.0 - known);
    }
}

/// Returns the rate of each candidate in requests per second, and its ranges by first and last key.
fn owned(record: &Record, candidates: &[Candidate], load: &Load) -> (Vec<f64>, Vec<Ranges>) {
    let index: HashMap<&Incarnation, usize> = candidates
        .iter()
        .enumerate()
        .map(|(at, it)| (&it.incarnation, at))
        .collect();
    let mut rates = vec![0.0; candidates.len()];
    let mut ranges = vec![Vec::new(); candidates.len()];
    for range in &record.ranges {
        let owner = range.owner.as_ref();
        if let Some(at) = owner.and_then(|incarnation| index.get(incarnation)) {
            rates[*at] += load.rate(range.from, range.to);
            ranges[*at].push((range.from, range.to));
        }
    }
    (rates, ranges)
}

/// Returns the rates of the candidates in requests per second, without most of their scatter.
pub(super) fn expected_rates(record: &Record, candidates: &[Candidate], load: &Load) -> Vec<f64> {
    let (mut rates, ranges) = owned(record, candidates, load);
    shrink_rates(&mut rates, &ranges, load);
    rates
}

/// A plan that is being built.
struct Plan<'a> {
    candidates: &'a [Candidate],
    load: &'a Load,
    /// The ranges of each candidate, first and last key.
    ranges: Vec<Ranges>,
    /// Requests a second by candidate, as they will be after the moves.
    rates: Vec<f64>,
    /// Requests a second by candidate before the moves.
    first_rates: Vec<f64>,
    /// The mean utilisation.
    mean: f64,
    moves: Vec<Move>,
    /// Keys that stay where they are: they move in this plan already, or moved recently.
    taken: Taken,
    /// Keys that move in this plan.
    planned: Taken,
    /// The candidates that weren't passed over, by utilisation.
    open: Order,
    /// All candidates by utilisation.
    by_utilisation: Order,
    /// All candidates by their rate above the fill level, in requests per second; the lowest has the most free capacity.
    by_room: Order,
    /// The fastest candidates.
    fastest: Vec<usize>,
    /// How many keys were looked at.
    examined: usize,
    /// Whether all candidates are levelled, see [`level`].
    levels: bool,
}

/// A move to be planned: the run, its present owner and the next one, as indexes of candidates.
#[derive(Clone, Copy)]
struct Step {
    run: Run,
    from: usize,
    to: usize,
}

impl<'a> Plan<'a> {
    fn new(
        record: &'a Record,
        candidates: &'a [Candidate],
        load: &'a Load,
        cooling_down: &[Move],
        levels: bool,
    ) -> Self {
        let (mut rates, ranges) = owned(record, candidates, load);
        if levels {
            shrink_rates(&mut rates, &ranges, load);
        }
        let capacity: f64 = candidates.iter().map(|it| it.capacity).sum();
        let mut fastest: Vec<usize> = (0..candidates.len()).collect();
        fastest.sort_by(|a, b| candidates[*b].capacity.total_cmp(&candidates[*a].capacity));
        fastest.truncate(RECEIVERS / 2);
        let mut plan = Self {
            candidates,
            load,
            ranges,
            mean: rates.iter().sum::<f64>() / capacity.max(0.01),
            first_rates: rates.clone(),
            rates,
            moves: Vec::new(),
            taken: Taken::new(cooling_down),
            planned: Taken::default(),
            open: Order::default(),
            by_utilisation: Order::default(),
            by_room: Order::default(),
            fastest,
            examined: 0,
            levels,
        };
        plan.open = (0..candidates.len())
            .map(|at| (plan.utilisation(at), at))
            .collect();
        plan.by_utilisation = plan.open.clone();
        plan.by_room = (0..candidates.len())
            .map(|at| (-plan.room(at), at))
            .collect();
        plan
    }

    /// Adds moves until enough are planned, none is worth making, or too many candidates can't be relieved.
    fn build(mut self, limits: MoveLimits) -> Vec<Move> {
        let max_passed_over = MIN_PASSED_OVER + portion(self.candidates.len());
        let mut passed_over = HashSet::new();
        while self.moves.len() < limits.all && self.examined < MAX_KEYS_EXAMINED {
            let Some(busiest) = self.open.highest() else {
                break;
            };
            let minor = self.moves.len() < limits.minor;
            if !self.is_overloaded(busiest) {
                let Some(step) = self.fill_idle(busiest).filter(|_| minor) else {
                    break;
                };
                self.add(step);
                continue;
            }
            let due = minor || self.is_significant(busiest);
            let step = due.then(|| self.relieve(busiest)).flatten();
            if let Some(step) = step.or_else(|| self.isolate(busiest)) {
                self.add(step);
                continue;
            }
            self.open.remove(self.utilisation(busiest), busiest);
            passed_over.insert(busiest);
            if passed_over.len() > max_passed_over {
                break;
            }
        }
        self.moves
    }

    /// Returns the utilisation of a candidate, as it will be after the moves.
    fn utilisation(&self, at: usize) -> f64 {
        self.rates[at] / self.candidates[at].capacity.max(0.01)
    }

    /// Returns the utilisation up to which candidates are filled with parts of the load of others.
    fn fill_level(&self) -> f64 {
        (self.mean * FILL_RATIO).max(LOW_UTILISATION)
    }

    /// Returns the free capacity of a candidate up to the fill level, in requests per second.
    fn room(&self, at: usize) -> f64 {
        self.candidates[at].capacity * self.fill_level() - self.rates[at]
    }

    /// Adds to the rate of a candidate and keeps it in order.
    fn add_rate(&mut self, at: usize, rate: f64) {
        let (utilisation, room) = (self.utilisation(at), self.room(at));
        self.rates[at] = (self.rates[at] + rate).max(0.0);
        self.by_room.replace(-room, -self.room(at), at);
        let next = self.utilisation(at);
        self.by_utilisation.replace(utilisation, next, at);
        self.open.replace(utilisation, next, at);
    }

    /// Adds a move.
    fn add(&mut self, step: Step) {
        let Step { run, from, to } = step;
        self.add_rate(from, -run.rate);
        self.add_rate(to, run.rate);
        self.taken.insert(run.from, run.to);
        self.planned.insert(run.from, run.to);
        self.moves.push(Move {
            from: run.from,
            to: run.to,
            owner: self.candidates[to].incarnation.clone(),
        });
    }

    /// Returns whether a candidate is so busy that keys move away.
    fn is_overloaded(&self, at: usize) -> bool {
        let utilisation = self.utilisation(at);
        if self.levels {
            return utilisation > self.mean * MAX_LEVEL_IMBALANCE;
        }
        utilisation > LOW_UTILISATION && utilisation > self.mean * MAX_IMBALANCE
    }

    /// Returns whether chance alone doesn't explain that a candidate is overloaded.
    fn is_significant(&self, at: usize) -> bool {
        let expected = self.candidates[at].capacity * self.mean * MAX_IMBALANCE;
        self.rates[at] - self.load.deviation(self.rates[at]) > expected
    }

    /// Returns the candidates that may take a run of a busy one's keys.
    fn receivers(&self, busiest: usize) -> Vec<usize> {
        let mut receivers: Vec<usize> = if self.candidates.len() <= MAX_COMPARED {
            (0..self.candidates.len()).collect()
        } else {
            let idle = self.by_utilisation.lowest(RECEIVERS);
            let all = idle.chain(self.by_room.lowest(RECEIVERS));
            all.chain(self.fastest.iter().copied()).collect()
        };
        receivers.sort_unstable();
        receivers.dedup();
        receivers.retain(|to| *to != busiest);
        receivers
    }

    /// Returns the rate of the run that is to move from one candidate to another, in requests per second.
    fn wanted_rate(&self, busiest: usize, to: usize) -> f64 {
        let (from, into) = (&self.candidates[busiest], &self.candidates[to]);
        // After a move of this rate both have the same utilisation.
        let even = (self.rates[busiest] * into.capacity - self.rates[to] * from.capacity)
            / (from.capacity + into.capacity);
        if !self.levels {
            return even.min(self.room(to));
        }
        let excess = self.rates[busiest] - self.mean * from.capacity;
        let missing = self.mean * MAX_LEVEL_IMBALANCE * into.capacity - self.rates[to];
        even.min(excess).min(missing)
    }

    /// Returns the run of the busiest candidate's keys and the new owner that lower the utilisation most.
    fn relieve(&mut self, busiest: usize) -> Option<Step> {
        let before = self.utilisation(busiest);
        let keys = self.busy_keys(busiest);
        let count = keys.iter().count();
        let hottest_key = keys.hottest(&self.taken).filter(|_| !self.levels);
        let is_far = before > self.mean.max(LOW_UTILISATION) * FAR_IMBALANCE;
        let mut best: Option<(Run, usize, f64)> = None;
        for to in self.receivers(busiest) {
            let wanted = self.wanted_rate(busiest, to);
            let narrowest = (wanted > 0.0).then(|| self.narrowest_run(&keys, wanted));
            self.examined += count + 1;
            for run in [narrowest.flatten(), hottest_key].into_iter().flatten() {
                let into = self.candidates[to].capacity.max(0.01);
                let kept = (self.rates[busiest] - run.rate) / self.candidates[busiest].capacity;
                let added = (self.rates[to] + run.rate) / into;
                let is_part = (is_far || self.levels) && run.rate >= MIN_PART_RATIO * into;
                let after = if is_part { added } else { kept.max(added) };
                let better = best.is_none_or(|(_, _, least)| after < least - UTILISATION_TOLERANCE);
                if better && !self.moves_the_load_on(run, to, before) {
                    best = Some((run, to, after));
                }
            }
        }
        let (run, to, after) = best?;
        let ratio = if self.levels {
            REQUIRED_LEVEL_RATIO
        } else {
            REQUIRED_RATIO
        };
        let from = busiest;
        (after < before * ratio).then_some(Step { run, from, to })
    }

    /// Returns whether the next owner of a run would be as busy as the present one is, if the rate as counted is right.
    ///
    /// The run is chosen by what it is expected to keep of its rate, which is less while few requests were counted. A single
    /// key that carries its owner's whole load would then move on and on.
    fn moves_the_load_on(&self, run: Run, to: usize, before: f64) -> bool {
        let rate = self.load.rate(run.from, run.to);
        let counted = (self.rates[to] + rate) / self.candidates[to].capacity.max(0.01);
        !self.levels && counted > before - UTILISATION_TOLERANCE
    }

    /// Returns the move of other keys away from a candidate that one key alone fills.
    ///
    /// Keys that moved recently move again: behind the one key their requests would hardly be served.
    fn isolate(&mut self, busiest: usize) -> Option<Step> {
        let before = self.utilisation(busiest);
        if self.levels || before < MIN_DOMINATED_UTILISATION {
            return None;
        }
        let all = self.busy_keys(busiest);
        let (hottest, rate) = *all.iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        if rate < self.rates[busiest] * DOMINANT_RATIO {
            return None;
        }
        let pieces = self.ranges[busiest].iter().flat_map(|(from, to)| {
            if (*from..=*to).contains(&hottest) {
                let below = (*from, hottest.saturating_sub(1));
                let above = (hottest.saturating_add(1), *to);
                let exists = [*from < hottest, hottest < *to];
                let pieces = [below, above].into_iter().zip(exists);
                pieces
                    .filter_map(|(it, exists)| exists.then_some(it))
                    .collect()
            } else {
                vec![(*from, *to)]
            }
        });
        let free = pieces.filter(|(from, to)| !self.planned.overlaps(*from, *to));
        let runs = free.map(|(from, to)| Run {
            from,
            to,
            rate: self.load.rate(from, to),
        });
        let run = runs.max_by(|a, b| a.rate.total_cmp(&b.rate))?;
        let to = self.receivers(busiest).into_iter().min_by(|a, b| {
            let added = |at: usize| (self.rates[at] + run.rate) / self.candidates[at].capacity;
            added(*a).total_cmp(&added(*b))
        })?;
        let added = (self.rates[to] + run.rate) / self.candidates[to].capacity.max(0.01);
        self.examined += all.iter().count() + 1;
        let worth = run.rate > MAX_IDLE_RATE && added < before * REQUIRED_RATIO;
        let from = busiest;
        worth.then_some(Step { run, from, to })
    }

    /// Returns the keys of a candidate that have load.
    fn busy_keys(&self, owner: usize) -> BusyKeys {
        BusyKeys::new(self.load, &self.ranges[owner], self.first_rates[owner])
    }

    /// Returns the narrowest run of keys that may move and that carries about `wanted` requests per second.
    fn narrowest_run(&self, keys: &BusyKeys, wanted: f64) -> Option<Run> {
        let min_ratio = if self.levels {
            MIN_LEVEL_RUN_RATIO
        } else {
            MIN_RUN_RATIO
        };
        keys.narrowest_run(wanted, min_ratio, &self.taken)
    }

    /// Returns the move of a run of the busiest candidate's keys to one without load, if there is one.
    fn fill_idle(&self, busiest: usize) -> Option<Step> {
        let idlest = self.by_utilisation.lowest(1).next()?;
        if self.levels || self.rates[idlest] >= MAX_IDLE_RATE || self.mean <= 0.0 {
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
}
