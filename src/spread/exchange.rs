//! What stores ask of each other: comparisons, and items fetched.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    CallId, Digest, Effect, Id, Item, ItemVersion, Kind, Message,
    call::Call,
    store::{Held, Store, size},
};

/// Others remembered to have had nothing newer.
const MOST_AGREED: usize = 8;

impl Store {
    /// Fetches items that are not being fetched already.
    pub(super) fn fetch(&mut self, address: &str, mut ids: Vec<Id>, effects: &mut Vec<Effect>) {
        ids.retain(|id| !self.fetching.contains(id));
        ids.truncate(self.limits.list);
        if ids.is_empty() {
            return;
        }
        self.fetching.extend(ids.iter().cloned());
        let message = Message::Fetch(ids.clone());
        self.ask(Call::Fetch { ids }, address, message, effects);
    }

    /// Compares with another whose hash differs, if that is due.
    pub(super) fn compare(
        &mut self,
        now: Duration,
        address: String,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        if digest == self.digest() {
            self.agree(address);
            return;
        }
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + self.limits.compare;
        let message = Message::Compare(self.buckets.hashes());
        let target = address.clone();
        self.ask(Call::Compare { address }, &target, message, effects);
    }

    /// Notes that another process had nothing newer; one that has nothing at all says nothing.
    fn agree(&mut self, address: String) {
        if self.digest() != 0 && self.agreed.len() < MOST_AGREED {
            self.agreed.insert(address);
        }
    }

    /// Answers another process.
    pub(super) fn asked(
        &mut self,
        now: Duration,
        call: CallId,
        address: &str,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match message {
            Message::News(items) => {
                self.take(now, items, Some(address), effects);
                Message::Done
            }
            Message::Fetch(ids) => Message::News(self.give(now, &ids)),
            Message::Compare(hashes) => Message::Versions(self.differing(now, &hashes)),
            Message::Versions(_) | Message::Done => Message::Done,
        };
        effects.push(Effect::Answer {
            call,
            message: answer,
        });
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
        match (call, message) {
            (Call::Fetch { ids }, Message::News(items)) => {
                self.end_fetch(&ids);
                self.take(now, items, None, effects);
            }
            (Call::Fetch { ids }, _) => self.end_fetch(&ids),
            (Call::Compare { address }, Message::Versions(theirs)) => {
                self.settle(now, &address, &theirs, effects);
            }
            (Call::Compare { .. }, _) => {}
        }
    }

    /// Fetches what another has newer, and tells it what it lacks.
    fn settle(
        &mut self,
        now: Duration,
        address: &str,
        theirs: &[ItemVersion],
        effects: &mut Vec<Effect>,
    ) {
        let lacks = |known: &&ItemVersion| {
            self.version(&known.id)
                .is_none_or(|own| own < known.version)
        };
        let wanted: Vec<Id> = theirs
            .iter()
            .filter(lacks)
            .map(|known| known.id.clone())
            .collect();
        if wanted.is_empty() && theirs.len() < self.limits.list {
            self.agree(address.to_owned());
        }
        self.fetch(address, wanted, effects);
        let newer: Vec<Id> = theirs
            .iter()
            .filter(|known| self.version(&known.id) > Some(known.version))
            .map(|known| known.id.clone())
            .collect();
        let items: Vec<Item> = self
            .give(now, &newer)
            .iter()
            .map(|item| self.announcement(item))
            .collect();
        if items.is_empty() {
            return;
        }
        let call = Call::Fetch { ids: Vec::new() };
        self.ask(call, address, Message::News(items), effects);
    }

    /// Forgets a call that failed; the next comparison finds what it was for.
    pub(super) fn failed(&mut self, call: CallId) {
        if let Some(Call::Fetch { ids }) = self.calls.swap_remove(&call) {
            self.end_fetch(&ids);
        }
    }

    /// Notes that items are no longer being fetched.
    fn end_fetch(&mut self, ids: &[Id]) {
        for id in ids {
            self.fetching.swap_remove(id);
        }
    }

    /// Returns items up to the bound of an answer.
    fn give(&self, now: Duration, ids: &[Id]) -> Vec<Item> {
        let mut items = Vec::new();
        let mut total = 0;
        for id in ids {
            let Some(item) = self.offer(now, id) else {
                continue;
            };
            total += size(&item.content);
            if total > self.limits.answer && !items.is_empty() {
                break;
            }
            items.push(item);
        }
        items
    }

    /// Returns an item for another, unless it is about to end.
    fn offer(&self, now: Duration, id: &Id) -> Option<Item> {
        let held = self.items.get(id)?;
        let left = held.expires.map(|at| at.saturating_sub(now));
        if left.is_some_and(|left| left < self.limits.fading) {
            return None;
        }
        Some(Item {
            id: id.clone(),
            version: held.version,
            content: held.content.clone(),
            left,
        })
    }

    /// Returns the versions in the buckets where another's hashes differ.
    ///
    /// Where they are more than a message holds, each answer goes on where the last one ended.
    fn differing(&mut self, now: Duration, hashes: &IndexMap<Kind, Vec<u64>>) -> Vec<ItemVersion> {
        let fades = |held: &Held| held.expires.is_some_and(|at| at < now + self.limits.fading);
        let mut versions: Vec<ItemVersion> = self
            .items
            .iter()
            .filter(|(id, held)| self.buckets.differ(hashes, id) && !fades(held))
            .map(|(id, held)| ItemVersion {
                id: id.clone(),
                version: held.version,
            })
            .collect();
        if versions.len() > self.limits.list {
            let start = self.turn % versions.len();
            versions.rotate_left(start);
            versions.truncate(self.limits.list);
            self.turn = self.turn.wrapping_add(self.limits.list);
        }
        versions
    }

    /// Makes a call.
    fn ask(&mut self, call: Call, address: &str, message: Message, effects: &mut Vec<Effect>) {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        effects.push(Effect::Ask {
            call: self.next_call,
            address: address.to_owned(),
            message,
        });
    }
}
