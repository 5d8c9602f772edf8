//! Relays what changed in a service's record instead of the whole of it.
//!
//! A VM tells which revision of each record it holds. If all steps from there to the newest one are kept here, it gets
//! these; else it gets the whole record. See docs/design/relay-deltas.md.

use std::{cell::OnceCell, collections::VecDeque, rc::Rc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3;

use super::{Fleet, Relay, StoreKeys, StoredRecord};
use crate::{
    catalogue::ServiceId,
    owner::{record::Record, record_delta::RecordDelta},
    store::{Change, Item, Revision},
};

/// How many steps of a record are kept: records change up to ten times a second, and VMs ask at least once a second. A
/// step keeps the record before it, which takes some 60 KB at 181 targets.
const MAX_STEPS: usize = 16;

/// The steps by which a VM that holds a service's record at one revision gets to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordUpdate {
    /// The service.
    pub service: ServiceId,
    /// The revision of the record to which the first step applies.
    pub base: Revision,
    /// The revision of the record after the last step.
    pub revision: Revision,
    /// The checksum of the record after the last step, as the store holds it (XXH3, 64 bits).
    pub checksum: u64,
    /// The encoded [`RecordDelta`]s, first to last.
    pub steps: Vec<ByteBuf>,
}

/// The latest steps of one record.
#[derive(Clone, Debug)]
struct History {
    /// The revision after the last step.
    revision: Revision,
    /// The checksum after the last step.
    checksum: u64,
    steps: VecDeque<Step>,
}

/// One change of a record.
#[derive(Clone, Debug)]
struct Step {
    base: StoredRecord,
    next: Rc<Record>,
    /// The checksum of the next record, as the store holds it.
    checksum: u64,
    /// The encoded delta, once a VM has needed it; `None` if it doesn't lead to exactly what the store holds.
    delta: OnceCell<Option<Vec<u8>>>,
}

impl Step {
    fn delta(&self) -> Option<&Vec<u8>> {
        let delta = self.delta.get_or_init(|| {
            let (base, next) = (&self.base.record, &self.next);
            let delta = RecordDelta::between(base, next);
            let applied = delta.apply(base)?.encode();
            (xxh3::xxh3_64(&applied) == self.checksum).then(|| delta.encode())
        });
        delta.as_ref()
    }
}

/// The latest steps of each service's record within an era of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordLog {
    services: IndexMap<ServiceId, History>,
}

impl RecordLog {
    /// Adds the step from `base`, the record before, to `next`, which the store holds as `value`.
    pub(super) fn add(
        &mut self,
        service: &str,
        base: Option<&StoredRecord>,
        next: &StoredRecord,
        value: &[u8],
    ) {
        let checksum = xxh3::xxh3_64(value);
        let known = self.services.shift_remove(service);
        let continued = known
            .zip(base)
            .filter(|(known, base)| known.revision == base.revision);
        let mut steps = VecDeque::new();
        if let Some((known, base)) = continued {
            steps = known.steps;
            if steps.len() >= MAX_STEPS {
                steps.pop_front();
            }
            steps.push_back(Step {
                base: base.clone(),
                next: next.record.clone(),
                checksum,
                delta: OnceCell::new(),
            });
        }
        let entry = History {
            revision: next.revision,
            checksum,
            steps,
        };
        self.services.insert(service.to_owned(), entry);
    }

    /// Forgets a record, which then has to be relayed whole, to this VM and by it.
    pub(super) fn forget(&mut self, service: &str) {
        self.services.shift_remove(service);
    }

    /// Forgets everything, as revisions of a new era can't be compared with those before.
    pub(super) fn clear(&mut self) {
        self.services.clear();
    }

    /// Returns the steps from revision `base` of a record to the item's; `None` if they aren't kept or the whole record
    /// isn't larger.
    fn update(&self, service: &str, base: Revision, item: &Item) -> Option<RecordUpdate> {
        let known = self.services.get(service)?;
        if known.revision != item.revision {
            return None;
        }
        let is_base = |step: &Step| step.base.revision == base;
        let first = known.steps.iter().position(is_base)?;
        let steps = known.steps.range(first..).map(Step::delta);
        let steps = steps.collect::<Option<Vec<_>>>()?;
        let size: usize = steps.iter().map(|it| it.len()).sum();
        (size < item.value.len()).then(|| RecordUpdate {
            service: service.to_owned(),
            base,
            revision: known.revision,
            checksum: known.checksum,
            steps: steps.into_iter().cloned().map(ByteBuf::from).collect(),
        })
    }
}

impl Fleet {
    /// Returns the revision of each record that this VM can apply steps to.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(Fleet::default().held_records().is_empty());
    /// ```
    pub fn held_records(&self) -> IndexMap<ServiceId, Revision> {
        let services = self.record_log.services.iter();
        let held = services.map(|(service, it)| (service.clone(), it.revision));
        held.collect()
    }

    /// Takes the records out of a relay of changes that its receiver can get by steps, and returns the steps.
    ///
    /// `held` is what the receiver's [`Fleet::held_records`] returned; it is empty for VMs of builds that know no steps.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Fleet, LogPosition, StoreKeys};
    ///
    /// let (fleet, keys) = (Fleet::default(), StoreKeys { prefix: "b/".into() });
    /// let mut relay = fleet.relay("start", &LogPosition::default(), &[].into());
    /// assert!(fleet.take_updates(&mut relay, &[].into(), &keys).is_empty());
    /// ```
    pub fn take_updates(
        &self,
        relay: &mut Relay,
        held: &IndexMap<ServiceId, Revision>,
        keys: &StoreKeys,
    ) -> Vec<RecordUpdate> {
        let Relay::Changes { changes, .. } = relay else {
            return Vec::new();
        };
        let mut updates = Vec::new();
        let prefix = keys.record("");
        changes.retain(|change| {
            let Change::Put(item) = change else {
                return true;
            };
            let service = item.key.strip_prefix(&prefix);
            let base = service.and_then(|it| Some((it, *held.get(it)?)));
            let update = base.and_then(|(it, base)| self.record_log.update(it, base, item));
            let is_whole = update.is_none();
            updates.extend(update);
            is_whole
        });
        updates
    }

    /// Puts the records to which the steps lead back into a relay of changes; records that are known already stay out.
    ///
    /// # Errors
    ///
    /// The service whose record the steps don't lead to: the relay must not be applied.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::{Fleet, LogPosition, RecordUpdate, StoreKeys};
    ///
    /// let (fleet, keys) = (Fleet::default(), StoreKeys { prefix: "b/".into() });
    /// let mut relay = fleet.relay("start", &LogPosition::default(), &[].into());
    /// let update = RecordUpdate { service: "s".into(), base: 1, revision: 2, checksum: 3, steps: vec![] };
    /// assert_eq!(fleet.put_updates(&mut relay, &[update], &keys), Err("s".to_owned()));
    /// ```
    pub fn put_updates(
        &self,
        relay: &mut Relay,
        updates: &[RecordUpdate],
        keys: &StoreKeys,
    ) -> Result<(), ServiceId> {
        for update in updates {
            let held = self.record_log.services.get(&update.service);
            if held.is_some_and(|it| it.revision >= update.revision) {
                continue;
            }
            let value = self.updated_value(update);
            let (Some(value), Relay::Changes { changes, .. }) = (value, &mut *relay) else {
                return Err(update.service.clone());
            };
            changes.push(Change::Put(Item {
                key: keys.record(&update.service),
                value,
                revision: update.revision,
            }));
        }
        Ok(())
    }

    /// Returns the record to which the steps lead, as the store holds it.
    fn updated_value(&self, update: &RecordUpdate) -> Option<Vec<u8>> {
        let held = self.record_log.services.get(&update.service)?;
        let stored = self.records.get(&update.service)?;
        if held.revision != update.base || stored.revision != update.base {
            return None;
        }
        let mut record = Record::clone(&stored.record);
        for step in &update.steps {
            record = RecordDelta::decode(step)?.apply(&record)?;
        }
        let value = record.encode();
        (xxh3::xxh3_64(&value) == update.checksum).then_some(value)
    }

    /// Forgets how a record changed, so that it is asked for whole.
    pub(crate) fn forget_steps(&mut self, service: &str) {
        self.record_log.forget(service);
    }
}
