//! The router's task: it owns documents, routes and limits, and says where a request may go.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::{mpsc, oneshot};
use futures_util::{StreamExt, future};
use http::StatusCode;
use hyper::body::Bytes;
use indexmap::IndexMap;

use super::{Context, Job};
use crate::{
    clock::Clock,
    document::{Document, Fencing, Ownership},
    grantor::{self, Timing},
    group::{Record, build},
    handover::Handover,
    id::{Epoch, GroupId, ServiceId, TargetId, Version, VmId},
    key::Point,
    request::{Call, Outcome, Proof, Step, Verdict, answer::Refusal},
    route::{Owner, Table},
    util::client,
    vm::Parts,
};

/// How long the word that an attempt is given up may take to a target.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The shortest pause between two looks at a lease.
const LEASE_POLL: Duration = Duration::from_millis(10);
/// How often a refused request asks again for a route.
const ROUTE_PAUSE: Duration = Duration::from_millis(20);
/// The time to come back when nothing is known that would tell it better.
const COME_BACK: Duration = Duration::from_millis(500);

/// What the service's document says of a request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The class of work.
    pub class: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The longest deadline.
    pub longest: Duration,
    /// The longest wait for a slot.
    pub queue: Duration,
    /// The largest body.
    pub body_limit: u64,
}

/// What became of a request's earlier attempts.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Targets that did not take it, in order.
    pub tried: Vec<TargetId>,
    /// Why the last one did not.
    pub last: Option<(TargetId, String)>,
    lost: Option<Verdict>,
}

impl History {
    /// Notes a target's refusal.
    pub fn refused(&mut self, target: &TargetId, refusal: &Refusal) {
        let reason = format!("the target refused with status {}", refusal.status());
        self.note(target, reason);
    }

    /// Notes an attempt of which no byte left.
    pub fn unsent(&mut self, target: &TargetId, error: &client::Error) {
        self.note(target, error.to_string());
    }

    /// Notes an attempt that ended without an answer.
    pub fn lost(&mut self, verdict: Verdict) {
        self.note(&verdict.peer.clone(), verdict.reason.clone());
        self.lost = Some(verdict);
    }

    /// Returns whether an attempt ended without an answer.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Returns the final word: `not-run` only if no attempt was lost.
    pub fn judge(&self, verdict: Verdict) -> Verdict {
        match &self.lost {
            Some(lost) if verdict.outcome() == Outcome::NotRun => {
                let mut lost = lost.clone();
                lost.retry_after = verdict.retry_after;
                lost
            }
            _ => verdict,
        }
    }

    fn note(&mut self, target: &TargetId, reason: String) {
        self.tried.push(target.clone());
        self.last = Some((target.clone(), reason));
    }
}

/// How an attempt ended, for limits and routes.
#[derive(Clone, Debug)]
pub enum Report {
    /// The whole answer came, with this status.
    Answered(StatusCode),
    /// The answer's body has ended; its head was told before.
    Ended,
    /// The target refused it before it started.
    Refused(Refusal),
    /// No byte of it left.
    Unsent,
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
    ticket: u64,
    router: mpsc::UnboundedSender<Message>,
    reported: bool,
}

impl Permit {
    /// Tells that the head of the answer came.
    pub fn head(&self, status: StatusCode) {
        let message = Message::Head {
            ticket: self.ticket,
            status,
        };
        let _ = self.router.unbounded_send(message);
    }

    /// Gives the right back.
    pub fn finish(mut self, report: Report) {
        self.report(report);
    }

    fn report(&mut self, report: Report) {
        if !self.reported {
            self.reported = true;
            let message = Message::Done {
                ticket: self.ticket,
                report,
            };
            // The router ends after the last request.
            let _ = self.router.unbounded_send(message);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report(Report::Abandoned);
    }
}

/// What a request asks of the router.
#[derive(Debug)]
pub struct Ask {
    /// What the caller asked.
    pub call: Call,
    /// The class of work.
    pub plan: Plan,
    /// How long it may still take.
    pub left: Duration,
    /// Its earlier attempts.
    pub history: History,
    /// That it has not run so far.
    pub proof: Proof,
}

/// A message to the router.
#[derive(Debug)]
pub enum Message {
    /// What does the document say of this request?
    Classify {
        /// The request.
        call: Call,
        /// That it has not run.
        proof: Proof,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Plan, Verdict>>,
    },
    /// Where may it go?
    Admit {
        /// The request.
        ask: Box<Ask>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Permit, Verdict>>,
    },
    /// The head of an attempt's answer came.
    Head {
        /// The attempt.
        ticket: u64,
        /// The answer's status.
        status: StatusCode,
    },
    /// An attempt has ended.
    Done {
        /// The attempt.
        ticket: u64,
        /// How.
        report: Report,
    },
    /// Until when may this VM send to the owner of a point, who doesn't check grants?
    Until {
        /// The service.
        service: ServiceId,
        /// The point.
        point: Point,
        /// The owner as it was when the attempt began.
        owner: Box<Owner>,
        /// Where the answer goes.
        reply: oneshot::Sender<Option<Duration>>,
    },
    /// A document is in force.
    Document(Rc<Document>),
    /// A group's record is known.
    Record(GroupId, Version, Box<Record>),
    /// A handover is known.
    Fact(Handover),
    /// A grantor leases ranges to this VM, counted from when it was asked.
    Lease(GroupId, Duration, Vec<grantor::Leased>),
    /// A suspect request was heard of.
    Suspect(Bytes),
}

/// Asks what the document says of a request.
///
/// # Errors
///
/// The service isn't known, or it has no class for the request.
pub async fn classify(context: &Context, call: Call, proof: Proof) -> Result<Plan, Verdict> {
    let (reply, answer) = oneshot::channel();
    let message = Message::Classify { call, proof, reply };
    let _ = context.router.unbounded_send(message);
    answer.await.unwrap_or_else(|_| Err(stopped(proof)))
}

/// Asks for the right to send an attempt; waits for a slot where that is worth it.
///
/// # Errors
///
/// The request is refused; the verdict says when to come back.
pub async fn admit(
    context: &Context,
    job: &Job,
    history: &History,
    proof: Proof,
) -> Result<Permit, Verdict> {
    let now = context.clock.now();
    let Some(left) = job.deadline.remaining(now) else {
        return Err(give_up(history, proof));
    };
    let ask = Ask {
        call: job.call.clone(),
        plan: job.plan.clone(),
        left,
        history: history.clone(),
        proof,
    };
    let (reply, answer) = oneshot::channel();
    let message = Message::Admit {
        ask: Box::new(ask),
        reply,
    };
    let _ = context.router.unbounded_send(message);
    let waiting = context.clock.timeout(left, answer);
    match waiting.await {
        Ok(answer) => answer.unwrap_or_else(|_| Err(stopped(proof))),
        Err(_) => Err(give_up(history, proof)),
    }
}

/// Waits until the right to send to a target that doesn't check grants has lapsed.
///
/// For a target that checks, and for a shared service, it waits for ever.
pub async fn lapse(context: Context, call: Call, lease: Option<Owner>) {
    let Some(owner) = lease else {
        return future::pending().await;
    };
    loop {
        let (reply, answer) = oneshot::channel();
        let message = Message::Until {
            service: call.service.clone(),
            point: call.point,
            owner: Box::new(owner.clone()),
            reply,
        };
        let _ = context.router.unbounded_send(message);
        let until = answer.await.ok().flatten();
        let left = until.and_then(|until| until.checked_sub(context.clock.now()));
        let Some(left) = left.filter(|left| !left.is_zero()) else {
            return;
        };
        // Half of what is left, at the least: a lease is renewed well before it ends.
        context
            .clock
            .sleep((left / 2).max(LEASE_POLL).min(left))
            .await;
    }
}

fn stopped(proof: Proof) -> Verdict {
    Verdict::not_run(&proof, 503, Step::Drain, "self", "the process stops").retry_after(COME_BACK)
}

fn give_up(history: &History, proof: Proof) -> Verdict {
    let (peer, reason) = match &history.last {
        Some((peer, reason)) => (peer.as_str(), reason.as_str()),
        None => ("self", "no target took it before its deadline"),
    };
    Verdict::not_run(&proof, 503, Step::Deadline, peer, reason).retry_after(COME_BACK)
}

/// The router's state.
#[derive(Debug)]
pub struct Router {
    vm: VmId,
    clock: Clock,
    sender: mpsc::UnboundedSender<Message>,
    documents: IndexMap<ServiceId, Rc<Document>>,
    tables: IndexMap<GroupId, Table>,
    tickets: u64,
}

impl Router {
    /// Creates a router that knows no service yet.
    pub fn new(parts: &Parts) -> Self {
        Self {
            vm: parts.me.vm.clone(),
            clock: parts.clock.clone(),
            sender: parts.tasks.router.clone(),
            documents: IndexMap::new(),
            tables: IndexMap::new(),
            tickets: 0,
        }
    }

    /// Serves messages until nobody can send any more.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.next().await {
            self.on(message);
        }
    }

    fn on(&mut self, message: Message) {
        match message {
            Message::Classify { call, proof, reply } => {
                let _ = reply.send(self.plan(&call, proof));
            }
            Message::Admit { ask, reply } => self.admit(*ask, reply),
            Message::Until {
                service,
                point,
                owner,
                reply,
            } => {
                let document = self.documents.get(&service);
                let until = document.and_then(|document| self.until(document, point, &owner));
                let _ = reply.send(until);
            }
            Message::Document(document) => {
                self.documents.insert(document.service.clone(), document);
            }
            Message::Record(group, version, record) => {
                self.tables
                    .entry(group)
                    .or_default()
                    .on_record(version, *record);
            }
            Message::Fact(fact) => {
                let table = self.tables.entry(fact.group.clone()).or_default();
                table.on_handover(fact);
            }
            Message::Lease(group, asked, routes) => {
                let table = self.tables.entry(group).or_default();
                table.on_lease(&Timing::default(), asked, routes);
            }
            Message::Suspect(_) | Message::Head { .. } | Message::Done { .. } => {}
        }
    }

    fn plan(&self, call: &Call, proof: Proof) -> Result<Plan, Verdict> {
        let Some(document) = self.documents.get(&call.service) else {
            let reason = "no document in force names this service";
            return Err(Verdict::not_run(&proof, 404, Step::Route, &self.vm, reason));
        };
        let (name, class) = call
            .class(document)
            .map_err(|error| error.verdict(&proof))?;
        Ok(Plan {
            class: name.to_owned(),
            idempotent: class.idempotent,
            longest: class.deadline,
            queue: class.queue,
            body_limit: document.body_limit,
        })
    }

    fn admit(&mut self, ask: Ask, reply: oneshot::Sender<Result<Permit, Verdict>>) {
        if !ask.history.tried.is_empty() {
            // Thin for now: pause a little before each further attempt.
            let clock = self.clock.clone();
            let sender = self.sender.clone();
            compio::runtime::spawn(async move {
                clock.sleep(ROUTE_PAUSE).await;
                let mut ask = ask;
                ask.history.tried.clear();
                let _ = sender.unbounded_send(Message::Admit {
                    ask: Box::new(ask),
                    reply,
                });
            })
            .detach();
            return;
        }
        let _ = reply.send(self.permit(&ask));
    }

    /// Returns the owner of a point; the group that holds it is told by its slice.
    fn owner(&self, document: &Document, point: Point) -> Option<Owner> {
        let group = group_of(document, point);
        self.tables.get(&group)?.owner(point)
    }

    /// Returns until when this VM may send to an owner.
    fn until(&self, document: &Document, point: Point, owner: &Owner) -> Option<Duration> {
        let group = group_of(document, point);
        self.tables.get(&group)?.until(owner)
    }

    fn permit(&mut self, ask: &Ask) -> Result<Permit, Verdict> {
        let service = &ask.call.service;
        let refuse_at = |step, reason: &str| {
            Verdict::not_run(&ask.proof, 503, step, &self.vm, reason).retry_after(COME_BACK)
        };
        let refuse = |reason: &str| refuse_at(Step::Route, reason);
        let document = self
            .documents
            .get(service)
            .ok_or_else(|| refuse("no document"))?;
        let (target, address, epoch, lease) = match document.ownership {
            Ownership::Exclusive => {
                let owner = self
                    .owner(document, ask.call.point)
                    .ok_or_else(|| refuse("the key has no owner that is known here"))?;
                let now = self.clock.now();
                let until = self.until(document, ask.call.point, &owner);
                if until.is_none_or(|until| until <= now) {
                    return Err(refuse_at(
                        Step::Grant,
                        "no lease to send to the key's owner",
                    ));
                }
                let lease = (owner.fencing == Fencing::Unchecked).then(|| owner.clone());
                (owner.target, owner.address, Some(owner.epoch), lease)
            }
            Ownership::Shared => {
                let index =
                    usize::try_from(self.tickets).unwrap_or(0) % document.targets.len().max(1);
                let (name, target) = document
                    .targets
                    .get_index(index)
                    .ok_or_else(|| refuse("the service has no targets"))?;
                (name.clone(), target.address.clone(), None, None)
            }
        };
        let address = address
            .parse()
            .map_err(|_| refuse("the target's address is no address"))?;
        self.tickets += 1;
        Ok(Permit {
            target,
            address,
            epoch,
            lease,
            ticket: self.tickets,
            router: self.sender.clone(),
            reported: false,
        })
    }
}

/// Returns the group whose slice of the hash space holds a point.
///
/// The slices are those of [`Range::split`](crate::range::Range::split); this finds one without making them all.
fn group_of(document: &Document, point: Point) -> GroupId {
    let groups = u128::from(document.groups.max(1));
    let index = ((u128::from(point) + 1) * groups - 1) >> Point::BITS;
    build::group(&document.service, u32::try_from(index).unwrap_or(0))
}
