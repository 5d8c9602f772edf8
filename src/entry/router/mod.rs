//! The router's task: owns documents, routes, limits, retries and the quarantine, and decides where a
//! request may go, and when.
//!
//! - `state` updates documents, routes, queues and pools;
//! - `admission` chooses targets and issues permits;
//! - `completion` handles the ends of attempts.

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
    ticket::{AdmissionRequest, Message, Reply, Ticket},
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

/// The interval of [`Message::Tick`].
const TICK: Duration = Duration::from_millis(20);

/// Identifies a target by its service and name.
type TargetKey = (ServiceId, TargetId);

/// The target that a request is sent to.
struct Destination {
    target: TargetId,
    address: SocketAddr,
    owner: Option<Owner>,
    slots: Slots,
}

/// A request in a target's admission queue.
struct QueuedRequest {
    request: Box<AdmissionRequest>,
    reply: Reply,
    destination: Destination,
}

/// An attempt in flight.
struct InFlight {
    name: TargetKey,
    boot: BootId,
    sent: Duration,
    /// The response's status, and the time from sending until its head arrived.
    head: Option<(StatusCode, Duration)>,
}

/// Why a request has no destination.
enum RouteError {
    /// The cause is temporary, so the request retries after a pause.
    Retry(Step, &'static str),
    /// The request is refused.
    Refused(Box<Verdict>),
}

/// The router's state.
pub struct Router {
    parts: Parts,
    documents: IndexMap<ServiceId, Rc<Document>>,
    tables: IndexMap<GroupId, Table>,
    queues: IndexMap<TargetKey, AdmissionQueue>,
    pools: IndexMap<ServiceId, Pool>,
    budgets: IndexMap<ServiceId, Budget>,
    boots: IndexMap<TargetKey, BootId>,
    /// Targets whose VMs were ever listed as leaving.
    leaving: IndexSet<TargetId>,
    quarantine: Quarantine,
    queued: IndexMap<Ticket, QueuedRequest>,
    in_flight: IndexMap<Ticket, InFlight>,
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
            queues: IndexMap::new(),
            pools: IndexMap::new(),
            budgets: IndexMap::new(),
            boots: IndexMap::new(),
            leaving: IndexSet::new(),
            quarantine: Quarantine::default(),
            queued: IndexMap::new(),
            in_flight: IndexMap::new(),
            demands: IndexMap::new(),
            next_demand: Duration::ZERO,
            vms: 1,
            next_ticket: 0,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Handles messages until all senders are dropped.
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
                let policy = self.classify(&call, proof);
                let _ = reply.send(policy.map(|policy| (*call, policy)));
            }
            Message::Admit(request, reply) => self.admit(request, reply),
            Message::Retry(request, reply) => self.route(request, reply),
            Message::Head { ticket, status } => self.on_head(ticket, status),
            Message::Done { ticket, report } => self.on_done(ticket, &report),
            Message::LeaseExpiry(service, point, owner, reply) => {
                let document = self.documents.get(&service);
                let until =
                    document.and_then(|document| self.lease_expiry(document, point, &owner));
                let _ = reply.send(until);
            }
            Message::Document(document) => self.on_document(&document),
            Message::Record(group, version, record) => self.on_record(&group, version, *record),
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
                self.update_slots();
            }
            Message::Leaving(targets) => self.on_leaving(targets),
            Message::Suspects(items) => self.on_suspects(items),
        }
    }

    fn next_random(&self) -> u64 {
        self.random.borrow_mut().random()
    }
}
