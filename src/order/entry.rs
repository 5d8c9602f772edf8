//! What is remembered of one order, and what that says to an attempt.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Answer, Attempt, AttemptState};
use crate::request::Fingerprint;

/// What an entry costs besides its texts and bodies, in bytes: resident memory as measured, with the
/// maps' spare room.
pub(super) const ENTRY_BYTES: usize = 768;

/// One order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The time that its id carries.
    #[serde(rename = "made")]
    pub created_at: Option<Duration>,
    /// How long ago it last changed, where the entry travels.
    pub age: Duration,
    /// The attempts.
    pub attempts: IndexMap<Attempt, AttemptRecord>,
}

/// One attempt, as remembered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRecord {
    /// What it asked for.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// What became of it.
    #[serde(rename = "fate")]
    pub state: AttemptState,
}

/// What the memory says to an attempt that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// No attempt ran or may run.
    Allowed,
    /// This one is the one that may run.
    AlreadyOpen,
    /// Another may be running.
    Running,
    /// One ran.
    Ran(Answer),
    /// One may have run, or the memory doesn't reach back so far.
    Unknown,
    /// One that asked for something else ran or may run.
    Mismatch,
    /// This attempt has ended without running.
    Ended,
}
