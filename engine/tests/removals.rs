//! How long a VM keeps a target whose entry was removed while the VM's own calls to the store fail.

mod fleet_fixture;

use std::time::Duration;

use bramleypier_engine::fleet::{Fleet, KnowledgeLimits, SharedFleet};
use fleet_fixture::{TextCatalogue, put, removed, store_keys};
use proptest::prelude::*;

/// How often removals that are delayed are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long requests may be under way to their target.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates the view of a VM that knows one target, and that the store has told everything at zero.
fn vm_with_target(limits: KnowledgeLimits) -> SharedFleet {
    let vm = SharedFleet::new(limits);
    apply(&vm, Duration::ZERO, |fleet, now| {
        let change = put("targets/a", b"ready", 5);
        fleet.on_change(now, &change, &store_keys(), &TextCatalogue);
    });
    vm.confirmations().add_by_store(Duration::ZERO);
    vm
}

fn apply<F>(vm: &SharedFleet, now: Duration, change: F)
where
    F: FnOnce(&mut Fleet, Duration),
{
    vm.update(|fleet| change(fleet, now));
}

/// Removes the target at a VM whose call to the store failed at `failed`, and that hears of the removal at `heard`.
fn remove_target(vm: &SharedFleet, failed: Duration, heard: Duration) {
    apply(vm, failed, Fleet::on_store_failure);
    apply(vm, heard, |fleet, now| {
        let change = removed("targets/a", 6);
        fleet.on_change(now, &change, &store_keys(), &TextCatalogue);
    });
}

proptest! {
    /// Guards against targets that are kept as after an outage of the store, though only a call of this VM has failed.
    #[test]
    fn a_target_that_left_is_kept_beyond_the_bound(
        bound in 2000_u64..=3000,
        failed in 0_u64..3000,
        until_heard in 0_u64..1000,
    ) {
        let limits = KnowledgeLimits::new(ms(bound));
        let heard = ms(failed + until_heard);
        prop_assume!(heard <= limits.max_age());
        let vm = vm_with_target(limits);
        remove_target(&vm, ms(failed), heard);
        let end = ms(bound).saturating_sub(DELIVERY_TIME);
        let mut now = heard;
        while now + CHECK_INTERVAL <= end {
            now += CHECK_INTERVAL;
            apply(&vm, now, |fleet, now| {
                fleet.expire(now);
            });
        }
        prop_assert!(vm.get().targets.is_empty(), "it left after zero, and is kept at {end:?}");
    }
}

/// Guards against refusals after an outage, until targets have written their entries again.
#[test]
fn targets_that_vanish_in_a_long_outage_are_dropped_at_once() {
    let vm = vm_with_target(KnowledgeLimits::default());
    let heard = ms(5000);
    remove_target(&vm, ms(4500), heard);
    assert_eq!(vm.get().targets.len(), 1);
    apply(&vm, ms(6900), |fleet, now| {
        fleet.expire(now);
    });
    assert_eq!(vm.get().targets.len(), 1);
    apply(&vm, ms(7000), |fleet, now| {
        fleet.expire(now);
    });
    assert!(vm.get().targets.is_empty());
}
