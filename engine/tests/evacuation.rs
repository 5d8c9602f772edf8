//! Tests how VMs and the manager treat evacuated failure domains and cold targets, whether they learn of them from
//! changes or from listings.

mod dispatch_fixture;
mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Target,
    fleet::Fleet,
    owner::{
        ownership::{CallOutcome, Effect, Event, ServiceOwnership, Timing},
        record::{Incarnation, KeyRange, Record},
    },
    placement::dispatch::{self, RefusalReason},
    store::{Change, Item, Listing},
};
use indexmap::IndexMap;

use crate::{
    dispatch_fixture::{ask, dispatcher, ms, refused},
    fleet_fixture::{TextCatalogue, WARMUP_DURATION, put, removed, store_keys},
};

fn apply_change(fleet: &mut Fleet, at: u64, change: &Change) -> Vec<String> {
    fleet.on_change(ms(at), change, &store_keys(), &TextCatalogue)
}

/// The view of a VM that knows one target in each of two failure domains.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    apply_change(&mut fleet, 0, &put("config", "1", 1));
    apply_change(&mut fleet, 0, &put("targets/a", "d1 0", 2));
    apply_change(&mut fleet, 0, &put("targets/b", "d2 0", 3));
    fleet
}

fn visible_targets(fleet: &Fleet) -> Vec<String> {
    let targets = fleet.view().targets;
    let all = targets.values().flatten();
    all.map(|target| target.id.clone()).collect()
}

#[test]
fn targets_of_an_evacuated_domain_are_hidden_until_it_is_taken_back() {
    let mut fleet = fleet();
    assert_eq!(visible_targets(&fleet), ["a", "b"]);
    let log_lines = apply_change(&mut fleet, 10, &put("evacuated/d2", "{}", 4));
    assert_eq!(
        log_lines,
        ["event=domain-evacuated domain=d2 targets=1 revision=4"]
    );
    assert_eq!(visible_targets(&fleet), ["a"]);
    apply_change(&mut fleet, 20, &put("evacuated/d1", "{}", 5));
    assert!(fleet.view().evacuated.contains("s"), "no domain is left");
    apply_change(&mut fleet, 30, &removed("evacuated/d1", 6));
    apply_change(&mut fleet, 50, &removed("evacuated/d2", 7));
    assert_eq!(visible_targets(&fleet), ["a", "b"]);
}

/// Targets become cold when the operator takes their domain back, but announce it up to one heartbeat later.
#[test]
fn targets_that_are_taken_back_count_as_cold_before_they_announce_it() {
    let mut fleet = fleet();
    apply_change(&mut fleet, 10, &put("evacuated/d2", "{}", 4));
    apply_change(&mut fleet, 1000, &removed("evacuated/d2", 5));
    assert_eq!(
        fleet.view().cold,
        IndexMap::from([("b".to_owned(), ms(1000) + WARMUP_DURATION)])
    );
    apply_change(&mut fleet, 1800, &put("targets/b", "d2 2400", 6));
    assert_eq!(fleet.view().cold["b"], ms(4200), "as announced");
}

/// Guards against adding each announced remaining time to the time of the first announcement: a target then counted
/// as warm after half of its warm-up.
#[test]
fn a_target_is_cold_for_as_long_as_its_latest_announcement_says() {
    let mut fleet = fleet();
    apply_change(&mut fleet, 1000, &put("targets/c", "d1 3000", 4));
    apply_change(&mut fleet, 1900, &put("targets/c", "d1 2100", 5));
    apply_change(&mut fleet, 2800, &put("targets/c", "d1 1200", 6));
    assert_eq!(fleet.view().cold["c"], ms(4000));
    apply_change(&mut fleet, 3700, &put("targets/c", "d1 300", 7));
    apply_change(&mut fleet, 4600, &put("targets/c", "d1 0", 8));
    assert!(fleet.view().cold.is_empty());
    apply_change(&mut fleet, 9000, &put("targets/c", "d1 3000", 9));
    assert_eq!(
        fleet.view().cold["c"],
        ms(12_000),
        "cold again in the same incarnation"
    );
}

/// Guards against taking a second warm-up for the first: a target became cold twice and its announcements were equal,
/// since those in between were lost. VMs then sent it 28 requests in a second, although it can serve five.
#[test]
fn a_target_that_repeats_its_announcement_is_cold_again() {
    let mut fleet = fleet();
    apply_change(&mut fleet, 1000, &put("targets/c", "d1 3000", 4));
    apply_change(&mut fleet, 9000, &put("targets/c", "d1 3000", 5));
    assert_eq!(fleet.view().cold["c"], ms(12_000));
}

#[test]
fn requests_are_refused_at_once_if_all_domains_of_the_service_are_evacuated() {
    let mut fleet = fleet();
    apply_change(&mut fleet, 10, &put("evacuated/d1", "{}", 4));
    apply_change(&mut fleet, 10, &put("evacuated/d2", "{}", 5));
    let mut dispatcher = dispatcher(Vec::new(), None);
    dispatcher.handle(ms(20), dispatch::Event::View(fleet.view().into()));
    let effects = dispatcher.handle(ms(20), dispatch::Event::Request(ask(1, ms(20))));
    assert_eq!(refused(&effects), [(1, RefusalReason::Evacuated)]);
}

/// A starting VM first reads a listing, which may be old; later changes come with the watch.
#[test]
fn a_vm_that_starts_learns_of_evacuations_and_of_their_ends() {
    let items = vec![Item {
        key: "evacuated/d2".into(),
        value: b"{}".to_vec(),
        revision: 4,
    }];
    let listing = Listing {
        items,
        revision: 5,
        ..Listing::default()
    };
    let mut fleet = Fleet::default();
    fleet.on_listing(ms(0), "", &listing, &store_keys(), &TextCatalogue);
    assert!(fleet.is_evacuated("d2"));
    let later = Listing {
        revision: 9,
        ..Listing::default()
    };
    fleet.on_listing(ms(100), "", &later, &store_keys(), &TextCatalogue);
    assert!(!fleet.is_evacuated("d2"));
}

const TIMING: Timing = Timing {
    lease: Duration::from_secs(2),
    grant_duration: Duration::from_secs(4),
    outage_duration: Duration::from_secs(10),
    renew_interval: Duration::from_millis(1300),
    latest_expiry: Duration::from_secs(12),
};

fn addressed_target(number: u16) -> Target {
    Target {
        id: format!("t{number}"),
        address: ([127, 0, 0, 1], 9000 + number).into(),
        ..dispatch_fixture::target(number, "d1")
    }
}

/// The ownership of two ranges, granted to the first and the second of three targets, and the time.
fn ownership() -> (ServiceOwnership, Duration) {
    let targets: Vec<Target> = (0..3).map(addressed_target).collect();
    let ranges = (0..2_u16).map(|number| KeyRange {
        from: u64::from(number) * 50,
        to: u64::from(number) * 50 + 49,
        fence: 1,
        owner: Some(Incarnation::of(&targets[usize::from(number)])),
    });
    let record = Record {
        term: 1,
        resigned: true,
        settled: true,
        ranges: ranges.collect(),
        ..Record::unowned(99)
    };
    let now = Duration::from_secs(10);
    let (mut ownership, _) = ServiceOwnership::take_over("vm-1", record, TIMING, now);
    ownership.handle(now, Event::LeaseExtended(now + Duration::from_secs(9)));
    ownership.handle(now, Event::Targets(targets));
    for effect in ownership.handle(now, Event::Committed) {
        if let Effect::Grant(command) = effect {
            ownership.handle(
                now,
                Event::GrantEnded(command.from, CallOutcome::Done(None)),
            );
        }
    }
    (ownership, now)
}

#[test]
fn an_owner_that_becomes_cold_releases_its_keys_and_gets_no_others_until_it_is_warm() {
    let (mut ownership, now) = ownership();
    let warm = now + WARMUP_DURATION;
    ownership.set_warming([("t1".to_owned(), warm), ("t2".to_owned(), warm)].into());
    let effects = ownership.handle(now, Event::Tick);
    let released = effects.iter().find_map(|effect| match effect {
        Effect::Release(command) => Some(command.from),
        _ => None,
    });
    assert_eq!(released, Some(50));
    let effects = ownership.handle(now, Event::ReleaseEnded(50, CallOutcome::Done(None)));
    let next = effects.iter().find_map(|effect| match effect {
        Effect::Commit(record) => record.find(50).and_then(|range| range.owner.clone()),
        _ => None,
    });
    assert_eq!(next.map(|owner| owner.id), Some("t0".to_owned()));
}

#[test]
fn keys_stay_with_cold_owners_while_all_targets_are_cold() {
    let (mut ownership, now) = ownership();
    let all = (0..3).map(|number| (format!("t{number}"), now + WARMUP_DURATION));
    ownership.set_warming(all.collect());
    let effects = ownership.handle(now, Event::Tick);
    let releases = effects.iter().filter(|it| matches!(it, Effect::Release(_)));
    assert_eq!(releases.count(), 0);
}
