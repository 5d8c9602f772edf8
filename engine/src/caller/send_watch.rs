//! Checks and records what a VM knows of a target at the moment at which a request to it is written.

use std::{cell::Cell, fmt, time::Duration};

use bramleypier_util::{client::SendGuard, clock::Clock};

use super::{attempt::Sender, attempts::CallerPresence};
use crate::{
    fleet::SharedFleet,
    placement::{
        commitment::{Commitment, Withdrawal},
        task::Permit,
    },
};

/// What happened to a request at the moment at which its first byte was due, and what this VM knew then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The time since the dispatcher chose the target.
    pub held: Duration,
    /// The age of this VM's knowledge of the store; `None` if nobody has told it anything.
    pub knowledge_age: Option<Duration>,
    /// Whether it was written, or why not.
    pub result: Result<(), Withdrawal>,
}

impl fmt::Display for Written {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.result {
            Ok(()) => f.write_str("written:")?,
            Err(reason) => write!(f, "withdrawn: {reason}")?,
        }
        write!(f, " held_ms={}", self.held.as_millis())?;
        match self.knowledge_age {
            Some(age) => write!(f, " known_ms={}", age.as_millis()),
            None => f.write_str(" known_ms="),
        }
    }
}

/// Withdraws a request whose target isn't to get it any more, and records what was known at that moment.
pub(super) struct SendWatch {
    commitment: Commitment,
    presence: CallerPresence,
    shared_fleet: SharedFleet,
    clock: Clock,
    written: Cell<Option<Written>>,
}

impl SendWatch {
    /// Creates the watch of a request for which the dispatcher has issued `permit`.
    pub(super) fn new(sender: &Sender, permit: &Permit, presence: &CallerPresence) -> Self {
        Self {
            commitment: Commitment {
                target: permit.target.clone(),
                key: permit.basis.key,
                decided_at: permit.sent_at,
            },
            presence: presence.clone(),
            shared_fleet: sender.shared_fleet.clone(),
            clock: sender.clock.clone(),
            written: Cell::new(None),
        }
    }

    /// Returns what was recorded; `None` if no byte was due.
    pub(super) fn written(&self) -> Option<Written> {
        self.written.get()
    }

    fn check(&self, now: Duration) -> Result<(), Withdrawal> {
        if !self.presence.is_there() {
            return Err(Withdrawal::CallerLeft);
        }
        let freshness = self.shared_fleet.confirmations().freshness(now);
        if !freshness.is_usable() {
            return Err(Withdrawal::Unknown);
        }
        self.commitment.check(now, &self.shared_fleet.get())
    }
}

impl SendGuard for SendWatch {
    fn may_write(&self) -> bool {
        let now = self.clock.now();
        let result = self.check(now);
        self.written.set(Some(Written {
            held: now.saturating_sub(self.commitment.decided_at),
            knowledge_age: self.shared_fleet.confirmations().age(now),
            result,
        }));
        result.is_ok()
    }
}
