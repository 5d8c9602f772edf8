//! Collects what callers sent and what reached targets, for the checks of what is sent again.

use bramleypier_platform_standin::store;
use indexmap::IndexMap;

use super::Run;
use crate::{
    budget::{self, Arrival, Traffic},
    callers,
    check::{Observations, RequestRecord},
    plan::Plan,
};

impl Run {
    /// Records how near each service came to its retry budget, and what else was sent too often or with too much time.
    pub(super) fn note_budget(&self, plan: &Plan, observations: &mut Observations) {
        let traffic = self.traffic(observations);
        let requests = observations.requests.iter();
        let vms: IndexMap<&str, usize> = requests.map(|it| (it.id.as_str(), it.vm)).collect();
        for (service, traffic) in &traffic {
            if let Some(peak) = budget::peak(traffic, plan.allowance) {
                observations.peaks.insert(service, peak);
            }
            let spread = budget::spread(traffic, store::MAX_ATTEMPTS);
            observations.spread.extend(spread);
            let overtime = budget::count_overtime(traffic, callers::DEADLINE, |id, from, to| {
                let vm = vms.get(id);
                vm.is_some_and(|vm| self.is_undisturbed(*vm, from, to))
            });
            observations.overtime.count += overtime.count;
            observations.overtime.late += overtime.late;
        }
    }

    /// Returns the traffic of each service.
    fn traffic(&self, observations: &Observations) -> IndexMap<&'static str, Traffic> {
        let mut found: IndexMap<&'static str, Traffic> = IndexMap::new();
        let mut requests: Vec<&RequestRecord> = observations.requests.iter().collect();
        requests.sort_by_key(|it| it.sent);
        for request in requests {
            let traffic = found.entry(request.service).or_default();
            traffic.requests.insert(request.id.clone(), request.sent);
        }
        for (service, server) in self.cluster.borrow().servers() {
            let traffic = found.entry(service).or_default();
            if server.is_stopped() {
                traffic.ended.insert(server.id.clone());
            }
            let arrivals = server.receipts().into_iter().map(|it| Arrival {
                id: it.id,
                target: server.id.clone(),
                at: it.at,
                remaining: it.remaining,
                ran: it.ran,
            });
            traffic.arrivals.extend(arrivals);
        }
        for traffic in found.values_mut() {
            traffic.arrivals.sort_by_key(|it| it.at);
        }
        found
    }
}
