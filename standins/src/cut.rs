//! A TCP forwarder that can cut or delay what passes, by the process that connects.

use std::{cell::RefCell, fs, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::{
    BufResult,
    buf::{IntoInner, IoBuf},
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime,
};
use indexmap::{IndexMap, IndexSet};

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

/// The processes whose connections are told apart, by name.
pub type Processes = Rc<RefCell<IndexMap<String, u32>>>;

/// A forwarder to one server.
#[derive(Clone, Debug)]
pub struct Forwarder {
    /// Where clients connect.
    pub address: SocketAddr,
    server: Rc<RefCell<Option<String>>>,
    rules: Rc<RefCell<Rules>>,
    processes: Processes,
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
    pub async fn start(processes: Processes) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let forwarder = Self {
            address: listener.local_addr()?,
            server: Rc::default(),
            rules: Rc::default(),
            processes,
        };
        runtime::spawn(forwarder.clone().accept(listener)).detach();
        Ok(forwarder)
    }

    /// Names the server; new connections go to it.
    pub fn set_server(&self, address: &str) {
        *self.server.borrow_mut() = Some(address.to_owned());
    }

    /// Changes the rules, for connections that are open too.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Rules),
    {
        change(&mut self.rules.borrow_mut());
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((client, peer)) = listener.accept().await {
            runtime::spawn(self.clone().connect(client, peer)).detach();
        }
    }

    async fn connect(self, client: TcpStream, peer: SocketAddr) {
        let name = self.client_name(peer);
        self.pass(&name, Direction::In).await;
        let Some(address) = self.server.borrow().clone() else {
            return;
        };
        let Ok(server) = TcpStream::connect(address).await else {
            return;
        };
        drop(client.set_nodelay(true));
        drop(server.set_nodelay(true));
        let to_server = self.pump(&client, &server, &name, Direction::In);
        let to_client = self.pump(&server, &client, &name, Direction::Out);
        futures_util::future::join(to_server, to_client).await;
    }

    async fn pump(&self, from: &TcpStream, to: &TcpStream, name: &str, direction: Direction) {
        let mut reader = from;
        let mut writer = to;
        let mut buffer = Vec::with_capacity(CHUNK);
        loop {
            let BufResult(read, bytes) = reader.read(buffer).await;
            let count = read.unwrap_or(0);
            self.pass(name, direction).await;
            if count == 0 {
                drop(compio::io::AsyncWrite::shutdown(&mut writer).await);
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
    async fn pass(&self, name: &str, direction: Direction) {
        let delay = self.rules.borrow().delay;
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        while self.is_cut(name, direction) {
            compio::time::sleep(POLL).await;
        }
    }

    fn is_cut(&self, name: &str, direction: Direction) -> bool {
        let rules = self.rules.borrow();
        let blocked = match direction {
            Direction::In => rules.block_in,
            Direction::Out => rules.block_out,
        };
        blocked || rules.clients.contains(name)
    }

    /// Returns the name of the process that connected; empty for one that is not ours.
    fn client_name(&self, peer: SocketAddr) -> String {
        let socket = socket_number(peer, self.address).map(|number| format!("socket:[{number}]"));
        let Some(socket) = socket else {
            return String::new();
        };
        let processes = self.processes.borrow();
        let owner = processes.iter().find(|(_, id)| owns(**id, &socket));
        owner.map_or_else(String::new, |(name, _)| name.clone())
    }
}

/// Finds the number of the socket that is connected from `local` to `remote`.
fn socket_number(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!(":{:04X}", local.port());
    let remote = format!(":{:04X}", remote.port());
    table.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let found = words.get(1)?.ends_with(&local) && words.get(2)?.ends_with(&remote);
        found.then(|| words.get(9).map(ToString::to_string))?
    })
}

fn owns(process: u32, socket: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .filter_map(Result::ok)
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|link| link.as_os_str() == socket)
}
