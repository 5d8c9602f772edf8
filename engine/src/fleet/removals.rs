//! Removes keys: at once, or a moment later if they may be written again.
//!
//! Load pattern: the store is away for a while, or comes back older, and targets and operators write their entries again
//! within some seconds. Requests must not be refused meanwhile, and removed targets must not come back.

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;

use super::{Fleet, Known, StoreKeys};
use crate::{
    catalogue::{Catalogue, DomainId},
    store::{Change, Item, Revision},
};

/// How long after a failed call to the store the removal of a target is delayed.
///
/// Targets announce themselves again within some 2 s of the store's return.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(2500);

/// How often delayed removals are looked at.
pub const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The removal of a key that takes effect later, unless the key is written again.
#[derive(Clone, Debug)]
pub(super) struct PendingRemoval {
    /// When it takes effect.
    pub(super) due: Duration,
    /// The revision at which the key is known to be missing.
    pub(super) revision: Revision,
    /// A revision before that of the removal itself.
    pub(super) after: Revision,
    /// The failure domain whose evacuation ends with it; `None` if a target is removed.
    pub(super) evacuated: Option<DomainId>,
}

impl PendingRemoval {
    /// Returns whether a listing lacked the key, so that the revision of the removal itself isn't known.
    fn is_inferred(&self) -> bool {
        self.after + 1 < self.revision
    }
}

impl Fleet {
    /// Cancels the removal of a key that a listing as of revision `listed_at` contains.
    pub(super) fn cancel_removal(&mut self, key: &str, listed_at: Revision) {
        let removed = |known: &Known| known.value.is_none() && known.revision <= listed_at;
        if self.known.get(key).is_some_and(removed) {
            self.known.swap_remove(key);
        }
        let pending = |it: &PendingRemoval| it.revision <= listed_at;
        if self.pending_removals.get(key).is_some_and(pending) {
            self.pending_removals.swap_remove(key);
        }
    }

    /// Removes the keys that a listing as of revision `listed_at` lacks; returns log lines.
    pub(super) fn remove_missing<C>(
        &mut self,
        now: Duration,
        prefix: &str,
        items: &[Item],
        listed_at: Revision,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing: Vec<(String, Revision)> = self
            .known
            .iter()
            .filter(|(_, known)| known.value.is_some() && known.revision <= listed_at)
            .filter(|(key, _)| key.starts_with(prefix) && !listed.contains(key.as_str()))
            .map(|(key, known)| (key.clone(), known.revision))
            .collect();
        let mut log_lines = Vec::new();
        for (key, last_known) in missing {
            let change = Change::Removed {
                key: key.clone(),
                revision: listed_at,
            };
            log_lines.extend(self.on_change(now, &change, keys, catalogue));
            if let Some(pending) = self.pending_removals.get_mut(&key) {
                // The listing doesn't tell when it was removed.
                pending.after = last_known;
            }
        }
        log_lines
    }

    /// Returns the later removal of a key that may be written again within moments; `None` if it is removed at once.
    pub(super) fn delay_removal<C>(
        &self,
        now: Duration,
        key: &str,
        revision: Revision,
        catalogue: &C,
    ) -> Option<PendingRemoval>
    where
        C: Catalogue + ?Sized,
    {
        let evacuated = catalogue.evacuated_domain(key);
        let due = if evacuated.is_some() {
            self.operator_grace()
        } else if key.starts_with(catalogue.targets_prefix()) {
            self.last_failure
                .map(|at| self.bound_removal(now, at + REMOVAL_GRACE))
        } else {
            None
        };
        let due = due.filter(|due| now < *due)?;
        let after = revision.saturating_sub(1);
        let earlier = self.pending_removals.get(key);
        Some(PendingRemoval {
            due,
            revision,
            after: earlier.map_or(after, |it| it.after.min(after)),
            evacuated,
        })
    }

    /// Returns when a removal that is heard of at `now` takes effect: at `due`, or earlier if only a call of this VM has failed.
    ///
    /// If what was known before is recent enough to act by it, somebody has heard from the store in the meantime, so it wasn't
    /// away. Nothing is known of a store that has come back older.
    fn bound_removal(&self, now: Duration, due: Duration) -> Duration {
        let is_era_new = self.era_entered.is_some_and(|at| now < at + REMOVAL_GRACE);
        match self.known_until {
            Some(until) if now <= until && !is_era_new => {
                due.min(until.saturating_sub(EXPIRY_INTERVAL))
            }
            Some(_) | None => due,
        }
    }

    /// Records until when this VM may act by what it knows before the changes that it applies next.
    pub(super) fn set_known_until(&mut self, until: Option<Duration>) {
        self.known_until = until;
    }

    /// Makes the delayed removals that are due; returns log lines.
    ///
    /// # Example
    ///
    /// See [`Fleet::on_store_failure`].
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let all = std::mem::take(&mut self.pending_removals);
        let (due, later) = all.into_iter().partition(|(_, it)| now >= it.due);
        self.pending_removals = later;
        let due: IndexMap<String, PendingRemoval> = due;
        let mut log_lines = Vec::new();
        if due.values().any(PendingRemoval::is_inferred) {
            // Until now the whole state could be relayed only as of an earlier revision.
            self.change_log.clear();
        }
        for (key, pending) in due {
            let revision = pending.revision;
            self.set_known(&key, revision, None);
            let id = key.rsplit('/').next().unwrap_or_default().to_owned();
            self.change_log.add(&Change::Removed { key, revision });
            if let Some(domain) = pending.evacuated {
                log_lines.extend(self.end_evacuation(now, &domain));
            } else if self.remove_target(now, &id) {
                log_lines.push(format!(
                    "event=target-gone target={id} cause=missing-after-trouble"
                ));
            }
        }
        log_lines
    }

    /// Returns when the next delayed removal is due, for [`Fleet::expire`].
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(Fleet::default().next_expiry().is_none());
    /// ```
    pub fn next_expiry(&self) -> Option<Duration> {
        self.pending_removals.values().map(|it| it.due).min()
    }
}
