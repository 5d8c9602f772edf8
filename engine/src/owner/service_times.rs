//! The service time of each target: how long one request takes there, as all VMs measured it recently.
//!
//! Load pattern: two in five targets of a service become twelve times slower at the same moment. A target with
//! two slots then answers three requests per second, so an average over sixty requests would show it as only twice
//! as slow after three seconds, and hot keys would stay there. The average therefore drops old values early when
//! new ones differ much.

use std::{collections::HashMap, time::Duration};

use crate::catalogue::TargetHash;

/// The time in which a measurement loses half its weight.
///
/// The mean of a target that serves 17 requests per second is then computed from some hundred of them and is exact
/// to 5 %; with one second instead of four, the scatter alone moved a third more keys.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The factor, up or down, by which an outlier differs from the mean; two outliers in a row halve the weight
/// of all older measurements.
///
/// One request in a hundred takes five times as long as usual, so a single outlier has no effect; two in a row
/// mean that the target has become slow.
const OUTLIER_FACTOR: f64 = 3.5;
/// How many measurements a target's mean needs: single times scatter by a third.
const MIN_COUNT: u32 = 12;

/// The weighted average of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// The weighted sum, in seconds.
    sum: f64,
    weight: f64,
    /// How many measurements were ever added.
    count: u32,
    /// Whether the last measurement differed from the mean by [`OUTLIER_FACTOR`].
    was_outlier: bool,
    updated_at: Duration,
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
    /// Adds measurements of a target, given as their sum in seconds and their count.
    ///
    /// # Example
    ///
    /// See [`ServiceTimes`].
    pub fn add(&mut self, now: Duration, target: TargetHash, sum: f64, count: u32) {
        let average = self.0.entry(target).or_default();
        let elapsed = now.saturating_sub(average.updated_at).as_secs_f64();
        let mut decay = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        let ratio = sum * average.weight / (average.sum * f64::from(count)).max(f64::MIN_POSITIVE);
        let is_outlier = average.count >= MIN_COUNT
            && !(OUTLIER_FACTOR.recip()..OUTLIER_FACTOR).contains(&ratio);
        if is_outlier && average.was_outlier {
            decay /= 2.0;
        }
        average.was_outlier = is_outlier;
        average.sum = average.sum * decay + sum;
        average.weight = average.weight * decay + f64::from(count);
        average.count = average.count.saturating_add(count);
        average.updated_at = now;
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
        (average.count >= MIN_COUNT).then(|| (average.sum / average.weight).max(0.001))
    }
}
