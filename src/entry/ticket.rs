//! The messages between a request and the router's task, and what they carry.
//!
//! A request asks for a [`Permit`] before each attempt, and the permit reports how the attempt ended.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::future;
use http::StatusCode;

use super::{Context, Job};
use crate::{
    document::Document,
    grantor,
    group::Record,
    handover::Handover,
    id::{Epoch, GroupId, ServiceId, TargetId, Version},
    key::Point,
    quarantine,
    request::{Call, Deadline, Fingerprint, Outcome, Proof, Step, Verdict, answer::Refusal},
    route::Owner,
    util::client,
    vm::fleet::Fleet,
};

/// The time limit for sending the cancellation of an attempt to a target.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The retry-after time for refusals that have no better estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The shortest interval between two checks of a lease.
const LEASE_POLL_MIN: Duration = Duration::from_millis(10);

/// The number of an attempt, or of a request that is queued for one.
pub type Ticket = u64;

/// The rules of a service's document for one request.
#[derive(Clone, Debug)]
pub struct RequestPolicy {
    /// The document.
    pub document: Rc<Document>,
    /// The index of the request's class in the document.
    pub class: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The longest deadline.
    pub max_deadline: Duration,
    /// The longest wait for a slot or for an owner of the key.
    pub max_wait: Duration,
    /// The largest body, in bytes.
    pub body_limit: u64,
}

/// A request's last attempt, which ended without a response for the caller.
#[derive(Clone, Debug)]
pub struct LastAttempt {
    /// The target.
    pub target: TargetId,
    /// The epoch under which it was sent.
    pub epoch: Option<Epoch>,
    /// Why it ended, as a text for the caller.
    pub reason: String,
    /// Whether the target said that it doesn't own the key.
    pub misdirected: bool,
    /// Whether the request ran, as far as this attempt shows.
    pub outcome: Outcome,
    /// How long the target asked to wait before a retry.
    pub retry_after: Option<Duration>,
}

/// The results of a request's earlier attempts.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The number of earlier attempts.
    pub count: u32,
    /// The last attempt.
    pub last: Option<LastAttempt>,
    lost: Option<Verdict>,
}

impl History {
    /// Records a target's refusal.
    pub fn refused(&mut self, permit: &Permit, refusal: &Refusal) {
        let reason = format!("the target refused with status {}", refusal.status());
        let last = self.record(permit, reason, Outcome::NotRun);
        last.misdirected = refusal.is_misdirected();
        last.retry_after = refusal.retry_after();
    }

    /// Records an attempt of which no byte was sent.
    pub fn unsent(&mut self, permit: &Permit, error: &client::Error) {
        self.record(permit, error.to_string(), Outcome::NotRun);
    }

    /// Records an attempt that ended without a complete response.
    pub fn lost(&mut self, permit: &Permit, verdict: Verdict) {
        self.record(permit, verdict.reason.clone(), Outcome::Unknown);
        self.lost = Some(verdict);
    }

    /// Returns the verdict for the caller: `not-run` only if no attempt was lost.
    pub fn final_verdict(&self, verdict: Verdict) -> Verdict {
        match &self.lost {
            Some(lost) if verdict.outcome() == Outcome::NotRun => {
                let mut lost = lost.clone();
                lost.retry_after = verdict.retry_after;
                lost
            }
            _ => verdict,
        }
    }

    fn record(&mut self, permit: &Permit, reason: String, outcome: Outcome) -> &mut LastAttempt {
        self.count += 1;
        self.last.insert(LastAttempt {
            target: permit.target.clone(),
            epoch: permit.epoch,
            reason,
            misdirected: false,
            outcome,
            retry_after: None,
        })
    }
}

/// How an attempt ended, for limits, retries and the quarantine.
#[derive(Clone, Debug)]
pub enum Report {
    /// The complete response arrived, with this status.
    Answered(StatusCode),
    /// The streaming body is complete; its head was reported before.
    Ended,
    /// The target refused it before it started.
    Refused(Refusal),
    /// No byte of it was sent; true if the target's address refused the connection.
    Unsent(bool),
    /// It ended without a complete response.
    Lost,
    /// The caller disconnected.
    Abandoned,
}

/// Allows sending one attempt to a target.
///
/// A permit that is dropped without a report reports [`Report::Abandoned`].
#[derive(Debug)]
pub struct Permit {
    /// The target.
    pub target: TargetId,
    /// The target's address.
    pub address: SocketAddr,
    /// The epoch of the key's range; none for a shared service.
    pub epoch: Option<Epoch>,
    /// For a target that doesn't check grants: the ownership that the permit depends on. Its lease
    /// must be checked for as long as the attempt lasts.
    pub lease: Option<Owner>,
    ticket: Ticket,
    router: mpsc::UnboundedSender<Message>,
    reported: bool,
}

impl Permit {
    /// Creates the permit of an attempt, which reports to the router.
    pub fn new(
        ticket: Ticket,
        target: TargetId,
        address: SocketAddr,
        owner: Option<&Owner>,
        router: mpsc::UnboundedSender<Message>,
    ) -> Self {
        let is_unchecked = |owner: &&Owner| owner.fencing == crate::document::Fencing::Unchecked;
        Self {
            target,
            address,
            epoch: owner.map(|owner| owner.epoch),
            lease: owner.filter(is_unchecked).cloned(),
            ticket,
            router,
            reported: false,
        }
    }

    /// Reports to the router that the head of the response arrived.
    pub fn report_head(&self, status: StatusCode) {
        let ticket = self.ticket;
        let _ = self.router.unbounded_send(Message::Head { ticket, status });
    }

    /// Returns the permit and reports how the attempt ended.
    pub fn finish(mut self, report: Report) {
        self.report(report);
    }

    fn report(&mut self, report: Report) {
        if !self.reported {
            self.reported = true;
            let ticket = self.ticket;
            // The router's task ends after the last request, so it receives the message.
            let _ = self.router.unbounded_send(Message::Done { ticket, report });
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report(Report::Abandoned);
    }
}

/// Receives the decision on an [`AdmissionRequest`].
pub type Reply = oneshot::Sender<Result<Permit, Verdict>>;

/// A request that asks the router for a permit.
#[derive(Debug)]
pub struct AdmissionRequest {
    /// The service.
    pub service: ServiceId,
    /// The key's point in the hash space.
    pub point: Point,
    /// The document's rules for it.
    pub policy: RequestPolicy,
    /// The fingerprint by which the quarantine identifies it, if it kills a target.
    pub fingerprint: Fingerprint,
    /// Its deadline.
    pub deadline: Deadline,
    /// When it first asked for a permit, by the process's clock.
    pub since: Duration,
    /// Its earlier attempts.
    pub history: History,
    /// The proof that it has not run so far.
    pub proof: Proof,
}

/// A message to the router.
#[derive(Debug)]
pub enum Message {
    /// The periodic wake-up.
    Tick,
    /// Asks for the document's rules for a request.
    Classify(
        Box<Call>,
        Proof,
        oneshot::Sender<Result<(Call, RequestPolicy), Verdict>>,
    ),
    /// Asks for a permit to send an attempt.
    Admit(Box<AdmissionRequest>, Reply),
    /// Asks again for a permit, after a pause.
    Retry(Box<AdmissionRequest>, Reply),
    /// The head of an attempt's response arrived.
    Head {
        /// The attempt.
        ticket: Ticket,
        /// The response's status.
        status: StatusCode,
    },
    /// An attempt has ended.
    Done {
        /// The attempt.
        ticket: Ticket,
        /// How it ended.
        report: Report,
    },
    /// Asks until when this VM may send to the owner of a point, which doesn't check grants.
    LeaseExpiry(
        ServiceId,
        Point,
        Box<Owner>,
        oneshot::Sender<Option<Duration>>,
    ),
    /// A document has come into force.
    Document(Rc<Document>),
    /// A group's record was read or received.
    Record(GroupId, Version, Box<Record>),
    /// A handover was received.
    Handover(Handover),
    /// A grantor leased ranges to this VM; the leases count from the time at which they were requested.
    Lease(GroupId, Duration, Vec<grantor::Leased>),
    /// The fleet has changed.
    Fleet(Fleet),
    /// The platform lists the VMs of these targets as leaving.
    Leaving(Vec<TargetId>),
    /// Suspect requests were received from other VMs.
    Suspects(Vec<quarantine::Suspect>),
}

/// Asks the router for the document's rules for a request.
///
/// # Errors
///
/// Returns a verdict if the service isn't known or has no class for the request.
pub async fn classify(
    context: &Context,
    call: Call,
    proof: Proof,
) -> Result<(Call, RequestPolicy), Verdict> {
    let (reply, answer) = oneshot::channel();
    let message = Message::Classify(Box::new(call), proof, reply);
    let _ = context.router.unbounded_send(message);
    answer
        .await
        .unwrap_or_else(|_| Err(stopping_verdict(proof)))
}

/// Asks the router for a permit to send an attempt; this may wait for a slot.
///
/// # Errors
///
/// Returns a verdict if the request is refused; it says when to retry.
pub async fn admit(
    context: &Context,
    job: &Job,
    fingerprint: Fingerprint,
    since: Duration,
    history: &History,
    proof: Proof,
) -> Result<Permit, Verdict> {
    let request = AdmissionRequest {
        service: job.call.service.clone(),
        point: job.call.point,
        policy: job.policy.clone(),
        fingerprint,
        deadline: job.deadline,
        since,
        history: history.clone(),
        proof,
    };
    let (reply, answer) = oneshot::channel();
    let _ = context
        .router
        .unbounded_send(Message::Admit(Box::new(request), reply));
    // The router replies by the deadline at the latest.
    answer
        .await
        .unwrap_or_else(|_| Err(stopping_verdict(proof)))
}

/// Waits until the lease to send to a target that doesn't check grants has expired.
///
/// For a target that checks grants, and for a shared service, it never returns.
pub async fn lease_expired(
    context: Context,
    service: ServiceId,
    point: Point,
    lease: Option<Owner>,
) {
    let Some(owner) = lease else {
        return future::pending().await;
    };
    loop {
        let (reply, answer) = oneshot::channel();
        let message = Message::LeaseExpiry(service.clone(), point, Box::new(owner.clone()), reply);
        let _ = context.router.unbounded_send(message);
        let until = answer.await.ok().flatten();
        let left = until.and_then(|until| until.checked_sub(context.clock.now()));
        let Some(left) = left.filter(|left| !left.is_zero()) else {
            return;
        };
        // Half of the remaining time, as a lease is renewed well before it expires.
        context
            .clock
            .sleep((left / 2).max(LEASE_POLL_MIN).min(left))
            .await;
    }
}

fn stopping_verdict(proof: Proof) -> Verdict {
    Verdict::not_run(&proof, 503, Step::Drain, "self", "the process stops")
        .retry_after(DEFAULT_RETRY_AFTER)
}
