//! Kept connections, a bounded number to each address.

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

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why there is no connection.
    #[derive(Debug)]
    pub enum Error {
        /// It was not opened.
        Connect(peer: SocketAddr, cause: io::Error) {
            display("step=connect peer={peer} cause={cause}")
            source(cause)
        }
        /// HTTP did not begin on it.
        Handshake(peer: SocketAddr, cause: hyper::Error) {
            display("step=handshake peer={peer} cause={cause}")
            source(cause)
        }
    }
}

/// The sending side of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Sender>,
    open: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
}

/// Connections by address; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    limit: usize,
    peers: Rc<RefCell<IndexMap<SocketAddr, Peer>>>,
}

impl Pool {
    /// Creates a pool that keeps at most `limit` connections to an address.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            peers: Rc::default(),
        }
    }

    /// Takes a kept connection or opens one; waits while too many are in use.
    ///
    /// # Errors
    ///
    /// Fails when none can be opened.
    pub async fn take(&self, address: SocketAddr) -> Result<Lent, Error> {
        loop {
            let turn = {
                let mut peers = self.peers.borrow_mut();
                let peer = peers.entry(address).or_default();
                while let Some(sender) = peer.idle.pop() {
                    if sender.is_ready() {
                        return Ok(self.lend(address, Some(sender)));
                    }
                    peer.open -= 1;
                }
                if peer.open < self.limit {
                    peer.open += 1;
                    None
                } else {
                    let (sender, turn) = oneshot::channel();
                    peer.waiting.push_back(sender);
                    Some(turn)
                }
            };
            match turn {
                // A cancelled wait is one whose turn another took: look again.
                Some(turn) => drop(turn.await),
                None => break,
            }
        }
        let mut lent = self.lend(address, None);
        lent.sender = Some(open(address).await?);
        Ok(lent)
    }

    fn lend(&self, address: SocketAddr, sender: Option<Sender>) -> Lent {
        Lent {
            pool: self.clone(),
            address,
            sender,
            kept: None,
        }
    }

    fn give_back(&self, address: SocketAddr, sender: Option<Sender>) {
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

/// A connection in use; it is closed when this is dropped before it is kept.
#[derive(Debug)]
pub struct Lent {
    pool: Pool,
    address: SocketAddr,
    sender: Option<Sender>,
    kept: Option<Sender>,
}

impl Lent {
    /// Returns the sending side.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Keeps the connection for the next request, once it is ready for one.
    pub async fn keep(mut self) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        if sender.ready().await.is_ok() {
            self.kept = Some(sender);
        }
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        let kept = self.kept.take();
        self.pool.give_back(self.address, kept);
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
    // The sender hears of a failure by itself.
    runtime::spawn(async move { drop(connection.await) }).detach();
    Ok(sender)
}
