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

    /// Returns a line for each request that reached a target.
    pub(super) fn target_log(&self) -> String {
        let cluster = self.cluster.borrow();
        let receipts = cluster.servers().into_iter().flat_map(|(_, server)| {
            let receipts = server.receipts().into_iter();
            receipts.map(|it| (it.at, server.id.clone(), it))
        });
        let mut receipts: Vec<_> = receipts.collect();
        receipts.sort_by_key(|(at, ..)| *at);
        let lines = receipts.into_iter().map(|(at, target, it)| {
            format!(
                "at_ms={} target={target} id={} ran={}\n",
                at.as_millis(),
                it.id,
                it.ran
            )
        });
        lines.collect()
    }

    /// Returns a line for each request that may run once: what its caller was told, and each arrival at a target.
    pub(super) fn order_log(&self) -> String {
        let mut arrivals: IndexMap<String, Vec<String>> = IndexMap::new();
        for (_, server) in self.cluster.borrow().servers() {
            for receipt in server.receipts() {
                arrivals.entry(receipt.id).or_default().push(format!(
                    "{}@{}{}",
                    server.id,
                    receipt.at.as_millis(),
                    if receipt.ran { ":ran" } else { "" }
                ));
            }
        }
        let mut orders = self.callers.orders();
        orders.sort_by_key(|it| it.sent);
        let lines = orders.into_iter().map(|it| {
            let arrivals = arrivals.get(&it.id).map(|it| it.join(","));
            format!(
                "sent_ms={} ended_ms={} id={} vm={} outcome={:?} arrivals={}\n",
                it.sent.as_millis(),
                it.ended.map_or(0, |it| it.as_millis()),
                it.id,
                it.vm,
                it.outcome,
                arrivals.unwrap_or_default()
            )
        });
        lines.collect()
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
