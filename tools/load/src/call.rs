//! Performs one HTTP exchange: builds the request, sends it, and interprets the response.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use bramleypier_standins::{audit::ReportedOutcome, payload};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};

use crate::{config::Class, pool::Pool};

/// Response header that says whether the request ran.
const OUTCOME_HEADER: &str = "bramleypier-outcome";
/// Response header that names the VM or target at which the outcome was decided.
const PEER_HEADER: &str = "bramleypier-peer";
/// Response header with the time after which to retry, in milliseconds.
const RETRY_HEADER: &str = "bramleypier-retry-ms";
/// Time that a caller waits for a response after the deadline that it sent.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Number of body bytes that are kept to search them for the request's id.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Content of one request, the same for each of its attempts.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Id; retries of the request have the same id.
    pub id: String,
    /// Class of the work.
    pub class: Class,
    /// Sharding key.
    pub key: String,
    /// Work time to request from the stand-in, which decides by itself without one.
    pub work: Option<Duration>,
    /// Size of the requested file, in bytes.
    pub bytes: u64,
    /// Deadline that is sent with the request.
    pub deadline: Duration,
    /// Name of the service; none when the request goes directly to a target.
    pub service: Option<String>,
}

impl CallSpec {
    /// Returns the path; look-ups and files carry the id in it, so that it appears in the target's log.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::{call::CallSpec, config::Class};
    ///
    /// let spec = CallSpec {
    ///     id: "7".into(),
    ///     class: Class::Files,
    ///     key: "key-1".into(),
    ///     work: None,
    ///     bytes: 10,
    ///     deadline: Duration::from_secs(1),
    ///     service: Some("archive".into()),
    /// };
    /// assert_eq!(spec.path(), "/archive/key-1/files/file?tag=7&bytes=10");
    /// ```
    pub fn path(&self) -> String {
        let Self { id, key, bytes, .. } = self;
        let suffix = match self.class {
            Class::Lookups => format!("/status?tag={id}"),
            Class::Orders => "/orders".to_owned(),
            Class::Files => format!("/files/file?tag={id}&bytes={bytes}"),
        };
        match &self.service {
            Some(service) => format!("/{service}/{key}{suffix}"),
            None => suffix,
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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Result of one exchange, as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Whether the request ran, as the response reports it.
    pub outcome: ReportedOutcome,
    /// HTTP status; zero when no response head was received.
    pub status: u16,
    /// Number of body bytes that were received.
    pub bytes: u64,
    /// Whether the body was intact and belonged to this request; also true when no response was received.
    pub sound: bool,
    /// Whether no complete response was received.
    pub failed: bool,
    /// VM or target at which the outcome was decided.
    pub peer: String,
    /// Time after which to retry.
    pub retry_after: Option<Duration>,
}

impl CallResult {
    /// Creates the result of an exchange without a response; `sent` says whether the request may have left.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::call::CallResult;
    ///
    /// assert!(CallResult::without_response(false).failed);
    /// ```
    pub fn without_response(sent: bool) -> Self {
        Self {
            outcome: if sent {
                ReportedOutcome::Unknown
            } else {
                ReportedOutcome::NotRun
            },
            status: 0,
            bytes: 0,
            sound: true,
            failed: true,
            peer: String::new(),
            retry_after: None,
        }
    }

    /// Returns whether the request ran, succeeded, and its complete and intact response was received.
    pub fn is_good(&self) -> bool {
        self.outcome == ReportedOutcome::Ran && self.sound && !self.failed && self.status < 400
    }
}

/// Performs one exchange over a pooled connection or a new one.
pub async fn exchange(pool: &Pool, address: SocketAddr, spec: &CallSpec) -> CallResult {
    let limit = spec.deadline + DEADLINE_GRACE;
    let sent = Cell::new(false);
    match compio::time::timeout(limit, attempt(pool, address, spec, &sent)).await {
        Ok(result) => result,
        Err(_) => CallResult::without_response(sent.get()),
    }
}

/// Performs the exchange; sets `sent` before any byte of the request may leave.
async fn attempt(
    pool: &Pool,
    address: SocketAddr,
    spec: &CallSpec,
    sent: &Cell<bool>,
) -> CallResult {
    let Ok(request) = spec.request(address) else {
        return CallResult::without_response(false);
    };
    let Ok(mut connection) = pool.acquire(address).await else {
        return CallResult::without_response(false);
    };
    sent.set(true);
    let Some(sender) = connection.sender() else {
        return CallResult::without_response(false);
    };
    match sender.try_send_request(request).await {
        Ok(response) => {
            let result = read(response, spec).await;
            if !result.failed {
                compio::runtime::spawn(connection.recycle()).detach();
            }
            result
        }
        // Hyper returns the request in the error when it was never written.
        Err(mut failure) => CallResult::without_response(failure.take_message().is_none()),
    }
}

/// Reads a whole response and interprets it.
async fn read(response: Response<Incoming>, spec: &CallSpec) -> CallResult {
    let (head, body) = response.into_parts();
    let mut result = CallResult {
        outcome: reported_outcome(head.status, &head.headers, spec),
        status: head.status.as_u16(),
        peer: header_text(&head.headers, PEER_HEADER).to_owned(),
        retry_after: header_text(&head.headers, RETRY_HEADER)
            .parse()
            .ok()
            .map(Duration::from_millis),
        ..CallResult::without_response(true)
    };
    let is_target = result.outcome == ReportedOutcome::Ran && head.status.is_success();
    match spec.class {
        Class::Files if is_target => read_file(&mut result, body, spec.bytes).await,
        _ => read_text(&mut result, body, is_target.then_some(&spec.id)).await,
    }
    result
}

/// Reads a small body; with an `id`, checks that the body contains it, as a target echoes the id.
async fn read_text(result: &mut CallResult, mut body: Incoming, id: Option<&String>) {
    let mut kept = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            result.outcome = ReportedOutcome::Unknown;
            return;
        };
        let data = frame.data_ref().map_or(&[][..], |data| data);
        result.bytes += data.len() as u64;
        let remaining = MAX_KEPT_BYTES.saturating_sub(kept.len());
        kept.extend_from_slice(&data[..data.len().min(remaining)]);
    }
    result.failed = false;
    result.sound = id.is_none_or(|id| contains(&kept, id));
}

/// Reads a file and checks each byte and the size.
async fn read_file(result: &mut CallResult, mut body: Incoming, size: u64) {
    let mut intact = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            result.outcome = ReportedOutcome::Unknown;
            return;
        };
        let data = frame.data_ref().map_or(&[][..], |data| data);
        let expected = (result.bytes..).map(payload::byte_at);
        intact &= data
            .iter()
            .copied()
            .zip(expected)
            .all(|(byte, expected)| byte == expected);
        result.bytes += data.len() as u64;
    }
    result.failed = false;
    result.sound = intact && result.bytes == size;
}

/// Returns whether a request ran, as the status and headers of its response report it.
///
/// A direct response of a target has no outcome header; with a success status it means that the request ran.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_load::{call, call::CallSpec, config::Class};
/// use bramleypier_standins::audit::ReportedOutcome;
/// use http::{HeaderMap, StatusCode};
///
/// let spec = CallSpec {
///     id: "7".into(),
///     class: Class::Lookups,
///     key: "key-1".into(),
///     work: None,
///     bytes: 0,
///     deadline: Duration::from_secs(1),
///     service: Some("tracking".into()),
/// };
/// // Without an outcome header, a response of an entry VM leaves the outcome unknown.
/// let outcome = call::reported_outcome(StatusCode::OK, &HeaderMap::new(), &spec);
/// assert_eq!(outcome, ReportedOutcome::Unknown);
/// ```
pub fn reported_outcome(
    status: StatusCode,
    headers: &HeaderMap,
    spec: &CallSpec,
) -> ReportedOutcome {
    match header_text(headers, OUTCOME_HEADER) {
        "ran" => ReportedOutcome::Ran,
        "not-run" => ReportedOutcome::NotRun,
        "" if spec.service.is_none() && status.is_success() => ReportedOutcome::Ran,
        _ => ReportedOutcome::Unknown,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn contains(bytes: &[u8], id: &str) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| text.contains(id))
}
