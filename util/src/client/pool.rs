//! The connections of a client: which one a request gets, and how they are opened and closed.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::net::TcpStream;
use futures_channel::oneshot;
use hyper::client::conn::http1::{self, SendRequest};
use indexmap::IndexMap;

use super::{
    Client, Error,
    latest::Latest,
    response_body::RequestBody,
    write::{Observer, StreamState},
};
use crate::{socket, stream::Stream};

/// The timeout for opening a connection.
///
/// Peers are a few milliseconds apart. A lost SYN is retransmitted only after one second, so waiting
/// longer gains nothing, and a peer behind a network partition never responds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The client's end of a pooled connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    /// How many responses have arrived on it.
    pub(super) responses: u64,
    /// What is known of its stream.
    pub(super) stream: StreamState,
    /// The response that may come once more.
    pub(super) latest: Latest,
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

impl Client {
    /// Returns a pooled connection that `is_usable` accepts, or a new one.
    pub(super) async fn connection<P>(
        &self,
        peer: SocketAddr,
        is_usable: P,
    ) -> Result<Connection, Error>
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
        }
        self.open(peer).await
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
    pub(super) fn return_to_pool(&self, peer: SocketAddr, connection: Connection) {
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
        socket::set_server_options(&stream);
        socket::reset_on_close(&stream);
        let state = StreamState::default();
        let observer = Observer {
            state: state.clone(),
            socket: stream.clone(),
            clock: self.clock.clone(),
            end_wait: None,
            end_waited: false,
            ack_timeout: socket::SERVER_ACK_TIMEOUT,
        };
        let (sender, task) = http1::handshake(Stream::new(stream, observer))
            .await
            .map_err(|cause| Error::Unsent(peer, cause, 0))?;
        self.opened.set(self.opened.get() + 1);
        let (closing, closed) = oneshot::channel::<()>();
        compio::runtime::spawn(async move {
            // A failure is also returned to the request's sender.
            let _ = task.await;
            drop(permit);
            drop(closing);
        })
        .detach();
        Ok(Connection {
            sender,
            responses: 0,
            stream: state,
            latest: Latest::Nothing,
            closed,
        })
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
