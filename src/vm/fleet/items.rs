//! What spreads: which task gets an item, and which key of the platform's service it stands for.

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

/// How long a handover is kept; the group's record carries it long before, but for an outage.
const HANDOVER_KEPT: Duration = Duration::from_hours(24);

impl FleetTask {
    pub(super) fn fact(&mut self, fact: &Handover) {
        let Ok(bytes) = peer::encode(fact) else {
            return;
        };
        let range = fact.range;
        let name = format!("{}/{:x}-{:x}", fact.group, range.start, range.end);
        let id = Id::new(Kind::Handover, name);
        let item = Item::new(id, fact.epoch, bytes.to_vec()).with_ttl(HANDOVER_KEPT);
        self.feed(Event::Put(item));
    }

    /// Hands a new item to the task that needs it.
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
                Ok(fact) => {
                    let _ = self
                        .parts
                        .tasks
                        .owners
                        .unbounded_send(owners::Message::Fact(fact));
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
            Ok(document) => self.enforce(version, document),
            // `put` refuses such a text; whoever wrote it did so past us. The last good one stays.
            Err(fault) => {
                let refused = timeline::Kind::DocumentRefused;
                let event = timeline::Event::new(Duty::Watcher, "document", refused);
                let event = event.service(service).version(version);
                self.parts
                    .recorder
                    .event(event.cause(fault.to_string().as_str()));
            }
        }
    }

    pub(super) fn enforce(&mut self, version: Version, document: Document) {
        let forced = timeline::Kind::DocumentForced;
        let event = timeline::Event::new(Duty::Watcher, "document", forced);
        let event = event.service(document.service.as_str()).version(version);
        self.parts.recorder.event(event);
        let document = Rc::new(document);
        let message = ticket::Message::Document(document.clone());
        let _ = self.parts.tasks.router.unbounded_send(message);
        let message = owners::Message::Document(version, document);
        let _ = self.parts.tasks.owners.unbounded_send(message);
    }
}

/// Returns the item that a key of the platform's service stands for.
pub fn item_id(key: &str) -> Option<Id> {
    if let Some(name) = key.strip_prefix(platform::DOCUMENTS) {
        return Some(Id::new(Kind::Document, name));
    }
    if let Some(name) = key.strip_prefix(platform::GROUPS) {
        return Some(Id::new(Kind::Record, name));
    }
    (key == platform::ORDERS).then(|| Id::new(Kind::View, VIEWS))
}

/// Returns the key of the platform's service that an item stands for.
fn platform_key(id: &Id) -> Option<String> {
    match id.kind {
        Kind::Document => Some(format!("{}{}", platform::DOCUMENTS, id.name)),
        Kind::Record => Some(format!("{}{}", platform::GROUPS, id.name)),
        Kind::View => Some(platform::ORDERS.to_owned()),
        Kind::Handover | Kind::Suspect | Kind::Watch => None,
    }
}
