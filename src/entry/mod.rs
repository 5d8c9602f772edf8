//! Entry: takes callers' requests, sends each to its key's owner, and answers truthfully.
//!
//! One task per connection runs [`handle`]. It owns the request; what is shared (routes, limits,
//! outcomes of orders) belongs to other tasks, which it asks by messages.
//!
//! - [`router`] says where a request may go, and when;
//! - [`demand`] counts what is asked for;
//! - [`ticket`] is what a request and the router say to each other;
//! - [`orders`] says whether an order may run;
//! - [`forward`] sends it and classifies what came back;
//! - [`payload`] keeps or passes on what the caller sent;
//! - [`reply`] makes answers of our own, and passes a target's on.

pub mod demand;
pub mod forward;
pub mod orders;
pub mod payload;
pub mod reply;
pub mod response_body;
pub mod router;
pub mod ticket;

use std::{cell::Cell, rc::Rc};

use futures_channel::mpsc;
use http::{Method, StatusCode, request::Parts};
use hyper::{Request, Response, body::Incoming};

use crate::{
    clock::Clock,
    id::{RequestId, VmId},
    metrics,
    request::{self, Attempt, Call, Deadline, Outcome, Received, Step, Verdict},
    target,
    timeline::{self, Duty},
    util::body::Body,
    vm::recorder::Recorder,
};

/// Where the balancer's health check looks.
const HEALTH_PATH: &str = "/healthz";

/// What the task of a connection needs.
#[derive(Clone, Debug)]
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// This VM.
    pub vm: VmId,
    /// Asks the router.
    pub router: mpsc::UnboundedSender<ticket::Message>,
    /// Sends messages to the task for orders.
    pub orders: mpsc::UnboundedSender<orders::Message>,
    /// Sends work to targets.
    pub sender: target::Sender,
    /// Whether the process takes new work.
    pub health: Health,
    /// The time line, the metrics and the log.
    pub recorder: Recorder,
}

/// Whether the process takes new work, for the balancer.
#[derive(Clone, Debug, Default)]
pub struct Health {
    serving: Rc<Cell<bool>>,
}

impl Health {
    /// Says whether the balancer should send requests; those that arrive all the same are served.
    pub fn set(&self, is_serving: bool) {
        self.serving.set(is_serving);
    }

    fn answer(&self) -> Response<Body> {
        if self.serving.get() {
            reply::plain(StatusCode::OK, "ok\n")
        } else {
            reply::plain(StatusCode::SERVICE_UNAVAILABLE, "takes no new work\n")
        }
    }
}

/// A request that was read and classified.
#[derive(Debug)]
pub struct Job {
    /// What the caller asked.
    pub call: Call,
    /// The caller's method and headers.
    pub head: Parts,
    /// What the service's document says of it.
    pub policy: ticket::RequestPolicy,
    /// When it must have ended.
    pub deadline: Deadline,
}

/// Answers one request of a caller.
pub async fn handle(context: Context, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
        return context.health.answer();
    }
    let _active = context.recorder.enter();
    let attempt = Attempt::new();
    let subject = Subject::of(&request);
    match serve(&context, attempt, request).await {
        Ok(response) => {
            let service = subject.service();
            context.recorder.count(&metrics::REQUESTS_RAN, service);
            response
        }
        Err(verdict) => {
            subject.record(&context.recorder, &verdict);
            reply::verdict(&verdict)
        }
    }
}

/// What the time line says of a request that was refused or lost.
struct Subject {
    path: String,
    id: Option<RequestId>,
}

impl Subject {
    fn of(request: &Request<Incoming>) -> Self {
        let id = request.headers().get(request::IDEMPOTENCY_KEY);
        Self {
            path: request.uri().path().to_owned(),
            id: id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        }
    }

    fn service(&self) -> Option<&str> {
        self.path.split('/').nth(1)
    }

    fn record(&self, recorder: &Recorder, verdict: &Verdict) {
        // A name that no document knows must not become a name in the metrics.
        let is_known = verdict.step != Step::Parse && verdict.step != Step::Route;
        let service = self.service().filter(|_| is_known);
        let (metric, kind) = match verdict.outcome() {
            Outcome::Unknown => (&metrics::REQUESTS_UNKNOWN, timeline::Kind::RequestUnknown),
            _ => (&metrics::REQUESTS_NOT_RUN, timeline::Kind::RequestRefused),
        };
        recorder.count(metric, service);
        let event = timeline::Event::new(Duty::Entry, verdict.step.as_str(), kind);
        let event = event
            .peer(verdict.peer.as_str())
            .cause(verdict.reason.as_str());
        let event = match service {
            Some(service) => event.service(service),
            None => event,
        };
        recorder.event(match &self.id {
            Some(id) => event.request(id.as_str()),
            None => event,
        });
    }
}

/// Reads and classifies a request, and hands it on by its kind.
async fn serve(
    context: &Context,
    attempt: Attempt<Received>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Verdict> {
    let (head, body) = request.into_parts();
    let proof = attempt.proof();
    let call = Call::read(&head).map_err(|error| error.verdict(&proof))?;
    let (call, policy) = ticket::classify(context, call, proof).await?;
    let deadline = Deadline::new(context.clock.now(), call.timeout, policy.max_deadline);
    let job = Job {
        call,
        head,
        policy,
        deadline,
    };
    if job.policy.idempotent {
        forward::send_idempotent(context, attempt, job, body).await
    } else {
        forward::send_order(context, attempt, job, body).await
    }
}
