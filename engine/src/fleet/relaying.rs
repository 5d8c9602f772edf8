//! What a VM tells another of its beliefs, and what it takes from one.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Fleet, Known, LogPosition, Relay, StoreKeys};
use crate::{
    catalogue::Catalogue,
    store::{Change, Item, Revision},
};

impl Fleet {
    /// Returns what another VM lacks that has followed this one up to a place, and the store up to
    /// `followed` by prefix.
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
        place: &LogPosition,
        followed: &IndexMap<String, Revision>,
    ) -> Relay {
        if let Some(Relay::Changes { changes, place, .. }) = self.journal.since(start, place) {
            return Relay::Changes {
                changes,
                followed: self.settled(),
                place,
            };
        }
        // Removals that aren't known here can't be told one by one.
        let knows = |prefix: &String| followed.get(prefix).is_some_and(|it| *it >= self.forgotten);
        if !self.followed.is_empty() && self.followed.keys().all(knows) {
            return Relay::Changes {
                changes: self.changes_since(followed),
                followed: self.settled(),
                place: self.journal.position(start),
            };
        }
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
            followed: self.settled(),
            place: self.journal.position(start),
        }
    }

    /// Returns what has changed since prefixes were followed up to these revisions.
    ///
    /// All VMs hear a new manager for the first time at once, and its link can't bear to tell each everything.
    fn changes_since(&self, followed: &IndexMap<String, Revision>) -> Vec<Change> {
        let old = |key: &str, known: &Known| {
            followed
                .iter()
                .any(|(prefix, upto)| key.starts_with(prefix.as_str()) && known.revision <= *upto)
        };
        let newer = self.known.iter().filter(|(key, known)| !old(key, known));
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

    /// Returns up to which revision all of each prefix has been taken in.
    ///
    /// A removal that waits for trouble to pass is yet to be told.
    fn settled(&self) -> IndexMap<String, Revision> {
        let held = self.vanished.values().map(|(_, revision)| revision - 1);
        let most = held.min().unwrap_or(Revision::MAX);
        let settled = |(prefix, upto): (&String, &Revision)| (prefix.clone(), most.min(*upto));
        self.followed.iter().map(settled).collect()
    }

    /// Returns up to which revision each prefix was followed, in the store itself or by what others told.
    ///
    /// # Example
    ///
    /// See [`Fleet::on_followed`].
    pub fn followed(&self) -> &IndexMap<String, Revision> {
        &self.followed
    }

    /// Takes note up to which revision a prefix was followed.
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
        let known = self.followed.entry(prefix.to_owned()).or_default();
        *known = revision.max(*known);
    }

    /// Takes in what another VM relays; returns what changed, for the log.
    ///
    /// `well` tells that the other is the manager and follows the store without trouble. Targets that it
    /// says are gone are gone then, however this VM itself fares with the store.
    ///
    /// What a relay of everything lacks is gone, if the other VM has followed its prefix in the
    /// store, and unless it is newer than that.
    pub fn on_relay<C>(
        &mut self,
        now: Duration,
        relay: &Relay,
        well: bool,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let mut notes = Vec::new();
        match relay {
            Relay::Whole {
                items, followed, ..
            } => {
                for (prefix, upto) in followed {
                    notes.extend(self.remove_missing(now, prefix, items, *upto, keys, catalogue));
                    // What was removed before it isn't told.
                    self.forgotten = self.forgotten.max(*upto);
                }
                let prefix = catalogue.targets_prefix();
                self.targets_listed |= items.iter().any(|item| item.key.starts_with(prefix));
                for item in items {
                    let change = Change::Put(item.clone());
                    notes.extend(self.on_change(now, &change, keys, catalogue));
                }
            }
            Relay::Changes { changes, .. } => {
                // This VM may take its own late calls for an outage, in which removals wait.
                let trouble = if well { self.trouble.take() } else { None };
                for change in changes {
                    notes.extend(self.on_change(now, change, keys, catalogue));
                }
                self.trouble = self.trouble.or(trouble);
            }
        }
        for (prefix, upto) in relay.followed() {
            self.on_followed(prefix, *upto);
        }
        notes
    }
}
