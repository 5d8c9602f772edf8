//! How far a range's owner has been asked and has answered.

use std::time::Duration;

use super::record::Incarnation;

/// How much slower than true a target's clock may run, as a factor on holds.
const DRIFT: f64 = 1.03;
/// What is added to a hold before a range counts as free, for scheduling at the target.
const MARGIN: Duration = Duration::from_millis(100);

/// How long a hold may last by this VM's clock.
pub(super) fn lasting(grant_duration: Duration) -> Duration {
    grant_duration.mul_f64(DRIFT) + MARGIN
}

/// The hold that lasts for so long at the most; the inverse of [`lasting`].
pub(super) fn shrunk(span: Duration) -> Duration {
    span.saturating_sub(MARGIN).div_f64(DRIFT)
}

/// Whether a range's owner is to hold it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The owner is to hold the range.
    Held,
    /// The owner is asked to let go, in favour of this life if any.
    Releasing(Option<Incarnation>),
    /// Nobody holds the range.
    Free(Option<Incarnation>),
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
    /// When the last grant that can have arrived runs out for certain; none if none was sent.
    pub(super) until: Option<Duration>,
    /// The hold of the grant that was sent last.
    pub(super) grant_duration: Duration,
    /// When the next call is due.
    pub(super) due: Duration,
    /// Calls in a row without an answer.
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
            until: None,
            grant_duration: Duration::ZERO,
            due: Duration::ZERO,
            silences: 0,
            unsent: 0,
            handover: None,
        }
    }

    pub(super) fn held(now: Duration, until: Option<Duration>, handover: Option<String>) -> Self {
        Self {
            phase: Phase::Held,
            until,
            due: now,
            handover,
            ..Self::free()
        }
    }

    /// Takes note that the grant sent last may have arrived until now.
    pub(super) fn extend(&mut self, now: Duration) {
        self.until = self.until.max(Some(now + lasting(self.grant_duration)));
    }

    /// Returns whether the owner did not answer when it was last called.
    pub(super) fn is_silent(&self) -> bool {
        self.silences > 0 || self.unsent > 0
    }

    pub(super) fn is_free(&self) -> bool {
        matches!(self.phase, Phase::Free(_)) && !self.busy
    }
}
