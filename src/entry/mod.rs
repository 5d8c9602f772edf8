//! Entry: accepts callers' requests and sends each to the owner of its key.
//!
//! Every response says whether the request ran. One task per connection runs [`handle`] and owns the
//! request. Shared state (routes, limits, outcomes of orders) belongs to other tasks, which it asks
//! by messages.
//!
//! - [`router`] decides where a request may go, and when;
//! - [`demand`] counts requests per range and hot key;
//! - [`ticket`] has the messages between a request and the router;
//! - [`orders`] decides whether an order may run;
//! - [`forward`] sends a request and classifies the responses;
//! - [`response_body`] streams a target's response body to the caller;
//! - [`payload`] buffers or streams the body of a request;
//! - [`reply`] builds local responses, and prepares the heads of targets' responses.

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

/// The path of the load balancer's health check.
const HEALTH_PATH: &str = "/healthz";

/// The shared handles that a connection's task needs.
#[derive(Clone, Debug)]
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// This VM.
    pub vm: VmId,
    /// Sends messages to the router.
    pub router: mpsc::UnboundedSender<ticket::Message>,
    /// Sends messages to the task for orders.
    pub orders: mpsc::UnboundedSender<orders::Message>,
    /// Sends requests to targets.
    pub sender: target::Sender,
    /// Whether the process accepts new requests.
    pub health: Health,
    /// The timeline, the metrics and the log.
    pub recorder: Recorder,
}

/// Whether the process accepts new requests, as the load balancer's health check reports it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    serving: Rc<Cell<bool>>,
}

impl Health {
    /// Sets whether the load balancer should send requests; those that arrive anyway are served.
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
    /// The caller's request, parsed.
    pub call: Call,
    /// The caller's method and headers.
    pub head: Parts,
    /// The rules of the service's document for it.
    pub policy: ticket::RequestPolicy,
    /// Its deadline.
    pub deadline: Deadline,
}

/// Answers one request of a caller, or the load balancer's health check.
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

/// What the timeline records about a request that was refused or lost.
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
        // The name of an unknown service must not become a label in the metrics.
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

/// Reads and classifies a request, and sends it as idempotent work or as an order.
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
