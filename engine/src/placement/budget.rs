//! The budget for sending a request to a second target, shared by all VMs.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests are far below 2^31 and never negative"
)]

use std::{collections::VecDeque, fmt, time::Duration};

/// The part of this VM's allowance that is used: VMs' counts of each other differ for a while.
const USED_FRACTION: f64 = 0.8;
/// The part that a process uses in its first window, in which its VM may have used that of an earlier process.
const NEW_PROCESS_FRACTION: f64 = 0.15;
/// Into how many slices the window is cut.
const SLICES: u32 = 10;

/// What all VMs together may send again within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats of a window beside those.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// How one VM's part of a budget stands, as a decision on a repeat found it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// How many repeats this VM has sent within the window.
    pub spent: u32,
    /// How many it may send.
    pub limit: u32,
    /// Among how many VMs the slack is divided.
    pub vms: usize,
}

impl Balance {
    /// Returns whether one more repeat may be sent.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::placement::budget::Balance;
    ///
    /// assert!(Balance { spent: 2, limit: 3, vms: 10 }.allows_retry());
    /// assert!(!Balance { spent: 3, limit: 3, vms: 10 }.allows_retry());
    /// ```
    pub fn allows_retry(&self) -> bool {
        self.spent < self.limit
    }
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { spent, limit, vms } = self;
        write!(f, "repeats={spent}/{limit} vms={vms}")
    }
}

/// One VM's part of the budget for one service.
///
/// Load pattern: a service that fails makes every VM send again at once, which doubles the load on
/// what is left of it.
///
/// A process doesn't know what its VM sent again before it started, so in its first window it counts on the
/// least: what processes that started before it in that window left.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::budget::{Allowance, RetryBudget};
///
/// let allowance = Allowance { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
/// let retries = |now| {
///     let mut budget = RetryBudget::new(Duration::ZERO);
///     for _ in 0..100 {
///         budget.count(now, allowance);
///     }
///     (0..100).filter(|_| budget.spend(now, allowance, 1).allows_retry()).count()
/// };
/// assert_eq!(retries(Duration::from_secs(9)), 3);
/// assert_eq!(retries(Duration::from_secs(10)), 16);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// When the process started.
    started_at: Duration,
    /// Slices of the window, the oldest first; that one may have left it in part.
    slices: VecDeque<Slice>,
}

/// What was counted in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// Its number since the clock's origin.
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates the budget of a process that started at a time.
    ///
    /// # Example
    ///
    /// See [`RetryBudget`].
    pub fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request that callers sent.
    ///
    /// # Example
    ///
    /// See [`RetryBudget`].
    pub fn count(&mut self, now: Duration, allowance: Allowance) {
        self.slice(now, allowance).requests += 1;
    }

    /// Spends one repeat, if the part of one among `vms` VMs allows; returns how that stood before.
    ///
    /// # Example
    ///
    /// See [`RetryBudget`].
    pub fn spend(&mut self, now: Duration, allowance: Allowance, vms: usize) -> Balance {
        let balance = self.balance(now, allowance, vms);
        if balance.allows_retry() {
            self.slice(now, allowance).retries += 1;
        }
        balance
    }

    fn balance(&mut self, now: Duration, allowance: Allowance, vms: usize) -> Balance {
        let newest = self.slice(now, allowance).number;
        // The oldest slice's repeats may count still; its requests earn nothing any more.
        let in_window = |it: &&Slice| it.number + u64::from(SLICES) > newest;
        let slices = self.slices.iter().filter(in_window);
        let requests: u32 = slices.map(|it| it.requests).sum();
        let earned = f64::from(requests) * allowance.ratio;
        // A VM that knows of none, not even of itself, can't tell which part is its own.
        let slack = if vms == 0 {
            0.0
        } else {
            allowance.slack / vms as f64
        };
        let age = now.saturating_sub(self.started_at);
        let limit = if age < allowance.window {
            // The slack grows with the age, so that several starts within a window have one part together.
            (earned + slack * age.div_duration_f64(allowance.window)) * NEW_PROCESS_FRACTION
        } else {
            (earned + slack) * USED_FRACTION
        };
        Balance {
            spent: self.slices.iter().map(|it| it.retries).sum(),
            limit: limit as u32,
            vms,
        }
    }

    /// The slice of a time; those that have left the window whole are forgotten.
    fn slice(&mut self, now: Duration, allowance: Allowance) -> &mut Slice {
        let slice_length = (allowance.window / SLICES).max(Duration::from_millis(1));
        let number = u64::try_from(now.as_nanos() / slice_length.as_nanos()).unwrap_or(u64::MAX);
        let has_left = |it: &Slice| it.number + u64::from(SLICES) < number;
        while self.slices.front().is_some_and(has_left) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|it| it.number != number) {
            self.slices.push_back(Slice {
                number,
                ..Slice::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
