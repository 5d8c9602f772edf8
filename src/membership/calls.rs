//! The calls a process makes of itself: rounds of probes, attempts to reach, comparisons.

use std::time::Duration;

use indexmap::IndexSet;
use rand::{Rng, seq::SliceRandom};

use super::{
    Body, CallId, Effect, Listed, Membership, Message, Peer, Standing, Update, member::Member, name,
};
use crate::{id::VmId, key};

/// A process that has not run for so many periods was paused.
const PAUSED: u32 = 4;
/// Addresses kept to be tried.
const MOST_CONTACTS: usize = 64;
/// Attempts at once while no other member is known.
const FIRST_CONTACTS: usize = 3;
/// VMs of the fleet that try an address every [`Timing::retry`](super::Timing::retry).
const CONTACTING: usize = 64;
/// News waits in a queue of at most this length.
const MOST_NEWS: usize = 1024;
/// How often an update of a duty member is sent, for each doubling of the fleet.
const SENDS: u32 = 2;
/// How often an update of a further member is sent.
const FEW_SENDS: usize = 3;

/// Why a call was made.
#[derive(Clone, Debug)]
pub(super) enum Call {
    /// To see whether a member is there.
    Probe(VmId),
    /// To reach a process that is not a live member.
    Contact(String),
    /// To have a member probed by another.
    Relay(VmId),
    /// To probe a member for another, who numbered its call so.
    Behalf(CallId),
    /// To compare or mend views, or to say a word.
    Other,
}

/// An address to be tried.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    /// `IP:port`.
    pub(super) address: String,
    /// Whether it came from the settings; these stay.
    seed: bool,
    /// Whether it has answered.
    answered: bool,
}

impl Membership {
    /// Runs what is due.
    pub(super) fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.notice_pause(now);
        self.declare_losses(now, effects);
        if now < self.next_round {
            return;
        }
        self.forget(now);
        self.next_round = now + self.timing.period;
        for _ in 0..self.timing.probes {
            self.probe_next(effects);
        }
        self.try_contacts(now, effects);
    }

    /// Drops old losses and too much news.
    fn forget(&mut self, now: Duration) {
        if now < self.next_forget {
            return;
        }
        self.next_forget = now + self.timing.compare;
        self.view.forget(now, self.timing.forget);
        self.queue.bound(MOST_NEWS);
    }

    /// After a pause, forgets calls and suspicions that ran out meanwhile: the fault was here.
    fn notice_pause(&mut self, now: Duration) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= self.timing.period * PAUSED {
            return;
        }
        self.calls.retain(|_, call| matches!(call, Call::Behalf(_)));
        self.inquiries.clear();
        self.view.postpone(gap);
    }

    /// Turns suspicions that stood long enough into losses.
    fn declare_losses(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let doublings = self.view.fleet_size().max(16).ilog2();
        let patience = self.timing.suspicion * doublings / 4;
        for mut update in self.view.overdue(now, patience) {
            update.standing = Standing::Gone;
            self.learn(now, &update, effects);
        }
    }

    /// Probes the next member of a shuffled round.
    fn probe_next(&mut self, effects: &mut Vec<Effect>) {
        let Some(peer) = self.next_target() else {
            return;
        };
        let call = Call::Probe(peer.vm.clone());
        let message = self.message_to(&peer, Body::Probe);
        self.ask(call, &peer.address, message, self.timing.direct, effects);
    }

    /// Chooses whom to probe, so that each VM of the fleet is probed equally often.
    ///
    /// All know the duty members, few know each of the others: a duty member is passed over as
    /// often as it would be probed too much.
    fn next_target(&mut self) -> Option<Peer> {
        for _ in 0..self.view.len() {
            let Some(vm) = self.order.pop() else {
                self.shuffle();
                continue;
            };
            let Some(member) = self.view.get(&vm).filter(|it| it.is_present()) else {
                continue;
            };
            if member.is_duty && self.passes_over() {
                continue;
            }
            return self.view.get(&vm).map(|it| it.peer.clone());
        }
        None
    }

    /// Decides at random whether a duty member is passed over.
    pub(super) fn passes_over(&mut self) -> bool {
        if self.is_whole() {
            return false;
        }
        self.random.random_range(0..self.view.fleet_size()) >= self.timing.others.max(1)
    }

    /// Starts a new round over all present members.
    fn shuffle(&mut self) {
        let me = &self.view.me().vm;
        self.order = self
            .view
            .members()
            .filter(|it| it.is_present() && it.peer.vm != *me)
            .map(|it| it.peer.vm.clone())
            .collect();
        self.order.shuffle(&mut self.random);
    }

    /// Tries addresses of the list, the settings and of lost members.
    fn try_contacts(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if now < self.next_retry {
            return;
        }
        let alone = self.view.live_count() < 2;
        self.next_retry = now + self.retry(alone);
        let mut addresses = self.unreached();
        addresses.shuffle(&mut self.random);
        let count = if alone { FIRST_CONTACTS } else { 1 };
        for address in addresses.into_iter().take(count) {
            let message = self.message(Body::Probe);
            let call = Call::Contact(address.clone());
            self.ask(call, &address, message, self.timing.direct, effects);
        }
    }

    /// Returns the wait between two attempts; the fleet's attempts together stay few.
    fn retry(&self, alone: bool) -> Duration {
        if alone {
            return self.timing.period;
        }
        let share = (self.view.fleet_size() / CONTACTING).max(1);
        self.timing.retry * u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the addresses to try: those that never answered, and those of lost members.
    ///
    /// A process that hears of few others tries those again that have answered before.
    fn unreached(&self) -> Vec<String> {
        let present: IndexSet<&str> = self
            .view
            .members()
            .filter(|it| it.is_present())
            .map(|it| it.peer.address.as_str())
            .collect();
        let lost = self
            .view
            .members()
            .filter(|it| it.standing == Standing::Gone)
            .map(|it| it.peer.address.clone());
        let cut_off = self.view.live_count() < 2 || self.view.is_minority();
        let mut addresses: IndexSet<String> = self
            .contacts
            .iter()
            .filter(|contact| cut_off || !contact.answered)
            .map(|contact| contact.address.clone())
            .chain(lost)
            .collect();
        addresses.retain(|address| !present.contains(address.as_str()));
        addresses.into_iter().collect()
    }

    /// Notes that an address answered; a lost member that stood there was replaced for good.
    pub(super) fn reached(
        &mut self,
        now: Duration,
        address: &str,
        vm: &str,
        effects: &mut Vec<Effect>,
    ) {
        for contact in &mut self.contacts {
            contact.answered |= contact.address == address;
        }
        let replaced: Vec<Update> = self
            .view
            .members()
            .filter(|it| it.standing == Standing::Gone && it.peer.address == address)
            .filter(|it| it.peer.vm != vm)
            .map(Member::update)
            .collect();
        for mut update in replaced {
            update.standing = Standing::Left;
            self.learn(now, &update, effects);
        }
    }

    /// Takes the platform's list in: addresses to try, and who is leaving.
    pub(super) fn list(&mut self, now: Duration, list: &[Listed], effects: &mut Vec<Effect>) {
        let me = self.view.me().vm.clone();
        let mut listed: Vec<&Listed> = list.iter().filter(|it| !it.leaving).collect();
        listed.sort_by_cached_key(|it| key::weight(&me, &it.name));
        let answered: IndexSet<String> = self
            .contacts
            .iter()
            .filter(|contact| contact.answered)
            .map(|contact| contact.address.clone())
            .collect();
        self.contacts.retain(|contact| contact.seed);
        let room = MOST_CONTACTS.saturating_sub(self.contacts.len());
        let contacts = listed.into_iter().take(room).map(|it| Contact {
            address: it.address.clone(),
            seed: false,
            answered: answered.contains(&it.address),
        });
        self.contacts.extend(contacts);
        self.mark_leaving(now, list, effects);
    }

    /// Says of members that the list newly shows as leaving that they are.
    fn mark_leaving(&mut self, now: Duration, list: &[Listed], effects: &mut Vec<Effect>) {
        let leaving: IndexSet<String> = list
            .iter()
            .filter(|it| it.leaving)
            .map(|it| it.name.clone())
            .collect();
        let marked: Vec<Update> = self
            .view
            .members()
            .filter(|it| it.standing == Standing::Live)
            .filter(|it| leaving.contains(name(&it.peer.vm)))
            .filter(|it| !self.leaving.contains(name(&it.peer.vm)))
            .map(Member::update)
            .collect();
        self.leaving = leaving;
        for mut update in marked {
            update.standing = Standing::Leaving;
            self.learn(now, &update, effects);
        }
    }

    /// Takes addresses from the settings in.
    pub(super) fn seeds(&mut self, seeds: Vec<String>) {
        let me = self.view.me().address.clone();
        let seeds = seeds.into_iter().filter(|seed| *seed != me);
        self.contacts.extend(seeds.map(|address| Contact {
            address,
            seed: true,
            answered: false,
        }));
        self.contacts.truncate(MOST_CONTACTS);
    }

    /// Says of this process that it is leaving or has left.
    pub(super) fn announce(
        &mut self,
        now: Duration,
        standing: Standing,
        effects: &mut Vec<Effect>,
    ) {
        let mut own = self.view.own();
        own.standing = standing;
        self.learn(now, &own, effects);
    }

    /// Says that this process ends, to a few members at once: it sends no more probes.
    pub(super) fn stop(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.announce(now, Standing::Left, effects);
        for peer in self.others(self.timing.helpers * 2) {
            let message = self.message_to(&peer, Body::Probe);
            self.ask(
                Call::Other,
                &peer.address,
                message,
                self.timing.direct,
                effects,
            );
        }
    }

    /// Compares views with a peer whose hash differs, if that is due.
    pub(super) fn compare(&mut self, now: Duration, peer: &Peer, effects: &mut Vec<Effect>) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + self.timing.compare;
        let message = self.message_to(peer, Body::Compare(self.view.hashes()));
        self.ask(
            Call::Other,
            &peer.address,
            message,
            self.timing.indirect,
            effects,
        );
    }

    /// Returns up to `count` present members at random.
    pub(super) fn others(&mut self, count: usize) -> Vec<Peer> {
        let me = &self.view.me().vm;
        let mut others: Vec<Peer> = self
            .view
            .members()
            .filter(|it| it.standing <= Standing::Leaving && it.peer.vm != *me)
            .map(|it| it.peer.clone())
            .collect();
        others.shuffle(&mut self.random);
        others.truncate(count);
        others
    }

    /// Takes one piece of news in, and passes it on if it changed anything.
    pub(super) fn learn(&mut self, now: Duration, update: &Update, effects: &mut Vec<Effect>) {
        self.learn_all(now, std::slice::from_ref(update), effects);
    }

    /// Takes news in, and passes on what changed anything.
    pub(super) fn learn_all(
        &mut self,
        now: Duration,
        updates: &[Update],
        effects: &mut Vec<Effect>,
    ) {
        for update in self.view.merge(now, self.timing.hold, updates) {
            let times = self.sends(&update);
            self.queue.push(update.clone(), times);
            effects.push(Effect::Changed(update));
        }
    }

    /// Returns how often an update is to be sent: to all where all hold the member, else to a few.
    fn sends(&self, update: &Update) -> usize {
        let doublings = (self.view.fleet_size() + 1).ilog2() + 1;
        let is_for_all = self.is_whole() || self.view.is_duty(&update.peer.vm);
        if is_for_all || update.standing > Standing::Suspect {
            (doublings * SENDS) as usize
        } else {
            FEW_SENDS
        }
    }

    /// Returns whether the view holds about the whole fleet.
    fn is_whole(&self) -> bool {
        self.view.fleet_size() <= self.view.live_count() * 5 / 4
    }

    /// Makes a message with the news that is due.
    pub(super) fn message(&mut self, body: Body) -> Message {
        Message {
            sender: self.view.own(),
            view: self.view.hash(),
            body,
            updates: self.queue.take(self.timing.updates),
        }
    }

    /// Makes a message that also tells the receiver what is held against it.
    pub(super) fn message_to(&mut self, peer: &Peer, body: Body) -> Message {
        let mut message = self.message(body);
        let held = self.view.get(&peer.vm).map(Member::update);
        message
            .updates
            .extend(held.filter(|update| update.standing > Standing::Leaving));
        message
    }

    /// Adds a further member to an answer where views are not whole, so that all hear of others.
    pub(super) fn introduce(&mut self, message: &mut Message) {
        if self.is_whole() || message.updates.len() >= self.timing.updates {
            return;
        }
        let start = self.random.random_range(0..self.view.len());
        let chosen = self.view.further_from(start);
        message.updates.extend(chosen);
    }

    /// Makes a call.
    pub(super) fn ask(
        &mut self,
        call: Call,
        address: &str,
        message: Message,
        within: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        effects.push(Effect::Ask {
            call: self.next_call,
            address: address.to_owned(),
            message,
            within,
        });
    }
}
