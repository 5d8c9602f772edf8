//! What faulty targets do to their responses: they repeat, cut or withhold them, or send bytes that belong to none; free of I/O.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The refusals and answers whose beginnings come before a response. None of them names a request.
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Server-Load: 2,8,2\r\n";
const MISDIRECTION: &str = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-other\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Response-Signature: sig\r\nX-Server-Load: 1,0,2\r\n";

/// The most headers of a response.
const MAX_HEADERS: usize = 64;

/// What a target does to its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoiling {
    /// A response comes twice.
    Twice,
    /// A response comes once more, late: before the next one of its connection.
    Late,
    /// A refusal that names no request comes before a response.
    Unnamed,
    /// A refusal that names another request comes before a response.
    Foreign,
    /// The beginning of a refusal comes before a response.
    CutRefusal,
    /// The beginning of a misdirection comes before a response.
    CutMisdirection,
    /// The beginning of an answer comes before a response.
    CutAnswer,
    /// Bytes that are no response come before a response.
    Noise,
    /// A response breaks off, and its connection closes.
    Broken,
    /// A response doesn't come.
    Lost,
    /// The connection is reset in place of a response.
    LostByReset,
}

impl Spoiling {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::Twice,
        Self::Late,
        Self::Unnamed,
        Self::Foreign,
        Self::CutRefusal,
        Self::CutMisdirection,
        Self::CutAnswer,
        Self::Noise,
        Self::Broken,
        Self::Lost,
        Self::LostByReset,
    ];
}

/// Returns whether these bytes are a whole response with a stated length.
fn is_whole(bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = response.parse(bytes) else {
        return false;
    };
    let mut headers = response.headers.iter();
    let length = headers.find(|it| it.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|it| std::str::from_utf8(it.value).ok()?.parse::<usize>().ok());
    length.is_some_and(|length| bytes.len() == head + length)
}

/// What becomes of a connection after the bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It goes on.
    Open,
    /// It closes.
    Closed,
    /// It is reset.
    Reset,
}

/// Spoils the responses of one connection.
#[derive(Debug)]
pub(super) struct Spoiler {
    random: SmallRng,
    /// The response that comes once more.
    late: Option<Vec<u8>>,
}

impl Spoiler {
    /// Creates the spoiler of a connection.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            late: None,
        }
    }

    /// Returns whether something happens that does so for this percentage of cases.
    pub(super) fn happens(&mut self, percent: u8) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Returns what is sent in place of some bytes of a target, which spoils a percentage of its responses.
    pub(super) fn spoil(
        &mut self,
        spoiling: Option<(Spoiling, u8)>,
        bytes: &[u8],
    ) -> (Vec<u8>, Ending) {
        if !bytes.starts_with(b"HTTP/1.1 ") {
            return (bytes.to_vec(), Ending::Open);
        }
        let mut sent = self.late.take().unwrap_or_default();
        let chosen = spoiling.filter(|(_, percent)| self.happens(*percent));
        let Some((spoiling, _)) = chosen else {
            sent.extend_from_slice(bytes);
            return (sent, Ending::Open);
        };
        match spoiling {
            Spoiling::Lost => return (sent, Ending::Open),
            Spoiling::LostByReset => return (sent, Ending::Reset),
            Spoiling::Broken => {
                let length = self.random.random_range(1..bytes.len());
                sent.extend_from_slice(&bytes[..length]);
                return (sent, Ending::Closed);
            }
            // Bytes within a body can't be told from the body.
            Spoiling::Late | Spoiling::Twice if !is_whole(bytes) => {}
            Spoiling::Late => self.late = Some(bytes.to_vec()),
            Spoiling::Twice => sent.extend_from_slice(bytes),
            Spoiling::Unnamed => sent.extend(format!("{REFUSAL}\r\n").bytes()),
            Spoiling::Foreign => {
                sent.extend(format!("{REFUSAL}X-Request-Id: other\r\n\r\n").bytes());
            }
            Spoiling::CutRefusal => sent.extend(self.cut(REFUSAL)),
            Spoiling::CutMisdirection => sent.extend(self.cut(MISDIRECTION)),
            Spoiling::CutAnswer => sent.extend(self.cut(ANSWER)),
            Spoiling::Noise => {
                let length = self.random.random_range(1..200);
                sent.extend((0..length).map(|_| self.random.random::<u8>()));
            }
        }
        sent.extend_from_slice(bytes);
        (sent, Ending::Open)
    }

    /// Returns a part of a head from its start.
    fn cut(&mut self, head: &str) -> Vec<u8> {
        let length = self.random.random_range(1..=head.len());
        head.as_bytes()[..length].to_vec()
    }
}
