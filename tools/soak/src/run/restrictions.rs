//! Evacuations of a failure domain and cold targets, and the requests that reached such targets nevertheless.
//!
//! VMs have [`check::IN_FORCE_MAX`] to learn of an evacuation or a cold target; requests before that are not counted.

use std::time::Duration;

use bramleypier_platform_standin::server::Server;
use indexmap::IndexMap;

use super::Run;
use crate::{
    check::{self, Observations},
    fleet::EVACUATED_ZONE,
    plan::COLD_TIME,
};

/// A time during which a cold target must get few requests or, if `target` is `None`, an evacuated failure domain must
/// get none.
#[derive(Clone, Debug)]
pub(super) struct Restriction {
    target: Option<Server>,
    from: Duration,
    to: Duration,
}

impl Run {
    /// Evacuates a failure domain for this long.
    pub(super) async fn evacuate(&self, duration: Duration) {
        let key = format!("op/evacuate/{EVACUATED_ZONE}");
        let from = self.clock.now();
        self.cluster.borrow().store.put(&key, b"{}");
        self.clock.sleep(duration).await;
        self.cluster.borrow().store.remove(&key);
        let to = self.clock.now();
        self.restrictions.borrow_mut().push(Restriction {
            target: None,
            from,
            to,
        });
    }

    /// Makes a target announce that it is cold.
    pub(super) async fn announce_cold(&self, target: usize) {
        let from = self.clock.now();
        let server = {
            let cluster = self.cluster.borrow();
            let slot = &cluster.slots[target];
            cluster
                .store
                .put(&slot.key(), &slot.entry_cold("ready", COLD_TIME));
            slot.server.clone()
        };
        self.clock.sleep(COLD_TIME).await;
        let to = self.clock.now();
        self.restrictions.borrow_mut().push(Restriction {
            target: Some(server),
            from,
            to,
        });
    }

    /// Records the requests that started at targets in evacuated domains, and the peak rates of cold targets.
    pub(super) fn note_restriction_violations(&self, observations: &mut Observations) {
        let sender_vms: IndexMap<&str, usize> = observations
            .requests
            .iter()
            .map(|request| (request.id.as_str(), request.vm))
            .collect();
        for restriction in self.restrictions.borrow().iter() {
            // Requests from disturbed VMs are not counted: such a VM need not know of the restriction.
            let is_counted = |(id, at): &(String, Duration)| {
                let vm = sender_vms.get(id.as_str());
                let within = (restriction.from + check::IN_FORCE_MAX..restriction.to).contains(at);
                within && vm.is_some_and(|vm| self.is_undisturbed(*vm, restriction.from, *at))
            };
            let request_starts_at = |server: &Server| -> Vec<Duration> {
                let all = server.request_starts().into_iter().filter(is_counted);
                all.map(|(_, at)| at).collect()
            };
            if let Some(server) = &restriction.target {
                let times = request_starts_at(server);
                let peak = check::most_within(&times, Duration::from_secs(1));
                observations.cold_peaks.push((server.id.clone(), peak));
                continue;
            }
            let cluster = self.cluster.borrow();
            let slots = cluster.slots.iter().filter(|it| it.zone == EVACUATED_ZONE);
            let used_slots = slots.filter(|it| !request_starts_at(&it.server).is_empty());
            observations
                .used_while_evacuated
                .extend(used_slots.map(|it| it.server.id.clone()));
        }
    }
}
