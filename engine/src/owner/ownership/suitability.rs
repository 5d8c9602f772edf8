//! Decides which targets may own keys, and takes keys from those that may not.
//!
//! - *A target leaves, or is no longer announced*: its keys are released, with what it hands over.
//! - *A target is in warm-up*: it gets keys only if all are.
//! - *A target refuses all requests while others serve*: its callers get nothing until its keys have moved.

use std::{collections::HashSet, time::Duration};

use super::{Effect, ServiceOwnership, call_outcomes::AVOID_TIME};
use crate::{
    catalogue::{Target, TargetId},
    owner::{range_state::Phase, record::Incarnation},
};

impl ServiceOwnership {
    /// Returns whether a target is in warm-up.
    pub(super) fn is_warming(&self, now: Duration, target: &TargetId) -> bool {
        self.warming.get(target).is_some_and(|until| now < *until)
    }

    /// Returns the targets that refuse requests, unless these are more than half of all.
    ///
    /// If most refuse, the service as a whole has too little capacity, and moving keys would only overload the others.
    pub(super) fn refusing_targets(&self, now: Duration) -> HashSet<&TargetId> {
        let refusing = self.refusing.iter().filter(|(_, until)| now < **until);
        let refusing: HashSet<_> = refusing.map(|(id, _)| id).collect();
        let ready = self.targets.values().filter(|it| !it.leaving).count();
        if refusing.len() * 2 > ready {
            return HashSet::new();
        }
        refusing
    }

    /// Returns the owners that have to release their ranges: they are draining, no longer announced, refuse requests,
    /// or are in warm-up while another target isn't.
    fn unsuitable_owners(&self, now: Duration) -> HashSet<Incarnation> {
        let ready = |it: &Target| !it.leaving;
        let warm = self
            .targets
            .values()
            .any(|it| ready(it) && !self.is_warming(now, &it.id));
        let refusing = self.refusing_targets(now);
        let owners = self.record.ranges.iter().filter_map(|it| it.owner.as_ref());
        let is_suitable = |owner: &Incarnation| {
            let target = self.targets.get(&owner.id);
            let announced = target.is_some_and(|it| owner.is_announced_by(it) && ready(it));
            let accepts = !refusing.contains(&owner.id);
            announced && accepts && !(warm && self.is_warming(now, &owner.id))
        };
        owners
            .filter(|owner| !is_suitable(owner))
            .cloned()
            .collect()
    }

    /// Keeps keys for a while from owners that lose theirs because they refuse requests.
    ///
    /// Without load they refuse nothing, so nobody can tell whether they still would.
    fn avoid_refusing(&mut self, now: Duration, owners: &HashSet<Incarnation>) {
        let refusing = owners
            .iter()
            .filter(|owner| self.refusing.contains_key(&owner.id));
        let until = refusing.map(|owner| (owner.clone(), now + AVOID_TIME));
        self.avoided.extend(until);
    }

    /// Begins the release of all ranges of unsuitable owners.
    pub(super) fn release_unsuitable(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.is_lease_fresh(now) {
            return;
        }
        let unsuitable_owners = self.unsuitable_owners(now);
        self.avoid_refusing(now, &unsuitable_owners);
        for range in &self.record.ranges {
            let Some(state) = self.states.get_mut(&range.from) else {
                continue;
            };
            let Some(owner) = &range.owner else {
                continue;
            };
            if state.phase != Phase::Owned || state.in_flight {
                continue;
            }
            if unsuitable_owners.contains(owner) {
                state.phase = Phase::Releasing(None);
                state.next_call = now;
                effects.push(Effect::Log(format!(
                    "event=release-begun from={} to={} owner={} announced={} refuses={}",
                    range.from,
                    range.to,
                    owner.id,
                    self.targets.contains_key(&owner.id),
                    self.refusing.contains_key(&owner.id)
                )));
            }
        }
    }
}
