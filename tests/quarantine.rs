//! Requests that kill their target, and those that stood beside them.

use std::time::Duration;

use bramleypier::quarantine::{
    DOUBLE, Decision, EXPIRY, End, Event, Incarnation, Quarantine, Suspect,
};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const KILLER: u128 = 1;
const INNOCENT: u128 = 2;

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

fn death(target: &str, boot: u32) -> Incarnation {
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
fn a_lone_killer_is_refused_everywhere_and_kills_twice_at_most() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    let mut deaths = 0;
    // Its caller sends it again every second for twenty minutes, to either VM in turn.
    for step in 0..1_200 {
        let now = step * 1_000;
        let vm = usize::try_from(step % 2).unwrap();
        if matches!(
            vms[vm].check(at(now), KILLER, "a"),
            Decision::Refuse(_) | Decision::Wait(_)
        ) {
            continue;
        }
        let on = death("a", deaths);
        send(&mut vms[vm], now, step, KILLER, &on);
        end(&mut vms[vm], now + 1, step, End::Lost);
        let news = vms[vm].on(at(now + 2), Event::Died(on));
        vms[1 - vm].on(at(now + 3), Event::Received(news));
        deaths += 1;
        if now < 600_000 {
            assert!(deaths <= 2, "{deaths} deaths by {now} ms");
        }
    }
    // Once the deaths have expired it may kill again, twice in each ten minutes.
    assert!(deaths <= 4, "{deaths}");
}

#[test]
fn an_innocent_runs_alone_and_is_cleared_everywhere() {
    let [mut here, mut there] = [Quarantine::default(), Quarantine::default()];
    let on = death("a", 1);
    send(&mut here, 0, 1, KILLER, &on);
    send(&mut there, 0, 1, INNOCENT, &on);
    let news = here.on(at(5), Event::Died(on.clone()));
    let more = there.on(at(6), Event::Died(on));
    here.on(at(7), Event::Received(more));
    there.on(at(7), Event::Received(news));
    for vm in [&here, &there] {
        assert_eq!(vm.check(at(10), INNOCENT, "b"), Decision::RunAlone);
        assert_eq!(vm.check(at(10), KILLER, "b"), Decision::RunAlone);
    }
    let next = death("b", 1);
    send(&mut here, 20, 2, INNOCENT, &next);
    assert!(matches!(here.check(at(21), KILLER, "b"), Decision::Wait(_)));
    assert_eq!(here.check(at(21), KILLER, "c"), Decision::RunAlone);
    let cleared = end(&mut here, 25, 2, End::Completed);
    assert_eq!(here.check(at(26), INNOCENT, "b"), Decision::Allow);
    there.on(at(27), Event::Received(cleared));
    assert_eq!(there.check(at(28), INNOCENT, "b"), Decision::Allow);
    // The killer's own turn is its second death, and its last.
    send(&mut here, 30, 3, KILLER, &next);
    let news = here.on(at(31), Event::Died(next));
    there.on(at(32), Event::Received(news));
    for vm in [&here, &there] {
        assert!(matches!(
            vm.check(at(40_000), KILLER, "c"),
            Decision::Refuse(_)
        ));
        assert_eq!(vm.check(at(40), INNOCENT, "c"), Decision::Allow);
    }
}

#[test]
fn two_that_stood_together_twice_are_tried_apart() {
    let mut vm = Quarantine::default();
    for boot in 0..2 {
        let on = death("a", boot);
        let ticket = u64::from(boot) * 2;
        send(&mut vm, 0, ticket, KILLER, &on);
        send(&mut vm, 0, ticket + 1, INNOCENT, &on);
        end(&mut vm, 1, ticket, End::Lost);
        end(&mut vm, 1, ticket + 1, End::Lost);
        vm.on(at(2), Event::Died(on));
    }
    let waits = [KILLER, INNOCENT].map(|fingerprint| match vm.check(at(3), fingerprint, "a") {
        Decision::Refuse(wait) => wait,
        other => panic!("{other:?}"),
    });
    assert!(waits[0] != waits[1] && waits.iter().all(|wait| *wait <= 2 * DOUBLE));
    let on = death("a", 2);
    send(&mut vm, 61_000, 10, INNOCENT, &on);
    end(&mut vm, 61_001, 10, End::Completed);
    assert_eq!(vm.check(at(61_002), INNOCENT, "a"), Decision::Allow);
    assert!(matches!(
        vm.check(at(61_002), KILLER, "a"),
        Decision::Refuse(_)
    ));
}

#[test]
fn only_what_was_at_the_target_is_suspect() {
    let mut vm = Quarantine::default();
    let on = death("a", 1);
    let cases = [
        (10, Some(End::NotRun), 100, false),
        (11, Some(End::Completed), 100, false),
        (12, Some(End::Lost), 100, true),
        (13, None, 100, true),
        (14, Some(End::Lost), 6_000, false),
    ];
    for (fingerprint, how, before, _) in cases {
        let ticket = u64::try_from(fingerprint).unwrap();
        send(&mut vm, 10_000 - before, ticket, fingerprint, &on);
        if let Some(how) = how {
            end(&mut vm, 10_000 - before, ticket, how);
        }
    }
    send(&mut vm, 10_000, 99, 15, &death("b", 1));
    let news = vm.on(at(10_000), Event::Died(on));
    for (fingerprint, _, _, expected) in cases {
        assert_eq!(
            news.iter().any(|item| item.fingerprint == fingerprint),
            expected,
            "{fingerprint}"
        );
    }
    assert_eq!(vm.check(at(10_001), 15, "b"), Decision::Allow);
}

#[test]
fn suspicions_expire_and_memory_is_bounded() {
    let mut vm = Quarantine::default();
    let on = death("a", 1);
    send(&mut vm, 0, 1, KILLER, &on);
    vm.on(at(0), Event::Died(on));
    assert_eq!(vm.check(at(30_000), KILLER, "a"), Decision::RunAlone);
    assert_eq!(vm.check(at(0) + EXPIRY, KILLER, "a"), Decision::Allow);
    for step in 0..40_000 {
        let item = Suspect {
            fingerprint: step,
            death: death("a", 2),
            at: at(1),
            cleared: false,
        };
        vm.on(at(2), Event::Received(vec![item]));
    }
    assert!(vm.items().len() <= 16_384);
}

fn item() -> impl Strategy<Value = Suspect> {
    (0u128..4, 0u32..4, 0u64..100, any::<bool>()).prop_map(|(fingerprint, boot, ms, cleared)| {
        Suspect {
            fingerprint,
            death: death("a", boot),
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
        items in collection::vec(item(), 0..30),
        order in any::<u64>(),
    ) {
        let mut one = Quarantine::default();
        one.on(at(200), Event::Received(items.clone()));
        let mut other = Quarantine::default();
        let turn = usize::try_from(order % 31).unwrap() % items.len().max(1);
        let turned = items[turn..].iter().chain(&items[..turn]).chain(items.iter().rev());
        for item in turned.cloned() {
            other.on(at(200), Event::Received(vec![item]));
        }
        for fingerprint in 0..4 {
            prop_assert_eq!(one.check(at(300), fingerprint, "a"), other.check(at(300), fingerprint, "a"));
        }
    }
}
