//! Assigns quotas of each target's free capacity to the VMs that queue requests for it.

use std::time::Duration;

use indexmap::IndexMap;

use super::FleetLoad;
use crate::{
    catalogue::TargetHash,
    placement::{
        bucket::TokenBucket,
        quota::{self, Occupancy, OtherQueue, Quota, RateCapacity, TargetQueue},
    },
};

/// How much longer than expected a granted request counts as in flight: service times scatter, and the VM gets its quota
/// some milliseconds later.
const OCCUPANCY_FACTOR: f64 = 1.5;

/// All VMs' queued and in-flight requests for one target.
#[derive(Debug, Default)]
struct TargetLoad<'a> {
    own: Option<&'a TargetQueue>,
    others: Vec<OtherQueue<'a>>,
    /// In-flight requests, including granted ones that are not reported yet.
    in_flight: u32,
}

impl FleetLoad {
    /// Assigns the VM with the process `start` its quota of each target with queued requests, and records the quotas.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{
    ///     peer::FleetLoad,
    ///     placement::quota::{TargetQueue, QueuedRequest},
    /// };
    ///
    /// let queue = |age| TargetQueue {
    ///     target: 7,
    ///     slots: 2,
    ///     limit: 3,
    ///     within_goal: 1,
    ///     first: vec![QueuedRequest { ticket: 1, priority: 1, age_ms: age, max_ahead: 5 }],
    ///     past_goal: 0,
    /// };
    /// let mut fleet_load = FleetLoad::default();
    /// let now = Duration::ZERO;
    /// fleet_load.update(now, "vm-1", vec![(7, 2)], vec![queue(20)], Duration::ZERO);
    /// fleet_load.update(now, "vm-2", Vec::new(), vec![queue(30)], Duration::ZERO);
    /// assert_eq!(fleet_load.assign_quotas(now, "vm-1")[0].within_goal, 0, "the other VM has waited longer");
    /// assert_eq!(fleet_load.assign_quotas(now, "vm-2")[0].within_goal, 1);
    /// ```
    pub fn assign_quotas(&mut self, now: Duration, start: &str) -> Vec<Quota> {
        let rate_capacities = self.rate_capacities(now);
        let loads = self.target_loads(now, start);
        let quotas = loads.into_iter().map(|(target, load)| {
            let own = load.own.cloned().unwrap_or(TargetQueue {
                target,
                ..TargetQueue::default()
            });
            let occupancy = Occupancy {
                in_flight: load.in_flight,
                completion_rate: self.completion_rate(&own),
            };
            let quota = if let Some(capacity) = rate_capacities.get(&target) {
                quota::allot_at_rate(*capacity, &own, &load.others, load.in_flight)
            } else {
                quota::allot(&own, &load.others, occupancy)
            };
            (quota, self.occupied_until(now, &own))
        });
        let quotas: Vec<(Quota, Duration)> =
            quotas.filter(|(quota, _)| quota.is_of_use()).collect();
        for (quota, _) in &quotas {
            if let Some(bucket) = self.buckets.get_mut(&quota.target) {
                bucket.take(quota.within_goal + quota.past_goal);
            }
        }
        if let Some(report) = self.reports.get_mut(start) {
            for (quota, until) in &quotas {
                report.record_quota(quota, *until);
            }
        }
        quotas.into_iter().map(|(quota, _)| quota).collect()
    }

    /// Returns when requests that are granted now have certainly left the target: it completes all that it may have at
    /// once by then.
    ///
    /// Without a measurement that is unknown, and they count until their VM's next report.
    fn occupied_until(&self, now: Duration, queue: &TargetQueue) -> Duration {
        let rate = self.completion_rate(queue);
        let time = Duration::try_from_secs_f64(f64::from(queue.limit) / rate);
        time.map_or(Duration::MAX, |time| now.saturating_add(time))
    }

    /// Returns how many requests per second a target surely completes while it is full; 0 without a measurement.
    fn completion_rate(&self, queue: &TargetQueue) -> f64 {
        let time = self.service_times.mean(queue.target);
        time.map_or(0.0, |time| {
            f64::from(queue.slots.max(1)) / (time * OCCUPANCY_FACTOR)
        })
    }

    /// Returns how many requests each target with a rate limit may get now.
    fn rate_capacities(&mut self, now: Duration) -> IndexMap<TargetHash, RateCapacity> {
        let rates = &self.rates;
        self.buckets
            .retain(|target, _| rates.rate(*target).is_some());
        let mut capacities = IndexMap::new();
        for (target, rate) in rates.active() {
            let bucket = self.buckets.entry(target);
            let bucket = bucket.or_insert_with(|| TokenBucket::new(now));
            let tokens = bucket.available(now, rate);
            let wait = bucket.wait_time(rate);
            capacities.insert(
                target,
                RateCapacity {
                    available: tokens,
                    wait,
                },
            );
        }
        capacities
    }

    /// Collects the queued and in-flight requests for each target with a queue; `start` marks the VM's own queues.
    fn target_loads(&self, now: Duration, start: &str) -> IndexMap<TargetHash, TargetLoad<'_>> {
        let mut loads: IndexMap<TargetHash, TargetLoad<'_>> = IndexMap::new();
        for (name, report) in self.valid_reports(now) {
            let age_ms = now.saturating_sub(report.received_at).as_millis();
            let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
            for queue in &report.queues {
                let load = loads.entry(queue.target).or_default();
                if name == start {
                    load.own = Some(queue);
                } else {
                    load.others.push(OtherQueue {
                        queue,
                        age_ms,
                        next_in: report.next_at.saturating_sub(now),
                    });
                }
            }
        }
        for (_, report) in self.valid_reports(now) {
            for (target, count) in report.in_flight(now) {
                if let Some(load) = loads.get_mut(&target) {
                    load.in_flight += count;
                }
            }
        }
        loads
    }
}
