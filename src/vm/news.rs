//! The task that owns this VM's view of the fleet and all news: documents, records, handovers.
//!
//! What it learns from the platform's service (when it is a watcher) or from peers it hands to the
//! tasks that need it. Probes and news between peers travel as calls at one path.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hyper::body::Bytes;
use indexmap::IndexMap;
use serde::Serialize;

use super::{Parts, Tasks, mail, owners, ticks};
use crate::{
    document::{self, Document, stored::Stored},
    entry::{desk, ticket},
    gossip::{CallId, Effect, Envelope, Event, Gossip},
    handover::Handover,
    id::{GroupId, ServiceId, Version},
    membership::{Listed, Peer, Standing, Update},
    metrics, peer, platform,
    spread::{Content, Id, Item, Kind},
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
/// How often a VM without the duty to watch reads the platform's list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(30);
/// How often a watcher does, or a VM that misses a member.
const LIST_PERIOD_SHORT: Duration = Duration::from_secs(1);
/// How long a handover is kept; the group's record carries it long before, but for an outage.
const HANDOVER_KEPT: Duration = Duration::from_hours(24);
/// How long a watcher's sign of life counts.
const WATCH_KEPT: Duration = Duration::from_mins(2);

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
    let _ = tasks.news.unbounded_send(Message::Joined(sender));
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
pub struct News {
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

impl News {
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
        ticks::start(&self.parts.clock, &self.parts.tasks.news, TICK, || {
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
        let news = self.parts.tasks.news.clone();
        let recorder = self.parts.recorder.clone();
        let address = address.parse::<SocketAddr>();
        compio::runtime::spawn(async move {
            let answer = match address {
                Ok(to) => peer::call(&client, &recorder, to, GOSSIP_PATH, &envelope, within)
                    .await
                    .ok(),
                Err(_) => None,
            };
            let _ = news.unbounded_send(Message::Answered(call, answer));
        })
        .detach();
    }

    /// Tells the fleet to the tasks that need it, and weighs the duty to watch anew.
    fn tell(&mut self) {
        let members = self.gossip.members();
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
        let size = members.size();
        let _ = self
            .parts
            .tasks
            .mail
            .unbounded_send(mail::Message::Live(fleet.live.clone()));
        let _ = self
            .parts
            .tasks
            .desk
            .unbounded_send(desk::Message::Fleet(fleet.clone()));
        let message = ticket::Message::Fleet(fleet.clone());
        let _ = self.parts.tasks.router.unbounded_send(message);
        let _ = self
            .parts
            .tasks
            .owners
            .unbounded_send(owners::Message::Fleet(fleet));
        self.watch(watcher::Event::Duty { place, size });
    }

    // --- The platform's service ---

    fn watch(&mut self, event: watcher::Event) {
        for effect in self.watcher.on(self.parts.clock.now(), event) {
            match effect {
                watcher::Effect::List => self.list(None),
                watcher::Effect::Watch(since) => self.list(Some(since)),
                watcher::Effect::Read(change) => self.read(change),
                watcher::Effect::Removed(change) => self.removed(&change),
                watcher::Effect::Mark => self.mark(),
                watcher::Effect::Reached(is_reached) => {
                    let kind = if is_reached {
                        timeline::Kind::PlatformBack
                    } else {
                        timeline::Kind::PlatformLost
                    };
                    let event = timeline::Event::new(Duty::Watcher, "watch", kind);
                    self.parts.recorder.event(event.peer("platform"));
                }
            }
        }
    }

    fn list(&self, since: Option<Version>) {
        let platform = self.parts.platform.clone();
        let news = self.parts.tasks.news.clone();
        compio::runtime::spawn(async move {
            let listing = match since {
                None => platform.list(platform::ROOT).await,
                Some(since) => platform.watch(platform::ROOT, since).await,
            };
            let event = match (listing, since) {
                (Ok(listing), None) => watcher::Event::Listed(changes(listing)),
                (Ok(listing), Some(_)) => watcher::Event::Watched(changes(listing)),
                (Err(_), None) => watcher::Event::Failed(watcher::Asked::List),
                (Err(_), Some(_)) => watcher::Event::Failed(watcher::Asked::Watch),
            };
            let _ = news.unbounded_send(Message::Platform(event));
        })
        .detach();
    }

    fn read(&self, change: watcher::Change) {
        let platform = self.parts.platform.clone();
        let news = self.parts.tasks.news.clone();
        compio::runtime::spawn(async move {
            let message = match platform.get(&change.key).await {
                Ok(Some((version, bytes))) => {
                    let key = change.key;
                    Message::Value(watcher::Change { key, version }, bytes)
                }
                // Deleted meanwhile; the watch tells of that too.
                Ok(None) => Message::Platform(watcher::Event::Read(change)),
                Err(_) => {
                    let asked = watcher::Asked::Read(change.key);
                    Message::Platform(watcher::Event::Failed(asked))
                }
            };
            let _ = news.unbounded_send(message);
        })
        .detach();
    }

    fn value(&mut self, change: watcher::Change, bytes: &Bytes) {
        if let Some(id) = item_id(&change.key) {
            let item = Item::new(id, change.version, bytes.to_vec());
            self.feed(Event::Put(item));
        }
        self.watch(watcher::Event::Read(change));
    }

    fn removed(&mut self, change: &watcher::Change) {
        if let Some(id) = item_id(&change.key) {
            self.feed(Event::Put(Item::removed(id, change.version)));
        }
    }

    /// Tells the fleet that this failure domain has a watcher that hears the platform.
    fn mark(&mut self) {
        let name = self.gossip.members().me().domain.clone();
        let id = Id::new(Kind::Watch, name);
        let version = self.gossip.store().version(&id).unwrap_or(0) + 1;
        let item = Item::new(id, version, Vec::new()).lasting(WATCH_KEPT);
        self.feed(Event::Put(item));
    }

    fn read_list(&self) {
        let platform = self.parts.platform.clone();
        let news = self.parts.tasks.news.clone();
        compio::runtime::spawn(async move {
            let list = platform.vms().await.ok();
            let _ = news.unbounded_send(Message::Listed(list));
        })
        .detach();
    }

    fn listed(&mut self, list: Option<Vec<platform::ListedVm>>) {
        self.is_listing = false;
        let suspects = |update: &Update| update.standing == Standing::Suspect;
        let misses = self.gossip.members().members().iter().any(suspects);
        let is_short = self.watcher.is_on_duty() || misses;
        let period = if is_short {
            LIST_PERIOD_SHORT
        } else {
            LIST_PERIOD
        };
        self.next_list = self.parts.clock.now() + period;
        let Some(list) = list else {
            return;
        };
        let leaving = platform::leaving_targets(&list);
        let message = ticket::Message::Leaving(leaving);
        let _ = self.parts.tasks.router.unbounded_send(message);
        let message = desk::Message::Listed(list.clone());
        let _ = self.parts.tasks.desk.unbounded_send(message);
        let message = owners::Message::Listed(list.clone());
        let _ = self.parts.tasks.owners.unbounded_send(message);
        let vms = list
            .into_iter()
            .filter(|vm| vm.kind == platform::Kind::Entry);
        let listed = vms.map(|vm| Listed {
            name: vm.name,
            address: vm.address,
            domain: vm.domain,
            leaving: vm.state == platform::State::Leaving,
        });
        self.feed(Event::List(listed.collect()));
    }

    // --- News ---

    fn fact(&mut self, fact: &Handover) {
        let Ok(bytes) = peer::encode(fact) else {
            return;
        };
        let range = fact.range;
        let name = format!("{}/{:x}-{:x}", fact.group, range.start, range.end);
        let id = Id::new(Kind::Handover, name);
        let item = Item::new(id, fact.epoch, bytes.to_vec()).lasting(HANDOVER_KEPT);
        self.feed(Event::Put(item));
    }

    /// Hands a new item to the task that needs it.
    fn accepted(&mut self, item: &Item) {
        if let Some(key) = platform_key(&item.id) {
            let version = item.version;
            self.watch(watcher::Event::Held(watcher::Change { key, version }));
        }
        let Content::Value(bytes) = &item.content else {
            return;
        };
        match item.id.kind {
            Kind::Document => self.document(&item.id.name, item.version, bytes),
            Kind::Record => {
                let group = item.id.name.clone();
                let bytes = Bytes::copy_from_slice(bytes);
                let message = owners::Message::Record(group, item.version, bytes);
                let _ = self.parts.tasks.owners.unbounded_send(message);
            }
            Kind::Handover => match peer::decode::<Handover>(bytes) {
                Ok(fact) => {
                    let _ = self
                        .parts
                        .tasks
                        .owners
                        .unbounded_send(owners::Message::Fact(fact));
                }
                Err(cause) => log::error!("step=news peer={} cause={cause:?}", item.id.name),
            },
            Kind::Watch => self.watch(watcher::Event::Mark { own: false }),
            Kind::View => {
                let bytes = Bytes::copy_from_slice(bytes);
                let message = desk::Message::Views(item.version, bytes);
                let _ = self.parts.tasks.desk.unbounded_send(message);
            }
            Kind::Suspect => {
                if let Ok(items) = peer::decode(bytes) {
                    let message = ticket::Message::Suspects(items);
                    let _ = self.parts.tasks.router.unbounded_send(message);
                }
            }
        }
    }

    fn document(&mut self, service: &str, version: Version, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let text = Stored::parse(&text).text;
        match document::text::parse(service, &text) {
            Ok(document) => self.enforce(version, document),
            // `put` refuses such a text; whoever wrote it did so past us. The last good one stays.
            Err(fault) => {
                let refused = timeline::Kind::DocumentRefused;
                let event = timeline::Event::new(Duty::Watcher, "document", refused);
                let event = event.service(service).version(version);
                self.parts
                    .recorder
                    .event(event.cause(fault.to_string().as_str()));
            }
        }
    }

    fn enforce(&mut self, version: Version, document: Document) {
        let forced = timeline::Kind::DocumentForced;
        let event = timeline::Event::new(Duty::Watcher, "document", forced);
        let event = event.service(document.service.as_str()).version(version);
        self.parts.recorder.event(event);
        let document = Rc::new(document);
        let message = ticket::Message::Document(document.clone());
        let _ = self.parts.tasks.router.unbounded_send(message);
        let message = owners::Message::Document(version, document);
        let _ = self.parts.tasks.owners.unbounded_send(message);
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
        self.watcher.is_reached() == Some(true) || self.gossip.store().agreed() > 0
    }

    fn status(&self) -> Status {
        Status {
            members: self.gossip.members().members(),
            documents: self.documents(),
            is_watcher: self.watcher.is_on_duty(),
            is_reached: self.watcher.is_reached(),
            asked: self.watcher.counts(),
        }
    }
}

fn changes(listing: platform::Listing) -> watcher::Listing {
    let change = |key: platform::KeyVersion| watcher::Change {
        key: key.key,
        version: key.version,
    };
    watcher::Listing {
        revision: listing.revision,
        keys: listing.keys.into_iter().map(change).collect(),
    }
}

/// Returns the item that a key of the platform's service stands for.
fn item_id(key: &str) -> Option<Id> {
    if let Some(name) = key.strip_prefix(platform::DOCUMENTS) {
        return Some(Id::new(Kind::Document, name));
    }
    if let Some(name) = key.strip_prefix(platform::GROUPS) {
        return Some(Id::new(Kind::Record, name));
    }
    (key == platform::ORDERS).then(|| Id::new(Kind::View, VIEWS))
}

/// Returns the key of the platform's service that an item stands for.
fn platform_key(id: &Id) -> Option<String> {
    match id.kind {
        Kind::Document => Some(format!("{}{}", platform::DOCUMENTS, id.name)),
        Kind::Record => Some(format!("{}{}", platform::GROUPS, id.name)),
        Kind::View => Some(platform::ORDERS.to_owned()),
        Kind::Handover | Kind::Suspect | Kind::Watch => None,
    }
}
