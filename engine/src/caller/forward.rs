//! Handles one request: limits, route, target, attempts and response.

use std::{rc::Rc, time::Duration};

use bramleypier_util::{body::Body, headers, memory::Held};
use futures_channel::oneshot;
use hyper::{
    Request, Response, Uri,
    body::Incoming,
    header::{self, HeaderValue},
};

use super::{
    RequestInfo,
    attempts::{self, CallerPresence},
    context::{Context, RoutedRequest},
    failure::Failure,
    local_response::{LocalResponse, RETRY_AFTER, Trace},
    news, payload,
};
use crate::catalogue::{Config, Found};

/// The remaining time assumed for a caller that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns whether the route of a request is idempotent; not if the route isn't known.
pub(super) fn is_idempotent(context: &Context, host: &str, path: &str) -> bool {
    let fleet = context.shared_fleet.get();
    let Some(config) = &fleet.config else {
        return false;
    };
    match config.routes.find(host, path) {
        Found::Route(route) => route.kind.is_idempotent(),
        Found::Nothing => false,
    }
}

/// Returns the host that a request names.
pub(super) fn host<'a>(header: Option<&'a HeaderValue>, uri: &'a Uri) -> &'a str {
    let named = header.and_then(|it| it.to_str().ok());
    named.or_else(|| uri.host()).unwrap_or_default()
}

/// Handles one request, from its arrival at `received_at` to its response.
///
/// A request without a body may start while others of its connection are open, and is refused if its route is no
/// longer idempotent.
pub async fn handle(
    context: Context,
    request: Request<Option<Incoming>>,
    received_at: Duration,
) -> Response<Body> {
    let info = context
        .callers
        .read(request.method(), request.uri(), request.headers());
    let (shared_fleet, clock) = (&context.shared_fleet, &context.clock);
    let refuse = |local| {
        let trace = Trace::default();
        finish(&context, &info, None, received_at, &trace, Err(local))
    };
    let held = context.memory.hold();
    if held.resize(headers::size(request.headers())).is_err() {
        return refuse(payload::no_memory("no memory for its head"));
    }
    let first = context.startup.config(shared_fleet, clock, info.remaining);
    if first.await.is_none() {
        let cause = "no configuration is known yet";
        return refuse(LocalResponse::not_run(cause, RETRY_AFTER));
    }
    let known = news::wait(shared_fleet, clock, info.remaining).await;
    let config = shared_fleet.get().config.clone().filter(|_| known);
    let Some(config) = config else {
        return refuse(LocalResponse::not_run("no news of changes", RETRY_AFTER));
    };
    let routed = match find_route(&context, &info, &config, &request, received_at) {
        Ok(routed) => routed,
        Err(local) => return refuse(local),
    };
    let limit = config.limits.body_bytes;
    drop(config);
    if routed.route.kind.is_idempotent() {
        let (result, trace) = run(&context, &routed, request, limit, held).await;
        return finish(&context, &info, Some(&routed), received_at, &trace, result);
    }
    // A request that can't be retried runs in a task of its own, which continues when its caller disconnects.
    let (sender, receiver) = oneshot::channel();
    let (task_context, task_request) = (context.clone(), routed.clone());
    let read = payload::read(&context, &routed, request.into_parts(), limit, held).await;
    let (outgoing, payload) = match read {
        Ok(ready) => ready,
        Err(local) => {
            return finish(
                &context,
                &info,
                Some(&routed),
                received_at,
                &Trace::default(),
                Err(local),
            );
        }
    };
    let presence = CallerPresence::default();
    let task_presence = presence.clone();
    compio::runtime::spawn(async move {
        let (result, trace) = attempts::run(
            &task_context,
            &task_request,
            outgoing,
            payload,
            &task_presence,
        )
        .await;
        let response = finish(
            &task_context,
            &task_request.info,
            Some(&task_request),
            received_at,
            &trace,
            result,
        );
        if sender.send(response).is_err() {
            task_context
                .report
                .request_line(|| format!("event=caller-left id={}", task_request.info.id));
        }
    })
    .detach();
    let lost = || LocalResponse::new(Failure::Lost, "the request's task ended early");
    let _guard = DisconnectGuard(presence);
    match receiver.await {
        Ok(response) => response,
        Err(_) => finish(
            &context,
            &info,
            Some(&routed),
            received_at,
            &Trace::default(),
            Err(lost()),
        ),
    }
}

/// Records that a caller has disconnected when the task of its connection is dropped.
struct DisconnectGuard(CallerPresence);

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.0.set_left();
    }
}

/// Finds a request's route and service, and computes its deadlines.
fn find_route(
    context: &Context,
    info: &RequestInfo,
    config: &Rc<Config>,
    request: &Request<Option<Incoming>>,
    received_at: Duration,
) -> Result<RoutedRequest, LocalResponse> {
    let host = host(request.headers().get(header::HOST), request.uri());
    let Found::Route(route) = config.routes.find(host, request.uri().path()) else {
        return Err(no_route(context, host, config));
    };
    if request.body().is_none() && !route.kind.is_idempotent() {
        let cause = "the route was idempotent before";
        return Err(LocalResponse::not_run(cause, RETRY_AFTER));
    }
    let service = route.pick_service(rand::random()).to_owned();
    let keyed = config.services.get(&service).is_some_and(|it| it.keyed);
    if keyed && info.key.is_none() {
        return Err(LocalResponse::new(
            Failure::Malformed,
            "the request has no key",
        ));
    }
    let remaining = info.remaining.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = remaining.min(route.timeout);
    // A caller that retries counts the goal from its first attempt.
    let elapsed = context.timeouts.elapsed(&route.name, remaining);
    Ok(RoutedRequest {
        info: info.clone(),
        route: route.clone(),
        service,
        keyed,
        version: config.version,
        received_at,
        goal_deadline: (received_at + route.goal).saturating_sub(elapsed),
        deadline: received_at + timeout,
    })
}

/// Returns the local response for a request without a known route.
///
/// A VM whose knowledge is too old can't rule out that the route has been added since, so it lets the caller retry.
fn no_route(context: &Context, host: &str, config: &Config) -> LocalResponse {
    let cause = format!("no route for host={host} version={}", config.version);
    let confirmations = context.shared_fleet.confirmations();
    if confirmations.is_recent(context.clock.now()) {
        LocalResponse::new(Failure::NoRoute, cause)
    } else {
        LocalResponse::not_run(format!("{cause}, and no news of newer ones"), RETRY_AFTER)
    }
}

async fn run(
    context: &Context,
    routed: &RoutedRequest,
    request: Request<Option<Incoming>>,
    limit: u64,
    held: Held,
) -> (Result<Response<Body>, LocalResponse>, Trace) {
    match payload::read(context, routed, request.into_parts(), limit, held).await {
        Ok((outgoing, payload)) => {
            attempts::run(
                context,
                routed,
                outgoing,
                payload,
                &CallerPresence::default(),
            )
            .await
        }
        Err(local) => (Err(local), Trace::default()),
    }
}

/// Logs and counts the outcome, and builds the local response if there is no other.
fn finish(
    context: &Context,
    info: &RequestInfo,
    routed: Option<&RoutedRequest>,
    received_at: Duration,
    trace: &Trace,
    result: Result<Response<Body>, LocalResponse>,
) -> Response<Body> {
    let took = context.clock.now().saturating_sub(received_at);
    let (outcome, cause, response) = match result {
        Ok(response) => ("answered", String::new(), response),
        Err(local) => {
            let response = build_response(context, info, &local);
            (local.failure.name(), local.cause, response)
        }
    };
    let status = response.status();
    let route = routed.map_or("", |it| &it.route.name);
    context.report.request_line(|| {
        let service = routed.map_or("", |it| &it.service);
        let version = routed.map_or(0, |it| it.version);
        let key = info.key.map(|it| it.to_string()).unwrap_or_default();
        let print = trace.fingerprint.map(|it| it.to_string());
        let print = print.unwrap_or_default();
        let now = context.clock.now();
        let confirmed = context.shared_fleet.confirmations().describe(now);
        format!(
            "event=request id={} route={route} version={version} {confirmed} service={service} key={key} print={print} \
             outcome={outcome} status={} took_ms={} wait_ms={} targets={} cause=\"{cause}\" tries=\"{}\"",
            info.id,
            status.as_u16(),
            took.as_millis(),
            info.remaining.map_or(0, |it| it.as_millis()),
            trace.targets.join(","),
            trace.notes.join("; ")
        )
    });
    context
        .report
        .count("requests", &[("outcome", outcome), ("route", route)]);
    context.report.time("request", took, &[("route", route)]);
    response
}

/// Builds the HTTP response of a local response.
fn build_response(context: &Context, info: &RequestInfo, local: &LocalResponse) -> Response<Body> {
    let mut response = Response::new(Body::from(format!(
        "{}: {}\n",
        local.failure.name(),
        local.cause
    )));
    *response.status_mut() = context.callers.status(local.failure);
    let headers = response.headers_mut();
    context
        .callers
        .add_headers(local.failure, &info.id, local.retry_after, headers);
    if local.failure == Failure::TooLarge
        || local.failure == Failure::TooSlow
        || local.failure == Failure::Malformed
        || local.closes
    {
        // Unread bytes of this request could be taken for the next one on the connection.
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}
