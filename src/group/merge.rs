//! Applying handovers to a record: for each point the higher epoch wins.

use crate::{
    group::{Entry, Record},
    handover::{Handover, Handovers},
    id::TargetId,
    range::Range,
};

/// Returns the record with the handovers applied, lower epochs first.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Record, merge}, handover::Handovers};
///
/// let record = Record::default();
/// assert_eq!(merge::view(&record, &Handovers::new()), record);
/// ```
pub fn view(record: &Record, handovers: &Handovers) -> Record {
    let mut view = record.clone();
    let mut order: Vec<&Handover> = handovers.values().collect();
    order.sort_by_key(|handover| handover.epoch);
    for handover in order {
        if is_applicable(record, handover) {
            apply(&mut view.ranges, handover);
        }
    }
    view
}

/// Returns whether the record already includes the handover, or a later owner.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Record, merge}, handover::Handover, range::Range};
///
/// let handover = Handover { group: "s/0".into(), range: Range::ALL, epoch: 2, chain: vec![] };
/// assert!(merge::includes(&Record::default(), &handover));
/// ```
pub fn includes(record: &Record, handover: &Handover) -> bool {
    record
        .ranges
        .iter()
        .filter(|entry| entry.range.overlaps(&handover.range))
        .all(|entry| entry.epoch >= handover.epoch)
}

/// Returns whether the record has each successor under the term that the handover names.
///
/// A handover that names a newer term is applied only to the record that admitted that term, or a
/// later one.
fn is_applicable(record: &Record, handover: &Handover) -> bool {
    !handover.chain.is_empty()
        && handover.chain.iter().all(|successor| {
            let member = record.members.get(&successor.target);
            member.is_some_and(|member| member.term == successor.term)
        })
}

/// Applies one handover to the entries.
fn apply(ranges: &mut Vec<Entry>, handover: &Handover) {
    let chain: Vec<TargetId> = handover
        .chain
        .iter()
        .map(|successor| successor.target.clone())
        .collect();
    let mut merged: Vec<Entry> = Vec::with_capacity(ranges.len());
    for entry in ranges.drain(..) {
        if entry.epoch >= handover.epoch || !entry.range.overlaps(&handover.range) {
            merged.push(entry);
            continue;
        }
        let start = entry.range.start.max(handover.range.start);
        let end = entry.range.end.min(handover.range.end);
        if entry.range.start < start {
            merged.push(part_of(&entry, entry.range.start, start - 1));
        }
        push(
            &mut merged,
            Entry {
                range: Range { start, end },
                epoch: handover.epoch,
                chain: chain.clone(),
                moving: false,
            },
        );
        if end < entry.range.end {
            merged.push(part_of(&entry, end + 1, entry.range.end));
        }
    }
    *ranges = merged;
}

/// Adds a part of a handover, and joins it to the part before it if possible.
fn push(merged: &mut Vec<Entry>, part: Entry) {
    let joins = |last: &Entry| {
        last.range.end.checked_add(1) == Some(part.range.start)
            && last.epoch == part.epoch
            && last.chain == part.chain
            && !last.moving
    };
    match merged.last_mut() {
        Some(last) if joins(last) => last.range.end = part.range.end,
        _ => merged.push(part),
    }
}

fn part_of(entry: &Entry, start: u64, end: u64) -> Entry {
    Entry {
        range: Range { start, end },
        ..entry.clone()
    }
}
