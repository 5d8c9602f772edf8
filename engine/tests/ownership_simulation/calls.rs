//! Simulated calls of managers to targets and to the store, and their outcomes.

use std::time::Duration;

use bramleypier_engine::owner::{
    ownership::{CallOutcome, OwnershipCommand},
    record::Record,
};
use rand::Rng;

use super::{Reply, Simulation, TICK, TIMEOUT};

impl Simulation {
    pub(super) fn reply_after(&mut self, vm: usize, delay: Duration, reply: Reply) {
        let Some(ownership) = &self.vms[vm].ownership else {
            return;
        };
        let term = ownership.term();
        let at = self.now + delay;
        self.vms[vm].replies.push((at, term, reply));
    }

    fn loses_answer(&mut self) -> bool {
        self.random.random_range(0..100) < self.unanswered_percent
    }

    /// The delay and outcome of a call that doesn't arrive: the link is cut, or no process listens at the address.
    fn undelivered(
        &self,
        vm: usize,
        command: &OwnershipCommand,
    ) -> Option<(Duration, CallOutcome)> {
        if !self.targets.is_linked(vm, &command.owner) {
            return Some((TIMEOUT, CallOutcome::Unsent));
        }
        let is_listening = self.targets.is_listening(&command.owner);
        (!is_listening).then_some((TICK, CallOutcome::Gone))
    }

    pub(super) fn grant(
        &mut self,
        vm: usize,
        command: &OwnershipCommand,
    ) -> (Duration, CallOutcome) {
        if let Some(failed) = self.undelivered(vm, command) {
            return failed;
        }
        if self.loses_answer() {
            let late = self.random.random_range(0..4) * Duration::from_millis(900);
            self.targets.grant_late(self.now, late, command);
            return (TIMEOUT, CallOutcome::Silent);
        }
        (TICK, self.targets.grant(self.now, command))
    }

    pub(super) fn release(
        &mut self,
        vm: usize,
        command: &OwnershipCommand,
    ) -> (Duration, CallOutcome) {
        if let Some(failed) = self.undelivered(vm, command) {
            return failed;
        }
        self.targets.release(command);
        if self.loses_answer() {
            return (TIMEOUT, CallOutcome::Silent);
        }
        (TICK * 2, CallOutcome::Done(None))
    }

    pub(super) fn commit(&mut self, vm: usize, record: Record) {
        let lost = self.random.random_range(0..100) < self.lost_writes_percent;
        self.vms[vm].last_write = Some(record.clone());
        if !self.vms[vm].store_open || self.vms[vm].era != self.era {
            return self.reply_after(vm, TICK, Reply::Committed(false));
        }
        let expected = self.vms[vm].revision;
        if lost && self.random.random() {
            let late = self.now + TICK * self.random.random_range(1..60);
            self.late_writes.push((late, expected, record));
            return self.reply_after(vm, TIMEOUT, Reply::Committed(false));
        }
        let already_written = self.record.1 == record;
        if self.record.0 != expected && !already_written {
            self.vms[vm].ownership = None;
            return;
        }
        if !already_written {
            self.store(record);
        }
        if lost {
            return self.reply_after(vm, TIMEOUT, Reply::Committed(false));
        }
        self.vms[vm].revision = self.record.0;
        self.reply_after(vm, TICK, Reply::Committed(true));
    }

    pub(super) fn apply_late_writes(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.late_writes = later;
        for (_, expected, record) in due {
            if self.record.0 == expected {
                self.store(record);
            }
        }
    }
}
