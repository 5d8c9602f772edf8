//! A TCP forwarder that can cut or delay what passes, by the process that connects.

use std::{
    cell::OnceCell,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use compio::{
    BufResult,
    buf::{IntoInner, IoBuf},
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{self, Runtime},
};
use futures_channel::oneshot;
use futures_util::future;
use indexmap::IndexSet;

use crate::{clock, socket_owners::SocketOwners};

/// How often a cut direction is looked at again.
const POLL: Duration = Duration::from_millis(2);
/// The most bytes that are read at once.
const CHUNK: usize = 16 * 1024;

/// What a forwarder does with the bytes that pass. Cut bytes wait until the cut is mended, as
/// retransmission would have it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// No byte gets to the server.
    pub block_in: bool,
    /// No byte gets back to a client.
    pub block_out: bool,
    /// No byte passes either way for the clients named.
    pub clients: IndexSet<String>,
    /// How long bytes are held each way.
    pub delay: Duration,
}

/// A forwarder to one server, in a thread of its own; it ends with this handle.
#[derive(Debug)]
pub struct Forwarder {
    /// Where clients connect.
    pub address: SocketAddr,
    shared: Shared,
    _ends: oneshot::Sender<()>,
}

/// What the handle and the thread share.
#[derive(Clone, Debug)]
struct Shared {
    address: SocketAddr,
    server: Arc<Mutex<Option<String>>>,
    rules: Arc<Mutex<Rules>>,
    owners: SocketOwners,
}

/// A client's end of a connection.
#[derive(Debug)]
struct Client {
    peer: SocketAddr,
    since: Duration,
    name: OnceCell<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    In,
    Out,
}

impl Forwarder {
    /// Starts a forwarder on a free port; it has no server yet.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(owners: SocketOwners) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Shared {
            address,
            server: Arc::default(),
            rules: Arc::default(),
            owners,
        };
        let (ends, ended) = oneshot::channel();
        let thread = shared.clone();
        thread::spawn(move || {
            let runtime = Runtime::new()?;
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener)?;
                future::select(Box::pin(thread.accept(listener)), ended).await;
                io::Result::Ok(())
            })
        });
        Ok(Self {
            address,
            shared,
            _ends: ends,
        })
    }

    /// Names the server; new connections go to it.
    pub fn set_server(&self, address: &str) {
        *lock(&self.shared.server) = Some(address.to_owned());
    }

    /// Changes the rules, for connections that are open too.
    pub fn update_rules<F>(&self, change: F)
    where
        F: FnOnce(&mut Rules),
    {
        change(&mut lock(&self.shared.rules));
    }
}

impl Shared {
    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let client = Client {
                peer,
                since: clock::now(),
                name: OnceCell::new(),
            };
            runtime::spawn(self.clone().connect(stream, client)).detach();
        }
    }

    async fn connect(self, stream: TcpStream, client: Client) {
        self.pass(&client, Direction::In).await;
        let Some(address) = lock(&self.server).clone() else {
            return;
        };
        let Ok(server) = TcpStream::connect(address).await else {
            return;
        };
        drop(stream.set_nodelay(true));
        drop(server.set_nodelay(true));
        let to_server = self.pump(&stream, &server, &client, Direction::In);
        let to_client = self.pump(&server, &stream, &client, Direction::Out);
        future::join(to_server, to_client).await;
    }

    async fn pump(&self, from: &TcpStream, to: &TcpStream, client: &Client, direction: Direction) {
        let mut reader = from;
        let mut writer = to;
        let mut buffer = Vec::with_capacity(CHUNK);
        loop {
            let BufResult(read, bytes) = reader.read(buffer).await;
            let count = read.unwrap_or(0);
            self.pass(client, direction).await;
            if count == 0 {
                drop(writer.shutdown().await);
                return;
            }
            let BufResult(written, bytes) = writer.write_all(bytes.slice(..count)).await;
            if written.is_err() {
                return;
            }
            buffer = bytes.into_inner();
            buffer.clear();
        }
    }

    /// Waits for the delay and for as long as the direction is cut.
    async fn pass(&self, client: &Client, direction: Direction) {
        let delay = lock(&self.rules).delay;
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        while self.is_cut(client, direction) {
            compio::time::sleep(POLL).await;
        }
    }

    fn is_cut(&self, client: &Client, direction: Direction) -> bool {
        let rules = lock(&self.rules);
        let blocked = match direction {
            Direction::In => rules.block_in,
            Direction::Out => rules.block_out,
        };
        if blocked || rules.clients.is_empty() {
            return blocked;
        }
        // Until the client is known its bytes wait.
        let name = self.client_name(client);
        name.is_none_or(|name| rules.clients.contains(name))
    }

    /// Returns the name of the process that connected, once it is known.
    fn client_name<'a>(&self, client: &'a Client) -> Option<&'a str> {
        if client.name.get().is_none() {
            let found = self.owners.find(client.peer, self.address, client.since)?;
            drop(client.name.set(found));
        }
        client.name.get().map(String::as_str)
    }
}

/// Locks a mutex; what a panic left behind is whole, since no lock is held over more than a write.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
