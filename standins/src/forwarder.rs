//! A TCP forwarder that can block or delay traffic, also for single client processes.
//!
//! It simulates network partitions between processes on loopback.

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

/// The interval at which a blocked direction is checked again.
const BLOCK_POLL: Duration = Duration::from_millis(2);
/// The maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a forwarder does with the bytes it carries.
///
/// Blocked bytes are held and delivered once the block ends, as TCP retransmission would do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// Blocks all bytes from clients to the server.
    pub block_in: bool,
    /// Blocks all bytes from the server to clients.
    pub block_out: bool,
    /// Blocks both directions for the processes of these names.
    pub clients: IndexSet<String>,
    /// The delay of bytes in each direction.
    pub delay: Duration,
}

/// A forwarder to one server, which runs on its own thread until this handle is dropped.
#[derive(Debug)]
pub struct Forwarder {
    /// The address that clients connect to.
    pub address: SocketAddr,
    shared: Shared,
    _stop: oneshot::Sender<()>,
}

/// State shared by the handle and the thread.
#[derive(Clone, Debug)]
struct Shared {
    address: SocketAddr,
    server: Arc<Mutex<Option<String>>>,
    rules: Arc<Mutex<Rules>>,
    owners: SocketOwners,
}

/// The client side of a connection.
#[derive(Debug)]
struct Client {
    peer: SocketAddr,
    accepted_at: Duration,
    name: OnceCell<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    In,
    Out,
}

impl Forwarder {
    /// Starts a forwarder on a free port; connections are closed until a server is set.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(owners: SocketOwners) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Shared {
            address,
            server: Arc::default(),
            rules: Arc::default(),
            owners,
        };
        let (stop, stopped) = oneshot::channel();
        let thread = shared.clone();
        thread::spawn(move || {
            let runtime = Runtime::new()?;
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener)?;
                future::select(Box::pin(thread.accept(listener)), stopped).await;
                io::Result::Ok(())
            })
        });
        Ok(Self {
            address,
            shared,
            _stop: stop,
        })
    }

    /// Sets the server that new connections are forwarded to.
    pub fn set_server(&self, address: &str) {
        *lock(&self.shared.server) = Some(address.to_owned());
    }

    /// Changes the rules, also for open connections.
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
                accepted_at: clock::now(),
                name: OnceCell::new(),
            };
            runtime::spawn(self.clone().connect(stream, client)).detach();
        }
    }

    async fn connect(self, stream: TcpStream, client: Client) {
        self.wait_until_open(&client, Direction::In).await;
        let Some(address) = lock(&self.server).clone() else {
            return;
        };
        let Ok(server) = TcpStream::connect(address).await else {
            return;
        };
        drop(stream.set_nodelay(true));
        drop(server.set_nodelay(true));
        let to_server = self.copy(&stream, &server, &client, Direction::In);
        let to_client = self.copy(&server, &stream, &client, Direction::Out);
        future::join(to_server, to_client).await;
    }

    async fn copy(&self, from: &TcpStream, to: &TcpStream, client: &Client, direction: Direction) {
        let mut reader = from;
        let mut writer = to;
        let mut buffer = Vec::with_capacity(CHUNK_BYTES);
        loop {
            let BufResult(read, bytes) = reader.read(buffer).await;
            let count = read.unwrap_or(0);
            self.wait_until_open(client, direction).await;
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

    /// Waits for the delay and while the direction is blocked.
    async fn wait_until_open(&self, client: &Client, direction: Direction) {
        let delay = lock(&self.rules).delay;
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        while self.is_blocked(client, direction) {
            compio::time::sleep(BLOCK_POLL).await;
        }
    }

    fn is_blocked(&self, client: &Client, direction: Direction) -> bool {
        let rules = lock(&self.rules);
        let blocked = match direction {
            Direction::In => rules.block_in,
            Direction::Out => rules.block_out,
        };
        if blocked || rules.clients.is_empty() {
            return blocked;
        }
        // The bytes of a client whose process isn't known yet are held.
        let name = self.client_name(client);
        name.is_none_or(|name| rules.clients.contains(name))
    }

    /// Returns the name of the connected process, or none while it isn't known.
    fn client_name<'a>(&self, client: &'a Client) -> Option<&'a str> {
        if client.name.get().is_none() {
            let name = self
                .owners
                .find(client.peer, self.address, client.accepted_at)?;
            drop(client.name.set(name));
        }
        client.name.get().map(String::as_str)
    }
}

/// Locks a mutex and ignores poisoning: each lock covers a single write, so a panic can't leave
/// partial data.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
