//! One VM's state as a member of one shard: its view, its memory and its role.
//!
//! It decides which replies the VM may give under the view, transfers the memory to a new standby in parts, and
//! handles resignations.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{
    Attempt, AttemptState, Change, Effect, Flaw, Message, Note, Order, OrderId, Reply, Shard, View,
    ViewNumber,
    memory::{CheckResult, Entry, Memory},
};
use crate::id::VmId;

/// The number of entries in one part of a transfer.
const ENTRIES_PER_PART: usize = 256;
/// The highest number of attempts per shard that wait for others to end; further ones must ask again.
const MAX_WAITERS: usize = 1_024;
/// How long until an unanswered message is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// One VM's view and memory of one shard.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) view: View,
    pub(super) memory: Memory,
    /// Whether the memory holds all orders that the view covers.
    pub(super) complete: bool,
    /// The index of the next part of the transfer that this standby expects.
    part: u64,
    outgoing: Option<OutgoingTransfer>,
    waiters: IndexMap<Attempt, Waiter>,
    pub(super) resignation: Resignation,
}

/// Whether a member has resigned from the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Resignation {
    /// Neither member has.
    #[default]
    None,
    /// This VM has, and last sent its resignation at that time.
    Sent(Duration),
    /// This VM has, and the other member acknowledged it.
    Acknowledged,
    /// The other member has: this VM acts alone.
    Received,
}

/// A transfer of the memory to a new standby, in parts.
#[derive(Debug)]
struct OutgoingTransfer {
    ids: VecDeque<OrderId>,
    part: u64,
    sent_at: Duration,
}

/// An attempt that waits until another attempt at its order ends.
#[derive(Debug)]
struct Waiter {
    order: Order,
    wall: Duration,
}

/// The role in which a member replies under its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Home,
    Standby,
    Sole,
}

impl Replica {
    pub(super) fn new(
        vm: &str,
        shard: Shard,
        view: View,
        memory: Memory,
        flaw: Flaw,
    ) -> (Self, Vec<Effect>) {
        let mut replica = Self {
            view: View {
                number: 0,
                home: VmId::new(),
                standby: None,
                ..view.clone()
            },
            memory,
            complete: false,
            part: 0,
            outgoing: None,
            waiters: IndexMap::new(),
            resignation: Resignation::None,
        };
        let notes = replica.change(vm, shard, view, flaw);
        (replica, notes)
    }

    /// Changes to a newer view, in which this VM may have another role or none.
    pub(super) fn change(&mut self, vm: &str, shard: Shard, next: View, flaw: Flaw) -> Vec<Effect> {
        let was_member = self.view.has_member(vm);
        // Only a member with the complete memory proposes itself as the next home.
        let kept = self.complete && next.number == self.view.number + 1;
        let home = next.home == vm;
        self.complete = home && (kept || next.complete_since == next.number);
        self.part = 0;
        self.resignation = Resignation::None;
        self.waiters.clear();
        self.view = next;
        self.outgoing = (home && self.view.standby.is_some()).then(|| OutgoingTransfer {
            ids: self.memory.ids().cloned().collect(),
            part: 0,
            sent_at: Duration::ZERO,
        });
        if !self.view.has_member(vm) {
            self.memory.clear();
        } else if !home && flaw == Flaw::NoTransfer {
            self.complete = true;
        }
        let change = match (self.view.has_member(vm), home) {
            (true, true) => Change::Home,
            (true, false) => Change::Standby,
            (false, _) if was_member => Change::Left,
            (false, _) => return Vec::new(),
        };
        let mut notes = vec![note(shard, self.view.number, change)];
        if home && self.view.horizon.is_some() && self.view.complete_since == self.view.number {
            notes.push(note(shard, self.view.number, Change::Horizon));
        }
        notes
    }

    /// Returns whether the transfer to the standby is unfinished.
    pub(super) fn is_transferring(&self) -> bool {
        self.outgoing.is_some()
    }

    /// Returns the role in which this VM may reply now; `None` if it may not decide.
    pub(super) fn role(&self, vm: &str, flaw: Flaw) -> Option<Role> {
        let resigned = matches!(
            self.resignation,
            Resignation::Sent(_) | Resignation::Acknowledged
        );
        if !self.complete
            || !self.view.has_member(vm)
            || (resigned && flaw != Flaw::ActAfterResigning)
        {
            return None;
        }
        if self.resignation == Resignation::Received || self.view.standby.is_none() {
            Some(Role::Sole)
        } else if self.view.home == vm {
            Some(Role::Home)
        } else {
            Some(Role::Standby)
        }
    }

    /// Returns whether the order may have been started before both memories were lost.
    pub(super) fn may_be_lost(&self, order: &Order, wall: Duration, retention: Duration) -> bool {
        let Some(horizon) = self.view.horizon else {
            return false;
        };
        match order.created_at {
            Some(created_at) => created_at <= horizon,
            None => wall <= horizon + retention,
        }
    }

    /// Records an attempt as standby.
    pub(super) fn record_attempt(
        &mut self,
        now: Duration,
        order: &Order,
        attempt: &Attempt,
    ) -> Reply {
        if self.memory.check(order, attempt) == CheckResult::Ended {
            return Reply::Ended;
        }
        if !self.memory.ensure_capacity(now) {
            return Reply::Full;
        }
        self.memory
            .update(now, order, attempt.clone(), AttemptState::Open);
        Reply::Recorded
    }

    /// Decides as home or sole member whether an attempt may run, and records it if so.
    pub(super) fn arbitrate(
        &mut self,
        now: Duration,
        order: Order,
        attempt: &Attempt,
        role: Role,
        wall: Duration,
    ) -> Reply {
        let answer = if role == Role::Sole {
            Reply::AdmittedAlone
        } else {
            Reply::Admitted
        };
        match self.check(&order, attempt, role, answer) {
            answer @ (Reply::Admitted | Reply::AdmittedAlone) => {
                if !self.memory.ensure_capacity(now) {
                    return Reply::Full;
                }
                self.memory
                    .update(now, &order, attempt.clone(), AttemptState::Open);
                answer
            }
            Reply::Running => {
                if self.waiters.len() < MAX_WAITERS {
                    let waiter = Waiter { order, wall };
                    self.waiters.insert(attempt.clone(), waiter);
                }
                Reply::Running
            }
            other => other,
        }
    }

    /// Returns the reply that follows from the memory; `allowed` if no recorded attempt prevents this one.
    pub(super) fn check(
        &self,
        order: &Order,
        attempt: &Attempt,
        role: Role,
        allowed: Reply,
    ) -> Reply {
        let took_over = role == Role::Sole && self.view.standby.is_some();
        match self.memory.check(order, attempt) {
            // The attempt was recorded by this VM as standby, and the home may never have admitted it. Other
            // attempts at the order may be in the same state, and would wait for each other.
            CheckResult::AlreadyOpen | CheckResult::Running
                if took_over && self.memory.is_open(&order.id, attempt) =>
            {
                Reply::Ended
            }
            CheckResult::Allowed | CheckResult::AlreadyOpen => allowed,
            CheckResult::Running => Reply::Running,
            CheckResult::Ran(answer) => Reply::Ran(answer),
            CheckResult::Unknown => Reply::Unknown,
            CheckResult::Mismatch => Reply::Mismatch,
            CheckResult::Ended => Reply::Ended,
        }
    }

    /// Replies to the attempts that wait for an order, after one of its attempts changed.
    pub(super) fn answer_waiters(&mut self, now: Duration, vm: &str, id: &OrderId) -> Vec<Effect> {
        let Some(role) = self.role(vm, Flaw::None).filter(|it| *it != Role::Standby) else {
            return Vec::new();
        };
        let waiting = self.waiters.iter().filter(|it| it.1.order.id == *id);
        let attempts: Vec<_> = waiting.map(|it| it.0.clone()).collect();
        let mut effects = Vec::new();
        for attempt in attempts {
            if let Some(waiter) = self.waiters.shift_remove(&attempt) {
                let answer = self.arbitrate(now, waiter.order, &attempt, role, waiter.wall);
                effects.push(reply(attempt, self.view.number, answer));
            }
        }
        effects
    }

    /// Forwards an attempt's end to a standby whose transfer may have sent the entry already.
    pub(super) fn forward(
        &self,
        order: &Order,
        attempt: &Attempt,
        state: &AttemptState,
    ) -> Option<Effect> {
        self.outgoing.as_ref()?;
        Some(Effect::Send {
            to: self.view.standby.clone()?,
            message: Message::Finish {
                order: order.clone(),
                attempt: attempt.clone(),
                state: state.clone(),
            },
        })
    }

    /// Sends the current part of the transfer, if it is due.
    pub(super) fn send_part(&mut self, now: Duration, shard: Shard) -> Option<Effect> {
        let outgoing = self.outgoing.as_mut()?;
        if !outgoing.sent_at.is_zero() && now < outgoing.sent_at + RESEND_INTERVAL {
            return None;
        }
        outgoing.sent_at = now;
        let ids = outgoing.ids.iter().take(ENTRIES_PER_PART);
        let entry = |id: &OrderId| Some((id.clone(), self.memory.entry(now, id)?));
        Some(Effect::Send {
            to: self.view.standby.clone()?,
            message: Message::Transfer {
                shard,
                view: self.view.number,
                part: outgoing.part,
                last: outgoing.ids.len() <= ENTRIES_PER_PART,
                floor: self.memory.floor(),
                entries: ids.filter_map(entry).collect(),
            },
        })
    }

    /// Handles the standby's acknowledgement of a part, and sends the next one.
    pub(super) fn on_installed(&mut self, now: Duration, shard: Shard, part: u64) -> Vec<Effect> {
        let Some(outgoing) = self.outgoing.as_mut().filter(|it| it.part == part) else {
            return Vec::new();
        };
        if outgoing.ids.len() <= ENTRIES_PER_PART {
            self.outgoing = None;
            return vec![note(shard, self.view.number, Change::Installed)];
        }
        outgoing.ids.drain(..ENTRIES_PER_PART);
        outgoing.part += 1;
        outgoing.sent_at = Duration::ZERO;
        self.send_part(now, shard).into_iter().collect()
    }

    /// Merges a part of the transfer and acknowledges it; parts out of order or not from the home are ignored.
    pub(super) fn install_part(
        &mut self,
        now: Duration,
        from: VmId,
        shard: Shard,
        part: u64,
        last: bool,
        entries: Vec<(OrderId, Entry)>,
    ) -> Vec<Effect> {
        if from != self.view.home || part > self.part {
            return Vec::new();
        }
        if part == self.part {
            for (id, entry) in entries {
                self.memory.merge(now, &id, entry);
            }
            self.part += 1;
            self.complete |= last;
        }
        let view = self.view.number;
        vec![Effect::Send {
            to: from,
            message: Message::Installed { shard, view, part },
        }]
    }

    /// Resigns to the other member, if that one can continue alone.
    pub(super) fn resign(&mut self, now: Duration, vm: &str, shard: Shard) -> Option<Effect> {
        let due = match self.resignation {
            Resignation::None => self.outgoing.is_none() && self.view.standby.is_some(),
            Resignation::Sent(sent_at) => sent_at + RESEND_INTERVAL <= now,
            Resignation::Acknowledged | Resignation::Received => false,
        };
        if !due || !self.view.has_member(vm) {
            return None;
        }
        self.resignation = Resignation::Sent(now);
        let other = self.view.members().find(|other| *other != vm)?;
        Some(Effect::Send {
            to: other.clone(),
            message: Message::Resign {
                shard,
                view: self.view.number,
            },
        })
    }

    /// Handles the other member's resignation. If both resign at once, the standby continues.
    pub(super) fn on_resign(&mut self, vm: &str, from: VmId, shard: Shard) -> Vec<Effect> {
        let resigned = matches!(
            self.resignation,
            Resignation::Sent(_) | Resignation::Acknowledged
        );
        let home = self.view.home == vm;
        if !self.view.has_member(&from) || (resigned && home) {
            return Vec::new();
        }
        self.resignation = Resignation::Received;
        self.outgoing = None;
        vec![Effect::Send {
            to: from,
            message: Message::Resigned {
                shard,
                view: self.view.number,
            },
        }]
    }

    pub(super) fn on_resign_acknowledged(&mut self) {
        if matches!(self.resignation, Resignation::Sent(_)) {
            self.resignation = Resignation::Acknowledged;
        }
    }
}

pub(super) fn reply(attempt: Attempt, view: ViewNumber, reply: Reply) -> Effect {
    Effect::Send {
        to: attempt.vm.clone(),
        message: Message::Reply {
            attempt,
            view,
            reply,
        },
    }
}

pub(super) fn note(shard: Shard, view: ViewNumber, change: Change) -> Effect {
    Effect::Note(Note {
        shard,
        view,
        change,
    })
}
