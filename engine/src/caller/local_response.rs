//! How a request ended, when no target answered it, and what was tried.

use std::time::Duration;

use super::failure::Failure;

/// The time to come back that is told when nothing better is known.
pub(super) const COME_BACK: Duration = Duration::from_millis(300);

/// An answer of our own.
#[derive(Clone, Debug)]
pub(super) struct Own {
    pub(super) word: Failure,
    pub(super) cause: String,
    pub(super) retry: Option<Duration>,
}

impl Own {
    pub(super) fn new<T>(word: Failure, cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            word,
            cause: cause.into(),
            retry: None,
        }
    }

    pub(super) fn not_run<T>(cause: T, retry: Duration) -> Self
    where
        T: Into<String>,
    {
        Self {
            retry: Some(retry),
            ..Self::new(Failure::NotRun, cause)
        }
    }
}

/// What was tried for a request, for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub(super) targets: Vec<String>,
    pub(super) notes: Vec<String>,
}
