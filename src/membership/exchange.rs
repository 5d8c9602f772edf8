//! Handling of requests from other processes and of the results of calls.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{
    Body, CallId, Effect, Membership, Message, Peer, Standing, Update, calls::Call, member::Member,
};

impl Membership {
    /// Processes a request from another process and responds to it.
    pub(super) fn asked(
        &mut self,
        now: Duration,
        call: CallId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let sender = message.sender.peer.clone();
        self.apply_message(now, &message, effects);
        let body = match message.body {
            Body::Relay(peer) => return self.probe_for(call, &peer, effects),
            Body::Compare(hashes) => Body::Members(self.view.differing(&hashes)),
            Body::Members(members) => {
                self.apply(now, &members, effects);
                Body::Answer
            }
            Body::Probe | Body::Answer | Body::Relayed(_) => Body::Answer,
        };
        let mut message = self.message_to(&sender, body);
        self.add_other(&mut message);
        effects.push(Effect::Answer { call, message });
    }

    /// Probes a member on behalf of another process, which gets its response afterwards.
    fn probe_for(&mut self, call: CallId, peer: &Peer, effects: &mut Vec<Effect>) {
        let message = self.message_to(peer, Body::Probe);
        let on_behalf = Call::OnBehalf(call);
        self.ask(
            on_behalf,
            &peer.address,
            message,
            self.timing.direct,
            effects,
        );
    }

    /// Processes the response to a call.
    pub(super) fn answered(
        &mut self,
        now: Duration,
        call: CallId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.swap_remove(&call) else {
            return;
        };
        let sender = message.sender.peer.clone();
        self.apply_message(now, &message, effects);
        match (call, message.body) {
            (Call::Probe(vm), _) if vm != sender.vm => self.declare_replaced(now, &vm, effects),
            (Call::Relay(vm), Body::Relayed(true)) => {
                self.relayed_probes.swap_remove(&vm);
            }
            (Call::Relay(vm), _) => self.helper_failed(now, &vm, effects),
            (Call::OnBehalf(asker), _) => self.report_probe(asker, true, effects),
            (Call::Contact(address), _) => self.reached(now, &address, &sender.vm, effects),
            (_, Body::Members(members)) => self.repair(now, &sender, &members, effects),
            _ => {}
        }
        if message.view != self.view.hash() {
            self.compare(now, &sender, effects);
        }
    }

    /// Processes the failure of a call.
    pub(super) fn failed(&mut self, now: Duration, call: CallId, effects: &mut Vec<Effect>) {
        match self.calls.swap_remove(&call) {
            Some(Call::Probe(vm)) => self.probe_through_others(now, &vm, effects),
            Some(Call::Relay(vm)) => self.helper_failed(now, &vm, effects),
            Some(Call::OnBehalf(asker)) => self.report_probe(asker, false, effects),
            Some(Call::Contact(_) | Call::Other) | None => {}
        }
    }

    /// Asks other members to probe a member that did not answer.
    fn probe_through_others(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(member) = self
            .view
            .get(vm)
            .filter(|it| it.standing < Standing::Suspect)
        else {
            return;
        };
        let peer = member.peer.clone();
        if self.relayed_probes.contains_key(vm) {
            return;
        }
        let mut helpers = self.others(self.timing.helpers + 1);
        helpers.retain(|helper| helper.vm != vm);
        helpers.truncate(self.timing.helpers);
        if helpers.is_empty() {
            return self.suspect(now, vm, effects);
        }
        self.relayed_probes.insert(vm.to_owned(), helpers.len());
        for helper in helpers {
            let message = self.message_to(&helper, Body::Relay(peer.clone()));
            let call = Call::Relay(vm.to_owned());
            self.ask(
                call,
                &helper.address,
                message,
                self.timing.indirect,
                effects,
            );
        }
    }

    /// Counts a helper that could not reach the member; suspects it once no helper is left.
    fn helper_failed(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(remaining) = self.relayed_probes.get_mut(vm) else {
            return;
        };
        *remaining = remaining.saturating_sub(1);
        if *remaining == 0 {
            self.relayed_probes.swap_remove(vm);
            self.suspect(now, vm, effects);
        }
    }

    /// Marks a present member as suspected.
    fn suspect(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(member) = self.view.get(vm).filter(|it| it.is_present()) else {
            return;
        };
        let mut update = member.update();
        update.standing = Standing::Suspect;
        self.learn(now, &update, effects);
    }

    /// Declares a member lost because a process with another identity answers at its address.
    fn declare_replaced(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(member) = self.view.get(vm).filter(|it| it.is_present()) else {
            return;
        };
        let mut update = member.update();
        update.standing = Standing::Gone;
        self.learn(now, &update, effects);
    }

    /// Reports the result of a probe to the process that asked for it.
    fn report_probe(&mut self, asker: CallId, answered: bool, effects: &mut Vec<Effect>) {
        let message = self.message(Body::Relayed(answered));
        effects.push(Effect::Answer {
            call: asker,
            message,
        });
    }

    /// Applies a peer's members and sends it those that are newer here.
    fn repair(
        &mut self,
        now: Duration,
        peer: &Peer,
        members: &[Update],
        effects: &mut Vec<Effect>,
    ) {
        self.apply(now, members, effects);
        let newer: Vec<Update> = self.newer_than(members);
        if newer.is_empty() {
            return;
        }
        let message = self.message_to(peer, Body::Members(newer));
        self.ask(
            Call::Other,
            &peer.address,
            message,
            self.timing.indirect,
            effects,
        );
    }

    /// Returns the eligible and lost members in the failure domains of `members` that are newer here.
    fn newer_than(&self, members: &[Update]) -> Vec<Update> {
        let domains: IndexSet<&str> = members.iter().map(|it| it.peer.domain.as_str()).collect();
        let theirs: IndexMap<&str, &Update> = members
            .iter()
            .map(|update| (update.peer.vm.as_str(), update))
            .collect();
        let is_newer = |update: &Update| {
            theirs.get(update.peer.vm.as_str()).is_none_or(|it| {
                (it.incarnation, it.standing) < (update.incarnation, update.standing)
            })
        };
        self.view
            .members()
            .filter(|it| domains.contains(it.peer.domain.as_str()))
            .filter(|it| !it.is_present() || it.is_eligible)
            .map(Member::update)
            .filter(is_newer)
            .collect()
    }

    /// Applies the updates in a message.
    fn apply_message(&mut self, now: Duration, message: &Message, effects: &mut Vec<Effect>) {
        self.replace_older_starts(now, &message.sender, effects);
        self.apply(now, std::slice::from_ref(&message.sender), effects);
        self.apply(now, &message.updates, effects);
    }

    /// Declares older starts at the sender's address lost, if the sender is new.
    fn replace_older_starts(&mut self, now: Duration, sender: &Update, effects: &mut Vec<Effect>) {
        if self.view.get(&sender.peer.vm).is_some() {
            return;
        }
        let older: Vec<String> = self
            .view
            .members()
            .filter(|it| it.peer.address == sender.peer.address && it.is_present())
            .map(|it| it.peer.vm.clone())
            .collect();
        for vm in older {
            self.declare_replaced(now, &vm, effects);
        }
    }

    /// Applies updates from a peer and refutes wrong ones about this process.
    fn apply(&mut self, now: Duration, updates: &[Update], effects: &mut Vec<Effect>) {
        let me = self.view.me().vm.clone();
        self.learn_all_but(now, updates, &me, effects);
        for update in updates.iter().filter(|it| it.peer.vm == me) {
            self.refute(now, update, effects);
        }
    }

    /// Applies updates except those about this process.
    fn learn_all_but(
        &mut self,
        now: Duration,
        updates: &[Update],
        me: &str,
        effects: &mut Vec<Effect>,
    ) {
        let others: Vec<Update> = updates
            .iter()
            .filter(|update| update.peer.vm != me)
            .cloned()
            .collect();
        self.learn_all(now, &others, effects);
    }

    /// Refutes a wrong update about this process with a higher incarnation.
    fn refute(&mut self, now: Duration, update: &Update, effects: &mut Vec<Effect>) {
        let mut own = self.view.own();
        if own.standing == Standing::Left || update.incarnation < own.incarnation {
            return;
        }
        let is_starting = self.started.is_some_and(|at| now < at + self.timing.lag);
        if update.standing == Standing::Leaving && !is_starting {
            return self.learn(now, update, effects);
        }
        if update.standing <= own.standing && update.incarnation == own.incarnation {
            return;
        }
        own.incarnation = update.incarnation + 1;
        self.learn(now, &own, effects);
    }
}
