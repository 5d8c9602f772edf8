//! One VM as home or standby of its shards.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    Attempt, Change, Effect, Fate, Flaw, Message, Order, Reply, Shard, View, ViewNumber, Views,
    memory::{Limits, Memory},
    plan::{Member, Peers},
    replica::{Replica, Resign, Role, note, reply},
    view,
};
use crate::id::{Version, VmId};

/// How many open attempts are asked after in one round.
const ASKS: usize = 64;
/// How long an attempt is open before it is asked after.
const ASK_AFTER: Duration = Duration::from_secs(2);
/// How long an attempt is open before it counts as lost; longer than requests may take.
const SILENT: Duration = Duration::from_mins(5);
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
        // Whoever resigned to a VM that is gone can't tell what that one did before: its own
        // memory is worth nothing any more.
        let gone = |vm: &VmId| *vm == self.vm || self.peers.gone.contains(vm);
        mine.all(|replica| match replica.resign {
            Resign::Known => true,
            Resign::Mine(_) => replica.view.members().all(gone),
            Resign::None | Resign::Theirs => false,
        })
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

    /// Returns how many orders were forgotten for lack of room; it only grows.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert_eq!(Ledger::new("a#1", Limits::default()).forgotten(), 0);
    /// ```
    pub fn forgotten(&self) -> u64 {
        self.shards.iter().map(|it| it.memory.forgotten()).sum()
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
            Event::Peers(peers) => {
                self.take_peers(now, peers);
                Vec::new()
            }
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

    fn take_peers(&mut self, now: Duration, peers: Peers) {
        if peers != self.peers {
            self.settled = now + SETTLE;
        }
        self.peers = peers;
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
        view: ViewNumber,
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

    /// Asks entry VMs after attempts that have been open for long, and gives up those of VMs that
    /// are gone or don't answer. Should one of them end after all, that account is still taken.
    fn ask(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(before) = now.checked_sub(ASK_AFTER) else {
            return effects;
        };
        let silent = now.saturating_sub(SILENT);
        let mine = self.shards.iter_mut().filter(|it| it.view.has(&self.vm));
        for replica in mine {
            let lost = |vm: &VmId| self.peers.gone.contains(vm);
            for id in replica.memory.give_up(lost, silent) {
                effects.extend(replica.wake(now, &self.vm, &id));
            }
            let left = ASKS.saturating_sub(effects.len());
            let open = replica.memory.open(before).take(left);
            effects.extend(open.map(|(order, attempt)| Effect::Send {
                to: attempt.vm.clone(),
                message: Message::Ask { order, attempt },
            }));
        }
        effects
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
        let busy = self.shards.iter().any(Replica::is_sending);
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

    fn replica(&mut self, shard: Shard, view: ViewNumber) -> Option<&mut Replica> {
        let replica = self.shards.get_mut(shard)?;
        (replica.view.number == view).then_some(replica)
    }
}
