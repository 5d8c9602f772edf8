//! The events of several processes, merged in causal order.

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

/// The events of several processes, in an order where each cause precedes its effects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MergedTimeline {
    /// The events, ordered by their stamps.
    pub events: Vec<Event>,
    /// The processes that answered.
    pub answered: Vec<VmId>,
    /// The VMs that could not be reached; their events are missing.
    pub unreached: Vec<VmId>,
    /// How many events each process has dropped, and the stamp from which its events are complete;
    /// processes that dropped none are left out.
    pub dropped: IndexMap<VmId, (u64, Stamp)>,
    /// The measures by service, computed up to the last event.
    pub measures: IndexMap<ServiceId, Measures>,
}

impl MergedTimeline {
    /// Merges the events that processes returned; `unreached` names the VMs that did not answer.
    ///
    /// A stamp is greater than every stamp that its process had seen before, so ordering by stamps
    /// puts causes before effects. Equal stamps are ordered by VM, so that the result does not depend
    /// on the order of the parts. A second part of the same process is ignored.
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
    /// let merged = MergedTimeline::merge(parts, vec!["vm-3#1".to_owned()]);
    /// assert_eq!(merged.events[0].kind, Kind::GrantStopped);
    /// ```
    pub fn merge(parts: Vec<ProcessEvents>, unreached: Vec<VmId>) -> Self {
        let mut merged = Self {
            unreached,
            ..Self::default()
        };
        for part in parts {
            if merged.answered.contains(&part.vm) {
                continue;
            }
            if part.dropped > 0 {
                let dropped = (part.dropped, part.oldest);
                merged.dropped.insert(part.vm.clone(), dropped);
            }
            merged.answered.push(part.vm);
            merged.events.extend(part.events);
        }
        merged.answered.sort();
        merged.dropped.sort_keys();
        merged.events.sort_by(|one, other| {
            let stamps = one.stamp.cmp(&other.stamp);
            stamps.then_with(|| one.vm.cmp(&other.vm))
        });
        merged.measures = measures(&merged.events);
        merged
    }
}

/// Computes the measures of ordered events, up to the last event.
fn measures(events: &[Event]) -> IndexMap<ServiceId, Measures> {
    let mut meter = Meter::default();
    for event in events {
        meter.on(event);
    }
    let last = events.last().map(|event| stamp::time(event.stamp));
    meter.measures(last.unwrap_or_default())
}
