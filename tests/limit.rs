//! Admission, concurrency limits, the choice of targets, and retries.

use std::time::Duration;

use bramleypier::{
    document::Class,
    limit::{
        AdmissionQueue, ConcurrencyLimit, Pool,
        admission::{Effect, Event, RefusalReason},
        concurrency::{Sample, Slots},
        pick::Policy,
        share::{self, ClassState},
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

fn queue(slots: u32) -> AdmissionQueue {
    let classes = IndexMap::from([
        ("look-up".into(), class(60, 50)),
        ("order".into(), class(30, 200)),
        ("file".into(), class(10, 2_000)),
    ]);
    AdmissionQueue::new(Slots { slots, vms: 1 }, &classes)
}

fn ask(queue: &mut AdmissionQueue, now: u64, ticket: u64, class: &str) -> Vec<Effect> {
    let deadline = Deadline {
        at: ms(now + 10_000),
    };
    let event = Event::Request {
        ticket,
        class: class.into(),
        deadline,
    };
    queue.on(ms(now), event)
}

fn done(queue: &mut AdmissionQueue, now: u64, ticket: u64, sample: Sample) -> Vec<Effect> {
    queue.on(ms(now), Event::Ended { ticket, sample })
}

/// Runs `count` requests of a class one after the other, so that the queue knows its latency.
fn measure(queue: &mut AdmissionQueue, class: &str, count: u64, latency: u64) {
    for step in 0..count {
        let ticket = 1_000_000 + step;
        assert_eq!(
            ask(queue, step * latency, ticket, class),
            [Effect::Admit(ticket)]
        );
        done(
            queue,
            (step + 1) * latency,
            ticket,
            Sample::Answered(ms(latency)),
        );
    }
}

#[test]
fn files_leave_slots_free_for_look_ups() {
    let mut queue = queue(9);
    measure(&mut queue, "file", 10, 900);
    let mut admit = |ticket| ask(&mut queue, 9_000, ticket, "file") == [Effect::Admit(ticket)];
    let admitted = (0..10).filter(|ticket| admit(*ticket));
    // Of ten slots, files get their own one, and leave half of the idle ones of look-ups and of
    // orders free.
    assert_eq!(admitted.count(), 10 - 3 - 2);
    for ticket in 100..103 {
        assert_eq!(
            ask(&mut queue, 9_001, ticket, "look-up"),
            [Effect::Admit(ticket)]
        );
    }
}

#[test]
fn short_requests_borrow_all_idle_slots() {
    let mut queue = queue(9);
    measure(&mut queue, "look-up", 20, 5);
    let mut admit = |ticket| ask(&mut queue, 9_000, ticket, "look-up") == [Effect::Admit(ticket)];
    let admitted = (0..10).filter(|ticket| admit(*ticket));
    assert_eq!(admitted.count(), 10);
    // The next free slot goes to a class that lent slots, not to the class that borrowed them.
    assert!(ask(&mut queue, 9_000, 50, "look-up").is_empty());
    assert!(ask(&mut queue, 9_000, 60, "order").is_empty());
    let effects = done(&mut queue, 9_005, 0, Sample::Answered(ms(5)));
    assert_eq!(effects, [Effect::Admit(60)]);
}

#[test]
fn requests_that_would_wait_too_long_are_refused_at_once() {
    let mut queue = queue(2);
    measure(&mut queue, "look-up", 20, 20);
    let mut refused = Vec::new();
    for ticket in 0..40 {
        for effect in ask(&mut queue, 1_000, ticket, "look-up") {
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
        queue.waiting() > 0 && queue.waiting() < 10,
        "{}",
        queue.waiting()
    );
    assert!(
        refused
            .iter()
            .all(|(reason, _)| *reason == RefusalReason::QueueFull)
    );
    assert!(refused.iter().all(|(_, retry)| *retry >= ms(50)));
    assert!(refused.len() > 25);
}

#[test]
fn queued_requests_end_by_timeout_cancellation_or_drain() {
    let mut queue = queue(1);
    for ticket in 0..2 {
        ask(&mut queue, 0, ticket, "look-up");
    }
    for ticket in 2..5 {
        assert!(ask(&mut queue, 0, ticket, "look-up").is_empty());
    }
    assert!(queue.on(ms(1), Event::Cancelled { ticket: 3 }).is_empty());
    let late = queue.on(ms(50), Event::Tick);
    let reason = |effect: &Effect| match effect {
        Effect::Refuse { ticket, reason, .. } => (*ticket, *reason),
        Effect::Admit(ticket) => panic!("{ticket} was admitted"),
    };
    let late: Vec<_> = late.iter().map(reason).collect();
    assert_eq!(
        late,
        [
            (2, RefusalReason::QueueTimeout),
            (4, RefusalReason::QueueTimeout)
        ]
    );
    assert!(ask(&mut queue, 60, 6, "look-up").is_empty());
    let drained = queue.on(ms(61), Event::Drain);
    assert_eq!(
        drained.iter().map(reason).collect::<Vec<_>>(),
        [(6, RefusalReason::Draining)]
    );
    assert_eq!(
        reason(&ask(&mut queue, 62, 7, "look-up")[0]),
        (7, RefusalReason::Draining)
    );
    assert_eq!(queue.in_flight(), 2);
}

#[test]
fn the_back_off_of_an_unreachable_target_grows() {
    let mut limit = ConcurrencyLimit::new(Slots { slots: 4, vms: 1 });
    let mut now = Duration::ZERO;
    let mut waits = Vec::new();
    for _ in 0..12 {
        limit.update(now, "look-up", Sample::Unreachable, 1_023);
        let until = limit.closed_until(now).unwrap();
        // Requests that were sent together and fail together count as one failure.
        limit.update(now, "look-up", Sample::Unreachable, 1_023);
        assert_eq!(limit.closed_until(now), Some(until));
        assert_eq!(limit.limit(), 1);
        waits.push(until.saturating_sub(now));
        now = until;
    }
    assert!(waits.is_sorted());
    assert!(waits[0] <= ms(50) && waits[11] <= ms(5_000) && waits[11] > ms(4_900));
}

#[test]
fn the_limit_grows_at_low_latency_and_shrinks_under_overload() {
    let mut limit = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    let mut feed = |latency, count| {
        for _ in 0..count {
            limit.mark_saturated();
            limit.update(ms(0), "look-up", Sample::Answered(ms(latency)), 0);
        }
        limit.limit()
    };
    assert_eq!(feed(10, 16), 4);
    assert_eq!(feed(10, 160), 8); // at most four times the slots
    assert!(feed(25, 64) < 5); // requests queue at the target
    let mut limit = ConcurrencyLimit::new(Slots { slots: 10, vms: 1 });
    for at in [1_000, 1_001, 1_002] {
        limit.update(ms(at), "look-up", Sample::Shed, 0);
    }
    assert_eq!(limit.limit(), 6); // refusals at short intervals count once
    limit.update(ms(2_000), "look-up", Sample::Lost, 0);
    assert_eq!(limit.limit(), 3);
    limit.update(ms(3_000), "look-up", Sample::Cancelled, 0);
    assert_eq!(limit.limit(), 3);
}

#[test]
fn a_cold_target_is_warmed_up() {
    let mut limit = ConcurrencyLimit::new(Slots { slots: 4, vms: 1 });
    limit.warm_up();
    let limits = (0..24).map(|_| {
        limit.update(ms(0), "look-up", Sample::Answered(ms(10)), 0);
        limit.limit()
    });
    let limits: Vec<_> = limits.collect();
    assert!(limits.is_sorted());
    assert_eq!((limits[0], limits[23]), (1, 5));
}

#[test]
fn all_slots_are_assigned_to_classes() {
    for limit in 0..40 {
        for shares in [[60, 30, 10], [1, 1, 1], [100, 0, 0], [33, 33, 34]] {
            let own = share::own_slots(limit, &shares);
            assert_eq!(own.iter().sum::<u32>(), limit, "{limit} {shares:?}");
        }
    }
}

#[test]
fn no_class_starves_at_an_idle_target() {
    for limit in 1..6 {
        for index in 0..3 {
            let mut classes = [60, 30, 10].map(|share| ClassState {
                share,
                in_flight: 0,
                queued: 0,
                service_time: ms(1_000),
                max_wait: ms(50),
                virtual_time: Duration::ZERO,
            });
            classes[index].queued = 1;
            assert_eq!(share::next(limit, &classes), Some(index), "{limit} {index}");
        }
    }
}

/// Returns which of look-ups, orders and files is sent next if all three have requests queued.
///
/// Virtual times are in milliseconds.
fn next(limit: u32, in_flight: [u32; 3], virtual_times: [u64; 3]) -> Option<usize> {
    let class = |index: usize| ClassState {
        share: [60, 30, 10][index],
        in_flight: in_flight[index],
        queued: 1,
        service_time: ms(5),
        max_wait: ms(50),
        virtual_time: ms(virtual_times[index]),
    };
    share::next(limit, &[0, 1, 2].map(class))
}

#[test]
fn the_lowest_virtual_time_gets_the_last_slot() {
    let cases = [
        ("no class was served yet", 1, [0, 0, 0], [0, 0, 0], Some(0)),
        ("orders lowest", 1, [0, 0, 0], [5, 4, 9], Some(1)),
        ("files lowest", 1, [0, 0, 0], [5, 4, 3], Some(2)),
        ("orders and files equal", 1, [0, 0, 0], [5, 4, 4], Some(1)),
        ("look-ups and files equal", 1, [0, 0, 0], [4, 9, 4], Some(0)),
        ("no free slot", 1, [1, 0, 0], [5, 4, 3], None),
        ("orders over their share", 2, [0, 1, 0], [5, 6, 7], Some(0)),
        ("one slot of two is free", 2, [1, 0, 0], [5, 6, 4], Some(2)),
        ("files have one already", 3, [1, 0, 1], [5, 6, 4], Some(1)),
    ];
    for (name, limit, in_flight, virtual_times, expected) in cases {
        assert_eq!(next(limit, in_flight, virtual_times), expected, "{name}");
    }
}

/// Keeps two requests of each class queued at a single slot, and returns the order of the classes.
///
/// The classes are given as name, share in percent and service time in milliseconds. Before, only
/// look-ups are sent for one second.
fn contend(classes: &[(&str, u32, u64)], count: usize) -> Vec<usize> {
    let named = |(name, share, _): &(&str, u32, u64)| ((*name).into(), class(*share, 1_000_000));
    let by_name = classes.iter().map(named).collect();
    let mut queue = AdmissionQueue::new(Slots { slots: 1, vms: 12 }, &by_name);
    measure(&mut queue, "look-up", 100, 10);
    let mut now = 1_000;
    let kinds = classes.len() as u64;
    let class_of = |ticket: u64| usize::try_from(ticket % kinds).unwrap();
    let mut effects = Vec::new();
    for ticket in 0..3 * kinds {
        effects.extend(ask(&mut queue, now, ticket, classes[class_of(ticket)].0));
    }
    let mut served = Vec::new();
    while served.len() < count {
        assert_eq!(queue.limit(), 1);
        let [Effect::Admit(sent)] = effects[..] else {
            panic!("{effects:?}");
        };
        let (class, _, taken) = classes[class_of(sent)];
        served.push(class_of(sent));
        assert!(ask(&mut queue, now, sent + 3 * kinds, class).is_empty());
        now += taken;
        effects = done(&mut queue, now, sent, Sample::Cancelled);
    }
    served
}

/// Returns the largest number of requests of other classes between two of a class.
fn longest_gap(served: &[usize], index: usize) -> usize {
    let gaps = served.split(|class| *class == index);
    gaps.map(<[usize]>::len).max().unwrap()
}

#[test]
fn a_single_slot_is_shared_by_weight_without_starvation() {
    let served = contend(&[("order", 40, 10), ("look-up", 60, 10)], 100);
    let orders = served.iter().filter(|index| **index == 0).count();
    assert!((38..=42).contains(&orders), "{orders}");
    assert!(longest_gap(&served, 0) <= 2 && longest_gap(&served, 1) <= 1);
    // A file takes as long as nine look-ups: files get a tenth of the time, not of the requests.
    let classes = [("look-up", 60, 10), ("order", 30, 10), ("file", 10, 90)];
    let served = contend(&classes, 1_000);
    let files = served.iter().filter(|index| **index == 2).count();
    assert!((11..=13).contains(&files), "{files}");
    assert!(longest_gap(&served, 2) <= 90);
}

#[test]
fn a_class_that_used_less_than_its_share_gains_no_credit() {
    let classes = [("order", 40), ("look-up", 60)];
    let classes = classes.map(|(name, share)| (name.into(), class(share, 1_000_000)));
    let mut queue = AdmissionQueue::new(Slots { slots: 9, vms: 1 }, &IndexMap::from(classes));
    let mut seen = Vec::new();
    let mut take = |effects: Vec<Effect>| seen.extend(effects);
    // Orders use one of their four slots all the time, and look-ups borrow the others. Orders have
    // even tickets, look-ups odd ones.
    for look_up in 0..16 {
        take(ask(&mut queue, 0, 2 * look_up + 1, "look-up"));
    }
    take(ask(&mut queue, 0, 0, "order"));
    for step in 0..1_000 {
        take(done(&mut queue, step, 2 * step + 1, Sample::Cancelled));
        take(ask(&mut queue, step, 2 * step + 33, "look-up"));
        take(ask(&mut queue, step, 2 * step + 2, "order"));
        take(done(&mut queue, step, 2 * step, Sample::Cancelled));
    }
    queue.on(ms(1_000), Event::Slots(Slots { slots: 1, vms: 12 }));
    for order in 2_000..2_006 {
        take(ask(&mut queue, 1_000, 2 * order, "order"));
    }
    let mut effects = Vec::new();
    for effect in seen {
        let Effect::Admit(ticket) = effect else {
            panic!("{effect:?}");
        };
        effects.extend(done(&mut queue, 1_000, ticket, Sample::Cancelled));
    }
    let mut look_ups = 0;
    for step in 0..30 {
        let [Effect::Admit(ticket)] = effects[..] else {
            panic!("{step} {effects:?}");
        };
        let (class, look_up) = [("order", 0), ("look-up", 1)][(ticket % 2) as usize];
        look_ups += look_up;
        let now = 1_000 + 10 * step;
        ask(&mut queue, now, 10_000 + 2 * step + look_up, class);
        effects = done(&mut queue, now + 10, ticket, Sample::Cancelled);
    }
    assert!(look_ups >= 10, "{look_ups}");
}

fn pool(policy: Policy) -> Pool {
    let mut pool = Pool::new(policy);
    pool.set_targets(["a", "b", "c", "d"].map(String::from));
    pool
}

/// Sends 200 requests one at a time, and returns how many of the last 100 the target `a` got.
///
/// `a` answers as given, and the other targets after 10 ms.
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
fn a_faulty_target_gets_no_requests() {
    let cases = [
        ("fifteen times slower", Sample::Answered(ms(150)), false),
        ("fast errors", Sample::Answered(ms(0)), true),
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
fn a_hanging_target_is_ejected_but_not_one_that_serves_a_file() {
    let mut pool = pool(Policy::LeastRequests);
    serve(&mut pool, Sample::Answered(ms(10)), false);
    pool.started(ms(200), "a", "look-up", 900);
    assert!(!pool.is_ejected(ms(400), "a"));
    assert!(pool.is_ejected(ms(460), "a"));
    pool.ended(ms(460), "a", 900, Sample::Answered(ms(11)), false);
    pool.started(ms(500), "b", "file", 901);
    assert!(!pool.is_ejected(ms(2_000), "b"));
}

#[test]
fn a_target_is_picked_even_if_all_fail() {
    let mut pool = pool(Policy::LeastRequests);
    for ticket in 0..100 {
        let target = pool
            .pick(ms(ticket), ticket)
            .expect("a target is always picked");
        pool.started(ms(ticket), &target, "look-up", ticket);
        pool.ended(ms(ticket), &target, ticket, Sample::Answered(ms(1)), true);
    }
}

#[test]
fn an_ejected_target_returns_after_a_good_answer() {
    let mut pool = pool(Policy::LeastRequests);
    serve(&mut pool, Sample::Answered(ms(0)), true);
    assert!(pool.is_ejected(ms(200), "a"));
    let later = ms(60_000);
    assert!(!pool.is_ejected(later, "a"));
    pool.started(later, "a", "look-up", 900);
    pool.ended(later, "a", 900, Sample::Answered(ms(10)), false);
    assert!(!pool.is_ejected(later, "a"));
    // A single error after the ejection ejects it again.
    let mut pool = self::pool(Policy::LeastRequests);
    serve(&mut pool, Sample::Answered(ms(0)), true);
    pool.started(later, "a", "look-up", 900);
    pool.ended(later, "a", 900, Sample::Answered(ms(0)), true);
    assert!(pool.is_ejected(later, "a"));
}

#[test]
fn retries_need_a_repeatable_request_attempts_and_time() {
    let deadline = Deadline { at: ms(1_000) };
    let failed = |outcome, idempotent, number| FailedAttempt {
        number,
        outcome,
        idempotent,
        retry_after: None,
    };
    let cases = [
        (failed(Outcome::NotRun, false, 1), true),
        (failed(Outcome::NotRun, true, 3), true),
        (failed(Outcome::NotRun, true, 4), false),
        (failed(Outcome::Unknown, true, 1), true),
        (failed(Outcome::Unknown, false, 1), false),
        (failed(Outcome::Ran, true, 1), false),
    ];
    for (failed, expected) in cases {
        let wait = Budget::default().retry(ms(0), &failed, deadline, 7);
        assert_eq!(wait.is_some(), expected, "{failed:?}");
    }
    let asked = FailedAttempt {
        retry_after: Some(ms(600)),
        ..failed(Outcome::NotRun, true, 1)
    };
    assert_eq!(Budget::default().retry(ms(0), &asked, deadline, 7), None);
    let late = Budget::default().retry(ms(999), &failed(Outcome::NotRun, true, 1), deadline, 7);
    assert_eq!(late, None);
}

#[test]
fn retries_are_limited_to_a_tenth_of_recent_successes() {
    let failed = FailedAttempt {
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
            .filter(|_| budget.retry(now, &failed, deadline, 1).is_some())
            .count()
    };
    assert_eq!(retries(ms(900)), 10 + 3);
    assert_eq!(retries(ms(9_000)), 0);
    assert_eq!(retries(ms(20_000)), 3);
}
