//! The protocol between the engine and targets: requests, grants and releases.

use std::{fmt, time::Duration};

use hyper::{HeaderMap, Method, StatusCode, header::HeaderName};

use crate::{
    catalogue::{Rate, TargetId},
    owner::{
        ownership::{CallOutcome, OwnershipCommand},
        record::RequestKey,
    },
};

/// The load that a target reports; it may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the target is processing.
    pub running: u32,
    /// Requests in the target's queue.
    pub waiting: u32,
}

/// Why a target states that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The target is full, or the request's time had run out.
    Busy,
    /// The target doesn't hold the request's key, or isn't the target that the request was sent for.
    NotOwner,
}

/// What a target asks of the VM that it responds to.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::target::Notice;
///
/// let notice = Notice { leaving: true, retry_after: Some(Duration::from_secs(3)) };
/// assert_eq!(notice.to_string(), "leaving=true retry_after_ms=3000");
/// assert!(Notice::default().is_empty());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is about to leave and wants no new requests.
    pub leaving: bool,
    /// How long the target wants no requests from this VM.
    pub retry_after: Option<Duration>,
}

impl Notice {
    /// Returns whether the target asks for nothing.
    ///
    /// # Example
    ///
    /// See [`Notice`].
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "leaving={}", self.leaving)?;
        match self.retry_after {
            Some(time) => write!(f, " retry_after_ms={}", time.as_millis()),
            None => Ok(()),
        }
    }
}

/// The fields that the engine reads from the head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The reason if the target states that it did not run the request.
    pub refusal: Option<Refusal>,
    /// Whether the response has the target's signature.
    pub signed: bool,
    /// The id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// The load that the target reports.
    pub load: Option<LoadReport>,
    /// The rate limit that the target asks for; `None` if it accepts any rate.
    pub rate: Option<Rate>,
    /// What the target asks of this VM.
    pub notice: Notice,
}

/// A grant or release as an HTTP request of the platform's protocol.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: &'static str,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

/// The protocol that targets use; an adapter implements it for one platform.
pub trait TargetProtocol {
    /// Returns the last key of the key space; the first is 0.
    fn last_key(&self) -> RequestKey;

    /// Returns the header that names a request, and that the responses of targets repeat.
    fn id_header(&self) -> HeaderName;

    /// Sets the headers of a request to a target; `remaining` is the time in which it must respond.
    fn set_headers(&self, headers: &mut HeaderMap, target: &TargetId, remaining: Duration);

    /// Reads the head of a response.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Builds the call that grants a range of keys.
    fn grant(&self, command: &OwnershipCommand) -> Call;

    /// Builds the call that releases a range of keys.
    fn release(&self, command: &OwnershipCommand) -> Call;

    /// Builds a request that any target answers at once and that runs nothing; it shows whether targets can be reached.
    fn probe(&self) -> Call;

    /// Reads the result of a grant or release from its response.
    fn call_result(&self, status: StatusCode, headers: &HeaderMap) -> CallOutcome;
}
