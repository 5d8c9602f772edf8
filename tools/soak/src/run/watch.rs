//! Observes the owners of keys, the processes and their logs while a run is in progress.
//!
//! It also decides whether a VM was undisturbed during some time, since some guarantees hold only then.

use std::time::Duration;

use bramleypier_platform_standin::vm::Program;
use indexmap::IndexMap;

use super::{Disturbance, POLL_INTERVAL, Run};
use crate::{check::InForce, fleet::KEYS};

/// The time after a disturbance during which its VM still counts as disturbed.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

impl Run {
    /// Records the peak memory of a VM's process, in bytes.
    pub(super) fn note_memory(&self, vm: usize, bytes: u64) {
        let mut observations = self.observations.borrow_mut();
        if observations.peak_memory.len() <= vm {
            observations.peak_memory.resize(vm + 1, 0);
        }
        observations.peak_memory[vm] = observations.peak_memory[vm].max(bytes);
    }

    /// Checks owners, processes and logs at intervals until the run is finished.
    pub(super) async fn watch(&self) {
        let mut since: IndexMap<u64, Duration> = IndexMap::new();
        let mut lines_read: IndexMap<(usize, usize), usize> = IndexMap::new();
        while !self.finished.get() {
            let now = self.clock.now();
            for key in KEYS {
                self.check_owners(now, key, &mut since);
            }
            let vms = self.cluster.borrow().vms.len();
            for vm in 0..vms {
                self.check_process(vm);
                self.check_log(now, vm, &mut lines_read);
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Records for how long a key has had two owners.
    fn check_owners(&self, now: Duration, key: u64, since: &mut IndexMap<u64, Duration>) {
        let cluster = self.cluster.borrow();
        let old_owners = cluster
            .replaced
            .iter()
            .filter(|it| it.server.holds(key))
            .count();
        if cluster.owners(key) + old_owners < 2 {
            since.shift_remove(&key);
            return;
        }
        let started = *since.entry(key).or_insert(now);
        let mut observations = self.observations.borrow_mut();
        let longest = observations.double_ownership.entry(key).or_default();
        *longest = (*longest).max(now.saturating_sub(started));
    }

    /// Records the memory of a VM's process, and that it has ended unexpectedly.
    fn check_process(&self, vm: usize) {
        let mut cluster = self.cluster.borrow_mut();
        let peak_memory = cluster.vms[vm].peak_memory();
        let has_ended = |program: &mut Program| matches!(program.child.try_wait(), Ok(Some(_)));
        if cluster.vms[vm].program.as_mut().is_some_and(has_ended) {
            let program = cluster.vms[vm].program.take();
            if let Some(program) = program {
                cluster.vms[vm].keep_log(&program);
            }
            self.observations.borrow_mut().crashed_vms.push(vm);
        }
        drop(cluster);
        self.note_memory(vm, peak_memory);
    }

    /// Records the configurations that came into force, from new lines of a VM's log.
    fn check_log(
        &self,
        now: Duration,
        vm: usize,
        lines_read: &mut IndexMap<(usize, usize), usize>,
    ) {
        let cluster = self.cluster.borrow();
        let start = cluster.vms[vm].starts();
        let Some(program) = &cluster.vms[vm].program else {
            return;
        };
        let Ok(lines) = program.lines.lock() else {
            return;
        };
        let next = lines_read.entry((vm, start)).or_default();
        for line in &lines[*next..] {
            let Some(version) = config_version(line) else {
                continue;
            };
            let accepted_at = self.accepted_at.borrow().get(&version).copied();
            let took = accepted_at.filter(|at| self.is_undisturbed(vm, *at, now));
            self.observations.borrow_mut().in_force.push(InForce {
                vm,
                start,
                version,
                took: took.map(|at| now.saturating_sub(at)),
            });
        }
        *next = lines.len();
    }

    /// Returns whether neither the VM nor the store was disturbed between `from` and `to`, nor shortly before.
    pub(super) fn is_undisturbed(&self, vm: usize, from: Duration, to: Duration) -> bool {
        let all = self.disturbances.borrow();
        let overlaps = |it: &Disturbance| it.from <= to && it.to + RECOVERY_TIME >= from;
        let affects = |it: &Disturbance| it.vm.is_none_or(|other| other == vm);
        !all.iter().any(|it| overlaps(it) && affects(it))
    }
}

/// Returns the version of the configuration that a log line reports as in force.
fn config_version(line: &str) -> Option<u32> {
    let (_, rest) = line.split_once("event=config-in-force version=")?;
    rest.split_whitespace().next()?.parse().ok()
}
