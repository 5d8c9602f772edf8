//! What the manager hears of the fleet: load, other managers, targets, closed connections.

use std::time::Duration;

use super::{Kept, Manager};
use crate::{
    catalogue::{ServiceId, TargetHash},
    fleet::Fleet,
    owner::{calls, ownership::Event, record::RequestKey},
};

impl Manager {
    pub(super) fn loaded(
        &mut self,
        counts: Vec<(ServiceId, Vec<(RequestKey, u32)>)>,
        times: &[(TargetHash, f64, u32)],
    ) {
        let now = self.now();
        for (target, sum, count) in times {
            self.times.add(now, *target, *sum, *count);
        }
        for (service, counts) in counts {
            if self.kept.contains_key(&service) {
                self.counts.entry(service).or_default().extend(counts);
            }
        }
    }

    /// Tells a service's keeper what all VMs have counted since the last tick.
    pub(super) fn tell_load(&mut self, service: &str) {
        let Some(counts) = self.counts.swap_remove(service) else {
            self.feed(service, Event::Tick);
            return;
        };
        let fleet = self.context.shared_fleet.get();
        let targets = calls::targets_of(&fleet, service);
        let times = calls::service_times(&self.times, &targets);
        let rates = calls::rate_limits(&self.rates, &targets);
        if let Some(kept) = self.kept.get_mut(service) {
            kept.keeper.set_service_times(times);
            kept.keeper.set_rate_limits(rates);
        }
        self.feed(service, Event::Load(counts));
    }

    /// Takes note that a process knows of this manager: an earlier one has stopped then.
    pub(super) fn told(&mut self, start: &str) {
        let earlier = |kept: &Kept| kept.earlier.as_deref() == Some(start);
        let services = self.kept.iter().filter(|(_, kept)| earlier(kept));
        let services: Vec<_> = services.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.earlier_stopped(&service, "it knows its successor");
        }
    }

    fn earlier_stopped(&mut self, service: &str, cause: &str) {
        let earlier = self
            .kept
            .get_mut(service)
            .and_then(|kept| kept.earlier.take());
        if let Some(start) = earlier {
            self.log(&format!(
                "event=earlier-manager-stopped start={start} cause=\"{cause}\""
            ));
            self.feed(service, Event::PredecessorStopped);
        }
    }

    /// Looks whether earlier managers' processes have been followed by later starts.
    pub(super) fn look_for_earlier(&mut self, fleet: &Fleet) {
        let own = &self.context.vm;
        let ended = |start: &str| {
            let name = start.rsplit_once('/').map_or(start, |(name, _)| name);
            let later = fleet.vms.get(name).is_some_and(|vm| vm.start != start);
            start != own.start && (name == own.name || later)
        };
        let services = self
            .kept
            .iter()
            .filter(|(_, kept)| kept.earlier.as_deref().is_some_and(ended));
        let services: Vec<_> = services.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.earlier_stopped(&service, "its VM has started again");
        }
    }

    /// Takes a change of beliefs in.
    pub(super) fn look(&mut self) {
        let fleet = self.context.shared_fleet.get();
        self.look_for_earlier(&fleet);
        self.yield_to_other(&fleet);
        let services: Vec<_> = self.kept.keys().cloned().collect();
        for service in services {
            self.show_targets(&fleet, &service);
        }
    }

    /// Shows a keeper the targets of its service.
    pub(super) fn show_targets(&mut self, fleet: &Fleet, service: &str) {
        if let Some(kept) = self.kept.get_mut(service) {
            kept.keeper
                .set_warming(calls::warming_targets(fleet, service));
        }
        self.feed(service, Event::Targets(calls::targets_of(fleet, service)));
    }

    /// Stops at once when another start is known to be the manager.
    fn yield_to_other(&mut self, fleet: &Fleet) {
        let Some(manager) = &fleet.manager else {
            return;
        };
        self.bid_due = None;
        if manager.start != self.context.vm.start && !self.kept.is_empty() {
            self.log(&format!(
                "event=deposed cause=manager-is vm={}",
                manager.name
            ));
            self.kept.clear();
            self.drop_lease();
        }
    }

    /// Tells keepers which targets have closed connections since the last look.
    pub(super) fn look_for_closed(&mut self, now: Duration) {
        let closed = self.context.client.peers_closed_since(self.looked);
        self.looked = now;
        let services: Vec<_> = self.kept.keys().cloned().collect();
        for address in closed {
            self.log(&format!("event=target-closed address={address}"));
            for service in &services {
                self.feed(service, Event::ConnectionClosed(address));
            }
        }
    }
}
