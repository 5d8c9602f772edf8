//! The compact form in which a record is stored and relayed: a table of owners, and ranges by their widths.
//!
//! A record is sent to each VM at each change, so its size matters: an owner has many ranges, and its id and
//! address would be most of the bytes.

use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::record::{Error, Fence, Incarnation, KeyRange, Record, RequestKey, Term};

/// A range; it begins after the end of the previous one.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PackedRange {
    width: u64,
    fence: Fence,
    /// The owner's index in the table.
    owner: Option<usize>,
}

/// The stored form of a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Packed {
    term: Term,
    manager: String,
    resigned: bool,
    settled: bool,
    counter: u64,
    owners: Vec<Incarnation>,
    #[serde(rename = "parts")]
    ranges: Vec<PackedRange>,
}

/// What follows the stored form as a value of its own, with named fields: builds that don't know it ignore it, and builds
/// that know more fields treat missing ones as empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Details {
    grants_left: Option<Duration>,
}

impl From<&Record> for Details {
    fn from(record: &Record) -> Self {
        Self {
            grants_left: record.grants_left,
        }
    }
}

impl From<&Record> for Packed {
    fn from(record: &Record) -> Self {
        let mut owners: IndexSet<&Incarnation> = IndexSet::new();
        let ranges = record.ranges.iter().map(|range| PackedRange {
            width: range.width(),
            fence: range.fence,
            owner: range
                .owner
                .as_ref()
                .map(|incarnation| owners.insert_full(incarnation).0),
        });
        let ranges = ranges.collect();
        Self {
            term: record.term,
            manager: record.manager.clone(),
            resigned: record.resigned,
            settled: record.settled,
            counter: record.counter,
            owners: owners.into_iter().cloned().collect(),
            ranges,
        }
    }
}

impl Packed {
    /// Returns the record.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidRange`] when a range has no width, exceeds the largest key, or names an owner that isn't in
    /// the table.
    pub(super) fn unpack(self, details: &Details) -> Result<Record, Error> {
        let mut from: RequestKey = 0;
        let mut ranges = Vec::with_capacity(self.ranges.len());
        for (position, range) in self.ranges.iter().enumerate() {
            let last = range.width.checked_sub(1);
            let to = last.and_then(|last| from.checked_add(last));
            let to = to.ok_or(Error::InvalidRange(position))?;
            let owner = match range.owner {
                Some(index) => Some(
                    self.owners
                        .get(index)
                        .ok_or(Error::InvalidRange(position))?,
                ),
                None => None,
            };
            ranges.push(KeyRange {
                from,
                to,
                fence: range.fence,
                owner: owner.cloned(),
            });
            from = to.saturating_add(1);
        }
        Ok(Record {
            term: self.term,
            manager: self.manager,
            resigned: self.resigned,
            counter: self.counter,
            ranges,
            settled: self.settled,
            grants_left: details.grants_left,
        })
    }
}
