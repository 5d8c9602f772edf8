//! Pipelined requests: starts idempotent requests of a connection before those ahead of them are answered.
//!
//! hyper parses requests and writes responses, one at a time and in order. The server's stream holds back what arrives
//! while hyper waits for a response ([`feed`]), and notices meanwhile that the peer leaves. A splitter (`head`)
//! recognizes whole requests without a body in what is held back; the [`Handler`] decides whether such a request may
//! start early. `connection` keeps the responses in progress, and hands them out when hyper reaches the same requests.
//! [`space`] bounds the bytes of responses that wait for their turn.

pub(crate) mod connection;
pub mod feed;
mod head;
mod holding;
pub mod space;
pub(crate) mod stream;
mod tracked_body;

use std::{fmt, time::Duration};

use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{self, HeaderValue},
};

use crate::body::Body;

/// How far a server reads ahead on each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pipelining {
    /// The maximum number of open requests of a connection; 1 handles one request at a time.
    pub requests: usize,
    /// The bytes that an unfinished response counts for: the most that its handler reads before its turn.
    pub response_bytes: usize,
}

impl Pipelining {
    /// One request at a time.
    pub const OFF: Self = Self {
        requests: 1,
        response_bytes: 0,
    };
}

/// The fields of a request that decide its route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// The method.
    pub method: Method,
    /// The request's target.
    pub uri: Uri,
    /// The value of the header `Host`.
    pub host: Option<HeaderValue>,
}

impl RequestTarget {
    /// Copies the fields of a request; their bytes are shared.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::pipeline::RequestTarget;
    /// use hyper::{HeaderMap, Method, Uri};
    ///
    /// let uri = Uri::from_static("/a");
    /// assert!(RequestTarget::new(&Method::GET, &uri, &HeaderMap::new()).host.is_none());
    /// ```
    pub fn new(method: &Method, uri: &Uri, headers: &HeaderMap) -> Self {
        Self {
            method: method.clone(),
            uri: uri.clone(),
            host: headers.get(header::HOST).cloned(),
        }
    }
}

/// Why no further request of a connection is started early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// As many requests are open as are allowed.
    Requests,
    /// Responses that wait for their turn use the connection's space.
    ConnectionBytes,
    /// Responses that wait for their turn use the space of all connections.
    TotalBytes,
    /// The read buffer is full.
    Buffer,
    /// The next request, or one that is open, may run only alone.
    Alone,
    /// The next request has a body, closes the connection, or isn't recognized.
    Form,
}

impl StopCause {
    /// Returns the name for metrics.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::pipeline::StopCause;
    ///
    /// assert_eq!(StopCause::TotalBytes.name(), "total-bytes");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::ConnectionBytes => "connection-bytes",
            Self::TotalBytes => "total-bytes",
            Self::Buffer => "buffer",
            Self::Alone => "alone",
            Self::Form => "form",
        }
    }
}

impl fmt::Display for StopCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What a connection reports for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was started early, with this number of open requests ahead of it.
    Started(usize),
    /// The response to such a request got its turn.
    Waited {
        /// How long it had been ready.
        time: Duration,
        /// The size of its body that was held in memory, or the size reserved for a stream.
        bytes: usize,
    },
    /// No further request is started early for now.
    Stopped(StopCause),
    /// A connection is closed for a new one; its peer has been silent for this long.
    Displaced(Duration),
    /// A new connection is closed at once, since all others are at work.
    TurnedAway,
    /// A connection is reset, since memory is short and its peer doesn't take the response.
    GivenUp,
}

/// Handles the requests of a server's connections.
pub trait Handler: Clone + 'static {
    /// The response in progress; dropping it cancels the request.
    type Answer: Future<Output = Response<Body>> + 'static;

    /// Handles a request whose turn it is.
    fn handle(&self, request: Request<Incoming>) -> Self::Answer;

    /// Returns whether requests behind this open one may start before it is answered.
    fn is_idempotent(&self, _target: &RequestTarget) -> bool {
        false
    }

    /// Handles a request without a body before those ahead of it are answered; `None` if it must wait for its turn.
    fn start_early(&self, _request: Request<()>) -> Option<Self::Answer> {
        None
    }

    /// Returns whether connections are to be closed after what has been read from them.
    fn is_draining(&self) -> bool {
        false
    }

    /// Takes what a connection reports.
    fn on_event(&self, _event: Event) {}
}

/// A handler that is a function, for servers without pipelining.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionHandler<H>(pub(crate) H);

impl<H, F> Handler for FunctionHandler<H>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    type Answer = F;

    fn handle(&self, request: Request<Incoming>) -> F {
        (self.0)(request)
    }
}
