//! Chooses the target of a request: the owner of its key, or the best of a random sample.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::time::Duration;

use rand::{Rng, seq::index};

use super::{
    Basis, DEFAULT_RETRY_AFTER, DispatchRequest, Dispatcher, RefusalReason,
    admission::{Candidate, Decision, QueueState},
    late,
};
use crate::{
    catalogue::{Target, TargetId},
    owner::record::{KeyRange, Record, RequestKey},
    placement::{
        owner_gaps,
        quota::Quota,
        refused_keys,
        target_state::{DEFAULT_SERVICE_TIME, TargetState},
    },
};

/// How long a request waits for its key to get an owner, as a fraction of the route's goal.
///
/// A planned move takes one release, one write and one grant, some 50 to 200 ms. Replacing a lost owner takes seconds,
/// for which no request should be held.
const OWNER_WAIT_FRACTION: f64 = 0.6;
/// The minimum time that a caller is asked to wait before it retries: a caller is some 10 ms away.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// The relative variation of estimates, so that VMs with the same data don't all choose the same target.
const JITTER: f64 = 0.12;
/// The factor on the expected time of a target in another failure domain: a round trip takes some 3 ms of 60.
const REMOTE_FACTOR: f64 = 1.04;

/// How many targets are sampled for a request; those in this failure domain and a few others are compared.
///
/// All VMs receive the same counts at the same time, and each would send to the same few targets that look best. Random
/// samples spread the requests, and one of the faster targets is nearly always among them.
const SAMPLE_SIZE: usize = 12;
/// How many sampled targets in other failure domains are compared.
const MAX_REMOTE_SAMPLED: usize = 3;
/// How many service times a goal typically has; assumed while nothing has been measured.
const SERVICE_TIMES_PER_GOAL: f64 = 5.0;
/// How long a median of service times is used: it changes slowly, and covers hundreds of targets.
const MEDIAN_LIFETIME: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Decides for one request; `queue_state` is its state in the queue.
    pub(super) fn choose(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        queue_state: QueueState,
    ) -> Decision {
        if self.view.evacuated.contains(&request.service) {
            return Decision::Refuse(
                RefusalReason::Evacuated,
                DEFAULT_RETRY_AFTER,
                self.owner_basis(request),
            );
        }
        if let Some(decision) = self.wait_for_news(now, request) {
            return decision;
        }
        match (request.key, self.view.records.get(&request.service)) {
            (Some(key), Some(record)) => {
                let record = record.clone();
                self.choose_owner(now, request, queue_state, key, &record)
            }
            (Some(_), None) => self.wait_briefly(now, request),
            (None, _) => self.choose_any(now, request, queue_state),
        }
    }

    /// Decides for a request that only the owner of its key can serve.
    fn choose_owner(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        queue_state: QueueState,
        key: RequestKey,
        record: &Record,
    ) -> Decision {
        let Some(range) = record.find(key) else {
            return self.wait_briefly(now, request);
        };
        match self.refused_keys.state(now, &request.service, range, key) {
            // A move ends within a few hundred milliseconds; the replacement of a lost owner doesn't.
            refused_keys::KeyState::Moving if now < request.goal.min(request.deadline) => {
                return Decision::Queue(None);
            }
            refused_keys::KeyState::Moving | refused_keys::KeyState::Lost => {
                return self.wait_for_owner(now, request, range);
            }
            refused_keys::KeyState::Open => {}
        }
        if request.refused_by(range) {
            // The owner may accept requests by now, and the next request will show that. Sending this one again would
            // be a retry, perhaps to a target of another service.
            return Decision::Refuse(
                RefusalReason::Moved,
                MIN_RETRY_AFTER,
                self.owner_basis(request),
            );
        }
        let state = range.owner.as_ref().and_then(|incarnation| {
            let state = self.target_states.get(&incarnation.id);
            state.filter(|it| incarnation.is_announced_by(&it.target))
        });
        let Some(state) = state else {
            return self.wait_for_owner(now, request, range);
        };
        if state.has_left(now) {
            // Its keys have had the time of several moves, so there is no next owner to wait for.
            return Decision::Refuse(
                RefusalReason::NoOwner,
                DEFAULT_RETRY_AFTER,
                self.owner_basis(request),
            );
        }
        if let Some(remaining) = self.hold_offs.remaining(now, &state.target.id) {
            return self.wait_for_hold_off(now, request, remaining);
        }
        if !state.is_available(now) || request.tried.contains(&state.target.id) {
            return self.wait_for_owner(now, request, range);
        }
        let candidate = Candidate {
            state,
            typical_time: self.typical_time(request),
            fence: range.fence,
            queue_state,
            queued_here: self.queued_for(&state.target.id, true),
            late_here: self.queued_for(&state.target.id, false),
        };
        candidate.decide(now, request)
    }

    /// Returns until when a request may wait for a target that can serve it.
    pub(super) fn wait_limit(request: &DispatchRequest) -> Duration {
        let goal = request.goal.saturating_sub(request.received_at);
        let wait_until = request.received_at + goal.mul_f64(OWNER_WAIT_FRACTION);
        wait_until.min(request.deadline)
    }

    /// Queues or refuses a request whose key has no reachable owner.
    ///
    /// Where late responses are worth a slot, it is queued if the next owner is expected before its deadline. It is
    /// refused otherwise, with the time until then, so that its caller comes back when there is an owner.
    fn wait_for_owner(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        range: &KeyRange,
    ) -> Decision {
        let gone_for = self.owner_gaps.gone_for(now, &request.service, range);
        let Some((late_until, left)) = request.late_until.zip(owner_gaps::expected_wait(gone_for))
        else {
            return self.wait_briefly(now, request);
        };
        let time = self.typical_time(request).unwrap_or_default();
        let time = Duration::from_secs_f64(time);
        let may_come_back = late::time_after_retry(now, late_until) >= time;
        let wait = if may_come_back { left } else { Duration::ZERO };
        if now + wait + time <= request.deadline {
            return Decision::Queue(None);
        }
        Decision::Refuse(RefusalReason::NoOwner, left, self.owner_basis(request))
    }

    /// Queues a request for a part of its goal, and refuses it then.
    fn wait_briefly(&self, now: Duration, request: &DispatchRequest) -> Decision {
        if now < Self::wait_limit(request) {
            return Decision::Queue(None);
        }
        Decision::Refuse(
            RefusalReason::NoOwner,
            DEFAULT_RETRY_AFTER,
            self.owner_basis(request),
        )
    }

    /// Returns the known owner of a request's key, for a refusal.
    pub(super) fn owner_basis(&self, request: &DispatchRequest) -> Basis {
        let record = self.view.records.get(&request.service);
        let range = record
            .zip(request.key)
            .and_then(|(record, key)| record.find(key));
        let owner = range.and_then(|range| range.owner.as_ref());
        Basis {
            target: owner.map_or_else(|| "none".to_owned(), |it| it.id.clone()),
            fence: range.map_or(0, |range| range.fence),
            ..Basis::default()
        }
    }

    /// Decides for a request that any target of its service can serve.
    fn choose_any(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        queue_state: QueueState,
    ) -> Decision {
        let view = self.view.clone();
        let Some(targets) = view.targets.get(&request.service) else {
            return self.wait_for_target(now, request);
        };
        let sampled = self.sample(request, targets);
        let best = self.best(now, request, sampled.into_iter());
        let Some(id) = best.or_else(|| self.best(now, request, targets.iter())) else {
            return match self.shortest_hold_off(now, targets) {
                Some(remaining) => self.wait_for_hold_off(now, request, remaining),
                None => self.wait_for_target(now, request),
            };
        };
        let candidate = Candidate {
            state: &self.target_states[&id],
            typical_time: self.typical_time(request),
            fence: 0,
            queue_state,
            queued_here: self.queued_for(&id, true),
            late_here: self.queued_for(&id, false),
        };
        candidate.decide(now, request)
    }

    /// Returns the targets that are compared for a request: mostly those in this failure domain, since traffic between
    /// failure domains costs money. For a large response these are all targets.
    ///
    /// Cold targets to which this VM may send are always among them: at most two other VMs may send to such a target,
    /// so without this VM it would get few requests.
    fn sample<'a>(&mut self, request: &DispatchRequest, targets: &'a [Target]) -> Vec<&'a Target> {
        if request.local_until.is_some() {
            return targets.iter().collect();
        }
        let count = SAMPLE_SIZE.min(targets.len());
        let sampled = index::sample(&mut self.random, targets.len(), count);
        let sampled = sampled.into_iter().map(|index| &targets[index]);
        let (mut kept, remote): (Vec<_>, Vec<_>) = sampled.partition(|it| it.domain == self.domain);
        kept.extend(remote.into_iter().take(MAX_REMOTE_SAMPLED));
        let warmup_targets = self
            .warmup_targets
            .get(&request.service)
            .into_iter()
            .flatten();
        kept.extend(warmup_targets.filter_map(|index| targets.get(*index)));
        kept
    }

    /// Returns the best of some targets that can be reached.
    fn best<'a, T>(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        targets: T,
    ) -> Option<TargetId>
    where
        T: Iterator<Item = &'a Target>,
    {
        let typical_time = self.typical_time(request);
        let mut best: Option<(&Target, Rank)> = None;
        for target in targets {
            let Some(state) = self.target_states.get(&target.id) else {
                continue;
            };
            let held = self.hold_offs.remaining(now, &target.id).is_some();
            let available = state.is_available(now) && state.allows_rate(now);
            if held || !available || request.tried.contains(&target.id) {
                continue;
            }
            let jitter = 1.0 + self.random.random_range(-JITTER..JITTER);
            let rank = rank(
                now,
                request,
                state,
                typical_time,
                target.domain == self.domain,
            );
            let rank = (rank.0, rank.1 * jitter);
            if best.is_none_or(|(_, least)| rank < least) {
                best = Some((target, rank));
            }
        }
        best.map(|(target, _)| target.id.clone())
    }

    /// Queues or refuses a request whose service has no reachable target.
    fn wait_for_target(&self, now: Duration, request: &DispatchRequest) -> Decision {
        match self.wait_briefly(now, request) {
            Decision::Refuse(_, retry_after, basis) => {
                Decision::Refuse(RefusalReason::NoTarget, retry_after, basis)
            }
            decision => decision,
        }
    }

    /// Returns the typical service time of a request in seconds: the measured median, or else an estimate from its
    /// goal.
    pub(super) fn typical_time(&self, request: &DispatchRequest) -> Option<f64> {
        let measured = self.median_times.get(&request.service).copied();
        measured.or_else(|| {
            let goal = request.goal.saturating_sub(request.received_at);
            let assumed = goal
                .div_f64(SERVICE_TIMES_PER_GOAL)
                .max(DEFAULT_SERVICE_TIME);
            Some(assumed.as_secs_f64())
        })
    }

    /// Recomputes the median service time of each service's targets, unless the known ones are recent.
    pub(super) fn refresh_medians(&mut self, now: Duration) {
        if now < self.medians_due {
            return;
        }
        self.medians_due = now + MEDIAN_LIFETIME;
        let view = self.view.clone();
        for (service, targets) in &view.targets {
            let target_states = targets
                .iter()
                .filter_map(|it| self.target_states.get(&it.id));
            let mut times: Vec<f64> = target_states
                .filter_map(TargetState::measured_time)
                .collect();
            let middle = times.len() / 2;
            if times.is_empty() {
                continue;
            }
            let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
            self.median_times.insert(service.clone(), *median);
        }
    }
}

/// The rank of a target for a request: its tier, then the expected response time in seconds.
type Rank = (Tier, f64);

/// Targets of a later tier are only used when none of an earlier tier is available.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Tier {
    /// In this failure domain and expected to respond in time; for large responses only.
    Local,
    /// Has free capacity.
    Available,
    /// All its capacity is used for other VMs' requests.
    Saturated,
    /// Fails too often.
    Failing,
}

/// Returns the rank of a target for a request.
fn rank(
    now: Duration,
    request: &DispatchRequest,
    state: &TargetState,
    typical_time: Option<f64>,
    local: bool,
) -> Rank {
    let expected = state.expected_time(now, typical_time);
    let responds_at = now + Duration::from_secs_f64(expected);
    let preferred = local
        && request
            .local_until
            .is_some_and(|until| responds_at <= until);
    let saturated = |quota: &Quota| quota.busy && quota.within_goal == 0;
    let tier = if state.is_failing(now) {
        Tier::Failing
    } else if state.uses_quota(now, typical_time, false) && state.quota().is_some_and(saturated) {
        Tier::Saturated
    } else if preferred {
        // Traffic between failure domains costs money, so a faster target elsewhere is no reason to leave this one.
        Tier::Local
    } else {
        Tier::Available
    };
    let remote = if local { 1.0 } else { REMOTE_FACTOR };
    (
        tier,
        expected * remote * (1.0 + 4.0 * state.failure_rate(now)),
    )
}
