//! Keys and addresses whose owners change: where their requests go, and which wait.

mod desk_world;

use bramleypier_engine::{
    owner::record::Record,
    placement::dispatch::{CompletionKind, DispatchRequest, Dispatcher, Event, RefusalReason},
};

use crate::desk_world::{ask, dispatcher, done, keyed, ms, owned_by, refused, sent, target, view};

#[test]
fn a_key_goes_to_its_owner_only() {
    let targets = vec![target(0, "d1"), target(1, "d1")];
    let record = owned_by(&targets[1]);
    let mut dispatcher = dispatcher(targets, Some(record));
    for ticket in 0..4 {
        let effects = dispatcher.handle(ms(1), Event::Request(keyed(ticket, ms(1))));
        assert_eq!(sent(&effects)[0].1, "t1");
    }
}

#[test]
fn a_key_without_an_owner_waits_briefly_and_is_refused_then() {
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
fn a_key_whose_owner_has_begun_another_life_has_no_owner() {
    let old = target(0, "d1");
    let mut reborn = old.clone();
    reborn.start_time = 2;
    let mut dispatcher = dispatcher(vec![reborn], Some(owned_by(&old)));
    assert!(
        dispatcher
            .handle(ms(0), Event::Request(keyed(1, ms(0))))
            .is_empty()
    );
}

#[test]
fn a_key_that_its_owner_refused_waits_for_a_newer_owner() {
    let targets = vec![target(0, "d1"), target(1, "d1")];
    let mut dispatcher = dispatcher(targets.clone(), Some(owned_by(&targets[0])));
    assert_eq!(
        sent(&dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))))).len(),
        1
    );
    let mut refusal = done("t0", CompletionKind::Misdirected, ms(0));
    if let Event::Completed {
        completion: end, ..
    } = &mut refusal
    {
        end.ownership = Some((7, 5));
    }
    dispatcher.handle(ms(4), refusal);
    for ticket in 2..5 {
        let effects = dispatcher.handle(ms(5), Event::Request(keyed(ticket, ms(5))));
        assert!(effects.is_empty(), "its owner is asked again: {effects:?}");
    }
    let mut other = keyed(9, ms(6));
    other.point = Some(8);
    assert_eq!(
        sent(&dispatcher.handle(ms(6), Event::Request(other))).len(),
        1,
        "other keys stay"
    );
    let mut newer = owned_by(&targets[1]);
    newer.ranges[0].fence = 7;
    let effects = dispatcher.handle(ms(10), view(targets, Some(newer)));
    assert_eq!(sent(&effects).len(), 3);
    assert!(sent(&effects).iter().all(|(_, id)| id == "t1"));
}

/// The address of a target that has ended may be another one's by now, which refuses what is meant for the
/// first: 421 without a key means that and nothing else.
#[test]
fn a_target_that_another_one_answers_for_gets_nothing_until_it_is_announced_anew() {
    let targets: Vec<_> = (0..2).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets.clone(), None);
    dispatcher.handle(ms(0), Event::Request(ask(1, ms(0))));
    dispatcher.handle(ms(1), done("t0", CompletionKind::Misdirected, ms(0)));
    for ticket in 2..40 {
        let now = ms(ticket * 100);
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now)));
        assert_eq!(sent(&effects)[0].1, "t1", "at {now:?}");
        dispatcher.handle(
            now + ms(50),
            done("t1", CompletionKind::Answered(ms(50)), now),
        );
    }
    let mut moved = targets;
    moved[0].address = "127.0.0.1:999".parse().unwrap();
    moved.remove(1);
    dispatcher.handle(ms(4100), view(moved, None));
    let effects = dispatcher.handle(ms(4200), Event::Request(ask(50, ms(4200))));
    assert_eq!(sent(&effects), [(50, "t0".to_owned())]);
}

/// To ask its owner once more would be a repeat, and all that it can learn is known: others are served there.
#[test]
fn a_request_whose_owner_refused_it_and_takes_others_now_is_told_to_come_back() {
    let targets = vec![target(0, "d1")];
    let mut dispatcher = dispatcher(targets.clone(), Some(owned_by(&targets[0])));
    let refusal = |ended| {
        let mut event = done("t0", ended, ms(0));
        if let Event::Completed {
            completion: end, ..
        } = &mut event
        {
            end.ownership = Some((7, 5));
        }
        event
    };
    dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))));
    dispatcher.handle(ms(4), refusal(CompletionKind::Misdirected));
    let again = DispatchRequest {
        misdirected: vec![("t0".to_owned(), 5)],
        is_retry: true,
        ..keyed(1, ms(0))
    };
    assert!(
        dispatcher.handle(ms(5), Event::Request(again)).is_empty(),
        "its key may be moving"
    );
    let effects = dispatcher.handle(ms(110), Event::Request(keyed(2, ms(110))));
    assert_eq!(
        sent(&effects),
        [(2, "t0".to_owned())],
        "another one finds out"
    );
    let effects = dispatcher.handle(ms(150), refusal(CompletionKind::Answered(ms(40))));
    assert_eq!(refused(&effects), [(1, RefusalReason::Moved)]);
}

/// A dispatcher that knows one target, the owner of all keys.
fn owner_alone() -> Dispatcher {
    let owner = target(0, "d1");
    let record = owned_by(&owner);
    dispatcher(vec![owner], Some(record))
}

/// After one answer that took longer than any caller waits, every request for an idle owner's keys was refused
/// for good: with nothing sent, nothing was learnt.
#[test]
fn an_idle_owner_that_was_slow_once_is_tried_again() {
    let mut dispatcher = owner_alone();
    assert_eq!(
        sent(&dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))))).len(),
        1
    );
    dispatcher.handle(
        ms(2700),
        done("t0", CompletionKind::Answered(ms(2700)), ms(0)),
    );
    let effects = dispatcher.handle(ms(2701), Event::Request(keyed(2, ms(2701))));
    assert_eq!(
        refused(&effects),
        [(2, RefusalReason::Late)],
        "it may be slow still"
    );
    let mut now = ms(3300);
    let mut answered = 0;
    for ticket in 3..103 {
        let effects = dispatcher.handle(now, Event::Request(keyed(ticket, now)));
        if !sent(&effects).is_empty() {
            dispatcher.handle(
                now + ms(20),
                done("t0", CompletionKind::Answered(ms(20)), now),
            );
            answered += 1;
        }
        now += ms(100);
    }
    assert!(answered >= 50, "{answered} of 100 at a target that is fast");
}

/// While an owner is slow, it is tried by single requests, and callers are refused at once otherwise.
#[test]
fn an_owner_that_stays_slow_is_tried_by_single_requests() {
    let mut dispatcher = owner_alone();
    dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))));
    dispatcher.handle(
        ms(2700),
        done("t0", CompletionKind::Answered(ms(2700)), ms(0)),
    );
    let mut tried = 0;
    for ticket in 2..102 {
        let now = ms(2700 + 20 * ticket);
        let effects = dispatcher.handle(now, Event::Request(keyed(ticket, now)));
        for _ in sent(&effects) {
            tried += 1;
            dispatcher.handle(
                now + ms(15),
                done("t0", CompletionKind::Abandoned(ms(2000)), now),
            );
        }
    }
    assert!((1..=4).contains(&tried), "{tried} in two seconds");
}

/// A request that has little time left is no reason to doubt what is believed of its owner.
#[test]
fn a_request_with_little_time_left_tries_no_owner_that_is_believed_slow() {
    let mut dispatcher = owner_alone();
    dispatcher.handle(ms(0), Event::Request(keyed(1, ms(0))));
    dispatcher.handle(ms(60), done("t0", CompletionKind::Answered(ms(60)), ms(0)));
    let mut late = keyed(2, ms(600));
    late.deadline = ms(1030);
    let effects = dispatcher.handle(ms(1000), Event::Request(late));
    assert_eq!(refused(&effects), [(2, RefusalReason::Late)]);
}
