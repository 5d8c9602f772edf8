//! Decides whether a request is sent to a target now, queued for it, or refused.
//!
//! Each of these load patterns is handled by one rule:
//!
//! - *A target falls behind*, or its queue takes longer than the caller's remaining time: a request that can't get
//!   a response before its deadline is refused at once. An idle target that seems that slow gets single probes, since
//!   it may have become fast again.
//! - *Several VMs have requests queued for a target*: a request is only sent with a quota of the target's free capacity
//!   (see [`crate::placement::quota`]).
//! - *An overloaded target limits the requests per second that it takes from all VMs*: a request is only sent with a
//!   quota, and the manager assigns no more than the rate. While it assigns none, a few VMs send at an interval.
//! - *The queue for a target takes longer than a goal*: a request that arrives then can't meet its goal, and requests
//!   past their goal are sent after all others. A queue that lasts for as long as a goal is not a short burst. From
//!   then on requests past their goal are refused at once, since the others take all slots.
//! - *The same where a late response is worth a slot*: see [`super::late`].

use std::time::Duration;

use super::{Basis, DispatchRequest, MIN_RETRY_AFTER, RefusalReason};
use crate::{
    catalogue::TargetId,
    owner::record::Fence,
    placement::{quota::PAST_GOAL_QUEUE, target_state::TargetState},
};

/// The decision for one request.
pub(super) enum Decision {
    /// Send it, and use up this quota if one is needed.
    Send(Basis, Option<QuotaKind>),
    /// Queue it, for one target if it needs free capacity there.
    Queue(Option<QueueKey>),
    /// Refuse it, with the time after which the caller may retry.
    Refuse(RefusalReason, Duration, Basis),
}

/// The quota that a request uses at a busy target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaKind {
    /// For a request that can still meet its goal.
    WithinGoal,
    /// For any other request.
    PastGoal,
}

/// The queue that a request is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QueueKey {
    /// The target.
    pub(super) target: TargetId,
    /// Whether the request can still meet its goal.
    pub(super) within_goal: bool,
}

/// A target that a request could go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// The state of the target.
    pub(super) state: &'a TargetState,
    /// The median service time of the service's targets, in seconds.
    pub(super) typical_time: Option<f64>,
    /// The fence of the target's ownership of the key; 0 if keys have no owners.
    pub(super) fence: Fence,
    /// The state of the request in the target's queue.
    pub(super) queue_state: QueueState,
    /// This VM's requests that are queued for the target and can still meet their goals.
    pub(super) queued_here: u32,
    /// This VM's other requests that are queued for the target, and sent before this one.
    pub(super) late_here: u32,
}

/// The state of a request in a target's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    /// It has just arrived.
    New,
    /// It is queued.
    Waiting,
    /// It is queued, and too many others are sent first for it to meet its goal.
    Demoted,
}

impl Candidate<'_> {
    /// Decides for one request.
    pub(super) fn decide(&self, now: Duration, request: &DispatchRequest) -> Decision {
        let remaining = request.deadline.saturating_sub(now);
        let basis = self.basis(now, request);
        if basis.expected > remaining {
            // With little time left even a fast target can't respond before the deadline, so a probe shows nothing.
            let ample_time = remaining * 2 >= request.deadline.saturating_sub(request.received_at);
            if ample_time && self.state.needs_probe(now) {
                return Decision::Send(basis, None);
            }
            let excess = basis.expected.saturating_sub(remaining);
            return Decision::Refuse(RefusalReason::Late, excess.max(MIN_RETRY_AFTER), basis);
        }
        let within_goal = basis.expected <= request.goal.saturating_sub(now);
        let keyed = request.key.is_some();
        let uses_quota = self.state.uses_quota(now, self.typical_time, keyed);
        let rate_limited = self.state.rate().is_some();
        if rate_limited && !(uses_quota && keyed) {
            return self.decide_at_interval(now, basis);
        }
        if !uses_quota {
            return self.decide_without_quota(now, request, within_goal, basis);
        }
        if within_goal {
            self.decide_within_goal(now, request, basis)
        } else {
            self.decide_past_goal(now, request, basis)
        }
    }

    /// Returns the data behind a decision, for the log.
    fn basis(&self, now: Duration, request: &DispatchRequest) -> Basis {
        Basis {
            target: self.state.target.id.clone(),
            key: request.key,
            depth: self.state.depth(now),
            expected: Duration::from_secs_f64(self.state.expected_time(now, self.typical_time)),
            service_time: Duration::from_secs_f64(self.state.service_time(self.typical_time)),
            measured_age: self.state.measured_age(now),
            queue_age: self.state.queued_since().map(|at| now.saturating_sub(at)),
            late_ahead: self.late_ahead(),
            idle_wait: Duration::ZERO,
            completion_interval: self.state.completion_interval(now, self.typical_time),
            sync_age: self.state.sync_age(now),
            fence: self.fence,
            rate: self.state.rate(),
            budget: None,
        }
    }

    /// Decides for a rate-limited target while the manager assigns no quotas.
    fn decide_at_interval(&self, now: Duration, basis: Basis) -> Decision {
        if self.state.allows_rate(now) {
            Decision::Send(basis, None)
        } else {
            Decision::Refuse(RefusalReason::Rate, basis.completion_interval, basis)
        }
    }

    /// Decides by the counts that this VM knows, while the manager assigns no quotas.
    ///
    /// A request without a key goes to the first target with free capacity, so it is in no target's queue.
    fn decide_without_quota(
        &self,
        now: Duration,
        request: &DispatchRequest,
        within_goal: bool,
        basis: Basis,
    ) -> Decision {
        let limit = self.state.max_in_flight(now, self.typical_time);
        let allowed = if within_goal {
            limit
        } else {
            self.past_goal_limit()
        };
        if basis.depth + 1.0 <= f64::from(allowed) {
            return Decision::Send(basis, None);
        }
        if request.key.is_none() {
            return Decision::Queue(None);
        }
        match request.late_until.filter(|_| !within_goal) {
            Some(late_until) => self.decide_late(now, request, late_until, basis),
            None => self.enqueue(within_goal),
        }
    }

    /// Decides for a request that can still meet its goal.
    fn decide_within_goal(
        &self,
        now: Duration,
        request: &DispatchRequest,
        basis: Basis,
    ) -> Decision {
        let quota = self.state.quota();
        let Some(quota) = quota.filter(|quota| quota.busy) else {
            if quota.is_some_and(|quota| quota.within_goal > 0) {
                return Decision::Send(basis, Some(QuotaKind::WithinGoal));
            }
            let limit = f64::from(self.state.max_in_flight(now, self.typical_time));
            // Just after a queue has drained, as many requests may arrive again, and each VM sees the same free
            // capacity.
            let may_send = self.state.queued_since().is_none() && self.state.rate().is_none();
            return if may_send && basis.depth + 1.0 <= limit {
                Decision::Send(basis, None)
            } else {
                self.enqueue(true)
            };
        };
        let drain_time = self.drain_time(&basis);
        let misses_goal = match self.queue_state {
            QueueState::New => drain_time > request.goal.saturating_sub(now),
            QueueState::Waiting => false,
            QueueState::Demoted => true,
        };
        if misses_goal {
            return self.decide_past_goal(now, request, basis);
        }
        if quota.within_goal > 0 {
            Decision::Send(basis, Some(QuotaKind::WithinGoal))
        } else {
            self.enqueue(true)
        }
    }

    /// Decides for a request that can no longer meet its goal.
    fn decide_past_goal(&self, now: Duration, request: &DispatchRequest, basis: Basis) -> Decision {
        let quota = self.state.quota();
        if quota.is_some_and(|quota| quota.past_goal > 0) {
            return Decision::Send(basis, Some(QuotaKind::PastGoal));
        }
        let rate_limited = self.state.rate().is_some();
        let may_send = !rate_limited
            && quota.is_none()
            && self.queue_state == QueueState::New
            && self.queued_here == 0
            && basis.depth + 1.0 <= f64::from(self.past_goal_limit());
        if let Some(late_until) = request.late_until {
            return if may_send && self.late_here == 0 {
                Decision::Send(basis, None)
            } else {
                self.decide_late(now, request, late_until, basis)
            };
        }
        let drain_time = self.drain_time(&basis);
        let remaining = request.deadline.saturating_sub(now);
        let past_goal_time = basis.completion_interval * quota.map_or(0, |quota| quota.others_past);
        if self.queue_state == QueueState::New && drain_time + past_goal_time > remaining {
            let excess = (drain_time + past_goal_time).saturating_sub(remaining);
            return Decision::Refuse(RefusalReason::Late, excess.max(MIN_RETRY_AFTER), basis);
        }
        let goal = request.goal.saturating_sub(request.received_at);
        let queued_since = self.state.queued_since();
        if queued_since.is_some_and(|since| now >= since + goal) {
            return Decision::Refuse(RefusalReason::Goal, drain_time.max(MIN_RETRY_AFTER), basis);
        }
        if may_send {
            return Decision::Send(basis, None);
        }
        self.enqueue(false)
    }

    /// Returns the expected response time if all requests that are queued now are sent first.
    pub(super) fn drain_time(&self, basis: &Basis) -> Duration {
        let others_queued = self.state.quota().map_or(0, |quota| quota.others_within);
        basis.expected + basis.completion_interval * (others_queued + self.queued_here)
    }

    /// Returns up to how many requests a target may have when a request past its goal is sent.
    fn past_goal_limit(&self) -> u32 {
        self.state.slots() + PAST_GOAL_QUEUE
    }

    /// Queues the request for this target.
    pub(super) fn enqueue(&self, within_goal: bool) -> Decision {
        Decision::Queue(Some(QueueKey {
            target: self.state.target.id.clone(),
            within_goal,
        }))
    }
}
