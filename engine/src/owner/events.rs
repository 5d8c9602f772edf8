//! What goes into a keeper and what it wants done.

use std::{net::SocketAddr, time::Duration};

use super::record::{Fence, Incarnation, Record, RequestKey};
use crate::catalogue::Target;

/// Spans by which a keeper works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long the manager's lease lasts.
    pub lease: Duration,
    /// How long a grant holds.
    pub grant_duration: Duration,
    /// How long a grant holds while the manager can't renew its lease.
    pub outage_duration: Duration,
    /// The time from one renewal to the next.
    pub renew_interval: Duration,
    /// How long after the end of a manager's lease its last grant may hold.
    pub latest_expiry: Duration,
}

/// A grant or release to be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipCommand {
    /// To which life of a target.
    pub owner: Incarnation,
    /// The first key.
    pub from: RequestKey,
    /// The last key.
    pub to: RequestKey,
    /// The fence.
    pub fence: Fence,
    /// How long a grant holds; zero for a release.
    pub grant_duration: Duration,
    /// When it was decided.
    pub decided_at: Duration,
    /// What the last owner handed over, for a grant.
    pub handover: Option<String>,
}

/// How a call to a target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was done; a release may bring a handover.
    Done(Option<String>),
    /// The target has seen a higher fence.
    Fenced,
    /// That life of the target has ended.
    Gone,
    /// Nothing was sent.
    Unsent,
    /// It got no answer, and can't arrive any more.
    Silent,
}

/// What happens to a keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// These lives of targets are announced.
    Targets(Vec<Target>),
    /// A grant ended.
    GrantEnded(RequestKey, CallOutcome),
    /// A release ended.
    ReleaseEnded(RequestKey, CallOutcome),
    /// A commit ended: the record stands at this revision.
    Committed,
    /// A commit failed and did not take effect; it is to be made again.
    CommitFailed,
    /// The manager's lease holds until then, by this VM's clock.
    LeaseExtended(Duration),
    /// A target at this address has closed a connection in use: its process may have ended.
    ConnectionClosed(SocketAddr),
    /// The manager before this one has stopped; its last grants may be under way.
    PredecessorStopped,
    /// Requests ran on these keys.
    Load(Vec<(RequestKey, u32)>),
    /// Time passed.
    Tick,
}

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a grant.
    Grant(OwnershipCommand),
    /// Send a release.
    Release(OwnershipCommand),
    /// Write the record under the condition that it has not changed.
    Commit(Record),
    /// Another manager has taken over; nothing more may be sent.
    Deposed,
    /// A belief changed: for the log.
    Log(String),
}
