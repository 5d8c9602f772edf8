//! Relays of what changed in a service's record: they lead to exactly the record that the store holds, or are rejected.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    fleet::{Fleet, LogPosition, RecordUpdate, Relay},
    owner::{
        record::{Incarnation, Record},
        record_delta::RecordDelta,
    },
    peer::{Envelope, News, SyncRequest},
    store::Change,
};
use fleet_fixture::{TextCatalogue, put, store_keys};
use indexmap::IndexMap;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(50);
const LAST_KEY: u64 = 65_535;
/// The key of the service's record in the store.
const RECORD_KEY: &str = "own/owners/s";

fn incarnation(number: u16) -> Incarnation {
    Incarnation {
        id: format!("i-{number:010x}"),
        start_time: 1_700_000_000_000 + u64::from(number),
        address: ([10, 1, 64, 4], 8000 + number).into(),
    }
}

/// One change of a record: its kind, a range of keys and an owner.
type Step = (u8, u64, u64, u16);

fn steps(length: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = (0..8_u8, 0..=LAST_KEY, 0..6000_u64, 0..12_u16);
    prop::collection::vec(step, 1..length)
}

fn change(record: &mut Record, (kind, from, width, owner): Step) {
    let to = LAST_KEY.min(from + width);
    let fence = record.next_fence();
    match kind {
        0 => record.term += 1,
        1 => record.resigned = !record.resigned,
        2 => record.manager = format!("vm-{owner}/8d1f"),
        3 => {
            // Neighbouring ranges become one.
            record.split(from, to);
            record
                .ranges
                .retain(|it| it.to < from || it.from > to || it.from == from);
            let merged = record.ranges.iter_mut().find(|it| it.from == from);
            merged.unwrap().to = to;
        }
        _ => {
            record.split(from, to);
            let inside = |from_key: u64| (from..=to).contains(&from_key);
            for range in record.ranges.iter_mut().filter(|it| inside(it.from)) {
                range.owner = (kind > 4).then(|| incarnation(owner));
                range.fence = fence;
            }
        }
    }
}

/// One VM's view, and how far it has read the sender's log.
#[derive(Default)]
struct Receiver {
    fleet: Fleet,
    position: LogPosition,
}

impl Receiver {
    /// Gets what is new from another VM; returns the number of records that came as updates, or the service whose
    /// record was rejected.
    fn sync(&mut self, sender: &Fleet, tells_records: bool) -> Result<usize, String> {
        let held = if tells_records {
            self.fleet.held_records()
        } else {
            IndexMap::new()
        };
        let mut relay = sender.relay("sender/1", &self.position, self.fleet.followed());
        let record_updates = sender.take_updates(&mut relay, &held, &store_keys());
        let news = News {
            record_updates,
            ..News::default()
        };
        let message = SyncRequest::default();
        let bytes = Envelope { message, news }.encode();
        let envelope = Envelope::<SyncRequest>::decode(&bytes).unwrap();
        let updates = envelope.news.record_updates;
        self.fleet
            .put_updates(&mut relay, &updates, &store_keys())?;
        self.position = relay.position().clone();
        self.fleet
            .on_relay(NOW, &relay, true, &store_keys(), &TextCatalogue);
        Ok(updates.len())
    }

    /// Returns the record's bytes and revision as this VM would relay them.
    fn stored(&self) -> Option<(Vec<u8>, u64)> {
        let relay = self
            .fleet
            .relay("receiver/1", &LogPosition::default(), &[].into());
        let Relay::Whole { items, .. } = relay else {
            panic!("a VM without a position gets the whole state");
        };
        let item = items.into_iter().find(|it| it.key == RECORD_KEY)?;
        Some((item.value, item.revision))
    }
}

fn write(fleet: &mut Fleet, record: &Record, revision: u64) {
    let written = put(RECORD_KEY, record.encode(), revision);
    fleet.on_change(NOW, &written, &store_keys(), &TextCatalogue);
    fleet.on_followed("", revision);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn deltas_lead_to_the_same_record(steps in steps(40)) {
        let mut record = Record::unowned(LAST_KEY);
        for step in steps {
            let base = record.clone();
            change(&mut record, step);
            let delta = RecordDelta::between(&base, &record).encode();
            let applied = RecordDelta::decode(&delta).unwrap().apply(&base).unwrap();
            prop_assert_eq!(&applied, &record);
            prop_assert_eq!(applied.encode(), record.encode());
        }
    }

    /// VMs that sync at different times, of builds with and without updates, hold the record that the store holds.
    #[test]
    fn all_vms_hold_the_bytes_of_the_store(
        steps in steps(80),
        syncs in prop::collection::vec((any::<bool>(), any::<bool>()), 80),
    ) {
        let mut sender = Fleet::default();
        let mut receivers = [Receiver::default(), Receiver::default()];
        let mut record = Record::unowned(LAST_KEY);
        for ((revision, step), (first, second)) in (1..).zip(steps).zip(syncs) {
            change(&mut record, step);
            write(&mut sender, &record, revision);
            for (number, due) in [first, second].into_iter().enumerate() {
                if due {
                    receivers[number].sync(&sender, number == 0).unwrap();
                    let expected = Some((record.encode(), revision));
                    prop_assert_eq!(receivers[number].stored(), expected);
                }
            }
        }
    }

    #[test]
    fn any_bytes_are_a_delta_or_none(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(delta) = RecordDelta::decode(&bytes) {
            delta.apply(&Record::unowned(LAST_KEY));
        }
    }
}

/// Returns a sender whose record has changed once, and a receiver that holds the record before the change.
fn one_change() -> (Fleet, Receiver, Record) {
    let (mut sender, mut receiver) = (Fleet::default(), Receiver::default());
    let mut record = Record::unowned(LAST_KEY);
    for owner in 0..40 {
        change(&mut record, (5, u64::from(owner) * 1600, 1599, owner));
    }
    write(&mut sender, &record, 7);
    receiver.sync(&sender, true).unwrap();
    change(&mut record, (5, 300, 100, 3));
    write(&mut sender, &record, 8);
    (sender, receiver, record)
}

#[test]
fn a_vm_that_tells_no_records_gets_them_whole() {
    let (sender, mut receiver, record) = one_change();
    assert_eq!(receiver.sync(&sender, false), Ok(0));
    assert_eq!(receiver.stored(), Some((record.encode(), 8)));
}

/// Guards against a record that no VM has written: the update is applied to another record than the sender's.
#[test]
fn an_update_that_leads_to_another_record_is_rejected_and_the_whole_is_asked_for() {
    let (sender, mut receiver, record) = one_change();
    let mut relay = sender.relay("sender/1", &receiver.position, receiver.fleet.followed());
    let updates = sender.take_updates(&mut relay, &receiver.fleet.held_records(), &store_keys());
    let [update] = updates.as_slice() else {
        panic!("{updates:?}");
    };
    let broken = [
        RecordUpdate {
            checksum: update.checksum + 1,
            ..update.clone()
        },
        RecordUpdate {
            steps: Vec::new(),
            ..update.clone()
        },
        RecordUpdate {
            base: update.base - 1,
            ..update.clone()
        },
    ];
    for update in broken {
        let fleet = &receiver.fleet;
        let put = fleet.put_updates(&mut relay.clone(), &[update], &store_keys());
        assert_eq!(put, Err("s".to_owned()));
    }
    // The receiver holds other bytes at the same revision.
    let (mut other, mut other_record) = (Receiver::default(), record.clone());
    change(&mut other_record, (5, 9000, 100, 4));
    write(&mut other.fleet, &other_record, 7);
    other.position = receiver.position.clone();
    assert_eq!(other.sync(&sender, true), Err("s".to_owned()));
    assert_eq!(other.sync(&sender, false), Ok(0));
    assert_eq!(other.stored(), Some((record.encode(), 8)));
    assert_eq!(receiver.sync(&sender, true), Ok(1));
}

/// Guards against relays of the whole record: at 181 targets with three ranges each, one move took 10 KB to each VM.
#[test]
fn a_move_of_a_range_takes_few_bytes() {
    let (mut sender, mut receiver) = (Fleet::default(), Receiver::default());
    let mut record = Record::unowned(LAST_KEY);
    record.term = 3;
    for range in 0..543_u16 {
        change(&mut record, (5, u64::from(range) * 120, 119, range % 181));
    }
    write(&mut sender, &record, 1);
    receiver.sync(&sender, true).unwrap();
    let (mut whole, mut updates) = (0, 0);
    for revision in 2..202_u16 {
        change(
            &mut record,
            (5, u64::from(revision) * 311, 30, revision % 181),
        );
        write(&mut sender, &record, u64::from(revision));
        let size = |relay: &Relay, record_updates: Vec<RecordUpdate>| {
            let news = News {
                record_updates,
                ..News::default()
            };
            let envelope = Envelope {
                message: SyncRequest::default(),
                news,
            };
            let Relay::Changes { changes, .. } = relay else {
                panic!("a relay of changes");
            };
            let puts = changes.iter().filter_map(|it| match it {
                Change::Put(item) => Some(item.value.len()),
                Change::Removed { .. } => None,
            });
            puts.sum::<usize>() + envelope.encode().len()
        };
        let followed = receiver.fleet.followed().clone();
        let mut relay = sender.relay("sender/1", &receiver.position, &followed);
        whole += size(&relay, Vec::new());
        let held = receiver.fleet.held_records();
        let update = sender.take_updates(&mut relay, &held, &store_keys());
        updates += size(&relay, update);
        receiver.sync(&sender, true).unwrap();
    }
    println!(
        "bytes per change: whole {}, updates {}",
        whole / 200,
        updates / 200
    );
    assert_eq!(receiver.stored(), Some((record.encode(), 201)));
    assert!(updates * 20 < whole, "{updates} of {whole}");
}
