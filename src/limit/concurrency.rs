//! The concurrency limit of one target: how many requests this VM may have in flight there.
//!
//! The limit starts at this VM's part of the target's slots and adapts to the latencies and
//! failures that this VM sees. After failed connections it closes the target for a growing time.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

/// The number of answers of a class in one window.
const WINDOW_ANSWERS: u32 = 16;
/// The number of recent windows from which the lowest mean latency is taken.
const WINDOWS: usize = 32;
/// Above this multiple of the lowest mean latency requests count as queueing at the target.
const SLOW_RATIO: f64 = 2.0;
/// Up to this multiple of the lowest mean latency the limit may grow.
const GROWTH_RATIO: f64 = 1.5;
/// The factor applied to the limit after a slow window.
const SLOW_DECREASE: f64 = 0.8;
/// The factor applied to the limit after a refused or lost request.
const FAILURE_DECREASE: f64 = 0.6;
/// The shortest time between two decreases after failures: the effect of one must show first.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// The wait after the first failed connection; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait after failed connections.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The capacity of a target, as its document states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// The number of requests that the target runs at a time.
    pub slots: u32,
    /// The number of VMs that share the slots; 1 for exclusive ownership.
    pub vms: u32,
}

/// How one request ended, as the concurrency limit needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The target answered after this time.
    Answered(Duration),
    /// The target refused the request because of overload.
    Shed,
    /// No connection could be established.
    Unreachable,
    /// No answer arrived in time, or the connection failed.
    Lost,
    /// The request was cancelled, which says nothing about the target.
    Cancelled,
}

/// An adaptive limit of the requests in flight at one target.
///
/// - It grows by one after each window of answers in which it was reached and the mean latency
///   stayed close to the lowest mean seen. So it settles at the slots plus the requests that are
///   in transit on the network.
/// - It shrinks by a factor if the latency doubles, or if the target refuses or loses a request.
/// - Latencies are compared within each class, since file requests take longer than look-ups at
///   any load.
///
/// # Example
///
/// ```
/// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
///
/// assert_eq!(ConcurrencyLimit::new(Slots { slots: 2, vms: 1 }).limit(), 3);
/// assert_eq!(ConcurrencyLimit::new(Slots { slots: 2, vms: 12 }).limit(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: Slots,
    limit: f64,
    max_limit: f64,
    /// Whether the limit was reached since the last full window, decrease or overload report.
    saturated: bool,
    classes: IndexMap<String, Latency>,
    next_decrease: Duration,
    /// The number of answers since a cold start, until the warm-up is over.
    warm_up: Option<u32>,
    /// The number of failed connections in a row.
    failures: u32,
    closed_until: Duration,
}

/// The latency of one class, in seconds.
#[derive(Clone, Debug, Default)]
struct Latency {
    sum: f64,
    count: u32,
    /// The means of recent windows, oldest first.
    means: VecDeque<f64>,
}

impl Latency {
    /// Adds a sample; if it ends a window, returns the window's mean divided by the lowest mean.
    fn add(&mut self, seconds: f64) -> Option<f64> {
        self.sum += seconds;
        self.count += 1;
        if self.count < WINDOW_ANSWERS {
            return None;
        }
        let mean = self.sum / f64::from(self.count);
        self.sum = 0.0;
        self.count = 0;
        self.means.push_back(mean);
        if self.means.len() > WINDOWS {
            self.means.pop_front();
        }
        let lowest = self.means.iter().copied().fold(f64::INFINITY, f64::min);
        Some(mean / lowest.max(1e-6))
    }
}

impl ConcurrencyLimit {
    /// Creates the limit for a target of which only the slots are known.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// assert_eq!(ConcurrencyLimit::new(Slots { slots: 8, vms: 2 }).limit(), 5);
    /// ```
    pub fn new(slots: Slots) -> Self {
        let part = f64::from(slots.slots) / f64::from(slots.vms.max(1));
        // One request more than the slots covers the round trip. A part of less than one slot
        // gets a single request.
        let limit = if part >= 1.0 { part + 1.0 } else { 1.0 };
        Self {
            slots,
            limit,
            max_limit: (4.0 * part).max(4.0),
            saturated: false,
            classes: IndexMap::new(),
            next_decrease: Duration::ZERO,
            warm_up: None,
            failures: 0,
            closed_until: Duration::ZERO,
        }
    }

    /// Restarts the limit from new slots, after a change of the document or of the number of VMs.
    ///
    /// Unchanged slots have no effect. What was measured is kept.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// let mut limit = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// limit.resize(Slots { slots: 4, vms: 1 });
    /// assert_eq!(limit.limit(), 5);
    /// ```
    pub fn resize(&mut self, slots: Slots) {
        if slots == self.slots {
            return;
        }
        let initial = Self::new(slots);
        self.slots = slots;
        self.limit = initial.limit;
        self.max_limit = initial.max_limit;
    }

    /// Returns how many requests may be in flight, which is at least 1.
    ///
    /// The back-off after failed connections doesn't count here: see [`Self::closed_until`].
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// let mut limit = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// limit.warm_up();
    /// assert_eq!(limit.limit(), 1);
    /// ```
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    pub fn limit(&self) -> u32 {
        let limit = self.limit.floor().max(1.0) as u32;
        // A cold target gets one request more after every fourth answer.
        let ramp = self.warm_up.map_or(u32::MAX, |answers| 1 + answers / 4);
        limit.min(ramp)
    }

    /// Returns the time until which the target gets no requests, if it is backing off now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Sample, Slots};
    ///
    /// let mut limit = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// limit.update(Duration::ZERO, "look-up", Sample::Unreachable, 7);
    /// assert!(limit.closed_until(Duration::ZERO).is_some());
    /// assert!(limit.closed_until(Duration::from_secs(1)).is_none());
    /// ```
    pub fn closed_until(&self, now: Duration) -> Option<Duration> {
        (now < self.closed_until).then_some(self.closed_until)
    }

    /// Begins a warm-up: one request at a time, and one more after every fourth answer.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// let mut limit = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// limit.warm_up();
    /// assert_eq!(limit.limit(), 1);
    /// ```
    pub fn warm_up(&mut self) {
        self.warm_up = Some(0);
        self.classes.clear();
    }

    /// Records that a request had to wait or was refused because the limit was reached.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// ConcurrencyLimit::new(Slots { slots: 2, vms: 1 }).mark_saturated();
    /// ```
    pub fn mark_saturated(&mut self) {
        self.saturated = true;
    }

    /// Records that the target reports overload.
    ///
    /// Load reports lag behind and can be wrong, so this only keeps the limit from growing in the
    /// current window.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// ConcurrencyLimit::new(Slots { slots: 2, vms: 1 }).report_overload();
    /// ```
    pub fn report_overload(&mut self) {
        self.saturated = false;
    }

    /// Adapts the limit to how a request ended; `random` is any number, for jitter.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Sample, Slots};
    ///
    /// let mut limit = ConcurrencyLimit::new(Slots { slots: 10, vms: 1 });
    /// limit.update(Duration::from_secs(1), "look-up", Sample::Shed, 7);
    /// assert_eq!(limit.limit(), 6);
    /// ```
    pub fn update(&mut self, now: Duration, class: &str, sample: Sample, random: u64) {
        match sample {
            Sample::Answered(latency) => self.answered(class, latency),
            Sample::Shed | Sample::Lost => self.decrease(now),
            Sample::Unreachable => self.back_off(now, random),
            Sample::Cancelled => {}
        }
    }

    fn answered(&mut self, class: &str, latency: Duration) {
        self.failures = 0;
        self.warm_up = self.warm_up.map(|answers| answers + 1);
        if self
            .warm_up
            .is_some_and(|answers| f64::from(answers / 4) >= self.limit)
        {
            self.warm_up = None;
        }
        if !self.classes.contains_key(class) {
            self.classes.insert(class.into(), Latency::default());
        }
        let ratio = self.classes[class].add(latency.as_secs_f64());
        let Some(ratio) = ratio else {
            return;
        };
        if ratio > SLOW_RATIO {
            self.limit = (self.limit * SLOW_DECREASE).max(1.0);
        } else if ratio <= GROWTH_RATIO && self.saturated {
            self.limit = (self.limit + 1.0).min(self.max_limit);
        }
        self.saturated = false;
    }

    fn decrease(&mut self, now: Duration) {
        if now < self.next_decrease {
            return;
        }
        self.next_decrease = now + DECREASE_INTERVAL;
        self.limit = (self.limit * FAILURE_DECREASE).max(1.0);
        self.saturated = false;
    }

    fn back_off(&mut self, now: Duration, random: u64) {
        // Requests that were sent together and fail together count as one failure.
        if self.closed_until(now).is_some() {
            return;
        }
        let wait = BACKOFF.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.closed_until = now + jitter(wait.min(BACKOFF_MAX), random);
        self.warm_up = Some(0);
    }
}

/// Returns a wait between half of the given one and all of it; `random` is any number.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::limit::concurrency;
///
/// let wait = concurrency::jitter(Duration::from_millis(100), 7);
/// assert!(wait >= Duration::from_millis(50) && wait <= Duration::from_millis(100));
/// ```
pub fn jitter(wait: Duration, random: u64) -> Duration {
    let part = u32::try_from(random % 1_024).unwrap_or(0);
    wait / 2 + wait / 2 * part / 1_024
}
