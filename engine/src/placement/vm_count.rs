//! The number of VMs that share the slack of the retry budget.

use std::{collections::VecDeque, time::Duration};

/// The largest number of VMs that were listed at the same time within a window.
///
/// A VM that is no longer listed may have used its part of the budget just before, or may still run: the store removes
/// the entries of running VMs that it couldn't reach.
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

/// The number of VMs listed since a time.
#[derive(Clone, Copy, Debug)]
struct Change {
    since: Duration,
    count: usize,
}

impl PeakVmCount {
    /// Creates a count over a window, with no VMs yet.
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

    /// Records how many VMs are listed from now on.
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

    /// Returns the largest number of VMs listed at one time since the window began.
    ///
    /// # Example
    ///
    /// See [`PeakVmCount`].
    pub fn peak(&mut self, now: Duration) -> usize {
        self.discard_expired(now);
        let counts = self.changes.iter().map(|it| it.count);
        counts.max().unwrap_or(0)
    }

    /// Discards changes that only concern the time before the window.
    fn discard_expired(&mut self, now: Duration) {
        let expired = |next: &Change| next.since + self.window <= now;
        while self.changes.get(1).is_some_and(expired) {
            self.changes.pop_front();
        }
    }
}
