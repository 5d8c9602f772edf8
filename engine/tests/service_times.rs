//! Tests how fast the known service time of a target follows a slowdown and its end.

use std::time::Duration;

use bramleypier_engine::owner::service_times::ServiceTimes;

/// A target with two slots that serves 17 requests per second becomes twelve times slower.
#[test]
fn a_slowdown_of_a_target_is_detected_within_two_seconds() {
    let mut times = ServiceTimes::default();
    let mut now = Duration::ZERO;
    let mut add_answer = |times: &mut ServiceTimes, interval_ms: u64, service_ms: u32| {
        now += Duration::from_millis(interval_ms);
        times.add(now, 7, f64::from(service_ms) / 1000.0, 1);
    };
    for _ in 0..100 {
        add_answer(&mut times, 59, 60);
    }
    assert!((times.mean(7).unwrap() - 0.06).abs() < 0.001);
    // Two slots and 720 ms per request: one answer every 360 ms.
    for _ in 0..6 {
        add_answer(&mut times, 360, 720);
    }
    let slow = times.mean(7).unwrap();
    assert!(slow > 0.3, "the mean service time is still {slow} s");
    for _ in 0..40 {
        add_answer(&mut times, 59, 60);
    }
    let recovered = times.mean(7).unwrap();
    assert!(
        recovered < 0.18,
        "the target is fast again, but its mean service time is {recovered} s"
    );
}

/// Guards against one slow request in thirty that makes a target look slow.
#[test]
fn long_requests_hardly_change_the_mean() {
    let mut times = ServiceTimes::default();
    for count in 1..=300 {
        let time = if count % 30 == 0 { 0.7 } else { 0.1 };
        times.add(Duration::from_millis(count * 100), 7, time, 1);
        let mean = times.mean(7).unwrap_or(0.1);
        assert!((0.09..0.13).contains(&mean), "{mean} s at {count}");
    }
}

/// Guards against a VM whose reports can't be right.
#[test]
fn implausible_measurements_are_ignored() {
    let mut times = ServiceTimes::default();
    times.add(Duration::ZERO, 7, 2.0, 20);
    let invalid = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e9];
    for (sum, count) in invalid.into_iter().zip([1, 2, 3, 1, 1]).chain([(1.0, 0)]) {
        times.add(Duration::ZERO, 7, sum, count);
        assert_eq!(times.mean(7), Some(0.1), "{sum} {count}");
    }
}
