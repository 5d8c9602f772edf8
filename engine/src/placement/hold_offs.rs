//! The targets that want no requests from this VM for a while.
//!
//! Load pattern: a target that can't take any more work refuses each request within a millisecond. It looks idle and
//! fast, so without a memory of its refusals it would get more requests than others. It says for how long it wants none
//! from the VM that it refuses; other VMs it may still serve.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::catalogue::{self, TargetHash, TargetId};

/// A target that wants no requests from a VM, as that VM tells the manager.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HoldOffReport {
    /// The target.
    pub target: TargetHash,
    /// For how much longer.
    pub remaining: Duration,
}

/// The times until which targets want no requests from this VM.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::hold_offs::HoldOffs;
///
/// let s = Duration::from_secs;
/// let mut hold_offs = HoldOffs::default();
/// assert!(hold_offs.record(s(1), "t1", s(3)));
/// assert!(!hold_offs.record(s(2), "t1", s(1)), "it was known already");
/// assert_eq!(hold_offs.remaining(s(2), "t1"), Some(s(2)));
/// assert_eq!(hold_offs.remaining(s(4), "t1"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HoldOffs {
    until: IndexMap<TargetId, Duration>,
}

impl HoldOffs {
    /// Records that a target wants no requests for a time from now on; returns whether it wanted some before.
    ///
    /// A shorter time doesn't end a longer one: each holds from the refusal that stated it.
    ///
    /// # Example
    ///
    /// See [`HoldOffs`].
    pub fn record(&mut self, now: Duration, target: &str, time: Duration) -> bool {
        self.until.retain(|_, until| now < *until);
        let until = now.saturating_add(time);
        let known = self.until.get(target).copied();
        let latest = known.map_or(until, |it| it.max(until));
        if latest > now {
            self.until.insert(target.to_owned(), latest);
        }
        known.is_none()
    }

    /// Returns all targets that want no requests now, for the manager.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::hold_offs::HoldOffs;
    ///
    /// let s = Duration::from_secs;
    /// let mut hold_offs = HoldOffs::default();
    /// hold_offs.record(s(1), "t1", s(3));
    /// assert_eq!(hold_offs.reports(s(2))[0].remaining, s(2));
    /// assert!(hold_offs.reports(s(4)).is_empty());
    /// ```
    pub fn reports(&self, now: Duration) -> Vec<HoldOffReport> {
        let active = self.until.iter().filter(|(_, until)| now < **until);
        let reports = active.map(|(id, until)| HoldOffReport {
            target: catalogue::hash(id),
            remaining: until.saturating_sub(now),
        });
        reports.collect()
    }

    /// Returns for how much longer a target wants no requests; `None` if it takes them.
    ///
    /// # Example
    ///
    /// See [`HoldOffs`].
    pub fn remaining(&self, now: Duration, target: &str) -> Option<Duration> {
        let until = self.until.get(target)?;
        let remaining = until.saturating_sub(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
