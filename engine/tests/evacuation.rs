//! What VMs believe of evacuated failure domains and of cold targets, whichever way news come.

mod desk_world;
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
    desk_world::{ask, dispatcher, ms, refused},
    fleet_fixture::{Plain, SPAN, keys, put, removed},
};

fn hear(fleet: &mut Fleet, at: u64, change: &Change) -> Vec<String> {
    fleet.on_change(ms(at), change, &keys(), &Plain)
}

/// A VM that knows a target in each of two failure domains.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    hear(&mut fleet, 0, &put("config", "1", 1));
    hear(&mut fleet, 0, &put("targets/a", "d1 0", 2));
    hear(&mut fleet, 0, &put("targets/b", "d2 0", 3));
    fleet
}

fn shown(fleet: &Fleet) -> Vec<String> {
    let targets = fleet.view().targets;
    let all = targets.values().flatten();
    all.map(|target| target.id.clone()).collect()
}

#[test]
fn targets_of_an_evacuated_domain_are_not_shown_until_it_is_taken_back() {
    let mut fleet = fleet();
    assert_eq!(shown(&fleet), ["a", "b"]);
    let notes = hear(&mut fleet, 10, &put("evacuated/d2", "{}", 4));
    assert_eq!(
        notes,
        ["event=domain-evacuated domain=d2 targets=1 revision=4"]
    );
    assert_eq!(shown(&fleet), ["a"]);
    hear(&mut fleet, 20, &put("evacuated/d1", "{}", 5));
    assert!(fleet.view().evacuated.contains("s"), "nobody is left");
    hear(&mut fleet, 30, &removed("evacuated/d1", 6));
    hear(&mut fleet, 50, &removed("evacuated/d2", 7));
    assert_eq!(shown(&fleet), ["a", "b"]);
}

/// Targets turn cold in the moment of the operator's word, and say so up to a heartbeat later.
#[test]
fn targets_that_are_taken_back_count_as_cold_before_they_say_so() {
    let mut fleet = fleet();
    hear(&mut fleet, 10, &put("evacuated/d2", "{}", 4));
    hear(&mut fleet, 1000, &removed("evacuated/d2", 5));
    assert_eq!(
        fleet.view().cold,
        IndexMap::from([("b".to_owned(), ms(1000) + SPAN)])
    );
    hear(&mut fleet, 1800, &put("targets/b", "d2 2400", 6));
    assert_eq!(fleet.view().cold["b"], ms(4200), "as it says");
}

/// Each announcement was added to the moment of the first, so that a target counted as warm after half
/// of its time.
#[test]
fn a_target_is_cold_for_as_long_as_it_said_last() {
    let mut fleet = fleet();
    hear(&mut fleet, 1000, &put("targets/c", "d1 3000", 4));
    hear(&mut fleet, 1900, &put("targets/c", "d1 2100", 5));
    hear(&mut fleet, 2800, &put("targets/c", "d1 1200", 6));
    assert_eq!(fleet.view().cold["c"], ms(4000));
    hear(&mut fleet, 3700, &put("targets/c", "d1 300", 7));
    hear(&mut fleet, 4600, &put("targets/c", "d1 0", 8));
    assert!(fleet.view().cold.is_empty());
    hear(&mut fleet, 9000, &put("targets/c", "d1 3000", 9));
    assert_eq!(
        fleet.view().cold["c"],
        ms(12_000),
        "cold again in the same life"
    );
}

/// A target turned cold twice and said so in the same words, since what it had said in between was lost; VMs took
/// the second time for the first and sent it 28 requests in a second, of which it bears five.
#[test]
fn a_target_that_says_the_same_once_more_is_cold_anew() {
    let mut fleet = fleet();
    hear(&mut fleet, 1000, &put("targets/c", "d1 3000", 4));
    hear(&mut fleet, 9000, &put("targets/c", "d1 3000", 5));
    assert_eq!(fleet.view().cold["c"], ms(12_000));
}

#[test]
fn a_service_in_evacuated_domains_only_is_refused_at_once() {
    let mut fleet = fleet();
    hear(&mut fleet, 10, &put("evacuated/d1", "{}", 4));
    hear(&mut fleet, 10, &put("evacuated/d2", "{}", 5));
    let mut dispatcher = dispatcher(Vec::new(), None);
    dispatcher.handle(ms(20), dispatch::Event::View(fleet.view().into()));
    let effects = dispatcher.handle(ms(20), dispatch::Event::Request(ask(1, ms(20))));
    assert_eq!(refused(&effects), [(1, RefusalReason::Evacuated)]);
}

/// A restart begins with a listing, which may be old; the watch after it tells the rest.
#[test]
fn a_vm_that_starts_learns_of_evacuations_and_of_their_ends() {
    let items = vec![Item {
        key: "evacuated/d2".into(),
        value: b"{}".to_vec(),
        revision: 4,
    }];
    let listing = Listing { items, revision: 5 };
    let mut fleet = Fleet::default();
    fleet.on_listing(ms(0), "", &listing, &keys(), &Plain);
    assert!(fleet.is_evacuated("d2"));
    let later = Listing {
        revision: 9,
        ..Listing::default()
    };
    fleet.on_listing(ms(100), "", &later, &keys(), &Plain);
    assert!(!fleet.is_evacuated("d2"));
}

const TIMING: Timing = Timing {
    lease: Duration::from_secs(2),
    grant_duration: Duration::from_secs(4),
    outage_duration: Duration::from_secs(10),
    renew_interval: Duration::from_millis(1300),
    latest_expiry: Duration::from_secs(12),
};

fn holder(number: u16) -> Target {
    Target {
        id: format!("t{number}"),
        address: ([127, 0, 0, 1], 9000 + number).into(),
        ..desk_world::target(number, "d1")
    }
}

/// A keeper of two ranges, owned by the first and the second of three targets.
fn ownership() -> (ServiceOwnership, Duration) {
    let targets: Vec<Target> = (0..3).map(holder).collect();
    let parts = (0..2_u16).map(|number| KeyRange {
        from: u64::from(number) * 50,
        to: u64::from(number) * 50 + 49,
        fence: 1,
        owner: Some(Incarnation::of(&targets[usize::from(number)])),
    });
    let record = Record {
        term: 1,
        resigned: true,
        settled: true,
        ranges: parts.collect(),
        ..Record::unowned(99)
    };
    let now = Duration::from_secs(10);
    let (mut ownership, _) = ServiceOwnership::take_over("vm-1", record, TIMING, now);
    ownership.on(now, Event::LeaseExtended(now + Duration::from_secs(9)));
    ownership.on(now, Event::Targets(targets));
    for effect in ownership.on(now, Event::Committed) {
        if let Effect::Grant(order) = effect {
            ownership.on(now, Event::GrantEnded(order.from, CallOutcome::Done(None)));
        }
    }
    (ownership, now)
}

#[test]
fn the_owner_of_keys_that_turns_cold_lets_go_and_gets_no_others_until_it_is_warm() {
    let (mut ownership, now) = ownership();
    let warm = now + SPAN;
    ownership.set_warming([("t1".to_owned(), warm), ("t2".to_owned(), warm)].into());
    let effects = ownership.on(now, Event::Tick);
    let released = effects.iter().find_map(|effect| match effect {
        Effect::Release(order) => Some(order.from),
        _ => None,
    });
    assert_eq!(released, Some(50));
    let effects = ownership.on(now, Event::ReleaseEnded(50, CallOutcome::Done(None)));
    let next = effects.iter().find_map(|effect| match effect {
        Effect::Commit(record) => record.find(50).and_then(|part| part.owner.clone()),
        _ => None,
    });
    assert_eq!(next.map(|life| life.id), Some("t0".to_owned()));
}

#[test]
fn keys_stay_with_cold_owners_while_all_are_cold() {
    let (mut ownership, now) = ownership();
    let all = (0..3).map(|number| (format!("t{number}"), now + SPAN));
    ownership.set_warming(all.collect());
    let effects = ownership.on(now, Event::Tick);
    let releases = effects.iter().filter(|it| matches!(it, Effect::Release(_)));
    assert_eq!(releases.count(), 0);
}
