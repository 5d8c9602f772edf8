//! What goes into a keeper and what it wants done.

use std::{net::SocketAddr, time::Duration};

use super::record::{Fence, Life, Point, Record};
use crate::catalogue::Target;

/// Spans by which a keeper works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long the manager's lease lasts.
    pub lease: Duration,
    /// How long a grant holds.
    pub hold: Duration,
    /// How long a grant holds while the manager can't renew its lease.
    pub hold_alone: Duration,
    /// The time from one renewal to the next.
    pub renew: Duration,
    /// How long after the end of a manager's lease its last grant may hold.
    pub horizon: Duration,
}

/// A grant or release to be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// To which life of a target.
    pub owner: Life,
    /// The first key.
    pub from: Point,
    /// The last key.
    pub to: Point,
    /// The fence.
    pub fence: Fence,
    /// How long a grant holds; zero for a release.
    pub hold: Duration,
    /// When it was decided.
    pub decided: Duration,
    /// What the last owner handed over, for a grant.
    pub handover: Option<String>,
}

/// How a call to a target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
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
    Granted(Point, Ending),
    /// A release ended.
    Released(Point, Ending),
    /// A commit ended: the record stands at this revision.
    Committed,
    /// A commit failed and did not take effect; it is to be made again.
    CommitFailed,
    /// The manager's lease holds until then, by this VM's clock.
    Lease(Duration),
    /// A target at this address has closed a connection in use: its process may have ended.
    Closed(SocketAddr),
    /// The manager before this one has stopped; its last grants may be under way.
    EarlierStopped,
    /// Requests ran on these keys.
    Load(Vec<(Point, u32)>),
    /// Time passed.
    Tick,
}

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a grant.
    Grant(Order),
    /// Send a release.
    Release(Order),
    /// Write the record under the condition that it has not changed.
    Commit(Record),
    /// Another manager has taken over; nothing more may be sent.
    Deposed,
    /// A belief changed: for the log.
    Note(String),
}
