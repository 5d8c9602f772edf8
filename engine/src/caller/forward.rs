//! A request's way: limits, route, target, tries, answer.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::{body::Body, clock::Clock};
use futures_channel::oneshot;
use hyper::{
    Request, Response,
    body::{Body as _, Bytes, Incoming},
    header,
};

use super::{
    Asked, Callers,
    attempt::{LEAST_TIME, Payload, Sender, Tried, Work},
    body::{self, Streamed, Taken},
    headers,
    patience::Patience,
    words::Word,
};
use crate::{
    catalogue::{Config, Found, Kind, Route},
    fleet::Beliefs,
    owner::tally::Tally,
    place::{desk::Ask, task},
    report::Report,
    target::Refusal,
};

/// The largest request body that is read whole, in bytes; only such a one can be sent twice.
const WHOLE_REQUEST: usize = 256 * 1024;
/// How long a caller waits that doesn't say.
const WAIT: Duration = Duration::from_secs(30);
/// How often a try may end without anything sent until the request is refused.
const UNSENT_MOST: u32 = 4;
/// The time to come back that is told when nothing better is known.
const COME_BACK: Duration = Duration::from_millis(300);
/// How often a target may say that it doesn't own a key until the request is refused.
const UNOWNED_MOST: u32 = 3;

/// What a request's way needs.
#[derive(Clone)]
pub struct Context {
    /// What is believed of the fleet.
    pub beliefs: Beliefs,
    /// How callers are understood.
    pub callers: Rc<dyn Callers>,
    /// Decides on targets.
    pub desk: task::Handle,
    /// Sends to targets.
    pub sender: Sender,
    /// How long callers wait at the most, by route.
    pub patience: Patience,
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

/// An answer of our own.
#[derive(Clone, Debug)]
struct Own {
    word: Word,
    cause: String,
    retry: Option<Duration>,
}

impl Own {
    fn new<T>(word: Word, cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            word,
            cause: cause.into(),
            retry: None,
        }
    }

    fn not_run<T>(cause: T, retry: Duration) -> Self
    where
        T: Into<String>,
    {
        Self {
            retry: Some(retry),
            ..Self::new(Word::NotRun, cause)
        }
    }
}

/// What is known of a request once its route is.
#[derive(Clone, Debug)]
struct Job {
    asked: Asked,
    route: Route,
    service: String,
    keyed: bool,
    version: u64,
    came: Duration,
    goal: Duration,
    until: Duration,
}

/// What was tried for a request, for the log.
#[derive(Clone, Debug, Default)]
struct Trace {
    targets: Vec<String>,
    notes: Vec<String>,
}

/// Answers one request.
pub async fn handle(context: Context, request: Request<Incoming>) -> Response<Body> {
    let came = context.clock.now();
    let asked = context
        .callers
        .read(request.method(), request.uri(), request.headers());
    let Some(config) = context.beliefs.get().config.clone() else {
        let own = Own::not_run("no configuration is known yet", COME_BACK);
        return finish(&context, &asked, None, came, &Trace::default(), Err(own));
    };
    let job = match plan(&context, &asked, &config, &request, came) {
        Ok(job) => job,
        Err(own) => return finish(&context, &asked, None, came, &Trace::default(), Err(own)),
    };
    let limit = config.limits.body_bytes;
    drop(config);
    if job.route.kind.may_repeat() {
        let (result, trace) = run(&context, &job, request, limit).await;
        return finish(&context, &asked, Some(&job), came, &trace, result);
    }
    // Work that can't be repeated goes on to its end when its caller leaves.
    let (sender, receiver) = oneshot::channel();
    let (inner, order) = (context.clone(), job.clone());
    let payload = payload(&context, &job, request.into_parts(), limit).await;
    let (work, payload) = match payload {
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
        let (result, trace) = attempts(&inner, &order, work, payload, &caller).await;
        let response = finish(&inner, &order.asked, Some(&order), came, &trace, result);
        if sender.send(response).is_err() {
            inner
                .report
                .request_line(|| format!("event=caller-left id={}", order.asked.id));
        }
    })
    .detach();
    let lost = || Own::new(Word::Lost, "the request's task ended early");
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

/// Whether a request's caller is still there.
#[derive(Clone, Debug)]
struct Here(Rc<Cell<bool>>);

impl Default for Here {
    fn default() -> Self {
        Self(Rc::new(Cell::new(true)))
    }
}

/// Tells that a caller has left when its connection's task is dropped.
struct Leaving(Here);

impl Drop for Leaving {
    fn drop(&mut self) {
        self.0.0.set(false);
    }
}

/// Finds a request's route and the end of its time.
fn plan(
    context: &Context,
    asked: &Asked,
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
        let cause = format!("no route for host={host} version={}", config.version);
        return Err(Own::new(Word::NoRoute, cause));
    };
    let service = route.pick(rand::random()).to_owned();
    let keyed = config.services.get(&service).is_some_and(|it| it.keyed);
    if keyed && asked.point.is_none() {
        return Err(Own::new(Word::Malformed, "the request has no key"));
    }
    let told = asked.wait.unwrap_or(WAIT);
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

async fn run(
    context: &Context,
    job: &Job,
    request: Request<Incoming>,
    limit: u64,
) -> (Result<Response<Body>, Own>, Trace) {
    match payload(context, job, request.into_parts(), limit).await {
        Ok((work, payload)) => attempts(context, job, work, payload, &Here::default()).await,
        Err(own) => (Err(own), Trace::default()),
    }
}

/// Reads the request's body, or as much of it as may be kept.
async fn payload(
    context: &Context,
    job: &Job,
    (mut head, incoming): (http::request::Parts, Incoming),
    limit: u64,
) -> Result<(Work, Payload), Own> {
    let size = incoming.size_hint();
    if size.lower() > limit {
        return Err(Own::new(
            Word::TooLarge,
            format!("body={} limit={limit}", size.lower()),
        ));
    }
    headers::strip(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let path = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let uri = path
        .parse()
        .map_err(|_| Own::new(Word::Malformed, "the path can't be read"))?;
    let work = Work {
        id: job.asked.id.clone(),
        method: head.method,
        uri,
        headers: head.headers,
    };
    let left = job.until.saturating_sub(context.clock.now());
    let whole = WHOLE_REQUEST.min(usize::try_from(limit).unwrap_or(usize::MAX));
    let taken = context
        .clock
        .timeout(left, body::take(incoming, whole))
        .await;
    let payload = match taken {
        Ok(Ok(Taken::Whole(bytes))) => Payload::Whole(bytes),
        Ok(Ok(Taken::Begun(pieces, rest))) => {
            let read: usize = pieces.iter().map(Bytes::len).sum();
            if read as u64 > limit {
                return Err(Own::new(
                    Word::TooLarge,
                    format!("body>{read} limit={limit}"),
                ));
            }
            Payload::Once(Some(body::stream(Streamed::new(pieces, rest))))
        }
        Ok(Err(error)) => {
            return Err(Own::new(
                Word::Malformed,
                format!("the body broke off: {error}"),
            ));
        }
        Err(_) => return Err(Own::new(Word::TooSlow, "the body did not arrive in time")),
    };
    Ok((work, payload))
}

/// Tries targets until one answers or the request is given up.
async fn attempts(
    context: &Context,
    job: &Job,
    work: Work,
    mut payload: Payload,
    here: &Here,
) -> (Result<Response<Body>, Own>, Trace) {
    let mut trace = Trace::default();
    let mut history = History::default();
    let result = loop {
        let step = next(
            context,
            job,
            &work,
            &mut payload,
            &mut history,
            &mut trace,
            here,
        );
        match step.await {
            Step::Again => {}
            Step::End(result) => break result,
        }
    };
    (result, trace)
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
struct History {
    /// Targets that it reached.
    reached: Vec<String>,
    /// How often it arrived at a target.
    arrivals: u32,
    unsent: u32,
    unowned: u32,
    /// It may have run.
    doubt: Option<Own>,
    /// A target's failure that can be passed on if nothing better comes.
    failure: Option<Response<Body>>,
}

enum Step {
    Again,
    End(Result<Response<Body>, Own>),
}

impl History {
    /// Ends a request that can't be sent any more.
    fn give_up(&mut self, own: Own) -> Step {
        if let Some(response) = self.failure.take() {
            return Step::End(Ok(response));
        }
        // Once it may have run, no refusal can say otherwise.
        Step::End(Err(self.doubt.take().unwrap_or(own)))
    }
}

async fn next(
    context: &Context,
    job: &Job,
    work: &Work,
    payload: &mut Payload,
    history: &mut History,
    trace: &mut Trace,
    here: &Here,
) -> Step {
    let repeat = history.arrivals > 0;
    let ask = Ask {
        ticket: 0,
        service: job.service.clone(),
        point: job.asked.point.filter(|_| job.keyed),
        priority: job.route.priority,
        came: job.came,
        goal: job.goal,
        until: job.until,
        // Only the owner can serve a key, also a second time.
        tried: if job.keyed {
            Vec::new()
        } else {
            history.reached.clone()
        },
        large: job.route.kind == Kind::Download,
        repeat,
    };
    let permit = match context.desk.ask(ask).await {
        Ok(permit) => permit,
        Err(refused) => {
            trace
                .notes
                .push(format!("{}: {}", refused.why.name(), refused.basis));
            return history.give_up(Own::not_run(refused.why.name(), refused.retry));
        }
    };
    let left = job.until.saturating_sub(context.clock.now());
    if left < LEAST_TIME {
        return history.give_up(Own::not_run("its time ended while it waited", COME_BACK));
    }
    if !here.0.get() {
        return history.give_up(Own::not_run("its caller left while it waited", COME_BACK));
    }
    let Some(body) = payload.take() else {
        return history.give_up(Own::not_run("its body has been sent once", COME_BACK));
    };
    let target = permit.target.id.clone();
    trace.targets.push(target.clone());
    trace.notes.push(format!("sent: {}", permit.basis));
    if let Some(point) = job
        .asked
        .point
        .filter(|_| job.keyed && history.arrivals == 0)
    {
        context.tally.count(&job.service, point);
    }
    let tried = context.sender.send(work, body, permit, left).await;
    if !matches!(tried, Tried::Unsent(_)) {
        history.arrivals += 1;
    }
    judge(job, payload, history, trace, target, tried)
}

/// Decides what a try's end means for the request.
fn judge(
    job: &Job,
    payload: &Payload,
    history: &mut History,
    trace: &mut Trace,
    target: String,
    tried: Tried,
) -> Step {
    let may_repeat = job.route.kind.may_repeat();
    let attempts = usize::try_from(job.route.attempts).unwrap_or(usize::MAX);
    let step = match tried {
        Tried::Answered(response) => {
            history.reached.push(target);
            let failed = response.status().is_server_error();
            if !failed || !may_repeat || history.reached.len() >= attempts {
                return Step::End(Ok(response));
            }
            trace
                .notes
                .push(format!("status {}", response.status().as_u16()));
            history.failure = Some(response);
            Step::Again
        }
        Tried::Refused(Refusal::Unowned, status) => {
            trace
                .notes
                .push(format!("not its owner, status {}", status.as_u16()));
            history.unowned += 1;
            if history.unowned > UNOWNED_MOST {
                return history.give_up(Own::not_run("the key is moving", COME_BACK));
            }
            return Step::Again;
        }
        Tried::Refused(_, status) => {
            trace
                .notes
                .push(format!("refused with {}", status.as_u16()));
            history.reached.push(target);
            Step::Again
        }
        Tried::Unsent(error) => {
            trace.notes.push(error.to_string());
            history.unsent += 1;
            if history.unsent > UNSENT_MOST {
                return history.give_up(Own::not_run("no target could be reached", COME_BACK));
            }
            return Step::Again;
        }
        Tried::Lost(cause) => {
            trace.notes.push(cause.clone());
            history.reached.push(target);
            history.doubt = Some(Own::new(Word::Lost, cause));
            if !may_repeat {
                return history.give_up(Own::new(Word::Lost, "lost"));
            }
            Step::Again
        }
        Tried::TimedOut => {
            history.doubt = Some(Own::new(Word::TimedOut, "no answer in time"));
            return history.give_up(Own::new(Word::TimedOut, "no answer in time"));
        }
    };
    if history.reached.len() >= attempts || !payload.is_left() {
        return history.give_up(Own::not_run("every allowed target refused it", COME_BACK));
    }
    step
}

/// Logs and counts the outcome, and builds an answer of our own where there is none.
fn finish(
    context: &Context,
    asked: &Asked,
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
        let point = asked.point.map(|it| it.to_string()).unwrap_or_default();
        format!(
            "event=request id={} route={route} version={version} service={service} key={point} \
             outcome={outcome} status={} took_ms={} wait_ms={} targets={} cause=\"{cause}\" tries=\"{}\"",
            asked.id,
            status.as_u16(),
            took.as_millis(),
            asked.wait.map_or(0, |it| it.as_millis()),
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
fn speak(context: &Context, asked: &Asked, own: &Own) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{}: {}\n", own.word.name(), own.cause)));
    *response.status_mut() = context.callers.status(own.word);
    let headers = response.headers_mut();
    context
        .callers
        .mark(own.word, &asked.id, own.retry, headers);
    if own.word == Word::TooLarge || own.word == Word::TooSlow || own.word == Word::Malformed {
        // What is left of the request can't be told from the next one.
        headers.insert(
            header::CONNECTION,
            header::HeaderValue::from_static("close"),
        );
    }
    response
}
