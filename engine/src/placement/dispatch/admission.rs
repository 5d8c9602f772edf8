//! Whether a request fits at one target now, waits for it, or is refused.
//!
//! Load patterns that it answers, each by one rule:
//!
//! - *A target falls behind*, or the line for it outlasts a caller's time: what no answer is expected for in
//!   time is refused at once. An idle target that is believed so slow gets single requests, since it may
//!   long be fast again.
//! - *Requests wait for a target at several VMs*: none is sent without a quota of its room (see
//!   [`crate::placement::quota`]).
//! - *A target in need names how many requests a second it takes from all VMs*: none is sent without a right of the
//!   manager's, who gives no more; where it shares nothing out, a few VMs send by a pace.
//! - *The line at a target is longer than a goal*: whoever comes then can't be answered within it, and
//!   what is late stands behind all that isn't. A line that lasts for as long as a goal is no passing
//!   burst: from then on late requests are refused at once, since the others take every place.

use std::time::Duration;

use super::{Basis, DispatchRequest, MIN_RETRY_AFTER, RefusalReason};
use crate::{
    catalogue::TargetId,
    owner::record::Fence,
    placement::{quota::PAST_GOAL_QUEUE, target_state::TargetState},
};

/// What can be done for a request now.
pub(super) enum Decision {
    /// Send it, by a right to send if it needs one.
    Send(Basis, Option<QuotaKind>),
    /// Let it wait, in a target's line if it waits for room there.
    Queue(Option<QueueKey>),
    /// Refuse it.
    Refuse(RefusalReason, Duration, Basis),
}

/// A right to send to a busy target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaKind {
    /// For a request that can still be answered within its goal.
    WithinGoal,
    /// For any other.
    PastGoal,
}

/// Where a request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QueueKey {
    pub(super) target: TargetId,
    /// Whether it can still be answered within its goal.
    pub(super) within_goal: bool,
}

/// A target that a request could go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) state: &'a TargetState,
    /// The median service time of the service's targets, in seconds.
    pub(super) typical_time: Option<f64>,
    /// The fence of the target's ownership of the key; 0 where keys have no owners.
    pub(super) fence: Fence,
    /// How the request stands there.
    pub(super) queue_state: QueueState,
    /// This VM's requests that wait for it and can still be answered within their goals.
    pub(super) queued_here: u32,
}

/// How a request stands at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    /// It has just come.
    New,
    /// It has waited.
    Waiting,
    /// It has waited, and too many go before it for an answer within its goal.
    Demoted,
}

impl Candidate<'_> {
    /// Decides for a request.
    pub(super) fn decide(&self, now: Duration, request: &DispatchRequest) -> Decision {
        let left = request.deadline.saturating_sub(now);
        let basis = self.basis(now, request);
        if basis.expected > left {
            // With little time left a request is late at a fast target, too.
            let within_goal = left * 2 >= request.deadline.saturating_sub(request.received_at);
            if within_goal && self.state.needs_probe(now) {
                return Decision::Send(basis, None);
            }
            let over = basis.expected.saturating_sub(left);
            return Decision::Refuse(RefusalReason::Late, over.max(MIN_RETRY_AFTER), basis);
        }
        let within_goal = basis.expected <= request.goal.saturating_sub(now);
        let keyed = request.point.is_some();
        let uses_quota = self.state.uses_quota(now, self.typical_time, keyed);
        let rate_limited = self.state.rate().is_some();
        if rate_limited && !(uses_quota && keyed) {
            return self.decide_at_interval(now, basis);
        }
        if !uses_quota {
            return self.decide_without_quota(now, within_goal, keyed, basis);
        }
        if within_goal {
            self.decide_within_goal(now, request, basis)
        } else {
            self.decide_past_goal(now, request, basis)
        }
    }

    fn basis(&self, now: Duration, request: &DispatchRequest) -> Basis {
        Basis {
            target: self.state.target.id.clone(),
            point: request.point,
            depth: self.state.depth(now),
            expected: Duration::from_secs_f64(self.state.expected_time(now, self.typical_time)),
            completion_interval: self.state.completion_interval(now, self.typical_time),
            age: self.state.sync_age(now),
            fence: self.fence,
            rate: self.state.rate(),
            budget: None,
        }
    }

    /// Decides where the target is rate_limited to a rate, and the manager shares nothing out.
    fn decide_at_interval(&self, now: Duration, basis: Basis) -> Decision {
        if self.state.allows_rate(now) {
            Decision::Send(basis, None)
        } else {
            Decision::Refuse(RefusalReason::Rate, basis.completion_interval, basis)
        }
    }

    /// Decides by the counts that this VM knows, where the manager shares no room out.
    ///
    /// A request without a key waits for whichever target has room next, so it stands in no line.
    fn decide_without_quota(
        &self,
        now: Duration,
        within_goal: bool,
        keyed: bool,
        basis: Basis,
    ) -> Decision {
        let limit = self.state.max_in_flight(now, self.typical_time);
        let most = if within_goal {
            limit
        } else {
            self.past_goal_limit()
        };
        if basis.depth + 1.0 <= f64::from(most) {
            Decision::Send(basis, None)
        } else if keyed {
            self.enqueue(within_goal)
        } else {
            Decision::Queue(None)
        }
    }

    /// Decides for a request that can still be answered within its goal.
    fn decide_within_goal(
        &self,
        now: Duration,
        request: &DispatchRequest,
        basis: Basis,
    ) -> Decision {
        let Some(quota) = self.state.quota().filter(|quota| quota.busy) else {
            let limit = f64::from(self.state.max_in_flight(now, self.typical_time));
            // After a line the others that come may be as many again, and each VM sees the same room.
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

    /// Decides for a request that can't be answered within its goal any more.
    fn decide_past_goal(&self, now: Duration, request: &DispatchRequest, basis: Basis) -> Decision {
        let quota = self.state.quota();
        if quota.is_some_and(|quota| quota.past_goal > 0) {
            return Decision::Send(basis, Some(QuotaKind::PastGoal));
        }
        let drain_time = self.drain_time(&basis);
        let left = request.deadline.saturating_sub(now);
        let behind = basis.completion_interval * quota.map_or(0, |quota| quota.others_past);
        if self.queue_state == QueueState::New && drain_time + behind > left {
            let over = (drain_time + behind).saturating_sub(left);
            return Decision::Refuse(RefusalReason::Late, over.max(MIN_RETRY_AFTER), basis);
        }
        let goal = request.goal.saturating_sub(request.received_at);
        let busy_since = self.state.queued_since();
        if busy_since.is_some_and(|since| now >= since + goal) {
            return Decision::Refuse(RefusalReason::Goal, drain_time.max(MIN_RETRY_AFTER), basis);
        }
        let rate_limited = self.state.rate().is_some();
        let alone = !rate_limited
            && quota.is_none()
            && self.queue_state == QueueState::New
            && self.queued_here == 0;
        if alone && basis.depth + 1.0 <= f64::from(self.past_goal_limit()) {
            return Decision::Send(basis, None);
        }
        self.enqueue(false)
    }

    /// How long an answer would take if all that wait now came first.
    fn drain_time(&self, basis: &Basis) -> Duration {
        let line = self.state.quota().map_or(0, |quota| quota.others_within);
        basis.expected + basis.completion_interval * (line + self.queued_here)
    }

    /// Up to how many requests the target has while late ones may be sent.
    fn past_goal_limit(&self) -> u32 {
        self.state.slots() + PAST_GOAL_QUEUE
    }

    fn enqueue(&self, within_goal: bool) -> Decision {
        Decision::Queue(Some(QueueKey {
            target: self.state.target.id.clone(),
            within_goal,
        }))
    }
}
