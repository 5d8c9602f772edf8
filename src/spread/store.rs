//! The items that a process holds, and what it exchanges with others about them.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{
    CallId, Content, Digest, Effect, Event, Id, Item, ItemVersion, Kind, Limits, Message,
    buckets::Buckets, call::Call,
};
use crate::id::Version;

/// An item in force here.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) version: Version,
    pub(super) content: Content,
    pub(super) expires: Option<Duration>,
}

/// The items of one process.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::spread::{Event, Id, Item, Kind, Limits, Store};
///
/// let mut store = Store::new(Limits::default());
/// let id = Id::new(Kind::Document, "tracking");
/// let newer = Item::new(id.clone(), 8, b"newer".to_vec());
/// let older = Item::new(id.clone(), 7, b"older".to_vec());
/// store.on(Duration::ZERO, Event::Put(newer));
/// assert!(store.on(Duration::ZERO, Event::Put(older)).is_empty());
/// assert_eq!(store.version(&id), Some(8));
/// ```
#[derive(Debug)]
pub struct Store {
    pub(super) limits: Limits,
    pub(super) items: IndexMap<Id, Held>,
    pub(super) buckets: Buckets,
    pub(super) unwanted: IndexSet<Kind>,
    pub(super) calls: IndexMap<CallId, Call>,
    pub(super) fetching: IndexSet<Id>,
    pub(super) next_call: CallId,
    pub(super) next_compare: Duration,
    next_expiry: Option<Duration>,
    pub(super) agreed: IndexSet<String>,
    pub(super) turn: usize,
}

impl Store {
    /// Creates an empty store.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Limits, Store};
    ///
    /// assert!(Store::new(Limits::default()).in_force().is_empty());
    /// ```
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            items: IndexMap::new(),
            buckets: Buckets::default(),
            unwanted: IndexSet::new(),
            calls: IndexMap::new(),
            fetching: IndexSet::new(),
            next_call: 0,
            next_compare: Duration::ZERO,
            next_expiry: None,
            agreed: IndexSet::new(),
            turn: 0,
        }
    }

    /// Has announced values of a kind not fetched; their versions are held all the same.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Kind, Limits, Store};
    ///
    /// let mut store = Store::new(Limits::default());
    /// store.skip_values(Kind::Record);
    /// ```
    pub fn skip_values(&mut self, kind: Kind) {
        self.unwanted.insert(kind);
    }

    /// Takes an event in and returns what is to be done, in order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::spread::{Event, Limits, Store};
    ///
    /// let mut store = Store::new(Limits::default());
    /// assert!(store.on(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.expire(now, &mut effects),
            Event::Put(item) => self.take(now, vec![item], None, &mut effects),
            Event::Asked {
                call,
                address,
                message,
            } => self.asked(now, call, &address, message, &mut effects),
            Event::Answered { call, message } => self.answered(now, call, message, &mut effects),
            Event::Failed { call } => self.failed(call),
            Event::Digest { address, digest } => {
                self.compare(now, address, digest, &mut effects);
            }
        }
        effects
    }

    /// Returns the hash of all versions held; it travels on every probe.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Limits, Store};
    ///
    /// assert_eq!(Store::new(Limits::default()).digest(), 0);
    /// ```
    pub fn digest(&self) -> Digest {
        self.buckets.whole()
    }

    /// Returns the version of an item that is in force here.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Id, Kind, Limits, Store};
    ///
    /// let store = Store::new(Limits::default());
    /// assert_eq!(store.version(&Id::new(Kind::Document, "tracking")), None);
    /// ```
    pub fn version(&self, id: &Id) -> Option<Version> {
        self.items.get(id).map(|held| held.version)
    }

    /// Returns the value of an item that is in force here.
    pub fn value(&self, id: &Id) -> Option<&[u8]> {
        match &self.items.get(id)?.content {
            Content::Value(bytes) => Some(bytes),
            Content::Announced(_) | Content::Removed => None,
        }
    }

    /// Returns what is in force here.
    pub fn in_force(&self) -> Vec<ItemVersion> {
        self.items
            .iter()
            .map(|(id, held)| ItemVersion {
                id: id.clone(),
                version: held.version,
            })
            .collect()
    }

    /// Returns how many others, up to 8, were found to have nothing newer since the start.
    ///
    /// A process that has just started may lack everything while this is 0. While this process
    /// holds nothing it stays 0: two that have both just started know nothing by agreeing.
    pub fn synced_peers(&self) -> usize {
        self.agreed.len()
    }

    /// Returns how many bytes of values are held.
    pub fn bytes(&self) -> usize {
        self.items.values().map(|held| size(&held.content)).sum()
    }

    /// Takes items in; what is new is in force, and goes to others.
    pub(super) fn take(
        &mut self,
        now: Duration,
        items: Vec<Item>,
        from: Option<&str>,
        effects: &mut Vec<Effect>,
    ) {
        let mut news = Vec::new();
        let mut wanted = Vec::new();
        for item in items {
            if !self.is_newer(&item) {
                continue;
            }
            if self.has_to_fetch(&item) {
                wanted.push(item.id);
                continue;
            }
            self.accept(now, &item);
            news.push(self.announcement(&item));
            effects.push(Effect::Accepted(item));
        }
        if let Some(address) = from {
            self.fetch(address, wanted, effects);
        }
        for items in news.chunks(self.limits.list.max(1)) {
            effects.push(Effect::Push {
                count: self.limits.fanout,
                message: Message::News(items.to_vec()),
            });
        }
        if !news.is_empty() {
            self.bound(effects);
        }
    }

    /// Returns whether an item is to take the place of what is held.
    fn is_newer(&self, item: &Item) -> bool {
        if item.left.is_some_and(|left| left.is_zero()) {
            return false;
        }
        match self.items.get(&item.id) {
            None => true,
            Some(held) if held.version != item.version => item.version > held.version,
            Some(held) => {
                matches!(held.content, Content::Announced(_))
                    && matches!(item.content, Content::Value(_))
            }
        }
    }

    /// Returns whether an item was only announced and is wanted.
    fn has_to_fetch(&self, item: &Item) -> bool {
        let announced = matches!(item.content, Content::Announced(_));
        announced && !self.unwanted.contains(&item.id.kind)
    }

    /// Puts an item in force.
    fn accept(&mut self, now: Duration, item: &Item) {
        let tombstone = match item.content {
            Content::Removed => Some(self.limits.tombstone),
            Content::Value(_) | Content::Announced(_) => None,
        };
        let held = Held {
            version: item.version,
            content: item.content.clone(),
            expires: item.left.or(tombstone).map(|left| now + left),
        };
        self.next_expiry = self.next_expiry.into_iter().chain(held.expires).min();
        if let Some(old) = self.items.insert(item.id.clone(), held) {
            self.buckets.toggle(&item.id, old.version);
        }
        self.buckets.toggle(&item.id, item.version);
    }

    /// Returns an item as it is told to others: big values are announced.
    pub(super) fn announcement(&self, item: &Item) -> Item {
        let mut item = item.clone();
        let size = size(&item.content);
        if size > self.limits.inline {
            item.content = Content::Announced(size);
        }
        item
    }

    /// Drops what has lasted its time.
    fn expire(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let ended: Vec<Id> = self
            .items
            .iter()
            .filter(|(_, held)| held.expires.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.drop_item(id, effects);
        }
        self.next_expiry = self.items.values().filter_map(|held| held.expires).min();
    }

    /// Drops the lasting items that end first, beyond the bound.
    fn bound(&mut self, effects: &mut Vec<Effect>) {
        let mut lasting: Vec<(Duration, Id)> = self
            .items
            .iter()
            .filter_map(|(id, held)| held.expires.map(|at| (at, id.clone())))
            .collect();
        if lasting.len() <= self.limits.lasting {
            return;
        }
        lasting.sort();
        let excess = lasting.len() - self.limits.lasting;
        for (_, id) in lasting.into_iter().take(excess) {
            self.drop_item(id, effects);
        }
    }

    /// Stops holding an item.
    fn drop_item(&mut self, id: Id, effects: &mut Vec<Effect>) {
        if let Some(held) = self.items.swap_remove(&id) {
            self.buckets.toggle(&id, held.version);
            effects.push(Effect::Expired(id));
        }
    }
}

/// Returns the bytes of a value, here or announced.
pub(super) fn size(content: &Content) -> usize {
    match content {
        Content::Value(bytes) => bytes.len(),
        Content::Announced(_) | Content::Removed => 0,
    }
}
