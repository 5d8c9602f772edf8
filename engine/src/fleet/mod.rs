//! What this VM believes of the fleet: configuration, targets, owners of keys, the manager, VMs.
//!
//! [`Fleet`] changes by what the store tells and never goes backwards; [`SharedFleet`] shows its newest
//! state to the tasks of the process and wakes those that listen.

mod change_log;
mod cold;
mod entries;
mod entry;
mod evacuation;
mod relaying;
mod shared;

use std::{collections::HashSet, rc::Rc, time::Duration};

use indexmap::IndexMap;

pub use self::{
    change_log::{ChangeLog, LogPosition, Relay},
    entry::{StoreKeys, Vm},
    shared::SharedFleet,
};
use crate::{
    catalogue::{Catalogue, Config, DomainId, ServiceId, Target, TargetId},
    owner::record::Record,
    placement::dispatch,
    store::{Change, Item, Listing, Revision},
};

/// The name of a VM.
pub type VmId = String;

/// How long after trouble of the store a target that has vanished from it counts as there.
///
/// Targets announce themselves again within some 2 s of the store's return.
pub const REMOVAL_PATIENCE: Duration = Duration::from_millis(2500);

/// How many keys are remembered, removed ones among them: so many targets come and go within hours.
const KNOWN_MOST: usize = 20_000;

/// A record with the revision at which it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: Rc<Record>,
}

/// The newest that is known of one key.
#[derive(Clone, Debug)]
struct Known {
    revision: Revision,
    /// None once it was removed.
    value: Option<Rc<Vec<u8>>>,
}

/// Everything that one VM believes.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The configuration in force; none until the first is known.
    pub config: Option<Rc<Config>>,
    /// Whether this VM itself follows the configuration in the store, so that it knows the newest.
    pub config_followed: bool,
    /// The targets that are announced.
    pub targets: IndexMap<TargetId, Target>,
    /// The failure domains whose targets get nothing, and since when that is known.
    pub evacuated: IndexMap<DomainId, Duration>,
    /// Until when targets are cold, or may be.
    pub cold: IndexMap<TargetId, Duration>,
    /// The owners by service.
    pub records: IndexMap<ServiceId, Recorded>,
    /// The manager.
    pub manager: Option<Vm>,
    /// The VMs.
    pub vms: IndexMap<VmId, Vm>,
    /// Whether the targets have been listed.
    pub targets_listed: bool,
    /// What stands in the store, and what was removed from it.
    known: IndexMap<String, Known>,
    /// Up to which revision removals may be missing from what is known: they were forgotten, or came
    /// before a listing.
    forgotten: Revision,
    /// Up to which revision of the store each prefix was followed here.
    followed: IndexMap<String, Revision>,
    /// What was taken in, for other VMs.
    journal: ChangeLog,
    /// Targets that vanished in or after trouble of the store, and when they count as gone.
    vanished: IndexMap<String, (Duration, Revision)>,
    /// When the store was last in trouble.
    trouble: Option<Duration>,
}

impl Fleet {
    /// Takes note that a call to the store failed.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// let mut fleet = Fleet::default();
    /// fleet.on_store_failure(Duration::from_secs(1));
    /// assert!(fleet.expire(Duration::from_secs(9)).is_empty());
    /// ```
    pub fn on_store_failure(&mut self, now: Duration) {
        self.trouble = Some(now);
    }

    /// Takes a listing of a prefix in: what it lacks is gone.
    ///
    /// Returns what changed, for the log.
    pub fn on_listing<C>(
        &mut self,
        now: Duration,
        prefix: &str,
        listing: &Listing,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let items = &listing.items;
        // A listing doesn't tell what was removed before it.
        self.forgotten = self.forgotten.max(listing.revision);
        let mut notes = self.remove_missing(now, prefix, items, listing.revision, keys, catalogue);
        for item in &listing.items {
            self.doubt_removal(&item.key, listing.revision);
            let change = Change::Put(item.clone());
            notes.extend(self.on_change(now, &change, keys, catalogue));
        }
        self.targets_listed |= catalogue.targets_prefix().starts_with(prefix);
        notes
    }

    /// Forgets that a key was removed: a listing as of a revision not older has it.
    fn doubt_removal(&mut self, key: &str, upto: Revision) {
        let removed = |known: &Known| known.value.is_none() && known.revision <= upto;
        if self.known.get(key).is_some_and(removed) {
            self.known.swap_remove(key);
        }
        let vanished = |(_, at): &(Duration, Revision)| *at <= upto;
        if self.vanished.get(key).is_some_and(vanished) {
            self.vanished.swap_remove(key);
        }
    }

    /// Removes what a listing as of `upto` lacks.
    fn remove_missing<C>(
        &mut self,
        now: Duration,
        prefix: &str,
        items: &[Item],
        upto: Revision,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing: Vec<String> = self
            .known
            .iter()
            .filter(|(_, known)| known.value.is_some() && known.revision <= upto)
            .filter(|(key, _)| key.starts_with(prefix) && !listed.contains(key.as_str()))
            .map(|(key, _)| key.clone())
            .collect();
        let mut notes = Vec::new();
        for key in missing {
            let revision = upto;
            let change = Change::Removed { key, revision };
            notes.extend(self.on_change(now, &change, keys, catalogue));
        }
        notes
    }

    /// Takes a change in; one that is older than what is known changes nothing.
    ///
    /// Returns what changed, for the log.
    pub fn on_change<C>(
        &mut self,
        now: Duration,
        change: &Change,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let (key, revision) = match change {
            Change::Put(item) => (&item.key, item.revision),
            Change::Removed { key, revision } => (key, *revision),
        };
        if !is_followed(key, keys, catalogue) {
            return Vec::new();
        }
        let known = self.known.get(key);
        let newest = known.map_or(0, |known| known.revision);
        match change {
            Change::Put(_) if revision <= newest => Vec::new(),
            Change::Put(item) => {
                self.keep(key, revision, Some(Rc::new(item.value.clone())));
                self.journal.add(change);
                self.put(now, item, keys, catalogue)
            }
            Change::Removed { .. } if revision < newest => Vec::new(),
            Change::Removed { key, .. } => {
                let until = self.trouble.map(|at| at + REMOVAL_PATIENCE);
                let patience = until.filter(|until| now < *until);
                let announced = key.starts_with(catalogue.targets_prefix());
                if let Some(until) = patience.filter(|_| announced) {
                    self.vanished.insert(key.clone(), (until, revision));
                    return Vec::new();
                }
                self.keep(key, revision, None);
                self.journal.add(change);
                self.remove(now, key, keys, catalogue)
            }
        }
    }

    fn keep(&mut self, key: &str, revision: Revision, value: Option<Rc<Vec<u8>>>) {
        if self.known.len() >= KNOWN_MOST {
            let removed = self
                .known
                .iter()
                .position(|(_, known)| known.value.is_none());
            if let Some((_, known)) = removed.and_then(|it| self.known.shift_remove_index(it)) {
                self.forgotten = self.forgotten.max(known.revision);
            }
        }
        self.known.insert(key.to_owned(), Known { revision, value });
    }

    /// Removes targets that have been missing for long enough after trouble of the store.
    ///
    /// # Example
    ///
    /// See [`Fleet::on_store_failure`].
    pub fn expire(&mut self, now: Duration) -> Vec<TargetId> {
        let gone: Vec<(String, Revision)> = self
            .vanished
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(key, (_, revision))| (key.clone(), *revision))
            .collect();
        let mut ids = Vec::new();
        for (key, revision) in gone {
            self.vanished.swap_remove(&key);
            self.keep(&key, revision, None);
            let id = key.rsplit('/').next().unwrap_or_default().to_owned();
            self.journal.add(&Change::Removed { key, revision });
            if self.forget_target(&id) {
                ids.push(id);
            }
        }
        ids
    }

    /// Returns when [`Fleet::expire`] has something to do.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(Fleet::default().expiry().is_none());
    /// ```
    pub fn expiry(&self) -> Option<Duration> {
        self.vanished.values().map(|(at, _)| *at).min()
    }

    /// Returns what the dispatcher needs to know: targets that leave, or that stand in an evacuated failure domain,
    /// get no new work.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(Fleet::default().view().targets.is_empty());
    /// ```
    pub fn view(&self) -> dispatch::FleetView {
        let mut targets: IndexMap<ServiceId, Vec<Target>> = IndexMap::new();
        let mut evacuated: HashSet<ServiceId> = HashSet::new();
        for target in self.targets.values().filter(|it| !it.leaving) {
            if self.is_evacuated(&target.domain) {
                evacuated.insert(target.service.clone());
                continue;
            }
            let list = targets.entry(target.service.clone()).or_default();
            list.push(target.clone());
        }
        evacuated.retain(|service| !targets.contains_key(service));
        let records = self.records.iter();
        dispatch::FleetView {
            targets,
            records: records
                .map(|(name, it)| (name.clone(), it.record.clone()))
                .collect(),
            vms: self.vms.keys().cloned().collect(),
            evacuated,
            cold: self.cold.clone(),
            warmups: self.warmups(),
        }
    }

    /// Returns whether callers can be served: a configuration is known, and the targets are.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(!Fleet::default().is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.targets_listed
    }
}

/// Returns whether a key is one of those that this engine follows; others may stand in the store too.
fn is_followed<C>(key: &str, keys: &StoreKeys, catalogue: &C) -> bool
where
    C: Catalogue + ?Sized,
{
    key == catalogue.config_key()
        || key.starts_with(catalogue.targets_prefix())
        || key.starts_with(&keys.prefix)
        || catalogue.evacuated_domain(key).is_some()
}
