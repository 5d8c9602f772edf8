//! Bodies of HTTP messages: whole in memory, or streamed from another connection with bounded memory.

use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};

use crate::memory::Held;

/// Why a body could not be read or sent completely.
pub type Cause = Box<dyn error::Error + Send + Sync>;

/// A body that hyper can send.
pub struct Body {
    content: Content,
    /// What its sender holds for it until it has been sent.
    held: Option<Held>,
}

enum Content {
    /// The whole body in memory.
    Whole(Full<Bytes>),
    /// A stream that is forwarded frame by frame.
    Stream(Pin<Box<dyn HttpBody<Data = Bytes, Error = Cause>>>),
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.content {
            Content::Whole(_) => f.write_str("Body::Whole"),
            Content::Stream(_) => f.write_str("Body::Stream"),
        }
    }
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::from(Bytes::new())
    }

    /// Creates a body that forwards the frames of another one.
    pub fn stream<B>(body: B) -> Self
    where
        B: HttpBody<Data = Bytes, Error = Cause> + 'static,
    {
        Self {
            content: Content::Stream(Box::pin(body)),
            held: None,
        }
    }

    /// Adds what is held in memory for the body; a server frees it once the body is sent.
    #[must_use]
    pub fn with_held(self, held: Held) -> Self {
        Self {
            held: Some(held),
            ..self
        }
    }

    /// Takes what is held in memory for the body.
    pub(crate) fn take_held(&mut self) -> Option<Held> {
        self.held.take()
    }

    /// Returns whether the whole body is in memory.
    pub fn is_whole(&self) -> bool {
        matches!(self.content, Content::Whole(_))
    }
}

impl<T> From<T> for Body
where
    T: Into<Bytes>,
{
    fn from(bytes: T) -> Self {
        Self {
            content: Content::Whole(Full::new(bytes.into())),
            held: None,
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        match &mut self.get_mut().content {
            Content::Whole(body) => Pin::new(body).poll_frame(context).map_err(Into::into),
            Content::Stream(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(body) => body.is_end_stream(),
            Content::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(body) => body.size_hint(),
            Content::Stream(body) => body.size_hint(),
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// The body is longer than the limit, or it was truncated.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, Cause>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Cause>,
{
    let whole = Limited::new(body, limit).collect().await?;
    Ok(whole.to_bytes())
}
