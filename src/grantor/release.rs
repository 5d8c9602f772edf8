//! The release of a lost target's ranges, and the handovers that follow.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    document::Fencing,
    grantor::{Effect, Grantor, Kind, Mark, flaw::Flaw, note, starts_stopped, watch::Watch},
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
        let lapse = self.domain(target).and_then(|domain| self.lapse(&domain));
        let (Some(since), Some(lapse)) = (self.stopped_since(target), lapse) else {
            return;
        };
        let since = since.max(lapse);
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
        let domain = self.domain(target)?;
        let watch = self.watches.get(target)?;
        let own = watch.own.as_ref()?;
        let mut since = own.at;
        if self.flaw == Flaw::ReleaseOnOwnStop {
            return Some(since);
        }
        for fellow in self.fellows(&domain) {
            since = since.max(self.stop_of(watch, &fellow)?);
        }
        Some(since)
    }

    /// Returns when a fellow's stop became known.
    pub(super) fn stop_of(&self, watch: &Watch, fellow: &group::Grantor) -> Option<Duration> {
        let explicit = watch.others.get(&fellow.vm);
        let explicit = explicit.filter(|(_, stop)| stop.since == fellow.since);
        if let Some((at, stop)) = explicit {
            let known = self.version() >= stop.version || self.flaw == Flaw::OutdatedSuccessors;
            return known.then_some(*at);
        }
        let starts = starts_stopped(watch.term, fellow.since) && fellow.since >= watch.since;
        let kept = watch.floor(&fellow.vm) <= (fellow.since, 0);
        (starts && kept).then_some(Duration::ZERO)
    }

    /// Derives the handovers that follow from releases, until there are no more.
    pub(super) fn derive(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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
        let raise = u64::from(self.flaw != Flaw::EpochUnchanged);
        let fact = Handover {
            group: self.group.clone(),
            range: entry.range,
            epoch: entry.epoch + raise,
            chain,
        };
        if !self.learn(now, fact.clone()) {
            return false;
        }
        let owner = &fact.chain[0].target;
        let detail = format!(
            "range={:?} epoch={} from={}",
            fact.range, fact.epoch, entry.chain[0]
        );
        effects.push(note(Kind::Handover, owner, detail));
        effects.push(Effect::Handover(fact));
        true
    }

    /// Forgets the marks of ranges that have moved.
    pub(super) fn refresh_marks(&mut self) {
        let version = self.version();
        let unchecked = |target: &TargetId| {
            let member = self.view.members.get(target);
            member.is_some_and(|member| member.fencing == Fencing::Unchecked)
        };
        let mut marked = IndexMap::new();
        for entry in &self.view.ranges {
            if entry.moving && entry.chain.first().is_some_and(unchecked) {
                let key = (entry.range, entry.epoch);
                let fresh = Mark {
                    version,
                    known: None,
                };
                let mark = self.marked.get(&key).copied().unwrap_or(fresh);
                marked.insert(key, mark);
            }
        }
        self.marked = marked;
    }

    /// Hands marked ranges over once no sender can hold a lease of them, nor work in flight.
    pub(super) fn tick_marks(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let wait =
            self.timing.issuer_span(self.timing.grant) + self.timing.issuer_span(self.timing.drain);
        let mut due = Vec::new();
        for (key, mark) in self.marked.clone() {
            let owner = |entry: &&Entry| (entry.range, entry.epoch) == key;
            let Some(entry) = self.view.ranges.iter().find(owner).cloned() else {
                continue;
            };
            let Some(domain) = self.domain(&entry.chain[0]) else {
                continue;
            };
            let told = self.fellows(&domain).iter().all(|fellow| {
                let peer = self.peers.get(&fellow.vm);
                peer.is_some_and(|peer| peer.version >= mark.version)
            });
            let known = mark.known.or(told.then_some(now));
            if let Some(mark) = self.marked.get_mut(&key) {
                mark.known = known;
            }
            let (Some(known), Some(lapse)) = (known, self.lapse(&domain)) else {
                continue;
            };
            if now >= known.max(lapse) + wait {
                due.push(entry);
            }
        }
        for entry in due {
            self.hand_over(now, &entry, effects);
        }
    }
}
