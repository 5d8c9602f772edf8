//! What one VM believes of one target's load and health.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests, slots and keys are far below 2^31 and never negative"
)]

use std::time::Duration;

use super::{
    completion::{Completion, CompletionKind},
    quota::Quota,
    rates,
    warmup::{SendLimit, SendLimiter},
};
use crate::{
    catalogue::Target,
    target::{LoadReport, Rate},
};

/// The part of a new sample in averages of times.
const AVERAGE_WEIGHT: f64 = 0.15;
/// The time in which a load report loses most of its weight to the mean of reports.
///
/// Requests last some 50 to 250 ms; a report older than that tells little of who runs now.
const REPORT_DECAY: Duration = Duration::from_millis(200);
/// How long the manager's word on other VMs' requests counts, at the least.
const MIN_SYNC_VALIDITY: Duration = Duration::from_millis(250);
/// After how many pauses it doesn't: one word may be lost on its way.
const SYNC_VALIDITY_INTERVALS: u32 = 3;
/// The pause between two words that is assumed before the first.
const DEFAULT_SYNC_INTERVAL: Duration = Duration::from_millis(40);
/// How long it may take from a request's end until the next has its place, in pauses between two words of the
/// manager.
const REFILL_INTERVALS: f64 = 1.5;
/// How long it takes to get a right to send, in pauses between two words of the manager.
const QUOTA_INTERVALS: f64 = 2.0;
/// How long that may take, in service times: with one request waiting at the target, its slots go on meanwhile.
const QUOTA_SERVICE_TIMES: f64 = 1.5;
/// How many requests a target may have waiting, from all VMs, as far as this VM can tell.
///
/// Targets queue some 8 and may break connections when full; VMs see each other's requests late, so
/// the last places are left empty.
pub const MAX_TARGET_QUEUE: f64 = 5.0;
/// For how long no request may wait for a target until its line counts as ended, at the least: a few words
/// of the manager, in which the line may be empty by chance.
const MIN_QUEUE_GAP: Duration = Duration::from_millis(250);
/// The service time that is assumed, at the least, of a service of which nothing was measured.
pub(super) const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(80);
/// By how much a target that has just started is taken to be slower: a factor of two that wears off.
const COLD_FACTOR: f64 = 1.7;
/// How long a target is left alone after it could not be reached.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// The longest time for which it is left alone: a target that came back earlier is missed so long.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);
/// The share of failures above which a target is tried by single requests only.
const MAX_FAILURE_RATE: f64 = 0.35;
/// After how many usual times a request counts as overdue: one in a hundred takes five.
const OVERDUE_FACTOR: f64 = 4.0;
/// The pause between two single requests to a target that fails, or that is believed too slow.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// What failed requests weigh in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// How long it takes a share of failures without new answers to halve.
const FAILURE_HALF_LIFE_SECS: f64 = 3.0;

/// One target as this VM knows it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The target.
    pub target: Target,
    /// This VM's requests there.
    pub own_in_flight: u32,
    /// When those were sent.
    sent_times: Vec<Duration>,
    reported_others: f64,
    mean_others: f64,
    reported_at: Option<Duration>,
    /// Other VMs' requests, as the manager told, and when.
    synced: Option<(u32, Duration)>,
    /// The time from that word to the next.
    sync_interval: Duration,
    /// What may be sent here until the manager's next word, while requests wait for this target.
    quota: Option<Quota>,
    /// Since when requests have waited for it, with short pauses at the most.
    queued_since: Option<Duration>,
    /// When they did so last.
    queued_at: Duration,
    /// Sum in seconds and count of service times, not yet told.
    samples: (f64, u32),
    service_time: Option<f64>,
    /// When that was learnt.
    measured_at: Duration,
    failure_rate: f64,
    failures_at: Duration,
    backoff_until: Duration,
    backoff: Duration,
    last_sent_at: Duration,
    /// Another target answers at its address.
    address_reused: bool,
    /// Until when it is cold, and what this VM may send there meanwhile.
    warmup_limiter: SendLimiter,
    /// The rate to which it asks to be held.
    rate: Option<Rate>,
    /// What this VM may send there by itself while it does.
    rate_limiter: SendLimiter,
}

impl TargetState {
    /// Creates what is believed of a target that has just been announced.
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
            samples: (0.0, 0),
            service_time: None,
            measured_at: Duration::ZERO,
            failure_rate: 0.0,
            failures_at: now,
            backoff_until: Duration::ZERO,
            backoff: MIN_BACKOFF,
            last_sent_at: Duration::ZERO,
            address_reused: false,
            warmup_limiter: SendLimiter::default(),
            rate: None,
            rate_limiter: SendLimiter::default(),
        }
    }

    /// Takes a newer announcement of the same life in.
    pub fn update(&mut self, target: &Target) {
        self.address_reused &= self.target.address == target.address;
        self.target = target.clone();
    }

    /// Takes note until when it is cold, and what this VM may send there meanwhile.
    pub fn set_warmup(&mut self, until: Duration, limit: SendLimit) {
        self.warmup_limiter.set(until, limit);
    }

    /// Takes note of the rate to which it asks to be held, and of what this VM may send there by itself.
    pub fn set_rate(&mut self, rate: Option<Rate>, limit: SendLimit) {
        self.rate = rate;
        let until = rate.map_or(Duration::ZERO, |_| Duration::MAX);
        self.rate_limiter.set(until, limit);
    }

    /// Returns whether this VM may send there by itself, as far as the target asks to be held to a rate.
    pub fn allows_rate(&self, now: Duration) -> bool {
        self.rate_limiter.allows(now)
    }

    /// Returns the rate to which it asks to be held.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns how many requests are probably there, from all VMs.
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

    /// Returns how old the manager's word on other VMs' requests is.
    pub fn sync_age(&self, now: Duration) -> Option<Duration> {
        self.synced.map(|(_, at)| now.saturating_sub(at))
    }

    /// Takes note of other VMs' requests there, and of this VM's share of the room.
    ///
    /// `pause` is the time until the next such word.
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
        if busy {
            self.queued_since.get_or_insert(now);
            self.queued_at = now;
        } else if now > self.queued_at + MIN_QUEUE_GAP.max(sync_interval * SYNC_VALIDITY_INTERVALS)
        {
            self.queued_since = None;
        }
    }

    /// Returns whether the manager shares out the room here: it has told lately, and rights come in time.
    ///
    /// Who waits for a right gets it two words of the manager later. Where a request takes less time than that,
    /// a slot would rest after each request; whoever sees room sends then. The owner of a key is sent to by
    /// rights all the same: its requests have nowhere else to go, and would fill its queue.
    pub fn uses_quota(&self, now: Duration, typical_time: Option<f64>, keyed: bool) -> bool {
        let synced = self
            .synced
            .is_some_and(|(_, at)| now < at + self.sync_validity());
        let quota_delay = self.sync_interval.as_secs_f64() * QUOTA_INTERVALS;
        synced && (keyed || quota_delay <= self.service_time(typical_time) * QUOTA_SERVICE_TIMES)
    }

    /// Returns the time between two words of the manager.
    pub fn sync_interval(&self) -> Duration {
        self.sync_interval
    }

    fn sync_validity(&self) -> Duration {
        MIN_SYNC_VALIDITY.max(self.sync_interval * SYNC_VALIDITY_INTERVALS)
    }

    /// Returns this VM's share of the room, if requests wait for this target.
    pub fn quota(&self) -> Option<&Quota> {
        self.quota.as_ref()
    }

    /// Uses a right to send, of a request that can still be answered within its goal or of another.
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

    /// Returns since when requests that can still be answered in time have waited for this target.
    pub fn queued_since(&self) -> Option<Duration> {
        self.queued_since
    }

    /// Returns how many requests the target works on at a time.
    pub fn slots(&self) -> u32 {
        u32::try_from(self.target.slots.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns how many requests may be there at once: what it works on, and what it ends until the
    /// manager has told every VM of its free places.
    pub fn max_in_flight(&self, now: Duration, typical_time: Option<f64>) -> u32 {
        let interval = self
            .completion_interval(now, typical_time)
            .as_secs_f64()
            .max(0.001);
        let ahead = (self.sync_interval.as_secs_f64() * REFILL_INTERVALS / interval).ceil();
        let ahead = ahead.clamp(1.0, MAX_TARGET_QUEUE);
        // A few at most.
        self.slots() + ahead as u32
    }

    /// Takes the sum in seconds and the count of service times since the last call.
    pub fn take_samples(&mut self) -> (f64, u32) {
        std::mem::take(&mut self.samples)
    }

    /// Returns the time that one request takes there, without waiting, in seconds.
    pub fn service_time(&self, typical_time: Option<f64>) -> f64 {
        let time = self.service_time.or(typical_time);
        time.unwrap_or(DEFAULT_SERVICE_TIME.as_secs_f64())
    }

    /// Returns how often the target ends a request while all its slots are in use.
    ///
    /// A target that is held to a rate is sent no more than that, however fast it is.
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

    /// Returns whether the target is cold, or may be.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.warmup_limiter.is_active(now)
    }

    /// By how much service times are longer now than when the target is warm.
    fn cold_factor(&self, now: Duration) -> f64 {
        if self.is_cold(now) { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the time that a request sent now would probably take, in seconds.
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

    /// Returns by how much the oldest request outlasts what is usual, in seconds.
    ///
    /// A target that has turned slow shows so before its first answer.
    fn overdue(&self, now: Duration, usual: f64) -> f64 {
        let oldest = self.sent_times.iter().min();
        let waited = oldest.map_or(0.0, |at| now.saturating_sub(*at).as_secs_f64());
        (waited - usual * OVERDUE_FACTOR).max(0.0)
    }

    /// Returns the share of failures among the latest answers.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failures_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_HALF_LIFE_SECS).exp2()
    }

    /// Returns whether a request may be sent now.
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.backoff_until && !self.address_reused && self.warmup_limiter.allows(now)
    }

    /// Returns whether it fails too often for other than single trials.
    pub fn is_failing(&self, now: Duration) -> bool {
        self.failure_rate(now) > MAX_FAILURE_RATE && now < self.last_sent_at + PROBE_INTERVAL
    }

    /// Returns whether a single request should find out how fast it is, though no answer is expected in time.
    ///
    /// A target that has nothing to do is believed slow by answers from a time that may be over, and only
    /// another answer can tell.
    pub fn needs_probe(&self, now: Duration) -> bool {
        let idle = self.own_in_flight == 0 && self.depth(now) < f64::from(self.slots());
        let has_queue = self.quota.as_ref().is_some_and(|it| it.busy);
        idle && !has_queue
            && self.rate.is_none()
            && now >= self.last_sent_at.max(self.measured_at) + PROBE_INTERVAL
    }

    /// Takes note of a request that is sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.own_in_flight += 1;
        self.warmup_limiter.record_sent(now);
        self.rate_limiter.record_sent(now);
        self.sent_times.push(now);
        self.last_sent_at = now;
    }

    /// Takes note of a request's end.
    pub fn record_completion(&mut self, now: Duration, completion: Completion) {
        let Completion {
            kind: ended,
            sent,
            depth,
            load,
            ownership: owned,
        } = completion;
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        if let Some(at) = self.sent_times.iter().position(|at| *at == sent) {
            self.sent_times.swap_remove(at);
        }
        if let Some(load) = load {
            self.record_load(now, load);
        }
        match ended {
            CompletionKind::Answered(took) => {
                self.record_service_time(now, took, depth);
                self.record_outcome(now, 0.0);
                self.backoff = MIN_BACKOFF;
            }
            CompletionKind::Refused => self.record_outcome(now, 0.5),
            CompletionKind::Failed | CompletionKind::Lost => self.record_outcome(now, 1.0),
            CompletionKind::ConnectFailed | CompletionKind::ConnectRefused => {
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            // Without a key only another target refuses so, and goes on to: the address was used again.
            // With one it says nothing of the target's health.
            CompletionKind::Misdirected => self.address_reused |= owned.is_none(),
            CompletionKind::Abandoned(waited) => self.record_abandoned(now, waited, depth),
        }
    }

    fn record_load(&mut self, now: Duration, load: LoadReport) {
        let all = f64::from(load.running + load.waiting);
        self.reported_others = (all - f64::from(self.own_in_flight)).max(0.0);
        self.mean_others += (self.reported_others - self.mean_others) * AVERAGE_WEIGHT;
        self.reported_at = Some(now);
    }

    /// Learns the service time from an answer that came after `depth` others.
    fn record_service_time(&mut self, now: Duration, took: Duration, depth: f64) {
        self.measured_at = now;
        let slots = self.target.slots.max(1) as f64;
        let queued = ((depth + 1.0 - slots).max(0.0) / slots).min(4.0);
        let sample = took.as_secs_f64() / (1.0 + queued);
        self.samples.0 += sample;
        self.samples.1 += 1;
        let mean = self.service_time.get_or_insert(sample);
        *mean += (sample - *mean) * AVERAGE_WEIGHT;
    }

    /// Learns from a request that was given up: it would have taken longer still.
    fn record_abandoned(&mut self, now: Duration, waited: Duration, depth: f64) {
        let slots = self.target.slots.max(1) as f64;
        let queued = ((depth + 1.0 - slots).max(0.0) / slots).min(4.0);
        let least = waited.as_secs_f64() / (1.0 + queued);
        if self.service_time.is_some_and(|time| least > time) {
            self.record_service_time(now, waited, depth);
        }
    }

    fn record_outcome(&mut self, now: Duration, sample: f64) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (sample - before) * FAILURE_WEIGHT;
        self.failures_at = now;
    }
}
