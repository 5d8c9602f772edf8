//! The time line: causes precede effects for any wall clocks, memory is bounded, and missing events
//! are reported.

use std::{env, time::Duration};

use bramleypier::{
    key,
    measure::Meter,
    range::Range,
    timeline::{Duty, Event, Filter, Kind, MergedTimeline, Ring, draw, render, stamp},
};
use indexmap::IndexMap;
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn config() -> Config {
    let cases = env::var("BRAMLEYPIER_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(128),
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

fn event(kind: Kind) -> Event {
    Event::new(Duty::Grantor, "test", kind)
}

#[test]
fn filters_pass_matching_events_only() {
    let point = key::point("letter-1");
    let here = Range {
        start: point,
        end: point,
    };
    let moved = event(Kind::RangeMoved)
        .service("a")
        .target("t1")
        .range(here);
    let sent = event(Kind::RequestUnknown)
        .service("b")
        .request("r1")
        .point(point);
    let filter = Filter::default();
    let text = |text: &str| Some(text.to_owned());
    let cases = [
        (filter.clone(), true, true),
        (
            Filter {
                since: 1,
                ..filter.clone()
            },
            false,
            false,
        ),
        (
            Filter {
                point: Some(point),
                ..filter.clone()
            },
            true,
            true,
        ),
        (
            Filter {
                point: Some(point ^ 1),
                ..filter.clone()
            },
            false,
            false,
        ),
        (
            Filter {
                service: text("a"),
                ..filter.clone()
            },
            true,
            false,
        ),
        (
            Filter {
                target: text("t1"),
                ..filter.clone()
            },
            true,
            false,
        ),
        (
            Filter {
                request: text("r1"),
                ..filter.clone()
            },
            false,
            true,
        ),
        (
            Filter {
                request: text("r1"),
                target: text("t1"),
                ..filter
            },
            false,
            false,
        ),
    ];
    for (filter, first, second) in cases {
        assert_eq!(
            (filter.passes(&moved), filter.passes(&sent)),
            (first, second),
            "{filter:?}"
        );
    }
}

#[test]
fn a_merged_time_line_reports_missing_events() {
    let mut ring = Ring::new("vm-1#1".to_owned(), 2);
    for second in 1..=5 {
        ring.record(Duration::from_secs(second), event(Kind::Phase).cause("a<b"));
    }
    let parts = vec![ring.query(&Filter::default()); 2];
    let merged = MergedTimeline::merge(parts, vec!["vm-2#1".to_owned()]);
    let text = render::text(&merged);
    assert!(
        text.starts_with(
            "1970-01-01T00:00:04.000Z+0 vm-1#1 duty=grantor step=test kind=phase cause=\"a<b\"\n"
        ),
        "{text}"
    );
    assert!(text.contains("2 events of 1 processes\n"), "{text}");
    assert!(
        text.contains("not reached: vm-2#1; what it knows is missing\n"),
        "{text}"
    );
    assert!(
        text.contains("dropped: 3 events of vm-1#1, those before 1970-01-01T00:00:04.000Z\n"),
        "{text}"
    );
    let picture = draw::svg(&merged);
    assert!(
        picture.contains("a&lt;b") && !picture.contains("a<b"),
        "{picture}"
    );
    assert!(picture.contains("vm-2#1 (not reached)"), "{picture}");
}

#[test]
fn refused_requests_do_not_displace_other_events() {
    let mut ring = Ring::new("vm-1#1".to_owned(), 3);
    ring.record(Duration::from_secs(1), event(Kind::RangeLost));
    for second in 2..=9 {
        ring.record(Duration::from_secs(second), event(Kind::RequestRefused));
    }
    ring.record(Duration::from_secs(10), event(Kind::RangeServed));
    let part = ring.query(&Filter::default());
    let kinds: Vec<Kind> = part.events.iter().map(|event| event.kind).collect();
    let refused = Kind::RequestRefused;
    assert_eq!(
        kinds,
        [
            Kind::RangeLost,
            refused,
            refused,
            refused,
            Kind::RangeServed
        ]
    );
    assert_eq!((part.dropped, stamp::time(part.oldest).as_secs()), (5, 7));
}

#[test]
fn a_merged_time_line_counts_a_loss_once() {
    let mut one = Ring::new("vm-1#1".to_owned(), 9);
    let mut two = Ring::new("vm-2#1".to_owned(), 9);
    let lost = event(Kind::RangeLost)
        .service("a")
        .range(Range::ALL)
        .epoch(1);
    one.record(Duration::from_secs(1), lost.clone());
    two.record(Duration::from_secs(2), lost);
    let served = event(Kind::RangeServed)
        .service("a")
        .range(Range::ALL)
        .epoch(2);
    two.record(Duration::from_secs(4), served);
    let parts = vec![one.query(&Filter::default()), two.query(&Filter::default())];
    let merged = MergedTimeline::merge(parts, Vec::new());
    let text = render::text(&merged);
    assert!(
        text.contains("service=a moves=0 churn=0.0000 unavailable=3.000s lost=0\n"),
        "{text}"
    );
}

#[test]
fn a_stamp_far_ahead_of_the_wall_clock_is_ignored() {
    let mut ring = Ring::new("vm-1#1".to_owned(), 9);
    let wall = Duration::from_hours(1);
    ring.receive(wall, stamp::first(wall * 2));
    assert_eq!(stamp::time(ring.stamp(wall)), wall);
}

/// Events as (second, kind, range, epoch), and the expected measures after 100 s: moves, churn, seconds
/// unavailable, ranges still without a serving owner.
type Case<'a> = (&'a [(u64, Kind, Range, u64)], u64, f64, f64, u64);

#[test]
fn measures_count_each_move_and_loss_once() {
    use Kind::{RangeLost, RangeMoved, RangeServed};
    let halves = Range::ALL.split(2);
    let (all, low, high) = (Range::ALL, halves[0], halves[1]);
    let cases: &[Case<'_>] = &[
        (&[], 0, 0.0, 0.0, 0),
        // Three grantors report the same loss, one of them after the range is served again.
        (
            &[
                (10, RangeLost, all, 1),
                (11, RangeLost, all, 1),
                (12, RangeMoved, all, 2),
                (12, RangeMoved, all, 2),
                (13, RangeServed, all, 2),
                (14, RangeLost, all, 1),
            ],
            1,
            1.0,
            3.0,
            0,
        ),
        // The range is served at the same epoch again, and lost again.
        (
            &[
                (10, RangeLost, all, 1),
                (12, RangeServed, all, 1),
                (20, RangeLost, all, 1),
                (21, RangeServed, all, 1),
            ],
            0,
            0.0,
            3.0,
            0,
        ),
        // The two halves are served again at different times.
        (
            &[
                (10, RangeLost, all, 1),
                (12, RangeServed, low, 2),
                (14, RangeServed, high, 2),
            ],
            0,
            0.0,
            3.0,
            0,
        ),
        // The range is not served again.
        (&[(90, RangeLost, low, 1)], 0, 0.0, 10.0, 1),
        // A half moves twice; the last report is a duplicate.
        (
            &[
                (1, RangeMoved, low, 2),
                (2, RangeMoved, low, 3),
                (3, RangeMoved, low, 2),
            ],
            2,
            1.0,
            0.0,
            0,
        ),
    ];
    for (events, moves, churn, unavailable, open) in cases {
        let mut ring = Ring::new("vm-1#1".to_owned(), 99);
        let mut meter = Meter::default();
        for (second, kind, range, epoch) in *events {
            let event = event(*kind).service("a").range(*range).epoch(*epoch);
            meter.on(ring.record(Duration::from_secs(*second), event));
        }
        let all = meter.measures(Duration::from_secs(100));
        let found = all.get("a").copied().unwrap_or_default();
        assert_eq!((found.moves, found.open), (*moves, *open), "{events:?}");
        assert!((found.churn - churn).abs() < 1e-9, "{events:?}: {found:?}");
        assert!(
            (found.unavailable - unavailable).abs() < 1e-9,
            "{events:?}: {found:?}"
        );
    }
}

/// A step of a random run: a process records an event, sends a message to another or receives one, or
/// its wall clock is set.
#[derive(Clone, Debug)]
enum Step {
    Record(usize),
    Send(usize, usize),
    Receive(usize),
    SetClock(usize, i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0_usize..4;
    let one = prop_oneof![
        vm.clone().prop_map(Step::Record),
        (vm.clone(), vm.clone()).prop_map(|(from, to)| Step::Send(from, to)),
        (0_usize..8).prop_map(Step::Receive),
        (vm, -300_000_i64..300_000).prop_map(|(vm, by)| Step::SetClock(vm, by)),
    ];
    collection::vec(one, 0..80)
}

/// Runs the steps, and returns the rings and, for each event, the events that must precede it.
fn run(steps: &[Step]) -> (Vec<Ring>, IndexMap<String, Vec<String>>) {
    let mut rings: Vec<Ring> = (0..4)
        .map(|vm| Ring::new(format!("vm-{vm}#1"), 999))
        .collect();
    let mut walls = [1_000_000_i64; 4];
    let mut known: Vec<Vec<String>> = vec![Vec::new(); 4];
    let mut causes = IndexMap::new();
    let mut in_flight: Vec<(usize, u64, Vec<String>)> = Vec::new();
    let wall = |millis: i64| Duration::from_millis(u64::try_from(millis).unwrap());
    for (index, step) in steps.iter().enumerate() {
        match step {
            Step::Record(vm) => {
                let name = index.to_string();
                rings[*vm].record(wall(walls[*vm]), event(Kind::Phase).cause(&name));
                causes.insert(name.clone(), known[*vm].clone());
                known[*vm].push(name);
            }
            Step::Send(from, to) => {
                let stamp = rings[*from].stamp(wall(walls[*from]));
                in_flight.push((*to, stamp, known[*from].clone()));
            }
            Step::Receive(pick) if !in_flight.is_empty() => {
                let (to, stamp, names) = in_flight.remove(pick % in_flight.len());
                rings[to].receive(wall(walls[to]), stamp);
                known[to].extend(names);
            }
            Step::Receive(_) => {}
            Step::SetClock(vm, by) => walls[*vm] = 1_000_000 + by,
        }
    }
    (rings, causes)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_merged_time_line_is_in_causal_order(steps in steps(), turn in 0_usize..4) {
        let (rings, causes) = run(&steps);
        let mut parts: Vec<_> = rings.iter().map(|ring| ring.query(&Filter::default())).collect();
        let merged = MergedTimeline::merge(parts.clone(), Vec::new());
        let order: IndexMap<String, usize> = merged
            .events
            .iter()
            .enumerate()
            .map(|(index, event)| (event.cause.clone().unwrap(), index))
            .collect();
        prop_assert_eq!(order.len(), causes.len());
        for (effect, before) in &causes {
            for cause in before {
                prop_assert!(order[cause] < order[effect], "{} before {}", cause, effect);
            }
        }
        parts.rotate_left(turn);
        prop_assert_eq!(MergedTimeline::merge(parts, Vec::new()), merged);
    }

    #[test]
    fn a_ring_keeps_the_latest_events_and_counts_dropped_ones(capacity in 1_usize..20, count in 0_usize..60) {
        let mut ring = Ring::new("vm-1#1".to_owned(), capacity);
        for index in 0..count {
            ring.record(Duration::ZERO, event(Kind::Phase).cause(&index.to_string()));
        }
        let part = ring.query(&Filter::default());
        prop_assert_eq!(part.events.len(), count.min(capacity));
        prop_assert_eq!(part.dropped, u64::try_from(count.saturating_sub(capacity)).unwrap());
        let last = part.events.last().and_then(|event| event.cause.clone());
        prop_assert_eq!(last, count.checked_sub(1).map(|last| last.to_string()));
    }
}
