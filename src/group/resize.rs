//! Splitting hot ranges, and joining adjacent ranges with little load.

use crate::{
    group::{Entry, Record},
    key::Point,
    range::Range,
};

/// Splits the entry that contains the point so that a new entry starts there.
///
/// Both parts keep the chain and take the next epoch: a target refuses an epoch that it knows under
/// other bounds. A split is as safe as a change of successors, since the same rule applies: only a
/// grantor of the owner that has not stopped it may write this, so a later release derives its
/// handovers from this record or a newer one. A range that is moving to another owner isn't split,
/// since its handover is fixed. Returns whether something changed.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Entry, Record, resize}, range::Range};
///
/// let entry = Entry { range: Range::ALL, epoch: 1, chain: vec!["a".into()], moving: false };
/// let mut record = Record { ranges: vec![entry], ..Record::default() };
/// assert!(resize::split(&mut record, 100));
/// assert_eq!(record.ranges[1].range.start, 100);
/// assert!(record.ranges.iter().all(|part| part.epoch == 2));
/// ```
pub fn split(record: &mut Record, at: Point) -> bool {
    let fits = |entry: &Entry| entry.range.contains(at) && entry.range.start < at && !entry.moving;
    let Some(index) = record.ranges.iter().position(fits) else {
        return false;
    };
    record.ranges[index].epoch += 1;
    let mut high = record.ranges[index].clone();
    high.range.start = at;
    record.ranges[index].range.end = at - 1;
    record.ranges.insert(index + 1, high);
    true
}

/// Splits so that the point gets a range of its own. Returns whether something changed.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Entry, Record, resize}, range::Range};
///
/// let entry = Entry { range: Range::ALL, epoch: 1, chain: vec!["a".into()], moving: false };
/// let mut record = Record { ranges: vec![entry], ..Record::default() };
/// assert!(resize::isolate(&mut record, 100));
/// assert_eq!(record.ranges[1].range, Range { start: 100, end: 100 });
/// ```
pub fn isolate(record: &mut Record, point: Point) -> bool {
    let low = split(record, point);
    let high = point.checked_add(1).is_some_and(|next| split(record, next));
    low || high
}

/// Joins an entry with the next one if both have the same owner and neither is moving.
///
/// The joined range takes the successors of the part with the higher epoch, and the epoch after it:
/// epochs never decrease. No handover of either part can exist while a grantor of the owner may
/// still write this. Returns whether something changed.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Entry, Record, resize}, range::Range};
///
/// let low = Range { start: 0, end: 9 };
/// let high = Range { start: 10, end: u64::MAX };
/// let entry = |range, epoch| Entry { range, epoch, chain: vec!["a".into()], moving: false };
/// let mut record = Record { ranges: vec![entry(low, 3), entry(high, 2)], ..Record::default() };
/// assert!(resize::join(&mut record, 0));
/// assert_eq!(record.ranges, [entry(Range::ALL, 4)]);
/// ```
pub fn join(record: &mut Record, index: usize) -> bool {
    let Some([low, high]) = record.ranges.get(index..index + 2) else {
        return false;
    };
    if low.moving || high.moving || low.chain.first() != high.chain.first() {
        return false;
    }
    let higher = if high.epoch > low.epoch { high } else { low };
    let joined = Entry {
        range: Range {
            start: low.range.start,
            end: high.range.end,
        },
        epoch: higher.epoch + 1,
        ..higher.clone()
    };
    record.ranges.splice(index..index + 2, [joined]);
    true
}
