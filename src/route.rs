//! The routing table of a group: which target owns each point of the hash space.
//!
//! A VM builds it from the group's records, from handovers that are newer than the record, and from
//! leases, and routes requests by it. Records, handovers and leases may arrive late, more than once
//! or in any order.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    document::Fencing,
    grantor::{Leased, Timing},
    group::{Entry, Record, merge},
    handover::{Handover, Handovers},
    id::{BootId, Epoch, TargetId, Term, Version},
    key::Point,
    range::Range,
};

/// The owner of a point.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The range that contains the point.
    pub range: Range,
    /// The epoch of the range.
    pub epoch: Epoch,
    /// The target that owns the range.
    pub target: TargetId,
    /// The target's term.
    pub term: Term,
    /// The id of the target's start.
    pub boot: BootId,
    /// The target's address.
    pub address: String,
    /// Whether the target checks grants.
    pub fencing: Fencing,
    /// Whether the range is being handed over to another owner.
    pub moving: bool,
}

/// The owners of one group: the newest record, with newer handovers applied to it.
///
/// # Example
///
/// ```
/// use bramleypier::{group::Record, handover::Handovers, route::Table};
///
/// let table = Table::from((1, Record::default(), Handovers::new()));
/// assert!(table.owner(7).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: Version,
    record: Record,
    /// The handovers that the record doesn't contain yet.
    facts: Handovers,
    /// The record with the handovers applied.
    view: Record,
    /// When each lease ends.
    leases: IndexMap<(Range, Epoch, TargetId, Term), Duration>,
}

impl From<(Version, Record, Handovers)> for Table {
    fn from((version, record, facts): (Version, Record, Handovers)) -> Self {
        let mut table = Self::default();
        table.on_record(version, record);
        for fact in facts.into_values() {
            table.on_handover(fact);
        }
        table
    }
}

impl Table {
    /// Handles a received record; an older one changes nothing.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{group::Record, route::Table};
    ///
    /// let mut table = Table::default();
    /// table.on_record(2, Record::default());
    /// assert_eq!(table.version(), 2);
    /// ```
    pub fn on_record(&mut self, version: Version, record: Record) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.facts.retain(|_, fact| !merge::includes(&record, fact));
        self.record = record;
        self.view = merge::view(&self.record, &self.facts);
    }

    /// Handles a received handover; one that is already known changes nothing.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{handover::Handover, range::Range, route::Table};
    ///
    /// let mut table = Table::default();
    /// table.on_handover(Handover {
    ///     group: "tracking/0".into(),
    ///     range: Range::ALL,
    ///     epoch: 2,
    ///     chain: vec![],
    /// });
    /// assert!(table.owner(7).is_none());
    /// ```
    pub fn on_handover(&mut self, fact: Handover) {
        let other_group = self.version > 0 && fact.group != self.record.group;
        if other_group || (self.version > 0 && merge::includes(&self.record, &fact)) {
            return;
        }
        self.facts.insert((fact.range, fact.epoch), fact);
        self.view = merge::view(&self.record, &self.facts);
    }

    /// Returns the version of the newest record, or 0 before the first one.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::route::Table;
    ///
    /// assert_eq!(Table::default().version(), 0);
    /// ```
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the owner of a point, if the group covers it.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::route::Table;
    ///
    /// assert!(Table::default().owner(7).is_none());
    /// ```
    pub fn owner(&self, point: Point) -> Option<Owner> {
        let entries = &self.view.ranges;
        let index = entries.partition_point(|entry| entry.range.end < point);
        let entry = entries
            .get(index)
            .filter(|entry| entry.range.contains(point))?;
        self.owner_of(entry)
    }

    fn owner_of(&self, entry: &Entry) -> Option<Owner> {
        let target = entry.chain.first()?;
        let member = self.view.members.get(target)?;
        Some(Owner {
            range: entry.range,
            epoch: entry.epoch,
            target: target.clone(),
            term: member.term,
            boot: member.boot.clone(),
            address: member.address.clone(),
            fencing: member.fencing,
            moving: entry.moving,
        })
    }

    /// Handles received leases of ranges whose owners don't check grants.
    ///
    /// `asked` is the time at which they were requested: they are counted from then.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{grantor::Timing, route::Table};
    ///
    /// Table::default().on_lease(&Timing::default(), Duration::ZERO, vec![]);
    /// ```
    pub fn on_lease(&mut self, timing: &Timing, asked: Duration, routes: Vec<Leased>) {
        let until = asked + timing.holder_span(timing.grant);
        self.leases.retain(|_, end| *end > asked);
        for leased in routes {
            let key = (leased.range, leased.epoch, leased.target, leased.term);
            let end = self.leases.entry(key).or_default();
            *end = until.max(*end);
        }
    }

    /// Returns the time until which a request may be sent to an owner and run there.
    ///
    /// For an owner that checks grants this is [`Duration::MAX`], since the owner itself refuses
    /// requests for ranges that it doesn't hold. For one that doesn't, it is the end of the lease of
    /// exactly the range that the owner holds now, or nothing without such a lease. Requests still
    /// in flight at that time must be cancelled, unless the range is only moving.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{document::Fencing, range::Range, route::{Owner, Table}};
    ///
    /// let owner = Owner {
    ///     range: Range::ALL,
    ///     epoch: 1,
    ///     target: "a".into(),
    ///     term: 1,
    ///     boot: "boot-1".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     fencing: Fencing::Unchecked,
    ///     moving: false,
    /// };
    /// assert_eq!(Table::default().valid_until(&owner), None);
    /// ```
    pub fn valid_until(&self, owner: &Owner) -> Option<Duration> {
        if owner.fencing == Fencing::Checked {
            return Some(Duration::MAX);
        }
        let key = (owner.range, owner.epoch, owner.target.clone(), owner.term);
        self.leases.get(&key).copied()
    }
}
