//! Admission: where a request goes, when, and what it hears if it goes nowhere.

use std::{net::SocketAddr, time::Duration};

use super::{Flight, Goal, Miss, Name, Router, Waiting, state::group_of};
use crate::{
    document::{Document, Fencing, Ownership},
    entry::ticket::{Ask, COME_BACK, Message, Permit, Reply, Ticket},
    id::BootId,
    limit::{
        AdmissionQueue,
        admission::{self, RefusalReason},
        concurrency::{self, Sample, Slots},
    },
    metrics,
    quarantine::{self, Decision, Incarnation},
    request::{Step, Verdict},
    retry::FailedAttempt,
    timeline::stamp,
};

/// The first pause of a request whose key has no owner that answers; it doubles.
const OWNER_PAUSE: Duration = Duration::from_millis(10);
/// The longest such pause.
const OWNER_PAUSE_MAX: Duration = Duration::from_millis(80);
/// The longest pause before a suspect that left the gate again is looked at anew.
const SUSPECT_PAUSE: Duration = Duration::from_millis(100);
/// Deaths of a shared service's target within this span count as one: it has no start to name.
const DEATH_SPAN: Duration = Duration::from_secs(10);

impl Router {
    /// Takes a request, or decides whether it may be tried again.
    pub(super) fn admit(&mut self, ask: Box<Ask>, reply: Reply) {
        let Some(last) = ask.history.last.clone() else {
            return self.place(ask, reply);
        };
        if last.misdirected {
            // The owner is changing; nothing ran, and the request waits for the new one.
            return self.wait_owner(ask, reply, Step::Grant, "the key's owner is changing");
        }
        let tried = FailedAttempt {
            number: ask.history.count,
            outcome: last.outcome,
            idempotent: ask.plan.idempotent,
            retry_after: last.after,
        };
        let dice = self.dice();
        let now = self.parts.clock.now();
        let budget = self.budgets.entry(ask.service.clone()).or_default();
        let Some(pause) = budget.retry(now, &tried, ask.deadline, dice) else {
            let step = if last.after.is_some() {
                Step::Limit
            } else {
                Step::Retry
            };
            let verdict = Verdict::not_run(&ask.proof, 503, step, &last.target, &last.reason);
            let wait = last.after.unwrap_or(COME_BACK);
            let _ = reply.send(Err(verdict.retry_after(wait)));
            return;
        };
        let service = Some(ask.service.as_str());
        self.parts
            .recorder
            .count(&metrics::REQUESTS_RETRIED, service);
        self.again(ask, reply, pause);
    }

    /// Finds a request's target, and asks its gate.
    pub(super) fn place(&mut self, ask: Box<Ask>, reply: Reply) {
        if reply.is_canceled() {
            return;
        }
        let now = self.parts.clock.now();
        if ask.deadline.remaining(now).is_none() {
            let verdict = self.late(&ask);
            let _ = reply.send(Err(verdict));
            return;
        }
        let goal = match self.goal(&ask, now) {
            Ok(goal) => goal,
            Err(Miss::Pause(step, reason)) => return self.wait_owner(ask, reply, step, reason),
            Err(Miss::Over(verdict)) => {
                let _ = reply.send(Err(*verdict));
                return;
            }
        };
        match self
            .quarantine
            .check(stamp::wall(), ask.print, &goal.target)
        {
            Decision::Allow | Decision::RunAlone => self.enter(now, ask, reply, goal),
            Decision::Wait(pause) => self.again(ask, reply, pause),
            Decision::Refuse(wait) => {
                let reason = "a target died while it ran this request";
                let step = Step::Quarantine;
                let verdict = Verdict::not_run(&ask.proof, 503, step, &goal.target, reason);
                let _ = reply.send(Err(verdict.retry_after(wait)));
            }
        }
    }

    /// Stands at the gate of the target.
    pub(super) fn enter(&mut self, now: Duration, ask: Box<Ask>, reply: Reply, goal: Goal) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let name = (ask.service.clone(), goal.target.clone());
        let class = ask.plan.document.classes.get_index(ask.plan.class);
        let event = admission::Event::Request {
            ticket,
            class: class.map(|(name, _)| name.clone()).unwrap_or_default(),
            deadline: ask.deadline,
        };
        if !self.gates.contains_key(&name) {
            let gate = AdmissionQueue::new(goal.slots, &ask.plan.document.classes);
            self.gates.insert(name.clone(), gate);
        }
        self.waiting.insert(ticket, Waiting { ask, reply, goal });
        self.gate(now, &name, event);
    }

    /// Feeds a gate, and carries out what it decides.
    pub(super) fn gate(&mut self, now: Duration, name: &Name, event: admission::Event) {
        let Some(gate) = self.gates.get_mut(name) else {
            return;
        };
        for effect in gate.on(now, event) {
            match effect {
                admission::Effect::Admit(ticket) => self.send(now, ticket),
                admission::Effect::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => self.refuse(ticket, reason, retry_after),
            }
        }
    }

    /// Gives a request its permit. One whose owner has changed while it waited looks again.
    pub(super) fn send(&mut self, now: Duration, ticket: Ticket) {
        let Some(Waiting { ask, reply, goal }) = self.waiting.swap_remove(&ticket) else {
            return;
        };
        // Another suspect may have gone in while this one stood at the gate: it waits its turn.
        let check = self
            .quarantine
            .check(stamp::wall(), ask.print, &goal.target);
        if let Decision::Wait(pause) | Decision::Refuse(pause) = check {
            let name = (ask.service.clone(), goal.target.clone());
            let sample = Sample::Cancelled;
            self.gate(now, &name, admission::Event::Ended { ticket, sample });
            return self.again(ask, reply, pause.min(SUSPECT_PAUSE));
        }
        if let Some(owner) = &goal.owner {
            let group = group_of(&ask.plan.document, ask.point);
            let demand = self.demands.entry(group).or_default();
            demand.count(owner.range, ask.point);
        }
        let boot = match &goal.owner {
            Some(owner) => owner.boot.clone(),
            None => shared_boot(),
        };
        let flight = Flight {
            name: (ask.service.clone(), goal.target.clone()),
            boot: boot.clone(),
            sent: now,
            head: None,
        };
        self.flights.insert(ticket, flight);
        if let Some(pool) = self.pools.get_mut(&ask.service) {
            let class = ask.plan.document.classes.get_index(ask.plan.class);
            let class = class.map_or("", |(name, _)| name.as_str());
            pool.started(now, &goal.target, class, ticket);
        }
        let incarnation = Incarnation {
            target: goal.target.clone(),
            boot,
        };
        let fingerprint = ask.print;
        let sent = quarantine::Event::Sent {
            ticket,
            fingerprint,
            incarnation,
        };
        self.quarantine.on(stamp::wall(), sent);
        let router = self.parts.tasks.router.clone();
        let owner = goal.owner.as_ref();
        let permit = Permit::new(ticket, goal.target, goal.address, owner, router);
        // A permit that nobody takes reports itself as abandoned.
        let _ = reply.send(Ok(permit));
    }

    pub(super) fn refuse(&mut self, ticket: Ticket, why: RefusalReason, retry: Duration) {
        let Some(Waiting { ask, reply, goal }) = self.waiting.swap_remove(&ticket) else {
            return;
        };
        let (status, step, reason) = match why {
            RefusalReason::UnknownClass => (
                404,
                Step::Route,
                "the service no longer has the request's class",
            ),
            RefusalReason::QueueFull => (
                429,
                Step::Limit,
                "the target is busy, and the wait would be too long",
            ),
            RefusalReason::QueueTimeout => (503, Step::Queue, "the target stayed busy"),
            RefusalReason::Unreachable => (503, Step::Connect, "the target can't be reached"),
            RefusalReason::Draining => (503, Step::Drain, "the target is leaving"),
        };
        let verdict = Verdict::not_run(&ask.proof, status, step, &goal.target, reason);
        let _ = reply.send(Err(verdict.retry_after(retry)));
    }

    /// Finds where a request is to go.
    pub(super) fn goal(&self, ask: &Ask, now: Duration) -> Result<Goal, Miss> {
        let document = &ask.plan.document;
        match document.ownership {
            Ownership::Exclusive => self.exclusive(ask, document, now),
            Ownership::Shared => self.shared(ask, document, now),
        }
    }

    pub(super) fn exclusive(
        &self,
        ask: &Ask,
        document: &Document,
        now: Duration,
    ) -> Result<Goal, Miss> {
        let owner = self.owner(document, ask.point);
        let owner = owner.ok_or(Miss::Pause(Step::Route, "the key has no owner known here"))?;
        if owner.fencing == Fencing::Unchecked {
            let until = self.until(document, ask.point, &owner);
            until.filter(|until| *until > now).ok_or(Miss::Pause(
                Step::Grant,
                "no lease to send to the key's owner",
            ))?;
        }
        let target = document.targets.get(&owner.target);
        Ok(Goal {
            target: owner.target.clone(),
            address: self.address(ask, &owner.address)?,
            slots: Slots {
                slots: target.map_or(1, |target| target.slots),
                vms: 1,
            },
            owner: Some(owner),
        })
    }

    pub(super) fn shared(
        &self,
        ask: &Ask,
        document: &Document,
        now: Duration,
    ) -> Result<Goal, Miss> {
        let pool = self.pools.get(&ask.service);
        let name = pool.and_then(|pool| pool.pick(now, self.dice()));
        let none = Miss::Pause(Step::Route, "the service has no target that takes work");
        let name = name.ok_or(none)?;
        let target = document.targets.get(&name);
        let none = Miss::Pause(Step::Route, "the document no longer names the target");
        let target = target.ok_or(none)?;
        Ok(Goal {
            address: self.address(ask, &target.address)?,
            slots: Slots {
                slots: target.slots,
                vms: self.vms,
            },
            target: name,
            owner: None,
        })
    }

    pub(super) fn address(&self, ask: &Ask, text: &str) -> Result<SocketAddr, Miss> {
        text.parse().map_err(|_| {
            let reason = "the target's address is no address";
            let vm = &self.parts.me.vm;
            Miss::Over(Box::new(Verdict::not_run(
                &ask.proof,
                503,
                Step::Route,
                vm,
                reason,
            )))
        })
    }

    /// Lets a request wait for an owner that takes it, for as long as its class may queue.
    ///
    /// Nothing reaches a target meanwhile, so this needs no part of the retry budget.
    pub(super) fn wait_owner(&mut self, ask: Box<Ask>, reply: Reply, step: Step, reason: &str) {
        let now = self.parts.clock.now();
        let waited = now.saturating_sub(ask.since);
        let longest = ask
            .plan
            .queue
            .min(ask.deadline.at.saturating_sub(ask.since));
        if waited >= longest {
            let last = ask.history.last.as_ref();
            let peer = last.map_or(self.parts.me.vm.as_str(), |last| last.target.as_str());
            let verdict = Verdict::not_run(&ask.proof, 503, step, peer, reason);
            let _ = reply.send(Err(verdict.retry_after(COME_BACK)));
            return;
        }
        // It waits about as long again as it has waited.
        let pause = waited
            .clamp(OWNER_PAUSE, OWNER_PAUSE_MAX)
            .min(longest.saturating_sub(waited));
        let pause = concurrency::jitter(pause, self.dice());
        self.again(ask, reply, pause);
    }

    pub(super) fn again(&self, ask: Box<Ask>, reply: Reply, pause: Duration) {
        let clock = self.parts.clock.clone();
        let router = self.parts.tasks.router.clone();
        compio::runtime::spawn(async move {
            clock.sleep(pause).await;
            let _ = router.unbounded_send(Message::Again(ask, reply));
        })
        .detach();
    }

    pub(super) fn late(&self, ask: &Ask) -> Verdict {
        let (peer, reason) = match &ask.history.last {
            Some(last) => (last.target.as_str(), last.reason.as_str()),
            None => (self.parts.me.vm.as_str(), "no target took it in time"),
        };
        let verdict = Verdict::not_run(&ask.proof, 503, Step::Deadline, peer, reason);
        verdict.retry_after(COME_BACK)
    }

    pub(super) fn tick(&mut self) {
        let now = self.parts.clock.now();
        self.tell_demand(now);
        let left = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.reply.is_canceled());
        let left: Vec<(Ticket, Name)> = left
            .map(|(ticket, it)| (*ticket, (it.ask.service.clone(), it.goal.target.clone())))
            .collect();
        for (ticket, name) in left {
            self.waiting.swap_remove(&ticket);
            self.gate(now, &name, admission::Event::Cancelled { ticket });
        }
        let busy = self.gates.iter().filter(|(_, gate)| gate.waiting() > 0);
        let busy: Vec<Name> = busy.map(|(name, _)| name.clone()).collect();
        for name in busy {
            self.gate(now, &name, admission::Event::Tick);
        }
    }
}

/// Returns the start of a shared service's target: it tells none, so time stands in for it.
fn shared_boot() -> BootId {
    let span = stamp::wall().as_secs() / DEATH_SPAN.as_secs();
    format!("at-{span}")
}
