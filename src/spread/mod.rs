//! How news reaches every process: versioned items, pushed at once and compared on every probe.
//!
//! An item is a document, a group's record, a handover, a suspect request or a view of orders. Of
//! two versions of an item the higher wins, at every process and for ever: a version in force never
//! goes back, whoever offers the older one.
//!
//! An item that is new to a process goes at once to [`Limits::fanout`] others, chosen by
//! membership; they pass it on once. That reaches nearly all. Whoever was missed finds out on its
//! next probe, since each carries the hash of all versions held: where the hashes differ, the two
//! compare hashes by kind and bucket, then versions, then fetch what is newer. A big item is
//! announced by its version and size and fetched by those that want it, so that it crosses to each
//! of them once.
//!
//! Items that are of use for a time carry how long they last, and removed ones leave a tombstone
//! that lasts; memory stays bounded.

mod buckets;
mod call;
mod exchange;
mod store;

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::Version;
pub use crate::spread::store::Store;

/// Number of a call, unique at the process that numbers it.
pub type CallId = u64;
/// Hash of all versions that a process holds.
pub type Digest = u64;

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A service's document.
    Document,
    /// A group's record.
    Record,
    /// A range's handover.
    Handover,
    /// A request suspected of stopping targets.
    Suspect,
    /// Who remembers the orders.
    View,
    /// When a failure domain's watchers last heard from the platform.
    Watch,
}

/// The name of an item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Id {
    /// What it is.
    pub kind: Kind,
    /// Which one.
    pub name: String,
}

/// An item's version, without what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ItemVersion {
    /// The item.
    pub id: Id,
    /// Its version.
    pub version: Version,
}

/// A version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The item.
    pub id: Id,
    /// Its version; it only grows.
    pub version: Version,
    /// What it holds.
    pub content: Content,
    /// How long it still lasts; without it, until a higher version comes.
    pub left: Option<Duration>,
}

/// What an item holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The value.
    Value(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A value of this size, to be fetched by those that want it.
    Announced(usize),
    /// Nothing: it was removed.
    Removed,
}

/// A message between two processes; a request, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Items that are new to the sender.
    News(Vec<Item>),
    /// Asks for items.
    Fetch(Vec<Id>),
    /// Asks for the versions in the buckets whose hashes differ.
    Compare(IndexMap<Kind, Vec<u64>>),
    /// Answers [`Message::Compare`].
    Versions(Vec<ItemVersion>),
    /// Answers [`Message::News`].
    Done,
}

/// What happens to a store.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This process has a new version of an item, from the platform or of its own.
    Put(Item),
    /// Another process asks; its task numbered the call.
    Asked {
        /// The task's number of the call.
        call: CallId,
        /// Where the other can be asked.
        address: String,
        /// What is asked.
        message: Message,
    },
    /// A call of [`Effect::Ask`] was answered.
    Answered {
        /// The number in the effect.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// A call of [`Effect::Ask`] failed or timed out.
    Failed {
        /// The number in the effect.
        call: CallId,
    },
    /// Another process told the hash of what it holds.
    Digest {
        /// Where it can be asked.
        address: String,
        /// The hash.
        digest: Digest,
    },
}

/// What a store wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call another process.
    Ask {
        /// The number to answer with.
        call: CallId,
        /// `IP:port`.
        address: String,
        /// What to ask.
        message: Message,
    },
    /// Answer a call of [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// Tell so many others, chosen by membership; what they answer doesn't matter.
    Push {
        /// How many.
        count: usize,
        /// What to tell.
        message: Message,
    },
    /// A version is in force here from now on.
    Accepted(Item),
    /// An item has lasted its time and is no longer held.
    Expired(Id),
}

/// The bounds of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// How many others a new item goes to at once.
    pub fanout: usize,
    /// A larger value is announced rather than sent, in bytes.
    pub inline: usize,
    /// The values of one answer together, in bytes; one larger value is sent alone.
    pub answer: usize,
    /// Versions or items in one message.
    pub list: usize,
    /// Items held that last for a time; beyond it, those that end first are dropped.
    pub lasting: usize,
    /// How long a tombstone lasts.
    pub tombstone: Duration,
    /// Between two comparisons.
    pub compare: Duration,
    /// An item that ends sooner is no longer offered to others.
    pub fading: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            fanout: 4,
            inline: 2_048,
            answer: 256 * 1_024,
            list: 512,
            lasting: 16_384,
            tombstone: Duration::from_hours(24),
            compare: Duration::from_millis(500),
            fading: Duration::from_secs(5),
        }
    }
}

impl Id {
    /// Creates the name of an item.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Id, Kind};
    ///
    /// assert_eq!(Id::new(Kind::Document, "tracking").name, "tracking");
    /// ```
    pub fn new<N>(kind: Kind, name: N) -> Self
    where
        N: Into<String>,
    {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl Item {
    /// Creates an item that stays until a higher version comes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Id, Item, Kind};
    ///
    /// let item = Item::new(Id::new(Kind::Document, "tracking"), 7, b"[service]".to_vec());
    /// assert!(item.left.is_none());
    /// ```
    pub fn new(id: Id, version: Version, bytes: Vec<u8>) -> Self {
        Self {
            id,
            version,
            content: Content::Value(bytes),
            left: None,
        }
    }

    /// Creates a tombstone, which lasts as long as the store's limits say.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Content, Id, Item, Kind};
    ///
    /// let item = Item::removed(Id::new(Kind::Document, "tracking"), 8);
    /// assert_eq!(item.content, Content::Removed);
    /// ```
    pub fn removed(id: Id, version: Version) -> Self {
        Self {
            id,
            version,
            content: Content::Removed,
            left: None,
        }
    }

    /// Limits how long the item lasts.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::spread::{Id, Item, Kind};
    ///
    /// let item = Item::new(Id::new(Kind::Suspect, "7f"), 1, Vec::new());
    /// let item = item.with_ttl(Duration::from_secs(60));
    /// assert_eq!(item.left, Some(Duration::from_secs(60)));
    /// ```
    #[must_use]
    pub fn with_ttl(self, left: Duration) -> Self {
        Self {
            left: Some(left),
            ..self
        }
    }
}
