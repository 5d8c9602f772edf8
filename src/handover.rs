//! Handovers: statements that a range has a new owner from an epoch on.
//!
//! VMs apply a handover without waiting until the record of its group carries it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, GroupId, TargetId, Term},
    range::Range,
};

/// A statement that the first target of the chain owns the range from this epoch on.
///
/// There is at most one handover of a range for each epoch, whichever VM derives it. Receiving one twice, late or
/// out of order is therefore harmless: the higher epoch wins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The group that the range belongs to.
    pub group: GroupId,
    /// The range that changes its owner.
    pub range: Range,
    /// The new owner's epoch.
    pub epoch: Epoch,
    /// The new owner, then its successors in order.
    pub chain: Vec<Successor>,
}

/// A target in a chain of owners, with the term of its membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Successor {
    /// The target.
    pub target: TargetId,
    /// The term of its membership.
    pub term: Term,
}

/// Handovers, by range and epoch.
pub type Handovers = IndexMap<(Range, Epoch), Handover>;
