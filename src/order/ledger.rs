//! The state machine of one VM as home or standby of shards.
//!
//! It replies to the starts of entry VMs, records how attempts ended, and asks entry VMs about attempts that stay
//! open. It also proposes new views when a member is lost or shuts down, and resigns from its shards when its own VM
//! shuts down.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    Attempt, AttemptState, Change, Effect, Flaw, Message, Order, Reply, Shard, View, ViewNumber,
    Views,
    memory::{Limits, Memory},
    plan::{Member, Peers},
    replica::{Replica, Resignation, Role, note, reply},
    view,
};
use crate::id::{Version, VmId};

/// The highest number of queries about open attempts in one round.
const MAX_QUERIES: usize = 64;
/// How long an attempt is unchanged before its entry VM is asked how it ended.
const QUERY_AFTER: Duration = Duration::from_secs(2);
/// How long an attempt is unchanged before its outcome counts as unknown; longer than requests may take.
const LOST_AFTER: Duration = Duration::from_mins(5);
/// How long until a write with an unknown result is retried.
const WRITE_RETRY: Duration = Duration::from_secs(1);
/// How long the membership must be unchanged before shards move for a better distribution only.
const REBALANCE_DELAY: Duration = Duration::from_secs(10);

/// An input of a [`Ledger`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The record of views was read; version 0 with no shards if there is none.
    Views {
        /// Its version.
        version: Version,
        /// The record.
        views: Views,
    },
    /// The known membership changed.
    Peers(Peers),
    /// A message was received.
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
    rebalance_after: Duration,
    /// The base version of a write with an unknown result, and when the write, or the read after it, was last sent.
    unconfirmed: Option<(Version, Duration)>,
    last_query: Duration,
}

impl Ledger {
    /// Creates a ledger without views.
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
            rebalance_after: Duration::ZERO,
            unconfirmed: None,
            last_query: Duration::ZERO,
        }
    }

    /// Leaves out a safety rule, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Flaw) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns whether no shard depends on this VM any longer, so that it may stop.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert!(Ledger::new("a#1", Limits::default()).is_idle());
    /// ```
    pub fn is_idle(&self) -> bool {
        let mut mine = self.shards.iter().filter(|it| it.view.has_member(&self.vm));
        // The other member may have admitted attempts after this VM resigned to it. Once that one is gone, this VM's
        // memory may lack them, so that nothing can rely on it any more.
        let gone = |vm: &VmId| *vm == self.vm || self.peers.gone.contains(vm);
        mine.all(|replica| match replica.resignation {
            Resignation::Acknowledged => true,
            Resignation::Sent(_) => replica.view.members().all(gone),
            Resignation::None | Resignation::Received => false,
        })
    }

    /// Returns the number of shards of which this VM is the home, of which it is the standby, and of which it still
    /// lacks the complete memory.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert_eq!(Ledger::new("a#1", Limits::default()).role_counts(), (0, 0, 0));
    /// ```
    pub fn role_counts(&self) -> (usize, usize, usize) {
        let mine = || self.shards.iter().filter(|it| it.view.has_member(&self.vm));
        let homes = mine().filter(|it| it.view.home == self.vm).count();
        let empty = mine().filter(|it| !it.complete).count();
        (homes, mine().count() - homes, empty)
    }

    /// Returns how many orders are in memory, and their size in bytes.
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

    /// Returns how many orders were evicted for lack of memory since the start.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Ledger, memory::Limits};
    ///
    /// assert_eq!(Ledger::new("a#1", Limits::default()).evicted(), 0);
    /// ```
    pub fn evicted(&self) -> u64 {
        self.shards.iter().map(|it| it.memory.evicted()).sum()
    }

    /// Handles an event and returns the effects to carry out.
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
            Event::Views { version, views } => self.on_views(version, views),
            Event::Peers(peers) => {
                self.on_peers(now, peers);
                Vec::new()
            }
            Event::Message { from, message } => self.on_message(now, from, message),
            Event::Tick { wall } => self.tick(now, wall),
        }
    }

    fn on_views(&mut self, version: Version, views: Views) -> Vec<Effect> {
        if self.version.is_some_and(|known| known >= version) {
            return Vec::new();
        }
        self.version = Some(version);
        if self.unconfirmed.is_some_and(|(base, _)| base < version) {
            self.unconfirmed = None;
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

    fn on_peers(&mut self, now: Duration, peers: Peers) {
        if peers != self.peers {
            self.rebalance_after = now + REBALANCE_DELAY;
        }
        self.peers = peers;
    }

    fn on_message(&mut self, now: Duration, from: VmId, message: Message) -> Vec<Effect> {
        match message {
            Message::Start {
                order,
                attempt,
                view,
                wall,
            } => self.on_start(now, order, attempt, view, wall),
            Message::Finish {
                order,
                attempt,
                state,
            } => self.on_finish(now, from, &order, attempt, state),
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
                replica.install_part(now, from, shard, part, last, entries)
            }
            Message::Installed { shard, view, part } => {
                let replica = self.replica(shard, view);
                replica.map_or_else(Vec::new, |replica| replica.on_installed(now, shard, part))
            }
            Message::Resign { shard, view } => {
                let vm = self.vm.clone();
                let replica = self.replica(shard, view);
                replica.map_or_else(Vec::new, |it| it.on_resign(&vm, from, shard))
            }
            Message::Resigned { shard, view } => {
                if let Some(replica) = self.replica(shard, view) {
                    replica.on_resign_acknowledged();
                }
                Vec::new()
            }
            Message::Reply { .. } | Message::Finished { .. } | Message::Ask { .. } => Vec::new(),
        }
    }

    /// Replies to an entry VM that asks whether an attempt may run.
    fn on_start(
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
        let answer = match replica.role(&self.vm, self.flaw) {
            None => Reply::NotReady,
            Some(Role::Standby) => replica.record_attempt(now, &order, &attempt),
            Some(role) if replica.may_be_lost(&order, wall, retention) => {
                match replica.check(&order, &attempt, role, Reply::Unknown) {
                    Reply::Mismatch => Reply::Unknown,
                    answer => answer,
                }
            }
            Some(role) => replica.arbitrate(now, order, &attempt, role, wall),
        };
        vec![reply(attempt, view, answer)]
    }

    /// Records and acknowledges the end of an attempt, and replies to the attempts that waited for it.
    fn on_finish(
        &mut self,
        now: Duration,
        from: VmId,
        order: &Order,
        attempt: Attempt,
        state: AttemptState,
    ) -> Vec<Effect> {
        let shard = super::shard(&order.id, self.shards.len());
        let Some(replica) = self.shards.get_mut(shard) else {
            return vec![Effect::Read];
        };
        if !replica.view.has_member(&self.vm) {
            let newer = Reply::Moved(replica.view.clone());
            return vec![reply(attempt, replica.view.number, newer)];
        }
        let forwarded = replica.forward(order, &attempt, &state);
        let changed = replica.memory.update(now, order, attempt.clone(), state);
        let ack = Effect::Send {
            to: from,
            message: Message::Finished { attempt },
        };
        let mut effects = vec![ack];
        if changed {
            effects.extend(forwarded);
            effects.extend(replica.answer_waiters(now, &self.vm, &order.id));
        }
        effects
    }

    fn tick(&mut self, now: Duration, wall: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (shard, replica) in self.shards.iter_mut().enumerate() {
            effects.extend(replica.send_part(now, shard));
        }
        if self.last_query + QUERY_AFTER / 2 <= now {
            self.last_query = now;
            effects.extend(self.query_attempts(now));
        }
        effects.extend(self.resign(now));
        effects.extend(self.propose(now, wall));
        effects
    }

    /// Asks entry VMs how their long open attempts ended, and marks those of lost or unresponsive VMs as unknown.
    ///
    /// A report of such an attempt's end that arrives later is still accepted.
    fn query_attempts(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(before) = now.checked_sub(QUERY_AFTER) else {
            return effects;
        };
        let lost_before = now.saturating_sub(LOST_AFTER);
        let mine = self
            .shards
            .iter_mut()
            .filter(|it| it.view.has_member(&self.vm));
        for replica in mine {
            let lost = |vm: &VmId| self.peers.gone.contains(vm);
            for id in replica.memory.mark_unknown(lost, lost_before) {
                effects.extend(replica.answer_waiters(now, &self.vm, &id));
            }
            let left = MAX_QUERIES.saturating_sub(effects.len());
            let open = replica.memory.open_attempts(before).take(left);
            effects.extend(open.map(|(order, attempt)| Effect::Send {
                to: attempt.vm.clone(),
                message: Message::Ask { order, attempt },
            }));
        }
        effects
    }

    /// Resigns, once this VM shuts down, from every shard that the other member can continue alone.
    fn resign(&mut self, now: Duration) -> Vec<Effect> {
        let leaving = self.peers.vms.get(&self.vm).is_some_and(|it| it.leaving);
        let unconfirmed = self.unconfirmed.is_some() && self.flaw != Flaw::ResignDuringWrite;
        if !leaving || unconfirmed {
            return Vec::new();
        }
        let shards = self.shards.iter_mut().enumerate();
        shards
            .filter_map(|(shard, replica)| replica.resign(now, &self.vm, shard))
            .collect()
    }

    /// Proposes all views that are required, or else a single one that improves the distribution.
    fn propose(&mut self, now: Duration, wall: Duration) -> Vec<Effect> {
        let Some(base) = self.version else {
            return vec![Effect::Read];
        };
        if self
            .unconfirmed
            .is_some_and(|(_, sent_at)| now < sent_at + WRITE_RETRY)
        {
            return Vec::new();
        }
        let next = if self.shards.is_empty() {
            Views::initial(&self.peers.usable(), view::SHARDS).shards
        } else {
            self.next_views(now, wall)
        };
        if next.is_empty() {
            let unconfirmed = self.unconfirmed.as_mut();
            return unconfirmed.map_or_else(Vec::new, |unconfirmed| {
                unconfirmed.1 = now;
                vec![Effect::Read]
            });
        }
        self.unconfirmed = Some((base, now));
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

    /// Returns all views with the changes; empty if there are none.
    fn next_views(&self, now: Duration, wall: Duration) -> Vec<View> {
        let members = || self.shards.iter().enumerate();
        let required: IndexMap<Shard, View> = members()
            .filter_map(|(shard, it)| {
                Some((
                    shard,
                    self.member(shard, it)?.required_view(&self.peers, wall)?,
                ))
            })
            .collect();
        let transferring = self.shards.iter().any(Replica::is_transferring);
        let stable = now >= self.rebalance_after && !transferring && required.is_empty();
        let improved = || {
            members().find_map(|(shard, it)| {
                Some((shard, self.member(shard, it)?.improved_view(&self.peers)?))
            })
        };
        let changes = match stable.then(improved).flatten() {
            Some(improved) => IndexMap::from([improved]),
            None => required,
        };
        if changes.is_empty() {
            return Vec::new();
        }
        let next = members().map(|(shard, it)| changes.get(&shard).unwrap_or(&it.view));
        next.cloned().collect()
    }

    /// Returns this VM's position in a shard; `None` if it resigned, so that it must not propose views.
    fn member<'a>(&'a self, shard: Shard, replica: &'a Replica) -> Option<Member<'a>> {
        let resigned = matches!(
            replica.resignation,
            Resignation::Sent(_) | Resignation::Acknowledged
        );
        (!resigned || self.flaw == Flaw::ActAfterResigning).then_some(Member {
            vm: &self.vm,
            shard,
            view: &replica.view,
            complete: replica.complete,
            flaw: self.flaw,
        })
    }

    /// Returns the replica of a shard, if its view is the given one.
    fn replica(&mut self, shard: Shard, view: ViewNumber) -> Option<&mut Replica> {
        let replica = self.shards.get_mut(shard)?;
        (replica.view.number == view).then_some(replica)
    }
}
