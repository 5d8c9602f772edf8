//! Simulates the sync requests of all VMs to a manager with little CPU.
//!
//! Guards against managers that lose their lease because sync requests delay their own store calls. With 88 VMs of a
//! tenth of a core each, every manager lost its lease within 3 s: its calls to the store failed with
//! `connect: timed out` after 150 ms, it logged `event=lease-uncertain cause=not-renewed-in-time`, and 68,195 of
//! 97,807 requests were refused because their key had no owner. A manager with half a core spends 0.34 ms of a whole
//! core on each message (0.27 of a core at some 590 sync exchanges and 210 grants per second).

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use bramleypier_engine::{
    fleet::KnowledgeLimits,
    peer::sync_interval::{self, Lag},
};
use proptest::{prop_assert, prop_assert_eq, proptest};

const VMS: usize = 88;
/// The time that a manager with a tenth of a core spends on one message.
const MESSAGE_COST: Duration = Duration::from_micros(3400);
/// The time between two grant renewals: 189 owners, each renewed five times in a grant duration of 4.5 s.
const GRANT_PERIOD: Duration = Duration::from_micros(4760);
/// The time after which a call of the manager to the store fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a VM waits for the manager's sync response.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The time until the sync intervals of the VMs have settled.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// The shortest and the longest time for which a VM relies on a manager that has fallen silent, if changes must be in force
/// in two seconds, and the time that this bound leaves beside the longest one.
const MIN_RELIANCE: Duration = Duration::from_millis(450);
const MAX_RELIANCE: Duration = Duration::from_millis(1200);
const REST_OF_BOUND: Duration = Duration::from_millis(800);
const SIMULATED_TIME: Duration = Duration::from_secs(30);

/// Work for the manager's CPU.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Grant,
    Sync(usize),
}

#[derive(Debug, Default)]
struct Outcome {
    /// The longest time for which a call of the manager itself waited for the CPU.
    longest_wait: Duration,
    /// The number of sync requests that were answered in time.
    answered: usize,
}

/// Simulates one manager that does its work in the order of arrival.
fn simulate<F>(interval_of: F) -> Outcome
where
    F: Fn(Duration) -> Duration,
{
    let mut due: BinaryHeap<Reverse<(Duration, Job)>> = BinaryHeap::new();
    due.push(Reverse((Duration::ZERO, Job::Grant)));
    for vm in 0..VMS {
        let offset = Duration::from_micros(1700 * vm as u64);
        due.push(Reverse((offset, Job::Sync(vm))));
    }
    let mut outcome = Outcome::default();
    let mut lag = Lag::default();
    let mut free = Duration::ZERO;
    while let Some(Reverse((at, job))) = due.pop() {
        if at > SIMULATED_TIME {
            break;
        }
        let start = free.max(at);
        free = start + MESSAGE_COST;
        let took = free.saturating_sub(at);
        match job {
            Job::Grant => {
                lag.add(GRANT_PERIOD, GRANT_PERIOD + start.saturating_sub(at));
                if at > SETTLING_TIME {
                    outcome.longest_wait = outcome.longest_wait.max(start.saturating_sub(at));
                }
                due.push(Reverse((at + GRANT_PERIOD, Job::Grant)));
            }
            Job::Sync(vm) => {
                let response_time = took.min(ANSWER_TIMEOUT);
                if at > SETTLING_TIME && took <= ANSWER_TIMEOUT {
                    outcome.answered += 1;
                }
                let interval = interval_of(lag.mean());
                due.push(Reverse((at + response_time + interval, Job::Sync(vm))));
            }
        }
    }
    outcome
}

#[test]
fn a_manager_with_little_cpu_keeps_up() {
    let outcome = simulate(|lag| sync_interval::next_interval(true, VMS, lag));
    assert!(outcome.longest_wait < CONNECT_TIMEOUT, "{outcome:?}");
    // Each VM gets a sync response at least once in two seconds.
    assert!(outcome.answered >= VMS * 25 / 2, "{outcome:?}");
}

#[test]
fn the_sync_interval_stays_short_while_the_manager_keeps_up() {
    let mut lag = Lag::default();
    let requested = Duration::from_millis(40);
    for late in [0, 1, 0, 2, 0, 3, 0] {
        lag.add(requested, requested + Duration::from_millis(late));
        let interval = sync_interval::next_interval(true, 8, lag.mean());
        assert!(interval <= Duration::from_millis(60), "{interval:?}");
    }
}

/// A manager that was suspended for seconds has its full CPU time again when it resumes.
#[test]
fn a_process_that_was_suspended_does_not_lag() {
    let mut lag = Lag::default();
    lag.add(Duration::from_millis(40), Duration::from_secs(5));
    assert_eq!(
        sync_interval::next_interval(true, 8, lag.mean()),
        Duration::from_millis(40)
    );
}

proptest! {
    /// Guards against VMs that give up a manager between two exchanges that succeed, and against VMs that rely on a
    /// silent manager until its knowledge of the store is too old.
    #[test]
    fn reliance_covers_the_next_response_unless_the_knowledge_gets_too_old(
        interval in 1..1000_u64,
        took in 0..1000_u64,
        age in 0..5000_u64,
        bound in 1000..5000_u64,
    ) {
        let [interval, took, age, bound] =
            [interval, took, age, bound].map(Duration::from_millis);
        let limits = KnowledgeLimits::new(bound);
        let reliance = sync_interval::reliance(interval, took, Some(age), limits);
        let max_reliance = bound.saturating_sub(REST_OF_BOUND).max(MIN_RELIANCE);
        prop_assert!(reliance <= max_reliance);
        prop_assert!(reliance.is_zero() || age + reliance <= limits.ask_age());
        let next_response = took + interval + took;
        let ends_early = age + reliance >= limits.ask_age();
        prop_assert!(reliance >= next_response.clamp(MIN_RELIANCE, max_reliance) || ends_early);
        let without_age = sync_interval::reliance(interval, took, None, limits);
        prop_assert_eq!(without_age, (2 * interval).clamp(MIN_RELIANCE, MAX_RELIANCE));
    }
}
