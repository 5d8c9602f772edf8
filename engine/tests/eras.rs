//! Tests that VMs agree with a store that comes back older, whichever way they learn of it.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    fleet::{Fleet, LogPosition, REMOVAL_GRACE, Relay},
    owner::record::Record,
    store::{Era, Item, Listing, Revision},
};

use crate::fleet_fixture::{TextCatalogue, put, store_keys};

const NOW: Duration = Duration::from_secs(50);

fn item(key: &str, value: &[u8], revision: Revision) -> Item {
    Item {
        key: key.to_owned(),
        value: value.to_vec(),
        revision,
    }
}

fn list(fleet: &mut Fleet, now: Duration, era: Era, items: Vec<Item>, revision: Revision) {
    let listing = Listing {
        items,
        revision,
        era,
    };
    fleet.on_listing(now, "", &listing, &store_keys(), &TextCatalogue);
    fleet.on_followed("", revision);
}

fn version(fleet: &Fleet) -> u64 {
    fleet.config.as_ref().map_or(0, |config| config.version)
}

/// Guards against a configuration that never comes into force because its revision was given out before.
#[test]
fn a_configuration_of_a_new_era_replaces_one_of_a_higher_revision() {
    let mut fleet = Fleet::default();
    list(&mut fleet, NOW, 1, vec![item("config", b"7", 90)], 95);
    list(&mut fleet, NOW, 2, vec![item("config", b"8", 40)], 41);
    assert_eq!(version(&fleet), 8);
    fleet.on_change(NOW, &put("config", b"9", 42), &store_keys(), &TextCatalogue);
    assert_eq!((version(&fleet), fleet.followed()[""]), (9, 41));
}

#[test]
fn a_configuration_never_goes_back_with_the_store() {
    let mut fleet = Fleet::default();
    list(&mut fleet, NOW, 1, vec![item("config", b"7", 90)], 95);
    list(&mut fleet, NOW, 2, vec![item("config", b"5", 40)], 41);
    assert_eq!(version(&fleet), 7);
    list(&mut fleet, NOW, 1, vec![item("config", b"8", 99)], 99);
    assert_eq!(
        version(&fleet),
        7,
        "a late listing of the earlier era counts for nothing"
    );
}

/// Guards against requests that follow a record which has lost the last moves.
#[test]
fn a_record_of_owners_never_goes_back_with_the_store() {
    let mut old = Record::unowned(99);
    old.term = 1;
    let mut new = old.clone();
    new.next_fence();
    let key = store_keys().record("s");
    let mut fleet = Fleet::default();
    list(&mut fleet, NOW, 1, vec![item(&key, &new.encode(), 90)], 95);
    list(&mut fleet, NOW, 2, vec![item(&key, &old.encode(), 40)], 41);
    assert_eq!(*fleet.records["s"].record, new);
}

/// Guards against targets that count as gone, and domains that count as taken back, while both are written again.
#[test]
fn what_targets_and_operators_write_again_is_not_gone_meanwhile() {
    let mut fleet = Fleet::default();
    let before = vec![
        item("targets/a", b"d 0", 90),
        item("targets/b", b"d 0", 91),
        item("evacuated/d2", b"{}", 92),
        item("evacuated/d3", b"{}", 93),
    ];
    list(&mut fleet, NOW, 1, before, 95);
    list(&mut fleet, NOW, 2, Vec::new(), 41);
    assert_eq!(fleet.targets.len(), 2);
    assert!(fleet.is_evacuated("d2") && fleet.is_evacuated("d3"));
    for change in [put("targets/a", b"d 0", 42), put("evacuated/d2", b"{}", 43)] {
        fleet.on_change(NOW, &change, &store_keys(), &TextCatalogue);
    }
    fleet.expire(NOW + REMOVAL_GRACE);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["a"]);
    assert!(fleet.is_evacuated("d2") && !fleet.is_evacuated("d3"));
}

/// Guards against messages of a VM that doesn't know yet that the store has come back older.
#[test]
fn a_relay_of_an_earlier_era_counts_for_nothing() {
    let (mut old, mut new) = (Fleet::default(), Fleet::default());
    list(
        &mut old,
        NOW,
        1,
        vec![item("config", b"7", 90), item("targets/a", b"d 0", 91)],
        95,
    );
    list(&mut new, NOW, 2, vec![item("config", b"8", 40)], 41);
    let relay = old.relay_to(new.era(), "old", &LogPosition::default(), new.followed());
    let result = new.on_relay_of(NOW, old.era(), &relay, true, &store_keys(), &TextCatalogue);
    assert_eq!(result, None);
    let whole = old.relay_to(0, "old", &LogPosition::default(), new.followed());
    assert!(matches!(whole, Relay::Whole { .. }));
    let result = new.on_relay_of(NOW, old.era(), &whole, true, &store_keys(), &TextCatalogue);
    assert_eq!(result, None);
    assert_eq!((version(&new), new.targets.len()), (8, 0));
}

#[test]
fn a_vm_enters_a_later_era_by_a_whole_relay_only() {
    let (mut old, mut new) = (Fleet::default(), Fleet::default());
    list(&mut old, NOW, 1, vec![item("config", b"7", 90)], 95);
    list(&mut new, NOW, 2, vec![item("config", b"8", 40)], 41);
    let part = new.relay("new", &LogPosition::default(), new.followed());
    assert!(matches!(part, Relay::Changes { .. }));
    let result = old.on_relay_of(NOW, new.era(), &part, true, &store_keys(), &TextCatalogue);
    assert_eq!(result, None);
    let whole = new.relay_to(old.era(), "new", &LogPosition::default(), old.followed());
    old.on_relay_of(NOW, new.era(), &whole, true, &store_keys(), &TextCatalogue);
    assert_eq!((version(&old), old.era()), (8, 2));
}
