//! The life cycle of a request: received, admitted, started, finished.
//!
//! The compiler holds the rule that matters most: a [`Proof`] that a request did not run comes
//! only from a state before [`Started`], or from a target's own [`Refusal`], which leads back to
//! [`Admitted`].
//!
//! ```compile_fail
//! use bramleypier::request::Attempt;
//!
//! let started = Attempt::new().admit().start("target-1");
//! let proof = started.proof(); // no such method: a byte may have left
//! ```

use super::{Outcome, answer::Refusal};
use crate::util::client;

/// The request was read; nothing was decided yet.
#[derive(Debug)]
pub struct Received;

/// The request may be sent, and nothing of it that a target would run has left.
#[derive(Debug)]
pub struct Admitted {
    refused: bool,
}

/// A byte of the request may have left for the target.
#[derive(Debug)]
pub struct Started {
    peer: String,
    refused: bool,
}

/// The request has ended.
#[derive(Debug)]
pub struct Finished {
    outcome: Outcome,
}

/// One request on its way, in the state `S`.
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

/// Why it is certain that a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    kind: ProofKind,
}

/// The kinds of [`Proof`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofKind {
    /// It was refused before it was admitted.
    NeverStarted,
    /// It was admitted, and no byte left for a target.
    NothingSent,
    /// Every target that it was sent to refused it before starting.
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
    #[allow(clippy::new_without_default, reason = "a life cycle begins on purpose")]
    pub fn new() -> Self {
        Self { state: Received }
    }

    /// Proves that the request did not run, for it was never admitted.
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
    /// Proves that the request did not run: nothing was sent, or who got it refused it.
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

    /// Marks that the first byte is about to leave for the target `peer`.
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

    /// Takes the target's refusal: the request may be tried again, or be given up as not run.
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

    /// Takes a failure to send: back to [`Admitted`] when no byte left, else ended as unknown.
    ///
    /// # Errors
    ///
    /// Some of the request may have arrived; it has ended without an answer.
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

    /// Ends the request with a whole answer of the target.
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

    /// Ends the request without a whole answer: it may have run.
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
