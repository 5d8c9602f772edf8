//! The result of a request, as it is reported to the caller.

use std::time::Duration;

use serde::Serialize;

use super::{Outcome, Proof, Step};

/// How a request ended, where, and why.
///
/// The outcome follows from the constructor, and a verdict of `not-run` requires a [`Proof`].
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::request::{Attempt, Outcome, Step, Verdict};
///
/// let attempt = Attempt::new();
/// let verdict = Verdict::not_run(&attempt.proof(), 503, Step::Queue, "target-1", "queue is full")
///     .retry_after(Duration::from_millis(1_200));
/// assert_eq!(verdict.outcome(), Outcome::NotRun);
/// assert_eq!(verdict.retry_seconds(), Some(2));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    outcome: Outcome,
    proof: Option<Proof>,
    /// The step at which the request ended.
    pub step: Step,
    /// The VM or target at which it ended.
    pub peer: String,
    /// Why, as a text for the caller.
    pub reason: String,
    /// How long to wait before a retry.
    pub retry_after: Option<Duration>,
    /// The HTTP status.
    pub status: u16,
}

/// The JSON body of a local response.
#[derive(Serialize)]
struct Body<'a> {
    outcome: Outcome,
    step: Step,
    peer: &'a str,
    reason: &'a str,
    retry_ms: Option<u64>,
}

impl Verdict {
    /// Creates the verdict that the request did not run, from the proof.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, Step, Verdict};
    ///
    /// let proof = Attempt::new().proof();
    /// let verdict = Verdict::not_run(&proof, 404, Step::Route, "vm-1", "no such service");
    /// assert_eq!(verdict.status, 404);
    /// ```
    pub fn not_run(proof: &Proof, status: u16, step: Step, peer: &str, reason: &str) -> Self {
        Self {
            proof: Some(*proof),
            ..Self::new(Outcome::NotRun, status, step, peer, reason)
        }
    }

    /// Creates the verdict that the request may have run.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Outcome, Step, Verdict};
    ///
    /// let verdict = Verdict::unknown(504, Step::Answer, "target-1", "no answer in time");
    /// assert_eq!(verdict.outcome(), Outcome::Unknown);
    /// ```
    pub fn unknown(status: u16, step: Step, peer: &str, reason: &str) -> Self {
        Self::new(Outcome::Unknown, status, step, peer, reason)
    }

    /// Creates the verdict that the request ran and the target's complete response follows.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Outcome, Verdict};
    ///
    /// assert_eq!(Verdict::ran(200, "target-1").outcome(), Outcome::Ran);
    /// ```
    pub fn ran(status: u16, peer: &str) -> Self {
        Self::new(Outcome::Ran, status, Step::Answer, peer, "answered")
    }

    /// Returns the proof that the request did not run; only `not-run` verdicts have one.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Step, Verdict};
    ///
    /// let verdict = Verdict::unknown(504, Step::Answer, "target-1", "it stopped responding");
    /// assert!(verdict.proof().is_none());
    /// ```
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// Returns whether the request ran.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Outcome, Verdict};
    ///
    /// assert_eq!(Verdict::ran(200, "target-1").outcome(), Outcome::Ran);
    /// ```
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Sets how long to wait before a retry.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::request::{Step, Verdict};
    ///
    /// let verdict = Verdict::unknown(504, Step::Answer, "target-1", "no answer in time")
    ///     .retry_after(Duration::from_millis(5));
    /// assert_eq!(verdict.retry_ms(), Some(5));
    /// ```
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the value of `Retry-After`: whole seconds, rounded up.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Verdict;
    ///
    /// assert_eq!(Verdict::ran(200, "target-1").retry_seconds(), None);
    /// ```
    pub fn retry_seconds(&self) -> Option<u64> {
        Some(self.retry_ms()?.div_ceil(1_000))
    }

    /// Returns the value of `Bramleypier-Retry-Ms`: whole milliseconds, rounded up.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Verdict;
    ///
    /// assert_eq!(Verdict::ran(200, "target-1").retry_ms(), None);
    /// ```
    pub fn retry_ms(&self) -> Option<u64> {
        let ms = self.retry_after?.as_micros().div_ceil(1_000);
        Some(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Returns the body of the local response, as JSON.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Step, Verdict};
    ///
    /// let verdict = Verdict::unknown(504, Step::Answer, "target-1", "no answer in time");
    /// let text = String::from_utf8(verdict.body()).unwrap();
    /// assert!(text.starts_with(r#"{"outcome":"unknown","step":"answer","peer":"target-1""#));
    /// ```
    pub fn body(&self) -> Vec<u8> {
        let body = Body {
            outcome: self.outcome,
            step: self.step,
            peer: &self.peer,
            reason: &self.reason,
            retry_ms: self.retry_ms(),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    fn new(outcome: Outcome, status: u16, step: Step, peer: &str, reason: &str) -> Self {
        Self {
            outcome,
            proof: None,
            step,
            peer: peer.into(),
            reason: reason.into(),
            retry_after: None,
            status,
        }
    }
}
