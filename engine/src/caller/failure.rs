//! The answers of our own.

/// What a caller is told when no target's answer is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// No route leads there.
    NoRoute,
    /// The request can't be understood.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// It has not run and will not; it may be sent again later.
    NotRun,
    /// Its time is over; it may have run.
    TimedOut,
    /// The target's answer was lost; it may have run.
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
