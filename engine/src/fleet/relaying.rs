//! What a VM tells another of its beliefs, and what it takes from one.

use std::time::Duration;

use super::{Fleet, Keys, Place, Relay};
use crate::{
    catalogue::Catalogue,
    store::{Change, Item, Revision},
};

impl Fleet {
    /// Returns what another VM lacks that has followed up to a place.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Fleet, Place, Relay};
    ///
    /// let fleet = Fleet::default();
    /// let relay = fleet.relay("start", &Place::default());
    /// assert!(matches!(relay, Relay::Whole { .. }));
    /// ```
    pub fn relay(&self, start: &str, place: &Place) -> Relay {
        if let Some(relay) = self.journal.since(start, place) {
            return relay;
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
            followed: self.followed.clone(),
            place: self.journal.place(start),
        }
    }

    /// Takes note up to which revision a prefix was followed in the store itself.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// let mut fleet = Fleet::default();
    /// fleet.on_followed("a/", 7);
    /// ```
    pub fn on_followed(&mut self, prefix: &str, revision: Revision) {
        self.followed.insert(prefix.to_owned(), revision);
    }

    /// Takes in what another VM relays; returns what changed, for the log.
    ///
    /// What a relay of everything lacks is gone, if the other VM has followed its prefix in the
    /// store, and unless it is newer than that.
    pub fn on_relay<C>(
        &mut self,
        now: Duration,
        relay: &Relay,
        keys: &Keys,
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
                }
                let prefix = catalogue.targets_prefix();
                self.listed |= items.iter().any(|item| item.key.starts_with(prefix));
                for item in items {
                    let change = Change::Put(item.clone());
                    notes.extend(self.on_change(now, &change, keys, catalogue));
                }
            }
            Relay::Changes { changes, .. } => {
                for change in changes {
                    notes.extend(self.on_change(now, change, keys, catalogue));
                }
            }
        }
        notes
    }
}
