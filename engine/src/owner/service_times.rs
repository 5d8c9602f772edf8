//! How long one request takes at each target, as all VMs measured it lately.
//!
//! Load pattern: two in five targets of a service turn twelve times slower at one moment. A target with two
//! slots answers three requests a second then, so an average over sixty would take it for twice as slow after
//! three seconds, and busy keys would stay.

use std::{collections::HashMap, time::Duration};

use crate::catalogue::TargetHash;

/// The time in which older measurements lose half their weight against newer ones.
///
/// A target that does 17 requests a second is known by some hundred of them, to within a twentieth: with
/// one second instead of four, the scatter alone moved a third more keys.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// From which factor on, up or down, a measurement makes the older ones lose half their weight.
///
/// One request in a hundred takes five times as long as usual, so one counts for nothing; two in a row
/// are a target that has turned slow.
const SURPRISE: f64 = 3.5;
/// From how many measurements on a target's time counts as known: single times scatter by a third.
const LEAST: u32 = 12;

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    /// The weighted sum, in seconds.
    sum: f64,
    weight: f64,
    /// How many were ever taken in.
    count: u32,
    /// Whether the last one differed by [`SURPRISE`].
    surprised: bool,
    at: Duration,
}

/// ServiceTimes that one request takes, without waiting, by target.
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
pub struct ServiceTimes(HashMap<TargetHash, Total>);

impl ServiceTimes {
    /// Takes in the sum in seconds and the count of some measurements.
    ///
    /// # Example
    ///
    /// See [`ServiceTimes`].
    pub fn add(&mut self, now: Duration, target: TargetHash, sum: f64, count: u32) {
        let total = self.0.entry(target).or_default();
        let passed = now.saturating_sub(total.at).as_secs_f64();
        let mut kept = (-passed / HALF_LIFE.as_secs_f64()).exp2();
        let ratio = sum * total.weight / (total.sum * f64::from(count)).max(f64::MIN_POSITIVE);
        let surprises = total.count >= LEAST && !(SURPRISE.recip()..SURPRISE).contains(&ratio);
        if surprises && total.surprised {
            kept /= 2.0;
        }
        total.surprised = surprises;
        total.sum = total.sum * kept + sum;
        total.weight = total.weight * kept + f64::from(count);
        total.count = total.count.saturating_add(count);
        total.at = now;
    }

    /// Returns the time that one request takes at a target, in seconds, if that is known.
    ///
    /// It stays known while nothing new is measured.
    ///
    /// # Example
    ///
    /// See [`ServiceTimes`].
    pub fn mean(&self, target: TargetHash) -> Option<f64> {
        let total = self.0.get(&target)?;
        (total.count >= LEAST).then(|| (total.sum / total.weight).max(0.001))
    }
}
