//! Announcements of targets: services that the configuration has or lacks, and incarnations under the same id.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::fleet::{Fleet, SharedFleet};
use fleet_fixture::{TextCatalogue, put, removed, store_keys};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(50);

fn apply(fleet: &mut Fleet, key: &str, value: &str, revision: u64) -> Vec<String> {
    let change = put(key, value, revision);
    fleet.on_change(NOW, &change, &store_keys(), &TextCatalogue)
}

fn ids(fleet: &Fleet) -> Vec<&str> {
    let mut ids: Vec<_> = fleet.targets.keys().map(String::as_str).collect();
    ids.sort_unstable();
    ids
}

/// Guards against targets of unknown services that count, and against targets that are lost because their entries came
/// before the configuration that has their service.
#[test]
fn a_target_counts_while_the_configuration_has_its_service() {
    let mut fleet = Fleet::default();
    apply(&mut fleet, "targets/a", "ready", 1);
    apply(&mut fleet, "targets/b", "s2@1:ready", 2);
    apply(&mut fleet, "config", "1", 3);
    assert_eq!(ids(&fleet), ["a"], "announced before the configuration");
    apply(&mut fleet, "targets/c", "s2@1:d 4000", 4);
    assert_eq!(ids(&fleet), ["a"], "announced after the configuration");
    let lines = apply(&mut fleet, "config", "2 s2", 5);
    assert_eq!(ids(&fleet), ["a", "b", "c"], "{lines:?}");
    assert_eq!(fleet.cold["c"], NOW + Duration::from_secs(4));
    apply(&mut fleet, "config", "3", 6);
    assert_eq!(ids(&fleet), ["a"], "the service was dropped");
    let gone = removed("targets/b", 7);
    fleet.on_change(NOW, &gone, &store_keys(), &TextCatalogue);
    apply(&mut fleet, "config", "4 s2", 8);
    assert_eq!(ids(&fleet), ["a", "c"], "`b` was removed meanwhile");
}

/// Guards against an entry of a suspended process, which is written after the one that replaced it has announced itself.
#[test]
fn an_entry_of_an_earlier_life_does_not_replace_a_later_one() {
    let mut fleet = Fleet::default();
    apply(&mut fleet, "targets/a", "s@7:ready", 1);
    let lines = apply(&mut fleet, "targets/a", "s@5:leaving", 2);
    assert_eq!(
        lines,
        ["event=target-older target=a born=5 known=7 revision=2"]
    );
    assert_eq!(fleet.targets["a"].start_time, 7);
    apply(&mut fleet, "targets/a", "s@8:ready", 3);
    assert_eq!(fleet.targets["a"].start_time, 8);
    apply(&mut fleet, "targets/a", "s@0:leaving", 4);
    assert!(fleet.targets["a"].leaving, "it tells no start time");
    apply(&mut fleet, "targets/a", "s@0:ready", 5);
    assert!(!fleet.targets["a"].leaving);
}

/// Guards against a target that starts again under its id and gets no requests, because its earlier life said that it
/// leaves.
#[test]
fn what_a_target_said_of_leaving_ends_with_its_life() {
    let shared_fleet = SharedFleet::default();
    let id = ["a".to_owned()];
    let announce = |value: &str, revision| {
        shared_fleet.update(|fleet| apply(fleet, "targets/a", value, revision));
    };
    let is_leaving = || {
        let fleet = shared_fleet.get();
        fleet.is_leaving(&fleet.targets["a"])
    };
    announce("s@5:ready", 1);
    shared_fleet.record_leaving(NOW, &id, "answer");
    announce("s@5:ready", 2);
    assert!(is_leaving(), "the same life");
    announce("s@7:ready", 3);
    assert!(!is_leaving(), "a later life");
    assert!(shared_fleet.merge_leaving(NOW, &id, &[5]).is_empty());
    assert!(!is_leaving(), "another VM tells of the earlier life");
    assert_eq!(shared_fleet.merge_leaving(NOW, &id, &[7]).len(), 1);
    assert!(is_leaving());
    shared_fleet.merge_leaving(NOW, &id, &[9]);
    announce("s@9:ready", 4);
    assert!(is_leaving(), "another VM knew of the next life first");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of entries and configurations, targets count by the last of both.
    #[test]
    fn targets_count_by_the_newest_configuration_and_their_newest_life(
        steps in prop::collection::vec((0..4_u8, 0..3_u8, 1..5_u64), 1..40)
    ) {
        let mut fleet = Fleet::default();
        let mut expected = std::collections::BTreeMap::new();
        let mut has_second = None;
        for (revision, (target, kind, start)) in (1..).zip(steps) {
            if target == 0 {
                let services = ["", " s2"][usize::from(kind % 2)];
                apply(&mut fleet, "config", &format!("{revision}{services}"), revision);
                has_second = Some(kind % 2 == 1);
                continue;
            }
            let key = format!("targets/{target}");
            if kind == 0 {
                fleet.on_change(NOW, &removed(&key, revision), &store_keys(), &TextCatalogue);
                expected.remove(&target);
                continue;
            }
            let service = ["s", "s2"][usize::from(kind - 1)];
            apply(&mut fleet, &key, &format!("{service}@{start}:ready"), revision);
            let known = expected.get(&target).map_or(0, |(start, _)| *start);
            if start >= known {
                expected.insert(target, (start, kind == 2));
            }
        }
        let usable = expected.iter().filter(|(_, (_, second))| !second || has_second != Some(false));
        let usable: Vec<_> = usable.map(|(id, (start, _))| (id.to_string(), *start)).collect();
        let mut found: Vec<_> = fleet.targets.values().map(|it| (it.id.clone(), it.start_time)).collect();
        found.sort();
        prop_assert_eq!(found, usable);
    }
}
