//! A caller that sends several requests before the first response, and checks that each response belongs to its request.

use std::{net::SocketAddr, time::Duration};

use bramleypier_util::{clock::Clock, headers};
use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWriteExt as _},
    net::TcpStream,
};
use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use rand::{Rng, rngs::SmallRng};

use crate::{
    callers::{DEADLINE, RequestKind},
    check::Outcome,
    fleet::KEYS,
};

/// The most requests that are sent at once; more than a VM reads ahead.
const BATCH_MAX: usize = 12;
/// The size of an order's body, in bytes.
const ORDER_BYTES: usize = 20;
/// How long the caller waits for all responses of a batch.
const BATCH_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEADERS: usize = 64;

/// One request of a batch.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
}

impl Request {
    fn body_bytes(&self) -> usize {
        if self.kind == RequestKind::Order {
            ORDER_BYTES
        } else {
            0
        }
    }

    fn text(&self) -> String {
        let (method, path, key) = self.kind.line();
        let (size, body) = (self.body_bytes(), "x".repeat(self.body_bytes()));
        format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {}\r\nx-deadline-ms: {}\r\n\
             x-shard-key: {key}\r\ncontent-length: {size}\r\n\r\n{body}",
            self.id,
            DEADLINE.as_millis()
        )
    }
}

/// Chooses the kinds of a batch's requests; one in eight is an order.
pub(crate) fn choose(random: &mut SmallRng) -> Vec<RequestKind> {
    let count = random.random_range(2..=BATCH_MAX);
    let kinds = (0..count).map(|_| match random.random_range(0..8) {
        0 => RequestKind::Order,
        1 | 2 => RequestKind::Key(KEYS[random.random_range(0..KEYS.len())]),
        _ => RequestKind::Lookup,
    });
    kinds.collect()
}

/// What the caller has seen of one request.
#[derive(Debug)]
pub(crate) struct Seen {
    pub(crate) outcome: Outcome,
    /// When it had the whole response.
    pub(crate) ended: Option<Duration>,
    /// Whether the response said that its target leaves.
    pub(crate) leaving: bool,
}

/// A kept connection to one VM.
#[derive(Debug)]
pub(crate) struct Connection {
    clock: Clock,
    address: SocketAddr,
    stream: Option<TcpStream>,
    received: Vec<u8>,
}

impl Connection {
    pub(crate) fn new(clock: Clock, address: SocketAddr) -> Self {
        Self {
            clock,
            address,
            stream: None,
            received: Vec::new(),
        }
    }

    /// Sends a batch, and returns what was seen of each request, in order.
    pub(crate) async fn send(&mut self, batch: &[Request]) -> Vec<Seen> {
        let mut seen = Vec::new();
        let end = self.clock.now() + BATCH_TIMEOUT;
        let rest = match self.write(batch).await {
            Ok(()) => loop {
                let Some(request) = batch.get(seen.len()) else {
                    return seen;
                };
                let left = end.saturating_sub(self.clock.now());
                let clock = self.clock.clone();
                match clock.timeout(left, self.read(request)).await {
                    Ok(Some((one, closes))) => {
                        seen.push(one);
                        if closes {
                            // What is behind such a response counts as not read.
                            break Outcome::Unread;
                        }
                    }
                    Ok(None) => break Outcome::Closed,
                    Err(_) => break Outcome::GivenUp,
                }
            },
            Err(outcome) => outcome,
        };
        self.stream = None;
        self.received.clear();
        while seen.len() < batch.len() {
            seen.push(Seen {
                outcome: rest.clone(),
                ended: None,
                leaving: false,
            });
        }
        seen
    }

    /// Writes a batch; an error is the outcome of all its requests.
    async fn write(&mut self, batch: &[Request]) -> Result<(), Outcome> {
        if self.stream.is_none() {
            let connecting = TcpStream::connect(self.address);
            let connected = self.clock.timeout(BATCH_TIMEOUT, connecting).await;
            self.stream = connected.ok().and_then(Result::ok);
        }
        let stream = self.stream.as_mut().ok_or(Outcome::Unsent)?;
        let text: String = batch.iter().map(Request::text).collect();
        let writing = stream.write_all(text.into_bytes());
        match self.clock.timeout(BATCH_TIMEOUT, writing).await {
            Ok(BufResult(Ok(()), _)) => Ok(()),
            _ => Err(Outcome::Closed),
        }
    }

    /// Reads one response, and returns also whether it closes the connection; `None` without a complete one.
    async fn read(&mut self, request: &Request) -> Option<(Seen, bool)> {
        loop {
            if let Some((status, headers, body)) = take_response(&mut self.received) {
                let seen = Seen {
                    outcome: judge(request, status, &headers, &body),
                    ended: Some(self.clock.now()),
                    leaving: headers.contains_key("server-leaving"),
                };
                return Some((seen, headers::closes_connection(&headers)));
            }
            let buffer = Vec::with_capacity(4096);
            let BufResult(result, bytes) = self.stream.as_mut()?.read(buffer).await;
            if result.ok()? == 0 {
                return None;
            }
            self.received.extend_from_slice(&bytes);
        }
    }
}

/// Takes the first response of received bytes, if it is complete; all responses state their length.
fn take_response(received: &mut Vec<u8>) -> Option<(u16, HeaderMap, Vec<u8>)> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let Ok(httparse::Status::Complete(head)) = parsed.parse(received) else {
        return None;
    };
    let status = parsed.code?;
    let named = parsed.headers.iter().filter_map(|it| {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(it.value).ok()?))
    });
    let headers: HeaderMap = named.collect();
    let length = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    let end = head + length.parse::<usize>().ok()?;
    let body = received.get(head..end)?.to_vec();
    received.drain(..end);
    Some((status, headers, body))
}

/// Decides whether a response is one to this request.
fn judge(request: &Request, status: u16, headers: &HeaderMap, body: &[u8]) -> Outcome {
    let echoed = headers.get("x-request-id");
    if echoed.is_some_and(|it| it.as_bytes() != request.id.as_bytes()) {
        return Outcome::Foreign;
    }
    let valid = echoed.is_some()
        && headers.contains_key("x-response-signature")
        && body == format!("done {}", request.body_bytes()).as_bytes();
    Outcome::Answered { status, valid }
}
