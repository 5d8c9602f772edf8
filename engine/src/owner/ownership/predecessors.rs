//! Computes how long managers of earlier terms may still send grants, and how long such grants may be valid.

use std::time::Duration;

use super::{MAX_GRANT_DELAY, Timing};
use crate::owner::{range_state::worst_case_duration, record::Record};

/// The times until which managers of earlier terms may send grants, and until which those grants may be valid.
#[derive(Clone, Copy, Debug)]
pub(super) struct Predecessors {
    sends_until: Duration,
    grants_until: Duration,
    /// Whether the previous manager knew that all managers before it had stopped.
    settled: bool,
    outage_duration: Duration,
}

impl Predecessors {
    /// Computes both times from the record of the previous manager.
    pub(super) fn from_record(record: &Record, timing: Timing, now: Duration) -> Self {
        let first = record.term == 0;
        let settled = first || record.settled;
        let stopped = first || record.resigned && settled;
        let latest = now + timing.latest_expiry;
        let grants_until = if first {
            now
        } else if stopped {
            now + worst_case_duration(timing.outage_duration)
        } else {
            latest
        };
        Self {
            sends_until: if stopped { now } else { latest },
            grants_until,
            settled,
            outage_duration: timing.outage_duration,
        }
    }

    /// Computes both times for managers of which no record tells.
    ///
    /// The store has lost their leases, which they may still take for valid.
    pub(super) fn unknown(timing: Timing, now: Duration) -> Self {
        let latest = now + timing.lease + timing.latest_expiry;
        Self {
            sends_until: latest,
            grants_until: latest,
            settled: false,
            outage_duration: timing.outage_duration,
        }
    }

    /// Records that the previous manager has stopped sending.
    ///
    /// Managers before that one may still send, unless it had recorded that they had stopped.
    pub(super) fn on_stopped(&mut self, now: Duration) {
        if !self.settled {
            return;
        }
        let last = now + MAX_GRANT_DELAY;
        self.sends_until = self.sends_until.min(last);
        self.grants_until = self
            .grants_until
            .min(last + worst_case_duration(self.outage_duration));
    }

    /// Returns whether all managers of earlier terms have stopped sending grants.
    pub(super) fn have_stopped(&self, now: Duration) -> bool {
        now >= self.sends_until
    }

    /// Returns when the last grant of these managers has expired.
    pub(super) fn latest_expiry(&self) -> Duration {
        self.grants_until
    }
}
