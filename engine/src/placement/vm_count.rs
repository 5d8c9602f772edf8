//! Among how many VMs the slack of the budget for repeats is divided.

use std::{collections::VecDeque, time::Duration};

/// How many VMs share the budget: the most that were listed at one time within a window.
///
/// A VM that leaves the list may have used its part just before, or go on: the store drops the entries of
/// living VMs that it couldn't hear.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::vm_count::Sharers;
///
/// let s = Duration::from_secs;
/// let mut sharers = Sharers::over(s(10));
/// sharers.list(s(0), 10);
/// sharers.list(s(5), 0);
/// assert_eq!(sharers.most(s(14)), 10);
/// assert_eq!(sharers.most(s(15)), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Sharers {
    window: Duration,
    listed: VecDeque<Listed>,
}

/// How many were listed, and since when.
#[derive(Clone, Copy, Debug)]
struct Listed {
    since: Duration,
    count: usize,
}

impl Sharers {
    /// Creates the count over a window, of no VMs yet.
    ///
    /// # Example
    ///
    /// See [`Sharers`].
    pub fn over(window: Duration) -> Self {
        Self {
            window,
            listed: VecDeque::new(),
        }
    }

    /// Takes note of how many VMs are listed from now on.
    ///
    /// # Example
    ///
    /// See [`Sharers`].
    pub fn list(&mut self, now: Duration, count: usize) {
        if self.listed.back().is_none_or(|it| it.count != count) {
            let since = now;
            self.listed.push_back(Listed { since, count });
        }
        self.forget(now);
    }

    /// Returns the most that were listed at one time since the window began.
    ///
    /// # Example
    ///
    /// See [`Sharers`].
    pub fn most(&mut self, now: Duration) -> usize {
        self.forget(now);
        let counts = self.listed.iter().map(|it| it.count);
        counts.max().unwrap_or(0)
    }

    /// Forgets what was listed before the window only.
    fn forget(&mut self, now: Duration) {
        let ended = |next: &Listed| next.since + self.window <= now;
        while self.listed.get(1).is_some_and(ended) {
            self.listed.pop_front();
        }
    }
}
