//! The number of calls that VMs make to the store, by kind of call.

mod harness;

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bramleypier_platform_standin::store::{Fault, Store};
use harness::{Harness, Program, config, run_test, sleep_ms, until_logged};
use hyper::StatusCode;

/// The time within which a configuration must be in force on all VMs after the store has accepted it.
const IN_FORCE: Duration = Duration::from_secs(2);
/// The number of VMs besides the first one.
const OTHER_VMS: usize = 3;
/// The least number of seconds between two renewals of a VM's entry while the VM is in contact with the manager.
const RENEWAL_INTERVAL_SECONDS: usize = 2;
/// How late watches are answered: so late that others begin beside them.
const LATE_RESPONSE: Duration = Duration::from_millis(1100);
/// A series of changes.
const CHANGES: u32 = 8;
const CHANGE_INTERVAL_MS: u64 = 500;
/// The most renewals per second by the manager, of its lease and its entry together.
const MANAGER_RENEWALS_PER_S: usize = 5;

/// Runs a test while no other of this file runs: on a loaded machine the store's stand-in would respond so late that the
/// manager loses its lease.
fn run_alone<F>(test: F)
where
    F: AsyncFnOnce(Harness),
{
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run_test(test);
}

fn watches(store: &Store) -> usize {
    store.count_calls(|it| it.starts_with("/-/kv-watch"))
}

/// Counts first pages only: the number of further pages depends on how much is stored.
fn listings(store: &Store) -> usize {
    store.count_calls(|it| it.starts_with("/-/kv-range") && !it.contains("after="))
}

fn renewals(store: &Store) -> usize {
    store.count_calls(|it| it.starts_with("/-/kv-keep"))
}

/// Starts the other VMs and waits until they are in contact with the manager.
async fn start_others(harness: &Harness) -> Vec<Program> {
    until_logged(&harness.program, "event=manager-elected").await;
    let mut others = Vec::new();
    for number in 0..OTHER_VMS {
        let name = format!("vm-{}", number + 2);
        let other = harness::start_vm(&name, harness.store_address, Some(&harness.program));
        harness.until_ready_at(&other).await;
        until_logged(&other, "event=manager-heard").await;
        others.push(other);
    }
    // By then the store calls caused by the new entries are done.
    sleep_ms(1000).await;
    others
}

async fn until_in_force(others: &[Program], version: u32) -> Duration {
    let started = Instant::now();
    for other in others {
        until_logged(other, &format!("event=config-in-force version={version}")).await;
    }
    started.elapsed()
}

/// Guards against every VM watching the configuration itself: that cost five watches per VM for four configurations
/// without any fault.
#[test]
fn only_the_manager_reads_a_new_configuration_from_the_store() {
    run_alone(async |harness| {
        let others = start_others(&harness).await;
        let before = watches(&harness.store);
        harness.store.put("op/config", &config(2, "/other/"));
        let took = until_in_force(&others, 2).await;
        assert!(took <= IN_FORCE, "in force after {took:?}");
        sleep_ms(500).await;
        let watched = watches(&harness.store) - before;
        assert!(
            watched < OTHER_VMS,
            "{watched} watches for one configuration"
        );
    });
}

/// Guards against a second, short watch after each change.
#[test]
fn a_manager_makes_two_watches_for_each_change() {
    run_alone(async |harness| {
        until_logged(&harness.program, "event=manager-elected").await;
        sleep_ms(1000).await;
        let before = watches(&harness.store);
        for version in 2..2 + CHANGES {
            harness.store.put("op/config", &config(version, "/other/"));
            sleep_ms(CHANGE_INTERVAL_MS).await;
        }
        let watched = watches(&harness.store) - before;
        let limit = usize::try_from(CHANGES * 3 / 2).unwrap();
        assert!(watched <= limit, "{watched} watches for {CHANGES} changes");
    });
}

/// Guards against watches that are abandoned once they are overdue, so that none of their late responses is ever read.
#[test]
fn watches_that_are_answered_late_are_abandoned() {
    run_alone(async |harness| {
        until_logged(&harness.program, "event=manager-elected").await;
        let late = Fault::LateWatches(LATE_RESPONSE);
        harness.store.set_fault(Some(late));
        sleep_ms(2500).await;
        for version in [2, 3, 4] {
            harness.store.put("op/config", &config(version, "/other/"));
            let accepted = Instant::now();
            let in_force = format!("event=config-in-force version={version}");
            until_logged(&harness.program, &in_force).await;
            let took = accepted.elapsed();
            // The bound is for a store that answers at once.
            let bound = IN_FORCE + LATE_RESPONSE;
            assert!(took <= bound, "version {version}: in force after {took:?}");
            sleep_ms(700).await;
        }
    });
}

/// Guards against frequent renewals of entries: in a run of 20 VMs without faults they were 1,087 of 1,624 calls to
/// the store.
#[test]
fn vms_in_contact_with_the_manager_renew_their_entries_rarely() {
    run_alone(async |harness| {
        let _others = start_others(&harness).await;
        let (renewed, watched) = (renewals(&harness.store), watches(&harness.store));
        let started = Instant::now();
        sleep_ms(6000).await;
        let seconds = usize::try_from(started.elapsed().as_secs()).unwrap() + 1;
        let renewed = renewals(&harness.store) - renewed;
        let limit = MANAGER_RENEWALS_PER_S * seconds
            + OTHER_VMS * seconds.div_ceil(RENEWAL_INTERVAL_SECONDS);
        assert!(renewed <= limit, "{renewed} renewals in {seconds} s");
        // Only the manager watches, and each of its watches waits for a second.
        let watched = watches(&harness.store) - watched;
        assert!(watched <= seconds, "{watched} watches in {seconds} s");
    });
}

#[test]
fn a_vm_lists_the_store_once_at_startup() {
    run_alone(async |harness| {
        until_logged(&harness.program, "event=manager-elected").await;
        let before = listings(&harness.store);
        let other = harness::start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&other).await;
        until_logged(&other, "event=manager-heard").await;
        sleep_ms(500).await;
        assert_eq!(listings(&harness.store) - before, 1);
    });
}

/// All other VMs rely on the manager to send them the configuration, so the manager is killed just before a new one
/// is accepted.
#[test]
fn a_configuration_is_in_force_in_time_when_the_manager_is_killed() {
    run_test(async |mut harness| {
        let mut others = start_others(&harness).await;
        let manager = std::mem::replace(&mut harness.program, others.remove(0));
        drop(manager);
        harness.store.put("op/config", &config(2, "/other/"));
        let took = until_in_force(&others, 2).await;
        assert!(took <= IN_FORCE, "in force after {took:?}");
        let end = Instant::now() + IN_FORCE;
        let mut number = 0;
        while harness
            .send("GET", "/other/x", &format!("id-{number}"))
            .await
            .0
            == StatusCode::NOT_FOUND
        {
            assert!(
                Instant::now() < end,
                "the new route is not in force in time"
            );
            number += 1;
            sleep_ms(50).await;
        }
    });
}

/// The manager's other calls are answered all the while, so nothing but its watch shows that it knows no news.
#[test]
fn a_configuration_is_in_force_in_time_when_the_response_to_a_watch_is_lost() {
    run_alone(async |harness| {
        let others = start_others(&harness).await;
        harness.store.withhold_watches();
        harness.store.put("op/config", &config(2, "/other/"));
        let accepted = Instant::now();
        let took = until_in_force(&others, 2).await;
        assert!(took <= IN_FORCE, "in force after {took:?}");
        until_logged(&harness.program, "event=config-in-force version=2").await;
        assert!(accepted.elapsed() <= IN_FORCE);
    });
}

/// The VM can't learn of the new route, and other calls to the store are answered.
#[test]
fn a_vm_whose_watches_get_no_response_denies_no_route() {
    run_alone(async |harness| {
        until_logged(&harness.program, "event=manager-elected").await;
        harness.store.set_fault(Some(Fault::SilentWatches));
        harness.store.withhold_watches();
        harness.store.put("op/config", &config(2, "/other/"));
        sleep_ms(2000).await;
        for number in 0..20 {
            let id = format!("id-{number}");
            let (status, _) = harness.send("GET", "/other/x", &id).await;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            sleep_ms(50).await;
        }
    });
}

/// The manager's renewals are answered, but it knows no more than the VMs that rely on it.
#[test]
fn a_manager_whose_watches_get_no_response_vouches_for_no_route() {
    run_alone(async |harness| {
        let others = start_others(&harness).await;
        harness.store.set_fault(Some(Fault::SilentWatches));
        harness.store.withhold_watches();
        harness.store.put("op/config", &config(2, "/other/"));
        sleep_ms(2500).await;
        for (number, vm) in others.iter().cycle().take(12).enumerate() {
            let id = format!("id-{number}");
            let (status, _) = harness.send_to(vm, "GET", "/other/x", &id).await;
            // A VM that heard the manager before its own first listing may list the store now.
            let listed = vm.find_log("event=config-in-force version=2").is_some();
            let expected = if listed {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            assert_eq!(status, expected);
        }
    });
}

/// Guards against stale listings: a store that had dropped its history served them with a state six seconds old, so
/// VMs kept an old configuration, lost their watch again, and listed the old state once more.
#[test]
fn listings_after_lost_history_are_never_stale() {
    run_alone(async |harness| {
        until_logged(&harness.program, "event=manager-elected").await;
        sleep_ms(1000).await;
        let stale_listing = |it: &str| it.starts_with("/-/kv-range") && it.contains("allow-stale");
        let before = harness.store.count_calls(stale_listing);
        let (listed, history) = (listings(&harness.store), "event=history-lost");
        // A change between two watches is lost with the history.
        harness.store.put("op/config", &config(2, "/other/"));
        harness.store.put("op/config", &config(3, "/other/"));
        harness.store.compact();
        until_logged(&harness.program, history).await;
        until_logged(&harness.program, "event=config-in-force version=3").await;
        assert_eq!(harness.store.count_calls(stale_listing), before);
        assert!(listings(&harness.store) > listed);
    });
}
