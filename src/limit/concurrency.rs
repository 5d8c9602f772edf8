//! How many requests to have in flight at one target.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

/// How many answers make a window.
const WINDOW: u32 = 16;
/// How many windows the least mean latency is taken from.
const WINDOWS: usize = 32;
/// How much slower than the least mean counts as queueing at the target.
const SLOW: f64 = 2.0;
/// How much slower still lets the cap grow.
const FAIR: f64 = 1.5;
/// What is left of the cap after a slow window.
const SLOW_CUT: f64 = 0.8;
/// What is left of the cap after a refusal or a lost request.
const HARD_CUT: f64 = 0.6;
/// How long one hard cut holds before the next: its effect has to be seen first.
const CUT_PAUSE: Duration = Duration::from_millis(200);
/// The first wait after a failed connection.
const BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait after failed connections.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// What a target can take at the most, as its document says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// How many requests it runs at a time.
    pub slots: u32,
    /// How many VMs share them; 1 for exclusive ownership.
    pub vms: u32,
}

/// How one request ended, as far as the cap cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The target answered after this time.
    Answered(Duration),
    /// The target refused it: it is overloaded.
    Shed,
    /// No connection could be made.
    Unreachable,
    /// No answer came in time, or the connection broke.
    Lost,
    /// It says nothing about the target: it was cancelled.
    Cancelled,
}

/// The learned limit of requests in flight.
///
/// It grows by one for each window of answers in which it was used up and the mean latency stayed
/// near the least mean seen, so that it settles at the slots plus what the round trip holds. It
/// shrinks by a factor when latency doubles, or when the target refuses or loses a request. Latency
/// is compared within each class, for files take longer than look-ups at any load.
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
    most: f64,
    used_up: bool,
    classes: IndexMap<String, Latency>,
    cut_until: Duration,
    /// Answers since a cold start; nothing once it is over.
    cold: Option<u32>,
    failures: u32,
    closed_until: Duration,
}

/// The latency of one class.
#[derive(Clone, Debug, Default)]
struct Latency {
    sum: f64,
    count: u32,
    means: VecDeque<f64>,
}

impl Latency {
    /// Takes a sample; at the end of a window returns its mean in units of the least.
    fn take(&mut self, seconds: f64) -> Option<f64> {
        self.sum += seconds;
        self.count += 1;
        if self.count < WINDOW {
            return None;
        }
        let mean = self.sum / f64::from(self.count);
        self.sum = 0.0;
        self.count = 0;
        self.means.push_back(mean);
        if self.means.len() > WINDOWS {
            self.means.pop_front();
        }
        let least = self.means.iter().copied().fold(f64::INFINITY, f64::min);
        Some(mean / least.max(1e-6))
    }
}

impl ConcurrencyLimit {
    /// Creates the cap for a target that nothing is known of but its slots.
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
        // One more than the slots travels while they work; a small part needs no more than itself.
        let limit = if part >= 1.0 { part + 1.0 } else { 1.0 };
        Self {
            slots,
            limit,
            most: (4.0 * part).max(4.0),
            used_up: false,
            classes: IndexMap::new(),
            cut_until: Duration::ZERO,
            cold: None,
            failures: 0,
            closed_until: Duration::ZERO,
        }
    }

    /// Takes a change of the document or of the number of VMs, and begins anew from it.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// let mut cap = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// cap.resize(Slots { slots: 4, vms: 1 });
    /// assert_eq!(cap.limit(), 5);
    /// ```
    pub fn resize(&mut self, slots: Slots) {
        if slots == self.slots {
            return;
        }
        let fresh = Self::new(slots);
        self.slots = slots;
        self.limit = fresh.limit;
        self.most = fresh.most;
    }

    /// Returns how many requests may be in flight, back-off aside; at the least 1.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// let mut cap = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// cap.warm_up();
    /// assert_eq!(cap.limit(), 1);
    /// ```
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    pub fn limit(&self) -> u32 {
        let limit = self.limit.floor().max(1.0) as u32;
        // A cold target gets one more for each four answers.
        let ramp = self.cold.map_or(u32::MAX, |answers| 1 + answers / 4);
        limit.min(ramp)
    }

    /// Returns when the next request may be sent, if the target is left alone for now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Sample, Slots};
    ///
    /// let mut cap = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// cap.learn(Duration::ZERO, "look-up", Sample::Unreachable, 7);
    /// assert!(cap.closed(Duration::ZERO).is_some());
    /// assert!(cap.closed(Duration::from_secs(1)).is_none());
    /// ```
    pub fn closed(&self, now: Duration) -> Option<Duration> {
        (now < self.closed_until).then_some(self.closed_until)
    }

    /// Begins a cold start: one request at a time, then more with each few answers.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// let mut cap = ConcurrencyLimit::new(Slots { slots: 2, vms: 1 });
    /// cap.warm_up();
    /// assert_eq!(cap.limit(), 1);
    /// ```
    pub fn warm_up(&mut self) {
        self.cold = Some(0);
        self.classes.clear();
    }

    /// Notes that a request had to wait since the limit was reached.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// ConcurrencyLimit::new(Slots { slots: 2, vms: 1 }).used_up();
    /// ```
    pub fn used_up(&mut self) {
        self.used_up = true;
    }

    /// Takes a weak hint: the target says that it is overloaded.
    ///
    /// Load reports lag and mislead, so a hint only keeps the cap from growing in this window.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Slots};
    ///
    /// ConcurrencyLimit::new(Slots { slots: 2, vms: 1 }).hint_busy();
    /// ```
    pub fn hint_busy(&mut self) {
        self.used_up = false;
    }

    /// Takes how a request ended; `dice` is any number, for jitter.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::concurrency::{ConcurrencyLimit, Sample, Slots};
    ///
    /// let mut cap = ConcurrencyLimit::new(Slots { slots: 10, vms: 1 });
    /// cap.learn(Duration::from_secs(1), "look-up", Sample::Shed, 7);
    /// assert_eq!(cap.limit(), 6);
    /// ```
    pub fn learn(&mut self, now: Duration, class: &str, sample: Sample, dice: u64) {
        match sample {
            Sample::Answered(latency) => self.answered(class, latency),
            Sample::Shed | Sample::Lost => self.cut(now),
            Sample::Unreachable => self.back_off(now, dice),
            Sample::Cancelled => {}
        }
    }

    fn answered(&mut self, class: &str, latency: Duration) {
        self.failures = 0;
        self.cold = self.cold.map(|answers| answers + 1);
        if self
            .cold
            .is_some_and(|answers| f64::from(answers / 4) >= self.limit)
        {
            self.cold = None;
        }
        if !self.classes.contains_key(class) {
            self.classes.insert(class.into(), Latency::default());
        }
        let ratio = self.classes[class].take(latency.as_secs_f64());
        let Some(ratio) = ratio else {
            return;
        };
        if ratio > SLOW {
            self.limit = (self.limit * SLOW_CUT).max(1.0);
        } else if ratio <= FAIR && self.used_up {
            self.limit = (self.limit + 1.0).min(self.most);
        }
        self.used_up = false;
    }

    fn cut(&mut self, now: Duration) {
        if now < self.cut_until {
            return;
        }
        self.cut_until = now + CUT_PAUSE;
        self.limit = (self.limit * HARD_CUT).max(1.0);
        self.used_up = false;
    }

    fn back_off(&mut self, now: Duration, dice: u64) {
        // Failures of requests sent together count once.
        if self.closed(now).is_some() {
            return;
        }
        let wait = BACKOFF.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.closed_until = now + jitter(wait.min(BACKOFF_MAX), dice);
        self.cold = Some(0);
    }
}

/// Spreads a wait between half and all of it.
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
pub fn jitter(wait: Duration, dice: u64) -> Duration {
    let part = u32::try_from(dice % 1_024).unwrap_or(0);
    wait / 2 + wait / 2 * part / 1_024
}
