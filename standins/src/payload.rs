//! Response bodies of the stand-ins: a buffer, a generated pattern, or a body truncated on purpose.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Body, Bytes, Frame, SizeHint};

/// The maximum number of bytes per frame.
const FRAME_BYTES: u64 = 16 * 1024;
/// The period of the pattern: a prime, so that shifted or missing bytes are detected.
const PATTERN_PERIOD: u64 = 251;

/// A body with a known length that may fail before its end.
#[derive(Debug, Default)]
pub struct Payload {
    bytes: Bytes,
    sent: u64,
    length: u64,
    fail_at: Option<u64>,
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

    /// Makes the body fail halfway while it still announces its full length.
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
        self.fail_at = Some(self.length / 2);
        self
    }

    /// Returns the bytes of the next frame; requires that `end` has not been reached.
    fn frame(&self, end: u64) -> Bytes {
        let size = FRAME_BYTES.min(end - self.sent);
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
        let end = self.fail_at.unwrap_or(self.length);
        if self.sent < end {
            let bytes = self.frame(end);
            self.sent += bytes.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if end < self.length && !self.flushed {
            // Yields once, so that the frames so far are flushed before the connection fails.
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if end < self.length {
            return Poll::Ready(Some(Err(io::Error::other("body truncated"))));
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
    u8::try_from(offset % PATTERN_PERIOD).unwrap_or(0)
}
