//! This VM's view of the fleet: the configuration, targets, owners of keys, the manager and VMs.
//!
//! [`Fleet`] applies changes of the store, read by this VM or relayed by another one, and never goes back to an
//! older state. [`SharedFleet`] gives the tasks of the process its newest state and notifies them of changes.

mod announcements;
mod change_log;
mod cold;
mod confirmations;
mod entries;
mod entry;
mod eras;
mod evacuation;
mod freshness;
mod leaving;
mod limits;
mod pauses;
mod record_log;
mod relaying;
mod removals;
mod shared;

use std::{collections::HashSet, rc::Rc, time::Duration};

use indexmap::IndexMap;

use self::{
    announcements::UnlistedTarget, leaving::LeavingWord, record_log::RecordLog,
    removals::PendingRemoval,
};
pub use self::{
    change_log::{ChangeLog, LogPosition, Relay},
    confirmations::{Confirmation, Confirmations, Source},
    entry::{StoreKeys, Vm},
    freshness::Freshness,
    limits::KnowledgeLimits,
    pauses::TURN_INTERVAL,
    record_log::RecordUpdate,
    removals::{EXPIRY_INTERVAL, REMOVAL_GRACE},
    shared::SharedFleet,
};
use crate::{
    catalogue::{Catalogue, Config, DomainId, ServiceId, Target, TargetId},
    owner::record::Record,
    placement::dispatch,
    quarantine::Fingerprint,
    store::{Change, Era, Listing, Revision},
};

pub use crate::catalogue::VmId;

/// The maximum number of keys whose state is kept, removed keys included: so many targets start and end within hours.
const MAX_KNOWN_KEYS: usize = 20_000;

/// An owners record with its revision in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The revision at which it was written.
    pub revision: Revision,
    /// The record.
    pub record: Rc<Record>,
}

/// The newest known state of one key.
#[derive(Clone, Debug)]
struct Known {
    revision: Revision,
    /// `None` if the key was removed.
    value: Option<Rc<Vec<u8>>>,
}

/// The state of the fleet as one VM knows it.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The configuration in force; `None` until the first is known.
    pub config: Option<Rc<Config>>,
    /// The announced targets of the configuration's services.
    pub targets: IndexMap<TargetId, Target>,
    /// The announced targets whose services aren't in the configuration.
    unlisted: IndexMap<TargetId, UnlistedTarget>,
    /// The evacuated failure domains, whose targets get no requests, and when this VM learned of the evacuation.
    pub evacuated: IndexMap<DomainId, Duration>,
    /// The targets that are or may be cold, and until when.
    pub cold: IndexMap<TargetId, Duration>,
    /// The targets that say that they leave, oldest first.
    leaving: IndexMap<TargetId, LeavingWord>,
    /// The requests that are quarantined by the store's word, and when this VM learned of it.
    quarantined: IndexMap<Fingerprint, Duration>,
    /// The owners records by service.
    pub records: IndexMap<ServiceId, StoredRecord>,
    /// The current manager, if one is known.
    pub manager: Option<Vm>,
    /// The VMs that have an entry in the store.
    pub vms: IndexMap<VmId, Vm>,
    /// Whether the targets have been listed.
    pub targets_listed: bool,
    /// The targets that were announced lately, and when each was removed.
    departed: IndexMap<TargetId, (Target, Duration)>,
    /// The store's era, of which all revisions here are.
    era: Era,
    /// How often this VM has learned something from another source than the manager's relays.
    other_sources: u64,
    /// When this VM learned that the store had come back older, if it has.
    era_entered: Option<Duration>,
    /// The newest known state of each key, removed keys included.
    known: IndexMap<String, Known>,
    /// All removals after this revision are in `known`. Earlier ones may be missing: they were dropped to limit
    /// memory, or happened before a listing.
    removals_since: Revision,
    /// The revision of the store up to which each prefix has been followed.
    followed: IndexMap<String, Revision>,
    /// The changes that were applied here, kept for other VMs.
    change_log: ChangeLog,
    /// How the records have changed lately, kept for other VMs.
    record_log: RecordLog,
    /// Keys removed from the store shortly after a failed call, or in a new era, which may be written again.
    pending_removals: IndexMap<String, PendingRemoval>,
    /// When a call to the store last failed.
    last_failure: Option<Duration>,
    /// Until when this VM may act by what it knew before the latest changes.
    known_until: Option<Duration>,
}

impl Fleet {
    /// Records that a call to the store failed.
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
        self.last_failure = Some(now);
    }

    /// Applies a listing of a prefix: keys that it lacks were removed.
    ///
    /// Returns log lines about the changes.
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
        if listing.era < self.era {
            return Vec::new();
        }
        let mut log_lines = self.enter_era(now, listing.era);
        if !self.followed.contains_key(prefix) {
            // The log lacks removals from before the first listing, so its earlier readers need the whole state.
            self.change_log.clear();
        }
        let items = &listing.items;
        // A listing doesn't contain earlier removals.
        self.removals_since = self.removals_since.max(listing.revision);
        log_lines.extend(self.remove_missing(
            now,
            prefix,
            items,
            listing.revision,
            keys,
            catalogue,
        ));
        for item in &listing.items {
            self.cancel_removal(&item.key, listing.revision);
            let change = Change::Put(item.clone());
            log_lines.extend(self.on_change(now, &change, keys, catalogue));
        }
        self.targets_listed |= catalogue.targets_prefix().starts_with(prefix);
        log_lines
    }

    /// Applies a change, unless it is older than the known state of its key.
    ///
    /// Returns log lines about the change.
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
        let removed_at = self.pending_removals.get(key).map(|it| it.revision);
        let newest = known
            .map_or(0, |known| known.revision)
            .max(removed_at.unwrap_or(0));
        match change {
            Change::Put(_) if revision <= newest => Vec::new(),
            Change::Put(item) => {
                self.set_known(key, revision, Some(Rc::new(item.value.clone())));
                self.change_log.add(change);
                self.apply_put(now, item, keys, catalogue)
            }
            Change::Removed { .. } if revision < newest => Vec::new(),
            Change::Removed { key, .. } => {
                if let Some(pending) = self.delay_removal(now, key, revision, catalogue) {
                    self.pending_removals.insert(key.clone(), pending);
                    return Vec::new();
                }
                self.set_known(key, revision, None);
                self.change_log.add(change);
                self.apply_removal(now, key, keys, catalogue)
            }
        }
    }

    /// Stores the newest state of a key; drops a removed key if too many are known.
    fn set_known(&mut self, key: &str, revision: Revision, value: Option<Rc<Vec<u8>>>) {
        if self.known.len() >= MAX_KNOWN_KEYS {
            let removed = self
                .known
                .iter()
                .position(|(_, known)| known.value.is_none());
            if let Some((_, known)) = removed.and_then(|it| self.known.shift_remove_index(it)) {
                self.removals_since = self.removals_since.max(known.revision);
            }
        }
        self.known.insert(key.to_owned(), Known { revision, value });
    }

    /// Returns the part of the state that the dispatcher needs.
    ///
    /// Targets that are draining or in an evacuated failure domain are left out: they get no new requests. An owner of
    /// keys that says itself that it leaves gets requests for these for a moment, see [`dispatch::LeavingOwner`].
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
        let mut leaving_owners = Vec::new();
        for target in self.targets.values().filter(|it| !it.leaving) {
            if self.is_evacuated(&target.domain) {
                evacuated.insert(target.service.clone());
                continue;
            }
            if let Some(word) = self.leaving.get(&target.id) {
                leaving_owners.push(dispatch::LeavingOwner {
                    target: target.clone(),
                    until: word.since + leaving::OWNER_GRACE,
                });
                continue;
            }
            let available = targets.entry(target.service.clone()).or_default();
            available.push(target.clone());
        }
        evacuated.retain(|service| !targets.contains_key(service));
        let records = self.records.iter();
        dispatch::FleetView {
            targets,
            leaving_owners,
            records: records
                .map(|(name, it)| (name.clone(), it.record.clone()))
                .collect(),
            vms: self.vms.keys().cloned().collect(),
            evacuated,
            cold: self.cold.clone(),
            warmups: self.warmups(),
        }
    }

    /// Returns the requests that are quarantined by the store's word, and when this VM learned of it.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(Fleet::default().quarantined().is_empty());
    /// ```
    pub fn quarantined(&self) -> &IndexMap<Fingerprint, Duration> {
        &self.quarantined
    }

    /// Records that this VM has learned something from another source than the manager's relays.
    ///
    /// It may know keys then of whose removal the manager's change log doesn't tell, so it has to read the state anew.
    pub(crate) fn on_other_source(&mut self) {
        self.other_sources += 1;
    }

    /// Returns how often this VM has learned something from another source than the manager's relays.
    pub(crate) fn other_sources(&self) -> u64 {
        self.other_sources
    }

    /// Returns whether callers can be served: a configuration is known and the targets have been listed.
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

/// Returns whether the engine follows a key; the store may hold keys of other programs too.
fn is_followed<C>(key: &str, keys: &StoreKeys, catalogue: &C) -> bool
where
    C: Catalogue + ?Sized,
{
    key == catalogue.config_key()
        || key.starts_with(catalogue.targets_prefix())
        || key.starts_with(&keys.prefix)
        || catalogue.evacuated_domain(key).is_some()
}
