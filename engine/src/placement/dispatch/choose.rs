//! Which target a request goes to, and whether it fits there in time.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::time::Duration;

use rand::{Rng, seq::index};

use super::{
    Basis, DispatchRequest, Dispatcher, RETRY_AFTER_NO_OWNER, RefusalReason,
    admission::{Candidate, Decision, QueueState},
};
use crate::{
    catalogue::{Target, TargetId},
    owner::record::{Record, RequestKey},
    placement::{
        quota::Quota,
        refused_keys,
        target_state::{DEFAULT_SERVICE_TIME, TargetState},
    },
};

/// How long a request waits for its key to have an owner, as a range of the route's goal.
///
/// A planned move takes one release, one write and one grant, some 50 to 200 ms; a lost owner takes
/// seconds, for which no request should be held.
const OWNER_WAIT_FRACTION: f64 = 0.6;
/// The least time to come back that is told: a caller is some 10 ms remote.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// By how much estimates are varied, so that VMs with the same reports don't all pick the same target.
const JITTER: f64 = 0.12;
/// How much longer a request in another failure domain counts as taking: the way there and back is
/// some 3 ms of 60.
const REMOTE_FACTOR: f64 = 1.04;

/// How many targets are sampled for a request, of which those that are local and a few others are compared.
///
/// All VMs hear the same counts at the same time, and each would send to the same few that look best. With
/// some sampled at random for each request they spread, and one of the faster is nearly always among them.
const SAMPLE_SIZE: usize = 12;
/// How many of those in other failure domains are compared.
const MAX_REMOTE_SAMPLED: usize = 3;
/// How many service times a goal is usually worth: what is assumed while nothing was measured.
const SERVICE_TIMES_PER_GOAL: f64 = 5.0;
/// How long a median of service times counts: it changes slowly, and hundreds of targets are in it.
const MEDIAN_LIFETIME: Duration = Duration::from_millis(50);

impl Dispatcher {
    pub(super) fn choose(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        queue_state: QueueState,
    ) -> Decision {
        if self.view.evacuated.contains(&request.service) {
            return Decision::Refuse(
                RefusalReason::Evacuated,
                RETRY_AFTER_NO_OWNER,
                self.owner_basis(request),
            );
        }
        match (request.point, self.view.records.get(&request.service)) {
            (Some(point), Some(record)) => {
                let record = record.clone();
                self.choose_owner(now, request, queue_state, point, &record)
            }
            (Some(_), None) => self.wait_for_owner(now, request),
            (None, _) => self.choose_any(now, request, queue_state),
        }
    }

    fn choose_owner(
        &self,
        now: Duration,
        request: &DispatchRequest,
        queue_state: QueueState,
        point: RequestKey,
        record: &Record,
    ) -> Decision {
        let Some(range) = record.find(point) else {
            return self.wait_for_owner(now, request);
        };
        match self.refused_keys.state(now, &request.service, range, point) {
            // A move ends within a few hundred milliseconds, a loss doesn't.
            refused_keys::KeyState::Moving if now < request.goal.min(request.deadline) => {
                return Decision::Queue(None);
            }
            refused_keys::KeyState::Moving | refused_keys::KeyState::Lost => {
                return self.wait_for_owner(now, request);
            }
            refused_keys::KeyState::Open => {}
        }
        if request.refused_by(range) {
            // Its owner takes others by now, or another request finds out. To request once more would be a
            // repeat, perhaps at another service's target.
            return Decision::Refuse(
                RefusalReason::Moved,
                MIN_RETRY_AFTER,
                self.owner_basis(request),
            );
        }
        let state = range.owner.as_ref().and_then(|life| {
            let state = self.target_states.get(&life.id);
            state.filter(|it| life.is_announced_by(&it.target))
        });
        let Some(state) = state else {
            return self.wait_for_owner(now, request);
        };
        if !state.is_available(now) || request.tried.contains(&state.target.id) {
            return self.wait_for_owner(now, request);
        }
        let candidate = Candidate {
            state,
            typical_time: self.typical_time(request),
            fence: range.fence,
            queue_state,
            queued_here: self.queued_within_goal(&state.target.id),
        };
        candidate.decide(now, request)
    }

    /// What to do for a request whose key has no owner that can be reached.
    fn wait_for_owner(&self, now: Duration, request: &DispatchRequest) -> Decision {
        let goal = request.goal.saturating_sub(request.received_at);
        let wait_until = request.received_at + goal.mul_f64(OWNER_WAIT_FRACTION);
        if now < wait_until.min(request.deadline) {
            return Decision::Queue(None);
        }
        Decision::Refuse(
            RefusalReason::NoOwner,
            RETRY_AFTER_NO_OWNER,
            self.owner_basis(request),
        )
    }

    /// Tells which owner was known for a request that none could serve.
    fn owner_basis(&self, request: &DispatchRequest) -> Basis {
        let record = self.view.records.get(&request.service);
        let range = record
            .zip(request.point)
            .and_then(|(record, point)| record.find(point));
        let owner = range.and_then(|range| range.owner.as_ref());
        Basis {
            target: owner.map_or_else(|| "none".to_owned(), |life| life.id.clone()),
            fence: range.map_or(0, |range| range.fence),
            ..Basis::default()
        }
    }

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
            return self.wait_for_target(now, request);
        };
        let candidate = Candidate {
            state: &self.target_states[&id],
            typical_time: self.typical_time(request),
            fence: 0,
            queue_state,
            queued_here: self.queued_within_goal(&id),
        };
        candidate.decide(now, request)
    }

    /// Draws the targets that are compared for a request: more of those that are local, since bytes between
    /// failure domains are paid for; for a large answer all.
    ///
    /// Cold ones to which this VM may send are always among them: no more than two others may, so what is not
    /// sent from here is hardly sent at all.
    fn sample<'a>(&mut self, request: &DispatchRequest, targets: &'a [Target]) -> Vec<&'a Target> {
        if request.large {
            return targets.iter().collect();
        }
        let count = SAMPLE_SIZE.min(targets.len());
        let sampled = index::sample(&mut self.random, targets.len(), count);
        let sampled = sampled.into_iter().map(|index| &targets[index]);
        let (mut kept, remote): (Vec<_>, Vec<_>) = sampled.partition(|it| it.domain == self.domain);
        kept.extend(remote.into_iter().take(MAX_REMOTE_SAMPLED));
        let paced = self
            .paced_targets
            .get(&request.service)
            .into_iter()
            .flatten();
        kept.extend(paced.filter_map(|index| targets.get(*index)));
        kept
    }

    /// The best of some targets that can be reached.
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
            let open = state.is_available(now) && state.allows_rate(now);
            if !open || request.tried.contains(&target.id) {
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

    fn wait_for_target(&self, now: Duration, request: &DispatchRequest) -> Decision {
        match self.wait_for_owner(now, request) {
            Decision::Refuse(_, retry, basis) => {
                Decision::Refuse(RefusalReason::NoTarget, retry, basis)
            }
            choice => choice,
        }
    }

    /// The service time that is usual for a request, in seconds: as measured, or else by its goal.
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

    /// Takes the median service time of each service's targets anew, unless that was done just now.
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

/// How good a target is for a request: its tier, then the time in which it would answer, in seconds.
type Rank = (Tier, f64);

/// Targets of a later tier are used only when none of an earlier one is left.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Tier {
    /// For a large answer: in the caller's failure domain, and in time.
    Local,
    /// Any that has room.
    Available,
    /// Other VMs' requests take all its room.
    Saturated,
    /// It fails too often.
    Failing,
}

fn rank(
    now: Duration,
    request: &DispatchRequest,
    state: &TargetState,
    typical_time: Option<f64>,
    local: bool,
) -> Rank {
    let expected = state.expected_time(now, typical_time);
    let in_time = now + Duration::from_secs_f64(expected) <= request.goal;
    let saturated = |quota: &Quota| quota.busy && quota.within_goal == 0;
    let tier = if state.is_failing(now) {
        Tier::Failing
    } else if state.uses_quota(now, typical_time, false) && state.quota().is_some_and(saturated) {
        Tier::Saturated
    } else if request.large && local && in_time {
        // Bytes between failure domains are paid for, so a faster target elsewhere is no reason.
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
