//! A TCP stream as hyper reads and writes it, and whoever watches what passes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncBufRead as _, AsyncWrite as _};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Is told what passes through a stream.
pub trait Watch: Unpin {
    /// Takes note of bytes that came; none mean that the peer has ended the stream in order, which a
    /// reset doesn't.
    fn on_read(&mut self, bytes: usize);

    /// Takes note of bytes that left.
    fn on_write(&mut self, bytes: usize);
}

/// A stream that hands over what was read without clearing hyper's buffer first, which the
/// library's own does at each look.
#[derive(Debug)]
pub struct Stream<W> {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    watch: W,
}

impl<W> Stream<W>
where
    W: Watch,
{
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, watch: W) -> Self {
        Self {
            inner: Box::pin(AsyncStream::new(stream)),
            watch,
        }
    }

    fn wrote(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.watch.on_write(*bytes);
        }
        result
    }
}

impl<W> Read for Stream<W>
where
    W: Watch,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { inner, watch } = &mut *self;
        let bytes = ready!(inner.as_mut().poll_fill_buf(context))?;
        let count = bytes.len().min(buffer.remaining());
        buffer.put_slice(&bytes[..count]);
        inner.as_mut().consume(count);
        watch.on_read(count);
        Poll::Ready(Ok(()))
    }
}

impl<W> Write for Stream<W>
where
    W: Watch,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.inner.as_mut().poll_write(context, bytes);
        self.wrote(result)
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
        let result = self.inner.as_mut().poll_write_vectored(context, buffers);
        self.wrote(result)
    }
}
