//! Messages between grantors, and between grantors and senders.
//!
//! Each message may be lost, delayed, duplicated or reordered.

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
    /// Requests a permission, and announces the sender's stops.
    #[serde(rename = "Ask")]
    PermissionRequest {
        /// The clock reading of the requesting VM; returned with the permission.
        asked: Duration,
        /// The newest record version that the requesting VM knows.
        version: Version,
        /// The targets that the requesting VM has stopped.
        stops: Vec<Stop>,
    },
    /// A permission: a short lease that lets the receiver renew grants.
    #[serde(rename = "Word")]
    Permission {
        /// The clock reading of the requesting VM when it sent the request.
        asked: Duration,
        /// The newest record version that the issuing VM knows.
        version: Version,
        /// The failure domains for which it is valid: those that both VMs grant to by the newest
        /// record that the issuing VM knows.
        domains: Vec<DomainId>,
    },
    /// Asks another grantor to erase a stop.
    Withdraw {
        /// The stop.
        stop: Stop,
        /// Whether only a grantor that has no stop for the target itself may erase it.
        #[serde(rename = "needs")]
        unstopped_only: bool,
    },
    /// Confirms that a stop is erased; the sender had not released the target because of it.
    Withdrawn {
        /// The stop.
        stop: Stop,
        /// Whether the sender has no stop for the target itself.
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
    /// Requests leases, for a sender, of ranges whose owners don't check grants.
    #[serde(rename = "LeaseAsk")]
    LeaseRequest {
        /// The sender's clock reading; returned with the leases.
        asked: Duration,
    },
    /// Leases for a sender, valid for one grant duration from when they were requested.
    Lease {
        /// The sender's clock reading when it sent the request.
        asked: Duration,
        /// The leased ranges.
        routes: Vec<Leased>,
    },
}

/// A grantor's promise not to renew a target's grant until it has withdrawn the stop.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The target.
    pub target: TargetId,
    /// Its term.
    pub term: Term,
    /// The serial of the write that named the grantor.
    pub since: Term,
    /// The grantor's sequence number of the stop; 0 for the initial stop of a new grantor.
    pub sequence: u64,
    /// The newest record version that the grantor knew when it sent this.
    pub version: Version,
}

/// A lease of a range: a sender may send its requests to the target.
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
