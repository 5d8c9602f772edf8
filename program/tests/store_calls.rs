//! What a fleet asks of the store: calls by kind, as a function of VMs and of what happens.

mod harness;

use std::time::{Duration, Instant};

use bramleypier_platform_standin::store::Store;
use bramleypier_util::clock::Clock;
use harness::{PATIENCE, Program, Stage, config, play};
use hyper::StatusCode;

/// How soon a configuration is to be in force on all VMs after the store has accepted it.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How many VMs there are beside the first.
const OTHERS: usize = 3;
/// How many seconds a VM that hears the manager has between two renewals of its entry, at the least.
const RENEWAL_SECONDS: usize = 2;
/// How often the manager may renew its lease and its entry in a second.
const MANAGER_RENEWALS: usize = 5;

fn watches(store: &Store) -> usize {
    store.count_calls(|it| it.starts_with("/-/kv-watch"))
}

/// First pages only: how many more there are depends on how much is stored.
fn listings(store: &Store) -> usize {
    store.count_calls(|it| it.starts_with("/-/kv-range") && !it.contains("after="))
}

fn renewals(store: &Store) -> usize {
    store.count_calls(|it| it.starts_with("/-/kv-keep"))
}

async fn pause(millis: u64) {
    Clock::real().sleep(Duration::from_millis(millis)).await;
}

async fn until_logged(program: &Program, part: &str) {
    let end = Instant::now() + PATIENCE;
    while program.find_log(part).is_none() {
        assert!(Instant::now() < end, "nothing logged of {part}");
        pause(20).await;
    }
}

/// Starts the other VMs and waits until they hear the manager.
async fn join(stage: &Stage) -> Vec<Program> {
    until_logged(&stage.program, "event=manager-elected").await;
    let mut others = Vec::new();
    for number in 0..OTHERS {
        let name = format!("vm-{}", number + 2);
        let other = harness::start_vm(&name, stage.store_address, Some(&stage.program));
        stage.until_ready_at(&other).await;
        until_logged(&other, "event=manager-heard").await;
        others.push(other);
    }
    // What each VM's entry has set off is over then.
    pause(1000).await;
    others
}

async fn until_in_force(others: &[Program], version: u32) -> Duration {
    let started = Instant::now();
    for other in others {
        until_logged(other, &format!("event=config-in-force version={version}")).await;
    }
    started.elapsed()
}

/// Five watches a VM were paid for on a quiet day with four configurations.
#[test]
fn a_configuration_is_asked_for_by_the_manager_alone() {
    play(async |stage| {
        let others = join(&stage).await;
        let before = watches(&stage.store);
        stage.store.put("op/config", &config(2, "/other/"));
        let took = until_in_force(&others, 2).await;
        assert!(took <= IN_FORCE, "in force after {took:?}");
        pause(500).await;
        let asked = watches(&stage.store) - before;
        assert!(asked < OTHERS, "{asked} watches for one configuration");
    });
}

/// Renewals of 20 VMs were 1,087 of 1,624 calls on a quiet day.
#[test]
fn vms_that_hear_the_manager_renew_their_entries_seldom() {
    play(async |stage| {
        let _others = join(&stage).await;
        let (renewed, watched) = (renewals(&stage.store), watches(&stage.store));
        let started = Instant::now();
        pause(6000).await;
        let seconds = usize::try_from(started.elapsed().as_secs()).unwrap() + 1;
        let renewed = renewals(&stage.store) - renewed;
        let most = MANAGER_RENEWALS * seconds + OTHERS * seconds.div_ceil(RENEWAL_SECONDS);
        assert!(renewed <= most, "{renewed} renewals in {seconds} s");
        assert!(watches(&stage.store) - watched <= 3, "nothing happened");
    });
}

#[test]
fn a_vm_lists_what_is_stored_once_when_it_starts() {
    play(async |stage| {
        until_logged(&stage.program, "event=manager-elected").await;
        let before = listings(&stage.store);
        let other = harness::start_vm("vm-2", stage.store_address, Some(&stage.program));
        stage.until_ready_at(&other).await;
        until_logged(&other, "event=manager-heard").await;
        pause(500).await;
        assert_eq!(listings(&stage.store) - before, 1);
    });
}

/// All VMs but the manager rest on its word, so it may be lost at the worst moment.
#[test]
fn a_configuration_is_in_force_in_time_though_the_manager_is_lost_just_then() {
    play(async |mut stage| {
        let mut others = join(&stage).await;
        let manager = std::mem::replace(&mut stage.program, others.remove(0));
        drop(manager);
        stage.store.put("op/config", &config(2, "/other/"));
        let took = until_in_force(&others, 2).await;
        assert!(took <= IN_FORCE, "in force after {took:?}");
        let end = Instant::now() + IN_FORCE;
        let mut number = 0;
        while stage
            .ask("GET", "/other/x", &format!("id-{number}"))
            .await
            .0
            == StatusCode::NOT_FOUND
        {
            assert!(Instant::now() < end, "a route is not known in time");
            number += 1;
            pause(50).await;
        }
    });
}

/// A store that has dropped its history answered old listings six seconds behind: VMs went on with an old
/// configuration, lost its watch again, and listed the old state anew.
#[test]
fn what_is_listed_after_history_was_lost_is_never_old() {
    play(async |stage| {
        until_logged(&stage.program, "event=manager-elected").await;
        pause(1000).await;
        let old = |it: &str| it.starts_with("/-/kv-range") && it.contains("allow-stale");
        let before = stage.store.count_calls(old);
        let (listed, history) = (listings(&stage.store), "event=history-lost");
        // A change between two watches is dropped with the history.
        stage.store.put("op/config", &config(2, "/other/"));
        stage.store.put("op/config", &config(3, "/other/"));
        stage.store.compact();
        until_logged(&stage.program, history).await;
        until_logged(&stage.program, "event=config-in-force version=3").await;
        assert_eq!(stage.store.count_calls(old), before);
        assert!(listings(&stage.store) > listed);
    });
}
