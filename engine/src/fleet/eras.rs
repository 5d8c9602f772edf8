//! Takes this VM's view from one era of the store to the next.
//!
//! Load pattern: the store comes back from a copy that is some seconds old. It has lost what was written since, and gives
//! the same revisions out again. So nothing that is known by a revision may stand against the new era, and what is known
//! by its own version (configurations, records of owners) never goes back.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Fleet, LogPosition, REMOVAL_GRACE, Relay, StoreKeys};
use crate::{
    catalogue::{Catalogue, Target},
    store::{Era, Revision},
};

/// How long targets are remembered after they were announced last: longer than any grant lasts.
const GRANT_MEMORY: Duration = Duration::from_secs(15);
/// The maximum number of such targets.
const MAX_DEPARTED: usize = 4096;

impl Fleet {
    /// Returns the era of all revisions in this view.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert_eq!(Fleet::default().era(), 0);
    /// ```
    pub fn era(&self) -> Era {
        self.era
    }

    /// Enters a later era with a state of it that is complete: what that state lacks is removed afterwards.
    pub(super) fn enter_era(&mut self, now: Duration, era: Era) -> Vec<String> {
        if era <= self.era {
            return Vec::new();
        }
        let line = format!("event=era-entered era={era} before={}", self.era);
        // The first era that a VM learns of ends none.
        if self.era > 0 {
            self.era_entered = Some(now);
            // Targets write their entries again within some seconds.
            self.last_failure = Some(now);
        }
        self.era = era;
        self.known.retain(|_, known| known.value.is_some());
        for known in self.known.values_mut() {
            known.revision = 0;
        }
        self.removals_since = 0;
        self.followed.clear();
        self.pending_removals.clear();
        self.change_log.clear();
        self.record_log.clear();
        vec![line]
    }

    /// Returns whether this VM has followed the store through a change of its era.
    pub(crate) fn has_entered_era(&self) -> bool {
        self.era_entered.is_some()
    }

    /// Returns the targets that are or were announced within [`GRANT_MEMORY`].
    pub(crate) fn recent_targets(&self, now: Duration) -> impl Iterator<Item = &Target> {
        let departed = self.departed.values();
        let recent = departed.filter(move |(_, at)| now < *at + GRANT_MEMORY);
        self.targets
            .values()
            .chain(recent.map(|(target, _)| target))
    }

    /// Remembers a target that is announced no more.
    pub(super) fn set_departed(&mut self, now: Duration, target: Target) {
        self.departed.retain(|_, (_, at)| now < *at + GRANT_MEMORY);
        if self.departed.len() < MAX_DEPARTED {
            self.departed.insert(target.id.clone(), (target, now));
        }
    }

    /// Returns until when what an operator has written may be missing in the store, because the store lost it and the
    /// operator hasn't written it again.
    pub(crate) fn operator_grace(&self) -> Option<Duration> {
        self.era_entered.map(|at| at + REMOVAL_GRACE)
    }

    /// Returns the state that another VM lacks, whose view is of the era `era`; see [`Fleet::relay`].
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Fleet, LogPosition, Relay};
    ///
    /// let fleet = Fleet::default();
    /// let relay = fleet.relay_to(1, "start", &LogPosition::default(), &[].into());
    /// assert!(matches!(relay, Relay::Changes { changes, .. } if changes.is_empty()));
    /// ```
    pub fn relay_to(
        &self,
        era: Era,
        start: &str,
        position: &LogPosition,
        followed: &IndexMap<String, Revision>,
    ) -> Relay {
        if era == self.era {
            return self.relay(start, position, followed);
        }
        if era < self.era {
            return self.whole(start);
        }
        // Nothing that is known here is of use there.
        Relay::Changes {
            changes: Vec::new(),
            followed: IndexMap::new(),
            position: position.clone(),
        }
    }

    /// Applies a relay from another VM whose view is of the era `era`; see [`Fleet::on_relay`].
    ///
    /// Returns log lines, or `None` if the relay was not applied: it is of an earlier era, or is a part of a later one.
    ///
    /// # Example
    ///
    /// See [`Fleet::relay_to`] and [`Fleet::on_relay`].
    pub fn on_relay_of<C>(
        &mut self,
        now: Duration,
        era: Era,
        relay: &Relay,
        healthy_manager: bool,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Option<Vec<String>>
    where
        C: Catalogue + ?Sized,
    {
        let is_complete = matches!(relay, Relay::Whole { followed, .. } if !followed.is_empty());
        if era < self.era || era > self.era && !is_complete {
            return None;
        }
        let mut log_lines = self.enter_era(now, era);
        log_lines.extend(self.on_relay(now, relay, healthy_manager, keys, catalogue));
        Some(log_lines)
    }
}
