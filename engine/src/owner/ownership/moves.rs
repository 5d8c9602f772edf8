//! Decides which keys move to balance the load, and when.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::{borrow::Cow, collections::HashSet, time::Duration};

use super::{Effect, ServiceOwnership};
use crate::{
    catalogue::Target,
    owner::{
        balance::{self, Candidate, Move, MoveLimits},
        load::Load,
        range_state::{Phase, RangeState},
        record::{Incarnation, Record},
        redistribution,
        service_times::median,
    },
    placement::rates,
};

/// The minimum time between two rounds of moves: the counts that show their effect come every 40 ms.
const BALANCE_INTERVAL: Duration = Duration::from_millis(200);

/// The minimum time between two rounds that move keys for imbalances that chance may explain.
const MINOR_INTERVAL: Duration = Duration::from_millis(400);

/// How long keys that have moved stay where they are: requests for a hot key wait at each move, and the capacity
/// of its new owner is known better after a few seconds.
const COOLDOWN: Duration = Duration::from_secs(3);

/// That time for keys that are becoming hot, whose rate is known to a fraction only.
const RISING_COOLDOWN: Duration = Duration::from_millis(800);

/// The growth of the rate of moved keys that ends their cooldown early, as a factor.
///
/// A factor of 2 is above the scatter of rates. Without this rule a key that became hot within a range that had
/// just moved stayed for 3 s on a target that could serve a seventh of its requests.
const GROWTH_FACTOR: f64 = 2.0;

/// The minimum growth that ends a cooldown early, in requests per second: smaller rates are not known quickly enough.
const MIN_GROWTH: f64 = 8.0;

/// The minimum time between two redistributions: requests for all keys wait for a moment each time.
const REDISTRIBUTION_INTERVAL: Duration = Duration::from_secs(5);

/// For how long the load has to be uneven before all keys are redistributed again, though single runs of keys move.
///
/// Hot keys that change every few seconds would otherwise move nearly all keys each time.
const UNEVEN_TIME: Duration = Duration::from_secs(1);

/// The minimum time between two rounds in which targets are levelled by their speed.
const LEVEL_INTERVAL: Duration = Duration::from_secs(10);

/// Up to which ratio of the targets as many ranges may be in transition, and the minimum for few targets.
///
/// Requests for their keys wait, and each owner that releases keys answers once its work on them has ended.
const MAX_TRANSITION_RATIO: f64 = 0.25;
const MIN_TRANSITIONS: usize = 10;

/// The number of ranges for each target above which keys move for few imbalances only: the manager renews the grant of each
/// range with a call of its own.
const MAX_RANGES_PER_TARGET: usize = 3;

/// The fraction of its capacity with which a cold target is counted.
const COLD_CAPACITY_RATIO: f64 = 0.5;

/// The time that one request is assumed to take, in seconds, while nothing was measured.
const DEFAULT_SERVICE_TIME_SECS: f64 = 0.1;

/// Keys that moved recently and stay where they are for a while.
#[derive(Debug)]
pub(super) struct Cooldown {
    keys: Move,
    until: Duration,
    /// The rate of the keys when they moved, in requests per second.
    rate: f64,
}

impl Cooldown {
    /// Returns whether the rate of the keys has grown so much that they may move again.
    fn has_grown(&self, load: &Load) -> bool {
        let rate = load.rate(self.keys.from, self.keys.to);
        rate > self.rate * GROWTH_FACTOR + MIN_GROWTH
    }
}

/// When keys moved last, and which stay where they are.
#[derive(Debug)]
pub(super) struct Schedule {
    /// When moves were last planned.
    balanced_at: Duration,
    /// When moves were last planned for imbalances that chance may explain.
    minor_at: Duration,
    /// When all keys were last redistributed, if ever.
    redistributed_at: Option<Duration>,
    /// Since when the load has been so uneven that all keys should be redistributed.
    uneven_since: Option<Duration>,
    /// When targets were last levelled.
    levelled_at: Duration,
    /// Keys that moved recently.
    cooldowns: Vec<Cooldown>,
}

impl Schedule {
    /// Creates the schedule of a term that begins now.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            balanced_at: now,
            minor_at: Duration::ZERO,
            redistributed_at: None,
            uneven_since: None,
            levelled_at: Duration::ZERO,
            cooldowns: Vec::new(),
        }
    }

    /// Returns whether all keys may be redistributed now, given whether the load is uneven enough.
    fn may_redistribute(&mut self, now: Duration, uneven: bool) -> bool {
        if !uneven {
            self.uneven_since = None;
            return false;
        }
        let since = *self.uneven_since.get_or_insert(now);
        self.redistributed_at
            .is_none_or(|at| now >= at + REDISTRIBUTION_INTERVAL && now >= since + UNEVEN_TIME)
    }
}

/// What a round of moves starts from.
struct Round<'a> {
    /// The record with the intended owners of ranges in transition.
    record: Record,
    candidates: Vec<Candidate>,
    load: Cow<'a, Load>,
    /// The ranges in transition, which can't move.
    in_transition: Vec<Move>,
}

impl ServiceOwnership {
    /// Returns the targets that may get keys, with their capacities.
    ///
    /// Targets that are avoided, unresponsive, in warm-up or refuse requests are returned only if there is no other.
    pub(super) fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let default = self.median_time();
        let ready = self.targets.values().filter(|it| !it.leaving);
        let candidates = ready.map(|it| {
            let time = self.service_times.get(&it.id).copied().unwrap_or(default);
            Candidate {
                incarnation: Incarnation::of(it),
                capacity: self.capacity(it, time),
            }
        });
        let avoided = |incarnation: &Incarnation| {
            self.avoided
                .get(incarnation)
                .is_some_and(|until| now < *until)
        };
        let unresponsive = self.unresponsive_owners();
        let refusing = self.refusing_targets(now);
        let (unsuitable, suitable): (Vec<_>, Vec<_>) = candidates.partition(|it| {
            let incarnation = &it.incarnation;
            avoided(incarnation)
                || unresponsive.contains(incarnation)
                || refusing.contains(&incarnation.id)
                || self.is_warming(now, &incarnation.id)
        });
        if suitable.is_empty() {
            unsuitable
        } else {
            suitable
        }
    }

    /// Returns the owners to which the last call could not be sent or got no response.
    ///
    /// Such an owner stays announced for a while, and has little load.
    fn unresponsive_owners(&self) -> HashSet<&Incarnation> {
        let ranges = self.record.ranges.iter();
        let unresponsive = ranges.filter(|range| {
            self.states
                .get(&range.from)
                .is_some_and(RangeState::is_unresponsive)
        });
        unresponsive
            .filter_map(|range| range.owner.as_ref())
            .collect()
    }

    /// Returns the median of all targets' service times, in seconds.
    fn median_time(&self) -> f64 {
        median(self.service_times.values().copied().collect()).unwrap_or(DEFAULT_SERVICE_TIME_SECS)
    }

    /// Returns how many requests per second a target can serve that takes `time` seconds for each.
    fn capacity(&self, target: &Target, time: f64) -> f64 {
        let ratio = if target.cold.is_zero() {
            1.0
        } else {
            COLD_CAPACITY_RATIO
        };
        let capacity = target.slots.max(1) as f64 / time * ratio;
        let rate = self.rate_limits.get(&target.id).copied();
        rate.map_or(capacity, |rate| capacity.min(rates::effective_rate(rate)))
    }

    /// Returns the capacities that candidates would have if all were equally fast.
    fn nominal_capacities(&self, candidates: &[Candidate]) -> Vec<f64> {
        let time = self.median_time();
        let nominal = |it: &Candidate| {
            let target = self.targets.get(&it.incarnation.id);
            target.map_or(it.capacity, |target| self.capacity(target, time))
        };
        candidates.iter().map(nominal).collect()
    }

    /// Begins moves that balance the load.
    ///
    /// Ranges in transition count for their next owners, and others move meanwhile: the range of an unresponsive owner,
    /// for example, is free only once its grant has expired, seconds later.
    pub(super) fn balance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let due = now >= self.schedule.balanced_at + BALANCE_INTERVAL;
        if !due || self.pending.is_some() || !self.is_lease_fresh(now) {
            return;
        }
        self.schedule.balanced_at = now;
        let candidates = self.candidates(now);
        let fastest = candidates.iter().map(|it| it.capacity).fold(0.0, f64::max);
        let load = std::mem::take(&mut self.load);
        let capped = if load.max_key_rate() > fastest {
            Cow::Owned(load.capped(fastest))
        } else {
            Cow::Borrowed(&load)
        };
        self.schedule
            .cooldowns
            .retain(|it| now < it.until && !it.has_grown(&capped));
        let (record, in_transition) = self.intended_record();
        let round = Round {
            record,
            candidates,
            load: capped,
            in_transition,
        };
        let (moves, cooldown) = self.plan_round(now, &round, effects);
        drop(round);
        self.load = load;
        for it in moves {
            self.begin_move(now, it, cooldown, effects);
        }
    }

    /// Returns the moves of a round, and for how long their keys stay where they then are.
    fn plan_round(
        &mut self,
        now: Duration,
        round: &Round<'_>,
        effects: &mut Vec<Effect>,
    ) -> (Vec<Move>, Duration) {
        let Round {
            record,
            candidates,
            load,
            in_transition,
        } = round;
        if in_transition.len() <= candidates.len() / 8 {
            let moves = redistribution::plan(record, candidates, load);
            if self.schedule.may_redistribute(now, !moves.is_empty()) {
                self.schedule.redistributed_at = Some(now);
                let count = moves.len();
                effects.push(Effect::Log(format!("event=dealt-anew moves={count}")));
                return (moves, Duration::ZERO);
            }
            if now >= self.schedule.levelled_at + LEVEL_INTERVAL {
                let moves = self.plan_level(now, round, effects);
                if !moves.is_empty() {
                    return (moves, COOLDOWN);
                }
            }
        }
        let limits = self.move_limits(now, candidates.len());
        let recent = self.schedule.cooldowns.iter().map(|it| &it.keys);
        let staying: Vec<Move> = recent.chain(in_transition).cloned().collect();
        let moves = balance::plan_within(record, candidates, load, &staying, limits);
        (moves, COOLDOWN)
    }

    /// Returns the moves that level targets by their speed, if they are worth their cost.
    fn plan_level(
        &mut self,
        now: Duration,
        round: &Round<'_>,
        effects: &mut Vec<Effect>,
    ) -> Vec<Move> {
        let Round {
            record,
            candidates,
            load,
            in_transition,
        } = round;
        let nominal = self.nominal_capacities(candidates);
        let gain = redistribution::speed_gain(record, candidates, &nominal, load);
        if !redistribution::is_level_worth(record, gain, &[]) {
            return Vec::new();
        }
        let moves = balance::level(record, candidates, load, in_transition);
        if moves.is_empty() || !redistribution::is_level_worth(record, gain, &moves) {
            return Vec::new();
        }
        self.schedule.levelled_at = now;
        effects.push(Effect::Log(format!(
            "event=keys-levelled moves={} gain={gain:.2}",
            moves.len()
        )));
        moves
    }

    /// Returns how many moves a round may begin.
    ///
    /// Ranges of unresponsive owners don't count: they wait for their grants to expire, and cause no calls that matter.
    fn move_limits(&mut self, now: Duration, targets: usize) -> MoveLimits {
        let moving = |it: &&RangeState| it.phase != Phase::Owned && !it.is_unresponsive();
        let in_transition = self.states.values().filter(moving).count();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a count"
        )]
        let max = ((targets as f64 * MAX_TRANSITION_RATIO) as usize).max(MIN_TRANSITIONS);
        let MoveLimits { mut minor, mut all } = MoveLimits::of_targets(targets);
        if now < self.schedule.minor_at + MINOR_INTERVAL {
            minor = 0;
        } else {
            self.schedule.minor_at = now;
        }
        if self.record.ranges.len() > targets * MAX_RANGES_PER_TARGET {
            all = minor;
        }
        let all = all.min(max.saturating_sub(in_transition));
        MoveLimits {
            minor: minor.min(all),
            all,
        }
    }

    /// Returns the record with the intended owners of ranges in transition, and these ranges.
    fn intended_record(&self) -> (Record, Vec<Move>) {
        let mut record = self.record.clone();
        let mut in_transition = Vec::new();
        for range in &mut record.ranges {
            let Some(state) = self.states.get(&range.from) else {
                continue;
            };
            let next = match &state.phase {
                Phase::Owned => continue,
                Phase::Releasing(next) | Phase::Free(next) => next,
            };
            if let Some(owner) = next.as_ref().or(range.owner.as_ref()) {
                in_transition.push(Move {
                    from: range.from,
                    to: range.to,
                    owner: owner.clone(),
                });
            }
            if next.is_some() {
                range.owner.clone_from(next);
            }
        }
        (record, in_transition)
    }

    /// Begins a move: splits off the range and asks its owner to release it.
    fn begin_move(
        &mut self,
        now: Duration,
        it: Move,
        cooldown: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(from) = self.record.find(it.from).map(|range| range.from) else {
            return;
        };
        let within = self
            .record
            .find(it.to)
            .is_some_and(|range| range.from == from);
        let idle = self
            .states
            .get(&from)
            .is_some_and(|state| !state.in_flight && state.phase == Phase::Owned);
        if !within || !idle {
            return;
        }
        let whole = self.states[&from].clone();
        self.record.split(it.from, it.to);
        for range in &self.record.ranges {
            self.states
                .entry(range.from)
                .or_insert_with(|| whole.clone());
        }
        let rate = self.load.rate(it.from, it.to);
        let cooldown = if self.load.is_rising(it.from, it.to) {
            cooldown.min(RISING_COOLDOWN)
        } else {
            cooldown
        };
        effects.push(Effect::Log(format!(
            "event=move-begun from={} to={} owner={} load={rate:.1}",
            it.from, it.to, it.owner.id,
        )));
        self.schedule.cooldowns.push(Cooldown {
            keys: it.clone(),
            until: now + cooldown,
            rate,
        });
        if let Some(state) = self.states.get_mut(&it.from) {
            state.phase = Phase::Releasing(Some(it.owner));
            state.next_call = now;
        }
    }
}
