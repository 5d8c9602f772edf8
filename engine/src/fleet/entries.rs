//! Applies changes of single store entries: the configuration, targets, records, the manager, VMs.

use std::{rc::Rc, time::Duration};

use super::{Fleet, StoreKeys, StoredRecord, Vm};
use crate::{
    catalogue::Catalogue,
    owner::record::Record,
    quarantine::Fingerprint,
    store::{Item, Revision},
};

/// Returns the request on which an entry is a verdict; `None` for any other key.
fn quarantined_request(key: &str, keys: &StoreKeys) -> Option<Fingerprint> {
    let text = key.strip_prefix(&keys.quarantine_prefix())?;
    Fingerprint::parse(text)
}

impl Fleet {
    /// Applies a written entry; returns log lines.
    pub(super) fn apply_put<C>(
        &mut self,
        now: Duration,
        item: &Item,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let Item {
            key,
            value,
            revision,
        } = item;
        if key == catalogue.config_key() {
            return self.apply_config(now, item, catalogue);
        }
        if key.starts_with(catalogue.targets_prefix()) {
            self.pending_removals.swap_remove(key);
            return self.apply_target(now, item, catalogue);
        }
        if let Some(domain) = catalogue.evacuated_domain(key) {
            self.pending_removals.swap_remove(key);
            return self.start_evacuation(now, domain, *revision);
        }
        if *key == keys.manager() {
            self.manager = Vm::decode(value);
            let name = self.manager.as_ref().map_or("", |vm| &vm.name);
            return vec![format!("event=manager vm={name} revision={revision}")];
        }
        if let Some(service) = key.strip_prefix(&keys.record("")) {
            return self.apply_record(service, value, *revision);
        }
        if let Some(request) = quarantined_request(key, keys) {
            self.quarantined.insert(request, now);
            return vec![format!(
                "event=verdict-known print={request} revision={revision}"
            )];
        }
        if let Some(vm) = key.strip_prefix(&keys.vm("")).zip(Vm::decode(value)) {
            let log_line = format!("event=vm-up vm={} start={}", vm.0, vm.1.start);
            self.vms.insert(vm.0.to_owned(), vm.1);
            return vec![log_line];
        }
        Vec::new()
    }

    fn apply_config<C>(&mut self, now: Duration, item: &Item, catalogue: &C) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let Item {
            key,
            value,
            revision,
        } = item;
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
        let log_line = format!(
            "event=config-in-force version={} before={known} revision={revision} routes={}",
            config.version,
            config.routes.len()
        );
        self.config = Some(Rc::new(config));
        let mut log_lines = vec![log_line];
        log_lines.extend(self.sort_targets(now));
        log_lines
    }

    fn apply_record(&mut self, service: &str, value: &[u8], revision: Revision) -> Vec<String> {
        let record = match Record::decode(value) {
            Ok(record) => Rc::new(record),
            Err(error) => {
                return vec![format!("event=record-unreadable service={service} {error}")];
            }
        };
        let known = self.records.get(service);
        if known.is_some_and(|it| record.is_older_than(&it.record)) {
            return vec![format!(
                "event=record-older service={service} term={} counter={} revision={revision}",
                record.term, record.counter
            )];
        }
        let log_line = format!(
            "event=owners-in-force service={service} term={} revision={revision} ranges={}",
            record.term,
            record.ranges.len()
        );
        let recorded = StoredRecord { revision, record };
        let base = self.records.get(service);
        self.record_log.add(service, base, &recorded, value);
        self.records.insert(service.to_owned(), recorded);
        vec![log_line]
    }

    /// Applies the removal of an entry; returns log lines.
    pub(super) fn apply_removal<C>(
        &mut self,
        now: Duration,
        key: &str,
        keys: &StoreKeys,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let id = key.rsplit('/').next().unwrap_or_default();
        if key.starts_with(catalogue.targets_prefix()) {
            let known = self.remove_target(now, id);
            return if known {
                vec![format!("event=target-gone target={id}")]
            } else {
                Vec::new()
            };
        }
        if let Some(domain) = catalogue.evacuated_domain(key) {
            return self.end_evacuation(now, &domain);
        }
        if key == keys.manager() {
            self.manager = None;
            return vec!["event=manager-gone".to_owned()];
        }
        if key.starts_with(&keys.vm("")) && self.vms.swap_remove(id).is_some() {
            return vec![format!("event=vm-gone vm={id}")];
        }
        if let Some(request) = quarantined_request(key, keys) {
            self.quarantined.shift_remove(&request);
            return vec![format!("event=verdict-gone print={request}")];
        }
        // A removed configuration or record stays in force: neither may go back to an older state.
        Vec::new()
    }
}
