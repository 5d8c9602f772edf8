//! What managers of earlier terms may still do.

use std::time::Duration;

use super::{LAST_GRANTS, Timing};
use crate::owner::{range_state::lasting, record::Record};

/// Until when managers before this one may send grants, and until when those may hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Earlier {
    sends: Duration,
    holds: Duration,
    /// Whether the manager before this one knew that those before it had stopped.
    settled: bool,
    outage_duration: Duration,
}

impl Earlier {
    /// Judges by the record that the manager before this one left.
    pub(super) fn of(record: &Record, timing: Timing, now: Duration) -> Self {
        let first = record.term == 0;
        let settled = first || record.settled;
        let stopped = first || record.resigned && settled;
        let horizon = now + timing.latest_expiry;
        let holds = if first {
            now
        } else if stopped {
            now + lasting(timing.outage_duration)
        } else {
            horizon
        };
        Self {
            sends: if stopped { now } else { horizon },
            holds,
            settled,
            outage_duration: timing.outage_duration,
        }
    }

    /// Takes note that the manager before this one sends nothing any more.
    ///
    /// That says nothing of those before it, unless it had waited for them.
    pub(super) fn on_stopped(&mut self, now: Duration) {
        if !self.settled {
            return;
        }
        let last = now + LAST_GRANTS;
        self.sends = self.sends.min(last);
        self.holds = self.holds.min(last + lasting(self.outage_duration));
    }

    /// Returns whether none of them sends grants any more.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now >= self.sends
    }

    /// Returns until when grants of theirs may hold.
    pub(super) fn holds(&self) -> Duration {
        self.holds
    }
}
