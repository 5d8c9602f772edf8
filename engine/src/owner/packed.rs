//! A record as it is stored and relayed: each owner once, and ranges by their widths.
//!
//! A record goes to each VM at each change, so its size counts: an owner has many ranges, and its
//! id and address would be most of the bytes.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::record::{Error, Fence, Incarnation, KeyRange, Record, RequestKey, Term};

/// A range; it begins where the one before it ends.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PackedRange {
    width: u64,
    fence: Fence,
    /// The owner's place in the table.
    owner: Option<usize>,
}

/// A record's stored form.
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

impl From<&Record> for Packed {
    fn from(record: &Record) -> Self {
        let mut owners: IndexSet<&Incarnation> = IndexSet::new();
        let ranges = record.ranges.iter().map(|part| PackedRange {
            width: part.width(),
            fence: part.fence,
            owner: part.owner.as_ref().map(|life| owners.insert_full(life).0),
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
    /// [`Error::InvalidRange`] when a range has no width, goes beyond the last number, or names no owner
    /// of the table.
    pub(super) fn unpack(self) -> Result<Record, Error> {
        let mut from: RequestKey = 0;
        let mut ranges = Vec::with_capacity(self.ranges.len());
        for (place, part) in self.ranges.iter().enumerate() {
            let last = part.width.checked_sub(1);
            let to = last.and_then(|last| from.checked_add(last));
            let to = to.ok_or(Error::InvalidRange(place))?;
            let owner = match part.owner {
                Some(index) => Some(self.owners.get(index).ok_or(Error::InvalidRange(place))?),
                None => None,
            };
            ranges.push(KeyRange {
                from,
                to,
                fence: part.fence,
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
        })
    }
}
