//! The task that keeps the verdicts in the store while this VM is the manager.
//!
//! All processes may end at the same moment, and a request that ends targets comes again after that.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use indexmap::IndexMap;

use super::{Fingerprint, Quarantine, Run};
use crate::{
    fleet::{SharedFleet, StoreKeys},
    health::Health,
    report::Report,
    store::{Error, Put, Store, Transaction},
};

/// How often the store is compared with the verdicts; the rest of the fleet learns of them by messages.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long after a write the store's own word of it is awaited before it is repeated.
const REPEAT_DELAY: Duration = Duration::from_secs(3);
/// The maximum number of verdicts that the store holds.
const MAX_RECORDS: usize = 64;

/// The dependencies of the task.
#[derive(Clone)]
pub struct Context {
    /// This VM's suspects.
    pub quarantine: Quarantine,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The engine's own keys in the store.
    pub keys: Rc<StoreKeys>,
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// Whether the store answers this VM.
    pub store_health: Health,
    /// Whether this VM is the manager.
    pub is_manager: Rc<Cell<bool>>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Context")
    }
}

/// A difference between the verdicts and the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Difference {
    /// The store lacks a verdict.
    Missing(Fingerprint, Vec<Run>),
    /// The store holds a verdict on a request that has been acquitted.
    Outdated(Fingerprint),
}

/// Writes verdicts to the store and removes outdated ones, until the process ends.
pub async fn run(context: Context) {
    let mut written: IndexMap<Fingerprint, Duration> = IndexMap::new();
    loop {
        context.clock.sleep(CHECK_INTERVAL).await;
        if !context.is_manager.get() || !context.store_health.is_healthy() {
            continue;
        }
        for difference in context.differences() {
            let now = context.clock.now();
            let request = difference.request();
            written.retain(|_, at| now < *at + REPEAT_DELAY);
            if written.contains_key(&request) {
                continue;
            }
            written.insert(request, now);
            let result = context.write(difference).await;
            let outcome = match result {
                Ok(()) => "written".to_owned(),
                Err(error) => error.to_string(),
            };
            context
                .report
                .line(&format!("event=verdict-stored print={request} {outcome}"));
        }
    }
}

impl Difference {
    fn request(&self) -> Fingerprint {
        match self {
            Self::Missing(request, _) | Self::Outdated(request) => *request,
        }
    }
}

impl Context {
    /// Compares the verdicts with the store.
    fn differences(&self) -> Vec<Difference> {
        let fleet = self.shared_fleet.get();
        let stored = fleet.quarantined();
        let suspects = self.quarantine.suspects.borrow();
        let quarantined = suspects.quarantined();
        let outdated = stored
            .keys()
            .filter(|it| suspects.knows(**it) && !quarantined.contains_key(*it));
        let outdated: Vec<_> = outdated.map(|it| Difference::Outdated(*it)).collect();
        let free = MAX_RECORDS.saturating_sub(stored.len());
        let missing = quarantined
            .into_iter()
            .filter(|(request, _)| !stored.contains_key(request))
            .map(|(request, runs)| Difference::Missing(request, runs));
        missing.take(free).chain(outdated).collect()
    }

    async fn write(&self, difference: Difference) -> Result<(), Error> {
        let key = self.keys.quarantine(difference.request());
        let transaction = match difference {
            Difference::Missing(request, runs) => {
                let Some(remaining) = self.quarantine.remaining(request) else {
                    return Ok(());
                };
                let lease = self.store.lease(remaining).await?;
                let put = Put {
                    key,
                    // Encoding numbers can't fail.
                    value: rmp_serde::to_vec(&runs).unwrap_or_default(),
                    lease: Some(lease.id),
                };
                Transaction {
                    puts: vec![put],
                    ..Transaction::default()
                }
            }
            Difference::Outdated(_) => Transaction {
                removes: vec![key],
                ..Transaction::default()
            },
        };
        self.store.commit(transaction).await.map(|_| ())
    }
}
