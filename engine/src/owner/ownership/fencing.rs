//! Fences all targets of a service when its record may have lost the last moves.
//!
//! Load pattern: the store comes back from a copy that is some seconds old, so the record names owners from before the last
//! moves, and any target may hold any key by a grant that no record names. What the targets hold, they know themselves: each
//! one releases all keys but those that the record gives it. Only then is the record of the new term written, and granted by.

use std::time::Duration;

use super::{
    CallOutcome, Effect, OwnershipCommand, RETRY_DELAY, ServiceOwnership,
    predecessors::Predecessors,
};
use crate::owner::record::{Fence, Incarnation, Record, RequestKey};

/// How long targets may take to announce themselves again after the store has come back.
const REANNOUNCE_TIME: Duration = Duration::from_millis(2500);
/// For how many renewal intervals an incarnation must have ended before it counts as fenced: each manager that runs has
/// tried to renew its grants meanwhile, and one call may fail.
const END_INTERVALS: u32 = 2;
/// How long targets that don't respond are waited for if the store holds no record at all, as at the very first start.
const FIRST_START_WAIT: Duration = Duration::from_secs(1);

/// What a new manager knows beside the record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Memory {
    /// The incarnations that this VM has seen announced lately.
    pub targets: Vec<Incarnation>,
    /// Whether this VM already followed the fleet when the store came back.
    pub lived_through: bool,
}

/// The release of a part of all keys at one target.
#[derive(Clone, Debug)]
struct FenceCall {
    owner: Incarnation,
    from: RequestKey,
    to: RequestKey,
    in_flight: bool,
    next_call: Duration,
    /// Since when each call has found that the incarnation has ended.
    ended_since: Option<Duration>,
    done: bool,
}

impl FenceCall {
    /// Handles the outcome of the call.
    fn ended(&mut self, now: Duration, renew_interval: Duration, outcome: &CallOutcome) {
        self.in_flight = false;
        self.next_call = now + RETRY_DELAY;
        self.done |= matches!(outcome, CallOutcome::Done(_));
        if *outcome != CallOutcome::Gone {
            self.ended_since = None;
            return;
        }
        let since = *self.ended_since.get_or_insert(now);
        self.done |= now >= since + renew_interval * END_INTERVALS;
    }
}

/// The fencing of all targets before a takeover.
///
/// The end of an incarnation alone proves nothing: an earlier manager may grant to the next one, which has seen no fence.
/// A manager that runs learns of the end with its next renewal, and grants to that incarnation no more.
#[derive(Clone, Debug)]
pub(super) struct Fencing {
    calls: Vec<FenceCall>,
    /// Below the fence of each grant of this term, and above all of earlier ones.
    fence: Fence,
    /// Until when targets may announce themselves again.
    announced_at: Duration,
    /// When every grant of an earlier manager has expired.
    until: Duration,
}

impl Fencing {
    /// Begins the fencing for the record that a takeover is going to write.
    pub(super) fn new(
        now: Duration,
        record: &Record,
        memory: &Memory,
        predecessors: Predecessors,
    ) -> Self {
        let latest_expiry = predecessors.latest_expiry();
        let is_first = latest_expiry <= now;
        let owners = record.ranges.iter().filter_map(|it| it.owner.as_ref());
        let fences = record.ranges.iter().map(|it| it.fence);
        let mut fencing = Self {
            calls: Vec::new(),
            fence: fences.min().unwrap_or(1) - 1,
            announced_at: if memory.lived_through || is_first {
                now
            } else {
                now + REANNOUNCE_TIME
            },
            until: if is_first {
                now + FIRST_START_WAIT
            } else {
                latest_expiry
            },
        };
        for owner in owners.chain(&memory.targets) {
            fencing.add(now, record, owner);
        }
        fencing
    }

    /// Adds the calls to a target, unless they were added before.
    fn add(&mut self, now: Duration, record: &Record, owner: &Incarnation) {
        if self.calls.iter().any(|it| it.owner == *owner) {
            return;
        }
        let mut add_call = |from, to| {
            self.calls.push(FenceCall {
                owner: owner.clone(),
                from,
                to,
                in_flight: false,
                next_call: now,
                ended_since: None,
                done: false,
            });
        };
        let mut next = record.ranges.first().map_or(0, |it| it.from);
        for range in &record.ranges {
            if range.owner.as_ref() != Some(owner) {
                continue;
            }
            if next < range.from {
                add_call(next, range.from - 1);
            }
            next = range.to + 1;
        }
        let last = record.ranges.last().map_or(0, |it| it.to);
        if next <= last {
            add_call(next, last);
        }
    }

    /// Returns whether a target may still hold a key that the record doesn't give it.
    fn is_blocking(&self, now: Duration) -> bool {
        let is_open = now < self.announced_at || self.calls.iter().any(|it| !it.done);
        is_open && now < self.until
    }

    /// Returns the calls that are due.
    fn due_calls(&mut self, now: Duration) -> Vec<OwnershipCommand> {
        let calls = self.calls.iter_mut();
        let due = calls.filter(|it| !it.done && !it.in_flight && now >= it.next_call);
        let commands = due.map(|it| {
            it.in_flight = true;
            OwnershipCommand {
                owner: it.owner.clone(),
                from: it.from,
                to: it.to,
                fence: self.fence,
                grant_duration: Duration::ZERO,
                decided_at: now,
                handover: None,
            }
        });
        commands.collect()
    }
}

impl ServiceOwnership {
    /// Handles the outcome of the call that fences an incarnation from a key on.
    pub(super) fn fence_ended(
        &mut self,
        now: Duration,
        owner: &Incarnation,
        from: RequestKey,
        outcome: &CallOutcome,
    ) {
        let renew_interval = self.timing.renew_interval;
        let calls = self.fencing.iter_mut().flat_map(|it| &mut it.calls);
        for call in calls.filter(|it| it.owner == *owner && it.from == from) {
            call.ended(now, renew_interval, outcome);
        }
    }

    /// Fences targets; returns whether the record of the takeover can't be written yet.
    pub(super) fn fence_targets(&mut self, now: Duration, effects: &mut Vec<Effect>) -> bool {
        let (Some(fencing), Some(pending)) = (&mut self.fencing, &self.pending) else {
            return false;
        };
        for target in self.targets.values() {
            fencing.add(now, &pending.record, &Incarnation::of(target));
        }
        if fencing.is_blocking(now) {
            effects.extend(fencing.due_calls(now).into_iter().map(Effect::Fence));
            return true;
        }
        let open = fencing.calls.iter().filter(|it| !it.done).count();
        effects.push(Effect::Log(format!(
            "event=targets-fenced calls={} unanswered={open}",
            fencing.calls.len()
        )));
        effects.push(Effect::Commit(pending.record.clone()));
        self.fencing = None;
        false
    }
}
