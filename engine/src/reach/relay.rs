//! Relays requests between VMs: a VM that reaches no target sends a request to one that does, which forwards it to the
//! target that the sender has chosen, and returns the response.
//!
//! The relayed message is the request as the target gets it, with two headers more; the relay removes them. A response
//! without a `relay-result` header comes from a build that doesn't relay, which has forwarded nothing.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bramleypier_util::{
    body::{self as util_body, Body},
    client::{self, Client, Exchange, ResponseBody, SendGuard},
    headers,
    memory::{Held, Memory},
    server::ResponseEnd,
};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{self, HeaderName, HeaderValue},
};

use super::Reach;
use crate::{
    body::{self, STREAM_BYTES},
    catalogue::TargetId,
    fleet::{SharedFleet, Vm},
    report::Report,
    serving::ServingState,
};

/// The path of the question whether a VM reaches targets.
pub const REACH_PATH: &str = "/reach";
/// The id of the target that a relayed request is for.
const TARGET: HeaderName = HeaderName::from_static("relay-target");
/// For how many milliseconds the relay waits for the target.
const TIMEOUT_MS: HeaderName = HeaderName::from_static("relay-timeout-ms");
/// How a relayed request ended: the name of a [`RelayResult`].
const RESULT: HeaderName = HeaderName::from_static("relay-result");
/// The timeout of the question: a VM may have to probe targets before it answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(450);
/// The maximum size of the question.
const MAX_QUESTION_BYTES: usize = 4096;
/// How much longer than the relay its sender waits, so that the relay's report arrives.
const REPORT_TIME: Duration = Duration::from_millis(20);

/// How a relayed request ended at the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayResult {
    /// The target has responded.
    Answered,
    /// The relay reaches no targets either, or is about to stop; nothing was sent.
    Declined,
    /// The target could not be reached, or isn't known; nothing was sent.
    Unsent,
    /// The connection to the target ended after a part of the request may have arrived.
    Broken,
    /// The target has not responded in time.
    TimedOut,
}

impl RelayResult {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::Declined,
        Self::Unsent,
        Self::Broken,
        Self::TimedOut,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Declined => "declined",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let name = headers.get(RESULT)?;
        Self::ALL.into_iter().find(|it| name == it.name())
    }
}

/// Why a relayed request got no response of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The VM could not be reached or doesn't relay; nothing was sent to the target.
    Declined(String),
    /// The VM could not reach the target; nothing was sent.
    Unsent(String),
    /// The request was withdrawn before it was sent to the VM; nothing was sent.
    Withdrawn(String),
    /// The target's connection ended after a part of the request may have arrived.
    Broken(String),
    /// The relay's connection ended after a part of the request may have arrived.
    Lost(String),
    /// The time ran out; a part of the request may have arrived.
    TimedOut,
}

/// Asks a VM whether it reaches any of some targets; no answer counts as no.
pub async fn ask(client: &Client, vm: &Vm, targets: &[TargetId]) -> bool {
    // Strings always encode.
    let message = rmp_serde::to_vec(targets).unwrap_or_default();
    let mut request = Request::new(Body::from(message));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(REACH_PATH);
    let sent = client.send(vm.address, request, ASK_TIMEOUT).await;
    sent.is_ok_and(|response| response.status() == StatusCode::NO_CONTENT)
}

/// Sends a request to a target through a VM, unless `guard` withdraws it before its first byte is written.
///
/// # Errors
///
/// See [`Error`].
pub async fn send(
    client: &Client,
    vm: &Vm,
    target: &TargetId,
    mut request: Request<Body>,
    timeout: Duration,
    guard: Rc<dyn SendGuard>,
) -> Result<Response<ResponseBody>, Error> {
    let Ok(id) = HeaderValue::from_str(target) else {
        return Err(Error::Declined("the target's id is no header".to_owned()));
    };
    let relay_timeout = timeout.saturating_sub(REPORT_TIME);
    let millis = u64::try_from(relay_timeout.as_millis()).unwrap_or(u64::MAX);
    let headers = request.headers_mut();
    headers.insert(TARGET, id);
    headers.insert(TIMEOUT_MS, HeaderValue::from(millis));
    let exchange = Exchange {
        guard: Some(guard),
        ..Exchange::default()
    };
    let sent = client.send_with(vm.address, request, timeout, exchange);
    let mut response = sent.await.map_err(|error| {
        let cause = format!("via {}: {error}", vm.name);
        match error {
            client::Error::Withdrawn(_) => Error::Withdrawn(cause),
            _ if error.unsent() => Error::Declined(cause),
            client::Error::Timeout(..) => Error::TimedOut,
            _ => Error::Lost(cause),
        }
    })?;
    let result = RelayResult::read(response.headers()).unwrap_or(RelayResult::Declined);
    let cause = || format!("via {}: {}", vm.name, result.name());
    match result {
        RelayResult::Answered => {
            response.headers_mut().remove(RESULT);
            Ok(response)
        }
        RelayResult::Declined => Err(Error::Declined(cause())),
        RelayResult::Unsent => Err(Error::Unsent(cause())),
        RelayResult::Broken => Err(Error::Broken(cause())),
        RelayResult::TimedOut => Err(Error::TimedOut),
    }
}

/// The side of the relay.
#[derive(Clone)]
pub struct Relay {
    /// Whether this VM reaches targets.
    pub reach: Reach,
    /// Connections to targets.
    pub client: Client,
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// Whether this process is about to stop.
    pub serving: ServingState,
    /// The memory for what is held for other VMs and their callers.
    pub memory: Memory,
    /// The number of requests that are being relayed.
    pub in_flight: Rc<Cell<usize>>,
    /// Counts what is relayed.
    pub report: Report,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

/// Counts one request that is being relayed until it is dropped.
struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Relay {
    /// Returns whether a message of another VM is for the relay.
    pub fn handles(request: &Request<Incoming>) -> bool {
        request.uri().path() == REACH_PATH && request.method() == Method::POST
            || request.headers().contains_key(TARGET)
    }

    /// Handles such a message.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        if request.headers().contains_key(TARGET) {
            return self.forward(request).await;
        }
        let mut response = Response::new(Body::empty());
        *response.status_mut() = if self.reaches(request).await {
            StatusCode::NO_CONTENT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        response
    }

    /// Returns whether this VM reaches any of the targets that a question names, and can relay requests.
    async fn reaches(&self, request: Request<Incoming>) -> bool {
        if self.serving.is_draining() || self.reach.is_cut_off() {
            return false;
        }
        let Ok(bytes) = util_body::read(request.into_body(), MAX_QUESTION_BYTES).await else {
            return false;
        };
        let targets: Vec<TargetId> = rmp_serde::from_slice(&bytes).unwrap_or_default();
        self.reach.probe_any(&targets).await
    }

    /// Forwards a request to the target that it names.
    async fn forward(self, request: Request<Incoming>) -> Response<Body> {
        let _in_flight = InFlight::new(&self.in_flight);
        if self.serving.is_draining() || self.reach.is_cut_off() {
            return self.finish(RelayResult::Declined, Response::new(Body::empty()));
        }
        let Some((address, timeout)) = self.destination(request.headers()) else {
            return self.finish(RelayResult::Unsent, Response::new(Body::empty()));
        };
        let Some(holder) = self.hold() else {
            return self.finish(RelayResult::Declined, Response::new(Body::empty()));
        };
        let end = self.reach.now() + timeout;
        match self.client.send(address, outgoing(request), timeout).await {
            Ok(response) => {
                let (mut head, rest) = response.into_parts();
                head.extensions.insert(ResponseEnd(end));
                headers::strip(&mut head.headers);
                let body = body::stream(body::Streamed::new(Bytes::new(), rest)).with_held(holder);
                self.finish(RelayResult::Answered, Response::from_parts(head, body))
            }
            // The sender finds neither the request's id nor a signature in it, as in the response that came.
            Err(
                client::Error::Foreign(_) | client::Error::Joined(_) | client::Error::Malformed(_),
            ) => {
                let response = Response::new(Body::empty());
                self.finish(RelayResult::Answered, response)
            }
            Err(error) => {
                let result = match error {
                    _ if error.unsent() => RelayResult::Unsent,
                    client::Error::Timeout(..) => RelayResult::TimedOut,
                    _ => RelayResult::Broken,
                };
                let mut response = Response::new(Body::empty());
                *response.status_mut() = StatusCode::BAD_GATEWAY;
                self.finish(result, response)
            }
        }
    }

    /// Holds the buffers that a relayed request takes; `None` if there is no memory for them.
    fn hold(&self) -> Option<Held> {
        let holder = self.memory.hold();
        holder.resize(STREAM_BYTES).ok().map(|()| holder)
    }

    /// Returns the address of the target that a request names, and the timeout; `None` if the target isn't known, or leaves.
    fn destination(&self, headers: &HeaderMap) -> Option<(SocketAddr, Duration)> {
        let id = headers.get(TARGET)?.to_str().ok()?;
        let millis = headers.get(TIMEOUT_MS)?.to_str().ok()?.parse().ok()?;
        let fleet = self.shared_fleet.get();
        let target = fleet.targets.get(id)?;
        // The sender may not know yet that the target leaves, or the request may have been held on its way.
        let accepts = fleet.accepts_requests(self.reach.now(), target, true);
        accepts.then(|| (target.address, Duration::from_millis(millis)))
    }

    fn finish(&self, result: RelayResult, mut response: Response<Body>) -> Response<Body> {
        self.report.count("relayed", &[("result", result.name())]);
        let name = HeaderValue::from_static(result.name());
        response.headers_mut().insert(RESULT, name);
        response
    }
}

/// Builds the request that the target gets.
fn outgoing(request: Request<Incoming>) -> Request<Body> {
    let (mut head, rest) = request.into_parts();
    head.headers.remove(TARGET);
    head.headers.remove(TIMEOUT_MS);
    head.headers.remove(header::CONTENT_LENGTH);
    headers::strip(&mut head.headers);
    let body = body::stream(body::Streamed::new(Bytes::new(), rest));
    Request::from_parts(head, body)
}
