//! The life cycle of a request: received, admitted, started, finished.
//!
//! The types enforce the main rule: a [`Proof`] that a request did not run comes only from a state
//! before [`Started`], or from a target's own [`Refusal`], which leads back to [`Admitted`].
//!
//! ```compile_fail
//! use bramleypier::request::Attempt;
//!
//! let started = Attempt::new().admit().start("target-1");
//! let proof = started.proof(); // no such method: a byte may have been sent
//! ```

use super::{Outcome, answer::Refusal};
use crate::util::client;

/// State: the request was read, and nothing is decided yet.
#[derive(Debug)]
pub struct Received;

/// State: the request may be sent, and no target has received anything of it that it would run.
#[derive(Debug)]
pub struct Admitted {
    refused: bool,
}

/// State: a byte of the request may have been sent to the target.
#[derive(Debug)]
pub struct Started {
    peer: String,
    refused: bool,
}

/// State: the request has ended.
#[derive(Debug)]
pub struct Finished {
    outcome: Outcome,
}

/// One request in its life cycle, in the state `S`.
///
/// # Example
///
/// ```
/// use bramleypier::request::{Attempt, Outcome};
///
/// let started = Attempt::new().admit().start("target-1");
/// assert_eq!(started.lost().outcome(), Outcome::Unknown);
/// ```
#[derive(Debug)]
#[must_use]
pub struct Attempt<S> {
    state: S,
}

/// Proof that a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    kind: ProofKind,
}

/// The kinds of [`Proof`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofKind {
    /// It was refused before it was admitted.
    NeverStarted,
    /// It was admitted, and no byte was sent to a target.
    NothingSent,
    /// Every target that received it refused it before starting.
    TargetRefused,
}

impl Proof {
    /// Returns the kind of proof.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, attempt::ProofKind};
    ///
    /// assert_eq!(Attempt::new().proof().kind(), ProofKind::NeverStarted);
    /// ```
    pub fn kind(self) -> ProofKind {
        self.kind
    }
}

impl Attempt<Received> {
    /// Creates the life cycle of a request that was just read.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Attempt;
    ///
    /// let admitted = Attempt::new().admit();
    /// # let _ = admitted;
    /// ```
    #[allow(
        clippy::new_without_default,
        reason = "a life cycle should start explicitly"
    )]
    pub fn new() -> Self {
        Self { state: Received }
    }

    /// Returns the proof that the request did not run, as it was never admitted.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, attempt::ProofKind};
    ///
    /// assert_eq!(Attempt::new().proof().kind(), ProofKind::NeverStarted);
    /// ```
    pub fn proof(&self) -> Proof {
        Proof {
            kind: ProofKind::NeverStarted,
        }
    }

    /// Admits the request.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, attempt::ProofKind};
    ///
    /// assert_eq!(Attempt::new().admit().proof().kind(), ProofKind::NothingSent);
    /// ```
    pub fn admit(self) -> Attempt<Admitted> {
        Attempt {
            state: Admitted { refused: false },
        }
    }
}

impl Attempt<Admitted> {
    /// Returns the proof that the request did not run: nothing was sent, or every receiver refused it.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, attempt::ProofKind};
    ///
    /// assert_eq!(Attempt::new().admit().proof().kind(), ProofKind::NothingSent);
    /// ```
    pub fn proof(&self) -> Proof {
        let kind = if self.state.refused {
            ProofKind::TargetRefused
        } else {
            ProofKind::NothingSent
        };
        Proof { kind }
    }

    /// Marks that the first byte is about to be sent to the target `peer`.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Attempt;
    ///
    /// assert_eq!(Attempt::new().admit().start("target-1").peer(), "target-1");
    /// ```
    pub fn start(self, peer: &str) -> Attempt<Started> {
        Attempt {
            state: Started {
                peer: peer.into(),
                refused: self.state.refused,
            },
        }
    }
}

impl Attempt<Started> {
    /// Returns the target that the request was sent to.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::Attempt;
    ///
    /// assert_eq!(Attempt::new().admit().start("target-1").peer(), "target-1");
    /// ```
    pub fn peer(&self) -> &str {
        &self.state.peer
    }

    /// Applies the target's refusal: the request may be retried, or end as not run.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, answer::{self, Answer}, attempt::ProofKind};
    /// use http::{HeaderMap, HeaderValue, StatusCode};
    ///
    /// let started = Attempt::new().admit().start("target-1");
    /// let mut headers = HeaderMap::new();
    /// headers.insert("bramleypier-outcome", HeaderValue::from_static("not-run"));
    /// let Answer::Refused(refusal) = answer::read(StatusCode::SERVICE_UNAVAILABLE, &headers) else {
    ///     panic!("a refusal");
    /// };
    /// assert_eq!(started.refused(&refusal).proof().kind(), ProofKind::TargetRefused);
    /// ```
    pub fn refused(self, _refusal: &Refusal) -> Attempt<Admitted> {
        Attempt {
            state: Admitted { refused: true },
        }
    }

    /// Applies a failure to send: back to [`Admitted`] if no byte was sent, else ended as unknown.
    ///
    /// # Errors
    ///
    /// Returns the ended request if a part of it may have arrived at the target.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{request::Attempt, util::client};
    ///
    /// let started = Attempt::new().admit().start("target-1");
    /// let busy = client::Error::Busy("127.0.0.1:9".parse().unwrap());
    /// assert!(started.failed(&busy).is_ok());
    /// ```
    pub fn failed(self, error: &client::Error) -> Result<Attempt<Admitted>, Attempt<Finished>> {
        if error.unsent() {
            return Ok(Attempt {
                state: Admitted {
                    refused: self.state.refused,
                },
            });
        }
        Err(self.lost())
    }

    /// Ends the request with the target's response.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, Outcome};
    ///
    /// let finished = Attempt::new().admit().start("target-1").answered();
    /// assert_eq!(finished.outcome(), Outcome::Ran);
    /// ```
    pub fn answered(self) -> Attempt<Finished> {
        Attempt {
            state: Finished {
                outcome: Outcome::Ran,
            },
        }
    }

    /// Ends the request without a complete response: it may have run.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, Outcome};
    ///
    /// let finished = Attempt::new().admit().start("target-1").lost();
    /// assert_eq!(finished.outcome(), Outcome::Unknown);
    /// ```
    pub fn lost(self) -> Attempt<Finished> {
        Attempt {
            state: Finished {
                outcome: Outcome::Unknown,
            },
        }
    }
}

impl Attempt<Finished> {
    /// Returns how the request ended.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::request::{Attempt, Outcome};
    ///
    /// let finished = Attempt::new().admit().start("target-1").answered();
    /// assert_eq!(finished.outcome(), Outcome::Ran);
    /// ```
    pub fn outcome(&self) -> Outcome {
        self.state.outcome
    }
}
