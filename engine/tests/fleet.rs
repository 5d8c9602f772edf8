//! What a VM believes: never backwards, whichever way news comes, and in whichever order.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    fleet::{Fleet, LogPosition, Relay, Vm},
    owner::record::Record,
    store::{Change, Item, Listing, Revision},
};
use indexmap::IndexMap;
use proptest::prelude::*;

use crate::fleet_fixture::{Plain, keys, put, removed};

const NOW: Duration = Duration::from_secs(50);

fn hear(fleet: &mut Fleet, now: Duration, change: &Change) -> Vec<String> {
    fleet.on_change(now, change, &keys(), &Plain)
}

fn version(fleet: &Fleet) -> u64 {
    fleet.config.as_ref().map_or(0, |config| config.version)
}

#[test]
fn a_configuration_never_goes_back() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("config", b"7", 20));
    hear(&mut fleet, NOW, &put("config", b"5", 30));
    assert_eq!(version(&fleet), 7);
    hear(&mut fleet, NOW, &put("config", b"not one", 40));
    hear(&mut fleet, NOW, &removed("config", 50));
    assert_eq!(version(&fleet), 7);
    hear(&mut fleet, NOW, &put("config", b"8", 60));
    assert_eq!(version(&fleet), 8);
}

#[test]
fn an_unreadable_entry_names_no_target_and_leaves_the_others() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 1));
    hear(&mut fleet, NOW, &put("targets/b", b"ready", 2));
    let notes = hear(&mut fleet, NOW, &put("targets/b", b"\xff", 3));
    assert_eq!(notes.len(), 1, "told once");
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["a"]);
}

#[test]
fn older_news_changes_nothing() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    hear(&mut fleet, NOW, &removed("targets/a", 9));
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 8));
    assert!(fleet.targets.is_empty(), "a target that is gone came back");
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 10));
    assert_eq!(fleet.targets.len(), 1);
}

#[test]
fn a_target_that_leaves_gets_no_work() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    assert_eq!(fleet.view().targets["s"].len(), 1);
    hear(&mut fleet, NOW, &put("targets/a", b"leaving", 6));
    assert!(fleet.view().targets.is_empty());
}

#[test]
fn targets_that_vanish_in_trouble_have_time_to_come_back() {
    let second = Duration::from_secs(1);
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    hear(&mut fleet, NOW, &put("targets/b", b"ready", 6));
    fleet.on_store_failure(NOW);
    hear(&mut fleet, NOW + second, &removed("targets/a", 7));
    hear(&mut fleet, NOW + second, &removed("targets/b", 8));
    assert_eq!(fleet.targets.len(), 2);
    hear(&mut fleet, NOW + second, &put("targets/b", b"ready", 9));
    assert!(fleet.expire(NOW + second * 2).is_empty());
    assert_eq!(fleet.expire(NOW + second * 3), ["a"]);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["b"]);
    hear(&mut fleet, NOW + second * 4, &removed("targets/b", 10));
    assert!(
        fleet.targets.is_empty(),
        "long after the trouble, gone is gone"
    );
}

#[test]
fn a_listing_removes_what_it_lacks() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    hear(&mut fleet, NOW, &put("targets/new", b"ready", 30));
    let listing = Listing {
        items: Vec::new(),
        revision: 20,
    };
    fleet.on_listing(NOW, "targets/", &listing, &keys(), &Plain);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["new"]);
    assert!(fleet.targets_listed);
}

#[test]
fn own_entries_are_understood() {
    let mut fleet = Fleet::default();
    let vm = Vm {
        name: "v".into(),
        start: "v/1".into(),
        address: "127.0.0.1:8".parse().unwrap(),
        domain: "d".into(),
        capacity_millicores: 200,
    };
    hear(&mut fleet, NOW, &put("own/manager", vm.encode(), 5));
    hear(&mut fleet, NOW, &put("own/vms/v", vm.encode(), 6));
    hear(
        &mut fleet,
        NOW,
        &put("own/owners/s", Record::unowned(9).encode(), 7),
    );
    assert_eq!(fleet.manager, Some(vm));
    assert_eq!((fleet.vms.len(), fleet.records.len()), (1, 1));
    hear(&mut fleet, NOW, &put("own/owners/s", b"\x00", 8));
    assert_eq!(
        fleet.records["s"].revision, 7,
        "an unreadable record changes nothing"
    );
    hear(&mut fleet, NOW, &removed("own/manager", 9));
    assert_eq!(fleet.manager, None);
}

/// What a VM has followed in the store that has followed nothing there.
fn nothing() -> IndexMap<String, Revision> {
    IndexMap::new()
}

/// A manager that 88 VMs heard for the first time told each of them everything: it sent 2 to 3 MB a second
/// for 4 s, on a link that may carry 1.25 MB a second.
#[test]
fn who_has_followed_the_store_is_told_only_what_is_newer() {
    let mut teller = Fleet::default();
    hear(&mut teller, NOW, &put("targets/old", b"ready", 5));
    hear(&mut teller, NOW, &put("targets/gone", b"ready", 6));
    let mut fleet = teller.clone();
    fleet.on_followed("targets/", 6);
    hear(&mut teller, NOW, &put("targets/new", b"ready", 8));
    hear(&mut teller, NOW, &removed("targets/gone", 9));
    teller.on_followed("targets/", 9);
    let relay = teller.relay("teller/1", &LogPosition::default(), fleet.followed());
    let Relay::Changes { changes, .. } = &relay else {
        panic!("{relay:?}");
    };
    assert_eq!(changes.len(), 2, "{changes:?}");
    fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
    let mut known: Vec<_> = fleet.targets.keys().collect();
    known.sort();
    assert_eq!(known, ["new", "old"]);
    // Who has followed less than the teller may lack anything.
    let relay = teller.relay("teller/1", &LogPosition::default(), &nothing());
    assert!(matches!(relay, Relay::Whole { .. }));
}

#[test]
fn who_may_have_missed_a_removal_that_is_forgotten_is_told_everything() {
    let mut teller = Fleet::default();
    hear(&mut teller, NOW, &put("targets/a", b"ready", 1));
    let mut fleet = teller.clone();
    fleet.on_followed("targets/", 1);
    hear(&mut teller, NOW, &removed("targets/a", 2));
    // More removals than a VM remembers.
    for revision in 3..20_100 {
        hear(
            &mut teller,
            NOW,
            &removed(&format!("targets/t{revision}"), revision),
        );
    }
    teller.on_followed("targets/", 20_100);
    let relay = teller.relay("teller/1", &LogPosition::default(), fleet.followed());
    assert!(matches!(relay, Relay::Whole { .. }), "it lacks the removal");
    fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
    assert!(fleet.targets.is_empty());
}

/// A manager that started after a removal never knew the target, so it can't tell that it is gone.
#[test]
fn a_removal_from_before_the_teller_listed_is_not_missed() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/gone", b"ready", 5));
    fleet.on_followed("targets/", 5);
    let mut teller = Fleet::default();
    let listing = Listing {
        items: Vec::new(),
        revision: 9,
    };
    teller.on_listing(NOW, "targets/", &listing, &keys(), &Plain);
    teller.on_followed("targets/", 9);
    let relay = teller.relay("teller/1", &LogPosition::default(), fleet.followed());
    fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
    assert!(fleet.targets.is_empty(), "{:?}", fleet.targets);
}

/// A VM whose own calls were late (`pulse-lost` at 27.25 s, the store was well) heard from the manager that a
/// target was gone, kept it for 2.5 s as after an outage, and sent it a request 2.71 s after its removal.
#[test]
fn a_removal_told_by_a_manager_that_follows_the_store_counts_at_once() {
    let mut teller = Fleet::default();
    let mut fleet = Fleet::default();
    for fleet in [&mut teller, &mut fleet] {
        hear(fleet, NOW, &put("targets/a", b"ready", 5));
    }
    let place = teller.relay("teller/1", &LogPosition::default(), &nothing());
    let place = place.position().clone();
    fleet.on_store_failure(NOW);
    hear(&mut teller, NOW, &removed("targets/a", 6));
    let relay = teller.relay("teller/1", &place, &nothing());
    let mut doubtful = fleet.clone();
    doubtful.on_relay(NOW, &relay, false, &keys(), &Plain);
    assert_eq!(
        doubtful.targets.len(),
        1,
        "a teller in trouble may be wrong"
    );
    fleet.on_relay(NOW, &relay, true, &keys(), &Plain);
    assert!(fleet.targets.is_empty());
}

#[test]
fn of_a_key_that_changed_twice_only_the_newest_is_told() {
    let mut teller = Fleet::default();
    let place = teller.relay("teller/1", &LogPosition::default(), &nothing());
    let place = place.position().clone();
    hear(&mut teller, NOW, &put("config", b"3", 1));
    hear(&mut teller, NOW, &put("targets/a", b"ready", 2));
    hear(&mut teller, NOW, &put("config", b"4", 3));
    let relay = teller.relay("teller/1", &place, &nothing());
    let Relay::Changes { changes, .. } = relay else {
        panic!("{relay:?}");
    };
    let keys: Vec<_> = changes.iter().map(Change::key).collect();
    assert_eq!(keys, ["targets/a", "config"]);
}

#[test]
fn a_relay_of_everything_removes_only_what_the_other_would_know() {
    let mut teller = Fleet::default();
    hear(&mut teller, NOW, &put("targets/a", b"ready", 5));
    teller.on_followed("targets/", 20);
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/old", b"ready", 10));
    hear(&mut fleet, NOW, &put("targets/new", b"ready", 30));
    let relay = teller.relay("teller/1", &LogPosition::default(), &nothing());
    fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
    let mut known: Vec<_> = fleet.targets.keys().collect();
    known.sort();
    assert_eq!(known, ["a", "new"]);
}

#[test]
fn a_vm_that_has_followed_little_makes_no_other_forget() {
    let mut started = Fleet::default();
    hear(&mut started, NOW, &put("config", b"8", 30));
    started.on_followed("config", 30);
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 10));
    let relay = started.relay("started/1", &LogPosition::default(), &nothing());
    fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
    assert_eq!(version(&fleet), 8);
    assert_eq!(fleet.targets.len(), 1, "its relay says nothing of targets");
}

#[test]
fn a_listing_brings_back_what_was_wrongly_taken_for_removed() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 10));
    hear(&mut fleet, NOW, &removed("targets/a", 20));
    assert!(fleet.targets.is_empty());
    let listing = |revision| Listing {
        items: vec![Item {
            key: "targets/a".into(),
            value: b"ready".to_vec(),
            revision: 10,
        }],
        revision,
    };
    fleet.on_listing(NOW, "targets/", &listing(15), &keys(), &Plain);
    assert!(fleet.targets.is_empty(), "an older listing proves nothing");
    fleet.on_listing(NOW, "targets/", &listing(21), &keys(), &Plain);
    assert_eq!(fleet.targets.len(), 1, "it stands, so it was not removed");
}

/// Who was told everything knows nothing of removals from before, so it can't tell others only what is newer.
#[test]
fn who_was_told_everything_tells_everything_where_it_may_miss_a_removal() {
    let mut source = Fleet::default();
    hear(&mut source, NOW, &put("targets/b", b"ready", 8));
    source.on_followed("", 20);
    let whole = source.relay("source/1", &LogPosition::default(), &nothing());
    let mut teller = Fleet::default();
    teller.on_relay(NOW, &whole, true, &keys(), &Plain);
    // This one has followed the store itself until the target was removed, at 15.
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    fleet.on_followed("", 10);
    let relay = teller.relay("teller/1", &LogPosition::default(), fleet.followed());
    fleet.on_relay(NOW, &relay, true, &keys(), &Plain);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn who_was_told_changes_goes_on_from_where_the_teller_was() {
    let mut teller = Fleet::default();
    teller.on_followed("", 10);
    let place = teller.relay("teller/1", &LogPosition::default(), &nothing());
    let place = place.position().clone();
    hear(&mut teller, NOW, &put("targets/a", b"ready", 12));
    teller.on_followed("", 30);
    let relay = teller.relay("teller/1", &place, &nothing());
    let mut fleet = Fleet::default();
    fleet.on_relay(NOW, &relay, true, &keys(), &Plain);
    assert_eq!(fleet.followed()[""], 30);
    fleet.on_followed("", 20);
    assert_eq!(fleet.followed()[""], 30, "it never goes back");
}

/// A removal waits at a teller in trouble with the store: whoever went on behind it would never hear of it.
#[test]
fn nobody_goes_on_behind_a_removal_that_waits_at_the_teller() {
    let mut teller = Fleet::default();
    hear(&mut teller, NOW, &put("targets/a", b"ready", 12));
    teller.on_followed("", 12);
    let place = teller.relay("teller/1", &LogPosition::default(), &nothing());
    let place = place.position().clone();
    teller.on_store_failure(NOW);
    hear(&mut teller, NOW, &removed("targets/a", 20));
    teller.on_followed("", 25);
    let relay = teller.relay("teller/1", &place, &nothing());
    assert_eq!(relay.followed()[""], 19);
    let later = NOW + Duration::from_secs(9);
    assert_eq!(teller.expire(later), ["a"]);
    let relay = teller.relay("teller/1", &place, &nothing());
    assert_eq!(relay.followed()[""], 25);
}

#[test]
fn keys_of_others_are_neither_kept_nor_told() {
    let mut fleet = Fleet::default();
    hear(&mut fleet, NOW, &put("elsewhere/x", b"1", 3));
    let Relay::Whole { items, .. } = fleet.relay("fleet/1", &LogPosition::default(), &nothing())
    else {
        panic!("not everything");
    };
    assert!(items.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// A VM that hears everything from another, in pieces, believes the same.
    #[test]
    fn relays_bring_the_same_beliefs(
        steps in prop::collection::vec((0..5_u8, 0..4_u8, any::<bool>()), 1..60)
    ) {
        let (mut teller, mut fleet) = (Fleet::default(), Fleet::default());
        let mut place = LogPosition::default();
        for (revision, (target, kind, relayed)) in (1..).zip(steps) {
            let key = format!("targets/{target}");
            let change = match kind {
                0 => removed(&key, revision),
                1 => put(&key, b"leaving", revision),
                2 => put(&key, b"ready", revision),
                _ => put("config", revision.to_string().as_bytes(), revision),
            };
            hear(&mut teller, NOW, &change);
            teller.on_followed("targets/", revision);
            if relayed {
                let relay = teller.relay("teller/1", &place, &nothing());
                fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
                place = relay.position().clone();
                let is_whole = matches!(relay, Relay::Whole { .. });
                prop_assert!(!is_whole || fleet.targets == teller.targets);
            }
        }
        let relay = teller.relay("teller/1", &place, &nothing());
        fleet.on_relay(NOW, &relay, false, &keys(), &Plain);
        let sorted = |fleet: &Fleet| {
            let mut targets: Vec<_> = fleet.targets.values().cloned().collect();
            targets.sort_by(|a, b| a.id.cmp(&b.id));
            targets
        };
        prop_assert_eq!(sorted(&fleet), sorted(&teller));
        prop_assert_eq!(version(&fleet), version(&teller));
    }
}
