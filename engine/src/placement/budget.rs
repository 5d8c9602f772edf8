//! The budget for retries at another target, shared by all VMs.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests are far below 2^31 and never negative"
)]

use std::{collections::VecDeque, fmt, time::Duration};

/// The fraction of its part of the budget that a VM uses: VMs may disagree for a while on how many VMs there are.
const USED_FRACTION: f64 = 0.8;
/// The fraction that a process uses in its first window, in which an earlier process of its VM may have sent retries.
const NEW_PROCESS_FRACTION: f64 = 0.15;
/// The number of slices in the window.
const SLICES: u32 = 10;

/// The retries that all VMs together may send within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition to those.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The state of one VM's part of a budget at the time of a decision on a retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// How many retries this VM has sent within the window.
    pub spent: u32,
    /// How many it may send.
    pub limit: u32,
    /// The number of requests of callers within the window, from which the limit follows.
    pub requests: u32,
    /// The number of VMs that share the slack.
    pub vms: usize,
}

impl Balance {
    /// Returns whether one more retry may be sent.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::placement::budget::Balance;
    ///
    /// let balance = Balance { spent: 2, limit: 3, requests: 9, vms: 10 };
    /// assert!(balance.allows_retry());
    /// assert!(!Balance { spent: 3, ..balance }.allows_retry());
    /// ```
    pub fn allows_retry(&self) -> bool {
        self.spent < self.limit
    }
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            spent,
            limit,
            requests,
            vms,
        } = self;
        write!(f, "repeats={spent}/{limit} requests={requests} vms={vms}")
    }
}

/// One VM's part of the retry budget of one service.
///
/// Load pattern: when a service fails, all VMs retry at once, which doubles the load on the targets that still work.
///
/// A process doesn't know which retries its VM sent before the process started. In its first window it therefore
/// assumes the minimum: what processes started earlier in that window have left over.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::budget::{RetryAllowance, RetryBudget};
///
/// let allowance = RetryAllowance { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
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
    /// The slices of the window, oldest first; the oldest may be partly outside the window.
    slices: VecDeque<Slice>,
}

/// The counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// The slice's number since the clock's origin.
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started_at`.
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

    /// Counts a caller's request, which earns a fraction of a retry.
    ///
    /// # Example
    ///
    /// See [`RetryBudget`].
    pub fn count(&mut self, now: Duration, allowance: RetryAllowance) {
        self.slice(now, allowance).requests += 1;
    }

    /// Spends one retry if this VM's part of the budget allows it; returns the balance before.
    ///
    /// `vms` is the number of VMs that share the slack.
    ///
    /// # Example
    ///
    /// See [`RetryBudget`].
    pub fn spend(&mut self, now: Duration, allowance: RetryAllowance, vms: usize) -> Balance {
        let balance = self.balance(now, allowance, vms);
        if balance.allows_retry() {
            self.slice(now, allowance).retries += 1;
        }
        balance
    }

    /// Returns the state of the budget.
    fn balance(&mut self, now: Duration, allowance: RetryAllowance, vms: usize) -> Balance {
        let newest = self.slice(now, allowance).number;
        // Retries of the oldest slice may still be in the window, so they count; its requests no longer earn any.
        let in_window = |it: &&Slice| it.number + u64::from(SLICES) > newest;
        let slices = self.slices.iter().filter(in_window);
        let requests: u32 = slices.map(|it| it.requests).sum();
        let earned = f64::from(requests) * allowance.ratio;
        // A VM that knows no VM, not even itself, can't compute its part of the slack.
        let slack = if vms == 0 {
            0.0
        } else {
            allowance.slack / vms as f64
        };
        let age = now.saturating_sub(self.started_at);
        let limit = if age < allowance.window {
            // The slack grows with the age, so that several starts within a window share one part.
            (earned + slack * age.div_duration_f64(allowance.window)) * NEW_PROCESS_FRACTION
        } else {
            (earned + slack) * USED_FRACTION
        };
        Balance {
            spent: self.slices.iter().map(|it| it.retries).sum(),
            limit: limit as u32,
            requests,
            vms,
        }
    }

    /// Returns the slice of a time, and drops slices that are entirely outside the window.
    fn slice(&mut self, now: Duration, allowance: RetryAllowance) -> &mut Slice {
        let slice_length = (allowance.window / SLICES).max(Duration::from_millis(1));
        let number = u64::try_from(now.as_nanos() / slice_length.as_nanos()).unwrap_or(u64::MAX);
        let expired = |it: &Slice| it.number + u64::from(SLICES) < number;
        while self.slices.front().is_some_and(expired) {
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
