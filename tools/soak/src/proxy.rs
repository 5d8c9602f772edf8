//! A path that can be delayed, reset, cut one way or silenced, between two ends on loopback.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use rustix::net::sockopt;

/// How long a delayed piece is held up.
const DELAY: Duration = Duration::from_millis(120);
/// How often a waiting reader looks whether the path does something else by now.
const LOOK: Duration = Duration::from_millis(50);
/// The largest piece.
const PIECE: usize = 64 * 1024;

/// What a path does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It passes them on.
    #[default]
    Pass,
    /// It passes them on late.
    Delay,
    /// It resets each connection on which bytes come.
    Reset,
    /// It loses what goes to the far end.
    CutThere,
    /// It loses what comes back.
    CutBack,
    /// It loses everything.
    Silent,
}

impl Mode {
    const ALL: [Self; 6] = [
        Self::Pass,
        Self::Delay,
        Self::Reset,
        Self::CutThere,
        Self::CutBack,
        Self::Silent,
    ];

    fn loses(self, way: Way) -> bool {
        match self {
            Self::Pass | Self::Delay | Self::Reset => false,
            Self::CutThere => way == Way::There,
            Self::CutBack => way == Way::Back,
            Self::Silent => true,
        }
    }
}

/// The way that bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// A path to one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it takes connections.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a path to an address; its threads end with the process.
    ///
    /// # Errors
    ///
    /// No port can be had.
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
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            mode: Arc::default(),
        };
        let mode = proxy.mode.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A far end that refuses is passed on as the end of the connection.
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                join(&near, &far, &mode);
            }
        });
        Ok(proxy)
    }

    /// Sets what the path does from now on, with open connections too.
    pub fn set(&self, mode: Mode) {
        // Six modes.
        let index = Mode::ALL.iter().position(|it| *it == mode).unwrap_or(0);
        self.mode
            .store(u8::try_from(index).unwrap_or(0), Ordering::Relaxed);
    }
}

/// Passes bytes on both ways, each in a thread of its own.
fn join(near: &TcpStream, far: &TcpStream, mode: &Arc<AtomicU8>) {
    for (from, to, way) in [(near, far, Way::There), (far, near, Way::Back)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let mode = mode.clone();
        thread::spawn(move || {
            // Either end may go at any time, which is what the run is about.
            let _ = pass(from, to, way, &mode);
        });
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, way: Way, mode: &AtomicU8) -> io::Result<()> {
    from.set_read_timeout(Some(LOOK))?;
    let mut piece = vec![0; PIECE];
    loop {
        let count = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => {
                reset(&to);
                return Err(error);
            }
        };
        let now = Mode::ALL[usize::from(mode.load(Ordering::Relaxed))];
        match now {
            Mode::Reset => {
                reset(&from);
                reset(&to);
                return Ok(());
            }
            Mode::Delay => thread::sleep(DELAY),
            _ => {}
        }
        if !now.loses(way) {
            to.write_all(&piece[..count])?;
        }
    }
    to.shutdown(Shutdown::Write)
}

fn reset(stream: &TcpStream) {
    // A stream that is closed already needs none.
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
