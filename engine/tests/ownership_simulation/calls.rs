//! Calls of managers to targets and to the store, and how they end.

use std::time::Duration;

use bramleypier_engine::owner::{
    ownership::{CallOutcome, OwnershipCommand},
    record::Record,
};
use rand::Rng;

use super::{Heard, TICK, TIMEOUT, World};

impl World {
    pub(super) fn answer(&mut self, vm: usize, delay: Duration, heard: Heard) {
        let Some(ownership) = &self.vms[vm].ownership else {
            return;
        };
        let term = ownership.term();
        let at = self.now + delay;
        self.vms[vm].heard.push((at, term, heard));
    }

    fn is_unanswered(&mut self) -> bool {
        self.random.random_range(0..100) < self.unanswered
    }

    /// How a call ends that doesn't arrive: on a cut path, or where nobody listens.
    fn unreached(&self, vm: usize, order: &OwnershipCommand) -> Option<(Duration, CallOutcome)> {
        if !self.targets.is_open(vm, &order.owner) {
            return Some((TIMEOUT, CallOutcome::Unsent));
        }
        let listens = self.targets.listens(&order.owner);
        (!listens).then_some((TICK, CallOutcome::Gone))
    }

    pub(super) fn grant(&mut self, vm: usize, order: &OwnershipCommand) -> (Duration, CallOutcome) {
        if let Some(failed) = self.unreached(vm, order) {
            return failed;
        }
        if self.is_unanswered() {
            let late = self.random.random_range(0..4) * Duration::from_millis(900);
            self.targets.grant_late(self.now, late, order);
            return (TIMEOUT, CallOutcome::Silent);
        }
        (TICK, self.targets.grant(self.now, order))
    }

    pub(super) fn release(
        &mut self,
        vm: usize,
        order: &OwnershipCommand,
    ) -> (Duration, CallOutcome) {
        if let Some(failed) = self.unreached(vm, order) {
            return failed;
        }
        self.targets.release(order);
        if self.is_unanswered() {
            return (TIMEOUT, CallOutcome::Silent);
        }
        (TICK * 2, CallOutcome::Done(None))
    }

    pub(super) fn commit(&mut self, vm: usize, record: Record) {
        let lost = self.random.random_range(0..100) < self.writes_lost;
        self.vms[vm].written = Some(record.clone());
        if !self.vms[vm].store {
            return self.answer(vm, TICK, Heard::Committed(false));
        }
        let expected = self.vms[vm].revision;
        if lost && self.random.random() {
            let late = self.now + TICK * self.random.random_range(1..60);
            self.late_writes.push((late, expected, record));
            return self.answer(vm, TIMEOUT, Heard::Committed(false));
        }
        let own = self.record.1 == record;
        if self.record.0 != expected && !own {
            self.vms[vm].ownership = None;
            return;
        }
        if !own {
            self.record = (self.record.0 + 1, record);
        }
        if lost {
            return self.answer(vm, TIMEOUT, Heard::Committed(false));
        }
        self.vms[vm].revision = self.record.0;
        self.answer(vm, TICK, Heard::Committed(true));
    }

    pub(super) fn apply_late_writes(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.late_writes = later;
        for (_, expected, record) in due {
            if self.record.0 == expected {
                self.record = (expected + 1, record);
            }
        }
    }
}
