//! Requests that end the process of each target that runs them, tested with real VMs.

mod harness;

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use bramleypier_platform_standin::{
    server::{Fault, Server},
    vm::Program,
};
use bramleypier_util::clock::Clock;
use futures_util::future;
use harness::{Harness, REQUEST_TIME, TEST_TIMEOUT, run_test};
use hyper::StatusCode;

/// How many targets such a request may end before it counts.
const MAX_ENDED: usize = 3;
/// How long after the last of these it may still be sent.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How often it may be sent after that.
const MAX_SENT_LATER: usize = 3;
/// How long it is sent again and again.
const REPEAT_TIME: Duration = Duration::from_secs(8);
/// The interval at which its caller sends it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a target that has ended is away.
const AWAY_TIME: Duration = Duration::from_millis(400);
/// The start of the ids of such requests.
const PREFIX: &str = "crash-";

/// All targets of one service, which start again under other ids after they have ended.
struct Targets<'a> {
    harness: &'a Harness,
    service: &'static str,
    all: RefCell<Vec<Server>>,
}

impl<'a> Targets<'a> {
    fn new(harness: &'a Harness, service: &'static str) -> Self {
        let all = if service == "plain" {
            &harness.servers[..2]
        } else {
            &harness.servers[2..]
        };
        Self {
            harness,
            service,
            all: RefCell::new(all.to_vec()),
        }
    }

    /// Starts a target for each one that has ended, a moment later, until `end`.
    async fn replace(&self, end: Instant) {
        let mut replaced = 0;
        while Instant::now() < end {
            Clock::real().sleep(REQUEST_TIME).await;
            let servers = self.all.borrow().clone();
            let ended: Vec<_> = servers.iter().filter(|it| it.is_stopped()).collect();
            for server in &ended[replaced..] {
                Clock::real().sleep(AWAY_TIME).await;
                let id = format!("{}-again-{replaced}", server.id);
                self.harness.store.remove(&format!("servers/{}", server.id));
                let again = Server::start(&id, self.service == "keyed", REQUEST_TIME).await;
                let entry = again.entry(self.service, "ready");
                self.harness.store.put(&format!("servers/{id}"), &entry);
                self.all.borrow_mut().push(again);
                replaced += 1;
            }
        }
    }

    /// Sends a request that ends targets again and again, while these are replaced.
    async fn repeat(&self, vms: &[&Program], path: &str, name: &str, time: Duration) {
        let end = Instant::now() + time;
        let sending = send_again(self.harness, vms, path, name, end);
        future::join(sending, self.replace(end + AWAY_TIME)).await;
    }

    /// Returns when requests that end targets began to run, in order.
    fn crashes(&self) -> Vec<Duration> {
        let servers = self.all.borrow();
        let starts = servers.iter().flat_map(Server::request_starts);
        let crashes = starts.filter(|(id, _)| id.starts_with(PREFIX));
        let mut crashes: Vec<_> = crashes.map(|(_, at)| at).collect();
        crashes.sort();
        crashes
    }
}

/// Sends the same request to the VMs in turn, each time under another id.
async fn send_again(harness: &Harness, vms: &[&Program], path: &str, name: &str, end: Instant) {
    for (number, vm) in vms.iter().cycle().enumerate() {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{PREFIX}{name}-{number}");
        let (status, _) = harness.send_to(vm, "GET", path, &id).await;
        assert_ne!(status, StatusCode::OK);
        Clock::real().sleep(REPEAT_INTERVAL).await;
    }
}

/// Waits until an ordinary request is served.
async fn until_served(harness: &Harness, vm: &Program, path: &str) {
    let end = Instant::now() + TEST_TIMEOUT;
    for number in 0.. {
        let id = format!("ordinary-{number}");
        if harness.send_to(vm, "GET", path, &id).await.0 == StatusCode::OK {
            return;
        }
        assert!(Instant::now() < end, "{path} is not served");
        Clock::real().sleep(REQUEST_TIME).await;
    }
}

/// Checks that a request was sent hardly ever once it had ended three targets.
fn check_crashes(crashes: &[Duration]) {
    assert!(crashes.len() >= MAX_ENDED, "it has ended {crashes:?}");
    let settled = crashes[MAX_ENDED - 1] + SETTLING_TIME;
    let later = crashes.iter().filter(|at| **at > settled).count();
    assert!(later <= MAX_SENT_LATER, "{later} later of {crashes:?}");
}

/// Repeats a request that ends the targets of a service, at two VMs.
async fn check_service(harness: Harness, service: &'static str, folder: &str) {
    let second = harness::start_vm("vm-2", harness.store_address, Some(&harness.program));
    harness.until_ready_at(&second).await;
    let (ordinary, crashing) = (format!("{folder}x"), format!("{folder}crash"));
    until_served(&harness, &harness.program, &ordinary).await;
    let targets = Targets::new(&harness, service);
    let vms = [&harness.program, &second];
    targets.repeat(&vms, &crashing, "a", REPEAT_TIME).await;
    check_crashes(&targets.crashes());
    for vm in vms {
        until_served(&harness, vm, &ordinary).await;
    }
}

/// Guards against a request that ends one target after the other: each VM took it for a new one every time.
#[test]
fn a_request_that_ends_the_owners_of_its_key_is_refused() {
    run_test(async |harness| check_service(harness, "keyed", "/key/").await);
}

#[test]
fn a_request_that_ends_targets_without_keys_is_refused() {
    run_test(async |harness| check_service(harness, "plain", "/look/").await);
}

/// Guards against a request that is taken for harmless because a target failed at its deadline instead of ending.
#[test]
fn a_target_that_fails_acquits_no_request() {
    run_test(async |harness| {
        let targets = Targets::new(&harness, "plain");
        let vms = [&harness.program];
        let set_fault = |fault| {
            for server in targets.all.borrow().iter() {
                server.set_fault(fault);
            }
        };
        let end = Instant::now() + TEST_TIMEOUT;
        while targets.crashes().len() < MAX_ENDED - 1 {
            assert!(Instant::now() < end);
            targets
                .repeat(&vms, "/look/crash", "a", REPEAT_INTERVAL)
                .await;
        }
        set_fault(Some(Fault::Fail));
        let (status, _) = harness.send("GET", "/look/crash", "failed").await;
        assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
        set_fault(None);
        targets
            .repeat(&vms, "/look/crash", "b", REPEAT_TIME / 2)
            .await;
        assert_eq!(targets.crashes().len(), MAX_ENDED);
    });
}

/// Guards against VMs that forget with their processes what a request has done.
#[test]
fn a_request_that_ends_targets_is_refused_after_all_vms_have_restarted() {
    run_test(async |mut harness| {
        until_served(&harness, &harness.program, "/look/x").await;
        let targets = Targets::new(&harness, "plain");
        let vms = [&harness.program];
        targets
            .repeat(&vms, "/look/crash", "a", REPEAT_TIME / 2)
            .await;
        let all = targets.all.into_inner();
        harness.program = harness::start_vm("vm-1", harness.store_address, None);
        harness.until_ready().await;
        until_served(&harness, &harness.program, "/look/x").await;
        let targets = Targets {
            harness: &harness,
            service: "plain",
            all: RefCell::new(all),
        };
        let vms = [&harness.program];
        targets.repeat(&vms, "/look/crash", "b", REPEAT_TIME).await;
        check_crashes(&targets.crashes());
    });
}
