//! Gossiped items: which task receives an item, and which key of the platform's store it mirrors.

use std::{rc::Rc, time::Duration};

use hyper::body::Bytes;

use super::{FleetTask, VIEWS};
use crate::{
    document::{self, Document, stored::Stored},
    entry::{orders, ticket},
    gossip::Event,
    handover::Handover,
    id::Version,
    peer, platform,
    spread::{Content, Id, Item, Kind},
    timeline::{self, Duty},
    vm::owners,
    watcher,
};

/// How long a handover item is kept. Except during an outage, the group's record contains it much earlier.
const HANDOVER_TTL: Duration = Duration::from_hours(24);

impl FleetTask {
    pub(super) fn publish_handover(&mut self, handover: &Handover) {
        let Ok(bytes) = peer::encode(handover) else {
            return;
        };
        let range = handover.range;
        let name = format!("{}/{:x}-{:x}", handover.group, range.start, range.end);
        let id = Id::new(Kind::Handover, name);
        let item = Item::new(id, handover.epoch, bytes.to_vec()).with_ttl(HANDOVER_TTL);
        self.feed(Event::Put(item));
    }

    /// Passes a newly accepted item to the task that needs it.
    pub(super) fn accepted(&mut self, item: &Item) {
        if let Some(key) = platform_key(&item.id) {
            let version = item.version;
            self.watch(watcher::Event::Stored(watcher::Change { key, version }));
        }
        let Content::Value(bytes) = &item.content else {
            return;
        };
        match item.id.kind {
            Kind::Document => self.document(&item.id.name, item.version, bytes),
            Kind::Record => {
                let group = item.id.name.clone();
                let bytes = Bytes::copy_from_slice(bytes);
                let message = owners::Message::Record(group, item.version, bytes);
                let _ = self.parts.tasks.owners.unbounded_send(message);
            }
            Kind::Handover => match peer::decode::<Handover>(bytes) {
                Ok(handover) => {
                    let _ = self
                        .parts
                        .tasks
                        .owners
                        .unbounded_send(owners::Message::Handover(handover));
                }
                Err(cause) => log::error!("step=news peer={} cause={cause:?}", item.id.name),
            },
            Kind::Watch => {
                let own = item.id.name == self.gossip.membership().me().domain;
                self.watch(watcher::Event::Heartbeat { own });
            }
            Kind::View => {
                let bytes = Bytes::copy_from_slice(bytes);
                let message = orders::Message::Views(item.version, bytes);
                let _ = self.parts.tasks.orders.unbounded_send(message);
            }
            Kind::Suspect => {
                if let Ok(items) = peer::decode(bytes) {
                    let message = ticket::Message::Suspects(items);
                    let _ = self.parts.tasks.router.unbounded_send(message);
                }
            }
        }
    }

    pub(super) fn document(&mut self, service: &str, version: Version, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let text = Stored::parse(&text).text;
        match document::text::parse(service, &text) {
            Ok(document) => self.put_in_force(version, document),
            // `document put` refuses such a text, so it was written by other means. The last valid document
            // stays in force.
            Err(fault) => {
                let kind = timeline::Kind::DocumentRefused;
                let event = timeline::Event::new(Duty::Watcher, "document", kind);
                let event = event.service(service).version(version);
                self.parts
                    .recorder
                    .event(event.cause(fault.to_string().as_str()));
            }
        }
    }

    pub(super) fn put_in_force(&mut self, version: Version, document: Document) {
        let kind = timeline::Kind::DocumentForced;
        let event = timeline::Event::new(Duty::Watcher, "document", kind);
        let event = event.service(document.service.as_str()).version(version);
        self.parts.recorder.event(event);
        let document = Rc::new(document);
        let message = ticket::Message::Document(document.clone());
        let _ = self.parts.tasks.router.unbounded_send(message);
        let message = owners::Message::Document(version, document);
        let _ = self.parts.tasks.owners.unbounded_send(message);
    }
}

/// Returns the id of the item that mirrors a key of the platform's store.
pub fn item_id(key: &str) -> Option<Id> {
    if let Some(name) = key.strip_prefix(platform::DOCUMENTS) {
        return Some(Id::new(Kind::Document, name));
    }
    if let Some(name) = key.strip_prefix(platform::GROUPS) {
        return Some(Id::new(Kind::Record, name));
    }
    (key == platform::ORDERS).then(|| Id::new(Kind::View, VIEWS))
}

/// Returns the key of the platform's store that an item mirrors.
fn platform_key(id: &Id) -> Option<String> {
    match id.kind {
        Kind::Document => Some(format!("{}{}", platform::DOCUMENTS, id.name)),
        Kind::Record => Some(format!("{}{}", platform::GROUPS, id.name)),
        Kind::View => Some(platform::ORDERS.to_owned()),
        Kind::Handover | Kind::Suspect | Kind::Watch => None,
    }
}
