//! Serves callers' connections and the load balancer's readiness checks.

use std::time::Duration;

use bramleypier_util::{
    body::Body,
    pipeline::{Event, Handler, Pipelining, RequestTarget},
    server::{self, ConnectionLimits, Control, ServerLimits},
};
use compio::net::TcpListener;
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use hyper::{Request, Response, StatusCode, body::Incoming, header};

use super::{attempt::MAX_BUFFERED_RESPONSE_BYTES, context::Context, forward};
use crate::{catalogue::CallerLimits, serving::ServingState};

/// The most bytes of a response in memory before its turn: a streamed one has the buffered bytes and a further chunk.
const RESPONSE_BYTES: usize = MAX_BUFFERED_RESPONSE_BYTES + 64 * 1024;

/// Handles callers' requests.
#[derive(Clone, Debug)]
struct CallerHandler {
    context: Context,
    state: ServingState,
}

impl CallerHandler {
    fn run(&self, request: Request<Option<Incoming>>) -> LocalBoxFuture<'static, Response<Body>> {
        let received_at = self.context.clock.now();
        forward::handle(self.context.clone(), request, received_at).boxed_local()
    }
}

impl Handler for CallerHandler {
    type Answer = LocalBoxFuture<'static, Response<Body>>;

    fn handle(&self, request: Request<Incoming>) -> Self::Answer {
        self.run(request.map(Some))
    }

    fn is_idempotent(&self, target: &RequestTarget) -> bool {
        let host = forward::host(target.host.as_ref(), &target.uri);
        forward::is_idempotent(&self.context, host, target.uri.path())
    }

    fn start_early(&self, request: Request<()>) -> Option<Self::Answer> {
        let host = forward::host(request.headers().get(header::HOST), request.uri());
        forward::is_idempotent(&self.context, host, request.uri().path())
            .then(|| self.run(request.map(|()| None)))
    }

    fn is_draining(&self) -> bool {
        self.state.is_draining()
    }

    fn on_event(&self, event: Event) {
        let report = &self.context.report;
        match event {
            Event::Started(ahead) => {
                report.count("pipeline.started", &[("ahead", &ahead.to_string())]);
            }
            Event::Waited { time, bytes } => {
                report.time("pipeline.wait", time, &[]);
                report.add("pipeline.wait_bytes", bytes as u64, &[]);
            }
            Event::Stopped(cause) => report.count("pipeline.stopped", &[("cause", cause.name())]),
            Event::Displaced(silent) => {
                report.count("connections.closed", &[("reason", "displaced")]);
                let millis = silent.as_millis();
                report.line(&format!("event=connection-displaced silent_ms={millis}"));
            }
            Event::TurnedAway => {
                report.count("connections.closed", &[("reason", "turned-away")]);
                report.line("event=connection-turned-away");
            }
            Event::GivenUp => {
                report.count("connections.closed", &[("reason", "memory")]);
                report.line("event=response-given-up cause=\"its memory is needed\"");
            }
        }
    }
}

/// Serves callers until the control stops it, within the limits of the server; `open_requests` is the most of a connection that
/// are open at once.
pub async fn callers(
    listener: TcpListener,
    control: Control,
    context: Context,
    state: ServingState,
    open_requests: usize,
    capacity: ServerLimits,
) {
    let (shared_fleet, clock) = (context.shared_fleet.clone(), context.clock.clone());
    let limits = move || {
        let fleet = shared_fleet.get();
        connection_limits(
            fleet
                .config
                .as_ref()
                .map_or_else(CallerLimits::default, |it| it.limits),
        )
    };
    let pipelining = Pipelining {
        requests: open_requests,
        response_bytes: RESPONSE_BYTES,
    };
    let handler = CallerHandler { context, state };
    let (limits, handler) = ((capacity, limits), (pipelining, handler));
    server::serve_pipelined(listener, control, clock, limits, handler).await;
}

fn connection_limits(limits: CallerLimits) -> ConnectionLimits {
    ConnectionLimits {
        head_bytes: limits.head_bytes,
        head_time: limits.head_time,
        idle_time: limits.idle_time,
    }
}

/// Serves the load balancer's readiness checks: 200 if this VM is ready, else 503.
pub async fn readiness(listener: TcpListener, control: Control, state: ServingState) {
    let handler = move |_| {
        let ready = state.is_ready();
        async move {
            let mut response = Response::new(Body::empty());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    server::serve(listener, control, handler).await;
}

/// The time within which the load balancer detects that a VM is not ready: it checks once a second
/// and needs two failed checks.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2300);
