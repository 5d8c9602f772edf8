//! The task that owns this VM's view of the fleet and all gossiped items: documents, records, handovers.
//!
//! It receives items from peers and, when this VM is a watcher, from the platform's service, and passes them to
//! the tasks that need them. Probes and gossip between peers are calls to one path.
//!
//! - `service` makes the calls to the platform's service;
//! - `items` passes received items to the tasks and maps items to the platform's keys.

mod items;
mod service;

use std::{net::SocketAddr, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hyper::body::Bytes;
use indexmap::IndexMap;
use serde::Serialize;

use super::{Parts, Tasks, outbound, owners, ticks};
use crate::{
    entry::{orders, ticket},
    gossip::{CallId, Effect, Envelope, Event, Gossip},
    handover::Handover,
    id::{GroupId, ServiceId, Version},
    membership::{Peer, Standing, Update},
    metrics, peer, platform,
    spread::{Item, Kind},
    timeline::{self, Duty},
    util::client::Client,
    watcher::{self, Watcher},
};

/// Path that receives probes and gossip.
pub const GOSSIP_PATH: &str = "/peer/gossip";
/// Name of the item that holds the views of orders.
pub const VIEWS: &str = "orders";
/// Interval between ticks of the task.
const TICK: Duration = Duration::from_millis(50);
/// Maximum number of connections to a peer for probes and gossip.
const MAX_CONNECTIONS: usize = 6;

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Periodic tick.
    Tick,
    /// The platform's list of VMs was read; `None` if the call failed.
    Listed(Option<Vec<platform::ListedVm>>),
    /// Seed addresses from the settings.
    Seeds(Vec<String>),
    /// A call from a peer, and the sender for its response.
    Asked(Envelope, oneshot::Sender<Envelope>),
    /// The response to a call to a peer; `None` if the call failed.
    Answered(CallId, Option<Envelope>),
    /// The result of a call to the platform's service.
    Platform(watcher::Event),
    /// A value was read from the platform's service.
    Value(watcher::Change, Bytes),
    /// This VM has a new item to publish.
    Put(Item),
    /// A grantor of this VM has made a handover.
    Handover(Handover),
    /// This VM is about to stop: it takes no new roles.
    Leave,
    /// This VM is stopping now.
    Stop,
    /// Requests the status of the fleet and the documents as known to this VM.
    Status(oneshot::Sender<Status>),
    /// Asks whether this process knows the configuration in force.
    Joined(oneshot::Sender<bool>),
}

/// Asks whether this process knows the configuration in force.
pub async fn is_joined(tasks: &Tasks) -> bool {
    let (sender, answer) = oneshot::channel();
    let _ = tasks.fleet.unbounded_send(Message::Joined(sender));
    answer.await.unwrap_or(false)
}

/// View of the fleet that is passed to the other tasks.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The live VMs, including this one.
    pub live: Vec<Peer>,
    /// The live VMs that are leaving and take no new roles.
    pub leaving: Vec<Peer>,
}

/// Status of the fleet and the documents as known to this VM, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// The members in this VM's view.
    pub members: Vec<Update>,
    /// The versions of the documents in force on this VM.
    pub documents: IndexMap<ServiceId, Version>,
    /// Whether this VM watches the platform's service.
    pub is_watcher: bool,
    /// Whether the latest call to the platform's service succeeded; `None` if there was no call.
    pub is_reached: Option<bool>,
    /// Counts of the calls to the platform's service that look for changes.
    pub asked: watcher::Counts,
}

/// Returns the key of a group's record in the platform's store.
pub fn record_key(group: &GroupId) -> String {
    format!("{}{group}", platform::GROUPS)
}

/// The task's state.
#[derive(Debug)]
pub struct FleetTask {
    parts: Parts,
    client: Client,
    gossip: Gossip,
    watcher: Watcher,
    pending_calls: IndexMap<CallId, oneshot::Sender<Envelope>>,
    next_call: CallId,
    next_list: Duration,
    is_listing: bool,
    has_published: bool,
}

impl FleetTask {
    /// Creates the task's state.
    pub fn new(parts: Parts, gossip: Gossip, seed: u64) -> Self {
        Self {
            client: Client::new(parts.clock.clone(), MAX_CONNECTIONS),
            parts,
            gossip,
            watcher: Watcher::new(watcher::Timing::default(), seed),
            pending_calls: IndexMap::new(),
            next_call: 0,
            next_list: Duration::ZERO,
            is_listing: false,
            has_published: false,
        }
    }

    /// Handles messages until all senders of the channel are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        ticks::start(&self.parts.clock, &self.parts.tasks.fleet, TICK, || {
            Message::Tick
        });
        while let Some(message) = messages.next().await {
            self.on(message);
        }
    }

    fn on(&mut self, message: Message) {
        match message {
            Message::Tick => self.tick(),
            Message::Listed(list) => self.listed(list),
            Message::Seeds(seeds) => self.feed(Event::Seeds(seeds)),
            Message::Asked(envelope, reply) => self.asked(envelope, reply),
            Message::Answered(call, Some(envelope)) => {
                self.feed(Event::Answered { call, envelope });
            }
            Message::Answered(call, None) => self.feed(Event::Failed { call }),
            Message::Platform(event) => self.watch(event),
            Message::Value(change, bytes) => self.value(change, &bytes),
            Message::Put(item) => self.feed(Event::Put(item)),
            Message::Handover(handover) => self.publish_handover(&handover),
            Message::Leave => self.feed(Event::Leave),
            Message::Stop => self.feed(Event::Stop),
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Message::Joined(reply) => {
                let _ = reply.send(self.is_joined());
            }
        }
    }

    fn tick(&mut self) {
        if !self.has_published {
            self.has_published = true;
            self.publish_fleet();
        }
        self.feed(Event::Tick);
        self.watch(watcher::Event::Tick);
        if !self.is_listing && self.parts.clock.now() >= self.next_list {
            self.is_listing = true;
            self.read_list();
        }
    }

    /// Handles a call from a peer, which waits for the response. Incoming calls get their own ids.
    fn asked(&mut self, envelope: Envelope, reply: oneshot::Sender<Envelope>) {
        self.next_call += 1;
        let call = self.next_call;
        self.pending_calls.insert(call, reply);
        self.feed(Event::Asked { call, envelope });
    }

    fn feed(&mut self, event: Event) {
        let effects = self.gossip.on(self.parts.clock.now(), event);
        let mut has_changed = false;
        for effect in effects {
            match effect {
                Effect::Ask {
                    call,
                    address,
                    envelope,
                    within,
                } => self.ask(call, &address, envelope, within),
                Effect::Answer { call, envelope } => {
                    if let Some(reply) = self.pending_calls.swap_remove(&call) {
                        // The peer may have closed the connection.
                        let _ = reply.send(envelope);
                    }
                }
                Effect::Changed(update) => {
                    self.record_change(&update);
                    has_changed = true;
                }
                Effect::Accepted(item) => self.accepted(&item),
                Effect::Expired(_) => {}
            }
        }
        if has_changed {
            self.publish_fleet();
        }
    }

    fn record_change(&self, update: &Update) {
        let kind = match update.standing {
            Standing::Live => timeline::Kind::PeerJoined,
            Standing::Suspect => timeline::Kind::PeerSuspected,
            Standing::Gone => timeline::Kind::PeerLost,
            Standing::Leaving | Standing::Left => timeline::Kind::PeerLeft,
        };
        let event = timeline::Event::new(Duty::Member, "membership", kind);
        self.parts
            .recorder
            .event(event.peer(update.peer.vm.as_str()));
    }

    fn ask(&self, call: CallId, address: &str, envelope: Envelope, within: Duration) {
        let client = self.client.clone();
        let task = self.parts.tasks.fleet.clone();
        let recorder = self.parts.recorder.clone();
        let address = address.parse::<SocketAddr>();
        compio::runtime::spawn(async move {
            let answer = match address {
                Ok(to) => peer::call(&client, &recorder, to, GOSSIP_PATH, &envelope, within)
                    .await
                    .ok(),
                Err(_) => None,
            };
            let _ = task.unbounded_send(Message::Answered(call, answer));
        })
        .detach();
    }

    /// Passes the view of the fleet to the tasks that need it, and re-evaluates whether this VM is a watcher.
    fn publish_fleet(&mut self) {
        let members = self.gossip.membership();
        let live = members.live();
        self.parts
            .recorder
            .set(&metrics::PEERS_LIVE, live.len() as u64);
        let is_leaving = |peer: &&Peer| members.standing(&peer.vm) == Some(Standing::Leaving);
        let leaving = live.iter().filter(is_leaving).cloned().collect();
        let fleet = Fleet { live, leaving };
        let me = members.me().clone();
        let now = self.parts.clock.now();
        let watchers = members.candidates_in(now, watcher::SUBJECT, usize::MAX, &me.domain);
        let own_rank = watchers.iter().position(|peer| peer.vm == me.vm);
        let vm_count = members.fleet_size();
        let _ = self
            .parts
            .tasks
            .outbound
            .unbounded_send(outbound::Message::Live(fleet.live.clone()));
        let _ = self
            .parts
            .tasks
            .orders
            .unbounded_send(orders::Message::Fleet(fleet.clone()));
        let message = ticket::Message::Fleet(fleet.clone());
        let _ = self.parts.tasks.router.unbounded_send(message);
        let _ = self
            .parts
            .tasks
            .owners
            .unbounded_send(owners::Message::Fleet(fleet));
        self.watch(watcher::Event::Role {
            rank: own_rank,
            fleet_size: vm_count,
        });
    }

    fn documents(&self) -> IndexMap<ServiceId, Version> {
        let known = self.gossip.store().in_force().into_iter();
        known
            .filter(|known| known.id.kind == Kind::Document)
            .map(|known| (known.id.name, known.version))
            .collect()
    }

    /// Returns whether this process knows the configuration in force: it can reach the platform, or it has
    /// synchronised with a peer.
    fn is_joined(&self) -> bool {
        self.watcher.is_reachable() == Some(true) || self.gossip.store().synced_peers() > 0
    }

    fn status(&self) -> Status {
        Status {
            members: self.gossip.membership().members(),
            documents: self.documents(),
            is_watcher: self.watcher.is_active(),
            is_reached: self.watcher.is_reachable(),
            asked: self.watcher.counts(),
        }
    }
}
