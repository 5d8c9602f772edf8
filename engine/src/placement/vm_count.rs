//! Among how many VMs the slack of the budget for repeats is divided.

use std::{collections::VecDeque, time::Duration};

/// How many VMs share the budget: the most that were changes at one time within a window.
///
/// A VM that leaves the list may have used its part just before, or go on: the store drops the entries of
/// living VMs that it couldn't hear.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::vm_count::PeakVmCount;
///
/// let s = Duration::from_secs;
/// let mut vm_count = PeakVmCount::new(s(10));
/// vm_count.record(s(0), 10);
/// vm_count.record(s(5), 0);
/// assert_eq!(vm_count.peak(s(14)), 10);
/// assert_eq!(vm_count.peak(s(15)), 0);
/// ```
#[derive(Clone, Debug)]
pub struct PeakVmCount {
    window: Duration,
    changes: VecDeque<Change>,
}

/// How many were changes, and since when.
#[derive(Clone, Copy, Debug)]
struct Change {
    since: Duration,
    count: usize,
}

impl PeakVmCount {
    /// Creates the count over a window, of no VMs yet.
    ///
    /// # Example
    ///
    /// See [`PeakVmCount`].
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            changes: VecDeque::new(),
        }
    }

    /// Takes note of how many VMs are changes from now on.
    ///
    /// # Example
    ///
    /// See [`PeakVmCount`].
    pub fn record(&mut self, now: Duration, count: usize) {
        if self.changes.back().is_none_or(|it| it.count != count) {
            let since = now;
            self.changes.push_back(Change { since, count });
        }
        self.discard_expired(now);
    }

    /// Returns the most that were changes at one time since the window began.
    ///
    /// # Example
    ///
    /// See [`PeakVmCount`].
    pub fn peak(&mut self, now: Duration) -> usize {
        self.discard_expired(now);
        let counts = self.changes.iter().map(|it| it.count);
        counts.max().unwrap_or(0)
    }

    /// Forgets what was changes before the window only.
    fn discard_expired(&mut self, now: Duration) {
        let expired = |next: &Change| next.since + self.window <= now;
        while self.changes.get(1).is_some_and(expired) {
            self.changes.pop_front();
        }
    }
}
