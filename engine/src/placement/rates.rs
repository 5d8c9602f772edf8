//! The rates to which targets in need of relief ask to be held.
//!
//! A target names its rate in its answers, for as long as it holds, and means all VMs together. So what one VM
//! hears is told to the others through the manager, each piece of news with its age, and the newest counts.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::warmup::SenderPlan;
use crate::{catalogue::TargetHash, target::Rate};

/// By how much news must be newer than what is known: what goes to another VM and back looks a little younger.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(100);
/// For how long news count. A target that is held to a rate is still sent to, so it says so again before.
const RATE_VALIDITY: Duration = Duration::from_mins(1);
/// For how long others are told that a rate holds no more.
const LIFTED_VALIDITY: Duration = Duration::from_secs(10);
/// The least rate to which a target is held: one that takes nothing is asked so often whether it does again.
const MIN_RATE: Rate = 0.25;
/// How many VMs send to a target by a pace of their own: when one of them is lost, the other goes on.
const SENDERS: u32 = 2;
/// The part of the rate that they use: each may send one request more in any span than its pace tells, and those
/// that know another list of VMs may send too.
const SENDERS_FRACTION: f64 = 0.75;

/// Returns the rate at which requests are sent to a target that has named one.
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

/// Returns how often few VMs may send to a target that asks to be held to a rate, where the manager shares nothing
/// out.
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

/// Returns the time from one request to the next at a rate.
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

/// What one target has said, for other VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RateReport {
    /// The target.
    pub target: TargetHash,
    /// The rate to which it asks to be held; none once it takes whatever comes.
    pub rate: Option<Rate>,
    /// How long ago it said so.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rate: Option<Rate>,
    at: Duration,
}

/// The rates that targets have named, as far as one process knows.
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
    /// Takes note of what a target has just said; returns whether that changes what is known.
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

    /// Takes in what another process knows; returns the targets of which that changes what is known.
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

    /// Forgets what is too old to count; returns the targets that are held to a rate no more by that.
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

    /// Returns what others may lack.
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

    /// Returns the targets that ask to be held to a rate, with the rates.
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

    /// Returns the rate to which a target asks to be held.
    ///
    /// # Example
    ///
    /// See [`Rates`].
    pub fn rate(&self, target: TargetHash) -> Option<Rate> {
        self.entries.get(&target)?.rate
    }
}
