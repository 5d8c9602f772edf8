//! The body of a response that hyper sends, as its connection sees it.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};

use super::{Handler, connection::Connection};
use crate::body::{Body, Cause};

/// A response's body, which tells its connection when hyper has taken all of it.
pub(crate) struct TrackedBody<H>
where
    H: Handler,
{
    body: Body,
    connection: Connection<H>,
}

impl<H> TrackedBody<H>
where
    H: Handler,
{
    pub(super) fn new(body: Body, connection: Connection<H>) -> Self {
        Self { body, connection }
    }
}

impl<H> Drop for TrackedBody<H>
where
    H: Handler,
{
    fn drop(&mut self) {
        self.connection.on_answered();
    }
}

impl<H> HttpBody for TrackedBody<H>
where
    H: Handler,
{
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
