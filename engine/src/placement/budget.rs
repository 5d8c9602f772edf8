//! The budget for retries at another target, shared by all VMs.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests are far below 2^31 and never negative"
)]

use std::{collections::VecDeque, fmt, time::Duration};

/// The fraction of what requests earn that a VM may use while they arrive, and again the fraction that it may have saved
/// from the window before.
///
/// Callers that move to other VMs earn there what they have earned at the VM that they leave, so both together must not
/// exceed one. What is missing to one covers retries that arrive later than they were allowed.
const EARNED_FRACTION: f64 = 0.45;
/// The fraction of its part of the slack that a VM uses: VMs may disagree for a while on how many VMs there are.
const SLACK_FRACTION: f64 = 0.8;
/// The fraction that a process uses in its first window, in which an earlier process of its VM may have used the slack.
const NEW_PROCESS_FRACTION: f64 = 0.15;
/// By how much sums of earned fractions may be too small, in retries.
const ROUNDING: f64 = 1e-6;
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
/// Each request of a caller earns a fraction of a retry. A VM saves no more than what the requests of the last window
/// have earned, so that in any window all VMs together retry no more than the requests of that window and of the one
/// before allow, wherever callers send them and however often processes start again: a new process has saved nothing.
///
/// Each VM has an equal part of the slack besides. A process doesn't know how much of it its VM used before the process
/// started, so in its first window it assumes the minimum: what processes started earlier in that window have left over.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::budget::{RetryAllowance, RetryBudget};
///
/// let allowance = RetryAllowance { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
/// let retries = |now, requests| {
///     let mut budget = RetryBudget::new(Duration::ZERO);
///     for _ in 0..requests {
///         budget.count(now, allowance);
///     }
///     (0..100).filter(|_| budget.spend(now, allowance, 2).allows_retry()).count()
/// };
/// assert_eq!(retries(Duration::from_secs(9), 0), 2);
/// assert_eq!(retries(Duration::from_secs(10), 0), 12);
/// assert_eq!(retries(Duration::from_secs(10), 100), 12 + 9);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// When the process started.
    started_at: Duration,
    /// The retries that requests have earned and that were not sent.
    saved: f64,
    /// The slices of the window, oldest first; the oldest may be partly outside the window.
    slices: VecDeque<Slice>,
}

/// The counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// The slice's number since the clock's origin.
    number: u64,
    requests: u32,
    /// The retries that requests had earned.
    earned: u32,
    /// The retries that were charged to the slack.
    from_slack: u32,
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
            saved: 0.0,
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
        self.saved += allowance.ratio * EARNED_FRACTION;
        self.limit_saved(now, allowance);
    }

    /// Spends one retry if this VM's part of the budget allows it; returns the balance before.
    ///
    /// `vms` is the number of VMs that share the slack.
    ///
    /// # Example
    ///
    /// See [`RetryBudget`].
    pub fn spend(&mut self, now: Duration, allowance: RetryAllowance, vms: usize) -> Balance {
        self.limit_saved(now, allowance);
        let balance = self.balance(now, allowance, vms);
        if !balance.allows_retry() {
            return balance;
        }
        if self.saved_retries() > 0 {
            self.saved = (self.saved - 1.0).max(0.0);
            self.slice(now, allowance).earned += 1;
        } else {
            self.slice(now, allowance).from_slack += 1;
        }
        balance
    }

    /// Returns the state of the budget.
    fn balance(&mut self, now: Duration, allowance: RetryAllowance, vms: usize) -> Balance {
        let requests = self.requests(now, allowance);
        // Retries of the oldest slice may still be in the window, so they count.
        let earned: u32 = self.slices.iter().map(|it| it.earned).sum();
        let from_slack: u32 = self.slices.iter().map(|it| it.from_slack).sum();
        let slack = self.slack(now, allowance, vms) as u32;
        let left = self.saved_retries() + slack.saturating_sub(from_slack);
        let spent = earned + from_slack;
        Balance {
            spent,
            limit: spent + left,
            requests,
            vms,
        }
    }

    /// Returns how many whole retries are saved.
    fn saved_retries(&self) -> u32 {
        (self.saved + ROUNDING) as u32
    }

    /// Returns how much of the slack this VM may use within the window.
    fn slack(&self, now: Duration, allowance: RetryAllowance, vms: usize) -> f64 {
        // A VM that knows no VM, not even itself, can't compute its part.
        if vms == 0 {
            return 0.0;
        }
        let part = allowance.slack / vms as f64;
        let age = now.saturating_sub(self.started_at);
        if age < allowance.window {
            // It grows with the age, so that several starts within a window share one part.
            part * age.div_duration_f64(allowance.window) * NEW_PROCESS_FRACTION
        } else {
            part * SLACK_FRACTION
        }
    }

    /// Forgets saved retries that only requests before the window have earned.
    fn limit_saved(&mut self, now: Duration, allowance: RetryAllowance) {
        let earned = f64::from(self.requests(now, allowance)) * allowance.ratio * EARNED_FRACTION;
        self.saved = self.saved.min(earned);
    }

    /// Returns the number of requests that are certainly within the window.
    fn requests(&mut self, now: Duration, allowance: RetryAllowance) -> u32 {
        let newest = self.slice(now, allowance).number;
        let in_window = |it: &&Slice| it.number + u64::from(SLICES) > newest;
        let slices = self.slices.iter().filter(in_window);
        slices.map(|it| it.requests).sum()
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
