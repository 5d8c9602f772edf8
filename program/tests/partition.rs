//! VMs that are partitioned from all targets, while callers, the store and the other VMs reach them.

mod harness;

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bramleypier_platform_standin::{server::Server, store::Store};
use bramleypier_soak::proxy::{Cut, Partition, Proxy};
use bramleypier_util::{client::Client, clock::Clock};
use compio::runtime::Runtime;
use futures_util::{StreamExt, future, stream::FuturesUnordered};
use harness::{Harness, Program, REQUEST_TIME, config, start_vm};
use hyper::StatusCode;

/// The time after which callers of a partitioned VM are served like those of the others.
const STABILITY: Duration = Duration::from_secs(3);
/// The number of first attempts of callers at a VM.
const ATTEMPTS: usize = 40;
/// How many of them are sent at a time.
const CONCURRENCY: usize = 8;
/// The time between two requests while VMs find out that they are cut off.
const LOAD_INTERVAL: Duration = Duration::from_millis(25);
/// How many of them may fail: one in fifty, and ten.
const MAX_FAILED: usize = 10 + ATTEMPTS / 50;
/// The number of VMs; the first is the manager.
const VMS: usize = 4;

/// A fleet whose VMs reach the targets through proxies that can cut off single VMs.
struct Fleet {
    harness: Harness,
    others: Vec<Program>,
    partition: Partition,
}

impl Fleet {
    async fn start() -> Self {
        let (store, store_address) = Store::start().await;
        let partition = Partition::default();
        let mut servers = Vec::new();
        for (id, service) in [
            ("i-plain-1", "plain"),
            ("i-plain-2", "plain"),
            ("i-key-1", "keyed"),
            ("i-key-2", "keyed"),
        ] {
            let server = Server::start(id, service == "keyed", REQUEST_TIME).await;
            let proxy = Proxy::start_with(server.address, partition.clone()).unwrap();
            let entry = server.entry_at(proxy.address, service, "ready");
            store.put(&format!("servers/{id}"), &entry);
            servers.push(server);
        }
        store.put("op/config", &config(1, "/key/"));
        let program = start_vm("vm-1", store_address, None);
        let harness = Harness {
            store,
            store_address,
            servers,
            program,
            client: Client::new(Clock::real(), 64),
        };
        harness.until_ready().await;
        harness.until_logged("event=manager-elected").await;
        let mut others = Vec::new();
        for number in 2..=VMS {
            let name = format!("vm-{number}");
            let other = start_vm(&name, store_address, Some(&harness.program));
            harness.until_ready_at(&other).await;
            others.push(other);
        }
        let fleet = Self {
            harness,
            others,
            partition,
        };
        for number in 0..VMS {
            fleet.failed_at(number, "before").await;
        }
        fleet
    }

    fn vm(&self, number: usize) -> &Program {
        match number {
            0 => &self.harness.program,
            _ => &self.others[number - 1],
        }
    }

    fn cut(&self, vms: &[usize], cut: Option<Cut>) {
        for vm in vms {
            self.partition.set(self.vm(*vm).child.id(), cut);
        }
    }

    /// Sends a first attempt to a VM, and returns whether it was served.
    async fn is_served(&self, vm: usize, phase: &str, number: usize) -> bool {
        let kinds = [("GET", "/key/x"), ("GET", "/look/x"), ("POST", "/order/x")];
        let (method, path) = kinds[number % kinds.len()];
        let id = format!("{phase}-{vm}-{number}");
        let (status, _) = self.harness.send_to(self.vm(vm), method, path, &id).await;
        status == StatusCode::OK
    }

    /// Sends first attempts of each kind to a VM, some at a time, and returns how many weren't served.
    async fn failed_at(&self, vm: usize, phase: &str) -> usize {
        let mut failed = 0;
        for first in (0..ATTEMPTS).step_by(CONCURRENCY) {
            let batch = first..first + CONCURRENCY;
            let sent = batch.map(|number| self.is_served(vm, phase, number));
            let served = future::join_all(sent).await;
            failed += served.iter().filter(|it| !**it).count();
        }
        failed
    }

    /// Sends attempts to all VMs for [`STABILITY`], without waiting for the responses.
    async fn load(&self) {
        let clock = Clock::real();
        let end = clock.now() + STABILITY;
        let mut number = 0;
        let mut sent = FuturesUnordered::new();
        while clock.now() < end {
            sent.push(self.is_served(number % VMS, "load", number));
            number += 1;
            let next = Box::pin(clock.sleep(LOAD_INTERVAL));
            future::select(next, sent.by_ref().collect::<Vec<_>>()).await;
        }
    }

    /// Cuts off VMs, and checks that everyone's callers are served after [`STABILITY`].
    async fn check(&self, vms: &[usize], cut: Cut) {
        self.cut(vms, Some(cut));
        self.load().await;
        for vm in 0..VMS {
            let failed = self.failed_at(vm, &format!("{cut:?}")).await;
            if failed > MAX_FAILED {
                for line in self.vm(vm).lines.lock().unwrap().iter() {
                    println!("{line}");
                }
            }
            assert!(failed <= MAX_FAILED, "vm-{} failed {failed}", vm + 1);
        }
        self.cut(vms, None);
    }
}

fn run_test(vms: &'static [usize], cut: Cut) {
    // Cut connections are found in tables of the whole machine, which takes long while they are large.
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    Runtime::new().unwrap().block_on(async {
        Fleet::start().await.check(vms, cut).await;
    });
}

#[test]
fn callers_of_vms_whose_connections_to_targets_are_reset_are_served() {
    run_test(&[1, 2], Cut::Reset);
}

#[test]
fn callers_of_vms_whose_new_connections_to_targets_are_refused_are_served() {
    run_test(&[1, 2], Cut::RefuseNew);
}

#[test]
fn callers_of_vms_whose_connections_to_targets_hang_are_served() {
    run_test(&[1, 2], Cut::Hang);
}

#[test]
fn all_callers_are_served_while_the_manager_reaches_no_target() {
    run_test(&[0, 1], Cut::Reset);
}

#[test]
fn all_callers_are_served_while_the_managers_connections_to_targets_hang() {
    run_test(&[0, 1], Cut::Hang);
}
