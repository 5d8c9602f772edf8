//! Quarantine of requests that crash their target, and of those in flight beside them.

use std::time::Duration;

use bramleypier::quarantine::{
    DOUBLE, Decision, EXPIRY, End, Event, Incarnation, Quarantine, Suspect,
};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const CRASHING: u128 = 1;
const HARMLESS: u128 = 2;

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

fn incarnation_of(target: &str, boot: u32) -> Incarnation {
    Incarnation {
        target: target.into(),
        boot: boot.to_string(),
    }
}

fn send(vm: &mut Quarantine, ms: u64, ticket: u64, fingerprint: u128, incarnation: &Incarnation) {
    let incarnation = incarnation.clone();
    vm.on(
        at(ms),
        Event::Sent {
            ticket,
            fingerprint,
            incarnation,
        },
    );
}

fn end(vm: &mut Quarantine, ms: u64, ticket: u64, end: End) -> Vec<Suspect> {
    vm.on(at(ms), Event::Ended { ticket, end })
}

#[test]
fn a_crashing_request_is_refused_on_all_vms_after_two_deaths() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    let mut deaths = 0;
    // The caller sends the request every second for twenty minutes, alternately to the two VMs.
    for step in 0..1_200 {
        let now = step * 1_000;
        let vm = usize::try_from(step % 2).unwrap();
        if matches!(
            vms[vm].check(at(now), CRASHING, "a"),
            Decision::Refuse(_) | Decision::Wait(_)
        ) {
            continue;
        }
        let incarnation = incarnation_of("a", deaths);
        send(&mut vms[vm], now, step, CRASHING, &incarnation);
        end(&mut vms[vm], now + 1, step, End::Lost);
        let suspects = vms[vm].on(at(now + 2), Event::Died(incarnation));
        vms[1 - vm].on(at(now + 3), Event::Received(suspects));
        deaths += 1;
        if now < 600_000 {
            assert!(deaths <= 2, "{deaths} deaths by {now} ms");
        }
    }
    // Deaths expire after ten minutes, and then the request may cause two more.
    assert!(deaths <= 4, "{deaths}");
}

#[test]
fn a_harmless_suspect_runs_alone_and_is_cleared_on_all_vms() {
    let [mut first, mut second] = [Quarantine::default(), Quarantine::default()];
    let incarnation = incarnation_of("a", 1);
    send(&mut first, 0, 1, CRASHING, &incarnation);
    send(&mut second, 0, 1, HARMLESS, &incarnation);
    let suspects = first.on(at(5), Event::Died(incarnation.clone()));
    let other_suspects = second.on(at(6), Event::Died(incarnation));
    first.on(at(7), Event::Received(other_suspects));
    second.on(at(7), Event::Received(suspects));
    for vm in [&first, &second] {
        assert_eq!(vm.check(at(10), HARMLESS, "b"), Decision::RunAlone);
        assert_eq!(vm.check(at(10), CRASHING, "b"), Decision::RunAlone);
    }
    let next = incarnation_of("b", 1);
    send(&mut first, 20, 2, HARMLESS, &next);
    assert!(matches!(
        first.check(at(21), CRASHING, "b"),
        Decision::Wait(_)
    ));
    assert_eq!(first.check(at(21), CRASHING, "c"), Decision::RunAlone);
    let cleared = end(&mut first, 25, 2, End::Completed);
    assert_eq!(first.check(at(26), HARMLESS, "b"), Decision::Allow);
    second.on(at(27), Event::Received(cleared));
    assert_eq!(second.check(at(28), HARMLESS, "b"), Decision::Allow);
    // The crashing request runs alone next, and its second death is the last one.
    send(&mut first, 30, 3, CRASHING, &next);
    let suspects = first.on(at(31), Event::Died(next));
    second.on(at(32), Event::Received(suspects));
    for vm in [&first, &second] {
        assert!(matches!(
            vm.check(at(40_000), CRASHING, "c"),
            Decision::Refuse(_)
        ));
        assert_eq!(vm.check(at(40), HARMLESS, "c"), Decision::Allow);
    }
}

#[test]
fn suspects_of_the_same_two_deaths_run_at_different_times() {
    let mut vm = Quarantine::default();
    for boot in 0..2 {
        let incarnation = incarnation_of("a", boot);
        let ticket = u64::from(boot) * 2;
        send(&mut vm, 0, ticket, CRASHING, &incarnation);
        send(&mut vm, 0, ticket + 1, HARMLESS, &incarnation);
        end(&mut vm, 1, ticket, End::Lost);
        end(&mut vm, 1, ticket + 1, End::Lost);
        vm.on(at(2), Event::Died(incarnation));
    }
    let waits = [CRASHING, HARMLESS].map(|fingerprint| match vm.check(at(3), fingerprint, "a") {
        Decision::Refuse(wait) => wait,
        other => panic!("{other:?}"),
    });
    assert!(waits[0] != waits[1] && waits.iter().all(|wait| *wait <= 2 * DOUBLE));
    let incarnation = incarnation_of("a", 2);
    send(&mut vm, 61_000, 10, HARMLESS, &incarnation);
    end(&mut vm, 61_001, 10, End::Completed);
    assert_eq!(vm.check(at(61_002), HARMLESS, "a"), Decision::Allow);
    assert!(matches!(
        vm.check(at(61_002), CRASHING, "a"),
        Decision::Refuse(_)
    ));
}

#[test]
fn only_requests_in_flight_at_the_death_are_suspects() {
    let mut vm = Quarantine::default();
    let incarnation = incarnation_of("a", 1);
    let cases = [
        (10, Some(End::NotRun), 100, false),
        (11, Some(End::Completed), 100, false),
        (12, Some(End::Lost), 100, true),
        (13, None, 100, true),
        (14, Some(End::Lost), 6_000, false),
    ];
    for (fingerprint, ended, lead_ms, _) in cases {
        let ticket = u64::try_from(fingerprint).unwrap();
        send(&mut vm, 10_000 - lead_ms, ticket, fingerprint, &incarnation);
        if let Some(ended) = ended {
            end(&mut vm, 10_000 - lead_ms, ticket, ended);
        }
    }
    send(&mut vm, 10_000, 99, 15, &incarnation_of("b", 1));
    let suspects = vm.on(at(10_000), Event::Died(incarnation));
    for (fingerprint, _, _, expected) in cases {
        assert_eq!(
            suspects
                .iter()
                .any(|suspect| suspect.fingerprint == fingerprint),
            expected,
            "{fingerprint}"
        );
    }
    assert_eq!(vm.check(at(10_001), 15, "b"), Decision::Allow);
}

#[test]
fn suspicions_expire_and_memory_is_bounded() {
    let mut vm = Quarantine::default();
    let incarnation = incarnation_of("a", 1);
    send(&mut vm, 0, 1, CRASHING, &incarnation);
    vm.on(at(0), Event::Died(incarnation));
    assert_eq!(vm.check(at(30_000), CRASHING, "a"), Decision::RunAlone);
    assert_eq!(vm.check(at(0) + EXPIRY, CRASHING, "a"), Decision::Allow);
    for step in 0..40_000 {
        let suspect = Suspect {
            fingerprint: step,
            death: incarnation_of("a", 2),
            at: at(1),
            cleared: false,
        };
        vm.on(at(2), Event::Received(vec![suspect]));
    }
    assert!(vm.suspects().len() <= 16_384);
}

fn suspect() -> impl Strategy<Value = Suspect> {
    (0u128..4, 0u32..4, 0u64..100, any::<bool>()).prop_map(|(fingerprint, boot, ms, cleared)| {
        Suspect {
            fingerprint,
            death: incarnation_of("a", boot),
            at: at(ms),
            cleared,
        }
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn order_and_repetition_change_nothing(
        suspects in collection::vec(suspect(), 0..30),
        order in any::<u64>(),
    ) {
        let mut one = Quarantine::default();
        one.on(at(200), Event::Received(suspects.clone()));
        let mut other = Quarantine::default();
        // Rotates the suspects, and repeats them in reverse.
        let first = usize::try_from(order % 31).unwrap() % suspects.len().max(1);
        let reordered = suspects[first..].iter().chain(&suspects[..first]).chain(suspects.iter().rev());
        for suspect in reordered.cloned() {
            other.on(at(200), Event::Received(vec![suspect]));
        }
        for fingerprint in 0..4 {
            prop_assert_eq!(one.check(at(300), fingerprint, "a"), other.check(at(300), fingerprint, "a"));
        }
    }
}
