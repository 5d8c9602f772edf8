//! The steps of a plan, each carried out and undone.

use std::time::Duration;

use rustix::process::Signal;

use super::{Disturbed, LOOK, Run};
use crate::{
    fleet::Place,
    plan::{Fault, Step},
    proxy::Mode,
};

/// How long a process may take to stop.
const GRACE: Duration = Duration::from_secs(7);
/// The pause until a process that has ended is started again.
const RESTART: Duration = Duration::from_millis(300);
/// How long a target that leaves goes on, once it has said so.
const DRAIN: Duration = Duration::from_secs(3);

impl Run {
    /// Takes one step of the plan, and undoes what lasts.
    pub(super) async fn take(self, step: Step) {
        self.clock.sleep(step.at).await;
        let now = self.clock.now();
        let to = now + step.span;
        match step.fault {
            Fault::Kill(vm) => self.end(vm, Signal::KILL).await,
            Fault::Stop(vm) => self.end(vm, Signal::TERM).await,
            Fault::StopAll => {
                let vms = self.world.borrow().vms.len();
                for vm in 0..vms {
                    self.end(vm, Signal::TERM).await;
                }
            }
            Fault::Pause(vm) => {
                self.disturb(Some(vm), now, to);
                self.signal(vm, Signal::STOP);
                self.clock.sleep(step.span).await;
                self.signal(vm, Signal::CONT);
            }
            Fault::StorePath(vm, mode) => {
                self.disturb(Some(vm), now, to);
                let path = self.world.borrow().vms[vm].store.clone();
                path.set(mode);
                self.clock.sleep(step.span).await;
                path.set(Mode::Pass);
            }
            Fault::TargetPath(target, mode) => {
                let path = self.world.borrow().places[target].path.clone();
                path.set(mode);
                self.clock.sleep(step.span).await;
                path.set(Mode::Pass);
            }
            Fault::Store(fault) => {
                self.disturb(None, now, to);
                self.world.borrow().store.set_fault(Some(fault));
                self.clock.sleep(step.span).await;
                self.world.borrow().store.set_fault(None);
            }
            Fault::Lapse => {
                self.disturb(None, now, now);
                self.world.borrow().store.expire_leases();
            }
            Fault::Forget => {
                self.disturb(None, now, now);
                self.world.borrow().store.compact();
            }
            Fault::Configs(count) => {
                for _ in 0..count {
                    self.configure();
                    self.clock.sleep(5 * LOOK).await;
                }
            }
            Fault::Target(target, fault) => {
                let server = self.world.borrow().places[target].server.clone();
                server.set_fault(Some(fault));
                self.clock.sleep(step.span).await;
                server.set_fault(None);
            }
            Fault::TargetEnds(target) => self.replace(target, Duration::ZERO).await,
            Fault::TargetLeaves(target) => self.replace(target, DRAIN).await,
            Fault::Evacuate => self.evacuate(step.span).await,
            Fault::Cold(target) => self.chill(target).await,
        }
    }

    pub(super) fn disturb(&self, vm: Option<usize>, from: Duration, to: Duration) {
        self.disturbed.borrow_mut().push(Disturbed { vm, from, to });
    }

    fn signal(&self, vm: usize, signal: Signal) {
        if let Some(program) = &self.world.borrow().vms[vm].program {
            // A process that has ended meanwhile can't be told.
            let _ = program.signal(signal);
        }
    }

    /// Ends a VM's process and starts it again, unless another step does just that.
    async fn end(&self, vm: usize, signal: Signal) {
        let begun = self.clock.now();
        let Some(mut program) = self.world.borrow_mut().vms[vm].program.take() else {
            return;
        };
        let _ = program.signal(signal);
        while matches!(program.child.try_wait(), Ok(None)) && self.clock.now() < begun + GRACE {
            self.clock.sleep(LOOK).await;
        }
        let memory = self.world.borrow().vms[vm].memory();
        self.note_memory(vm, memory);
        self.world.borrow_mut().vms[vm].ended(&program);
        drop(program);
        self.clock.sleep(RESTART).await;
        if let Err(error) = self.world.borrow_mut().start(vm) {
            println!("event=start-failed {error}");
        }
        self.disturb(Some(vm), begun, self.clock.now());
    }

    /// Has another target take a target's place; the old one goes on for a while if it said that it leaves.
    async fn replace(&self, target: usize, drain: Duration) {
        let (service, zone, number) = {
            let mut world = self.world.borrow_mut();
            let number = world.next_target();
            let place = &world.places[target];
            (place.service, place.zone, number)
        };
        let Ok(mut place) = Place::start(service, zone, number).await else {
            return;
        };
        let gone = self.swap(target, &mut place, drain);
        self.clock.sleep(drain.max(RESTART)).await;
        let world = self.world.borrow();
        world.gone[gone].stop();
        world.store.remove(&place.key());
    }

    /// Announces a new target in a place, and has the old one, which is handed back, end or say that it leaves;
    /// returns its number among those that are gone.
    fn swap(&self, target: usize, place: &mut Place, drain: Duration) -> usize {
        let mut world = self.world.borrow_mut();
        world.store.put(&place.key(), &place.entry("ready"));
        std::mem::swap(&mut world.places[target], place);
        if drain.is_zero() {
            place.server.stop();
        } else {
            world.store.put(&place.key(), &place.entry("draining"));
        }
        world.gone.push(place.server.clone());
        world.gone.len() - 1
    }
}
