//! Groups: the targets that own a slice of the hash space, and the record of their ranges.
//!
//! A group's record names its targets, the owner and successors of each range, and the grantors of
//! each failure domain's targets.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    document::Fencing,
    id::{BootId, DomainId, Epoch, GroupId, TargetId, Term, Version, VmId},
    range::Range,
};

pub mod build;
pub mod check;
pub mod merge;
pub mod resize;
pub mod successors;

/// A group's record: one value in the platform's service that is changed only by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The group.
    pub group: GroupId,
    /// The number of writes so far; each write raises it by one.
    pub serial: u64,
    /// The version of the document that was last applied.
    pub document: Version,
    /// The targets that may hold grants.
    pub members: IndexMap<TargetId, Member>,
    /// The grantors of each failure domain's targets.
    #[serde(rename = "trios")]
    pub grantors: IndexMap<DomainId, Vec<Grantor>>,
    /// For each failure domain, the version that the last change of its grantors replaced; none
    /// for the first one. A VM that knows a newer version knows that change.
    #[serde(rename = "changed")]
    pub change_bases: IndexMap<DomainId, Version>,
    /// The ranges, in order, without gaps or overlaps.
    pub ranges: Vec<Entry>,
    /// The VM that wrote this version. With `sequence`, it lets a writer whose answer was lost find
    /// the outcome by reading back.
    pub writer: VmId,
    /// The writer's sequence number of this write.
    pub sequence: u64,
}

/// A target that may hold grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// `IP:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it checks grants.
    pub fencing: Fencing,
    /// The incarnation of the target that may hold grants; empty until one is known.
    pub boot: BootId,
    /// The serial of the write that admitted this incarnation. A released target is readmitted
    /// under a new term. No chain of another owner may name it then; ranges that still name only
    /// the target itself go back to it at higher epochs.
    pub term: Term,
    /// Whether its grantors released it: it holds no grants, and no chain should name it.
    pub released: bool,
    /// Whether it is draining: its ranges are moved to other targets.
    pub leaving: bool,
    /// The number of requests that it runs at a time.
    pub slots: u32,
}

/// A VM that issues grants to a failure domain's targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grantor {
    /// The VM; its id is new on each start.
    pub vm: VmId,
    /// The serial of the write that named it. For each target with an earlier term it starts with
    /// a stop.
    pub since: Term,
}

/// A range with its owner and successors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The range.
    pub range: Range,
    /// The epoch at which the first of the chain owns it.
    pub epoch: Epoch,
    /// The owner, then its successors in order.
    pub chain: Vec<TargetId>,
    /// Whether a planned move is in progress: the owner is asked to release the range to the first
    /// successor.
    pub moving: bool,
}
