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
    memory::Held,
};
use futures_util::future;
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};

use crate::{
    placement::{dispatch::CompletionKind, task::Permit},
    report::Report,
};

/// What a body that is forwarded frame by frame counts for, in bytes: the buffers of both its connections.
pub const STREAM_BYTES: usize = 256 * 1024;

/// The id of a caller's request.
pub type RequestId = String;

/// The result of reading a body up to a limit.
pub enum ReadBody<B> {
    /// The whole body.
    Whole(Bytes),
    /// The body exceeds the limit: the bytes read so far, and the rest.
    Partial(Bytes, B),
    /// There is no memory for more: the bytes read so far, and the rest.
    NoMemory(Bytes, B),
}

/// Reads a body up to a limit, in bytes, and counts it as held before it is copied.
///
/// `held` may hold something else already. Chunks are copied together: each of them would keep the whole buffer alive that
/// it came in.
///
/// # Errors
///
/// The body was truncated.
pub async fn read_up_to<B>(mut body: B, limit: usize, held: &Held) -> Result<ReadBody<B>, Cause>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Cause>,
{
    let held_before = held.bytes();
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let frame = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        let Some(frame) = frame else {
            return Ok(ReadBody::Whole(bytes.into()));
        };
        // Trailers apply to one connection only and are not forwarded.
        let Ok(chunk) = frame.map_err(Into::into)?.into_data() else {
            continue;
        };
        let size = bytes.len() + chunk.len();
        if size > bytes.capacity() {
            let capacity = size.max((2 * bytes.capacity()).min(limit + chunk.len()));
            if held.resize(held_before + capacity).is_err() {
                bytes.extend_from_slice(&chunk);
                return Ok(ReadBody::NoMemory(bytes.into(), body));
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&chunk);
        if size > limit {
            return Ok(ReadBody::Partial(bytes.into(), body));
        }
    }
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

/// A body that yields the bytes already read, then streams the rest; it may hold a target's permit until it ends.
pub struct Streamed<B> {
    read: Bytes,
    rest: B,
    /// The size of the whole body in bytes, if known.
    size: Option<u64>,
    permit: Option<(Permit, Duration)>,
    /// The request that it answers, until it has ended.
    answered: Option<Answered>,
    /// How many more bytes are allowed, and the flag that is set when the limit is exceeded.
    limit: Option<(u64, Rc<Cell<bool>>)>,
}

impl<B> Streamed<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Cause>,
{
    /// Creates a body of the bytes already read and the rest.
    pub fn new(read: Bytes, rest: B) -> Self {
        let size = rest.size_hint().exact().map(|it| it + read.len() as u64);
        Self {
            read,
            rest,
            size,
            permit: None,
            answered: None,
            limit: None,
        }
    }

    /// Fails the body and sets `exceeded` once it is longer than `limit` bytes.
    pub fn with_limit(mut self, limit: u64, exceeded: Rc<Cell<bool>>) -> Self {
        let read = self.read.len() as u64;
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
}

impl<B> Streamed<B> {
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

impl<B> HttpBody for Streamed<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Cause>,
{
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        if !self.read.is_empty() {
            let read = std::mem::take(&mut self.read);
            return Poll::Ready(Some(Ok(Frame::data(read))));
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
        self.read.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl<B> Drop for Streamed<B> {
    fn drop(&mut self) {
        if let Some(answered) = self.answered.take() {
            answered.log_break();
        }
    }
}

/// Wraps a streamed body for a message.
pub fn stream<B>(body: Streamed<B>) -> Body
where
    B: HttpBody<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Cause>,
{
    Body::stream(body)
}
