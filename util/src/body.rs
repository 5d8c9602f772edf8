//! Bodies of HTTP messages: whole in memory, or streamed from another connection with bounded memory.

use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};

/// Why a body could not be read or sent completely.
pub type Cause = Box<dyn error::Error + Send + Sync>;

/// A body that hyper can send.
pub enum Body {
    /// The whole body in memory.
    Whole(Full<Bytes>),
    /// A stream that is forwarded frame by frame.
    Stream(Pin<Box<dyn HttpBody<Data = Bytes, Error = Cause>>>),
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(_) => f.write_str("Body::Whole"),
            Self::Stream(_) => f.write_str("Body::Stream"),
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
        Self::Stream(Box::pin(body))
    }
}

impl<T> From<T> for Body
where
    T: Into<Bytes>,
{
    fn from(bytes: T) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Cause;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cause>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context).map_err(Into::into),
            Self::Stream(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// The body is longer than the limit, or it was truncated.
pub async fn read(body: Incoming, limit: usize) -> Result<Bytes, Cause> {
    let whole = Limited::new(body, limit).collect().await?;
    Ok(whole.to_bytes())
}
