//! The simulated store, which may come back older, and what VMs hear of it.

use bramleypier_engine::{
    catalogue::Target,
    owner::record::{Incarnation, Record},
};
use rand::Rng;

use super::{MEMORY, Simulation};

impl Simulation {
    /// Replaces the record by an older one, whose revision is given out again.
    pub(super) fn come_back(&mut self, lost: usize) {
        // A store without any record counts as new.
        let kept = self.history.len().saturating_sub(lost).max(2);
        self.history.truncate(kept);
        if let Some(record) = self.history.last() {
            self.record = (self.history.len() as u64, record.clone());
        }
        self.era += 1;
        self.lease = None;
        // A call that is under way when the store is lost has no effect.
        self.late_writes.clear();
        // Targets write their entries again.
        self.targets.announce_all();
    }

    /// Stores a record.
    pub(super) fn store(&mut self, record: Record) {
        self.history.push(record.clone());
        self.record = (self.history.len() as u64, record);
    }

    /// Lets a VM hear of the targets and, most of the time, of the newest record.
    pub(super) fn hear(&mut self, vm: usize, announced: &[Target]) {
        let now = self.now;
        let hears = self.vms[vm].store_open && self.random.random_bool(0.5);
        let era = self.era;
        let state = &mut self.vms[vm];
        state.followed_in.get_or_insert(era);
        for target in announced {
            state.seen.insert(Incarnation::of(target), now);
        }
        state.seen.retain(|_, at| now < *at + MEMORY);
        let is_newer = |known: &Record| known.is_older_than(&self.record.1);
        if hears && state.known.as_ref().is_none_or(is_newer) {
            state.known = Some(self.record.1.clone());
        }
    }
}
