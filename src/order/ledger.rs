//! One VM as home or standby of its shards.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{
    Attempt, Change, Effect, Fate, Flaw, Message, Note, Number, Order, OrderId, Reply, Shard, View,
    Views,
    memory::{Entry, Limits, Memory, Standing},
    plan::{Member, Peers},
    view,
};
use crate::id::{Version, VmId};

/// How many entries one part of a transfer carries.
const PART: usize = 256;
/// How many attempts wait for others in one shard; more have to ask again by themselves.
const WAITERS: usize = 1_024;
/// How many open attempts are asked after in one round.
const ASKS: usize = 64;
/// How long until a message is sent again.
const RESEND: Duration = Duration::from_millis(200);
/// How long an attempt is open before it is asked after.
const ASK_AFTER: Duration = Duration::from_secs(2);
/// How long until a write that is in doubt is tried again.
const REWRITE: Duration = Duration::from_secs(1);
/// How long the VMs have to be the same before shards move only to be spread better.
const SETTLE: Duration = Duration::from_secs(10);

/// What happens to a [`Ledger`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The record was read; version 0 with no shards if there is none.
    Views {
        /// Its version.
        version: Version,
        /// The record.
        views: Views,
    },
    /// The membership changed.
    Peers(Peers),
    /// A message came in.
    Message {
        /// The VM that sent it.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// Time passed; `wall` is the wall clock, since the Unix epoch.
    Tick {
        /// The wall clock.
        wall: Duration,
    },
}

/// The state of one VM as home or standby.
#[derive(Debug)]
pub struct Ledger {
    vm: VmId,
    limits: Limits,
    flaw: Flaw,
    version: Option<Version>,
    shards: Vec<Replica>,
    peers: Peers,
    settled: Duration,
    /// The base of a write whose fate isn't known, and when it was last sent.
    doubt: Option<(Version, Duration)>,
    asked: Duration,
}

#[derive(Debug)]
struct Replica {
    view: View,
    memory: Memory,
    /// Whether the memory is whole for this view.
    complete: bool,
    /// The next part of the transfer that this standby takes.
    part: u64,
    sending: Option<Sending>,
    waiters: IndexMap<Attempt, Waiter>,
    resign: Resign,
}

/// Whether a member has resigned from the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Resign {
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
enum Role {
    Home,
    Standby,
    Alone,
}

impl Ledger {
    /// Creates a ledger that knows nothing yet.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert!(Ledger::new("a#1", Limits::default()).is_idle());
    /// ```
    pub fn new(vm: &str, limits: Limits) -> Self {
        Self {
            vm: vm.into(),
            limits,
            flaw: Flaw::None,
            version: None,
            shards: Vec::new(),
            peers: Peers::default(),
            settled: Duration::ZERO,
            doubt: None,
            asked: Duration::ZERO,
        }
    }

    /// Leaves out a rule, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Flaw) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns whether no shard needs this VM any longer, so that it may stop.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert!(Ledger::new("a#1", Limits::default()).is_idle());
    /// ```
    pub fn is_idle(&self) -> bool {
        let mut mine = self.shards.iter().filter(|it| it.view.has(&self.vm));
        mine.all(|replica| replica.resign == Resign::Known)
    }

    /// Returns how many shards this VM is home of, standby of, and still without memory of.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert_eq!(Ledger::new("a#1", Limits::default()).duties(), (0, 0, 0));
    /// ```
    pub fn duties(&self) -> (usize, usize, usize) {
        let mine = || self.shards.iter().filter(|it| it.view.has(&self.vm));
        let homes = mine().filter(|it| it.view.home == self.vm).count();
        let empty = mine().filter(|it| !it.complete).count();
        (homes, mine().count() - homes, empty)
    }

    /// Returns how many orders are remembered, and their size in bytes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert_eq!(Ledger::new("a#1", Limits::default()).size(), (0, 0));
    /// ```
    pub fn size(&self) -> (usize, usize) {
        let sizes = self.shards.iter().map(|it| it.memory.size());
        sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1))
    }

    /// Takes an event.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::{Effect, Ledger, ledger::Event, memory::Limits};
    ///
    /// let mut ledger = Ledger::new("a#1", Limits::default());
    /// let effects = ledger.on(Duration::ZERO, Event::Tick { wall: Duration::ZERO });
    /// assert_eq!(effects, [Effect::Read]);
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Views { version, views } => self.take_views(version, views),
            Event::Peers(peers) => self.take_peers(now, peers),
            Event::Message { from, message } => self.take_message(now, from, message),
            Event::Tick { wall } => self.tick(now, wall),
        }
    }

    fn take_views(&mut self, version: Version, views: Views) -> Vec<Effect> {
        if self.version.is_some_and(|known| known >= version) {
            return Vec::new();
        }
        self.version = Some(version);
        if self.doubt.is_some_and(|(base, _)| base < version) {
            self.doubt = None;
        }
        let mut effects = Vec::new();
        for (shard, next) in views.shards.into_iter().enumerate() {
            match self.shards.get_mut(shard) {
                Some(replica) if replica.view.number >= next.number => {}
                Some(replica) => effects.extend(replica.change(&self.vm, shard, next, self.flaw)),
                None => {
                    let memory = Memory::new(self.limits, self.flaw);
                    let (replica, notes) = Replica::new(&self.vm, shard, next, memory, self.flaw);
                    self.shards.push(replica);
                    effects.extend(notes);
                }
            }
        }
        effects
    }

    fn take_peers(&mut self, now: Duration, peers: Peers) -> Vec<Effect> {
        if peers != self.peers {
            self.settled = now + SETTLE;
        }
        let news: Vec<_> = peers.gone.difference(&self.peers.gone).cloned().collect();
        self.peers = peers;
        let mut effects = Vec::new();
        for vm in news {
            for replica in &mut self.shards {
                for id in replica.memory.close(&vm) {
                    effects.extend(replica.wake(now, &self.vm, &id));
                }
            }
        }
        effects
    }

    fn take_message(&mut self, now: Duration, from: VmId, message: Message) -> Vec<Effect> {
        match message {
            Message::Start {
                order,
                attempt,
                view,
                wall,
            } => self.start(now, order, attempt, view, wall),
            Message::Finish {
                order,
                attempt,
                fate,
            } => self.finish(now, from, &order, attempt, fate),
            Message::Transfer {
                shard,
                view,
                part,
                last,
                floor,
                entries,
            } => {
                let Some(replica) = self.replica(shard, view) else {
                    return vec![Effect::Read];
                };
                replica.memory.raise_floor(floor);
                replica.take_part(now, from, shard, part, last, entries)
            }
            Message::Installed { shard, view, part } => {
                let replica = self.replica(shard, view);
                replica.map_or_else(Vec::new, |replica| replica.sent(now, shard, part))
            }
            Message::Resign { shard, view } => {
                let vm = self.vm.clone();
                let replica = self.replica(shard, view);
                replica.map_or_else(Vec::new, |it| it.take_resign(&vm, from, shard))
            }
            Message::Resigned { shard, view } => {
                if let Some(replica) = self.replica(shard, view) {
                    replica.resign_known();
                }
                Vec::new()
            }
            Message::Reply { .. } | Message::Finished { .. } | Message::Ask { .. } => Vec::new(),
        }
    }

    fn start(
        &mut self,
        now: Duration,
        order: Order,
        attempt: Attempt,
        view: Number,
        wall: Duration,
    ) -> Vec<Effect> {
        let retention = self.limits.retention;
        let shard = super::shard(&order.id, self.shards.len());
        let Some(replica) = self.shards.get_mut(shard) else {
            return vec![reply(attempt, view, Reply::NotReady), Effect::Read];
        };
        if view < replica.view.number {
            let newer = replica.view.clone();
            return vec![reply(attempt, view, Reply::Moved(newer))];
        }
        if view > replica.view.number {
            return vec![reply(attempt, view, Reply::NotReady), Effect::Read];
        }
        let word = match replica.role(&self.vm, self.flaw) {
            None => Reply::NotReady,
            Some(Role::Standby) => replica.remember(now, &order, &attempt),
            Some(role) if replica.lost(&order, wall, retention) => {
                match replica.standing(&order, &attempt, role, Reply::Unknown) {
                    Reply::Mismatch => Reply::Unknown,
                    word => word,
                }
            }
            Some(role) => replica.arbitrate(now, order, &attempt, role, wall),
        };
        vec![reply(attempt, view, word)]
    }

    fn finish(
        &mut self,
        now: Duration,
        from: VmId,
        order: &Order,
        attempt: Attempt,
        fate: Fate,
    ) -> Vec<Effect> {
        let shard = super::shard(&order.id, self.shards.len());
        let Some(replica) = self.shards.get_mut(shard) else {
            return vec![Effect::Read];
        };
        if !replica.view.has(&self.vm) {
            let newer = Reply::Moved(replica.view.clone());
            return vec![reply(attempt, replica.view.number, newer)];
        }
        let relay = replica.relay(order, &attempt, &fate);
        let news = replica.memory.learn(now, order, attempt.clone(), fate);
        let ack = Effect::Send {
            to: from,
            message: Message::Finished { attempt },
        };
        let mut effects = vec![ack];
        if news {
            effects.extend(relay);
            effects.extend(replica.wake(now, &self.vm, &order.id));
        }
        effects
    }

    fn tick(&mut self, now: Duration, wall: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (shard, replica) in self.shards.iter_mut().enumerate() {
            effects.extend(replica.transfer(now, shard));
        }
        if self.asked + ASK_AFTER / 2 <= now {
            self.asked = now;
            effects.extend(self.ask(now));
        }
        effects.extend(self.resign(now));
        effects.extend(self.propose(now, wall));
        effects
    }

    /// Asks entry VMs after attempts that have been open for long.
    fn ask(&self, now: Duration) -> Vec<Effect> {
        let Some(before) = now.checked_sub(ASK_AFTER) else {
            return Vec::new();
        };
        let mine = self.shards.iter().filter(|it| it.view.has(&self.vm));
        let open = mine.flat_map(|replica| replica.memory.open(before));
        let asks = open.take(ASKS).map(|(order, attempt)| Effect::Send {
            to: attempt.vm.clone(),
            message: Message::Ask { order, attempt },
        });
        asks.collect()
    }

    /// Resigns from every shard that the other member can go on with, once this VM stops.
    fn resign(&mut self, now: Duration) -> Vec<Effect> {
        let leaving = self.peers.vms.get(&self.vm).is_some_and(|it| it.leaving);
        let doubt = self.doubt.is_some() && self.flaw != Flaw::ResignInDoubt;
        if !leaving || doubt {
            return Vec::new();
        }
        let shards = self.shards.iter_mut().enumerate();
        shards
            .filter_map(|(shard, replica)| replica.resign(now, &self.vm, shard))
            .collect()
    }

    /// Proposes the views that are needed, or a single one that is only wanted.
    fn propose(&mut self, now: Duration, wall: Duration) -> Vec<Effect> {
        let Some(base) = self.version else {
            return vec![Effect::Read];
        };
        if self.doubt.is_some_and(|(_, sent)| now < sent + REWRITE) {
            return Vec::new();
        }
        let next = if self.shards.is_empty() {
            Views::first(&self.peers.usable(), view::SHARDS).shards
        } else {
            self.next_views(now, wall)
        };
        if next.is_empty() {
            let doubt = self.doubt.as_mut();
            return doubt.map_or_else(Vec::new, |doubt| {
                doubt.1 = now;
                vec![Effect::Read]
            });
        }
        self.doubt = Some((base, now));
        let changed = next.iter().zip(0..).filter(|(view, shard)| {
            let known: Option<&Replica> = self.shards.get(*shard);
            known.is_none_or(|known| known.view.number < view.number)
        });
        let mut effects: Vec<_> = changed
            .map(|(view, shard)| note(shard, view.number, Change::Proposed))
            .collect();
        effects.push(Effect::Write {
            base,
            views: Views { shards: next },
        });
        effects.push(Effect::Read);
        effects
    }

    /// Returns all views with the changes; nothing if there are none.
    fn next_views(&self, now: Duration, wall: Duration) -> Vec<View> {
        let members = || self.shards.iter().enumerate();
        let needed: IndexMap<Shard, View> = members()
            .filter_map(|(shard, it)| {
                Some((shard, self.member(shard, it)?.needed(&self.peers, wall)?))
            })
            .collect();
        let busy = self.shards.iter().any(|it| it.sending.is_some());
        let settled = now >= self.settled && !busy && needed.is_empty();
        let wanted = || {
            members()
                .find_map(|(shard, it)| Some((shard, self.member(shard, it)?.wanted(&self.peers)?)))
        };
        let changes = match settled.then(wanted).flatten() {
            Some(wanted) => IndexMap::from([wanted]),
            None => needed,
        };
        if changes.is_empty() {
            return Vec::new();
        }
        let next = members().map(|(shard, it)| changes.get(&shard).unwrap_or(&it.view));
        next.cloned().collect()
    }

    fn member<'a>(&'a self, shard: Shard, replica: &'a Replica) -> Option<Member<'a>> {
        let resigned = matches!(replica.resign, Resign::Mine(_) | Resign::Known);
        (!resigned || self.flaw == Flaw::ResignIdly).then_some(Member {
            vm: &self.vm,
            shard,
            view: &replica.view,
            complete: replica.complete,
            flaw: self.flaw,
        })
    }

    fn replica(&mut self, shard: Shard, view: Number) -> Option<&mut Replica> {
        let replica = self.shards.get_mut(shard)?;
        (replica.view.number == view).then_some(replica)
    }
}

impl Replica {
    fn new(vm: &str, shard: Shard, view: View, memory: Memory, flaw: Flaw) -> (Self, Vec<Effect>) {
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
    fn change(&mut self, vm: &str, shard: Shard, next: View, flaw: Flaw) -> Vec<Effect> {
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

    /// Returns what this VM may say now.
    fn role(&self, vm: &str, flaw: Flaw) -> Option<Role> {
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
    fn lost(&self, order: &Order, wall: Duration, retention: Duration) -> bool {
        let Some(horizon) = self.view.horizon else {
            return false;
        };
        match order.made {
            Some(made) => made <= horizon,
            None => wall <= horizon + retention,
        }
    }

    fn remember(&mut self, now: Duration, order: &Order, attempt: &Attempt) -> Reply {
        if self.memory.standing(order, attempt) == Standing::Ended {
            return Reply::Ended;
        }
        if !self.memory.make_room(now) {
            return Reply::Full;
        }
        self.memory.learn(now, order, attempt.clone(), Fate::Open);
        Reply::Remembered
    }

    fn arbitrate(
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
    fn standing(&self, order: &Order, attempt: &Attempt, role: Role, free: Reply) -> Reply {
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
    fn wake(&mut self, now: Duration, vm: &str, id: &OrderId) -> Vec<Effect> {
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
    fn relay(&self, order: &Order, attempt: &Attempt, fate: &Fate) -> Option<Effect> {
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
    fn transfer(&mut self, now: Duration, shard: Shard) -> Option<Effect> {
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
    fn sent(&mut self, now: Duration, shard: Shard, part: u64) -> Vec<Effect> {
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

    fn take_part(
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
    fn resign(&mut self, now: Duration, vm: &str, shard: Shard) -> Option<Effect> {
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
    fn take_resign(&mut self, vm: &str, from: VmId, shard: Shard) -> Vec<Effect> {
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

    fn resign_known(&mut self) {
        if matches!(self.resign, Resign::Mine(_)) {
            self.resign = Resign::Known;
        }
    }
}

fn reply(attempt: Attempt, view: Number, reply: Reply) -> Effect {
    Effect::Send {
        to: attempt.vm.clone(),
        message: Message::Reply {
            attempt,
            view,
            reply,
        },
    }
}

fn note(shard: Shard, view: Number, change: Change) -> Effect {
    Effect::Note(Note {
        shard,
        view,
        change,
    })
}
