//! Which VM may send to a cold target, and how often.
//!
//! Load pattern: a target has just started, or a whole failure domain comes back, and each target bears a few
//! requests a second for some seconds; above that it falls over and starts again, cold. To sixty VMs it
//! looks idle, and one request a second from each is ten times too many.
//!
//! So a few VMs send to it, chosen by a hash of their names and its id, each with its part of the rate. That needs
//! no message, and holds while the manager is lost, while VMs don't hear it, and for any number of VMs. VMs that
//! know different lists of VMs may choose others, so all of the chosen together use at most half of what the
//! platform bears in any second.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{catalogue::Warmup, fleet::VmId};

/// The most VMs that send to one cold target: when one of them is lost, others go on.
const MAX_SENDERS: u32 = 3;
/// How many lists of VMs may be believed at once: that before a change and that after it.
const MAX_VIEWS: f64 = 2.0;

/// By how much the requests that reach a cold target in one second may exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurstAllowance {
    /// A factor on the rate.
    #[serde(rename = "over")]
    pub factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for BurstAllowance {
    /// What holds where the platform says nothing: the rate itself.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

/// How many VMs send to a cold target, and how long each waits from one request to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderPlan {
    /// How many VMs send.
    pub senders: usize,
    /// The interval of each.
    pub interval: Duration,
}

impl SenderPlan {
    /// Returns the fastest pace that keeps to a target's rate, whichever second is looked at; none if
    /// nothing may be sent.
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
        let most = (warmup.rate * burst.factor + burst.slack) / MAX_VIEWS;
        // A second may hold one request of each sender more than the rate tells.
        let spare = most - warmup.rate;
        let senders = (1..=MAX_SENDERS)
            .rev()
            .find(|it| f64::from(*it) <= spare)
            .unwrap_or(1);
        let rate = warmup.rate.min(most - f64::from(senders));
        if rate <= 0.0 {
            return None;
        }
        Some(Self {
            senders: senders as usize,
            interval: Duration::from_secs_f64(f64::from(senders) / rate),
        })
    }

    /// Returns whether a VM is one of those that send to a target, among all VMs; one that isn't listed with
    /// the others is none.
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
        let mine = rank(own, seed);
        let before = vms.iter().filter(|vm| rank(vm, seed) < mine);
        vms.iter().any(|vm| vm == own) && before.count() < self.senders
    }
}

fn rank(vm: &str, seed: u64) -> (u64, &str) {
    (xxh3::xxh3_64_with_seed(vm.as_bytes(), seed), vm)
}

/// What one VM may send to a cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendLimit {
    /// Whatever comes: cold targets of its service have no bound.
    #[default]
    Unlimited,
    /// One request in each such interval.
    Interval(Duration),
    /// Nothing: other VMs send.
    Blocked,
}

/// Whether one VM may send to one target now, as far as that is cold.
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
/// assert!(limiter.allows(ms(0)), "a warm target takes what comes");
/// limiter.set(ms(3000), SendLimit::Interval(ms(250)));
/// limiter.record_sent(ms(10));
/// assert!(!limiter.allows(ms(259)) && limiter.allows(ms(260)));
/// limiter.set(ms(3000), SendLimit::Blocked);
/// assert!(!limiter.allows(ms(2999)) && limiter.allows(ms(3000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendLimiter {
    /// Until when the target is cold.
    until: Duration,
    limit: SendLimit,
    /// When this VM sent there last.
    last_sent: Option<Duration>,
}

impl SendLimiter {
    /// Limits what is sent until a time.
    pub fn set(&mut self, until: Duration, limit: SendLimit) {
        self.until = until;
        self.limit = limit;
    }

    /// Returns whether the target is cold, or may be.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether a request may pass.
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

    /// Takes note of a request that passes.
    pub fn record_sent(&mut self, now: Duration) {
        self.last_sent = Some(now);
    }
}
