//! Parsing of a target's response: whether the target ran the request.

use std::time::Duration;

use http::{HeaderMap, StatusCode};

use super::{OUTCOME, Outcome, RETRY_MS};

/// A target's statement that it did not start a request.
///
/// Only [`read`] creates one, so a refusal always comes from a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    status: StatusCode,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the status of the target's response.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::answer::{self, Answer};
    /// use http::{HeaderMap, HeaderValue, StatusCode};
    ///
    /// let mut headers = HeaderMap::new();
    /// headers.insert("bramleypier-outcome", HeaderValue::from_static("not-run"));
    /// let Answer::Refused(refusal) = answer::read(StatusCode::SERVICE_UNAVAILABLE, &headers) else {
    ///     panic!("a refusal");
    /// };
    /// assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
    /// ```
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns whether the target said that it doesn't own the key.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::answer::{self, Answer};
    /// use http::{HeaderMap, HeaderValue, StatusCode};
    ///
    /// let mut headers = HeaderMap::new();
    /// headers.insert("bramleypier-outcome", HeaderValue::from_static("not-run"));
    /// let Answer::Refused(refusal) = answer::read(StatusCode::MISDIRECTED_REQUEST, &headers) else {
    ///     panic!("a refusal");
    /// };
    /// assert!(refusal.is_misdirected());
    /// ```
    pub fn is_misdirected(&self) -> bool {
        self.status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Returns how long the target asks to wait before a retry, if it says so.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::answer::{self, Answer};
    /// use http::{HeaderMap, HeaderValue, StatusCode};
    ///
    /// let mut headers = HeaderMap::new();
    /// headers.insert("bramleypier-outcome", HeaderValue::from_static("not-run"));
    /// headers.insert("bramleypier-retry-ms", HeaderValue::from_static("250"));
    /// let Answer::Refused(refusal) = answer::read(StatusCode::SERVICE_UNAVAILABLE, &headers) else {
    ///     panic!("a refusal");
    /// };
    /// assert_eq!(refusal.retry_after().unwrap().as_millis(), 250);
    /// ```
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// What the head of a target's response says about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The target ran the request, with success or not.
    Ran,
    /// The target refused the request before it started.
    Refused(Refusal),
    /// The target doesn't know whether it ran the request, or its outcome is invalid.
    Unknown,
}

/// Reads the head of a target's response.
///
/// A refusal needs both an error status and the outcome `not-run`. A response without an outcome
/// means that the request ran. A contradictory or invalid outcome (a success that did not run,
/// several outcomes, an unknown value) proves nothing.
///
/// # Example
///
/// ```
/// use bramleypier::request::answer::{self, Answer};
/// use http::{HeaderMap, HeaderValue, StatusCode};
///
/// assert_eq!(answer::read(StatusCode::SERVICE_UNAVAILABLE, &HeaderMap::new()), Answer::Ran);
/// let mut headers = HeaderMap::new();
/// headers.insert("bramleypier-outcome", HeaderValue::from_static("not-run"));
/// assert_eq!(answer::read(StatusCode::OK, &headers), Answer::Unknown);
/// ```
pub fn read(status: StatusCode, headers: &HeaderMap) -> Answer {
    let mut values = headers.get_all(OUTCOME).iter();
    let (value, second) = (values.next(), values.next());
    let Some(value) = value else {
        return Answer::Ran;
    };
    let is_error = status.is_client_error() || status.is_server_error();
    if second.is_some() {
        Answer::Unknown
    } else if value == Outcome::Ran.as_str() {
        Answer::Ran
    } else if value == Outcome::NotRun.as_str() && is_error {
        Answer::Refused(Refusal {
            status,
            retry_after: retry_after(headers),
        })
    } else {
        Answer::Unknown
    }
}

/// Reads how long the target asks to wait; the header in milliseconds takes precedence over seconds.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let number = |name| headers.get(name)?.to_str().ok()?.parse::<u32>().ok();
    let exact = number(RETRY_MS).map(|ms| Duration::from_millis(u64::from(ms)));
    exact.or_else(|| {
        let seconds = number(http::header::RETRY_AFTER.as_str())?;
        Some(Duration::from_secs(u64::from(seconds)))
    })
}
