//! What each kind of entry changes: the configuration, targets, records, the manager, VMs.

use std::{rc::Rc, time::Duration};

use super::{Fleet, Recorded, StoreKeys, Vm};
use crate::{
    catalogue::Catalogue,
    owner::record::Record,
    store::{Item, Revision},
};

impl Fleet {
    pub(super) fn put<C>(
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
            return self.put_config(key, value, *revision, catalogue);
        }
        if key.starts_with(catalogue.targets_prefix()) {
            self.vanished.swap_remove(key);
            return self.put_target(now, item, catalogue);
        }
        if let Some(domain) = catalogue.evacuated_domain(key) {
            return self.evacuate(now, domain, *revision);
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

    fn put_target<C>(&mut self, now: Duration, item: &Item, catalogue: &C) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let Item {
            key,
            value,
            revision,
        } = item;
        match catalogue.target(key, value) {
            Ok(target) => {
                let note = format!(
                    "event=target-announced target={} born={} service={} address={} leaving={} \
                     cold_ms={} revision={revision}",
                    target.id,
                    target.start_time,
                    target.service,
                    target.address,
                    target.leaving,
                    target.cold.as_millis()
                );
                self.note_cold(now, &target);
                self.targets.insert(target.id.clone(), target);
                vec![note]
            }
            Err(error) => {
                let id = key.rsplit('/').next().unwrap_or_default();
                self.forget_target(id);
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
            record.ranges.len()
        );
        let recorded = Recorded { revision, record };
        self.records.insert(service.to_owned(), recorded);
        vec![note]
    }

    pub(super) fn remove<C>(
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
            let known = self.forget_target(id);
            return if known {
                vec![format!("event=target-gone target={id}")]
            } else {
                Vec::new()
            };
        }
        if let Some(domain) = catalogue.evacuated_domain(key) {
            return self.take_back(now, &domain);
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
}
