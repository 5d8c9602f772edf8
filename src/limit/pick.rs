//! The choice among the targets of a shared service.
//!
//! Requests go to the target with the fewest of this VM's requests in flight. Targets that are much
//! slower than the others, fail often or hang are ejected for a while (outlier ejection).

use std::time::Duration;

use indexmap::IndexMap;

use super::{blend, concurrency::Sample};
use crate::{id::TargetId, key};

/// The weight of a new sample in the averages of a target.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The weight of a new sample in the average latency of a class.
const CLASS_WEIGHT: f64 = 0.02;
/// Above this multiple of the median latency a target is ejected.
const OUTLIER_RATIO: f64 = 10.0;
/// The number of samples that a target needs before it can be ejected.
const MIN_SAMPLES: u32 = 5;
/// Above this rate of failures a target is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// The length of the first ejection; each further one in a row is longer by as much.
const EJECTION: Duration = Duration::from_secs(2);
/// The maximum length of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// The age of a request in flight at which the target counts as hanging, as a multiple of its
/// class's average latency.
const HANG_RATIO: f64 = 20.0;
/// The minimum age of such a request.
const HANG_MIN: Duration = Duration::from_millis(250);

/// How a target is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Any target, at random: a baseline for comparison.
    Random,
    /// Of two random targets the one with fewer requests in flight: a baseline for comparison.
    TwoChoices,
    /// The target with the fewest of this VM's requests in flight, ties broken by hash, without
    /// ejected targets.
    #[default]
    LeastRequests,
}

/// The targets of a shared service, as this VM sees them.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::limit::{Pool, pick::Policy};
///
/// let mut pool = Pool::new(Policy::LeastRequests);
/// pool.set_targets(["a".to_string(), "b".to_string()]);
/// let first = pool.pick(Duration::ZERO, 1).unwrap();
/// pool.started(Duration::ZERO, &first, "look-up", 1);
/// assert_ne!(pool.pick(Duration::ZERO, 1), Some(first));
/// ```
#[derive(Debug, Default)]
pub struct Pool {
    policy: Policy,
    /// The average latency of each class over all targets, in seconds.
    classes: IndexMap<String, f64>,
    targets: IndexMap<TargetId, TargetStats>,
}

#[derive(Debug, Default)]
struct TargetStats {
    /// The requests in flight, oldest first.
    in_flight: IndexMap<u64, Flight>,
    /// The average latency, as a multiple of the class's average.
    latency: f64,
    /// The average rate of failures, from 0 to 1.
    failure_rate: f64,
    samples: u32,
    ejected_until: Duration,
    /// The number of ejections since the target last passed a probation.
    ejections: u32,
    /// Whether a request was sent after the last ejection; how it ends decides on the next one.
    on_probation: bool,
}

#[derive(Debug)]
struct Flight {
    sent: Duration,
    class: String,
}

impl Pool {
    /// Creates a pool without targets.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::{Pool, pick::Policy};
    ///
    /// assert_eq!(Pool::new(Policy::LeastRequests).pick(Duration::ZERO, 1), None);
    /// ```
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Sets the targets that take new requests; the statistics of those that stay are kept.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::Pool;
    ///
    /// Pool::default().set_targets(["a".to_string()]);
    /// ```
    pub fn set_targets<T>(&mut self, targets: T)
    where
        T: IntoIterator<Item = TargetId>,
    {
        let mut known = std::mem::take(&mut self.targets);
        for target in targets {
            let stats = known.swap_remove(&target).unwrap_or_default();
            self.targets.insert(target, stats);
        }
    }

    /// Returns the target for a request; `random` is any number that differs between requests.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::Pool;
    ///
    /// let mut pool = Pool::default();
    /// pool.set_targets(["a".to_string()]);
    /// assert_eq!(pool.pick(Duration::ZERO, 1).as_deref(), Some("a"));
    /// ```
    pub fn pick(&self, now: Duration, random: u64) -> Option<TargetId> {
        let count = u64::try_from(self.targets.len())
            .ok()
            .filter(|it| *it > 0)?;
        let at = |random: u64| usize::try_from(random % count).unwrap_or(0);
        let index = match self.policy {
            Policy::Random => at(random),
            Policy::TwoChoices => {
                let (one, two) = (at(random), at(random / count));
                let load = |index: usize| self.targets[index].in_flight.len();
                if load(two) < load(one) { two } else { one }
            }
            Policy::LeastRequests => self.least_requests(now, random)?,
        };
        self.targets.get_index(index).map(|(name, _)| name.clone())
    }

    /// Records that a request was sent.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::Pool;
    ///
    /// Pool::default().started(Duration::ZERO, "a", "look-up", 1);
    /// ```
    pub fn started(&mut self, now: Duration, target: &str, class: &str, ticket: u64) {
        if let Some(stats) = self.targets.get_mut(target) {
            let class = class.into();
            stats.in_flight.insert(ticket, Flight { sent: now, class });
            stats.on_probation = stats.ejections > 0;
        }
    }

    /// Records how a request ended, and whether its answer was an error of the target.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::{Pool, concurrency::Sample};
    ///
    /// Pool::default().ended(Duration::ZERO, "a", 1, Sample::Lost, true);
    /// ```
    pub fn ended(&mut self, now: Duration, target: &str, ticket: u64, sample: Sample, error: bool) {
        let median = self.median();
        let Some(stats) = self.targets.get_mut(target) else {
            return;
        };
        let flight = stats.in_flight.shift_remove(&ticket);
        let Some(flight) = flight.filter(|_| sample != Sample::Cancelled) else {
            return;
        };
        let ratio = match sample {
            // The latency of an error says nothing about how fast the target serves requests.
            Sample::Answered(latency) if !error => {
                Some(relative_latency(&mut self.classes, flight.class, latency))
            }
            _ => None,
        };
        stats.add(ratio);
        let slow = median.is_some_and(|median| stats.latency > OUTLIER_RATIO * median);
        let enough_samples = stats.samples >= MIN_SAMPLES || stats.on_probation;
        if enough_samples && (slow || stats.failure_rate > MAX_FAILURE_RATE) {
            stats.eject(now);
        } else if !error && stats.on_probation {
            stats.ejections = 0;
            stats.on_probation = false;
        }
    }

    /// Returns whether the target is ejected or hangs.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::Pool;
    ///
    /// assert!(!Pool::default().is_ejected(Duration::ZERO, "a"));
    /// ```
    pub fn is_ejected(&self, now: Duration, target: &str) -> bool {
        let stats = self.targets.get(target);
        stats.is_some_and(|stats| stats.is_ejected(now, &self.classes))
    }

    /// Returns the target with the fewest requests in flight among those that aren't ejected.
    ///
    /// If more than half of the targets are ejected, the cause lies elsewhere, and it chooses among
    /// all of them.
    fn least_requests(&self, now: Duration, random: u64) -> Option<usize> {
        let fit = |stats: &TargetStats| !stats.is_ejected(now, &self.classes);
        let count = self.targets.values().filter(|stats| fit(stats)).count();
        let all = 2 * count < self.targets.len();
        let candidates = self.targets.iter().enumerate();
        let candidates = candidates.filter(|(_, (_, stats))| all || fit(stats));
        let random = random.to_string();
        let best = candidates.min_by_key(|(_, (name, stats))| {
            // After an ejection a target gets one request at a time until one of them succeeds.
            let probing = stats.ejections > 0 && !stats.in_flight.is_empty();
            (probing, stats.in_flight.len(), key::weight(&random, name))
        });
        best.map(|(index, _)| index)
    }

    /// Returns the median of the targets' relative latencies.
    fn median(&self) -> Option<f64> {
        let measured = self
            .targets
            .values()
            .filter(|stats| stats.samples >= MIN_SAMPLES);
        let mut latencies: Vec<_> = measured.map(|stats| stats.latency).collect();
        latencies.sort_by(f64::total_cmp);
        latencies.get(latencies.len().checked_sub(1)? / 2).copied()
    }
}

impl TargetStats {
    /// Adds the relative latency of a good answer, or a failure.
    fn add(&mut self, ratio: Option<f64>) {
        let failure = if ratio.is_some() { 0.0 } else { 1.0 };
        self.failure_rate = blend(self.failure_rate, failure, SAMPLE_WEIGHT);
        if let Some(ratio) = ratio {
            self.latency = if self.latency > 0.0 {
                blend(self.latency, ratio, SAMPLE_WEIGHT)
            } else {
                ratio
            };
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn eject(&mut self, now: Duration) {
        self.ejections += 1;
        self.ejected_until = now + (EJECTION * self.ejections).min(EJECTION_MAX);
        self.on_probation = false;
        // The statistics start anew after the ejection, so that one bad sample ejects it again.
        self.failure_rate = MAX_FAILURE_RATE;
        self.latency = 0.0;
        self.samples = 0;
    }

    fn is_ejected(&self, now: Duration, classes: &IndexMap<String, f64>) -> bool {
        let hangs = |flight: &Flight| {
            let average = classes.get(&flight.class);
            let limit = average.map(|average| (HANG_RATIO * average).max(HANG_MIN.as_secs_f64()));
            let age = now.saturating_sub(flight.sent).as_secs_f64();
            limit.is_some_and(|limit| age > limit)
        };
        now < self.ejected_until || self.in_flight.values().any(hangs)
    }
}

/// Returns a latency as a multiple of its class's average, and then adds it to that average.
fn relative_latency(classes: &mut IndexMap<String, f64>, class: String, latency: Duration) -> f64 {
    let seconds = latency.as_secs_f64().max(1e-6);
    let average = classes.entry(class).or_insert(seconds);
    let ratio = seconds / *average;
    // The bound keeps a single very slow request from distorting the average.
    *average = blend(
        *average,
        seconds.min(OUTLIER_RATIO * *average),
        CLASS_WEIGHT,
    );
    ratio
}
