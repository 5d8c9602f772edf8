//! Targets that ask to be held to a rate: who said so, and what this VM may send them by itself.

use std::time::Duration;

use super::{Dispatcher, FleetView};
use crate::{
    catalogue::{self, TargetHash},
    placement::{
        rates::{self, RateReport},
        warmup::Limit,
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
        std::mem::take(&mut self.notes)
    }

    /// Takes note of the rate that a target's answer has named.
    pub(super) fn hear_rate(&mut self, now: Duration, target: &str, rate: Option<Rate>) {
        if self.rates.hear(now, catalogue::hash(target), rate) {
            self.note_rate(target, rate, "answer");
        }
    }

    /// Takes in the rates that targets have named to other VMs.
    pub(super) fn merge_rates(&mut self, now: Duration, news: &[RateReport]) {
        let changed = self.rates.merge(now, news);
        self.note_rates(&changed, "manager");
    }

    /// Takes note of the rates of targets for which they have changed.
    pub(super) fn note_rates(&mut self, changed: &[TargetHash], by: &str) {
        if changed.is_empty() {
            return;
        }
        let ids = self.members.keys();
        let ids = ids.filter(|id| changed.contains(&catalogue::hash(id)));
        for id in ids.cloned().collect::<Vec<_>>() {
            let rate = self.rates.rate(catalogue::hash(&id));
            self.note_rate(&id, rate, by);
        }
    }

    fn note_rate(&mut self, target: &str, rate: Option<Rate>, by: &str) {
        let limit = self.rate_limit(&self.view, target, rate);
        if let Some(member) = self.members.get_mut(target) {
            member.hold_to(rate, limit);
        }
        let note = match rate {
            Some(rate) => format!("event=rate-named target={target} rate={rate} by={by}"),
            None => format!("event=rate-lifted target={target} by={by}"),
        };
        self.notes.push(note);
    }

    /// What this VM may send by itself to a target that asks to be held to a rate.
    pub(super) fn rate_limit(&self, view: &FleetView, target: &str, rate: Option<Rate>) -> Limit {
        let Some(rate) = rate else {
            return Limit::Open;
        };
        let pace = rates::pace(rate);
        if pace.is_sender(&self.vm, &view.vms, target) {
            Limit::Paced(pace.interval)
        } else {
            Limit::Shut
        }
    }
}
