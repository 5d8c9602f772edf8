//! The manager's losses: of the store, of a target, and of itself.

mod harness;

use std::time::{Duration, Instant};

use bramleypier_platform_standin::{server::Fault, store};
use bramleypier_util::clock::Clock;
use harness::{PATIENCE, Stage, play};
use hyper::StatusCode;
use rustix::process::Signal;

/// How long keys may be without an owner when the process of a target ends.
const ENDED: Duration = Duration::from_secs(1);
/// The key that the stage's requests carry.
const KEY: u64 = 777;

/// Asks until a key's request is answered, and tells how long that took.
async fn until_served(stage: &Stage, what: &str) -> Duration {
    let started = Instant::now();
    for number in 0.. {
        let id = format!("{what}-{number}");
        if stage.ask("GET", "/key/x", &id).await.0 == StatusCode::OK {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "{what}: never served");
        Clock::real().sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

fn holders(stage: &Stage) -> usize {
    let holds = stage.servers.iter().filter(|server| server.holds(KEY));
    holds.count()
}

#[test]
fn a_manager_whose_lease_ran_out_in_an_outage_goes_on_with_its_term() {
    play(async |stage| {
        until_served(&stage, "before").await;
        stage.store.set_fault(Some(store::Fault::Silent));
        // Longer than the lease of two seconds, which runs out in the store too.
        for number in 0..40 {
            let id = format!("away-{number}");
            let status = stage.ask("GET", "/key/x", &id).await.0;
            assert_eq!(status, StatusCode::OK, "{id}");
            Clock::real().sleep(Duration::from_millis(100)).await;
        }
        stage.store.set_fault(None);
        let end = Instant::now() + PATIENCE;
        while stage.program.find_log("event=service-kept").is_none() {
            assert!(Instant::now() < end, "the service is not kept");
            Clock::real().sleep(Duration::from_millis(50)).await;
        }
        until_served(&stage, "after").await;
        assert!(
            stage
                .program
                .find_log("event=takeover service=keyed term=2")
                .is_none()
        );
        assert_eq!(holders(&stage), 1);
    });
}

#[test]
fn the_keys_of_a_target_that_ends_move_at_once() {
    play(async |stage| {
        until_served(&stage, "before").await;
        // Until the first grants have been renewed, so that each connection is in use.
        Clock::real().sleep(Duration::from_millis(1500)).await;
        let owner = stage.servers.iter().find(|server| server.holds(KEY));
        owner.unwrap().stop();
        let took = until_served(&stage, "after").await;
        assert!(took < ENDED, "served again after {took:?}");
        assert_eq!(holders(&stage), 1);
        // Lines are written ten times a second, so the keys can be served before theirs is out.
        let end = Instant::now() + PATIENCE;
        while stage.program.find_log("event=target-closed").is_none() {
            assert!(Instant::now() < end, "nothing tells of the end");
            Clock::real().sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn a_grant_that_is_carried_out_late_makes_no_second_holder() {
    play(async |stage| {
        until_served(&stage, "before").await;
        let owner = stage.servers.iter().find(|server| server.holds(KEY));
        let owner = owner.unwrap();
        owner.set_fault(Some(Fault::LateGrants));
        // Long enough for a renewal to be under way, and short enough for it not to be done.
        Clock::real().sleep(Duration::from_millis(1800)).await;
        let key = format!("servers/{}", owner.id);
        stage.store.put(&key, &owner.entry("keyed", "draining"));
        let end = Instant::now() + Duration::from_secs(5);
        let mut moved = false;
        while Instant::now() < end {
            assert!(holders(&stage) <= 1, "two servers hold the key");
            moved |= !owner.holds(KEY) && holders(&stage) == 1;
            Clock::real().sleep(Duration::from_millis(10)).await;
        }
        assert!(moved, "the key stays with a server that leaves");
    });
}

#[test]
fn keys_are_served_again_after_the_manager_is_killed() {
    play(async |mut stage| {
        let second = harness::start_vm("vm-2", stage.store_address, Some(&stage.program));
        stage.until_ready_at(&second).await;
        until_served(&stage, "before").await;
        let first = std::mem::replace(&mut stage.program, second);
        assert!(first.find_log("event=manager-elected").is_some());
        drop(first);
        until_served(&stage, "after").await;
        let end = Instant::now() + PATIENCE;
        while stage
            .program
            .find_log("event=takeover service=keyed term=2")
            .is_none()
        {
            assert!(Instant::now() < end, "nobody takes over");
            Clock::real().sleep(Duration::from_millis(50)).await;
        }
        until_served(&stage, "taken-over").await;
        assert_eq!(holders(&stage), 1);
    });
}

/// When all VMs lost power, the manager's lease outlasted the outage by two seconds, in which nobody decided on
/// owners and nobody told VMs of the others' requests.
#[test]
fn a_vm_that_starts_again_ends_the_lease_of_its_process_before() {
    play(async |mut stage| {
        let start =
            |stage: &Stage| harness::start_vm_with("vm-1", stage.store_address, "lease_least = 5s");
        let mut took = Duration::ZERO;
        // The first has a lease that is shorter.
        for _ in 0..2 {
            stage.program.signal(Signal::KILL).unwrap();
            let killed = Instant::now();
            stage.program = start(&stage);
            while stage.program.find_log("event=manager-elected").is_none() {
                assert!(killed.elapsed() < PATIENCE, "nobody manages");
                Clock::real().sleep(Duration::from_millis(10)).await;
            }
            took = killed.elapsed();
        }
        assert!(took < Duration::from_secs(2), "nobody managed for {took:?}");
        until_served(&stage, "after").await;
        assert_eq!(holders(&stage), 1);
    });
}
