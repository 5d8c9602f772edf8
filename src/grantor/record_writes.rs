//! Which changes a grantor writes into the group record, and how it finds out their outcome.
//!
//! A grantor compares the record with the one it should be: grantors replaced, targets admitted
//! or removed, ranges rebalanced and successors repaired. It writes the difference by
//! compare-and-swap, one write at a time.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    balance,
    document::Fencing,
    grantor::{Effect, Event, Grantor, Kind, Outcome, Pending, flaw::Flaw, note, watch::Watch},
    group::{self, Entry, Record, build, build::Candidate, successors},
    id::{DomainId, TargetId, Version, VmId},
    key,
    range::Range,
};

/// How often the record is checked for needed changes.
const RECORD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long ranges and members must be unchanged before a rebalancing move.
pub(super) const BALANCE_DELAY: Duration = Duration::from_secs(10);
/// After how many retry intervals a write without any answer is sent again.
const UNANSWERED_RETRY_FACTOR: u32 = 10;

impl Grantor {
    /// Writes the changes that the record needs, one write at a time.
    pub(super) fn tick_record(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.retry(now, effects) || now < self.record_checked + RECORD_CHECK_INTERVAL {
            return;
        }
        self.record_checked = now;
        let wanted = match &self.record {
            Some(_) => self.desired_record(now),
            None => self.initial_record(),
        };
        let Some((record, urgent)) = wanted else {
            self.write_wanted = None;
            return;
        };
        let since = *self.write_wanted.get_or_insert(now);
        let rank = if urgent { 0 } else { self.rank(now) };
        if now >= since + self.timing.rank_delay * rank {
            self.write(now, record, effects);
        }
    }

    /// Retries a pending write whose outcome isn't known; returns whether a write is pending.
    fn retry(&mut self, now: Duration, effects: &mut Vec<Effect>) -> bool {
        let retry = self.timing.retry;
        let Some(pending) = self.pending.as_mut() else {
            return false;
        };
        if now >= pending.sent + retry * UNANSWERED_RETRY_FACTOR {
            pending.sent = now;
            effects.push(Effect::Read { asked: now });
            effects.push(Effect::Write {
                base: pending.base,
                sequence: pending.sequence,
                record: Box::new(pending.record.clone()),
            });
        }
        true
    }

    fn write(&mut self, now: Duration, mut record: Record, effects: &mut Vec<Effect>) {
        let sequence = self.next_sequence();
        record.writer.clone_from(&self.vm);
        record.sequence = sequence;
        let base = self.version();
        self.note_changes(now, base, &mut record, effects);
        self.write_wanted = None;
        let changed_owners = changed_owners(&self.view, &record);
        self.pending = Some(Pending {
            sequence,
            base,
            record: record.clone(),
            sent: now,
            changed_owners,
        });
        effects.push(Effect::Write {
            base,
            sequence,
            record: Box::new(record),
        });
    }

    /// Stores the base version of this write for each failure domain whose grantors it changes, and
    /// puts replaced grantors on the timeline.
    fn note_changes(
        &mut self,
        now: Duration,
        base: Version,
        record: &mut Record,
        effects: &mut Vec<Effect>,
    ) {
        let Some((_, before)) = &self.record else {
            return;
        };
        for (domain, grantors) in &record.grantors {
            let known = before.grantors.get(domain);
            if known == Some(grantors) {
                continue;
            }
            record.change_bases.insert(domain.clone(), base);
            let stays = |vm: &VmId| grantors.iter().any(|grantor| grantor.vm == *vm);
            let replaced = known.into_iter().flatten();
            for replaced in replaced.filter(|replaced| !stays(&replaced.vm)) {
                let until = now + self.timing.exclusion;
                self.excluded.insert(replaced.vm.clone(), until);
                let detail = format!("domain={domain}");
                effects.push(note(Kind::Replacement, &replaced.vm, detail));
            }
        }
        let by_domain = &record.grantors;
        record
            .change_bases
            .retain(|domain, _| by_domain.contains_key(domain));
    }

    /// Handles the outcome of this VM's own write. After a conflict, or if the outcome is unknown,
    /// the record is read back.
    pub(super) fn on_written(
        &mut self,
        now: Duration,
        sequence: u64,
        result: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.as_mut().filter(|own| own.sequence == sequence) else {
            return;
        };
        match result {
            Outcome::Committed(version) => {
                let record = pending.record.clone();
                effects.extend(self.on(now, Event::Record { version, record }));
            }
            Outcome::Conflict(_) => effects.push(Effect::Read { asked: now }),
            Outcome::Unknown => {
                let waited = self.timing.retry * (UNANSWERED_RETRY_FACTOR - 1);
                pending.sent = now.saturating_sub(waited);
                effects.push(Effect::Read { asked: now });
            }
        }
    }

    /// Determines the outcome of the pending write from a record newer than its base: either it is
    /// that write, or that write can't take effect any more.
    pub(super) fn resolve_pending(
        &mut self,
        version: Version,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.take_if(|pending| version > pending.base) else {
            return;
        };
        let won = record.writer == self.vm && record.sequence == pending.sequence;
        let detail = format!("won={won} version={version}");
        effects.push(note(Kind::Write, &self.group, detail));
    }

    /// Returns how many live VMs come before this one for a write that any of them could make.
    fn rank(&self, now: Duration) -> u32 {
        if self.record.is_none() {
            let weight = key::weight(&self.group, &self.vm);
            let before = |live: &&Candidate| key::weight(&self.group, &live.vm) > weight;
            return count(self.live.iter().filter(before));
        }
        let rank = |domain: &DomainId| {
            let grantors = self.grantors(domain).iter();
            let before = grantors.take_while(|grantor| grantor.vm != self.vm);
            count(before.filter(|grantor| self.receives_from(now, &grantor.vm)))
        };
        self.domains().map(rank).min().unwrap_or(3)
    }

    fn initial_record(&self) -> Option<(Record, bool)> {
        let (version, document) = self.document.as_ref()?;
        let record = build::initial_record(&self.group, *version, document, &self.live)?;
        Some((record, false))
    }

    /// Returns the record as it should be if it differs from the known one, and whether this VM
    /// should write it without waiting for higher-ranked VMs.
    fn desired_record(&self, now: Duration) -> Option<(Record, bool)> {
        let (_, base) = self.record.as_ref()?;
        let mut next = self.view.clone();
        next.serial += 1;
        self.replace_gone_grantors(&mut next);
        if !self.is_named() {
            return differs(base, &next).then_some((next, false));
        }
        self.follow_document(&mut next);
        self.replace_grantors(now, &mut next);
        self.record_starts(now, &mut next);
        self.assign_released(&mut next);
        self.balance(now, &mut next);
        self.repair_successors(&mut next);
        self.readmit(now, &mut next);
        self.remove_members(&mut next);
        differs(base, &next).then_some((next, self.retired))
    }

    fn follow_document(&self, next: &mut Record) {
        if let Some((version, document)) = &self.document {
            build::apply_document(next, *version, document);
        }
        for target in &self.leaving {
            if let Some(member) = next.members.get_mut(target) {
                member.leaving = true;
            }
        }
    }

    /// Removes lost grantors, and names candidates in their place.
    fn replace_grantors(&self, now: Duration, next: &mut Record) {
        let domains: Vec<DomainId> = self.domains().cloned().collect();
        let before = next.grantors.clone();
        for (domain, grantors) in &mut next.grantors {
            if domains.contains(domain) {
                let lost = self.grantors_to_remove(now, domain);
                grantors.retain(|grantor| !lost.contains(&grantor.vm));
            }
        }
        build::fill_grantors(next, &self.candidates(now));
        for (domain, grantors) in &mut next.grantors {
            if grantors.is_empty()
                && let Some(known) = before.get(domain)
            {
                grantors.clone_from(known);
            }
        }
    }

    /// Returns the grantors that one write may remove from a failure domain: this VM when it stops,
    /// those that are gone for good, and at most one that is only unresponsive.
    fn grantors_to_remove(&self, now: Duration, domain: &str) -> Vec<VmId> {
        let others = self.other_grantors(domain);
        let replaceable = |grantor: &&group::Grantor| self.may_replace(now, domain, grantor);
        let (gone, unresponsive): (Vec<_>, Vec<_>) = others
            .iter()
            .filter(replaceable)
            .map(|grantor| grantor.vm.clone())
            .partition(|vm| self.gone.contains(vm));
        let own = self.retired.then(|| self.vm.clone());
        let max = match self.flaw {
            Flaw::ConcurrentReplacements => unresponsive.len(),
            _ => 1,
        };
        let unresponsive = unresponsive.into_iter().take(max);
        let lost: Vec<VmId> = gone.into_iter().chain(own).chain(unresponsive).collect();
        if lost.is_empty() {
            return self
                .grantor_in_own_domain(now, domain)
                .into_iter()
                .collect();
        }
        lost
    }

    /// Returns a grantor that is in the failure domain that it grants to, once there are enough
    /// candidates outside.
    ///
    /// The first VMs of a fleet may have to grant to targets of their own domain; the loss of that
    /// domain would take both the grantors and their targets.
    fn grantor_in_own_domain(&self, now: Duration, domain: &str) -> Option<VmId> {
        let others = self.candidates(now);
        let outside = others.iter().filter(|other| other.domain != domain);
        let is_stable = now >= self.balance_from && self.is_change_known(domain);
        if outside.count() < 2 || !is_stable {
            return None;
        }
        let inside = |vm: &VmId| {
            let mut live = self.live.iter();
            live.any(|live| live.vm == *vm && live.domain == domain)
        };
        let grantors = self.grantors(domain).iter();
        grantors
            .map(|grantor| &grantor.vm)
            .find(|vm| inside(vm) && self.can_remove(domain, vm))
            .cloned()
    }

    /// Returns whether each target of a failure domain keeps a grantor that has not stopped it if
    /// this one is removed.
    ///
    /// New grantors start with a stop. If the only grantor that renews were removed before they had
    /// withdrawn theirs, all would have stopped, and healthy targets would be released. Another
    /// grantor whose stop was erased here may still wait for others to erase it, so the caller waits
    /// for some time first.
    fn can_remove(&self, domain: &str, removed: &VmId) -> bool {
        let renews = |watch: &Watch, grantor: &group::Grantor| {
            if grantor.vm == self.vm {
                watch.own_stop.is_none()
            } else {
                self.stop_known_since(watch, grantor).is_none()
            }
        };
        let grantors = self.grantors(domain);
        let remaining = || grantors.iter().filter(|grantor| grantor.vm != *removed);
        let of_domain = self.watches.iter().filter(|(target, watch)| {
            let member = self.view.members.get(*target);
            !watch.released && member.is_some_and(|member| member.domain == domain)
        });
        let mut watches = of_domain.map(|(_, watch)| watch);
        watches.all(|watch| remaining().any(|grantor| renews(watch, grantor)))
    }

    /// Replaces the grantors of failure domains whose grantors are all gone from the platform's list.
    fn replace_gone_grantors(&self, next: &mut Record) {
        let gone = |grantor: &group::Grantor| self.is_gone(grantor);
        let mut found = false;
        for (domain, grantors) in &mut next.grantors {
            let is_other = self.own_grantor(domain).is_none() && !grantors.is_empty();
            if is_other && grantors.iter().all(gone) {
                grantors.clear();
                found = true;
            }
        }
        if found {
            build::fill_grantors(next, &self.live);
        }
    }

    fn is_gone(&self, grantor: &group::Grantor) -> bool {
        self.gone.contains(&grantor.vm)
    }

    /// Returns the VMs that may be named as grantors.
    fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let eligible = |candidate: &&Candidate| {
            let own = candidate.vm == self.vm;
            let unresponsive =
                self.peers.contains_key(&candidate.vm) && !self.receives_from(now, &candidate.vm);
            let excluded = self.excluded.contains_key(&candidate.vm);
            let answers = self.answers.contains_key(&candidate.vm);
            let eligible = answers || (own && !self.retired);
            eligible && !(self.gone.contains(&candidate.vm) || unresponsive || excluded)
        };
        self.live.iter().filter(eligible).cloned().collect()
    }

    /// Writes the first incarnation that answered of each target into the record, and the releases.
    fn record_starts(&self, now: Duration, next: &mut Record) {
        for (target, watch) in &self.watches {
            let Some(member) = next.members.get_mut(target) else {
                continue;
            };
            if member.term != watch.term {
                continue;
            }
            member.released |= watch.released;
            let answered = watch.recent_state(now, self.timing.unresponsive_after);
            if let Some(state) = answered
                && member.boot.is_empty()
            {
                member.boot.clone_from(&state.boot);
            }
        }
    }

    /// Assigns the ranges of released owners without successors to eligible targets.
    ///
    /// If there is none, [`Grantor::readmit`] gives them back to the owner's new incarnation. No
    /// handover can exist for these ranges: a handover needs a successor, and a released owner gets
    /// none.
    fn assign_released(&self, next: &mut Record) {
        for index in 0..next.ranges.len() {
            let entry = &next.ranges[index];
            if entry.chain.len() > 1 || !self.is_released(&entry.chain[0]) {
                continue;
            }
            let owner = entry.chain[0].clone();
            let mut chain = successors::repair(next, entry);
            chain.retain(|successor| *successor != owner);
            if !chain.is_empty() {
                next.ranges[index].epoch += 1;
                next.ranges[index].chain = chain;
                next.ranges[index].moving = false;
            }
        }
    }

    /// Readmits targets that answer under a new term: released ones, and new incarnations.
    ///
    /// No chain may name the target, so that no handover to its old term is possible. A released
    /// target whose ranges found no other owner takes them back at higher epochs.
    fn readmit(&self, now: Duration, next: &mut Record) {
        for (target, watch) in &self.watches {
            let Some(state) = watch.recent_state(now, self.timing.unresponsive_after) else {
                continue;
            };
            let serial = next.serial;
            let Some(member) = next.members.get_mut(target) else {
                continue;
            };
            let returning =
                member.released || (member.boot != state.boot && !member.boot.is_empty());
            if !returning || member.term != watch.term {
                continue;
            }
            let in_chain = |entry: &&mut Entry| entry.chain.contains(target);
            let entries: Vec<&mut Entry> = next.ranges.iter_mut().filter(in_chain).collect();
            let only_owner = watch.released && entries.iter().all(|entry| entry.chain.len() == 1);
            let kept = self.flaw == Flaw::TermUnchanged;
            if !entries.is_empty() && !only_owner && !kept {
                continue;
            }
            for entry in entries.into_iter().filter(|_| only_owner) {
                entry.epoch += 1;
                entry.moving = false;
            }
            member.boot.clone_from(&state.boot);
            member.released = false;
            member.term = serial;
        }
    }

    /// Returns whether this VM may change the successors and the bounds of a target's ranges: it
    /// grants to the target and has not stopped it.
    fn manages(&self, target: &str) -> bool {
        let watch = self.watches.get(target);
        watch.is_some_and(|watch| watch.own_stop.is_none() && !watch.released)
    }

    fn repair_successors(&self, next: &mut Record) {
        for index in 0..next.ranges.len() {
            let entry = &next.ranges[index];
            if !entry.moving && self.manages(&entry.chain[0]) {
                next.ranges[index].chain = successors::repair(next, entry);
            }
        }
    }

    fn balance(&self, now: Duration, next: &mut Record) {
        let Some((_, document)) = &self.document else {
            return;
        };
        let manages = |target: &str| self.manages(target);
        let drains = |target: &str| self.is_draining(now, target);
        balance::drain_targets(next, manages, drains);
        if now < self.balance_from {
            return;
        }
        // A range whose owner doesn't check grants isn't served for seconds during a move, so
        // such ranges aren't moved for balance.
        let checks = |target: &str| {
            let member = next.members.get(target);
            member.is_some_and(|member| member.fencing == Fencing::Checked)
        };
        let may = |target: &str| manages(target) && checks(target);
        let steps = balance::plan(next, &self.loads, document, may);
        balance::apply(next, &steps);
    }

    /// Returns whether a target reports that it is draining.
    fn is_draining(&self, now: Duration, target: &str) -> bool {
        let watch = self.watches.get(target);
        let state = watch.and_then(|watch| watch.recent_state(now, self.timing.unresponsive_after));
        state.is_some_and(|state| state.phase == crate::grant::Phase::Draining)
    }

    fn remove_members(&self, next: &mut Record) {
        if let Some((version, document)) = &self.document
            && *version == next.document
        {
            build::remove_members(next, |target| document.targets.contains_key(target));
        }
    }
}

/// Returns the owners whose ranges, epochs or successors differ between two records.
fn changed_owners(before: &Record, after: &Record) -> IndexSet<TargetId> {
    let of = |record: &Record| -> IndexMap<Range, Entry> {
        let pairs = record.ranges.iter();
        pairs.map(|entry| (entry.range, entry.clone())).collect()
    };
    let (old, new) = (of(before), of(after));
    let changed = |one: &IndexMap<Range, Entry>, other: &IndexMap<Range, Entry>| {
        one.iter()
            .filter(|(range, entry)| other.get(*range) != Some(*entry))
            .filter_map(|(_, entry)| entry.chain.first().cloned())
            .collect::<Vec<TargetId>>()
    };
    let mut owners: IndexSet<TargetId> = changed(&old, &new).into_iter().collect();
    owners.extend(changed(&new, &old));
    owners
}

/// Returns whether two records differ, apart from their writer and its counters.
fn differs(base: &Record, next: &Record) -> bool {
    base.members != next.members
        || base.grantors != next.grantors
        || base.ranges != next.ranges
        || base.document != next.document
}

fn count<I>(items: I) -> u32
where
    I: Iterator,
{
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
