//! The manager's lease: bids, renewals, and its end.

use std::time::Duration;

use super::{BID_PAUSE, Manager, Message};
use crate::{
    fleet::Vm,
    owner::{calls, ownership::Event},
    store::{Error, Lease, Transaction},
};

/// How many renewals fit into the lease.
const RENEWALS: u32 = 4;
/// The longest time between two renewals: by them the manager knows that it follows the store, and the other
/// VMs rest on its word.
const RENEW_MOST: Duration = Duration::from_millis(400);
/// How long a manager that stops waits for its last writes.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(600);

impl Manager {
    /// Bids for the lease when nobody has it, in an order that differs by VM.
    pub(super) fn seek(&mut self, now: Duration) {
        let fleet = self.context.shared_fleet.get();
        let vacant = fleet.manager.is_none() && fleet.is_ready() && self.lease.is_none();
        if !vacant || self.bidding || self.stopping.is_some() {
            return;
        }
        let due = *self
            .bid_due
            .get_or_insert_with(|| now + calls::bid_delay(&fleet, &self.context.vm));
        if now < due {
            return;
        }
        self.bidding = true;
        self.timing = self.context.spans.timing(fleet.vms.len());
        let span = self.timing.lease;
        self.bid_due = Some(now + BID_PAUSE);
        let (context, sender) = (self.context.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let sent = context.clock.now();
            let result = calls::bid(&context, span).await;
            // The manager's task ends with the process only.
            let _ = sender.unbounded_send(Message::Bid(result, sent));
        })
        .detach();
    }

    /// Ends what an earlier process of this VM holds of the lease, so that it can be bid for at once.
    ///
    /// Load pattern: all VMs lose power and come back within a second, and the lease outlasts that.
    pub(super) fn clear_earlier(&mut self, now: Duration) {
        let own = &self.context.vm;
        let fleet = self.context.shared_fleet.get();
        let earlier = |vm: &Vm| vm.name == own.name && vm.start != own.start;
        if now < self.clear_due || !fleet.manager.as_ref().is_some_and(earlier) {
            return;
        }
        self.clear_due = now + BID_PAUSE;
        let context = self.context.clone();
        compio::runtime::spawn(async move {
            let outcome = match calls::remove_stale_entry(&context).await {
                Ok(cleared) => format!("cleared={cleared}"),
                Err(error) => format!("{error}"),
            };
            let line = format!("event=earlier-lease {outcome}");
            context.report.line(&line);
        })
        .detach();
    }

    fn renew_pause(&self) -> Duration {
        (self.timing.lease / RENEWALS).min(RENEW_MOST)
    }

    pub(super) fn drop_lease(&mut self) {
        self.lease = None;
        self.context.leading.set(false);
    }

    pub(super) fn bid_ended(&mut self, result: Result<Option<Lease>, Error>, sent: Duration) {
        self.bidding = false;
        match result {
            Ok(Some(lease)) => {
                self.log(&format!("event=manager-elected lease={}", lease.id));
                self.lease = Some((lease.id, sent + lease.duration));
                self.context.leading.set(true);
                self.renew_due = self.now() + self.renew_pause();
                // What was kept under an earlier lease goes on if nobody has changed it since.
                for kept in self.kept.values_mut() {
                    kept.verified = false;
                }
            }
            Ok(None) => {}
            Err(error) => self.log(&format!("event=bid-failed {error}")),
        }
    }

    /// Renews the lease in time, and gives it up when it has run out.
    pub(super) fn keep_lease(&mut self, now: Duration) {
        let Some((id, until)) = self.lease else {
            return;
        };
        if now >= until && self.context.leading.replace(false) {
            // It may still stand in the store, whose leases can pause: only the store tells.
            self.log("event=lease-uncertain cause=not-renewed-in-time");
        }
        if now < self.renew_due {
            return;
        }
        self.renew_due = now + self.renew_pause();
        let (context, sender) = (self.context.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let sent = context.clock.now();
            let result = context.store.renew(id).await;
            let _ = sender.unbounded_send(Message::Renewed(result, sent));
        })
        .detach();
    }

    pub(super) fn renewed(&mut self, result: Result<Duration, Error>, sent: Duration) {
        match result {
            Ok(span) => {
                self.context.store_health.record_answer(sent);
                let Some((_, until)) = &mut self.lease else {
                    return;
                };
                *until = (*until).max(sent + span);
                self.extend();
            }
            Err(Error::NoLease(_)) => {
                self.log("event=lease-lost cause=ended-in-store");
                self.drop_lease();
            }
            Err(error) => self.log(&format!("event=renewal-failed {error}")),
        }
    }

    /// Lets keepers grant for as long as the lease holds.
    pub(super) fn extend(&mut self) {
        let Some((_, until)) = self.lease else {
            return;
        };
        if self.now() < until && !self.context.leading.replace(true) {
            self.log("event=lease-regained");
        }
        let verified = self.kept.iter().filter(|(_, kept)| kept.verified);
        let services: Vec<_> = verified.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.feed(&service, Event::LeaseExtended(until));
        }
    }

    /// Hands over: no grant leaves any more, the records say so, the lease ends.
    pub(super) async fn resigned(&mut self) -> bool {
        let context = self.context.clone();
        let work = async {
            for (service, kept) in &mut self.kept {
                let Some(record) = kept.keeper.resign(context.clock.now()) else {
                    continue;
                };
                let key = context.keys.record(service);
                let transaction = Transaction::replace(key, kept.revision, record.encode());
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
        // What could not be written in time is settled by the lease's own end.
        let _ = context.clock.timeout(RESIGN_TIMEOUT, work).await;
        self.kept.clear();
        self.drop_lease();
        if let Some(done) = self.stopping.take() {
            let _ = done.send(());
        }
        true
    }
}
