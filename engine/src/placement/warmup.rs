//! Decides which VMs may send to a cold target, and how often.
//!
//! Load pattern: a target has just started, or a whole failure domain has come back, and each target can only process a
//! few requests per second for some seconds. Above that rate it fails and restarts, cold again. To sixty VMs
//! it looks idle, and one request per second from each of them is ten times too many.
//!
//! Therefore only a few VMs send to it, chosen by a hash of their names and the target's id, each with its part of the
//! rate. That needs no messages, and it works without a manager, for VMs that can't reach the manager, and for any
//! number of VMs. VMs with different lists of VMs may choose different senders, so the chosen VMs together use at most
//! half of what the platform allows in any second.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::catalogue::{VmId, Warmup};

/// The maximum number of VMs that send to one cold target; if one of them fails, the others continue.
const MAX_SENDERS: u32 = 3;
/// How many lists of VMs may be in use at once: the one before a change and the one after it.
const MAX_VIEWS: f64 = 2.0;

/// How far the requests that reach a cold target in one second may exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurstAllowance {
    /// A factor on the rate.
    #[serde(rename = "over")]
    pub factor: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

impl Default for BurstAllowance {
    /// The default where the platform sets no allowance: the rate itself.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

/// How many VMs send to a target, and how long each waits between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderPlan {
    /// How many VMs send.
    pub senders: usize,
    /// The time between two requests of one VM.
    pub interval: Duration,
}

impl SenderPlan {
    /// Returns the fastest plan that keeps to a target's rate in any second; `None` if nothing may be sent.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{
    ///     catalogue::Warmup,
    ///     placement::warmup::{SenderPlan, BurstAllowance},
    /// };
    ///
    /// let warmup = Warmup { duration: Duration::from_secs(3), rate: 8.0 };
    /// let plan = SenderPlan::of(warmup, BurstAllowance { factor: 1.5, slack: 8.0 }).unwrap();
    /// assert_eq!((plan.senders, plan.interval), (2, Duration::from_millis(250)));
    /// assert_eq!(SenderPlan::of(Warmup { rate: 0.5, ..warmup }, BurstAllowance::default()), None);
    /// ```
    pub fn of(warmup: Warmup, burst: BurstAllowance) -> Option<Self> {
        let limit = (warmup.rate * burst.factor + burst.slack) / MAX_VIEWS;
        // In any one second, each sender may send one request more than its rate allows.
        let spare = limit - warmup.rate;
        let senders = (1..=MAX_SENDERS)
            .rev()
            .find(|it| f64::from(*it) <= spare)
            .unwrap_or(1);
        let rate = warmup.rate.min(limit - f64::from(senders));
        if rate <= 0.0 {
            return None;
        }
        Some(Self {
            senders: senders as usize,
            interval: Duration::from_secs_f64(f64::from(senders) / rate),
        })
    }

    /// Returns whether the VM `own` is one of the senders to a target; a VM that isn't in the list is not.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::warmup::SenderPlan;
    ///
    /// let vms: Vec<String> = (0..60).map(|it| format!("vm-{it}")).collect();
    /// let plan = SenderPlan { senders: 2, interval: Duration::from_millis(250) };
    /// let is_sender = |vm: &&String| plan.is_sender(vm, &vms, "target-1");
    /// assert_eq!(vms.iter().filter(is_sender).count(), 2);
    /// ```
    pub fn is_sender(&self, own: &str, vms: &[VmId], target: &str) -> bool {
        let seed = xxh3::xxh3_64(target.as_bytes());
        let own_rank = rank(own, seed);
        let ahead = vms.iter().filter(|vm| rank(vm, seed) < own_rank);
        vms.iter().any(|vm| vm == own) && ahead.count() < self.senders
    }
}

/// Returns the rank of a VM among the senders to a target; the lowest send.
fn rank(vm: &str, seed: u64) -> (u64, &str) {
    (xxh3::xxh3_64_with_seed(vm.as_bytes(), seed), vm)
}

/// One VM's limit on requests to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendLimit {
    /// No limit; for cold targets, if their service sets none.
    #[default]
    Unlimited,
    /// One request per interval.
    Interval(Duration),
    /// No requests; other VMs send.
    Blocked,
}

/// Limits the requests of one VM to one target until a time, for example while the target is cold.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::warmup::{SendLimiter, SendLimit};
///
/// let ms = Duration::from_millis;
/// let mut limiter = SendLimiter::default();
/// assert!(limiter.allows(ms(0)), "a warm target has no limit");
/// limiter.set(ms(3000), SendLimit::Interval(ms(250)));
/// limiter.record_sent(ms(10));
/// assert!(!limiter.allows(ms(259)) && limiter.allows(ms(260)));
/// limiter.set(ms(3000), SendLimit::Blocked);
/// assert!(!limiter.allows(ms(2999)) && limiter.allows(ms(3000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendLimiter {
    /// When the limit ends.
    until: Duration,
    limit: SendLimit,
    /// When this VM last sent a request to the target.
    last_sent: Option<Duration>,
}

impl SendLimiter {
    /// Sets a limit that applies until a time.
    pub fn set(&mut self, until: Duration, limit: SendLimit) {
        self.until = until;
        self.limit = limit;
    }

    /// Returns whether the limit applies, for example because the target is cold.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent.
    pub fn allows(&self, now: Duration) -> bool {
        if !self.is_active(now) {
            return true;
        }
        match self.limit {
            SendLimit::Unlimited => true,
            SendLimit::Interval(interval) => self.last_sent.is_none_or(|at| now >= at + interval),
            SendLimit::Blocked => false,
        }
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.last_sent = Some(now);
    }
}
