//! What this VM believes of the fleet: configuration, targets, owners of keys, the manager, VMs.
//!
//! [`Fleet`] changes by what the store tells and never goes backwards; [`Beliefs`] shows its newest
//! state to the tasks of the process and wakes those that listen.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures_channel::mpsc;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    catalogue::{Catalogue, Config, DomainId, ServiceId, Target, TargetId},
    owner::record::Record,
    place::desk,
    store::{Change, Item, Listing, Revision},
};

/// The name of a VM.
pub type VmId = String;

/// How long after trouble of the store a target that has vanished from it counts as there.
///
/// Targets announce themselves again within some 2 s of the store's return.
pub const REMOVAL_PATIENCE: Duration = Duration::from_millis(2500);

/// Where the engine keeps its own items in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// What all keys begin with.
    pub prefix: String,
}

impl Keys {
    /// Returns the key of the manager's entry.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Keys;
    ///
    /// assert_eq!(Keys { prefix: "b/".into() }.manager(), "b/manager");
    /// ```
    pub fn manager(&self) -> String {
        format!("{}manager", self.prefix)
    }

    /// Returns the key of a service's record.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Keys;
    ///
    /// assert_eq!(Keys { prefix: "b/".into() }.record("s"), "b/owners/s");
    /// ```
    pub fn record(&self, service: &str) -> String {
        format!("{}owners/{service}", self.prefix)
    }

    /// Returns the key of a VM's entry.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Keys;
    ///
    /// assert_eq!(Keys { prefix: "b/".into() }.vm("a"), "b/vms/a");
    /// ```
    pub fn vm(&self, vm: &str) -> String {
        format!("{}vms/{vm}", self.prefix)
    }
}

/// A start of a VM's process, as it announces itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// The VM's name.
    pub name: VmId,
    /// The start of its process; another start has another.
    pub start: String,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

impl Vm {
    /// Encodes the entry for the store.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Vm;
    ///
    /// let vm = Vm {
    ///     name: "a".into(),
    ///     start: "1".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     domain: "d".into(),
    /// };
    /// assert_eq!(Vm::decode(&vm.encode()), Some(vm));
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        // Text and numbers always encode.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a stored entry; `None` if the bytes are none.
    ///
    /// # Example
    ///
    /// See [`Vm::encode`].
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// A record with the revision at which it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: Rc<Record>,
}

/// Everything that one VM believes.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The configuration in force; none until the first is known.
    pub config: Option<Rc<Config>>,
    /// The targets that are announced.
    pub targets: IndexMap<TargetId, Target>,
    /// The owners by service.
    pub records: IndexMap<ServiceId, Recorded>,
    /// The manager.
    pub manager: Option<Vm>,
    /// The VMs.
    pub vms: IndexMap<VmId, Vm>,
    /// Whether the targets have been listed.
    pub listed: bool,
    /// Revision by key, of what is known or was removed.
    revisions: IndexMap<String, Revision>,
    /// Targets that vanished in or after trouble of the store, and when they count as gone.
    vanished: IndexMap<String, Duration>,
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
    /// fleet.on_trouble(Duration::from_secs(1));
    /// assert!(fleet.expire(Duration::from_secs(9)).is_empty());
    /// ```
    pub fn on_trouble(&mut self, now: Duration) {
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
        keys: &Keys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let mut notes = Vec::new();
        let listed: std::collections::HashSet<&str> =
            listing.items.iter().map(|item| item.key.as_str()).collect();
        let missing: Vec<String> = self
            .revisions
            .keys()
            .filter(|key| key.starts_with(prefix) && !listed.contains(key.as_str()))
            .cloned()
            .collect();
        for key in missing {
            let change = Change::Removed {
                key,
                revision: listing.revision,
            };
            notes.extend(self.on_change(now, &change, keys, catalogue));
        }
        for item in &listing.items {
            let change = Change::Put(item.clone());
            notes.extend(self.on_change(now, &change, keys, catalogue));
        }
        if prefix == catalogue.targets_prefix() {
            self.listed = true;
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
        keys: &Keys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let (key, revision) = match change {
            Change::Put(item) => (&item.key, item.revision),
            Change::Removed { key, revision } => (key, *revision),
        };
        if self
            .revisions
            .get(key)
            .is_some_and(|known| revision < *known)
        {
            return Vec::new();
        }
        match change {
            Change::Put(item) => {
                if self.revisions.insert(key.clone(), revision) == Some(revision) {
                    return Vec::new();
                }
                self.put(item, keys, catalogue)
            }
            Change::Removed { key, .. } => {
                let until = self.trouble.map(|at| at + REMOVAL_PATIENCE);
                let patience = until.filter(|until| now < *until);
                let announced = key.starts_with(catalogue.targets_prefix());
                if let Some(until) = patience.filter(|_| announced) {
                    self.vanished.insert(key.clone(), until);
                    return Vec::new();
                }
                self.remove(key, keys, catalogue)
            }
        }
    }

    /// Removes targets that have been missing for long enough after trouble of the store.
    ///
    /// # Example
    ///
    /// See [`Fleet::on_trouble`].
    pub fn expire(&mut self, now: Duration) -> Vec<TargetId> {
        let due = |at: &Duration| now >= *at;
        let gone: Vec<String> = self
            .vanished
            .iter()
            .filter(|(_, at)| due(at))
            .map(|(key, _)| key.clone())
            .collect();
        let mut ids = Vec::new();
        for key in gone {
            self.vanished.swap_remove(&key);
            self.revisions.swap_remove(&key);
            let id = key.rsplit('/').next().unwrap_or_default().to_owned();
            if self.targets.swap_remove(&id).is_some() {
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
        self.vanished.values().min().copied()
    }

    fn put<C>(&mut self, item: &Item, keys: &Keys, catalogue: &C) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let Item {
            key,
            value,
            revision,
        } = item;
        if key == catalogue.config_key() {
            return self.put_config(key, value, *revision, catalogue);
        }
        if key.starts_with(catalogue.targets_prefix()) {
            self.vanished.swap_remove(key);
            return self.put_target(key, value, *revision, catalogue);
        }
        if *key == keys.manager() {
            self.manager = Vm::decode(value);
            let name = self.manager.as_ref().map_or("", |vm| &vm.name);
            return vec![format!("event=manager vm={name} revision={revision}")];
        }
        if let Some(service) = key.strip_prefix(&keys.record("")) {
            return self.put_record(service, value, *revision);
        }
        if let Some(vm) = key.strip_prefix(&keys.vm("")).zip(Vm::decode(value)) {
            let note = format!("event=vm-up vm={} start={}", vm.0, vm.1.start);
            self.vms.insert(vm.0.to_owned(), vm.1);
            return vec![note];
        }
        Vec::new()
    }

    fn put_config<C>(
        &mut self,
        key: &str,
        value: &[u8],
        revision: Revision,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let config = match catalogue.config(value) {
            Ok(config) => config,
            Err(error) => {
                return vec![format!(
                    "event=config-refused key={key} revision={revision} {error}"
                )];
            }
        };
        let known = self.config.as_ref().map_or(0, |config| config.version);
        if config.version <= known {
            return Vec::new();
        }
        let note = format!(
            "event=config-in-force version={} before={known} revision={revision} routes={}",
            config.version,
            config.routes.len()
        );
        self.config = Some(Rc::new(config));
        vec![note]
    }

    fn put_target<C>(
        &mut self,
        key: &str,
        value: &[u8],
        revision: Revision,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        match catalogue.target(key, value) {
            Ok(target) => {
                let note = format!(
                    "event=target-announced target={} born={} service={} address={} leaving={} \
                     revision={revision}",
                    target.id, target.born, target.service, target.address, target.leaving
                );
                self.targets.insert(target.id.clone(), target);
                vec![note]
            }
            Err(error) => {
                let id = key.rsplit('/').next().unwrap_or_default();
                self.targets.swap_remove(id);
                vec![format!(
                    "event=target-unreadable revision={revision} {error}"
                )]
            }
        }
    }

    fn put_record(&mut self, service: &str, value: &[u8], revision: Revision) -> Vec<String> {
        let record = match Record::decode(value) {
            Ok(record) => Rc::new(record),
            Err(error) => {
                return vec![format!("event=record-unreadable service={service} {error}")];
            }
        };
        let note = format!(
            "event=owners-in-force service={service} term={} revision={revision} ranges={}",
            record.term,
            record.parts.len()
        );
        let recorded = Recorded { revision, record };
        self.records.insert(service.to_owned(), recorded);
        vec![note]
    }

    fn remove<C>(&mut self, key: &str, keys: &Keys, catalogue: &C) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        self.revisions.swap_remove(key);
        let id = key.rsplit('/').next().unwrap_or_default();
        if key.starts_with(catalogue.targets_prefix()) {
            let known = self.targets.swap_remove(id).is_some();
            return if known {
                vec![format!("event=target-gone target={id}")]
            } else {
                Vec::new()
            };
        }
        if key == keys.manager() {
            self.manager = None;
            return vec!["event=manager-gone".to_owned()];
        }
        if key.starts_with(&keys.vm("")) && self.vms.swap_remove(id).is_some() {
            return vec![format!("event=vm-gone vm={id}")];
        }
        // A configuration or a record that was removed stays in force: neither may go backwards.
        Vec::new()
    }

    /// Returns what the desk needs to know: targets that leave get no new work.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert_eq!(Fleet::default().view().vms, 1);
    /// ```
    pub fn view(&self) -> desk::View {
        let mut targets: IndexMap<ServiceId, Vec<Target>> = IndexMap::new();
        for target in self.targets.values().filter(|it| !it.leaving) {
            let list = targets.entry(target.service.clone()).or_default();
            list.push(target.clone());
        }
        let records = self.records.iter();
        desk::View {
            targets,
            records: records
                .map(|(name, it)| (name.clone(), it.record.clone()))
                .collect(),
            vms: self.vms.len().max(1),
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
        self.config.is_some() && self.listed
    }
}

/// The newest beliefs, shared by the tasks of a process.
#[derive(Clone, Debug, Default)]
pub struct Beliefs {
    now: Rc<RefCell<Rc<Fleet>>>,
    listeners: Rc<RefCell<Vec<mpsc::UnboundedSender<()>>>>,
}

impl Beliefs {
    /// Returns the newest state.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Beliefs;
    ///
    /// assert!(Beliefs::default().get().config.is_none());
    /// ```
    pub fn get(&self) -> Rc<Fleet> {
        self.now.borrow().clone()
    }

    /// Changes the state and wakes all listeners.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Beliefs;
    ///
    /// let beliefs = Beliefs::default();
    /// beliefs.change(|fleet| fleet.listed = true);
    /// assert!(beliefs.get().listed);
    /// ```
    pub fn change<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut Fleet) -> R,
    {
        let result = change(Rc::make_mut(&mut *self.now.borrow_mut()));
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|listener| listener.unbounded_send(()).is_ok());
        result
    }

    /// Returns a stream with an item for each change from now on.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Beliefs;
    ///
    /// let beliefs = Beliefs::default();
    /// let mut changes = beliefs.listen();
    /// beliefs.change(|_| ());
    /// assert!(changes.try_recv().is_ok());
    /// ```
    pub fn listen(&self) -> mpsc::UnboundedReceiver<()> {
        let (sender, receiver) = mpsc::unbounded();
        self.listeners.borrow_mut().push(sender);
        receiver
    }
}
