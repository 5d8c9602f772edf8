//! The rules by which a target accepts and holds grants, without I/O.
//!
//! They decide which ranges of the hash space a target may serve, under which epoch and until when.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{clock, decimal};

/// A range of the hash space at an epoch; both bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EpochRange {
    /// The first point.
    #[serde(with = "decimal")]
    pub start: u64,
    /// The last point.
    #[serde(with = "decimal")]
    pub end: u64,
    /// The epoch.
    pub epoch: u64,
}

impl EpochRange {
    fn overlaps(&self, other: &Self) -> bool {
        self.start <= other.end && other.start <= self.end
    }

    fn covers(&self, other: &Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }

    fn contains(&self, hash: u64) -> bool {
        self.start <= hash && hash <= self.end
    }
}

/// A grant as the grantor sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The incarnation of the target that the grant is for.
    pub boot: String,
    /// The expiry in milliseconds of the target's clock.
    pub until_ms: u64,
    /// The granted ranges.
    #[serde(default)]
    pub ranges: Vec<EpochRange>,
    /// The ranges that the target must release.
    #[serde(default)]
    pub release: Vec<EpochRange>,
}

/// A range that the target holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldRange {
    /// The first point.
    #[serde(with = "decimal")]
    pub start: u64,
    /// The last point.
    #[serde(with = "decimal")]
    pub end: u64,
    /// The epoch.
    pub epoch: u64,
    /// The expiry in milliseconds of the target's clock.
    pub until_ms: u64,
}

impl HeldRange {
    fn range(&self) -> EpochRange {
        EpochRange {
            start: self.start,
            end: self.end,
            epoch: self.epoch,
        }
    }
}

/// The target's state as it reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The incarnation of the target.
    pub boot: String,
    /// The target's clock in milliseconds.
    pub clock_ms: u64,
    /// `cold`, `ready` or `draining`; an injected fault may make it false.
    pub phase: String,
    /// Running and queued requests per slot; an injected fault may make it false.
    pub load: f64,
    /// The ranges that it holds, including expired ones.
    pub held: Vec<HeldRange>,
    /// The released ranges that have no requests in flight.
    pub released: Vec<EpochRange>,
    /// The ranges that it refused of the grant to which this responds.
    pub refused: Vec<EpochRange>,
    /// The number of running requests.
    pub running: usize,
}

/// The grants that a target holds.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_standins::holder::{EpochRange, Grant, Holder};
///
/// let mut holder = Holder::default();
/// let range = EpochRange { start: 0, end: 9, epoch: 1 };
/// holder.grant(&Grant { boot: String::new(), until_ms: 100, ranges: vec![range], release: vec![] });
/// assert!(holder.admits(Duration::from_millis(99), 5, 1));
/// assert!(!holder.admits(Duration::from_millis(100), 5, 1));
/// ```
#[derive(Debug, Default)]
pub struct Holder {
    held: Vec<HeldRange>,
    min_epochs: Vec<EpochRange>,
    releases: Vec<EpochRange>,
    running: IndexMap<u64, (u64, u64)>,
}

impl Holder {
    /// Applies a grant and returns the ranges that it refuses.
    ///
    /// A range is refused if its epoch is below the minimum epoch of any of its points: the highest
    /// epoch granted there, or one more than the highest released. It is also refused if it overlaps
    /// a held range of the same epoch with other bounds.
    pub fn grant(&mut self, grant: &Grant) -> Vec<EpochRange> {
        for range in &grant.release {
            self.release(*range);
        }
        let mut refused = Vec::new();
        for range in &grant.ranges {
            if !self.accept(*range, grant.until_ms) {
                refused.push(*range);
            }
        }
        refused
    }

    fn accept(&mut self, range: EpochRange, until_ms: u64) -> bool {
        let min_epochs = self.min_epochs.iter();
        if min_epochs
            .clone()
            .any(|minimum| minimum.overlaps(&range) && minimum.epoch > range.epoch)
        {
            return false;
        }
        let same_bounds = |held: &HeldRange| held.start == range.start && held.end == range.end;
        let conflicts = |held: &HeldRange| held.epoch == range.epoch && !same_bounds(held);
        if self
            .held
            .iter()
            .any(|held| held.range().overlaps(&range) && conflicts(held))
        {
            return false;
        }
        if let Some(held) = self.held.iter_mut().find(|held| held.range() == range) {
            held.until_ms = held.until_ms.max(until_ms);
            return true;
        }
        self.raise_minimum(range);
        self.held.push(HeldRange {
            start: range.start,
            end: range.end,
            epoch: range.epoch,
            until_ms,
        });
        true
    }

    fn release(&mut self, range: EpochRange) {
        if !self.releases.contains(&range) {
            self.releases.push(range);
        }
        let epoch = range.epoch + 1;
        self.raise_minimum(EpochRange { epoch, ..range });
    }

    /// Raises the minimum epoch of a range and drops held ranges below it.
    fn raise_minimum(&mut self, minimum: EpochRange) {
        self.min_epochs
            .retain(|old| !(minimum.covers(old) && old.epoch <= minimum.epoch));
        self.min_epochs.push(minimum);
        self.held
            .retain(|held| !(held.range().overlaps(&minimum) && held.epoch < minimum.epoch));
    }

    /// Returns whether work for this hash under this epoch may start now.
    pub fn admits(&self, now: Duration, hash: u64, epoch: u64) -> bool {
        let now = clock::millis(now);
        self.held
            .iter()
            .any(|held| held.range().contains(hash) && held.epoch == epoch && now < held.until_ms)
    }

    /// Records the start of a run.
    pub fn start(&mut self, number: u64, hash: u64, epoch: u64) {
        self.running.insert(number, (hash, epoch));
    }

    /// Records the end of a run.
    pub fn end(&mut self, number: u64) {
        self.running.swap_remove(&number);
    }

    /// Returns the held ranges, including expired ones.
    pub fn held(&self) -> &[HeldRange] {
        &self.held
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the released ranges that have no requests in flight.
    pub fn released(&self) -> Vec<EpochRange> {
        let in_flight = |range: &EpochRange| {
            self.running
                .values()
                .any(|(hash, epoch)| range.contains(*hash) && *epoch <= range.epoch)
        };
        let releases = self.releases.iter();
        releases
            .filter(|range| !in_flight(range))
            .copied()
            .collect()
    }
}
