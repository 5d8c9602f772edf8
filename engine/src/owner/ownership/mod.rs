//! The state machine by which a manager records, grants and releases the ranges of one service; free of I/O.
//!
//! The rules, and what each protects against:
//!
//! - An owner and its fence are in the store before the first grant with that fence is sent, and the record
//!   changes only by compare-and-swap. So a manager that was replaced without noticing can only renew grants
//!   of owners and fences that were once in the store.
//! - A takeover raises every fence and keeps the owners. Each target that has received the new fence refuses
//!   earlier managers.
//! - A range gets a new owner only once no target can have a valid grant for it: its owner has confirmed the
//!   release, or that incarnation of the owner has ended, or the last grant that may have arrived has expired.
//!   A shorter grant doesn't end a longer one.
//! - A manager that can't renew its lease continues to grant, and all these grants expire by
//!   [`Timing::latest_expiry`] after the end of the lease. A successor waits for them, unless every manager
//!   before it is known to have stopped. The end of the previous manager alone says nothing about managers
//!   for which that one had not waited itself ([`Record::settled`]).
//! - The next incarnation of a target has seen no fence, and an earlier manager could grant to it. So the end of an
//!   incarnation frees its ranges only once all earlier managers have stopped, or once the next incarnation has
//!   seen a higher fence.
//! - A record of an earlier era of the store may have lost the last moves, and managers of terms that are gone may have
//!   granted any key to any target. So a takeover in a new era grants nothing before each target has released what the
//!   record doesn't give it, or every earlier grant has expired.
//! - A grant without a response may have arrived until the moment at which its connection was reset.
//! - While its lease isn't renewed in time a manager may have a successor, which may have had an owner release its keys, and
//!   the next incarnation of that owner has forgotten the fence. So it grants only what its own view of the targets still
//!   shows. Once it was suspended it sends nothing before the store has confirmed its lease, whether or not that has run
//!   out: the store may have come back older without it.

mod call_outcomes;
mod commit;
mod fencing;
mod moves;
mod predecessors;
mod suitability;
mod takeover;

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;

pub use self::fencing::Memory;
use self::{commit::PendingCommit, fencing::Fencing, moves::Schedule, predecessors::Predecessors};
pub use super::events::{CallOutcome, Effect, Event, OwnershipCommand, Timing};
use super::{
    load::Load,
    range_state::{Phase, RangeState, longest_grant_within},
    record::{self, Incarnation, Record, RequestKey, Term},
};
use crate::{
    catalogue::{Rate, Target, TargetId},
    store::Era,
};

/// The shortest grant that is sent near the end of the lease: a renewal takes up to its timeout of 0.4 s.
const MIN_GRANT_DURATION: Duration = Duration::from_millis(500);
/// The duration of the first grant to an owner, which may have become unresponsive unnoticed.
///
/// It is longer than the call's timeout of 0.4 s, and no key that was moved to an unresponsive target waits longer.
const FIRST_GRANT_DURATION: Duration = Duration::from_millis(600);
/// The shortest grant that is sent to an unresponsive owner to learn whether it responds again.
const MIN_PROBE_DURATION: Duration = Duration::from_millis(200);
/// The time without any event after which the process counts as suspended; no target ends and starts again faster.
const MAX_EVENT_GAP: Duration = Duration::from_millis(800);
/// The remaining ratio of the lease below which the store counts as unavailable: two renewals are late then.
const OUTAGE_LEASE_RATIO: f64 = 0.4;
/// The delay before a call without a response is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long after its decision a grant may arrive: it is sent within 0.4 s and times out after 0.4 s.
const MAX_GRANT_DELAY: Duration = Duration::from_millis(800);

/// The state machine of one service: takes events and returns what is to be done.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     ownership::{Effect, Event, ServiceOwnership, Timing},
///     record::Record,
/// };
///
/// let timing = Timing {
///     lease: Duration::from_secs(2),
///     grant_duration: Duration::from_secs(4),
///     outage_duration: Duration::from_secs(10),
///     renew_interval: Duration::from_secs(1),
///     latest_expiry: Duration::from_secs(12),
/// };
/// let now = Duration::ZERO;
/// let (mut ownership, effects) = ServiceOwnership::take_over("vm-1", Record::unowned(99), timing, now);
/// assert!(matches!(&effects[..], [Effect::Commit(record)] if record.term == 1));
/// assert!(ownership.handle(now, Event::Committed).is_empty());
/// ```
#[derive(Debug)]
pub struct ServiceOwnership {
    timing: Timing,
    /// The record as last known to be in the store.
    record: Record,
    /// The commit that is being written.
    pending: Option<PendingCommit>,
    /// When a failed commit is retried.
    commit_retry_at: Option<Duration>,
    /// How long to wait after the next failure of a commit.
    commit_backoff: Duration,
    /// When the manager's lease ends.
    lease_until: Duration,
    /// Managers of earlier terms.
    predecessors: Predecessors,
    /// The fencing of targets, until it is complete; the record of the takeover is written after it.
    fencing: Option<Fencing>,
    /// The state of each range, by its first key.
    states: IndexMap<RequestKey, RangeState>,
    /// The targets that are announced now.
    targets: IndexMap<TargetId, Target>,
    /// Incarnations that failed, and until when they get no ranges.
    avoided: IndexMap<Incarnation, Duration>,
    /// The targets in warm-up, and until when.
    warming: IndexMap<TargetId, Duration>,
    load: Load,
    /// The time that one request takes at each target, in seconds, as measured by all VMs.
    service_times: IndexMap<TargetId, f64>,
    /// The rate limits that targets ask for.
    rate_limits: IndexMap<TargetId, Rate>,
    /// The targets that refuse requests, and until when.
    refusing: IndexMap<TargetId, Duration>,
    started_at: Duration,
    /// When keys moved last.
    schedule: Schedule,
    /// When the last event was handled.
    handled_at: Duration,
    /// When the process was found to have been suspended, if the store hasn't confirmed the lease since.
    suspended_at: Option<Duration>,
    /// For how long the lease lasts from its renewal, less the time of the quickest call.
    lease_span: Duration,
    /// Whether nothing more may be sent.
    stopped: bool,
}

impl ServiceOwnership {
    /// Returns the record as last known to be in the store.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the term, also while its first commit is being written.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn term(&self) -> Term {
        let pending = self.pending.as_ref().map(|it| it.record.term);
        pending.unwrap_or(self.record.term)
    }

    /// Returns the era of the store in which the term began.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership::take_over_in_era`].
    pub fn era(&self) -> Era {
        record::era_of(self.term())
    }

    /// Sets the time that one request takes at each target, in seconds.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_service_times(&mut self, times: IndexMap<TargetId, f64>) {
        self.service_times = times;
    }

    /// Sets the rate limits that targets ask for; the capacity of such a target is no higher than its limit.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_rate_limits(&mut self, rates: IndexMap<TargetId, Rate>) {
        self.rate_limits = rates;
    }

    /// Sets the targets that refuse requests, and until when; such a target owns no keys while most others take some.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_refusing(&mut self, refusing: IndexMap<TargetId, Duration>) {
        self.refusing = refusing;
    }

    /// Sets which targets are in warm-up, and until when; such a target owns keys only if all targets are in warm-up.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_warming(&mut self, warming: IndexMap<TargetId, Duration>) {
        self.warming = warming;
    }

    /// Handles an event and returns what is to be done.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.note_gap(now, &mut effects);
        match event {
            Event::Targets(targets) => self.set_targets(targets),
            Event::GrantEnded(from, outcome) => self.grant_ended(now, from, &outcome, &mut effects),
            Event::ReleaseEnded(from, outcome) => {
                self.release_ended(now, from, outcome, &mut effects);
            }
            Event::FenceEnded(owner, from, outcome) => {
                self.fence_ended(now, &owner, from, &outcome);
            }
            Event::Committed => self.committed(now),
            Event::CommitFailed => self.commit_failed(now),
            Event::LeaseExtended(until) => self.lease_extended(now, until),
            Event::PredecessorStopped => self.predecessors.on_stopped(now),
            Event::Load(counts) => self.load.add(now, counts),
            Event::Tick => {}
        }
        if !self.stopped && !self.fence_targets(now, &mut effects) {
            self.free_expired(now, &mut effects);
            self.release_unsuitable(now, &mut effects);
            self.balance(now, &mut effects);
            self.assign_free(now, &mut effects);
            self.send_due_calls(now, &mut effects);
        }
        effects
    }

    /// Notices that the process was suspended.
    ///
    /// The store may have come back older meanwhile, without the lease, so the lease counts for nothing whether or not it
    /// has run out.
    fn note_gap(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let gap = now.saturating_sub(self.handled_at);
        self.handled_at = now;
        if gap <= MAX_EVENT_GAP {
            return;
        }
        self.suspended_at = Some(now);
        effects.push(Effect::Log(format!(
            "event=grants-suspended gap_ms={} lease_left_ms={}",
            gap.as_millis(),
            self.lease_until.saturating_sub(now).as_millis()
        )));
    }

    /// Extends the lease; a renewal that was sent after the process was suspended shows that the lease still exists.
    fn lease_extended(&mut self, now: Duration, until: Duration) {
        self.lease_until = until;
        self.lease_span = self.lease_span.max(until.saturating_sub(now));
        let renewed_at = until.saturating_sub(self.lease_span);
        // A renewal from before a gap was sent earlier by all of the gap.
        let is_later = |at: &mut Duration| now < until && renewed_at + MAX_EVENT_GAP / 2 >= *at;
        self.suspended_at.take_if(is_later);
    }

    /// Returns the owners that get no grants for now: they aren't announced, and the lease isn't fresh.
    ///
    /// A successor may have had them release their keys, and their next incarnations would take these back.
    fn withheld_owners(&self, now: Duration) -> HashSet<Incarnation> {
        if self.is_lease_fresh(now) {
            return HashSet::new();
        }
        let owners = self.record.ranges.iter().filter_map(|it| it.owner.as_ref());
        let is_announced = |owner: &&Incarnation| {
            let target = self.targets.get(&owner.id);
            target.is_some_and(|it| owner.is_announced_by(it))
        };
        owners.filter(|it| !is_announced(it)).cloned().collect()
    }

    /// Replaces the announced targets.
    fn set_targets(&mut self, targets: Vec<Target>) {
        let by_id = targets.into_iter().map(|it| (it.id.clone(), it));
        self.targets = by_id.collect();
    }

    /// Returns when the last grant of a range has surely expired; `None` if none was sent.
    fn expiry(&self, state: &RangeState) -> Option<Duration> {
        let until = state.expires_at?;
        if state.confirmed || !state.inherited {
            return Some(until);
        }
        Some(until.max(self.predecessors.latest_expiry()))
    }

    /// Frees ranges whose grants have expired.
    fn free_expired(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let expired: Vec<RequestKey> = self
            .states
            .iter()
            .filter(|(_, state)| !state.in_flight && !matches!(state.phase, Phase::Free(_)))
            .filter(|(_, state)| match self.expiry(state) {
                Some(expiry) => now >= expiry,
                // No grant was ever delivered: the range is free after two calls that could not be sent.
                None => state.unsent >= 2,
            })
            .map(|(from, _)| *from)
            .collect();
        for from in expired {
            self.free_range(
                now,
                from,
                "no response before its last grant expired",
                effects,
            );
        }
    }

    /// Returns whether the lease has been renewed in time, so the store takes in new owners.
    ///
    /// No key is released before that: until its next owner is in the store, nobody serves it.
    pub(super) fn is_lease_fresh(&self, now: Duration) -> bool {
        now + self.timing.lease.mul_f64(OUTAGE_LEASE_RATIO) < self.lease_until
    }

    /// Returns how long a grant that is sent now lasts; `None` if it may not be sent.
    ///
    /// While the store is down no VM can replace the manager, and if the manager fails too, keys are served only until
    /// their grants expire. Grants are therefore longer then.
    fn next_grant_duration(&self, now: Duration) -> Option<Duration> {
        if self.is_lease_fresh(now) {
            return Some(self.timing.grant_duration);
        }
        let end = self.lease_until + self.timing.latest_expiry;
        let left = end.saturating_sub(now + MAX_GRANT_DELAY);
        let grant_duration = longest_grant_within(left).min(self.timing.outage_duration);
        (grant_duration >= MIN_GRANT_DURATION).then_some(grant_duration)
    }

    /// Sends the calls that are due: grants for owned ranges, releases for ranges in [`Phase::Releasing`].
    fn send_due_calls(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.suspended_at.is_some() {
            return;
        }
        let grant_duration = self.next_grant_duration(now);
        let withheld = self.withheld_owners(now);
        for range in &self.record.ranges {
            let (Some(state), Some(owner)) = (self.states.get_mut(&range.from), &range.owner)
            else {
                continue;
            };
            let withheld = state.phase == Phase::Owned && withheld.contains(owner);
            if state.in_flight || now < state.next_call || withheld {
                continue;
            }
            let command = |fence, grant_duration, handover| OwnershipCommand {
                owner: owner.clone(),
                from: range.from,
                to: range.to,
                fence,
                grant_duration,
                decided_at: now,
                handover,
            };
            let grant_duration = grant_duration
                .and_then(|grant_duration| limit_grant_duration(now, state, grant_duration));
            if grant_duration.is_none() && state.phase == Phase::Owned && state.is_unresponsive() {
                state.phase = Phase::Releasing(None);
                effects.push(Effect::Log(format!(
                    "event=grant-silent from={}",
                    range.from
                )));
            }
            match (&state.phase, grant_duration) {
                (Phase::Owned, Some(grant_duration)) => {
                    state.in_flight = true;
                    state.grant_duration = grant_duration;
                    let command = command(range.fence, grant_duration, state.handover.clone());
                    effects.push(Effect::Grant(command));
                }
                (Phase::Releasing(_), _) => {
                    state.in_flight = true;
                    effects.push(Effect::Release(command(
                        range.fence + 1,
                        Duration::ZERO,
                        None,
                    )));
                }
                (Phase::Owned | Phase::Free(_), _) => {}
            }
        }
    }
}

/// Shortens a grant: to an unresponsive owner it doesn't last beyond the one that the owner may have already, and
/// to a new owner it is short until the owner has responded.
///
/// The range of an unresponsive owner is free only after the last grant that may have arrived: a longer grant
/// that is sent meanwhile would delay that.
fn limit_grant_duration(
    now: Duration,
    state: &RangeState,
    grant_duration: Duration,
) -> Option<Duration> {
    let until = match state.expires_at {
        None => return Some(grant_duration.min(FIRST_GRANT_DURATION)),
        Some(_) if !state.is_unresponsive() => return Some(grant_duration),
        Some(until) => until,
    };
    let left = longest_grant_within(until.saturating_sub(now + MAX_GRANT_DELAY));
    (left >= MIN_PROBE_DURATION).then(|| left.min(grant_duration))
}
