//! What is made of answers: counts, percentiles, yardsticks, accounts, tables and plots.

use std::{net::SocketAddr, time::Duration};

use bramleypier_load::{
    balancer::Balancer,
    call::Answer,
    config::{Class, Spread},
    experiment::{account, cell::Cell, cell::Row, fault::Fault, summary},
    journal::{self, Journal, Line},
    perfect::{self, Queue, Terms},
    plan::Shot,
    plot::{Plot, Series},
    table,
    tally::{Latencies, Tally},
    usage,
};
use bramleypier_standins::{audit::Told, journal::Run};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn answer(told: Told, status: u16) -> Answer {
    Answer {
        told,
        status,
        failed: status == 0,
        ..Answer::none(true)
    }
}

fn line(key: &str, sent_ms: u64, told: Told) -> Line {
    Line {
        id: format!("{key}-{sent_ms}"),
        key: key.to_owned(),
        class: Class::Lookups,
        address: String::new(),
        sent_ms,
        told,
        sound: true,
        status: if told == Told::Ran { 200 } else { 503 },
        bytes: 0,
        peer: "t-1".to_owned(),
        latency_us: 1000,
    }
}

#[test]
fn percentiles_count_every_request_once() {
    let mut whole = Latencies::default();
    let mut parts = [Latencies::default(), Latencies::default()];
    for number in 1..=1000 {
        whole.add(ms(number));
        parts[usize::from(number % 2 == 0)].add(ms(number));
    }
    let mut merged = Latencies::default();
    for part in &parts {
        merged.merge(part);
    }
    for (share, due) in [(0.5, 500), (0.99, 990), (0.999, 999), (1.0, 1000)] {
        let found = whole.quantile(share);
        assert!(
            found >= ms(due) && found <= ms(due + due / 500 + 1),
            "{share}: {found:?}"
        );
        assert_eq!(merged.quantile(share), found);
    }
    assert_eq!(merged.count(), 1000);
    assert!(merged.max() >= ms(1000) && merged.max() < ms(1002));
    assert_eq!(Latencies::default().quantile(0.99), Duration::ZERO);
}

#[test]
fn a_long_latency_is_kept_and_not_cut() {
    let mut latencies = Latencies::default();
    latencies.add(Duration::from_mins(2));
    assert!(latencies.max() >= Duration::from_mins(2));
}

#[test]
fn answers_are_counted_by_what_they_told() {
    // The answer, and whether it counts as good, ran, not run, unknown, an error, unsound.
    let unsound = Answer {
        sound: false,
        ..answer(Told::Ran, 200)
    };
    let cases = [
        (answer(Told::Ran, 200), [1, 1, 0, 0, 0, 0]),
        (answer(Told::Ran, 500), [0, 1, 0, 0, 0, 0]),
        (answer(Told::NotRun, 503), [0, 0, 1, 0, 0, 0]),
        (answer(Told::Unknown, 502), [0, 0, 0, 1, 0, 0]),
        (Answer::none(true), [0, 0, 0, 1, 1, 0]),
        (Answer::none(false), [0, 0, 1, 0, 1, 0]),
        (unsound, [0, 1, 0, 0, 0, 1]),
    ];
    for (answer, due) in cases {
        let mut tally = Tally::default();
        tally.sent(Class::Orders);
        tally.ended(Class::Orders, &answer, ms(5), 3);
        let counts = tally.class(Class::Orders);
        let found = [
            counts.good,
            counts.ran,
            counts.not_run,
            counts.unknown,
            counts.errors,
            counts.unsound,
        ];
        assert_eq!(found, due, "{answer:?}");
        assert_eq!((counts.sent, counts.resent), (1, 2));
        assert_eq!(counts.served.count(), counts.ran);
        assert_eq!(tally.class(Class::Files).ran, 0);
        assert_eq!(tally.total().sent, 1);
    }
}

#[test]
fn a_queue_serves_in_order_and_each_slot_one_at_a_time() {
    // Slots; due time and work of each request, and its latency; all in ms. None waits over 12 ms.
    let cases = [
        (
            1,
            [
                (0, 10, Some(10)),
                (0, 10, Some(20)),
                (5, 10, None),
                (12, 5, Some(13)),
            ],
        ),
        (
            2,
            [
                (0, 10, Some(10)),
                (0, 20, Some(20)),
                (5, 10, Some(15)),
                (6, 10, None),
            ],
        ),
        (
            3,
            [
                (0, 10, Some(10)),
                (0, 10, Some(10)),
                (0, 10, Some(10)),
                (0, 10, Some(20)),
            ],
        ),
    ];
    for (slots, requests) in cases {
        let mut queue = Queue::new(slots);
        for (due, work, latency) in requests {
            let found = queue.serve(ms(due), ms(work), ms(12));
            assert_eq!(found, latency.map(ms), "{slots} slots, due {due}");
        }
    }
}

#[test]
fn one_queue_is_never_worse_than_a_queue_for_each_key() {
    let shot = |number: u64| Shot {
        due: ms(number * 4),
        number,
        class: Class::Lookups,
        key: usize::try_from(number * number % 7).unwrap(),
        work: (!number.is_multiple_of(13)).then(|| ms(1 + number % 13)),
    };
    let plan: Vec<Shot> = (0..500).map(shot).collect();
    let one = Terms {
        queues: 1,
        slots: 4,
        work: ms(5),
        patience: Duration::from_secs(1),
        warm_up: ms(0),
    };
    let split = Terms {
        queues: 2,
        slots: 2,
        ..one
    };
    let whole = perfect::serve(&plan, &one, |_| 0);
    let parts = perfect::serve(&plan, &split, |shot| shot.key);
    assert!(whole.served.quantile(0.99) <= parts.served.quantile(0.99));
    let warm = Terms {
        warm_up: ms(400),
        ..one
    };
    let counted = [whole.sent, perfect::serve(&plan, &warm, |_| 0).sent];
    assert_eq!(counted, [500, 400]);
    let refusing = Terms {
        patience: ms(0),
        slots: 1,
        ..one
    };
    let refused = perfect::serve(&plan, &refusing, |_| 0);
    assert!(refused.not_run > 0);
    assert_eq!(refused.ran + refused.not_run, refused.sent);
}

#[test]
fn the_balancer_spreads_and_passes_over_the_last_address() {
    let addresses: Vec<SocketAddr> = (1..=3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    for spread in [Spread::Round, Spread::Random, Spread::Two, Spread::Least] {
        let balancer = Balancer::new(&addresses, spread, 9);
        let mut counts = [0; 3];
        for _ in 0..300 {
            let address = balancer.choose(None).unwrap();
            counts[usize::from(address.port() - 1)] += 1;
        }
        for last in &addresses {
            assert_ne!(balancer.choose(Some(*last)), Some(*last), "{spread:?}");
        }
        let least = if spread == Spread::Random { 50 } else { 90 };
        assert!(
            counts.iter().all(|count| *count >= least),
            "{spread:?} {counts:?}"
        );
    }
    assert_eq!(Balancer::new(&[], Spread::Round, 1).choose(None), None);
    let single = Balancer::new(&addresses[..1], Spread::Two, 1);
    assert_eq!(single.choose(Some(addresses[0])), Some(addresses[0]));
}

#[test]
fn failing_slices_and_gaps_are_told_from_the_lines() {
    let told = |ms| {
        if (200..400).contains(&ms) {
            Told::NotRun
        } else {
            Told::Ran
        }
    };
    let lines: Vec<Line> = (0..1000)
        .step_by(10)
        .map(|sent| line("k", sent, told(sent)))
        .collect();
    let account = account::account(&lines, &[], &[], 60, ms(0));
    assert_eq!(account.failing, ms(200));
    assert_eq!(account.gap, ms(200));
    // No target ran what callers were told to have run.
    assert_eq!(account.findings.lost.len(), 80);
    assert_eq!(account.count(), 80);
    let runs: Vec<Run> = lines.iter().map(run).collect();
    let account = account::account(&lines, &runs, &["t-1".into(), "t-2".into()], 60, ms(300));
    assert!(account.findings.lost.is_empty());
    assert_eq!(
        account.findings.untrue.len(),
        20,
        "what was told not to have run did"
    );
    assert_eq!(account.failing, ms(100), "the warm-up doesn't count");
    assert!((account.imbalance - 2.0).abs() < f64::EPSILON);
}

fn run(line: &Line) -> Run {
    Run {
        target: "t-1".to_owned(),
        boot: "b".to_owned(),
        key: line.key.clone(),
        epoch: 1,
        path: format!("/status?tag={}", line.id),
        started_ms: line.sent_ms,
        ..Run::default()
    }
}

#[test]
fn lines_come_back_as_they_were_written() {
    let path = std::env::temp_dir().join(format!("bramleypier-lines-{}", std::process::id()));
    let lines = [line("a", 1, Told::Ran), line("b", 2, Told::Unknown)];
    let mut journal = Journal::create(&path).unwrap();
    for line in &lines {
        journal.write(line).unwrap();
    }
    journal.close().unwrap();
    let read = journal::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, lines);
    assert!(read[0].call().idempotent);
}

#[test]
fn tables_and_plots_hold_every_run() {
    let row = |round, good| {
        let mut tally = Tally::default();
        for _ in 0..good {
            tally.sent(Class::Lookups);
            tally.ended(Class::Lookups, &answer(Told::Ran, 200), ms(10), 1);
        }
        let cell = Cell {
            fault: Fault::Target,
            load: 80.0,
            round,
        };
        Row::new("one queue", &cell, &tally.total(), Duration::from_secs(1))
    };
    let rows = [row(0, 10), row(1, 30), row(2, 20)];
    let table = summary::markdown(&rows);
    assert!(
        table.contains("| target lost | 80 | one queue | 20 (10-30) |"),
        "{table}"
    );
    let fields = Row::HEAD.split(',').count();
    assert_eq!(rows[0].to_string().split(',').count(), fields);
    let plot = Plot {
        title: "t".to_owned(),
        across: "x".to_owned(),
        up: "y".to_owned(),
        is_log: true,
        series: vec![Series {
            name: "s".to_owned(),
            points: vec![(0.0, 0.0), (1.0, 10.0), (2.0, 1000.0)],
        }],
    };
    let svg = plot.svg();
    assert!(svg.contains("polyline") && !svg.contains("NaN") && !svg.contains("inf"));
    assert_eq!(table::millis(Duration::from_micros(1500)), "1.50");
}

#[test]
fn processor_time_is_read_past_odd_names() {
    for (stat, seconds) in [
        ("1 (a) S 1 1 1 0 -1 0 0 0 0 0 100 0 0 0", 1),
        ("1 (a ) b) R 1 1 1 0 -1 0 0 0 0 0 100 200 0 0", 3),
        ("", 0),
    ] {
        assert_eq!(usage::cpu(stat).as_secs(), seconds, "{stat}");
    }
}
