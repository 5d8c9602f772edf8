//! Words between grantors, reads for want of words, and who may be struck.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;

use crate::{
    grantor::{Effect, Grantor, Message, Peer, flaw::Flaw},
    group::{self, Record, build::Candidate, check},
    id::{DomainId, Version, VmId},
    key,
};

/// How many VMs of each failure domain are asked before one is named.
const NOMINEES: usize = 3;

impl Grantor {
    /// Asks for words, and reads the record where they run out.
    pub(super) fn tick_peers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.note_adopted(now);
        self.tick_read(now, effects);
        if now < self.asked + self.timing.permission_renew {
            return;
        }
        self.asked = now;
        self.words.retain(|_, until| now < *until);
        let hearing = self.timing.unresponsive_after;
        self.answers.retain(|_, at| now < *at + hearing);
        self.struck.retain(|_, until| now < *until);
        let fellows = self.fellow_vms();
        for vm in fellows.clone() {
            self.peers.entry(vm.clone()).or_insert_with(|| Peer {
                heard: now,
                ..Peer::default()
            });
            let stops = self.stops_for(&vm);
            let version = self.version();
            let message = Message::PermissionRequest {
                asked: now,
                version,
                stops,
            };
            effects.push(Effect::Send { to: vm, message });
        }
        self.peers.retain(|vm, _| fellows.contains(vm));
        self.ask_nominees(now, effects);
    }

    /// Finds out which VMs answer, once somebody may soon be wanted in a grantor's place.
    ///
    /// What takes one VM may have taken others, and one that is lost would block the next strike.
    fn ask_nominees(&self, now: Duration, effects: &mut Vec<Effect>) {
        let half = self.timing.unresponsive_after / 2;
        let silent = |peer: &Peer| now >= peer.heard + half;
        let short = |domain: &DomainId| self.trio(domain).len() < check::MAX_GRANTORS;
        if !self.peers.values().any(silent) && !self.domains().any(short) {
            return;
        }
        for to in self.nominees() {
            let message = Message::PermissionRequest {
                asked: now,
                version: self.version(),
                stops: Vec::new(),
            };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Returns the first few VMs of each failure domain that may be named.
    fn nominees(&self) -> Vec<VmId> {
        let other = |live: &&Candidate| live.vm != self.vm && !self.peers.contains_key(&live.vm);
        let mut order: Vec<&Candidate> = self.live.iter().filter(other).collect();
        order.sort_by_cached_key(|live| Reverse(key::weight(&self.group, &live.vm)));
        let mut counts: IndexMap<&DomainId, usize> = IndexMap::new();
        order.retain(|live| {
            let count = counts.entry(&live.domain).or_default();
            *count += 1;
            *count <= NOMINEES
        });
        order.into_iter().map(|live| live.vm.clone()).collect()
    }

    /// Reads the record while some failure domain's words are about to run out.
    fn tick_read(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let soon = now + self.timing.permission / 2;
        let short = self.domains().any(|domain| !self.has_word(soon, domain));
        if short && !self.retired && now >= self.read + self.timing.permission_renew {
            self.read = now;
            effects.push(Effect::Read { asked: now });
        }
    }

    /// Takes what an own read found: where it names this VM, it counts from when it was sent.
    pub(super) fn on_read(
        &mut self,
        now: Duration,
        asked: Duration,
        version: Version,
        record: Record,
        effects: &mut Vec<Effect>,
    ) {
        let from = match self.flaw {
            Flaw::ReadFromReceipt => now,
            _ => asked,
        };
        let until = from + self.timing.holder_span(self.timing.permission);
        for (domain, trio) in &record.grantors {
            if record.group == self.group && names(trio, &self.vm) {
                let end = self.reads.entry(domain.clone()).or_default();
                *end = until.max(*end);
            }
        }
        self.on_record(now, version, record, effects);
    }

    /// Takes a message of another VM.
    pub(super) fn on_peer(
        &mut self,
        now: Duration,
        from: &VmId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.heard = now;
        }
        match message {
            Message::PermissionRequest {
                asked,
                version,
                stops,
            } => {
                for stop in stops {
                    self.on_stop(now, from, stop);
                }
                self.give_word(now, from, asked, effects);
                self.on_version(now, from, version, effects);
            }
            Message::Permission {
                asked,
                version,
                domains,
            } => {
                self.on_word(now, from, asked, domains);
                self.answers.insert(from.clone(), now);
                self.on_version(now, from, version, effects);
            }
            Message::Withdraw {
                stop,
                unstopped_only,
            } => self.on_withdraw(from, stop, unstopped_only, effects),
            Message::Withdrawn { stop, unstopped } => {
                self.on_withdrawn(now, from, &stop, unstopped, effects);
            }
            Message::Record { version, record } => self.on_record(now, version, *record, effects),
            Message::Handover(fact) => {
                self.learn(now, fact);
                self.derive(now, effects);
            }
            Message::LeaseRequest { asked } => self.lease(now, from, asked, effects),
            Message::Lease { .. } => {}
        }
    }

    /// Gives a word for each trio that names both, by the newest record known.
    fn give_word(&mut self, now: Duration, to: &VmId, asked: Duration, effects: &mut Vec<Effect>) {
        let any = self.flaw == Flaw::PermissionForAnyone;
        let shared = |domain: &&DomainId| any || names(self.trio(domain), to);
        let mut domains: Vec<DomainId> = self.domains().filter(shared).cloned().collect();
        if any {
            domains = self.view.grantors.keys().cloned().collect();
        }
        if self.retired {
            domains.clear();
        }
        if !domains.is_empty() && !any {
            let peer = self.peers.entry(to.clone()).or_default();
            peer.heard = now;
        }
        let message = Message::Permission {
            asked,
            version: self.version(),
            domains,
        };
        effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    /// Takes a word, counted from when it was asked for.
    fn on_word(&mut self, now: Duration, from: &VmId, asked: Duration, domains: Vec<DomainId>) {
        let start = match self.flaw {
            Flaw::PermissionFromReceipt => now,
            _ => asked,
        };
        let until = start + self.timing.holder_span(self.timing.permission);
        for domain in domains {
            if names(self.trio(&domain), from) {
                let end = self.words.entry((from.clone(), domain)).or_default();
                *end = until.max(*end);
            }
        }
    }

    /// Sends the newest record to a peer that has an older one.
    fn on_version(
        &mut self,
        now: Duration,
        from: &VmId,
        theirs: Version,
        effects: &mut Vec<Effect>,
    ) {
        let pause = self.timing.permission_renew;
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.version = peer.version.max(theirs);
        let due = peer.updated.is_none_or(|updated| now >= updated + pause);
        if let Some((version, record)) = &self.record
            && *version > theirs
            && due
        {
            peer.updated = Some(now);
            let message = Message::Record {
                version: *version,
                record: Box::new(record.clone()),
            };
            effects.push(Effect::Send {
                to: from.clone(),
                message,
            });
        }
    }

    /// Returns whether this VM may grant to a failure domain's targets now.
    pub(super) fn has_authority(&self, now: Duration, domain: &str) -> bool {
        if self.retired || !names(self.trio(domain), &self.vm) {
            return false;
        }
        let read = self.reads.get(domain).is_some_and(|until| now < *until);
        read || self.has_word(now, domain) || self.flaw == Flaw::NoPermission
    }

    /// Returns whether a word of another that the newest record names holds.
    fn has_word(&self, now: Duration, domain: &str) -> bool {
        self.words.iter().any(|((vm, about), until)| {
            about == domain && now < *until && names(self.trio(domain), vm)
        })
    }

    /// Notes since when all that a trio names are known to have adopted its last change.
    ///
    /// From then on nobody gives words to those that it names no more.
    pub(super) fn note_adopted(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.domains().cloned().collect();
        self.adopted.retain(|domain, _| domains.contains(domain));
        for domain in domains {
            let Some(changed) = self.view.change_bases.get(&domain).copied() else {
                continue;
            };
            let known = self.adopted.get(&domain).copied();
            let since = known.filter(|(at, _)| *at == changed);
            let since = since.and_then(|(_, since)| since);
            let unasked = self.flaw == Flaw::ReplacementUnconfirmed;
            let all = || {
                let mut fellows = self.fellows(&domain).into_iter();
                fellows.all(|fellow| unasked || self.has_adopted(changed, &fellow.vm))
            };
            let since = since.or_else(|| all().then_some(now));
            self.adopted.insert(domain, (changed, since));
        }
    }

    /// Returns whether another is known to know a newer record than this version.
    fn has_adopted(&self, changed: Version, vm: &VmId) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|peer| peer.version > changed)
    }

    /// Returns when the words and reads of all that were struck from a trio have lapsed, if that
    /// is known.
    pub(super) fn lapse(&self, domain: &str) -> Option<Duration> {
        let Some(changed) = self.view.change_bases.get(domain) else {
            return Some(Duration::ZERO);
        };
        let (at, since) = self.adopted.get(domain)?;
        let since = (*since).filter(|_| at == changed)?;
        if self.flaw == Flaw::ReplacementNoWait {
            return Some(Duration::ZERO);
        }
        Some(since + self.timing.issuer_span(self.timing.permission))
    }

    /// Returns whether a grantor may be replaced.
    ///
    /// It has been missed for long enough; and nobody that it could hear gives words to one that
    /// was struck before it, else the two could keep each other alive.
    pub(super) fn may_strike(&self, now: Duration, domain: &str, lost: &group::Grantor) -> bool {
        self.misses(now, domain, lost) && self.is_settled(domain)
    }

    /// Returns whether all other grantors of a failure domain have adopted its trio's last change.
    pub(super) fn is_settled(&self, domain: &str) -> bool {
        let changed = self.view.change_bases.get(domain);
        let settled = |fellow: &group::Grantor| {
            self.gone.contains(&fellow.vm)
                || changed.is_none_or(|changed| self.has_adopted(*changed, &fellow.vm))
                || self.flaw == Flaw::ConcurrentReplacements
        };
        self.fellows(domain).iter().all(settled)
    }

    /// Returns whether a grantor has been silent for long enough to be replaced.
    ///
    /// Who hears no other either may itself be cut off, and leaves it to the others at first.
    fn misses(&self, now: Duration, domain: &str, lost: &group::Grantor) -> bool {
        if self.gone.contains(&lost.vm) {
            return true;
        }
        let hearing = self.timing.unresponsive_after;
        let fellows = self.fellows(domain);
        let mut others = fellows.iter().filter(|other| other.vm != lost.vm);
        let patience = if others.any(|other| self.hears_peer(now, &other.vm)) {
            hearing
        } else {
            hearing + self.timing.isolated_wait
        };
        let peer = self.peers.get(&lost.vm);
        peer.is_some_and(|peer| now >= peer.heard + patience)
    }

    pub(super) fn hears_peer(&self, now: Duration, vm: &VmId) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now < peer.heard + self.timing.unresponsive_after)
    }

    /// The other grantors of all failure domains that this VM grants to.
    fn fellow_grantors(&self) -> Vec<group::Grantor> {
        let mut all: Vec<group::Grantor> = Vec::new();
        let domains: Vec<DomainId> = self.domains().cloned().collect();
        for grantor in domains.iter().flat_map(|domain| self.fellows(domain)) {
            if !all.iter().any(|known| known.vm == grantor.vm) {
                all.push(grantor);
            }
        }
        all
    }

    fn fellow_vms(&self) -> Vec<VmId> {
        let all = self.fellow_grantors();
        all.into_iter().map(|grantor| grantor.vm).collect()
    }
}

/// Returns whether a trio names a VM.
fn names(trio: &[group::Grantor], vm: &VmId) -> bool {
    trio.iter().any(|grantor| grantor.vm == *vm)
}
