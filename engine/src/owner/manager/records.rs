//! Services' records: read at a takeover, written by compare-and-swap, told to other VMs.

use super::{BID_PAUSE, Kept, Manager, Message};
use crate::{
    owner::{
        ownership::{Event, ServiceOwnership},
        record::{Record, Term},
    },
    store::{Change, Commit, Error, Item, Revision, Transaction},
};

impl Manager {
    /// Takes over each service with owners that isn't kept yet.
    pub(super) fn take_services(&mut self) {
        let fleet = self.context.shared_fleet.get();
        let Some(config) = &fleet.config else {
            return;
        };
        let keyed = config.services.values().filter(|it| it.keyed);
        for service in keyed {
            let name = &service.name;
            let is_kept = self.kept.get(name).is_some_and(|kept| kept.verified);
            if is_kept || self.reading.contains(name) {
                continue;
            }
            self.reading.push(name.clone());
            let (context, sender) = (self.context.clone(), self.sender.clone());
            let name = name.clone();
            compio::runtime::spawn(async move {
                let key = context.keys.record(&name);
                let result = context.store.get(&key).await;
                if result.is_err() {
                    context.clock.sleep(BID_PAUSE).await;
                }
                let _ = sender.unbounded_send(Message::Read(name, result));
            })
            .detach();
        }
    }

    pub(super) fn read(&mut self, service: &str, result: Result<Option<Item>, Error>) {
        self.reading.retain(|it| it != service);
        let is_kept = self.kept.get(service).is_some_and(|kept| kept.verified);
        if self.lease.is_none() || is_kept {
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
        if self.goes_on(service, revision, item.as_ref()) {
            return;
        }
        let known = item.map(|item| Record::decode(&item.value));
        let record = match known {
            Some(Ok(record)) => record,
            Some(Err(error)) => {
                self.log(&format!(
                    "event=record-unreadable service={service} {error}"
                ));
                return;
            }
            None => Record::unowned(self.context.targets.last_point()),
        };
        let timing = self.timing;
        let now = self.now();
        let earlier = Some(record.manager.clone());
        let (keeper, effects) =
            ServiceOwnership::take_over(&self.context.vm.start, record, timing, now);
        self.log(&format!(
            "event=takeover service={service} term={} revision={revision}",
            keeper.term()
        ));
        let kept = Kept {
            keeper,
            earlier,
            revision,
            written: None,
            verified: true,
        };
        self.kept.insert(service.to_owned(), kept);
        self.apply(service, effects);
        let until = self.lease.map_or(now, |(_, until)| until);
        self.feed(service, Event::LeaseExtended(until));
        let fleet = self.context.shared_fleet.get();
        self.look_for_earlier(&fleet);
        self.show_targets(&fleet, service);
    }

    /// Goes on with a service that was kept under an earlier lease, if its record is unchanged.
    ///
    /// Another manager in between would have changed it: it writes before it grants.
    fn goes_on(&mut self, service: &str, revision: Revision, item: Option<&Item>) -> bool {
        let Some(kept) = self.kept.get_mut(service) else {
            return false;
        };
        let written = kept.written.as_ref().map(Record::encode);
        let landed = item.is_some_and(|item| Some(&item.value) == written.as_ref());
        if revision != kept.revision && !landed {
            self.kept.shift_remove(service);
            return false;
        }
        kept.verified = true;
        let late = landed && revision != kept.revision;
        kept.revision = revision;
        self.log(&format!(
            "event=service-kept service={service} revision={revision}"
        ));
        if late {
            self.feed(service, Event::Committed);
        }
        self.extend();
        true
    }

    pub(super) fn commit(&mut self, service: &str, record: &Record) {
        let Some(kept) = self.kept.get_mut(service) else {
            return;
        };
        kept.written = Some(record.clone());
        let term = kept.keeper.term();
        let key = self.context.keys.record(service);
        let transaction = Transaction::replace(key, kept.revision, record.encode());
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let service = service.to_owned();
        compio::runtime::spawn(async move {
            let result = context.store.commit(transaction).await;
            let _ = sender.unbounded_send(Message::Committed(service, term, result));
        })
        .detach();
    }

    pub(super) fn committed(&mut self, service: &str, term: Term, result: Result<Commit, Error>) {
        let Some(kept) = self.kept.get_mut(service) else {
            return;
        };
        if kept.keeper.term() != term {
            return;
        }
        let revision = match result {
            Ok(Commit::Done(revision)) => Some(revision),
            Ok(Commit::Conflict(items)) => {
                // An earlier try of the same write, whose answer was lost, may have landed.
                let written = kept.written.as_ref().map(Record::encode);
                let own = items
                    .iter()
                    .find(|item| Some(&item.value) == written.as_ref());
                own.map(|item| item.revision)
            }
            Err(error) => {
                self.log(&format!("event=commit-failed service={service} {error}"));
                self.feed(service, Event::CommitFailed);
                return;
            }
        };
        let Some(revision) = revision else {
            self.log(&format!(
                "event=deposed service={service} cause=record-changed"
            ));
            self.kept.shift_remove(service);
            return;
        };
        kept.revision = revision;
        let record = kept.written.as_ref().map(Record::encode);
        self.tell(service, revision, record.unwrap_or_default());
        self.feed(service, Event::Committed);
    }

    /// Takes a record that was written into this VM's beliefs, from where other VMs hear it.
    fn tell(&self, service: &str, revision: Revision, value: Vec<u8>) {
        let context = &self.context;
        let change = Change::Put(Item {
            key: context.keys.record(service),
            value,
            revision,
        });
        let now = self.now();
        let notes = context
            .shared_fleet
            .update(|fleet| fleet.on_change(now, &change, &context.keys, &*context.catalogue));
        context.report.lines(&notes);
    }
}
