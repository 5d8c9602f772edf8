//! One VM's memory of the orders of one shard.
//!
//! It records the attempts at each order, checks new attempts against them, and evicts ended orders when it is full.
//! Evicted orders stay safe: a dated id raises the floor, up to which unrecorded ids count as unknown, and an undated
//! id is kept for its retention.

use std::{collections::VecDeque, time::Duration};

use indexmap::{IndexMap, IndexSet};

pub use super::entry::{AttemptRecord, CheckResult, Entry};
use super::{Attempt, AttemptState, Flaw, Order, OrderId, entry::ENTRY_BYTES, stored::StoredOrder};
use crate::id::VmId;

/// How much a memory keeps, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The size limit of one shard's memory, in bytes.
    pub bytes: usize,
    /// How long an order whose id has no date is kept at least.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 2 << 20,
            retention: Duration::from_hours(1),
        }
    }
}

/// The orders of one shard.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    limits: Limits,
    entries: IndexMap<OrderId, StoredOrder>,
    /// Ids in the order of arrival, for eviction; ids that are no longer in `entries` are skipped.
    arrivals: VecDeque<OrderId>,
    /// The ids of orders with an open attempt: few, and scanned often.
    open: IndexSet<OrderId>,
    bytes: usize,
    floor: Duration,
    evicted: u64,
    flaw: Flaw,
}

impl Memory {
    /// Creates an empty memory.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Flaw, memory::{Limits, Memory}};
    ///
    /// assert!(Memory::new(Limits::default(), Flaw::None).is_empty());
    /// ```
    pub fn new(limits: Limits, flaw: Flaw) -> Self {
        Self {
            limits,
            flaw,
            ..Self::default()
        }
    }

    /// Returns whether the memory holds no order.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many orders are in memory, and their size in bytes.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert_eq!(Memory::default().size(), (0, 0));
    /// ```
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// Returns how many orders were evicted for lack of memory.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert_eq!(Memory::default().evicted(), 0);
    /// ```
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the date up to which ids may have been evicted.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().floor().is_zero());
    /// ```
    pub fn floor(&self) -> Duration {
        self.floor
    }

    /// Raises the date up to which ids may have been evicted.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// let mut memory = Memory::default();
    /// memory.raise_floor(Duration::from_secs(1));
    /// assert_eq!(memory.floor(), Duration::from_secs(1));
    /// ```
    pub fn raise_floor(&mut self, floor: Duration) {
        self.floor = self.floor.max(floor);
    }

    /// Returns the ids, in arbitrary order.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert_eq!(Memory::default().ids().count(), 0);
    /// ```
    pub fn ids(&self) -> impl Iterator<Item = &OrderId> {
        self.entries.keys()
    }

    /// Returns an entry as sent to another VM, with its age.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().entry(Duration::ZERO, "dispatch/1").is_none());
    /// ```
    pub fn entry(&self, now: Duration, id: &str) -> Option<Entry> {
        let stored = self.entries.get(id)?;
        let mut entry = stored.entry.clone();
        entry.age = now.saturating_sub(stored.changed_at);
        Some(entry)
    }

    /// Returns the open attempts of all orders that last changed before `before`.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().open_attempts(Duration::MAX).next().is_none());
    /// ```
    pub fn open_attempts(&self, before: Duration) -> impl Iterator<Item = (Order, Attempt)> {
        let open = self.open.iter();
        let stored = open.filter_map(|id| Some((id, self.entries.get(id)?)));
        let old = stored.filter(move |it| it.1.changed_at < before);
        old.flat_map(|(id, stored)| {
            let attempts = stored.entry.attempts.iter();
            let open = attempts.filter(|(_, record)| record.state == AttemptState::Open);
            open.map(|(attempt, record)| (stored.order(id, record.fingerprint), attempt.clone()))
        })
    }

    /// Checks an attempt that wants to run against the memory.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Attempt, Order, memory::{CheckResult, Memory}};
    ///
    /// let order = Order { id: "dispatch/1".into(), created_at: None, fingerprint: 1 };
    /// let attempt = Attempt { vm: "a#1".into(), seq: 1 };
    /// assert_eq!(Memory::default().check(&order, &attempt), CheckResult::Allowed);
    /// ```
    pub fn check(&self, order: &Order, attempt: &Attempt) -> CheckResult {
        let stored = self.entries.get(&order.id);
        let result = stored.and_then(|stored| stored.check(order, attempt, self.flaw));
        let evicted = order
            .created_at
            .is_some_and(|created_at| created_at <= self.floor);
        match result {
            Some(CheckResult::Mismatch) if evicted => CheckResult::Unknown,
            Some(result) => result,
            None if evicted && self.flaw != Flaw::NoFloor => CheckResult::Unknown,
            None => CheckResult::Allowed,
        }
    }

    /// Merges a report on an attempt; returns whether it changed anything.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::{Attempt, AttemptState, Order, memory::{CheckResult, Memory}};
    ///
    /// let mut memory = Memory::default();
    /// let order = Order { id: "dispatch/1".into(), created_at: None, fingerprint: 1 };
    /// let [first, second] = [1, 2].map(|seq| Attempt { vm: "a#1".into(), seq });
    /// memory.update(Duration::ZERO, &order, first, AttemptState::Open);
    /// assert_eq!(memory.check(&order, &second), CheckResult::Running);
    /// ```
    pub fn update(
        &mut self,
        now: Duration,
        order: &Order,
        attempt: Attempt,
        state: AttemptState,
    ) -> bool {
        let known = self.entries.contains_key(&order.id);
        if !known {
            self.arrivals.push_back(order.id.clone());
        }
        let stored = self
            .entries
            .entry(order.id.clone())
            .or_insert_with(|| StoredOrder::new(order.created_at));
        let record = stored
            .entry
            .attempts
            .entry(attempt)
            .or_insert(AttemptRecord {
                fingerprint: order.fingerprint,
                state: AttemptState::Open,
            });
        let changed = record.state.merge(state) || !known;
        stored.changed_at = stored.changed_at.max(now);
        stored.trim_attempts();
        if stored.is_open() {
            self.open.insert(order.id.clone());
        } else {
            self.open.swap_remove(&order.id);
        }
        let bytes = stored.size_bytes(&order.id);
        self.bytes = self.bytes + bytes - stored.bytes;
        stored.bytes = bytes;
        changed
    }

    /// Merges an entry that another VM sent.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::{Entry, Memory};
    ///
    /// let mut memory = Memory::default();
    /// memory.merge(Duration::ZERO, "dispatch/1", Entry::default());
    /// assert!(memory.is_empty());
    /// ```
    pub fn merge(&mut self, now: Duration, id: &str, entry: Entry) {
        let changed = now.saturating_sub(entry.age);
        for (attempt, record) in entry.attempts {
            let order = Order {
                id: id.into(),
                created_at: entry.created_at,
                fingerprint: record.fingerprint,
            };
            self.update(changed, &order, attempt, record.state);
        }
    }

    /// Marks open attempts of lost VMs, and those of orders that last changed before `unchanged_since`, as unknown;
    /// returns the ids of these orders.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().mark_unknown(|vm| vm == "a#1", Duration::ZERO).is_empty());
    /// ```
    pub fn mark_unknown<L>(&mut self, is_lost: L, unchanged_since: Duration) -> Vec<OrderId>
    where
        L: Fn(&VmId) -> bool,
    {
        let mut marked = Vec::new();
        for id in &self.open {
            let Some(stored) = self.entries.get_mut(id) else {
                continue;
            };
            let old = stored.changed_at < unchanged_since;
            let attempts = stored.entry.attempts.iter_mut();
            let ended = attempts.filter(|(attempt, _)| old || is_lost(&attempt.vm));
            let changed = ended.fold(false, |changed, (_, record)| {
                record.state.merge(AttemptState::Unknown) || changed
            });
            if changed {
                marked.push(id.clone());
            }
        }
        let entries = &self.entries;
        self.open
            .retain(|id| entries.get(id).is_some_and(StoredOrder::is_open));
        marked
    }

    /// Returns whether this attempt is open.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Attempt, memory::Memory};
    ///
    /// let attempt = Attempt { vm: "a#1".into(), seq: 1 };
    /// assert!(!Memory::default().is_open("dispatch/1", &attempt));
    /// ```
    pub fn is_open(&self, id: &str, attempt: &Attempt) -> bool {
        let stored = self.entries.get(id);
        let record = stored.and_then(|stored| stored.entry.attempts.get(attempt));
        record.is_some_and(|record| record.state == AttemptState::Open)
    }

    /// Removes all orders, for a VM that is no longer a member.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// let mut memory = Memory::default();
    /// memory.clear();
    /// assert!(memory.is_empty());
    /// ```
    pub fn clear(&mut self) {
        *self = Self {
            evicted: self.evicted,
            ..Self::new(self.limits, self.flaw)
        };
    }

    /// Evicts orders until one more fits; returns whether it does.
    ///
    /// The oldest orders that have ended are evicted first. A dated id raises the floor, so that it counts as unknown
    /// from then on. An undated one is evicted only after its retention.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().ensure_capacity(Duration::ZERO));
    /// ```
    pub fn ensure_capacity(&mut self, now: Duration) -> bool {
        let mut examined = 0;
        while self.bytes + ENTRY_BYTES > self.limits.bytes && examined < self.arrivals.len() {
            let Some(id) = self.arrivals.pop_front() else {
                break;
            };
            match self.entries.get(&id) {
                None => {}
                Some(stored) if stored.is_evictable(now, self.limits.retention) => self.evict(&id),
                Some(_) => {
                    self.arrivals.push_back(id);
                    examined += 1;
                }
            }
        }
        self.bytes + ENTRY_BYTES <= self.limits.bytes
    }

    fn evict(&mut self, id: &OrderId) {
        let Some(stored) = self.entries.swap_remove(id) else {
            return;
        };
        self.bytes -= stored.bytes;
        self.evicted += 1;
        self.raise_floor(stored.entry.created_at.unwrap_or_default());
    }
}
