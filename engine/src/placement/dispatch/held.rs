//! Applies the times for which targets that refuse requests want no more of them from this VM.

use std::time::Duration;

use super::{DispatchRequest, Dispatcher, RefusalReason, admission::Decision};
use crate::catalogue::Target;

impl Dispatcher {
    /// Records that a target wants no requests from this VM for a time.
    pub(super) fn record_hold_off(&mut self, now: Duration, target: &str, time: Duration) {
        if self.hold_offs.record(now, target, time) {
            let millis = time.as_millis();
            let line = format!("event=hold-off target={target} for_ms={millis}");
            self.log_lines.push(line);
        }
    }

    /// Queues a request until its target takes requests again, or refuses it at once if that takes too long.
    pub(super) fn wait_for_hold_off(
        &self,
        now: Duration,
        request: &DispatchRequest,
        remaining: Duration,
    ) -> Decision {
        if now + remaining < Self::wait_limit(request) {
            return Decision::Queue(None);
        }
        let basis = self.owner_basis(request);
        Decision::Refuse(RefusalReason::HoldOff, remaining, basis)
    }

    /// Returns the time until the first of some targets takes requests again; `None` if one of them does already.
    pub(super) fn shortest_hold_off(&self, now: Duration, targets: &[Target]) -> Option<Duration> {
        let remaining = targets
            .iter()
            .map(|it| self.hold_offs.remaining(now, &it.id));
        let remaining: Option<Vec<Duration>> = remaining.collect();
        remaining?.into_iter().min()
    }
}
