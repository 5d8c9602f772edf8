//! An HTTP/1.1 client that knows whether a byte of a request left.
//!
//! A connection's task owns the socket; this side talks to it by hyper's channel. Connections are
//! kept and used again, and their number per address is bounded.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::net::TcpStream;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use indexmap::IndexMap;
use quick_error::quick_error;

use crate::{
    body::Body,
    clock::Clock,
    headers, socket,
    stream::{Stream, Watch},
};

/// How long a new connection may take.
///
/// Peers are a few milliseconds apart. An opening packet that is lost is sent again after a second
/// only, so waiting longer gains nothing, and a peer behind a cut never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How lately a connection must have been used for its end to tell of the peer's process.
///
/// One that was idle for longer may have met the peer's idle timeout, of which 2 s is the least
/// that a server can announce and still be of use to a caller of once a second.
const USED_WITHIN: Duration = Duration::from_millis(1500);

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection came about; nothing was sent.
        Connect(peer: SocketAddr, cause: io::Error) {
            display("connect to {peer}: {cause}")
            source(cause)
        }
        /// Every connection that may be open is in use; nothing was sent.
        Busy(peer: SocketAddr) {
            display("connect to {peer}: all connections are in use")
        }
        /// The connection failed before a byte of the request left.
        Unsent(peer: SocketAddr, cause: hyper::Error) {
            display("send to {peer}: {cause}; nothing was sent")
            source(cause)
        }
        /// The connection failed after some of the request may have arrived.
        Broken(peer: SocketAddr, cause: hyper::Error) {
            display("answer from {peer}: {cause}")
            source(cause)
        }
        /// The time ran out; `sent` tells whether a byte left.
        Timeout(peer: SocketAddr, sent: bool) {
            display("answer from {peer}: timed out, sent={sent}")
        }
    }
}

impl Error {
    /// Returns whether nobody listens at the peer's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(_, cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether it is certain that no byte of the request left.
    pub fn unsent(&self) -> bool {
        match self {
            Self::Connect(..) | Self::Busy(_) | Self::Unsent(..) => true,
            Self::Broken(..) => false,
            Self::Timeout(_, sent) => !sent,
        }
    }
}

/// A connection's sending side.
struct Connection {
    sender: SendRequest<Body>,
    written: Rc<Cell<u64>>,
    /// When it was last used, once the peer has answered on it and goes on listening.
    used: Rc<Cell<Option<Duration>>>,
}

/// Connections by address.
#[derive(Clone)]
pub struct Client {
    clock: Clock,
    limit: usize,
    opened: Rc<Cell<u64>>,
    connections: Rc<RefCell<IndexMap<SocketAddr, Vec<Connection>>>>,
    connecting: Rc<RefCell<IndexMap<SocketAddr, usize>>>,
    /// When peers last closed a connection that was in use.
    closed: Rc<RefCell<IndexMap<SocketAddr, Duration>>>,
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
            connections: Rc::default(),
            connecting: Rc::default(),
            closed: Rc::default(),
        }
    }

    /// Returns how many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns when the peer last closed a connection on which it had just answered.
    ///
    /// An orderly end is sent by the system of the peer's VM when its process ends, and by no
    /// path between. A reset, an announced end and an idle timeout don't count.
    pub fn last_closed(&self, peer: SocketAddr) -> Option<Duration> {
        self.closed.borrow().get(&peer).copied()
    }

    /// Returns the peers that closed a connection in use after `since`; see [`Client::last_closed`].
    pub fn peers_closed_since(&self, since: Duration) -> Vec<SocketAddr> {
        let closed = self.closed.borrow();
        let later = closed.iter().filter(|(_, at)| **at > since);
        later.map(|(peer, _)| *peer).collect()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// See [`Error`]; [`Error::unsent`] tells whether the peer can't have seen any of it.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
        span: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let sent = Rc::new(Cell::new(false));
        let work = self.exchange(peer, request, sent.clone());
        match self.clock.timeout(span, work).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout(peer, sent.get())),
        }
    }

    /// Sends on a kept connection, or on a new one.
    async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
        sent: Rc<Cell<bool>>,
    ) -> Result<Response<Incoming>, Error> {
        let mut connection = match self.kept(peer) {
            Some(connection) => connection,
            None => self.open(peer).await?,
        };
        // From here on a byte may leave at any time; when this future is dropped half-way
        // only the count of written bytes could tell, so `sent` errs towards having sent.
        let before = connection.written.get();
        sent.set(true);
        if connection.used.get().is_some() {
            connection.used.set(Some(self.clock.now()));
        }
        let result = connection.sender.try_send_request(request).await;
        let unsent = connection.written.get() == before;
        match result {
            Ok(response) => {
                let used = (!headers::closes(response.headers())).then(|| self.clock.now());
                connection.used.set(used);
                self.keep(peer, connection);
                Ok(response)
            }
            Err(failure) => {
                let cause = failure.into_error();
                if unsent {
                    Err(Error::Unsent(peer, cause))
                } else {
                    Err(Error::Broken(peer, cause))
                }
            }
        }
    }

    /// Takes a kept connection that is ready for another request.
    fn kept(&self, peer: SocketAddr) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let list = connections.get_mut(&peer)?;
        list.retain(|connection| !connection.sender.is_closed());
        let index = list
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(list.swap_remove(index))
    }

    /// Gives a connection back; it becomes ready once its answer has been read.
    fn keep(&self, peer: SocketAddr, connection: Connection) {
        let mut connections = self.connections.borrow_mut();
        connections.entry(peer).or_default().push(connection);
    }

    /// Opens a connection, unless too many are open.
    async fn open(&self, peer: SocketAddr) -> Result<Connection, Error> {
        let permit = Permit::take(self, peer).ok_or(Error::Busy(peer))?;
        let stream = self
            .clock
            .timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|cause| Error::Connect(peer, cause))?;
        socket::prepare(&stream);
        socket::reset_on_close(&stream);
        let used = Rc::new(Cell::new(None));
        let passed = Passed::default();
        let (sender, task) = http1::handshake(Stream::new(stream, passed.clone()))
            .await
            .map_err(|cause| Error::Unsent(peer, cause))?;
        self.opened.set(self.opened.get() + 1);
        let (client, last, ended) = (self.clone(), used.clone(), passed.ended);
        compio::runtime::spawn(async move {
            // The sender hears of a failure by itself.
            let _ = task.await;
            if ended.get() {
                client.note_closed(peer, last.get());
            }
            drop(permit);
        })
        .detach();
        Ok(Connection {
            sender,
            written: passed.written,
            used,
        })
    }

    /// Takes note of an orderly end by the peer, if the connection was in use.
    fn note_closed(&self, peer: SocketAddr, used: Option<Duration>) {
        let now = self.clock.now();
        if used.is_some_and(|used| now.saturating_sub(used) <= USED_WITHIN) {
            self.closed.borrow_mut().insert(peer, now);
        }
    }
}

/// The right to one open connection; given back when its task ends.
struct Permit {
    peer: SocketAddr,
    connecting: Rc<RefCell<IndexMap<SocketAddr, usize>>>,
}

impl Permit {
    fn take(client: &Client, peer: SocketAddr) -> Option<Self> {
        let mut open = client.connecting.borrow_mut();
        let count = open.entry(peer).or_insert(0);
        if *count >= client.limit {
            return None;
        }
        *count += 1;
        Some(Self {
            peer,
            connecting: client.connecting.clone(),
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(count) = self.connecting.borrow_mut().get_mut(&self.peer) {
            *count -= 1;
        }
    }
}

/// What a connection's task tells of its stream.
#[derive(Clone, Debug, Default)]
struct Passed {
    /// How many bytes have left.
    written: Rc<Cell<u64>>,
    /// Whether the peer has ended the stream in order.
    ended: Rc<Cell<bool>>,
}

impl Watch for Passed {
    fn on_read(&mut self, bytes: usize) {
        if bytes == 0 {
            self.ended.set(true);
        }
    }

    fn on_write(&mut self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }
}
