//! Applies a new view of the fleet to the states of targets.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;

use super::{Dispatcher, FleetView};
use crate::{
    catalogue::{self, Target},
    placement::{
        target_state::TargetState,
        warmup::{SendLimit, SenderPlan},
    },
};

impl Dispatcher {
    /// Applies a new view of the fleet, and keeps the state of targets whose incarnation is the same.
    pub(super) fn apply_view(&mut self, now: Duration, view: Rc<FleetView>) {
        let mut target_states = IndexMap::new();
        self.warmup_targets.clear();
        for (service, targets) in &view.targets {
            for (index, target) in targets.iter().enumerate() {
                let limit = self.warmup_limit(&view, target);
                if matches!(limit, SendLimit::Interval(_)) {
                    self.warmup_targets
                        .entry(service.clone())
                        .or_default()
                        .push(index);
                }
                let mut state = self.take_state(now, target);
                let until = view.cold.get(&target.id).copied().unwrap_or_default();
                state.set_warmup(until, limit);
                let rate = self.rates.rate(catalogue::hash(&target.id));
                state.set_rate(rate, self.rate_limit(&view, &target.id, rate));
                target_states.insert(target.id.clone(), state);
            }
        }
        for owner in &view.leaving_owners {
            let mut state = self.take_state(now, &owner.target);
            state.set_leaving(owner.until);
            target_states.insert(owner.target.id.clone(), state);
        }
        let gone = std::mem::replace(&mut self.target_states, target_states)
            .into_keys()
            .collect();
        if self.view.vms != view.vms {
            self.vm_count.record_listed(now, &view.vms);
        }
        self.view = view;
        let records = &self.view.records;
        let find = |service: &str, key| records.get(service)?.find(key);
        self.refused_keys.retain(find);
        let announced = |id: &str| self.target_states.contains_key(id);
        self.owner_gaps.apply_view(now, gone, announced, find);
    }

    /// Takes the known state of a target, or creates one for an incarnation that is new.
    fn take_state(&mut self, now: Duration, target: &Target) -> TargetState {
        match self.target_states.swap_remove(&target.id) {
            Some(mut state) if state.target.same_incarnation(target) => {
                state.update(target);
                state
            }
            _ => TargetState::new(target.clone(), now),
        }
    }

    /// Returns the limit on this VM's requests to a target while it is cold.
    fn warmup_limit(&self, view: &FleetView, target: &Target) -> SendLimit {
        let Some(warmup) = view.warmups.get(&target.service) else {
            return SendLimit::Unlimited;
        };
        if !view.cold.contains_key(&target.id) {
            return SendLimit::Unlimited;
        }
        let plan = SenderPlan::of(*warmup, self.burst_allowance);
        let own = plan.filter(|plan| plan.is_sender(&self.vm, &view.vms, &target.id));
        own.map_or(SendLimit::Blocked, |plan| {
            SendLimit::Interval(plan.interval)
        })
    }
}
