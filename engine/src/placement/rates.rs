//! The rate limits that overloaded targets ask for.
//!
//! A target states its rate limit in its responses for as long as the limit applies, and the limit is for all VMs
//! together. Each VM therefore passes the limits that it receives to the other VMs through the manager, each with its
//! age. The newest report counts.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::warmup::SenderPlan;
use crate::catalogue::{Rate, TargetHash};

/// How much newer than the known report another one must be: a report that returns from another VM looks slightly
/// newer.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(100);
/// How long a report is valid. A rate-limited target still gets requests, so it repeats its report before that.
const RATE_VALIDITY: Duration = Duration::from_mins(1);
/// How long the end of a limit is passed on to other VMs.
const LIFTED_VALIDITY: Duration = Duration::from_secs(10);
/// The minimum rate: a target that accepts nothing still gets requests, which show when it accepts them again.
const MIN_RATE: Rate = 0.25;
/// How many VMs send at an interval of their own; if one of them fails, the other continues.
const SENDERS: u32 = 2;
/// The fraction of the rate that these VMs use: in any period each may send one request more than its interval allows,
/// and VMs with a different list of VMs may send too.
const SENDERS_FRACTION: f64 = 0.75;

/// Returns the rate at which requests are sent to a target that asks for `rate`.
///
/// # Example
///
/// ```
/// use bramleypier_engine::placement::rates;
///
/// assert_eq!(rates::effective_rate(2.0), 2.0);
/// assert_eq!(rates::effective_rate(0.0), 0.25);
/// ```
pub fn effective_rate(rate: Rate) -> Rate {
    rate.max(MIN_RATE)
}

/// Returns how many VMs may send to a rate-limited target, and how often, while the manager assigns no quotas.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::rates;
///
/// let plan = rates::sender_plan(2.0);
/// assert_eq!(plan.senders, 2);
/// assert_eq!(plan.interval.as_millis(), 1333);
/// ```
pub fn sender_plan(rate: Rate) -> SenderPlan {
    let used = effective_rate(rate) * SENDERS_FRACTION;
    SenderPlan {
        senders: SENDERS as usize,
        interval: Duration::from_secs_f64(f64::from(SENDERS) / used),
    }
}

/// Returns the time between two requests at a rate.
///
/// # Example
///
/// ```
/// use bramleypier_engine::placement::rates;
///
/// assert_eq!(rates::interval(2.0).as_millis(), 500);
/// ```
pub fn interval(rate: Rate) -> Duration {
    Duration::from_secs_f64(effective_rate(rate).recip())
}

/// The rate limit of one target, as reported to other VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RateReport {
    /// The target.
    pub target: TargetHash,
    /// The limit in requests per second; `None` once it has been lifted.
    pub rate: Option<Rate>,
    /// How long ago the target reported it.
    pub age: Duration,
}

/// The rate limit that a target last reported, and when.
#[derive(Clone, Copy, Debug)]
struct Entry {
    rate: Option<Rate>,
    at: Duration,
}

/// The rate limits of targets, as far as one process knows them.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::rates::Rates;
///
/// let s = Duration::from_secs;
/// let (mut here, mut there) = (Rates::default(), Rates::default());
/// assert!(here.record(s(1), 7, Some(1.5)));
/// assert_eq!(there.merge(s(1), &here.reports(s(1))), [7]);
/// assert_eq!(there.rate(7), Some(1.5));
/// there.record(s(2), 7, None);
/// here.merge(s(2), &there.reports(s(2)));
/// assert_eq!(here.rate(7), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rates {
    entries: IndexMap<TargetHash, Entry>,
}

impl Rates {
    /// Records what a target has just reported; returns whether that changes its known limit.
    ///
    /// # Example
    ///
    /// See [`Rates`].
    pub fn record(&mut self, now: Duration, target: TargetHash, rate: Option<Rate>) -> bool {
        let before = self.entries.get(&target);
        if rate.is_none() && before.is_none() {
            return false;
        }
        let changed = before.is_none_or(|it| it.rate != rate);
        self.entries.insert(target, Entry { rate, at: now });
        changed
    }

    /// Merges the reports of another process; returns the targets whose limits change.
    ///
    /// # Example
    ///
    /// See [`Rates`].
    pub fn merge(&mut self, now: Duration, reports: &[RateReport]) -> Vec<TargetHash> {
        let mut changed = Vec::new();
        for it in reports {
            let at = now.saturating_sub(it.age);
            let before = self.entries.get(&it.target);
            if before.is_some_and(|entry| at < entry.at + MIN_AGE_DIFFERENCE) {
                continue;
            }
            if self.record(at, it.target, it.rate) {
                changed.push(it.target);
            }
        }
        changed
    }

    /// Drops reports that are no longer valid; returns the targets whose limits end as a result.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::rates::Rates;
    ///
    /// let mut rates = Rates::default();
    /// rates.record(Duration::ZERO, 7, Some(1.5));
    /// assert!(rates.expire(Duration::from_secs(59)).is_empty());
    /// assert_eq!(rates.expire(Duration::from_secs(60)), [7]);
    /// ```
    pub fn expire(&mut self, now: Duration) -> Vec<TargetHash> {
        let mut expired = Vec::new();
        self.entries.retain(|target, entry| {
            let validity = match entry.rate {
                Some(_) => RATE_VALIDITY,
                None => LIFTED_VALIDITY,
            };
            let valid = now < entry.at + validity;
            if !valid && entry.rate.is_some() {
                expired.push(*target);
            }
            valid
        });
        expired
    }

    /// Returns all known reports, for other processes.
    ///
    /// # Example
    ///
    /// See [`Rates`].
    pub fn reports(&self, now: Duration) -> Vec<RateReport> {
        let reports = self.entries.iter().map(|(target, entry)| RateReport {
            target: *target,
            rate: entry.rate,
            age: now.saturating_sub(entry.at),
        });
        reports.collect()
    }

    /// Returns the targets that have a rate limit, with their limits.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::rates::Rates;
    ///
    /// let mut rates = Rates::default();
    /// rates.record(Duration::ZERO, 7, Some(1.5));
    /// rates.record(Duration::ZERO, 8, Some(2.0));
    /// rates.record(Duration::ZERO, 8, None);
    /// assert_eq!(rates.active().collect::<Vec<_>>(), [(7, 1.5)]);
    /// ```
    pub fn active(&self) -> impl Iterator<Item = (TargetHash, Rate)> {
        let entries = self.entries.iter();
        entries.filter_map(|(target, entry)| Some((*target, entry.rate?)))
    }

    /// Returns the rate limit of a target.
    ///
    /// # Example
    ///
    /// See [`Rates`].
    pub fn rate(&self, target: TargetHash) -> Option<Rate> {
        self.entries.get(&target)?.rate
    }
}
