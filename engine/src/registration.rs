//! This VM's own entry in the store, under a lease.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_util::future;

use crate::{
    fleet::{StoreKeys, Vm},
    health::Health,
    report::Report,
    store::{Error, LeaseId, Put, Store, Transaction},
};

/// How long the entry's lease lasts: nothing safe rests on it, and each renewal is paid for.
const LEASE: Duration = Duration::from_secs(10);
/// The time from one renewal to the next while this VM follows the store itself.
///
/// A renewal shows within a second or two that the store is out of reach; a configuration must be in
/// force two seconds after the store has accepted it.
const RENEW: Duration = Duration::from_secs(1);
/// The time from one renewal to the next while the manager tells what is new: two that are lost are borne.
const RENEW_TOLD: Duration = Duration::from_secs(3);
/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(600);

/// What the task needs.
#[derive(Clone)]
pub struct Context {
    /// This start of this VM.
    pub vm: Vm,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Keys in the store.
    pub keys: Rc<StoreKeys>,
    /// Whether the store answers; told here.
    pub store_health: Health,
    /// Whether the manager is heard.
    pub manager_health: Health,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// Ends the entry when the process stops.
#[derive(Clone, Debug)]
pub struct Handle {
    context: Context,
    lease: Rc<Cell<Option<LeaseId>>>,
    ended: Rc<Cell<bool>>,
}

impl Handle {
    /// Ends the entry; a failure is left to the lease's own end.
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

/// Starts the task that keeps the entry.
pub fn start(context: Context) -> Handle {
    let handle = Handle {
        context,
        lease: Rc::default(),
        ended: Rc::default(),
    };
    let own = handle.clone();
    compio::runtime::spawn(async move { own.keep().await }).detach();
    handle
}

impl Handle {
    async fn keep(self) {
        while !self.ended.get() {
            let sent = self.context.clock.now();
            let result = match self.lease.get() {
                None => self.announce().await,
                Some(lease) => self.context.store.renew(lease).await.map(|_| ()),
            };
            let answered = matches!(result, Ok(()) | Err(Error::NoLease(_)));
            let was_well = self.context.store_health.is_healthy();
            self.context.store_health.record_outcome(answered);
            if answered {
                self.context.store_health.record_answer(sent);
            }
            if answered && !was_well {
                self.context.report.line("event=pulse-back");
            }
            let span = match result {
                Ok(()) => RENEW,
                Err(Error::NoLease(_)) => {
                    self.lease.set(None);
                    Duration::ZERO
                }
                Err(error) => {
                    if was_well {
                        let line = format!("event=pulse-lost {error}");
                        self.context.report.line(&line);
                    }
                    PAUSE
                }
            };
            self.rest(span).await;
        }
    }

    /// Waits until the next call: longer while the manager tells what is new, no longer than that.
    async fn rest(&self, span: Duration) {
        let context = &self.context;
        if span.is_zero() || !context.manager_health.is_healthy() {
            context.clock.sleep(span).await;
            return;
        }
        let unheard = Box::pin(context.manager_health.ill());
        future::select(Box::pin(context.clock.sleep(RENEW_TOLD)), unheard).await;
    }

    async fn announce(&self) -> Result<(), Error> {
        let context = &self.context;
        let lease = context.store.lease(LEASE).await?;
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
