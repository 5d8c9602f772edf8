//! The events, effects and timing of the ownership state machine.

use std::time::Duration;

use super::record::{Fence, Incarnation, Record, RequestKey};
use crate::catalogue::Target;

/// The durations of the manager's lease and of grants, and the intervals that follow from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long the manager's lease lasts.
    pub lease: Duration,
    /// How long a grant lasts.
    pub grant_duration: Duration,
    /// How long a grant lasts while the manager can't renew its lease.
    pub outage_duration: Duration,
    /// The time from one renewal of a grant to the next.
    pub renew_interval: Duration,
    /// How long after the end of a manager's lease its last grant may expire.
    pub latest_expiry: Duration,
}

/// A grant or release to be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipCommand {
    /// The incarnation of the target that the command is sent to.
    pub owner: Incarnation,
    /// The first key.
    pub from: RequestKey,
    /// The last key.
    pub to: RequestKey,
    /// The fence.
    pub fence: Fence,
    /// How long a grant lasts; zero for a release.
    pub grant_duration: Duration,
    /// When the manager decided to send the command.
    pub decided_at: Duration,
    /// For a grant: the data that the previous owner returned at its release.
    pub handover: Option<String>,
}

/// The outcome of a call to a target; the log shows the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target carried out the command; a release may return a handover for the next owner.
    Done(Option<String>),
    /// The target has seen a higher fence.
    Fenced,
    /// That incarnation of the target has ended: another one has responded at its address.
    Gone,
    /// Nothing was sent.
    Unsent,
    /// No response arrived in time; the call may have arrived before, but can't arrive any more.
    Silent,
}

/// An input of the ownership state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The targets that are announced now.
    Targets(Vec<Target>),
    /// The call of a grant for the range that begins at this key ended.
    GrantEnded(RequestKey, CallOutcome),
    /// The call of a release for the range that begins at this key ended.
    ReleaseEnded(RequestKey, CallOutcome),
    /// The call that fences an incarnation from this key on ended.
    FenceEnded(Incarnation, RequestKey, CallOutcome),
    /// The last commit took effect.
    Committed,
    /// The last commit failed and did not take effect; it must be retried.
    CommitFailed,
    /// The manager's lease lasts until this time of this VM's clock.
    LeaseExtended(Duration),
    /// The manager of the previous term has stopped; its last grants may still be in flight.
    PredecessorStopped,
    /// Counts of new requests by key.
    Load(Vec<(RequestKey, u32)>),
    /// Time passed.
    Tick,
}

/// An action that the caller of the ownership state machine has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a grant.
    Grant(OwnershipCommand),
    /// Send a release.
    Release(OwnershipCommand),
    /// Send a release of keys that the target isn't known to hold.
    Fence(OwnershipCommand),
    /// Write the record if the stored one has not changed.
    Commit(Record),
    /// Another manager has taken over; nothing more may be sent for this service.
    Deposed,
    /// Write a line to the log.
    Log(String),
}
