//! The interface of the platform's key-value store.
//!
//! An adapter implements [`Store`]; its calls are linearizable, except reads with [`Read::Stale`].

mod counting;

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::counting::CountingStore;

/// The number of changes of the store so far, which never decreases within an [`Era`].
pub type Revision = u64;
/// How often the store has come back older than it was: each time it has lost its latest changes and leases, and gives
/// out their revisions again.
///
/// Revisions can be compared within an era only. 0 if the platform doesn't tell.
pub type Era = u64;
/// The id of a lease.
pub type LeaseId = u64;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The call had no effect: the store refused it or could not be reached.
        NotApplied(step: &'static str, reason: String) {
            display("step={step} peer=store cause={reason}")
        }
        /// The call may have taken effect, or may still take effect.
        OutcomeUnknown(step: &'static str, reason: String) {
            display("step={step} peer=store cause={reason}; the call may have taken effect")
        }
        /// The store has dropped the history that a watch asked for.
        Compacted(step: &'static str) {
            display("step={step} peer=store cause=the requested history was dropped")
        }
        /// The lease has ended.
        NoLease(step: &'static str) {
            display("step={step} peer=store cause=the lease has ended")
        }
    }
}

/// A stored item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// The revision of its last write.
    pub revision: Revision,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Returns the key that changed.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::store::Change;
    ///
    /// let change = Change::Removed { key: "a".into(), revision: 1 };
    /// assert_eq!(change.key(), "a");
    /// ```
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }
}

/// All items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items, by key.
    pub items: Vec<Item>,
    /// The revision after which a watch returns all changes that the listing lacks.
    pub revision: Revision,
    /// The era of its revisions.
    pub era: Era,
}

/// The changes that one watch returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision after which the next watch continues.
    pub revision: Revision,
    /// The era of its revisions.
    pub era: Era,
}

/// How recent the result of a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The current state.
    Fresh,
    /// A state that may be seconds old; such a read costs a tenth of a fresh one.
    Stale,
}

/// One value to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease with whose end the key is removed; `None` for a key without a lease.
    pub lease: Option<LeaseId>,
}

/// Changes that take effect together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revision that each key must have; 0 if the key must not exist.
    pub expected: IndexMap<String, Revision>,
    /// The values to write.
    pub puts: Vec<Put>,
    /// The keys to remove.
    pub removes: Vec<String>,
}

impl Transaction {
    /// Creates a transaction that writes one value without a lease, if its key still has a given revision.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::store::Transaction;
    ///
    /// let transaction = Transaction::replace("a".to_owned(), 7, vec![1]);
    /// assert_eq!(transaction.expected["a"], 7);
    /// ```
    pub fn replace(key: String, revision: Revision, value: Vec<u8>) -> Self {
        Self {
            expected: [(key.clone(), revision)].into_iter().collect(),
            puts: vec![Put {
                key,
                value,
                lease: None,
            }],
            removes: Vec::new(),
        }
    }
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect at this revision.
    Done(Revision),
    /// It had no effect: these are the current items of the expected keys.
    Conflict(Vec<Item>),
}

/// A lease that the store has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// How long it lasts, from the time when the call arrived.
    pub duration: Duration,
}

/// The future result of a call to the store.
pub type Reply<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;

/// The platform's store; implemented once for each platform.
pub trait Store {
    /// Returns the latest era that a response has told.
    fn era(&self) -> Era;

    /// Reads one item; `None` if the key doesn't exist.
    fn get<'a>(&'a self, key: &'a str) -> Reply<'a, Option<Item>>;

    /// Lists all items under a prefix, page by page.
    fn list<'a>(&'a self, prefix: &'a str, read: Read) -> Reply<'a, Listing>;

    /// Waits up to `wait` for changes under a prefix after a revision, and returns them.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> Reply<'a, WatchBatch>;

    /// Runs a transaction.
    fn commit(&self, transaction: Transaction) -> Reply<'_, Commit>;

    /// Creates a lease that lasts for `duration`, if the store allows it.
    fn lease(&self, duration: Duration) -> Reply<'_, Lease>;

    /// Renews a lease; returns how long it lasts from now on.
    fn renew(&self, id: LeaseId) -> Reply<'_, Duration>;

    /// Ends a lease, and removes the keys that belong to it.
    fn end(&self, id: LeaseId) -> Reply<'_, ()>;
}
