//! One attempt of an entry VM, on its way.

use std::time::Duration;

use indexmap::IndexSet;

use super::{
    Attempt, AttemptState, Effect, Flaw, Message, Order, View, ViewNumber, Views,
    decision::{Decision, UnknownReason},
};
use crate::id::VmId;

/// How long after its caller's time a running order counts as forgotten, and may have run.
const ABANDONED_AFTER: Duration = Duration::from_secs(30);
/// How long until a message is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// A caller's order, as it began.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) token: u64,
    pub(super) order: Order,
    pub(super) deadline: Duration,
    /// How far back undated ids are remembered counts from here, however long the answer takes.
    pub(super) wall: Duration,
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) view: Option<View>,
    pub(super) phase: Phase,
    pub(super) sent_at: Duration,
}

#[derive(Debug)]
pub(super) enum Phase {
    /// The members are asked.
    Asking(MemberReplies),
    /// The entry VM may run it.
    Running,
    /// The members are told how it ended.
    Reporting {
        state: AttemptState,
        acknowledged: IndexSet<VmId>,
        report_until: Duration,
    },
}

/// What the members said, with the views for which they said it.
#[derive(Debug, Default)]
pub(super) struct MemberReplies {
    pub(super) home: Option<ViewNumber>,
    pub(super) standby: Option<ViewNumber>,
    pub(super) sole_member: bool,
    pub(super) running: bool,
}

impl MemberReplies {
    pub(super) fn may_run(&self, flaw: Flaw) -> bool {
        let same = self.home == self.standby || flaw == Flaw::MixedViews;
        let both = self.home.is_some() && self.standby.is_some() && same;
        self.sole_member || both || (self.home.is_some() && flaw == Flaw::HomeOnly)
    }

    /// Returns what is said to a caller whose time ended. Without the words of both members even
    /// an order that was never sent may have run before.
    pub(super) fn timeout_decision(&self) -> Decision {
        Decision::Unknown(if self.running {
            UnknownReason::Running
        } else {
            UnknownReason::NoReply
        })
    }
}

impl Pending {
    pub(super) fn is_due(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Asking(_) => {
                self.request.deadline <= now || self.sent_at + RESEND_INTERVAL <= now
            }
            Phase::Running => self.request.deadline + ABANDONED_AFTER <= now,
            Phase::Reporting { .. } => self.sent_at + RESEND_INTERVAL <= now,
        }
    }

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

    /// Tells those members of the newest view that don't know yet.
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
