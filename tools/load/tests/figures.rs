//! Tests the processing of results: counts, percentiles, baselines, log analysis, tables and plots.

use std::{net::SocketAddr, time::Duration};

use bramleypier_load::{
    balancer::Balancer,
    call::CallResult,
    call_log::{self, CallLog, Line},
    config::{Class, Policy},
    experiment::{analysis, cell::Cell, cell::Row, fault::Fault, summary},
    ideal::{self, Parameters, Queue},
    plan::PlannedRequest,
    plot::{Plot, Series},
    table,
    tally::{Latencies, Tally},
    usage,
};
use bramleypier_standins::{audit::ReportedOutcome, journal::Run};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn result(outcome: ReportedOutcome, status: u16) -> CallResult {
    CallResult {
        outcome,
        status,
        failed: status == 0,
        ..CallResult::without_response(true)
    }
}

fn line(key: &str, sent_ms: u64, told: ReportedOutcome) -> Line {
    Line {
        id: format!("{key}-{sent_ms}"),
        key: key.to_owned(),
        class: Class::Lookups,
        address: String::new(),
        sent_ms,
        told,
        sound: true,
        status: if told == ReportedOutcome::Ran {
            200
        } else {
            503
        },
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
    for (quantile, expected) in [(0.5, 500), (0.99, 990), (0.999, 999), (1.0, 1000)] {
        let found = whole.quantile(quantile);
        assert!(
            found >= ms(expected) && found <= ms(expected + expected / 500 + 1),
            "{quantile}: {found:?}"
        );
        assert_eq!(merged.quantile(quantile), found);
    }
    assert_eq!(merged.count(), 1000);
    assert!(merged.max() >= ms(1000) && merged.max() < ms(1002));
    assert_eq!(Latencies::default().quantile(0.99), Duration::ZERO);
}

#[test]
fn a_long_latency_is_recorded_without_clamping() {
    let mut latencies = Latencies::default();
    latencies.add(Duration::from_mins(2));
    assert!(latencies.max() >= Duration::from_mins(2));
}

#[test]
fn results_are_counted_by_their_outcome() {
    // Result, and whether it counts as good, ran, not run, unknown, an error, unsound.
    let unsound = CallResult {
        sound: false,
        ..result(ReportedOutcome::Ran, 200)
    };
    let cases = [
        (result(ReportedOutcome::Ran, 200), [1, 1, 0, 0, 0, 0]),
        (result(ReportedOutcome::Ran, 500), [0, 1, 0, 0, 0, 0]),
        (result(ReportedOutcome::NotRun, 503), [0, 0, 1, 0, 0, 0]),
        (result(ReportedOutcome::Unknown, 502), [0, 0, 0, 1, 0, 0]),
        (CallResult::without_response(true), [0, 0, 0, 1, 1, 0]),
        (CallResult::without_response(false), [0, 0, 1, 0, 1, 0]),
        (unsound, [0, 1, 0, 0, 0, 1]),
    ];
    for (result, expected) in cases {
        let mut tally = Tally::default();
        tally.record_sent(Class::Orders);
        tally.record_result(Class::Orders, &result, ms(5), 3);
        let counts = tally.class(Class::Orders);
        let found = [
            counts.good,
            counts.ran,
            counts.not_run,
            counts.unknown,
            counts.errors,
            counts.unsound,
        ];
        assert_eq!(found, expected, "{result:?}");
        assert_eq!((counts.sent, counts.resent), (1, 2));
        assert_eq!(counts.served.count(), counts.ran);
        assert_eq!(tally.class(Class::Files).ran, 0);
        assert_eq!(tally.total().sent, 1);
    }
}

#[test]
fn a_queue_serves_in_order_with_one_request_per_slot() {
    // Number of slots; due time, work time and expected latency of each request, in ms.
    // Requests that would wait longer than 12 ms are rejected.
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
fn one_shared_queue_is_never_worse_than_separate_queues() {
    let request = |number: u64| PlannedRequest {
        due: ms(number * 4),
        number,
        class: Class::Lookups,
        key: usize::try_from(number * number % 7).unwrap(),
        work: (!number.is_multiple_of(13)).then(|| ms(1 + number % 13)),
    };
    let plan: Vec<PlannedRequest> = (0..500).map(request).collect();
    let single = Parameters {
        queues: 1,
        slots: 4,
        work: ms(5),
        max_wait: Duration::from_secs(1),
        warm_up: ms(0),
    };
    let separate = Parameters {
        queues: 2,
        slots: 2,
        ..single
    };
    let whole = ideal::simulate(&plan, &single, |_| 0);
    let parts = ideal::simulate(&plan, &separate, |request| request.key);
    assert!(whole.served.quantile(0.99) <= parts.served.quantile(0.99));
    let with_warm_up = Parameters {
        warm_up: ms(400),
        ..single
    };
    let counted = [
        whole.sent,
        ideal::simulate(&plan, &with_warm_up, |_| 0).sent,
    ];
    assert_eq!(counted, [500, 400]);
    let refusing = Parameters {
        max_wait: ms(0),
        slots: 1,
        ..single
    };
    let refused = ideal::simulate(&plan, &refusing, |_| 0);
    assert!(refused.not_run > 0);
    assert_eq!(refused.ran + refused.not_run, refused.sent);
}

#[test]
fn the_balancer_spreads_requests_and_avoids_the_previous_address() {
    let addresses: Vec<SocketAddr> = (1..=3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    for policy in [
        Policy::RoundRobin,
        Policy::Random,
        Policy::TwoChoices,
        Policy::LeastInFlight,
    ] {
        let balancer = Balancer::new(&addresses, policy, 9);
        let mut counts = [0; 3];
        for _ in 0..300 {
            let address = balancer.choose(None).unwrap();
            counts[usize::from(address.port() - 1)] += 1;
        }
        for last in &addresses {
            assert_ne!(balancer.choose(Some(*last)), Some(*last), "{policy:?}");
        }
        let least = if policy == Policy::Random { 50 } else { 90 };
        assert!(
            counts.iter().all(|count| *count >= least),
            "{policy:?} {counts:?}"
        );
    }
    assert_eq!(Balancer::new(&[], Policy::RoundRobin, 1).choose(None), None);
    let only_address = Balancer::new(&addresses[..1], Policy::TwoChoices, 1);
    assert_eq!(only_address.choose(Some(addresses[0])), Some(addresses[0]));
}

#[test]
fn failing_time_and_gaps_are_computed_from_the_log() {
    let outcome_at = |ms| {
        if (200..400).contains(&ms) {
            ReportedOutcome::NotRun
        } else {
            ReportedOutcome::Ran
        }
    };
    let lines: Vec<Line> = (0..1000)
        .step_by(10)
        .map(|sent| line("k", sent, outcome_at(sent)))
        .collect();
    let analysis = analysis::analyse(&lines, &[], &[], 60, ms(0));
    assert_eq!(analysis.failing, ms(200));
    assert_eq!(analysis.gap, ms(200));
    // No target ran the requests that the callers' log reports as run.
    assert_eq!(analysis.findings.lost.len(), 80);
    assert_eq!(analysis.finding_count(), 80);
    let runs: Vec<Run> = lines.iter().map(run).collect();
    let analysis = analysis::analyse(&lines, &runs, &["t-1".into(), "t-2".into()], 60, ms(300));
    assert!(analysis.findings.lost.is_empty());
    assert_eq!(
        analysis.findings.untrue.len(),
        20,
        "requests reported as not run that did run"
    );
    assert_eq!(analysis.failing, ms(100), "the warm-up doesn't count");
    assert!((analysis.imbalance - 2.0).abs() < f64::EPSILON);
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
fn log_lines_are_read_back_as_they_were_written() {
    let path = std::env::temp_dir().join(format!("bramleypier-lines-{}", std::process::id()));
    let lines = [
        line("a", 1, ReportedOutcome::Ran),
        line("b", 2, ReportedOutcome::Unknown),
    ];
    let mut log = CallLog::create(&path).unwrap();
    for line in &lines {
        log.write(line).unwrap();
    }
    log.close().unwrap();
    let read = call_log::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, lines);
    assert!(read[0].call().idempotent);
}

#[test]
fn tables_and_plots_contain_every_run() {
    let row = |round, good| {
        let mut tally = Tally::default();
        for _ in 0..good {
            tally.record_sent(Class::Lookups);
            tally.record_result(
                Class::Lookups,
                &result(ReportedOutcome::Ran, 200),
                ms(10),
                1,
            );
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
    let fields = Row::CSV_HEADER.split(',').count();
    assert_eq!(rows[0].to_string().split(',').count(), fields);
    let plot = Plot {
        title: "t".to_owned(),
        x_label: "x".to_owned(),
        y_label: "y".to_owned(),
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
fn processor_time_is_parsed_despite_brackets_in_process_names() {
    for (stat, seconds) in [
        ("1 (a) S 1 1 1 0 -1 0 0 0 0 0 100 0 0 0", 1),
        ("1 (a ) b) R 1 1 1 0 -1 0 0 0 0 0 100 200 0 0", 3),
        ("", 0),
    ] {
        assert_eq!(usage::parse_cpu_time(stat).as_secs(), seconds, "{stat}");
    }
}
