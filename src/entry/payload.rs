//! Bodies of callers' requests.
//!
//! Small bodies are buffered, so that they can be sent again. Large ones are streamed once, with
//! bounded memory.

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

/// The largest body that is buffered for idempotent requests.
const BUFFER_LIMIT_BYTES: u64 = 64 * 1024;
/// The peer that errors of the caller's input name.
const CALLER: &str = "caller";

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// The complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that is streamed as it arrives, and can be sent once.
    Streaming(Box<LimitedBody>),
    /// The streaming body was sent; nothing is left to send.
    Consumed,
}

impl Payload {
    /// Returns the body to send, or `None` if it can't be sent again.
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

    /// Returns the fingerprint by which the quarantine identifies the request.
    pub fn fingerprint(&self, job: &Job) -> Fingerprint {
        let body: &[u8] = match self {
            Self::Buffered(bytes) => bytes,
            // The content of a streaming body isn't known yet, so only method and URI count.
            Self::Streaming(_) | Self::Consumed => &[],
        };
        request::fingerprint(&job.call.method, &job.call.uri, body)
    }

    /// Returns whether the body can be sent, for the first time or again.
    pub fn is_sendable(&self) -> bool {
        !matches!(self, Self::Consumed)
    }
}

/// Reads the body of an idempotent request: buffered if it is small, otherwise streamed.
///
/// # Errors
///
/// Returns a verdict if the body is over the service's limit, truncated, or not complete by the
/// deadline. Nothing ran.
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

/// Reads the complete body of a request, up to the service's limit.
///
/// # Errors
///
/// Returns a verdict if the body is over the service's limit, truncated, or not complete by the
/// deadline. Nothing ran.
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

/// Refuses a body whose `Content-Length` is over the limit, before it is read.
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

/// A body that is streamed as it arrives, up to a limit in bytes.
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
