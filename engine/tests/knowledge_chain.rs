//! The age of what VMs know, as the sum of all links by which they hear of it, for up to 300 VMs.
//!
//! Guards against links that are bounded one by one and add up to more than the bound: the store's answer to the manager's
//! watch, the manager's lag, the exchange, and this VM's own question.

use std::time::Duration;

use bramleypier_engine::{
    fleet::{Confirmations, KnowledgeLimits},
    follow::Pace,
    peer::sync_interval,
};
use proptest::prelude::*;

/// The number of VMs, and the time within which changes must be in force among so many.
const FLEETS: [(usize, u64); 5] = [(1, 2000), (24, 2000), (88, 2500), (195, 3000), (300, 3000)];
/// How late a manager wakes up that still keeps up with hundreds of VMs.
const SMALL_LAG: Duration = Duration::from_millis(40);
/// The response time of a store that is well.
const STORE_TIME: Duration = Duration::from_millis(10);
/// How long an exchange takes at a manager with as many VMs as are simulated, per VM.
const EXCHANGE_TIME_PER_VM: Duration = Duration::from_micros(1300);
/// How long requests may be under way to their target.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the greatest age of the manager's knowledge when it reads the response to a watch.
fn oldest_at_manager() -> Duration {
    Pace::of_manager().max_age() + STORE_TIME
}

/// Returns the age of what is known when the response to a watch is read that follows one which told changes, `elapsed` after
/// it had begun.
fn age_after_changes(pace: Pace, elapsed: Duration) -> Duration {
    let read = elapsed + STORE_TIME;
    let begun = read + pace.delay(Some(read));
    begun + pace.wait(Some(begun)) + STORE_TIME
}

/// Guards against hundreds of VMs that call the store themselves, since their manager wakes up some milliseconds late.
#[test]
fn vms_rely_on_a_manager_that_lags_a_little() {
    for (vms, bound) in FLEETS.into_iter().filter(|it| it.0 > 100) {
        let limits = KnowledgeLimits::new(ms(bound));
        let interval = sync_interval::next_interval(true, vms, SMALL_LAG);
        let max_interval = sync_interval::max_interval(limits, false);
        assert!(interval <= max_interval, "{vms} VMs: {interval:?}");
    }
}

/// Guards against VMs that give up a manager which responds in time, and call the store: hundreds in each second.
#[test]
fn vms_rely_on_a_manager_that_follows_the_store() {
    for (vms, bound) in FLEETS {
        let limits = KnowledgeLimits::new(ms(bound));
        let interval = sync_interval::next_interval(true, vms, Duration::ZERO);
        let took = EXCHANGE_TIME_PER_VM * u32::try_from(vms).unwrap();
        let age = oldest_at_manager();
        let reliance = sync_interval::reliance(interval, took, Some(age), limits);
        assert!(
            reliance >= took + interval + took,
            "{vms} VMs: {reliance:?}"
        );
    }
}

proptest! {
    /// Guards against VMs that follow the store and wait for longer than their knowledge may grow old: the others give up such
    /// a manager, and any other VM has to ask them all the while.
    #[test]
    fn a_vm_hears_from_the_store_before_its_knowledge_is_too_old(
        fleet in 0..FLEETS.len(),
        elapsed in 0_u64..=1000,
    ) {
        let limits = KnowledgeLimits::new(ms(FLEETS[fleet].1));
        let follower = Pace::of_follower(limits);
        for pace in [Pace::of_manager(), follower] {
            let age = age_after_changes(pace, ms(elapsed));
            prop_assert!(age <= pace.max_age() + STORE_TIME, "{age:?}");
        }
        prop_assert!(follower.max_age() + STORE_TIME < limits.ask_age());
    }

    /// Whatever each link takes, no request is sent, and no route denied, by what was accepted longer ago than the bound.
    #[test]
    fn the_sum_of_all_links_is_bounded(
        fleet in 0..FLEETS.len(),
        lag in 0_u64..2000,
        took in 0_u64..3000,
        manager_age in 0_u64..5000,
        waited in 0_u64..5000,
    ) {
        let (vms, bound) = FLEETS[fleet];
        let limits = KnowledgeLimits::new(ms(bound));
        let manager = Confirmations::new(limits);
        manager.add_by_store(Duration::ZERO);
        let sent = ms(manager_age);
        let vm = Confirmations::new(limits);
        vm.add_by_store(Duration::ZERO);
        let heard = sent + ms(took);
        let interval = sync_interval::next_interval(true, vms, ms(lag));
        let mut relied_until = Duration::ZERO;
        if manager.is_by_store(sent) {
            let age = manager.age_by_store(sent);
            vm.add_by_manager(sent.saturating_sub(age.unwrap()), "vm-1");
            relied_until = sent + sync_interval::reliance(interval, ms(took), age, limits);
        }
        let now = heard + ms(waited);
        if now <= relied_until {
            prop_assert!(!vm.must_ask(now), "it relies on what it has to ask for");
        }
        if vm.freshness(now).is_usable() || vm.is_recent(now) {
            prop_assert!(now + DELIVERY_TIME <= ms(bound));
        }
    }
}
