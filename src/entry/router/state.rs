//! The router's state: documents, routes, and the admission queues and pools derived from them.

use std::{rc::Rc, time::Duration};

use super::{Router, TargetKey};
use crate::{
    document::{Document, Ownership, TargetState},
    entry::ticket::RequestPolicy,
    group::{Record, build},
    id::{GroupId, TargetId, Version},
    key::Point,
    limit::{Pool, admission, concurrency::Slots, pick::Policy},
    request::{Call, Proof, Step, Verdict},
    route::Owner,
    vm::{grantor_events, owners},
};

/// The interval at which the grantors receive the request rates.
const DEMAND_PERIOD: Duration = Duration::from_secs(5);

impl Router {
    /// Returns the rules of a service's document for a call.
    pub(super) fn classify(&self, call: &Call, proof: Proof) -> Result<RequestPolicy, Verdict> {
        let Some(document) = self.documents.get(&call.service) else {
            let reason = "no document in force names this service";
            let vm = &self.parts.me.vm;
            return Err(Verdict::not_run(&proof, 404, Step::Route, vm, reason));
        };
        let (name, class) = call
            .class(document)
            .map_err(|error| error.verdict(&proof))?;
        Ok(RequestPolicy {
            class: document.classes.get_index_of(name).unwrap_or(0),
            idempotent: class.idempotent,
            max_deadline: class.deadline,
            max_wait: class.queue,
            body_limit: document.body_limit,
            document: document.clone(),
        })
    }

    /// Applies a document that has come into force.
    pub(super) fn on_document(&mut self, document: &Rc<Document>) {
        let service = document.service.clone();
        let known = self.documents.insert(service.clone(), document.clone());
        if known.is_none_or(|known| known.classes != document.classes) {
            // The queues divide capacity by class, so new classes need new queues.
            self.queues.retain(|(of, _), _| *of != service);
        }
        self.set_pool(document);
        self.update_slots();
    }

    /// Updates the pool of a shared service with the targets that accept requests.
    pub(super) fn set_pool(&mut self, document: &Document) {
        if document.ownership == Ownership::Exclusive {
            return;
        }
        let targets = document.targets.iter();
        let serving = targets.filter(|(name, target)| {
            target.state == TargetState::Serving && !self.leaving.contains(*name)
        });
        let names: Vec<TargetId> = serving.map(|(name, _)| name.clone()).collect();
        let pool = self.pools.entry(document.service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Policy::default()));
        pool.set_targets(names);
    }

    /// Removes leaving targets from the pools; targets of exclusive services are handled by their grantors.
    pub(super) fn on_leaving(&mut self, targets: Vec<TargetId>) {
        let known = self.leaving.len();
        self.leaving.extend(targets);
        if self.leaving.len() == known {
            return;
        }
        for document in self.documents.clone().values() {
            self.set_pool(document);
        }
    }

    /// Updates the slots of this VM in all admission queues.
    pub(super) fn update_slots(&mut self) {
        let now = self.parts.clock.now();
        let names: Vec<TargetKey> = self.queues.keys().cloned().collect();
        for name in names {
            let document = self.documents.get(&name.0);
            let slots = document.and_then(|document| slots(document, &name.1, self.vms));
            if let Some(slots) = slots {
                self.on_queue_event(now, &name, admission::Event::Slots(slots));
            }
        }
    }

    /// Applies a group's record; a target whose boot id has changed has died.
    pub(super) fn on_record(&mut self, group: &GroupId, version: Version, record: Record) {
        let service = grantor_events::service(group).to_owned();
        for (target, member) in &record.members {
            let name = (service.clone(), target.clone());
            if member.boot.is_empty() {
                continue;
            }
            let before = self.boots.insert(name.clone(), member.boot.clone());
            if let Some(boot) = before.filter(|boot| *boot != member.boot) {
                self.on_target_death(&name, boot);
                self.on_queue_event(self.parts.clock.now(), &name, admission::Event::ColdStart);
            }
        }
        let table = self.tables.entry(group.clone()).or_default();
        table.on_record(version, record);
    }

    /// Sends the request rates to the grantors, once per [`DEMAND_PERIOD`].
    pub(super) fn report_demand(&mut self, now: Duration) {
        if now < self.next_demand {
            return;
        }
        self.next_demand = now + DEMAND_PERIOD;
        for (group, demand) in &mut self.demands {
            let message = owners::Message::Load(group.clone(), demand.read());
            let _ = self.parts.tasks.owners.unbounded_send(message);
        }
    }

    /// Returns the owner of a point.
    pub(super) fn owner(&self, document: &Document, point: Point) -> Option<Owner> {
        self.tables.get(&group_of(document, point))?.owner(point)
    }

    /// Returns when this VM's lease to send to an owner expires.
    pub(super) fn lease_expiry(
        &self,
        document: &Document,
        point: Point,
        owner: &Owner,
    ) -> Option<Duration> {
        self.tables
            .get(&group_of(document, point))?
            .valid_until(owner)
    }
}

/// Returns the slots of a target, and the number of VMs that share them.
fn slots(document: &Document, target: &str, vms: u32) -> Option<Slots> {
    let slots = document.targets.get(target)?.slots;
    let vms = match document.ownership {
        Ownership::Exclusive => 1,
        Ownership::Shared => vms,
    };
    Some(Slots { slots, vms })
}

/// Returns the group whose slice of the hash space holds a point.
///
/// The slices are those of [`Range::split`](crate::range::Range::split); this finds one without
/// computing all of them.
pub(super) fn group_of(document: &Document, point: Point) -> GroupId {
    let groups = u128::from(document.groups.max(1));
    let index = ((u128::from(point) + 1) * groups - 1) >> Point::BITS;
    build::group_id(&document.service, u32::try_from(index).unwrap_or(0))
}
