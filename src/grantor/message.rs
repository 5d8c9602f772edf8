//! Messages between grantors, and between grantors and senders.
//!
//! Each may be lost, late, doubled or out of order.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    group::Record,
    handover::Handover,
    id::{DomainId, Epoch, TargetId, Term, Version},
    range::Range,
};

/// A message about one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Message {
    /// Asks for a word, and tells what the asker has stopped.
    #[serde(rename = "Ask")]
    PermissionRequest {
        /// The asker's reading; it comes back with the word.
        asked: Duration,
        /// The newest record that the asker knows.
        version: Version,
        /// The targets that the asker has stopped.
        stops: Vec<Stop>,
    },
    /// A word: the giver agrees that the asker grants.
    #[serde(rename = "Word")]
    Permission {
        /// The asker's reading when it asked.
        asked: Duration,
        /// The newest record that the giver knows.
        version: Version,
        /// The failure domains for which it holds: those whose trio names both, by the newest
        /// record that the giver knows.
        domains: Vec<DomainId>,
    },
    /// Asks that a stop be erased.
    Withdraw {
        /// The stop.
        stop: Stop,
        /// Whether only one that has itself no stop for the target may erase it.
        #[serde(rename = "needs")]
        unstopped_only: bool,
    },
    /// The stop is erased; the sender had not acted on it.
    Withdrawn {
        /// The stop.
        stop: Stop,
        /// Whether the sender itself has no stop for the target.
        #[serde(rename = "clean")]
        unstopped: bool,
    },
    /// A record.
    Record {
        /// Its version.
        version: Version,
        /// The record.
        record: Box<Record>,
    },
    /// A handover.
    Handover(Handover),
    /// A sender asks for leases of ranges whose owners don't check.
    #[serde(rename = "LeaseAsk")]
    LeaseRequest {
        /// The sender's reading; it comes back with the lease.
        asked: Duration,
    },
    /// Leases for a sender, good for the span of a grant from when they were asked for.
    Lease {
        /// The sender's reading when it asked.
        asked: Duration,
        /// What it may send where.
        routes: Vec<Leased>,
    },
}

/// A grantor's promise not to renew a target until it has withdrawn this.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The target.
    pub target: TargetId,
    /// Its term.
    pub term: Term,
    /// The serial of the write that named the grantor.
    pub since: Term,
    /// The grantor's count of stops; 0 for the one with which it starts.
    pub sequence: u64,
    /// The newest record that the grantor knew when it sent this.
    pub version: Version,
}

/// A range that may be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leased {
    /// The range.
    pub range: Range,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its owner.
    pub target: TargetId,
    /// The owner's term.
    pub term: Term,
}
