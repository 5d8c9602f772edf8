//! A store that comes back from an older copy, tested with real VMs.

mod harness;

use std::time::{Duration, Instant};

use bramleypier_platform_standin::{
    server::Server,
    store::{self, Copy, config},
    vm::Program,
};
use bramleypier_util::clock::Clock;
use harness::{Harness, REQUEST_TIME, TEST_TIMEOUT, run_test};
use hyper::StatusCode;

/// The key of the harness's requests.
const KEY: u64 = 777;
/// The time within which a configuration that the store has accepted must be in force at each VM.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// How long the store is away: longer than the manager's lease of 1.2 s.
const OUTAGE: Duration = Duration::from_secs(2);
/// How long two owners of a key are looked for: longer than any grant.
const WATCH_TIME: Duration = Duration::from_secs(14);
/// The longest time for which two targets may hold a key.
const MAX_OVERLAP: Duration = Duration::from_millis(500);
/// The interval between two looks at the owners.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Ends the store for a moment.
async fn lose_store(harness: &Harness) {
    harness.store.set_fault(Some(store::Fault::Status(503)));
    Clock::real().sleep(OUTAGE).await;
}

/// Lets the store come back from an older copy, without leases.
fn come_back_from(harness: &Harness, copy: &Copy) {
    harness.store.come_back_from(copy);
    harness.store.expire_leases();
    harness.store.set_fault(None);
}

/// Waits until a request is served, and returns how long that took.
async fn until_served(harness: &Harness, vm: &Program, path: &str) -> Duration {
    let started = Instant::now();
    for number in 0.. {
        let id = format!("{path}-{number}");
        if harness.send_to(vm, "GET", path, &id).await.0 == StatusCode::OK {
            break;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{path} is never served");
        Clock::real().sleep(REQUEST_TIME).await;
    }
    started.elapsed()
}

/// Writes some keys, so that revisions grow.
fn write_keys(harness: &Harness, count: usize) {
    for number in 0..count {
        harness.store.put(&format!("other/{number}"), b"x");
    }
}

/// Checks that a configuration that is accepted now comes into force in time at each VM.
async fn check_config(harness: &Harness, vms: &[&Program], version: u32, prefix: &str) {
    harness.store.put("op/config", &config(version, prefix));
    let path = format!("{prefix}x");
    let accepted = Instant::now();
    for vm in vms {
        until_served(harness, vm, &path).await;
        let took = accepted.elapsed();
        assert!(took < CONFIG_TIME, "{path} is served after {took:?}");
    }
}

/// Guards against what is known by a revision that the store gives out again: every later change was taken for an older one.
#[test]
fn configurations_come_into_force_after_the_store_came_back_older() {
    run_test(async |harness| {
        let second = harness::start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&second).await;
        let vms = [&harness.program, &second];
        until_served(&harness, &second, "/key/x").await;
        let copy = harness.store.copy();
        write_keys(&harness, 60);
        check_config(&harness, &vms, 2, "/two/").await;
        lose_store(&harness).await;
        come_back_from(&harness, &copy);
        Clock::real().sleep(OUTAGE).await;
        check_config(&harness, &vms, 3, "/three/").await;
        // The revisions have passed those that were known before.
        write_keys(&harness, 80);
        check_config(&harness, &vms, 4, "/four/").await;
    });
}

/// Returns the servers that hold the key now.
fn holders(harness: &Harness) -> Vec<&Server> {
    let servers = harness.servers.iter();
    servers.filter(|server| server.holds(KEY)).collect()
}

/// Looks at the owners of the key for a while; two may hold it for a moment only.
async fn check_owners(harness: &Harness) {
    let end = Instant::now() + WATCH_TIME;
    let mut since: Option<Instant> = None;
    while Instant::now() < end {
        if holders(harness).len() > 1 {
            let overlap = since.get_or_insert_with(Instant::now).elapsed();
            assert!(overlap <= MAX_OVERLAP, "two targets hold the key");
        } else {
            since = None;
        }
        Clock::real().sleep(LOOK_INTERVAL).await;
    }
}

/// Moves the key to another owner, and returns the store's state from before the move.
async fn move_key(harness: &Harness) -> Copy {
    let copy = harness.store.copy();
    let owner = holders(harness).remove(0).clone();
    let entry = |state| owner.entry("keyed", state);
    let key = format!("servers/{}", owner.id);
    harness.store.put(&key, &entry("draining"));
    let end = Instant::now() + TEST_TIMEOUT;
    while owner.holds(KEY) || holders(harness).is_empty() {
        assert!(Instant::now() < end, "the key doesn't move");
        Clock::real().sleep(LOOK_INTERVAL).await;
    }
    harness.store.put(&key, &entry("ready"));
    copy
}

/// Guards against a takeover from a record that has lost the last moves.
#[test]
fn a_key_has_one_owner_when_the_next_manager_reads_an_older_record() {
    run_test(async |mut harness| {
        let second = harness::start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&second).await;
        until_served(&harness, &second, "/key/x").await;
        let copy = move_key(&harness).await;
        lose_store(&harness).await;
        let first = std::mem::replace(&mut harness.program, second);
        assert!(first.find_log("event=manager-elected").is_some());
        drop(first);
        come_back_from(&harness, &copy);
        check_owners(&harness).await;
        until_served(&harness, &harness.program, "/key/x").await;
    });
}

/// Guards against a new process that knows nothing but a record which has lost the last moves.
#[test]
fn a_key_has_one_owner_when_a_new_process_reads_an_older_record() {
    run_test(async |mut harness| {
        until_served(&harness, &harness.program, "/key/x").await;
        let copy = move_key(&harness).await;
        lose_store(&harness).await;
        drop(std::mem::replace(
            &mut harness.program,
            harness::start_vm("vm-2", harness.store_address, None),
        ));
        come_back_from(&harness, &copy);
        harness.until_ready().await;
        check_owners(&harness).await;
        until_served(&harness, &harness.program, "/key/x").await;
    });
}

/// Guards against a manager that takes its own lost record for another manager's.
#[test]
fn a_key_has_one_owner_and_is_served_when_the_manager_lives_through_it() {
    run_test(async |harness| {
        until_served(&harness, &harness.program, "/key/x").await;
        let copy = move_key(&harness).await;
        lose_store(&harness).await;
        come_back_from(&harness, &copy);
        check_owners(&harness).await;
        until_served(&harness, &harness.program, "/key/x").await;
        // It can still move keys.
        move_key(&harness).await;
        until_served(&harness, &harness.program, "/key/x").await;
    });
}
