//! Laying handovers over a record: the higher epoch wins.

use crate::{
    group::{Entry, Record},
    handover::{Handover, Handovers},
    id::TargetId,
    range::Range,
};

/// Returns the record with the facts laid over it, lower epochs first.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Record, merge}, handover::Handovers};
///
/// let record = Record::default();
/// assert_eq!(merge::view(&record, &Handovers::new()), record);
/// ```
pub fn view(record: &Record, facts: &Handovers) -> Record {
    let mut view = record.clone();
    let mut order: Vec<&Handover> = facts.values().collect();
    order.sort_by_key(|fact| fact.epoch);
    for fact in order {
        if applies(record, fact) {
            lay(&mut view.ranges, fact);
        }
    }
    view
}

/// Returns whether the record already carries the handover, or a later owner.
///
/// # Example
///
/// ```
/// use bramleypier::{group::{Record, merge}, handover::Handover, range::Range};
///
/// let fact = Handover { group: "s/0".into(), range: Range::ALL, epoch: 2, chain: vec![] };
/// assert!(merge::includes(&Record::default(), &fact));
/// ```
pub fn includes(record: &Record, fact: &Handover) -> bool {
    record
        .ranges
        .iter()
        .filter(|entry| entry.range.overlaps(&fact.range))
        .all(|entry| entry.epoch >= fact.epoch)
}

/// Returns whether the record knows each heir under the term that the handover names.
///
/// A fact that names a newer term waits for the record that admitted it.
fn applies(record: &Record, fact: &Handover) -> bool {
    !fact.chain.is_empty()
        && fact.chain.iter().all(|heir| {
            let member = record.members.get(&heir.target);
            member.is_some_and(|member| member.term == heir.term)
        })
}

/// Lays one handover over the entries.
fn lay(ranges: &mut Vec<Entry>, fact: &Handover) {
    let chain: Vec<TargetId> = fact.chain.iter().map(|heir| heir.target.clone()).collect();
    let mut laid: Vec<Entry> = Vec::with_capacity(ranges.len());
    for entry in ranges.drain(..) {
        if entry.epoch >= fact.epoch || !entry.range.overlaps(&fact.range) {
            laid.push(entry);
            continue;
        }
        let start = entry.range.start.max(fact.range.start);
        let end = entry.range.end.min(fact.range.end);
        if entry.range.start < start {
            laid.push(cut(&entry, entry.range.start, start - 1));
        }
        push(
            &mut laid,
            Entry {
                range: Range { start, end },
                epoch: fact.epoch,
                chain: chain.clone(),
                moving: false,
            },
        );
        if end < entry.range.end {
            laid.push(cut(&entry, end + 1, entry.range.end));
        }
    }
    *ranges = laid;
}

/// Adds a part of a handover, joined to the part before it.
fn push(laid: &mut Vec<Entry>, part: Entry) {
    let joins = |last: &Entry| {
        last.range.end.checked_add(1) == Some(part.range.start)
            && last.epoch == part.epoch
            && last.chain == part.chain
            && !last.moving
    };
    match laid.last_mut() {
        Some(last) if joins(last) => last.range.end = part.range.end,
        _ => laid.push(part),
    }
}

fn cut(entry: &Entry, start: u64, end: u64) -> Entry {
    Entry {
        range: Range { start, end },
        ..entry.clone()
    }
}
