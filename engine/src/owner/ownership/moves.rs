//! Decides which keys move to balance the load, and when.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::{collections::HashSet, time::Duration};

use super::{Effect, ServiceOwnership};
use crate::{
    owner::{
        balance::{self, Candidate, Move},
        load::Load,
        range_state::{Phase, RangeState},
        record::Incarnation,
        redistribution,
    },
    placement::rates,
};

/// The minimum time between two rounds of moves: a move takes some 100 ms, and the counts that show its effect come
/// every 40 ms.
const BALANCE_INTERVAL: Duration = Duration::from_millis(400);

/// How long keys that have moved stay where they are: requests for a hot key wait at each move, and the capacity
/// of its new owner is known better after a few seconds.
const COOLDOWN: Duration = Duration::from_secs(3);

/// The growth of the rate of moved keys that ends their cooldown early, as a factor.
///
/// A factor of 2 is above the scatter of rates. Without this rule a key that became hot within a range that had
/// just moved stayed for 3 s on a target that could serve a seventh of its requests.
const GROWTH_FACTOR: f64 = 2.0;

/// The minimum growth that ends a cooldown early, in requests per second: smaller rates are not known quickly enough.
const MIN_GROWTH: f64 = 8.0;

/// The minimum time between two redistributions: requests for all keys wait for a moment each time.
const REDISTRIBUTION_INTERVAL: Duration = Duration::from_secs(5);

/// The minimum time between two rounds that pass over owners which can't be relieved, for each range of the record.
///
/// Such rounds go on for as long as one owner is too busy, and each of their moves sends the record with all ranges to the
/// store and to all VMs.
const FULL_ROUND_INTERVAL_PER_RANGE: Duration = Duration::from_millis(4);

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

impl ServiceOwnership {
    /// Returns the targets that may get keys, with their capacities.
    ///
    /// Targets that are avoided, unresponsive, in warm-up or refuse requests are returned only if there is no other.
    pub(super) fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let default = median(self.service_times.values().copied().collect())
            .unwrap_or(DEFAULT_SERVICE_TIME_SECS);
        let ready = self.targets.values().filter(|it| !it.leaving);
        let candidates = ready.map(|it| {
            let time = self.service_times.get(&it.id).copied().unwrap_or(default);
            let ratio = if it.cold.is_zero() {
                1.0
            } else {
                COLD_CAPACITY_RATIO
            };
            let capacity = it.slots.max(1) as f64 / time * ratio;
            let rate = self.rate_limits.get(&it.id).copied();
            Candidate {
                incarnation: Incarnation::of(it),
                capacity: rate.map_or(capacity, |rate| capacity.min(rates::effective_rate(rate))),
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

    /// Begins moves that balance the load, one round at a time.
    ///
    /// The range of an unresponsive owner is free only once its grant has expired, seconds later. Other keys move
    /// meanwhile: otherwise almost all requests for a hot key on a slow target would time out.
    pub(super) fn balance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_idle = |state: &RangeState| state.phase == Phase::Owned || state.is_unresponsive();
        let due = now >= self.balanced_at + BALANCE_INTERVAL;
        let may_commit = self.pending.is_none() && self.is_lease_fresh(now);
        if !self.states.values().all(is_idle) || !due || !may_commit {
            return;
        }
        let all_owned = self
            .states
            .values()
            .all(|state| state.phase == Phase::Owned);
        self.balanced_at = now;
        let candidates = self.candidates(now);
        let fastest = candidates.iter().map(|it| it.capacity).fold(0.0, f64::max);
        let load = self.load.capped(fastest);
        self.cooldowns
            .retain(|it| now < it.until && !it.has_grown(&load));
        if all_owned && now >= self.redistributed_at + REDISTRIBUTION_INTERVAL {
            let moves = redistribution::plan(&self.record, &candidates, &load);
            if !moves.is_empty() {
                self.redistributed_at = now;
                effects.push(Effect::Log(format!(
                    "event=dealt-anew moves={}",
                    moves.len()
                )));
                for it in moves {
                    self.begin_move(now, it, Duration::ZERO, effects);
                }
                return;
            }
        }
        let cooling_down: Vec<Move> = self.cooldowns.iter().map(|it| it.keys.clone()).collect();
        let plan = if self.is_full_round_due(now) {
            self.full_round_at = now;
            balance::plan
        } else {
            balance::plan_busiest
        };
        for it in plan(&self.record, &candidates, &load, &cooling_down) {
            self.begin_move(now, it, COOLDOWN, effects);
        }
    }

    /// Returns whether a round of moves may pass over owners that can't be relieved.
    fn is_full_round_due(&self, now: Duration) -> bool {
        let ranges = u32::try_from(self.record.ranges.len()).unwrap_or(u32::MAX);
        now >= self.full_round_at + FULL_ROUND_INTERVAL_PER_RANGE.saturating_mul(ranges)
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
        effects.push(Effect::Log(format!(
            "event=move-begun from={} to={} owner={} load={rate:.1}",
            it.from, it.to, it.owner.id,
        )));
        self.cooldowns.push(Cooldown {
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

/// Returns the median; of an even count the upper of the two middle values.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
