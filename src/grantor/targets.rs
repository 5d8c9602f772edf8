//! Renewing grants, stopping a target that doesn't answer, and withdrawing a stop.
//!
//! A stop is a promise to the other grantors not to renew the target's grant. It can be withdrawn
//! only with the consent of all of them, since they may release the target once all have stopped.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    document::Fencing,
    grant::{Claim, Grant, TargetState},
    grantor::{
        Effect, Grantor, Kind, Message, Stop, flaw::Flaw, note, starts_stopped, watch::Watch,
    },
    group::{self, Entry, Member},
    id::{DomainId, TargetId, Term, VmId},
};

impl Grantor {
    /// Starts watches of new targets and terms, and removes those that no longer apply.
    pub(super) fn refresh_watches(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.domains().cloned().collect();
        let mut watches = IndexMap::new();
        for (target, member) in &self.view.members {
            if !domains.contains(&member.domain) {
                continue;
            }
            let since = self
                .own_grantor(&member.domain)
                .map_or(0, |grantor| grantor.since);
            let known = self.watches.shift_remove(target);
            let watch = known
                .filter(|watch| watch.term == member.term && watch.since == since)
                .unwrap_or_else(|| self.start_watch(now, member.term, since));
            watches.insert(target.clone(), watch);
        }
        self.watches = watches;
    }

    /// Starts a watch; a grantor that was named after the target's term began starts with a stop.
    fn start_watch(&self, now: Duration, term: Term, since: Term) -> Watch {
        let mut watch = Watch::new(term, since, self.version(), now);
        if starts_stopped(term, since) && self.flaw != Flaw::NewGrantorUnstopped {
            watch.stop(now, 0);
        }
        watch
    }

    /// Handles a target's answer.
    pub(super) fn on_target(
        &mut self,
        now: Duration,
        target: &TargetId,
        state: TargetState,
        effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.view.members.get(target) else {
            return;
        };
        let ignored = self.flaw == Flaw::BootIgnored;
        let named = (state.boot == member.boot || ignored) && !member.boot.is_empty();
        let term = member.term;
        let Some(watch) = self.watches.get_mut(target) else {
            return;
        };
        let released = state.released.clone();
        watch.on_state(now, state, named, self.timing.unresponsive_after);
        if named {
            self.on_released(now, target, term, &released, effects);
        }
    }

    /// Hands over ranges of planned moves that their owner confirmed to have released.
    fn on_released(
        &mut self,
        now: Duration,
        target: &TargetId,
        term: Term,
        released: &[Claim],
        effects: &mut Vec<Effect>,
    ) {
        let released_by_owner = |entry: &&Entry| {
            let confirmed = released.iter().any(|claim| {
                claim.epoch == entry.epoch
                    && claim.start <= entry.range.start
                    && entry.range.end <= claim.end
            });
            confirmed || self.flaw == Flaw::UnconfirmedMove
        };
        let member = self.view.members.get(target);
        if member.is_none_or(|member| member.term != term || member.fencing != Fencing::Checked) {
            return;
        }
        let entries: Vec<Entry> = self
            .view
            .ranges
            .iter()
            .filter(|entry| entry.moving && entry.chain.first() == Some(target))
            .filter(released_by_owner)
            .cloned()
            .collect();
        for entry in entries {
            self.hand_over(now, &entry, effects);
        }
        self.derive_handovers(now, effects);
    }

    /// Stops, resumes, renews or probes, and releases each target.
    pub(super) fn tick_targets(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let targets: Vec<TargetId> = self.watches.keys().cloned().collect();
        for target in &targets {
            self.tick_stop(now, target, effects);
            self.tick_withdraw(now, target, effects);
            self.tick_grant(now, target, effects);
            self.tick_release(now, target, effects);
        }
        self.tick_unchecked_moves(now, effects);
        self.derive_handovers(now, effects);
    }

    /// Stops a target that doesn't answer, unless a pending write of this VM changes its ranges.
    fn tick_stop(&mut self, now: Duration, target: &TargetId, effects: &mut Vec<Effect>) {
        let timeout = self.stop_timeout(target);
        let Some(watch) = self.watches.get(target) else {
            return;
        };
        let last_answer = watch.last_answer.unwrap_or(watch.started);
        let being_written = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.changed_owners.contains(target));
        let blocked = being_written && self.flaw != Flaw::StopDuringWrite;
        if now < last_answer + timeout || blocked {
            return;
        }
        let withdrawing = watch
            .own_stop
            .as_ref()
            .is_some_and(|own| !own.erased_by.is_empty());
        if watch.own_stop.is_some() && !withdrawing {
            return;
        }
        let sequence = self.next_sequence();
        if let Some(watch) = self.watches.get_mut(target) {
            watch.stop(now, sequence);
        }
        effects.push(note(Kind::Stop, target, String::new()));
    }

    /// Returns how long a target may be unresponsive before it is stopped. One that has never
    /// answered may still be starting.
    fn stop_timeout(&self, target: &str) -> Duration {
        let member = self.view.members.get(target);
        if member.is_some_and(|member| member.boot.is_empty()) {
            return self.timing.start_timeout;
        }
        self.timing.unresponsive_after
    }

    /// Returns the stops to send to another grantor.
    pub(super) fn stops_for(&mut self, to: &VmId) -> Vec<Stop> {
        let version = self.version();
        let mut stops = Vec::new();
        for (target, member) in &self.view.members {
            let grantors = self.view.grantors.get(&member.domain);
            let shared =
                grantors.is_some_and(|grantors| grantors.iter().any(|grantor| grantor.vm == *to));
            if let Some(watch) = self.watches.get_mut(target)
                && shared
            {
                stops.extend(watch.announce_stop(target, version, to));
            }
        }
        stops
    }

    /// Handles another grantor's stop.
    pub(super) fn on_stop(&mut self, now: Duration, from: &VmId, stop: Stop) {
        if let Some(watch) = self.watches.get_mut(&stop.target) {
            watch.on_stop(now, from, stop);
        }
    }

    /// Asks the other grantors to erase an own stop once the target answers again.
    fn tick_withdraw(&mut self, now: Duration, target: &TargetId, effects: &mut Vec<Effect>) {
        let Some(domain) = self.target_domain(target) else {
            return;
        };
        let has_authority = self.has_authority(now, &domain);
        let version = self.version();
        let mut others = self.other_grantors(&domain);
        if self.flaw == Flaw::WithdrawUnconfirmed {
            others.clear();
        }
        let timing = self.timing;
        let sequence = self.sequence + 1;
        let unstopped_only = self.needs_unstopped_peer(target, &others);
        let Some(watch) = self.watches.get_mut(target) else {
            return;
        };
        let steady = watch
            .steady_since
            .is_some_and(|since| now >= since + timing.renew);
        let responsive = watch.is_responsive(now, timing.unresponsive_after);
        let (term, since) = (watch.term, watch.since);
        let Some(own) = watch.own_stop.as_mut() else {
            return;
        };
        if watch.released || !steady || !responsive || !has_authority {
            return;
        }
        let unstopped = own
            .erased_by
            .values()
            .any(|(unstopped, at)| *unstopped && *at >= version);
        if unstopped_only && !unstopped && !own.erased_by.is_empty() {
            self.sequence = sequence;
            watch.stop(now, sequence);
            return;
        }
        if own
            .withdraw_sent
            .is_some_and(|last| now < last + timing.permission_renew)
        {
            return;
        }
        own.withdraw_sent = Some(now);
        let stop = Stop {
            target: target.clone(),
            term,
            since,
            sequence: own.sequence,
            version,
        };
        for other in others {
            let stop = stop.clone();
            let unstopped_only = unstopped_only && !unstopped;
            let message = Message::Withdraw {
                stop,
                unstopped_only,
            };
            effects.push(Effect::Send {
                to: other.vm,
                message,
            });
        }
        self.try_resume(now, target, effects);
    }

    fn needs_unstopped_peer(&self, target: &str, others: &[group::Grantor]) -> bool {
        let watch = self.watches.get(target);
        watch.is_some_and(|watch| watch.needs_unstopped_peer(others))
            && self.flaw != Flaw::ReplacedForgotten
    }

    /// Erases another grantor's stop, unless this VM has released the target.
    ///
    /// This VM answers only if its record is at least as new as the sender's, so that it sends its
    /// later stops to the same grantors.
    pub(super) fn on_withdraw(
        &mut self,
        from: &VmId,
        stop: Stop,
        unstopped_only: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(domain) = self.target_domain(&stop.target) else {
            return;
        };
        let named = self
            .grantors(&domain)
            .iter()
            .any(|grantor| grantor.vm == *from && grantor.since == stop.since);
        if !named || self.version() < stop.version {
            return;
        }
        let Some(watch) = self.watches.get_mut(&stop.target) else {
            return;
        };
        if watch.term != stop.term || watch.released {
            return;
        }
        let unstopped = watch.own_stop.is_none();
        if unstopped_only && !unstopped {
            return;
        }
        watch.erase(from, &stop);
        effects.push(Effect::Send {
            to: from.clone(),
            message: Message::Withdrawn { stop, unstopped },
        });
    }

    /// Handles another grantor's confirmation that it has erased an own stop.
    pub(super) fn on_withdrawn(
        &mut self,
        now: Duration,
        from: &VmId,
        stop: &Stop,
        unstopped: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(watch) = self.watches.get_mut(&stop.target) else {
            return;
        };
        let same = watch.term == stop.term && watch.since == stop.since;
        let Some(own) = watch
            .own_stop
            .as_mut()
            .filter(|own| same && own.sequence == stop.sequence)
        else {
            return;
        };
        own.erased_by
            .insert(from.clone(), (unstopped, stop.version));
        own.recipients.shift_remove(from);
        self.try_resume(now, &stop.target, effects);
    }

    /// Ends an own stop once every grantor that may know it has erased it.
    fn try_resume(&mut self, now: Duration, target: &TargetId, effects: &mut Vec<Effect>) {
        let Some(domain) = self.target_domain(target) else {
            return;
        };
        let version = self.version();
        let others = self.other_grantors(&domain);
        let unstopped_only = self.needs_unstopped_peer(target, &others);
        let skip_check = self.flaw == Flaw::WithdrawUnconfirmed;
        let Some(watch) = self.watches.get_mut(target) else {
            return;
        };
        let Some(own) = watch.own_stop.as_ref().filter(|_| !watch.released) else {
            return;
        };
        let current = |other: &group::Grantor| {
            let answer = own.erased_by.get(&other.vm);
            answer.filter(|(_, at)| *at >= version)
        };
        let all = others.iter().all(|other| current(other).is_some());
        let unstopped = others
            .iter()
            .filter_map(current)
            .any(|(unstopped, _)| *unstopped);
        if skip_check || (all && (unstopped || !unstopped_only)) {
            watch.own_stop = None;
            effects.push(note(Kind::Resume, target, format!("now={now:?}")));
        }
    }

    /// Renews a target's grant, or probes its state.
    fn tick_grant(&mut self, now: Duration, target: &TargetId, effects: &mut Vec<Effect>) {
        let Some(member) = self.view.members.get(target).cloned() else {
            return;
        };
        let Some(watch) = self.watches.get_mut(target) else {
            return;
        };
        if watch
            .last_request
            .is_some_and(|asked| now < asked + self.timing.renew)
        {
            return;
        }
        watch.last_request = Some(now);
        let probe = Effect::Probe {
            target: target.clone(),
            address: member.address.clone(),
        };
        let grant = self.grant(now, target, &member);
        effects.push(grant.map_or(probe, |grant| Effect::Grant {
            target: target.clone(),
            address: member.address,
            grant,
        }));
    }

    /// Builds a grant, if this VM may renew the target and has a recent reading of its clock.
    fn grant(&self, now: Duration, target: &TargetId, member: &Member) -> Option<Grant> {
        let watch = self.watches.get(target)?;
        let state = watch.recent_state(now, self.timing.grant)?;
        let ignored = self.flaw == Flaw::BootIgnored;
        if member.fencing != Fencing::Checked
            || !self.may_renew(now, target, member)
            || (state.boot != member.boot && !ignored)
        {
            return None;
        }
        let owned = |entry: &&Entry| entry.chain.first() == Some(target);
        let claim = |entry: &Entry| Claim::new(entry.range, entry.epoch);
        let (moving, kept): (Vec<&Entry>, Vec<&Entry>) = self
            .view
            .ranges
            .iter()
            .filter(owned)
            .partition(|entry| entry.moving && self.flaw != Flaw::UnconfirmedMove);
        let span = self.timing.holder_span(self.timing.grant);
        Some(Grant {
            boot: state.boot.clone(),
            until_ms: state.clock_ms + u64::try_from(span.as_millis()).unwrap_or(0),
            ranges: kept.into_iter().map(claim).collect(),
            release: moving.into_iter().map(claim).collect(),
        })
    }

    /// Returns whether this VM may renew a target's grant now.
    pub(super) fn may_renew(&self, now: Duration, target: &str, member: &Member) -> bool {
        let stopped = |watch: &Watch| watch.own_stop.is_some() || watch.released;
        self.watches
            .get(target)
            .is_some_and(|watch| !stopped(watch))
            && !member.boot.is_empty()
            && self.has_authority(now, &member.domain)
    }
}
