//! Bodies on their way through: read whole where they are small, streamed with bounded memory
//! where they are not.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bramleypier_util::body::{Body, Cause};
use futures_util::future;
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};

use crate::placement::{dispatch::CompletionKind, task::Permit};

/// What was read of a body.
pub enum Taken {
    /// All of it.
    Whole(Bytes),
    /// It is longer than the limit: what was read, and the rest.
    Begun(Vec<Bytes>, Incoming),
}

/// Reads a body up to a limit.
///
/// # Errors
///
/// The body was cut short.
pub async fn take(mut body: Incoming, limit: usize) -> Result<Taken, hyper::Error> {
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut size = 0;
    loop {
        let frame = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        let Some(frame) = frame else {
            return Ok(Taken::Whole(join(pieces)));
        };
        // Trailers concern one connection only.
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        size += piece.len();
        pieces.push(piece);
        if size > limit {
            return Ok(Taken::Begun(pieces, body));
        }
    }
}

fn join(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() == 1 {
        return pieces.remove(0);
    }
    Bytes::from(pieces.concat())
}

/// A body that goes on with pieces read before, and holds a target's place to its end.
pub struct Streamed {
    before: std::collections::VecDeque<Bytes>,
    rest: Incoming,
    left: Option<u64>,
    permit: Option<(Permit, std::time::Duration)>,
    /// How many more bytes may come, and what is set once there are more.
    room: Option<(u64, Rc<Cell<bool>>)>,
}

impl Streamed {
    /// Creates a body of the pieces and the rest.
    pub fn new(pieces: Vec<Bytes>, rest: Incoming) -> Self {
        let read: u64 = pieces.iter().map(|it| it.len() as u64).sum();
        let left = rest.size_hint().exact().map(|it| it + read);
        Self {
            before: pieces.into(),
            rest,
            left,
            permit: None,
            room: None,
        }
    }

    /// Breaks the body off, and sets `over`, once it is longer than `limit`.
    pub fn within(mut self, limit: u64, over: Rc<Cell<bool>>) -> Self {
        let read: u64 = self.before.iter().map(|it| it.len() as u64).sum();
        self.room = Some((limit.saturating_sub(read), over));
        self
    }

    /// Counts a piece; tells whether it is still within the limit.
    fn admit(&mut self, piece: u64) -> bool {
        let Some((room, over)) = &mut self.room else {
            return true;
        };
        match room.checked_sub(piece) {
            Some(left) => *room = left,
            None => over.set(true),
        }
        !over.get()
    }

    /// Keeps a target's place until the body has ended.
    pub fn holding(mut self, permit: Permit, took: std::time::Duration) -> Self {
        self.permit = Some((permit, took));
        self
    }

    fn end(&mut self, ok: bool) {
        if let Some((permit, took)) = self.permit.take() {
            let ended = if ok {
                CompletionKind::Answered(took)
            } else {
                CompletionKind::Lost
            };
            permit.finish(ended, None);
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
        if let Some(piece) = self.before.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.end(true),
            Poll::Ready(Some(Err(_))) => self.end(false),
            Poll::Ready(Some(Ok(frame))) => {
                let piece = frame.data_ref().map_or(0, |it| it.len() as u64);
                if !self.admit(piece) {
                    return Poll::Ready(Some(Err("the body is longer than allowed".into())));
                }
            }
            Poll::Pending => {}
        }
        polled.map_err(Into::into)
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Wraps a streamed body for a message.
pub fn stream(body: Streamed) -> Body {
    Body::stream(body)
}
