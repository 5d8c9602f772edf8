//! Where requests go, which wait and which are refused, each under the load that it answers.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{self, Target},
    owner::record::{Life, Part, Record},
    place::{
        budget::Allowance,
        desk::{Ask, Desk, Effect, End, Ended, Event, View, Why, Word},
        share::Share,
    },
};
use proptest::prelude::*;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 20.0,
    window: Duration::from_secs(10),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(number: u16, domain: &str) -> Target {
    Target {
        id: format!("t{number}"),
        born: 1,
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
        domain: domain.to_owned(),
        slots: 2,
        leaving: false,
        cold: Duration::ZERO,
    }
}

fn view(targets: Vec<Target>, records: Option<Record>) -> Event {
    let records = records.into_iter().map(|it| ("s".to_owned(), Rc::new(it)));
    Event::View(Rc::new(View {
        targets: [("s".to_owned(), targets)].into_iter().collect(),
        records: records.collect(),
        vms: 2,
    }))
}

fn desk(targets: Vec<Target>, record: Option<Record>) -> Desk {
    let mut desk = Desk::new("d1", ALLOWANCE, 7);
    desk.on(Duration::ZERO, view(targets, record));
    desk
}

/// The manager's word on other VMs' requests, while nothing waits for any target.
fn told(others: HashMap<catalogue::TargetHash, u32>) -> Event {
    Event::Word(Word {
        others,
        ..Word::default()
    })
}

/// The manager's word on one target for which requests wait.
fn shared(others: u32, share: Share) -> Event {
    Event::Word(Word {
        others: [(share.target, others)].into(),
        shares: [(share.target, share)].into(),
    })
}

fn busy(fresh: u32, line: u32) -> Share {
    Share {
        target: catalogue::hash("t0"),
        fresh,
        late: 0,
        line,
        busy: true,
    }
}

fn owned_by(target: &Target) -> Record {
    let mut record = Record::first(99);
    record.parts = vec![Part {
        from: 0,
        to: 99,
        fence: 5,
        owner: Some(Life::of(target)),
    }];
    record
}

fn ask(ticket: u64, now: Duration) -> Ask {
    Ask {
        ticket,
        service: "s".to_owned(),
        point: None,
        priority: 1,
        came: now,
        goal: now + ms(200),
        until: now + ms(500),
        tried: Vec::new(),
        misdirected: Vec::new(),
        large: false,
        repeat: false,
    }
}

fn keyed(ticket: u64, now: Duration) -> Ask {
    Ask {
        point: Some(7),
        ..ask(ticket, now)
    }
}

fn sent(effects: &[Effect]) -> Vec<(u64, String)> {
    let send = |effect: &Effect| match effect {
        Effect::Send { ticket, target, .. } => Some((*ticket, target.id.clone())),
        Effect::Refuse { .. } => None,
    };
    effects.iter().filter_map(send).collect()
}

fn refused(effects: &[Effect]) -> Vec<(u64, Why)> {
    let refuse = |effect: &Effect| match effect {
        Effect::Refuse { ticket, why, .. } => Some((*ticket, *why)),
        Effect::Send { .. } => None,
    };
    effects.iter().filter_map(refuse).collect()
}

fn done(target: &str, ended: Ended, sent: Duration) -> Event {
    Event::Done {
        target: target.to_owned(),
        end: End {
            ended,
            sent,
            depth: 0.0,
            load: None,
            owned: None,
        },
    }
}

#[test]
fn requests_spread_over_targets_that_have_room() {
    let targets = (0..3).map(|it| target(it, "d1")).collect();
    let mut desk = desk(targets, None);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for ticket in 0..6 {
        for (_, id) in sent(&desk.on(ms(1), Event::Ask(ask(ticket, ms(1))))) {
            *counts.entry(id).or_default() += 1;
        }
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn other_vms_requests_count_as_own() {
    let mut desk = desk(vec![target(0, "d1"), target(1, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 4)]);
    desk.on(ms(1), told(others));
    for ticket in 0..3 {
        let effects = desk.on(ms(2), Event::Ask(ask(ticket, ms(2))));
        assert_eq!(sent(&effects)[0].1, "t1");
    }
}

#[test]
fn a_full_target_makes_requests_wait_and_serves_them_by_rank() {
    let mut desk = desk(vec![target(0, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 7)]);
    desk.on(ms(1), told(others));
    let mut late = ask(1, ms(2));
    late.until = ms(5000);
    late.goal = ms(4000);
    let mut urgent = late.clone();
    (urgent.ticket, urgent.priority) = (2, 0);
    assert!(desk.on(ms(2), Event::Ask(late)).is_empty());
    assert!(desk.on(ms(2), Event::Ask(urgent)).is_empty());
    assert_eq!(desk.waiting(), 2);
    let effects = desk.on(ms(10), shared(6, busy(1, 0)));
    assert_eq!(sent(&effects), [(2, "t0".to_owned())]);
}

/// All VMs hear at the same moment that a busy target's queue has become short.
#[test]
fn without_a_share_of_its_room_nothing_is_sent_to_a_busy_target() {
    let mut desk = desk(vec![target(0, "d1")], Some(owned_by(&target(0, "d1"))));
    desk.on(ms(1), told(HashMap::from([(catalogue::hash("t0"), 7)])));
    for ticket in 0..3 {
        let mut it = keyed(ticket, ms(2));
        it.goal = ms(1000);
        it.until = ms(2000);
        assert!(desk.on(ms(2), Event::Ask(it)).is_empty());
    }
    let queues = desk.take_state(ms(12)).queues;
    assert_eq!(queues.len(), 1);
    assert_eq!(queues[0].fresh, 3);
    assert_eq!(queues[0].first[0], (1, 10), "rank and age");
    let none = desk.on(ms(14), shared(1, busy(0, 5)));
    assert!(none.is_empty(), "others wait longer: {none:?}");
    let two = desk.on(ms(54), shared(1, busy(2, 4)));
    assert_eq!(sent(&two).len(), 2);
    assert!(
        desk.on(ms(60), Event::Tick).is_empty(),
        "the share is used up"
    );
}

/// A line as long as the goal for as long as the goal: late ones take places from others only.
#[test]
fn late_requests_are_refused_at_once_while_a_line_lasts() {
    let mut desk = desk(vec![target(0, "d1")], Some(owned_by(&target(0, "d1"))));
    for _ in 0..20 {
        desk.on(ms(1), done("t0", Ended::Answered(ms(60)), ms(0)));
    }
    desk.on(ms(2), shared(4, busy(0, 10)));
    let early = desk.on(ms(3), Event::Ask(keyed(1, ms(3))));
    assert!(early.is_empty(), "it may be a passing burst: {early:?}");
    for at in (40..=240).step_by(40) {
        desk.on(ms(at), shared(4, busy(0, 10)));
    }
    let effects = desk.on(ms(241), Event::Ask(keyed(2, ms(241))));
    let [Effect::Refuse { why, retry, .. }] = &effects[..] else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(*why, Why::Goal);
    // Ten in line and three in the queue, at one each 30 ms.
    assert!(*retry > ms(300) && *retry < ms(600), "{retry:?}");
}

#[test]
fn what_can_not_be_answered_in_time_is_refused_at_once_with_a_time_to_come_back() {
    let mut desk = desk(vec![target(0, "d1")], None);
    for ticket in 0..20 {
        desk.on(ms(1), done("t0", Ended::Answered(ms(300)), ms(0)));
        let _ = ticket;
    }
    let others = HashMap::from([(catalogue::hash("t0"), 4)]);
    desk.on(ms(2), told(others));
    let effects = desk.on(ms(3), Event::Ask(ask(99, ms(3))));
    let [Effect::Refuse { why, retry, .. }] = &effects[..] else {
        panic!("not refused: {effects:?}");
    };
    assert_eq!(*why, Why::Late);
    assert!(*retry >= ms(20) && *retry < ms(2000), "{retry:?}");
}

#[test]
fn late_requests_stand_behind_those_that_can_still_make_the_goal() {
    let mut desk = desk(vec![target(0, "d1")], None);
    let others = HashMap::from([(catalogue::hash("t0"), 3)]);
    desk.on(ms(1), told(others));
    let mut late = ask(1, ms(2));
    late.goal = ms(3);
    assert!(desk.on(ms(2), Event::Ask(late)).is_empty(), "it waits");
    let effects = desk.on(ms(3), Event::Ask(ask(2, ms(3))));
    assert_eq!(
        sent(&effects),
        [(2, "t0".to_owned())],
        "the newer one goes first"
    );
}

#[test]
fn a_key_goes_to_its_owner_only() {
    let targets = vec![target(0, "d1"), target(1, "d1")];
    let record = owned_by(&targets[1]);
    let mut desk = desk(targets, Some(record));
    for ticket in 0..4 {
        let effects = desk.on(ms(1), Event::Ask(keyed(ticket, ms(1))));
        assert_eq!(sent(&effects)[0].1, "t1");
    }
}

#[test]
fn a_key_without_an_owner_waits_briefly_and_is_refused_then() {
    let mut desk = desk(vec![target(0, "d1")], Some(Record::first(99)));
    assert!(desk.on(ms(0), Event::Ask(keyed(1, ms(0)))).is_empty());
    assert!(desk.on(ms(100), Event::Tick).is_empty());
    assert_eq!(refused(&desk.on(ms(121), Event::Tick)), [(1, Why::NoOwner)]);
}

#[test]
fn a_key_whose_owner_has_begun_another_life_has_no_owner() {
    let old = target(0, "d1");
    let mut reborn = old.clone();
    reborn.born = 2;
    let mut desk = desk(vec![reborn], Some(owned_by(&old)));
    assert!(desk.on(ms(0), Event::Ask(keyed(1, ms(0)))).is_empty());
}

#[test]
fn a_key_that_its_owner_refused_waits_for_a_newer_owner() {
    let targets = vec![target(0, "d1"), target(1, "d1")];
    let mut desk = desk(targets.clone(), Some(owned_by(&targets[0])));
    assert_eq!(sent(&desk.on(ms(0), Event::Ask(keyed(1, ms(0))))).len(), 1);
    let mut refusal = done("t0", Ended::Unowned, ms(0));
    if let Event::Done { end, .. } = &mut refusal {
        end.owned = Some((7, 5));
    }
    desk.on(ms(4), refusal);
    for ticket in 2..5 {
        let effects = desk.on(ms(5), Event::Ask(keyed(ticket, ms(5))));
        assert!(effects.is_empty(), "its owner is asked again: {effects:?}");
    }
    let mut other = keyed(9, ms(6));
    other.point = Some(8);
    assert_eq!(
        sent(&desk.on(ms(6), Event::Ask(other))).len(),
        1,
        "other keys stay"
    );
    let mut newer = owned_by(&targets[1]);
    newer.parts[0].fence = 7;
    let effects = desk.on(ms(10), view(targets, Some(newer)));
    assert_eq!(sent(&effects).len(), 3);
    assert!(sent(&effects).iter().all(|(_, id)| id == "t1"));
}

/// The address of a target that has ended may be another one's by now, which refuses what is meant for the
/// first: 421 without a key means that and nothing else.
#[test]
fn a_target_that_another_one_answers_for_gets_nothing_until_it_is_announced_anew() {
    let targets: Vec<_> = (0..2).map(|it| target(it, "d1")).collect();
    let mut desk = desk(targets.clone(), None);
    desk.on(ms(0), Event::Ask(ask(1, ms(0))));
    desk.on(ms(1), done("t0", Ended::Unowned, ms(0)));
    for ticket in 2..40 {
        let now = ms(ticket * 100);
        let effects = desk.on(now, Event::Ask(ask(ticket, now)));
        assert_eq!(sent(&effects)[0].1, "t1", "at {now:?}");
        desk.on(now + ms(50), done("t1", Ended::Answered(ms(50)), now));
    }
    let mut moved = targets;
    moved[0].address = "127.0.0.1:999".parse().unwrap();
    moved.remove(1);
    desk.on(ms(4100), view(moved, None));
    let effects = desk.on(ms(4200), Event::Ask(ask(50, ms(4200))));
    assert_eq!(sent(&effects), [(50, "t0".to_owned())]);
}

#[test]
fn a_target_that_fails_fast_gets_little() {
    let targets: Vec<_> = (0..3).map(|it| target(it, "d1")).collect();
    let mut desk = desk(targets, None);
    let mut now = ms(1);
    let mut at_bad = 0;
    for ticket in 0..200 {
        now += ms(10);
        let effects = desk.on(now, Event::Ask(ask(ticket, now)));
        let id = sent(&effects)[0].1.clone();
        let ended = if id == "t0" {
            at_bad += u32::from(ticket >= 50);
            Ended::Failed
        } else {
            Ended::Answered(ms(60))
        };
        desk.on(now + ms(2), done(&id, ended, now));
    }
    assert!(at_bad < 15, "{at_bad} of 150 went to the target that fails");
}

#[test]
fn a_target_that_has_turned_slow_shows_before_its_first_answer() {
    let targets: Vec<_> = (0..2).map(|it| target(it, "d1")).collect();
    let mut desk = desk(targets, None);
    for _ in 0..10 {
        for id in ["t0", "t1"] {
            desk.on(ms(1), done(id, Ended::Answered(ms(60)), ms(0)));
        }
    }
    let first = sent(&desk.on(ms(10), Event::Ask(ask(1, ms(10)))))[0]
        .1
        .clone();
    let second = sent(&desk.on(ms(10), Event::Ask(ask(2, ms(10)))))[0]
        .1
        .clone();
    assert_ne!(first, second);
    desk.on(ms(70), done(&second, Ended::Answered(ms(60)), ms(10)));
    let now = ms(700);
    for ticket in 3..5 {
        let effects = desk.on(now, Event::Ask(ask(ticket, now)));
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
    let mut desk = desk(vec![target(0, "d2"), target(1, "d1")], None);
    for _ in 0..20 {
        for id in ["t0", "t1"] {
            desk.on(ms(1), done(id, Ended::Answered(ms(80)), ms(0)));
        }
    }
    let places: Vec<String> = (0..5)
        .map(|ticket| {
            let mut asked = ask(ticket, ms(1));
            asked.large = true;
            sent(&desk.on(ms(1), Event::Ask(asked)))[0].1.clone()
        })
        .collect();
    // 80 ms a request, two slots and a goal of 200 ms: a fourth is in time, a fifth isn't.
    assert_eq!(places, ["t1", "t1", "t1", "t1", "t0"]);
}

#[test]
fn repeats_draw_on_the_budget() {
    let targets = (0..3).map(|it| target(it, "d1")).collect();
    let mut desk = desk(targets, None);
    let mut repeated = 0;
    for ticket in 0..40 {
        let now = ms(ticket);
        let mut again = ask(ticket, now);
        again.repeat = true;
        let effects = desk.on(now, Event::Ask(again));
        for (_, id) in sent(&effects) {
            repeated += 1;
            desk.on(now, done(&id, Ended::Answered(ms(1)), now));
        }
        let out = refused(&effects);
        assert!(out.iter().all(|(_, why)| *why == Why::Budget));
    }
    // A slack of 20 for two VMs, of which four fifths are used.
    assert_eq!(repeated, 8);
}

/// Targets that turn away half of their work though they have room soon use up the budget; what
/// comes again by its caller is new, and half of it is taken.
#[test]
fn without_a_budget_callers_are_told_to_come_back_when_a_place_is_free() {
    let mut desk = desk(vec![target(0, "d1")], Some(owned_by(&target(0, "d1"))));
    for _ in 0..20 {
        desk.on(ms(1), done("t0", Ended::Answered(ms(60)), ms(0)));
    }
    let mut told = Vec::new();
    for ticket in 0..40 {
        let mut again = keyed(ticket, ms(2));
        again.repeat = true;
        for effect in desk.on(ms(2), Event::Ask(again)) {
            match effect {
                Effect::Send { .. } => {
                    desk.on(ms(2), done("t0", Ended::Refused, ms(2)));
                }
                Effect::Refuse { why, retry, .. } => {
                    assert_eq!(why, Why::Budget);
                    told.push(retry);
                }
            }
        }
    }
    assert!(!told.is_empty());
    // Two slots and 60 ms a request: one ends every 30 ms.
    assert!(told.iter().all(|it| *it <= ms(35)), "{told:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each request is decided once, and none is forgotten.
    #[test]
    fn every_request_is_decided_once(gaps in prop::collection::vec((0..30_u64, 0..3_u8), 1..120)) {
        let targets: Vec<_> = (0..3).map(|it| target(it, "d1")).collect();
        let mut desk = desk(targets, None);
        let mut now = ms(1);
        let mut decided: HashMap<u64, u32> = HashMap::new();
        let mut under_way: Vec<(String, Duration)> = Vec::new();
        let mut asked = 0;
        for (gap, kind) in gaps {
            now += ms(gap);
            let effects = match (kind, under_way.pop()) {
                (0, Some((id, at))) => desk.on(now, done(&id, Ended::Answered(now.saturating_sub(at)), at)),
                (_, other) => {
                    under_way.extend(other);
                    asked += 1;
                    desk.on(now, Event::Ask(ask(asked, now)))
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
        let last = desk.on(now + ms(10_000), Event::Tick);
        for (ticket, _) in sent(&last) {
            *decided.entry(ticket).or_default() += 1;
        }
        for (ticket, _) in refused(&last) {
            *decided.entry(ticket).or_default() += 1;
        }
        prop_assert_eq!(decided.len() as u64 + desk.waiting() as u64, asked);
        prop_assert!(decided.values().all(|count| *count == 1));
    }
}
