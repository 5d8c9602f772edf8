//! One exchange: a request as its caller sends it, and what the answer tells.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use bramleypier_standins::{audit::Told, payload};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};

use crate::{config::Class, pool::Pool};

/// Carries what an answer says of the request.
const OUTCOME: &str = "bramleypier-outcome";
/// Carries the VM or target at which the outcome arose.
const PEER: &str = "bramleypier-peer";
/// Carries the time to come back.
const RETRY: &str = "bramleypier-retry-ms";
/// How long a caller waits beyond the deadline that it named.
pub const GRACE: Duration = Duration::from_secs(1);
/// The most bytes of an answer that are kept to look for the request's id.
const KEPT: usize = 64 * 1024;

/// A request to make.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id, the same when it is sent again.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// Its key.
    pub key: String,
    /// The time of its work, unless the stand-in decides.
    pub work: Option<Duration>,
    /// The size of the file that is asked for.
    pub bytes: u64,
    /// How long the caller is ready to wait.
    pub deadline: Duration,
    /// The service, unless it goes straight to a target.
    pub service: Option<String>,
}

impl Ask {
    /// Returns the path, with the id where the target's log shows it.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::{call::Ask, config::Class};
    ///
    /// let ask = Ask {
    ///     id: "7".into(),
    ///     class: Class::Files,
    ///     key: "key-1".into(),
    ///     work: None,
    ///     bytes: 10,
    ///     deadline: Duration::from_secs(1),
    ///     service: Some("archive".into()),
    /// };
    /// assert_eq!(ask.path(), "/archive/key-1/files/file?tag=7&bytes=10");
    /// ```
    pub fn path(&self) -> String {
        let Self { id, key, bytes, .. } = self;
        let rest = match self.class {
            Class::Lookups => format!("/status?tag={id}"),
            Class::Orders => "/orders".to_owned(),
            Class::Files => format!("/files/file?tag={id}&bytes={bytes}"),
        };
        match &self.service {
            Some(service) => format!("/{service}/{key}{rest}"),
            None => rest,
        }
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
        let method = match self.class {
            Class::Orders => Method::POST,
            Class::Lookups | Class::Files => Method::GET,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(self.path())
            .header(header::HOST, address.to_string())
            .header("Bramleypier-Deadline", millis(self.deadline));
        if self.class == Class::Orders {
            request = request.header("Idempotency-Key", &self.id);
        }
        if let Some(work) = self.work {
            request = request.header("Standin-Work-Ms", millis(work));
        }
        if self.service.is_none() {
            request = request.header("Bramleypier-Key", &self.key);
        }
        request.body(Full::default())
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// What a caller learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What it was told of the request.
    pub told: Told,
    /// The status; zero when no head came.
    pub status: u16,
    /// How many bytes of the body came.
    pub bytes: u64,
    /// Whether the answer was whole and the caller's own, as far as one came.
    pub sound: bool,
    /// Whether no whole answer came.
    pub failed: bool,
    /// The VM or target at which the outcome arose.
    pub peer: String,
    /// When to come back.
    pub retry: Option<Duration>,
}

impl Answer {
    /// Creates what a caller knows that got no answer.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::call::Answer;
    ///
    /// assert!(Answer::none(false).failed);
    /// ```
    pub fn none(sent: bool) -> Self {
        Self {
            told: if sent { Told::Unknown } else { Told::NotRun },
            status: 0,
            bytes: 0,
            sound: true,
            failed: true,
            peer: String::new(),
            retry: None,
        }
    }

    /// Returns whether the work ran and its whole answer came.
    pub fn is_good(&self) -> bool {
        self.told == Told::Ran && self.sound && !self.failed && self.status < 400
    }
}

/// Makes one exchange over a kept connection, or a new one.
pub async fn exchange(pool: &Pool, address: SocketAddr, ask: &Ask) -> Answer {
    let limit = ask.deadline + GRACE;
    let sent = Cell::new(false);
    match compio::time::timeout(limit, attempt(pool, address, ask, &sent)).await {
        Ok(answer) => answer,
        Err(_) => Answer::none(sent.get()),
    }
}

/// Makes the exchange; `sent` tells whether a byte of the request may have left.
async fn attempt(pool: &Pool, address: SocketAddr, ask: &Ask, sent: &Cell<bool>) -> Answer {
    let Ok(request) = ask.request(address) else {
        return Answer::none(false);
    };
    let Ok(mut lent) = pool.take(address).await else {
        return Answer::none(false);
    };
    sent.set(true);
    let Some(sender) = lent.sender() else {
        return Answer::none(false);
    };
    match sender.try_send_request(request).await {
        Ok(response) => {
            let answer = read(response, ask).await;
            if !answer.failed {
                compio::runtime::spawn(lent.keep()).detach();
            }
            answer
        }
        // Hyper gives the request back when it was never written.
        Err(mut failure) => Answer::none(failure.take_message().is_none()),
    }
}

/// Reads a whole answer.
async fn read(response: Response<Incoming>, ask: &Ask) -> Answer {
    let (head, body) = response.into_parts();
    let mut answer = Answer {
        told: told(head.status, &head.headers, ask),
        status: head.status.as_u16(),
        peer: text(&head.headers, PEER).to_owned(),
        retry: text(&head.headers, RETRY)
            .parse()
            .ok()
            .map(Duration::from_millis),
        ..Answer::none(true)
    };
    let is_target = answer.told == Told::Ran && head.status.is_success();
    match ask.class {
        Class::Files if is_target => read_file(&mut answer, body, ask.bytes).await,
        _ => read_text(&mut answer, body, is_target.then_some(&ask.id)).await,
    }
    answer
}

/// Reads a small answer; a target's echo names the request's id.
async fn read_text(answer: &mut Answer, mut body: Incoming, id: Option<&String>) {
    let mut kept = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            answer.told = Told::Unknown;
            return;
        };
        let data = frame.data_ref().map_or(&[][..], |data| data);
        answer.bytes += data.len() as u64;
        let room = KEPT.saturating_sub(kept.len());
        kept.extend_from_slice(&data[..data.len().min(room)]);
    }
    answer.failed = false;
    answer.sound = id.is_none_or(|id| contains(&kept, id));
}

/// Reads a file and checks each of its bytes.
async fn read_file(answer: &mut Answer, mut body: Incoming, size: u64) {
    let mut intact = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            answer.told = Told::Unknown;
            return;
        };
        let data = frame.data_ref().map_or(&[][..], |data| data);
        let due = (answer.bytes..).map(payload::byte_at);
        intact &= data.iter().copied().zip(due).all(|(byte, due)| byte == due);
        answer.bytes += data.len() as u64;
    }
    answer.failed = false;
    answer.sound = intact && answer.bytes == size;
}

/// Returns what the head of an answer tells of the request.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_load::{call, call::Ask, config::Class};
/// use bramleypier_standins::audit::Told;
/// use http::{HeaderMap, StatusCode};
///
/// let ask = Ask {
///     id: "7".into(),
///     class: Class::Lookups,
///     key: "key-1".into(),
///     work: None,
///     bytes: 0,
///     deadline: Duration::from_secs(1),
///     service: Some("tracking".into()),
/// };
/// // An answer of an entry VM without an outcome tells nothing.
/// let told = call::told(StatusCode::OK, &HeaderMap::new(), &ask);
/// assert_eq!(told, Told::Unknown);
/// ```
pub fn told(status: StatusCode, headers: &HeaderMap, ask: &Ask) -> Told {
    match text(headers, OUTCOME) {
        "ran" => Told::Ran,
        "not-run" => Told::NotRun,
        "" if ask.service.is_none() && status.is_success() => Told::Ran,
        _ => Told::Unknown,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn contains(bytes: &[u8], id: &str) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| text.contains(id))
}
