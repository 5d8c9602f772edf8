//! Forwards bodies: small ones are read whole, larger ones are streamed in bounded memory.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bramleypier_util::{
    body::{Body, Cause},
    clock::Clock,
};
use futures_util::future;
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};

use crate::{
    placement::{dispatch::CompletionKind, task::Permit},
    report::Report,
};

/// The id of a caller's request.
pub type RequestId = String;

/// The result of reading a body up to a limit.
pub enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// The body exceeds the limit: the chunks read so far, and the rest.
    Partial(Vec<Bytes>, Incoming),
}

/// Reads a body up to a limit, in bytes.
///
/// # Errors
///
/// The body was truncated.
pub async fn read_up_to(mut body: Incoming, limit: usize) -> Result<ReadBody, hyper::Error> {
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut size = 0;
    loop {
        let frame = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        let Some(frame) = frame else {
            return Ok(ReadBody::Whole(join(chunks)));
        };
        // Trailers apply to one connection only and are not forwarded.
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        size += chunk.len();
        chunks.push(chunk);
        if size > limit {
            return Ok(ReadBody::Partial(chunks, body));
        }
    }
}

fn join(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() == 1 {
        return chunks.remove(0);
    }
    Bytes::from(chunks.concat())
}

/// The request that a streamed body answers.
pub struct Answered {
    /// Its id.
    pub id: RequestId,
    /// When its response must have ended.
    pub end: Duration,
    /// The clock of that time.
    pub clock: Clock,
    /// The log.
    pub report: Report,
}

impl Answered {
    /// Logs that the response has not been sent to its end.
    fn log_break(&self) {
        let now = self.clock.now();
        let cause = if now < self.end {
            "broken-off"
        } else {
            "timeout"
        };
        self.report.count("streams_cut", &[("cause", cause)]);
        self.report
            .request_line(|| format!("event=stream-cut id={} cause={cause}", self.id));
    }
}

/// A body that yields the chunks already read, then streams the rest; it may hold a target's permit until it ends.
pub struct Streamed {
    chunks: std::collections::VecDeque<Bytes>,
    rest: Incoming,
    /// The size of the whole body in bytes, if known.
    size: Option<u64>,
    permit: Option<(Permit, Duration)>,
    /// The request that it answers, until it has ended.
    answered: Option<Answered>,
    /// How many more bytes are allowed, and the flag that is set when the limit is exceeded.
    limit: Option<(u64, Rc<Cell<bool>>)>,
}

impl Streamed {
    /// Creates a body of the chunks already read and the rest.
    pub fn new(chunks: Vec<Bytes>, rest: Incoming) -> Self {
        let read: u64 = chunks.iter().map(|it| it.len() as u64).sum();
        let size = rest.size_hint().exact().map(|it| it + read);
        Self {
            chunks: chunks.into(),
            rest,
            size,
            permit: None,
            answered: None,
            limit: None,
        }
    }

    /// Fails the body and sets `exceeded` once it is longer than `limit` bytes.
    pub fn with_limit(mut self, limit: u64, exceeded: Rc<Cell<bool>>) -> Self {
        let read: u64 = self.chunks.iter().map(|it| it.len() as u64).sum();
        self.limit = Some((limit.saturating_sub(read), exceeded));
        self
    }

    /// Counts the bytes of a chunk; returns whether the body is still within its limit.
    fn count(&mut self, bytes: u64) -> bool {
        let Some((allowed, exceeded)) = &mut self.limit else {
            return true;
        };
        match allowed.checked_sub(bytes) {
            Some(left) => *allowed = left,
            None => exceeded.set(true),
        }
        !exceeded.get()
    }

    /// Holds a target's permit until the body has ended; `took` is the time until the response could be forwarded.
    pub fn with_permit(mut self, permit: Permit, took: Duration) -> Self {
        self.permit = Some((permit, took));
        self
    }

    /// Logs if the body, which answers a request, is dropped before its end.
    pub fn with_request(mut self, answered: Answered) -> Self {
        self.answered = Some(answered);
        self
    }

    fn finish_permit(&mut self, ok: bool) {
        if ok {
            self.answered = None;
        }
        if let Some((permit, took)) = self.permit.take() {
            let kind = if ok {
                CompletionKind::Answered(took)
            } else {
                CompletionKind::Lost
            };
            permit.finish(kind, None);
        }
    }
}

impl HttpBody for Streamed {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.finish_permit(true),
            Poll::Ready(Some(Err(_))) => self.finish_permit(false),
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, |it| it.len() as u64);
                if !self.count(bytes) {
                    return Poll::Ready(Some(Err("the body is longer than allowed".into())));
                }
                // A body of known size isn't asked for more than its last byte.
                if self.rest.is_end_stream() {
                    self.finish_permit(true);
                }
            }
            Poll::Pending => {}
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        if let Some(answered) = self.answered.take() {
            answered.log_break();
        }
    }
}

/// Wraps a streamed body for a message.
pub fn stream(body: Streamed) -> Body {
    Body::stream(body)
}
