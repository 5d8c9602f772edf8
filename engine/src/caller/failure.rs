//! The failures that this router reports in local responses.

/// Why a caller gets a local response instead of a target's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No route matches the request.
    NoRoute,
    /// The request can't be parsed, or lacks a required field.
    Malformed,
    /// The request body is too large.
    TooLarge,
    /// The request body did not arrive in time.
    TooSlow,
    /// The request has not run and will not; the caller may retry it later.
    NotRun,
    /// The request's time ran out; it may have run.
    TimedOut,
    /// The target's response was lost; the request may have run.
    Lost,
}

impl Failure {
    /// Returns the name in logs.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::caller::failure::Failure;
    ///
    /// assert_eq!(Failure::NotRun.name(), "not-run");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::TooSlow => "too-slow",
            Self::NotRun => "not-run",
            Self::TimedOut => "timed-out",
            Self::Lost => "lost",
        }
    }
}
