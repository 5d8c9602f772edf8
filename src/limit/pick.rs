//! The choice among the targets of a shared service.

use std::time::Duration;

use indexmap::IndexMap;

use super::{blend, concurrency::Sample};
use crate::{id::TargetId, key};

/// The part of a new sample in the averages.
const PART: f64 = 0.2;
/// The part of a new sample in what is usual for a class.
const USUAL: f64 = 0.02;
/// How much slower than the median a target is set apart.
const OUTLIER: f64 = 10.0;
/// How many samples a target needs before it is judged.
const JUDGED: u32 = 5;
/// The part of failures at which a target is set apart.
const FAILING: f64 = 0.5;
/// How long a target is set apart at first; each further time takes as long again.
const APART: Duration = Duration::from_secs(2);
/// How long a target is set apart at the most.
const APART_MAX: Duration = Duration::from_secs(30);
/// How long a request in flight may take, in units of what is usual, before the target counts as
/// hanging.
const HANGING: f64 = 20.0;
/// No target counts as hanging sooner than this.
const HANGING_MIN: Duration = Duration::from_millis(250);

/// How to choose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Any, at random: a baseline.
    Random,
    /// The one with fewer requests in flight of two at random: a baseline.
    TwoChoices,
    /// The one with the fewest of our requests in flight, ties by hash, outliers set apart.
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
    /// What a request of each class takes, in seconds, over all targets.
    classes: IndexMap<String, f64>,
    targets: IndexMap<TargetId, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    /// The requests in flight, oldest first.
    flying: IndexMap<u64, Flight>,
    /// The latency in units of what is usual for the class.
    latency: f64,
    failing: f64,
    samples: u32,
    apart_until: Duration,
    times: u32,
    on_trial: bool,
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

    /// Sets which targets take new work; what is known of those that stay is kept.
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
            let seen = known.swap_remove(&target).unwrap_or_default();
            self.targets.insert(target, seen);
        }
    }

    /// Returns the target for a request; `dice` is any number that differs between requests.
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
    pub fn pick(&self, now: Duration, dice: u64) -> Option<TargetId> {
        let count = u64::try_from(self.targets.len())
            .ok()
            .filter(|it| *it > 0)?;
        let at = |dice: u64| usize::try_from(dice % count).unwrap_or(0);
        let index = match self.policy {
            Policy::Random => at(dice),
            Policy::TwoChoices => {
                let (one, two) = (at(dice), at(dice / count));
                let load = |index: usize| self.targets[index].flying.len();
                if load(two) < load(one) { two } else { one }
            }
            Policy::LeastRequests => self.least(now, dice)?,
        };
        self.targets.get_index(index).map(|(name, _)| name.clone())
    }

    /// Notes that a request was sent.
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
        if let Some(seen) = self.targets.get_mut(target) {
            let class = class.into();
            seen.flying.insert(ticket, Flight { sent: now, class });
            seen.on_trial = seen.times > 0;
        }
    }

    /// Notes how a request ended, and whether its answer was an error of the target.
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
        let Some(seen) = self.targets.get_mut(target) else {
            return;
        };
        let flight = seen.flying.shift_remove(&ticket);
        let Some(flight) = flight.filter(|_| sample != Sample::Cancelled) else {
            return;
        };
        let ratio = match sample {
            // A fast error says nothing of how fast the target works.
            Sample::Answered(latency) if !error => {
                Some(usual(&mut self.classes, flight.class, latency))
            }
            _ => None,
        };
        seen.take(ratio);
        let slow = median.is_some_and(|median| seen.latency > OUTLIER * median);
        let judged = seen.samples >= JUDGED || seen.on_trial;
        if judged && (slow || seen.failing > FAILING) {
            seen.set_apart(now);
        } else if !error && seen.on_trial {
            seen.times = 0;
            seen.on_trial = false;
        }
    }

    /// Returns whether the target is set apart or hangs.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::Pool;
    ///
    /// assert!(!Pool::default().is_apart(Duration::ZERO, "a"));
    /// ```
    pub fn is_apart(&self, now: Duration, target: &str) -> bool {
        let seen = self.targets.get(target);
        seen.is_some_and(|seen| seen.is_apart(now, &self.classes))
    }

    /// Picks the target with the fewest requests in flight of those not set apart, or of all if
    /// more than half are: then it is not they that are at fault.
    fn least(&self, now: Duration, dice: u64) -> Option<usize> {
        let fit = |seen: &Seen| !seen.is_apart(now, &self.classes);
        let fits = self.targets.values().filter(|seen| fit(seen)).count();
        let all = 2 * fits < self.targets.len();
        let candidates = self.targets.iter().enumerate();
        let candidates = candidates.filter(|(_, (_, seen))| all || fit(seen));
        let dice = dice.to_string();
        let best = candidates.min_by_key(|(_, (name, seen))| {
            // One that comes back is tried by one request at a time.
            let trial = seen.times > 0 && !seen.flying.is_empty();
            (trial, seen.flying.len(), key::weight(&dice, name))
        });
        best.map(|(index, _)| index)
    }

    /// Returns the median of the targets' latencies, in units of the usual.
    fn median(&self) -> Option<f64> {
        let judged = self.targets.values().filter(|seen| seen.samples >= JUDGED);
        let mut latencies: Vec<_> = judged.map(|seen| seen.latency).collect();
        latencies.sort_by(f64::total_cmp);
        latencies.get(latencies.len().checked_sub(1)? / 2).copied()
    }
}

impl Seen {
    /// Takes the latency of a good answer, in units of the usual, or a failure.
    fn take(&mut self, ratio: Option<f64>) {
        let failing = if ratio.is_some() { 0.0 } else { 1.0 };
        self.failing = blend(self.failing, failing, PART);
        if let Some(ratio) = ratio {
            self.latency = if self.latency > 0.0 {
                blend(self.latency, ratio, PART)
            } else {
                ratio
            };
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn set_apart(&mut self, now: Duration) {
        self.times += 1;
        self.apart_until = now + (APART * self.times).min(APART_MAX);
        self.on_trial = false;
        // It comes back with a clean slate; one bad sample is enough then.
        self.failing = FAILING;
        self.latency = 0.0;
        self.samples = 0;
    }

    fn is_apart(&self, now: Duration, classes: &IndexMap<String, f64>) -> bool {
        let hangs = |flight: &Flight| {
            let usual = classes.get(&flight.class);
            let limit = usual.map(|usual| (HANGING * usual).max(HANGING_MIN.as_secs_f64()));
            let age = now.saturating_sub(flight.sent).as_secs_f64();
            limit.is_some_and(|limit| age > limit)
        };
        now < self.apart_until || self.flying.values().any(hangs)
    }
}

/// Returns a latency in units of what is usual for its class, and takes it into that.
fn usual(classes: &mut IndexMap<String, f64>, class: String, latency: Duration) -> f64 {
    let seconds = latency.as_secs_f64().max(1e-6);
    let usual = classes.entry(class).or_insert(seconds);
    let ratio = seconds / *usual;
    // One that hangs for long moves the usual no more than any other slow one.
    *usual = blend(*usual, seconds.min(OUTLIER * *usual), USUAL);
    ratio
}
