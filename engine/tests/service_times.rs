//! What is known of targets' speeds, replayed under a slowdown.

use std::time::Duration;

use bramleypier_engine::owner::service_times::ServiceTimes;

/// A target with two slots that does 17 requests a second turns twelve times slower.
#[test]
fn a_target_that_turns_slow_is_known_within_two_seconds() {
    let mut times = ServiceTimes::default();
    let mut now = Duration::ZERO;
    let mut answer = |times: &mut ServiceTimes, gap: u64, millis: u32| {
        now += Duration::from_millis(gap);
        times.add(now, 7, f64::from(millis) / 1000.0, 1);
    };
    for _ in 0..100 {
        answer(&mut times, 59, 60);
    }
    assert!((times.mean(7).unwrap() - 0.06).abs() < 0.001);
    // Two slots and 720 ms a request: an answer each 360 ms.
    for _ in 0..6 {
        answer(&mut times, 360, 720);
    }
    let slow = times.mean(7).unwrap();
    assert!(slow > 0.3, "taken for one of {slow} s");
    for _ in 0..40 {
        answer(&mut times, 59, 60);
    }
    let again = times.mean(7).unwrap();
    assert!(
        again < 0.18,
        "it is fast again, and taken for one of {again} s"
    );
}
