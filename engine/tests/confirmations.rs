//! How old a VM's knowledge of the store may be when it denies a route, and when it sends a request.

use std::time::Duration;

use bramleypier_engine::fleet::{Confirmations, Freshness, KnowledgeLimits, Source};
use proptest::{collection, prelude::*};

/// The time within which a configuration must be in force on all VMs after the store has accepted it.
const IN_FORCE: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against denials by a view that is 1.8 s old at the manager, and an exchange older at the VM that relies on it.
#[test]
fn what_a_manager_relays_is_as_old_as_its_own_knowledge() {
    let (manager, vm) = (Confirmations::default(), Confirmations::default());
    manager.add_by_store(ms(1000));
    let sent = ms(2700);
    let age = manager.age_by_store(sent).unwrap();
    vm.add_by_manager(sent.saturating_sub(age), "vm-1");
    let max_age = KnowledgeLimits::default().max_age();
    assert!(vm.is_recent(ms(1000) + max_age));
    assert!(!vm.is_recent(ms(1001) + max_age));
}

/// A failed watch says nothing about what was known before, but its VM can't vouch for others any more.
#[test]
fn a_vm_whose_watch_has_failed_vouches_for_nothing() {
    let vm = Confirmations::default();
    vm.add_by_store(ms(1000));
    vm.end_by_store();
    assert!(!vm.is_by_store(ms(1000)));
    assert_eq!(vm.age_by_store(ms(1000)), None);
    assert!(vm.is_recent(ms(1000)));
}

/// Exchanges overtake each other, and the manager changes.
#[test]
fn an_older_confirmation_replaces_no_newer_one() {
    let vm = Confirmations::default();
    vm.add_by_manager(ms(900), "vm-2");
    vm.add_by_manager(ms(400), "vm-1");
    let latest = vm.latest().unwrap();
    assert_eq!(latest.at, ms(900));
    assert_eq!(latest.source, Source::Manager("vm-2".to_owned()));
}

/// Guards against responses that count as news though they were on their way for long.
#[test]
fn a_response_to_a_watch_counts_from_when_the_store_can_have_made_it() {
    let vm = Confirmations::default();
    vm.add_by_watch(ms(1000), ms(400), false);
    assert_eq!(vm.latest().unwrap().at, ms(1400));
    vm.add_by_watch(ms(1500), ms(400), true);
    assert_eq!(vm.latest().unwrap().at, ms(1500));
}

/// Guards against requests that are in time when they are chosen, and late once a process that hardly runs has written them.
#[test]
fn a_process_whose_turns_come_late_uses_its_knowledge_for_less_long() {
    let vm = Confirmations::default();
    vm.add_by_vm(ms(0), "vm-2");
    for turn in 0..12 {
        vm.record_turn(ms(turn * 150));
    }
    assert!(vm.freshness(ms(1700)).is_usable());
    assert!(!vm.freshness(ms(1820)).is_usable());
}

/// Guards against a VM that goes by old knowledge since it was asleep while the answers came.
#[test]
fn an_inquiry_during_a_pause_proves_nothing() {
    let vm = Confirmations::default();
    vm.add_by_vm(ms(0), "vm-2");
    vm.ask_store(ms(3000));
    vm.record_turn(ms(4000));
    vm.record_turn(ms(4500));
    vm.end_inquiry(ms(4100), ms(4500));
    assert!(!vm.freshness(ms(4510)).is_usable());
    vm.record_turn(ms(4550));
    vm.end_inquiry(ms(4510), ms(4560));
    assert!(
        !vm.freshness(ms(4560)).is_usable(),
        "the store's answer may lie unread"
    );
    for turn in 92..99 {
        vm.record_turn(ms(turn * 50));
    }
    assert_eq!(vm.freshness(ms(4940)), Freshness::BestKnown);
}

/// A VM that the store doesn't answer has asked it, and others that answer know no more.
#[test]
fn what_nobody_knows_better_is_used_at_any_age() {
    let vm = Confirmations::default();
    vm.add_by_vm(ms(0), "vm-2");
    vm.ask_store(ms(1300));
    for at in (13..100).map(|it| ms(it * 100)) {
        vm.end_inquiry(at, at + ms(10));
        assert!(vm.freshness(at + ms(50)).is_usable(), "at {at:?}");
    }
}

/// One event in the life of what a VM knows.
#[derive(Clone, Copy, Debug)]
enum Step {
    Told { age: u64 },
    AskStore,
    Inquire { took: u64 },
    Pause { time: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u64..2500).prop_map(|age| Step::Told { age }),
        Just(Step::AskStore),
        (0_u64..400).prop_map(|took| Step::Inquire { took }),
        (1_u64..1500).prop_map(|time| Step::Pause { time }),
    ]
}

proptest! {
    /// Whatever happens, what is older than the bound is used only if the store was asked for a while in vain and an
    /// inquiry without news began lately, both by a process that was awake.
    #[test]
    fn no_old_knowledge_is_used_without_a_vain_inquiry(
        bound in 1000_u64..5000,
        steps in collection::vec((1_u64..300, step()), 0..60),
    ) {
        let limits = KnowledgeLimits::new(ms(bound));
        let vm = Confirmations::new(limits);
        vm.add_by_store(Duration::ZERO);
        // A process records its turns from its start on.
        vm.record_turn(Duration::ZERO);
        let (mut now, mut known) = (Duration::ZERO, Duration::ZERO);
        let (mut asked, mut inquired, mut woke) = (None, None, Duration::ZERO);
        for (wait, step) in steps {
            for _ in 0..wait / 50 {
                now += ms(50);
                vm.record_turn(now);
            }
            match step {
                Step::Told { age } => {
                    let at = now.saturating_sub(ms(age));
                    vm.add_by_vm(at, "vm-2");
                    known = known.max(at);
                }
                Step::AskStore => {
                    vm.ask_store(now);
                    asked.get_or_insert(now);
                }
                Step::Inquire { took } => {
                    let began = now;
                    for _ in 0..took / 50 {
                        now += ms(50);
                        vm.record_turn(now);
                    }
                    vm.end_inquiry(began, now);
                    inquired = Some(began);
                }
                Step::Pause { time } => {
                    now += ms(time);
                    vm.record_turn(now);
                    if time >= 200 {
                        woke = now;
                    }
                }
            }
            if vm.freshness(now).is_usable() && now.saturating_sub(known) > limits.max_age() {
                prop_assert!(asked.is_some_and(|it| now >= it + ms(400)));
                prop_assert!(inquired.is_some_and(|it| now <= it + ms(1500)));
                prop_assert!(now >= woke + ms(400));
            }
        }
    }

    /// Whatever confirmations arrive, and in whatever order, no VM denies a route that was in force two seconds before.
    #[test]
    fn nobody_denies_what_was_added_two_seconds_before(
        known in collection::vec((0_u64..10_000, any::<bool>()), 0..20),
        now in 0_u64..15_000,
    ) {
        let vm = Confirmations::default();
        let past = known.iter().filter(|it| it.0 <= now);
        for (at, by_store) in past.clone() {
            if *by_store {
                vm.add_by_store(ms(*at));
            } else {
                vm.add_by_manager(ms(*at), "vm-1");
            }
        }
        let newest = past.map(|it| it.0).max();
        let denies = vm.is_recent(ms(now));
        let added_since = newest.is_none_or(|at| ms(now) >= ms(at) + IN_FORCE);
        prop_assert!(!(denies && added_since));
    }
}
