//! The task that owns this VM's grantors, one per group, and gives the router its routes.
//!
//! It passes events to the grantors, carries out the effects they return (grants, messages, reads and writes of
//! records), and publishes newer records to the router and to other VMs.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hyper::body::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{
    Parts,
    fleet::{self, Fleet},
    gone::RemovalDetector,
    grantor_events::GrantorEvents,
    outbound, ticks, wire,
};
use crate::{
    balance,
    document::{Document, Fencing, Ownership},
    entry::ticket,
    grant::{Grant, TargetState},
    grantor::{self, Effect, Event, Grantor, Outcome, Timing},
    group::{Record, build},
    handover::Handover,
    id::{GroupId, ServiceId, TargetId, Version, VmId},
    membership, peer,
    platform::{self, WriteOutcome},
    spread::{Id, Item, Kind},
    target::Control,
};

/// Interval between ticks of the grantors.
const TICK: Duration = Duration::from_millis(50);
/// Interval between requests for leases, which allow sending to targets that don't check grants.
const LEASE_PERIOD: Duration = Duration::from_millis(250);
/// Timeout of a grant or a probe; a later response would be of little use.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Periodic tick.
    Tick,
    /// The set of live VMs has changed.
    Fleet(Fleet),
    /// A document is in force.
    Document(Version, Rc<Document>),
    /// A group's record was read.
    Record(GroupId, Version, Bytes),
    /// The load that callers put on a group's ranges.
    Load(GroupId, Vec<balance::Load>),
    /// A handover was received by gossip.
    Handover(Handover),
    /// A message for a group's grantor, from another VM or from this VM itself.
    Peer(VmId, GroupId, grantor::Message),
    /// An operation that this task started has completed.
    Completed(GroupId, Box<Event>),
    /// The platform's list of VMs was read.
    Listed(Vec<platform::ListedVm>),
    /// This VM is stopping: its grantors hand over their role.
    Leave,
    /// Requests the status of the groups.
    Status(oneshot::Sender<Status>),
}

/// Status of the groups as known to this VM, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Status by group.
    pub groups: IndexMap<GroupId, GroupStatus>,
}

/// Status of a group as known to this VM.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The record's version.
    pub version: Version,
    /// Whether this VM is one of its grantors.
    pub is_grantor: bool,
    /// The record.
    pub record: Option<Record>,
}

/// The task's state.
#[derive(Debug)]
pub struct Owners {
    parts: Parts,
    control: Control,
    groups: IndexMap<GroupId, Grantor>,
    documents: IndexMap<ServiceId, Rc<Document>>,
    fleet: Option<Fleet>,
    gone: RemovalDetector,
    next_lease: Duration,
    notes: GrantorEvents,
    /// The latest version of each group's record that this task has published.
    published: IndexMap<GroupId, Version>,
}

impl Owners {
    /// Creates the task's state.
    pub fn new(parts: Parts) -> Self {
        Self {
            control: Control::new(parts.clock.clone()),
            notes: GrantorEvents::new(parts.recorder.clone()),
            groups: IndexMap::new(),
            documents: IndexMap::new(),
            fleet: None,
            gone: RemovalDetector::new(parts.timing.list_lag),
            next_lease: Duration::ZERO,
            published: IndexMap::new(),
            parts,
        }
    }

    /// Handles messages until all senders of the channel are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        ticks::start(&self.parts.clock, &self.parts.tasks.owners, TICK, || {
            Message::Tick
        });
        while let Some(message) = messages.next().await {
            self.on(message);
        }
    }

    fn on(&mut self, message: Message) {
        match message {
            Message::Tick => {
                self.feed_all(&Event::Tick);
                self.request_leases();
            }
            Message::Fleet(fleet) => self.fleet(fleet),
            Message::Document(version, document) => self.document(version, &document),
            Message::Record(group, version, bytes) => self.record(&group, version, &bytes),
            Message::Handover(handover) => {
                let group = handover.group.clone();
                let message = grantor::Message::Handover(handover);
                self.peer(self.parts.me.vm.clone(), &group, message);
            }
            Message::Peer(from, group, message) => self.peer(from, &group, message),
            Message::Completed(group, event) => {
                match &*event {
                    Event::TargetAnswered { target, state, .. } => {
                        self.notes.answered(&group, target, state);
                    }
                    Event::TargetFailed { .. } => self.notes.failed(&group),
                    _ => {}
                }
                self.feed(&group, *event);
            }
            Message::Listed(list) => self.listed(&list),
            Message::Load(group, loads) => self.feed(&group, Event::Load { loads }),
            Message::Leave => self.feed_all(&Event::Retire),
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn fleet(&mut self, fleet: Fleet) {
        let vms = candidates(&fleet);
        self.fleet = Some(fleet);
        self.feed_all(&Event::LiveVms { vms });
    }

    /// Processes the platform's list: tells grantors which targets are leaving, and which of the VMs named in
    /// records are certainly gone.
    fn listed(&mut self, list: &[platform::ListedVm]) {
        let leaving = platform::leaving_targets(list);
        if !leaving.is_empty() {
            self.feed_all(&Event::Leaving { targets: leaving });
        }
        let records = self.groups.values().filter_map(Grantor::record);
        let named: IndexSet<VmId> = records
            .flat_map(|(_, record)| record.grantors.values().flatten())
            .map(|grantor| grantor.vm.clone())
            .collect();
        let live = self.fleet.as_ref().map_or(&[][..], |fleet| &fleet.live);
        let gone = self.gone.detect(self.parts.clock.now(), &named, list, live);
        if !gone.is_empty() {
            let vms = gone.into_iter().collect();
            self.feed_all(&Event::VmsGone { vms });
        }
    }

    /// Processes a document in force; creates a grantor for each group of an exclusive service.
    fn document(&mut self, version: Version, document: &Rc<Document>) {
        self.documents
            .insert(document.service.clone(), document.clone());
        self.notes.document(document);
        if document.ownership == Ownership::Shared {
            return;
        }
        for index in 0..document.groups {
            let group = build::group_id(&document.service, index);
            self.ensure_group(&group);
            let document = (**document).clone();
            self.feed(&group, Event::Document { version, document });
        }
    }

    fn ensure_group(&mut self, group: &GroupId) {
        if self.groups.contains_key(group) {
            return;
        }
        let grantor = Grantor::new(self.parts.me.vm.clone(), group.clone(), Timing::default());
        self.groups.insert(group.clone(), grantor);
        if let Some(fleet) = &self.fleet {
            let vms = candidates(fleet);
            self.feed(group, Event::LiveVms { vms });
        }
    }

    fn record(&mut self, group: &GroupId, version: Version, bytes: &Bytes) {
        match peer::decode::<Record>(bytes) {
            Ok(record) => {
                self.ensure_group(group);
                self.feed(group, Event::Record { version, record });
            }
            Err(cause) => log::error!("step=record peer={group} version={version} cause={cause:?}"),
        }
    }

    fn feed_all(&mut self, event: &Event) {
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            self.feed(&group, event.clone());
        }
    }

    fn feed(&mut self, group: &GroupId, event: Event) {
        let now = self.parts.clock.now();
        let Some(grantor) = self.groups.get_mut(group) else {
            return;
        };
        let effects = grantor.on(now, event);
        for effect in effects {
            self.apply(now, group, effect);
        }
        self.publish_record(group);
    }

    fn apply(&mut self, now: Duration, group: &GroupId, effect: Effect) {
        match effect {
            Effect::Grant {
                target,
                address,
                grant,
            } => {
                self.grant(now, group, target, &address, Some(grant));
            }
            Effect::Probe { target, address } => self.grant(now, group, target, &address, None),
            // Messages to this VM itself don't use the network.
            Effect::Send { to, message } if to == self.parts.me.vm => {
                let message = Message::Peer(to, group.clone(), message);
                let _ = self.parts.tasks.owners.unbounded_send(message);
            }
            Effect::Send { to, message } => {
                let message = wire::Message::Grantor(group.clone(), message);
                let _ = self
                    .parts
                    .tasks
                    .outbound
                    .unbounded_send(outbound::Message::Send(to, message));
            }
            Effect::Write {
                base,
                sequence,
                record,
            } => self.write(group, base, sequence, &record),
            Effect::Read { asked } => self.read(group, asked),
            Effect::Handover(handover) => {
                self.notes.moved(group, &handover);
                self.route_handover(handover.clone());
                let _ = self
                    .parts
                    .tasks
                    .fleet
                    .unbounded_send(fleet::Message::Handover(handover));
            }
            Effect::Note(note) => self.note(group, &note),
        }
    }

    /// Records an action of a grantor.
    fn note(&mut self, group: &GroupId, note: &grantor::Note) {
        let now = self.parts.clock.now();
        let grantor = self.groups.get(group);
        let routes = grantor
            .map(|grantor| grantor.routes(now))
            .unwrap_or_default();
        self.notes.note(group, note, &routes);
    }

    /// Sends a grant, or reads the target's state when there is none, and passes the result to the grantor.
    fn grant(
        &self,
        asked: Duration,
        group: &GroupId,
        target: TargetId,
        address: &str,
        grant: Option<Grant>,
    ) {
        let control = self.control.clone();
        let owners = self.parts.tasks.owners.clone();
        let group = group.clone();
        let address = address.parse::<SocketAddr>();
        compio::runtime::spawn(async move {
            let state: Option<TargetState> = match (address, grant) {
                (Ok(peer), Some(grant)) => control.grant(peer, &grant, GRANT_TIMEOUT).await.ok(),
                (Ok(peer), None) => control.state(peer, GRANT_TIMEOUT).await.ok(),
                (Err(_), _) => None,
            };
            let event = match state {
                Some(state) => Event::TargetAnswered {
                    target,
                    asked,
                    state,
                },
                None => Event::TargetFailed { target, asked },
            };
            let _ = owners.unbounded_send(Message::Completed(group, Box::new(event)));
        })
        .detach();
    }

    /// Writes a record by compare-and-swap and passes the result to the grantor.
    fn write(&self, group: &GroupId, base: Version, sequence: u64, record: &Record) {
        let platform = self.parts.platform.clone();
        let owners = self.parts.tasks.owners.clone();
        let group = group.clone();
        let bytes = peer::encode(record);
        compio::runtime::spawn(async move {
            let result = match bytes {
                Ok(bytes) => outcome(&platform.put(&fleet::record_key(&group), base, bytes).await),
                Err(_) => Outcome::Conflict(base),
            };
            let event = Event::Written { sequence, result };
            let _ = owners.unbounded_send(Message::Completed(group, Box::new(event)));
        })
        .detach();
    }

    /// Reads the record and passes it to the grantor with the time of the request.
    fn read(&self, group: &GroupId, asked: Duration) {
        let platform = self.parts.platform.clone();
        let owners = self.parts.tasks.owners.clone();
        let group = group.clone();
        compio::runtime::spawn(async move {
            let value = platform.get(&fleet::record_key(&group)).await;
            let Ok(Some((version, bytes))) = value else {
                return;
            };
            if let Ok(record) = peer::decode::<Record>(&bytes) {
                let event = Event::Read {
                    asked,
                    version,
                    record,
                };
                let _ = owners.unbounded_send(Message::Completed(group, Box::new(event)));
            }
        })
        .detach();
    }

    /// Publishes a group's record to the router and to other VMs if it is newer than the last one published.
    fn publish_record(&mut self, group: &GroupId) {
        let Some((version, record)) = self.groups.get(group).and_then(Grantor::record) else {
            return;
        };
        let published = self.published.entry(group.clone()).or_default();
        if *published >= version {
            return;
        }
        *published = version;
        self.notes.record(&self.parts.me.vm, group, record);
        let record = Box::new(record.clone());
        if let Ok(bytes) = peer::encode(&record) {
            let id = Id::new(Kind::Record, group.clone());
            let item = Item::new(id, version, bytes.to_vec());
            let _ = self
                .parts
                .tasks
                .fleet
                .unbounded_send(fleet::Message::Put(item));
        }
        let message = ticket::Message::Record(group.clone(), version, record);
        let _ = self.parts.tasks.router.unbounded_send(message);
    }

    /// Requests leases from the grantors of targets that don't check grants.
    fn request_leases(&mut self) {
        let now = self.parts.clock.now();
        if now < self.next_lease {
            return;
        }
        self.next_lease = now + LEASE_PERIOD;
        for (group, grantor) in &self.groups {
            let Some((_, record)) = grantor.record() else {
                continue;
            };
            for to in unchecked_grantors(record) {
                let message = grantor::Message::LeaseRequest { asked: now };
                if to == self.parts.me.vm {
                    let message = Message::Peer(to, group.clone(), message);
                    let _ = self.parts.tasks.owners.unbounded_send(message);
                } else {
                    let message = wire::Message::Grantor(group.clone(), message);
                    let message = outbound::Message::Send(to, message);
                    let _ = self.parts.tasks.outbound.unbounded_send(message);
                }
            }
        }
    }

    /// Handles a message for a grantor; passes handovers and leases to the router too.
    fn peer(&mut self, from: VmId, group: &GroupId, message: grantor::Message) {
        match &message {
            grantor::Message::Handover(handover) => self.route_handover(handover.clone()),
            grantor::Message::Lease { asked, routes } => {
                let message = ticket::Message::Lease(group.clone(), *asked, routes.clone());
                let _ = self.parts.tasks.router.unbounded_send(message);
            }
            _ => {}
        }
        self.feed(group, Event::Peer { from, message });
    }

    fn route_handover(&self, handover: Handover) {
        let message = ticket::Message::Handover(handover);
        let _ = self.parts.tasks.router.unbounded_send(message);
    }

    fn status(&self) -> Status {
        let groups = self.groups.iter().map(|(group, grantor)| {
            let status = GroupStatus {
                version: grantor.record().map_or(0, |(version, _)| version),
                is_grantor: grantor.is_named(),
                record: grantor.record().map(|(_, record)| record.clone()),
            };
            (group.clone(), status)
        });
        Status {
            groups: groups.collect(),
        }
    }
}

/// Returns the VMs that may become grantors: live and not leaving.
fn candidates(fleet: &Fleet) -> Vec<build::Candidate> {
    let is_staying = |peer: &&membership::Peer| !fleet.leaving.contains(peer);
    let candidate = |peer: &membership::Peer| build::Candidate {
        vm: peer.vm.clone(),
        domain: peer.domain.clone(),
    };
    fleet
        .live
        .iter()
        .filter(is_staying)
        .map(candidate)
        .collect()
}

fn outcome(result: &Result<WriteOutcome, platform::Error>) -> Outcome {
    match result {
        Ok(WriteOutcome::Committed(version)) => Outcome::Committed(*version),
        Ok(WriteOutcome::Conflict(version)) => Outcome::Conflict(*version),
        // Writes that certainly failed are also settled by reading the record back, so that there is one path.
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the grantors of a group's targets that don't check grants; they give out leases.
fn unchecked_grantors(record: &Record) -> IndexSet<VmId> {
    let unchecked = record
        .members
        .values()
        .filter(|member| member.fencing == Fencing::Unchecked);
    unchecked
        .filter_map(|member| record.grantors.get(&member.domain))
        .flatten()
        .map(|grantor| grantor.vm.clone())
        .collect()
}
