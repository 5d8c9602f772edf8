//! Tests that stored records decode to what was encoded, and that invalid bytes are refused.

use std::time::Duration;

use bramleypier_engine::owner::record::{Incarnation, KeyRange, Record};
use proptest::prelude::*;
use serde::de::IgnoredAny;

fn incarnation(number: u16) -> Incarnation {
    Incarnation {
        id: format!("i-{number:010x}"),
        start_time: 1_700_000_000_000 + u64::from(number),
        address: ([10, 1, 64, 4], 8000 + number).into(),
    }
}

fn record(widths: &[(u64, u64, Option<u16>)]) -> Record {
    let mut from = 0;
    let ranges = widths.iter().map(|(width, fence, owner)| {
        let range = KeyRange {
            from,
            to: from + width - 1,
            fence: *fence,
            owner: owner.map(incarnation),
        };
        from += width;
        range
    });
    Record {
        term: 3,
        manager: "vm-1/8d1f".into(),
        resigned: true,
        counter: 40,
        ranges: ranges.collect(),
        settled: true,
        grants_left: Some(Duration::from_millis(2300)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_stored_record_decodes_to_the_same_record(
        widths in prop::collection::vec((1..5000_u64, any::<u64>(), prop::option::of(0..9_u16)), 0..40)
    ) {
        let record = record(&widths);
        prop_assert_eq!(Record::decode(&record.encode()).unwrap(), record);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert!(record.ranges.iter().all(|range| range.from <= range.to));
        }
    }
}

/// Guards against writing out the owner of each range: 15 owners with 8 ranges each then took 5,776 bytes.
#[test]
fn a_record_stays_small() {
    let widths: Vec<_> = (0..120_u16)
        .map(|it| (546, 16_777_300 + u64::from(it), Some(it % 15)))
        .collect();
    let size = record(&widths).encode().len();
    assert!(size < 2000, "{size} bytes");
}

/// Guards against a record that builds refuse which don't know the duration of the last grants, and the reverse.
#[test]
fn builds_without_the_duration_of_the_last_grants_read_records_and_write_them() {
    type Earlier = (
        u64,
        String,
        bool,
        bool,
        u64,
        Vec<IgnoredAny>,
        Vec<IgnoredAny>,
    );
    let record = record(&[(10, 1, Some(1)), (10, 3, None)]);
    let bytes = record.encode();
    let read: Earlier = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(
        (read.0, read.1, read.6.len()),
        (3, record.manager.clone(), 2)
    );
    let earlier = Record {
        grants_left: None,
        ..record
    };
    assert!(bytes.starts_with(&earlier.encode()));
    assert_eq!(Record::decode(&earlier.encode()).unwrap(), earlier);
}
