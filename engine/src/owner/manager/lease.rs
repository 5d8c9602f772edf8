//! The manager's lease: bids, renewals, and resignation.

use std::time::Duration;

use super::{Manager, Message, RETRY_DELAY};
use crate::{
    fleet::Vm,
    owner::{calls, ownership::Event},
    store::{Error, Lease, Transaction},
};

/// How many renewals are sent within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// The maximum time between two renewals: their responses show that the manager reaches the store, and the other VMs
/// rely on the manager for changes of the store.
const MAX_RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// How long a manager that resigns waits for its last writes.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(600);

impl Manager {
    /// Bids for the lease when no VM holds it, after a delay that differs by VM.
    pub(super) fn bid_if_vacant(&mut self, now: Duration) {
        let fleet = self.context.shared_fleet.get();
        let vacant = fleet.manager.is_none() && fleet.is_ready() && self.lease.is_none();
        if self.context.reach.is_cut_off() {
            // Its grants would reach no target.
            self.bid_at = None;
            return;
        }
        if !vacant || self.bidding || self.stopping.is_some() {
            return;
        }
        let was_manager = !self.services.is_empty();
        let due = *self.bid_at.get_or_insert_with(|| {
            now + calls::bid_delay(&fleet, &self.context.vm, was_manager, now)
        });
        if now < due {
            return;
        }
        self.bidding = true;
        self.timing = self.context.lease_limits.timing(fleet.vms.len());
        let duration = self.timing.lease;
        self.bid_at = Some(now + RETRY_DELAY);
        let (context, sender) = (self.context.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let sent = context.clock.now();
            let result = calls::bid(&context, duration).await;
            // The receiver exists as long as the process, so sending can't fail.
            let _ = sender.unbounded_send(Message::BidEnded(result, sent));
        })
        .detach();
    }

    /// Removes the manager's entry of an earlier process of this VM, so that VMs can bid for the lease at once.
    ///
    /// Load pattern: all VMs lose power and restart within a second, before the lease has expired.
    pub(super) fn remove_stale_entry(&mut self, now: Duration) {
        let own = &self.context.vm;
        let fleet = self.context.shared_fleet.get();
        let is_stale = |vm: &Vm| vm.name == own.name && vm.start != own.start;
        if now < self.cleanup_at || !fleet.manager.as_ref().is_some_and(is_stale) {
            return;
        }
        self.cleanup_at = now + RETRY_DELAY;
        let context = self.context.clone();
        compio::runtime::spawn(async move {
            let outcome = match calls::remove_stale_entry(&context).await {
                Ok(removed) => format!("cleared={removed}"),
                Err(error) => format!("{error}"),
            };
            let line = format!("event=earlier-lease {outcome}");
            context.report.line(&line);
        })
        .detach();
    }

    /// Returns the time between two renewals of the lease.
    fn renew_interval(&self) -> Duration {
        (self.timing.lease / RENEWALS_PER_LEASE).min(MAX_RENEW_INTERVAL)
    }

    /// Drops the lease: this VM isn't the manager any more.
    pub(super) fn drop_lease(&mut self) {
        self.lease = None;
        self.context.is_manager.set(false);
    }

    /// Handles the end of a bid, which was sent at `sent`; on success this VM is the manager.
    pub(super) fn bid_ended(&mut self, result: Result<Option<Lease>, Error>, sent: Duration) {
        self.bidding = false;
        match result {
            Ok(Some(lease)) => {
                self.log(&format!("event=manager-elected lease={}", lease.id));
                self.lease = Some((lease.id, sent + lease.duration));
                self.context.is_manager.set(true);
                self.renew_at = self.now() + self.renew_interval();
                // Services from an earlier lease are resumed if their records are unchanged.
                for managed in self.services.values_mut() {
                    managed.verified = false;
                }
            }
            Ok(None) => {}
            Err(error) => self.log(&format!("event=bid-failed {error}")),
        }
    }

    /// Renews the lease in time, and stops acting as the manager when it has expired.
    pub(super) fn renew_lease(&mut self, now: Duration) {
        let Some((id, until)) = self.lease else {
            return;
        };
        if now >= until && self.context.is_manager.replace(false) {
            // The lease may still exist in the store, where expiry can be suspended; the next renewal shows whether
            // it does.
            self.log("event=lease-uncertain cause=not-renewed-in-time");
        }
        if now < self.renew_at {
            return;
        }
        self.renew_at = now + self.renew_interval();
        let (context, sender) = (self.context.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let sent = context.clock.now();
            let result = context.store.renew(id).await;
            let _ = sender.unbounded_send(Message::RenewalEnded(result, sent));
        })
        .detach();
    }

    /// Handles the end of a renewal, which was sent at `sent`.
    pub(super) fn renewal_ended(&mut self, result: Result<Duration, Error>, sent: Duration) {
        match result {
            Ok(duration) => {
                self.context.store_health.record_answer(sent);
                let Some((_, until)) = &mut self.lease else {
                    return;
                };
                *until = (*until).max(sent + duration);
                self.extend_grants();
            }
            Err(Error::NoLease(_)) => {
                self.log("event=lease-lost cause=ended-in-store");
                self.drop_lease();
            }
            Err(error) => self.log(&format!("event=renewal-failed {error}")),
        }
    }

    /// Passes the end of the lease to all verified services, so that they continue to grant.
    pub(super) fn extend_grants(&mut self) {
        let Some((_, until)) = self.lease else {
            return;
        };
        if self.now() < until && !self.context.is_manager.replace(true) {
            self.log("event=lease-regained");
        }
        let verified = self.services.iter().filter(|(_, managed)| managed.verified);
        let services: Vec<_> = verified.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.handle_event(&service, Event::LeaseExtended(until));
        }
    }

    /// Resigns if this VM reaches no target, while others do: it can't renew any grant.
    pub(super) async fn yield_if_cut_off(&mut self) {
        if self.lease.is_some() && self.context.reach.is_cut_off() {
            self.log("event=manager-yields cause=targets-unreachable");
            self.resign().await;
        }
    }

    /// Resigns: stops all grants, writes that into the records and ends the lease.
    pub(super) async fn resign(&mut self) -> bool {
        let context = self.context.clone();
        let era = self.era();
        let work = async {
            for (service, managed) in &mut self.services {
                let record = managed.ownership.resign(context.clock.now());
                // In a later era the revision that this VM knows may have been given out again.
                let Some(record) = record.filter(|it| it.era() >= era) else {
                    continue;
                };
                let key = context.keys.record(service);
                let transaction = Transaction::replace(key, managed.revision, record.encode());
                let result = context.store.commit(transaction).await;
                if let Err(error) = result {
                    context
                        .report
                        .line(&format!("event=resign-failed service={service} {error}"));
                }
            }
            if let Some((id, _)) = self.lease {
                let ended = context.store.end(id).await;
                context
                    .report
                    .line(&format!("event=manager-resigned ended={}", ended.is_ok()));
            }
        };
        // Whatever could not be written in time is covered by the expiry of the lease.
        let _ = context.clock.timeout(RESIGN_TIMEOUT, work).await;
        self.services.clear();
        self.drop_lease();
        if let Some(done) = self.stopping.take() {
            let _ = done.send(());
        }
        true
    }
}
