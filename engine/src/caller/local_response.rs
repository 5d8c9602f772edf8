//! Responses that this router makes itself, and the attempts that the log reports.

use std::time::Duration;

use super::failure::Failure;
use crate::quarantine::Fingerprint;

/// The retry-after of a local response when no better estimate is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A response that this router makes itself, because no target's response can be passed on.
#[derive(Clone, Debug)]
pub(super) struct LocalResponse {
    pub(super) failure: Failure,
    pub(super) cause: String,
    pub(super) retry_after: Option<Duration>,
    /// Whether its connection is closed whatever the failure.
    pub(super) closes: bool,
}

impl LocalResponse {
    pub(super) fn new<T>(failure: Failure, cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            failure,
            cause: cause.into(),
            retry_after: None,
            closes: false,
        }
    }

    pub(super) fn not_run<T>(cause: T, retry_after: Duration) -> Self
    where
        T: Into<String>,
    {
        Self {
            retry_after: Some(retry_after),
            ..Self::new(Failure::NotRun, cause)
        }
    }
}

/// The targets of a request's attempts and what happened at each, for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    /// What the request asks for, once its body has been read.
    pub(super) fingerprint: Option<Fingerprint>,
    pub(super) targets: Vec<String>,
    pub(super) notes: Vec<String>,
}
