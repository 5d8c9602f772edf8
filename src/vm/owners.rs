//! The task that owns this VM's grantors, one a group, and gives the router its routes.

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

/// How often grantors are woken.
const TICK: Duration = Duration::from_millis(50);
/// How often the right to send to targets that don't check grants is asked for.
const LEASE_PERIOD: Duration = Duration::from_millis(250);
/// How long a grant or a probe of a target may take; a later answer would be of little use.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Time has passed.
    Tick,
    /// The fleet has changed.
    Fleet(Fleet),
    /// A document is in force.
    Document(Version, Rc<Document>),
    /// A group's record was read.
    Record(GroupId, Version, Bytes),
    /// What callers ask a group for.
    Load(GroupId, Vec<balance::Load>),
    /// A handover was heard of.
    Fact(Handover),
    /// Another VM writes.
    Peer(VmId, GroupId, grantor::Message),
    /// Something that this task asked for has ended.
    Ended(GroupId, Box<Event>),
    /// The platform's list of VMs was read.
    Listed(Vec<platform::ListedVm>),
    /// This VM stops: it hands its duties over.
    Leave,
    /// Tell the groups as known here.
    Status(oneshot::Sender<Status>),
}

/// The groups as known here, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// By group.
    pub groups: IndexMap<GroupId, GroupStatus>,
}

/// A group as known here.
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
    /// The versions that the others were told.
    told: IndexMap<GroupId, Version>,
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
            told: IndexMap::new(),
            parts,
        }
    }

    /// Serves messages until nobody can send any more.
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
                self.ask_leases();
            }
            Message::Fleet(fleet) => self.fleet(fleet),
            Message::Document(version, document) => self.document(version, &document),
            Message::Record(group, version, bytes) => self.record(&group, version, &bytes),
            Message::Fact(fact) => {
                let group = fact.group.clone();
                let message = grantor::Message::Handover(fact);
                self.peer(self.parts.me.vm.clone(), &group, message);
            }
            Message::Peer(from, group, message) => self.peer(from, &group, message),
            Message::Ended(group, event) => {
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

    /// Tells grantors which of the VMs they name are gone for certain.
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

    /// Takes a document: each group of an exclusive service gets a grantor.
    fn document(&mut self, version: Version, document: &Rc<Document>) {
        self.documents
            .insert(document.service.clone(), document.clone());
        self.notes.document(document);
        if document.ownership == Ownership::Shared {
            return;
        }
        for index in 0..document.groups {
            let group = build::group_id(&document.service, index);
            self.ensure(&group);
            let document = (**document).clone();
            self.feed(&group, Event::Document { version, document });
        }
    }

    fn ensure(&mut self, group: &GroupId) {
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
                self.ensure(group);
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
            self.act(now, group, effect);
        }
        self.tell_record(group);
    }

    fn act(&mut self, now: Duration, group: &GroupId, effect: Effect) {
        match effect {
            Effect::Grant {
                target,
                address,
                grant,
            } => {
                self.grant(now, group, target, &address, Some(grant));
            }
            Effect::Probe { target, address } => self.grant(now, group, target, &address, None),
            // What this VM has to say to itself takes no wire.
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
            Effect::Handover(fact) => {
                self.notes.moved(group, &fact);
                self.tell_fact(fact.clone());
                let _ = self
                    .parts
                    .tasks
                    .fleet
                    .unbounded_send(fleet::Message::Fact(fact));
            }
            Effect::Note(note) => self.note(group, &note),
        }
    }

    /// Records what a grantor did.
    fn note(&mut self, group: &GroupId, note: &grantor::Note) {
        let now = self.parts.clock.now();
        let grantor = self.groups.get(group);
        let routes = grantor
            .map(|grantor| grantor.routes(now))
            .unwrap_or_default();
        self.notes.note(group, note, &routes);
    }

    /// Sends a grant, or reads the state, and feeds the answer back.
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
            let _ = owners.unbounded_send(Message::Ended(group, Box::new(event)));
        })
        .detach();
    }

    /// Writes a record by compare-and-swap, and feeds the result back.
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
            let _ = owners.unbounded_send(Message::Ended(group, Box::new(event)));
        })
        .detach();
    }

    /// Reads the record, and feeds it back with when it was asked for.
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
                let _ = owners.unbounded_send(Message::Ended(group, Box::new(event)));
            }
        })
        .detach();
    }

    /// Gives the router, and everyone else, a record that is newer than what they know.
    fn tell_record(&mut self, group: &GroupId) {
        let Some((version, record)) = self.groups.get(group).and_then(Grantor::record) else {
            return;
        };
        let told = self.told.entry(group.clone()).or_default();
        if *told >= version {
            return;
        }
        *told = version;
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

    /// Asks the grantors of targets that don't check grants for the right to send to them.
    fn ask_leases(&mut self) {
        let now = self.parts.clock.now();
        if now < self.next_lease {
            return;
        }
        self.next_lease = now + LEASE_PERIOD;
        for (group, grantor) in &self.groups {
            let Some((_, record)) = grantor.record() else {
                continue;
            };
            for to in lenders(record) {
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

    /// Takes a message of another VM; handovers and leases are for the router too.
    fn peer(&mut self, from: VmId, group: &GroupId, message: grantor::Message) {
        match &message {
            grantor::Message::Handover(fact) => self.tell_fact(fact.clone()),
            grantor::Message::Lease { asked, routes } => {
                let message = ticket::Message::Lease(group.clone(), *asked, routes.clone());
                let _ = self.parts.tasks.router.unbounded_send(message);
            }
            _ => {}
        }
        self.feed(group, Event::Peer { from, message });
    }

    fn tell_fact(&self, fact: Handover) {
        let message = ticket::Message::Handover(fact);
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

/// Returns the VMs that may take duties.
fn candidates(fleet: &Fleet) -> Vec<build::Candidate> {
    let stays = |peer: &&membership::Peer| !fleet.leaving.contains(peer);
    let candidate = |peer: &membership::Peer| build::Candidate {
        vm: peer.vm.clone(),
        domain: peer.domain.clone(),
    };
    fleet.live.iter().filter(stays).map(candidate).collect()
}

fn outcome(result: &Result<WriteOutcome, platform::Error>) -> Outcome {
    match result {
        Ok(WriteOutcome::Committed(version)) => Outcome::Committed(*version),
        Ok(WriteOutcome::Conflict(version)) => Outcome::Conflict(*version),
        // Even a write that surely failed is settled by reading back: one way for all.
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the grantors of a group's targets that don't check grants.
fn lenders(record: &Record) -> IndexSet<VmId> {
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
