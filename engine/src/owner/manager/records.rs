//! The records of services: read at a takeover, written by compare-and-swap, and passed on to other VMs.

use super::{ManagedService, Manager, Message, RETRY_DELAY};
use crate::{
    owner::{
        ownership::{Event, Memory, ServiceOwnership},
        record::{self, Incarnation, Record, Term},
    },
    store::{Change, Commit, Era, Error, Item, Revision, Transaction},
};

impl Manager {
    /// Takes over each service with owners that isn't managed yet under the current lease.
    pub(super) fn take_over_services(&mut self) {
        let fleet = self.context.shared_fleet.get();
        let Some(config) = &fleet.config else {
            return;
        };
        let keyed = config.services.values().filter(|it| it.keyed);
        for service in keyed {
            let name = &service.name;
            let is_managed = self
                .services
                .get(name)
                .is_some_and(|managed| managed.verified);
            if is_managed || self.reading.contains(name) {
                continue;
            }
            self.reading.push(name.clone());
            let (context, sender) = (self.context.clone(), self.sender.clone());
            let name = name.clone();
            compio::runtime::spawn(async move {
                let key = context.keys.record(&name);
                let result = context.store.get(&key).await;
                if result.is_err() {
                    context.clock.sleep(RETRY_DELAY).await;
                }
                let _ = sender.unbounded_send(Message::RecordRead(name, result));
            })
            .detach();
        }
    }

    /// Takes a service over, or resumes it, from its record as read from the store.
    pub(super) fn record_read(&mut self, service: &str, result: Result<Option<Item>, Error>) {
        self.reading.retain(|it| it != service);
        let is_managed = self
            .services
            .get(service)
            .is_some_and(|managed| managed.verified);
        if self.lease.is_none() || is_managed {
            return;
        }
        let item = match result {
            Ok(item) => item,
            Err(error) => {
                self.log(&format!("event=record-unread service={service} {error}"));
                return;
            }
        };
        let revision = item.as_ref().map_or(0, |item| item.revision);
        let era = self.era();
        self.drop_outdated(service, era);
        if self.resume(service, revision, item.as_ref()) {
            return;
        }
        let decoded = item.map(|item| Record::decode(&item.value));
        let record = match decoded {
            Some(Ok(record)) => record,
            Some(Err(error)) => {
                self.log(&format!(
                    "event=record-unreadable service={service} {error}"
                ));
                return;
            }
            None => Record::unowned(self.context.targets.last_key()),
        };
        let timing = self.timing;
        let now = self.now();
        let stored_era = record.era();
        let record = self.newest_record(service, record, era);
        let is_later = era > record.era();
        // A record of an earlier era may have lost the managers after the one that it names.
        let predecessor = Some(record.manager.clone()).filter(|_| !is_later);
        let (ownership, effects) = ServiceOwnership::take_over_in_era(
            &self.context.vm.start,
            record,
            era,
            &self.memory(service),
            timing,
            now,
        );
        self.log(&format!(
            "event=takeover service={service} term={} revision={revision} era={era} record_era={stored_era}",
            ownership.term()
        ));
        let managed = ManagedService {
            ownership,
            predecessor,
            revision,
            written: None,
            verified: true,
        };
        self.services.insert(service.to_owned(), managed);
        self.apply_effects(service, effects);
        let until = self.lease.map_or(now, |(_, until)| until);
        self.handle_event(service, Event::LeaseExtended(until));
        let fleet = self.context.shared_fleet.get();
        self.check_predecessors(&fleet);
        self.update_targets(&fleet, service);
    }

    /// Returns the store's era, as far as terms tell eras apart.
    pub(super) fn era(&self) -> Era {
        self.context.store.era().min(record::MAX_ERA)
    }

    /// Has the records of services read again that were taken over in an earlier era of the store.
    ///
    /// Their grants are renewed until then, so that their keys are served.
    pub(super) fn leave_earlier_eras(&mut self) {
        let era = self.era();
        for managed in self.services.values_mut() {
            managed.verified &= managed.ownership.era() >= era;
        }
    }

    /// Ends the management of a service that was taken over in an earlier era of the store.
    fn drop_outdated(&mut self, service: &str, era: Era) {
        let is_outdated = |managed: &ManagedService| managed.ownership.era() < era;
        if self.services.get(service).is_some_and(is_outdated) {
            self.log(&format!("event=term-outdated service={service} era={era}"));
            self.services.shift_remove(service);
        }
    }

    /// Returns the newest record that this VM knows: in a new era the store may have lost the last ones.
    fn newest_record(&self, service: &str, stored: Record, era: Era) -> Record {
        let fleet = self.context.shared_fleet.get();
        let known = fleet.records.get(service).map(|it| &it.record);
        let known = known.filter(|it| era > stored.era() && stored.is_older_than(it));
        known.map_or(stored, |it| Record::clone(it))
    }

    /// Returns what this VM knows of a service beside its record.
    fn memory(&self, service: &str) -> Memory {
        let fleet = self.context.shared_fleet.get();
        let now = self.now();
        let targets = fleet.recent_targets(now);
        let targets = targets.filter(|it| it.service == service);
        Memory {
            targets: targets.map(Incarnation::of).collect(),
            lived_through: fleet.has_entered_era(),
        }
    }

    /// Resumes a service that was managed under an earlier lease if its record is unchanged; returns whether it was.
    ///
    /// Another manager in between would have changed the record, which it writes before it grants.
    fn resume(&mut self, service: &str, revision: Revision, item: Option<&Item>) -> bool {
        let Some(managed) = self.services.get_mut(service) else {
            return false;
        };
        let written = managed.written.as_ref().map(Record::encode);
        let was_written = item.is_some_and(|item| Some(&item.value) == written.as_ref());
        if revision != managed.revision && !was_written {
            self.services.shift_remove(service);
            return false;
        }
        managed.verified = true;
        let newly_written = was_written && revision != managed.revision;
        managed.revision = revision;
        self.log(&format!(
            "event=service-kept service={service} revision={revision}"
        ));
        if newly_written {
            self.handle_event(service, Event::Committed);
        }
        self.extend_grants();
        true
    }

    /// Writes a record if the stored one is unchanged.
    pub(super) fn commit(&mut self, service: &str, record: &Record) {
        let Some(managed) = self.services.get_mut(service) else {
            return;
        };
        managed.written = Some(record.clone());
        if record.era() < self.context.store.era().min(record::MAX_ERA) {
            // A revision that this VM knows may have been given out again.
            self.log(&format!(
                "event=commit-failed service={service} cause=earlier-era"
            ));
            self.handle_event(service, Event::CommitFailed);
            return;
        }
        let term = managed.ownership.term();
        let key = self.context.keys.record(service);
        let transaction = Transaction::replace(key, managed.revision, record.encode());
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let service = service.to_owned();
        compio::runtime::spawn(async move {
            let result = context.store.commit(transaction).await;
            let _ = sender.unbounded_send(Message::CommitEnded(service, term, result));
        })
        .detach();
    }

    /// Handles the end of a commit: a conflict means that another manager has taken over.
    pub(super) fn commit_ended(
        &mut self,
        service: &str,
        term: Term,
        result: Result<Commit, Error>,
    ) {
        let Some(managed) = self.services.get_mut(service) else {
            return;
        };
        if managed.ownership.term() != term {
            return;
        }
        let revision = match result {
            Ok(Commit::Done(revision)) => Some(revision),
            Ok(Commit::Conflict(items)) => {
                // An earlier attempt of the same write, whose response was lost, may have succeeded.
                let written = managed.written.as_ref().map(Record::encode);
                let own_item = items
                    .iter()
                    .find(|item| Some(&item.value) == written.as_ref());
                own_item.map(|item| item.revision)
            }
            Err(error) => {
                self.log(&format!("event=commit-failed service={service} {error}"));
                self.handle_event(service, Event::CommitFailed);
                return;
            }
        };
        let Some(revision) = revision else {
            self.log(&format!(
                "event=deposed service={service} cause=record-changed"
            ));
            self.services.shift_remove(service);
            return;
        };
        managed.revision = revision;
        let record = managed.written.as_ref().map(Record::encode);
        self.publish(service, revision, record.unwrap_or_default());
        self.handle_event(service, Event::Committed);
    }

    /// Adds a written record to this VM's view of the fleet, from which it is sent to other VMs.
    fn publish(&self, service: &str, revision: Revision, value: Vec<u8>) {
        let context = &self.context;
        let change = Change::Put(Item {
            key: context.keys.record(service),
            value,
            revision,
        });
        let now = self.now();
        let log_lines = context
            .shared_fleet
            .update(|fleet| fleet.on_change(now, &change, &context.keys, &*context.catalogue));
        context.report.lines(&log_lines);
    }
}
