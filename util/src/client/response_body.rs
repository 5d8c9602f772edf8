//! The body of a response, which ends well only if the peer has sent all of it.

use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};

use super::{
    received::Received,
    write::{RequestWrite, StreamState},
};
use crate::body::{Body, Cause};

/// What tells whether a body without a length has ended with its connection.
#[derive(Clone, Debug)]
pub(super) struct BodyWatch {
    /// What the connection has received since the request.
    received: Rc<RefCell<Received>>,
    /// Whether reading or writing on the connection has failed.
    failed: Rc<Cell<bool>>,
    /// How much of the request has been written.
    request: Rc<RequestWrite>,
}

impl BodyWatch {
    /// Watches the response to a request on a connection.
    pub(super) fn new(stream: &StreamState) -> Self {
        Self {
            received: stream.received.clone(),
            failed: stream.failed.clone(),
            request: stream.request.borrow().clone(),
        }
    }
}

/// The body of a response; it fails where its end isn't certain.
///
/// The bytes of a stated length may be those of the next message, which then goes on behind them. A body without a length
/// ends with its connection: if that has failed, or the peer didn't wait for the whole request, the end may be missing.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    watch: BodyWatch,
    /// Whether only the end of the connection ends the body.
    unframed: bool,
}

impl ResponseBody {
    pub(super) fn new(incoming: Incoming, watch: BodyWatch, chunked: bool) -> Self {
        let unframed = !chunked && incoming.size_hint().exact().is_none();
        Self {
            incoming,
            watch,
            unframed,
        }
    }

    /// Returns what is wrong with the end of the body, if anything is.
    fn check_end(&self) -> Result<(), Cause> {
        let BodyWatch {
            received,
            failed,
            request,
        } = &self.watch;
        if received.borrow().is_filled_up() {
            return Err("its end is that of another message".into());
        }
        if self.unframed && (failed.get() || !request.flushed.get()) {
            return Err("its connection failed before its end".into());
        }
        Ok(())
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        let ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.incoming.is_end_stream(),
            _ => false,
        };
        if ended && let Err(cause) = self.check_end() {
            return Poll::Ready(Some(Err(cause)));
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// The body of a request, which records when hyper has taken all of it.
pub(super) struct RequestBody {
    body: Body,
    write: Rc<RequestWrite>,
}

impl RequestBody {
    /// Wraps the body of the next request on a connection.
    pub(super) fn new(body: Body, stream: &StreamState) -> Self {
        let write = Rc::new(RequestWrite::default());
        write.has_body.set(!body.is_end_stream());
        write.taken.set(body.is_end_stream());
        *stream.request.borrow_mut() = write.clone();
        Self { body, write }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let ended = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        self.write.taken.set(ended);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
