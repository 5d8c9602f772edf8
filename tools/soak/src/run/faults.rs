//! Runs the steps of a plan, and ends each fault after its duration.
//!
//! Steps run concurrently. Each one that affects a VM or the store records the time of the disturbance, in which some
//! guarantees don't hold.

use std::time::Duration;

use bramleypier_platform_standin::{server, store};
use rustix::process::Signal;

use super::{Disturbance, POLL_INTERVAL, Run};
use crate::{
    fleet::{Replaced, TargetSlot},
    plan::{Fault, Step, VmSet},
    proxy::Mode,
};

/// The time after which a process that has not stopped is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);
/// The pause before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The time from the announcement that a target is draining to its end.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(3);

impl Run {
    /// Runs one step of the plan at its time, and ends its fault after its duration.
    pub(super) async fn run_step(self, step: Step) {
        self.clock.sleep(step.at).await;
        let now = self.clock.now();
        let to = now + step.duration;
        match step.fault {
            Fault::Kill(vm) => self.restart(vm, Signal::KILL).await,
            Fault::Stop(vm) => self.restart(vm, Signal::TERM).await,
            Fault::StopAll => {
                let vms = self.cluster.borrow().vms.len();
                for vm in 0..vms {
                    self.restart(vm, Signal::TERM).await;
                }
            }
            Fault::Pause(vm) => {
                self.note_stop(vm, now, to);
                self.signal(vm, Signal::STOP);
                self.clock.sleep(step.duration).await;
                self.signal(vm, Signal::CONT);
            }
            Fault::StorePath(vm, mode) => {
                self.note_disturbance(Some(vm), now, to);
                let proxy = self.cluster.borrow().vms[vm].store.clone();
                proxy.set(mode);
                self.clock.sleep(step.duration).await;
                proxy.set(Mode::Pass);
            }
            Fault::TurnedAway(vms, mode) => {
                // These VMs don't count as disturbed: the others tell them what changes.
                self.set_store_paths(vms, mode);
                self.clock.sleep(step.duration).await;
                self.set_store_paths(vms, Mode::Pass);
            }
            Fault::TargetPath(target, mode) => {
                let proxy = self.disturb_path(target, now, to);
                proxy.set(mode);
                self.clock.sleep(step.duration).await;
                proxy.set(Mode::Pass);
            }
            Fault::Partition(vms, cut) => self.partition(vms, cut, step.duration).await,
            Fault::Store(fault) => {
                self.note_disturbance(None, now, to);
                self.cluster.borrow().store.set_fault(Some(fault));
                self.clock.sleep(step.duration).await;
                self.cluster.borrow().store.set_fault(None);
            }
            Fault::Lapse => {
                self.note_disturbance(None, now, now);
                self.cluster.borrow().store.expire_leases();
            }
            Fault::Forget => {
                self.note_disturbance(None, now, now);
                self.cluster.borrow().store.compact();
            }
            Fault::OlderStore(age) => self.come_back_older(age, step.duration).await,
            Fault::Configs(count) => {
                for _ in 0..count {
                    self.write_configuration();
                    self.clock.sleep(5 * POLL_INTERVAL).await;
                }
            }
            Fault::Target(target, fault) => {
                let server = self.cluster.borrow().slots[target].server.clone();
                server.set_fault(Some(fault));
                self.clock.sleep(step.duration).await;
                server.set_fault(None);
            }
            Fault::TargetRefuses(target) => self.refuse_all(target, to).await,
            Fault::TargetDown(target) => {
                self.cluster.borrow().slots[target].server.crash();
                self.clock.sleep(step.duration).await;
                self.replace(target, Duration::ZERO).await;
            }
            Fault::Quiet(vms) => {
                self.callers.set_quiet(vms);
                self.clock.sleep(step.duration).await;
                self.callers.end_quiet(vms);
            }
            Fault::TargetEnds(target) => self.replace(target, Duration::ZERO).await,
            Fault::TargetLeaves(target) => self.replace(target, DRAIN_TIME).await,
            Fault::TargetSaysLeaving(target) => self.leave_unannounced(target, step.duration).await,
            Fault::TargetHoldsOff(target) => self.hold_off(target, step.duration).await,
            Fault::Evacuate => self.evacuate(step.duration).await,
            Fault::Cold(target) => self.announce_cold(target).await,
            Fault::OfDeployment(fault) => self.run_deployment_fault(fault, step.duration).await,
        }
    }

    /// Sets the mode of the proxies between the VMs of a set and the store.
    fn set_store_paths(&self, set: VmSet, mode: Mode) {
        for vm in &self.cluster.borrow().vms {
            if set & (1 << vm.number) != 0 {
                vm.store.set(mode);
            }
        }
    }

    /// Makes the target of a slot refuse all requests for some time, and its replacements too.
    async fn refuse_all(&self, target: usize, to: Duration) {
        while self.clock.now() < to {
            let server = self.cluster.borrow().slots[target].server.clone();
            server.set_fault(Some(server::Fault::Refuse));
            self.clock.sleep(POLL_INTERVAL).await;
        }
        let server = self.cluster.borrow().slots[target].server.clone();
        server.set_fault(None);
    }

    /// Lets the store be away for some time, and come back from a copy that was made before.
    async fn come_back_older(&self, age: Duration, away: Duration) {
        let store = self.cluster.borrow().store.clone();
        let copy = store.copy();
        self.clock.sleep(age).await;
        let from = self.clock.now();
        store.set_fault(Some(store::Fault::Status(503)));
        self.clock.sleep(away).await;
        store.come_back_from(&copy);
        store.set_fault(None);
        // What was accepted since the copy was made counts from now on.
        self.note_disturbance(None, from.saturating_sub(age), self.clock.now());
    }

    pub(super) fn note_disturbance(&self, vm: Option<usize>, from: Duration, to: Duration) {
        self.disturbances
            .borrow_mut()
            .push(Disturbance { vm, from, to });
    }

    pub(super) fn signal(&self, vm: usize, signal: Signal) {
        if let Some(program) = &self.cluster.borrow().vms[vm].program {
            // The process may have ended meanwhile.
            let _ = program.signal(signal);
        }
    }

    /// Stops a VM's process and starts it again, unless another step is doing that already.
    async fn restart(&self, vm: usize, signal: Signal) {
        let started = self.clock.now();
        let Some(mut program) = self.cluster.borrow_mut().vms[vm].program.take() else {
            return;
        };
        let _ = program.signal(signal);
        while matches!(program.child.try_wait(), Ok(None))
            && self.clock.now() < started + STOP_TIMEOUT
        {
            self.clock.sleep(POLL_INTERVAL).await;
        }
        let peak_memory = self.cluster.borrow().vms[vm].peak_memory();
        self.note_memory(vm, peak_memory);
        self.cluster.borrow_mut().vms[vm].keep_log(&program);
        drop(program);
        self.clock.sleep(RESTART_DELAY).await;
        if let Err(error) = self.cluster.borrow_mut().start(vm) {
            println!("event=start-failed {error}");
        }
        self.note_stop(vm, started, self.clock.now());
    }

    /// Replaces a target. The old one keeps running for `drain` after it has announced that it is draining, or ends at
    /// once if `drain` is zero.
    pub(super) async fn replace(&self, target: usize, drain: Duration) {
        let (starting, zone, direct) = {
            let mut cluster = self.cluster.borrow_mut();
            let slot = &cluster.slots[target];
            let (service, zone, direct) = (slot.service, slot.zone, slot.direct);
            (cluster.prepare_target(service), zone, direct)
        };
        let started = starting.start(zone, direct).await;
        let Ok(mut slot) = started else {
            return;
        };
        let index = self.swap_slot(target, &mut slot, drain);
        self.clock.sleep(drain.max(RESTART_DELAY)).await;
        let cluster = self.cluster.borrow();
        cluster.replaced[index].server.stop();
        cluster.store.remove(&slot.key());
    }

    /// Puts a new target into a slot and announces it; `slot` holds the old target afterwards, which is stopped or
    /// announced as draining. Returns the index of the old target among the replaced ones.
    fn swap_slot(&self, target: usize, slot: &mut TargetSlot, drain: Duration) -> usize {
        let mut cluster = self.cluster.borrow_mut();
        cluster.store.put(&slot.key(), &slot.entry("ready"));
        std::mem::swap(&mut cluster.slots[target], slot);
        if drain.is_zero() {
            slot.server.stop();
        } else {
            cluster.store.put(&slot.key(), &slot.entry("draining"));
        }
        cluster.replaced.push(Replaced {
            service: slot.service,
            server: slot.server.clone(),
        });
        cluster.replaced.len() - 1
    }
}
