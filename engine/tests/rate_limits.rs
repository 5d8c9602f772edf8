//! Targets in need that name how many requests a second they take from all VMs together.

mod rate_simulation;

use std::time::Duration;

use bramleypier_engine::placement::{
    dispatch::{Dispatcher, Effect, Event},
    warmup::BurstAllowance,
};
use proptest::prelude::*;

use crate::rate_simulation::{
    ALLOWANCE, END, GOAL, GRACE, LIFTED, NAMED, STEP, Scene, allowed, ask, ms, play,
};

const OWNER: Scene = Scene {
    vms: 10,
    targets: 1,
    keyed: true,
    heard: true,
    load: 5,
    rate: 1.0,
    pause: 40,
    replaced: 0,
};
const ONE_OF_FOUR: Scene = Scene {
    targets: 4,
    keyed: false,
    load: 20,
    ..OWNER
};

/// Two owners that had named 1 and 1.5 requests a second got three to five, from ten VMs that they had told.
#[test]
fn an_owner_that_names_a_rate_gets_no_more_from_all_vms() {
    for rate in [0.0, 0.5, 1.0, 1.5, 3.0] {
        for load in [5, 40] {
            let seen = play(Scene {
                load,
                rate,
                ..OWNER
            });
            let most = allowed(rate);
            assert!(
                seen.most() <= most,
                "rate {rate}, load {load}: {} of {most}",
                seen.most()
            );
        }
    }
}

#[test]
fn a_target_without_keys_that_names_a_rate_gets_no_more_from_all_vms() {
    for rate in [0.0, 0.5, 1.0, 1.5, 3.0] {
        for heard in [true, false] {
            let seen = play(Scene {
                heard,
                rate,
                ..ONE_OF_FOUR
            });
            let most = allowed(rate);
            assert!(
                seen.most() <= most,
                "rate {rate}, heard {heard}: {} of {most}",
                seen.most()
            );
        }
    }
}

/// VMs that don't hear the manager know only what the target told them.
#[test]
fn an_owner_that_names_a_rate_gets_no_more_from_vms_that_hear_no_manager() {
    for rate in [0.5, 1.0, 3.0] {
        let seen = play(Scene {
            rate,
            heard: false,
            ..OWNER
        });
        let most = allowed(rate);
        assert!(
            seen.most() <= most,
            "rate {rate}: {} of {most}",
            seen.most()
        );
    }
}

/// It names what it can take, so it gets about that while more is asked for.
#[test]
fn an_owner_that_names_a_rate_gets_most_of_that() {
    for rate in [1.0, 1.5, 3.0] {
        let seen = play(Scene {
            rate,
            load: 12,
            ..OWNER
        });
        let span = (LIFTED - NAMED - GRACE) / 1000;
        let got = seen.within(NAMED + GRACE, LIFTED);
        let named = rate * Duration::from_secs(span).as_secs_f64();
        assert!(
            f64::from(got) >= 0.8 * named,
            "rate {rate}: {got} of {named}"
        );
    }
}

/// What can't be served within its time is refused at once.
#[test]
fn requests_beyond_a_named_rate_are_not_held() {
    let seen = play(Scene { load: 12, ..OWNER });
    let mut held = seen.held.clone();
    held.sort_unstable();
    let middle = held[held.len() / 2];
    assert!(middle <= GOAL / 4, "half are held for {middle} ms");
}

#[test]
fn a_target_that_names_a_rate_no_more_gets_what_comes() {
    for scene in [OWNER, ONE_OF_FOUR] {
        let seen = play(scene);
        let (before, after) = (seen.within(0, NAMED), seen.within(END - NAMED, END));
        assert!(
            after * 2 >= before,
            "{scene:?}: {before} before, {after} after"
        );
    }
}

/// A target that nobody has sent to for a minute can't have said anything since.
#[test]
fn a_rate_that_was_not_named_for_a_minute_holds_no_more() {
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
    let answered = Event::Rate("t0".to_owned(), None);
    assert!(dispatcher.handle(now, answered).is_empty());
    for ticket in 0..4 {
        let effects = dispatcher.handle(now, Event::Request(ask(ticket, now, None)));
        assert!(matches!(effects[..], [Effect::Send { .. }]), "{effects:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_fleet_and_no_change_of_the_manager_exceeds_a_named_rate(
        vms in 1_usize..60,
        keyed in any::<bool>(),
        load in 1_u64..60,
        rate in 0.0..6.0,
        pause in 8_u64..31,
        replaced in 0..END / STEP,
    ) {
        let base = if keyed { OWNER } else { ONE_OF_FOUR };
        let (pause, replaced) = (pause * STEP, replaced * STEP);
        let scene = Scene { vms, load, rate, pause, replaced, ..base };
        let seen = play(scene);
        prop_assert!(seen.most() <= allowed(rate), "{scene:?}: {} of {}", seen.most(), allowed(rate));
    }
}
