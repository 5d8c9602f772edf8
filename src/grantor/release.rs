//! When a target is released, and which handovers follow.
//!
//! A target that doesn't answer is released once all its grantors have stopped it and all its
//! grants have expired. A range whose owner is released, or has confirmed a planned move, goes to
//! the first successor.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    document::Fencing,
    grantor::{
        Effect, Grantor, Kind, UncheckedMove, flaw::Flaw, note, starts_stopped, watch::Watch,
    },
    group::{self, Entry},
    handover::{Handover, Successor},
    id::TargetId,
};

impl Grantor {
    /// Releases a target once all its grantors have stopped it and every grant has expired: those of
    /// the present grantors, and those of grantors that were replaced.
    pub(super) fn tick_release(
        &mut self,
        now: Duration,
        target: &TargetId,
        effects: &mut Vec<Effect>,
    ) {
        let replaced_expiry = self
            .target_domain(target)
            .and_then(|domain| self.replaced_expiry(&domain));
        let (Some(since), Some(replaced_expiry)) = (self.stopped_since(target), replaced_expiry)
        else {
            return;
        };
        let since = since.max(replaced_expiry);
        let wait = self.timing.issuer_span(self.timing.grant);
        if now < since + wait && self.flaw != Flaw::ReleaseNoWait {
            return;
        }
        let Some(watch) = self.watches.get_mut(target) else {
            return;
        };
        if !watch.released {
            watch.released = true;
            effects.push(note(Kind::Release, target, format!("term={}", watch.term)));
        }
    }

    /// Returns since when all grantors of a target are known to have stopped it.
    ///
    /// A stop counts only if this VM has a record at least as new as the sender's: that record has
    /// the grantors and the successors that the sender last agreed to.
    fn stopped_since(&self, target: &TargetId) -> Option<Duration> {
        let domain = self.target_domain(target)?;
        let watch = self.watches.get(target)?;
        let own = watch.own_stop.as_ref()?;
        let mut since = own.started;
        if self.flaw == Flaw::ReleaseOnOwnStop {
            return Some(since);
        }
        for other in self.other_grantors(&domain) {
            since = since.max(self.stop_known_since(watch, &other)?);
        }
        Some(since)
    }

    /// Returns since when another grantor's stop is known.
    pub(super) fn stop_known_since(
        &self,
        watch: &Watch,
        other: &group::Grantor,
    ) -> Option<Duration> {
        let announced = watch.other_stops.get(&other.vm);
        let announced = announced.filter(|(_, stop)| stop.since == other.since);
        if let Some((at, stop)) = announced {
            let known = self.version() >= stop.version || self.flaw == Flaw::OutdatedSuccessors;
            return known.then_some(*at);
        }
        let starts_stopped = starts_stopped(watch.term, other.since) && other.since >= watch.since;
        let not_withdrawn = watch.withdrawn_below(&other.vm) <= (other.since, 0);
        (starts_stopped && not_withdrawn).then_some(Duration::ZERO)
    }

    /// Derives the handovers that follow from releases, until no new one results.
    pub(super) fn derive_handovers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        loop {
            let lost = |entry: &&Entry| entry.chain.len() > 1 && self.is_released(&entry.chain[0]);
            let entries: Vec<Entry> = self.view.ranges.iter().filter(lost).cloned().collect();
            let added: Vec<bool> = entries
                .iter()
                .map(|entry| self.hand_over(now, entry, effects))
                .collect();
            if !added.contains(&true) {
                return;
            }
        }
    }

    /// Returns whether this VM knows that a target was released under its current term.
    pub(super) fn is_released(&self, target: &str) -> bool {
        self.watches.get(target).is_some_and(|watch| watch.released)
    }

    /// Hands a range over to its first successor; returns whether the handover is new.
    pub(super) fn hand_over(
        &mut self,
        now: Duration,
        entry: &Entry,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let successor = |target: &TargetId| {
            let member = self.view.members.get(target)?;
            Some(Successor {
                target: target.clone(),
                term: member.term,
            })
        };
        let chain: Option<Vec<Successor>> = entry.chain.iter().skip(1).map(successor).collect();
        let Some(chain) = chain.filter(|chain| !chain.is_empty()) else {
            return false;
        };
        let increment = u64::from(self.flaw != Flaw::EpochUnchanged);
        let handover = Handover {
            group: self.group.clone(),
            range: entry.range,
            epoch: entry.epoch + increment,
            chain,
        };
        if !self.add_handover(now, handover.clone()) {
            return false;
        }
        let owner = &handover.chain[0].target;
        let detail = format!(
            "range={:?} epoch={} from={}",
            handover.range, handover.epoch, entry.chain[0]
        );
        effects.push(note(Kind::Handover, owner, detail));
        effects.push(Effect::Handover(handover));
        true
    }

    /// Updates the list of planned moves whose owners don't check grants.
    pub(super) fn refresh_unchecked_moves(&mut self) {
        let version = self.version();
        let unchecked = |target: &TargetId| {
            let member = self.view.members.get(target);
            member.is_some_and(|member| member.fencing == Fencing::Unchecked)
        };
        let mut moves = IndexMap::new();
        for entry in &self.view.ranges {
            if entry.moving && entry.chain.first().is_some_and(unchecked) {
                let key = (entry.range, entry.epoch);
                let new = UncheckedMove {
                    version,
                    known_since: None,
                };
                let moving = self.unchecked_moves.get(&key).copied().unwrap_or(new);
                moves.insert(key, moving);
            }
        }
        self.unchecked_moves = moves;
    }

    /// Hands over ranges of owners that don't check grants, once no sender can have a lease of them
    /// or requests in flight.
    pub(super) fn tick_unchecked_moves(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let wait =
            self.timing.issuer_span(self.timing.grant) + self.timing.issuer_span(self.timing.drain);
        let mut due = Vec::new();
        for (key, moving) in self.unchecked_moves.clone() {
            let is_moving = |entry: &&Entry| (entry.range, entry.epoch) == key;
            let Some(entry) = self.view.ranges.iter().find(is_moving).cloned() else {
                continue;
            };
            let Some(domain) = self.target_domain(&entry.chain[0]) else {
                continue;
            };
            let all_know = self.other_grantors(&domain).iter().all(|other| {
                let peer = self.peers.get(&other.vm);
                peer.is_some_and(|peer| peer.version >= moving.version)
            });
            let known = moving.known_since.or(all_know.then_some(now));
            if let Some(moving) = self.unchecked_moves.get_mut(&key) {
                moving.known_since = known;
            }
            let (Some(known), Some(replaced_expiry)) = (known, self.replaced_expiry(&domain))
            else {
                continue;
            };
            if now >= known.max(replaced_expiry) + wait {
                due.push(entry);
            }
        }
        for entry in due {
            self.hand_over(now, &entry, effects);
        }
    }
}
