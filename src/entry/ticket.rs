//! What a request and the router's task say to each other.

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
    vm::news::Fleet,
};

/// How long the word that an attempt is given up may take to a target.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time to come back when nothing is known that would tell it better.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The shortest pause between two looks at a lease.
const LEASE_POLL_MIN: Duration = Duration::from_millis(10);

/// The number of an attempt, or of a request that waits for one.
pub type Ticket = u64;

/// What the service's document says of a request.
#[derive(Clone, Debug)]
pub struct RequestPolicy {
    /// The document.
    pub document: Rc<Document>,
    /// The class of work, by its place in the document.
    pub class: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The longest deadline.
    pub max_deadline: Duration,
    /// The longest wait for a slot, or for an owner.
    pub max_wait: Duration,
    /// The largest body.
    pub body_limit: u64,
}

/// Why the last attempt ended, and the request may be tried again.
#[derive(Clone, Debug)]
pub struct LastAttempt {
    /// The target.
    pub target: TargetId,
    /// The epoch under which it was sent.
    pub epoch: Option<Epoch>,
    /// Why it ended, for the caller.
    pub reason: String,
    /// Whether the target said that it doesn't own the key.
    pub misdirected: bool,
    /// Whether it may have run.
    pub outcome: Outcome,
    /// How long the target asks to be left alone.
    pub retry_after: Option<Duration>,
}

/// What became of a request's earlier attempts.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// How many there were.
    pub count: u32,
    /// The last of them.
    pub last: Option<LastAttempt>,
    lost: Option<Verdict>,
}

impl History {
    /// Notes a target's refusal.
    pub fn refused(&mut self, permit: &Permit, refusal: &Refusal) {
        let reason = format!("the target refused with status {}", refusal.status());
        let last = self.record(permit, reason, Outcome::NotRun);
        last.misdirected = refusal.is_misdirected();
        last.retry_after = refusal.retry_after();
    }

    /// Notes an attempt of which no byte left.
    pub fn unsent(&mut self, permit: &Permit, error: &client::Error) {
        self.record(permit, error.to_string(), Outcome::NotRun);
    }

    /// Notes an attempt that ended without an answer.
    pub fn lost(&mut self, permit: &Permit, verdict: Verdict) {
        self.record(permit, verdict.reason.clone(), Outcome::Unknown);
        self.lost = Some(verdict);
    }

    /// Returns the final word: `not-run` only if no attempt was lost.
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
    /// The whole answer came, with this status.
    Answered(StatusCode),
    /// The answer's body has ended; its head was told before.
    Ended,
    /// The target refused it before it started.
    Refused(Refusal),
    /// No byte of it left; whether nobody listens at the target's address.
    Unsent(bool),
    /// It ended without a whole answer.
    Lost,
    /// The caller went away.
    Abandoned,
}

/// The right to send one attempt to a target.
#[derive(Debug)]
pub struct Permit {
    /// The target.
    pub target: TargetId,
    /// Where it is.
    pub address: SocketAddr,
    /// The epoch of the key's range; none for a shared service.
    pub epoch: Option<Epoch>,
    /// The ownership that the right rests on, for a target that doesn't check grants; it must be
    /// watched for as long as the attempt lasts.
    pub lease: Option<Owner>,
    ticket: Ticket,
    router: mpsc::UnboundedSender<Message>,
    reported: bool,
}

impl Permit {
    /// Creates the right of an attempt, which reports to the router.
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

    /// Tells that the head of the answer came.
    pub fn report_head(&self, status: StatusCode) {
        let ticket = self.ticket;
        let _ = self.router.unbounded_send(Message::Head { ticket, status });
    }

    /// Gives the right back.
    pub fn finish(mut self, report: Report) {
        self.report(report);
    }

    fn report(&mut self, report: Report) {
        if !self.reported {
            self.reported = true;
            let ticket = self.ticket;
            // The router ends after the last request.
            let _ = self.router.unbounded_send(Message::Done { ticket, report });
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report(Report::Abandoned);
    }
}

/// Where the answer to an [`Ask`] goes.
pub type Reply = oneshot::Sender<Result<Permit, Verdict>>;

/// What a request asks of the router.
#[derive(Debug)]
pub struct AdmissionRequest {
    /// The service.
    pub service: ServiceId,
    /// The key's point.
    pub point: Point,
    /// What the document says of it.
    pub policy: RequestPolicy,
    /// What it asks for, by which it is known if a target dies of it.
    pub fingerprint: Fingerprint,
    /// When it must have ended.
    pub deadline: Deadline,
    /// When it began to look for a target.
    pub since: Duration,
    /// Its earlier attempts.
    pub history: History,
    /// That it has not run so far.
    pub proof: Proof,
}

/// A message to the router.
#[derive(Debug)]
pub enum Message {
    /// Time has passed.
    Tick,
    /// What does the document say of this request?
    Classify(
        Box<Call>,
        Proof,
        oneshot::Sender<Result<(Call, RequestPolicy), Verdict>>,
    ),
    /// Where may it go?
    Admit(Box<AdmissionRequest>, Reply),
    /// It has paused before a further attempt.
    Retry(Box<AdmissionRequest>, Reply),
    /// The head of an attempt's answer came.
    Head {
        /// The attempt.
        ticket: Ticket,
        /// The answer's status.
        status: StatusCode,
    },
    /// An attempt has ended.
    Done {
        /// The attempt.
        ticket: Ticket,
        /// How.
        report: Report,
    },
    /// Until when may this VM send to the owner of a point, who doesn't check grants?
    LeaseExpiry(
        ServiceId,
        Point,
        Box<Owner>,
        oneshot::Sender<Option<Duration>>,
    ),
    /// A document is in force.
    Document(Rc<Document>),
    /// A group's record is known.
    Record(GroupId, Version, Box<Record>),
    /// A handover is known.
    Handover(Handover),
    /// A grantor leases ranges to this VM, counted from when it was asked.
    Lease(GroupId, Duration, Vec<grantor::Leased>),
    /// The fleet has changed.
    Fleet(Fleet),
    /// The platform's list says that the VMs of these targets are leaving.
    Leaving(Vec<TargetId>),
    /// Suspect requests were heard of.
    Suspects(Vec<quarantine::Suspect>),
}

/// Asks what the document says of a request.
///
/// # Errors
///
/// The service isn't known, or it has no class for the request.
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

/// Asks for the right to send an attempt; waits for a slot where that is worth it.
///
/// # Errors
///
/// The request is refused; the verdict says when to come back.
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
    // The router answers by the deadline at the latest.
    answer
        .await
        .unwrap_or_else(|_| Err(stopping_verdict(proof)))
}

/// Waits until the right to send to a target that doesn't check grants has lapsed.
///
/// For a target that checks, and for a shared service, it waits for ever.
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
        // Half of what is left: a lease is renewed well before it ends.
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
