//! Handovers: facts that a range has a new owner.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, GroupId, TargetId, Term},
    range::Range,
};

/// A fact: from this epoch on the first of the chain owns the range.
///
/// A range at an epoch has one handover at most, whoever derives it, so hearing one twice, late or
/// out of order changes nothing: the higher epoch wins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The group.
    pub group: GroupId,
    /// The range.
    pub range: Range,
    /// The new owner's epoch.
    pub epoch: Epoch,
    /// The new owner, then its heirs in order.
    pub chain: Vec<Successor>,
}

/// A target under one term of its membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Successor {
    /// The target.
    pub target: TargetId,
    /// Its term.
    pub term: Term,
}

/// Handovers by range and epoch.
pub type Handovers = IndexMap<(Range, Epoch), Handover>;
