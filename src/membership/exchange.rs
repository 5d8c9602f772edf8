//! What other processes ask, and how calls end.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{
    Body, CallId, Effect, Membership, Message, Peer, Standing, Update, calls::Call, member::Member,
};

impl Membership {
    /// Answers another process.
    pub(super) fn asked(
        &mut self,
        now: Duration,
        call: CallId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let sender = message.sender.peer.clone();
        self.hear(now, &message, effects);
        let body = match message.body {
            Body::Relay(peer) => return self.probe_for(call, &peer, effects),
            Body::Compare(hashes) => Body::Members(self.view.differing(&hashes)),
            Body::Members(members) => {
                self.take(now, &members, effects);
                Body::Answer
            }
            Body::Probe | Body::Answer | Body::Relayed(_) => Body::Answer,
        };
        let mut message = self.message_to(&sender, body);
        self.introduce(&mut message);
        effects.push(Effect::Answer { call, message });
    }

    /// Probes a member for another process, which gets its answer later.
    fn probe_for(&mut self, call: CallId, peer: &Peer, effects: &mut Vec<Effect>) {
        let message = self.message_to(peer, Body::Probe);
        let behalf = Call::Behalf(call);
        self.ask(behalf, &peer.address, message, self.timing.direct, effects);
    }

    /// Takes the answer to a call in.
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
        self.hear(now, &message, effects);
        match (call, message.body) {
            (Call::Probe(vm), _) if vm != sender.vm => self.replaced(now, &vm, effects),
            (Call::Relay(vm), Body::Relayed(true)) => {
                self.inquiries.swap_remove(&vm);
            }
            (Call::Relay(vm), _) => self.unheard(now, &vm, effects),
            (Call::Behalf(asker), _) => self.report(asker, true, effects),
            (Call::Contact(address), _) => self.reached(now, &address, &sender.vm, effects),
            (_, Body::Members(members)) => self.mend(now, &sender, &members, effects),
            _ => {}
        }
        if message.view != self.view.hash() {
            self.compare(now, &sender, effects);
        }
    }

    /// Takes the failure of a call in.
    pub(super) fn failed(&mut self, now: Duration, call: CallId, effects: &mut Vec<Effect>) {
        match self.calls.swap_remove(&call) {
            Some(Call::Probe(vm)) => self.inquire(now, &vm, effects),
            Some(Call::Relay(vm)) => self.unheard(now, &vm, effects),
            Some(Call::Behalf(asker)) => self.report(asker, false, effects),
            Some(Call::Contact(_) | Call::Other) | None => {}
        }
    }

    /// Has a member that failed to answer probed by others.
    fn inquire(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(member) = self
            .view
            .get(vm)
            .filter(|it| it.standing < Standing::Suspect)
        else {
            return;
        };
        let peer = member.peer.clone();
        if self.inquiries.contains_key(vm) {
            return;
        }
        let mut helpers = self.others(self.timing.helpers + 1);
        helpers.retain(|helper| helper.vm != vm);
        helpers.truncate(self.timing.helpers);
        if helpers.is_empty() {
            return self.suspect(now, vm, effects);
        }
        self.inquiries.insert(vm.to_owned(), helpers.len());
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

    /// Counts a helper that could not reach a member either.
    fn unheard(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(left) = self.inquiries.get_mut(vm) else {
            return;
        };
        *left = left.saturating_sub(1);
        if *left == 0 {
            self.inquiries.swap_remove(vm);
            self.suspect(now, vm, effects);
        }
    }

    /// Suspects a member.
    fn suspect(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(member) = self.view.get(vm).filter(|it| it.is_present()) else {
            return;
        };
        let mut update = member.update();
        update.standing = Standing::Suspect;
        self.learn(now, &update, effects);
    }

    /// Declares a member lost because another start answers at its address.
    fn replaced(&mut self, now: Duration, vm: &str, effects: &mut Vec<Effect>) {
        let Some(member) = self.view.get(vm).filter(|it| it.is_present()) else {
            return;
        };
        let mut update = member.update();
        update.standing = Standing::Gone;
        self.learn(now, &update, effects);
    }

    /// Answers one that asked for a probe.
    fn report(&mut self, asker: CallId, answered: bool, effects: &mut Vec<Effect>) {
        let message = self.message(Body::Relayed(answered));
        effects.push(Effect::Answer {
            call: asker,
            message,
        });
    }

    /// Takes a peer's members in and returns to it what it lacks.
    fn mend(&mut self, now: Duration, peer: &Peer, members: &[Update], effects: &mut Vec<Effect>) {
        self.take(now, members, effects);
        let news: Vec<Update> = self.newer_than(members);
        if news.is_empty() {
            return;
        }
        let message = self.message_to(peer, Body::Members(news));
        self.ask(
            Call::Other,
            &peer.address,
            message,
            self.timing.indirect,
            effects,
        );
    }

    /// Returns what is held of the failure domains of `members` beyond what they say.
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
            .filter(|it| !it.is_present() || it.is_duty)
            .map(Member::update)
            .filter(is_newer)
            .collect()
    }

    /// Takes a message's news in.
    fn hear(&mut self, now: Duration, message: &Message, effects: &mut Vec<Effect>) {
        self.settle_start(now, &message.sender, effects);
        self.take(now, std::slice::from_ref(&message.sender), effects);
        self.take(now, &message.updates, effects);
    }

    /// Declares older starts at the sender's address lost.
    fn settle_start(&mut self, now: Duration, sender: &Update, effects: &mut Vec<Effect>) {
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
            self.replaced(now, &vm, effects);
        }
    }

    /// Takes news from others in; news against this process is refuted.
    fn take(&mut self, now: Duration, updates: &[Update], effects: &mut Vec<Effect>) {
        let me = self.view.me().vm.clone();
        self.learn_others(now, updates, &me, effects);
        for update in updates.iter().filter(|it| it.peer.vm == me) {
            self.refute(now, update, effects);
        }
    }

    /// Takes news in, but for what is said of this process.
    fn learn_others(
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

    /// Answers news about this process with a higher incarnation where it is wrong.
    fn refute(&mut self, now: Duration, update: &Update, effects: &mut Vec<Effect>) {
        let mut own = self.view.own();
        if own.standing == Standing::Left || update.incarnation < own.incarnation {
            return;
        }
        let fresh = self.started.is_some_and(|at| now < at + self.timing.lag);
        if update.standing == Standing::Leaving && !fresh {
            return self.learn(now, update, effects);
        }
        if update.standing <= own.standing && update.incarnation == own.incarnation {
            return;
        }
        own.incarnation = update.incarnation + 1;
        self.learn(now, &own, effects);
    }
}
