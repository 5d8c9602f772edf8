//! The platform's key-value store, as the engine uses it.
//!
//! An adapter implements [`Store`]; its calls are linearizable unless [`Read::Stale`] is asked for.

mod counting;

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

pub use self::counting::CountingStore;

/// A count of the store's changes; it only grows.
pub type Revision = u64;
/// The id of a lease.
pub type LeaseId = u64;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The store did nothing: it refused, or could not be reached.
        NotApplied(step: &'static str, reason: String) {
            display("step={step} peer=store cause={reason}")
        }
        /// The call may have taken effect, or may still.
        OutcomeUnknown(step: &'static str, reason: String) {
            display("step={step} peer=store cause={reason}; it may have taken effect")
        }
        /// The store no longer has the history that a watch asked for.
        Compacted(step: &'static str) {
            display("step={step} peer=store cause=history is gone")
        }
        /// There is no such lease any more.
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
    /// When it was last written.
    pub revision: Revision,
}

/// What happened to one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Removed {
        /// The key.
        key: String,
        /// When.
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
    /// A revision from which a watch misses nothing that the listing lacks.
    pub revision: Revision,
}

/// What a watch heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// How fresh a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// As of now.
    Fresh,
    /// It may be seconds old, and costs a tenth.
    Stale,
}

/// One value to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease with which the key ends; none for a key that stays.
    pub lease: Option<LeaseId>,
}

/// Changes that take effect together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revision that each key must have; 0 where the key must not exist.
    pub expected: IndexMap<String, Revision>,
    /// Values to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

impl Transaction {
    /// Writes one value for good, if its key still stands at a revision.
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
    /// It didn't: these are the expected keys as they stand.
    Conflict(Vec<Item>),
}

/// A lease as granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// How long it lasts from the arrival of the call.
    pub duration: Duration,
}

/// The answer of a call to the store.
pub type Reply<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;

/// The platform's store; implemented once for each dialect.
pub trait Store {
    /// Reads one item; `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> Reply<'a, Option<Item>>;

    /// Lists all items under a prefix, page by page.
    fn list<'a>(&'a self, prefix: &'a str, read: Read) -> Reply<'a, Listing>;

    /// Waits until something under a prefix has changed after a revision, or the wait has passed.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> Reply<'a, WatchBatch>;

    /// Runs a transaction.
    fn commit(&self, transaction: Transaction) -> Reply<'_, Commit>;

    /// Takes a lease.
    fn lease(&self, span: Duration) -> Reply<'_, Lease>;

    /// Renews a lease and returns the span that it now lasts.
    fn renew(&self, id: LeaseId) -> Reply<'_, Duration>;

    /// Ends a lease, and with it the keys that it holds.
    fn end(&self, id: LeaseId) -> Reply<'_, ()>;
}
