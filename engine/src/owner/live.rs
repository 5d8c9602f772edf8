//! How far a range's owner has been asked and has answered.

use std::time::Duration;

use super::record::Life;

/// Whether a range's owner is to hold it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The owner is to hold the range.
    Held,
    /// The owner is asked to let go, in favour of this life if any.
    Releasing(Option<Life>),
    /// Nobody holds the range.
    Free(Option<Life>),
}

/// What is known of a range beside its record.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) phase: Phase,
    /// A call is under way.
    pub(super) busy: bool,
    /// The owner has confirmed the fence, so that no earlier manager can renew.
    pub(super) confirmed: bool,
    /// An earlier manager may have granted the range to its owner.
    pub(super) inherited: bool,
    /// The latest time at which a grant can have arrived; none if none was sent.
    pub(super) arrived: Option<Duration>,
    /// When the next call is due.
    pub(super) due: Duration,
    /// Grants in a row without an answer.
    pub(super) silences: u32,
    /// Calls in a row that could not be sent.
    pub(super) unsent: u32,
    pub(super) handover: Option<String>,
}

impl Live {
    pub(super) fn free() -> Self {
        Self {
            phase: Phase::Free(None),
            busy: false,
            confirmed: false,
            inherited: false,
            arrived: None,
            due: Duration::ZERO,
            silences: 0,
            unsent: 0,
            handover: None,
        }
    }

    pub(super) fn held(now: Duration, arrived: Option<Duration>, handover: Option<String>) -> Self {
        Self {
            phase: Phase::Held,
            arrived,
            due: now,
            handover,
            ..Self::free()
        }
    }

    pub(super) fn is_free(&self) -> bool {
        matches!(self.phase, Phase::Free(_)) && !self.busy
    }
}
