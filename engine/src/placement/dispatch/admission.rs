//! Whether a request fits at one target now, waits for it, or is refused.
//!
//! Load patterns that it answers, each by one rule:
//!
//! - *A target falls behind*, or the line for it outlasts a caller's time: what no answer is expected for in
//!   time is refused at once. An idle target that is believed so slow gets single requests, since it may
//!   long be fast again.
//! - *Requests wait for a target at several VMs*: none is sent without a share of its room (see
//!   [`crate::placement::share`]).
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
    placement::{quota::LATE_QUEUE, target_state::Member},
};

/// What can be done for a request now.
pub(super) enum Choice {
    /// Send it, by a right to send if it needs one.
    Send(Basis, Option<Right>),
    /// Let it wait, in a target's line if it waits for room there.
    Wait(Option<Line>),
    /// Refuse it.
    Refuse(RefusalReason, Duration, Basis),
}

/// A right to send to a busy target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Right {
    /// For a request that can still be answered within its goal.
    Fresh,
    /// For any other.
    Late,
}

/// Where a request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Line {
    pub(super) target: TargetId,
    /// Whether it can still be answered within its goal.
    pub(super) within_goal: bool,
}

/// A target that a request could go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place<'a> {
    pub(super) member: &'a Member,
    /// The median service time of the service's targets, in seconds.
    pub(super) usual: Option<f64>,
    /// The fence of the target's ownership of the key; 0 where keys have no owners.
    pub(super) fence: Fence,
    /// How the request stands there.
    pub(super) standing: Standing,
    /// This VM's requests that wait for it and can still be answered within their goals.
    pub(super) before: u32,
}

/// How a request stands at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It has just come.
    New,
    /// It has waited.
    Waiting,
    /// It has waited, and too many go before it for an answer within its goal.
    Beyond,
}

impl Place<'_> {
    /// Decides for a request.
    pub(super) fn fit(&self, now: Duration, ask: &DispatchRequest) -> Choice {
        let left = ask.deadline.saturating_sub(now);
        let basis = self.basis(now, ask);
        if basis.expected > left {
            // With little time left a request is late at a fast target, too.
            let fresh = left * 2 >= ask.deadline.saturating_sub(ask.received_at);
            if fresh && self.member.is_due(now) {
                return Choice::Send(basis, None);
            }
            let over = basis.expected.saturating_sub(left);
            return Choice::Refuse(RefusalReason::Late, over.max(MIN_RETRY_AFTER), basis);
        }
        let fresh = basis.expected <= ask.goal.saturating_sub(now);
        let keyed = ask.point.is_some();
        let shared = self.member.is_shared(now, self.usual, keyed);
        let held = self.member.rate().is_some();
        if held && !(shared && keyed) {
            return self.paced(now, basis);
        }
        if !shared {
            return self.unshared(now, fresh, keyed, basis);
        }
        if fresh {
            self.fresh(now, ask, basis)
        } else {
            self.late(now, ask, basis)
        }
    }

    fn basis(&self, now: Duration, ask: &DispatchRequest) -> Basis {
        Basis {
            target: self.member.target.id.clone(),
            point: ask.point,
            depth: self.member.depth(now),
            expected: Duration::from_secs_f64(self.member.expected(now, self.usual)),
            completion_interval: self.member.turn(now, self.usual),
            age: self.member.told_age(now),
            fence: self.fence,
            rate: self.member.rate(),
            budget: None,
        }
    }

    /// Decides where the target is held to a rate, and the manager shares nothing out.
    fn paced(&self, now: Duration, basis: Basis) -> Choice {
        if self.member.has_pace(now) {
            Choice::Send(basis, None)
        } else {
            Choice::Refuse(RefusalReason::Rate, basis.completion_interval, basis)
        }
    }

    /// Decides by the counts that this VM knows, where the manager shares no room out.
    ///
    /// A request without a key waits for whichever target has room next, so it stands in no line.
    fn unshared(&self, now: Duration, fresh: bool, keyed: bool, basis: Basis) -> Choice {
        let room = self.member.limit(now, self.usual);
        let most = if fresh { room } else { self.idle_limit() };
        if basis.depth + 1.0 <= f64::from(most) {
            Choice::Send(basis, None)
        } else if keyed {
            self.wait(fresh)
        } else {
            Choice::Wait(None)
        }
    }

    /// Decides for a request that can still be answered within its goal.
    fn fresh(&self, now: Duration, ask: &DispatchRequest, basis: Basis) -> Choice {
        let Some(share) = self.member.share().filter(|share| share.busy) else {
            let limit = f64::from(self.member.limit(now, self.usual));
            // After a line the others that come may be as many again, and each VM sees the same room.
            let open = self.member.busy_since().is_none() && self.member.rate().is_none();
            return if open && basis.depth + 1.0 <= limit {
                Choice::Send(basis, None)
            } else {
                self.wait(true)
            };
        };
        let drained = self.drained(&basis);
        let no_turn = match self.standing {
            Standing::New => drained > ask.goal.saturating_sub(now),
            Standing::Waiting => false,
            Standing::Beyond => true,
        };
        if no_turn {
            return self.late(now, ask, basis);
        }
        if share.within_goal > 0 {
            Choice::Send(basis, Some(Right::Fresh))
        } else {
            self.wait(true)
        }
    }

    /// Decides for a request that can't be answered within its goal any more.
    fn late(&self, now: Duration, ask: &DispatchRequest, basis: Basis) -> Choice {
        let share = self.member.share();
        if share.is_some_and(|share| share.past_goal > 0) {
            return Choice::Send(basis, Some(Right::Late));
        }
        let drained = self.drained(&basis);
        let left = ask.deadline.saturating_sub(now);
        let behind = basis.completion_interval * share.map_or(0, |share| share.others_past);
        if self.standing == Standing::New && drained + behind > left {
            let over = (drained + behind).saturating_sub(left);
            return Choice::Refuse(RefusalReason::Late, over.max(MIN_RETRY_AFTER), basis);
        }
        let goal = ask.goal.saturating_sub(ask.received_at);
        let busy_since = self.member.busy_since();
        if busy_since.is_some_and(|since| now >= since + goal) {
            return Choice::Refuse(RefusalReason::Goal, drained.max(MIN_RETRY_AFTER), basis);
        }
        let held = self.member.rate().is_some();
        let alone = !held && share.is_none() && self.standing == Standing::New && self.before == 0;
        if alone && basis.depth + 1.0 <= f64::from(self.idle_limit()) {
            return Choice::Send(basis, None);
        }
        self.wait(false)
    }

    /// How long an answer would take if all that wait now came first.
    fn drained(&self, basis: &Basis) -> Duration {
        let line = self.member.share().map_or(0, |share| share.others_within);
        basis.expected + basis.completion_interval * (line + self.before)
    }

    /// Up to how many requests the target has while late ones may be sent.
    fn idle_limit(&self) -> u32 {
        self.member.slots() + LATE_QUEUE
    }

    fn wait(&self, fresh: bool) -> Choice {
        Choice::Wait(Some(Line {
            target: self.member.target.id.clone(),
            within_goal: fresh,
        }))
    }
}
