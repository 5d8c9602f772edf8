//! Which keys move for balance, and when.

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
        range_state::{Live, Phase},
        record::Incarnation,
        redistribution,
    },
    placement::rates,
};

/// The least time between two rounds of moves for balance: a move takes some 100 ms, and the counts
/// that show its effect come every 40 ms.
const BALANCE_PAUSE: Duration = Duration::from_millis(400);

/// How long keys that have moved for balance are left alone: a busy key's requests wait at each
/// move, and its new owner's power is known better after a few seconds.
const REST: Duration = Duration::from_secs(3);

/// By how much the rate of keys that have moved must have grown for them to move again at once.
///
/// Twice is more than rates scatter; a key that turned busy within a range that had just moved stayed
/// 3 s on a target that could answer a seventh of its requests.
const GROWN: f64 = 2.0;

/// The least growth that counts, in requests a second: fewer are counted too slowly to tell.
const GROWN_LEAST: f64 = 8.0;

/// The least time between two deals of all keys, which wait for a moment each time.
const DEAL_PAUSE: Duration = Duration::from_secs(5);

/// The part of its power that a target counts for while it is cold.
const COLD_POWER: f64 = 0.5;

/// The time that one request takes, in seconds, while nothing was measured.
const USUAL_TIME: f64 = 0.1;

/// Keys that moved lately and are left alone for a while.
#[derive(Debug)]
pub(super) struct Rested {
    keys: Move,
    until: Duration,
    /// Their rate when they moved, in requests a second.
    rate: f64,
}

impl Rested {
    /// Returns whether the keys are so much busier that what was known when they moved is void.
    fn has_grown(&self, load: &Load) -> bool {
        let rate = load.rate(self.keys.from, self.keys.to);
        rate > self.rate * GROWN + GROWN_LEAST
    }
}

impl ServiceOwnership {
    /// Returns the targets that may own keys.
    pub(super) fn holders(&self, now: Duration) -> Vec<Candidate> {
        let usual = median(self.times.values().copied().collect()).unwrap_or(USUAL_TIME);
        let ready = self.targets.values().filter(|it| !it.leaving);
        let holders = ready.map(|it| {
            let time = self.times.get(&it.id).copied().unwrap_or(usual);
            let cold = if it.cold.is_zero() { 1.0 } else { COLD_POWER };
            let power = it.slots.max(1) as f64 / time * cold;
            let rate = self.rates.get(&it.id).copied();
            Candidate {
                incarnation: Incarnation::of(it),
                capacity: rate.map_or(power, |rate| power.min(rates::effective_rate(rate))),
            }
        });
        let shunned = |life: &Incarnation| self.shunned.get(life).is_some_and(|until| now < *until);
        let silent = self.silent();
        let (bad, good): (Vec<_>, Vec<_>) = holders.partition(|it| {
            let life = &it.incarnation;
            shunned(life) || silent.contains(life) || self.is_warming(now, &life.id)
        });
        if good.is_empty() { bad } else { good }
    }

    /// Returns the owners that did not answer when they were last called.
    ///
    /// One that is dark stays announced for a while, and looks idle.
    fn silent(&self) -> HashSet<&Incarnation> {
        let parts = self.record.ranges.iter();
        let silent = parts.filter(|part| self.live.get(&part.from).is_some_and(Live::is_silent));
        silent.filter_map(|part| part.owner.as_ref()).collect()
    }

    /// Begins moves for balance, one round at a time.
    ///
    /// A range whose owner doesn't answer waits seconds for its hold to run out. The others go on
    /// meanwhile: a busy key that fell on a slow target then was answered in time hardly ever.
    pub(super) fn balance(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let settled = |live: &Live| live.phase == Phase::Held || live.is_silent();
        let rested = now >= self.balanced + BALANCE_PAUSE;
        if !self.live.values().all(settled) || !rested || self.pending.is_some() {
            return;
        }
        let calm = self.live.values().all(|live| live.phase == Phase::Held);
        self.balanced = now;
        let holders = self.holders(now);
        let fastest = holders.iter().map(|it| it.capacity).fold(0.0, f64::max);
        let load = self.load.capped(fastest);
        self.moved
            .retain(|it| now < it.until && !it.has_grown(&load));
        if calm && now >= self.dealt + DEAL_PAUSE {
            let moves = redistribution::plan(&self.record, &holders, &load);
            if !moves.is_empty() {
                self.dealt = now;
                out.push(Effect::Log(format!(
                    "event=dealt-anew moves={}",
                    moves.len()
                )));
                for it in moves {
                    self.begin(now, it, Duration::ZERO, out);
                }
                return;
            }
        }
        let resting: Vec<Move> = self.moved.iter().map(|it| it.keys.clone()).collect();
        for it in balance::plan(&self.record, &holders, &load, &resting) {
            self.begin(now, it, REST, out);
        }
    }

    /// Begins a move: cuts the range out and asks its owner to let go.
    fn begin(&mut self, now: Duration, it: Move, rest: Duration, out: &mut Vec<Effect>) {
        let Some(from) = self.record.find(it.from).map(|part| part.from) else {
            return;
        };
        let within = self
            .record
            .find(it.to)
            .is_some_and(|part| part.from == from);
        let idle = self
            .live
            .get(&from)
            .is_some_and(|live| !live.busy && live.phase == Phase::Held);
        if !within || !idle {
            return;
        }
        let whole = self.live[&from].clone();
        self.record.split(it.from, it.to);
        for part in &self.record.ranges {
            self.live.entry(part.from).or_insert_with(|| whole.clone());
        }
        let rate = self.load.rate(it.from, it.to);
        out.push(Effect::Log(format!(
            "event=move-begun from={} to={} owner={} load={rate:.1}",
            it.from, it.to, it.owner.id,
        )));
        self.moved.push(Rested {
            keys: it.clone(),
            until: now + rest,
            rate,
        });
        if let Some(live) = self.live.get_mut(&it.from) {
            live.phase = Phase::Releasing(Some(it.owner));
            live.due = now;
        }
    }
}

/// The middle of some values.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
