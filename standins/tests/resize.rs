//! Splits and joins of a record's ranges, as seen by a target that checks grants.
//!
//! Guards against a split that keeps the epoch of its range: the owner would refuse the new parts.

use std::time::Duration;

use bramleypier::{
    group::{Entry, Record, resize},
    range::Range,
};
use bramleypier_standins::holder::{EpochRange, Grant, Holder};

const UNTIL_MS: u64 = 1_000;
const NOW: Duration = Duration::from_millis(10);

fn record() -> Record {
    let entry = Entry {
        range: Range::ALL,
        epoch: 1,
        chain: vec!["a".into(), "b".into()],
        moving: false,
    };
    Record {
        ranges: vec![entry],
        ..Record::default()
    }
}

/// Grants all ranges of a record to one target and returns how many it refuses.
fn grant(holder: &mut Holder, record: &Record) -> usize {
    let range = |entry: &Entry| EpochRange {
        start: entry.range.start,
        end: entry.range.end,
        epoch: entry.epoch,
    };
    let grant = Grant {
        boot: String::new(),
        until_ms: UNTIL_MS,
        ranges: record.ranges.iter().map(range).collect(),
        release: Vec::new(),
    };
    holder.grant(&grant).len()
}

fn admits_all(holder: &Holder, record: &Record) -> bool {
    record
        .ranges
        .iter()
        .all(|entry| holder.admits(NOW, entry.range.start, entry.epoch))
}

#[test]
fn an_owner_accepts_the_parts_of_a_split_and_the_whole_of_a_join() {
    type Step = fn(&mut Record) -> bool;
    let steps: [(&str, Step); 4] = [
        ("split", |record| resize::split(record, 1_000)),
        ("isolate", |record| resize::isolate(record, 5_000)),
        ("join low", |record| resize::join(record, 0)),
        ("join all", |record| {
            while resize::join(record, 0) {}
            true
        }),
    ];
    let mut holder = Holder::default();
    let mut record = record();
    assert_eq!(grant(&mut holder, &record), 0);
    for (name, step) in steps {
        let before: u64 = record.ranges.iter().map(|entry| entry.epoch).max().unwrap();
        assert!(step(&mut record), "{name}");
        assert_eq!(grant(&mut holder, &record), 0, "{name}: refused");
        assert!(admits_all(&holder, &record), "{name}: not admitted");
        let after = record.ranges.iter().map(|entry| entry.epoch).max().unwrap();
        assert!(after >= before, "{name}: the epoch decreased");
    }
}
