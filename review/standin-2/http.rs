//! Messages of HTTP/1.1 on blocking sockets.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd as _,
    time::{Duration, Instant},
};

/// How often a wait for bytes looks whether it is to end.
const LOOK: Duration = Duration::from_millis(5);

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// Makes the close of a connection reset it.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // The struct is that of the system's header, on x86-64 as on arm64.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Sends a signal to a process that this one started.
pub fn send_signal(process: u32, signal: i32) {
    unsafe { kill(process as i32, signal) };
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    /// The part of the first line at an index: method and target, or version and status.
    pub fn part(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or(0)
    }
}

/// Why no message was read.
#[derive(Debug, PartialEq, Eq)]
pub enum End {
    /// The peer closed or reset the connection before the first byte.
    Closed,
    /// It did so within a message, or sent what is none.
    Broken,
    /// No byte came in time.
    Idle,
    /// The caller asked to end.
    Stopped,
}

/// A connection, with the bytes that belong to the next message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(LOOK));
        Self { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads a message; `idle` is how long it may take to begin, `stop` whether to end at once.
    pub fn read<F>(&mut self, idle: Duration, stop: F) -> Result<Message, End>
    where
        F: Fn() -> bool,
    {
        let began = Instant::now();
        loop {
            if let Some(found) = self.take()? {
                return Ok(found);
            }
            if stop() {
                return Err(End::Stopped);
            }
            if began.elapsed() > idle {
                return Err(End::Idle);
            }
            let mut buffer = [0; 16384];
            match self.stream.read(&mut buffer) {
                Ok(0) if self.rest.is_empty() => return Err(End::Closed),
                Ok(0) => return Err(End::Broken),
                Ok(count) => self.rest.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) if self.rest.is_empty() => return Err(End::Closed),
                Err(_) => return Err(End::Broken),
            }
        }
    }

    /// Returns whether the peer has closed the connection.
    pub fn has_left(&self) -> bool {
        let mut one = [0; 1];
        matches!(self.stream.peek(&mut one), Ok(0))
    }

    fn take(&mut self) -> Result<Option<Message>, End> {
        let Some(head) = self.rest.windows(4).position(|it| it == b"\r\n\r\n") else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&self.rest[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let mut headers = Vec::new();
        for line in lines {
            let Some((name, value)) = line.split_once(':') else {
                return Err(End::Broken);
            };
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut found = Message { first, headers, body: Vec::new() };
        let after = &self.rest[head + 4..];
        let chunked = found.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        let taken = if chunked {
            match read_chunks(after)? {
                Some((body, taken)) => {
                    found.body = body;
                    taken
                }
                None => return Ok(None),
            }
        } else {
            let length = found.header("content-length").map_or(Ok(0), str::parse);
            let length: usize = length.map_err(|_| End::Broken)?;
            if after.len() < length {
                return Ok(None);
            }
            found.body = after[..length].to_vec();
            length
        };
        self.rest.drain(..head + 4 + taken);
        Ok(Some(found))
    }

    pub fn write(&mut self, first: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{first}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Writes an answer without its last bytes, as many as are `missing`.
    pub fn answer_part(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
        missing: usize,
    ) -> io::Result<()> {
        let mut bytes = format!("HTTP/1.1 {status} -\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
        bytes.extend(&body[..body.len().saturating_sub(missing)]);
        self.stream.write_all(&bytes)
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        self.write(&format!("HTTP/1.1 {status} -"), headers, body)
    }
}

/// Reads a body in chunks; returns it and how many bytes it takes, or nothing while it isn't complete.
fn read_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, End> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(line) = bytes[at..].windows(2).position(|it| it == b"\r\n") else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&bytes[at..at + line]).into_owned();
        let size = text.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| End::Broken)?;
        let begin = at + line + 2;
        if bytes.len() < begin + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[begin..begin + size]);
        at = begin + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
