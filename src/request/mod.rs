//! Requests: parsing, deadlines, and the outcome that is reported to the caller.
//!
//! - [`call`] parses and validates callers' requests;
//! - [`deadline`] computes the remaining time;
//! - [`attempt`] is the life cycle of a request, the only source of proofs that it did not run;
//! - [`verdict`] is the result that is reported to the caller;
//! - [`answer`] reads from a target's response whether the request ran.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod deadline;
pub mod verdict;

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

pub use answer::Answer;
pub use attempt::{Admitted, Attempt, Finished, Proof, Received, Started};
pub use call::Call;
pub use deadline::Deadline;
pub use verdict::Verdict;

/// Header: whether the request ran.
pub const OUTCOME: &str = "bramleypier-outcome";
/// Header: the step at which the outcome arose.
pub const STEP: &str = "bramleypier-step";
/// Header: the VM or target at which the outcome arose.
pub const PEER: &str = "bramleypier-peer";
/// Header: how long to wait before a retry, in milliseconds.
pub const RETRY_MS: &str = "bramleypier-retry-ms";
/// Header: how long the caller waits, in milliseconds.
pub const DEADLINE: &str = "bramleypier-deadline";
/// Header: the caller's id of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A hash of a request's method, URI and body.
pub type Fingerprint = u128;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target ran it, and its response arrived.
    Ran,
    /// There is proof that no target ran it.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the text of the header.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Outcome;
    ///
    /// assert_eq!(Outcome::NotRun.as_str(), "not-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A step in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading what the caller sent.
    Parse,
    /// Finding the service, the class and the target.
    Route,
    /// Admission against a target's limit.
    Limit,
    /// Waiting for a slot.
    Queue,
    /// The target's ownership of the key.
    Grant,
    /// Connecting to the target.
    Connect,
    /// Sending to the target.
    Send,
    /// The target's answer.
    Answer,
    /// The lookup of the stored outcomes of orders.
    Order,
    /// The check for requests that are suspected of killing their target.
    Quarantine,
    /// The request's deadline.
    Deadline,
    /// A VM or target that is leaving.
    Drain,
    /// The decision that no further retry is allowed.
    Retry,
}

impl Step {
    /// Returns the text of the header.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Step;
    ///
    /// assert_eq!(Step::Quarantine.as_str(), "quarantine");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Parse => "parse",
            Self::Route => "route",
            Self::Limit => "limit",
            Self::Queue => "queue",
            Self::Grant => "grant",
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Answer => "answer",
            Self::Order => "order",
            Self::Quarantine => "quarantine",
            Self::Deadline => "deadline",
            Self::Drain => "drain",
            Self::Retry => "retry",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Returns the fingerprint of a request: the same for all who ask for the same.
///
/// # Example
///
/// ```
/// use bramleypier::request;
///
/// let first = request::fingerprint("POST", "/dispatch/k/orders", b"one");
/// assert_ne!(first, request::fingerprint("POST", "/dispatch/k/orders", b"two"));
/// ```
pub fn fingerprint(method: &str, uri: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), uri.as_bytes(), body] {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hash.update(&length.to_le_bytes());
        hash.update(part);
    }
    hash.digest128()
}
