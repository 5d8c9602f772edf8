//! Follows the bytes that a connection receives, to tell a body that its own connection has filled up; free of I/O.

use super::joined;
use crate::pipeline::feed::HeadScan;

/// The maximum number of headers of a response.
const MAX_HEADERS: usize = 128;
/// How many bytes at the end of a body are searched for the beginning of another message.
const TAIL_BYTES: usize = 1024;
/// How many bytes behind a body are kept: the beginning of another message may lie in both.
const FOLLOWING_BYTES: usize = 16;

/// What is being received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// The head of a response, or that of an interim one before it.
    #[default]
    Head,
    /// A body of a stated length, of which this many bytes are missing.
    Sized(u64),
    /// A body in chunks, which tell its end.
    Chunked,
    /// A body that only the end of the connection ends.
    Unframed,
}

/// The bytes that were received since the latest request.
///
/// A peer in trouble may leave out the end of a body, keep the connection open and send its next response there. That
/// response then begins within the body, and goes on behind it.
#[derive(Debug, Default)]
pub(super) struct Received {
    stage: Stage,
    scan: HeadScan,
    head: Vec<u8>,
    /// The last bytes of the body so far.
    tail: Vec<u8>,
    /// The first bytes behind the body.
    following: Vec<u8>,
}

impl Received {
    /// Begins anew with the response to the next request.
    pub(super) fn on_request(&mut self) {
        *self = Self::default();
    }

    /// Takes received bytes.
    pub(super) fn on_read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.stage {
                Stage::Head => self.read_head(bytes),
                Stage::Sized(left) => self.read_body(left, bytes),
                Stage::Chunked | Stage::Unframed => return,
            };
        }
    }

    /// Returns whether the end of the body was filled up with the beginning of the next message.
    pub(super) fn is_filled_up(&self) -> bool {
        if self.following.is_empty() {
            return false;
        }
        let text = [&self.tail[..], &self.following[..]].concat();
        (0..self.tail.len()).any(|start| joined::begins_message(&text[start..]))
    }

    /// Returns whether a body is being received that only the end of the connection ends.
    pub(super) fn is_unframed(&self) -> bool {
        self.stage == Stage::Unframed
    }

    fn read_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(length) = self.scan.find_end(bytes) else {
            self.head.extend_from_slice(bytes);
            return &[];
        };
        self.head.extend_from_slice(&bytes[..length]);
        let head = std::mem::take(&mut self.head);
        self.scan = HeadScan::default();
        self.stage = stage_after(&head);
        &bytes[length..]
    }

    fn read_body<'a>(&mut self, left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let count = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        self.stage = Stage::Sized(left - count as u64);
        keep_last(&mut self.tail, &bytes[..count]);
        let rest = &bytes[count..];
        let room = FOLLOWING_BYTES - self.following.len();
        self.following
            .extend_from_slice(&rest[..rest.len().min(room)]);
        &[]
    }
}

/// Adds bytes and keeps the last ones.
fn keep_last(tail: &mut Vec<u8>, bytes: &[u8]) {
    let added = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
    let excess = (tail.len() + added.len()).saturating_sub(TAIL_BYTES);
    tail.drain(..excess);
    tail.extend_from_slice(added);
}

/// Returns what follows a head; anything that can't be parsed is left to hyper.
fn stage_after(head: &[u8]) -> Stage {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    if parsed.parse(head).is_err() {
        return Stage::Unframed;
    }
    if parsed.code.is_some_and(|code| (100..200).contains(&code)) {
        return Stage::Head;
    }
    let value = |name: &str| {
        let mut headers = parsed.headers.iter();
        headers
            .find(|it| it.name.eq_ignore_ascii_case(name))
            .map(|it| it.value)
    };
    if value("transfer-encoding").is_some() {
        return Stage::Chunked;
    }
    let length =
        value("content-length").and_then(|it| str::from_utf8(it).ok()?.trim().parse().ok());
    length.map_or(Stage::Unframed, Stage::Sized)
}
