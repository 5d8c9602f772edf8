//! Targets that ask for a limit on the requests per second that they get from all VMs together.

mod rate_simulation;

use std::time::Duration;

use bramleypier_engine::placement::{
    dispatch::{Dispatcher, Effect, Event},
    warmup::BurstAllowance,
};
use proptest::prelude::*;

use crate::rate_simulation::{
    ALLOWANCE, END_MS, GOAL_MS, GRACE_MS, LIMIT_END_MS, LIMIT_START_MS, STEP_MS, Scenario,
    dispatch_request, max_allowed, ms, simulate,
};

/// One target that owns all keys of the service.
const OWNER: Scenario = Scenario {
    vms: 10,
    targets: 1,
    keyed: true,
    synced: true,
    request_rate: 5,
    rate_limit: 1.0,
    sync_interval: 40,
    takeover_at: 0,
};
/// Four targets without keys, one of which asks for the limit.
const ONE_OF_FOUR: Scenario = Scenario {
    targets: 4,
    keyed: false,
    request_rate: 20,
    ..OWNER
};

/// Guards against VMs that know a limit and exceed it together: two owners that had asked ten VMs for 1 and 1.5
/// requests per second got three to five.
#[test]
fn an_owner_with_a_rate_limit_gets_no_more_from_all_vms() {
    for rate_limit in [0.0, 0.5, 1.0, 1.5, 3.0] {
        for request_rate in [5, 40] {
            let outcome = simulate(Scenario {
                request_rate,
                rate_limit,
                ..OWNER
            });
            let limit = max_allowed(rate_limit);
            assert!(
                outcome.max_per_window() <= limit,
                "limit {rate_limit}, load {request_rate}: {} of {limit}",
                outcome.max_per_window()
            );
        }
    }
}

#[test]
fn a_target_without_keys_with_a_rate_limit_gets_no_more_from_all_vms() {
    for rate_limit in [0.0, 0.5, 1.0, 1.5, 3.0] {
        for synced in [true, false] {
            let outcome = simulate(Scenario {
                synced,
                rate_limit,
                ..ONE_OF_FOUR
            });
            let limit = max_allowed(rate_limit);
            assert!(
                outcome.max_per_window() <= limit,
                "limit {rate_limit}, synced {synced}: {} of {limit}",
                outcome.max_per_window()
            );
        }
    }
}

/// VMs without sync exchanges know the limit only from the target's own responses.
#[test]
fn an_owner_with_a_rate_limit_gets_no_more_from_vms_without_sync() {
    for rate_limit in [0.5, 1.0, 3.0] {
        let outcome = simulate(Scenario {
            rate_limit,
            synced: false,
            ..OWNER
        });
        let limit = max_allowed(rate_limit);
        assert!(
            outcome.max_per_window() <= limit,
            "limit {rate_limit}: {} of {limit}",
            outcome.max_per_window()
        );
    }
}

/// The limit is what the target can take, so it gets about that many requests while there are more.
#[test]
fn an_owner_with_a_rate_limit_gets_most_of_it() {
    for rate_limit in [1.0, 1.5, 3.0] {
        let outcome = simulate(Scenario {
            rate_limit,
            request_rate: 12,
            ..OWNER
        });
        let seconds = (LIMIT_END_MS - LIMIT_START_MS - GRACE_MS) / 1000;
        let received = outcome.arrivals_within(LIMIT_START_MS + GRACE_MS, LIMIT_END_MS);
        let allowed_total = rate_limit * Duration::from_secs(seconds).as_secs_f64();
        assert!(
            f64::from(received) >= 0.8 * allowed_total,
            "limit {rate_limit}: {received} of {allowed_total}"
        );
    }
}

/// Requests that can't be answered in time are refused at once.
#[test]
fn requests_beyond_a_rate_limit_are_refused_quickly() {
    let outcome = simulate(Scenario {
        request_rate: 12,
        ..OWNER
    });
    let mut refused_after = outcome.refused_after.clone();
    refused_after.sort_unstable();
    let median = refused_after[refused_after.len() / 2];
    assert!(
        median <= GOAL_MS / 4,
        "half of the refused requests were queued for {median} ms or more"
    );
}

#[test]
fn a_target_gets_the_full_load_again_after_its_rate_limit() {
    for scenario in [OWNER, ONE_OF_FOUR] {
        let outcome = simulate(scenario);
        let (before, after) = (
            outcome.arrivals_within(0, LIMIT_START_MS),
            outcome.arrivals_within(END_MS - LIMIT_START_MS, END_MS),
        );
        assert!(
            after * 2 >= before,
            "{scenario:?}: {before} before, {after} after"
        );
    }
}

/// A target that has got no requests for a minute can't have said whether its limit still holds, so the limit expires.
#[test]
fn a_rate_limit_expires_after_a_minute_without_a_response() {
    let mut dispatcher =
        Dispatcher::new("d1", ALLOWANCE, 1).with_vm("vm-0", BurstAllowance::default());
    dispatcher.handle(Duration::ZERO, ONE_OF_FOUR.view());
    for number in 0..4 {
        dispatcher.handle(ms(1), Event::Rate(format!("t{number}"), Some(0.0)));
    }
    assert_eq!(dispatcher.take_log_lines().len(), 4);
    let now = Duration::from_secs(61);
    dispatcher.take_snapshot(now);
    assert_eq!(
        dispatcher.take_log_lines()[0],
        "event=rate-lifted target=t0 by=age"
    );
    let without_limit = Event::Rate("t0".to_owned(), None);
    assert!(dispatcher.handle(now, without_limit).is_empty());
    for ticket in 0..4 {
        let effects = dispatcher.handle(now, Event::Request(dispatch_request(ticket, now, None)));
        assert!(matches!(effects[..], [Effect::Send { .. }]), "{effects:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_fleet_size_and_no_manager_takeover_exceeds_a_rate_limit(
        vms in 1_usize..60,
        keyed in any::<bool>(),
        request_rate in 1_u64..60,
        rate_limit in 0.0..6.0,
        sync_steps in 8_u64..31,
        takeover_step in 0..END_MS / STEP_MS,
    ) {
        let base = if keyed { OWNER } else { ONE_OF_FOUR };
        let (sync_interval, takeover_at) = (sync_steps * STEP_MS, takeover_step * STEP_MS);
        let scenario = Scenario {
            vms,
            request_rate,
            rate_limit,
            sync_interval,
            takeover_at,
            ..base
        };
        let outcome = simulate(scenario);
        prop_assert!(
            outcome.max_per_window() <= max_allowed(rate_limit),
            "{scenario:?}: {} of {}",
            outcome.max_per_window(),
            max_allowed(rate_limit)
        );
    }
}
