//! Entry: takes callers' requests, sends each to its key's owner, and answers truthfully.
//!
//! One task per connection runs [`handle`]. It owns the request; what is shared (routes, limits,
//! outcomes of orders) belongs to other tasks, which it asks by messages.
//!
//! - [`router`] says where a request may go, and when;
//! - [`desk`] says whether an order may run;
//! - [`forward`] sends it and classifies what came back;
//! - [`payload`] keeps or passes on what the caller sent;
//! - [`reply`] makes answers of our own, and passes a target's on.

pub mod desk;
pub mod forward;
pub mod passing;
pub mod payload;
pub mod reply;
pub mod router;

use std::{cell::Cell, rc::Rc};

use futures_channel::mpsc;
use http::{Method, StatusCode, request::Parts};
use hyper::{Request, Response, body::Incoming};

use crate::{
    clock::Clock,
    id::VmId,
    request::{Attempt, Call, Deadline, Received, Verdict},
    target,
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
    pub router: mpsc::UnboundedSender<router::Message>,
    /// Asks the desk for orders.
    pub desk: mpsc::UnboundedSender<desk::Message>,
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
    pub plan: router::Plan,
    /// When it must have ended.
    pub deadline: Deadline,
}

/// Answers one request of a caller.
pub async fn handle(context: Context, request: Request<Incoming>) -> Response<Body> {
    if request.method() == Method::GET && request.uri().path() == HEALTH_PATH {
        return context.health.answer();
    }
    let attempt = Attempt::new();
    match serve(&context, attempt, request).await {
        Ok(response) => response,
        Err(verdict) => reply::verdict(&verdict),
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
    let plan = router::classify(context, call.clone(), proof).await?;
    let deadline = Deadline::new(context.clock.now(), call.wait, plan.longest);
    let job = Job {
        call,
        head,
        plan,
        deadline,
    };
    if job.plan.idempotent {
        forward::plain(context, attempt, job, body).await
    } else {
        forward::order(context, attempt, job, body).await
    }
}
