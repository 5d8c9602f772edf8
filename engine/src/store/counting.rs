//! A wrapper of a store that counts its calls by kind and logs its eras.

use std::{cell::Cell, rc::Rc, time::Duration};

use super::{
    Commit, Era, Item, Lease, LeaseId, Listing, Read, Reply, Revision, Store, Transaction,
    WatchBatch,
};
use crate::report::Report;

/// The name of the counter of calls; its tag is the kind of call.
const CALLS_METRIC: &str = "store.calls";

/// Forwards calls to a store and counts them: the platform charges for each call.
#[derive(Clone)]
pub struct CountingStore {
    store: Rc<dyn Store>,
    report: Report,
    /// The latest era in the log.
    logged_era: Rc<Cell<Era>>,
}

impl std::fmt::Debug for CountingStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CountingStore")
    }
}

impl CountingStore {
    /// Wraps a store; the calls are counted in `report`.
    pub fn new(store: Rc<dyn Store>, report: Report) -> Self {
        Self {
            store,
            report,
            logged_era: Rc::default(),
        }
    }

    /// Counts a call, and logs a new era once the call has ended.
    fn observe<'a, T>(&'a self, kind: &'static str, call: Reply<'a, T>) -> Reply<'a, T>
    where
        T: 'a,
    {
        self.report.count(CALLS_METRIC, &[("kind", kind)]);
        Box::pin(async move {
            let result = call.await;
            let era = self.store.era();
            let before = self.logged_era.replace(era);
            if era != before {
                let line = format!("event=store-era era={era} before={before} step={kind}");
                self.report.line(&line);
            }
            result
        })
    }
}

impl Store for CountingStore {
    fn era(&self) -> Era {
        self.store.era()
    }

    fn get<'a>(&'a self, key: &'a str) -> Reply<'a, Option<Item>> {
        self.observe("get", self.store.get(key))
    }

    fn list<'a>(&'a self, prefix: &'a str, read: Read) -> Reply<'a, Listing> {
        self.observe("list", self.store.list(prefix, read))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> Reply<'a, WatchBatch> {
        self.observe("watch", self.store.watch(prefix, after, wait))
    }

    fn commit(&self, transaction: Transaction) -> Reply<'_, Commit> {
        self.observe("commit", self.store.commit(transaction))
    }

    fn lease(&self, duration: Duration) -> Reply<'_, Lease> {
        self.observe("lease", self.store.lease(duration))
    }

    fn renew(&self, id: LeaseId) -> Reply<'_, Duration> {
        self.observe("renew", self.store.renew(id))
    }

    fn end(&self, id: LeaseId) -> Reply<'_, ()> {
        self.observe("end", self.store.end(id))
    }
}
