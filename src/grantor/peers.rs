//! Permissions between grantors, and when a grantor may be replaced.
//!
//! A grantor may issue grants to a failure domain's targets only while it has a permission from
//! another grantor of that domain. A permission is a lease of less than a second. While permissions
//! are about to expire, a read of the record from the platform's service takes their place.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;

use crate::{
    grantor::{Effect, Grantor, Message, Peer, flaw::Flaw},
    group::{self, Record, build::Candidate, check},
    id::{DomainId, Version, VmId},
    key,
};

/// How many VMs of each failure domain are checked before one of them is named as a grantor.
const CANDIDATES_PER_DOMAIN: usize = 3;

impl Grantor {
    /// Requests permissions, and reads the record when permissions are about to expire.
    pub(super) fn tick_peers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.note_known_changes(now);
        self.tick_read(now, effects);
        if now < self.last_request + self.timing.permission_renew {
            return;
        }
        self.last_request = now;
        self.permissions.retain(|_, until| now < *until);
        let unresponsive_after = self.timing.unresponsive_after;
        self.answers.retain(|_, at| now < *at + unresponsive_after);
        self.excluded.retain(|_, until| now < *until);
        let others = self.other_grantor_vms();
        for vm in others.clone() {
            self.peers.entry(vm.clone()).or_insert_with(|| Peer {
                last_received: now,
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
        self.peers.retain(|vm, _| others.contains(vm));
        self.ask_candidates(now, effects);
    }

    /// Checks which VMs answer, if a grantor may soon have to be replaced or is missing.
    ///
    /// A fault that stops one VM may have stopped others, and a VM that is lost would block the next
    /// replacement if it were named.
    fn ask_candidates(&self, now: Duration, effects: &mut Vec<Effect>) {
        let half_timeout = self.timing.unresponsive_after / 2;
        let is_late = |peer: &Peer| now >= peer.last_received + half_timeout;
        let missing = |domain: &DomainId| self.grantors(domain).len() < check::MAX_GRANTORS;
        if !self.peers.values().any(is_late) && !self.domains().any(missing) {
            return;
        }
        for to in self.candidates_to_ask() {
            let message = Message::PermissionRequest {
                asked: now,
                version: self.version(),
                stops: Vec::new(),
            };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Returns the best few VMs of each failure domain that may be named as grantors.
    fn candidates_to_ask(&self) -> Vec<VmId> {
        let other = |live: &&Candidate| live.vm != self.vm && !self.peers.contains_key(&live.vm);
        let mut order: Vec<&Candidate> = self.live.iter().filter(other).collect();
        order.sort_by_cached_key(|live| Reverse(key::weight(&self.group, &live.vm)));
        let mut counts: IndexMap<&DomainId, usize> = IndexMap::new();
        order.retain(|live| {
            let count = counts.entry(&live.domain).or_default();
            *count += 1;
            *count <= CANDIDATES_PER_DOMAIN
        });
        order.into_iter().map(|live| live.vm.clone()).collect()
    }

    /// Reads the record while a failure domain's permissions are about to expire.
    fn tick_read(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let at = now + self.timing.permission / 2;
        let missing = self
            .domains()
            .any(|domain| !self.has_permission(at, domain));
        if missing && !self.retired && now >= self.last_read + self.timing.permission_renew {
            self.last_read = now;
            effects.push(Effect::Read { asked: now });
        }
    }

    /// Handles the result of this VM's own read of the record.
    ///
    /// For each failure domain whose grantors include this VM, the read allows it to grant, counted
    /// from when the read was sent.
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
        for (domain, grantors) in &record.grantors {
            if record.group == self.group && contains_vm(grantors, &self.vm) {
                let end = self.reads.entry(domain.clone()).or_default();
                *end = until.max(*end);
            }
        }
        self.on_record(now, version, record, effects);
    }

    /// Handles a message of another VM.
    pub(super) fn on_peer(
        &mut self,
        now: Duration,
        from: &VmId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_received = now;
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
                self.send_permission(now, from, asked, effects);
                self.on_version(now, from, version, effects);
            }
            Message::Permission {
                asked,
                version,
                domains,
            } => {
                self.on_permission(now, from, asked, domains);
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
            Message::Handover(handover) => {
                self.add_handover(now, handover);
                self.derive_handovers(now, effects);
            }
            Message::LeaseRequest { asked } => self.send_leases(now, from, asked, effects),
            Message::Lease { .. } => {}
        }
    }

    /// Gives another VM permission for each failure domain that both grant to by the newest known
    /// record.
    fn send_permission(
        &mut self,
        now: Duration,
        to: &VmId,
        asked: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let any = self.flaw == Flaw::PermissionForAnyone;
        let shared = |domain: &&DomainId| any || contains_vm(self.grantors(domain), to);
        let mut domains: Vec<DomainId> = self.domains().filter(shared).cloned().collect();
        if any {
            domains = self.view.grantors.keys().cloned().collect();
        }
        if self.retired {
            domains.clear();
        }
        if !domains.is_empty() && !any {
            let peer = self.peers.entry(to.clone()).or_default();
            peer.last_received = now;
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

    /// Takes over a permission; it lasts from when it was requested.
    fn on_permission(
        &mut self,
        now: Duration,
        from: &VmId,
        asked: Duration,
        domains: Vec<DomainId>,
    ) {
        let start = match self.flaw {
            Flaw::PermissionFromReceipt => now,
            _ => asked,
        };
        let until = start + self.timing.holder_span(self.timing.permission);
        for domain in domains {
            if contains_vm(self.grantors(&domain), from) {
                let end = self.permissions.entry((from.clone(), domain)).or_default();
                *end = until.max(*end);
            }
        }
    }

    /// Sends the newest record to a peer that has an older one, at most once per interval.
    fn on_version(
        &mut self,
        now: Duration,
        from: &VmId,
        theirs: Version,
        effects: &mut Vec<Effect>,
    ) {
        let interval = self.timing.permission_renew;
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.version = peer.version.max(theirs);
        let due = peer.record_sent.is_none_or(|sent| now >= sent + interval);
        if let Some((version, record)) = &self.record
            && *version > theirs
            && due
        {
            peer.record_sent = Some(now);
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

    /// Returns whether this VM may issue grants to a failure domain's targets now.
    pub(super) fn has_authority(&self, now: Duration, domain: &str) -> bool {
        if self.retired || !contains_vm(self.grantors(domain), &self.vm) {
            return false;
        }
        let read = self.reads.get(domain).is_some_and(|until| now < *until);
        read || self.has_permission(now, domain) || self.flaw == Flaw::NoPermission
    }

    /// Returns whether this VM has an unexpired permission from another grantor that the newest
    /// record names.
    fn has_permission(&self, now: Duration, domain: &str) -> bool {
        self.permissions.iter().any(|((vm, permitted), until)| {
            permitted == domain && now < *until && contains_vm(self.grantors(domain), vm)
        })
    }

    /// Records since when all grantors of a failure domain are known to have the last change of
    /// their list.
    ///
    /// From then on no grantor gives permissions to the removed ones.
    pub(super) fn note_known_changes(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.domains().cloned().collect();
        self.known_changes
            .retain(|domain, _| domains.contains(domain));
        for domain in domains {
            let Some(changed) = self.view.change_bases.get(&domain).copied() else {
                continue;
            };
            let known = self.known_changes.get(&domain).copied();
            let since = known.filter(|(at, _)| *at == changed);
            let since = since.and_then(|(_, since)| since);
            let skip_check = self.flaw == Flaw::ReplacementUnconfirmed;
            let all = || {
                let mut others = self.other_grantors(&domain).into_iter();
                others.all(|other| skip_check || self.knows_change(changed, &other.vm))
            };
            let since = since.or_else(|| all().then_some(now));
            self.known_changes.insert(domain, (changed, since));
        }
    }

    /// Returns whether a VM is known to have a newer record than this version.
    fn knows_change(&self, changed: Version, vm: &VmId) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|peer| peer.version > changed)
    }

    /// Returns when the permissions and reads of all replaced grantors of a failure domain have
    /// expired, if that is known.
    pub(super) fn replaced_expiry(&self, domain: &str) -> Option<Duration> {
        let Some(changed) = self.view.change_bases.get(domain) else {
            return Some(Duration::ZERO);
        };
        let (at, since) = self.known_changes.get(domain)?;
        let since = (*since).filter(|_| at == changed)?;
        if self.flaw == Flaw::ReplacementNoWait {
            return Some(Duration::ZERO);
        }
        Some(since + self.timing.issuer_span(self.timing.permission))
    }

    /// Returns whether a grantor may be replaced.
    ///
    /// It must have been unresponsive for long enough. In addition, all other grantors must know the
    /// previous replacement, so that none gives permissions to the grantor that it removed: else two
    /// replaced grantors could keep each other's permissions alive.
    pub(super) fn may_replace(&self, now: Duration, domain: &str, lost: &group::Grantor) -> bool {
        self.is_unresponsive(now, domain, lost) && self.is_change_known(domain)
    }

    /// Returns whether all other grantors of a failure domain know the last change of their list.
    pub(super) fn is_change_known(&self, domain: &str) -> bool {
        let changed = self.view.change_bases.get(domain);
        let knows = |other: &group::Grantor| {
            self.gone.contains(&other.vm)
                || changed.is_none_or(|changed| self.knows_change(*changed, &other.vm))
                || self.flaw == Flaw::ConcurrentReplacements
        };
        self.other_grantors(domain).iter().all(knows)
    }

    /// Returns whether a grantor has been unresponsive for long enough to be replaced.
    ///
    /// If this VM receives nothing from the other grantors either, it may be cut off itself, and
    /// waits longer so that the others decide first.
    fn is_unresponsive(&self, now: Duration, domain: &str, lost: &group::Grantor) -> bool {
        if self.gone.contains(&lost.vm) {
            return true;
        }
        let unresponsive_after = self.timing.unresponsive_after;
        let grantors = self.other_grantors(domain);
        let mut others = grantors.iter().filter(|other| other.vm != lost.vm);
        let timeout = if others.any(|other| self.receives_from(now, &other.vm)) {
            unresponsive_after
        } else {
            unresponsive_after + self.timing.isolated_wait
        };
        let peer = self.peers.get(&lost.vm);
        peer.is_some_and(|peer| now >= peer.last_received + timeout)
    }

    pub(super) fn receives_from(&self, now: Duration, vm: &VmId) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now < peer.last_received + self.timing.unresponsive_after)
    }

    /// Returns the other grantors of all failure domains that this VM grants to.
    fn all_other_grantors(&self) -> Vec<group::Grantor> {
        let mut all: Vec<group::Grantor> = Vec::new();
        let domains: Vec<DomainId> = self.domains().cloned().collect();
        for grantor in domains
            .iter()
            .flat_map(|domain| self.other_grantors(domain))
        {
            if !all.iter().any(|known| known.vm == grantor.vm) {
                all.push(grantor);
            }
        }
        all
    }

    fn other_grantor_vms(&self) -> Vec<VmId> {
        let all = self.all_other_grantors();
        all.into_iter().map(|grantor| grantor.vm).collect()
    }
}

/// Returns whether a VM is among these grantors.
fn contains_vm(grantors: &[group::Grantor], vm: &VmId) -> bool {
    grantors.iter().any(|grantor| grantor.vm == *vm)
}
