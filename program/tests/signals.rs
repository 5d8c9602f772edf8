//! Signals that come one shortly after the other, with the real program.

mod harness;

use std::{
    process::Child,
    time::{Duration, Instant},
};

use harness::{run_test, sleep_ms};
use hyper::StatusCode;
use rustix::process::Signal;

/// How many pairs of signals are sent, and the longest pause between the two of a pair.
const PAIRS: u64 = 150;
const MAX_PAUSE_US: u64 = 1000;

fn has_ended(child: &mut Child) -> bool {
    child.try_wait().unwrap().is_some()
}

/// Waits without giving the processor away, which takes longer.
fn spin(time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        std::hint::spin_loop();
    }
}

#[test]
fn a_signal_during_a_reload_ends_the_process() {
    run_test(async |mut harness| {
        for number in 0..PAIRS {
            let pause = Duration::from_micros(number * 337 % MAX_PAUSE_US);
            harness.program.signal(Signal::HUP).unwrap();
            spin(pause);
            harness.program.signal(Signal::HUP).unwrap();
            sleep_ms(5).await;
            assert!(
                !has_ended(&mut harness.program.child),
                "ended by pair {number}, {pause:?}"
            );
        }
        harness
            .until_logged("event=settings-reloaded asked=true")
            .await;
        let (status, _) = harness.send("GET", "/look/x", "after").await;
        assert_eq!(status, StatusCode::OK);
    });
}

#[test]
fn a_second_stop_signal_ends_the_process_at_once() {
    run_test(async |mut harness| {
        harness.program.signal(Signal::TERM).unwrap();
        harness.until_logged("event=stopping").await;
        harness.program.signal(Signal::TERM).unwrap();
        sleep_ms(300).await;
        assert!(!has_ended(&mut harness.program.child));
        let (status, _) = harness.send("POST", "/order/x", "draining").await;
        assert_eq!(
            status,
            StatusCode::OK,
            "it serves until the balancer has noticed"
        );
    });
}
