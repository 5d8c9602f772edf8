//! Where requests go, which wait and which are refused, each under the load that it answers.

mod desk_world;

use std::{collections::HashMap, time::Duration};

use bramleypier_engine::{
    catalogue,
    placement::dispatch::{CompletionKind, Effect, Event, RefusalReason},
};
use proptest::prelude::*;

use crate::desk_world::{
    ALLOWANCE, ask, busy, dispatcher, done, keyed, ms, owned_by, refused, sent, shared, target,
    told,
};

#[test]
fn requests_spread_over_targets_that_have_room() {
    let targets = (0..3).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for ticket in 0..6 {
        for (_, id) in sent(&dispatcher.handle(ms(1), Event::Request(ask(ticket, ms(1))))) {
            *counts.entry(id).or_default() += 1;
        }
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn other_vms_requests_count_as_own() {
    let mut dispatcher = dispatcher(vec![target(0, "d1"), target(1, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 4)]);
    dispatcher.handle(ms(1), told(others));
    for ticket in 0..3 {
        let effects = dispatcher.handle(ms(2), Event::Request(ask(ticket, ms(2))));
        assert_eq!(sent(&effects)[0].1, "t1");
    }
}

#[test]
fn a_full_target_makes_requests_wait_and_serves_them_by_rank() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 7)]);
    dispatcher.handle(ms(1), told(others));
    let mut late = ask(1, ms(2));
    late.deadline = ms(5000);
    late.goal = ms(4000);
    let mut urgent = late.clone();
    (urgent.ticket, urgent.priority) = (2, 0);
    assert!(dispatcher.handle(ms(2), Event::Request(late)).is_empty());
    assert!(dispatcher.handle(ms(2), Event::Request(urgent)).is_empty());
    assert_eq!(dispatcher.queue_len(), 2);
    let effects = dispatcher.handle(ms(10), shared(6, busy(1, 0)));
    assert_eq!(sent(&effects), [(2, "t0".to_owned())]);
}

/// All VMs hear at the same moment that a busy target's queue has become short.
#[test]
fn without_a_share_of_its_room_nothing_is_sent_to_a_busy_target() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], Some(owned_by(&target(0, "d1"))));
    dispatcher.handle(ms(1), told(HashMap::from([(catalogue::hash("t0"), 7)])));
    for ticket in 0..3 {
        let mut it = keyed(ticket, ms(2));
        it.goal = ms(1000);
        it.deadline = ms(2000);
        assert!(dispatcher.handle(ms(2), Event::Request(it)).is_empty());
    }
    let queues = dispatcher.take_snapshot(ms(12)).queues;
    assert_eq!(queues.len(), 1);
    assert_eq!(queues[0].within_goal, 3);
    let first = queues[0].first[0];
    assert_eq!((first.priority, first.age_ms), (1, 10), "rank and age");
    let none = dispatcher.handle(ms(14), shared(1, busy(0, 5)));
    assert!(none.is_empty(), "others wait longer: {none:?}");
    let two = dispatcher.handle(ms(54), shared(1, busy(2, 4)));
    assert_eq!(sent(&two).len(), 2);
    assert!(
        dispatcher.handle(ms(60), Event::Tick).is_empty(),
        "the share is used up"
    );
}

/// A line as long as the goal for as long as the goal: late ones take places from others only.
#[test]
fn late_requests_are_refused_at_once_while_a_line_lasts() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], Some(owned_by(&target(0, "d1"))));
    for _ in 0..20 {
        dispatcher.handle(ms(1), done("t0", CompletionKind::Answered(ms(60)), ms(0)));
    }
    dispatcher.handle(ms(2), shared(4, busy(0, 10)));
    let early = dispatcher.handle(ms(3), Event::Request(keyed(1, ms(3))));
    assert!(early.is_empty(), "it may be a passing burst: {early:?}");
    for at in (40..=240).step_by(40) {
        dispatcher.handle(ms(at), shared(4, busy(0, 10)));
    }
    let effects = dispatcher.handle(ms(241), Event::Request(keyed(2, ms(241))));
    let [
        Effect::Refuse {
            reason: why,
            retry_after: retry,
            ..
        },
    ] = &effects[..]
    else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(*why, RefusalReason::Goal);
    // Ten in line and three in the queue, at one each 30 ms.
    assert!(*retry > ms(300) && *retry < ms(600), "{retry:?}");
}

#[test]
fn what_can_not_be_answered_in_time_is_refused_at_once_with_a_time_to_come_back() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], None);
    for ticket in 0..20 {
        dispatcher.handle(ms(1), done("t0", CompletionKind::Answered(ms(300)), ms(0)));
        let _ = ticket;
    }
    let others = HashMap::from([(catalogue::hash("t0"), 4)]);
    dispatcher.handle(ms(2), told(others));
    let effects = dispatcher.handle(ms(3), Event::Request(ask(99, ms(3))));
    let [
        Effect::Refuse {
            reason: why,
            retry_after: retry,
            ..
        },
    ] = &effects[..]
    else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(*why, RefusalReason::Late);
    assert!(*retry >= ms(20) && *retry < ms(2000), "{retry:?}");
}

#[test]
fn late_requests_stand_behind_those_that_can_still_make_the_goal() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 3)]);
    dispatcher.handle(ms(1), told(others));
    let mut late = ask(1, ms(2));
    late.goal = ms(3);
    assert!(
        dispatcher.handle(ms(2), Event::Request(late)).is_empty(),
        "it waits"
    );
    let effects = dispatcher.handle(ms(3), Event::Request(ask(2, ms(3))));
    assert_eq!(
        sent(&effects),
        [(2, "t0".to_owned())],
        "the newer one goes first"
    );
}

#[test]
fn a_target_that_fails_fast_gets_little() {
    let targets: Vec<_> = (0..3).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    let mut now = ms(1);
    let mut at_bad = 0;
    for ticket in 0..200 {
        now += ms(10);
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now)));
        let id = sent(&effects)[0].1.clone();
        let ended = if id == "t0" {
            at_bad += u32::from(ticket >= 50);
            CompletionKind::Failed
        } else {
            CompletionKind::Answered(ms(60))
        };
        dispatcher.handle(now + ms(2), done(&id, ended, now));
    }
    assert!(at_bad < 15, "{at_bad} of 150 went to the target that fails");
}

#[test]
fn a_target_that_has_turned_slow_shows_before_its_first_answer() {
    let targets: Vec<_> = (0..2).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    for _ in 0..10 {
        for id in ["t0", "t1"] {
            dispatcher.handle(ms(1), done(id, CompletionKind::Answered(ms(60)), ms(0)));
        }
    }
    let first = sent(&dispatcher.handle(ms(10), Event::Request(ask(1, ms(10)))))[0]
        .1
        .clone();
    let second = sent(&dispatcher.handle(ms(10), Event::Request(ask(2, ms(10)))))[0]
        .1
        .clone();
    assert_ne!(first, second);
    dispatcher.handle(
        ms(70),
        done(&second, CompletionKind::Answered(ms(60)), ms(10)),
    );
    let now = ms(700);
    for ticket in 3..5 {
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now)));
        assert_eq!(
            sent(&effects)[0].1,
            second,
            "the other holds a request for 690 ms"
        );
    }
}

/// Files are large, and bytes between failure domains are paid for.
#[test]
fn large_answers_come_from_near_while_that_is_in_time() {
    let mut dispatcher = dispatcher(vec![target(0, "d2"), target(1, "d1")], None);
    for _ in 0..20 {
        for id in ["t0", "t1"] {
            dispatcher.handle(ms(1), done(id, CompletionKind::Answered(ms(80)), ms(0)));
        }
    }
    let places: Vec<String> = (0..5)
        .map(|ticket| {
            let mut asked = ask(ticket, ms(1));
            asked.large = true;
            sent(&dispatcher.handle(ms(1), Event::Request(asked)))[0]
                .1
                .clone()
        })
        .collect();
    // 80 ms a request, two slots and a goal of 200 ms: a fourth is in time, a fifth isn't.
    assert_eq!(places, ["t1", "t1", "t1", "t1", "t0"]);
}

#[test]
fn repeats_draw_on_the_budget() {
    let targets = (0..3).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    let mut repeated = 0;
    for ticket in 0..40 {
        let now = ALLOWANCE.window + ms(ticket);
        let mut again = ask(ticket, now);
        again.is_retry = true;
        let effects = dispatcher.handle(now, Event::Request(again));
        for (_, id) in sent(&effects) {
            repeated += 1;
            dispatcher.handle(now, done(&id, CompletionKind::Answered(ms(1)), now));
        }
        let out = refused(&effects);
        assert!(out.iter().all(|(_, why)| *why == RefusalReason::Budget));
    }
    // A slack of 20 for two VMs, of which four fifths are used.
    assert_eq!(repeated, 8);
}

/// Targets that turn away half of their work though they have room soon use up the budget; what
/// comes again by its caller is new, and half of it is taken.
#[test]
fn without_a_budget_callers_are_told_to_come_back_when_a_place_is_free() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], Some(owned_by(&target(0, "d1"))));
    for _ in 0..20 {
        dispatcher.handle(ms(1), done("t0", CompletionKind::Answered(ms(60)), ms(0)));
    }
    let now = ALLOWANCE.window + ms(2);
    let mut told = Vec::new();
    for ticket in 0..40 {
        let mut again = keyed(ticket, now);
        again.is_retry = true;
        for effect in dispatcher.handle(now, Event::Request(again)) {
            match effect {
                Effect::Send { .. } => {
                    dispatcher.handle(now, done("t0", CompletionKind::Refused, now));
                }
                Effect::Refuse {
                    reason: why,
                    retry_after: retry,
                    ..
                } => {
                    assert_eq!(why, RefusalReason::Budget);
                    told.push(retry);
                }
            }
        }
    }
    assert!((1..40).contains(&told.len()), "{told:?}");
    // Two slots and 60 ms a request: one ends every 30 ms.
    assert!(told.iter().all(|it| *it <= ms(35)), "{told:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request is decided once, and none is forgotten.
    #[test]
    fn every_request_is_decided_once(gaps in prop::collection::vec((0..30_u64, 0..3_u8), 1..120)) {
        let targets: Vec<_> = (0..3).map(|it| target(it, "d1")).collect();
        let mut dispatcher = dispatcher(targets, None);
        let mut now = ms(1);
        let mut decided: HashMap<u64, u32> = HashMap::new();
        let mut under_way: Vec<(String, Duration)> = Vec::new();
        let mut asked = 0;
        for (gap, kind) in gaps {
            now += ms(gap);
            let effects = match (kind, under_way.pop()) {
                (0, Some((id, at))) => dispatcher.handle(now, done(&id, CompletionKind::Answered(now.saturating_sub(at)), at)),
                (_, other) => {
                    under_way.extend(other);
                    asked += 1;
                    dispatcher.handle(now, Event::Request(ask(asked, now)))
                }
            };
            for (ticket, id) in sent(&effects) {
                *decided.entry(ticket).or_default() += 1;
                under_way.push((id, now));
            }
            for (ticket, _) in refused(&effects) {
                *decided.entry(ticket).or_default() += 1;
            }
        }
        let last = dispatcher.handle(now + ms(10_000), Event::Tick);
        for (ticket, _) in sent(&last) {
            *decided.entry(ticket).or_default() += 1;
        }
        for (ticket, _) in refused(&last) {
            *decided.entry(ticket).or_default() += 1;
        }
        prop_assert_eq!(decided.len() as u64 + dispatcher.queue_len() as u64, asked);
        prop_assert!(decided.values().all(|count| *count == 1));
    }
}
