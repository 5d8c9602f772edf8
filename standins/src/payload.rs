//! Bodies of the stand-ins' answers: a whole buffer, a long pattern, or one that is cut short.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Body, Bytes, Frame, SizeHint};

/// The most bytes in one frame of a pattern.
const FRAME: u64 = 16 * 1024;
/// The period of the pattern: a prime, so that a shifted or cut body shows.
const PERIOD: u64 = 251;

/// A body with a known length, which may break off before its end.
#[derive(Debug, Default)]
pub struct Payload {
    bytes: Bytes,
    sent: u64,
    length: u64,
    cut: Option<u64>,
    flushed: bool,
}

impl Payload {
    /// Creates a body from a whole buffer.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::payload::Payload;
    /// use hyper::body::Body;
    ///
    /// assert_eq!(Payload::whole("letter").size_hint().exact(), Some(6));
    /// ```
    pub fn whole<B>(bytes: B) -> Self
    where
        B: Into<Bytes>,
    {
        let bytes = bytes.into();
        let length = bytes.len() as u64;
        Self {
            bytes,
            length,
            ..Self::default()
        }
    }

    /// Creates a body of `length` bytes of the pattern that [`byte_at`] gives.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::payload::Payload;
    /// use hyper::body::Body;
    ///
    /// assert_eq!(Payload::pattern(1 << 20).size_hint().exact(), Some(1 << 20));
    /// ```
    pub fn pattern(length: u64) -> Self {
        Self {
            length,
            ..Self::default()
        }
    }

    /// Breaks the body off with an error halfway, though its announced length stays.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_standins::payload::Payload;
    /// use hyper::body::Body;
    ///
    /// assert_eq!(Payload::pattern(8).truncated().size_hint().exact(), Some(8));
    /// ```
    #[must_use]
    pub fn truncated(mut self) -> Self {
        self.cut = Some(self.length / 2);
        self
    }

    /// Returns the next frame's bytes; the caller has checked that there are some.
    fn frame(&self, end: u64) -> Bytes {
        let size = FRAME.min(end - self.sent);
        if self.bytes.is_empty() {
            return (self.sent..self.sent + size).map(byte_at).collect();
        }
        let from = usize::try_from(self.sent).unwrap_or(usize::MAX);
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        self.bytes.slice(from..from + size)
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let end = self.cut.unwrap_or(self.length);
        if self.sent < end {
            let bytes = self.frame(end);
            self.sent += bytes.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if end < self.length && !self.flushed {
            // What was sent so far goes out before the connection breaks.
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if end < self.length {
            return Poll::Ready(Some(Err(io::Error::other("cut short"))));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.length
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length - self.sent)
    }
}

/// Returns the byte of the pattern at an offset.
///
/// # Example
///
/// ```
/// use bramleypier_standins::payload;
///
/// assert_eq!(payload::byte_at(0), payload::byte_at(251));
/// ```
pub fn byte_at(offset: u64) -> u8 {
    u8::try_from(offset % PERIOD).unwrap_or(0)
}
