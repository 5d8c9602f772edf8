//! Tests that a VM's view of the store never goes back, whichever way and in whichever order changes arrive.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    fleet::{Fleet, LogPosition, Relay, Vm},
    owner::record::Record,
    store::{Change, Item, Listing, Revision},
};
use indexmap::IndexMap;
use proptest::prelude::*;

use crate::fleet_fixture::{TextCatalogue, put, removed, store_keys};

const NOW: Duration = Duration::from_secs(50);
/// The log line of the target `a` when it counts as gone some time after an outage.
const GONE: &str = "event=target-gone target=a cause=missing-after-trouble";

fn apply_change(fleet: &mut Fleet, now: Duration, change: &Change) -> Vec<String> {
    fleet.on_change(now, change, &store_keys(), &TextCatalogue)
}

fn version(fleet: &Fleet) -> u64 {
    fleet.config.as_ref().map_or(0, |config| config.version)
}

#[test]
fn a_configuration_never_goes_back() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("config", b"7", 20));
    apply_change(&mut fleet, NOW, &put("config", b"5", 30));
    assert_eq!(version(&fleet), 7);
    apply_change(&mut fleet, NOW, &put("config", b"not one", 40));
    apply_change(&mut fleet, NOW, &removed("config", 50));
    assert_eq!(version(&fleet), 7);
    apply_change(&mut fleet, NOW, &put("config", b"8", 60));
    assert_eq!(version(&fleet), 8);
}

#[test]
fn an_unreadable_entry_removes_its_target_and_no_other() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 1));
    apply_change(&mut fleet, NOW, &put("targets/b", b"ready", 2));
    let log_lines = apply_change(&mut fleet, NOW, &put("targets/b", b"\xff", 3));
    assert_eq!(log_lines.len(), 1, "logged once");
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["a"]);
}

#[test]
fn older_changes_have_no_effect() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    apply_change(&mut fleet, NOW, &removed("targets/a", 9));
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 8));
    assert!(fleet.targets.is_empty(), "a removed target came back");
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 10));
    assert_eq!(fleet.targets.len(), 1);
}

#[test]
fn a_draining_target_gets_no_requests() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    assert_eq!(fleet.view().targets["s"].len(), 1);
    apply_change(&mut fleet, NOW, &put("targets/a", b"leaving", 6));
    assert!(fleet.view().targets.is_empty());
}

#[test]
fn targets_that_vanish_during_a_store_outage_are_kept_for_a_while() {
    let second = Duration::from_secs(1);
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    apply_change(&mut fleet, NOW, &put("targets/b", b"ready", 6));
    fleet.on_store_failure(NOW);
    apply_change(&mut fleet, NOW + second, &removed("targets/a", 7));
    apply_change(&mut fleet, NOW + second, &removed("targets/b", 8));
    assert_eq!(fleet.targets.len(), 2);
    apply_change(&mut fleet, NOW + second, &put("targets/b", b"ready", 9));
    assert!(fleet.expire(NOW + second * 2).is_empty());
    assert_eq!(fleet.expire(NOW + second * 3), [GONE]);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["b"]);
    apply_change(&mut fleet, NOW + second * 4, &removed("targets/b", 10));
    assert!(
        fleet.targets.is_empty(),
        "long after the outage, a removal takes effect at once"
    );
}

#[test]
fn a_listing_removes_entries_that_it_lacks() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    apply_change(&mut fleet, NOW, &put("targets/new", b"ready", 30));
    let listing = Listing {
        items: Vec::new(),
        revision: 20,
        ..Listing::default()
    };
    fleet.on_listing(NOW, "targets/", &listing, &store_keys(), &TextCatalogue);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["new"]);
    assert!(fleet.targets_listed);
}

#[test]
fn entries_of_vms_are_decoded() {
    let mut fleet = Fleet::default();
    let vm = Vm {
        name: "v".into(),
        start: "v/1".into(),
        address: "127.0.0.1:8".parse().unwrap(),
        domain: "d".into(),
        capacity_millicores: 200,
    };
    apply_change(&mut fleet, NOW, &put("own/manager", vm.encode(), 5));
    apply_change(&mut fleet, NOW, &put("own/vms/v", vm.encode(), 6));
    apply_change(
        &mut fleet,
        NOW,
        &put("own/owners/s", Record::unowned(9).encode(), 7),
    );
    assert_eq!(fleet.manager, Some(vm));
    assert_eq!((fleet.vms.len(), fleet.records.len()), (1, 1));
    apply_change(&mut fleet, NOW, &put("own/owners/s", b"\x00", 8));
    assert_eq!(
        fleet.records["s"].revision, 7,
        "an unreadable record changes nothing"
    );
    apply_change(&mut fleet, NOW, &removed("own/manager", 9));
    assert_eq!(fleet.manager, None);
}

/// The followed revisions of a VM that has not followed the store yet.
fn nothing_followed() -> IndexMap<String, Revision> {
    IndexMap::new()
}

/// Guards against full relays to VMs that have followed the store themselves: a new manager sent one to each of 88 VMs,
/// which took 2 to 3 MB/s for 4 s on a link limited to 1.25 MB/s.
#[test]
fn a_vm_that_has_followed_the_store_receives_only_newer_changes() {
    let mut sender = Fleet::default();
    apply_change(&mut sender, NOW, &put("targets/old", b"ready", 5));
    apply_change(&mut sender, NOW, &put("targets/gone", b"ready", 6));
    let mut fleet = sender.clone();
    fleet.on_followed("targets/", 6);
    apply_change(&mut sender, NOW, &put("targets/new", b"ready", 8));
    apply_change(&mut sender, NOW, &removed("targets/gone", 9));
    sender.on_followed("targets/", 9);
    let relay = sender.relay("sender/1", &LogPosition::default(), fleet.followed());
    let Relay::Changes { changes, .. } = &relay else {
        panic!("{relay:?}");
    };
    assert_eq!(changes.len(), 2, "{changes:?}");
    fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
    let mut known: Vec<_> = fleet.targets.keys().collect();
    known.sort();
    assert_eq!(known, ["new", "old"]);
    // A VM that has followed the store less far than the sender may lack any entry.
    let relay = sender.relay("sender/1", &LogPosition::default(), &nothing_followed());
    assert!(matches!(relay, Relay::Whole { .. }));
}

#[test]
fn a_vm_that_may_lack_a_forgotten_removal_receives_everything() {
    let mut sender = Fleet::default();
    apply_change(&mut sender, NOW, &put("targets/a", b"ready", 1));
    let mut fleet = sender.clone();
    fleet.on_followed("targets/", 1);
    apply_change(&mut sender, NOW, &removed("targets/a", 2));
    // More removals than a VM remembers.
    for revision in 3..20_100 {
        apply_change(
            &mut sender,
            NOW,
            &removed(&format!("targets/t{revision}"), revision),
        );
    }
    sender.on_followed("targets/", 20_100);
    let relay = sender.relay("sender/1", &LogPosition::default(), fleet.followed());
    assert!(
        matches!(relay, Relay::Whole { .. }),
        "the receiver lacks the removal"
    );
    fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
    assert!(fleet.targets.is_empty());
}

/// A manager that started after a removal never knew the target, so its change log lacks the removal.
#[test]
fn a_removal_before_the_listing_of_the_sender_is_not_missed() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/gone", b"ready", 5));
    fleet.on_followed("targets/", 5);
    let mut sender = Fleet::default();
    let listing = Listing {
        items: Vec::new(),
        revision: 9,
        ..Listing::default()
    };
    sender.on_listing(NOW, "targets/", &listing, &store_keys(), &TextCatalogue);
    sender.on_followed("targets/", 9);
    let relay = sender.relay("sender/1", &LogPosition::default(), fleet.followed());
    fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
    assert!(fleet.targets.is_empty(), "{:?}", fleet.targets);
}

/// Guards against a delay of relayed removals: a VM whose own store calls were late (`event=pulse-lost` at 27.25 s,
/// while the store was healthy) received a target's removal from the manager, kept the target for 2.5 s as after an
/// outage, and sent it a request 2.71 s after its removal.
#[test]
fn a_removal_relayed_by_a_manager_that_follows_the_store_takes_effect_at_once() {
    let mut sender = Fleet::default();
    let mut fleet = Fleet::default();
    for fleet in [&mut sender, &mut fleet] {
        apply_change(fleet, NOW, &put("targets/a", b"ready", 5));
    }
    let position = sender.relay("sender/1", &LogPosition::default(), &nothing_followed());
    let position = position.position().clone();
    fleet.on_store_failure(NOW);
    apply_change(&mut sender, NOW, &removed("targets/a", 6));
    let relay = sender.relay("sender/1", &position, &nothing_followed());
    let mut unconfirmed = fleet.clone();
    unconfirmed.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
    assert_eq!(
        unconfirmed.targets.len(),
        1,
        "a sender that has lost the store may be wrong"
    );
    fleet.on_relay(NOW, &relay, true, &store_keys(), &TextCatalogue);
    assert!(fleet.targets.is_empty());
}

#[test]
fn only_the_newest_of_two_changes_to_a_key_is_relayed() {
    let mut sender = Fleet::default();
    let position = sender.relay("sender/1", &LogPosition::default(), &nothing_followed());
    let position = position.position().clone();
    apply_change(&mut sender, NOW, &put("config", b"3", 1));
    apply_change(&mut sender, NOW, &put("targets/a", b"ready", 2));
    apply_change(&mut sender, NOW, &put("config", b"4", 3));
    let relay = sender.relay("sender/1", &position, &nothing_followed());
    let Relay::Changes { changes, .. } = relay else {
        panic!("{relay:?}");
    };
    let keys: Vec<_> = changes.iter().map(Change::key).collect();
    assert_eq!(keys, ["targets/a", "config"]);
}

#[test]
fn a_full_relay_removes_only_entries_that_the_sender_would_know() {
    let mut sender = Fleet::default();
    apply_change(&mut sender, NOW, &put("targets/a", b"ready", 5));
    sender.on_followed("targets/", 20);
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/old", b"ready", 10));
    apply_change(&mut fleet, NOW, &put("targets/new", b"ready", 30));
    let relay = sender.relay("sender/1", &LogPosition::default(), &nothing_followed());
    fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
    let mut known: Vec<_> = fleet.targets.keys().collect();
    known.sort();
    assert_eq!(known, ["a", "new"]);
}

#[test]
fn a_relay_from_a_vm_that_has_followed_little_removes_nothing() {
    let mut starting = Fleet::default();
    apply_change(&mut starting, NOW, &put("config", b"8", 30));
    starting.on_followed("config", 30);
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 10));
    let relay = starting.relay("starting/1", &LogPosition::default(), &nothing_followed());
    fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
    assert_eq!(version(&fleet), 8);
    assert_eq!(fleet.targets.len(), 1, "its relay does not cover targets");
}

#[test]
fn a_listing_restores_a_target_that_was_wrongly_removed() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 10));
    apply_change(&mut fleet, NOW, &removed("targets/a", 20));
    assert!(fleet.targets.is_empty());
    let listing = |revision| Listing {
        items: vec![Item {
            key: "targets/a".into(),
            value: b"ready".to_vec(),
            revision: 10,
        }],
        revision,
        ..Listing::default()
    };
    fleet.on_listing(NOW, "targets/", &listing(15), &store_keys(), &TextCatalogue);
    assert!(fleet.targets.is_empty(), "an older listing proves nothing");
    fleet.on_listing(NOW, "targets/", &listing(21), &store_keys(), &TextCatalogue);
    assert_eq!(
        fleet.targets.len(),
        1,
        "it is listed, so it was not removed"
    );
}

/// A VM that received a full relay knows no earlier removals, so it can't limit its own relays to newer changes.
#[test]
fn a_vm_that_received_a_full_relay_sends_one_where_a_removal_may_be_lacking() {
    let mut source = Fleet::default();
    apply_change(&mut source, NOW, &put("targets/b", b"ready", 8));
    source.on_followed("", 20);
    let whole = source.relay("source/1", &LogPosition::default(), &nothing_followed());
    let mut sender = Fleet::default();
    sender.on_relay(NOW, &whole, true, &store_keys(), &TextCatalogue);
    // This VM has followed the store itself, but only up to 10; the target was removed at 15.
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("targets/a", b"ready", 5));
    fleet.on_followed("", 10);
    let relay = sender.relay("sender/1", &LogPosition::default(), fleet.followed());
    fleet.on_relay(NOW, &relay, true, &store_keys(), &TextCatalogue);
    assert_eq!(fleet.targets.keys().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn a_vm_that_received_changes_continues_at_the_revision_of_the_sender() {
    let mut sender = Fleet::default();
    sender.on_followed("", 10);
    let position = sender.relay("sender/1", &LogPosition::default(), &nothing_followed());
    let position = position.position().clone();
    apply_change(&mut sender, NOW, &put("targets/a", b"ready", 12));
    sender.on_followed("", 30);
    let relay = sender.relay("sender/1", &position, &nothing_followed());
    let mut fleet = Fleet::default();
    fleet.on_relay(NOW, &relay, true, &store_keys(), &TextCatalogue);
    assert_eq!(fleet.followed()[""], 30);
    fleet.on_followed("", 20);
    assert_eq!(
        fleet.followed()[""],
        30,
        "the followed revision never goes back"
    );
}

/// A sender that has lost the store delays removals. A VM that continued after the revision of such a removal would
/// never receive it.
#[test]
fn no_vm_continues_after_a_removal_that_the_sender_delays() {
    let mut sender = Fleet::default();
    apply_change(&mut sender, NOW, &put("targets/a", b"ready", 12));
    sender.on_followed("", 12);
    let position = sender.relay("sender/1", &LogPosition::default(), &nothing_followed());
    let position = position.position().clone();
    sender.on_store_failure(NOW);
    apply_change(&mut sender, NOW, &removed("targets/a", 20));
    sender.on_followed("", 25);
    let relay = sender.relay("sender/1", &position, &nothing_followed());
    assert_eq!(relay.followed()[""], 19);
    let later = NOW + Duration::from_secs(9);
    assert_eq!(sender.expire(later), [GONE]);
    let relay = sender.relay("sender/1", &position, &nothing_followed());
    assert_eq!(relay.followed()[""], 25);
}

#[test]
fn keys_of_other_applications_are_neither_kept_nor_relayed() {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, NOW, &put("elsewhere/x", b"1", 3));
    let Relay::Whole { items, .. } =
        fleet.relay("fleet/1", &LogPosition::default(), &nothing_followed())
    else {
        panic!("expected a full relay");
    };
    assert!(items.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// A VM that receives all changes from another VM, in several relays, ends with the same view.
    #[test]
    fn relays_lead_to_the_same_view(
        steps in prop::collection::vec((0..5_u8, 0..4_u8, any::<bool>()), 1..60)
    ) {
        let (mut sender, mut fleet) = (Fleet::default(), Fleet::default());
        let mut position = LogPosition::default();
        for (revision, (target, kind, relayed)) in (1..).zip(steps) {
            let key = format!("targets/{target}");
            let change = match kind {
                0 => removed(&key, revision),
                1 => put(&key, b"leaving", revision),
                2 => put(&key, b"ready", revision),
                _ => put("config", revision.to_string().as_bytes(), revision),
            };
            apply_change(&mut sender, NOW, &change);
            sender.on_followed("targets/", revision);
            if relayed {
                let relay = sender.relay("sender/1", &position, &nothing_followed());
                fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
                position = relay.position().clone();
                let is_whole = matches!(relay, Relay::Whole { .. });
                prop_assert!(!is_whole || fleet.targets == sender.targets);
            }
        }
        let relay = sender.relay("sender/1", &position, &nothing_followed());
        fleet.on_relay(NOW, &relay, false, &store_keys(), &TextCatalogue);
        let sorted = |fleet: &Fleet| {
            let mut targets: Vec<_> = fleet.targets.values().cloned().collect();
            targets.sort_by(|a, b| a.id.cmp(&b.id));
            targets
        };
        prop_assert_eq!(sorted(&fleet), sorted(&sender));
        prop_assert_eq!(version(&fleet), version(&sender));
    }
}
