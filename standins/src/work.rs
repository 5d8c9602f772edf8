//! Processing of one request at a target: wait for a slot, check the grant, run, respond.

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

/// The response header that says whether the request ran.
pub const OUTCOME: &str = "Bramleypier-Outcome";
/// The value of [`OUTCOME`] for a request that did not start.
pub const NOT_RUN: &str = "not-run";
/// The value of [`OUTCOME`] for a request that was cancelled or expired while it ran.
pub const UNKNOWN: &str = "unknown";
/// The request header that sets the mean processing time of this request, in milliseconds.
pub const WORK_MS: &str = "Standin-Work-Ms";

/// The response body, from which a caller can tell that the response belongs to its request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Echo {
    /// The name of the target.
    pub target: String,
    /// The key.
    pub key: String,
    /// The caller's idempotency key.
    pub idempotency: String,
    /// The path with its query.
    pub path: String,
    /// The size of the request body in bytes.
    pub bytes: usize,
}

type ResponseSender = oneshot::Sender<Result<Response, CloseConnection>>;

/// The parsed headers of a request.
struct Job {
    run: Run,
    deadline: Option<Duration>,
    aborts: bool,
}

/// Processes one request and sends its response.
pub(crate) async fn run(
    target: Target,
    request: Request<Bytes>,
    connection: Connection,
    sender: ResponseSender,
) {
    let job = parse_job(&target, &request);
    let (cancel, mut cancelled) = oneshot::channel();
    let id = cancel_id(&job);
    target.state.borrow_mut().cancels.insert(id.clone(), cancel);
    if let Err(refusal) = wait_for_slot(&target, &job, &mut cancelled).await {
        target.state.borrow_mut().cancels.swap_remove(&id);
        drop(sender.send(Ok(refusal)));
        return;
    }
    run_in_slot(&target, &request, &connection, job, cancelled, sender).await;
    let state = &mut *target.state.borrow_mut();
    state.cancels.swap_remove(&id);
    state.slots.release();
}

/// Returns the id under which a request can be cancelled: its attempt id, or a random one that no
/// caller knows.
fn cancel_id(job: &Job) -> String {
    match job.run.request.as_str() {
        "" => Uuid::now_v7().to_string(),
        id => id.to_owned(),
    }
}

fn parse_job(target: &Target, request: &Request<Bytes>) -> Job {
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
    let remaining = number("Bramleypier-Deadline").map(Duration::from_millis);
    let kill_key = &target.state.borrow().faults.kill_key;
    Job {
        aborts: kill_key.as_ref().is_some_and(|key| *key == run.key),
        deadline: remaining.map(|remaining| clock::now() + remaining),
        run,
    }
}

/// Waits for a slot; fails with the response to a request that can't start.
async fn wait_for_slot(
    target: &Target,
    job: &Job,
    cancelled: &mut oneshot::Receiver<()>,
) -> Result<(), Response> {
    let admission = {
        let state = &mut *target.state.borrow_mut();
        if state.faults.shed || state.faults.drain {
            return Err(refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        state.slots.acquire()
    };
    match admission {
        Admission::Slot => Ok(()),
        Admission::Full => Err(refusal(StatusCode::SERVICE_UNAVAILABLE)),
        Admission::Queued(admitted) => {
            let ended_early = pin!(cancelled_or_expired(job.deadline, cancelled));
            match select(admitted, ended_early).await {
                Either::Left(_) => Ok(()),
                Either::Right(_) => Err(refusal(StatusCode::SERVICE_UNAVAILABLE)),
            }
        }
    }
}

/// Waits until the request is cancelled or its deadline has passed.
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

/// Checks the deadline and the grant of a request that has a slot, and runs it.
async fn run_in_slot(
    target: &Target,
    request: &Request<Bytes>,
    connection: &Connection,
    mut job: Job,
    mut cancelled: oneshot::Receiver<()>,
    sender: ResponseSender,
) {
    let expired = job
        .deadline
        .is_some_and(|deadline| deadline <= clock::now());
    if expired {
        drop(sender.send(Ok(refusal(StatusCode::SERVICE_UNAVAILABLE))));
        return;
    }
    // A grant that was valid on arrival may have expired in the queue, so it is checked here.
    if target.config.checks_grants && !is_granted(target, &job.run) {
        drop(sender.send(Ok(refusal(StatusCode::MISDIRECTED_REQUEST))));
        return;
    }
    job.run.started_ms = clock::millis(clock::now());
    let Some(number) = record_start(target, &job.run) else {
        drop(sender.send(Ok(refusal(StatusCode::SERVICE_UNAVAILABLE))));
        return;
    };
    if job.aborts {
        process::abort();
    }
    let mut sender = Some(sender);
    let end = perform(
        target,
        request,
        connection,
        &job,
        &mut cancelled,
        &mut sender,
    )
    .await;
    record_end(target, number, end);
    if let Some(sender) = sender {
        drop(sender.send(run_response(target, request, connection, &job.run, end)));
    }
}

fn is_granted(target: &Target, run: &Run) -> bool {
    let state = target.state.borrow();
    state.holder.admits(target.now(), run.hash, run.epoch)
}

fn record_start(target: &Target, run: &Run) -> Option<u64> {
    let state = &mut *target.state.borrow_mut();
    let number = state.journal.start(run.clone()).ok()?;
    state.holder.start(number, run.hash, run.epoch);
    Some(number)
}

fn record_end(target: &Target, number: u64, end: End) {
    let state = &mut *target.state.borrow_mut();
    state.holder.end(number);
    let now = clock::millis(clock::now());
    drop(state.journal.end(number, now, end));
}

/// Spends the processing time of the request, or less if it is cancelled or expires.
async fn perform(
    target: &Target,
    request: &Request<Bytes>,
    connection: &Connection,
    job: &Job,
    cancelled: &mut oneshot::Receiver<()>,
    sender: &mut Option<ResponseSender>,
) -> End {
    let duration = work_time(target, request);
    let take = |fault| {
        let faults = &mut target.state.borrow_mut().faults;
        faults.take(fault, request.method().as_str())
    };
    let hangs = take(Fault::Hang);
    let resets = take(Fault::ResetDuring);
    let work = pin!(async {
        compio::time::sleep(duration / 2).await;
        if resets && let Some(sender) = sender.take() {
            connection.reset();
            drop(sender.send(Err(CloseConnection)));
        }
        compio::time::sleep(duration / 2).await;
        if hangs {
            future::pending::<()>().await;
        }
    });
    let deadline = if hangs { None } else { job.deadline };
    let ended_early = pin!(cancelled_or_expired(deadline, cancelled));
    match select(work, ended_early).await {
        Either::Left(_) => End::Done,
        Either::Right((end, _)) => end,
    }
}

fn work_time(target: &Target, request: &Request<Bytes>) -> Duration {
    let requested = serve::header(request, WORK_MS).and_then(|text| text.parse().ok());
    let mean = requested.map_or(target.config.work_time, Duration::from_millis);
    let mut factor = target.state.borrow().faults.slow_factor.unwrap_or(1.0);
    if target.is_cold() {
        factor *= target.config.cold_factor;
    }
    if target.config.exponential {
        let sample: f64 = rand::rng().random();
        factor *= -(1.0 - sample).ln();
    }
    mean.mul_f64(factor)
}

/// Returns the response to a request that started.
fn run_response(
    target: &Target,
    request: &Request<Bytes>,
    connection: &Connection,
    run: &Run,
    end: End,
) -> Result<Response, CloseConnection> {
    let method = run.method.as_str();
    let take = |fault| target.state.borrow_mut().faults.take(fault, method);
    if take(Fault::ResetAfter) {
        connection.reset();
        return Err(CloseConnection);
    }
    if end != End::Done {
        let mut response = serve::empty(StatusCode::GATEWAY_TIMEOUT);
        set_outcome(&mut response, UNKNOWN);
        return Ok(response);
    }
    let mut body = response_body(request, run);
    if take(Fault::CutBody) {
        body = body.truncated();
    }
    let mut response = Response::new(body);
    if take(Fault::WrongStatus) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

fn response_body(request: &Request<Bytes>, run: &Run) -> Payload {
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

/// Returns the response to a request that did not start.
fn refusal(status: StatusCode) -> Response {
    let mut response = serve::empty(status);
    set_outcome(&mut response, NOT_RUN);
    response
}

fn set_outcome(response: &mut Response, outcome: &'static str) {
    let value = http::HeaderValue::from_static(outcome);
    response.headers_mut().insert(OUTCOME, value);
}
