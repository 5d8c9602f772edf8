//! Admission: decides to which target a request goes, and when, or why it is refused.

use std::{net::SocketAddr, time::Duration};

use super::{Destination, InFlight, QueuedRequest, RouteError, Router, TargetKey, state::group_of};
use crate::{
    document::{Document, Fencing, Ownership},
    entry::ticket::{AdmissionRequest, DEFAULT_RETRY_AFTER, Message, Permit, Reply, Ticket},
    id::BootId,
    limit::{
        AdmissionQueue,
        admission::{self, RefusalReason},
        concurrency::{self, Sample, Slots},
    },
    metrics,
    quarantine::{self, Decision, Incarnation},
    request::{Step, Verdict},
    retry::FailedAttempt,
    timeline::stamp,
};

/// The first pause of a request whose key has no available owner; it doubles with each retry.
const OWNER_RETRY_MIN: Duration = Duration::from_millis(10);
/// The longest pause of a request whose key has no available owner.
const OWNER_RETRY_MAX: Duration = Duration::from_millis(80);
/// The longest pause before a suspect request that was admitted and had to wait again is retried.
const SUSPECT_RETRY_MAX: Duration = Duration::from_millis(100);
/// Deaths of a shared service's target within this time count as one, as such targets report no boot id.
const DEATH_WINDOW: Duration = Duration::from_secs(10);

impl Router {
    /// Admits a new request, or decides whether an earlier one may be retried.
    pub(super) fn admit(&mut self, request: Box<AdmissionRequest>, reply: Reply) {
        let Some(last) = request.history.last.clone() else {
            return self.route(request, reply);
        };
        if last.misdirected {
            // The owner is changing. Nothing ran, so the request waits for the new owner.
            return self.wait_for_owner(request, reply, Step::Grant, "the key's owner is changing");
        }
        let failed = FailedAttempt {
            number: request.history.count,
            outcome: last.outcome,
            idempotent: request.policy.idempotent,
            retry_after: last.retry_after,
        };
        let random = self.next_random();
        let now = self.parts.clock.now();
        let budget = self.budgets.entry(request.service.clone()).or_default();
        let Some(pause) = budget.retry(now, &failed, request.deadline, random) else {
            let step = if last.retry_after.is_some() {
                Step::Limit
            } else {
                Step::Retry
            };
            let verdict = Verdict::not_run(&request.proof, 503, step, &last.target, &last.reason);
            let wait = last.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            let _ = reply.send(Err(verdict.retry_after(wait)));
            return;
        };
        let service = Some(request.service.as_str());
        self.parts
            .recorder
            .count(&metrics::REQUESTS_RETRIED, service);
        self.retry_later(request, reply, pause);
    }

    /// Chooses a request's target, checks the quarantine, and queues the request for the target.
    pub(super) fn route(&mut self, request: Box<AdmissionRequest>, reply: Reply) {
        if reply.is_canceled() {
            return;
        }
        let now = self.parts.clock.now();
        if request.deadline.remaining(now).is_none() {
            let verdict = self.deadline_verdict(&request);
            let _ = reply.send(Err(verdict));
            return;
        }
        let destination = match self.destination(&request, now) {
            Ok(destination) => destination,
            Err(RouteError::Retry(step, reason)) => {
                return self.wait_for_owner(request, reply, step, reason);
            }
            Err(RouteError::Refused(verdict)) => {
                let _ = reply.send(Err(*verdict));
                return;
            }
        };
        match self
            .quarantine
            .check(stamp::wall(), request.fingerprint, &destination.target)
        {
            Decision::Allow | Decision::RunAlone => self.enqueue(now, request, reply, destination),
            Decision::Wait(pause) => self.retry_later(request, reply, pause),
            Decision::Refuse(wait) => {
                let reason = "a target died while it ran this request";
                let step = Step::Quarantine;
                let verdict =
                    Verdict::not_run(&request.proof, 503, step, &destination.target, reason);
                let _ = reply.send(Err(verdict.retry_after(wait)));
            }
        }
    }

    /// Adds a request to the admission queue of its target.
    pub(super) fn enqueue(
        &mut self,
        now: Duration,
        request: Box<AdmissionRequest>,
        reply: Reply,
        destination: Destination,
    ) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let name = (request.service.clone(), destination.target.clone());
        let class = request
            .policy
            .document
            .classes
            .get_index(request.policy.class);
        let event = admission::Event::Request {
            ticket,
            class: class.map(|(name, _)| name.clone()).unwrap_or_default(),
            deadline: request.deadline,
        };
        if !self.queues.contains_key(&name) {
            let queue = AdmissionQueue::new(destination.slots, &request.policy.document.classes);
            self.queues.insert(name.clone(), queue);
        }
        self.queued.insert(
            ticket,
            QueuedRequest {
                request,
                reply,
                destination,
            },
        );
        self.on_queue_event(now, &name, event);
    }

    /// Passes an event to a target's admission queue, and applies the queue's decisions.
    pub(super) fn on_queue_event(
        &mut self,
        now: Duration,
        name: &TargetKey,
        event: admission::Event,
    ) {
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        for effect in queue.on(now, event) {
            match effect {
                admission::Effect::Admit(ticket) => self.issue_permit(now, ticket),
                admission::Effect::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => self.refuse(ticket, reason, retry_after),
            }
        }
    }

    /// Sends a request its permit.
    ///
    /// A suspect that must not run now gives its slot back and retries.
    pub(super) fn issue_permit(&mut self, now: Duration, ticket: Ticket) {
        let Some(QueuedRequest {
            request,
            reply,
            destination,
        }) = self.queued.swap_remove(&ticket)
        else {
            return;
        };
        // Another suspect may have been admitted while this one was queued, so it has to wait.
        let check = self
            .quarantine
            .check(stamp::wall(), request.fingerprint, &destination.target);
        if let Decision::Wait(pause) | Decision::Refuse(pause) = check {
            let name = (request.service.clone(), destination.target.clone());
            let sample = Sample::Cancelled;
            self.on_queue_event(now, &name, admission::Event::Ended { ticket, sample });
            return self.retry_later(request, reply, pause.min(SUSPECT_RETRY_MAX));
        }
        if let Some(owner) = &destination.owner {
            let group = group_of(&request.policy.document, request.point);
            let demand = self.demands.entry(group).or_default();
            demand.count(owner.range, request.point);
        }
        let boot = match &destination.owner {
            Some(owner) => owner.boot.clone(),
            None => time_as_boot(),
        };
        let attempt = InFlight {
            name: (request.service.clone(), destination.target.clone()),
            boot: boot.clone(),
            sent: now,
            head: None,
        };
        self.in_flight.insert(ticket, attempt);
        if let Some(pool) = self.pools.get_mut(&request.service) {
            let class = request
                .policy
                .document
                .classes
                .get_index(request.policy.class);
            let class = class.map_or("", |(name, _)| name.as_str());
            pool.started(now, &destination.target, class, ticket);
        }
        let incarnation = Incarnation {
            target: destination.target.clone(),
            boot,
        };
        let fingerprint = request.fingerprint;
        let sent = quarantine::Event::Sent {
            ticket,
            fingerprint,
            incarnation,
        };
        self.quarantine.on(stamp::wall(), sent);
        let router = self.parts.tasks.router.clone();
        let owner = destination.owner.as_ref();
        let permit = Permit::new(
            ticket,
            destination.target,
            destination.address,
            owner,
            router,
        );
        // If the caller has disconnected, the dropped permit reports itself as abandoned.
        let _ = reply.send(Ok(permit));
    }

    /// Refuses a queued request with the queue's reason.
    pub(super) fn refuse(&mut self, ticket: Ticket, why: RefusalReason, retry: Duration) {
        let Some(QueuedRequest {
            request,
            reply,
            destination,
        }) = self.queued.swap_remove(&ticket)
        else {
            return;
        };
        let (status, step, reason) = match why {
            RefusalReason::UnknownClass => (
                404,
                Step::Route,
                "the service no longer has the request's class",
            ),
            RefusalReason::QueueFull => (
                429,
                Step::Limit,
                "the target is busy, and the wait would be too long",
            ),
            RefusalReason::QueueTimeout => (503, Step::Queue, "the target stayed busy"),
            RefusalReason::Unreachable => (503, Step::Connect, "the target can't be reached"),
            RefusalReason::Draining => (503, Step::Drain, "the target is leaving"),
        };
        let verdict = Verdict::not_run(&request.proof, status, step, &destination.target, reason);
        let _ = reply.send(Err(verdict.retry_after(retry)));
    }

    /// Returns the destination of a request.
    pub(super) fn destination(
        &self,
        request: &AdmissionRequest,
        now: Duration,
    ) -> Result<Destination, RouteError> {
        let document = &request.policy.document;
        match document.ownership {
            Ownership::Exclusive => self.exclusive_destination(request, document, now),
            Ownership::Shared => self.shared_destination(request, document, now),
        }
    }

    /// Returns the owner of a request's key, if this VM may send to it.
    pub(super) fn exclusive_destination(
        &self,
        request: &AdmissionRequest,
        document: &Document,
        now: Duration,
    ) -> Result<Destination, RouteError> {
        let owner = self.owner(document, request.point);
        let owner = owner.ok_or(RouteError::Retry(
            Step::Route,
            "the key has no owner known here",
        ))?;
        if owner.fencing == Fencing::Unchecked {
            let expiry = self.lease_expiry(document, request.point, &owner);
            expiry
                .filter(|expiry| *expiry > now)
                .ok_or(RouteError::Retry(
                    Step::Grant,
                    "no lease to send to the key's owner",
                ))?;
        }
        let target = document.targets.get(&owner.target);
        Ok(Destination {
            target: owner.target.clone(),
            address: self.address(request, &owner.address)?,
            slots: Slots {
                slots: target.map_or(1, |target| target.slots),
                vms: 1,
            },
            owner: Some(owner),
        })
    }

    /// Returns a target from the pool of a shared service.
    pub(super) fn shared_destination(
        &self,
        request: &AdmissionRequest,
        document: &Document,
        now: Duration,
    ) -> Result<Destination, RouteError> {
        let pool = self.pools.get(&request.service);
        let name = pool.and_then(|pool| pool.pick(now, self.next_random()));
        let none = RouteError::Retry(Step::Route, "the service has no target that takes work");
        let name = name.ok_or(none)?;
        let target = document.targets.get(&name);
        let none = RouteError::Retry(Step::Route, "the document no longer names the target");
        let target = target.ok_or(none)?;
        Ok(Destination {
            address: self.address(request, &target.address)?,
            slots: Slots {
                slots: target.slots,
                vms: self.vms,
            },
            target: name,
            owner: None,
        })
    }

    /// Parses a target's address, or refuses the request.
    pub(super) fn address(
        &self,
        request: &AdmissionRequest,
        text: &str,
    ) -> Result<SocketAddr, RouteError> {
        text.parse().map_err(|_| {
            let reason = "the target's address is no address";
            let vm = &self.parts.me.vm;
            RouteError::Refused(Box::new(Verdict::not_run(
                &request.proof,
                503,
                Step::Route,
                vm,
                reason,
            )))
        })
    }

    /// Lets a request wait for an available owner, for as long as its class may queue.
    ///
    /// Nothing is sent to a target meanwhile, so this doesn't use the retry budget.
    pub(super) fn wait_for_owner(
        &mut self,
        request: Box<AdmissionRequest>,
        reply: Reply,
        step: Step,
        reason: &str,
    ) {
        let now = self.parts.clock.now();
        let waited = now.saturating_sub(request.since);
        let longest = request
            .policy
            .max_wait
            .min(request.deadline.at.saturating_sub(request.since));
        if waited >= longest {
            let last = request.history.last.as_ref();
            let peer = last.map_or(self.parts.me.vm.as_str(), |last| last.target.as_str());
            let verdict = Verdict::not_run(&request.proof, 503, step, peer, reason);
            let _ = reply.send(Err(verdict.retry_after(DEFAULT_RETRY_AFTER)));
            return;
        }
        // A pause as long as the wait so far doubles the total wait.
        let pause = waited
            .clamp(OWNER_RETRY_MIN, OWNER_RETRY_MAX)
            .min(longest.saturating_sub(waited));
        let pause = concurrency::jitter(pause, self.next_random());
        self.retry_later(request, reply, pause);
    }

    /// Asks again for a permit after a pause.
    pub(super) fn retry_later(
        &self,
        request: Box<AdmissionRequest>,
        reply: Reply,
        pause: Duration,
    ) {
        let clock = self.parts.clock.clone();
        let router = self.parts.tasks.router.clone();
        compio::runtime::spawn(async move {
            clock.sleep(pause).await;
            let _ = router.unbounded_send(Message::Retry(request, reply));
        })
        .detach();
    }

    /// Returns the verdict of a request that was not sent before its deadline.
    pub(super) fn deadline_verdict(&self, request: &AdmissionRequest) -> Verdict {
        let (peer, reason) = match &request.history.last {
            Some(last) => (last.target.as_str(), last.reason.as_str()),
            None => (self.parts.me.vm.as_str(), "no target took it in time"),
        };
        let verdict = Verdict::not_run(&request.proof, 503, Step::Deadline, peer, reason);
        verdict.retry_after(DEFAULT_RETRY_AFTER)
    }

    /// Reports request rates, removes requests of disconnected callers, and wakes the queues.
    pub(super) fn tick(&mut self) {
        let now = self.parts.clock.now();
        self.report_demand(now);
        let cancelled = self
            .queued
            .iter()
            .filter(|(_, queued)| queued.reply.is_canceled());
        let cancelled: Vec<(Ticket, TargetKey)> = cancelled
            .map(|(ticket, it)| {
                (
                    *ticket,
                    (it.request.service.clone(), it.destination.target.clone()),
                )
            })
            .collect();
        for (ticket, name) in cancelled {
            self.queued.swap_remove(&ticket);
            self.on_queue_event(now, &name, admission::Event::Cancelled { ticket });
        }
        let busy = self.queues.iter().filter(|(_, queue)| queue.waiting() > 0);
        let busy: Vec<TargetKey> = busy.map(|(name, _)| name.clone()).collect();
        for name in busy {
            self.on_queue_event(now, &name, admission::Event::Tick);
        }
    }
}

/// Returns a boot id for a shared service's target, made from the time, as such targets report none.
fn time_as_boot() -> BootId {
    let span = stamp::wall().as_secs() / DEATH_WINDOW.as_secs();
    format!("at-{span}")
}
