//! The state machine of an entry VM for the orders of its callers.
//!
//! It asks home and standby whether an order may run, decides what its caller is answered, and reports to the members
//! how the attempt ended, until they have acknowledged it.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

pub use super::decision::{Decision, UnknownReason};
use super::{
    Answer, Attempt, AttemptState, Effect, Flaw, MAX_AHEAD, Message, Order, Reply, View,
    ViewNumber, Views,
    pending::{MemberReplies, Pending, Phase, Request},
};
use crate::{
    id::{Version, VmId},
    request::Proof,
};

/// How long the end of an attempt is sent again to members that don't acknowledge it.
const REPORT_DURATION: Duration = Duration::from_mins(1);

/// An input of a [`Starter`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The record of views was read, or received from another VM.
    Views {
        /// Its version.
        version: Version,
        /// The record.
        views: Views,
    },
    /// A caller's order was received.
    Begin {
        /// The entry VM's number for the order; never used twice.
        token: u64,
        /// The order.
        order: Order,
        /// The time of the monotonic clock at which its caller gives up.
        deadline: Duration,
        /// The wall clock, since the Unix epoch.
        wall: Duration,
    },
    /// An order that was allowed to run has ended.
    Ended {
        /// Its number.
        token: u64,
        /// How it ended.
        end: End,
    },
    /// The caller disconnected before it received the decision, so nothing was sent to a target.
    Cancelled {
        /// Its number.
        token: u64,
    },
    /// A message was received.
    Message {
        /// The VM that sent it.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// Time passed.
    Tick,
}

/// How an order that was allowed to run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran.
    Ran(Answer),
    /// It may have run.
    Unknown,
    /// It is proven that it did not run and will not.
    NotRun(Proof),
}

/// The state of an entry VM's orders, as a state machine without I/O.
#[derive(Debug)]
pub struct Starter {
    vm: VmId,
    flaw: Flaw,
    seq: u64,
    version: Version,
    views: Views,
    pending: IndexMap<u64, Pending>,
}

impl Starter {
    /// Creates a starter without views.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::Starter;
    ///
    /// assert!(Starter::new("a#1").is_idle());
    /// ```
    pub fn new(vm: &str) -> Self {
        Self {
            vm: vm.into(),
            flaw: Flaw::None,
            seq: 0,
            version: 0,
            views: Views::default(),
            pending: IndexMap::new(),
        }
    }

    /// Leaves out a safety rule, for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Flaw) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns whether no order is in progress and no end of an attempt is still being reported.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::Starter;
    ///
    /// assert!(Starter::new("a#1").is_idle());
    /// ```
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Handles an event and returns the effects to carry out.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::{Effect, Order, Starter, starter::Event};
    ///
    /// let mut starter = Starter::new("a#1");
    /// let order = Order { id: "dispatch/1".into(), created_at: None, fingerprint: 1 };
    /// let effects = starter.on(Duration::ZERO, Event::Begin {
    ///     token: 1,
    ///     order,
    ///     deadline: Duration::from_secs(1),
    ///     wall: Duration::ZERO,
    /// });
    /// assert_eq!(effects, [Effect::Read]); // no views are known yet
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        match event {
            Event::Views { version, views } => self.on_views(now, version, views),
            Event::Begin {
                token,
                order,
                deadline,
                wall,
            } => self.begin(now, token, order, deadline, wall),
            Event::Ended { token, end } => self.on_ended(now, token, end),
            Event::Cancelled { token } => self.on_cancelled(now, token),
            Event::Message { from, message } => self.on_message(now, from, message),
            Event::Tick => self.tick(now),
        }
    }

    fn on_views(&mut self, now: Duration, version: Version, views: Views) -> Vec<Effect> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        for (shard, next) in views.shards.into_iter().enumerate() {
            match self.views.shards.get_mut(shard) {
                Some(view) if view.number >= next.number => {}
                Some(view) => *view = next,
                None => self.views.shards.push(next),
            }
        }
        self.restart_stale(now)
    }

    /// Restarts the attempts that were asked for under older views.
    fn restart_stale(&mut self, now: Duration) -> Vec<Effect> {
        let asking = |it: &Pending| matches!(it.phase, Phase::Asking(_));
        let stale = self.pending.iter().filter(|(_, it)| {
            let newest = self
                .views
                .view_of(&it.request.order.id)
                .map(|(_, view)| view);
            asking(it) && newest != it.view.as_ref()
        });
        let stale: Vec<_> = stale.map(|(seq, _)| *seq).collect();
        stale
            .into_iter()
            .flat_map(|seq| self.restart(now, seq))
            .collect()
    }

    fn begin(
        &mut self,
        now: Duration,
        token: u64,
        order: Order,
        deadline: Duration,
        wall: Duration,
    ) -> Vec<Effect> {
        if order
            .created_at
            .is_some_and(|created_at| created_at > wall + MAX_AHEAD)
        {
            return vec![decide(token, Decision::Unknown(UnknownReason::DatedAhead))];
        }
        let request = Request {
            token,
            order,
            deadline,
            wall,
        };
        self.start_attempt(now, request)
    }

    /// Starts an attempt under the newest view; each view needs a new attempt.
    fn start_attempt(&mut self, now: Duration, request: Request) -> Vec<Effect> {
        self.seq += 1;
        let view = self.views.view_of(&request.order.id);
        let pending = Pending {
            view: view.map(|(_, view)| view.clone()),
            request,
            phase: Phase::Asking(MemberReplies::default()),
            sent_at: now,
        };
        let effects = pending.start_messages(&self.vm, self.seq);
        self.pending.insert(self.seq, pending);
        effects
    }

    /// Ends an attempt as not run and starts a new one for the same order.
    fn restart(&mut self, now: Duration, seq: u64) -> Vec<Effect> {
        let Some(pending) = self.pending.get(&seq) else {
            return Vec::new();
        };
        if self.flaw == Flaw::MixedViews {
            return self.switch_view(seq);
        }
        let request = pending.request.clone();
        if request.deadline <= now {
            return self.time_out(now, seq);
        }
        let mut effects = self.close(now, seq, AttemptState::NotRun);
        effects.extend(self.start_attempt(now, request));
        effects
    }

    /// Ends an attempt that is still undecided at its caller's deadline.
    fn time_out(&mut self, now: Duration, seq: u64) -> Vec<Effect> {
        let pending = self.pending.get(&seq);
        let undecided = pending.and_then(|it| match &it.phase {
            Phase::Asking(replies) => Some((it.request.token, replies.timeout_decision())),
            _ => None,
        });
        let Some((token, decision)) = undecided else {
            return Vec::new();
        };
        let mut effects = self.close(now, seq, AttemptState::NotRun);
        effects.push(decide(token, decision));
        effects
    }

    /// Continues the same attempt under another view, which is unsafe; for [`Flaw::MixedViews`] only.
    fn switch_view(&mut self, seq: u64) -> Vec<Effect> {
        if let Some(pending) = self.pending.get_mut(&seq) {
            pending.view = self
                .views
                .view_of(&pending.request.order.id)
                .map(|it| it.1.clone());
        }
        Vec::new()
    }

    fn on_ended(&mut self, now: Duration, token: u64, end: End) -> Vec<Effect> {
        let running =
            |it: &Pending| it.request.token == token && matches!(it.phase, Phase::Running);
        let Some(seq) = self.find(running) else {
            return Vec::new();
        };
        let state = match end {
            End::Ran(answer) => AttemptState::Ran(answer),
            End::Unknown if self.flaw == Flaw::LostIsNotRun => AttemptState::NotRun,
            End::Unknown => AttemptState::Unknown,
            End::NotRun(_) => AttemptState::NotRun,
        };
        self.close(now, seq, state)
    }

    fn on_cancelled(&mut self, now: Duration, token: u64) -> Vec<Effect> {
        let asking =
            |it: &Pending| it.request.token == token && matches!(it.phase, Phase::Asking(_));
        let seq = self.find(asking);
        seq.map_or_else(Vec::new, |seq| self.close(now, seq, AttemptState::NotRun))
    }

    /// Returns the sequence number of the first pending attempt that matches.
    fn find<P>(&self, predicate: P) -> Option<u64>
    where
        P: Fn(&Pending) -> bool,
    {
        let mut found = self.pending.iter().filter(|(_, it)| predicate(it));
        found.next().map(|(seq, _)| *seq)
    }

    /// Ends an attempt and reports its state to the members.
    fn close(&mut self, now: Duration, seq: u64, state: AttemptState) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&seq) else {
            return Vec::new();
        };
        let asked = pending.view.is_some();
        pending.phase = Phase::Reporting {
            state,
            acknowledged: IndexSet::new(),
            report_until: now + REPORT_DURATION,
        };
        pending.sent_at = now;
        let effects = pending.finish_messages(&self.vm, seq, &self.views);
        if !asked {
            self.pending.shift_remove(&seq);
        }
        effects
    }

    fn on_message(&mut self, now: Duration, from: VmId, message: Message) -> Vec<Effect> {
        match message {
            Message::Reply {
                attempt,
                view,
                reply,
            } if attempt.vm == self.vm => self.on_reply(now, attempt.seq, view, reply),
            Message::Finished { attempt } if attempt.vm == self.vm => {
                self.on_finished(attempt.seq, from);
                Vec::new()
            }
            Message::Ask { order, attempt } if attempt.vm == self.vm => {
                self.on_query(from, order, attempt)
            }
            _ => Vec::new(),
        }
    }

    fn on_reply(&mut self, now: Duration, seq: u64, view: ViewNumber, reply: Reply) -> Vec<Effect> {
        if let Reply::Moved(newer) = reply {
            return self.on_moved(now, seq, newer);
        }
        let flaw = self.flaw;
        let Some(pending) = self.pending.get_mut(&seq) else {
            return Vec::new();
        };
        let token = pending.request.token;
        let Phase::Asking(replies) = &mut pending.phase else {
            return Vec::new();
        };
        let decision = match reply {
            Reply::Admitted => {
                replies.home = Some(view);
                None
            }
            Reply::Recorded => {
                replies.standby = Some(view);
                None
            }
            Reply::AdmittedAlone => {
                replies.sole_member = true;
                None
            }
            Reply::Running => {
                replies.running = true;
                None
            }
            Reply::NotReady | Reply::Moved(_) => None,
            Reply::Ended => return self.restart(now, seq),
            Reply::Ran(answer) => Some(Decision::Ran(answer)),
            Reply::Unknown => Some(Decision::Unknown(UnknownReason::Lost)),
            Reply::Mismatch => Some(Decision::Mismatch),
            Reply::Full => Some(Decision::Unknown(UnknownReason::MemoryFull)),
        };
        if let Some(decision) = decision {
            let mut effects = self.close(now, seq, AttemptState::NotRun);
            effects.push(decide(token, decision));
            return effects;
        }
        if !replies.may_run(flaw) {
            return Vec::new();
        }
        // A VM that was suspended may read both replies long after its caller's deadline. By then the members may
        // have evicted the id, so that the order could run twice.
        if pending.request.deadline <= now {
            return self.time_out(now, seq);
        }
        pending.phase = Phase::Running;
        vec![decide(token, Decision::Run)]
    }

    /// Adopts a newer view that a member sent.
    fn on_moved(&mut self, now: Duration, seq: u64, newer: View) -> Vec<Effect> {
        let Some(pending) = self.pending.get(&seq) else {
            return Vec::new();
        };
        let shard = super::shard(&pending.request.order.id, self.views.shards.len());
        match self.views.shards.get_mut(shard) {
            Some(view) if view.number < newer.number => *view = newer,
            _ => return Vec::new(),
        }
        let mut effects = self.restart_stale(now);
        effects.push(Effect::Read);
        effects
    }

    fn on_finished(&mut self, seq: u64, from: VmId) {
        let Some(pending) = self.pending.get_mut(&seq) else {
            return;
        };
        let Phase::Reporting { acknowledged, .. } = &mut pending.phase else {
            return;
        };
        acknowledged.insert(from);
        let view = self
            .views
            .view_of(&pending.request.order.id)
            .map(|(_, view)| view);
        if view.is_some_and(|view| view.members().all(|vm| acknowledged.contains(vm))) {
            self.pending.shift_remove(&seq);
        }
    }

    /// Reports how an attempt ended, or that its outcome is no longer known here; an open attempt gets no reply.
    fn on_query(&self, from: VmId, order: Order, attempt: Attempt) -> Vec<Effect> {
        let state = match self.pending.get(&attempt.seq).map(|it| &it.phase) {
            Some(Phase::Asking(_) | Phase::Running) => return Vec::new(),
            Some(Phase::Reporting { state, .. }) => state.clone(),
            None => AttemptState::Unknown,
        };
        vec![Effect::Send {
            to: from,
            message: Message::Finish {
                order,
                attempt,
                state,
            },
        }]
    }

    fn tick(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        let due = self.pending.iter().filter(|(_, it)| it.is_due(now));
        let due: Vec<_> = due.map(|(seq, _)| *seq).collect();
        for seq in due {
            effects.extend(self.resend(now, seq));
        }
        effects
    }

    /// Sends unanswered messages again, or ends the attempt.
    fn resend(&mut self, now: Duration, seq: u64) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&seq) else {
            return Vec::new();
        };
        pending.sent_at = now;
        match &pending.phase {
            Phase::Asking(_) if pending.request.deadline <= now => self.time_out(now, seq),
            Phase::Asking(_) => pending.start_messages(&self.vm, seq),
            Phase::Running => self.close(now, seq, AttemptState::Unknown),
            Phase::Reporting { report_until, .. } if *report_until <= now => {
                self.pending.shift_remove(&seq);
                Vec::new()
            }
            Phase::Reporting { .. } => pending.finish_messages(&self.vm, seq, &self.views),
        }
    }
}

fn decide(token: u64, decision: Decision) -> Effect {
    Effect::Decide { token, decision }
}
