//! The release of a lost target's ranges, and the handovers that follow.

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
    /// Decides a release once the whole trio has stopped and every grant has lapsed for certain:
    /// those of the trio, and those of whoever was struck from it.
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

    /// Returns since when the whole trio is known to have stopped a target.
    ///
    /// A stop counts only with a record at least as new as its sender's: that record names the
    /// trio, and the heirs that the sender last agreed to.
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

    /// Returns when a fellow's stop became known.
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
        let starts = starts_stopped(watch.term, other.since) && other.since >= watch.since;
        let kept = watch.withdrawn_below(&other.vm) <= (other.since, 0);
        (starts && kept).then_some(Duration::ZERO)
    }

    /// Derives the handovers that follow from releases, until there are no more.
    pub(super) fn derive_handovers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        loop {
            let lost = |entry: &&Entry| entry.chain.len() > 1 && self.is_released(&entry.chain[0]);
            let entries: Vec<Entry> = self.view.ranges.iter().filter(lost).cloned().collect();
            let learned: Vec<bool> = entries
                .iter()
                .map(|entry| self.hand_over(now, entry, effects))
                .collect();
            if !learned.contains(&true) {
                return;
            }
        }
    }

    /// Returns whether this VM knows that a target was released under its present term.
    pub(super) fn is_released(&self, target: &str) -> bool {
        self.watches.get(target).is_some_and(|watch| watch.released)
    }

    /// Makes the next heir the owner, as a fact; returns whether it is new.
    pub(super) fn hand_over(
        &mut self,
        now: Duration,
        entry: &Entry,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let heir = |target: &TargetId| {
            let member = self.view.members.get(target)?;
            Some(Successor {
                target: target.clone(),
                term: member.term,
            })
        };
        let chain: Option<Vec<Successor>> = entry.chain.iter().skip(1).map(heir).collect();
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

    /// Forgets the marks of ranges that have moved.
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

    /// Hands marked ranges over once no sender can hold a lease of them, nor work in flight.
    pub(super) fn tick_unchecked_moves(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let wait =
            self.timing.issuer_span(self.timing.grant) + self.timing.issuer_span(self.timing.drain);
        let mut due = Vec::new();
        for (key, moving) in self.unchecked_moves.clone() {
            let owner = |entry: &&Entry| (entry.range, entry.epoch) == key;
            let Some(entry) = self.view.ranges.iter().find(owner).cloned() else {
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
