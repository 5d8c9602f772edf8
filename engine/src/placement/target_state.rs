//! One VM's view of a target's load and health.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests, slots and keys are far below 2^31 and never negative"
)]

mod outcomes;

use std::time::Duration;

use super::{
    busy_share::BusyShare,
    quota::Quota,
    rates,
    warmup::{SendLimit, SendLimiter},
};
use crate::catalogue::{Rate, Target};

/// The time in which a load report loses most of its weight to the mean of reports.
///
/// Requests take some 50 to 250 ms; an older report says little about which of them still run.
const REPORT_DECAY: Duration = Duration::from_millis(200);
/// The minimum time for which a sync response is valid.
const MIN_SYNC_VALIDITY: Duration = Duration::from_millis(250);
/// The number of sync intervals for which a sync response is valid: one response may be lost.
const SYNC_VALIDITY_INTERVALS: u32 = 3;
/// The sync interval that is assumed before the first sync response.
const DEFAULT_SYNC_INTERVAL: Duration = Duration::from_millis(40);
/// How long it may take from the end of a request until the next one uses its slot, in sync intervals.
const REFILL_INTERVALS: f64 = 1.5;
/// How long it takes until a queued request gets a quota, in sync intervals.
const QUOTA_INTERVALS: f64 = 2.0;
/// The maximum of that time, in service times: one request in the target's own queue keeps its slots busy meanwhile.
const QUOTA_SERVICE_TIMES: f64 = 1.5;
/// How many requests of all VMs the target's own queue may hold, as far as this VM knows.
///
/// Targets queue some 8 and may close connections when full. VMs learn of each other's requests late, so part
/// of the queue is left unused.
pub const MAX_TARGET_QUEUE: f64 = 5.0;
/// The minimum time without queued requests after which a target's queue counts as drained: a few sync exchanges, in
/// which the queue may be empty by chance.
const MIN_QUEUE_GAP: Duration = Duration::from_millis(250);
/// The minimum service time that is assumed for a service without measurements.
pub(super) const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(80);
/// The factor by which service times of a cold target are assumed to be longer; the real one starts at two and falls.
const COLD_FACTOR: f64 = 1.7;
/// The first backoff after a target couldn't be reached.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// The failure rate above which a target only gets single probes.
const MAX_FAILURE_RATE: f64 = 0.35;
/// The factor on the typical time after which a request is overdue: one request in a hundred takes five times as long.
const OVERDUE_FACTOR: f64 = 4.0;
/// The time between two probes of a target that fails, or that seems too slow.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The half-life of the failure rate without new responses, in seconds.
const FAILURE_HALF_LIFE_SECS: f64 = 3.0;

/// The state of one target as this VM knows it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The target.
    pub target: Target,
    /// This VM's in-flight requests.
    pub own_in_flight: u32,
    /// When they were sent.
    sent_times: Vec<Duration>,
    /// Other VMs' requests by the last load report, at the time of that report.
    reported_others: f64,
    /// The moving average of other VMs' requests over all load reports.
    mean_others: f64,
    /// When the last load report arrived.
    reported_at: Option<Duration>,
    /// Other VMs' in-flight requests by the last sync response, and when it arrived.
    synced: Option<(u32, Duration)>,
    /// The time from that sync response to the next.
    sync_interval: Duration,
    /// The requests that may be sent until the next sync response, while requests are queued for this target.
    quota: Option<Quota>,
    /// The time since which requests have been queued for the target, apart from short gaps.
    queued_since: Option<Duration>,
    /// When requests were last queued for it.
    queued_at: Duration,
    /// How often requests that can still meet their goals use all capacity.
    busy_share: BusyShare,
    /// Sum in seconds and count of the service times that haven't been reported yet.
    samples: (f64, u32),
    /// The moving average of service times, in seconds, if any was measured.
    service_time: Option<f64>,
    /// When the service time was last measured.
    measured_at: Duration,
    /// The failure rate at `failures_at`, from 0 to 1.
    failure_rate: f64,
    failures_at: Duration,
    /// The time until which no requests are sent, since the target could not be reached.
    backoff_until: Duration,
    /// The length of the next backoff.
    backoff: Duration,
    /// When this VM last sent a request.
    last_sent_at: Duration,
    /// When a request was sent to find out whether the target is as slow as it seems, if one is under way.
    probe_sent_at: Option<Duration>,
    /// Whether another target uses the address.
    address_reused: bool,
    /// The time from which the target gets no more requests, if it says that it leaves.
    leaves_at: Option<Duration>,
    /// The limit on this VM's requests while the target is cold.
    warmup_limiter: SendLimiter,
    /// The rate limit that the target asks for.
    rate: Option<Rate>,
    /// The limit on this VM's requests without a quota while the rate limit applies.
    rate_limiter: SendLimiter,
}

impl TargetState {
    /// Creates the state of a target that has just been announced.
    pub fn new(target: Target, now: Duration) -> Self {
        Self {
            target,
            own_in_flight: 0,
            sent_times: Vec::new(),
            reported_others: 0.0,
            mean_others: 0.0,
            reported_at: None,
            synced: None,
            sync_interval: DEFAULT_SYNC_INTERVAL,
            quota: None,
            queued_since: None,
            queued_at: Duration::ZERO,
            busy_share: BusyShare::default(),
            samples: (0.0, 0),
            service_time: None,
            measured_at: Duration::ZERO,
            failure_rate: 0.0,
            failures_at: now,
            backoff_until: Duration::ZERO,
            backoff: MIN_BACKOFF,
            last_sent_at: Duration::ZERO,
            probe_sent_at: None,
            address_reused: false,
            leaves_at: None,
            warmup_limiter: SendLimiter::default(),
            rate: None,
            rate_limiter: SendLimiter::default(),
        }
    }

    /// Applies a newer announcement of the same incarnation.
    pub fn update(&mut self, target: &Target) {
        self.address_reused &= self.target.address == target.address;
        self.target = target.clone();
    }

    /// Sets the time from which the target gets no more requests because it leaves.
    pub fn set_leaving(&mut self, at: Duration) {
        self.leaves_at = Some(at);
    }

    /// Returns whether the target gets no more requests because it leaves.
    pub fn has_left(&self, now: Duration) -> bool {
        self.leaves_at.is_some_and(|at| now >= at)
    }

    /// Sets until when the target is cold, and what this VM may send to it meanwhile.
    pub fn set_warmup(&mut self, until: Duration, limit: SendLimit) {
        self.warmup_limiter.set(until, limit);
    }

    /// Sets the target's rate limit, and what this VM may send to it without a quota.
    pub fn set_rate(&mut self, rate: Option<Rate>, limit: SendLimit) {
        self.rate = rate;
        let until = rate.map_or(Duration::ZERO, |_| Duration::MAX);
        self.rate_limiter.set(until, limit);
    }

    /// Returns whether the rate limit allows this VM to send a request without a quota.
    pub fn allows_rate(&self, now: Duration) -> bool {
        self.rate_limiter.allows(now)
    }

    /// Returns the rate limit that the target asks for.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns the estimated number of requests of all VMs at the target.
    pub fn depth(&self, now: Duration) -> f64 {
        if let Some((others, _)) = self
            .synced
            .filter(|(_, at)| now < *at + self.sync_validity())
        {
            return f64::from(self.own_in_flight + others);
        }
        let others = self.reported_at.map_or(self.mean_others, |at| {
            let age = now.saturating_sub(at).as_secs_f64() / REPORT_DECAY.as_secs_f64();
            self.mean_others + (self.reported_others - self.mean_others) * (-age).exp()
        });
        f64::from(self.own_in_flight) + others
    }

    /// Returns the age of the last sync response.
    pub fn sync_age(&self, now: Duration) -> Option<Duration> {
        self.synced.map(|(_, at)| now.saturating_sub(at))
    }

    /// Applies a sync response: other VMs' in-flight requests, and this VM's quota.
    ///
    /// `sync_interval` is the time until the next response.
    pub fn apply_sync(
        &mut self,
        now: Duration,
        others: u32,
        quota: Option<Quota>,
        sync_interval: Duration,
    ) {
        self.synced = Some((others, now));
        self.sync_interval = sync_interval;
        let busy = quota.as_ref().is_some_and(|it| it.busy);
        self.quota = quota;
        self.busy_share.record(now, busy);
        if busy {
            self.queued_since.get_or_insert(now);
            self.queued_at = now;
        } else if now > self.queued_at + MIN_QUEUE_GAP.max(sync_interval * SYNC_VALIDITY_INTERVALS)
        {
            self.queued_since = None;
        }
    }

    /// Returns whether the manager assigns quotas for the target: it has responded recently, and quotas arrive in time.
    ///
    /// A quota arrives two sync exchanges after the request is queued. If requests take less time than that, a slot
    /// would be idle after each request, so a VM that sees free capacity sends at once. Requests to the owner of a key
    /// need a quota all the same: they can't go to another target, and would fill its queue.
    pub fn uses_quota(&self, now: Duration, typical_time: Option<f64>, keyed: bool) -> bool {
        let synced = self
            .synced
            .is_some_and(|(_, at)| now < at + self.sync_validity());
        let quota_delay = self.sync_interval.as_secs_f64() * QUOTA_INTERVALS;
        synced && (keyed || quota_delay <= self.service_time(typical_time) * QUOTA_SERVICE_TIMES)
    }

    /// Returns the time between two sync exchanges.
    pub fn sync_interval(&self) -> Duration {
        self.sync_interval
    }

    /// Returns how long a sync response is valid.
    fn sync_validity(&self) -> Duration {
        MIN_SYNC_VALIDITY.max(self.sync_interval * SYNC_VALIDITY_INTERVALS)
    }

    /// Returns this VM's quota, if requests are queued for this target.
    pub fn quota(&self) -> Option<&Quota> {
        self.quota.as_ref()
    }

    /// Uses up the quota of one request, which can still meet its goal or not.
    pub fn consume_quota(&mut self, within_goal: bool) {
        if let Some(quota) = &mut self.quota {
            let remaining = if within_goal {
                &mut quota.within_goal
            } else {
                &mut quota.past_goal
            };
            *remaining = remaining.saturating_sub(1);
        }
    }

    /// Returns since when requests that can still meet their goals have been queued for the target.
    pub fn queued_since(&self) -> Option<Duration> {
        self.queued_since
    }

    /// Returns the share of time in which requests that can still meet their goals use all capacity, from 0 to 1.
    pub fn busy_share(&self) -> f64 {
        self.busy_share.value()
    }

    /// Returns how many requests the target processes at a time.
    pub fn slots(&self) -> u32 {
        u32::try_from(self.target.slots.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns how many requests the target may have at once: those that it processes, and those that it completes
    /// until the manager has informed every VM of free slots.
    pub fn max_in_flight(&self, now: Duration, typical_time: Option<f64>) -> u32 {
        let interval = self
            .completion_interval(now, typical_time)
            .as_secs_f64()
            .max(0.001);
        let ahead = (self.sync_interval.as_secs_f64() * REFILL_INTERVALS / interval).ceil();
        let ahead = ahead.clamp(1.0, MAX_TARGET_QUEUE);
        // At most `MAX_TARGET_QUEUE`.
        self.slots() + ahead as u32
    }

    /// Takes the sum in seconds and the count of the service times since the last call.
    pub fn take_samples(&mut self) -> (f64, u32) {
        std::mem::take(&mut self.samples)
    }

    /// Returns the time that one request takes without queueing, in seconds.
    pub fn service_time(&self, typical_time: Option<f64>) -> f64 {
        let time = self.service_time.or(typical_time);
        time.unwrap_or(DEFAULT_SERVICE_TIME.as_secs_f64())
    }

    /// Returns the time between two completions while all slots are in use.
    ///
    /// A rate-limited target gets no more requests than its rate allows, however fast it is.
    pub fn completion_interval(&self, now: Duration, typical_time: Option<f64>) -> Duration {
        let time = self.service_time(typical_time) * self.cold_factor(now);
        let interval = Duration::from_secs_f64(time / self.target.slots.max(1) as f64);
        self.rate
            .map_or(interval, |rate| interval.max(rates::interval(rate)))
    }

    /// Returns the measured service time in seconds, if any was measured.
    pub fn measured_time(&self) -> Option<f64> {
        self.service_time
    }

    /// Returns how long ago the service time was last measured, if it ever was.
    pub fn measured_age(&self, now: Duration) -> Option<Duration> {
        self.service_time?;
        Some(now.saturating_sub(self.measured_at))
    }

    /// Returns whether the target is, or may be, cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.warmup_limiter.is_active(now)
    }

    /// Returns the factor by which service times are longer now than at a warm target.
    fn cold_factor(&self, now: Duration) -> f64 {
        if self.is_cold(now) { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the expected response time of a request sent now, in seconds.
    pub fn expected_time(&self, now: Duration, typical_time: Option<f64>) -> f64 {
        let slots = self.target.slots.max(1) as f64;
        let depth = self.depth(now);
        let queued = (depth + 1.0 - slots).max(0.0) / slots;
        // Even below its slots, a target with fewer requests is the better choice.
        let busy = depth.min(slots) / slots * 0.25;
        let time = self.service_time(typical_time) * self.cold_factor(now);
        let wait = self.quota.as_ref().map_or(0.0, |it| it.wait.as_secs_f64());
        wait + time * (1.0 + queued + busy) + self.overdue(now, time * (1.0 + queued))
    }

    /// Returns how much longer than typical the oldest request has taken, in seconds.
    ///
    /// This shows that a target has become slow before its first response.
    fn overdue(&self, now: Duration, typical_time: f64) -> f64 {
        let oldest = self.sent_times.iter().min();
        let elapsed = oldest.map_or(0.0, |at| now.saturating_sub(*at).as_secs_f64());
        (elapsed - typical_time * OVERDUE_FACTOR).max(0.0)
    }

    /// Returns the recent failure rate, from 0 to 1.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_HALF_LIFE_SECS).exp2()
    }

    /// Returns whether the target may get requests now.
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.backoff_until && !self.address_reused && self.warmup_limiter.allows(now)
    }

    /// Returns whether the target fails too often to get more than single probes.
    pub fn is_failing(&self, now: Duration) -> bool {
        self.failure_rate(now) > MAX_FAILURE_RATE && now < self.last_sent_at + PROBE_INTERVAL
    }

    /// Returns whether a single request should probe the target's speed, though no response is expected in time.
    ///
    /// An idle target may seem slow because of outdated measurements, and only another response can correct that.
    pub fn needs_probe(&self, now: Duration) -> bool {
        let idle = self.own_in_flight == 0 && self.depth(now) < f64::from(self.slots());
        let has_queue = self.quota.as_ref().is_some_and(|it| it.busy);
        idle && !has_queue
            && self.rate.is_none()
            && now >= self.last_sent_at.max(self.measured_at) + PROBE_INTERVAL
    }

    /// Records that the request that was just sent is a probe: no response is expected in time.
    pub fn record_probe(&mut self, now: Duration) {
        self.probe_sent_at = Some(now);
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.own_in_flight += 1;
        self.warmup_limiter.record_sent(now);
        self.rate_limiter.record_sent(now);
        self.sent_times.push(now);
        self.last_sent_at = now;
    }
}
