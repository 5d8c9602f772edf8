//! The store of the items that a process holds.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{
    CallId, Content, Digest, Effect, Event, Id, Item, ItemVersion, Kind, Limits, Message,
    buckets::Buckets, call::Call,
};
use crate::id::Version;

/// The current version of an item.
#[derive(Clone, Debug)]
pub(super) struct StoredItem {
    pub(super) version: Version,
    pub(super) content: Content,
    pub(super) expires: Option<Duration>,
}

/// The item store of one process.
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
    pub(super) items: IndexMap<Id, StoredItem>,
    pub(super) buckets: Buckets,
    pub(super) skipped: IndexSet<Kind>,
    pub(super) calls: IndexMap<CallId, Call>,
    pub(super) fetching: IndexSet<Id>,
    pub(super) next_call: CallId,
    pub(super) next_compare: Duration,
    next_expiry: Option<Duration>,
    pub(super) synced: IndexSet<String>,
    pub(super) list_offset: usize,
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
            skipped: IndexSet::new(),
            calls: IndexMap::new(),
            fetching: IndexSet::new(),
            next_call: 0,
            next_compare: Duration::ZERO,
            next_expiry: None,
            synced: IndexSet::new(),
            list_offset: 0,
        }
    }

    /// Doesn't fetch announced values of a kind; their versions are stored nevertheless.
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
        self.skipped.insert(kind);
    }

    /// Processes an event and returns the actions to perform, in order.
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
            Event::Put(item) => self.apply(now, vec![item], None, &mut effects),
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

    /// Returns the hash of the versions of all items; every probe carries it.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::spread::{Limits, Store};
    ///
    /// assert_eq!(Store::new(Limits::default()).digest(), 0);
    /// ```
    pub fn digest(&self) -> Digest {
        self.buckets.total()
    }

    /// Returns the current version of an item.
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
        self.items.get(id).map(|stored| stored.version)
    }

    /// Returns the current value of an item, if it is stored.
    pub fn value(&self, id: &Id) -> Option<&[u8]> {
        match &self.items.get(id)?.content {
            Content::Value(bytes) => Some(bytes),
            Content::Announced(_) | Content::Removed => None,
        }
    }

    /// Returns the current versions of all items, tombstones included.
    pub fn in_force(&self) -> Vec<ItemVersion> {
        self.items
            .iter()
            .map(|(id, stored)| ItemVersion {
                id: id.clone(),
                version: stored.version,
            })
            .collect()
    }

    /// Returns how many peers, up to 8, were found to have nothing newer since the start.
    ///
    /// While this is 0, a process that has just started may lack all items. It stays 0 while this
    /// process holds no items: two processes that have both just started learn nothing by agreeing.
    pub fn synced_peers(&self) -> usize {
        self.synced.len()
    }

    /// Returns the total size of the stored values, in bytes.
    pub fn bytes(&self) -> usize {
        self.items
            .values()
            .map(|stored| size(&stored.content))
            .sum()
    }

    /// Stores items that are newer and passes them on; fetches values that were only announced.
    pub(super) fn apply(
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
            if self.must_fetch(&item) {
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
            self.limit_expiring(effects);
        }
    }

    /// Returns whether an item replaces the stored one.
    fn is_newer(&self, item: &Item) -> bool {
        if item.left.is_some_and(|left| left.is_zero()) {
            return false;
        }
        match self.items.get(&item.id) {
            None => true,
            Some(stored) if stored.version != item.version => item.version > stored.version,
            Some(stored) => {
                matches!(stored.content, Content::Announced(_))
                    && matches!(item.content, Content::Value(_))
            }
        }
    }

    /// Returns whether an item was only announced and its value is needed here.
    fn must_fetch(&self, item: &Item) -> bool {
        let announced = matches!(item.content, Content::Announced(_));
        announced && !self.skipped.contains(&item.id.kind)
    }

    /// Stores an item and updates the hashes.
    fn accept(&mut self, now: Duration, item: &Item) {
        let tombstone = match item.content {
            Content::Removed => Some(self.limits.tombstone),
            Content::Value(_) | Content::Announced(_) => None,
        };
        let stored = StoredItem {
            version: item.version,
            content: item.content.clone(),
            expires: item.left.or(tombstone).map(|left| now + left),
        };
        self.next_expiry = self.next_expiry.into_iter().chain(stored.expires).min();
        if let Some(old) = self.items.insert(item.id.clone(), stored) {
            self.buckets.toggle(&item.id, old.version);
        }
        self.buckets.toggle(&item.id, item.version);
    }

    /// Returns an item as it is sent to peers: a large value is only announced.
    pub(super) fn announcement(&self, item: &Item) -> Item {
        let mut item = item.clone();
        let size = size(&item.content);
        if size > self.limits.inline {
            item.content = Content::Announced(size);
        }
        item
    }

    /// Drops expired items.
    fn expire(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.next_expiry.is_none_or(|at| now < at) {
            return;
        }
        let expired: Vec<Id> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.expires.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.drop_item(id, effects);
        }
        self.next_expiry = self
            .items
            .values()
            .filter_map(|stored| stored.expires)
            .min();
    }

    /// Drops the items that expire first, beyond the limit for items that expire.
    fn limit_expiring(&mut self, effects: &mut Vec<Effect>) {
        let mut expiring: Vec<(Duration, Id)> = self
            .items
            .iter()
            .filter_map(|(id, stored)| stored.expires.map(|at| (at, id.clone())))
            .collect();
        if expiring.len() <= self.limits.lasting {
            return;
        }
        expiring.sort();
        let excess = expiring.len() - self.limits.lasting;
        for (_, id) in expiring.into_iter().take(excess) {
            self.drop_item(id, effects);
        }
    }

    /// Removes an item and reports it as expired.
    fn drop_item(&mut self, id: Id, effects: &mut Vec<Effect>) {
        if let Some(stored) = self.items.swap_remove(&id) {
            self.buckets.toggle(&id, stored.version);
            effects.push(Effect::Expired(id));
        }
    }
}

/// Returns the size of a stored value in bytes; 0 if it is only announced or removed.
pub(super) fn size(content: &Content) -> usize {
    match content {
        Content::Value(bytes) => bytes.len(),
        Content::Announced(_) | Content::Removed => 0,
    }
}
