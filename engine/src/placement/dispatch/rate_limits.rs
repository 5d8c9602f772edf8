//! Targets that request to be held to a rate: who said so, and what this VM may send them by itself.

use std::time::Duration;

use super::{Dispatcher, FleetView};
use crate::{
    catalogue::{self, TargetHash},
    placement::{
        rates::{self, RateReport},
        warmup::SendLimit,
    },
    target::Rate,
};

impl Dispatcher {
    /// Returns what is believed anew since the last call, for the log.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::{
    ///     budget::Allowance,
    ///     dispatch::{Dispatcher, Event},
    /// };
    ///
    /// let allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let mut dispatcher = Dispatcher::new("domain-1", allowance, 1);
    /// dispatcher.handle(Duration::ZERO, Event::Rate("target-1".to_owned(), Some(1.5)));
    /// assert_eq!(dispatcher.take_log_lines(), ["event=rate-named target=target-1 rate=1.5 by=answer"]);
    /// ```
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Takes line of the rate that a target's answer has named.
    pub(super) fn record_rate(&mut self, now: Duration, target: &str, rate: Option<Rate>) {
        if self.rates.record(now, catalogue::hash(target), rate) {
            self.apply_rate(target, rate, "answer");
        }
    }

    /// Takes in the rates that targets have named to other VMs.
    pub(super) fn merge_rates(&mut self, now: Duration, reports: &[RateReport]) {
        let changed = self.rates.merge(now, reports);
        self.apply_rate_changes(&changed, "manager");
    }

    /// Takes line of the rates of targets for which they have changed.
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

    /// What this VM may send by itself to a target that asks to be held to a rate.
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
