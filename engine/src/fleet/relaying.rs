//! Relays the state of the fleet from one VM to another, as changes or as a whole.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Fleet, Known, LogPosition, Relay, StoreKeys};
use crate::{
    catalogue::Catalogue,
    store::{Change, Item, Revision},
};

impl Fleet {
    /// Returns the state that another VM lacks.
    ///
    /// That VM has read this VM's change log up to `position` and followed the store up to the revisions `followed`,
    /// by prefix.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Fleet, LogPosition, Relay};
    ///
    /// let fleet = Fleet::default();
    /// let relay = fleet.relay("start", &LogPosition::default(), &[].into());
    /// assert!(matches!(relay, Relay::Whole { .. }));
    /// ```
    pub fn relay(
        &self,
        start: &str,
        position: &LogPosition,
        followed: &IndexMap<String, Revision>,
    ) -> Relay {
        if let Some(Relay::Changes {
            changes, position, ..
        }) = self.change_log.since(start, position)
        {
            return Relay::Changes {
                changes,
                followed: self.applied_revisions(),
                position,
            };
        }
        // Removals up to `removals_since` may be unknown here and can't be relayed one by one.
        let knows_removals = |prefix: &String| {
            followed
                .get(prefix)
                .is_some_and(|it| *it >= self.removals_since)
        };
        if !self.followed.is_empty() && self.followed.keys().all(knows_removals) {
            return Relay::Changes {
                changes: self.changes_since(followed),
                followed: self.applied_revisions(),
                position: self.change_log.position(start),
            };
        }
        self.whole(start)
    }

    /// Returns the whole state.
    pub(super) fn whole(&self, start: &str) -> Relay {
        let items = self.known.iter().filter_map(|(key, known)| {
            let value = known.value.as_ref()?;
            Some(Item {
                key: key.clone(),
                value: value.to_vec(),
                revision: known.revision,
            })
        });
        Relay::Whole {
            items: items.collect(),
            followed: self.applied_revisions(),
            position: self.change_log.position(start),
        }
    }

    /// Returns the changes since the given revisions, by prefix.
    ///
    /// All VMs contact a new manager at the same time, and its link can't carry the whole state for each of them.
    fn changes_since(&self, followed: &IndexMap<String, Revision>) -> Vec<Change> {
        let is_old = |key: &str, known: &Known| {
            followed
                .iter()
                .any(|(prefix, upto)| key.starts_with(prefix.as_str()) && known.revision <= *upto)
        };
        let newer = self.known.iter().filter(|(key, known)| !is_old(key, known));
        newer
            .map(|(key, known)| {
                let (key, revision) = (key.clone(), known.revision);
                match &known.value {
                    Some(value) => Change::Put(Item {
                        key,
                        value: value.to_vec(),
                        revision,
                    }),
                    None => Change::Removed { key, revision },
                }
            })
            .collect()
    }

    /// Returns the revision up to which all changes of each prefix have been applied.
    ///
    /// A delayed removal has not been applied yet, so the returned revisions stay below it.
    fn applied_revisions(&self) -> IndexMap<String, Revision> {
        let before_pending = self.pending_removals.values().map(|it| it.after);
        let limit = before_pending.min().unwrap_or(Revision::MAX);
        let applied = |(prefix, upto): (&String, &Revision)| (prefix.clone(), limit.min(*upto));
        self.followed.iter().map(applied).collect()
    }

    /// Returns the revision up to which each prefix has been followed, in the store itself or by relays.
    ///
    /// # Example
    ///
    /// See [`Fleet::on_followed`].
    pub fn followed(&self) -> &IndexMap<String, Revision> {
        &self.followed
    }

    /// Returns whether a relay leads to this view or beyond it.
    ///
    /// A VM whose view is ahead of the other's log must not continue there: the log may lack removals of keys that only
    /// this VM knows.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Fleet, LogPosition};
    ///
    /// let (behind, mut ahead) = (Fleet::default(), Fleet::default());
    /// ahead.on_followed("", 7);
    /// let relay = behind.relay("start", &LogPosition::default(), ahead.followed());
    /// assert!(behind.is_covered_by(&relay) && !ahead.is_covered_by(&relay));
    /// ```
    pub fn is_covered_by(&self, relay: &Relay) -> bool {
        let theirs = relay.followed();
        let mut ours = self.followed.iter();
        ours.all(|(prefix, upto)| theirs.get(prefix).is_some_and(|it| it >= upto))
    }

    /// Records the revision up to which a prefix has been followed; a lower revision changes nothing.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// let mut fleet = Fleet::default();
    /// fleet.on_followed("a/", 7);
    /// assert_eq!(fleet.followed()["a/"], 7);
    /// ```
    pub fn on_followed(&mut self, prefix: &str, revision: Revision) {
        // What a VM relays as of revision 0 may hold keys that the store has lost.
        if revision == 0 {
            return;
        }
        let known = self.followed.entry(prefix.to_owned()).or_default();
        *known = revision.max(*known);
    }

    /// Returns whether a change of a relay is older than this view, in which its key isn't known: it was removed since.
    ///
    /// `theirs` is up to which revision the other VM is up to date; what it knows beyond this view is never outdated.
    fn is_outdated(&self, change: &Change, theirs: &IndexMap<String, Revision>) -> bool {
        let Change::Put(item) = change else {
            return false;
        };
        let is_ahead = |(prefix, upto): (&String, &Revision)| {
            let theirs = theirs.get(prefix).copied().unwrap_or(0);
            item.key.starts_with(prefix.as_str()) && item.revision <= *upto && theirs < *upto
        };
        !self.known.contains_key(&item.key) && self.followed.iter().any(is_ahead)
    }

    /// Applies a relay from another VM; returns log lines about the changes.
    ///
    /// `healthy_manager` says that the other VM is the manager and follows the store without failures. Targets
    /// that it reports as removed are then removed at once, even if calls of this VM to the store have failed.
    ///
    /// A relay of the whole state removes the keys that it lacks, for each prefix that the other VM has followed
    /// in the store; keys that are newer than the revision it has followed stay.
    pub fn on_relay<C>(
        &mut self,
        now: Duration,
        relay: &Relay,
        healthy_manager: bool,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let mut log_lines = Vec::new();
        match relay {
            Relay::Whole {
                items, followed, ..
            } => {
                for (prefix, upto) in followed {
                    log_lines
                        .extend(self.remove_missing(now, prefix, items, *upto, keys, catalogue));
                    // The relay doesn't contain earlier removals.
                    self.removals_since = self.removals_since.max(*upto);
                }
                let prefix = catalogue.targets_prefix();
                self.targets_listed |= items.iter().any(|item| item.key.starts_with(prefix));
                for item in items {
                    let change = Change::Put(item.clone());
                    if !self.is_outdated(&change, followed) {
                        log_lines.extend(self.on_change(now, &change, keys, catalogue));
                    }
                }
            }
            Relay::Changes {
                changes, followed, ..
            } => {
                // Late calls of this VM may look like an outage of the store, which delays removals.
                let failure = if healthy_manager {
                    self.last_failure.take()
                } else {
                    None
                };
                for change in changes {
                    if !self.is_outdated(change, followed) {
                        log_lines.extend(self.on_change(now, change, keys, catalogue));
                    }
                }
                self.last_failure = self.last_failure.or(failure);
            }
        }
        for (prefix, upto) in relay.followed() {
            self.on_followed(prefix, *upto);
        }
        log_lines
    }
}
