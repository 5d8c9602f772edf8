//! The beginning and the planned end of a term.

use std::time::Duration;

use indexmap::IndexMap;

use super::{
    Effect, Memory, RETRY_DELAY, ServiceOwnership, Timing, commit, commit::PendingCommit,
    fencing::Fencing, moves::Schedule, predecessors::Predecessors,
};
use crate::{
    owner::{load::Load, record::Record},
    store::Era,
};

impl ServiceOwnership {
    /// Takes a service over from the manager that wrote the record `earlier`.
    ///
    /// The first effect writes the record of the new term; nothing is granted until
    /// [`Event::Committed`](super::Event::Committed).
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn take_over(
        manager: &str,
        earlier: Record,
        timing: Timing,
        now: Duration,
    ) -> (Self, Vec<Effect>) {
        let era = earlier.era();
        Self::take_over_in_era(manager, earlier, era, &Memory::default(), timing, now)
    }

    /// Takes a service over in an era of the store, which may be later than that of the record `earlier`.
    ///
    /// If it is later, the record may have lost the last moves, and other managers may have written records that are gone.
    /// So the record of the new term is written only once all targets have released what it doesn't give them: whoever
    /// reads a record of this era can rely on it.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::{
    ///     ownership::{Memory, ServiceOwnership, Timing},
    ///     record::{self, Record},
    /// };
    ///
    /// let second = Duration::from_secs(1);
    /// let timing = Timing {
    ///     lease: second,
    ///     grant_duration: second,
    ///     outage_duration: second,
    ///     renew_interval: second,
    ///     latest_expiry: second,
    /// };
    /// let (record, memory) = (Record::unowned(99), Memory::default());
    /// let (ownership, effects) =
    ///     ServiceOwnership::take_over_in_era("vm-1", record, 2, &memory, timing, second);
    /// assert_eq!((ownership.term(), effects), (record::first_term(2), vec![]));
    /// ```
    pub fn take_over_in_era(
        manager: &str,
        earlier: Record,
        era: Era,
        memory: &Memory,
        timing: Timing,
        now: Duration,
    ) -> (Self, Vec<Effect>) {
        let is_later = era > earlier.era();
        let is_first = earlier.term == 0;
        let earlier_managers = if is_later && !is_first {
            Predecessors::unknown(timing, now)
        } else {
            Predecessors::from_record(&earlier, timing, now)
        };
        let record = Record {
            settled: earlier_managers.have_stopped(now),
            ..commit::successor(earlier, manager, era)
        };
        let pending = PendingCommit {
            record: record.clone(),
            fence: 0,
            moves: Vec::new(),
            takeover: true,
        };
        let ownership = Self {
            timing,
            record: Record::default(),
            pending: Some(pending),
            commit_retry_at: None,
            commit_backoff: RETRY_DELAY,
            lease_until: now,
            predecessors: earlier_managers,
            fencing: is_later.then(|| Fencing::new(now, &record, memory, earlier_managers)),
            states: IndexMap::new(),
            targets: IndexMap::new(),
            avoided: IndexMap::new(),
            warming: IndexMap::new(),
            load: Load::default(),
            service_times: IndexMap::new(),
            rate_limits: IndexMap::new(),
            refusing: IndexMap::new(),
            started_at: now,
            schedule: Schedule::new(now),
            handled_at: now,
            suspended_at: None,
            lease_span: Duration::ZERO,
            stopped: false,
        };
        let effects = if is_later {
            Vec::new()
        } else {
            vec![Effect::Commit(record)]
        };
        (ownership, effects)
    }

    /// Stops for good, and returns the record that states this if it can be written now.
    ///
    /// After this no grant is sent, and the next manager need not wait for this one.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn resign(&mut self, now: Duration) -> Option<Record> {
        self.stopped = true;
        if self.pending.is_some() || self.states.values().any(|state| state.in_flight) {
            return None;
        }
        let mut record = self.record.clone();
        record.resigned = true;
        record.settled = self.predecessors.have_stopped(now);
        Some(record)
    }
}
