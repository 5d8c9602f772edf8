//! Carries membership and the spread of items in the same messages.
//!
//! Every probe includes the hash of the sender's item versions, so that a process that missed an
//! update detects it. New items are pushed to peers that membership chooses. The task that owns a
//! [`Gossip`] sends the calls that it requests, passes it the calls of peers, and reports how each
//! call ended.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    membership::{self, Listed, Membership, Peer, Timing, Update},
    spread::{self, Digest, Id, Item, Limits, Store},
};

/// Call number, unique within the process that assigned it.
pub type CallId = u64;

/// Peers whose item hash is kept; the least recently updated is dropped first.
const MAX_PEER_DIGESTS: usize = 64;
/// Timeout of a call that exchanges items.
const ITEMS_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or response of membership or of the item store, with the sender's address and hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// `IP:port` at which peers call the sender.
    pub address: String,
    /// Hash of the versions of all items that the sender holds.
    pub digest: Digest,
    /// The message.
    pub content: Content,
}

/// The message in an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// A membership message.
    Member(membership::Message),
    /// A message of the item store.
    Spread(spread::Message),
}

/// An input of a [`Gossip`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent several times per probe period.
    Tick,
    /// The platform's list of VMs was read.
    List(Vec<Listed>),
    /// Seed addresses from the settings.
    Seeds(Vec<String>),
    /// This process obtained or produced a new version of an item.
    Put(Item),
    /// A request from another process.
    Asked {
        /// Call number, assigned by the task that owns the [`Gossip`].
        call: CallId,
        /// The request.
        envelope: Envelope,
    },
    /// A call of [`Effect::Ask`] was answered.
    Answered {
        /// The number in the effect.
        call: CallId,
        /// The answer.
        envelope: Envelope,
    },
    /// A call of [`Effect::Ask`] failed or timed out.
    Failed {
        /// The number in the effect.
        call: CallId,
    },
    /// This process starts to drain and takes on no new role.
    Leave,
    /// This process has handed over its roles and is about to exit.
    Stop,
}

/// An action that the owning task has to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call another process.
    Ask {
        /// Call number; the result is reported under it.
        call: CallId,
        /// `IP:port`.
        address: String,
        /// The request.
        envelope: Envelope,
        /// Timeout of the call.
        within: Duration,
    },
    /// Answer the request of an [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        envelope: Envelope,
    },
    /// A member's standing changed; recorded in the log and the time line.
    Changed(Update),
    /// This process now uses this version of an item.
    Accepted(Item),
    /// An item expired.
    Expired(Id),
}

/// The part that made a call.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Member(membership::CallId),
    Spread(spread::CallId),
    Push,
}

/// The item hash that a peer last sent.
#[derive(Clone, Copy, Debug)]
struct PeerDigest {
    digest: Digest,
    at: Duration,
}

/// How many of the recently seen peers hold the same item versions as this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// Peers that sent their hash within the time span.
    pub heard: usize,
    /// Addresses of the peers whose versions differ.
    pub differ: Vec<String>,
}

/// The membership and item store of one process.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::{
///     gossip::{Effect, Event, Gossip},
///     membership::{Peer, Timing},
///     spread::{Id, Item, Kind, Limits},
/// };
///
/// let mut gossip = Gossip::new(Peer::default(), Timing::default(), Limits::default(), 7);
/// let item = Item::new(Id::new(Kind::Document, "tracking"), 8, b"text".to_vec());
/// let effects = gossip.on(Duration::ZERO, Event::Put(item));
/// assert!(matches!(effects[0], Effect::Accepted(_)));
/// ```
#[derive(Debug)]
pub struct Gossip {
    members: Membership,
    store: Store,
    calls: IndexMap<CallId, Origin>,
    digests: IndexMap<String, PeerDigest>,
    next_call: CallId,
}

impl Gossip {
    /// Creates the state of a process that knows only itself and holds no items.
    pub fn new(me: Peer, timing: Timing, limits: Limits, seed: u64) -> Self {
        Self {
            members: Membership::new(me, timing, seed),
            store: Store::new(limits),
            calls: IndexMap::new(),
            digests: IndexMap::new(),
            next_call: 0,
        }
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.members
    }

    /// Returns the item store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the item store, for its configuration.
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Processes an event and returns the actions to perform, in order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{
    ///     gossip::{Event, Gossip},
    ///     membership::{Peer, Timing},
    ///     spread::Limits,
    /// };
    ///
    /// let mut gossip = Gossip::new(Peer::default(), Timing::default(), Limits::default(), 7);
    /// assert!(gossip.on(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => {
                self.update_membership(now, membership::Event::Tick, &mut effects);
                self.update_store(now, spread::Event::Tick, &mut effects);
            }
            Event::List(list) => {
                self.update_membership(now, membership::Event::List(list), &mut effects);
            }
            Event::Seeds(seeds) => {
                self.update_membership(now, membership::Event::Seeds(seeds), &mut effects);
            }
            Event::Put(item) => self.update_store(now, spread::Event::Put(item), &mut effects),
            Event::Asked { call, envelope } => self.asked(now, call, envelope, &mut effects),
            Event::Answered { call, envelope } => self.answered(now, call, envelope, &mut effects),
            Event::Failed { call } => self.failed(now, call, &mut effects),
            Event::Leave => self.update_membership(now, membership::Event::Leave, &mut effects),
            Event::Stop => self.update_membership(now, membership::Event::Stop, &mut effects),
        }
        effects
    }

    /// Compares this process's item versions with those of peers seen within a time span.
    ///
    /// Each probe or probe response carries the peer's hash. The sample covers up to 64 peers, the
    /// most recent ones.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{gossip::Gossip, membership::{Peer, Timing}, spread::Limits};
    ///
    /// let gossip = Gossip::new(Peer::default(), Timing::default(), Limits::default(), 7);
    /// assert_eq!(gossip.agreement(Duration::ZERO, Duration::from_secs(10)).heard, 0);
    /// ```
    pub fn agreement(&self, now: Duration, span: Duration) -> Agreement {
        let own = self.store.digest();
        let recent = || {
            self.digests
                .iter()
                .filter(move |(_, peer)| peer.at + span >= now)
        };
        Agreement {
            heard: recent().count(),
            differ: recent()
                .filter(|(_, peer)| peer.digest != own)
                .map(|(address, _)| address.clone())
                .collect(),
        }
    }

    /// Passes an event to the membership and collects its effects.
    fn update_membership(
        &mut self,
        now: Duration,
        event: membership::Event,
        effects: &mut Vec<Effect>,
    ) {
        for effect in self.members.on(now, event) {
            match effect {
                membership::Effect::Ask {
                    call,
                    address,
                    message,
                    within,
                } => {
                    let content = Content::Member(message);
                    self.ask(Origin::Member(call), address, content, within, effects);
                }
                membership::Effect::Answer { call, message } => {
                    let envelope = self.envelope(Content::Member(message));
                    effects.push(Effect::Answer { call, envelope });
                }
                membership::Effect::Changed(update) => effects.push(Effect::Changed(update)),
            }
        }
    }

    /// Passes an event to the item store and collects its effects.
    fn update_store(&mut self, now: Duration, event: spread::Event, effects: &mut Vec<Effect>) {
        for effect in self.store.on(now, event) {
            match effect {
                spread::Effect::Ask {
                    call,
                    address,
                    message,
                } => {
                    let content = Content::Spread(message);
                    self.ask(
                        Origin::Spread(call),
                        address,
                        content,
                        ITEMS_TIMEOUT,
                        effects,
                    );
                }
                spread::Effect::Answer { call, message } => {
                    let envelope = self.envelope(Content::Spread(message));
                    effects.push(Effect::Answer { call, envelope });
                }
                spread::Effect::Push { count, message } => self.push(count, &message, effects),
                spread::Effect::Accepted(item) => effects.push(Effect::Accepted(item)),
                spread::Effect::Expired(id) => effects.push(Effect::Expired(id)),
            }
        }
    }

    /// Sends a message to `count` members chosen at random.
    fn push(&mut self, count: usize, message: &spread::Message, effects: &mut Vec<Effect>) {
        for peer in self.members.sample(count) {
            let content = Content::Spread(message.clone());
            self.ask(Origin::Push, peer.address, content, ITEMS_TIMEOUT, effects);
        }
    }

    /// Processes a request from another process.
    fn asked(
        &mut self,
        now: Duration,
        call: CallId,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) {
        let Envelope {
            address,
            digest,
            content,
        } = envelope;
        match content {
            Content::Member(message) => {
                self.update_membership(now, membership::Event::Asked { call, message }, effects);
                self.record_digest(now, address, digest, effects);
            }
            Content::Spread(message) => {
                let event = spread::Event::Asked {
                    call,
                    address,
                    message,
                };
                self.update_store(now, event, effects);
            }
        }
    }

    /// Processes the response to a call.
    fn answered(
        &mut self,
        now: Duration,
        call: CallId,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) {
        let Some(origin) = self.calls.swap_remove(&call) else {
            return;
        };
        match (origin, envelope.content) {
            (Origin::Member(call), Content::Member(message)) => {
                self.update_membership(now, membership::Event::Answered { call, message }, effects);
                self.record_digest(now, envelope.address, envelope.digest, effects);
            }
            (Origin::Spread(call), Content::Spread(message)) => {
                self.update_store(now, spread::Event::Answered { call, message }, effects);
            }
            (Origin::Push, _) => {}
            (origin, _) => self.fail_call(now, origin, effects),
        }
    }

    /// Processes the failure of a call.
    fn failed(&mut self, now: Duration, call: CallId, effects: &mut Vec<Effect>) {
        if let Some(origin) = self.calls.swap_remove(&call) {
            self.fail_call(now, origin, effects);
        }
    }

    /// Reports a failed call to the part that made it.
    fn fail_call(&mut self, now: Duration, origin: Origin, effects: &mut Vec<Effect>) {
        match origin {
            Origin::Member(call) => {
                self.update_membership(now, membership::Event::Failed { call }, effects);
            }
            Origin::Spread(call) => self.update_store(now, spread::Event::Failed { call }, effects),
            Origin::Push => {}
        }
    }

    /// Records a peer's item hash and has the store compare it with its own.
    fn record_digest(
        &mut self,
        now: Duration,
        address: String,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        self.digests.shift_remove(&address);
        self.digests
            .insert(address.clone(), PeerDigest { digest, at: now });
        if self.digests.len() > MAX_PEER_DIGESTS {
            self.digests.shift_remove_index(0);
        }
        self.update_store(now, spread::Event::Digest { address, digest }, effects);
    }

    /// Records a call and requests that it is sent.
    fn ask(
        &mut self,
        origin: Origin,
        address: String,
        content: Content,
        within: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.next_call += 1;
        self.calls.insert(self.next_call, origin);
        let envelope = self.envelope(content);
        effects.push(Effect::Ask {
            call: self.next_call,
            address,
            envelope,
            within,
        });
    }

    /// Adds this process's address and item hash to a message.
    fn envelope(&self, content: Content) -> Envelope {
        Envelope {
            address: self.members.me().address.clone(),
            digest: self.store.digest(),
            content,
        }
    }
}
