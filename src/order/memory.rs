//! What one VM remembers of one shard's orders.

use std::{collections::VecDeque, time::Duration};

use indexmap::{IndexMap, IndexSet};

pub use super::entry::{Entry, Standing, Trial};
use super::{Attempt, Fate, Flaw, Order, OrderId, entry::ENTRY_BYTES, stored::StoredOrder};
use crate::id::VmId;

/// How much is remembered, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes for one shard.
    pub bytes: usize,
    /// How long an order whose id has no date is remembered at the least.
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

/// One shard's orders.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    limits: Limits,
    entries: IndexMap<OrderId, StoredOrder>,
    /// Ids by arrival, for forgetting; one that is gone from `entries` is skipped.
    arrivals: VecDeque<OrderId>,
    /// The orders with an open attempt: few, and looked through often.
    open: IndexSet<OrderId>,
    bytes: usize,
    floor: Duration,
    forgotten: u64,
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

    /// Returns whether nothing is remembered.
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

    /// Returns how many orders are remembered, and their size in bytes.
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

    /// Returns how many orders were forgotten for lack of room.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert_eq!(Memory::default().forgotten(), 0);
    /// ```
    pub fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Returns the date up to which ids may have been forgotten.
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

    /// Raises the date up to which ids may have been forgotten.
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

    /// Returns the ids, in no order.
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

    /// Returns an entry as it travels, with its age.
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
        let held = self.entries.get(id)?;
        let mut entry = held.entry.clone();
        entry.age = now.saturating_sub(held.changed);
        Some(entry)
    }

    /// Returns the attempts that are open and last changed before `before`, of all orders.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().open(Duration::MAX).next().is_none());
    /// ```
    pub fn open(&self, before: Duration) -> impl Iterator<Item = (Order, Attempt)> {
        let open = self.open.iter();
        let held = open.filter_map(|id| Some((id, self.entries.get(id)?)));
        let old = held.filter(move |it| it.1.changed < before);
        old.flat_map(|(id, held)| {
            let attempts = held.entry.attempts.iter();
            let open = attempts.filter(|(_, trial)| trial.fate == Fate::Open);
            open.map(|(attempt, trial)| (held.order(id, trial.fingerprint), attempt.clone()))
        })
    }

    /// Returns what the memory says to an attempt that wants to run.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Attempt, Order, memory::{Memory, Standing}};
    ///
    /// let order = Order { id: "dispatch/1".into(), created_at: None, fingerprint: 1 };
    /// let attempt = Attempt { vm: "a#1".into(), seq: 1 };
    /// assert_eq!(Memory::default().standing(&order, &attempt), Standing::Free);
    /// ```
    pub fn standing(&self, order: &Order, attempt: &Attempt) -> Standing {
        let held = self.entries.get(&order.id);
        let standing = held.and_then(|held| held.standing(order, attempt, self.flaw));
        let forgotten = order
            .created_at
            .is_some_and(|created_at| created_at <= self.floor);
        match standing {
            Some(Standing::Mismatch) if forgotten => Standing::Unknown,
            Some(standing) => standing,
            None if forgotten && self.flaw != Flaw::NoFloor => Standing::Unknown,
            None => Standing::Free,
        }
    }

    /// Takes in an account of an attempt; returns whether it was news.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::{Attempt, Fate, Order, memory::{Memory, Standing}};
    ///
    /// let mut memory = Memory::default();
    /// let order = Order { id: "dispatch/1".into(), created_at: None, fingerprint: 1 };
    /// let [first, second] = [1, 2].map(|seq| Attempt { vm: "a#1".into(), seq });
    /// memory.learn(Duration::ZERO, &order, first, Fate::Open);
    /// assert_eq!(memory.standing(&order, &second), Standing::Running);
    /// ```
    pub fn learn(&mut self, now: Duration, order: &Order, attempt: Attempt, fate: Fate) -> bool {
        let known = self.entries.contains_key(&order.id);
        if !known {
            self.arrivals.push_back(order.id.clone());
        }
        let held = self
            .entries
            .entry(order.id.clone())
            .or_insert_with(|| StoredOrder::new(order.created_at));
        let trial = held.entry.attempts.entry(attempt).or_insert(Trial {
            fingerprint: order.fingerprint,
            fate: Fate::Open,
        });
        let news = trial.fate.merge(fate) || !known;
        held.changed = held.changed.max(now);
        held.forget_attempts();
        if held.is_open() {
            self.open.insert(order.id.clone());
        } else {
            self.open.swap_remove(&order.id);
        }
        let bytes = held.measure(&order.id);
        self.bytes = self.bytes + bytes - held.bytes;
        held.bytes = bytes;
        news
    }

    /// Takes in an entry that travelled here.
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
        for (attempt, trial) in entry.attempts {
            let order = Order {
                id: id.into(),
                created_at: entry.created_at,
                fingerprint: trial.fingerprint,
            };
            self.learn(changed, &order, attempt, trial.fate);
        }
    }

    /// Marks open attempts of lost VMs, and those that last changed before `silent`, as unknown;
    /// returns their orders.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().give_up(|vm| vm == "a#1", Duration::ZERO).is_empty());
    /// ```
    pub fn give_up<L>(&mut self, lost: L, silent: Duration) -> Vec<OrderId>
    where
        L: Fn(&VmId) -> bool,
    {
        let mut given = Vec::new();
        for id in &self.open {
            let Some(held) = self.entries.get_mut(id) else {
                continue;
            };
            let old = held.changed < silent;
            let attempts = held.entry.attempts.iter_mut();
            let ended = attempts.filter(|(attempt, _)| old || lost(&attempt.vm));
            let changed = ended.fold(false, |changed, (_, trial)| {
                trial.fate.merge(Fate::Unknown) || changed
            });
            if changed {
                given.push(id.clone());
            }
        }
        let entries = &self.entries;
        self.open
            .retain(|id| entries.get(id).is_some_and(StoredOrder::is_open));
        given
    }

    /// Returns whether this attempt is open.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Attempt, memory::Memory};
    ///
    /// let attempt = Attempt { vm: "a#1".into(), seq: 1 };
    /// assert!(!Memory::default().has_open("dispatch/1", &attempt));
    /// ```
    pub fn has_open(&self, id: &str, attempt: &Attempt) -> bool {
        let held = self.entries.get(id);
        let trial = held.and_then(|held| held.entry.attempts.get(attempt));
        trial.is_some_and(|trial| trial.fate == Fate::Open)
    }

    /// Forgets everything, for a VM that is no longer a member.
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
            forgotten: self.forgotten,
            ..Self::new(self.limits, self.flaw)
        };
    }

    /// Makes room for one more order; returns whether there is any.
    ///
    /// What goes first is the oldest that has ended. A dated id raises the floor, so that it is
    /// `unknown` from then on. An undated one goes only once its retention is over.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::memory::Memory;
    ///
    /// assert!(Memory::default().make_room(Duration::ZERO));
    /// ```
    pub fn make_room(&mut self, now: Duration) -> bool {
        let mut looked = 0;
        while self.bytes + ENTRY_BYTES > self.limits.bytes && looked < self.arrivals.len() {
            let Some(id) = self.arrivals.pop_front() else {
                break;
            };
            match self.entries.get(&id) {
                None => {}
                Some(held) if held.may_go(now, self.limits.retention) => self.forget(&id),
                Some(_) => {
                    self.arrivals.push_back(id);
                    looked += 1;
                }
            }
        }
        self.bytes + ENTRY_BYTES <= self.limits.bytes
    }

    fn forget(&mut self, id: &OrderId) {
        let Some(held) = self.entries.swap_remove(id) else {
            return;
        };
        self.bytes -= held.bytes;
        self.forgotten += 1;
        self.raise_floor(held.entry.created_at.unwrap_or_default());
    }
}
