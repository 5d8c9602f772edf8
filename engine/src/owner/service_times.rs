//! The service time of each target: how long one request takes there, as all VMs measured it recently.
//!
//! It handles these patterns:
//!
//! - *Targets of one service differ in speed, and few requests were measured*: a target's estimate is its mean, shrunk
//!   towards the service's median by the number of samples. The more the targets differ, the less they are shrunk.
//! - *One request in thirty takes seven times as long*: samples far from the mean count only up to a factor.
//! - *A target becomes several times slower*: a change that lasts for three samples replaces the mean at once. A target
//!   with two slots that takes a second for each request gives three samples in some 1.5 s.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of targets are far below 2^52"
)]

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;

use crate::catalogue::{self, StartTime, Target, TargetHash, TargetId};

/// The time in which a measurement loses half its weight.
///
/// The mean of a target that serves 17 requests per second is then computed from some hundred of them and is exact
/// to 5 %; with one second instead of four, the scatter alone moved a third more keys.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The factor, up or down, up to which a sample counts as different from the mean.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// What each sample takes off the evidence of a change, as a logarithm of a factor: single times scatter by a third.
const EVIDENCE_DRIFT: f64 = 0.35;
/// The evidence that replaces the mean: three samples in a row that differ by [`MAX_SAMPLE_FACTOR`] give 2.2.
///
/// With one request in thirty far slower than the rest, that happens by chance once in some 27,000 requests.
const CHANGE_EVIDENCE: f64 = 2.0;
/// How many measurements [`ServiceTimes::mean`] needs: single times scatter by a third, and it knows no prior.
const MIN_COUNT: u32 = 12;
/// The variance of the logarithm of single times at one target.
const SAMPLE_VARIANCE: f64 = 0.2;
/// The minimum and maximum weight of the median, in samples.
///
/// Above the maximum, a single slow target among alike ones would stay unnoticed for too long.
const PRIOR_WEIGHTS: (f64, f64) = (1.5, 8.0);
/// The maximum weight of the median for a target that has changed, in samples: it is known to differ from itself.
const CHANGED_PRIOR_WEIGHT: f64 = 3.0;
/// The minimum weight with which a target's mean counts for how much targets differ, in samples.
const MIN_SPREAD_WEIGHT: f64 = 3.0;
/// The range of plausible service times, in seconds; others are ignored.
const PLAUSIBLE_SECS: std::ops::Range<f64> = 0.000_01..120.0;
/// How many targets are kept; beyond it, those that were not measured for [`RETENTION`] are dropped.
const MAX_TARGETS: usize = 10_000;
/// For how long a target without measurements is kept when there are too many.
const RETENTION: Duration = Duration::from_mins(1);

/// The evidence that a target has changed in one direction, and the samples since it began.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    score: f64,
    /// The sum of the logarithms of the samples, weighted by their counts.
    log_sum: f64,
    count: f64,
}

impl Evidence {
    /// Adds samples with this factor to the mean; returns the new mean in seconds if the evidence is sufficient.
    fn add(&mut self, log_factor: f64, sample: f64, count: f64) -> Option<f64> {
        let max = MAX_SAMPLE_FACTOR.ln();
        // The mean of several samples may be that of a single slow one among them.
        self.score += (log_factor.clamp(-max, max) - EVIDENCE_DRIFT) * count.sqrt();
        if self.score <= 0.0 {
            *self = Self::default();
            return None;
        }
        self.log_sum += sample.ln() * count;
        self.count += count;
        (self.score > CHANGE_EVIDENCE).then(|| (self.log_sum / self.count).exp())
    }
}

/// The weighted average of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// The mean, in seconds.
    mean: f64,
    /// The weight of the mean, in samples.
    weight: f64,
    /// How many measurements were ever added.
    count: u32,
    slower: Evidence,
    faster: Evidence,
    /// Whether the mean was ever replaced because the target had changed.
    has_changed: bool,
    updated_at: Duration,
    /// When the target's process started, once known.
    start_time: Option<StartTime>,
}

impl Average {
    /// Adds samples with this mean, in seconds.
    fn add(&mut self, now: Duration, sample: f64, count: u32) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.weight *= (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        self.updated_at = now;
        let samples = f64::from(count);
        if self.count == 0 {
            (self.mean, self.weight, self.count) = (sample, samples, count);
            return;
        }
        self.count = self.count.saturating_add(count);
        let log_factor = (sample / self.mean).ln();
        let slower = self.slower.add(log_factor, sample, samples);
        let faster = self.faster.add(-log_factor, sample, samples);
        if let Some(changed) = slower.or(faster) {
            self.weight = self.slower.count.max(self.faster.count);
            self.mean = changed;
            self.has_changed = true;
            (self.slower, self.faster) = (Evidence::default(), Evidence::default());
            return;
        }
        let limited = sample.clamp(self.mean / MAX_SAMPLE_FACTOR, self.mean * MAX_SAMPLE_FACTOR);
        self.weight += samples;
        self.mean += (limited - self.mean) * samples / self.weight;
    }
}

/// The service time of one target with what it was derived from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The time of one request, in seconds.
    pub time: f64,
    /// The weight of the target's own samples, in samples; 0 if the time is the median of the service.
    pub weight: f64,
    /// How long ago the target was last measured, if it ever was.
    pub age: Option<Duration>,
}

/// Service times by target, without the time in a queue.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::service_times::ServiceTimes;
///
/// let mut times = ServiceTimes::default();
/// times.add(Duration::from_secs(1), 7, 1.2, 20);
/// assert_eq!(times.mean(7), Some(0.06));
/// assert_eq!(times.mean(8), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes(HashMap<TargetHash, Average>);

impl ServiceTimes {
    /// Adds measurements of a target, given as their sum in seconds and their count; ignores implausible ones.
    ///
    /// # Example
    ///
    /// See [`ServiceTimes`].
    pub fn add(&mut self, now: Duration, target: TargetHash, sum: f64, count: u32) {
        let sample = sum / f64::from(count);
        // A count of zero gives NaN or infinity, which no range contains.
        if !PLAUSIBLE_SECS.contains(&sample) {
            return;
        }
        if self.0.len() >= MAX_TARGETS && !self.0.contains_key(&target) {
            self.0
                .retain(|_, average| now < average.updated_at + RETENTION);
        }
        self.0.entry(target).or_default().add(now, sample, count);
    }

    /// Returns the mean service time of a target in seconds, if enough was measured.
    ///
    /// It stays the same while nothing new is measured.
    ///
    /// # Example
    ///
    /// See [`ServiceTimes`].
    pub fn mean(&self, target: TargetHash) -> Option<f64> {
        let average = self.0.get(&target)?;
        (average.count >= MIN_COUNT).then(|| average.mean.max(0.001))
    }

    /// Forgets what was measured of earlier incarnations of targets.
    ///
    /// # Example
    ///
    /// See [`ServiceTimes::estimates`].
    pub fn forget_earlier(&mut self, targets: &[Target]) {
        for target in targets {
            let Some(average) = self.0.get_mut(&catalogue::hash(&target.id)) else {
                continue;
            };
            let start_time = average.start_time.replace(target.start_time);
            if start_time.is_some_and(|it| it != target.start_time) {
                *average = Average {
                    start_time: average.start_time,
                    updated_at: average.updated_at,
                    ..Average::default()
                };
            }
        }
    }

    /// Returns the service times of the targets of one service; empty if none of them was measured.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{
    ///     catalogue::{self, Target},
    ///     owner::service_times::ServiceTimes,
    /// };
    ///
    /// let target = |id: &str| Target {
    ///     id: id.into(),
    ///     start_time: 1,
    ///     service: "s".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     domain: "d".into(),
    ///     slots: 2,
    ///     leaving: false,
    ///     cold: Duration::ZERO,
    /// };
    /// let targets = ["a", "b", "new"].map(target);
    /// let mut times = ServiceTimes::default();
    /// times.add(Duration::ZERO, catalogue::hash("a"), 2.0, 20);
    /// times.add(Duration::ZERO, catalogue::hash("b"), 4.0, 20);
    /// times.forget_earlier(&targets);
    /// let estimates = times.estimates(Duration::ZERO, &targets);
    /// assert!(estimates["a"].time < 0.12 && estimates["b"].time > 0.18);
    /// assert_eq!(estimates["new"].weight, 0.0);
    ///
    /// let restarted = Target { start_time: 2, ..target("a") };
    /// times.forget_earlier(&[restarted]);
    /// assert_eq!(times.estimates(Duration::ZERO, &targets)["a"].weight, 0.0);
    /// ```
    pub fn estimates(&self, now: Duration, targets: &[Target]) -> IndexMap<TargetId, Estimate> {
        let averages: Vec<Option<&Average>> = targets
            .iter()
            .map(|it| self.0.get(&catalogue::hash(&it.id)))
            .map(|average| average.filter(|it| it.count > 0))
            .collect();
        let Some(median) = median(averages.iter().flatten().map(|it| it.mean).collect()) else {
            return IndexMap::new();
        };
        let prior = prior_weight(averages.iter().copied().flatten());
        let estimate = |average: &Average| {
            let prior = if average.has_changed {
                prior.min(CHANGED_PRIOR_WEIGHT)
            } else {
                prior
            };
            let sum = prior * median + average.weight * average.mean;
            Estimate {
                time: sum / (prior + average.weight),
                weight: average.weight,
                age: Some(now.saturating_sub(average.updated_at)),
            }
        };
        let unmeasured = Estimate {
            time: median,
            weight: 0.0,
            age: None,
        };
        let estimates = averages
            .into_iter()
            .map(|it| it.map_or(unmeasured, estimate));
        let ids = targets.iter().map(|it| it.id.clone());
        ids.zip(estimates).collect()
    }
}

/// Returns the weight of the median in the estimates of some targets, in samples: the ratio of the variance of single
/// times to that of the targets' true means.
fn prior_weight<'a, I>(averages: I) -> f64
where
    I: Iterator<Item = &'a Average>,
{
    let (min, max) = PRIOR_WEIGHTS;
    let known: Vec<(f64, f64)> = averages
        .filter(|it| it.weight >= MIN_SPREAD_WEIGHT)
        .map(|it| (it.mean.ln(), SAMPLE_VARIANCE / it.weight))
        .collect();
    if known.len() < 2 {
        return max;
    }
    let count = known.len() as f64;
    let mean = known.iter().map(|(log, _)| log).sum::<f64>() / count;
    let variance = known
        .iter()
        .map(|(log, _)| (log - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0);
    let sampling = known.iter().map(|(_, variance)| variance).sum::<f64>() / count;
    let between = (variance - sampling).max(f64::MIN_POSITIVE);
    (SAMPLE_VARIANCE / between).clamp(min, max)
}

/// Returns the median; of an even count the upper of the two middle values.
pub(super) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
