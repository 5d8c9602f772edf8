//! Frees the ranges of an owner whose address another target uses, also while earlier managers may still send grants.
//!
//! A grant names its target by id, so the other target refuses it. A process that starts at the address under the owner's
//! id would accept it. Such a process comes too late if the address was in other hands for long enough:
//!
//! - A manager without a fresh lease sends an owner no grant once [`Timing::max_silence`] has passed since the call that
//!   the owner answered last. So its last grant to the owner arrives within that time and [`MAX_GRANT_DELAY`] after the
//!   owner's end.
//! - The owner ended [`MIN_START_TIME`] before another target answered for the first time, and its id can't serve at the
//!   address until as long after another target answered for the last time.
//!
//! So answers of other targets prove that no earlier grant can be accepted any more if enough time lies between the first
//! and the last, and too little between any two for the owner's id to have served at the address.
//! An entry in the store proves less, since it may be stale or written by others: it only makes a call due.

use std::time::Duration;

use super::{Effect, MAX_EVENT_GAP, MAX_GRANT_DELAY, ServiceOwnership, Timing};
use crate::owner::{
    range_state::Phase,
    record::{Incarnation, RequestKey},
};

/// The minimum time from the end of a process until another one serves at its address.
const MIN_START_TIME: Duration = MAX_EVENT_GAP;
/// The minimum of [`Timing::max_silence`]: the renewal interval of a large fleet, and one call without a response.
///
/// Managers of one fleet may have counted different numbers of VMs, and this covers the interval of each.
const MIN_MAX_SILENCE: Duration = Duration::from_millis(1500);
/// How much longer than the renewal interval an owner may be silent: one call without a response, and its repetition.
const SILENCE_MARGIN: Duration = Duration::from_millis(600);

/// The answers of other targets at the address of an owner, with too little time between them for the owner's id.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reuse {
    /// When the first answer came.
    first: Duration,
    /// When the call with the last answer was decided.
    last_call: Duration,
}

impl Reuse {
    /// Adds an answer that came at `now` to a call that was decided at `called_at`.
    fn add(&mut self, now: Duration, called_at: Duration) {
        if now >= self.last_call + MIN_START_TIME * 2 {
            self.first = now;
        }
        self.last_call = self.last_call.max(called_at);
    }
}

impl Timing {
    /// Returns how long after the call that an owner answered last a manager without a fresh lease may send it a grant.
    pub(super) fn max_silence(&self) -> Duration {
        MIN_MAX_SILENCE.max(self.renew_interval + SILENCE_MARGIN)
    }

    /// Returns the time between two answers of other targets after which no earlier grant can be accepted any more.
    fn reuse_time(&self) -> Duration {
        (self.max_silence() + MAX_GRANT_DELAY).saturating_sub(MIN_START_TIME * 2)
    }
}

impl ServiceOwnership {
    /// Handles the answer of another target at the address of the owner of the range that begins at `from`.
    pub(super) fn address_reused(
        &mut self,
        now: Duration,
        from: RequestKey,
        effects: &mut Vec<Effect>,
    ) {
        let owner = self.record.find(from).and_then(|range| range.owner.clone());
        let (Some(owner), Some(state)) = (owner, self.states.get(&from)) else {
            return;
        };
        let called_at = state.called_at;
        let reuse = Reuse {
            first: now,
            last_call: called_at,
        };
        let reuse = self.reused.entry(owner.clone()).or_insert(reuse);
        reuse.add(now, called_at);
        // Until then an earlier manager may take its lease for fresh, and grant whether or not its owners answer.
        let first = reuse.first.max(self.predecessors.leased_until());
        let proved_at = first + self.timing.reuse_time();
        if self.predecessors.have_stopped(now) || self.is_announced_later(&owner) {
            self.process_ended(now, from, effects);
        } else if called_at < proved_at {
            self.process_ended(now, from, effects);
            self.postpone_calls(&owner, proved_at);
        } else {
            for from in self.idle_ranges(&owner) {
                self.free_range(now, from, "another target uses its address", effects);
            }
        }
    }

    /// Returns whether a later incarnation of an owner is announced.
    fn is_announced_later(&self, owner: &Incarnation) -> bool {
        let target = self.targets.get(&owner.id);
        target.is_some_and(|it| it.start_time > owner.start_time)
    }

    /// Returns the ranges of an owner that aren't free and have no call in flight.
    ///
    /// A range with a call in flight is handled when that call ends.
    pub(super) fn idle_ranges(&self, owner: &Incarnation) -> Vec<RequestKey> {
        let ranges = self.record.ranges.iter();
        let of_owner = ranges.filter(|range| range.owner.as_ref() == Some(owner));
        let idle = of_owner.filter(|range| {
            let state = self.states.get(&range.from);
            state.is_some_and(|state| !state.in_flight && !matches!(state.phase, Phase::Free(_)))
        });
        idle.map(|range| range.from).collect()
    }

    /// Makes the calls to an owner due no earlier than `at`.
    fn postpone_calls(&mut self, owner: &Incarnation, at: Duration) {
        for from in self.idle_ranges(owner) {
            if let Some(state) = self.states.get_mut(&from) {
                state.next_call = state.next_call.max(at);
            }
        }
    }

    /// Forgets that other targets used the addresses of incarnations that own no range any more.
    pub(super) fn forget_reused(&mut self) {
        let ranges = &self.record.ranges;
        self.reused.retain(|owner, _| {
            ranges
                .iter()
                .any(|range| range.owner.as_ref() == Some(owner))
        });
    }
}
