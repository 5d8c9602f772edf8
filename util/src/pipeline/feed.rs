//! Decides which received bytes hyper may take, so that it holds bytes of one request at a time; free of I/O.

/// Finds the end of a request's head across reads.
///
/// It ends at the first empty line after a line with text, as hyper's parser has it; lines may end without a CR.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HeadScan {
    /// Only empty lines so far, which the parser skips.
    #[default]
    Start,
    /// Within a line.
    Line,
    /// After a line's LF.
    LineEnd,
    /// After a line's LF and a CR.
    Return,
}

impl HeadScan {
    /// Returns the number of bytes up to the end of the head, or `None` if it isn't among these.
    pub(crate) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while let Some(byte) = bytes.get(at) {
            *self = match (*self, byte) {
                (Self::Start, b'\r' | b'\n') => Self::Start,
                (Self::LineEnd | Self::Return, b'\n') => return Some(at + 1),
                (Self::LineEnd, b'\r') => Self::Return,
                (Self::Line, _) => {
                    at += bytes[at..].iter().position(|it| *it == b'\n')?;
                    Self::LineEnd
                }
                _ => Self::Line,
            };
            at += 1;
        }
        None
    }
}

/// What hyper may take next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// The head of a request.
    Head(HeadScan),
    /// Nothing: it has a whole head, and hands the request over before it reads on.
    Complete,
    /// The rest of a body, in bytes, and whether its request is answered already.
    Body(u64, bool),
    /// Nothing until the request is answered.
    Held,
    /// Everything: the end of a request is unknown.
    Through,
}

/// The size of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodySize {
    /// The size in bytes.
    Exact(u64),
    /// Unknown, or the connection changes its protocol.
    Unknown,
}

/// The received bytes that hyper may not take yet, and what it may take.
///
/// # Example
///
/// ```
/// use bramleypier_util::pipeline::feed::{BodySize, Feed};
///
/// let mut feed = Feed::default();
/// let bytes = b"GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
/// assert_eq!(feed.allow(bytes), 18);
/// feed.on_request(BodySize::Exact(0));
/// assert!(feed.is_held());
/// feed.push(&bytes[18..]);
/// assert!(feed.has_request());
/// feed.on_answered();
/// assert_eq!(feed.allow_held(1 << 10).len(), 19);
/// ```
#[derive(Debug)]
pub struct Feed {
    mode: Mode,
    held: Vec<u8>,
    /// Whether a request is handed over and not answered.
    open: bool,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            mode: Mode::Head(HeadScan::default()),
            held: Vec::new(),
            open: false,
        }
    }
}

impl Feed {
    /// Returns how many of the next bytes hyper may take, and counts them as taken.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn allow(&mut self, bytes: &[u8]) -> usize {
        match &mut self.mode {
            Mode::Head(scan) => match scan.find_end(bytes) {
                Some(length) => {
                    self.mode = Mode::Complete;
                    length
                }
                None => bytes.len(),
            },
            Mode::Body(left, answered) => {
                let count = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= count as u64;
                if *left == 0 {
                    self.mode = Self::between(*answered);
                }
                count
            }
            Mode::Held => 0,
            // hyper takes the head to be incomplete, so the ends of requests are unknown from here on.
            Mode::Complete | Mode::Through => {
                self.mode = Mode::Through;
                bytes.len()
            }
        }
    }

    /// Takes up to `limit` held bytes that hyper may take.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn allow_held(&mut self, limit: usize) -> Vec<u8> {
        let mut held = std::mem::take(&mut self.held);
        let count = self.allow(&held[..held.len().min(limit)]);
        if count == held.len() {
            // The memory goes with the bytes, so that an idle connection holds none.
            return held;
        }
        let taken = held.drain(..count).collect();
        self.held = held;
        taken
    }

    /// Holds received bytes.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Returns the held bytes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::pipeline::feed::Feed;
    ///
    /// assert!(Feed::default().held().is_empty());
    /// ```
    pub fn held(&self) -> &[u8] {
        &self.held
    }

    /// Records that hyper has handed a request over.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn on_request(&mut self, body: BodySize) {
        self.open = true;
        self.mode = match (self.mode, body) {
            (Mode::Complete, BodySize::Exact(0)) => Mode::Held,
            (Mode::Complete, BodySize::Exact(left)) => Mode::Body(left, false),
            _ => Mode::Through,
        };
    }

    /// Records that the response has been handed to hyper completely.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn on_answered(&mut self) {
        self.open = false;
        match &mut self.mode {
            Mode::Body(_, answered) => *answered = true,
            mode @ Mode::Held => *mode = Self::between(true),
            _ => {}
        }
    }

    /// Returns whether hyper may take nothing until the open request is answered.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn is_held(&self) -> bool {
        self.mode == Mode::Held
    }

    /// Returns whether a request is handed over and not answered.
    ///
    /// # Example
    ///
    /// See [`Feed::is_unknown`].
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns whether hyper may take a body, or the rest of one.
    ///
    /// # Example
    ///
    /// See [`Feed::is_unknown`].
    pub fn is_body(&self) -> bool {
        matches!(self.mode, Mode::Body(..) | Mode::Through)
    }

    /// Returns whether a request is open on a connection on which hyper may hold bytes of further requests.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_util::pipeline::feed::{BodySize, Feed};
    ///
    /// let mut feed = Feed::default();
    /// feed.on_request(BodySize::Unknown);
    /// assert!(feed.is_unknown() && feed.is_open() && feed.is_body());
    /// ```
    pub fn is_unknown(&self) -> bool {
        self.open && self.mode == Mode::Through
    }

    /// Returns whether the whole head of a request that hyper has not taken is held.
    ///
    /// # Example
    ///
    /// See [`Feed`].
    pub fn has_request(&self) -> bool {
        let mut scan = match self.mode {
            Mode::Head(scan) => scan,
            Mode::Held => HeadScan::default(),
            _ => return false,
        };
        scan.find_end(&self.held).is_some()
    }

    /// The mode after the last byte of a request.
    fn between(answered: bool) -> Mode {
        if answered {
            Mode::Head(HeadScan::default())
        } else {
            Mode::Held
        }
    }
}
