//! A wrapper of a store that counts its calls by kind.

use std::{rc::Rc, time::Duration};

use super::{
    Commit, Item, Lease, LeaseId, Listing, Read, Reply, Revision, Store, Transaction, WatchBatch,
};
use crate::report::Report;

/// The name of the counter of calls; its tag is the kind of call.
const CALLS_METRIC: &str = "store.calls";

/// Forwards calls to a store and counts them: the platform charges for each call.
#[derive(Clone)]
pub struct CountingStore {
    store: Rc<dyn Store>,
    report: Report,
}

impl std::fmt::Debug for CountingStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CountingStore")
    }
}

impl CountingStore {
    /// Wraps a store; the calls are counted in `report`.
    pub fn new(store: Rc<dyn Store>, report: Report) -> Self {
        Self { store, report }
    }

    fn count(&self, kind: &str) {
        self.report.count(CALLS_METRIC, &[("kind", kind)]);
    }
}

impl Store for CountingStore {
    fn get<'a>(&'a self, key: &'a str) -> Reply<'a, Option<Item>> {
        self.count("get");
        self.store.get(key)
    }

    fn list<'a>(&'a self, prefix: &'a str, read: Read) -> Reply<'a, Listing> {
        self.count("list");
        self.store.list(prefix, read)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> Reply<'a, WatchBatch> {
        self.count("watch");
        self.store.watch(prefix, after, wait)
    }

    fn commit(&self, transaction: Transaction) -> Reply<'_, Commit> {
        self.count("commit");
        self.store.commit(transaction)
    }

    fn lease(&self, duration: Duration) -> Reply<'_, Lease> {
        self.count("lease");
        self.store.lease(duration)
    }

    fn renew(&self, id: LeaseId) -> Reply<'_, Duration> {
        self.count("renew");
        self.store.renew(id)
    }

    fn end(&self, id: LeaseId) -> Reply<'_, ()> {
        self.count("end");
        self.store.end(id)
    }
}
