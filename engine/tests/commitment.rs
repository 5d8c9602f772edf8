//! Requests that wait between the choice of a target and the first byte that is written to it.

mod dispatch_fixture;
mod fleet_fixture;

use std::{rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::Target,
    fleet::{Fleet, SharedFleet, StoredRecord},
    placement::commitment::{Commitment, Withdrawal},
};
use dispatch_fixture::{keyed, ms, record_owned_by, target};

/// The age of a choice of which nothing is to be said.
const SOON: Duration = Duration::from_millis(50);

/// A change of what a VM knows.
type Change = fn(&mut Fleet);

/// A fleet that announces the targets `t0` and `t1`; `t0` owns all keys.
fn fleet() -> SharedFleet {
    let shared_fleet = SharedFleet::default();
    shared_fleet.update(|fleet| {
        for it in [target(0, "d1"), target(1, "d1")] {
            fleet.targets.insert(it.id.clone(), it);
        }
        set_owner(fleet, &target(0, "d1"));
    });
    shared_fleet
}

fn set_owner(fleet: &mut Fleet, owner: &Target) {
    let record = Rc::new(record_owned_by(owner));
    let stored = StoredRecord {
        revision: 1,
        record,
    };
    fleet.records.insert(owner.service.clone(), stored);
}

/// Checks the choice of `t0`, made at zero, after some time.
fn check(shared_fleet: &SharedFleet, owned: bool, after: Duration) -> Result<(), Withdrawal> {
    let commitment = Commitment {
        target: target(0, "d1"),
        key: keyed(0, Duration::ZERO).key.filter(|_| owned),
        decided_at: Duration::ZERO,
    };
    commitment.check(after, &shared_fleet.get())
}

#[test]
fn a_choice_stands_while_nothing_has_changed() {
    for owned in [false, true] {
        assert_eq!(check(&fleet(), owned, SOON), Ok(()));
    }
}

/// Guards against requests that reach a target after it has left, since they were held after the choice.
#[test]
fn a_request_is_withdrawn_when_its_target_leaves_before_the_first_byte() {
    let changes: [(&str, Change); 4] = [
        ("its entry is gone", |it| {
            it.targets.shift_remove("t0");
        }),
        ("its entry says so", |it| it.targets["t0"].leaving = true),
        ("it has started again", |it| {
            it.targets["t0"].start_time += 1;
        }),
        ("its failure domain is evacuated", |it| {
            it.evacuated.insert("d1".to_owned(), Duration::ZERO);
        }),
    ];
    for (name, change) in changes {
        for owned in [false, true] {
            let fleet = fleet();
            fleet.update(change);
            let checked = check(&fleet, owned, SOON);
            assert_eq!(checked, Err(Withdrawal::Leaving), "{name}");
        }
    }
}

#[test]
fn an_owner_that_says_that_it_leaves_gets_requests_for_its_keys_only() {
    let fleet = fleet();
    fleet.record_leaving(Duration::ZERO, &["t0".to_owned()], "answer");
    assert_eq!(check(&fleet, true, SOON), Ok(()));
    assert_eq!(check(&fleet, false, SOON), Err(Withdrawal::Leaving));
}

#[test]
fn a_request_is_withdrawn_when_its_key_has_moved() {
    let fleet = fleet();
    fleet.update(|it| set_owner(it, &target(1, "d1")));
    assert_eq!(check(&fleet, true, SOON), Err(Withdrawal::Moved));
    assert_eq!(check(&fleet, false, SOON), Ok(()));
}

/// Guards against targets that are told more time than is left.
#[test]
fn a_request_is_withdrawn_when_its_choice_is_old() {
    assert_eq!(check(&fleet(), false, ms(400)), Ok(()));
    assert_eq!(check(&fleet(), false, ms(401)), Err(Withdrawal::Old));
}
