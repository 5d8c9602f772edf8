//! The task that owns this VM's view of the fleet and all news: documents, records, handovers.
//!
//! What it learns from the platform's service (when it is a watcher) or from peers it hands to the
//! tasks that need it. Probes and news between peers travel as calls at one path.
//!
//! - `service` is what it asks the platform's service;
//! - `items` is what it does with news.

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

/// Where probes and news go.
pub const GOSSIP_PATH: &str = "/peer/gossip";
/// The name of the item that holds the views of orders.
pub const VIEWS: &str = "orders";
/// How often the task is woken.
const TICK: Duration = Duration::from_millis(50);
/// The most connections to a peer for probes and news.
const CONNECTIONS: usize = 6;

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// Time has passed.
    Tick,
    /// The platform's list of VMs was read.
    Listed(Option<Vec<platform::ListedVm>>),
    /// Addresses from the settings.
    Seeds(Vec<String>),
    /// A peer asks.
    Asked(Envelope, oneshot::Sender<Envelope>),
    /// A peer answered, or did not.
    Answered(CallId, Option<Envelope>),
    /// The platform's service answered, or did not.
    Platform(watcher::Event),
    /// A value was read from the platform's service.
    Value(watcher::Change, Bytes),
    /// This VM has something new to tell.
    Put(Item),
    /// A grantor has made a handover.
    Fact(Handover),
    /// This VM is about to stop: it takes no new duties.
    Leave,
    /// This VM stops now.
    Stop,
    /// Tell what is known here.
    Status(oneshot::Sender<Status>),
    /// Tell whether this process knows what is in force.
    Joined(oneshot::Sender<bool>),
}

/// Asks whether this process knows what is in force.
pub async fn is_joined(tasks: &Tasks) -> bool {
    let (sender, answer) = oneshot::channel();
    let _ = tasks.fleet.unbounded_send(Message::Joined(sender));
    answer.await.unwrap_or(false)
}

/// What others hear of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// This VM and those that are there.
    pub live: Vec<Peer>,
    /// Those of them that take no new duties.
    pub leaving: Vec<Peer>,
}

/// What is known here, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// The members as seen here.
    pub members: Vec<Update>,
    /// The documents in force here.
    pub documents: IndexMap<ServiceId, Version>,
    /// Whether this VM watches the platform's service.
    pub is_watcher: bool,
    /// Whether the platform's service answered last time; none if it was not asked.
    pub is_reached: Option<bool>,
    /// What was asked of the platform's service to hear of changes.
    pub asked: watcher::Counts,
}

/// Returns the platform's key of a group's record.
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
    waiting: IndexMap<CallId, oneshot::Sender<Envelope>>,
    next_call: CallId,
    next_list: Duration,
    is_listing: bool,
    has_told: bool,
}

impl FleetTask {
    /// Creates the task's state.
    pub fn new(parts: Parts, gossip: Gossip, seed: u64) -> Self {
        Self {
            client: Client::new(parts.clock.clone(), CONNECTIONS),
            parts,
            gossip,
            watcher: Watcher::new(watcher::Timing::default(), seed),
            waiting: IndexMap::new(),
            next_call: 0,
            next_list: Duration::ZERO,
            is_listing: false,
            has_told: false,
        }
    }

    /// Serves messages until nobody can send any more.
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
            Message::Fact(fact) => self.fact(&fact),
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
        if !self.has_told {
            self.has_told = true;
            self.tell();
        }
        self.feed(Event::Tick);
        self.watch(watcher::Event::Tick);
        if !self.is_listing && self.parts.clock.now() >= self.next_list {
            self.is_listing = true;
            self.read_list();
        }
    }

    /// Keeps the peer waiting until there is an answer; calls from outside have ids of their own.
    fn asked(&mut self, envelope: Envelope, reply: oneshot::Sender<Envelope>) {
        self.next_call += 1;
        let call = self.next_call;
        self.waiting.insert(call, reply);
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
                    if let Some(reply) = self.waiting.swap_remove(&call) {
                        // The peer may have given up.
                        let _ = reply.send(envelope);
                    }
                }
                Effect::Changed(update) => {
                    self.note(&update);
                    has_changed = true;
                }
                Effect::Accepted(item) => self.accepted(&item),
                Effect::Expired(_) => {}
            }
        }
        if has_changed {
            self.tell();
        }
    }

    fn note(&self, update: &Update) {
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
        let fleet = self.parts.tasks.fleet.clone();
        let recorder = self.parts.recorder.clone();
        let address = address.parse::<SocketAddr>();
        compio::runtime::spawn(async move {
            let answer = match address {
                Ok(to) => peer::call(&client, &recorder, to, GOSSIP_PATH, &envelope, within)
                    .await
                    .ok(),
                Err(_) => None,
            };
            let _ = fleet.unbounded_send(Message::Answered(call, answer));
        })
        .detach();
    }

    /// Tells the fleet to the tasks that need it, and weighs the duty to watch anew.
    fn tell(&mut self) {
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
        let place = watchers.iter().position(|peer| peer.vm == me.vm);
        let size = members.fleet_size();
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
            rank: place,
            fleet_size: size,
        });
    }

    fn documents(&self) -> IndexMap<ServiceId, Version> {
        let known = self.gossip.store().in_force().into_iter();
        known
            .filter(|known| known.id.kind == Kind::Document)
            .map(|known| (known.id.name, known.version))
            .collect()
    }

    /// Returns whether this process knows what is in force: the platform told it, or it agrees with
    /// a peer.
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
