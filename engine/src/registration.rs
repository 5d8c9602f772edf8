//! Keeps this VM's entry in the store, under a lease that it renews.
//!
//! The renewals are also the store health check.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::future;

use crate::{
    fleet::{StoreKeys, Vm},
    health::Health,
    report::Report,
    store::{Error, LeaseId, Put, Store, Transaction},
};

/// The duration of the entry's lease: no safety property relies on it, and each renewal is charged.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// The time between two renewals while this VM follows the store itself.
///
/// A renewal shows within a second or two that the store is unreachable; a configuration must be in
/// force two seconds after the store has accepted it.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two renewals while the manager relays changes: the lease outlasts two lost renewals.
const RELAYED_RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// The dependencies of the task.
#[derive(Clone)]
pub struct Context {
    /// This VM's entry for this process.
    pub vm: Vm,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The engine's own keys in the store.
    pub keys: Rc<StoreKeys>,
    /// Whether the store answers this VM; updated here.
    pub store_health: Health,
    /// Whether the manager answers and relays changes.
    pub manager_health: Health,
    /// The clock.
    pub clock: Clock,
    /// The log and the metrics.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// Removes the entry when the process stops.
#[derive(Clone, Debug)]
pub struct Handle {
    context: Context,
    lease: Rc<Cell<Option<LeaseId>>>,
    ended: Rc<Cell<bool>>,
}

impl Handle {
    /// Removes the entry by ending its lease; after a failure the entry stays until the lease expires.
    pub async fn end(&self) {
        const TIMEOUT: Duration = Duration::from_millis(300);
        self.ended.set(true);
        let Some(lease) = self.lease.take() else {
            return;
        };
        let ended = self
            .context
            .clock
            .timeout(TIMEOUT, self.context.store.end(lease))
            .await;
        if !matches!(ended, Ok(Ok(()))) {
            self.context
                .report
                .line("event=entry-left cause=the store did not answer");
        }
    }
}

/// Starts the task that announces this VM and renews the lease.
pub fn start(context: Context) -> Handle {
    let handle = Handle {
        context,
        lease: Rc::default(),
        ended: Rc::default(),
    };
    let own = handle.clone();
    compio::runtime::spawn(async move { own.run().await }).detach();
    handle
}

impl Handle {
    async fn run(self) {
        while !self.ended.get() {
            let sent = self.context.clock.now();
            let result = match self.lease.get() {
                None => self.announce().await,
                Some(lease) => self.context.store.renew(lease).await.map(|_| ()),
            };
            let answered = matches!(result, Ok(()) | Err(Error::NoLease(_)));
            let was_healthy = self.context.store_health.is_healthy();
            self.context.store_health.record_outcome(answered);
            if answered {
                self.context.store_health.record_answer(sent);
            }
            if answered && !was_healthy {
                self.context.report.line("event=pulse-back");
            }
            let delay = match result {
                Ok(()) => RENEW_INTERVAL,
                Err(Error::NoLease(_)) => {
                    self.lease.set(None);
                    Duration::ZERO
                }
                Err(error) => {
                    if was_healthy {
                        let line = format!("event=pulse-lost {error}");
                        self.context.report.line(&line);
                    }
                    RETRY_DELAY
                }
            };
            self.wait(delay).await;
        }
    }

    /// Waits until the next call: `delay`, or longer for as long as the manager relays changes.
    async fn wait(&self, delay: Duration) {
        let context = &self.context;
        if delay.is_zero() || !context.manager_health.is_healthy() {
            context.clock.sleep(delay).await;
            return;
        }
        let unhealthy = Box::pin(context.manager_health.wait_unhealthy());
        future::select(
            Box::pin(context.clock.sleep(RELAYED_RENEW_INTERVAL)),
            unhealthy,
        )
        .await;
    }

    async fn announce(&self) -> Result<(), Error> {
        let context = &self.context;
        let lease = context.store.lease(LEASE_DURATION).await?;
        let put = Put {
            key: context.keys.vm(&context.vm.name),
            value: context.vm.encode(),
            lease: Some(lease.id),
        };
        let transaction = Transaction {
            puts: vec![put],
            ..Transaction::default()
        };
        context.store.commit(transaction).await?;
        self.lease.set(Some(lease.id));
        Ok(())
    }
}
