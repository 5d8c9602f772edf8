//! Records how requests to a target ended: its load, service time, failures and reachability.

use std::time::Duration;

use super::{MIN_BACKOFF, TargetState};
use crate::{
    placement::completion::{Completion, CompletionKind},
    target::LoadReport,
};

/// The weight of a new sample in moving averages.
const AVERAGE_WEIGHT: f64 = 0.15;
/// The longest backoff; a target that recovers earlier still gets no requests until it ends.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);
/// The largest factor by which the response to a probe lowers the service time: a single response may be quick by chance.
const MAX_PROBE_FACTOR: f64 = 4.0;
/// The weight of a new result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

impl TargetState {
    /// Records the end of a request.
    pub fn record_completion(&mut self, now: Duration, completion: Completion) {
        let Completion {
            kind,
            sent_at,
            depth,
            load,
            ownership,
        } = completion;
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        if let Some(at) = self.sent_times.iter().position(|at| *at == sent_at) {
            self.sent_times.swap_remove(at);
        }
        if let Some(load) = load {
            self.record_load(now, load);
        }
        let probed = self.probe_sent_at.take_if(|at| *at == sent_at).is_some();
        match kind {
            CompletionKind::Answered(took) => {
                self.record_service_time(now, took, depth);
                if probed {
                    self.record_probe_time(took);
                }
                self.record_outcome(now, 0.0);
                self.backoff = MIN_BACKOFF;
            }
            CompletionKind::Refused => self.record_outcome(now, 0.5),
            CompletionKind::Failed | CompletionKind::Lost => self.record_outcome(now, 1.0),
            CompletionKind::ConnectFailed | CompletionKind::ConnectRefused => {
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            // Without a key, only another target that reuses the address refuses like this, and it keeps refusing. With
            // a key, this says nothing about the target's health.
            CompletionKind::Misdirected => self.address_reused |= ownership.is_none(),
            CompletionKind::Withdrawn => {}
            CompletionKind::Abandoned(waited) => self.record_abandoned(now, waited, depth),
        }
    }

    /// Ends the backoff of a target that could not be reached.
    pub fn end_backoff(&mut self) {
        self.backoff_until = Duration::ZERO;
        self.backoff = MIN_BACKOFF;
    }

    /// Records a load report in a response.
    fn record_load(&mut self, now: Duration, load: LoadReport) {
        let all = f64::from(load.running + load.waiting);
        self.reported_others = (all - f64::from(self.own_in_flight)).max(0.0);
        self.mean_others += (self.reported_others - self.mean_others) * AVERAGE_WEIGHT;
        self.reported_at = Some(now);
    }

    /// Records the service time of a request that was sent while `depth` others were at the target.
    fn record_service_time(&mut self, now: Duration, took: Duration, depth: f64) {
        self.measured_at = now;
        let slots = self.target.slots.max(1) as f64;
        let queued = ((depth + 1.0 - slots).max(0.0) / slots).min(4.0);
        let sample = took.as_secs_f64() / (1.0 + queued);
        self.samples.0 += sample;
        self.samples.1 += 1;
        let mean = self.service_time.get_or_insert(sample);
        *mean += (sample - *mean) * AVERAGE_WEIGHT;
    }

    /// Lowers the service time to what a probe took: until it is near that, callers are refused for nothing.
    fn record_probe_time(&mut self, took: Duration) {
        if let Some(time) = &mut self.service_time {
            *time = time.min(took.as_secs_f64().max(*time / MAX_PROBE_FACTOR));
        }
    }

    /// Records an abandoned request, whose response would have taken longer than `waited`.
    fn record_abandoned(&mut self, now: Duration, waited: Duration, depth: f64) {
        let slots = self.target.slots.max(1) as f64;
        let queued = ((depth + 1.0 - slots).max(0.0) / slots).min(4.0);
        let min_time = waited.as_secs_f64() / (1.0 + queued);
        if self.service_time.is_some_and(|time| min_time > time) {
            self.record_service_time(now, waited, depth);
        }
    }

    /// Records a result in the failure rate: 0 for a success, up to 1 for a failure.
    fn record_outcome(&mut self, now: Duration, sample: f64) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (sample - before) * FAILURE_WEIGHT;
        self.failures_at = now;
    }
}
