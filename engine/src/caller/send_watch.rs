//! Observes what a VM knows of a target at the moment at which a request is written to it.

use std::{cell::Cell, fmt, time::Duration};

use bramleypier_util::{client::SendGuard, clock::Clock};

use super::attempt::Sender;
use crate::{catalogue::Target, fleet::SharedFleet};

/// What a VM knew of a target when the first byte of a request to it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The time since the dispatcher chose the target.
    pub held: Duration,
    /// The age of this VM's knowledge of the store; `None` if nobody has told it anything.
    pub knowledge_age: Option<Duration>,
    /// Whether the target was known to leave, or not announced any more.
    pub leaving: bool,
}

impl fmt::Display for Written {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "written: held_ms={}", self.held.as_millis())?;
        match self.knowledge_age {
            Some(age) => write!(f, " known_ms={}", age.as_millis())?,
            None => f.write_str(" known_ms=")?,
        }
        if self.leaving {
            f.write_str(" leaving=true")?;
        }
        Ok(())
    }
}

/// Records once when a request is written, and what is known of its target at that moment.
pub(super) struct SendWatch {
    target: Target,
    decided_at: Duration,
    shared_fleet: SharedFleet,
    clock: Clock,
    written: Cell<Option<Written>>,
}

impl SendWatch {
    /// Creates the watch of a request for which the dispatcher chose `target` at `decided_at`.
    pub(super) fn new(sender: &Sender, target: &Target, decided_at: Duration) -> Self {
        Self {
            target: target.clone(),
            decided_at,
            shared_fleet: sender.shared_fleet.clone(),
            clock: sender.clock.clone(),
            written: Cell::new(None),
        }
    }

    /// Returns what was recorded; `None` if no byte was written.
    pub(super) fn written(&self) -> Option<Written> {
        self.written.get()
    }
}

impl SendGuard for SendWatch {
    fn may_write(&self) -> bool {
        let now = self.clock.now();
        let fleet = self.shared_fleet.get();
        let announced = fleet.targets.get(&self.target.id);
        let stays = announced.is_some_and(|it| !fleet.is_leaving(it));
        self.written.set(Some(Written {
            held: now.saturating_sub(self.decided_at),
            knowledge_age: self.shared_fleet.confirmations().age(now),
            leaving: !stays,
        }));
        true
    }
}
