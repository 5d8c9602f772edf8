//! Keys stay with their owners while the store doesn't answer the manager: nobody else could be recorded as their owner.

mod ownership_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Target,
    owner::ownership::{CallOutcome, Effect, Event, ServiceOwnership},
};
use ownership_fixture::{TIMING, grant_commands, granted_ownership, release_commands, target};

/// How long after its last renewal the lease is about to end.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Handles an event, and answers all grants that follow.
fn handle(ownership: &mut ServiceOwnership, now: Duration, event: Event) -> Vec<Effect> {
    let effects = ownership.handle(now, event);
    for command in grant_commands(&effects) {
        let granted = Event::GrantEnded(command.from, CallOutcome::Done(None));
        ownership.handle(now, granted);
    }
    effects
}

/// The three targets, of which the first leaves.
fn targets() -> Vec<Target> {
    let mut targets: Vec<Target> = (1..=3).map(target).collect();
    targets[0].leaving = true;
    targets
}

/// Guards against keys without an owner for the whole of an outage: they were released, and the store couldn't take in
/// their next owner for 13 s.
#[test]
fn a_leaving_owner_keeps_its_keys_until_the_store_answers() {
    let (mut ownership, _, start) = granted_ownership();
    let effects = handle(&mut ownership, start + OUTAGE, Event::Targets(targets()));
    assert!(release_commands(&effects).is_empty());
    let later = start + OUTAGE * 4;
    let effects = handle(&mut ownership, later, Event::Tick);
    assert!(release_commands(&effects).is_empty());
    let renewed = Event::LeaseExtended(later + TIMING.lease);
    let effects = handle(&mut ownership, later, renewed);
    assert_eq!(release_commands(&effects).len(), 3);
}

#[test]
fn hot_keys_stay_with_their_owner_until_the_store_answers() {
    let (mut ownership, _, start) = granted_ownership();
    let hot = Event::Load((0..20).map(|key| (key, 30)).collect());
    let effects = handle(&mut ownership, start + OUTAGE, hot);
    assert!(release_commands(&effects).is_empty());
    let later = start + OUTAGE * 2;
    let renewed = Event::LeaseExtended(later + TIMING.lease);
    let effects = handle(&mut ownership, later, renewed);
    assert!(
        !release_commands(&effects).is_empty(),
        "the load does not call for a move"
    );
}
