//! One VM's part in one shard.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{
    Attempt, Change, Effect, Fate, Flaw, Message, Note, Order, OrderId, Reply, Shard, View,
    ViewNumber,
    memory::{Entry, Memory, Standing},
};
use crate::id::VmId;

/// How many entries one part of a transfer carries.
const PART: usize = 256;
/// How many attempts wait for others in one shard; more have to ask again by themselves.
const WAITERS: usize = 1_024;
/// How long until a message is sent again.
const RESEND: Duration = Duration::from_millis(200);

/// One VM's view and memory of one shard.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) view: View,
    pub(super) memory: Memory,
    /// Whether the memory is whole for this view.
    pub(super) complete: bool,
    /// The next part of the transfer that this standby takes.
    part: u64,
    sending: Option<Sending>,
    waiters: IndexMap<Attempt, Waiter>,
    pub(super) resign: Resign,
}

/// Whether a member has resigned from the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Resign {
    /// Neither has.
    #[default]
    None,
    /// This VM has, and last said so at that reading.
    Mine(Duration),
    /// This VM has, and the other knows.
    Known,
    /// The other has: this VM acts alone.
    Theirs,
}

/// A transfer to a new standby, part by part.
#[derive(Debug)]
struct Sending {
    ids: VecDeque<OrderId>,
    part: u64,
    sent: Duration,
}

#[derive(Debug)]
struct Waiter {
    order: Order,
    wall: Duration,
}

/// What a member may say under its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Home,
    Standby,
    Alone,
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
            sending: None,
            waiters: IndexMap::new(),
            resign: Resign::None,
        };
        let notes = replica.change(vm, shard, view, flaw);
        (replica, notes)
    }

    /// Goes on to a newer view.
    pub(super) fn change(&mut self, vm: &str, shard: Shard, next: View, flaw: Flaw) -> Vec<Effect> {
        let was = self.view.has(vm);
        // Only a member with the whole memory proposes itself as the next home.
        let kept = self.complete && next.number == self.view.number + 1;
        let home = next.home == vm;
        self.complete = home && (kept || next.founded == next.number);
        self.part = 0;
        self.resign = Resign::None;
        self.waiters.clear();
        self.view = next;
        self.sending = (home && self.view.standby.is_some()).then(|| Sending {
            ids: self.memory.ids().cloned().collect(),
            part: 0,
            sent: Duration::ZERO,
        });
        if !self.view.has(vm) {
            self.memory.clear();
        } else if !home && flaw == Flaw::NoTransfer {
            self.complete = true;
        }
        let change = match (self.view.has(vm), home) {
            (true, true) => Change::Home,
            (true, false) => Change::Standby,
            (false, _) if was => Change::Left,
            (false, _) => return Vec::new(),
        };
        let mut notes = vec![note(shard, self.view.number, change)];
        if home && self.view.horizon.is_some() && self.view.founded == self.view.number {
            notes.push(note(shard, self.view.number, Change::Horizon));
        }
        notes
    }

    /// Returns whether the standby still lacks a part of the memory.
    pub(super) fn is_sending(&self) -> bool {
        self.sending.is_some()
    }

    /// Returns what this VM may say now.
    pub(super) fn role(&self, vm: &str, flaw: Flaw) -> Option<Role> {
        let resigned = matches!(self.resign, Resign::Mine(_) | Resign::Known);
        if !self.complete || !self.view.has(vm) || (resigned && flaw != Flaw::ResignIdly) {
            return None;
        }
        if self.resign == Resign::Theirs || self.view.standby.is_none() {
            Some(Role::Alone)
        } else if self.view.home == vm {
            Some(Role::Home)
        } else {
            Some(Role::Standby)
        }
    }

    /// Returns whether the order may have been started and lost with both memories.
    pub(super) fn lost(&self, order: &Order, wall: Duration, retention: Duration) -> bool {
        let Some(horizon) = self.view.horizon else {
            return false;
        };
        match order.created_at {
            Some(created_at) => created_at <= horizon,
            None => wall <= horizon + retention,
        }
    }

    pub(super) fn remember(&mut self, now: Duration, order: &Order, attempt: &Attempt) -> Reply {
        if self.memory.standing(order, attempt) == Standing::Ended {
            return Reply::Ended;
        }
        if !self.memory.make_room(now) {
            return Reply::Full;
        }
        self.memory.learn(now, order, attempt.clone(), Fate::Open);
        Reply::Remembered
    }

    pub(super) fn arbitrate(
        &mut self,
        now: Duration,
        order: Order,
        attempt: &Attempt,
        role: Role,
        wall: Duration,
    ) -> Reply {
        let word = if role == Role::Alone {
            Reply::Alone
        } else {
            Reply::Yours
        };
        match self.standing(&order, attempt, role, word) {
            word @ (Reply::Yours | Reply::Alone) => {
                if !self.memory.make_room(now) {
                    return Reply::Full;
                }
                self.memory.learn(now, &order, attempt.clone(), Fate::Open);
                word
            }
            Reply::Running => {
                if self.waiters.len() < WAITERS {
                    let waiter = Waiter { order, wall };
                    self.waiters.insert(attempt.clone(), waiter);
                }
                Reply::Running
            }
            other => other,
        }
    }

    /// Returns what the memory says; `free` if it has nothing against the attempt.
    pub(super) fn standing(
        &self,
        order: &Order,
        attempt: &Attempt,
        role: Role,
        free: Reply,
    ) -> Reply {
        let deputy = role == Role::Alone && self.view.standby.is_some();
        match self.memory.standing(order, attempt) {
            // What it remembered as a standby was perhaps never admitted: others may be waiting
            // in the same way, and would wait for each other.
            Standing::Mine | Standing::Running
                if deputy && self.memory.has_open(&order.id, attempt) =>
            {
                Reply::Ended
            }
            Standing::Free | Standing::Mine => free,
            Standing::Running => Reply::Running,
            Standing::Ran(answer) => Reply::Ran(answer),
            Standing::Unknown => Reply::Unknown,
            Standing::Mismatch => Reply::Mismatch,
            Standing::Ended => Reply::Ended,
        }
    }

    /// Answers the attempts that wait for an order, now that something changed.
    pub(super) fn wake(&mut self, now: Duration, vm: &str, id: &OrderId) -> Vec<Effect> {
        let Some(role) = self.role(vm, Flaw::None).filter(|it| *it != Role::Standby) else {
            return Vec::new();
        };
        let waiting = self.waiters.iter().filter(|it| it.1.order.id == *id);
        let attempts: Vec<_> = waiting.map(|it| it.0.clone()).collect();
        let mut effects = Vec::new();
        for attempt in attempts {
            if let Some(waiter) = self.waiters.shift_remove(&attempt) {
                let word = self.arbitrate(now, waiter.order, &attempt, role, waiter.wall);
                effects.push(reply(attempt, self.view.number, word));
            }
        }
        effects
    }

    /// Passes news on to a standby whose transfer may have gone past the entry already.
    pub(super) fn relay(&self, order: &Order, attempt: &Attempt, fate: &Fate) -> Option<Effect> {
        self.sending.as_ref()?;
        Some(Effect::Send {
            to: self.view.standby.clone()?,
            message: Message::Finish {
                order: order.clone(),
                attempt: attempt.clone(),
                fate: fate.clone(),
            },
        })
    }

    /// Sends the part of the transfer that is due.
    pub(super) fn transfer(&mut self, now: Duration, shard: Shard) -> Option<Effect> {
        let sending = self.sending.as_mut()?;
        if !sending.sent.is_zero() && now < sending.sent + RESEND {
            return None;
        }
        sending.sent = now;
        let ids = sending.ids.iter().take(PART);
        let entry = |id: &OrderId| Some((id.clone(), self.memory.entry(now, id)?));
        Some(Effect::Send {
            to: self.view.standby.clone()?,
            message: Message::Transfer {
                shard,
                view: self.view.number,
                part: sending.part,
                last: sending.ids.len() <= PART,
                floor: self.memory.floor(),
                entries: ids.filter_map(entry).collect(),
            },
        })
    }

    /// Takes the standby's word for a part, and sends the next.
    pub(super) fn sent(&mut self, now: Duration, shard: Shard, part: u64) -> Vec<Effect> {
        let Some(sending) = self.sending.as_mut().filter(|it| it.part == part) else {
            return Vec::new();
        };
        if sending.ids.len() <= PART {
            self.sending = None;
            return vec![note(shard, self.view.number, Change::Installed)];
        }
        sending.ids.drain(..PART);
        sending.part += 1;
        sending.sent = Duration::ZERO;
        self.transfer(now, shard).into_iter().collect()
    }

    pub(super) fn take_part(
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

    /// Resigns to the other member, if that one can go on.
    pub(super) fn resign(&mut self, now: Duration, vm: &str, shard: Shard) -> Option<Effect> {
        let due = match self.resign {
            Resign::None => self.sending.is_none() && self.view.standby.is_some(),
            Resign::Mine(sent) => sent + RESEND <= now,
            Resign::Known | Resign::Theirs => false,
        };
        if !due || !self.view.has(vm) {
            return None;
        }
        self.resign = Resign::Mine(now);
        let other = self.view.members().find(|other| *other != vm)?;
        Some(Effect::Send {
            to: other.clone(),
            message: Message::Resign {
                shard,
                view: self.view.number,
            },
        })
    }

    /// Takes the other's resignation. Should both resign at once, the standby goes on.
    pub(super) fn take_resign(&mut self, vm: &str, from: VmId, shard: Shard) -> Vec<Effect> {
        let resigned = matches!(self.resign, Resign::Mine(_) | Resign::Known);
        let home = self.view.home == vm;
        if !self.view.has(&from) || (resigned && home) {
            return Vec::new();
        }
        self.resign = Resign::Theirs;
        self.sending = None;
        vec![Effect::Send {
            to: from,
            message: Message::Resigned {
                shard,
                view: self.view.number,
            },
        }]
    }

    pub(super) fn resign_known(&mut self) {
        if matches!(self.resign, Resign::Mine(_)) {
            self.resign = Resign::Known;
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
