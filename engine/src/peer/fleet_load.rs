//! Keeps, on the manager, the in-flight and queued requests of all VMs.
//!
//! Load pattern: many VMs queue requests for the same busy target. Each VM sends the manager its load with every sync
//! request, and gets the load of all others and its quotas in the response.

mod quotas;

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use indexmap::IndexMap;

use super::TargetHash;
use crate::{
    catalogue::Rate,
    owner::service_times::ServiceTimes,
    placement::{
        bucket::TokenBucket,
        hold_offs::HoldOffReport,
        quota::{Quota, TargetQueue},
        rates::{RateReport, Rates},
    },
};

/// The minimum time for which a VM's report counts.
///
/// A failed VM has no requests; a slow one still reports several times a second.
const MIN_VALIDITY: Duration = Duration::from_millis(600);
/// For how many of the VM's sync intervals a report counts: one report may be lost on the network.
const VALIDITY_INTERVALS: u32 = 3;

/// How many VMs a target has to refuse until its keys move away.
const MIN_REFUSED_VMS: usize = 2;
/// The minimum remaining time for which it has to refuse them: a move takes a part of a second itself.
const MIN_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Requests that a VM may have sent by a quota.
#[derive(Clone, Copy, Debug)]
struct Granted {
    target: TargetHash,
    count: u32,
    /// When they count as completed, though the VM may report later.
    until: Duration,
}

/// The load that one VM has reported.
#[derive(Clone, Debug)]
struct VmReport {
    in_flight: Vec<(TargetHash, u32)>,
    queues: Vec<TargetQueue>,
    /// Requests that it may have sent since its report, by the quotas that it got.
    granted: Vec<Granted>,
    received_at: Duration,
    /// When the next report is expected.
    next_at: Duration,
    /// When the report stops counting.
    valid_until: Duration,
    /// The targets that want no requests from the VM, and until when.
    hold_offs: Vec<(TargetHash, Duration)>,
}

impl VmReport {
    /// Returns the in-flight requests by target: those that were reported, and those granted since.
    fn in_flight(&self, now: Duration) -> impl Iterator<Item = (TargetHash, u32)> {
        let granted = self.granted.iter().filter(move |it| now < it.until);
        let granted = granted.map(|it| (it.target, it.count));
        self.in_flight.iter().copied().chain(granted)
    }

    /// Records a quota that the VM gets: these requests leave its queue, and count as in flight until `until`.
    fn record_quota(&mut self, quota: &Quota, until: Duration) {
        let count = quota.within_goal + quota.past_goal;
        if count > 0 {
            self.granted.push(Granted {
                target: quota.target,
                count,
                until,
            });
        }
        let queues = self.queues.iter_mut();
        for queue in queues.filter(|queue| queue.target == quota.target) {
            queue.first.retain(|it| !quota.demoted.contains(&it.ticket));
            let sent = queue.first.len().min(quota.within_goal as usize);
            queue.first.drain(..sent);
            let demoted = u32::try_from(quota.demoted.len()).unwrap_or(u32::MAX);
            queue.within_goal = queue
                .within_goal
                .saturating_sub(quota.within_goal + demoted);
            queue.past_goal = queue.past_goal.saturating_sub(quota.past_goal);
        }
    }
}

/// The in-flight and queued requests of each VM for each target.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::peer::FleetLoad;
///
/// let mut fleet_load = FleetLoad::default();
/// fleet_load.update(Duration::ZERO, "vm-1", vec![(7, 2)], Vec::new(), Duration::ZERO);
/// fleet_load.update(Duration::ZERO, "vm-2", vec![(7, 1)], Vec::new(), Duration::ZERO);
/// assert_eq!(fleet_load.in_flight_elsewhere(Duration::ZERO, "vm-1"), [(7, 1)]);
/// assert!(fleet_load.in_flight_elsewhere(Duration::from_secs(1), "vm-1").is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    reports: HashMap<String, VmReport>,
    /// The rate limits that targets have reported to any VM.
    rates: Rates,
    /// How long targets take for a request, as all VMs measured it.
    service_times: ServiceTimes,
    /// The token buckets of the targets with a rate limit.
    buckets: IndexMap<TargetHash, TokenBucket>,
}

impl FleetLoad {
    /// Records the load that a VM reports.
    ///
    /// `start` identifies the VM's process, and `interval` is the time until its next report.
    ///
    /// # Example
    ///
    /// See [`FleetLoad`].
    pub fn update(
        &mut self,
        now: Duration,
        start: &str,
        in_flight: Vec<(TargetHash, u32)>,
        queues: Vec<TargetQueue>,
        interval: Duration,
    ) {
        self.reports.retain(|_, report| now < report.valid_until);
        let report = VmReport {
            in_flight,
            queues,
            granted: Vec::new(),
            received_at: now,
            next_at: now + interval,
            valid_until: now + MIN_VALIDITY.max(interval * VALIDITY_INTERVALS),
            hold_offs: Vec::new(),
        };
        self.reports.insert(start.to_owned(), report);
    }

    /// Returns the processes of VMs whose reports count now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::peer::FleetLoad;
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// fleet_load.update(Duration::ZERO, "vm-1/7", Vec::new(), Vec::new(), Duration::ZERO);
    /// assert_eq!(fleet_load.starts(Duration::ZERO), ["vm-1/7"]);
    /// ```
    pub fn starts(&self, now: Duration) -> Vec<&str> {
        self.valid_reports(now).map(|(start, _)| start).collect()
    }

    /// Records the service times that a VM has measured: sums in seconds and counts by target.
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
    /// let queue = TargetQueue {
    ///     target: 7,
    ///     slots: 2,
    ///     limit: 2,
    ///     within_goal: 1,
    ///     first: vec![QueuedRequest { ticket: 1, priority: 1, age_ms: 20, max_ahead: 5 }],
    ///     past_goal: 0,
    /// };
    /// let second = Duration::from_secs(1);
    /// let mut fleet_load = FleetLoad::default();
    /// fleet_load.record_service_times(Duration::ZERO, &[(7, 0.4, 20)]);
    /// fleet_load.update(Duration::ZERO, "vm-1", Vec::new(), vec![queue], second);
    /// assert_eq!(fleet_load.assign_quotas(Duration::ZERO, "vm-1")[0].within_goal, 1);
    /// assert_eq!(fleet_load.in_flight_elsewhere(Duration::ZERO, "vm-2"), [(7, 1)]);
    /// // A request takes 20 ms there, so it has ended long before the VM's next report.
    /// assert!(fleet_load.in_flight_elsewhere(second / 2, "vm-2").is_empty());
    /// ```
    pub fn record_service_times(&mut self, now: Duration, times: &[(TargetHash, f64, u32)]) {
        for (target, sum, count) in times {
            self.service_times.add(now, *target, *sum, *count);
        }
    }

    /// Merges the rate limits that targets have reported to a VM.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{peer::FleetLoad, placement::rates::RateReport};
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// let report = RateReport { target: 7, rate: Some(1.5), age: Duration::ZERO };
    /// fleet_load.merge_rates(Duration::ZERO, &[report]);
    /// assert_eq!(fleet_load.rates(Duration::ZERO), [report]);
    /// ```
    pub fn merge_rates(&mut self, now: Duration, reports: &[RateReport]) {
        // Changes aren't logged here: each VM gets them with the next response and logs its own state.
        let _ = self.rates.merge(now, reports);
        let _ = self.rates.expire(now);
    }

    /// Sets the targets that want no requests from a VM that has just reported its load.
    ///
    /// # Example
    ///
    /// See [`FleetLoad::refusing_targets`].
    pub fn set_hold_offs(&mut self, now: Duration, start: &str, hold_offs: &[HoldOffReport]) {
        if let Some(report) = self.reports.get_mut(start) {
            let until = |it: &HoldOffReport| (it.target, now.saturating_add(it.remaining));
            report.hold_offs = hold_offs.iter().map(until).collect();
        }
    }

    /// Returns the targets that want no requests from several VMs for a while, and until when.
    ///
    /// A target that holds off a single VM may serve all others, so it takes two of them, unless there is only one.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{peer::FleetLoad, placement::hold_offs::HoldOffReport};
    ///
    /// let s = Duration::from_secs;
    /// let mut fleet_load = FleetLoad::default();
    /// for vm in ["vm-1", "vm-2"] {
    ///     fleet_load.update(s(0), vm, Vec::new(), Vec::new(), s(1));
    /// }
    /// fleet_load.set_hold_offs(s(0), "vm-1", &[HoldOffReport { target: 7, remaining: s(5) }]);
    /// assert!(fleet_load.refusing_targets(s(0)).is_empty());
    /// fleet_load.set_hold_offs(s(0), "vm-2", &[HoldOffReport { target: 7, remaining: s(3) }]);
    /// assert_eq!(fleet_load.refusing_targets(s(0)), [(7, s(3))]);
    /// ```
    pub fn refusing_targets(&self, now: Duration) -> Vec<(TargetHash, Duration)> {
        let needed = MIN_REFUSED_VMS.min(self.valid_reports(now).count());
        let mut ends: IndexMap<TargetHash, Vec<Duration>> = IndexMap::new();
        for (_, report) in self.valid_reports(now) {
            let long = |it: &&(TargetHash, Duration)| it.1 >= now + MIN_REFUSAL_TIME;
            for (target, until) in report.hold_offs.iter().filter(long) {
                ends.entry(*target).or_default().push(*until);
            }
        }
        let refusing = ends.into_iter().filter_map(|(target, mut ends)| {
            ends.sort_unstable_by_key(|until| Reverse(*until));
            let until = ends.get(needed.checked_sub(1)?)?;
            Some((target, *until))
        });
        refusing.collect()
    }

    /// Returns the rate limits that targets have reported to any VM, with their ages.
    ///
    /// # Example
    ///
    /// See [`FleetLoad::merge_rates`].
    pub fn rates(&self, now: Duration) -> Vec<RateReport> {
        self.rates.reports(now)
    }

    /// Returns the targets that ask for a rate limit, with the limits.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{peer::FleetLoad, placement::rates::RateReport};
    ///
    /// let mut fleet_load = FleetLoad::default();
    /// let report = RateReport { target: 7, rate: Some(1.5), age: Duration::ZERO };
    /// fleet_load.merge_rates(Duration::ZERO, &[report]);
    /// assert_eq!(fleet_load.rate_limits(), [(7, 1.5)]);
    /// ```
    pub fn rate_limits(&self) -> Vec<(TargetHash, Rate)> {
        self.rates.active().collect()
    }

    /// Returns the in-flight requests of all other VMs by target.
    ///
    /// # Example
    ///
    /// See [`FleetLoad`].
    pub fn in_flight_elsewhere(&self, now: Duration, start: &str) -> Vec<(TargetHash, u32)> {
        let mut sums: HashMap<TargetHash, u32> = HashMap::new();
        for (_, report) in self.valid_reports(now).filter(|(other, _)| *other != start) {
            for (target, count) in report.in_flight(now) {
                *sums.entry(target).or_default() += count;
            }
        }
        sums.into_iter().collect()
    }

    fn valid_reports(&self, now: Duration) -> impl Iterator<Item = (&str, &VmReport)> {
        let reports = self.reports.iter();
        let valid = reports.filter(move |(_, report)| now < report.valid_until);
        valid.map(|(start, report)| (start.as_str(), report))
    }
}
