//! Completion of attempts: updates limits, retry budgets, pools and the quarantine.

use std::time::Duration;

use http::StatusCode;

use super::{Router, TargetKey};
use crate::{
    entry::ticket::{Report, Ticket},
    id::{BootId, Version},
    limit::{admission, concurrency::Sample},
    peer,
    quarantine::{self, End, Incarnation},
    spread::{Id, Item, Kind},
    timeline::{self, Duty, stamp},
    vm::fleet,
};

impl Router {
    /// Records the status of a response, and the time until its head arrived.
    pub(super) fn on_head(&mut self, ticket: Ticket, status: StatusCode) {
        let now = self.parts.clock.now();
        if let Some(attempt) = self.in_flight.get_mut(&ticket) {
            attempt.head = Some((status, now.saturating_sub(attempt.sent)));
        }
    }

    /// Handles the end of an attempt: updates the target's limit, the budget, the pool and the quarantine.
    pub(super) fn on_done(&mut self, ticket: Ticket, report: &Report) {
        let Some(attempt) = self.in_flight.swap_remove(&ticket) else {
            return;
        };
        let now = self.parts.clock.now();
        let taken = now.saturating_sub(attempt.sent);
        let status = match report {
            Report::Answered(status) => Some(*status),
            Report::Ended => attempt.head.map(|(status, _)| status),
            _ => None,
        };
        let sample = sample(report, taken);
        let service = &attempt.name.0;
        if status.is_some() {
            let budget = self.budgets.entry(service.clone()).or_default();
            budget.succeeded(now);
        }
        if let Some(pool) = self.pools.get_mut(service) {
            let is_error = status.is_some_and(|status| status.is_server_error());
            pool.ended(now, &attempt.name.1, ticket, sample, is_error);
        }
        let end = match report {
            Report::Answered(_) | Report::Ended => End::Completed,
            Report::Lost | Report::Abandoned => End::Lost,
            Report::Refused(_) | Report::Unsent(_) => End::NotRun,
        };
        let event = quarantine::Event::Ended { ticket, end };
        let items = self.quarantine.on(stamp::wall(), event);
        self.publish_suspects(items);
        if matches!(report, Report::Unsent(true)) {
            // The target refuses connections, so it has died, and its requests in flight are suspects.
            self.on_target_death(&attempt.name, attempt.boot);
        }
        self.on_queue_event(
            now,
            &attempt.name,
            admission::Event::Ended { ticket, sample },
        );
    }

    /// Marks the requests that were in flight at a dead target as suspects, and publishes them.
    pub(super) fn on_target_death(&mut self, name: &TargetKey, boot: BootId) {
        let target = name.1.clone();
        let death = Incarnation { target, boot };
        let items = self
            .quarantine
            .on(stamp::wall(), quarantine::Event::Died(death));
        for item in &items {
            let kind = timeline::Kind::Quarantined;
            let event = timeline::Event::new(Duty::Entry, "quarantine", kind);
            let event = event.service(name.0.as_str()).target(name.1.as_str());
            let cause = format!("suspect={:x} boot={}", item.fingerprint, item.death.boot);
            self.parts.recorder.event(event.cause(cause.as_str()));
        }
        self.publish_suspects(items);
    }

    /// Publishes suspects to all VMs; a cleared suspect is a newer version of the same item.
    pub(super) fn publish_suspects(&self, items: Vec<quarantine::Suspect>) {
        for item in items {
            let Ok(bytes) = peer::encode(&vec![item.clone()]) else {
                continue;
            };
            let death = &item.death;
            let name = format!("{:x}/{}/{}", item.fingerprint, death.target, death.boot);
            let version = 1 + Version::from(item.cleared);
            let item = Item::new(Id::new(Kind::Suspect, name), version, bytes.to_vec());
            let item = item.with_ttl(quarantine::EXPIRY);
            let _ = self
                .parts
                .tasks
                .fleet
                .unbounded_send(fleet::Message::Put(item));
        }
    }

    /// Passes suspects from other VMs to the quarantine.
    pub(super) fn on_suspects(&mut self, items: Vec<quarantine::Suspect>) {
        let wall = stamp::wall();
        self.quarantine.on(wall, quarantine::Event::Received(items));
    }
}

fn sample(report: &Report, taken: Duration) -> Sample {
    match report {
        Report::Answered(_) | Report::Ended => Sample::Answered(taken),
        // A target that doesn't own the key isn't overloaded.
        Report::Refused(refusal) if refusal.is_misdirected() => Sample::Cancelled,
        Report::Refused(_) => Sample::Shed,
        Report::Unsent(_) => Sample::Unreachable,
        Report::Lost => Sample::Lost,
        Report::Abandoned => Sample::Cancelled,
    }
}
