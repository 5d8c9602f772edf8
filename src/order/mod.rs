//! Makes non-idempotent requests (*orders*) run at most once.
//!
//! The ids of orders hash to shards. For each shard a [`view::View`] names two members, a *home* and a *standby*.
//! An entry VM ([`starter`]) sends `Start` to both at once, and may run the order only if, under the same view, the
//! home replies [`Reply::Admitted`] and the standby replies [`Reply::Recorded`]. The home is the arbiter: it admits
//! one attempt at a time. The standby is the second copy: both know of every order that ran, so that the loss of
//! one VM loses no order ([`ledger`]).
//!
//! Views change by compare-and-swap on one record in the platform's service ([`plan`]). Only a home or standby with
//! the complete memory proposes itself as the next home, and it acts under the old view until it learns of the new
//! one; from that moment on it acts under the new view only. A member that shuts down resigns to the other, which
//! then acts alone without a write.
//!
//! Safety depends on no clock and no failure detector, with one exception: once both memories are lost, which
//! requires proof that both VMs are gone for good, the next view has a *horizon*, and ids that are not provably
//! younger than it are answered `unknown`.

pub mod decision;
pub mod entry;
pub mod ledger;
pub mod memory;
mod pending;
pub mod plan;
mod replica;
pub mod starter;
mod stored;
pub mod view;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::id::VmId;

pub use crate::request::{Fingerprint, fingerprint};
pub use ledger::Ledger;
pub use starter::Starter;
pub use view::{View, Views};

/// The id of an order: `service/request id`.
pub type OrderId = String;
/// The index of a shard.
pub type Shard = usize;
/// The number of a view of one shard; each new view has a higher one.
pub type ViewNumber = u64;

/// How far the time in an id may be ahead of the clock of the VM that receives it.
pub const MAX_AHEAD: Duration = Duration::from_secs(15);
/// How far a horizon is ahead of the clock of the VM that sets it: [`MAX_AHEAD`], and as much again for
/// the clock skew between VMs.
pub const HORIZON_MARGIN: Duration = Duration::from_secs(30);

/// One attempt of an entry VM to run an order, under one view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// The entry VM.
    pub vm: VmId,
    /// The sequence number of the attempt at this VM.
    pub seq: u64,
}

/// The state of an attempt, as far as a VM knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// It may be running, or may still start.
    Open,
    /// It has ended, and may have run.
    Unknown,
    /// It did not run and never will, as its entry VM reported.
    NotRun,
    /// It ran and got this answer.
    Ran(Answer),
}

impl AttemptState {
    /// Merges another report on the same attempt and returns whether the state changed; the more certain state wins.
    ///
    /// Only the entry VM reports `NotRun` or `Ran`, and never both for one attempt, so the order in which reports
    /// arrive doesn't matter.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::AttemptState;
    ///
    /// let mut state = AttemptState::Unknown;
    /// assert!(!state.merge(AttemptState::Open));
    /// assert!(state.merge(AttemptState::NotRun));
    /// assert_eq!(state, AttemptState::NotRun);
    /// ```
    pub fn merge(&mut self, other: Self) -> bool {
        let more_certain = other.rank() > self.rank();
        if more_certain {
            *self = other;
        }
        more_certain
    }

    /// Returns how certain the state is; a higher rank replaces a lower one.
    fn rank(&self) -> u8 {
        match self {
            Self::Open => 0,
            Self::Unknown => 1,
            Self::NotRun | Self::Ran(_) => 2,
        }
    }
}

/// A target's answer, as kept for callers that send the order again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: String,
    /// The body; `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

impl Answer {
    /// Creates the record of an answer; a body of more than `limit` bytes is left out.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::Answer;
    ///
    /// assert_eq!(Answer::new(200, "text/plain", b"done", 3).body, None);
    /// ```
    pub fn new(status: u16, media: &str, body: &[u8], limit: usize) -> Self {
        Self {
            status,
            media: media.into(),
            body: (body.len() <= limit).then(|| body.to_vec()),
        }
    }
}

/// What identifies an order and the request that it stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Its id.
    pub id: OrderId,
    /// The time that its id carries, since the Unix epoch; `None` if the id has none.
    #[serde(rename = "made")]
    pub created_at: Option<Duration>,
    /// The fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
}

/// A message between VMs about orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// An entry VM asks home and standby whether this attempt may run.
    Start {
        /// The order.
        order: Order,
        /// The attempt.
        attempt: Attempt,
        /// The view under which the entry VM asks.
        view: ViewNumber,
        /// The entry VM's wall clock, since the Unix epoch.
        wall: Duration,
    },
    /// Home or standby replies to a start.
    Reply {
        /// The attempt.
        attempt: Attempt,
        /// The view under which the reply is valid.
        view: ViewNumber,
        /// The reply.
        reply: Reply,
    },
    /// An entry VM reports to home and standby how an attempt ended.
    Finish {
        /// The order.
        order: Order,
        /// The attempt.
        attempt: Attempt,
        /// The state in which it ended.
        #[serde(rename = "fate")]
        state: AttemptState,
    },
    /// Home or standby acknowledges to the entry VM that it recorded the end of the attempt.
    Finished {
        /// The attempt.
        attempt: Attempt,
    },
    /// Home or standby asks the entry VM how this attempt ended.
    Ask {
        /// The order.
        order: Order,
        /// The attempt.
        attempt: Attempt,
    },
    /// A home sends a part of its memory to a new standby.
    Transfer {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
        /// The index of the part.
        part: u64,
        /// Whether it is the last part.
        last: bool,
        /// Orders whose ids are dated up to this may have been evicted.
        floor: Duration,
        /// The entries.
        entries: Vec<(OrderId, memory::Entry)>,
    },
    /// A new standby acknowledges a part to its home.
    Installed {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
        /// The index of the part.
        part: u64,
    },
    /// A member tells the other that it no longer admits or records attempts under this view.
    Resign {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
    },
    /// The other member acknowledges the resignation.
    Resigned {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
    },
}

impl Message {
    /// Returns whether the message is for the [`Starter`]; if not, it is for the [`Ledger`].
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::Message;
    ///
    /// assert!(!Message::Resign { shard: 0, view: 1 }.is_for_starter());
    /// ```
    pub fn is_for_starter(&self) -> bool {
        matches!(
            self,
            Self::Reply { .. } | Self::Finished { .. } | Self::Ask { .. }
        )
    }
}

/// The reply of a home or standby to a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// From a home: no other attempt ran, is running or will run before this one has ended.
    #[serde(rename = "yours")]
    Admitted,
    /// From the only member left: the same, and no reply of a second member is needed.
    #[serde(rename = "alone")]
    AdmittedAlone,
    /// From a standby: the attempt is recorded.
    #[serde(rename = "remembered")]
    Recorded,
    /// Another attempt may be running.
    Running,
    /// The order ran.
    Ran(Answer),
    /// The order may have run.
    Unknown,
    /// The id was used for another request.
    Mismatch,
    /// This attempt can no longer run; a new one may.
    Ended,
    /// The memory is full of orders that must not be evicted.
    Full,
    /// The member can't decide under this view now.
    NotReady,
    /// There is a newer view of the shard.
    Moved(View),
}

/// An action that the state machines request from the task that runs them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to a VM.
    Send {
        /// The VM.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Read the record from the platform's service and pass it to both state machines.
    Read,
    /// Write the record if its version is still `base` (0: it must not exist), then read it.
    Write {
        /// The version that the write replaces.
        base: crate::id::Version,
        /// The new record.
        views: Views,
    },
    /// Record a change of state on the time line.
    Note(Note),
    /// Answer a caller's order with the starter's decision.
    Decide {
        /// The number of the order at this entry VM, as given with `Begin`.
        token: u64,
        /// The decision.
        decision: starter::Decision,
    },
}

/// A change of state, for the time line and the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The shard.
    pub shard: Shard,
    /// The view.
    pub view: ViewNumber,
    /// What changed.
    pub change: Change,
}

/// The kind of a change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// This VM became the home.
    Home,
    /// This VM became the standby.
    Standby,
    /// This VM is no longer a member.
    Left,
    /// The standby has the complete memory.
    Installed,
    /// Both memories were lost; ids up to the horizon are answered `unknown`.
    Horizon,
    /// This VM proposed a new view.
    Proposed,
}

/// A safety rule to leave out, for tests which show that the checks detect its absence.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Every rule holds.
    #[default]
    None,
    /// The home's reply alone lets an order run.
    HomeOnly,
    /// Replies under different views count together.
    MixedViews,
    /// A member resigns while the result of its own write is unknown.
    ResignDuringWrite,
    /// A member continues to act after it resigned.
    ActAfterResigning,
    /// An attempt with an unknown outcome counts as not run.
    LostIsNotRun,
    /// Fingerprints of requests are not compared.
    IgnoreFingerprints,
    /// A standby counts as complete before it has the memory.
    NoTransfer,
    /// A member that is only suspected to have failed counts as gone for good.
    SuspectIsGone,
    /// The view after the loss of both memories has no horizon.
    NoHorizon,
    /// Ids dated up to the floor count as never seen.
    NoFloor,
}

/// Returns the shard of an order, given the number of shards.
///
/// # Example
///
/// ```
/// use bramleypier::order;
///
/// assert!(order::shard("dispatch/1", 64) < 64);
/// ```
pub fn shard(id: &str, shards: usize) -> Shard {
    let shards = u64::try_from(shards.max(1)).unwrap_or(1);
    let index = xxh3::xxh3_64(id.as_bytes()) % shards;
    Shard::try_from(index).unwrap_or(0)
}
