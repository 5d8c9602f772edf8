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
    warmup::{Gate, Limit},
};
use crate::{
    catalogue::Target,
    target::{LoadReport, Rate},
};

/// The part of a new sample in averages of times.
const PART: f64 = 0.15;
/// The time in which a load report loses most of its weight to the mean of reports.
///
/// Requests last some 50 to 250 ms; a report older than that tells little of who runs now.
const REPORT_LIFE: Duration = Duration::from_millis(200);
/// How long the manager's word on other VMs' requests counts, at the least.
const TOLD_LIFE: Duration = Duration::from_millis(250);
/// After how many pauses it doesn't: one word may be lost on its way.
const TOLD_PAUSES: u32 = 3;
/// The pause between two words that is assumed before the first.
const PAUSE_USUAL: Duration = Duration::from_millis(40);
/// How long it may take from a request's end until the next has its place, in pauses between two words of the
/// manager.
const EXCHANGE_PAUSES: f64 = 1.5;
/// How long it takes to get a right to send, in pauses between two words of the manager.
const RIGHT_PAUSES: f64 = 2.0;
/// How long that may take, in service times: with one request waiting at the target, its slots go on meanwhile.
const RIGHT_TIMES: f64 = 1.5;
/// How many requests a target may have waiting, from all VMs, as far as this VM can tell.
///
/// Targets queue some 8 and may break connections when full; VMs see each other's requests late, so
/// the last places are left empty.
pub const QUEUE_USED: f64 = 5.0;
/// For how long no request may wait for a target until its line counts as ended, at the least: a few words
/// of the manager, in which the line may be empty by chance.
const BUSY_PAUSE: Duration = Duration::from_millis(250);
/// The service time that is assumed, at the least, of a service of which nothing was measured.
pub(super) const UNKNOWN_TIME: Duration = Duration::from_millis(80);
/// By how much a target that has just started is taken to be slower: a factor of two that wears off.
const COLD: f64 = 1.7;
/// How long a target is left alone after it could not be reached.
const LEFT_ALONE: Duration = Duration::from_millis(400);
/// The longest time for which it is left alone: a target that came back earlier is missed so long.
const LEFT_ALONE_MOST: Duration = Duration::from_millis(1600);
/// The share of failures above which a target is tried by single requests only.
const BAD: f64 = 0.35;
/// After how many usual times a request counts as overdue: one in a hundred takes five.
const OVERDUE: f64 = 4.0;
/// The pause between two single requests to a target that fails, or that is believed too slow.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);
/// What failed requests weigh in the share of failures.
const FAILURE_PART: f64 = 0.2;
/// How long it takes a share of failures without new answers to halve.
const FAILURE_HALF: f64 = 3.0;

/// One target as this VM knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The target.
    pub target: Target,
    /// This VM's requests there.
    pub own: u32,
    /// When those were sent.
    sent_at: Vec<Duration>,
    others: f64,
    others_mean: f64,
    reported: Option<Duration>,
    /// Other VMs' requests, as the manager told, and when.
    told: Option<(u32, Duration)>,
    /// The time from that word to the next.
    pause: Duration,
    /// What may be sent here until the manager's next word, while requests wait for this target.
    share: Option<Quota>,
    /// Since when requests have waited for it, with short pauses at the most.
    busy_since: Option<Duration>,
    /// When they did so last.
    busy_at: Duration,
    /// Sum in seconds and count of service times, not yet told.
    samples: (f64, u32),
    time: Option<f64>,
    /// When that was learnt.
    learnt_at: Duration,
    failures: f64,
    failed_at: Duration,
    alone_until: Duration,
    alone_for: Duration,
    trial_at: Duration,
    /// Another target answers at its address.
    absent: bool,
    /// Until when it is cold, and what this VM may send there meanwhile.
    gate: Gate,
    /// The rate to which it asks to be held.
    rate: Option<Rate>,
    /// What this VM may send there by itself while it does.
    pace: Gate,
}

impl Member {
    /// Creates what is believed of a target that has just been announced.
    pub fn new(target: Target, now: Duration) -> Self {
        Self {
            target,
            own: 0,
            sent_at: Vec::new(),
            others: 0.0,
            others_mean: 0.0,
            reported: None,
            told: None,
            pause: PAUSE_USUAL,
            share: None,
            busy_since: None,
            busy_at: Duration::ZERO,
            samples: (0.0, 0),
            time: None,
            learnt_at: Duration::ZERO,
            failures: 0.0,
            failed_at: now,
            alone_until: Duration::ZERO,
            alone_for: LEFT_ALONE,
            trial_at: Duration::ZERO,
            absent: false,
            gate: Gate::default(),
            rate: None,
            pace: Gate::default(),
        }
    }

    /// Takes a newer announcement of the same life in.
    pub fn announce(&mut self, target: &Target) {
        self.absent &= self.target.address == target.address;
        self.target = target.clone();
    }

    /// Takes note until when it is cold, and what this VM may send there meanwhile.
    pub fn cool(&mut self, until: Duration, limit: Limit) {
        self.gate.set(until, limit);
    }

    /// Takes note of the rate to which it asks to be held, and of what this VM may send there by itself.
    pub fn hold_to(&mut self, rate: Option<Rate>, limit: Limit) {
        self.rate = rate;
        let until = rate.map_or(Duration::ZERO, |_| Duration::MAX);
        self.pace.set(until, limit);
    }

    /// Returns whether this VM may send there by itself, as far as the target asks to be held to a rate.
    pub fn has_pace(&self, now: Duration) -> bool {
        self.pace.is_open(now)
    }

    /// Returns the rate to which it asks to be held.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns how many requests are probably there, from all VMs.
    pub fn depth(&self, now: Duration) -> f64 {
        if let Some((others, _)) = self.told.filter(|(_, at)| now < *at + self.told_life()) {
            return f64::from(self.own + others);
        }
        let others = self.reported.map_or(self.others_mean, |at| {
            let age = now.saturating_sub(at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
            self.others_mean + (self.others - self.others_mean) * (-age).exp()
        });
        f64::from(self.own) + others
    }

    /// Returns how old the manager's word on other VMs' requests is.
    pub fn told_age(&self, now: Duration) -> Option<Duration> {
        self.told.map(|(_, at)| now.saturating_sub(at))
    }

    /// Takes note of other VMs' requests there, and of this VM's share of the room.
    ///
    /// `pause` is the time until the next such word.
    pub fn tell(&mut self, now: Duration, others: u32, share: Option<Quota>, pause: Duration) {
        self.told = Some((others, now));
        self.pause = pause;
        let busy = share.as_ref().is_some_and(|share| share.busy);
        self.share = share;
        if busy {
            self.busy_since.get_or_insert(now);
            self.busy_at = now;
        } else if now > self.busy_at + BUSY_PAUSE.max(pause * TOLD_PAUSES) {
            self.busy_since = None;
        }
    }

    /// Returns whether the manager shares out the room here: it has told lately, and rights come in time.
    ///
    /// Who waits for a right gets it two words of the manager later. Where a request takes less time than that,
    /// a slot would rest after each request; whoever sees room sends then. The owner of a key is sent to by
    /// rights all the same: its requests have nowhere else to go, and would fill its queue.
    pub fn is_shared(&self, now: Duration, usual: Option<f64>, keyed: bool) -> bool {
        let told = self.told.is_some_and(|(_, at)| now < at + self.told_life());
        let asking = self.pause.as_secs_f64() * RIGHT_PAUSES;
        told && (keyed || asking <= self.time(usual) * RIGHT_TIMES)
    }

    /// Returns the time between two words of the manager.
    pub fn pause(&self) -> Duration {
        self.pause
    }

    fn told_life(&self) -> Duration {
        TOLD_LIFE.max(self.pause * TOLD_PAUSES)
    }

    /// Returns this VM's share of the room, if requests wait for this target.
    pub fn share(&self) -> Option<&Quota> {
        self.share.as_ref()
    }

    /// Uses a right to send, of a request that can still be answered within its goal or of another.
    pub fn use_share(&mut self, fresh: bool) {
        if let Some(share) = &mut self.share {
            let room = if fresh {
                &mut share.within_goal
            } else {
                &mut share.past_goal
            };
            *room = room.saturating_sub(1);
        }
    }

    /// Returns since when requests that can still be answered in time have waited for this target.
    pub fn busy_since(&self) -> Option<Duration> {
        self.busy_since
    }

    /// Returns how many requests the target works on at a time.
    pub fn slots(&self) -> u32 {
        u32::try_from(self.target.slots.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns how many requests may be there at once: what it works on, and what it ends until the
    /// manager has told every VM of its free places.
    pub fn limit(&self, now: Duration, usual: Option<f64>) -> u32 {
        let turn = self.turn(now, usual).as_secs_f64().max(0.001);
        let ahead = (self.pause.as_secs_f64() * EXCHANGE_PAUSES / turn).ceil();
        let ahead = ahead.clamp(1.0, QUEUE_USED);
        // A few at most.
        self.slots() + ahead as u32
    }

    /// Takes the sum in seconds and the count of service times since the last call.
    pub fn take_samples(&mut self) -> (f64, u32) {
        std::mem::take(&mut self.samples)
    }

    /// Returns the time that one request takes there, without waiting, in seconds.
    pub fn time(&self, usual: Option<f64>) -> f64 {
        let time = self.time.or(usual);
        time.unwrap_or(UNKNOWN_TIME.as_secs_f64())
    }

    /// Returns how often the target ends a request while all its slots are in use.
    ///
    /// A target that is held to a rate is sent no more than that, however fast it is.
    pub fn turn(&self, now: Duration, usual: Option<f64>) -> Duration {
        let time = self.time(usual) * self.cold_factor(now);
        let turn = Duration::from_secs_f64(time / self.target.slots.max(1) as f64);
        self.rate.map_or(turn, |rate| turn.max(rates::turn(rate)))
    }

    /// Returns the measured service time in seconds, if any was measured.
    pub fn measured(&self) -> Option<f64> {
        self.time
    }

    /// Returns whether the target is cold, or may be.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.gate.is_cold(now)
    }

    /// By how much service times are longer now than when the target is warm.
    fn cold_factor(&self, now: Duration) -> f64 {
        if self.is_cold(now) { COLD } else { 1.0 }
    }

    /// Returns the time that a request sent now would probably take, in seconds.
    pub fn expected(&self, now: Duration, usual: Option<f64>) -> f64 {
        let slots = self.target.slots.max(1) as f64;
        let depth = self.depth(now);
        let queued = (depth + 1.0 - slots).max(0.0) / slots;
        // Even below its slots, a target with fewer requests is the better choice.
        let busy = depth.min(slots) / slots * 0.25;
        let time = self.time(usual) * self.cold_factor(now);
        let wait = self.share.as_ref().map_or(0.0, |it| it.wait.as_secs_f64());
        wait + time * (1.0 + queued + busy) + self.overdue(now, time * (1.0 + queued))
    }

    /// Returns by how much the oldest request outlasts what is usual, in seconds.
    ///
    /// A target that has turned slow shows so before its first answer.
    fn overdue(&self, now: Duration, usual: f64) -> f64 {
        let oldest = self.sent_at.iter().min();
        let waited = oldest.map_or(0.0, |at| now.saturating_sub(*at).as_secs_f64());
        (waited - usual * OVERDUE).max(0.0)
    }

    /// Returns the share of failures among the latest answers.
    pub fn failures(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failures * (-age / FAILURE_HALF).exp2()
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.alone_until && !self.absent && self.gate.is_open(now)
    }

    /// Returns whether it fails too often for other than single trials.
    pub fn is_bad(&self, now: Duration) -> bool {
        self.failures(now) > BAD && now < self.trial_at + TRIAL_PAUSE
    }

    /// Returns whether a single request should find out how fast it is, though no answer is expected in time.
    ///
    /// A target that has nothing to do is believed slow by answers from a time that may be over, and only
    /// another answer can tell.
    pub fn is_due(&self, now: Duration) -> bool {
        let idle = self.own == 0 && self.depth(now) < f64::from(self.slots());
        let awaited = self.share.as_ref().is_some_and(|share| share.busy);
        idle && !awaited
            && self.rate.is_none()
            && now >= self.trial_at.max(self.learnt_at) + TRIAL_PAUSE
    }

    /// Takes note of a request that is sent.
    pub fn sent(&mut self, now: Duration) {
        self.own += 1;
        self.gate.pass(now);
        self.pace.pass(now);
        self.sent_at.push(now);
        self.trial_at = now;
    }

    /// Takes note of a request's end.
    pub fn ended(&mut self, now: Duration, completion: Completion) {
        let Completion {
            kind: ended,
            sent,
            depth,
            load,
            ownership: owned,
        } = completion;
        self.own = self.own.saturating_sub(1);
        if let Some(at) = self.sent_at.iter().position(|at| *at == sent) {
            self.sent_at.swap_remove(at);
        }
        if let Some(load) = load {
            self.report(now, load);
        }
        match ended {
            CompletionKind::Answered(took) => {
                self.learn(now, took, depth);
                self.fail(now, 0.0);
                self.alone_for = LEFT_ALONE;
            }
            CompletionKind::Refused => self.fail(now, 0.5),
            CompletionKind::Failed | CompletionKind::Lost => self.fail(now, 1.0),
            CompletionKind::ConnectFailed | CompletionKind::ConnectRefused => {
                self.alone_until = now + self.alone_for;
                self.alone_for = (self.alone_for * 2).min(LEFT_ALONE_MOST);
            }
            // Without a key only another target refuses so, and goes on to: the address was used again.
            // With one it says nothing of the target's health.
            CompletionKind::Misdirected => self.absent |= owned.is_none(),
            CompletionKind::Abandoned(waited) => self.outlast(now, waited, depth),
        }
    }

    fn report(&mut self, now: Duration, load: LoadReport) {
        let all = f64::from(load.running + load.waiting);
        self.others = (all - f64::from(self.own)).max(0.0);
        self.others_mean += (self.others - self.others_mean) * PART;
        self.reported = Some(now);
    }

    /// Learns the service time from an answer that came after `depth` others.
    fn learn(&mut self, now: Duration, took: Duration, depth: f64) {
        self.learnt_at = now;
        let slots = self.target.slots.max(1) as f64;
        let queued = ((depth + 1.0 - slots).max(0.0) / slots).min(4.0);
        let sample = took.as_secs_f64() / (1.0 + queued);
        self.samples.0 += sample;
        self.samples.1 += 1;
        let mean = self.time.get_or_insert(sample);
        *mean += (sample - *mean) * PART;
    }

    /// Learns from a request that was given up: it would have taken longer still.
    fn outlast(&mut self, now: Duration, waited: Duration, depth: f64) {
        let slots = self.target.slots.max(1) as f64;
        let queued = ((depth + 1.0 - slots).max(0.0) / slots).min(4.0);
        let least = waited.as_secs_f64() / (1.0 + queued);
        if self.time.is_some_and(|time| least > time) {
            self.learn(now, waited, depth);
        }
    }

    fn fail(&mut self, now: Duration, sample: f64) {
        let before = self.failures(now);
        self.failures = before + (sample - before) * FAILURE_PART;
        self.failed_at = now;
    }
}
