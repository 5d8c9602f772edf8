//! Decides right before a request is written whether the choice of its target still stands.
//!
//! Load pattern: a process is short of processor time, or new connections open slowly, so that a request that the
//! dispatcher has sent off waits while targets leave, keys move and callers give up.

use std::{fmt, time::Duration};

use crate::{catalogue::Target, fleet::Fleet, owner::record::RequestKey};

/// How long after its decision a request may be written.
///
/// The time left that the target is told is that of the decision, and it must not exceed the caller's by half a second.
const MAX_DECISION_AGE: Duration = Duration::from_millis(400);

/// The choice of a target for a request.
#[derive(Clone, Debug)]
pub struct Commitment {
    /// The target.
    pub target: Target,
    /// The request's key, if only the key's owner can serve it.
    pub key: Option<RequestKey>,
    /// When the target was chosen.
    pub decided_at: Duration,
}

/// Why a request isn't sent to the target that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The choice is too old.
    Old,
    /// This VM's knowledge of targets has become too old.
    Unknown,
    /// The target leaves, or has left.
    Leaving,
    /// Another target owns the key.
    Moved,
    /// The caller has left.
    CallerLeft,
}

impl Withdrawal {
    /// Returns the name of the reason in logs and metrics.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::placement::commitment::Withdrawal;
    ///
    /// assert_eq!(Withdrawal::Leaving.name(), "leaving");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::Unknown => "unknown",
            Self::Leaving => "leaving",
            Self::Moved => "moved",
            Self::CallerLeft => "caller-left",
        }
    }
}

impl fmt::Display for Withdrawal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Commitment {
    /// Checks the choice against what this VM knows now.
    ///
    /// # Errors
    ///
    /// [`Withdrawal`] if the request must be decided anew.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{
    ///     catalogue::Target,
    ///     fleet::Fleet,
    ///     placement::commitment::{Commitment, Withdrawal},
    /// };
    ///
    /// let target = Target {
    ///     id: "t1".into(),
    ///     start_time: 1,
    ///     service: "s".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     domain: "d".into(),
    ///     slots: 2,
    ///     leaving: false,
    ///     cold: Duration::ZERO,
    /// };
    /// let commitment = Commitment { target, key: None, decided_at: Duration::ZERO };
    /// let checked = commitment.check(Duration::ZERO, &Fleet::default());
    /// assert_eq!(checked, Err(Withdrawal::Leaving), "it isn't announced any more");
    /// ```
    pub fn check(&self, now: Duration, fleet: &Fleet) -> Result<(), Withdrawal> {
        if now.saturating_sub(self.decided_at) > MAX_DECISION_AGE {
            return Err(Withdrawal::Old);
        }
        if !fleet.accepts_requests(now, &self.target, self.key.is_some()) {
            return Err(Withdrawal::Leaving);
        }
        if self.key.is_some_and(|key| self.has_moved(fleet, key)) {
            return Err(Withdrawal::Moved);
        }
        Ok(())
    }

    /// Returns whether another target owns the key.
    fn has_moved(&self, fleet: &Fleet, key: RequestKey) -> bool {
        let record = fleet.records.get(&self.target.service);
        let range = record.and_then(|it| it.record.find(key));
        let owner = range.and_then(|it| it.owner.as_ref());
        owner.is_some_and(|it| it.id != self.target.id)
    }
}
