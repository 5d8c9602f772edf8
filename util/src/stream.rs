//! A TCP stream for hyper that reports the bytes read and written to an observer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncBufRead as _, AsyncWrite as _};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Observes the bytes that are read from and written to a [`Stream`].
pub trait StreamObserver: Unpin {
    /// Called after `bytes` bytes were read; 0 means that the peer closed the stream with a FIN, not
    /// with a reset.
    ///
    /// # Errors
    ///
    /// Nothing may be read any more; the connection fails with this error.
    fn on_read(&mut self, bytes: usize) -> io::Result<()>;

    /// Called before bytes are written.
    ///
    /// # Errors
    ///
    /// Nothing may be written any more; the connection fails with this error.
    fn before_write(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// Called after `bytes` bytes were written.
    fn on_write(&mut self, bytes: usize);
}

/// A stream for hyper.
///
/// Unlike the library's own adapter, it does not clear hyper's buffer at each poll before it copies the
/// bytes that were read.
#[derive(Debug)]
pub struct Stream<W> {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    observer: W,
}

impl<W> Stream<W>
where
    W: StreamObserver,
{
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, observer: W) -> Self {
        Self {
            inner: Box::pin(AsyncStream::new(stream)),
            observer,
        }
    }

    /// Waits for received bytes, which stay until they are consumed; none means that the peer closed the stream.
    ///
    /// # Errors
    ///
    /// The connection has failed.
    pub(crate) fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        self.inner.as_mut().poll_fill_buf(context)
    }

    /// Drops received bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.inner.as_mut().consume(count);
    }

    /// Returns the observer.
    pub(crate) fn observer(&mut self) -> &mut W {
        &mut self.observer
    }

    fn report_write(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.observer.on_write(*bytes);
        }
        result
    }
}

impl<W> Read for Stream<W>
where
    W: StreamObserver,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { inner, observer } = &mut *self;
        let bytes = ready!(inner.as_mut().poll_fill_buf(context))?;
        let count = bytes.len().min(buffer.remaining());
        buffer.put_slice(&bytes[..count]);
        inner.as_mut().consume(count);
        Poll::Ready(observer.on_read(count))
    }
}

impl<W> Write for Stream<W>
where
    W: StreamObserver,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.observer.before_write()?;
        let result = self.inner.as_mut().poll_write(context, bytes);
        self.report_write(result)
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
        self.observer.before_write()?;
        let result = self.inner.as_mut().poll_write_vectored(context, buffers);
        self.report_write(result)
    }
}
