//! An HTTP/1.1 client with a bounded connection pool per address.
//!
//! On a failure it reports whether any byte of the request was sent, so that callers know which
//! requests certainly did not run. Each connection has a task that owns the socket and exchanges
//! messages with the client through hyper's channel.

mod error;
mod joined;
mod latest;
mod pool;
mod received;
mod response_body;
mod write;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::RangeInclusive,
    rc::Rc,
    time::Duration,
};

use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Bytes},
    header::{self, HeaderName, HeaderValue},
};
use indexmap::IndexMap;

pub use self::{error::Error, latest::Series, response_body::ResponseBody};
use self::{
    latest::Latest,
    pool::Connection,
    response_body::{BodyWatch, RequestBody},
    write::{NextWrite, Progress},
};
use crate::{
    body::{self, Body},
    clock::Clock,
};

/// The shortest timeout after which a connection without a response counts as failed.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest body that a peer's operating system takes at once, whether or not its process reads.
const MAX_SHORT_BYTES: u64 = 8 * 1024;
/// The statuses of final responses.
const STATUSES: RangeInclusive<u16> = 200..=599;

/// The limits of a response that is read as a whole.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// The timeout of its head.
    pub head: Duration,
    /// The timeout of the whole response, from the sending of the request.
    pub whole: Duration,
    /// The maximum size of its body.
    pub bytes: usize,
}

/// How many responses had arrived on a response's connection before it: an extension of responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse(pub u64);

/// Observes whether connections work.
pub trait ConnectionObserver {
    /// The first response has arrived on a new connection.
    fn on_response(&self, peer: SocketAddr);

    /// A connection could not be opened, or got no response to a request.
    fn on_failure(&self, peer: SocketAddr);
}

/// Decides about a request at the moment at which its first byte is written.
///
/// Until then a request waits for its connection to open, and for the tasks that are ready before the one that writes it.
/// In a process that is short of processor time this takes seconds.
pub trait SendGuard {
    /// Returns whether the request may be written; called at most once, right before its first byte is.
    fn may_write(&self) -> bool;
}

/// What is special about an exchange.
#[derive(Clone, Default)]
pub struct Exchange {
    /// Withdraws the request before its first byte is written.
    pub guard: Option<Rc<dyn SendGuard>>,
    /// The series of the request, if it has no id: a late copy of a response to one request of a series does no harm as the
    /// response to another one.
    pub series: Option<Series>,
}

impl std::fmt::Debug for Exchange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exchange")
            .field("guard", &self.guard.is_some())
            .field("series", &self.series)
            .finish()
    }
}

/// A client with a connection pool for each address; clones share the pools.
#[derive(Clone)]
pub struct Client {
    clock: Clock,
    /// The maximum number of open connections per address.
    limit: usize,
    opened: Rc<Cell<u64>>,
    /// Connections for reuse; each can be reused once its last response has been read.
    pool: Rc<RefCell<IndexMap<SocketAddr, Vec<Connection>>>>,
    /// The number of open connections, including those being opened.
    open_counts: Rc<RefCell<IndexMap<SocketAddr, usize>>>,
    observer: Option<Rc<dyn ConnectionObserver>>,
    /// The header that names a request, and that the peers' responses repeat.
    id_header: Option<HeaderName>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client that opens at most `limit` connections to an address.
    pub fn new(clock: Clock, limit: usize) -> Self {
        Self {
            clock,
            limit,
            opened: Rc::default(),
            pool: Rc::default(),
            open_counts: Rc::default(),
            observer: None,
            id_header: None,
        }
    }

    /// Adds an observer of connections.
    #[must_use]
    pub fn with_observer(mut self, observer: Rc<dyn ConnectionObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Tells responses apart by a header that names a request and that the peers' responses repeat.
    ///
    /// For peers that may send a response once more, at the point where the next one on the connection is expected. A
    /// response that names another request ends the exchange with [`Error::Foreign`] and its connection, on which each
    /// later response would be out of step. A connection isn't used where a copy of its latest response could be taken
    /// for the response to the request: for another attempt of the same request, and after a response that names no request,
    /// unless that belongs to the same [`Exchange::series`].
    ///
    /// Such a peer may also send the beginning of another message before a response. One whose head begins so ends the exchange
    /// with [`Error::Joined`], and its connection.
    #[must_use]
    pub fn with_id_header(mut self, header: HeaderName) -> Self {
        self.id_header = Some(header);
        self
    }

    /// Closes the connections that no request uses.
    pub fn close_idle(&self) {
        self.pool.borrow_mut().clear();
    }

    /// Returns how many connections have been opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and waits up to `timeout` for the head of the response.
    ///
    /// # Errors
    ///
    /// See [`Error`]; if [`Error::unsent`] is true, the peer has received no part of the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        let exchange = Exchange::default();
        self.send_with(peer, request, timeout, exchange).await
    }

    /// Sends a request like [`Client::send`], unless the exchange's guard withdraws it.
    ///
    /// # Errors
    ///
    /// See [`Client::send`].
    pub async fn send_with(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
        exchange: Exchange,
    ) -> Result<Response<ResponseBody>, Error> {
        let Exchange { guard, series } = exchange;
        let progress = Progress::default();
        let write = NextWrite {
            deadline: self.clock.now() + timeout,
            clock: self.clock.clone(),
            progress: progress.clone(),
            is_long: is_long(&request),
            guard,
        };
        let exchange = self.exchange(peer, request, write, series);
        let result = match self.clock.timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(progress.on_timeout(peer)),
        };
        self.observe(peer, &result, &progress, timeout);
        result
    }

    /// Sends a request and reads the whole response.
    ///
    /// A response of which only a part arrives in time is an error like one that doesn't arrive.
    ///
    /// # Errors
    ///
    /// See [`Client::send`]; [`Error::Truncated`] or [`Error::Timeout`] if the body didn't arrive completely.
    pub async fn fetch(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
        limits: ResponseLimits,
    ) -> Result<Response<Bytes>, Error> {
        let started = self.clock.now();
        let response = self.send(peer, request, limits.head).await?;
        let (head, incoming) = response.into_parts();
        let elapsed = self.clock.now().saturating_sub(started);
        let left = limits.whole.saturating_sub(elapsed);
        let read = self.clock.timeout(left, body::read(incoming, limits.bytes));
        let bytes = read.await.map_err(|_| Error::Timeout(peer, true))?;
        let bytes = bytes.map_err(|cause| Error::Truncated(peer, cause))?;
        Ok(Response::from_parts(head, bytes))
    }

    /// Tells the observer whether a connection works.
    fn observe<T>(
        &self,
        peer: SocketAddr,
        result: &Result<T, Error>,
        progress: &Progress,
        timeout: Duration,
    ) {
        let Some(observer) = &self.observer else {
            return;
        };
        match result {
            Ok(_) if progress.first.get() => observer.on_response(peer),
            Ok(_)
            | Err(
                Error::Busy(_)
                | Error::Withdrawn(_)
                | Error::Foreign(_)
                | Error::Joined(_)
                | Error::Malformed(_),
            ) => {}
            Err(Error::Timeout(..)) if timeout < MIN_FAILURE_TIMEOUT => {}
            Err(_) => observer.on_failure(peer),
        }
    }

    /// Sends a request on a pooled connection, or on a new one.
    async fn exchange(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
        write: NextWrite,
        series: Option<Series>,
    ) -> Result<Response<ResponseBody>, Error> {
        announce_chunks(&mut request);
        let id = self.named_request(request.headers());
        let is_usable = |it: &Connection| !it.latest.resembles(id.as_ref(), series.as_ref());
        let mut connection = self.connection(peer, is_usable).await?;
        let written_before = connection.stream.written.get();
        let progress = write.progress.clone();
        progress.connected.set(true);
        progress.first.set(connection.responses == 0);
        *connection.stream.next_write.borrow_mut() = Some(write);
        connection.stream.head_bytes.set(Some(0));
        connection.stream.received.borrow_mut().on_request();
        let request = request.map(|it| RequestBody::new(it, &connection.stream));
        let watch = BodyWatch::new(&connection.stream);
        let result = connection.sender.try_send_request(request).await;
        connection.stream.head_bytes.set(None);
        let unsent = connection.stream.written.get() == written_before;
        match result {
            Ok(mut response) => {
                let earlier = ConnectionUse(connection.responses);
                response.extensions_mut().insert(earlier);
                connection.responses += 1;
                if !STATUSES.contains(&response.status().as_u16()) {
                    return Err(Error::Malformed(peer));
                }
                if self.id_header.is_some() && joined::is_joined(&response) {
                    return Err(Error::Joined(peer));
                }
                let named = self.named_request(response.headers());
                if named.is_some() && named != id {
                    return Err(Error::Foreign(peer));
                }
                if self.id_header.is_some() {
                    connection.latest = named.map_or(Latest::Unnamed(series), Latest::Named);
                }
                self.return_to_pool(peer, connection);
                let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
                Ok(response.map(|it| ResponseBody::new(it, watch, chunked)))
            }
            Err(error) => {
                let cause = error.into_error();
                if progress.withdrawn.get() {
                    Err(Error::Withdrawn(peer))
                } else if unsent {
                    Err(Error::Unsent(peer, cause, connection.responses))
                } else {
                    Err(Error::Broken(peer, cause, connection.responses))
                }
            }
        }
    }

    /// Returns the id of the request that a message names, if the client tells responses apart.
    fn named_request(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        let header = self.id_header.as_ref()?;
        headers.get(header).cloned()
    }
}

/// Returns whether a request's body may be too long for its peer to acknowledge without reading it.
fn is_long(request: &Request<Body>) -> bool {
    let size = request.body().size_hint().upper();
    size.is_none_or(|it| it > MAX_SHORT_BYTES)
}

/// Announces a body of unknown size, which is sent in chunks.
///
/// Otherwise hyper sends no body with a method for which bodies are unusual, such as GET.
fn announce_chunks(request: &mut Request<Body>) {
    if request.body().size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        request
            .headers_mut()
            .insert(header::TRANSFER_ENCODING, chunked);
    }
}
