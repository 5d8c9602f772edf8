//! The router's task: it owns documents, routes, limits, retries and the quarantine, and says where
//! a request may go, and when.
//!
//! - `state` is what it knows;
//! - `admission` is a request's way to a target;
//! - `completion` is what it learns from how an attempt ended.

mod admission;
mod completion;
mod state;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::mpsc;
use futures_util::StreamExt;
use http::StatusCode;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    demand::Demand,
    ticket::{Ask, Message, Reply, Ticket},
};
use crate::{
    document::Document,
    grantor::Timing,
    id::{BootId, GroupId, ServiceId, TargetId},
    key,
    limit::{AdmissionQueue, Pool, concurrency::Slots},
    quarantine::Quarantine,
    request::{Step, Verdict},
    retry::Budget,
    route::{Owner, Table},
    vm::{Parts, ticks},
};

/// How often the task is woken.
const TICK: Duration = Duration::from_millis(20);

/// A target of a service.
type Name = (ServiceId, TargetId);

/// Where a request is to go.
struct Goal {
    target: TargetId,
    address: SocketAddr,
    owner: Option<Owner>,
    slots: Slots,
}

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
    gates: IndexMap<Name, AdmissionQueue>,
    pools: IndexMap<ServiceId, Pool>,
    budgets: IndexMap<ServiceId, Budget>,
    boots: IndexMap<Name, BootId>,
    /// Targets whose VMs were ever listed as leaving.
    leaving: IndexSet<TargetId>,
    quarantine: Quarantine,
    waiting: IndexMap<Ticket, Waiting>,
    flights: IndexMap<Ticket, Flight>,
    demands: IndexMap<GroupId, Demand>,
    next_demand: Duration,
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
            leaving: IndexSet::new(),
            quarantine: Quarantine::default(),
            waiting: IndexMap::new(),
            flights: IndexMap::new(),
            demands: IndexMap::new(),
            next_demand: Duration::ZERO,
            vms: 1,
            next_ticket: 0,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Serves messages until nobody can send any more.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        ticks::start(&self.parts.clock, &self.parts.tasks.router, TICK, || {
            Message::Tick
        });
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
            Message::Handover(fact) => {
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
            Message::Leaving(targets) => self.leaving(targets),
            Message::Suspects(items) => self.hear(items),
        }
    }

    fn dice(&self) -> u64 {
        self.random.borrow_mut().random()
    }
}
