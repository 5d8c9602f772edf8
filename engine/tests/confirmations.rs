//! How old a VM's knowledge of the store may be when it says that a route doesn't exist.

use std::time::Duration;

use bramleypier_engine::fleet::{CONFIRMATION_TIME, Confirmations, Source};
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
    assert!(vm.is_recent(ms(1000) + CONFIRMATION_TIME));
    assert!(!vm.is_recent(ms(1001) + CONFIRMATION_TIME));
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

proptest! {
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
