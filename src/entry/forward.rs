//! Sends a request to a target, retries it where that is allowed, and classifies the responses.

use std::{net::SocketAddr, rc::Rc};

use futures_channel::oneshot;
use futures_util::future::{self, Either};
use http::header;
use hyper::{
    Response,
    body::{Body as _, Bytes, Incoming},
};
use uuid::Uuid;

use super::{
    Context, Job, orders,
    payload::{self, Payload},
    reply,
    response_body::ResponseBody,
    ticket::{self, History, Permit, Report},
};
use crate::{
    request::{
        Admitted, Answer, Attempt, Outcome, Received, Started, Step, Verdict, answer,
        answer::Refusal,
    },
    target::TargetRequest,
    util::{
        body::{self, Body},
        client,
    },
};

/// The largest response that is read completely before its head goes to the caller.
///
/// Up to this size a truncated response can be retried, or reported as an error with a status.
const BUFFERED_ANSWER_BYTES: u64 = 64 * 1024;

/// A target's response; while its body streams, it holds its slot at the target.
#[derive(Debug)]
pub struct Answered {
    /// The response; its body may still be streaming.
    pub response: Response<Body>,
    /// The target's name.
    pub target: String,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// Answers an idempotent request, which may run more than once.
///
/// # Errors
///
/// Returns the verdict for the caller if no target answered.
pub async fn send_idempotent(
    context: &Context,
    attempt: Attempt<Received>,
    job: Job,
    body: Incoming,
) -> Result<Response<Body>, Verdict> {
    let payload = payload::read(context, &attempt, &job, body).await?;
    let answered = run(context, attempt.admit(), &job, payload).await?;
    Ok(answered.response)
}

/// Answers an order, which must run at most once.
///
/// The order runs in its own task, so that it completes and its outcome is stored even if the caller
/// disconnects.
///
/// # Errors
///
/// Returns the verdict for the caller if no target answered.
pub async fn send_order(
    context: &Context,
    attempt: Attempt<Received>,
    job: Job,
    body: Incoming,
) -> Result<Response<Body>, Verdict> {
    let bytes = payload::read_whole(context, &attempt, &job, body).await?;
    let (sender, receiver) = oneshot::channel();
    let context = context.clone();
    compio::runtime::spawn(async move {
        let result = orders::run(&context, attempt, job, bytes).await;
        // The caller may have disconnected; the outcome is stored anyway.
        let _ = sender.send(result);
    })
    .detach();
    let lost = || Verdict::unknown(500, Step::Order, "self", "the order's task ended early");
    receiver.await.unwrap_or_else(|_| Err(lost()))
}

/// Sends a request until a target answers or no further attempt is allowed.
///
/// After every refusal the router decides whether, when and where to retry. Once an attempt has ended
/// without a response, no later refusal can make the request `not-run`.
///
/// # Errors
///
/// Returns the verdict for the caller if no target answered.
pub async fn run(
    context: &Context,
    attempt: Attempt<Admitted>,
    job: &Job,
    mut payload: Payload,
) -> Result<Answered, Verdict> {
    let fingerprint = payload.fingerprint(job);
    let since = context.clock.now();
    let mut admitted = attempt;
    let mut history = History::default();
    loop {
        let permit = ticket::admit(context, job, fingerprint, since, &history, admitted.proof())
            .await
            .map_err(|verdict| history.final_verdict(verdict))?;
        let started = admitted.start(&permit.target);
        // A streaming body can be sent once; the loop ends before a second attempt.
        let body = payload.take().unwrap_or_else(Body::empty);
        match send(context, job, started, permit, body).await {
            AttemptResult::Answered(answered) => return Ok(answered),
            AttemptResult::Refused(next, refusal, permit) => {
                history.refused(&permit, &refusal);
                permit.finish(Report::Refused(refusal));
                admitted = next;
            }
            AttemptResult::Unsent(next, error, permit) => {
                history.unsent(&permit, &error);
                permit.finish(Report::Unsent(error.is_refused()));
                admitted = next;
            }
            AttemptResult::Lost(verdict, permit) => {
                history.lost(&permit, verdict.clone());
                permit.finish(Report::Lost);
                if !job.policy.idempotent || !payload.is_sendable() {
                    return Err(verdict);
                }
                admitted = Attempt::new().admit();
            }
        }
        if !payload.is_sendable() {
            return Err(history.final_verdict(consumed_body_verdict(&admitted, &history)));
        }
    }
}

/// Returns the verdict of a request whose streaming body is consumed, so that it can't be retried.
fn consumed_body_verdict(admitted: &Attempt<Admitted>, history: &History) -> Verdict {
    let last = history.last.as_ref();
    let (peer, reason) = last.map_or(("self", ""), |last| (&*last.target, &*last.reason));
    let verdict = Verdict::not_run(&admitted.proof(), 503, Step::Send, peer, reason);
    verdict.retry_after(ticket::DEFAULT_RETRY_AFTER)
}

/// The result of one attempt.
enum AttemptResult {
    Answered(Answered),
    Refused(Attempt<Admitted>, Refusal, Permit),
    Unsent(Attempt<Admitted>, client::Error, Permit),
    Lost(Verdict, Permit),
}

/// Sends one attempt and classifies its result.
async fn send(
    context: &Context,
    job: &Job,
    started: Attempt<Started>,
    permit: Permit,
    body: Body,
) -> AttemptResult {
    let Some(left) = job.deadline.remaining(context.clock.now()) else {
        let verdict = Verdict::unknown(504, Step::Deadline, &permit.target, "the deadline passed");
        return AttemptResult::Lost(verdict, permit);
    };
    let work = TargetRequest {
        method: job.head.method.clone(),
        uri: job.call.uri.clone(),
        headers: job.head.headers.clone(),
        attempt: Uuid::now_v7().to_string(),
        key: job.call.key.clone(),
        point: job.call.point,
        epoch: permit.epoch,
        left,
    };
    let mut cancel = CancelGuard::new(context, permit.address, work.attempt.clone());
    let expired = ticket::lease_expired(
        context.clone(),
        job.call.service.clone(),
        job.call.point,
        permit.lease.clone(),
    );
    let sending = Box::pin(context.sender.send(permit.address, &work, body));
    let result = match future::select(sending, Box::pin(expired)).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            let reason = "the lease to send to the target lapsed";
            let verdict = Verdict::unknown(502, Step::Grant, &permit.target, reason);
            return AttemptResult::Lost(verdict, permit);
        }
    };
    match result {
        Ok(response) => {
            let ended = classify(context, job, started, permit, response, &mut cancel).await;
            if !matches!(ended, AttemptResult::Lost(..)) {
                cancel.disarm();
            }
            ended
        }
        Err(error) => {
            if error.unsent() {
                cancel.disarm();
            }
            classify_error(started, permit, error)
        }
    }
}

/// Classifies a failure to send.
fn classify_error(
    started: Attempt<Started>,
    permit: Permit,
    error: client::Error,
) -> AttemptResult {
    if let Ok(admitted) = started.failed(&error) {
        return AttemptResult::Unsent(admitted, error, permit);
    }
    let is_timeout = matches!(error, client::Error::Timeout(..));
    let status = if is_timeout { 504 } else { 502 };
    let verdict = Verdict::unknown(status, Step::Answer, &permit.target, &error.to_string());
    AttemptResult::Lost(verdict, permit)
}

/// Classifies the head of a response, and reads small bodies completely.
async fn classify(
    context: &Context,
    job: &Job,
    started: Attempt<Started>,
    permit: Permit,
    response: Response<client::ResponseBody>,
    cancel: &mut CancelGuard,
) -> AttemptResult {
    match answer::read(response.status(), response.headers()) {
        Answer::Refused(refusal) => {
            let admitted = started.refused(&refusal);
            AttemptResult::Refused(admitted, refusal, permit)
        }
        Answer::Unknown => {
            let reason = "the target doesn't know";
            let verdict = Verdict::unknown(502, Step::Answer, &permit.target, reason);
            AttemptResult::Lost(verdict, permit)
        }
        Answer::Ran => pass_on_answer(context, job, started, permit, response, cancel).await,
    }
}

/// Passes on the response of a request that ran: small bodies buffered, others streamed.
async fn pass_on_answer(
    context: &Context,
    job: &Job,
    started: Attempt<Started>,
    permit: Permit,
    response: Response<client::ResponseBody>,
    cancel: &mut CancelGuard,
) -> AttemptResult {
    let (mut head, body) = response.into_parts();
    let target = permit.target.clone();
    let outcome = started.answered().outcome();
    reply::pass_on(&mut head.headers, &target);
    permit.report_head(head.status);
    let size = body.size_hint().exact();
    let is_head = job.head.method == http::Method::HEAD;
    if !is_head && size.is_none_or(|size| size > BUFFERED_ANSWER_BYTES) {
        let body = ResponseBody::new(context, job, body, permit, cancel.take());
        let response = Response::from_parts(head, Body::stream(body));
        return AttemptResult::Answered(Answered {
            response,
            target,
            outcome,
        });
    }
    match read_whole(context, job, body).await {
        Ok(bytes) => {
            if !is_head {
                head.headers.remove(header::CONTENT_LENGTH);
            }
            permit.finish(Report::Answered(head.status));
            let response = Response::from_parts(head, Body::from(bytes));
            AttemptResult::Answered(Answered {
                response,
                target,
                outcome,
            })
        }
        Err(reason) => {
            let verdict = Verdict::unknown(502, Step::Answer, &target, reason);
            AttemptResult::Lost(verdict, permit)
        }
    }
}

async fn read_whole(
    context: &Context,
    job: &Job,
    body: client::ResponseBody,
) -> Result<Bytes, &'static str> {
    let left = job
        .deadline
        .remaining(context.clock.now())
        .unwrap_or_default();
    let limit = usize::try_from(BUFFERED_ANSWER_BYTES).unwrap_or(usize::MAX);
    match context.clock.timeout(left, body::read(body, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => Err("the answer was cut short"),
        Err(_) => Err("the answer came too slowly"),
    }
}

/// Cancels the attempt at the target when dropped, unless it was disarmed before.
#[derive(Debug)]
pub struct CancelGuard {
    armed: Option<Armed>,
}

#[derive(Debug)]
struct Armed {
    context: Rc<Context>,
    address: SocketAddr,
    attempt: String,
}

impl CancelGuard {
    fn new(context: &Context, address: SocketAddr, attempt: String) -> Self {
        Self {
            armed: Some(Armed {
                context: Rc::new(context.clone()),
                address,
                attempt,
            }),
        }
    }

    /// Turns the cancellation off, as the attempt has ended.
    pub fn disarm(&mut self) {
        self.armed = None;
    }

    /// Moves the armed state into a new guard, and disarms this one.
    #[must_use]
    pub fn take(&mut self) -> Self {
        Self {
            armed: self.armed.take(),
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(armed) = self.armed.take() else {
            return;
        };
        compio::runtime::spawn(async move {
            let span = ticket::CANCEL_TIMEOUT;
            let sender = &armed.context.sender;
            sender.cancel(armed.address, &armed.attempt, span).await;
        })
        .detach();
    }
}

/// Returns the outcome of a request.
pub fn outcome(result: &Result<Answered, Verdict>) -> Outcome {
    match result {
        Ok(answered) => answered.outcome,
        Err(verdict) => verdict.outcome(),
    }
}
