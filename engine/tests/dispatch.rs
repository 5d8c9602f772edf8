//! Which requests the dispatcher sends, queues or refuses, each under the load that the rule is for.

mod dispatch_fixture;

use std::{collections::HashMap, time::Duration};

use bramleypier_engine::{
    catalogue,
    placement::dispatch::{Charge, CompletionKind, Effect, Event, RefusalReason},
};
use proptest::prelude::*;

use crate::dispatch_fixture::{
    ALLOWANCE, ask, busy_quota, completed, dispatcher, in_flight_update, keyed, ms, quota_update,
    record_owned_by, refused, sent, target,
};

#[test]
fn requests_spread_over_targets_with_free_slots() {
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
fn requests_of_other_vms_count_as_load() {
    let mut dispatcher = dispatcher(vec![target(0, "d1"), target(1, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 4)]);
    dispatcher.handle(ms(1), in_flight_update(others));
    for ticket in 0..3 {
        let effects = dispatcher.handle(ms(2), Event::Request(ask(ticket, ms(2))));
        assert_eq!(sent(&effects)[0].1, "t1");
    }
}

#[test]
fn requests_for_a_full_target_are_queued_and_sent_by_priority() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 7)]);
    dispatcher.handle(ms(1), in_flight_update(others));
    let mut normal = ask(1, ms(2));
    normal.deadline = ms(5000);
    normal.goal = ms(4000);
    let mut urgent = normal.clone();
    (urgent.ticket, urgent.priority) = (2, 0);
    assert!(dispatcher.handle(ms(2), Event::Request(normal)).is_empty());
    assert!(dispatcher.handle(ms(2), Event::Request(urgent)).is_empty());
    assert_eq!(dispatcher.queue_len(), 2);
    let effects = dispatcher.handle(ms(10), quota_update(6, busy_quota(1, 0)));
    assert_eq!(sent(&effects), [(2, "t0".to_owned())]);
}

/// All VMs learn at the same moment that the queue of a busy target is short. If each sent without a quota, together
/// they would overflow it.
#[test]
fn nothing_is_sent_to_a_busy_target_without_a_quota() {
    let mut dispatcher = dispatcher(
        vec![target(0, "d1")],
        Some(record_owned_by(&target(0, "d1"))),
    );
    dispatcher.handle(
        ms(1),
        in_flight_update(HashMap::from([(catalogue::hash("t0"), 7)])),
    );
    for ticket in 0..3 {
        let mut request = keyed(ticket, ms(2));
        request.goal = ms(1000);
        request.deadline = ms(2000);
        assert!(dispatcher.handle(ms(2), Event::Request(request)).is_empty());
    }
    let queues = dispatcher.take_snapshot(ms(12)).queues;
    assert_eq!(queues.len(), 1);
    assert_eq!(queues[0].within_goal, 3);
    let first = queues[0].first[0];
    assert_eq!((first.priority, first.age_ms), (1, 10), "priority and age");
    let without_quota = dispatcher.handle(ms(14), quota_update(1, busy_quota(0, 5)));
    assert!(
        without_quota.is_empty(),
        "other VMs' requests have waited longer: {without_quota:?}"
    );
    let with_quota = dispatcher.handle(ms(54), quota_update(1, busy_quota(2, 4)));
    assert_eq!(sent(&with_quota).len(), 2);
    assert!(
        dispatcher.handle(ms(60), Event::Tick).is_empty(),
        "the quota is used up"
    );
}

/// Once the backlog has exceeded the goal for as long as the goal itself, a request that would miss its goal
/// would only take slots from requests that can still meet theirs.
#[test]
fn requests_that_would_miss_their_goal_are_refused_while_a_backlog_lasts() {
    let mut dispatcher = dispatcher(
        vec![target(0, "d1")],
        Some(record_owned_by(&target(0, "d1"))),
    );
    for _ in 0..20 {
        dispatcher.handle(
            ms(1),
            completed("t0", CompletionKind::Answered(ms(60)), ms(0)),
        );
    }
    dispatcher.handle(ms(2), quota_update(4, busy_quota(0, 10)));
    let at_onset = dispatcher.handle(ms(3), Event::Request(keyed(1, ms(3))));
    assert!(
        at_onset.is_empty(),
        "not queued, though this may be a short burst: {at_onset:?}"
    );
    for at in (40..=240).step_by(40) {
        dispatcher.handle(ms(at), quota_update(4, busy_quota(0, 10)));
    }
    let effects = dispatcher.handle(ms(241), Event::Request(keyed(2, ms(241))));
    let [
        Effect::Refuse {
            reason: refusal_reason,
            retry_after: delay,
            ..
        },
    ] = &effects[..]
    else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(*refusal_reason, RefusalReason::Goal);
    // Ten requests wait at other VMs, three more are queued, and one completes every 30 ms.
    assert!(*delay > ms(300) && *delay < ms(600), "{delay:?}");
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused_with_a_retry_after() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], None);
    for ticket in 0..20 {
        dispatcher.handle(
            ms(1),
            completed("t0", CompletionKind::Answered(ms(300)), ms(0)),
        );
        let _ = ticket;
    }
    let others = HashMap::from([(catalogue::hash("t0"), 4)]);
    dispatcher.handle(ms(2), in_flight_update(others));
    let effects = dispatcher.handle(ms(3), Event::Request(ask(99, ms(3))));
    let [
        Effect::Refuse {
            reason: refusal_reason,
            retry_after: delay,
            ..
        },
    ] = &effects[..]
    else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(*refusal_reason, RefusalReason::Late);
    assert!(*delay >= ms(20) && *delay < ms(2000), "{delay:?}");
}

#[test]
fn requests_past_their_goal_wait_behind_those_within_it() {
    let mut dispatcher = dispatcher(vec![target(0, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 3)]);
    dispatcher.handle(ms(1), in_flight_update(others));
    let mut older = ask(1, ms(2));
    older.goal = ms(3);
    assert!(
        dispatcher.handle(ms(2), Event::Request(older)).is_empty(),
        "it is queued"
    );
    let effects = dispatcher.handle(ms(3), Event::Request(ask(2, ms(3))));
    assert_eq!(
        sent(&effects),
        [(2, "t0".to_owned())],
        "the newer request is sent first"
    );
}

#[test]
fn a_target_that_fails_fast_gets_few_requests() {
    let targets: Vec<_> = (0..3).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    let mut now = ms(1);
    let mut at_failing = 0;
    for ticket in 0..200 {
        now += ms(10);
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now)));
        let id = sent(&effects)[0].1.clone();
        let completion_kind = if id == "t0" {
            at_failing += u32::from(ticket >= 50);
            CompletionKind::Failed
        } else {
            CompletionKind::Answered(ms(60))
        };
        dispatcher.handle(now + ms(2), completed(&id, completion_kind, now));
    }
    assert!(
        at_failing < 15,
        "{at_failing} of 150 were sent to the failing target"
    );
}

#[test]
fn a_target_that_has_become_slow_is_avoided_before_it_answers() {
    let targets: Vec<_> = (0..2).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    for _ in 0..10 {
        for id in ["t0", "t1"] {
            dispatcher.handle(
                ms(1),
                completed(id, CompletionKind::Answered(ms(60)), ms(0)),
            );
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
        completed(&second, CompletionKind::Answered(ms(60)), ms(10)),
    );
    let now = ms(700);
    for ticket in 3..5 {
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now)));
        assert_eq!(
            sent(&effects)[0].1,
            second,
            "the other target has not answered a request for 690 ms"
        );
    }
}

/// Responses such as files are large, and traffic between failure domains costs money.
#[test]
fn large_responses_come_from_the_local_domain_while_that_meets_the_goal() {
    let mut dispatcher = dispatcher(vec![target(0, "d2"), target(1, "d1")], None);
    for _ in 0..20 {
        for id in ["t0", "t1"] {
            dispatcher.handle(
                ms(1),
                completed(id, CompletionKind::Answered(ms(80)), ms(0)),
            );
        }
    }
    let chosen: Vec<String> = (0..5)
        .map(|ticket| {
            let mut request = ask(ticket, ms(1));
            request.local_until = Some(request.goal);
            sent(&dispatcher.handle(ms(1), Event::Request(request)))[0]
                .1
                .clone()
        })
        .collect();
    // At 80 ms a request, two slots and a goal of 200 ms, a fourth request meets its goal and a fifth doesn't.
    assert_eq!(chosen, ["t1", "t1", "t1", "t1", "t0"]);
}

/// Guards against a failure domain whose targets fill up with all large responses of its callers while others idle.
#[test]
fn large_responses_come_from_other_domains_before_the_goal_is_at_risk() {
    let mut dispatcher = dispatcher(vec![target(0, "d2"), target(1, "d1")], None);
    for _ in 0..20 {
        for id in ["t0", "t1"] {
            let answered = CompletionKind::Answered(ms(40));
            dispatcher.handle(ms(1), completed(id, answered, ms(0)));
        }
    }
    let chosen = (0..5).map(|ticket| {
        let mut request = ask(ticket, ms(1));
        request.local_until = Some(ms(101));
        let effects = dispatcher.handle(ms(1), Event::Request(request));
        sent(&effects)[0].1.clone()
    });
    // At 40 ms a request and two slots, a fourth one is expected to take 90 ms and a fifth 110 ms.
    assert_eq!(chosen.collect::<Vec<_>>(), ["t1", "t1", "t1", "t1", "t0"]);
}

#[test]
fn retries_spend_the_budget() {
    let targets = (0..3).map(|it| target(it, "d1")).collect();
    let mut dispatcher = dispatcher(targets, None);
    let mut retried = 0;
    for ticket in 0..40 {
        let now = ALLOWANCE.window + ms(ticket);
        let mut request = ask(ticket, now);
        request.charge = Charge::Retry;
        let effects = dispatcher.handle(now, Event::Request(request));
        for (_, id) in sent(&effects) {
            retried += 1;
            dispatcher.handle(now, completed(&id, CompletionKind::Answered(ms(1)), now));
        }
        let refusals = refused(&effects);
        assert!(
            refusals
                .iter()
                .all(|(_, reason)| *reason == RefusalReason::Budget)
        );
    }
    // The slack of 20 is divided between two VMs, and each uses four fifths of its part.
    assert_eq!(retried, 8);
}

/// Targets that refuse half of their requests although they have free slots soon exhaust the retry budget. A request
/// that the caller sends again counts as new, and half of these are accepted, so the caller should retry soon.
#[test]
fn refusals_for_lack_of_budget_carry_the_time_until_a_slot_is_free() {
    let mut dispatcher = dispatcher(
        vec![target(0, "d1")],
        Some(record_owned_by(&target(0, "d1"))),
    );
    for _ in 0..20 {
        dispatcher.handle(
            ms(1),
            completed("t0", CompletionKind::Answered(ms(60)), ms(0)),
        );
    }
    let now = ALLOWANCE.window + ms(2);
    let mut delays = Vec::new();
    for ticket in 0..40 {
        let mut request = keyed(ticket, now);
        request.charge = Charge::Retry;
        for effect in dispatcher.handle(now, Event::Request(request)) {
            match effect {
                Effect::Send { .. } => {
                    dispatcher.handle(now, completed("t0", CompletionKind::Refused, now));
                }
                Effect::Refuse {
                    reason: refusal_reason,
                    retry_after: delay,
                    ..
                } => {
                    assert_eq!(refusal_reason, RefusalReason::Budget);
                    delays.push(delay);
                }
            }
        }
    }
    assert!((1..40).contains(&delays.len()), "{delays:?}");
    // With two slots and 60 ms a request, one completes every 30 ms.
    assert!(delays.iter().all(|it| *it <= ms(35)), "{delays:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request is sent or refused once, or is still queued at the end.
    #[test]
    fn every_request_is_decided_once(gaps in prop::collection::vec((0..30_u64, 0..3_u8), 1..120)) {
        let targets: Vec<_> = (0..3).map(|it| target(it, "d1")).collect();
        let mut dispatcher = dispatcher(targets, None);
        let mut now = ms(1);
        let mut decided: HashMap<u64, u32> = HashMap::new();
        let mut in_flight: Vec<(String, Duration)> = Vec::new();
        let mut submitted = 0;
        for (gap, kind) in gaps {
            now += ms(gap);
            let effects = match (kind, in_flight.pop()) {
                (0, Some((id, at))) => dispatcher.handle(
                    now,
                    completed(&id, CompletionKind::Answered(now.saturating_sub(at)), at),
                ),
                (_, other) => {
                    in_flight.extend(other);
                    submitted += 1;
                    dispatcher.handle(now, Event::Request(ask(submitted, now)))
                }
            };
            for (ticket, id) in sent(&effects) {
                *decided.entry(ticket).or_default() += 1;
                in_flight.push((id, now));
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
        prop_assert_eq!(decided.len() as u64 + dispatcher.queue_len() as u64, submitted);
        prop_assert!(decided.values().all(|count| *count == 1));
    }
}
