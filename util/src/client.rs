//! An HTTP/1.1 client with a bounded connection pool per address.
//!
//! On a failure it reports whether any byte of the request was sent, so that callers know which
//! requests certainly did not run. Each connection has a task that owns the socket and exchanges
//! messages with the client through hyper's channel.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::net::TcpStream;
use futures_channel::oneshot;
use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{self, HeaderName, HeaderValue},
};
use indexmap::IndexMap;
use quick_error::quick_error;

use crate::{
    body::{self, Body},
    clock::Clock,
    headers, socket,
    stream::{Stream, StreamObserver},
};

/// The timeout for opening a connection.
///
/// Peers are a few milliseconds apart. A lost SYN is retransmitted only after one second, so waiting
/// longer gains nothing, and a peer behind a network partition never responds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum size of a response's head, with the interim responses before it.
///
/// hyper reads any number of interim responses without a pause, so nothing else would end them.
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// How recently a connection must have been used for its close to indicate that the peer's process ended.
///
/// A connection that was idle for longer may have reached the peer's idle timeout. The shortest timeout that
/// a server can announce and that still lets a client with one request per second reuse its connection is 2 s.
const RECENT_USE: Duration = Duration::from_millis(1500);

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened; nothing was sent.
        Connect(peer: SocketAddr, cause: io::Error) {
            display("connect to {peer}: {cause}")
            source(cause)
        }
        /// The maximum number of connections is in use; nothing was sent.
        Busy(peer: SocketAddr) {
            display("connect to {peer}: all connections are in use")
        }
        /// The connection failed before any byte of the request was sent.
        Unsent(peer: SocketAddr, cause: hyper::Error) {
            display("send to {peer}: {cause}; nothing was sent")
            source(cause)
        }
        /// The connection failed after a part of the request may have arrived.
        Broken(peer: SocketAddr, cause: hyper::Error) {
            display("answer from {peer}: {cause}")
            source(cause)
        }
        /// The response names another request, so what becomes of this one isn't known; see [`Client::with_id_header`].
        Foreign(peer: SocketAddr) {
            display("answer from {peer}: another request's answer")
        }
        /// The head of the response has arrived, but not the whole body, or it is too long.
        Truncated(peer: SocketAddr, cause: body::Cause) {
            display("answer from {peer}: {cause}")
        }
        /// The request's time had ended, or its sender did not want it any more, before its first byte was sent; nothing was.
        Withdrawn(peer: SocketAddr) {
            display("send to {peer}: withdrawn; nothing was sent")
        }
        /// The timeout expired; `sent` is false if certainly no byte of the request was sent.
        Timeout(peer: SocketAddr, sent: bool) {
            display("answer from {peer}: timed out, sent={sent}")
        }
    }
}

impl Error {
    /// Returns whether the connection was refused, as when no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(_, cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether it is certain that no byte of the request was sent.
    pub fn unsent(&self) -> bool {
        match self {
            Self::Connect(..) | Self::Busy(_) | Self::Unsent(..) | Self::Withdrawn(_) => true,
            Self::Broken(..) | Self::Foreign(_) | Self::Truncated(..) => false,
            Self::Timeout(_, sent) => !sent,
        }
    }
}

/// The name of requests that are answered alike.
pub type Series = String;

/// The shortest timeout after which a connection without a response counts as failed.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_millis(250);

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

/// How far an exchange has got.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Whether a connection has been chosen for it.
    connected: Rc<Cell<bool>>,
    /// Whether a byte of the request may have been sent.
    sent: Rc<Cell<bool>>,
    /// Whether no byte may be sent any more if none was.
    withdrawn: Rc<Cell<bool>>,
    /// Whether it is the first exchange on its connection.
    first: Rc<Cell<bool>>,
}

/// The client's end of a pooled connection.
struct Connection {
    sender: SendRequest<Body>,
    /// Whether a response has arrived on it.
    responded: bool,
    /// How many bytes were written to the socket.
    written: Rc<Cell<u64>>,
    /// The request that is to be written next.
    next_write: Rc<RefCell<Option<NextWrite>>>,
    /// How many bytes were read since the request, while its response has not begun.
    head_bytes: Rc<Cell<Option<usize>>>,
    /// When it was last used; none before the first response, and after one that announced the close.
    last_used: Rc<Cell<Option<Duration>>>,
    /// The response that may come once more.
    latest: Latest,
    /// Completes once the connection is closed and isn't counted any more.
    closed: oneshot::Receiver<()>,
}

impl Connection {
    /// Closes the connection.
    async fn close(self) {
        let Self { sender, closed, .. } = self;
        drop(sender);
        // Its task sends nothing; the channel ends with the task.
        let _ = closed.await;
    }
}

/// The latest response of a connection, by the request that it names.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Latest {
    /// There was none, or the peer's responses come only once.
    Nothing,
    /// It names the request with this id.
    Named(HeaderValue),
    /// It names none, and answers a request of this series.
    Unnamed(Option<Series>),
}

impl Latest {
    /// Returns whether a copy of the response could be taken for the response to the request with this id or of this series,
    /// and do harm.
    fn resembles(&self, id: Option<&HeaderValue>, series: Option<&Series>) -> bool {
        match self {
            Self::Nothing => false,
            Self::Named(named) => id == Some(named),
            Self::Unnamed(answered) => answered.is_none() || answered.as_ref() != series,
        }
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
    /// When each peer last closed a connection that had been used recently.
    closed: Rc<RefCell<IndexMap<SocketAddr, Duration>>>,
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
            closed: Rc::default(),
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

    /// Returns when the peer last closed a connection on which it had recently responded.
    ///
    /// Such a close indicates that the peer's process has ended: the operating system of the peer's
    /// VM then sends a FIN, which no device on the network path sends by itself. A reset, a close
    /// that the peer announced and an idle timeout are not counted.
    pub fn last_closed(&self, peer: SocketAddr) -> Option<Duration> {
        self.closed.borrow().get(&peer).copied()
    }

    /// Returns the peers that closed a recently used connection after `since`; see [`Client::last_closed`].
    pub fn peers_closed_since(&self, since: Duration) -> Vec<SocketAddr> {
        let closed = self.closed.borrow();
        let recent = closed.iter().filter(|(_, at)| **at > since);
        recent.map(|(peer, _)| *peer).collect()
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
    ) -> Result<Response<Incoming>, Error> {
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
    ) -> Result<Response<Incoming>, Error> {
        let Exchange { guard, series } = exchange;
        let progress = Progress::default();
        let write = NextWrite {
            deadline: self.clock.now() + timeout,
            clock: self.clock.clone(),
            progress: progress.clone(),
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
            Ok(_) | Err(Error::Busy(_) | Error::Withdrawn(_) | Error::Foreign(_)) => {}
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
    ) -> Result<Response<Incoming>, Error> {
        announce_chunks(&mut request);
        let id = self.named_request(request.headers());
        let is_usable = |it: &Connection| !it.latest.resembles(id.as_ref(), series.as_ref());
        let mut connection = self.connection(peer, is_usable).await?;
        let written_before = connection.written.get();
        let progress = write.progress.clone();
        progress.connected.set(true);
        progress.first.set(!connection.responded);
        *connection.next_write.borrow_mut() = Some(write);
        if connection.last_used.get().is_some() {
            connection.last_used.set(Some(self.clock.now()));
        }
        connection.head_bytes.set(Some(0));
        let result = connection.sender.try_send_request(request).await;
        connection.head_bytes.set(None);
        let unsent = connection.written.get() == written_before;
        match result {
            Ok(response) => {
                let last_used =
                    (!headers::closes_connection(response.headers())).then(|| self.clock.now());
                connection.last_used.set(last_used);
                connection.responded = true;
                let named = self.named_request(response.headers());
                if named.is_some() && named != id {
                    return Err(Error::Foreign(peer));
                }
                if self.id_header.is_some() {
                    connection.latest = named.map_or(Latest::Unnamed(series), Latest::Named);
                }
                self.return_to_pool(peer, connection);
                Ok(response)
            }
            Err(error) => {
                let cause = error.into_error();
                if progress.withdrawn.get() {
                    Err(Error::Withdrawn(peer))
                } else if unsent {
                    Err(Error::Unsent(peer, cause))
                } else {
                    Err(Error::Broken(peer, cause))
                }
            }
        }
    }

    /// Returns the id of the request that a message names, if the client tells responses apart.
    fn named_request(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        let header = self.id_header.as_ref()?;
        headers.get(header).cloned()
    }

    /// Returns a pooled connection that `is_usable` accepts, or a new one.
    async fn connection<P>(&self, peer: SocketAddr, is_usable: P) -> Result<Connection, Error>
    where
        P: Fn(&Connection) -> bool,
    {
        if let Some(connection) = self.take_pooled(peer, is_usable) {
            return Ok(connection);
        }
        let spent = self.take_pooled(peer, |it| it.latest == Latest::Unnamed(None));
        if self.is_full(peer) {
            let unusable = spent.or_else(|| self.take_pooled(peer, |_| true));
            if let Some(unusable) = unusable {
                unusable.close().await;
            }
            return self.open(peer).await;
        }
        // The spent one stays open until the new one is: the close of an open connection shows that the peer's process ended.
        let opened = self.open(peer).await;
        if opened.is_err()
            && let Some(spent) = spent
        {
            self.return_to_pool(peer, spent);
        }
        opened
    }

    /// Takes a pooled connection that is ready for another request and accepted by `is_usable`, and removes closed ones.
    fn take_pooled<P>(&self, peer: SocketAddr, is_usable: P) -> Option<Connection>
    where
        P: Fn(&Connection) -> bool,
    {
        let mut pool = self.pool.borrow_mut();
        let list = pool.get_mut(&peer)?;
        list.retain(|connection| !connection.sender.is_closed());
        let index = list
            .iter()
            .rposition(|connection| connection.sender.is_ready() && is_usable(connection))?;
        Some(list.swap_remove(index))
    }

    /// Returns whether the maximum number of connections to a peer is open.
    fn is_full(&self, peer: SocketAddr) -> bool {
        let counts = self.open_counts.borrow();
        counts.get(&peer).is_some_and(|it| *it >= self.limit)
    }

    /// Returns a connection to the pool; it becomes ready once its response has been read.
    fn return_to_pool(&self, peer: SocketAddr, connection: Connection) {
        let mut pool = self.pool.borrow_mut();
        pool.entry(peer).or_default().push(connection);
    }

    /// Opens a connection, unless the maximum number is open.
    async fn open(&self, peer: SocketAddr) -> Result<Connection, Error> {
        let permit = Permit::acquire(self, peer).ok_or(Error::Busy(peer))?;
        let stream = self
            .clock
            .timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|cause| Error::Connect(peer, cause))?;
        socket::set_options(&stream);
        socket::reset_on_close(&stream);
        let last_used = Rc::new(Cell::new(None));
        let state = StreamState::default();
        let (sender, task) = http1::handshake(Stream::new(stream, state.clone()))
            .await
            .map_err(|cause| Error::Unsent(peer, cause))?;
        self.opened.set(self.opened.get() + 1);
        let (closing, closed) = oneshot::channel::<()>();
        let (client, used, ended) = (self.clone(), last_used.clone(), state.ended);
        compio::runtime::spawn(async move {
            // A failure is also returned to the request's sender.
            let _ = task.await;
            if ended.get() {
                client.record_close(peer, used.get());
            }
            drop(permit);
            drop(closing);
        })
        .detach();
        Ok(Connection {
            sender,
            responded: false,
            written: state.written,
            next_write: state.next_write,
            head_bytes: state.head_bytes,
            last_used,
            latest: Latest::Nothing,
            closed,
        })
    }

    /// Records that the peer closed a connection, if it had been used recently.
    fn record_close(&self, peer: SocketAddr, last_used: Option<Duration>) {
        let now = self.clock.now();
        if last_used.is_some_and(|used| now.saturating_sub(used) <= RECENT_USE) {
            self.closed.borrow_mut().insert(peer, now);
        }
    }
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

/// The permit for one open connection; released when the connection's task ends.
struct Permit {
    peer: SocketAddr,
    open_counts: Rc<RefCell<IndexMap<SocketAddr, usize>>>,
}

impl Permit {
    fn acquire(client: &Client, peer: SocketAddr) -> Option<Self> {
        let mut counts = client.open_counts.borrow_mut();
        let count = counts.entry(peer).or_insert(0);
        if *count >= client.limit {
            return None;
        }
        *count += 1;
        Some(Self {
            peer,
            open_counts: client.open_counts.clone(),
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(count) = self.open_counts.borrow_mut().get_mut(&self.peer) {
            *count -= 1;
        }
    }
}

/// A request that was given to a connection and has not been written yet.
struct NextWrite {
    /// When its timeout ends.
    deadline: Duration,
    clock: Clock,
    progress: Progress,
    guard: Option<Rc<dyn SendGuard>>,
}

impl NextWrite {
    /// Begins to write the request, unless its time has ended or it has been withdrawn.
    fn begin(&self) -> io::Result<()> {
        let progress = &self.progress;
        let in_time = !progress.withdrawn.get() && self.clock.now() < self.deadline;
        if in_time && self.guard.as_ref().is_none_or(|it| it.may_write()) {
            progress.sent.set(true);
            return Ok(());
        }
        progress.withdrawn.set(true);
        Err(io::ErrorKind::TimedOut.into())
    }
}

impl std::fmt::Debug for NextWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NextWrite")
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl Progress {
    /// Withdraws a request that has not been written, and returns the error of a timeout.
    fn on_timeout(&self, peer: SocketAddr) -> Error {
        self.withdrawn.set(!self.sent.get());
        if self.connected.get() && !self.sent.get() {
            Error::Withdrawn(peer)
        } else {
            Error::Timeout(peer, self.sent.get())
        }
    }
}

/// What is known of a connection's stream; it observes the stream.
#[derive(Clone, Debug, Default)]
struct StreamState {
    /// How many bytes were written.
    written: Rc<Cell<u64>>,
    /// The request that is to be written next.
    next_write: Rc<RefCell<Option<NextWrite>>>,
    /// How many bytes were read since the request, while its response has not begun.
    head_bytes: Rc<Cell<Option<usize>>>,
    /// Whether the peer has closed the stream with a FIN.
    ended: Rc<Cell<bool>>,
}

impl StreamObserver for StreamState {
    fn on_read(&mut self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            self.ended.set(true);
        }
        let read = self.head_bytes.get().map(|it| it + bytes);
        self.head_bytes.set(read);
        if read.is_some_and(|it| it > MAX_HEAD_BYTES) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    fn before_write(&mut self) -> io::Result<()> {
        let next = self.next_write.take();
        next.map_or(Ok(()), |it| it.begin())
    }

    fn on_write(&mut self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }
}
