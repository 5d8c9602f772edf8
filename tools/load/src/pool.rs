//! Connection pool with a limit on the connections to each address.

use std::{cell::RefCell, collections::VecDeque, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::{net::TcpStream, runtime};
use cyper_core::HyperStream;
use futures_channel::oneshot;
use http_body_util::Full;
use hyper::{
    body::Bytes,
    client::conn::http1::{self, SendRequest},
};
use indexmap::IndexMap;
use quick_error::quick_error;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Reason why a connection couldn't be opened.
    #[derive(Debug)]
    pub enum Error {
        /// The TCP connection failed.
        Connect(peer: SocketAddr, cause: io::Error) {
            display("step=connect peer={peer} cause={cause}")
            source(cause)
        }
        /// The HTTP handshake failed.
        Handshake(peer: SocketAddr, cause: hyper::Error) {
            display("step=handshake peer={peer} cause={cause}")
            source(cause)
        }
    }
}

/// Request sender of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug, Default)]
struct PeerConnections {
    idle: Vec<Sender>,
    open: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
}

/// Connection pool by address; clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    limit: usize,
    peers: Rc<RefCell<IndexMap<SocketAddr, PeerConnections>>>,
}

impl Pool {
    /// Creates a pool with at most `limit` connections to each address.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            peers: Rc::default(),
        }
    }

    /// Takes an idle connection or opens a new one; waits while the limit is reached.
    ///
    /// # Errors
    ///
    /// Fails when a connection can't be opened.
    pub async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection, Error> {
        loop {
            let wakeup = {
                let mut peers = self.peers.borrow_mut();
                let peer = peers.entry(address).or_default();
                while let Some(sender) = peer.idle.pop() {
                    if sender.is_ready() {
                        return Ok(self.check_out(address, Some(sender)));
                    }
                    peer.open -= 1;
                }
                if peer.open < self.limit {
                    peer.open += 1;
                    None
                } else {
                    let (sender, wakeup) = oneshot::channel();
                    peer.waiting.push_back(sender);
                    Some(wakeup)
                }
            };
            match wakeup {
                // A cancelled wait means that another request took this turn; check the pool again.
                Some(wakeup) => drop(wakeup.await),
                None => break,
            }
        }
        let mut connection = self.check_out(address, None);
        connection.sender = Some(open(address).await?);
        Ok(connection)
    }

    fn check_out(&self, address: SocketAddr, sender: Option<Sender>) -> PooledConnection {
        PooledConnection {
            pool: self.clone(),
            address,
            sender,
            reusable: None,
        }
    }

    fn release(&self, address: SocketAddr, sender: Option<Sender>) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_default();
        match sender {
            Some(sender) => peer.idle.push(sender),
            None => peer.open = peer.open.saturating_sub(1),
        }
        while let Some(next) = peer.waiting.pop_front() {
            if next.send(()).is_ok() {
                break;
            }
        }
    }
}

/// Connection in use; dropping it closes the connection unless it was recycled.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    sender: Option<Sender>,
    reusable: Option<Sender>,
}

impl PooledConnection {
    /// Returns the request sender.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Returns the connection to the pool once it is ready for another request.
    pub async fn recycle(mut self) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        if sender.ready().await.is_ok() {
            self.reusable = Some(sender);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let reusable = self.reusable.take();
        self.pool.release(self.address, reusable);
    }
}

async fn open(address: SocketAddr) -> Result<Sender, Error> {
    let stream = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(|cause| Error::Connect(address, cause))?;
    stream
        .set_nodelay(true)
        .map_err(|cause| Error::Connect(address, cause))?;
    let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|cause| Error::Handshake(address, cause))?;
    // A failure of the connection also shows up as an error of the sender.
    runtime::spawn(async move { drop(connection.await) }).detach();
    Ok(sender)
}
