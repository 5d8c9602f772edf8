//! Bodies of callers' requests: small ones are kept whole, so that they can be sent again; large
//! ones stream through once, with bounded memory.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http::header;
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};

use super::{Context as Entry, Job};
use crate::{
    request::{self, Attempt, Fingerprint, Proof, Received, Step, Verdict},
    util::body::{self, Body, Cause},
};

/// The largest body that is kept whole for idempotent work, in bytes.
const BUFFER_LIMIT_BYTES: u64 = 64 * 1024;
/// Who is named when the caller's own input is at fault.
const CALLER: &str = "caller";

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// All of it; it can be sent again.
    Buffered(Bytes),
    /// Passed on as it comes, once.
    Streaming(Box<LimitedBody>),
    /// It was passed on; there is nothing left to send.
    Consumed,
}

impl Payload {
    /// Returns the body to send, or nothing when it can't be sent again.
    pub fn take(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                Some(Body::from(bytes))
            }
            Self::Streaming(body) => Some(Body::stream(*body)),
            Self::Consumed => None,
        }
    }

    /// Returns what the request is known by, if a target dies of it.
    pub fn fingerprint(&self, job: &Job) -> Fingerprint {
        let body: &[u8] = match self {
            Self::Buffered(bytes) => bytes,
            // A body that streams isn't known yet; the rest must do.
            Self::Streaming(_) | Self::Consumed => &[],
        };
        request::fingerprint(&job.call.method, &job.call.uri, body)
    }

    /// Returns whether the body can be sent (again).
    pub fn is_sendable(&self) -> bool {
        !matches!(self, Self::Consumed)
    }
}

/// Takes the body of idempotent work: kept when it is small, passed on when it isn't.
///
/// # Errors
///
/// The body is over the service's limit, was cut short, or came too slowly. Nothing ran.
pub async fn read(
    entry: &Entry,
    attempt: &Attempt<Received>,
    job: &Job,
    body: Incoming,
) -> Result<Payload, Verdict> {
    check_length(attempt, job)?;
    let size = body.size_hint().upper();
    if size.is_some_and(|size| size <= BUFFER_LIMIT_BYTES) {
        return read_whole(entry, attempt, job, body)
            .await
            .map(Payload::Buffered);
    }
    Ok(Payload::Streaming(Box::new(LimitedBody {
        body,
        remaining: job.policy.body_limit,
    })))
}

/// Reads the whole body of work that is not idempotent.
///
/// # Errors
///
/// The body is over the service's limit, was cut short, or came too slowly. Nothing ran.
pub async fn read_whole(
    entry: &Entry,
    attempt: &Attempt<Received>,
    job: &Job,
    body: Incoming,
) -> Result<Bytes, Verdict> {
    check_length(attempt, job)?;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let refuse = |status, reason: &str| refusal(attempt.proof(), status, reason);
    let now = entry.clock.now();
    let left = job.deadline.remaining(now).unwrap_or_default();
    let limit = usize::try_from(job.policy.body_limit).unwrap_or(usize::MAX);
    let reading = body::read(body, limit);
    match entry.clock.timeout(left, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(cause)) if cause.is::<http_body_util::LengthLimitError>() => {
            Err(refuse(413, "the body is over the service's limit"))
        }
        Ok(Err(_)) => Err(refuse(400, "the body was cut short")),
        Err(_) => Err(refuse(408, "the body came too slowly")),
    }
}

/// Refuses a body whose stated length is over the limit, before it is read.
fn check_length(attempt: &Attempt<Received>, job: &Job) -> Result<(), Verdict> {
    let stated = job.head.headers.get(header::CONTENT_LENGTH);
    let length = stated.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > job.policy.body_limit) {
        let reason = "the body is over the service's limit";
        return Err(refusal(attempt.proof(), 413, reason));
    }
    Ok(())
}

fn refusal(proof: Proof, status: u16, reason: &str) -> Verdict {
    Verdict::not_run(&proof, status, Step::Parse, CALLER, reason)
}

/// A body passed on as it comes, up to a limit.
#[derive(Debug)]
pub struct LimitedBody {
    body: Incoming,
    remaining: u64,
}

impl HttpBody for LimitedBody {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
            return Poll::Pending;
        };
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        let frame = frame.map_err(Cause::from);
        let size = frame
            .as_ref()
            .ok()
            .and_then(Frame::data_ref)
            .map_or(0, Bytes::len) as u64;
        if size > self.remaining {
            return Poll::Ready(Some(Err("the body is over the service's limit".into())));
        }
        self.remaining -= size;
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
