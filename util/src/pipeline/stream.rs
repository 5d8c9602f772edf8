//! The stream under hyper's server, which reads on while hyper waits for a response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use hyper::rt::{Read, ReadBufCursor, Write};

use super::{Handler, connection::Connection};
use crate::stream::{Stream, StreamObserver};

/// A stream that hands hyper the bytes of one request at a time, and holds further ones.
pub(crate) struct HoldingStream<W, H> {
    stream: Stream<W>,
    connection: Connection<H>,
}

impl<W, H> HoldingStream<W, H>
where
    W: StreamObserver,
    H: Handler,
{
    /// Wraps the stream of a connection.
    pub(crate) fn new(stream: Stream<W>, connection: Connection<H>) -> Self {
        Self { stream, connection }
    }

    /// Reads until nothing more has arrived, there is no room, or the peer has left, which completes this.
    fn poll_left(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let room = self.connection.room();
            if room == 0 {
                self.connection.read_ahead(context.waker(), false);
                return Poll::Pending;
            }
            match self.stream.poll_fill(context)? {
                Poll::Ready([]) => return Poll::Ready(Ok(())),
                Poll::Ready(bytes) => {
                    let count = bytes.len().min(room);
                    if self.connection.hold(&bytes[..count]).is_err() {
                        self.connection.read_ahead(context.waker(), false);
                        return Poll::Pending;
                    }
                    self.stream.consume(count);
                }
                Poll::Pending => {
                    self.connection.read_ahead(context.waker(), true);
                    return Poll::Pending;
                }
            }
        }
    }
}

impl<W, H> Read for HoldingStream<W, H>
where
    W: StreamObserver,
    H: Handler,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let limit = buffer.remaining();
        let Some(held) = this.connection.next_bytes(limit, context.waker()) else {
            return this.poll_left(context);
        };
        if held.is_empty() {
            let taken = this.stream.poll_take(context, |bytes| {
                let count = this.connection.allow(&bytes[..bytes.len().min(limit)]);
                buffer.put_slice(&bytes[..count]);
                count
            });
            return taken.map_ok(drop);
        }
        buffer.put_slice(&held);
        Poll::Ready(this.stream.observer().on_read(&held))
    }
}

impl<W, H> Write for HoldingStream<W, H>
where
    W: StreamObserver,
    H: Handler,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
