//! A request's way: limits, route, target, tries, answer.

use std::{rc::Rc, time::Duration};

use bramleypier_util::{body::Body, clock::Clock};
use futures_channel::oneshot;
use hyper::{Request, Response, body::Incoming, header};

use super::{
    CallerProtocol, RequestInfo,
    attempt::Sender,
    attempts::{self, Here},
    failure::Failure,
    local_response::{COME_BACK, Own, Trace},
    payload,
    startup::StartupWait,
    timeouts::RouteTimeouts,
};
use crate::{
    catalogue::{Config, Found, Route},
    fleet::SharedFleet,
    health::Health,
    owner::tally::Tally,
    placement::task,
    report::Report,
};

/// How long a caller waits that doesn't say.
const WAIT: Duration = Duration::from_secs(30);

/// What a request's way needs.
#[derive(Clone)]
pub struct Context {
    /// What is believed of the fleet.
    pub shared_fleet: SharedFleet,
    /// Whether the manager is heard, who relays what is new.
    pub manager_health: Health,
    /// How callers are understood.
    pub callers: Rc<dyn CallerProtocol>,
    /// Decides on targets.
    pub dispatcher: task::Handle,
    /// Sends to targets.
    pub sender: Sender,
    /// Requests that come before the first configuration.
    pub early: StartupWait,
    /// How long callers wait at the most, by route.
    pub patience: RouteTimeouts,
    /// Counts requests by key.
    pub tally: Tally,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// What is known of a request once its route is.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) asked: RequestInfo,
    pub(super) route: Route,
    pub(super) service: String,
    /// Whether only the owner of the key can serve it.
    pub(super) keyed: bool,
    /// The configuration's version.
    pub(super) version: u64,
    pub(super) came: Duration,
    /// Until when an answer is in time for its route's goal.
    pub(super) goal: Duration,
    /// Until when its caller waits.
    pub(super) until: Duration,
}

/// Answers one request.
pub async fn handle(context: Context, request: Request<Incoming>) -> Response<Body> {
    let came = context.clock.now();
    let asked = context
        .callers
        .read(request.method(), request.uri(), request.headers());
    let (shared_fleet, clock) = (&context.shared_fleet, &context.clock);
    let Some(config) = context
        .early
        .config(shared_fleet, clock, asked.remaining)
        .await
    else {
        let own = Own::not_run("no configuration is known yet", COME_BACK);
        return finish(&context, &asked, None, came, &Trace::default(), Err(own));
    };
    let job = match plan(&context, &asked, &config, &request, came) {
        Ok(job) => job,
        Err(own) => return finish(&context, &asked, None, came, &Trace::default(), Err(own)),
    };
    let limit = config.limits.body_bytes;
    drop(config);
    if job.route.kind.is_idempotent() {
        let (result, trace) = run(&context, &job, request, limit).await;
        return finish(&context, &asked, Some(&job), came, &trace, result);
    }
    // Work that can't be repeated goes on to its end when its caller leaves.
    let (sender, receiver) = oneshot::channel();
    let (inner, order) = (context.clone(), job.clone());
    let read = payload::read(&context, &job, request.into_parts(), limit).await;
    let (work, payload) = match read {
        Ok(ready) => ready,
        Err(own) => {
            return finish(
                &context,
                &asked,
                Some(&job),
                came,
                &Trace::default(),
                Err(own),
            );
        }
    };
    let here = Here::default();
    let caller = here.clone();
    compio::runtime::spawn(async move {
        let (result, trace) = attempts::run(&inner, &order, work, payload, &caller).await;
        let response = finish(&inner, &order.asked, Some(&order), came, &trace, result);
        if sender.send(response).is_err() {
            inner
                .report
                .request_line(|| format!("event=caller-left id={}", order.asked.id));
        }
    })
    .detach();
    let lost = || Own::new(Failure::Lost, "the request's task ended early");
    let _leaving = Leaving(here);
    match receiver.await {
        Ok(response) => response,
        Err(_) => finish(
            &context,
            &asked,
            Some(&job),
            came,
            &Trace::default(),
            Err(lost()),
        ),
    }
}

/// Tells that a caller has left when its connection's task is dropped.
struct Leaving(Here);

impl Drop for Leaving {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// Finds a request's route and the end of its time.
fn plan(
    context: &Context,
    asked: &RequestInfo,
    config: &Rc<Config>,
    request: &Request<Incoming>,
    came: Duration,
) -> Result<Job, Own> {
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|it| it.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let Found::Route(route) = config.routes.find(host, request.uri().path()) else {
        return Err(no_route(context, host, config));
    };
    let service = route.pick_service(rand::random()).to_owned();
    let keyed = config.services.get(&service).is_some_and(|it| it.keyed);
    if keyed && asked.key.is_none() {
        return Err(Own::new(Failure::Malformed, "the request has no key"));
    }
    let told = asked.remaining.unwrap_or(WAIT);
    let wait = told.min(route.timeout);
    // A caller that tries again counts from its first try.
    let before = context.patience.passed(&route.name, told);
    Ok(Job {
        asked: asked.clone(),
        route: route.clone(),
        service,
        keyed,
        version: config.version,
        came,
        goal: (came + route.goal).saturating_sub(before),
        until: came + wait,
    })
}

/// What a caller is told whose route isn't known.
///
/// A VM without news can't say that there is none: the route may have been added since.
fn no_route(context: &Context, host: &str, config: &Config) -> Own {
    let cause = format!("no route for host={host} version={}", config.version);
    if context.shared_fleet.get().config_followed || context.manager_health.is_healthy() {
        Own::new(Failure::NoRoute, cause)
    } else {
        Own::not_run(format!("{cause}, and no news of newer ones"), COME_BACK)
    }
}

async fn run(
    context: &Context,
    job: &Job,
    request: Request<Incoming>,
    limit: u64,
) -> (Result<Response<Body>, Own>, Trace) {
    match payload::read(context, job, request.into_parts(), limit).await {
        Ok((work, payload)) => attempts::run(context, job, work, payload, &Here::default()).await,
        Err(own) => (Err(own), Trace::default()),
    }
}

/// Logs and counts the outcome, and builds an answer of our own where there is none.
fn finish(
    context: &Context,
    asked: &RequestInfo,
    job: Option<&Job>,
    came: Duration,
    trace: &Trace,
    result: Result<Response<Body>, Own>,
) -> Response<Body> {
    let took = context.clock.now().saturating_sub(came);
    let (outcome, cause, response) = match result {
        Ok(response) => ("answered", String::new(), response),
        Err(own) => {
            let response = speak(context, asked, &own);
            (own.word.name(), own.cause, response)
        }
    };
    let status = response.status();
    let route = job.map_or("", |it| &it.route.name);
    context.report.request_line(|| {
        let service = job.map_or("", |it| &it.service);
        let version = job.map_or(0, |it| it.version);
        let point = asked.key.map(|it| it.to_string()).unwrap_or_default();
        format!(
            "event=request id={} route={route} version={version} service={service} key={point} \
             outcome={outcome} status={} took_ms={} wait_ms={} targets={} cause=\"{cause}\" tries=\"{}\"",
            asked.id,
            status.as_u16(),
            took.as_millis(),
            asked.remaining.map_or(0, |it| it.as_millis()),
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

/// Builds an answer of our own.
fn speak(context: &Context, asked: &RequestInfo, own: &Own) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{}: {}\n", own.word.name(), own.cause)));
    *response.status_mut() = context.callers.status(own.word);
    let headers = response.headers_mut();
    context
        .callers
        .add_headers(own.word, &asked.id, own.retry, headers);
    if own.word == Failure::TooLarge
        || own.word == Failure::TooSlow
        || own.word == Failure::Malformed
    {
        // What is left of the request can't be told from the next one.
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}
