//! The checks of what is sent again: each violation is found, and what is allowed passes.

use std::time::Duration;

use bramleypier_soak::{
    budget::{self, Allowance, Arrival, Overtime, Traffic},
    check::{self, Observations, Violation},
};

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 3,
    window: Duration::from_secs(10),
};
/// How long callers wait.
const PATIENCE: Duration = Duration::from_millis(2500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(id: usize, target: &str, at: u64) -> Arrival {
    Arrival {
        id: id.to_string(),
        target: target.to_owned(),
        at: ms(at),
        remaining: Some(PATIENCE),
        ran: true,
    }
}

/// Requests that callers send at an interval from a time on, each of which arrives once.
fn requests(count: usize, from: u64, interval: u64) -> Traffic {
    let mut traffic = Traffic::default();
    for id in 0..count {
        let sent = from + interval * u64::try_from(id).unwrap();
        traffic.requests.insert(id.to_string(), ms(sent));
        traffic.arrivals.push(arrival(id, "t0", sent + 1));
    }
    traffic
}

/// Adds a second arrival of each of the first requests, all of them at a time.
fn add_retries(traffic: &mut Traffic, count: usize, at: u64) {
    let retries = (0..count).map(|id| arrival(id, "t1", at));
    traffic.arrivals.extend(retries);
}

fn observations(peak: budget::Peak) -> Observations {
    Observations {
        recovery_time: Some(Duration::ZERO),
        peaks: [("s", peak)].into(),
        ..Observations::default()
    }
}

#[test]
fn one_retry_more_than_allowed_violates_the_budget() {
    // 100 requests in 10 s allow 20 retries beside the slack of 3.
    let mut traffic = requests(100, 0, 100);
    add_retries(&mut traffic, 23, 9990);
    let peak = budget::peak(&traffic, ALLOWANCE).unwrap();
    assert_eq!((peak.retries, peak.requests), (23, 100));
    assert_eq!(check::violations(&observations(peak)), []);
    traffic.arrivals.push(arrival(23, "t1", 9991));
    let peak = budget::peak(&traffic, ALLOWANCE).unwrap();
    assert_eq!(
        check::violations(&observations(peak)),
        [Violation::BudgetExceeded("s", peak)]
    );
}

#[test]
fn windows_slide_and_the_requests_before_them_count() {
    let mut traffic = requests(100, 0, 200);
    add_retries(&mut traffic, 12, 12_000);
    add_retries(&mut traffic, 12, 21_999);
    let peak = budget::peak(&traffic, ALLOWANCE).unwrap();
    assert_eq!((peak.retries, peak.from), (24, ms(12_000)));
    assert!(peak.share() > 1.0, "{peak:?}");
    // A millisecond later the two groups are in no window together.
    for it in &mut traffic.arrivals[112..] {
        it.at = ms(22_000);
    }
    let peak = budget::peak(&traffic, ALLOWANCE).unwrap();
    assert_eq!(peak.retries, 12);
}

#[test]
fn a_request_that_runs_on_three_targets_has_too_many_attempts() {
    let mut traffic = requests(1, 0, 1);
    traffic.arrivals.push(arrival(0, "t1", 5));
    assert!(budget::spread(&traffic, 2).is_empty());
    traffic.arrivals.push(arrival(0, "t2", 9));
    assert_eq!(budget::spread(&traffic, 2), ["0"]);
    traffic.ended.insert("t2".to_owned());
    assert!(budget::spread(&traffic, 2).is_empty());
    let spread = (0..4).map(|id| id.to_string()).collect::<Vec<_>>();
    let observations = Observations {
        recovery_time: Some(Duration::ZERO),
        spread: spread.clone(),
        ..Observations::default()
    };
    assert_eq!(
        check::violations(&observations),
        [Violation::TooManyAttempts(spread)]
    );
}

#[test]
fn attempts_with_more_time_than_is_left_are_counted() {
    let mut traffic = requests(60, 0, 10);
    let count = |traffic: &Traffic| budget::count_overtime(traffic, PATIENCE, |_, _, _| true);
    assert_eq!(count(&traffic), Overtime::default());
    // Sent again after two seconds with all of the time once more.
    for id in 0..30 {
        let first = traffic.arrivals[id].at;
        let at = u64::try_from(first.as_millis()).unwrap() + 2000;
        traffic.arrivals.push(arrival(id, "t1", at));
    }
    let overtime = count(&traffic);
    assert_eq!((overtime.count, overtime.late), (30, 30));
    assert!(overtime.is_too_much());
    // The same with what is left of it.
    for it in &mut traffic.arrivals[60..] {
        it.remaining = Some(PATIENCE.saturating_sub(ms(2000)));
    }
    assert_eq!(count(&traffic).count, 0);
    traffic.arrivals[0].remaining = None;
    assert_eq!(count(&traffic).count, 1);
}
