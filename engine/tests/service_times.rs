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
