//! Membership and spread on the same messages.
//!
//! Every probe carries the hash of the items held, so that a process that missed news finds out;
//! news goes to peers that membership chooses. The task that owns a [`Gossip`] makes its calls,
//! takes others' calls in, and tells how each call ended.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    membership::{self, Listed, Membership, Peer, Timing, Update},
    spread::{self, Digest, Id, Item, Limits, Store},
};

/// Number of a call, unique at the process that numbers it.
pub type CallId = u64;

/// Peers whose hash of items is remembered.
const MOST_HEARD: usize = 64;
/// How long a call about items may take.
const ITEMS_TIMEOUT: Duration = Duration::from_secs(1);

/// A message of either part; a request, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Where the sender can be called.
    pub address: String,
    /// Hash of the items that the sender holds.
    pub digest: Digest,
    /// The message.
    pub content: Content,
}

/// What an envelope holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// About members.
    Member(membership::Message),
    /// About items.
    Spread(spread::Message),
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; several times a period.
    Tick,
    /// The platform's list was read.
    List(Vec<Listed>),
    /// Addresses from the settings.
    Seeds(Vec<String>),
    /// This process has a new version of an item, from the platform or of its own.
    Put(Item),
    /// Another process asks; its task numbered the call.
    Asked {
        /// The task's number of the call.
        call: CallId,
        /// What is asked.
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
    /// This process begins to stop: it takes no new duty.
    Leave,
    /// This process has handed its duties over and ends.
    Stop,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call another process.
    Ask {
        /// The number to answer with.
        call: CallId,
        /// `IP:port`.
        address: String,
        /// What to ask.
        envelope: Envelope,
        /// How long the answer may take.
        within: Duration,
    },
    /// Answer a call of [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        envelope: Envelope,
    },
    /// A member's standing changed, for the log and the time line.
    Changed(Update),
    /// A version of an item is in force here from now on.
    Accepted(Item),
    /// An item has lasted its time.
    Expired(Id),
}

/// Whose call it was.
#[derive(Clone, Copy, Debug)]
enum Part {
    Member(membership::CallId),
    Spread(spread::CallId),
    Push,
}

/// What a peer was last heard to hold.
#[derive(Clone, Copy, Debug)]
struct Heard {
    digest: Digest,
    at: Duration,
}

/// How many of the peers heard lately hold the very same versions as this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// Peers heard within the span.
    pub heard: usize,
    /// Addresses of those that hold other versions.
    pub differ: Vec<String>,
}

/// One process's membership and items.
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
    calls: IndexMap<CallId, Part>,
    heard: IndexMap<String, Heard>,
    next_call: CallId,
}

impl Gossip {
    /// Creates the parts of a process that knows only itself and holds nothing.
    pub fn new(me: Peer, timing: Timing, limits: Limits, seed: u64) -> Self {
        Self {
            members: Membership::new(me, timing, seed),
            store: Store::new(limits),
            calls: IndexMap::new(),
            heard: IndexMap::new(),
            next_call: 0,
        }
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.members
    }

    /// Returns the items.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the items, to say which are left out.
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Takes an event in and returns what is to be done, in order.
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
                self.member(now, membership::Event::Tick, &mut effects);
                self.spread(now, spread::Event::Tick, &mut effects);
            }
            Event::List(list) => self.member(now, membership::Event::List(list), &mut effects),
            Event::Seeds(seeds) => self.member(now, membership::Event::Seeds(seeds), &mut effects),
            Event::Put(item) => self.spread(now, spread::Event::Put(item), &mut effects),
            Event::Asked { call, envelope } => self.asked(now, call, envelope, &mut effects),
            Event::Answered { call, envelope } => self.answered(now, call, envelope, &mut effects),
            Event::Failed { call } => self.failed(now, call, &mut effects),
            Event::Leave => self.member(now, membership::Event::Leave, &mut effects),
            Event::Stop => self.member(now, membership::Event::Stop, &mut effects),
        }
        effects
    }

    /// Returns how many of the peers heard within a span hold the same versions.
    ///
    /// A peer is heard whenever it probes this process or answers its probe; the sample is of up to
    /// 64 peers, the latest heard.
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
            self.heard
                .iter()
                .filter(move |(_, heard)| heard.at + span >= now)
        };
        Agreement {
            heard: recent().count(),
            differ: recent()
                .filter(|(_, heard)| heard.digest != own)
                .map(|(address, _)| address.clone())
                .collect(),
        }
    }

    /// Hands an event to the membership.
    fn member(&mut self, now: Duration, event: membership::Event, effects: &mut Vec<Effect>) {
        for effect in self.members.on(now, event) {
            match effect {
                membership::Effect::Ask {
                    call,
                    address,
                    message,
                    within,
                } => {
                    let content = Content::Member(message);
                    self.ask(Part::Member(call), address, content, within, effects);
                }
                membership::Effect::Answer { call, message } => {
                    let envelope = self.envelope(Content::Member(message));
                    effects.push(Effect::Answer { call, envelope });
                }
                membership::Effect::Changed(update) => effects.push(Effect::Changed(update)),
            }
        }
    }

    /// Hands an event to the store.
    fn spread(&mut self, now: Duration, event: spread::Event, effects: &mut Vec<Effect>) {
        for effect in self.store.on(now, event) {
            match effect {
                spread::Effect::Ask {
                    call,
                    address,
                    message,
                } => {
                    let content = Content::Spread(message);
                    self.ask(Part::Spread(call), address, content, ITEMS_TIMEOUT, effects);
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

    /// Tells news to members chosen at random.
    fn push(&mut self, count: usize, message: &spread::Message, effects: &mut Vec<Effect>) {
        for peer in self.members.sample(count) {
            let content = Content::Spread(message.clone());
            self.ask(Part::Push, peer.address, content, ITEMS_TIMEOUT, effects);
        }
    }

    /// Takes another process's call in.
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
                self.member(now, membership::Event::Asked { call, message }, effects);
                self.hear(now, address, digest, effects);
            }
            Content::Spread(message) => {
                let event = spread::Event::Asked {
                    call,
                    address,
                    message,
                };
                self.spread(now, event, effects);
            }
        }
    }

    /// Takes the answer to a call in.
    fn answered(
        &mut self,
        now: Duration,
        call: CallId,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) {
        let Some(part) = self.calls.swap_remove(&call) else {
            return;
        };
        match (part, envelope.content) {
            (Part::Member(call), Content::Member(message)) => {
                self.member(now, membership::Event::Answered { call, message }, effects);
                self.hear(now, envelope.address, envelope.digest, effects);
            }
            (Part::Spread(call), Content::Spread(message)) => {
                self.spread(now, spread::Event::Answered { call, message }, effects);
            }
            (Part::Push, _) => {}
            (part, _) => self.end(now, part, effects),
        }
    }

    /// Takes the failure of a call in.
    fn failed(&mut self, now: Duration, call: CallId, effects: &mut Vec<Effect>) {
        if let Some(part) = self.calls.swap_remove(&call) {
            self.end(now, part, effects);
        }
    }

    /// Tells a part that its call failed.
    fn end(&mut self, now: Duration, part: Part, effects: &mut Vec<Effect>) {
        match part {
            Part::Member(call) => self.member(now, membership::Event::Failed { call }, effects),
            Part::Spread(call) => self.spread(now, spread::Event::Failed { call }, effects),
            Part::Push => {}
        }
    }

    /// Notes what a peer holds, and has the store compare.
    fn hear(&mut self, now: Duration, address: String, digest: Digest, effects: &mut Vec<Effect>) {
        self.heard.shift_remove(&address);
        self.heard
            .insert(address.clone(), Heard { digest, at: now });
        if self.heard.len() > MOST_HEARD {
            self.heard.shift_remove_index(0);
        }
        self.spread(now, spread::Event::Digest { address, digest }, effects);
    }

    /// Makes a call.
    fn ask(
        &mut self,
        part: Part,
        address: String,
        content: Content,
        within: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.next_call += 1;
        self.calls.insert(self.next_call, part);
        let envelope = self.envelope(content);
        effects.push(Effect::Ask {
            call: self.next_call,
            address,
            envelope,
            within,
        });
    }

    /// Wraps a message.
    fn envelope(&self, content: Content) -> Envelope {
        Envelope {
            address: self.members.me().address.clone(),
            digest: self.store.digest(),
            content,
        }
    }
}
