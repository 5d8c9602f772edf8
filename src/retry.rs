//! Retries: when a request that did not end well may be tried again, and when.
//!
//! A retry needs all of these: the request did not run or is idempotent; the budget has room; and
//! the wait ends well before the deadline. Non-idempotent work of which a byte was sent is never
//! tried again, unless the target itself refused it.

use std::{collections::VecDeque, time::Duration};

use crate::{
    limit::concurrency,
    request::{Deadline, Outcome},
};

/// How far back successes count.
const SPAN: Duration = Duration::from_secs(10);
/// The part of the recent successes that may be retried.
const TENTH: u32 = 10;
/// How many retries there may be in a span without any success.
const MINIMUM: u32 = 3;
/// The first wait.
const FIRST: Duration = Duration::from_millis(5);
/// The longest wait.
const LONGEST: Duration = Duration::from_millis(500);
/// How many tries one request has at the most.
const TRIES: u32 = 4;

/// The budget of retries for one service.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::{request::{Deadline, Outcome}, retry::{Budget, FailedAttempt}};
///
/// let mut budget = Budget::default();
/// let tried = FailedAttempt {
///     number: 1,
///     outcome: Outcome::Unknown,
///     idempotent: false,
///     retry_after: None,
/// };
/// let deadline = Deadline { at: Duration::from_secs(1) };
/// assert_eq!(budget.retry(Duration::ZERO, &tried, deadline, 7), None); // it may have run
/// ```
#[derive(Debug, Default)]
pub struct Budget {
    /// Successes and retries, by second.
    seconds: VecDeque<Second>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    at: u64,
    successes: u32,
    retries: u32,
}

/// A try that did not end well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Which one it was, from 1.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How long the target asks to be left alone.
    pub retry_after: Option<Duration>,
}

impl Budget {
    /// Notes that a request ended well at its first try or a later one.
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

    /// Returns how long to wait before the next try, and counts it; nothing if there is to be none.
    ///
    /// `dice` is any number that differs between requests, for jitter.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{request::{Deadline, Outcome}, retry::{Budget, FailedAttempt}};
    ///
    /// let mut budget = Budget::default();
    /// let tried = FailedAttempt {
    ///     number: 1,
    ///     outcome: Outcome::NotRun,
    ///     idempotent: false,
    ///     retry_after: None,
    /// };
    /// let deadline = Deadline { at: Duration::from_secs(1) };
    /// assert!(budget.retry(Duration::ZERO, &tried, deadline, 7).is_some());
    /// ```
    pub fn retry(
        &mut self,
        now: Duration,
        tried: &FailedAttempt,
        deadline: Deadline,
        dice: u64,
    ) -> Option<Duration> {
        let harmless = match tried.outcome {
            Outcome::Ran => false,
            Outcome::NotRun => true,
            Outcome::Unknown => tried.idempotent,
        };
        if !harmless || tried.number >= TRIES || !self.has_room(now) {
            return None;
        }
        let doubled = FIRST.saturating_mul(1 << tried.number.saturating_sub(1).min(16));
        let wait = concurrency::jitter(doubled.min(LONGEST), dice)
            .max(tried.retry_after.unwrap_or_default());
        // A try that could only begin as the time ends would be work for nothing.
        deadline.remaining(now + 2 * wait)?;
        self.second(now).retries += 1;
        Some(wait)
    }

    fn has_room(&mut self, now: Duration) -> bool {
        self.second(now);
        let successes: u32 = self.seconds.iter().map(|second| second.successes).sum();
        let retries: u32 = self.seconds.iter().map(|second| second.retries).sum();
        retries < successes / TENTH + MINIMUM
    }

    /// Returns the counts of this second, and drops those that are too old.
    fn second(&mut self, now: Duration) -> &mut Second {
        let at = now.as_secs();
        while let Some(first) = self.seconds.front() {
            if first.at + SPAN.as_secs() > at {
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
