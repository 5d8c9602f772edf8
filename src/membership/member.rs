//! A member of the view, and the members of one failure domain that are eligible for roles.

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
    /// When the member took this standing, on this process's clock.
    pub(super) since: Duration,
    /// How often it returned after it was declared lost.
    pub(super) returns: u32,
    /// It is not a candidate for roles before this time.
    pub(super) barred_until: Duration,
    /// Rank hash within its failure domain; the members with the highest are eligible for roles.
    pub(super) rank: u64,
    /// Hash that decides, differently at each process, which other members are kept.
    pub(super) affinity: u64,
    /// Whether it is eligible for roles in its failure domain.
    pub(super) is_eligible: bool,
}

impl Member {
    /// Returns whether it probably runs: neither lost nor stopped.
    pub(super) fn is_present(&self) -> bool {
        self.standing <= Standing::Suspect
    }

    /// Returns whether it counts as live: it probably runs and is not draining.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.standing, Standing::Live | Standing::Suspect)
    }

    /// Returns its state as an update to send.
    pub(super) fn update(&self) -> Update {
        Update {
            peer: self.peer.clone(),
            incarnation: self.incarnation,
            standing: self.standing,
        }
    }
}

/// Eligible members of one failure domain, the highest rank first.
#[derive(Debug, Default)]
pub(super) struct Domain {
    pub(super) eligible: IndexSet<VmId>,
    pub(super) hash: u64,
    pub(super) lowest_rank: u64,
    pub(super) size: usize,
}

impl Domain {
    /// Adds the member with the next lower rank.
    pub(super) fn add(&mut self, member: &Member, limit: usize) {
        self.eligible.insert(member.peer.vm.clone());
        self.hash ^= state_hash(member);
        self.lowest_rank = member.rank;
        self.size = estimate(self.eligible.len(), limit, member.rank);
    }
}

/// Hashes the state of a present member; suspicions are left out because they are temporary.
fn state_hash(member: &Member) -> u64 {
    let leaving = u64::from(member.standing == Standing::Leaving);
    let seed = member.incarnation * 2 + leaving;
    xxh3::xxh3_64_with_seed(member.peer.vm.as_bytes(), seed)
}

/// Estimates how many members a failure domain has, from the lowest of its `count` highest ranks.
///
/// Ranks are uniform hashes: if `count` of them fall in the top fraction `p` of the range, there
/// are about `count / p` in all.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an estimate of a small positive number"
)]
fn estimate(count: usize, limit: usize, lowest_rank: u64) -> usize {
    if count < limit {
        return count;
    }
    let fraction = 1.0 - lowest_rank as f64 / u64::MAX as f64;
    let others = (count as f64 - 1.0) / fraction.max(f64::EPSILON);
    others.round().max(count as f64) as usize
}
