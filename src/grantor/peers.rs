//! Words between grantors, and how a lost one is struck.

use std::time::Duration;

use crate::{
    grantor::{Effect, Grantor, Kind, Message, Peer, flaw::Flaw, note},
    group,
    id::{DomainId, Version, VmId},
};

/// The most sessions remembered as over.
const ENDED: usize = 1024;

impl Grantor {
    /// Asks for words, and looks after silent peers.
    pub(super) fn tick_peers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if now < self.asked + self.timing.word_ask {
            return;
        }
        self.asked = now;
        for vm in self.fellow_vms() {
            self.peers.entry(vm.clone()).or_insert_with(|| Peer {
                heard: now,
                given: Some(now),
                ..Peer::default()
            });
            let stops = self.stops_for(&vm);
            let version = self.version();
            let message = Message::Ask {
                asked: now,
                version,
                stops,
            };
            effects.push(Effect::Send { to: vm, message });
        }
        let known = self.fellow_vms();
        self.peers.retain(|vm, _| known.contains(vm));
        for grantor in self.fellow_grantors() {
            self.tick_silent(now, &grantor, effects);
        }
    }

    /// Asks for the session of a silent peer, and withholds words once it is over.
    fn tick_silent(&mut self, now: Duration, grantor: &group::Grantor, effects: &mut Vec<Effect>) {
        if self.hears_peer(now, &grantor.vm) {
            return;
        }
        if self.withholds(grantor) {
            self.tell_withheld(now, grantor, effects);
            return;
        }
        let never = grantor.session.is_empty();
        let waited = self
            .peers
            .get(&grantor.vm)
            .is_some_and(|peer| now >= peer.heard + self.timing.session + self.timing.session);
        let early = self.flaw == Flaw::EarlyStrike;
        if early || self.ended.contains(&grantor.session) || (never && waited) {
            let session = grantor.session.clone();
            if let Some(peer) = self.peers.get_mut(&grantor.vm) {
                peer.withheld = Some(session);
            }
            self.words.retain(|(vm, _), _| *vm != grantor.vm);
            effects.push(note(Kind::Withhold, &grantor.vm, grantor.session.clone()));
            self.tell_withheld(now, grantor, effects);
        } else if !never {
            effects.push(Effect::AskSession {
                grantor: grantor.clone(),
            });
        }
    }

    /// Tells the others that words are withheld from a grantor.
    fn tell_withheld(&self, now: Duration, grantor: &group::Grantor, effects: &mut Vec<Effect>) {
        let given = self.peers.get(&grantor.vm).and_then(|peer| peer.given);
        let age = given.map_or(self.timing.word * 2, |given| now.saturating_sub(given));
        for vm in self.fellow_vms().into_iter().filter(|vm| *vm != grantor.vm) {
            let message = Message::Withhold {
                grantor: grantor.clone(),
                age: self.timing.shorter(age),
            };
            effects.push(Effect::Send { to: vm, message });
        }
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
            Message::Ask {
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
            Message::Word {
                asked,
                version,
                domains,
            } => {
                self.on_word(from, asked, domains);
                self.on_version(now, from, version, effects);
            }
            Message::Withdraw { stop, needs } => self.on_withdraw(from, stop, needs, effects),
            Message::Withdrawn { stop, clean } => {
                self.on_withdrawn(now, from, &stop, clean, effects);
            }
            Message::Withhold { grantor, age } => self.on_withhold(now, from, grantor, age),
            Message::Record { version, record } => self.on_record(now, version, *record, effects),
            Message::Handover(fact) => {
                self.learn(now, fact);
                self.derive(now, effects);
            }
            Message::LeaseAsk { asked } => self.lease(now, from, asked, effects),
            Message::Lease { .. } => {}
        }
    }

    /// Gives a word to a grantor that the newest record names, unless it is withheld.
    fn give_word(&mut self, now: Duration, to: &VmId, asked: Duration, effects: &mut Vec<Effect>) {
        let shared = |domain: &&DomainId| {
            let named = self.trio(domain).iter().find(|grantor| grantor.vm == *to);
            named.is_some_and(|grantor| !self.withholds(grantor))
        };
        let domains: Vec<DomainId> = self.domains().filter(shared).cloned().collect();
        if let Some(peer) = self.peers.get_mut(to)
            && !domains.is_empty()
        {
            peer.given = Some(now);
        } else if !domains.is_empty() {
            let peer = Peer {
                heard: now,
                given: Some(now),
                ..Peer::default()
            };
            self.peers.insert(to.clone(), peer);
        }
        let message = Message::Word {
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
    fn on_word(&mut self, from: &VmId, asked: Duration, domains: Vec<DomainId>) {
        let until = asked + self.timing.shorter(self.timing.word);
        for domain in domains {
            let giver = self
                .trio(&domain)
                .iter()
                .find(|grantor| grantor.vm == *from);
            if giver.is_none_or(|giver| self.withholds(giver)) {
                continue;
            }
            let end = self.words.entry((from.clone(), domain)).or_default();
            *end = until.max(*end);
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
        let pause = self.timing.word_ask;
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

    /// Notes from when on another's withholding counts: once its last word has lapsed.
    fn on_withhold(&mut self, now: Duration, from: &VmId, about: group::Grantor, age: Duration) {
        let from_now = self.timing.longer(self.timing.word).saturating_sub(age);
        if let Some(peer) = self.peers.get_mut(from) {
            let ready = now + from_now;
            let known = peer
                .withholds
                .entry((about.vm, about.session))
                .or_insert(ready);
            *known = ready.min(*known);
        }
    }

    /// Returns whether this VM may grant to a failure domain's targets now.
    pub(super) fn has_authority(&self, now: Duration, domain: &str) -> bool {
        let Some(myself) = self.myself(domain) else {
            return false;
        };
        if self.retired {
            return false;
        }
        if self.flaw == Flaw::WordIgnored || self.trio(domain).len() == 1 {
            return true;
        }
        self.session_lives(now, myself) || self.has_word(now, domain)
    }

    /// Only the session that the record names counts: strikers look at that one.
    fn session_lives(&self, now: Duration, myself: &group::Grantor) -> bool {
        let session = self.timing.session;
        let margin = session.saturating_sub(self.timing.shorter(session));
        let live =
            |(id, until): &(String, Duration)| *id == myself.session && now + margin < *until;
        self.session.as_ref().is_some_and(live)
    }

    fn has_word(&self, now: Duration, domain: &str) -> bool {
        let fellow = |vm: &VmId| self.trio(domain).iter().any(|grantor| grantor.vm == *vm);
        self.words
            .iter()
            .any(|((vm, about), until)| about == domain && now < *until && fellow(vm))
    }

    /// Returns whether a grantor of the failure domain may be replaced: it is certain that it
    /// grants no more.
    pub(super) fn may_strike(&self, now: Duration, domain: &str, lost: &group::Grantor) -> bool {
        if self.gone.contains(&lost.vm) {
            return self.ended.contains(&lost.session) || lost.session.is_empty();
        }
        if self.myself(domain).is_none() || !self.withholds(lost) {
            return false;
        }
        if self.flaw == Flaw::WordsLive {
            return true;
        }
        let word = self.timing.longer(self.timing.word);
        let given = self.peers.get(&lost.vm).and_then(|peer| peer.given);
        let own = given.is_none_or(|given| now >= given + word);
        let about = (lost.vm.clone(), lost.session.clone());
        let withheld = |other: &group::Grantor| {
            let peer = self.peers.get(&other.vm);
            let ready = peer.and_then(|peer| peer.withholds.get(&about));
            ready.is_some_and(|ready| now >= *ready)
        };
        let others = self.fellows(domain);
        own && others
            .iter()
            .filter(|other| other.vm != lost.vm && !self.gone.contains(&other.vm))
            .all(withheld)
    }

    /// Returns whether words are withheld from a grantor under the session that is named.
    pub(super) fn withholds(&self, grantor: &group::Grantor) -> bool {
        let peer = self.peers.get(&grantor.vm);
        peer.is_some_and(|peer| peer.withheld.as_ref() == Some(&grantor.session))
    }

    pub(super) fn hears_peer(&self, now: Duration, vm: &VmId) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now < peer.heard + self.timing.hearing)
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

    /// Forgets old sessions, so that the memory of them stays small.
    pub(super) fn trim_ended(&mut self) {
        while self.ended.len() > ENDED {
            self.ended.shift_remove_index(0);
        }
    }
}
