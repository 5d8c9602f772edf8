//! Crowds of callers that don't behave, and a look from outside at the process that they connect to.

use std::{
    collections::HashSet,
    fs, io,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use super::{Program, TEST_TIMEOUT, raw_target::RawTarget, sleep_ms};

/// The memory of a VM, in bytes: what its process occupies, with what its sockets hold for it.
pub const MEMORY_BYTES: u64 = 260_000_000;
/// The descriptors of a VM that sockets may take.
pub const DESCRIPTORS: usize = 3900;
/// How many descriptors the process of a test needs for the largest crowd and its own work.
const OWN_DESCRIPTORS: u64 = 16_000;
/// How long one write of a crowd may take: a process may leave it unread.
const WRITE_TIMEOUT: Duration = Duration::from_millis(10);
/// How long a connection of a crowd may take to open: a process may not accept it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a crowd stays connected after it has sent everything.
const STAY_MS: u64 = 3000;
/// How often a process is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs one test of a crowd at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// What each connection of a crowd sends, by its number.
pub type Script = dyn Fn(usize) -> Vec<u8> + Send;

/// Lets this process open as many connections as a crowd needs, and keeps other crowds out until the guard is dropped.
pub fn alone() -> impl Drop {
    let guard = ALONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    set_descriptors(OWN_DESCRIPTORS);
    guard
}

/// Sets how many descriptors this process, and the processes that it starts from now on, may open.
pub fn set_descriptors(count: u64) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let current = maximum.map_or(count, |it| it.min(count));
    let limit = Rlimit {
        current: Some(current),
        maximum,
    };
    setrlimit(Resource::Nofile, limit).unwrap();
}

/// The most that a process was seen to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// Its memory, and the bytes that wait in its sockets to be read or sent.
    pub memory: u64,
    /// The largest part of that in its sockets.
    pub in_sockets: u64,
    /// Its descriptors.
    pub descriptors: usize,
}

impl Peak {
    /// Checks the bounds of a VM.
    pub fn check(&self) {
        assert!(self.memory <= MEMORY_BYTES, "too much memory: {self:?}");
        assert!(
            self.descriptors <= DESCRIPTORS,
            "too many descriptors: {self:?}"
        );
    }

    fn look(&mut self, process: u32) -> io::Result<()> {
        let sockets = sockets(process)?;
        let in_sockets = queued(&sockets)?;
        self.memory = self
            .memory
            .max(memory(process, "VmRSS:")? + in_sockets)
            .max(memory(process, "VmHWM:")?);
        self.in_sockets = self.in_sockets.max(in_sockets);
        self.descriptors = self
            .descriptors
            .max(fs::read_dir(format!("/proc/{process}/fd"))?.count());
        Ok(())
    }
}

/// Reads a figure of a process, in bytes.
fn memory(process: u32, name: &str) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|it| it.strip_prefix(name));
    let kibibytes = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    Ok(kibibytes.unwrap_or(0) * 1024)
}

/// Returns the numbers of a process's sockets.
fn sockets(process: u32) -> io::Result<HashSet<String>> {
    let entries = fs::read_dir(format!("/proc/{process}/fd"))?;
    let links = entries.filter_map(|it| fs::read_link(it.ok()?.path()).ok());
    let number = |link: &str| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned());
    Ok(links.filter_map(|it| number(it.to_str()?)).collect())
}

/// Returns how many bytes wait in some sockets to be read or sent.
fn queued(sockets: &HashSet<String>) -> io::Result<u64> {
    let table = fs::read_to_string("/proc/net/tcp")?;
    let bytes = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (sent, received) = fields.get(4)?.split_once(':')?;
        // The queue of a listening socket counts connections.
        let counts = fields.get(3) != Some(&"0A") && sockets.contains(*fields.get(9)?);
        let number = |text| u64::from_str_radix(text, 16).ok();
        counts.then(|| Some(number(sent)? + number(received)?))?
    };
    Ok(table.lines().filter_map(bytes).sum())
}

/// Looks at a process until it is told to finish.
#[derive(Debug)]
pub struct Watch {
    peak: Arc<Mutex<Peak>>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Starts to look at a process.
    pub fn start(program: &Program) -> Self {
        let process = program.child.id();
        let (peak, ended): (Arc<Mutex<Peak>>, Arc<AtomicBool>) = Default::default();
        let (shared, stop) = (peak.clone(), ended.clone());
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                // The process may have ended, which the test finds out.
                let _ = shared.lock().unwrap().look(process);
                thread::sleep(LOOK_INTERVAL);
            }
        });
        Self {
            peak,
            ended,
            thread: Some(thread),
        }
    }

    /// Stops, and returns the most that was seen.
    pub fn finish(mut self) -> Peak {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
        let peak = *self.peak.lock().unwrap();
        println!("{peak:?}");
        peak
    }
}

/// The connections of a crowd, which stay open until it is dropped.
#[derive(Debug)]
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Connects this many times to a process, sends each connection's bytes, and stays for a while.
    pub async fn send(address: SocketAddr, count: usize, script: Box<Script>) -> Self {
        let sending = thread::spawn(move || {
            (0..count)
                .filter_map(|it| open(address, &script(it)))
                .collect()
        });
        while !sending.is_finished() {
            sleep_ms(20).await;
        }
        sleep_ms(STAY_MS).await;
        Self(sending.join().unwrap())
    }

    /// Returns the requests that have got a response so far, with its status.
    ///
    /// A request is named by the header that responses repeat.
    pub fn responses(&self) -> Vec<(String, u16)> {
        self.0.iter().filter_map(read_response).collect()
    }

    /// Checks that no request ran that was refused as one that doesn't.
    pub fn check_refusals(&self, target: &RawTarget) {
        let ran: HashSet<String> = target
            .requests()
            .iter()
            .map(|it| it.id().to_owned())
            .collect();
        for (id, status) in self.responses() {
            let promised = [408, 421, 429, 503].contains(&status);
            assert!(!promised || !ran.contains(&id), "{id} ran and got {status}");
        }
    }
}

fn open(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    // The process may leave it unread, or close the connection.
    let _ = stream.write_all(bytes);
    Some(stream)
}

fn read_response(mut stream: &TcpStream) -> Option<(String, u16)> {
    stream.set_nonblocking(true).ok()?;
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).ok()?;
    let text = String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase();
    let status = text.strip_prefix("http/1.1 ")?.get(..3)?.parse().ok()?;
    let id = text
        .lines()
        .find_map(|it| it.strip_prefix("x-request-id: "))?;
    Some((id.to_owned(), status))
}

/// Sends an ordinary request on a new connection; returns whether it was served.
pub fn is_served(address: SocketAddr, request: &str) -> bool {
    let send = || {
        let mut stream = TcpStream::connect_timeout(&address, TEST_TIMEOUT)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.write_all(request.as_bytes())?;
        let mut buffer = [0; 12];
        stream.read_exact(&mut buffer)?;
        io::Result::Ok(buffer == *b"HTTP/1.1 200")
    };
    send().unwrap_or(false)
}

/// Waits until an ordinary request is served; a caller that is refused comes again.
pub async fn until_served(address: SocketAddr, request: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let request = request.to_owned();
        let sent = compio::runtime::spawn_blocking(move || is_served(address, &request));
        if sent.await.unwrap() {
            return;
        }
        assert!(Instant::now() < end, "an ordinary request isn't served");
        sleep_ms(100).await;
    }
}
