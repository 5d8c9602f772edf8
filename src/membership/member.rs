//! A member of the view, and the duty members of one failure domain.

use std::time::Duration;

use indexmap::IndexSet;
use xxhash_rust::xxh3;

use super::{Incarnation, Peer, Standing, Update};
use crate::id::VmId;

/// A member of the view.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) peer: Peer,
    pub(super) incarnation: Incarnation,
    pub(super) standing: Standing,
    /// When the standing was taken up.
    pub(super) since: Duration,
    /// How often it came back after a loss.
    pub(super) returns: u32,
    /// It is no candidate before this.
    pub(super) held_until: Duration,
    /// Place among the members of its failure domain; the highest are duty members.
    pub(super) rank: u64,
    /// Place among the further members at this process.
    pub(super) affinity: u64,
    /// Whether it is one of its failure domain's duty members.
    pub(super) is_duty: bool,
}

impl Member {
    /// Returns whether it is thought to run.
    pub(super) fn is_present(&self) -> bool {
        self.standing <= Standing::Suspect
    }

    /// Returns whether it counts as live: it runs and is not leaving.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.standing, Standing::Live | Standing::Suspect)
    }

    /// Returns it as news.
    pub(super) fn update(&self) -> Update {
        Update {
            peer: self.peer.clone(),
            incarnation: self.incarnation,
            standing: self.standing,
        }
    }
}

/// Duty members of one failure domain, the highest rank first.
#[derive(Debug, Default)]
pub(super) struct Domain {
    pub(super) duty: IndexSet<VmId>,
    pub(super) hash: u64,
    pub(super) lowest: u64,
    pub(super) size: usize,
}

impl Domain {
    /// Adds the member that ranks next.
    pub(super) fn add(&mut self, member: &Member, full: usize) {
        self.duty.insert(member.peer.vm.clone());
        self.hash ^= statement_hash(member);
        self.lowest = member.rank;
        self.size = estimate(self.duty.len(), full, member.rank);
    }
}

/// Returns the hash of what is held of a present member, suspicions apart: they pass.
fn statement_hash(member: &Member) -> u64 {
    let leaving = u64::from(member.standing == Standing::Leaving);
    let seed = member.incarnation * 2 + leaving;
    xxh3::xxh3_64_with_seed(member.peer.vm.as_bytes(), seed)
}

/// Estimates how many members have a rank, from the lowest rank among the `count` highest.
///
/// Ranks are uniform: `count` of them in the top part `p` of the space speak for `count / p`.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an estimate of a small positive number"
)]
fn estimate(count: usize, full: usize, lowest: u64) -> usize {
    if count < full {
        return count;
    }
    let part = 1.0 - lowest as f64 / u64::MAX as f64;
    let others = (count as f64 - 1.0) / part.max(f64::EPSILON);
    others.round().max(count as f64) as usize
}
