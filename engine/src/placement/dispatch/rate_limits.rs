//! Applies the rate limits that targets ask for: what this VM may send to such a target without a quota.

use std::time::Duration;

use super::{Dispatcher, FleetView};
use crate::{
    catalogue::{self, Rate, TargetHash},
    placement::{
        rates::{self, RateReport},
        warmup::SendLimit,
    },
};

impl Dispatcher {
    /// Returns the log lines since the last call.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::{
    ///     budget::RetryAllowance,
    ///     dispatch::{Dispatcher, Event},
    /// };
    ///
    /// let allowance = RetryAllowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let mut dispatcher = Dispatcher::new("domain-1", allowance, 1);
    /// dispatcher.handle(Duration::ZERO, Event::Rate("target-1".to_owned(), Some(1.5)));
    /// assert_eq!(dispatcher.take_log_lines(), ["event=rate-named target=target-1 rate=1.5 by=answer"]);
    /// ```
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Records the rate limit that a target's response asks for, or that it asks for none.
    pub(super) fn record_rate(&mut self, now: Duration, target: &str, rate: Option<Rate>) {
        if self.rates.record(now, catalogue::hash(target), rate) {
            self.apply_rate(target, rate, "answer");
        }
    }

    /// Merges the rate limits that targets have reported to other VMs.
    pub(super) fn merge_rates(&mut self, now: Duration, reports: &[RateReport]) {
        let changed = self.rates.merge(now, reports);
        self.apply_rate_changes(&changed, "manager");
    }

    /// Applies and logs the current rate limits of targets for which they have changed.
    pub(super) fn apply_rate_changes(&mut self, changed: &[TargetHash], by: &str) {
        if changed.is_empty() {
            return;
        }
        let ids = self.target_states.keys();
        let ids = ids.filter(|id| changed.contains(&catalogue::hash(id)));
        for id in ids.cloned().collect::<Vec<_>>() {
            let rate = self.rates.rate(catalogue::hash(&id));
            self.apply_rate(&id, rate, by);
        }
    }

    /// Applies and logs the rate limit of a target; `by` is the source of the report.
    fn apply_rate(&mut self, target: &str, rate: Option<Rate>, by: &str) {
        let limit = self.rate_limit(&self.view, target, rate);
        if let Some(state) = self.target_states.get_mut(target) {
            state.set_rate(rate, limit);
        }
        let line = match rate {
            Some(rate) => format!("event=rate-named target={target} rate={rate} by={by}"),
            None => format!("event=rate-lifted target={target} by={by}"),
        };
        self.log_lines.push(line);
    }

    /// Returns what this VM may send without a quota to a target that asks for a rate limit.
    pub(super) fn rate_limit(
        &self,
        view: &FleetView,
        target: &str,
        rate: Option<Rate>,
    ) -> SendLimit {
        let Some(rate) = rate else {
            return SendLimit::Unlimited;
        };
        let plan = rates::sender_plan(rate);
        if plan.is_sender(&self.vm, &view.vms, target) {
            SendLimit::Interval(plan.interval)
        } else {
            SendLimit::Blocked
        }
    }
}
