//! One request's work at a target: wait for a slot, check the grant, run, answer.

use std::{future, pin::pin, process, time::Duration};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http::{Request, StatusCode};
use hyper::body::Bytes;
use percent_encoding as percent;
use rand::Rng;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    clock,
    fault::Fault,
    journal::{End, Run},
    payload::Payload,
    serve::{self, CloseConnection, Connection, Response},
    slots::Admission,
    target::Target,
};

/// The header that says whether work ran.
pub const OUTCOME: &str = "Bramleypier-Outcome";
/// The value of [`OUTCOME`] for work that did not start.
pub const NOT_RUN: &str = "not-run";
/// The value of [`OUTCOME`] for work that was given up midway.
pub const UNKNOWN: &str = "unknown";
/// The header that sets the time of this request's work.
pub const WORK_MS: &str = "Standin-Work-Ms";

/// The body of an answer to work, by which a caller tells that it is its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Echo {
    /// The target.
    pub target: String,
    /// The key.
    pub key: String,
    /// The caller's id.
    pub idempotency: String,
    /// The path with its query.
    pub path: String,
    /// How many bytes the request's body had.
    pub bytes: usize,
}

type Answer = oneshot::Sender<Result<Response, CloseConnection>>;

/// A request's headers as its work needs them.
struct Job {
    run: Run,
    deadline: Option<Duration>,
    kill: bool,
}

/// Runs one request and sends its answer.
pub(crate) async fn run(target: Target, request: Request<Bytes>, link: Connection, answer: Answer) {
    let job = job(&target, &request);
    let (cancel, mut cancelled) = oneshot::channel();
    let id = cancel_id(&job);
    target.state.borrow_mut().cancels.insert(id.clone(), cancel);
    if let Err(refusal) = wait_slot(&target, &job, &mut cancelled).await {
        target.state.borrow_mut().cancels.swap_remove(&id);
        drop(answer.send(Ok(refusal)));
        return;
    }
    in_slot(&target, &request, &link, job, cancelled, answer).await;
    let state = &mut *target.state.borrow_mut();
    state.cancels.swap_remove(&id);
    state.slots.release();
}

/// Returns the id under which a request can be cancelled; one without an id never can be.
fn cancel_id(job: &Job) -> String {
    match job.run.request.as_str() {
        "" => Uuid::now_v7().to_string(),
        id => id.to_owned(),
    }
}

fn job(target: &Target, request: &Request<Bytes>) -> Job {
    let text = |name: &str| serve::header(request, name).unwrap_or("").to_owned();
    let number = |name: &str| serve::header(request, name).and_then(|text| text.parse().ok());
    let run = Run {
        target: target.config.name.clone(),
        boot: target.boot.to_string(),
        request: text("Bramleypier-Request"),
        idempotency: text("Idempotency-Key"),
        key: percent::percent_decode_str(&text("Bramleypier-Key"))
            .decode_utf8_lossy()
            .into_owned(),
        hash: number("Bramleypier-Hash").unwrap_or(0),
        epoch: number("Bramleypier-Epoch").unwrap_or(0),
        class: text("Bramleypier-Class"),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        ..Run::default()
    };
    let left = number("Bramleypier-Deadline").map(Duration::from_millis);
    let kill_key = &target.state.borrow().faults.kill_key;
    Job {
        kill: kill_key.as_ref().is_some_and(|key| *key == run.key),
        deadline: left.map(|left| clock::now() + left),
        run,
    }
}

/// Waits for a slot; fails with the refusal of what never started.
async fn wait_slot(
    target: &Target,
    job: &Job,
    cancelled: &mut oneshot::Receiver<()>,
) -> Result<(), Response> {
    let place = {
        let state = &mut *target.state.borrow_mut();
        if state.faults.shed || state.faults.drain {
            return Err(refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        state.slots.acquire()
    };
    match place {
        Admission::Slot => Ok(()),
        Admission::Full => Err(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        Admission::Queued(turn) => {
            let gone = pin!(cancelled_or_expired(job.deadline, cancelled));
            match select(turn, gone).await {
                Either::Left(_) => Ok(()),
                Either::Right(_) => Err(refusal(StatusCode::SERVICE_UNAVAILABLE)),
            }
        }
    }
}

/// Waits until a request is cancelled or its deadline has passed.
async fn cancelled_or_expired(
    deadline: Option<Duration>,
    cancelled: &mut oneshot::Receiver<()>,
) -> End {
    let expired = pin!(async {
        match deadline {
            Some(deadline) => {
                compio::time::sleep(deadline.saturating_sub(clock::now())).await;
            }
            None => future::pending().await,
        }
    });
    match select(cancelled, expired).await {
        Either::Left(_) => End::Cancelled,
        Either::Right(_) => End::Expired,
    }
}

/// Checks and runs a request that has its slot.
async fn in_slot(
    target: &Target,
    request: &Request<Bytes>,
    link: &Connection,
    mut job: Job,
    mut cancelled: oneshot::Receiver<()>,
    answer: Answer,
) {
    let expired = job
        .deadline
        .is_some_and(|deadline| deadline <= clock::now());
    if expired {
        drop(answer.send(Ok(refusal(StatusCode::SERVICE_UNAVAILABLE))));
        return;
    }
    // The grant counts as the work starts, not as the request arrived.
    if target.config.checks_grants && !admitted(target, &job.run) {
        drop(answer.send(Ok(refusal(StatusCode::MISDIRECTED_REQUEST))));
        return;
    }
    job.run.started_ms = clock::millis(clock::now());
    let Some(number) = start(target, &job.run) else {
        drop(answer.send(Ok(refusal(StatusCode::SERVICE_UNAVAILABLE))));
        return;
    };
    if job.kill {
        process::abort();
    }
    let mut answer = Some(answer);
    let end = perform(target, request, link, &job, &mut cancelled, &mut answer).await;
    finish(target, number, end);
    if let Some(answer) = answer {
        drop(answer.send(reply(target, request, link, &job.run, end)));
    }
}

fn admitted(target: &Target, run: &Run) -> bool {
    let state = target.state.borrow();
    state.holder.admits(target.now(), run.hash, run.epoch)
}

fn start(target: &Target, run: &Run) -> Option<u64> {
    let state = &mut *target.state.borrow_mut();
    let number = state.journal.start(run.clone()).ok()?;
    state.holder.start(number, run.hash, run.epoch);
    Some(number)
}

fn finish(target: &Target, number: u64, end: End) {
    let state = &mut *target.state.borrow_mut();
    state.holder.end(number);
    let now = clock::millis(clock::now());
    drop(state.journal.end(number, now, end));
}

/// Spends the time of the work, or less when it is given up.
async fn perform(
    target: &Target,
    request: &Request<Bytes>,
    link: &Connection,
    job: &Job,
    cancelled: &mut oneshot::Receiver<()>,
    answer: &mut Option<Answer>,
) -> End {
    let span = work_time(target, request);
    let take = |fault| {
        let faults = &mut target.state.borrow_mut().faults;
        faults.take(fault, request.method().as_str())
    };
    let hangs = take(Fault::Hang);
    let resets = take(Fault::ResetDuring);
    let work = pin!(async {
        compio::time::sleep(span / 2).await;
        if resets && let Some(answer) = answer.take() {
            link.reset();
            drop(answer.send(Err(CloseConnection)));
        }
        compio::time::sleep(span / 2).await;
        if hangs {
            future::pending::<()>().await;
        }
    });
    let deadline = if hangs { None } else { job.deadline };
    let gone = pin!(cancelled_or_expired(deadline, cancelled));
    match select(work, gone).await {
        Either::Left(_) => End::Done,
        Either::Right((end, _)) => end,
    }
}

fn work_time(target: &Target, request: &Request<Bytes>) -> Duration {
    let named = serve::header(request, WORK_MS).and_then(|text| text.parse().ok());
    let mean = named.map_or(target.config.work_time, Duration::from_millis);
    let mut factor = target.state.borrow().faults.slow_factor.unwrap_or(1.0);
    if target.is_cold() {
        factor *= target.config.cold_factor;
    }
    if target.config.exponential {
        let chance: f64 = rand::rng().random();
        factor *= -(1.0 - chance).ln();
    }
    mean.mul_f64(factor)
}

/// Returns the answer to work that started.
fn reply(
    target: &Target,
    request: &Request<Bytes>,
    link: &Connection,
    run: &Run,
    end: End,
) -> Result<Response, CloseConnection> {
    let method = run.method.as_str();
    let take = |fault| target.state.borrow_mut().faults.take(fault, method);
    if take(Fault::ResetAfter) {
        link.reset();
        return Err(CloseConnection);
    }
    if end != End::Done {
        let mut response = serve::empty(StatusCode::GATEWAY_TIMEOUT);
        set_outcome(&mut response, UNKNOWN);
        return Ok(response);
    }
    let mut payload = payload(request, run);
    if take(Fault::CutBody) {
        payload = payload.truncated();
    }
    let mut response = Response::new(payload);
    if take(Fault::WrongStatus) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

fn payload(request: &Request<Bytes>, run: &Run) -> Payload {
    let query = serve::query(request.uri());
    let size = query.get("bytes").and_then(|text| text.parse().ok());
    if let Some(size) = size.filter(|_| request.uri().path().ends_with("/file")) {
        return Payload::pattern(size);
    }
    let echo = Echo {
        target: run.target.clone(),
        key: run.key.clone(),
        idempotency: run.idempotency.clone(),
        path: run.path.clone(),
        bytes: request.body().len(),
    };
    Payload::whole(serde_json::to_vec(&echo).unwrap_or_default())
}

/// Returns an answer for work that did not start.
fn refusal(status: StatusCode) -> Response {
    let mut response = serve::empty(status);
    set_outcome(&mut response, NOT_RUN);
    response
}

fn set_outcome(response: &mut Response, outcome: &'static str) {
    let value = http::HeaderValue::from_static(outcome);
    response.headers_mut().insert(OUTCOME, value);
}
