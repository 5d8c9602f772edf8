//! Computes the time between two sync exchanges of a VM with the manager.
//!
//! Load pattern: the manager gets a sync request from every other VM several times a second, answers callers and
//! renews all grants, perhaps with a tenth of a core. A backlog delays its own calls to the store until they time
//! out; it loses its lease, and the next manager is overloaded in the same way.

use std::time::Duration;

use crate::{fleet::KnowledgeLimits, settings::BASELINE_VMS};

/// The time between two exchanges while requests are in flight.
///
/// At known loads, a target gets a request every 40 to 60 ms; with older counts, several VMs would use the same
/// free slot.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);
/// The time between two exchanges while no requests are in flight.
const IDLE_INTERVAL: Duration = Duration::from_millis(150);
/// The maximum interval before the manager's lag is added: counts of requests are used for 250 ms.
const MAX_BASE_INTERVAL: Duration = Duration::from_millis(150);

/// The number of milliseconds by which the interval grows for each millisecond of the manager's lag.
///
/// High enough that a manager which can process one sync request a second from each VM lags by less than the
/// connect timeout of its calls to the store.
const LAG_FACTOR: u32 = 16;
/// The lag that doesn't change the interval: timers fire some milliseconds late.
const LAG_ALLOWANCE: Duration = Duration::from_millis(5);
/// The maximum interval for any lag: the interval delays the notice that a target is draining, and such a target
/// must get no new requests 2 s after its announcement.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum time for which a VM relies on the manager after it has sent an exchange that succeeds, unless the manager's
/// knowledge gets too old before.
const MIN_RELIANCE: Duration = Duration::from_millis(450);
/// The maximum time if the age of the manager's knowledge is unknown: a change must be in force in two seconds, also when the
/// manager falls silent.
const MAX_RELIANCE: Duration = Duration::from_millis(1200);
/// The time that is left of the age up to which a VM relies on the manager when the response is read.
const READ_TIME: Duration = Duration::from_millis(100);
/// The number of rounds, or intervals, for which a VM relies on the manager: one exchange may fail.
const RELIANCE_ROUNDS: u32 = 2;
/// The inverse weight of a new measurement in the mean lag: one late wake-up is no trend.
const MEAN_DIVISOR: u32 = 4;
/// A wake-up later than this is left out of the mean: the process was suspended, rather than short of processor
/// time.
const SUSPENDED_LAG: Duration = Duration::from_secs(1);
/// The mean lag from which a process's own calls can time out: a connection has 150 ms to open.
const HIGH_LAG: Duration = Duration::from_millis(75);

/// Measures how much later than requested a process wakes up, for lack of processor time.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::peer::sync_interval::Lag;
///
/// let ms = Duration::from_millis;
/// let mut lag = Lag::default();
/// assert!(!lag.add(ms(40), ms(120)));
/// assert_eq!(lag.mean(), ms(20));
/// assert!(lag.add(ms(40), ms(340)) && lag.is_long());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lag {
    mean: Duration,
}

impl Lag {
    /// Records a sleep that should have taken `requested` and took `actual`.
    ///
    /// Returns whether [`is_long`](Lag::is_long) has changed.
    ///
    /// # Example
    ///
    /// See [`Lag`].
    pub fn add(&mut self, requested: Duration, actual: Duration) -> bool {
        let was_long = self.is_long();
        let delay = actual.saturating_sub(requested);
        if delay < SUSPENDED_LAG {
            self.mean = (self.mean * (MEAN_DIVISOR - 1) + delay) / MEAN_DIVISOR;
        }
        was_long != self.is_long()
    }

    /// Returns whether the process has so little processor time that its own calls can time out.
    ///
    /// # Example
    ///
    /// See [`Lag`].
    pub fn is_long(&self) -> bool {
        self.mean >= HIGH_LAG
    }

    /// Returns the moving mean.
    ///
    /// # Example
    ///
    /// See [`Lag`].
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Returns the time until the next exchange.
///
/// `busy` says whether requests are in flight, `vms` is the number of VMs that exchange with the manager, and
/// `lag` the manager's mean lag according to its last response.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::peer::sync_interval;
///
/// let ms = Duration::from_millis;
/// assert_eq!(sync_interval::next_interval(true, 8, Duration::ZERO), ms(40));
/// assert_eq!(sync_interval::next_interval(false, 8, Duration::ZERO), ms(150));
/// assert_eq!(sync_interval::next_interval(true, 48, Duration::ZERO), ms(80), "more VMs, fewer requests from each");
/// assert!(sync_interval::next_interval(true, 88, ms(50)) > ms(500), "the manager can't keep up");
/// ```
pub fn next_interval(busy: bool, vms: usize, lag: Duration) -> Duration {
    let interval = if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
    let vms = u32::try_from(vms).unwrap_or(u32::MAX).max(BASELINE_VMS);
    let interval = (interval * vms / BASELINE_VMS).min(MAX_BASE_INTERVAL);
    // Otherwise, on a manager with little processor time, its own calls would queue behind the requests of all VMs.
    let excess = lag.saturating_sub(LAG_ALLOWANCE);
    (interval + excess * LAG_FACTOR).min(MAX_INTERVAL)
}

/// Returns for how long a VM relies on a manager that has fallen silent, at most.
fn max_reliance(limits: KnowledgeLimits) -> Duration {
    limits.ask_age().saturating_sub(READ_TIME).max(MIN_RELIANCE)
}

/// Returns the maximum sync interval at which a VM relies on the manager; `relied` says whether it does so already.
///
/// It leaves time for two rounds. A VM that relies on no manager follows the store itself, and among hundreds of VMs a busy
/// manager lags for most of the time.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::{fleet::KnowledgeLimits, peer::sync_interval};
///
/// let ms = Duration::from_millis;
/// let max_interval = |bound, relied| sync_interval::max_interval(KnowledgeLimits::new(ms(bound)), relied);
/// assert_eq!(max_interval(2000, true), ms(600));
/// assert_eq!(max_interval(2000, false), ms(400));
/// assert_eq!(max_interval(3000, true), ms(1100));
/// ```
pub fn max_interval(limits: KnowledgeLimits, relied: bool) -> Duration {
    let max_interval = max_reliance(limits) / RELIANCE_ROUNDS;
    if relied {
        max_interval
    } else {
        max_interval * 2 / 3
    }
}

/// Returns how long a VM relies on the manager, from the time at which it sent an exchange that has succeeded.
///
/// `took` is the duration of the exchange and `interval` the time until the next one begins, so the next response comes
/// after one `interval` and two exchanges. `age` is the age of the manager's knowledge of the store when the exchange was
/// sent; it is relied on until this VM has to ask for news itself. A manager of an older build doesn't tell it; it is relied
/// on for two intervals, since nothing bounds the sum.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::{fleet::KnowledgeLimits, peer::sync_interval};
///
/// let ms = Duration::from_millis;
/// let limits = KnowledgeLimits::new(ms(2000));
/// let reliance = |interval, took, age| sync_interval::reliance(interval, took, age, limits);
/// assert_eq!(reliance(ms(40), ms(10), Some(ms(0))), ms(450));
/// assert_eq!(reliance(ms(150), ms(250), Some(ms(0))), ms(800));
/// assert_eq!(reliance(ms(150), ms(250), Some(ms(900))), ms(400), "until the knowledge is 1.3 s old");
/// assert_eq!(reliance(ms(600), ms(250), Some(ms(0))), ms(1200));
/// assert_eq!(reliance(ms(150), ms(250), None), ms(450));
/// ```
pub fn reliance(
    interval: Duration,
    took: Duration,
    age: Option<Duration>,
    limits: KnowledgeLimits,
) -> Duration {
    match age {
        Some(age) => {
            let rounds = (interval + took) * RELIANCE_ROUNDS;
            let wanted = rounds.clamp(MIN_RELIANCE, max_reliance(limits));
            wanted.min(limits.ask_age().saturating_sub(age))
        }
        None => (interval * RELIANCE_ROUNDS).clamp(MIN_RELIANCE, MAX_RELIANCE),
    }
}
