//! Which keys move for balance, and when.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::time::Duration;

use super::{Effect, Keeper};
use crate::owner::{
    balance::{self, Holder, Move},
    deal,
    live::Phase,
    record::Life,
};

/// The least time between two rounds of moves for balance: a move takes some 100 ms, and the counts
/// that show its effect come every 40 ms.
const BALANCE_PAUSE: Duration = Duration::from_millis(400);

/// How long keys that have moved for balance are left alone: a busy key's requests wait at each
/// move, and its new owner's power is known better after a few seconds.
const REST: Duration = Duration::from_secs(3);

/// The least time between two deals of all keys, which wait for a moment each time.
const DEAL_PAUSE: Duration = Duration::from_secs(5);

/// The part of its power that a target counts for while it is cold.
const COLD_POWER: f64 = 0.5;

/// The time that one request takes, in seconds, while nothing was measured.
const USUAL_TIME: f64 = 0.1;

impl Keeper {
    /// Returns the targets that may own keys.
    pub(super) fn holders(&self, now: Duration) -> Vec<Holder> {
        let usual = median(self.times.values().copied().collect()).unwrap_or(USUAL_TIME);
        let ready = self.targets.values().filter(|it| !it.leaving);
        let holders = ready.map(|it| {
            let time = self.times.get(&it.id).copied().unwrap_or(usual);
            let cold = if it.cold.is_zero() { 1.0 } else { COLD_POWER };
            Holder {
                life: Life::of(it),
                power: it.slots.max(1) as f64 / time * cold,
            }
        });
        let shunned = |it: &Holder| self.shunned.get(&it.life).is_some_and(|until| now < *until);
        let (bad, good): (Vec<_>, Vec<_>) = holders.partition(shunned);
        if good.is_empty() { bad } else { good }
    }

    pub(super) fn balance(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let calm = self.live.values().all(|live| live.phase == Phase::Held);
        let rested = now >= self.balanced + BALANCE_PAUSE;
        if !calm || !rested || self.pending.is_some() {
            return;
        }
        self.balanced = now;
        let holders = self.holders(now);
        self.moved.retain(|(_, until)| now < *until);
        if now >= self.dealt + DEAL_PAUSE {
            let moves = deal::anew(&self.record, &holders, &self.load);
            if !moves.is_empty() {
                self.dealt = now;
                out.push(Effect::Note(format!(
                    "event=dealt-anew moves={}",
                    moves.len()
                )));
                for it in moves {
                    self.begin(now, it, Duration::ZERO, out);
                }
                return;
            }
        }
        let resting: Vec<Move> = self.moved.iter().map(|(it, _)| it.clone()).collect();
        for it in balance::even(&self.record, &holders, &self.load, &resting) {
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
        let idle = self.live.get(&from).is_some_and(|live| !live.busy);
        if !within || !idle {
            return;
        }
        let whole = self.live[&from].clone();
        self.record.cut(it.from, it.to);
        for part in &self.record.parts {
            self.live.entry(part.from).or_insert_with(|| whole.clone());
        }
        out.push(Effect::Note(format!(
            "event=move-begun from={} to={} owner={} load={:.1}",
            it.from,
            it.to,
            it.owner.id,
            self.load.sum(it.from, it.to)
        )));
        self.moved.push((it.clone(), now + rest));
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
