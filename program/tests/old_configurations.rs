//! Configurations that must be in force on VMs which neither the store nor their manager tells of them.

mod harness;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bramleypier_engine::fleet::Vm;
use bramleypier_platform_standin::store::Store;
use bramleypier_soak::proxy::{Mode, Proxy};
use bramleypier_util::{client::Client, clock::Clock};
use compio::runtime::Runtime;
use harness::{
    Harness, Program, TEST_TIMEOUT, config,
    played_vm::{self, MANAGER_KEY, PlayedVm},
    sleep_ms, start_vm, until_logged,
};
use hyper::StatusCode;

/// The time within which a configuration must be in force on all VMs after the store has accepted it.
const IN_FORCE: Duration = Duration::from_secs(2);
/// The number of VMs; the first is the manager.
const VMS: usize = 5;
/// How many VMs the store turns away, the manager first.
const TURNED_AWAY: usize = 2;
/// How late that manager wakes up.
const MANAGER_LAG: Duration = Duration::from_millis(60);

/// How late a manager with many VMs responds.
const RESPONSE_DELAY: Duration = Duration::from_millis(250);

/// VMs that reach the store through a proxy each.
struct Fleet {
    harness: Harness,
    others: Vec<Program>,
    store_paths: Vec<Proxy>,
}

impl Fleet {
    async fn start() -> Self {
        let (store, store_address) = Store::start().await;
        store.put("op/config", &config(1, "/key/"));
        store.put("servers/foreign", b"not an entry");
        let start_path = |_| Proxy::start(store_address).unwrap();
        let store_paths = (0..VMS).map(start_path).collect::<Vec<_>>();
        let harness = Harness {
            store,
            servers: Vec::new(),
            store_address,
            program: start_vm("vm-1", store_paths[0].address, None),
            client: Client::new(Clock::real(), 64),
        };
        harness.until_ready().await;
        harness.until_logged("event=manager-elected").await;
        let mut others = Vec::new();
        for (number, path) in store_paths.iter().enumerate().skip(1) {
            let name = format!("vm-{}", number + 1);
            let other = start_vm(&name, path.address, Some(&harness.program));
            harness.until_ready_at(&other).await;
            until_logged(&other, "event=manager-heard").await;
            others.push(other);
        }
        Self {
            harness,
            others,
            store_paths,
        }
    }

    /// Returns all VMs, the first manager first.
    fn vms(&self) -> impl Iterator<Item = &Program> {
        [&self.harness.program].into_iter().chain(&self.others)
    }

    /// Has the store accept a configuration; all VMs must have it in force in time.
    async fn change(&self, version: u32, prefix: &str) {
        let accepted = Instant::now();
        self.harness
            .store
            .put("op/config", &config(version, prefix));
        let event = format!("event=config-in-force version={version}");
        for (number, vm) in self.vms().enumerate() {
            while vm.find_log(&event).is_none() {
                let took = accepted.elapsed();
                let lines = vm.lines.lock().unwrap();
                assert!(
                    took <= IN_FORCE,
                    "{version} is not in force on vm-{}: {lines:#?}",
                    number + 1
                );
                drop(lines);
                sleep_ms(20).await;
            }
        }
    }

    /// Checks that a VM answers no request on a route that was dropped two seconds before.
    async fn expect_dropped(&self, vm: &Program, path: &str) {
        let (status, _) = self.harness.send_to(vm, "GET", path, "dropped").await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    }
}

/// Waits until no other test of this file runs.
fn take_turn() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a test while no other of this file runs: late responses would end the manager's lease.
fn run_alone<F>(test: F)
where
    F: AsyncFnOnce(Fleet),
{
    let _turn = take_turn();
    Runtime::new()
        .unwrap()
        .block_on(async { test(Fleet::start().await).await });
}

/// The store turns away the manager and one more VM, which must learn of changes, and of the next manager, from others.
async fn turn_away(fleet: Fleet, mode: Mode) {
    for path in &fleet.store_paths[..TURNED_AWAY] {
        path.set(mode);
    }
    sleep_ms(200).await;
    fleet.change(2, "/second/").await;
    let elected = |vm: &Program| vm.find_log("event=manager-elected").is_some();
    let end = Instant::now() + TEST_TIMEOUT;
    while !fleet.others.iter().any(elected) {
        assert!(Instant::now() < end, "no other VM becomes the manager");
        sleep_ms(50).await;
    }
    sleep_ms(1000).await;
    fleet.change(3, "/third/").await;
    for vm in fleet.vms() {
        fleet.expect_dropped(vm, "/second/x").await;
    }
}

/// The manager that the VMs know responds to them, but is turned away as well.
#[test]
fn vms_whose_calls_the_store_resets_go_on_with_an_old_configuration() {
    run_alone(async |fleet| turn_away(fleet, Mode::Reset).await);
}

/// The same with calls that get no response.
#[test]
fn vms_whose_calls_the_store_ignores_go_on_with_an_old_configuration() {
    run_alone(async |fleet| turn_away(fleet, Mode::Silent).await);
}

/// The head of the manager's response arrives and its end does not, so the exchange never ends.
#[test]
fn a_vm_relies_on_a_manager_whose_response_stops_midway() {
    run_alone(async |fleet| {
        let manager_path = Proxy::start(fleet.harness.program.peers).unwrap();
        let entry = fleet.harness.store.value(MANAGER_KEY).unwrap();
        let entry = Vm {
            address: manager_path.address,
            ..Vm::decode(&entry).unwrap()
        };
        fleet.harness.store.put(MANAGER_KEY, &entry.encode());
        // By then all VMs reach the manager through the proxy.
        sleep_ms(1000).await;
        manager_path.set(Mode::Stall);
        sleep_ms(300).await;
        fleet.change(2, "/second/").await;
        for vm in fleet.vms() {
            fleet.expect_dropped(vm, "/key/x").await;
        }
    });
}

/// Starts a VM whose manager, at `address`, is played by the test, and waits until it relies on it.
async fn start_vm_of_manager(address: SocketAddr) -> (Store, Program) {
    let (store, store_address) = Store::start().await;
    played_vm::announce_manager(&store, address);
    store.put("servers/foreign", b"not an entry");
    store.put("op/config", &config(1, "/key/"));
    let vm = start_vm("vm-1", store_address, None);
    until_logged(&vm, "event=manager-heard").await;
    (store, vm)
}

/// The time between two exchanges grows with the manager's lag, and so did the time after which a VM noticed its silence.
#[test]
fn a_vm_relies_for_too_long_on_a_manager_that_lagged_and_is_silent() {
    let _turn = take_turn();
    Runtime::new().unwrap().block_on(async {
        let manager = PlayedVm::manager(Duration::ZERO);
        let path = Proxy::start(manager.start().await).unwrap();
        let (store, vm) = start_vm_of_manager(path.address).await;
        manager.lag.set(MANAGER_LAG);
        // Long enough for a response that tells the lag, and shorter than the time until the exchange after it.
        sleep_ms(300).await;
        path.set(Mode::Silent);
        let accepted = Instant::now();
        store.put("op/config", &config(2, "/second/"));
        until_logged(&vm, "event=config-in-force version=2").await;
        let took = accepted.elapsed();
        assert!(took <= IN_FORCE, "in force after {took:?}");
    });
}

/// A manager with many VMs responds late, though it follows the store and each exchange succeeds.
#[test]
fn a_vm_gives_up_a_manager_between_two_exchanges_that_succeed() {
    let _turn = take_turn();
    Runtime::new().unwrap().block_on(async {
        let manager = PlayedVm::manager(RESPONSE_DELAY).start().await;
        let (_store, vm) = start_vm_of_manager(manager).await;
        sleep_ms(3000).await;
        assert_eq!(vm.find_log("event=manager-unheard"), None);
    });
}
