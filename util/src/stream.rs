//! A TCP stream for hyper that reports the bytes read and written to an observer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncBufRead as _, AsyncWrite as _};
use hyper::rt::{Read, ReadBufCursor, Write};

/// The size of the buffer for reading, and of that for writing while little is written.
const BUFFER_BYTES: usize = 8 * 1024;
/// The most bytes that are copied for writing at a time.
const MAX_WRITE_BYTES: usize = 128 * 1024;

/// Observes the bytes that are read from and written to a [`Stream`].
pub trait StreamObserver: Unpin {
    /// Called after these bytes were read; none means that the peer closed the stream.
    ///
    /// # Errors
    ///
    /// Nothing may be read any more; the connection fails with this error.
    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Called before the end of the stream is read, until it completes.
    fn poll_end(&mut self, _context: &mut Context<'_>) -> Poll<()> {
        Poll::Ready(())
    }

    /// Called after all that was written has been given to the operating system.
    fn on_flush(&mut self) {}

    /// Called after reading or writing has failed.
    fn on_failure(&mut self) {}

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
            inner: Box::pin(AsyncStream::with_limits(
                BUFFER_BYTES,
                MAX_WRITE_BYTES,
                stream,
            )),
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

    /// Waits for received bytes, lets `take` take some of them, and returns how many it has taken; none have arrived if the
    /// peer closed the stream.
    ///
    /// # Errors
    ///
    /// The connection has failed, or the observer doesn't allow to read on.
    pub(crate) fn poll_take<F>(
        &mut self,
        context: &mut Context<'_>,
        take: F,
    ) -> Poll<io::Result<usize>>
    where
        F: FnOnce(&[u8]) -> usize,
    {
        let Self { inner, observer } = self;
        let filled = ready!(inner.as_mut().poll_fill_buf(context));
        let bytes = filled.inspect_err(|_| observer.on_failure())?;
        if bytes.is_empty() {
            ready!(observer.poll_end(context));
        }
        let count = take(bytes);
        let observed = observer.on_read(&bytes[..count]);
        inner.as_mut().consume(count);
        Poll::Ready(observed.map(|()| count))
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
        match &result {
            Poll::Ready(Ok(bytes)) => self.observer.on_write(*bytes),
            Poll::Ready(Err(_)) => self.observer.on_failure(),
            Poll::Pending => {}
        }
        result
    }

    fn report_flush(&mut self, result: Poll<io::Result<()>>) -> Poll<io::Result<()>> {
        match &result {
            Poll::Ready(Ok(())) => self.observer.on_flush(),
            Poll::Ready(Err(_)) => self.observer.on_failure(),
            Poll::Pending => {}
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
        self.poll_take(context, |bytes| {
            let count = bytes.len().min(buffer.remaining());
            buffer.put_slice(&bytes[..count]);
            count
        })
        .map_ok(drop)
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
        let flushed = self.inner.as_mut().poll_flush(context);
        self.report_flush(flushed)
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
