//! One attempt of an entry VM, from the start message to the acknowledged report of its end.

use std::time::Duration;

use indexmap::IndexSet;

use super::{
    Attempt, AttemptState, Effect, Flaw, Message, Order, View, ViewNumber, Views,
    decision::{Decision, UnknownReason},
};
use crate::id::VmId;

/// How long after its caller's deadline a running order counts as abandoned, with an unknown outcome.
const ABANDONED_AFTER: Duration = Duration::from_secs(30);
/// How long until an unanswered message is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// A caller's order, as received.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) token: u64,
    pub(super) order: Order,
    pub(super) deadline: Duration,
    /// The wall clock when the order was received. The retention of undated ids counts from here, however long
    /// the replies take.
    pub(super) wall: Duration,
}

/// An attempt, until its end is acknowledged by the members.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) view: Option<View>,
    pub(super) phase: Phase,
    pub(super) sent_at: Duration,
}

/// The phase of an attempt.
#[derive(Debug)]
pub(super) enum Phase {
    /// The members are asked whether the attempt may run.
    Asking(MemberReplies),
    /// The attempt may run at the entry VM.
    Running,
    /// The members are sent the state in which it ended, until all have acknowledged it.
    Reporting {
        state: AttemptState,
        acknowledged: IndexSet<VmId>,
        report_until: Duration,
    },
}

/// The replies of the members, with the views under which they are valid.
#[derive(Debug, Default)]
pub(super) struct MemberReplies {
    pub(super) home: Option<ViewNumber>,
    pub(super) standby: Option<ViewNumber>,
    pub(super) sole_member: bool,
    pub(super) running: bool,
}

impl MemberReplies {
    /// Returns whether the replies allow the attempt to run.
    pub(super) fn may_run(&self, flaw: Flaw) -> bool {
        let same = self.home == self.standby || flaw == Flaw::MixedViews;
        let both = self.home.is_some() && self.standby.is_some() && same;
        self.sole_member || both || (self.home.is_some() && flaw == Flaw::HomeOnly)
    }

    /// Returns the decision at the caller's deadline.
    ///
    /// It is always unknown: without the replies of both members, even an order that this VM never sent may have run
    /// before.
    pub(super) fn timeout_decision(&self) -> Decision {
        Decision::Unknown(if self.running {
            UnknownReason::Running
        } else {
            UnknownReason::NoReply
        })
    }
}

impl Pending {
    /// Returns whether something has to be sent again or given up.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Asking(_) => {
                self.request.deadline <= now || self.sent_at + RESEND_INTERVAL <= now
            }
            Phase::Running => self.request.deadline + ABANDONED_AFTER <= now,
            Phase::Reporting { .. } => self.sent_at + RESEND_INTERVAL <= now,
        }
    }

    /// Returns the start messages to both members, or a read of the views if none are known.
    pub(super) fn start_messages(&self, vm: &str, seq: u64) -> Vec<Effect> {
        let Some(view) = &self.view else {
            return vec![Effect::Read];
        };
        let message = Message::Start {
            order: self.request.order.clone(),
            attempt: Attempt { vm: vm.into(), seq },
            view: view.number,
            wall: self.request.wall,
        };
        let send = |to: &VmId| Effect::Send {
            to: to.clone(),
            message: message.clone(),
        };
        view.members().map(send).collect()
    }

    /// Returns the reports to members of the newest view that have not acknowledged the end yet.
    pub(super) fn finish_messages(&self, vm: &str, seq: u64, views: &Views) -> Vec<Effect> {
        let Phase::Reporting {
            state,
            acknowledged,
            ..
        } = &self.phase
        else {
            return Vec::new();
        };
        let Some((_, view)) = views.view_of(&self.request.order.id) else {
            return Vec::new();
        };
        let send = |to: &VmId| Effect::Send {
            to: to.clone(),
            message: Message::Finish {
                order: self.request.order.clone(),
                attempt: Attempt { vm: vm.into(), seq },
                state: state.clone(),
            },
        };
        let members = view.members().filter(|to| !acknowledged.contains(*to));
        members.map(send).collect()
    }
}
