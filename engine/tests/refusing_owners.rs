//! Owners that refuse all requests: their keys move to targets that take some.

mod ownership_fixture;

use std::time::Duration;

use bramleypier_engine::{
    owner::ownership::{CallOutcome, Effect, Event, ServiceOwnership},
    peer::FleetLoad,
    placement::hold_offs::HoldOffReport,
};
use ownership_fixture::{
    TIMING, committed_record, grant_commands, granted_ownership, release_commands, released_ranges,
};

/// The time for which a refusing target wants no requests.
const REFUSAL_TIME: Duration = Duration::from_secs(3);

/// Tells the ownership which targets refuse requests for a while, and returns what it does then.
fn set_refusing(ownership: &mut ServiceOwnership, now: Duration, ids: &[&str]) -> Vec<Effect> {
    let refusing = ids.iter().map(|id| ((*id).to_owned(), now + REFUSAL_TIME));
    ownership.set_refusing(refusing.collect());
    let renewed = Event::LeaseExtended(now + TIMING.lease);
    ownership.handle(now, renewed)
}

/// Answers all calls successfully until nothing more is to be done, and returns the owners that are committed.
fn run(ownership: &mut ServiceOwnership, now: Duration, effects: Vec<Effect>) -> Vec<String> {
    let mut owners = Vec::new();
    let mut open = effects;
    while !open.is_empty() {
        let mut next = Vec::new();
        for from in released_ranges(&open) {
            let released = CallOutcome::Done(Some("state".to_owned()));
            next.extend(ownership.handle(now, Event::ReleaseEnded(from, released)));
        }
        for command in grant_commands(&open) {
            let granted = Event::GrantEnded(command.from, CallOutcome::Done(None));
            next.extend(ownership.handle(now, granted));
        }
        if let Some(record) = committed_record(&open) {
            let committed = record.ranges.iter().filter_map(|it| it.owner.as_ref());
            owners = committed.map(|it| it.id.clone()).collect();
            next.extend(ownership.handle(now, Event::Committed));
        }
        open = next;
    }
    owners
}

/// Guards against keys that stay where nobody is served: an owner that refuses each request looks idle and fast.
#[test]
fn the_keys_of_a_refusing_owner_move_to_others() {
    let (mut ownership, _, now) = granted_ownership();
    let effects = set_refusing(&mut ownership, now, &["t1"]);
    assert_eq!(release_commands(&effects).len(), 3);
    let owners = run(&mut ownership, now, effects);
    assert!(owners.iter().all(|id| id != "t1"), "{owners:?}");
}

/// Guards against keys that go to and fro: without load a target refuses nothing.
#[test]
fn an_owner_that_refused_requests_gets_no_keys_soon_after() {
    let (mut ownership, _, now) = granted_ownership();
    let effects = set_refusing(&mut ownership, now, &["t1"]);
    run(&mut ownership, now, effects);
    for millis in (0..9000).step_by(200) {
        let at = now + Duration::from_millis(millis);
        let mut effects = set_refusing(&mut ownership, at, &[]);
        let counts = (0..100).map(|key| (key, 3)).collect();
        effects.extend(ownership.handle(at, Event::Load(counts)));
        let owners = run(&mut ownership, at, effects);
        assert!(owners.iter().all(|id| id != "t1"), "{owners:?} at {at:?}");
    }
}

/// Guards against an overloaded service whose keys are pushed from one target to the next.
#[test]
fn no_key_moves_while_most_targets_refuse_requests() {
    let (mut ownership, _, now) = granted_ownership();
    let effects = set_refusing(&mut ownership, now, &["t1", "t2"]);
    assert!(release_commands(&effects).is_empty());
}

#[test]
fn no_key_is_released_for_a_refusal_while_the_store_does_not_answer() {
    let (mut ownership, _, now) = granted_ownership();
    let late = now + TIMING.lease;
    ownership.set_refusing([("t1".to_owned(), late + REFUSAL_TIME)].into());
    let effects = ownership.handle(late, Event::Tick);
    assert!(release_commands(&effects).is_empty());
}

/// Loads of some VMs, of which the first ones are held off by target 7 for a time.
fn fleet_load(vms: usize, held: &[Duration]) -> FleetLoad {
    let mut fleet_load = FleetLoad::default();
    for number in 0..vms {
        let start = format!("vm-{number}");
        fleet_load.update(Duration::ZERO, &start, vec![], vec![], Duration::ZERO);
        if let Some(remaining) = held.get(number).copied() {
            let report = HoldOffReport {
                target: 7,
                remaining,
            };
            fleet_load.set_hold_offs(Duration::ZERO, &start, &[report]);
        }
    }
    fleet_load
}

#[test]
fn a_target_refuses_requests_if_it_holds_off_two_vms_for_long_enough() {
    let s = Duration::from_secs;
    let short = Duration::from_millis(900);
    let cases = [
        (10, vec![], None),
        (10, vec![s(3)], None),
        (10, vec![s(3), short], None),
        (10, vec![s(3), s(2)], Some(s(2))),
        (10, vec![s(3), s(2), s(4)], Some(s(3))),
        (1, vec![s(3)], Some(s(3))),
        (1, vec![short], None),
        (0, vec![], None),
    ];
    for (vms, held, expected) in cases {
        let refusing = fleet_load(vms, &held).refusing_targets(Duration::ZERO);
        let expected: Vec<_> = expected.into_iter().map(|until| (7, until)).collect();
        assert_eq!(refusing, expected, "{held:?} of {vms}");
    }
}

#[test]
fn a_vm_that_reports_no_more_counts_no_more() {
    let fleet_load = fleet_load(3, &[REFUSAL_TIME, REFUSAL_TIME]);
    let later = Duration::from_secs(1);
    assert!(fleet_load.refusing_targets(later).is_empty());
}
