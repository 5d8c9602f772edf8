//! Distribution of versioned items to all processes, by push and by comparison on every probe.
//!
//! An item is a document, a group's record, a handover, a suspect request, a view of orders or a
//! watcher's heartbeat. Of two versions of an item the higher always wins, at every process: a
//! process never returns to a lower version, whichever peer sends it.
//!
//! A process that obtains a new item sends it at once to [`Limits::fanout`] peers, chosen by
//! membership, and each of them passes it on once. This reaches nearly all processes. Any other
//! detects the difference on its next probe, since each probe carries the hash of all item versions:
//! if the hashes differ, the two processes compare hashes by kind and bucket, then versions, and
//! then fetch what is newer. A large value is only announced, by its version and size, and fetched
//! by the processes that need it, so that it is sent to each of them once.
//!
//! To bound memory, items of temporary use have a time to live, and removed items leave a tombstone
//! that expires.

mod buckets;
mod call;
mod exchange;
mod store;

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::Version;
pub use crate::spread::store::Store;

/// Call number, unique within the process that assigned it.
pub type CallId = u64;
/// Hash of the versions of all items that a process holds.
pub type Digest = u64;

/// Kind of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A service's document.
    Document,
    /// A group's record.
    Record,
    /// A range's handover.
    Handover,
    /// A request that is suspected of crashing targets.
    Suspect,
    /// The view of an order shard: which VMs store its orders.
    View,
    /// Heartbeat of a failure domain's watchers, sent while the platform answers.
    Watch,
}

/// Identity of an item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Id {
    /// Kind of the item.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

/// The version of an item, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ItemVersion {
    /// The item.
    pub id: Id,
    /// The version.
    pub version: Version,
}

/// A version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The item.
    pub id: Id,
    /// Its version; newer versions are higher.
    pub version: Version,
    /// Its content.
    pub content: Content,
    /// Remaining time to live; without one, the item stays until a higher version replaces it.
    pub left: Option<Duration>,
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The value.
    Value(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The size in bytes of a value that is to be fetched if needed.
    Announced(usize),
    /// No value: the item was removed.
    Removed,
}

/// A request or a response between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Items that are new to the sender.
    News(Vec<Item>),
    /// Asks for items.
    Fetch(Vec<Id>),
    /// Asks for the versions in the buckets whose hashes differ from these.
    Compare(IndexMap<Kind, Vec<u64>>),
    /// Responds to [`Message::Compare`].
    Versions(Vec<ItemVersion>),
    /// Responds to [`Message::News`].
    Done,
}

/// An input of a [`Store`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// This process obtained or produced a new version of an item.
    Put(Item),
    /// A request from another process.
    Asked {
        /// Call number, assigned by the task that owns the store.
        call: CallId,
        /// `IP:port` at which peers call the sender.
        address: String,
        /// The request.
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
    /// Another process sent the hash of its item versions.
    Digest {
        /// `IP:port` at which peers call it.
        address: String,
        /// The hash.
        digest: Digest,
    },
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
        message: Message,
    },
    /// Answer the request of an [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// Send a message to peers chosen by membership; their responses are ignored.
    Push {
        /// Number of peers.
        count: usize,
        /// The message.
        message: Message,
    },
    /// This process now uses this version of an item.
    Accepted(Item),
    /// An item expired, or was dropped at [`Limits::lasting`], and is no longer stored.
    Expired(Id),
}

/// Limits and intervals of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Number of peers that a new item is sent to at once.
    pub fanout: usize,
    /// Largest value that is sent without being announced first, in bytes.
    pub inline: usize,
    /// Maximum total size of the values in one response, in bytes; a larger value is sent alone.
    pub answer: usize,
    /// Maximum number of versions or items in one message.
    pub list: usize,
    /// Maximum number of stored items that expire; beyond it, those that expire first are dropped.
    pub lasting: usize,
    /// Time to live of a tombstone.
    pub tombstone: Duration,
    /// Minimum interval between two comparisons.
    pub compare: Duration,
    /// An item with less remaining time to live is no longer sent to peers.
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
    /// Creates the identity of an item.
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
    /// Creates an item that stays until a higher version replaces it.
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

    /// Creates a tombstone; it expires after [`Limits::tombstone`].
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

    /// Sets the time to live of the item.
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
