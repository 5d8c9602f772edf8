//! The difference between two versions of a record.
//!
//! Load pattern: with 181 targets a record has some 10 KB and changes hundreds of times a minute, a few ranges at a time.
//! Each change goes to every VM, and bytes between failure domains are priced.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::record::{Fence, Incarnation, KeyRange, Record, RequestKey};

/// A range that the base lacks.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ChangedRange {
    /// How many keys lie between the end of the previous changed range and this one.
    gap: u64,
    width: u64,
    /// By how much its fence is above the highest one of the base, modulo 2^64.
    fence: i64,
    /// The index of its owner among the base's owners, in the order in which they occur, and the new ones.
    owner: Option<usize>,
}

/// What makes one version of a record from an earlier one, the base.
///
/// Both cover all keys without a gap, so a range of the base stays if and only if no changed range overlaps it.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{record::Record, record_delta::RecordDelta};
///
/// let base = Record::unowned(65_535);
/// let mut next = base.clone();
/// next.split(256, 511);
/// next.next_fence();
/// let delta = RecordDelta::between(&base, &next).encode();
/// assert_eq!(RecordDelta::decode(&delta).unwrap().apply(&base), Some(next));
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordDelta {
    /// The record without its ranges, as it is stored.
    #[serde(with = "serde_bytes")]
    head: Vec<u8>,
    /// Owners that the base lacks.
    new_owners: Vec<Incarnation>,
    ranges: Vec<ChangedRange>,
}

impl RecordDelta {
    /// Returns the difference between two versions of a record.
    ///
    /// # Example
    ///
    /// See [`RecordDelta`].
    pub fn between(base: &Record, next: &Record) -> Self {
        let mut owners = owners(base);
        let base_owners = owners.len();
        let top_fence = top_fence(base);
        let mut ranges = Vec::new();
        let mut from: RequestKey = 0;
        for range in &next.ranges {
            if base.find(range.from) == Some(range) {
                continue;
            }
            ranges.push(ChangedRange {
                gap: range.from.wrapping_sub(from),
                width: range.width(),
                fence: range.fence.wrapping_sub(top_fence).cast_signed(),
                owner: range.owner.as_ref().map(|it| owners.insert_full(it).0),
            });
            from = range.to.wrapping_add(1);
        }
        let new_owners = owners.into_iter().skip(base_owners).cloned().collect();
        let mut head = next.clone();
        head.ranges.clear();
        Self {
            head: head.encode(),
            new_owners,
            ranges,
        }
    }

    /// Returns the later version; `None` if the delta is invalid or needs another base.
    ///
    /// A wrong base may still give a record, so the result has to be compared with a checksum of the right one.
    ///
    /// # Example
    ///
    /// See [`RecordDelta`].
    pub fn apply(&self, base: &Record) -> Option<Record> {
        let owners: Vec<&Incarnation> = owners(base).into_iter().chain(&self.new_owners).collect();
        let top_fence = top_fence(base);
        let mut changed = Vec::with_capacity(self.ranges.len());
        let mut from: RequestKey = 0;
        for range in &self.ranges {
            from = from.checked_add(range.gap)?;
            let to = from.checked_add(range.width.checked_sub(1)?)?;
            let owner = match range.owner {
                Some(index) => Some(owners.get(index)?),
                None => None,
            };
            changed.push(KeyRange {
                from,
                to,
                fence: top_fence.wrapping_add(range.fence.cast_unsigned()),
                owner: owner.map(|it| Incarnation::clone(it)),
            });
            from = to.wrapping_add(1);
        }
        let mut record = Record::decode(&self.head).ok()?;
        let is_kept = |range: &&KeyRange| {
            let next = changed.partition_point(|it| it.to < range.from);
            changed.get(next).is_none_or(|it| range.to < it.from)
        };
        record.ranges = base.ranges.iter().filter(is_kept).cloned().collect();
        record.ranges.extend(changed);
        record.ranges.sort_by_key(|range| range.from);
        Some(record)
    }

    /// Encodes the delta for a message.
    ///
    /// # Example
    ///
    /// See [`RecordDelta`].
    pub fn encode(&self) -> Vec<u8> {
        // Encoding can't fail: a delta holds numbers and text only.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a delta; `None` if the bytes are none.
    ///
    /// # Example
    ///
    /// See [`RecordDelta`].
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Returns the owners of a record in the order in which they occur.
fn owners(record: &Record) -> IndexSet<&Incarnation> {
    let ranges = record.ranges.iter();
    ranges.filter_map(|it| it.owner.as_ref()).collect()
}

fn top_fence(record: &Record) -> Fence {
    let fences = record.ranges.iter().map(|it| it.fence);
    fences.max().unwrap_or_default()
}
