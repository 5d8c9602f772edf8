//! Retries: whether a failed attempt is followed by another one, and after which wait.
//!
//! A retry needs all of these: the request did not run or is idempotent; the retry budget isn't
//! used up; and the wait ends well before the deadline. A non-idempotent request is never retried
//! once a byte of it was sent, unless the target itself refused it.

use std::{collections::VecDeque, time::Duration};

use crate::{
    limit::concurrency,
    request::{Deadline, Outcome},
};

/// The time over which successes and retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// The number of successes in the window that allow one retry.
const SUCCESSES_PER_RETRY: u32 = 10;
/// The number of retries in the window that need no success.
const MIN_RETRIES: u32 = 3;
/// The wait before the first retry; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(5);
/// The longest wait, unless the target asks for a longer one.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// The retry budget of one service.
///
/// It limits retries to a part of the recent successes, so that retries don't add to an overload.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::{request::{Deadline, Outcome}, retry::{Budget, FailedAttempt}};
///
/// let mut budget = Budget::default();
/// let failed = FailedAttempt {
///     number: 1,
///     outcome: Outcome::Unknown,
///     idempotent: false,
///     retry_after: None,
/// };
/// let deadline = Deadline { at: Duration::from_secs(1) };
/// assert_eq!(budget.retry(Duration::ZERO, &failed, deadline, 7), None); // it may have run
/// ```
#[derive(Debug, Default)]
pub struct Budget {
    /// Successes and retries per second, oldest first.
    seconds: VecDeque<Second>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    at: u64,
    successes: u32,
    retries: u32,
}

/// A failed attempt to serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of the attempt, from 1.
    pub number: u32,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The time for which the target asks to get no retry.
    pub retry_after: Option<Duration>,
}

impl Budget {
    /// Counts a request that succeeded, at its first attempt or a later one.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::retry::Budget;
    ///
    /// Budget::default().succeeded(Duration::ZERO);
    /// ```
    pub fn succeeded(&mut self, now: Duration) {
        self.second(now).successes += 1;
    }

    /// Returns how long to wait before a retry and counts the retry, or returns nothing if the
    /// request must not be retried.
    ///
    /// `random` is any number that differs between requests, for jitter.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{request::{Deadline, Outcome}, retry::{Budget, FailedAttempt}};
    ///
    /// let mut budget = Budget::default();
    /// let failed = FailedAttempt {
    ///     number: 1,
    ///     outcome: Outcome::NotRun,
    ///     idempotent: false,
    ///     retry_after: None,
    /// };
    /// let deadline = Deadline { at: Duration::from_secs(1) };
    /// assert!(budget.retry(Duration::ZERO, &failed, deadline, 7).is_some());
    /// ```
    pub fn retry(
        &mut self,
        now: Duration,
        failed: &FailedAttempt,
        deadline: Deadline,
        random: u64,
    ) -> Option<Duration> {
        let repeatable = match failed.outcome {
            Outcome::Ran => false,
            Outcome::NotRun => true,
            Outcome::Unknown => failed.idempotent,
        };
        if !repeatable || failed.number >= MAX_ATTEMPTS || !self.allows_retry(now) {
            return None;
        }
        let doubled = FIRST_WAIT.saturating_mul(1 << failed.number.saturating_sub(1).min(16));
        let wait = concurrency::jitter(doubled.min(MAX_WAIT), random)
            .max(failed.retry_after.unwrap_or_default());
        // An attempt that starts just before the deadline would only waste work: as much time as
        // the wait takes must remain after it.
        deadline.remaining(now + 2 * wait)?;
        self.second(now).retries += 1;
        Some(wait)
    }

    /// Returns whether one more retry is within the budget.
    fn allows_retry(&mut self, now: Duration) -> bool {
        self.second(now);
        let successes: u32 = self.seconds.iter().map(|second| second.successes).sum();
        let retries: u32 = self.seconds.iter().map(|second| second.retries).sum();
        retries < successes / SUCCESSES_PER_RETRY + MIN_RETRIES
    }

    /// Returns the counts of the current second, and drops those outside the window.
    fn second(&mut self, now: Duration) -> &mut Second {
        let at = now.as_secs();
        while let Some(first) = self.seconds.front() {
            if first.at + WINDOW.as_secs() > at {
                break;
            }
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|last| last.at != at) {
            self.seconds.push_back(Second {
                at,
                ..Second::default()
            });
        }
        self.seconds.back_mut().expect("one was just added")
    }
}
