//! Targets that refuse requests and want none from this VM for a while.

mod dispatch_fixture;

use std::time::Duration;

use bramleypier_engine::placement::{
    dispatch::{CompletionKind, Dispatcher, Effect, Event, RefusalReason},
    hold_offs::HoldOffs,
};
use dispatch_fixture::{
    ask, completed, dispatcher, keyed, ms, record_owned_by, refused, sent, target, view_event,
};
use proptest::prelude::*;

/// The time for which targets in these tests want no requests.
const TIME: Duration = Duration::from_secs(3);

/// Lets a target refuse the request that was sent to it at `now`.
fn refuse(it: &mut Dispatcher, now: Duration, id: &str) -> Vec<Effect> {
    it.handle(now, Event::HoldOff(id.to_owned(), TIME));
    it.handle(now, completed(id, CompletionKind::Refused, now))
}

fn owned_service() -> Dispatcher {
    let owner = target(0, "d1");
    dispatcher(vec![owner.clone()], Some(record_owned_by(&owner)))
}

/// Guards against callers that are held for a target that they can't reach in their time.
#[test]
fn requests_for_a_held_owner_are_refused_at_once_with_the_time_until_it_takes_some() {
    let mut it = owned_service();
    it.handle(ms(0), Event::Request(keyed(1, ms(0))));
    refuse(&mut it, ms(0), "t0");
    for at in [0, 1000, 2500] {
        let effects = it.handle(ms(at), Event::Request(keyed(at + 2, ms(at))));
        assert_eq!(refused(&effects), [(at + 2, RefusalReason::HoldOff)]);
        let Effect::Refuse { retry_after, .. } = &effects[0] else {
            unreachable!("the request was refused");
        };
        assert_eq!(*retry_after, TIME.saturating_sub(ms(at)));
    }
}

#[test]
fn a_request_waits_for_an_owner_that_takes_some_again_in_time() {
    let mut it = owned_service();
    it.handle(ms(0), Event::Request(keyed(1, ms(0))));
    refuse(&mut it, ms(0), "t0");
    let arrived = TIME.saturating_sub(ms(50));
    assert!(
        it.handle(arrived, Event::Request(keyed(2, arrived)))
            .is_empty()
    );
    assert!(
        it.handle(TIME.saturating_sub(ms(1)), Event::Tick)
            .is_empty()
    );
    assert_eq!(sent(&it.handle(TIME, Event::Tick)), [(2, "t0".to_owned())]);
}

/// Guards against a queue that flows to its target as soon as a slot there is free.
#[test]
fn queued_requests_stay_here_when_their_target_wants_none() {
    let mut it = owned_service();
    for ticket in 0..40 {
        it.handle(ms(0), Event::Request(keyed(ticket, ms(0))));
    }
    assert!(it.queue_len() > 0);
    let effects = refuse(&mut it, ms(1), "t0");
    assert!(sent(&effects).is_empty());
    assert_eq!(it.queue_len(), 0, "they are refused at once");
}

#[test]
fn requests_without_a_key_go_to_the_other_targets() {
    let mut it = dispatcher((0..3).map(|number| target(number, "d1")).collect(), None);
    it.handle(ms(0), Event::HoldOff("t0".to_owned(), TIME));
    for ticket in 0..60 {
        let now = ms(ticket * 40);
        let effects = it.handle(now, Event::Request(ask(ticket, now)));
        let id = sent(&effects)[0].1.clone();
        assert_ne!(id, "t0");
        let answered = CompletionKind::Answered(ms(20));
        it.handle(now + ms(20), completed(&id, answered, now));
    }
}

#[test]
fn a_target_without_keys_gets_requests_again_after_its_time() {
    let mut it = dispatcher(vec![target(0, "d1")], None);
    it.handle(ms(0), Event::HoldOff("t0".to_owned(), TIME));
    let effects = it.handle(ms(0), Event::Request(ask(1, ms(0))));
    assert_eq!(refused(&effects), [(1, RefusalReason::HoldOff)]);
    let effects = it.handle(TIME, Event::Request(ask(2, TIME)));
    assert_eq!(sent(&effects), [(2, "t0".to_owned())]);
}

#[test]
fn requests_are_refused_at_once_while_all_targets_want_none() {
    let mut it = dispatcher(vec![target(0, "d1"), target(1, "d1")], None);
    it.handle(ms(0), Event::HoldOff("t0".to_owned(), TIME));
    it.handle(ms(0), Event::HoldOff("t1".to_owned(), TIME * 2));
    let effects = it.handle(ms(500), Event::Request(ask(1, ms(500))));
    assert_eq!(refused(&effects), [(1, RefusalReason::HoldOff)]);
    let Effect::Refuse { retry_after, .. } = &effects[0] else {
        unreachable!("the request was refused");
    };
    assert_eq!(
        *retry_after,
        TIME.saturating_sub(ms(500)),
        "the first that takes some"
    );
}

/// Guards against a target that is forgotten with the list that it leaves for a moment.
#[test]
fn a_target_that_returns_to_the_view_still_wants_no_requests() {
    let owner = target(0, "d1");
    let mut it = owned_service();
    it.handle(ms(0), Event::HoldOff("t0".to_owned(), TIME));
    it.handle(ms(100), view_event(vec![], Some(record_owned_by(&owner))));
    let back = view_event(vec![owner.clone()], Some(record_owned_by(&owner)));
    it.handle(ms(200), back);
    let effects = it.handle(ms(300), Event::Request(keyed(1, ms(300))));
    assert_eq!(refused(&effects), [(1, RefusalReason::HoldOff)]);
}

#[test]
fn a_hold_off_is_logged_once() {
    let mut it = owned_service();
    for _ in 0..3 {
        it.handle(ms(0), Event::HoldOff("t0".to_owned(), TIME));
    }
    let lines = it.take_log_lines();
    assert_eq!(lines, ["event=hold-off target=t0 for_ms=3000"]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each refusal holds from its own moment for its own time, in whatever order they come.
    #[test]
    fn no_refusal_ends_the_time_of_another(
        refusals in prop::collection::vec((0_u64..10_000, 0_u64..5000, 0_usize..3), 1..30),
        probe in 0_u64..15_000,
    ) {
        let mut refusals = refusals;
        refusals.sort_unstable();
        let ids = ["a", "b", "c"];
        let mut hold_offs = HoldOffs::default();
        for (at, time, target) in refusals.iter().filter(|(at, ..)| *at <= probe) {
            hold_offs.record(ms(*at), ids[*target], ms(*time));
        }
        for (index, id) in ids.iter().enumerate() {
            let ends = refusals.iter().filter(|it| it.2 == index && it.0 <= probe);
            let latest = ends.map(|it| it.0 + it.1).max().unwrap_or(0);
            let expected = (latest > probe).then(|| ms(latest - probe));
            prop_assert_eq!(hold_offs.remaining(ms(probe), id), expected);
        }
    }

    #[test]
    fn no_time_is_too_long(seconds in any::<u64>()) {
        let mut hold_offs = HoldOffs::default();
        hold_offs.record(ms(1), "a", Duration::from_secs(seconds));
        prop_assert_eq!(hold_offs.remaining(ms(1), "a").is_some(), seconds > 0);
    }
}
