//! Partitions of VMs from all targets, and how callers were served meanwhile.

use std::time::Duration;

use super::{POLL_INTERVAL, Run};
use crate::{
    check::{self, Observations, Outcome, PartitionOutcome},
    plan::VmSet,
    proxy::Cut,
};

/// A time in which some VMs were partitioned from all targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionTime {
    vms: VmSet,
    from: Duration,
    to: Duration,
}

impl PartitionTime {
    fn contains(&self, vm: usize) -> bool {
        self.vms & (1 << vm) != 0
    }
}

impl Run {
    /// Partitions some VMs from all targets for a time, also the processes that they start meanwhile.
    pub(super) async fn partition(&self, vms: VmSet, cut: Cut, duration: Duration) {
        let from = self.clock.now();
        let time = PartitionTime {
            vms,
            from,
            to: from + duration,
        };
        // What targets say may not arrive.
        let slots = self.cluster.borrow().slots.len();
        for slot in 0..slots {
            self.disturb_path(slot, time.from, time.to);
        }
        let mut processes = Vec::new();
        while self.clock.now() < time.to {
            for process in self.running_processes(&time) {
                if !processes.contains(&process) {
                    self.cluster.borrow().partition.set(process, Some(cut));
                    processes.push(process);
                }
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
        for process in processes {
            self.cluster.borrow().partition.set(process, None);
        }
        self.partitions.borrow_mut().push(time);
    }

    /// Returns the ids of the processes of the VMs that a partition concerns.
    fn running_processes(&self, time: &PartitionTime) -> Vec<u32> {
        let cluster = self.cluster.borrow();
        let vms = cluster.vms.iter().filter(|vm| time.contains(vm.number));
        let programs = vms.filter_map(|vm| vm.program.as_ref());
        programs.map(|program| program.child.id()).collect()
    }

    /// Records how callers were served during partitions, at VMs that nothing else disturbed.
    pub(super) fn note_partitions(&self, observations: &mut Observations) {
        for time in self.partitions.borrow().iter() {
            let mut outcome = PartitionOutcome::default();
            for request in &observations.requests {
                let counted = (time.from + check::STABILITY..time.to).contains(&request.sent)
                    && self.is_undisturbed(request.vm, time.from, request.sent);
                if !counted {
                    continue;
                }
                let tally = if time.contains(request.vm) {
                    &mut outcome.partitioned
                } else {
                    &mut outcome.others
                };
                tally.sent += 1;
                tally.served += usize::from(matches!(
                    request.outcome,
                    Outcome::Answered {
                        status: 200,
                        valid: true
                    }
                ));
            }
            observations.partitions.push(outcome);
        }
    }
}
