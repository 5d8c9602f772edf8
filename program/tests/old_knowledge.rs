//! What VMs do while the chain by which they hear of changes is broken or slow, tested with real VMs and played ones.

mod harness;

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bramleypier_platform_standin::{server::Server, store::Store, vm::Program};
use bramleypier_soak::proxy::{Mode, Proxy};
use bramleypier_util::{client::Client, clock::Clock};
use compio::runtime::Runtime;
use harness::{
    Harness, REQUEST_TIME, config,
    played_vm::{self, PlayedVm},
    sleep_ms, start_vm, start_vm_with_figures, until_logged,
};
use hyper::StatusCode;

/// The time within which a change must be in force on all VMs.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How many VMs know nothing new; one other VM follows the store.
const IGNORANT_VMS: usize = 20;
/// How late a manager wakes up that VMs ask once in a second.
const MANAGER_LAG: Duration = Duration::from_millis(60);
/// How long the VM that the store doesn't hear has to find the one that follows it.
const SEARCH_MS: u64 = 5000;
/// The time between two requests.
const REQUEST_INTERVAL_MS: u64 = 50;
/// How many requests are sent after a change must be in force.
const LATE_REQUESTS: usize = 40;
/// How many of them a VM refuses that nobody answers, before it takes itself to be alone.
const UNANSWERED_REQUESTS: usize = 20;

/// The age of what a manager with 195 VMs knows just before the next response to its watch.
const KNOWN_AGE: Duration = Duration::from_millis(1100);
/// How long such a manager takes to respond.
const RESPONSE_DELAY: Duration = Duration::from_millis(250);

/// Runs a test while no other of this file runs.
fn run_alone<F>(test: F)
where
    F: AsyncFnOnce(),
{
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    Runtime::new().unwrap().block_on(test());
}

/// A VM that the store doesn't hear, behind a manager that has no news, among VMs of which one follows the store.
struct CutOff {
    harness: Harness,
    _follower: Option<Program>,
    _path: Proxy,
}

impl CutOff {
    async fn start() -> Self {
        Self::start_among(&PlayedVm::without_news()).await
    }

    /// Starts the VM among others that are played; if they respond, one more follows the store.
    async fn start_among(others: &PlayedVm) -> Self {
        let (store, store_address) = Store::start().await;
        let mut servers = Vec::new();
        for id in ["i-plain-1", "i-plain-2"] {
            let server = Server::start(id, false, REQUEST_TIME).await;
            store.put(&format!("servers/{id}"), &server.entry("plain", "ready"));
            servers.push(server);
        }
        let manager = PlayedVm::manager(Duration::ZERO);
        played_vm::announce_manager(&store, manager.start().await);
        let ignorant = others.start().await;
        for number in 0..IGNORANT_VMS {
            played_vm::announce(&store, &format!("vm-{}", number + 10), ignorant);
        }
        store.put("op/config", &config(1, "/key/"));
        let path = Proxy::start(store_address).unwrap();
        let follower = others
            .delay
            .is_zero()
            .then(|| start_vm("vm-2", store_address, None));
        if let Some(follower) = &follower {
            until_logged(follower, "event=manager-heard").await;
        }
        let harness = Harness {
            program: start_vm("vm-1", path.address, None),
            store,
            store_address,
            servers,
            client: Client::new(Clock::real(), 8),
        };
        harness.until_logged("event=manager-heard").await;
        path.set(Mode::Silent);
        manager.confirmed_age.set(None);
        manager.lag.set(MANAGER_LAG);
        if others.delay.is_zero() {
            sleep_ms(SEARCH_MS).await;
        }
        Self {
            harness,
            _follower: follower,
            _path: path,
        }
    }

    /// Sends requests until long after a change must be in force; returns the statuses of those sent later than that.
    async fn send_late_requests(&self, path: &str) -> Vec<StatusCode> {
        Clock::real().sleep(IN_FORCE).await;
        let mut statuses = Vec::new();
        for number in 0..LATE_REQUESTS {
            let id = format!("late-{number}");
            statuses.push(self.harness.send("GET", path, &id).await.0);
            sleep_ms(REQUEST_INTERVAL_MS).await;
        }
        statuses
    }
}

/// Guards against a VM that sends by whatever it knows since one other VM knows no more.
#[test]
fn a_vm_sends_to_a_target_that_left_because_one_other_vm_has_no_news() {
    run_alone(async || {
        let vm = CutOff::start().await;
        let leaving = &vm.harness.servers[0];
        let key = format!("servers/{}", leaving.id);
        vm.harness
            .store
            .put(&key, &leaving.entry("plain", "draining"));
        let statuses = vm.send_late_requests("/look/x").await;
        let late = leaving.arrivals();
        let late = late.iter().filter(|it| it.id.starts_with("late-"));
        assert_eq!(late.count(), 0, "{statuses:?}");
        assert!(statuses.contains(&StatusCode::OK), "{statuses:?}");
    });
}

/// Guards against a VM that goes by a configuration of any age since one other VM knows no more.
#[test]
fn a_vm_goes_by_a_configuration_that_was_replaced_because_one_other_vm_has_no_news() {
    run_alone(async || {
        let vm = CutOff::start().await;
        vm.harness.store.put("op/config", &config(2, "/second/"));
        let statuses = vm.send_late_requests("/key/x").await;
        let denied = statuses.iter().filter(|it| **it == StatusCode::NOT_FOUND);
        assert_eq!(denied.count(), LATE_REQUESTS, "{statuses:?}");
    });
}

/// Guards against a VM that takes the silence of others for their word that there are no news: its own link may be full.
#[test]
fn a_vm_that_nobody_answers_sends_by_old_knowledge() {
    run_alone(async || {
        let vm = CutOff::start_among(&PlayedVm {
            delay: harness::TEST_TIMEOUT,
            ..PlayedVm::without_news()
        })
        .await;
        let statuses = vm.send_late_requests("/look/x").await;
        let refused = [StatusCode::SERVICE_UNAVAILABLE; UNANSWERED_REQUESTS];
        assert_eq!(statuses[..UNANSWERED_REQUESTS], refused);
    });
}

/// Guards against hundreds of VMs that each ask the store in every second, though their manager responds in time.
#[test]
fn a_vm_gives_up_a_manager_whose_knowledge_is_well_within_the_bound() {
    run_alone(async || {
        let (store, store_address) = Store::start().await;
        let manager = PlayedVm::manager(RESPONSE_DELAY);
        manager.confirmed_age.set(Some(KNOWN_AGE));
        played_vm::announce_manager(&store, manager.start().await);
        store.put("servers/foreign", b"not an entry");
        store.put("op/config", &config(1, "/key/"));
        let figures = "grace=6s,retry-slack=60,drain=3000ms,config-apply=3000ms";
        let vm = start_vm_with_figures("vm-1", store_address, figures);
        until_logged(&vm, "event=manager-heard").await;
        sleep_ms(3000).await;
        assert_eq!(vm.find_log("event=manager-unheard"), None);
    });
}
