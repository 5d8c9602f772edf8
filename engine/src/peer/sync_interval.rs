//! How long a VM waits between two exchanges with the manager.
//!
//! Load pattern: the manager hears every other VM several times a second, answers callers, and renews
//! all grants, perhaps with a tenth of a core. What it can't keep up with delays its own calls to the
//! store until they time out; it loses its lease, and the next one fares no better.

use std::time::Duration;

use crate::settings::BASELINE_VMS;

/// The time between two exchanges while requests are under way.
///
/// A target gets a request every 40 to 60 ms at the loads that are known; older counts would let
/// several VMs take the same free place.
const PERIOD: Duration = Duration::from_millis(40);
/// The time between two exchanges while nothing is under way.
const IDLE_PERIOD: Duration = Duration::from_millis(150);
/// The longest time between two exchanges: counts of requests are believed for 250 ms.
const PERIOD_MOST: Duration = Duration::from_millis(150);

/// By how much the pause grows for each millisecond that the manager lags.
///
/// Steep enough that a manager which can take in one word a second from each VM lags by less than its calls
/// to the store may take to connect.
const YIELD: u32 = 16;
/// The lag that leaves the pause as it is: timers fire some milliseconds late.
const LAG_USUAL: Duration = Duration::from_millis(5);
/// The longest pause, however far the manager lags: targets that leave may be known so much later, and
/// get no new work 2 s after they have said so.
const YIELD_MOST: Duration = Duration::from_secs(1);
/// The part of a new measurement in the mean lag, as a divisor: one late wake-up is no trend.
const PART: u32 = 4;
/// A wake-up that is later than this tells of a process that was stopped, not of one with too little
/// processor.
const STOPPED: Duration = Duration::from_secs(1);
/// From which mean lag on a process's own calls can fail by it: a connection has 150 ms to open.
const LONG: Duration = Duration::from_millis(75);

/// How much later than asked for a process wakes up, as far as it has too little processor.
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
    /// Takes in a sleep that should have taken `asked`; returns whether the lag has become long by it, or is
    /// long no more.
    ///
    /// # Example
    ///
    /// See [`Lag`].
    pub fn add(&mut self, asked: Duration, took: Duration) -> bool {
        let was_long = self.is_long();
        let late = took.saturating_sub(asked);
        if late < STOPPED {
            self.mean = (self.mean * (PART - 1) + late) / PART;
        }
        was_long != self.is_long()
    }

    /// Returns whether the process has too little processor for its own calls to be in time.
    ///
    /// # Example
    ///
    /// See [`Lag`].
    pub fn is_long(&self) -> bool {
        self.mean >= LONG
    }

    /// Returns the mean of the latest.
    ///
    /// # Example
    ///
    /// See [`Lag`].
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Returns the pause until the next exchange: `busy` tells whether requests are under way, `vms` how many
/// VMs exchange with the manager, `lag` how far that lags by its last answer.
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
/// assert_eq!(sync_interval::next_interval(true, 48, Duration::ZERO), ms(80), "more VMs, fewer words of each");
/// assert!(sync_interval::next_interval(true, 88, ms(50)) > ms(500), "the manager can't keep up");
/// ```
pub fn next_interval(busy: bool, vms: usize, lag: Duration) -> Duration {
    let period = if busy { PERIOD } else { IDLE_PERIOD };
    let vms = u32::try_from(vms).unwrap_or(u32::MAX).max(BASELINE_VMS);
    let period = (period * vms / BASELINE_VMS).min(PERIOD_MOST);
    // A manager with little processor would have its own calls wait behind the words of all VMs.
    let late = lag.saturating_sub(LAG_USUAL);
    (period + late * YIELD).min(YIELD_MOST)
}
