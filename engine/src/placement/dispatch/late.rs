//! Decides for requests past their goal whose late response is still worth a slot.
//!
//! They are queued behind all requests that can still meet their goals, up to as many as the target can respond to
//! before their deadlines. A request beyond that is refused at once, with the time at which a slot is expected to be
//! free for it. The decision is made again while a request waits.

use std::time::Duration;

use rand::Rng;

use super::{
    Basis, DispatchRequest, Dispatcher, MIN_RETRY_AFTER, RefusalReason,
    admission::{Candidate, Decision, QueueState},
};

/// The least share of its capacity that a target is expected to have for late requests.
///
/// An overload may end at any time, so a few requests may wait even while it has had none for long.
const MIN_LATE_SHARE: f64 = 0.1;
/// Callers honour a retry-after of up to this fraction of their remaining time.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;
/// By how much retry-after times vary, so that callers that are refused at once don't return at once.
const RETRY_SPREAD: f64 = 0.25;

impl Candidate<'_> {
    /// Decides for a request past its goal; the caller waits until `late_until`.
    pub(super) fn decide_late(
        &self,
        now: Duration,
        request: &DispatchRequest,
        late_until: Duration,
        basis: Basis,
    ) -> Decision {
        let remaining = request.deadline.saturating_sub(now);
        let wait = self.late_time(&basis, self.late_share());
        if wait <= remaining {
            return self.enqueue(false);
        }
        // Too little time is left for another attempt, so the request is only refused if this one has no chance.
        let left_after = time_after_retry(now, late_until);
        if left_after < basis.expected && self.late_time(&basis, 1.0) <= remaining {
            return self.enqueue(false);
        }
        let retry_after = wait.saturating_sub(basis.service_time).max(MIN_RETRY_AFTER);
        Decision::Refuse(RefusalReason::Late, retry_after, basis)
    }

    /// Returns the expected response time of a request behind all that are queued before it, if late requests get a
    /// share of the target's capacity.
    fn late_time(&self, basis: &Basis, share: f64) -> Duration {
        let late_time = basis.completion_interval * basis.late_ahead;
        self.drain_time(basis) + late_time.div_f64(share)
    }

    /// Returns how many requests past their goal are expected to be sent before this one.
    pub(super) fn late_ahead(&self) -> u32 {
        let elsewhere = self.state.quota().map_or(0, |quota| quota.others_past);
        match self.queue_state {
            QueueState::New => self.late_here + elsewhere,
            // Other VMs' requests get capacity in turn with this VM's, so half of them are sent after this one.
            QueueState::Waiting | QueueState::Demoted => self.late_here + elsewhere / 2,
        }
    }

    /// Returns the share of the target's capacity that is left to late requests.
    fn late_share(&self) -> f64 {
        (1.0 - self.state.busy_share()).max(MIN_LATE_SHARE)
    }
}

/// Returns how much time a caller has left after the longest retry-after that it honours.
pub(super) fn time_after_retry(now: Duration, late_until: Duration) -> Duration {
    let remaining = late_until.saturating_sub(now);
    remaining.mul_f64(1.0 - MAX_RETRY_FRACTION)
}

impl Dispatcher {
    /// Returns the retry-after of a refusal: at least `time`, unless its caller would not wait that long.
    ///
    /// Where late responses are hardly worth a slot, it is the time as it stands.
    pub(super) fn retry_after(
        &mut self,
        now: Duration,
        request: &DispatchRequest,
        time: Duration,
    ) -> Duration {
        let Some(late_until) = request.late_until else {
            return time;
        };
        let spread = self.random.random_range(0.0..RETRY_SPREAD);
        let longest = late_until.saturating_sub(now).mul_f64(MAX_RETRY_FRACTION);
        time.mul_f64(1.0 + spread)
            .min(longest.mul_f64(1.0 - spread))
            .max(MIN_RETRY_AFTER)
    }
}
