//! What a VM keeps of one order, and what follows from it for a new attempt.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Answer, Attempt, AttemptState};
use crate::request::Fingerprint;

/// The memory that an entry takes besides its texts and bodies, in bytes: resident memory, including the spare
/// capacity of the maps.
pub(super) const ENTRY_BYTES: usize = 768;

/// The attempts at one order, as sent between VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The time that the order's id carries, since the Unix epoch; `None` if the id has none.
    #[serde(rename = "made")]
    pub created_at: Option<Duration>,
    /// How long ago it last changed; set only when the entry is sent to another VM.
    pub age: Duration,
    /// The attempts at the order.
    pub attempts: IndexMap<Attempt, AttemptRecord>,
}

/// One attempt, as kept in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRecord {
    /// The fingerprint of its request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Its state.
    #[serde(rename = "fate")]
    pub state: AttemptState,
}

/// The result of checking an attempt that wants to run against the memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// No attempt ran, may have run or may still run.
    Allowed,
    /// This attempt is open already, and no other is.
    AlreadyOpen,
    /// Another attempt may be running.
    Running,
    /// An attempt ran.
    Ran(Answer),
    /// An attempt may have run, or the memory may have evicted the order.
    Unknown,
    /// An attempt with another request ran, or may run.
    Mismatch,
    /// This attempt has ended without running.
    Ended,
}
