//! A TCP stream as hyper reads and writes it.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncBufRead as _, AsyncWrite as _};
use hyper::rt::{Read, ReadBufCursor, Write};

/// A stream that hands over what was read without clearing hyper's buffer first, which the
/// library's own does at each look.
#[derive(Debug)]
pub struct Stream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    ended: Rc<Cell<bool>>,
}

impl Stream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            inner: Box::pin(AsyncStream::new(stream)),
            ended: Rc::default(),
        }
    }

    /// Returns what turns true once the peer has ended the stream in order; a reset doesn't.
    pub fn ended(&self) -> Rc<Cell<bool>> {
        self.ended.clone()
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { inner, ended } = &mut *self;
        let bytes = ready!(inner.as_mut().poll_fill_buf(context))?;
        if bytes.is_empty() {
            ended.set(true);
        }
        let count = bytes.len().min(buffer.remaining());
        buffer.put_slice(&bytes[..count]);
        inner.as_mut().consume(count);
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner.as_mut().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_close(context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.inner.as_mut().poll_write_vectored(context, buffers)
    }
}
