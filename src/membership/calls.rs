//! The calls that a process starts: probe rounds, attempts to reach unknown or lost processes, and
//! comparisons of views.

use std::time::Duration;

use indexmap::IndexSet;
use rand::{Rng, seq::SliceRandom};

use super::{
    Body, CallId, Effect, Listed, Membership, Message, Peer, Standing, Update, member::Member, name,
};
use crate::{id::VmId, key};

/// Without a tick for more than this many periods, the process counts as paused.
const PAUSE_PERIODS: u32 = 4;
/// Maximum number of addresses kept to contact.
const MAX_CONTACTS: usize = 64;
/// Addresses contacted at once while no other live member is known.
const INITIAL_CONTACTS: usize = 3;
/// Number of VMs in the whole fleet that contact an address in each
/// [`Timing::retry`](super::Timing::retry).
const CONTACTING_VMS: usize = 64;
/// Maximum length of the update queue.
const MAX_QUEUED_UPDATES: usize = 1024;
/// How often an update of an eligible member is sent, per doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 2;
/// How often an update of a present member is sent that is not eligible.
const OTHER_SENDS: usize = 3;

/// Why a call was made.
#[derive(Clone, Debug)]
pub(super) enum Call {
    /// Probes a member.
    Probe(VmId),
    /// Tries to reach a process that is not a live member.
    Contact(String),
    /// Asks another member to probe this one.
    Relay(VmId),
    /// Probes a member for another process; holds the number of that process's request.
    OnBehalf(CallId),
    /// Compares or repairs views, or announces that this process stops.
    Other,
}

/// An address to contact.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    /// `IP:port`.
    pub(super) address: String,
    /// Whether it came from the settings; these are never replaced by the platform's list.
    seed: bool,
    /// Whether it has answered.
    answered: bool,
}

impl Membership {
    /// Sends the probes that are due and declares losses.
    pub(super) fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.handle_pause(now);
        self.declare_losses(now, effects);
        if now < self.next_round {
            return;
        }
        self.clean_up(now);
        self.next_round = now + self.timing.period;
        for _ in 0..self.timing.probes {
            self.probe_next(effects);
        }
        self.contact_unreached(now, effects);
    }

    /// Drops old lost members and limits the update queue.
    fn clean_up(&mut self, now: Duration) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + self.timing.compare;
        self.view.drop_lost(now, self.timing.forget);
        self.queue.truncate(MAX_QUEUED_UPDATES);
    }

    /// After a pause of this process, forgets pending calls and extends suspicions: calls timed out
    /// because this process was paused, not because its peers failed.
    fn handle_pause(&mut self, now: Duration) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= self.timing.period * PAUSE_PERIODS {
            return;
        }
        self.calls
            .retain(|_, call| matches!(call, Call::OnBehalf(_)));
        self.relayed_probes.clear();
        self.view.extend_suspicions(gap);
    }

    /// Declares members lost that have been suspected long enough.
    fn declare_losses(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let doublings = self.view.fleet_size().max(16).ilog2();
        let timeout = self.timing.suspicion * doublings / 4;
        for mut update in self.view.suspected_for(now, timeout) {
            update.standing = Standing::Gone;
            self.learn(now, &update, effects);
        }
    }

    /// Probes the next member in the shuffled order.
    fn probe_next(&mut self, effects: &mut Vec<Effect>) {
        let Some(peer) = self.next_target() else {
            return;
        };
        let call = Call::Probe(peer.vm.clone());
        let message = self.message_to(&peer, Body::Probe);
        self.ask(call, &peer.address, message, self.timing.direct, effects);
    }

    /// Chooses the next member to probe, so that each VM of the fleet is probed equally often.
    ///
    /// Every VM knows the eligible members, but only a few know each of the others. Eligible members
    /// are therefore skipped with the probability that evens this out.
    fn next_target(&mut self) -> Option<Peer> {
        for _ in 0..self.view.len() {
            let Some(vm) = self.probe_order.pop() else {
                self.shuffle();
                continue;
            };
            let Some(member) = self.view.get(&vm).filter(|it| it.is_present()) else {
                continue;
            };
            if member.is_eligible && self.skips_eligible() {
                continue;
            }
            return self.view.get(&vm).map(|it| it.peer.clone());
        }
        None
    }

    /// Decides at random whether to skip an eligible member.
    pub(super) fn skips_eligible(&mut self) -> bool {
        if self.is_complete() {
            return false;
        }
        self.random.random_range(0..self.view.fleet_size()) >= self.timing.others.max(1)
    }

    /// Starts a new shuffled order of all present members.
    fn shuffle(&mut self) {
        let me = &self.view.me().vm;
        self.probe_order = self
            .view
            .members()
            .filter(|it| it.is_present() && it.peer.vm != *me)
            .map(|it| it.peer.vm.clone())
            .collect();
        self.probe_order.shuffle(&mut self.random);
    }

    /// Contacts addresses from the platform's list, the settings and lost members.
    fn contact_unreached(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if now < self.next_retry {
            return;
        }
        let is_alone = self.view.live_count() < 2;
        self.next_retry = now + self.retry_interval(is_alone);
        let mut addresses = self.unreached();
        addresses.shuffle(&mut self.random);
        let count = if is_alone { INITIAL_CONTACTS } else { 1 };
        for address in addresses.into_iter().take(count) {
            let message = self.message(Body::Probe);
            let call = Call::Contact(address.clone());
            self.ask(call, &address, message, self.timing.direct, effects);
        }
    }

    /// Returns the interval between two attempts, which grows with the fleet so that its total rate
    /// of attempts stays low.
    fn retry_interval(&self, is_alone: bool) -> Duration {
        if is_alone {
            return self.timing.period;
        }
        let share = (self.view.fleet_size() / CONTACTING_VMS).max(1);
        self.timing.retry * u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the addresses to contact: those that never answered, and those of lost members.
    ///
    /// A process with no other live member, or with a minority of its members present, also contacts
    /// addresses that have answered before.
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
        let is_cut_off = self.view.live_count() < 2 || self.view.is_minority();
        let mut addresses: IndexSet<String> = self
            .contacts
            .iter()
            .filter(|contact| is_cut_off || !contact.answered)
            .map(|contact| contact.address.clone())
            .chain(lost)
            .collect();
        addresses.retain(|address| !present.contains(address.as_str()));
        addresses.into_iter().collect()
    }

    /// Records that an address answered; lost members at this address were replaced by another start
    /// and are marked as stopped.
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

    /// Takes addresses to contact and draining VMs from the platform's list.
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
        let free = MAX_CONTACTS.saturating_sub(self.contacts.len());
        let contacts = listed.into_iter().take(free).map(|it| Contact {
            address: it.address.clone(),
            seed: false,
            answered: answered.contains(&it.address),
        });
        self.contacts.extend(contacts);
        self.mark_leaving(now, list, effects);
    }

    /// Marks live members as leaving when the platform's list newly shows their VM as leaving.
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

    /// Adds seed addresses from the settings.
    pub(super) fn seeds(&mut self, seeds: Vec<String>) {
        let me = self.view.me().address.clone();
        let seeds = seeds.into_iter().filter(|seed| *seed != me);
        self.contacts.extend(seeds.map(|address| Contact {
            address,
            seed: true,
            answered: false,
        }));
        self.contacts.truncate(MAX_CONTACTS);
    }

    /// Announces that this process is leaving or has stopped.
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

    /// Tells a few members directly that this process stops, since it sends no more probes.
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

    /// Compares views with a peer whose hash differs, unless the last comparison was too recent.
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

    /// Returns up to `count` random members that are live or leaving, this process excluded.
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

    /// Applies an update and passes it on if it changed the view.
    pub(super) fn learn(&mut self, now: Duration, update: &Update, effects: &mut Vec<Effect>) {
        self.learn_all(now, std::slice::from_ref(update), effects);
    }

    /// Applies updates and passes on those that changed the view.
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

    /// Returns how often to send an update: enough to reach every VM if all keep the member, else a
    /// few times.
    fn sends(&self, update: &Update) -> usize {
        let doublings = (self.view.fleet_size() + 1).ilog2() + 1;
        let is_known_to_all = self.is_complete() || self.view.is_eligible(&update.peer.vm);
        if is_known_to_all || update.standing > Standing::Suspect {
            (doublings * SENDS_PER_DOUBLING) as usize
        } else {
            OTHER_SENDS
        }
    }

    /// Returns whether the view contains nearly the whole fleet.
    fn is_complete(&self) -> bool {
        self.view.fleet_size() <= self.view.live_count() * 5 / 4
    }

    /// Builds a message with queued updates.
    pub(super) fn message(&mut self, body: Body) -> Message {
        Message {
            sender: self.view.own(),
            view: self.view.hash(),
            body,
            updates: self.queue.take(self.timing.updates),
        }
    }

    /// Builds a message that also tells the receiver if it is suspected or declared lost here, so that
    /// it can refute that.
    pub(super) fn message_to(&mut self, peer: &Peer, body: Body) -> Message {
        let mut message = self.message(body);
        let known = self.view.get(&peer.vm).map(Member::update);
        message
            .updates
            .extend(known.filter(|update| update.standing > Standing::Leaving));
        message
    }

    /// Adds another member to a response if the view is incomplete, so that processes learn of
    /// members that they don't keep.
    pub(super) fn add_other(&mut self, message: &mut Message) {
        if self.is_complete() || message.updates.len() >= self.timing.updates {
            return;
        }
        let start = self.random.random_range(0..self.view.len());
        let chosen = self.view.other_from(start);
        message.updates.extend(chosen);
    }

    /// Records a call and requests that it is sent.
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
