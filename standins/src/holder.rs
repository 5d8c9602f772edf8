//! The rules of a target that holds grants, free of I/O.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{clock, decimal};

/// A range at an epoch, both bounds inclusive.
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
    /// The start of the target that it is for.
    pub boot: String,
    /// Until when it holds, on the target's clock.
    pub until_ms: u64,
    /// What it grants.
    #[serde(default)]
    pub ranges: Vec<EpochRange>,
    /// What the target is to let go of.
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
    /// Until when, on the target's clock.
    pub until_ms: u64,
}

impl HeldRange {
    fn span(&self) -> EpochRange {
        EpochRange {
            start: self.start,
            end: self.end,
            epoch: self.epoch,
        }
    }
}

/// The target's state as it answers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// This start of the target.
    pub boot: String,
    /// Its clock.
    pub clock_ms: u64,
    /// `cold`, `ready` or `draining`; it may lie.
    pub phase: String,
    /// Running and waiting requests for each slot; it may lie.
    pub load: f64,
    /// What it holds, lapsed ranges too.
    pub held: Vec<HeldRange>,
    /// What it has let go of, with nothing in flight.
    pub released: Vec<EpochRange>,
    /// What it refused of the grant that this answers.
    pub refused: Vec<EpochRange>,
    /// How many requests run.
    pub running: usize,
}

/// The holder of grants.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_standins::holder::{Grant, Holder, EpochRange};
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
    floors: Vec<EpochRange>,
    releases: Vec<EpochRange>,
    running: IndexMap<u64, (u64, u64)>,
}

impl Holder {
    /// Takes a grant and returns what it refuses of it.
    ///
    /// A range is refused when its epoch is below the floor of any of its points: the highest
    /// epoch seen there, or one more than the highest released. It is refused too when it meets a
    /// range of the same epoch with other bounds.
    pub fn grant(&mut self, grant: &Grant) -> Vec<EpochRange> {
        for span in &grant.release {
            self.release(*span);
        }
        let mut refused = Vec::new();
        for span in &grant.ranges {
            if !self.hold(*span, grant.until_ms) {
                refused.push(*span);
            }
        }
        refused
    }

    fn hold(&mut self, span: EpochRange, until_ms: u64) -> bool {
        let floors = self.floors.iter();
        if floors
            .clone()
            .any(|floor| floor.overlaps(&span) && floor.epoch > span.epoch)
        {
            return false;
        }
        let same = |held: &HeldRange| held.start == span.start && held.end == span.end;
        let clash = |held: &HeldRange| held.epoch == span.epoch && !same(held);
        if self
            .held
            .iter()
            .any(|held| held.span().overlaps(&span) && clash(held))
        {
            return false;
        }
        if let Some(held) = self.held.iter_mut().find(|held| held.span() == span) {
            held.until_ms = held.until_ms.max(until_ms);
            return true;
        }
        self.raise(span);
        self.held.push(HeldRange {
            start: span.start,
            end: span.end,
            epoch: span.epoch,
            until_ms,
        });
        true
    }

    fn release(&mut self, span: EpochRange) {
        if !self.releases.contains(&span) {
            self.releases.push(span);
        }
        let epoch = span.epoch + 1;
        self.raise(EpochRange { epoch, ..span });
    }

    /// Raises the floor of a range and drops what lies below it.
    fn raise(&mut self, floor: EpochRange) {
        self.floors
            .retain(|old| !(floor.covers(old) && old.epoch <= floor.epoch));
        self.floors.push(floor);
        self.held
            .retain(|held| !(held.span().overlaps(&floor) && held.epoch < floor.epoch));
    }

    /// Returns whether work of this hash under this epoch may start now.
    pub fn admits(&self, now: Duration, hash: u64, epoch: u64) -> bool {
        let now = clock::millis(now);
        self.held
            .iter()
            .any(|held| held.span().contains(hash) && held.epoch == epoch && now < held.until_ms)
    }

    /// Notes that the run of this number has started.
    pub fn start(&mut self, number: u64, hash: u64, epoch: u64) {
        self.running.insert(number, (hash, epoch));
    }

    /// Notes that the run of this number has ended.
    pub fn end(&mut self, number: u64) {
        self.running.swap_remove(&number);
    }

    /// Returns what the target holds.
    pub fn held(&self) -> &[HeldRange] {
        &self.held
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the releases for which nothing is in flight any more.
    pub fn released(&self) -> Vec<EpochRange> {
        let busy = |span: &EpochRange| {
            self.running
                .values()
                .any(|(hash, epoch)| span.contains(*hash) && *epoch <= span.epoch)
        };
        let releases = self.releases.iter();
        releases.filter(|span| !busy(span)).copied().collect()
    }
}
