//! The router's task: it owns documents, routes, limits, retries and the quarantine, and says where
//! a request may go, and when.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::mpsc;
use futures_util::StreamExt;
use http::StatusCode;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::ticket::{Ask, COME_BACK, Message, Permit, Plan, Reply, Report, Ticket};
use crate::{
    document::{Document, Fencing, Ownership, TargetState},
    grantor::Timing,
    group::{Record, build},
    id::{BootId, GroupId, ServiceId, TargetId, Version},
    key::{self, Point},
    limit::{Gate, Pool, cap, cap::Sample, cap::Slots, gate, gate::Why, pick::Policy},
    metrics, peer,
    quarantine::{self, Check, Death, End, Quarantine},
    request::{Call, Proof, Step, Verdict},
    retry::{Budget, Try},
    route::{Owner, Table},
    spread::{Id, Item, Kind},
    timeline::{self, Duty, stamp},
    vm::{Parts, news, notes},
};

/// How often the task is woken.
const TICK: Duration = Duration::from_millis(20);
/// The first pause of a request whose key has no owner that answers; it doubles.
const OWNER_PAUSE: Duration = Duration::from_millis(10);
/// The longest such pause.
const OWNER_PAUSE_MAX: Duration = Duration::from_millis(80);
/// Deaths of a shared service's target within this span count as one: it has no start to name.
const DEATH_SPAN: Duration = Duration::from_secs(10);

/// A target of a service.
type Name = (ServiceId, TargetId);

/// Where a request is to go.
struct Goal {
    target: TargetId,
    address: SocketAddr,
    owner: Option<Owner>,
    slots: Slots,
}

/// The longest pause before a suspect that left the gate again is looked at anew.
const SUSPECT_PAUSE: Duration = Duration::from_millis(100);

/// A request that waits at a gate.
struct Waiting {
    ask: Box<Ask>,
    reply: Reply,
    goal: Goal,
}

/// An attempt in flight.
struct Flight {
    name: Name,
    boot: BootId,
    sent: Duration,
    head: Option<(StatusCode, Duration)>,
}

/// Why a request gets no goal.
enum Miss {
    /// Ask again after a pause: this passes by itself.
    Pause(Step, &'static str),
    /// It is over.
    Over(Box<Verdict>),
}

/// The router's state.
pub struct Router {
    parts: Parts,
    documents: IndexMap<ServiceId, Rc<Document>>,
    tables: IndexMap<GroupId, Table>,
    gates: IndexMap<Name, Gate>,
    pools: IndexMap<ServiceId, Pool>,
    budgets: IndexMap<ServiceId, Budget>,
    boots: IndexMap<Name, BootId>,
    quarantine: Quarantine,
    waiting: IndexMap<Ticket, Waiting>,
    flights: IndexMap<Ticket, Flight>,
    vms: u32,
    next_ticket: Ticket,
    random: RefCell<StdRng>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("documents", &self.documents)
            .field("next_ticket", &self.next_ticket)
            .finish_non_exhaustive()
    }
}

impl Router {
    /// Creates a router that knows no service yet.
    pub fn new(parts: Parts) -> Self {
        let seed = key::point(&parts.me.vm);
        Self {
            parts,
            documents: IndexMap::new(),
            tables: IndexMap::new(),
            gates: IndexMap::new(),
            pools: IndexMap::new(),
            budgets: IndexMap::new(),
            boots: IndexMap::new(),
            quarantine: Quarantine::default(),
            waiting: IndexMap::new(),
            flights: IndexMap::new(),
            vms: 1,
            next_ticket: 0,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Serves messages until nobody can send any more.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let clock = self.parts.clock.clone();
        let ticks = self.parts.tasks.router.clone();
        compio::runtime::spawn(async move {
            while ticks.unbounded_send(Message::Tick).is_ok() {
                clock.sleep(TICK).await;
            }
        })
        .detach();
        while let Some(message) = messages.next().await {
            self.on(message);
        }
    }

    fn on(&mut self, message: Message) {
        match message {
            Message::Tick => self.tick(),
            Message::Classify(call, proof, reply) => {
                let plan = self.plan(&call, proof);
                let _ = reply.send(plan.map(|plan| (*call, plan)));
            }
            Message::Admit(ask, reply) => self.admit(ask, reply),
            Message::Again(ask, reply) => self.place(ask, reply),
            Message::Head { ticket, status } => self.head(ticket, status),
            Message::Done { ticket, report } => self.done(ticket, &report),
            Message::Until(service, point, owner, reply) => {
                let document = self.documents.get(&service);
                let until = document.and_then(|document| self.until(document, point, &owner));
                let _ = reply.send(until);
            }
            Message::Document(document) => self.document(&document),
            Message::Record(group, version, record) => self.record(&group, version, *record),
            Message::Fact(fact) => {
                let table = self.tables.entry(fact.group.clone()).or_default();
                table.on_handover(fact);
            }
            Message::Lease(group, asked, routes) => {
                let table = self.tables.entry(group).or_default();
                table.on_lease(&Timing::default(), asked, routes);
            }
            Message::Fleet(fleet) => {
                self.vms = u32::try_from(fleet.live.len()).unwrap_or(u32::MAX).max(1);
                self.resize();
            }
            Message::Suspects(items) => self.hear(items),
        }
    }

    // --- What is known ---

    fn plan(&self, call: &Call, proof: Proof) -> Result<Plan, Verdict> {
        let Some(document) = self.documents.get(&call.service) else {
            let reason = "no document in force names this service";
            let vm = &self.parts.me.vm;
            return Err(Verdict::not_run(&proof, 404, Step::Route, vm, reason));
        };
        let (name, class) = call
            .class(document)
            .map_err(|error| error.verdict(&proof))?;
        Ok(Plan {
            class: document.classes.get_index_of(name).unwrap_or(0),
            idempotent: class.idempotent,
            longest: class.deadline,
            queue: class.queue,
            body_limit: document.body_limit,
            document: document.clone(),
        })
    }

    fn document(&mut self, document: &Rc<Document>) {
        let service = document.service.clone();
        let known = self.documents.insert(service.clone(), document.clone());
        if known.is_none_or(|known| known.classes != document.classes) {
            // The gates divide by class: new classes, new gates.
            self.gates.retain(|(of, _), _| *of != service);
        }
        if document.ownership == Ownership::Shared {
            let serving = document
                .targets
                .iter()
                .filter(|(_, it)| it.state == TargetState::Serving);
            let names: Vec<TargetId> = serving.map(|(name, _)| name.clone()).collect();
            let pool = self
                .pools
                .entry(service)
                .or_insert_with(|| Pool::new(Policy::default()));
            pool.set(names);
        }
        self.resize();
    }

    /// Tells the gates how many slots there are for this VM.
    fn resize(&mut self) {
        let now = self.parts.clock.now();
        let names: Vec<Name> = self.gates.keys().cloned().collect();
        for name in names {
            let document = self.documents.get(&name.0);
            let slots = document.and_then(|document| slots(document, &name.1, self.vms));
            if let Some(slots) = slots {
                self.gate(now, &name, gate::Event::Slots(slots));
            }
        }
    }

    /// Takes a group's record; a target with another start than before has died.
    fn record(&mut self, group: &GroupId, version: Version, record: Record) {
        let service = notes::service(group).to_owned();
        for (target, member) in &record.members {
            let name = (service.clone(), target.clone());
            if member.boot.is_empty() {
                continue;
            }
            let before = self.boots.insert(name.clone(), member.boot.clone());
            if let Some(boot) = before.filter(|boot| *boot != member.boot) {
                self.died(&name, boot);
                self.gate(self.parts.clock.now(), &name, gate::Event::Cold);
            }
        }
        let table = self.tables.entry(group.clone()).or_default();
        table.on_record(version, record);
    }

    /// Returns the owner of a point.
    fn owner(&self, document: &Document, point: Point) -> Option<Owner> {
        self.tables.get(&group_of(document, point))?.owner(point)
    }

    /// Returns until when this VM may send to an owner.
    fn until(&self, document: &Document, point: Point, owner: &Owner) -> Option<Duration> {
        self.tables.get(&group_of(document, point))?.until(owner)
    }

    // --- Admission ---

    /// Takes a request, or decides whether it may be tried again.
    fn admit(&mut self, ask: Box<Ask>, reply: Reply) {
        let Some(last) = ask.history.last.clone() else {
            return self.place(ask, reply);
        };
        if last.misdirected {
            // The owner is changing; nothing ran, and the request waits for the new one.
            return self.wait_owner(ask, reply, Step::Grant, "the key's owner is changing");
        }
        let tried = Try {
            count: ask.history.count,
            outcome: last.outcome,
            idempotent: ask.plan.idempotent,
            after: last.after,
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
    fn place(&mut self, ask: Box<Ask>, reply: Reply) {
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
            Check::Free | Check::Alone => self.enter(now, ask, reply, goal),
            Check::Wait(pause) => self.again(ask, reply, pause),
            Check::Refuse(wait) => {
                let reason = "a target died while it ran this request";
                let step = Step::Quarantine;
                let verdict = Verdict::not_run(&ask.proof, 503, step, &goal.target, reason);
                let _ = reply.send(Err(verdict.retry_after(wait)));
            }
        }
    }

    /// Stands at the gate of the target.
    fn enter(&mut self, now: Duration, ask: Box<Ask>, reply: Reply, goal: Goal) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let name = (ask.service.clone(), goal.target.clone());
        let class = ask.plan.document.classes.get_index(ask.plan.class);
        let event = gate::Event::Ask {
            ticket,
            class: class.map(|(name, _)| name.clone()).unwrap_or_default(),
            deadline: ask.deadline,
        };
        if !self.gates.contains_key(&name) {
            let gate = Gate::new(goal.slots, &ask.plan.document.classes);
            self.gates.insert(name.clone(), gate);
        }
        self.waiting.insert(ticket, Waiting { ask, reply, goal });
        self.gate(now, &name, event);
    }

    /// Feeds a gate, and carries out what it decides.
    fn gate(&mut self, now: Duration, name: &Name, event: gate::Event) {
        let Some(gate) = self.gates.get_mut(name) else {
            return;
        };
        for effect in gate.on(now, event) {
            match effect {
                gate::Effect::Admit(ticket) => self.send(now, ticket),
                gate::Effect::Refuse { ticket, why, retry } => self.refuse(ticket, why, retry),
            }
        }
    }

    /// Gives a request its permit. One whose owner has changed while it waited looks again.
    fn send(&mut self, now: Duration, ticket: Ticket) {
        let Some(Waiting { ask, reply, goal }) = self.waiting.swap_remove(&ticket) else {
            return;
        };
        // Another suspect may have gone in while this one stood at the gate: it waits its turn.
        let check = self
            .quarantine
            .check(stamp::wall(), ask.print, &goal.target);
        if let Check::Wait(pause) | Check::Refuse(pause) = check {
            let name = (ask.service.clone(), goal.target.clone());
            let sample = Sample::Cancelled;
            self.gate(now, &name, gate::Event::Done { ticket, sample });
            return self.again(ask, reply, pause.min(SUSPECT_PAUSE));
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
        let on = Death {
            target: goal.target.clone(),
            boot,
        };
        let print = ask.print;
        let sent = quarantine::Event::Sent { ticket, print, on };
        self.quarantine.on(stamp::wall(), sent);
        let router = self.parts.tasks.router.clone();
        let owner = goal.owner.as_ref();
        let permit = Permit::new(ticket, goal.target, goal.address, owner, router);
        // A permit that nobody takes reports itself as abandoned.
        let _ = reply.send(Ok(permit));
    }

    fn refuse(&mut self, ticket: Ticket, why: Why, retry: Duration) {
        let Some(Waiting { ask, reply, goal }) = self.waiting.swap_remove(&ticket) else {
            return;
        };
        let (status, step, reason) = match why {
            Why::Class => (
                404,
                Step::Route,
                "the service no longer has the request's class",
            ),
            Why::Queue => (
                429,
                Step::Limit,
                "the target is busy, and the wait would be too long",
            ),
            Why::Late => (503, Step::Queue, "the target stayed busy"),
            Why::Closed => (503, Step::Connect, "the target can't be reached"),
            Why::Drain => (503, Step::Drain, "the target is leaving"),
        };
        let verdict = Verdict::not_run(&ask.proof, status, step, &goal.target, reason);
        let _ = reply.send(Err(verdict.retry_after(retry)));
    }

    /// Finds where a request is to go.
    fn goal(&self, ask: &Ask, now: Duration) -> Result<Goal, Miss> {
        let document = &ask.plan.document;
        match document.ownership {
            Ownership::Exclusive => self.exclusive(ask, document, now),
            Ownership::Shared => self.shared(ask, document, now),
        }
    }

    fn exclusive(&self, ask: &Ask, document: &Document, now: Duration) -> Result<Goal, Miss> {
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

    fn shared(&self, ask: &Ask, document: &Document, now: Duration) -> Result<Goal, Miss> {
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

    fn address(&self, ask: &Ask, text: &str) -> Result<SocketAddr, Miss> {
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
    fn wait_owner(&mut self, ask: Box<Ask>, reply: Reply, step: Step, reason: &str) {
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
        let pause = cap::jitter(pause, self.dice());
        self.again(ask, reply, pause);
    }

    fn again(&self, ask: Box<Ask>, reply: Reply, pause: Duration) {
        let clock = self.parts.clock.clone();
        let router = self.parts.tasks.router.clone();
        compio::runtime::spawn(async move {
            clock.sleep(pause).await;
            let _ = router.unbounded_send(Message::Again(ask, reply));
        })
        .detach();
    }

    fn late(&self, ask: &Ask) -> Verdict {
        let (peer, reason) = match &ask.history.last {
            Some(last) => (last.target.as_str(), last.reason.as_str()),
            None => (self.parts.me.vm.as_str(), "no target took it in time"),
        };
        let verdict = Verdict::not_run(&ask.proof, 503, Step::Deadline, peer, reason);
        verdict.retry_after(COME_BACK)
    }

    fn tick(&mut self) {
        let now = self.parts.clock.now();
        let left = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.reply.is_canceled());
        let left: Vec<(Ticket, Name)> = left
            .map(|(ticket, it)| (*ticket, (it.ask.service.clone(), it.goal.target.clone())))
            .collect();
        for (ticket, name) in left {
            self.waiting.swap_remove(&ticket);
            self.gate(now, &name, gate::Event::Dropped { ticket });
        }
        let busy = self.gates.iter().filter(|(_, gate)| gate.waiting() > 0);
        let busy: Vec<Name> = busy.map(|(name, _)| name.clone()).collect();
        for name in busy {
            self.gate(now, &name, gate::Event::Tick);
        }
    }

    // --- Endings ---

    fn head(&mut self, ticket: Ticket, status: StatusCode) {
        let now = self.parts.clock.now();
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.head = Some((status, now.saturating_sub(flight.sent)));
        }
    }

    /// Takes the end of an attempt: limits, budget, pool and quarantine learn from it.
    fn done(&mut self, ticket: Ticket, report: &Report) {
        let Some(flight) = self.flights.swap_remove(&ticket) else {
            return;
        };
        let now = self.parts.clock.now();
        let taken = now.saturating_sub(flight.sent);
        let status = match report {
            Report::Answered(status) => Some(*status),
            Report::Ended => flight.head.map(|(status, _)| status),
            _ => None,
        };
        let sample = sample(report, taken);
        let service = &flight.name.0;
        if status.is_some() {
            let budget = self.budgets.entry(service.clone()).or_default();
            budget.succeeded(now);
        }
        if let Some(pool) = self.pools.get_mut(service) {
            let is_error = status.is_some_and(|status| status.is_server_error());
            pool.ended(now, &flight.name.1, ticket, sample, is_error);
        }
        let end = match report {
            Report::Answered(_) | Report::Ended => End::Completed,
            Report::Lost | Report::Abandoned => End::Broken,
            Report::Refused(_) | Report::Unsent(_) => End::NotRun,
        };
        let event = quarantine::Event::Ended { ticket, end };
        let items = self.quarantine.on(stamp::wall(), event);
        self.spread(items);
        if matches!(report, Report::Unsent(true)) {
            // Nobody listens there any more: whatever was in flight is suspect.
            self.died(&flight.name, flight.boot);
        }
        self.gate(now, &flight.name, gate::Event::Done { ticket, sample });
    }

    // --- Requests that kill ---

    fn died(&mut self, name: &Name, boot: BootId) {
        let target = name.1.clone();
        let death = Death { target, boot };
        let items = self
            .quarantine
            .on(stamp::wall(), quarantine::Event::Died(death));
        for item in &items {
            let kind = timeline::Kind::Quarantined;
            let event = timeline::Event::new(Duty::Entry, "quarantine", kind);
            let event = event.service(name.0.as_str()).target(name.1.as_str());
            let cause = format!("suspect={:x} boot={}", item.print, item.death.boot);
            self.parts.recorder.event(event.cause(cause.as_str()));
        }
        self.spread(items);
    }

    /// Tells the fleet of suspects; a cleared one is a newer version of the same item.
    fn spread(&self, items: Vec<quarantine::Item>) {
        for item in items {
            let Ok(bytes) = peer::encode(&vec![item.clone()]) else {
                continue;
            };
            let death = &item.death;
            let name = format!("{:x}/{}/{}", item.print, death.target, death.boot);
            let version = 1 + Version::from(item.cleared);
            let item = Item::new(Id::new(Kind::Suspect, name), version, bytes.to_vec());
            let item = item.lasting(quarantine::EXPIRY);
            let _ = self
                .parts
                .tasks
                .news
                .unbounded_send(news::Message::Put(item));
        }
    }

    fn hear(&mut self, items: Vec<quarantine::Item>) {
        let wall = stamp::wall();
        self.quarantine.on(wall, quarantine::Event::Heard(items));
    }

    fn dice(&self) -> u64 {
        self.random.borrow_mut().random()
    }
}

/// Returns the slots of a target that this VM may count on.
fn slots(document: &Document, target: &str, vms: u32) -> Option<Slots> {
    let slots = document.targets.get(target)?.slots;
    let vms = match document.ownership {
        Ownership::Exclusive => 1,
        Ownership::Shared => vms,
    };
    Some(Slots { slots, vms })
}

fn sample(report: &Report, taken: Duration) -> Sample {
    match report {
        Report::Answered(_) | Report::Ended => Sample::Answered(taken),
        // Whoever doesn't own the key is not overloaded.
        Report::Refused(refusal) if refusal.is_misdirected() => Sample::Cancelled,
        Report::Refused(_) => Sample::Shed,
        Report::Unsent(_) => Sample::Unreachable,
        Report::Lost => Sample::Lost,
        Report::Abandoned => Sample::Cancelled,
    }
}

/// Returns the start of a shared service's target: it tells none, so time stands in for it.
fn shared_boot() -> BootId {
    let span = stamp::wall().as_secs() / DEATH_SPAN.as_secs();
    format!("at-{span}")
}

/// Returns the group whose slice of the hash space holds a point.
///
/// The slices are those of [`Range::split`](crate::range::Range::split); this finds one without
/// making them all.
fn group_of(document: &Document, point: Point) -> GroupId {
    let groups = u128::from(document.groups.max(1));
    let index = ((u128::from(point) + 1) * groups - 1) >> Point::BITS;
    build::group(&document.service, u32::try_from(index).unwrap_or(0))
}
