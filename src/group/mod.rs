//! Groups: targets that hold a slice of the hash space, and the record that says who owns what.

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

/// A group's record: one value in the platform's service, changed only by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The group.
    pub group: GroupId,
    /// How many writes made this record; it grows by one with each.
    pub serial: u64,
    /// The version of the document that it follows.
    pub document: Version,
    /// The targets that may hold grants.
    pub members: IndexMap<TargetId, Member>,
    /// The grantors of each failure domain's targets.
    #[serde(rename = "trios")]
    pub grantors: IndexMap<DomainId, Vec<Grantor>>,
    /// The version that the last change of each trio replaced; none for the first one. Who knows a
    /// newer version has adopted that change.
    #[serde(rename = "changed")]
    pub change_bases: IndexMap<DomainId, Version>,
    /// The ranges, in order, without gaps or overlaps.
    pub ranges: Vec<Entry>,
    /// The VM that wrote this version, with its count of writes, so that a lost answer can be
    /// settled by reading back.
    pub writer: VmId,
    /// The writer's count of writes.
    pub sequence: u64,
}

/// A target as a holder of grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// `IP:port`.
    pub address: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Whether it checks grants.
    pub fencing: Fencing,
    /// The start of the target that may hold grants; empty until one is known.
    pub boot: BootId,
    /// The serial of the write that admitted this start. A start that was released comes back
    /// under a new term, and only while no chain names it.
    pub term: Term,
    /// Whether its grantors released it: it holds nothing, and no chain should name it.
    pub released: bool,
    /// Whether it hands its ranges over.
    pub leaving: bool,
    /// How many requests it runs at a time.
    pub slots: u32,
}

/// A VM named to grant to a failure domain's targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grantor {
    /// The VM; its id is new on each start.
    pub vm: VmId,
    /// The serial of the write that named it. It starts as stopped for each earlier term.
    pub since: Term,
}

/// A range with its owner and heirs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The range.
    pub range: Range,
    /// The epoch at which the first of the chain owns it.
    pub epoch: Epoch,
    /// The owner, then its heirs in order.
    pub chain: Vec<TargetId>,
    /// Whether the owner is being asked to hand it to the first heir.
    pub moving: bool,
}
