//! Applies the outcomes of grants and releases to the ranges and their owners.

use std::time::Duration;

use super::{CallOutcome, Effect, RETRY_DELAY, ServiceOwnership};
use crate::owner::{range_state::Phase, record::RequestKey};

/// The number of consecutive grants without a response after which only releases are sent.
///
/// With three in ten responses lost, six consecutive losses happen once in 1,400 times.
const MAX_UNANSWERED: u32 = 6;

/// How long an incarnation that lost ranges by not responding, by its end or by refusing requests gets no others.
///
/// An unresponsive target stays announced for a while, and requests for its ranges would wait without a response;
/// a target that restarts is another incarnation and may own ranges at once.
pub(super) const AVOID_TIME: Duration = Duration::from_secs(10);

impl ServiceOwnership {
    /// Handles the outcome of a grant for the range that begins at `from`.
    pub(super) fn grant_ended(
        &mut self,
        now: Duration,
        from: RequestKey,
        outcome: &CallOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let (grant_duration, renew_interval) =
            (self.timing.grant_duration, self.timing.renew_interval);
        let Some(state) = self.states.get_mut(&from) else {
            return;
        };
        state.in_flight = false;
        state.next_call = now + RETRY_DELAY;
        if *outcome != CallOutcome::Unsent {
            state.unsent = 0;
        }
        match outcome {
            CallOutcome::Done(_) => {
                state.confirmed = true;
                state.extend_expiry(now);
                state.unanswered = 0;
                state.handover = None;
                // An owner that was unresponsive got a shorter grant, so the next one is due earlier.
                let shorter = grant_duration.saturating_sub(state.grant_duration);
                state.next_call = now + renew_interval.saturating_sub(shorter);
            }
            CallOutcome::Fenced => {
                self.stopped = true;
                effects.push(Effect::Deposed);
            }
            CallOutcome::Gone => self.process_ended(now, from, effects),
            CallOutcome::Unsent => state.unsent += 1,
            CallOutcome::Silent => {
                state.extend_expiry(now);
                state.unanswered += 1;
                state.unsent = 0;
                if state.unanswered >= MAX_UNANSWERED && state.phase == Phase::Owned {
                    state.phase = Phase::Releasing(None);
                    effects.push(Effect::Log(format!("event=grant-silent from={from}")));
                }
            }
        }
    }

    /// Handles the outcome of a release for the range that begins at `from`.
    pub(super) fn release_ended(
        &mut self,
        now: Duration,
        from: RequestKey,
        outcome: CallOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.states.get_mut(&from) else {
            return;
        };
        state.in_flight = false;
        state.next_call = now + RETRY_DELAY;
        match outcome {
            CallOutcome::Done(handover) => {
                let to = match &state.phase {
                    Phase::Releasing(to) => to.clone(),
                    Phase::Owned | Phase::Free(_) => None,
                };
                state.phase = Phase::Free(to);
                state.handover = handover;
                state.expires_at = None;
                state.unanswered = 0;
                state.unsent = 0;
            }
            CallOutcome::Gone => self.process_ended(now, from, effects),
            // A release doesn't extend a grant; the grant expires meanwhile.
            CallOutcome::Fenced => {}
            CallOutcome::Unsent => state.unsent += 1,
            CallOutcome::Silent => state.unanswered += 1,
        }
    }

    /// Ends the ownership of all ranges of an owner whose process has ended; `from` is in one of them.
    fn process_ended(&mut self, now: Duration, from: RequestKey, effects: &mut Vec<Effect>) {
        let owner = self.record.find(from).and_then(|range| range.owner.clone());
        let ranges = self
            .record
            .ranges
            .iter()
            .filter(|range| range.owner == owner);
        // A range with a call in flight is handled when that call ends.
        let idle = ranges.filter(|range| {
            let state = self.states.get(&range.from);
            state.is_some_and(|state| !state.in_flight && !matches!(state.phase, Phase::Free(_)))
        });
        let lost: Vec<RequestKey> = idle.map(|range| range.from).collect();
        for from in lost {
            self.end_owner(now, from, effects);
        }
    }

    /// Frees a range whose owner has ended, unless an earlier manager could grant it to the owner's next
    /// incarnation.
    fn end_owner(&mut self, now: Duration, from: RequestKey, effects: &mut Vec<Effect>) {
        if self.predecessors.have_stopped(now) {
            return self.free_range(now, from, "its process ended", effects);
        }
        let Some(state) = self.states.get_mut(&from) else {
            return;
        };
        state.confirmed = false;
        state.inherited = true;
        state.expires_at = Some(now);
        if state.phase == Phase::Owned {
            state.phase = Phase::Releasing(None);
            effects.push(Effect::Log(format!(
                "event=range-waits from={from} cause=\"an earlier manager may still grant\""
            )));
        }
    }

    /// Frees a range whose owner can't have a valid grant any more.
    pub(super) fn free_range(
        &mut self,
        now: Duration,
        from: RequestKey,
        cause: &str,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.states.get_mut(&from) else {
            return;
        };
        let to = match &state.phase {
            Phase::Releasing(to) => to.clone(),
            Phase::Owned | Phase::Free(_) => None,
        };
        state.phase = Phase::Free(to);
        state.expires_at = None;
        state.handover = None;
        let owner = self.record.find(from).and_then(|range| range.owner.clone());
        if let Some(owner) = owner {
            effects.push(Effect::Log(format!(
                "event=range-lost from={from} owner={} cause=\"{cause}\"",
                owner.id
            )));
            self.avoided.insert(owner, now + AVOID_TIME);
        }
    }
}
