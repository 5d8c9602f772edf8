//! One account of several processes' events, in causal order.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::{ServiceId, VmId},
    measure::{Measures, Meter},
    timeline::{
        event::Event,
        ring::ProcessEvents,
        stamp::{self, Stamp},
    },
};

/// The events of several processes, each cause before its effects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MergedTimeline {
    /// The events, in the order of their stamps.
    pub events: Vec<Event>,
    /// The processes that answered.
    pub answered: Vec<VmId>,
    /// The VMs that could not be reached: what they know is missing.
    pub unreached: Vec<VmId>,
    /// How many events each process no longer keeps, and the stamp from which on it keeps all;
    /// processes that dropped none are left out.
    pub dropped: IndexMap<VmId, (u64, Stamp)>,
    /// What the events amount to, by service, up to the last of them.
    pub measures: IndexMap<ServiceId, Measures>,
}

impl MergedTimeline {
    /// Merges what processes answered; `unreached` names the VMs that did not.
    ///
    /// A stamp follows every stamp that its process had seen, so the order of stamps is an order of
    /// cause and effect; equal stamps are ordered by VM, so that every merge gives the same account.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::timeline::{MergedTimeline, Duty, Event, Filter, Kind, Ring};
    ///
    /// let mut one = Ring::new("vm-1#1".to_owned(), 9);
    /// let mut two = Ring::new("vm-2#1".to_owned(), 9);
    /// let wall = Duration::from_secs(60);
    /// one.record(wall, Event::new(Duty::Grantor, "stop", Kind::GrantStopped));
    /// let sent = one.stamp(wall);
    /// // The second VM's wall clock is behind.
    /// two.receive(Duration::from_secs(1), sent);
    /// two.record(Duration::from_secs(1), Event::new(Duty::Grantor, "move", Kind::RangeMoved));
    /// let parts = vec![two.query(&Filter::default()), one.query(&Filter::default())];
    /// let account = MergedTimeline::merge(parts, vec!["vm-3#1".to_owned()]);
    /// assert_eq!(account.events[0].kind, Kind::GrantStopped);
    /// ```
    pub fn merge(parts: Vec<ProcessEvents>, unreached: Vec<VmId>) -> Self {
        let mut account = Self {
            unreached,
            ..Self::default()
        };
        for part in parts {
            if account.answered.contains(&part.vm) {
                continue;
            }
            if part.dropped > 0 {
                let lost = (part.dropped, part.oldest);
                account.dropped.insert(part.vm.clone(), lost);
            }
            account.answered.push(part.vm);
            account.events.extend(part.events);
        }
        account.answered.sort();
        account.dropped.sort_keys();
        account.events.sort_by(|one, other| {
            let stamps = one.stamp.cmp(&other.stamp);
            stamps.then_with(|| one.vm.cmp(&other.vm))
        });
        account.measures = measures(&account.events);
        account
    }
}

/// Measures what events in their order amount to, up to the last of them.
fn measures(events: &[Event]) -> IndexMap<ServiceId, Measures> {
    let mut meter = Meter::default();
    for event in events {
        meter.on(event);
    }
    let last = events.last().map(|event| stamp::time(event.stamp));
    meter.measures(last.unwrap_or_default())
}
