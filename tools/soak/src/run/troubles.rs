//! The troubles that only plans in the shape of a deployment have.

use std::time::Duration;

use bramleypier_platform_standin::vm::ListenAddresses;
use rustix::process::Signal;

use super::{POLL_INTERVAL, Run};
use crate::{
    deployment::SERVICES,
    fleet::{Replaced, TargetSlot},
    plan::{DeploymentFault, VmSet},
    proxy::Spoiling,
};

/// How much longer slow targets take.
const SLOW_FACTOR: u32 = 5;
/// For how long a slow VM is suspended at a time, and runs in between.
const SUSPENDED: Duration = Duration::from_millis(45);
const RUNNING: Duration = Duration::from_millis(10);
/// How long after the end of a target its entry leaves the store.
const ENTRY_TIME: Duration = Duration::from_secs(2);

impl Run {
    /// Starts a fault, and ends it after its duration.
    pub(super) async fn run_deployment_fault(&self, fault: DeploymentFault, duration: Duration) {
        match fault {
            DeploymentFault::Spoil(service, spoiling, percent) => {
                self.spoil(service, spoiling, percent, duration).await;
            }
            DeploymentFault::ResetConnections(vm, percent) => self.reset_connections(vm, percent),
            DeploymentFault::SlowTarget(target) => self.slow_target(target, duration).await,
            DeploymentFault::Unlisted(target) => self.unlist(target, duration).await,
            DeploymentFault::AddressReuse(target) => self.reuse_address(target, duration).await,
            DeploymentFault::Reload(vm) => self.signal(vm, Signal::HUP),
            DeploymentFault::Slow(vm) => self.slow_vm(vm, duration).await,
            DeploymentFault::KillSet(vms) => self.kill_set(vms, duration).await,
            DeploymentFault::Add(vm) => self.add_vm(vm),
            DeploymentFault::Move(vm) => self.move_vm(vm, duration).await,
            DeploymentFault::Press => self.press(duration).await,
            DeploymentFault::GiveUp => {
                self.callers.set_leaving(true);
                self.clock.sleep(duration).await;
                self.callers.set_leaving(false);
            }
            DeploymentFault::HotKey => {
                self.callers.set_hot(true);
                self.clock.sleep(duration).await;
                self.callers.set_hot(false);
            }
        }
    }

    /// Spoils a percentage of the responses of a service's targets for some time.
    async fn spoil(
        &self,
        service: &'static str,
        spoiling: Spoiling,
        percent: u8,
        duration: Duration,
    ) {
        self.set_spoiling(service, Some((spoiling, percent)));
        self.clock.sleep(duration).await;
        self.set_spoiling(service, None);
    }

    fn set_spoiling(&self, service: &str, spoiling: Option<(Spoiling, u8)>) {
        for slot in &self.cluster.borrow().slots {
            if slot.service == service {
                slot.proxy.set_spoiling(spoiling);
            }
        }
    }

    /// Resets a percentage of the connections to targets and to the store, and those of callers that no request uses.
    fn reset_connections(&self, vm: usize, percent: u8) {
        let now = self.clock.now();
        self.note_disturbance(None, now, now);
        let cluster = self.cluster.borrow();
        cluster.vms[vm].store.reset_connections(percent);
        for slot in &cluster.slots {
            slot.proxy.reset_connections(percent);
        }
        self.callers.reset_connections();
    }

    /// Makes a target slow for some time.
    async fn slow_target(&self, target: usize, duration: Duration) {
        let (server, time) = {
            let cluster = self.cluster.borrow();
            let slot = &cluster.slots[target];
            (slot.server.clone(), slot.work_time)
        };
        server.set_work_time(time * SLOW_FACTOR);
        self.clock.sleep(duration).await;
        server.set_work_time(time);
    }

    /// Removes the entry of a target that goes on serving, and puts it back.
    async fn unlist(&self, target: usize, duration: Duration) {
        let (key, entry, server) = {
            let cluster = self.cluster.borrow();
            let slot = &cluster.slots[target];
            cluster.store.remove(&slot.key());
            (slot.key(), slot.entry("ready"), slot.server.clone())
        };
        self.clock.sleep(duration).await;
        if !server.is_stopped() {
            self.cluster.borrow().store.put(&key, &entry);
        }
    }

    /// Ends a target, lets one of another service have its address after `duration`, and replaces it.
    async fn reuse_address(&self, target: usize, duration: Duration) {
        let (service, zone) = {
            let cluster = self.cluster.borrow();
            let slot = &cluster.slots[target];
            slot.server.crash();
            (slot.service, slot.zone)
        };
        let others = SERVICES.iter().map(|it| it.name);
        let other = others
            .into_iter()
            .find(|it| *it != service)
            .unwrap_or(service);
        let (starting, starting_other) = {
            let mut cluster = self.cluster.borrow_mut();
            (
                cluster.prepare_target(service),
                cluster.prepare_target(other),
            )
        };
        self.clock.sleep(duration).await;
        let (Ok(mut slot), Ok(next)) = (
            starting.start(zone, false).await,
            starting_other.start(zone, false).await,
        ) else {
            return;
        };
        let old_key = {
            let mut cluster = self.cluster.borrow_mut();
            cluster.store.put(&slot.key(), &slot.entry("ready"));
            std::mem::swap(&mut cluster.slots[target], &mut slot);
            cluster.replaced.push(Replaced {
                service: slot.service,
                server: slot.server.clone(),
            });
            slot.proxy.redirect(next.server.address);
            let next = TargetSlot {
                proxy: slot.proxy.clone(),
                ..next
            };
            cluster.store.put(&next.key(), &next.entry("ready"));
            cluster.slots.push(next);
            slot.key()
        };
        self.clock.sleep(ENTRY_TIME).await;
        self.cluster.borrow().store.remove(&old_key);
    }

    /// Lets a VM's process run in short pieces for some time.
    async fn slow_vm(&self, vm: usize, duration: Duration) {
        let from = self.clock.now();
        self.note_stop(vm, from, from + duration);
        while self.clock.now() < from + duration {
            self.signal(vm, Signal::STOP);
            self.clock.sleep(SUSPENDED).await;
            self.signal(vm, Signal::CONT);
            self.clock.sleep(RUNNING).await;
        }
    }

    /// Kills the processes of some VMs at once, and starts them again after some time.
    async fn kill_set(&self, set: VmSet, duration: Duration) {
        let from = self.clock.now();
        let vms = self.cluster.borrow().vms.len();
        let set: Vec<usize> = (0..vms).filter(|vm| set & (1 << vm) != 0).collect();
        let killed: Vec<usize> = set.into_iter().filter(|vm| self.kill(*vm)).collect();
        self.clock.sleep(duration).await;
        for vm in killed {
            self.start_again(vm);
            self.note_stop(vm, from, self.clock.now());
        }
    }

    /// Kills a VM's process, and starts another one at other addresses after some time.
    async fn move_vm(&self, vm: usize, duration: Duration) {
        let from = self.clock.now();
        if !self.kill(vm) {
            return;
        }
        self.clock.sleep(duration).await;
        let listen = ListenAddresses::on_free_ports();
        self.cluster.borrow_mut().vms[vm].listen = listen;
        self.callers.set_address(vm, listen.callers);
        self.start_again(vm);
        self.note_stop(vm, from, self.clock.now());
    }

    /// Starts a VM that has not run before.
    fn add_vm(&self, vm: usize) {
        let now = self.clock.now();
        self.start_again(vm);
        self.note_stop(vm, now, now);
    }

    /// Kills a VM's process and waits for its end; returns whether there was one.
    fn kill(&self, vm: usize) -> bool {
        let Some(mut program) = self.cluster.borrow_mut().vms[vm].program.take() else {
            return false;
        };
        let _ = program.child.kill();
        let _ = program.child.wait();
        self.cluster.borrow_mut().vms[vm].keep_log(&program);
        true
    }

    fn start_again(&self, vm: usize) {
        if let Err(error) = self.cluster.borrow_mut().start(vm) {
            println!("event=start-failed {error}");
        }
    }

    /// Adds pressing callers to all VMs for some time.
    async fn press(&self, duration: Duration) {
        let until = self.clock.now() + duration;
        for vm in &self.cluster.borrow().vms {
            self.callers.press(vm.number, vm.listen.callers, until);
        }
        while self.clock.now() < until {
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }
}
