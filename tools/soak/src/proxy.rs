//! A TCP proxy on loopback that can delay bytes, reset connections, or drop the bytes of one or both directions, for all
//! clients or for those of single processes.
//!
//! It can also spoil the responses of one target. Each connection has a thread for each direction.

mod spoiling;

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use bramleypier_platform_standin::sockets;
use bramleypier_util::socket;
use indexmap::IndexMap;
use rustix::net::sockopt;

pub use self::spoiling::Spoiling;
use self::spoiling::{Ending, Spoiler};

/// The delay of each chunk in [`Mode::Delay`].
const DELAY: Duration = Duration::from_millis(120);
/// The read timeout, after which an idle reader starts its next read.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// The largest chunk that is forwarded at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// What the proxy does with the bytes that it reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    #[default]
    Pass,
    /// Forwards them late.
    Delay,
    /// Resets each connection on which bytes arrive.
    Reset,
    /// Drops the bytes to the server.
    CutThere,
    /// Drops the bytes to the client.
    CutBack,
    /// Drops all bytes.
    Silent,
    /// Drops the last byte of what arrives next for the client of a connection, and all bytes for it after that.
    Stall,
}

impl Mode {
    const ALL: [Self; 7] = [
        Self::Pass,
        Self::Delay,
        Self::Reset,
        Self::CutThere,
        Self::CutBack,
        Self::Silent,
        Self::Stall,
    ];

    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Pass | Self::Delay | Self::Reset | Self::Stall => false,
            Self::CutThere => direction == Direction::ToServer,
            Self::CutBack => direction == Direction::ToClient,
            Self::Silent => true,
        }
    }
}

/// How the connections of a process that is partitioned from a server fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// They hang, and so do new ones.
    Hang,
    /// They are reset, and so are new ones.
    Reset,
    /// They live on, and new ones are reset.
    RefuseNew,
}

/// The processes that are partitioned from servers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Partition(Arc<Mutex<Cuts>>);

/// The partitioned processes by their ids, and how often they have changed.
#[derive(Clone, Debug, Default)]
struct Cuts {
    by_process: IndexMap<u32, Cut>,
    changes: u64,
}

/// How a connection fails, as of the latest change of the partition.
#[derive(Debug, Default)]
struct ConnectionCut {
    changes: u64,
    cut: Option<Cut>,
}

impl Partition {
    /// Partitions a process, or ends its partition.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::proxy::{Cut, Partition};
    ///
    /// let partition = Partition::default();
    /// partition.set(17, Some(Cut::Reset));
    /// partition.set(17, None);
    /// ```
    pub fn set(&self, process: u32, cut: Option<Cut>) {
        let mut cuts = self.lock();
        cuts.changes += 1;
        match cut {
            Some(cut) => cuts.by_process.insert(process, cut),
            None => cuts.by_process.shift_remove(&process),
        };
    }

    fn lock(&self) -> MutexGuard<'_, Cuts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how the connection of a client fails, if its process is partitioned; `known` keeps the result.
    fn of(&self, client: &TcpStream, known: &Mutex<ConnectionCut>) -> Option<Cut> {
        let mut known = known.lock().unwrap_or_else(PoisonError::into_inner);
        let cuts = {
            let cuts = self.lock();
            if cuts.changes == known.changes {
                return known.cut;
            }
            cuts.clone()
        };
        known.changes = cuts.changes;
        known.cut = find_cut(client, &cuts.by_process);
        known.cut
    }
}

/// Returns how the connection of a client fails, if its process is among the partitioned ones.
fn find_cut(client: &TcpStream, by_process: &IndexMap<u32, Cut>) -> Option<Cut> {
    let (local, remote) = (client.peer_addr().ok()?, client.local_addr().ok()?);
    let mut all = by_process.iter();
    let cut = all.find(|it| sockets::belongs_to(*it.0, local, remote));
    cut.map(|it| *it.1)
}

/// What goes wrong for a part of the responses and connections of a proxy.
#[derive(Clone, Copy, Debug, Default)]
struct Disorder {
    /// What is done to a percentage of the responses.
    spoiling: Option<(Spoiling, u8)>,
    /// How often a part of the connections was reset.
    resets: u64,
    /// The percentage of connections that were reset last.
    reset_percent: u8,
}

/// What decides on the mode of one connection.
#[derive(Clone, Debug)]
struct Modes {
    of_proxy: Arc<AtomicU8>,
    disorder: Arc<Mutex<Disorder>>,
    partition: Partition,
    known: Arc<Mutex<ConnectionCut>>,
}

impl Modes {
    /// Returns the mode of the connection of a client now.
    fn current(&self, client: &TcpStream) -> Mode {
        match self.partition.of(client, &self.known) {
            Some(Cut::Hang) => Mode::Silent,
            Some(Cut::Reset) => Mode::Reset,
            Some(Cut::RefuseNew) | None => {
                Mode::ALL[usize::from(self.of_proxy.load(Ordering::Relaxed))]
            }
        }
    }

    fn disorder(&self) -> Disorder {
        *self.disorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A proxy in front of one address; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The address where it accepts connections.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    disorder: Arc<Mutex<Disorder>>,
    /// Where new connections go.
    server: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy in front of an address; its threads end with the process.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::proxy::{Mode, Proxy};
    ///
    /// let proxy = Proxy::start("127.0.0.1:9".parse().unwrap()).unwrap();
    /// proxy.set(Mode::Silent);
    /// assert!(proxy.address.ip().is_loopback());
    /// ```
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        Self::start_with(to, Partition::default())
    }

    /// Starts a proxy like [`Proxy::start`], which cuts off the processes of a partition.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub fn start_with(to: SocketAddr, partition: Partition) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            mode: Arc::default(),
            disorder: Arc::default(),
            server: Arc::new(Mutex::new(to)),
        };
        let server_address = proxy.server.clone();
        let (mode, disorder) = (proxy.mode.clone(), proxy.disorder.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let known = Arc::new(Mutex::new(ConnectionCut::default()));
                let cut = partition.of(&client, &known);
                if matches!(cut, Some(Cut::Reset | Cut::RefuseNew)) {
                    reset(&client);
                    continue;
                }
                let to = *server_address
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                // When the server refuses the connection, the client's connection is closed.
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let modes = Modes {
                    of_proxy: mode.clone(),
                    disorder: disorder.clone(),
                    partition: partition.clone(),
                    known,
                };
                forward_both(&client, &server, &modes);
            }
        });
        Ok(proxy)
    }

    /// Sets the mode of the proxy, also for open connections.
    pub fn set(&self, mode: Mode) {
        // `ALL` has all modes, so the index exists and fits.
        let index = Mode::ALL.iter().position(|it| *it == mode).unwrap_or(0);
        self.mode
            .store(u8::try_from(index).unwrap_or(0), Ordering::Relaxed);
    }
}

impl Proxy {
    /// Sends new connections to another address.
    pub fn redirect(&self, server: SocketAddr) {
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = server;
    }

    /// Spoils this percentage of the responses from now on, also on open connections; `None` ends that.
    pub fn set_spoiling(&self, spoiling: Option<(Spoiling, u8)>) {
        self.lock_disorder().spoiling = spoiling;
    }

    /// Resets this percentage of the open connections.
    pub fn reset_connections(&self, percent: u8) {
        let mut disorder = self.lock_disorder();
        disorder.resets += 1;
        disorder.reset_percent = percent;
    }

    fn lock_disorder(&self) -> MutexGuard<'_, Disorder> {
        self.disorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards bytes in both directions, with a thread for each.
fn forward_both(client: &TcpStream, server: &TcpStream, modes: &Modes) {
    for (from, to, direction) in [
        (client, server, Direction::ToServer),
        (server, client, Direction::ToClient),
    ] {
        let (Ok(from), Ok(to), Ok(client)) = (from.try_clone(), to.try_clone(), client.try_clone())
        else {
            return;
        };
        let modes = modes.clone();
        thread::spawn(move || {
            // Either end may close the connection at any time; the run tests exactly that.
            let _ = forward(from, to, direction, &modes, &client);
        });
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    modes: &Modes,
    client: &TcpStream,
) -> io::Result<()> {
    from.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut stalled = false;
    let mut spoiler = Spoiler::new(u64::from(client.peer_addr()?.port()));
    let mut resets = modes.disorder().resets;
    loop {
        let disorder = modes.disorder();
        if direction == Direction::ToClient && resets != disorder.resets {
            resets = disorder.resets;
            if spoiler.happens(disorder.reset_percent) {
                reset(&from);
                reset(&to);
                return Ok(());
            }
        }
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                // A server may reset a connection on which everything has been passed on.
                if direction == Direction::ToServer && socket::has_failed(&to) {
                    reset(&from);
                    return Ok(());
                }
                continue;
            }
            Err(error) => {
                reset(&to);
                return Err(error);
            }
        };
        let current = modes.current(client);
        match current {
            Mode::Reset => {
                reset(&from);
                reset(&to);
                return Ok(());
            }
            Mode::Delay => thread::sleep(DELAY),
            Mode::Stall if direction == Direction::ToClient && !stalled => {
                to.write_all(&chunk[..count - 1])?;
                stalled = true;
            }
            _ => {}
        }
        if stalled || current.drops(direction) {
            continue;
        }
        if direction == Direction::ToServer {
            to.write_all(&chunk[..count])?;
            continue;
        }
        let (bytes, ending) = spoiler.spoil(modes.disorder().spoiling, &chunk[..count]);
        to.write_all(&bytes)?;
        match ending {
            Ending::Open => {}
            Ending::Closed => break,
            Ending::Reset => {
                reset(&from);
                reset(&to);
                return Ok(());
            }
        }
    }
    to.shutdown(Shutdown::Write)
}

fn reset(stream: &TcpStream) {
    // Errors are ignored: a stream that is already closed needs no reset.
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
