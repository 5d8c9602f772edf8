//! Calls to the platform's service: lists, watches, values, and the list of VMs.

use std::time::Duration;

use hyper::body::Bytes;

use super::{FleetTask, Message, items};
use crate::{
    entry::{orders, ticket},
    gossip::Event,
    id::Version,
    membership::{Listed, Standing, Update},
    platform,
    spread::{Id, Item, Kind},
    timeline::{self, Duty},
    vm::owners,
    watcher,
};

/// Interval at which a VM that is not a watcher reads the platform's list of VMs.
const LIST_PERIOD: Duration = Duration::from_secs(30);
/// Interval at which a watcher, or a VM that suspects a member, reads the list.
const SHORT_LIST_PERIOD: Duration = Duration::from_secs(1);
/// How long a watcher's heartbeat item is kept.
const HEARTBEAT_TTL: Duration = Duration::from_mins(2);

impl FleetTask {
    pub(super) fn watch(&mut self, event: watcher::Event) {
        for effect in self.watcher.on(self.parts.clock.now(), event) {
            match effect {
                watcher::Effect::List => self.list(None),
                watcher::Effect::Watch(since) => self.list(Some(since)),
                watcher::Effect::Read(change) => self.read(change),
                watcher::Effect::Removed(change) => self.removed(&change),
                watcher::Effect::Heartbeat => self.publish_heartbeat(),
                watcher::Effect::Reachable(is_reached) => {
                    let kind = if is_reached {
                        timeline::Kind::PlatformBack
                    } else {
                        timeline::Kind::PlatformLost
                    };
                    let event = timeline::Event::new(Duty::Watcher, "watch", kind);
                    self.parts.recorder.event(event.peer("platform"));
                }
            }
        }
    }

    pub(super) fn list(&self, since: Option<Version>) {
        let platform = self.parts.platform.clone();
        let task = self.parts.tasks.fleet.clone();
        compio::runtime::spawn(async move {
            let listing = match since {
                None => platform.list(platform::ROOT).await,
                Some(since) => platform.watch(platform::ROOT, since).await,
            };
            let event = match (listing, since) {
                (Ok(listing), None) => watcher::Event::Listed(changes(listing)),
                (Ok(listing), Some(_)) => watcher::Event::Watched(changes(listing)),
                (Err(_), None) => watcher::Event::Failed(watcher::Call::List),
                (Err(_), Some(_)) => watcher::Event::Failed(watcher::Call::Watch),
            };
            let _ = task.unbounded_send(Message::Platform(event));
        })
        .detach();
    }

    pub(super) fn read(&self, change: watcher::Change) {
        let platform = self.parts.platform.clone();
        let task = self.parts.tasks.fleet.clone();
        compio::runtime::spawn(async move {
            let message = match platform.get(&change.key).await {
                Ok(Some((version, bytes))) => {
                    let key = change.key;
                    Message::Value(watcher::Change { key, version }, bytes)
                }
                // Deleted in the meantime; the watch reports the deletion.
                Ok(None) => Message::Platform(watcher::Event::Read(change)),
                Err(_) => {
                    let asked = watcher::Call::Read(change.key);
                    Message::Platform(watcher::Event::Failed(asked))
                }
            };
            let _ = task.unbounded_send(message);
        })
        .detach();
    }

    pub(super) fn value(&mut self, change: watcher::Change, bytes: &Bytes) {
        if let Some(id) = items::item_id(&change.key) {
            let item = Item::new(id, change.version, bytes.to_vec());
            self.feed(Event::Put(item));
        }
        self.watch(watcher::Event::Read(change));
    }

    pub(super) fn removed(&mut self, change: &watcher::Change) {
        if let Some(id) = items::item_id(&change.key) {
            self.feed(Event::Put(Item::removed(id, change.version)));
        }
    }

    /// Publishes that this failure domain has a watcher that reaches the platform.
    pub(super) fn publish_heartbeat(&mut self) {
        let name = self.gossip.membership().me().domain.clone();
        let id = Id::new(Kind::Watch, name);
        let version = self.gossip.store().version(&id).unwrap_or(0) + 1;
        let item = Item::new(id, version, Vec::new()).with_ttl(HEARTBEAT_TTL);
        self.feed(Event::Put(item));
    }

    pub(super) fn read_list(&self) {
        let platform = self.parts.platform.clone();
        let task = self.parts.tasks.fleet.clone();
        compio::runtime::spawn(async move {
            let list = platform.vms().await.ok();
            let _ = task.unbounded_send(Message::Listed(list));
        })
        .detach();
    }

    pub(super) fn listed(&mut self, list: Option<Vec<platform::ListedVm>>) {
        self.is_listing = false;
        let is_suspect = |update: &Update| update.standing == Standing::Suspect;
        let has_suspects = self.gossip.membership().members().iter().any(is_suspect);
        let is_short = self.watcher.is_active() || has_suspects;
        let period = if is_short {
            SHORT_LIST_PERIOD
        } else {
            LIST_PERIOD
        };
        self.next_list = self.parts.clock.now() + period;
        let Some(list) = list else {
            return;
        };
        let leaving = platform::leaving_targets(&list);
        let message = ticket::Message::Leaving(leaving);
        let _ = self.parts.tasks.router.unbounded_send(message);
        let message = orders::Message::Listed(list.clone());
        let _ = self.parts.tasks.orders.unbounded_send(message);
        let message = owners::Message::Listed(list.clone());
        let _ = self.parts.tasks.owners.unbounded_send(message);
        let vms = list
            .into_iter()
            .filter(|vm| vm.kind == platform::Kind::Entry);
        let listed = vms.map(|vm| Listed {
            name: vm.name,
            address: vm.address,
            domain: vm.domain,
            leaving: vm.state == platform::State::Leaving,
        });
        self.feed(Event::List(listed.collect()));
    }
}

fn changes(listing: platform::Listing) -> watcher::Listing {
    let change = |key: platform::KeyVersion| watcher::Change {
        key: key.key,
        version: key.version,
    };
    watcher::Listing {
        revision: listing.revision,
        keys: listing.keys.into_iter().map(change).collect(),
    }
}
