//! Passes changes of the fleet to the services: load, targets, and the end of other managers.

use super::{ManagedService, Manager};
use crate::{
    catalogue::{ServiceId, TargetHash},
    fleet::Fleet,
    owner::{calls, ownership::Event, record::RequestKey},
};

impl Manager {
    /// Adds the requests that a VM counted and the service times that it measured.
    pub(super) fn add_load(
        &mut self,
        counts: Vec<(ServiceId, Vec<(RequestKey, u32)>)>,
        times: &[(TargetHash, f64, u32)],
    ) {
        let now = self.now();
        for (target, sum, count) in times {
            self.service_times.add(now, *target, *sum, *count);
        }
        for (service, counts) in counts {
            if self.services.contains_key(&service) {
                self.counts.entry(service).or_default().extend(counts);
            }
        }
    }

    /// Passes the requests that all VMs have counted since the last tick to a service.
    pub(super) fn forward_load(&mut self, service: &str) {
        let Some(counts) = self.counts.swap_remove(service) else {
            self.handle_event(service, Event::Tick);
            return;
        };
        let fleet = self.context.shared_fleet.get();
        let targets = calls::targets_of(&fleet, service);
        self.service_times.forget_earlier(&targets);
        let times = self.service_times.estimates(self.now(), &targets);
        let times = times.into_iter().map(|(id, it)| (id, it.time)).collect();
        let rates = calls::of_targets(&self.rate_limits, &targets);
        let refusing = calls::of_targets(&self.refusing, &targets);
        if let Some(managed) = self.services.get_mut(service) {
            managed.ownership.set_service_times(times);
            managed.ownership.set_rate_limits(rates);
            managed.ownership.set_refusing(refusing);
        }
        self.handle_event(service, Event::Load(counts));
    }

    /// Handles a sync request from the process with this start: it knows this manager, so if it was the previous
    /// manager itself, it has stopped.
    pub(super) fn sync_received(&mut self, start: &str) {
        let was_manager = |managed: &ManagedService| managed.predecessor.as_deref() == Some(start);
        let services = self
            .services
            .iter()
            .filter(|(_, managed)| was_manager(managed));
        let services: Vec<_> = services.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.predecessor_stopped(&service, "it knows the new manager");
        }
    }

    /// Records that the previous manager of a service has stopped.
    fn predecessor_stopped(&mut self, service: &str, cause: &str) {
        let predecessor = self
            .services
            .get_mut(service)
            .and_then(|managed| managed.predecessor.take());
        if let Some(start) = predecessor {
            self.log(&format!(
                "event=earlier-manager-stopped start={start} cause=\"{cause}\""
            ));
            self.handle_event(service, Event::PredecessorStopped);
        }
    }

    /// Checks whether the VMs of previous managers have restarted since.
    pub(super) fn check_predecessors(&mut self, fleet: &Fleet) {
        let own = &self.context.vm;
        let ended = |start: &str| {
            let name = start.rsplit_once('/').map_or(start, |(name, _)| name);
            let restarted = fleet.vms.get(name).is_some_and(|vm| vm.start != start);
            start != own.start && (name == own.name || restarted)
        };
        let services = self
            .services
            .iter()
            .filter(|(_, managed)| managed.predecessor.as_deref().is_some_and(ended));
        let services: Vec<_> = services.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.predecessor_stopped(&service, "its VM has restarted");
        }
    }

    /// Handles a change of this VM's view of the fleet.
    pub(super) fn fleet_changed(&mut self) {
        let fleet = self.context.shared_fleet.get();
        self.check_predecessors(&fleet);
        self.step_down(&fleet);
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in services {
            self.update_targets(&fleet, &service);
        }
    }

    /// Passes the targets of a service to it.
    pub(super) fn update_targets(&mut self, fleet: &Fleet, service: &str) {
        if let Some(managed) = self.services.get_mut(service) {
            managed
                .ownership
                .set_warming(calls::warming_targets(fleet, service));
        }
        self.handle_event(service, Event::Targets(calls::targets_of(fleet, service)));
    }

    /// Stops managing at once when another process is known to be the manager.
    fn step_down(&mut self, fleet: &Fleet) {
        let Some(manager) = &fleet.manager else {
            return;
        };
        self.bid_at = None;
        if manager.start != self.context.vm.start && !self.services.is_empty() {
            self.log(&format!(
                "event=deposed cause=manager-is vm={}",
                manager.name
            ));
            self.services.clear();
            self.drop_lease();
        }
    }
}
