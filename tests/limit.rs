//! Admission, choice of targets and retries, in tables of fault cases.

use std::time::Duration;

use bramleypier::{
    document::Class,
    limit::{
        AdmissionQueue, ConcurrencyLimit, Pool,
        admission::{Effect, Event, RefusalReason},
        concurrency::{Sample, Slots},
        pick::Policy,
        share::{self, Lane},
    },
    request::{Deadline, Outcome},
    retry::{Budget, FailedAttempt},
};
use indexmap::IndexMap;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn class(share: u32, queue: u64) -> Class {
    Class {
        methods: Vec::new(),
        path: String::new(),
        idempotent: true,
        share,
        deadline: ms(10_000),
        queue: ms(queue),
    }
}

fn gate(slots: u32) -> AdmissionQueue {
    let classes = IndexMap::from([
        ("look-up".into(), class(60, 50)),
        ("order".into(), class(30, 200)),
        ("file".into(), class(10, 2_000)),
    ]);
    AdmissionQueue::new(Slots { slots, vms: 1 }, &classes)
}

fn ask(gate: &mut AdmissionQueue, now: u64, ticket: u64, class: &str) -> Vec<Effect> {
    let deadline = Deadline {
        at: ms(now + 10_000),
    };
    let event = Event::Request {
        ticket,
        class: class.into(),
        deadline,
    };
    gate.on(ms(now), event)
}

fn done(gate: &mut AdmissionQueue, now: u64, ticket: u64, sample: Sample) -> Vec<Effect> {
    gate.on(ms(now), Event::Ended { ticket, sample })
}

/// Runs `count` requests of a class one after the other, so that its latency is known.
fn teach(gate: &mut AdmissionQueue, class: &str, count: u64, latency: u64) {
    for step in 0..count {
        let ticket = 1_000_000 + step;
        assert_eq!(
            ask(gate, step * latency, ticket, class),
            [Effect::Admit(ticket)]
        );
        done(
            gate,
            (step + 1) * latency,
            ticket,
            Sample::Answered(ms(latency)),
        );
    }
}

#[test]
fn files_never_stand_before_look_ups() {
    let mut gate = gate(9);
    teach(&mut gate, "file", 10, 900);
    let mut admit = |ticket| ask(&mut gate, 9_000, ticket, "file") == [Effect::Admit(ticket)];
    let admitted = (0..10).filter(|ticket| admit(*ticket));
    // Of ten slots, files get their own one and half of the idle look-ups' and orders'.
    assert_eq!(admitted.count(), 10 - 3 - 2);
    for ticket in 100..103 {
        assert_eq!(
            ask(&mut gate, 9_001, ticket, "look-up"),
            [Effect::Admit(ticket)]
        );
    }
}

#[test]
fn short_work_borrows_every_idle_slot() {
    let mut gate = gate(9);
    teach(&mut gate, "look-up", 20, 5);
    let mut admit = |ticket| ask(&mut gate, 9_000, ticket, "look-up") == [Effect::Admit(ticket)];
    let admitted = (0..10).filter(|ticket| admit(*ticket));
    assert_eq!(admitted.count(), 10);
    // A class that lent its slots is the first to get one back.
    assert!(ask(&mut gate, 9_000, 50, "look-up").is_empty());
    assert!(ask(&mut gate, 9_000, 60, "order").is_empty());
    let effects = done(&mut gate, 9_005, 0, Sample::Answered(ms(5)));
    assert_eq!(effects, [Effect::Admit(60)]);
}

#[test]
fn what_would_wait_too_long_is_refused_at_once() {
    let mut gate = gate(2);
    teach(&mut gate, "look-up", 20, 20);
    let mut refused = Vec::new();
    for ticket in 0..40 {
        for effect in ask(&mut gate, 1_000, ticket, "look-up") {
            if let Effect::Refuse {
                reason,
                retry_after,
                ..
            } = effect
            {
                refused.push((reason, retry_after));
            }
        }
    }
    assert!(
        gate.waiting() > 0 && gate.waiting() < 10,
        "{}",
        gate.waiting()
    );
    assert!(
        refused
            .iter()
            .all(|(why, _)| *why == RefusalReason::QueueFull)
    );
    assert!(refused.iter().all(|(_, retry)| *retry >= ms(50)));
    assert!(refused.len() > 25);
}

#[test]
fn waiting_ends_by_time_drop_or_drain() {
    let mut gate = gate(1);
    for ticket in 0..2 {
        ask(&mut gate, 0, ticket, "look-up");
    }
    for ticket in 2..5 {
        assert!(ask(&mut gate, 0, ticket, "look-up").is_empty());
    }
    assert!(gate.on(ms(1), Event::Cancelled { ticket: 3 }).is_empty());
    let late = gate.on(ms(50), Event::Tick);
    let why = |effect: &Effect| match effect {
        Effect::Refuse { ticket, reason, .. } => (*ticket, *reason),
        Effect::Admit(ticket) => panic!("{ticket} was admitted"),
    };
    let late: Vec<_> = late.iter().map(why).collect();
    assert_eq!(
        late,
        [
            (2, RefusalReason::QueueTimeout),
            (4, RefusalReason::QueueTimeout)
        ]
    );
    assert!(ask(&mut gate, 60, 6, "look-up").is_empty());
    let drained = gate.on(ms(61), Event::Drain);
    assert_eq!(
        drained.iter().map(why).collect::<Vec<_>>(),
        [(6, RefusalReason::Draining)]
    );
    assert_eq!(
        why(&ask(&mut gate, 62, 7, "look-up")[0]),
        (7, RefusalReason::Draining)
    );
    assert_eq!(gate.in_flight(), 2);
}

#[test]
fn a_target_that_is_not_reached_is_left_alone_for_longer_each_time() {
    let mut cap = ConcurrencyLimit::new(Slots { slots: 4, vms: 1 });
    let mut now = Duration::ZERO;
    let mut waits = Vec::new();
    for _ in 0..12 {
        cap.learn(now, "look-up", Sample::Unreachable, 1_023);
        let until = cap.closed(now).unwrap();
        // Failures of requests that were sent together count once.
        cap.learn(now, "look-up", Sample::Unreachable, 1_023);
        assert_eq!(cap.closed(now), Some(until));
        assert_eq!(cap.limit(), 1);
        waits.push(until.saturating_sub(now));
        now = until;
    }
    assert!(waits.is_sorted());
    assert!(waits[0] <= ms(50) && waits[11] <= ms(5_000) && waits[11] > ms(4_900));
}

#[test]
fn the_cap_grows_to_what_pays_and_shrinks_under_pressure() {
    let mut cap = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    let mut feed = |latency, count| {
        for _ in 0..count {
            cap.used_up();
            cap.learn(ms(0), "look-up", Sample::Answered(ms(latency)), 0);
        }
        cap.limit()
    };
    assert_eq!(feed(10, 16), 4);
    assert_eq!(feed(10, 160), 8); // four times the slots at the most
    assert!(feed(25, 64) < 5); // queueing at the target
    let mut cap = ConcurrencyLimit::new(Slots { slots: 10, vms: 1 });
    for at in [1_000, 1_001, 1_002] {
        cap.learn(ms(at), "look-up", Sample::Shed, 0);
    }
    assert_eq!(cap.limit(), 6); // refusals that come together count once
    cap.learn(ms(2_000), "look-up", Sample::Lost, 0);
    assert_eq!(cap.limit(), 3);
    cap.learn(ms(3_000), "look-up", Sample::Cancelled, 0);
    assert_eq!(cap.limit(), 3);
}

#[test]
fn a_cold_target_is_warmed_up() {
    let mut cap = ConcurrencyLimit::new(Slots { slots: 4, vms: 1 });
    cap.warm_up();
    let limits = (0..24).map(|_| {
        cap.learn(ms(0), "look-up", Sample::Answered(ms(10)), 0);
        cap.limit()
    });
    let limits: Vec<_> = limits.collect();
    assert!(limits.is_sorted());
    assert_eq!((limits[0], limits[23]), (1, 5));
}

#[test]
fn slots_are_shared_out_whole() {
    for limit in 0..40 {
        for shares in [[60, 30, 10], [1, 1, 1], [100, 0, 0], [33, 33, 34]] {
            let own = share::own(limit, &shares);
            assert_eq!(own.iter().sum::<u32>(), limit, "{limit} {shares:?}");
        }
    }
}

#[test]
fn no_class_starves_at_an_idle_target() {
    for limit in 1..6 {
        for index in 0..3 {
            let mut lanes = [60, 30, 10].map(|share| Lane {
                share,
                used: 0,
                waiting: 0,
                hold: ms(1_000),
                queue: ms(50),
                passed: Duration::ZERO,
            });
            lanes[index].waiting = 1;
            assert_eq!(share::next(limit, &lanes), Some(index), "{limit} {index}");
        }
    }
}

/// Returns who of look-ups, orders and files goes next if all three have work waiting.
fn next(limit: u32, used: [u32; 3], passed: [u64; 3]) -> Option<usize> {
    let lane = |index: usize| Lane {
        share: [60, 30, 10][index],
        used: used[index],
        waiting: 1,
        hold: ms(5),
        queue: ms(50),
        passed: ms(passed[index]),
    };
    share::next(limit, &[0, 1, 2].map(lane))
}

#[test]
fn who_had_least_gets_the_slot_that_is_nobodys() {
    let cases = [
        ("nobody had any", 1, [0, 0, 0], [0, 0, 0], Some(0)),
        ("orders had least", 1, [0, 0, 0], [5, 4, 9], Some(1)),
        ("files had least", 1, [0, 0, 0], [5, 4, 3], Some(2)),
        ("both had as little", 1, [0, 0, 0], [5, 4, 4], Some(1)),
        ("files had as much", 1, [0, 0, 0], [4, 9, 4], Some(0)),
        ("the only slot is taken", 1, [1, 0, 0], [5, 4, 3], None),
        ("beyond its share", 2, [0, 1, 0], [5, 6, 7], Some(0)),
        ("one of two", 2, [1, 0, 0], [5, 6, 4], Some(2)),
        ("files have one already", 3, [1, 0, 1], [5, 6, 4], Some(1)),
    ];
    for (name, limit, used, passed, expected) in cases {
        assert_eq!(next(limit, used, passed), expected, "{name}");
    }
}

/// Keeps two of each class waiting at a single slot, and returns the classes in the order served.
/// Each takes its time in ms; look-ups have worked alone for a while before.
fn contend(classes: &[(&str, u32, u64)], count: usize) -> Vec<usize> {
    let named = |(name, share, _): &(&str, u32, u64)| ((*name).into(), class(*share, 1_000_000));
    let lanes = classes.iter().map(named).collect();
    let mut gate = AdmissionQueue::new(Slots { slots: 1, vms: 12 }, &lanes);
    teach(&mut gate, "look-up", 100, 10);
    let mut now = 1_000;
    let kinds = classes.len() as u64;
    let class_of = |ticket: u64| usize::try_from(ticket % kinds).unwrap();
    let mut effects = Vec::new();
    for ticket in 0..3 * kinds {
        effects.extend(ask(&mut gate, now, ticket, classes[class_of(ticket)].0));
    }
    let mut served = Vec::new();
    while served.len() < count {
        assert_eq!(gate.limit(), 1);
        let [Effect::Admit(sent)] = effects[..] else {
            panic!("{effects:?}");
        };
        let (class, _, taken) = classes[class_of(sent)];
        served.push(class_of(sent));
        assert!(ask(&mut gate, now, sent + 3 * kinds, class).is_empty());
        now += taken;
        effects = done(&mut gate, now, sent, Sample::Cancelled);
    }
    served
}

/// Returns the most requests of others between two of a class.
fn longest_gap(served: &[usize], index: usize) -> usize {
    let gaps = served.split(|one| *one == index);
    gaps.map(<[usize]>::len).max().unwrap()
}

#[test]
fn a_single_slot_is_shared_by_weight_and_none_waits_for_ever() {
    let served = contend(&[("order", 40, 10), ("look-up", 60, 10)], 100);
    let orders = served.iter().filter(|index| **index == 0).count();
    assert!((38..=42).contains(&orders), "{orders}");
    assert!(longest_gap(&served, 0) <= 2 && longest_gap(&served, 1) <= 1);
    // A file that takes nine look-ups' time gets a tenth of the time, not of the requests.
    let classes = [("look-up", 60, 10), ("order", 30, 10), ("file", 10, 90)];
    let served = contend(&classes, 1_000);
    let files = served.iter().filter(|index| **index == 2).count();
    assert!((11..=13).contains(&files), "{files}");
    assert!(longest_gap(&served, 2) <= 90);
}

#[test]
fn a_class_that_used_less_than_its_share_is_owed_nothing() {
    let lanes = [("order", 40), ("look-up", 60)];
    let lanes = lanes.map(|(name, share)| (name.into(), class(share, 1_000_000)));
    let mut gate = AdmissionQueue::new(Slots { slots: 9, vms: 1 }, &IndexMap::from(lanes));
    let mut seen = Vec::new();
    let mut take = |effects: Vec<Effect>| seen.extend(effects);
    // Look-ups borrow; of the four slots of orders one is used all the time. Orders are even.
    for look_up in 0..16 {
        take(ask(&mut gate, 0, 2 * look_up + 1, "look-up"));
    }
    take(ask(&mut gate, 0, 0, "order"));
    for step in 0..1_000 {
        take(done(&mut gate, step, 2 * step + 1, Sample::Cancelled));
        take(ask(&mut gate, step, 2 * step + 33, "look-up"));
        take(ask(&mut gate, step, 2 * step + 2, "order"));
        take(done(&mut gate, step, 2 * step, Sample::Cancelled));
    }
    gate.on(ms(1_000), Event::Slots(Slots { slots: 1, vms: 12 }));
    for order in 2_000..2_006 {
        take(ask(&mut gate, 1_000, 2 * order, "order"));
    }
    let mut effects = Vec::new();
    for effect in seen {
        let Effect::Admit(ticket) = effect else {
            panic!("{effect:?}");
        };
        effects.extend(done(&mut gate, 1_000, ticket, Sample::Cancelled));
    }
    let mut look_ups = 0;
    for step in 0..30 {
        let [Effect::Admit(ticket)] = effects[..] else {
            panic!("{step} {effects:?}");
        };
        let (class, look_up) = [("order", 0), ("look-up", 1)][(ticket % 2) as usize];
        look_ups += look_up;
        let now = 1_000 + 10 * step;
        ask(&mut gate, now, 10_000 + 2 * step + look_up, class);
        effects = done(&mut gate, now + 10, ticket, Sample::Cancelled);
    }
    assert!(look_ups >= 10, "{look_ups}");
}

fn pool(policy: Policy) -> Pool {
    let mut pool = Pool::new(policy);
    pool.set_targets(["a", "b", "c", "d"].map(String::from));
    pool
}

/// Sends requests one at a time; `a` answers as given. Returns how many `a` got of the last 100.
fn serve(pool: &mut Pool, sample: Sample, error: bool) -> usize {
    let mut count = 0;
    for ticket in 0..200 {
        let now = ms(ticket);
        let target = pool
            .pick(now, ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .unwrap();
        pool.started(now, &target, "look-up", ticket);
        let good = target != "a";
        let sample = if good {
            Sample::Answered(ms(10))
        } else {
            sample
        };
        pool.ended(now, &target, ticket, sample, error && !good);
        count += usize::from(ticket >= 100 && !good);
    }
    count
}

#[test]
fn a_bad_target_attracts_no_load() {
    let cases = [
        ("slow by ten times", Sample::Answered(ms(150)), false),
        ("fast and wrong", Sample::Answered(ms(0)), true),
        ("unreachable", Sample::Unreachable, false),
        ("shedding", Sample::Shed, false),
    ];
    for (name, sample, error) in cases {
        assert_eq!(
            serve(&mut pool(Policy::LeastRequests), sample, error),
            0,
            "{name}"
        );
        assert!(
            serve(&mut pool(Policy::Random), sample, error) > 10,
            "{name}"
        );
    }
    let fair = serve(
        &mut pool(Policy::LeastRequests),
        Sample::Answered(ms(12)),
        false,
    );
    assert!((10..40).contains(&fair), "{fair}");
}

#[test]
fn a_hanging_target_gets_nothing_more_and_a_long_file_is_no_hang() {
    let mut pool = pool(Policy::LeastRequests);
    serve(&mut pool, Sample::Answered(ms(10)), false);
    pool.started(ms(200), "a", "look-up", 900);
    assert!(!pool.is_apart(ms(400), "a"));
    assert!(pool.is_apart(ms(460), "a"));
    pool.ended(ms(460), "a", 900, Sample::Answered(ms(11)), false);
    pool.started(ms(500), "b", "file", 901);
    assert!(!pool.is_apart(ms(2_000), "b"));
}

#[test]
fn if_all_are_bad_the_fault_is_not_theirs() {
    let mut pool = pool(Policy::LeastRequests);
    for ticket in 0..100 {
        let target = pool.pick(ms(ticket), ticket).expect("one is always picked");
        pool.started(ms(ticket), &target, "look-up", ticket);
        pool.ended(ms(ticket), &target, ticket, Sample::Answered(ms(1)), true);
    }
}

#[test]
fn a_target_comes_back_once_it_answers_well() {
    let mut pool = pool(Policy::LeastRequests);
    serve(&mut pool, Sample::Answered(ms(0)), true);
    assert!(pool.is_apart(ms(200), "a"));
    let later = ms(60_000);
    assert!(!pool.is_apart(later, "a"));
    pool.started(later, "a", "look-up", 900);
    pool.ended(later, "a", 900, Sample::Answered(ms(10)), false);
    assert!(!pool.is_apart(later, "a"));
    // A single bad answer on trial sets it apart again.
    let mut pool = self::pool(Policy::LeastRequests);
    serve(&mut pool, Sample::Answered(ms(0)), true);
    pool.started(later, "a", "look-up", 900);
    pool.ended(later, "a", 900, Sample::Answered(ms(0)), true);
    assert!(pool.is_apart(later, "a"));
}

#[test]
fn retries_keep_to_their_rules() {
    let deadline = Deadline { at: ms(1_000) };
    let tried = |outcome, idempotent, number| FailedAttempt {
        number,
        outcome,
        idempotent,
        retry_after: None,
    };
    let cases = [
        (tried(Outcome::NotRun, false, 1), true),
        (tried(Outcome::NotRun, true, 3), true),
        (tried(Outcome::NotRun, true, 4), false),
        (tried(Outcome::Unknown, true, 1), true),
        (tried(Outcome::Unknown, false, 1), false),
        (tried(Outcome::Ran, true, 1), false),
    ];
    for (tried, expected) in cases {
        let wait = Budget::default().retry(ms(0), &tried, deadline, 7);
        assert_eq!(wait.is_some(), expected, "{tried:?}");
    }
    let asked = FailedAttempt {
        retry_after: Some(ms(600)),
        ..tried(Outcome::NotRun, true, 1)
    };
    assert_eq!(Budget::default().retry(ms(0), &asked, deadline, 7), None);
    let late = Budget::default().retry(ms(999), &tried(Outcome::NotRun, true, 1), deadline, 7);
    assert_eq!(late, None);
}

#[test]
fn retries_are_a_tenth_of_recent_successes() {
    let tried = FailedAttempt {
        number: 1,
        outcome: Outcome::NotRun,
        idempotent: true,
        retry_after: None,
    };
    let deadline = Deadline { at: ms(100_000) };
    let mut budget = Budget::default();
    for _ in 0..100 {
        budget.succeeded(ms(500));
    }
    let mut retries = |now| {
        (0..100)
            .filter(|_| budget.retry(now, &tried, deadline, 1).is_some())
            .count()
    };
    assert_eq!(retries(ms(900)), 10 + 3);
    assert_eq!(retries(ms(9_000)), 0);
    assert_eq!(retries(ms(20_000)), 3);
}
