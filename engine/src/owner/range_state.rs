//! The state of one range that its record doesn't contain: the calls sent to its owner, and their outcomes.

use std::time::Duration;

use super::record::Incarnation;

/// How much slower than real time a target's clock may run, as a factor on the duration of grants.
const MAX_CLOCK_DRIFT: f64 = 1.03;
/// The delay that is added to a grant's duration before its range counts as free, for scheduling at the target.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(100);

/// Returns the longest time for which a grant may last by this VM's clock.
pub(super) fn worst_case_duration(grant_duration: Duration) -> Duration {
    grant_duration.mul_f64(MAX_CLOCK_DRIFT) + SCHEDULING_MARGIN
}

/// Returns the longest grant duration that surely ends within a time; the inverse of [`worst_case_duration`].
pub(super) fn longest_grant_within(time: Duration) -> Duration {
    time.saturating_sub(SCHEDULING_MARGIN)
        .div_f64(MAX_CLOCK_DRIFT)
}

/// Whether a range is granted to its owner.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The owner's grants are renewed.
    Owned,
    /// The owner is asked to release the range, for this new owner if one is chosen.
    Releasing(Option<Incarnation>),
    /// No target can have a valid grant; the range is for this new owner if one is chosen.
    Free(Option<Incarnation>),
}

/// The state of one range that its record doesn't contain.
#[derive(Clone, Debug)]
pub(super) struct RangeState {
    pub(super) phase: Phase,
    /// Whether a call to the owner is in flight.
    pub(super) in_flight: bool,
    /// Whether the owner has confirmed the fence, so that no earlier manager can renew its grant.
    pub(super) confirmed: bool,
    /// Whether an earlier manager may have granted the range to its owner.
    pub(super) inherited: bool,
    /// When the last grant that may have arrived has surely expired; `None` if none was sent.
    pub(super) expires_at: Option<Duration>,
    /// The duration of the grant that was sent last.
    pub(super) grant_duration: Duration,
    /// When the next call to the owner is due.
    pub(super) next_call: Duration,
    /// The number of consecutive calls that got no response.
    pub(super) unanswered: u32,
    /// The number of consecutive calls that could not be sent.
    pub(super) unsent: u32,
    /// The data that the previous owner returned for the next one.
    pub(super) handover: Option<String>,
}

impl RangeState {
    /// Returns the state of a range without an owner.
    pub(super) fn free() -> Self {
        Self {
            phase: Phase::Free(None),
            in_flight: false,
            confirmed: false,
            inherited: false,
            expires_at: None,
            grant_duration: Duration::ZERO,
            next_call: Duration::ZERO,
            unanswered: 0,
            unsent: 0,
            handover: None,
        }
    }

    /// Returns the state of a range whose owner is to be granted it now.
    pub(super) fn owned(
        now: Duration,
        expires_at: Option<Duration>,
        handover: Option<String>,
    ) -> Self {
        Self {
            phase: Phase::Owned,
            expires_at,
            next_call: now,
            handover,
            ..Self::free()
        }
    }

    /// Extends the expiry: the grant that was sent last may have arrived as late as now.
    pub(super) fn extend_expiry(&mut self, now: Duration) {
        self.expires_at = self
            .expires_at
            .max(Some(now + worst_case_duration(self.grant_duration)));
    }

    /// Returns whether the last call to the owner could not be sent or got no response.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.unanswered > 0 || self.unsent > 0
    }

    /// Returns whether the range can get a new owner.
    pub(super) fn is_free(&self) -> bool {
        matches!(self.phase, Phase::Free(_)) && !self.in_flight
    }
}
