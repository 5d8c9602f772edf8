//! The record of orders: non-idempotent requests run at most once.
//!
//! Ids of orders hash to shards. For each shard one [`view::View`] names a *home* and a *standby*.
//! An entry VM ([`starter`]) sends `Start` to both at once, and may run the order only if, under
//! the same view, the home says [`Reply::Admitted`] and the standby says [`Reply::Recorded`]. The
//! home is the arbiter: it says so to one attempt at a time. The standby is the memory: whatever
//! ran is known to both, so that the loss of either forgets nothing ([`ledger`]).
//!
//! Views change by compare-and-swap on one record in the platform's service ([`plan`]). Only a home
//! or standby with the whole memory names itself the next home, and it acts for the old view until
//! the moment it learns of the new one: that moment is the cut. A member that stops in an orderly
//! way resigns to the other, which then acts alone without a write.
//!
//! No clock and no failure detector decides safety, with one exception: once both memories are
//! lost, which needs proof that both VMs are gone for good, the next view has a *horizon*, and ids
//! not provably younger than it are answered `unknown`.

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
/// The number of a view of one shard; it only grows.
pub type ViewNumber = u64;

/// How far an id's time may be ahead of the clock of the VM that takes it.
pub const MAX_AHEAD: Duration = Duration::from_secs(15);
/// How far a horizon is ahead of the clock of the VM that sets it: [`MAX_AHEAD`], and as much again for
/// the skew between VMs.
pub const HORIZON_MARGIN: Duration = Duration::from_secs(30);

/// One try of one entry VM to run an order, under one view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// The entry VM.
    pub vm: VmId,
    /// The VM's count of attempts.
    pub seq: u64,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// It may be running or may yet run.
    Open,
    /// It has ended, and may have run.
    Unknown,
    /// It did not run and never will: its entry VM says so.
    NotRun,
    /// It ran, with this answer.
    Ran(Answer),
}

impl AttemptState {
    /// Takes in another account of the same attempt; the surer one stays.
    ///
    /// Only the entry VM says `NotRun` or `Ran`, and it never says both, so the order in which
    /// accounts arrive doesn't matter.
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
        let surer = other.rank() > self.rank();
        if surer {
            *self = other;
        }
        surer
    }

    fn rank(&self) -> u8 {
        match self {
            Self::Open => 0,
            Self::Unknown => 1,
            Self::NotRun | Self::Ran(_) => 2,
        }
    }
}

/// A target's answer, as far as it is kept for those who ask again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The media type.
    pub media: String,
    /// The body; nothing if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

impl Answer {
    /// Creates the record of an answer; a body above `limit` bytes is left out.
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

/// What an order is, as far as the record needs to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Its id.
    pub id: OrderId,
    /// The time that its id carries, since the Unix epoch.
    #[serde(rename = "made")]
    pub created_at: Option<Duration>,
    /// What it asks for.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
}

/// What VMs tell each other about orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// An entry VM to home and standby: may this attempt run?
    Start {
        /// The order.
        order: Order,
        /// The attempt.
        attempt: Attempt,
        /// The view under which it is asked.
        view: ViewNumber,
        /// The entry VM's wall clock, since the Unix epoch.
        wall: Duration,
    },
    /// Home or standby to the entry VM.
    Reply {
        /// The attempt.
        attempt: Attempt,
        /// The view for which the reply holds.
        view: ViewNumber,
        /// The reply.
        reply: Reply,
    },
    /// An entry VM to home and standby: how an attempt ended.
    Finish {
        /// The order.
        order: Order,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        #[serde(rename = "fate")]
        state: AttemptState,
    },
    /// Home or standby to the entry VM: the end of the attempt is known here.
    Finished {
        /// The attempt.
        attempt: Attempt,
    },
    /// Home or standby to the entry VM: how did this attempt end?
    Ask {
        /// The order.
        order: Order,
        /// The attempt.
        attempt: Attempt,
    },
    /// Home to a new standby: a part of the memory.
    Transfer {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
        /// The index of the part.
        part: u64,
        /// Whether it is the last.
        last: bool,
        /// Ids dated up to this may have been forgotten.
        floor: Duration,
        /// The entries.
        entries: Vec<(OrderId, memory::Entry)>,
    },
    /// A new standby to its home: the part is in memory.
    Installed {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
        /// The index of the part.
        part: u64,
    },
    /// A member to the other: it will do nothing more under this view, whatever comes.
    Resign {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
    },
    /// The answer to it.
    Resigned {
        /// The shard.
        shard: Shard,
        /// The view.
        view: ViewNumber,
    },
}

impl Message {
    /// Returns whether the message is for the [`Starter`]; all others are for the [`Ledger`].
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

/// What home or standby say to a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// Home: no other attempt ran, runs or will run before this one has ended.
    #[serde(rename = "yours")]
    Admitted,
    /// The only member that is left: the same, and no second word is needed.
    #[serde(rename = "alone")]
    AdmittedAlone,
    /// Standby: the attempt is in memory.
    #[serde(rename = "remembered")]
    Recorded,
    /// Another attempt may be running.
    Running,
    /// The order ran.
    Ran(Answer),
    /// The order may have run.
    Unknown,
    /// The id was used for something else.
    Mismatch,
    /// This attempt can't run any more; another may.
    Ended,
    /// The memory is full of orders that must not be forgotten.
    Full,
    /// The member can't speak for the view now.
    NotReady,
    /// There is a newer view of the shard.
    Moved(View),
}

/// What the state machines ask of the task around them.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to a VM.
    Send {
        /// The VM.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Read the record from the platform's service and tell both machines.
    Read,
    /// Write the record if its version is still `base` (0: it must not exist), then read it.
    Write {
        /// The version that is replaced.
        base: crate::id::Version,
        /// The new record.
        views: Views,
    },
    /// A change of state for the time line.
    Note(Note),
    /// The starter's decision on an order.
    Decide {
        /// The order's number at this entry VM, from `Begin`.
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

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// This VM is the home.
    Home,
    /// This VM is the standby.
    Standby,
    /// This VM is neither any longer.
    Left,
    /// The standby has the whole memory.
    Installed,
    /// Both memories were lost; older ids are unknown.
    Horizon,
    /// This VM wants another view.
    Proposed,
}

/// A rule left out, for tests that show that the checks notice.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Every rule holds.
    #[default]
    None,
    /// The home's word alone lets an order run.
    HomeOnly,
    /// Words of different views count together.
    MixedViews,
    /// A member resigns while a write of its own is in doubt.
    ResignDuringWrite,
    /// A member goes on after it resigned.
    ActAfterResigning,
    /// A lost attempt counts as not run.
    LostIsNotRun,
    /// Fingerprints are not compared.
    IgnoreFingerprints,
    /// A standby counts as installed at once.
    NoTransfer,
    /// A member that is only suspected counts as gone.
    SuspectIsGone,
    /// Views after the loss of both have no horizon.
    NoHorizon,
    /// Forgetting leaves no floor.
    NoFloor,
}

/// Returns the shard of an order.
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
