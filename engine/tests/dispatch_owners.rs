//! Where requests go and which are queued while keys and target addresses change owners.

mod dispatch_fixture;

use bramleypier_engine::{
    owner::record::Record,
    placement::dispatch::{
        Charge, CompletionKind, DispatchRequest, Dispatcher, Event, RefusalReason,
    },
};

use crate::dispatch_fixture::{
    ask, completed, dispatcher, keyed, ms, record_owned_by, refused, sent, target, view_event,
};

#[test]
fn a_key_goes_to_its_owner_only() {
    let targets = vec![target(0, "d1"), target(1, "d1")];
    let record = record_owned_by(&targets[1]);
    let mut dispatcher = dispatcher(targets, Some(record));
    for ticket in 0..4 {
        let effects = dispatcher.handle(ms(1), Event::Request(keyed(ticket, ms(1))));
        assert_eq!(sent(&effects)[0].1, "t1");
    }
}

#[test]
fn requests_for_a_key_without_an_owner_are_queued_briefly_and_then_refused() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], Some(Record::unowned(99)));
    assert!(
        dispatcher
            .handle(ms(0), Event::Request(keyed(1, ms(0))))
            .is_empty()
    );
    assert!(dispatcher.handle(ms(100), Event::Tick).is_empty());
    assert_eq!(
        refused(&dispatcher.handle(ms(121), Event::Tick)),
        [(1, RefusalReason::NoOwner)]
    );
}

#[test]
fn a_key_whose_owner_has_restarted_has_no_owner() {
    let old = target(0, "d1");
    let mut restarted = old.clone();
    restarted.start_time = 2;
    let mut dispatcher = dispatcher(vec![restarted], Some(record_owned_by(&old)));
    assert!(
        dispatcher
            .handle(ms(0), Event::Request(keyed(1, ms(0))))
            .is_empty()
    );
}

#[test]
fn requests_for_a_key_that_its_owner_refused_wait_for_a_newer_owner() {
    let targets = vec![target(0, "d1"), target(1, "d1")];
    let mut dispatcher = dispatcher(targets.clone(), Some(record_owned_by(&targets[0])));
    assert_eq!(
        sent(&dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))))).len(),
        1
    );
    let mut refusal = completed("t0", CompletionKind::Misdirected, ms(0));
    if let Event::Completed {
        completion: result, ..
    } = &mut refusal
    {
        result.ownership = Some((7, 5));
    }
    dispatcher.handle(ms(4), refusal);
    for ticket in 2..5 {
        let effects = dispatcher.handle(ms(5), Event::Request(keyed(ticket, ms(5))));
        assert!(
            effects.is_empty(),
            "sent to the owner that refused the key: {effects:?}"
        );
    }
    let mut other = keyed(9, ms(6));
    other.key = Some(8);
    assert_eq!(
        sent(&dispatcher.handle(ms(6), Event::Request(other))).len(),
        1,
        "other keys keep their owner"
    );
    let mut newer_record = record_owned_by(&targets[1]);
    newer_record.ranges[0].fence = 7;
    let effects = dispatcher.handle(ms(10), view_event(targets, Some(newer_record)));
    assert_eq!(sent(&effects).len(), 3);
    assert!(sent(&effects).iter().all(|(_, id)| id == "t1"));
}

/// The address of a terminated target may belong to another target by now, which refuses requests for the first one
/// with 421. For a request without a key, 421 has no other meaning.
#[test]
fn a_target_whose_address_another_target_uses_gets_nothing_until_it_is_announced_again() {
    let targets: Vec<_> = (0..2).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets.clone(), None);
    dispatcher.handle(ms(0), Event::Request(ask(1, ms(0))));
    dispatcher.handle(ms(1), completed("t0", CompletionKind::Misdirected, ms(0)));
    for ticket in 2..40 {
        let now = ms(ticket * 100);
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now)));
        assert_eq!(sent(&effects)[0].1, "t1", "at {now:?}");
        dispatcher.handle(
            now + ms(50),
            completed("t1", CompletionKind::Answered(ms(50)), now),
        );
    }
    let mut moved = targets;
    moved[0].address = "127.0.0.1:999".parse().unwrap();
    moved.remove(1);
    dispatcher.handle(ms(4100), view_event(moved, None));
    let effects = dispatcher.handle(ms(4200), Event::Request(ask(50, ms(4200))));
    assert_eq!(sent(&effects), [(50, "t0".to_owned())]);
}

/// Sending the request to its owner again would be a retry that shows nothing new: the response to another request
/// has shown that the owner serves the key. So the caller has to retry.
#[test]
fn a_request_that_its_owner_refused_is_refused_once_the_owner_serves_the_key_again() {
    let targets = vec![target(0, "d1")];
    let mut dispatcher = dispatcher(targets.clone(), Some(record_owned_by(&targets[0])));
    let completion_with_key = |completion_kind| {
        let mut event = completed("t0", completion_kind, ms(0));
        if let Event::Completed {
            completion: result, ..
        } = &mut event
        {
            result.ownership = Some((7, 5));
        }
        event
    };
    dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))));
    dispatcher.handle(ms(4), completion_with_key(CompletionKind::Misdirected));
    let retry = DispatchRequest {
        misdirected: vec![("t0".to_owned(), 5)],
        charge: Charge::Retry,
        ..keyed(1, ms(0))
    };
    assert!(
        dispatcher.handle(ms(5), Event::Request(retry)).is_empty(),
        "it waits, since its key may be moving"
    );
    let effects = dispatcher.handle(ms(110), Event::Request(keyed(2, ms(110))));
    assert_eq!(
        sent(&effects),
        [(2, "t0".to_owned())],
        "another request checks whether the owner serves the key"
    );
    let effects = dispatcher.handle(
        ms(150),
        completion_with_key(CompletionKind::Answered(ms(40))),
    );
    assert_eq!(refused(&effects), [(1, RefusalReason::Moved)]);
}

/// A dispatcher that knows one target, the owner of all keys.
fn dispatcher_with_one_owner() -> Dispatcher {
    let owner = target(0, "d1");
    let record = record_owned_by(&owner);
    dispatcher(vec![owner], Some(record))
}

/// Guards against refusing all requests for an idle owner's keys forever after one response that took longer than any
/// caller waits: while nothing is sent to the owner, its estimated service time never changes.
#[test]
fn an_idle_owner_that_was_slow_once_is_probed_again() {
    let mut dispatcher = dispatcher_with_one_owner();
    assert_eq!(
        sent(&dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))))).len(),
        1
    );
    dispatcher.handle(
        ms(2700),
        completed("t0", CompletionKind::Answered(ms(2700)), ms(0)),
    );
    let effects = dispatcher.handle(ms(2701), Event::Request(keyed(2, ms(2701))));
    assert_eq!(
        refused(&effects),
        [(2, RefusalReason::Late)],
        "the owner may still be slow"
    );
    let mut now = ms(3300);
    let mut answered = 0;
    for ticket in 3..103 {
        let effects = dispatcher.handle(now, Event::Request(keyed(ticket, now)));
        if !sent(&effects).is_empty() {
            dispatcher.handle(
                now + ms(20),
                completed("t0", CompletionKind::Answered(ms(20)), now),
            );
            answered += 1;
        }
        now += ms(100);
    }
    assert!(
        answered >= 50,
        "{answered} of 100 requests were sent to a fast target"
    );
}

/// While an owner is slow, single requests probe it and all others are refused at once.
#[test]
fn an_owner_that_stays_slow_is_probed_by_single_requests() {
    let mut dispatcher = dispatcher_with_one_owner();
    dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))));
    dispatcher.handle(
        ms(2700),
        completed("t0", CompletionKind::Answered(ms(2700)), ms(0)),
    );
    let mut probes = 0;
    for ticket in 2..102 {
        let now = ms(2700 + 20 * ticket);
        let effects = dispatcher.handle(now, Event::Request(keyed(ticket, now)));
        for _ in sent(&effects) {
            probes += 1;
            dispatcher.handle(
                now + ms(15),
                completed("t0", CompletionKind::Abandoned(ms(2000)), now),
            );
        }
    }
    assert!((1..=4).contains(&probes), "{probes} probes in two seconds");
}

/// A request with little time left is refused and not sent as a probe: its short deadline gives no reason to doubt
/// the estimated service time of its owner.
#[test]
fn a_request_with_little_time_left_does_not_probe_its_owner() {
    let mut dispatcher = dispatcher_with_one_owner();
    dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))));
    dispatcher.handle(
        ms(60),
        completed("t0", CompletionKind::Answered(ms(60)), ms(0)),
    );
    let mut request = keyed(2, ms(600));
    request.deadline = ms(1030);
    let effects = dispatcher.handle(ms(1000), Event::Request(request));
    assert_eq!(refused(&effects), [(2, RefusalReason::Late)]);
}
