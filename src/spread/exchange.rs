//! The exchange between stores: comparing versions and fetching items.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    CallId, Digest, Effect, Id, Item, ItemVersion, Kind, Message,
    call::Call,
    store::{Store, StoredItem, size},
};

/// Maximum number of peers recorded as having had nothing newer.
const MAX_SYNCED: usize = 8;

impl Store {
    /// Fetches items, except those that are already being fetched.
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

    /// Compares versions with a peer whose hash differs, unless the last comparison was too recent.
    pub(super) fn compare(
        &mut self,
        now: Duration,
        address: String,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        if digest == self.digest() {
            self.record_synced(address);
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

    /// Records that a peer had nothing newer, unless this process holds no items: it can't conclude
    /// anything from that.
    fn record_synced(&mut self, address: String) {
        if self.digest() != 0 && self.synced.len() < MAX_SYNCED {
            self.synced.insert(address);
        }
    }

    /// Processes a request from another process and responds to it.
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
                self.apply(now, items, Some(address), effects);
                Message::Done
            }
            Message::Fetch(ids) => Message::News(self.items_for(now, &ids)),
            Message::Compare(hashes) => Message::Versions(self.differing(now, &hashes)),
            Message::Versions(_) | Message::Done => Message::Done,
        };
        effects.push(Effect::Answer {
            call,
            message: answer,
        });
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
        match (call, message) {
            (Call::Fetch { ids }, Message::News(items)) => {
                self.end_fetch(&ids);
                self.apply(now, items, None, effects);
            }
            (Call::Fetch { ids }, _) => self.end_fetch(&ids),
            (Call::Compare { address }, Message::Versions(theirs)) => {
                self.apply_versions(now, &address, &theirs, effects);
            }
            (Call::Compare { .. }, _) => {}
        }
    }

    /// Fetches the items that are newer at a peer and sends it those that are newer here.
    fn apply_versions(
        &mut self,
        now: Duration,
        address: &str,
        theirs: &[ItemVersion],
        effects: &mut Vec<Effect>,
    ) {
        let is_newer = |known: &&ItemVersion| {
            self.version(&known.id)
                .is_none_or(|own| own < known.version)
        };
        let wanted: Vec<Id> = theirs
            .iter()
            .filter(is_newer)
            .map(|known| known.id.clone())
            .collect();
        if wanted.is_empty() && theirs.len() < self.limits.list {
            self.record_synced(address.to_owned());
        }
        self.fetch(address, wanted, effects);
        let newer: Vec<Id> = theirs
            .iter()
            .filter(|known| self.version(&known.id) > Some(known.version))
            .map(|known| known.id.clone())
            .collect();
        let items: Vec<Item> = self
            .items_for(now, &newer)
            .iter()
            .map(|item| self.announcement(item))
            .collect();
        if items.is_empty() {
            return;
        }
        let call = Call::Fetch { ids: Vec::new() };
        self.ask(call, address, Message::News(items), effects);
    }

    /// Drops a failed call; the next comparison finds the same differences again.
    pub(super) fn failed(&mut self, call: CallId) {
        if let Some(Call::Fetch { ids }) = self.calls.swap_remove(&call) {
            self.end_fetch(&ids);
        }
    }

    /// Records that items are no longer being fetched.
    fn end_fetch(&mut self, ids: &[Id]) {
        for id in ids {
            self.fetching.swap_remove(id);
        }
    }

    /// Returns the requested items, up to the size limit of a response.
    fn items_for(&self, now: Duration, ids: &[Id]) -> Vec<Item> {
        let mut items = Vec::new();
        let mut total = 0;
        for id in ids {
            let Some(item) = self.item_for(now, id) else {
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

    /// Returns an item to send to a peer, unless it is about to expire.
    fn item_for(&self, now: Duration, id: &Id) -> Option<Item> {
        let stored = self.items.get(id)?;
        let left = stored.expires.map(|at| at.saturating_sub(now));
        if left.is_some_and(|left| left < self.limits.fading) {
            return None;
        }
        Some(Item {
            id: id.clone(),
            version: stored.version,
            content: stored.content.clone(),
            left,
        })
    }

    /// Returns the versions in the buckets where a peer's hashes differ.
    ///
    /// If they exceed the limit of a message, each response starts where the last one ended.
    fn differing(&mut self, now: Duration, hashes: &IndexMap<Kind, Vec<u64>>) -> Vec<ItemVersion> {
        let expires_soon = |stored: &StoredItem| {
            stored
                .expires
                .is_some_and(|at| at < now + self.limits.fading)
        };
        let mut versions: Vec<ItemVersion> = self
            .items
            .iter()
            .filter(|(id, stored)| self.buckets.differ(hashes, id) && !expires_soon(stored))
            .map(|(id, stored)| ItemVersion {
                id: id.clone(),
                version: stored.version,
            })
            .collect();
        if versions.len() > self.limits.list {
            let start = self.list_offset % versions.len();
            versions.rotate_left(start);
            versions.truncate(self.limits.list);
            self.list_offset = self.list_offset.wrapping_add(self.limits.list);
        }
        versions
    }

    /// Records a call and requests that it is sent.
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
