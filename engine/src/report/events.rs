//! Keeps the latest events of this process, from which a timeline over all processes is built.

use std::collections::VecDeque;

use bramleypier_util::stamp::{self, Hybrid, Stamp};
use serde::{Deserialize, Serialize};

/// The number of state changes kept; it covers several minutes with many changes.
const MAX_CHANGES: usize = 1000;
/// The number of completed requests kept, separately, so that high load doesn't evict the events that led
/// to it.
const MAX_REQUESTS: usize = 500;

/// One event, with the text of its log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Event {
    /// The time of the event as a hybrid logical clock value, which follows cause and effect over all processes.
    pub stamp: Stamp,
    /// The event as `key=value` pairs.
    pub text: String,
}

/// The events of one process, as it returns them on request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VmEvents {
    /// The VM's name.
    pub vm: String,
    /// The events that are still kept, oldest first.
    pub events: Vec<Event>,
    /// How many older events have been dropped.
    pub dropped: u64,
}

/// The events of this process, in bounded memory: the oldest are dropped and counted.
///
/// # Example
///
/// ```
/// use bramleypier_engine::report::Events;
///
/// let mut events = Events::default();
/// events.add("event=started", false);
/// events.add("event=request id=a", true);
/// let kept = events.since("vm-1", 0);
/// assert_eq!((kept.events.len(), kept.dropped), (2, 0));
/// assert!(kept.events[0].stamp < kept.events[1].stamp);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Events {
    clock: Hybrid,
    changes: VecDeque<Event>,
    requests: VecDeque<Event>,
    dropped: u64,
}

impl Events {
    /// Adds an event with the current time; `request` says whether it is a completed request.
    ///
    /// # Example
    ///
    /// See [`Events`].
    pub fn add(&mut self, text: &str, request: bool) {
        let stamp = self.clock.tick(stamp::wall());
        let (list, limit) = if request {
            (&mut self.requests, MAX_REQUESTS)
        } else {
            (&mut self.changes, MAX_CHANGES)
        };
        if list.len() >= limit {
            list.pop_front();
            self.dropped += 1;
        }
        let text = text.to_owned();
        list.push_back(Event { stamp, text });
    }

    /// Returns the stamp for a message that is sent now.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::report::Events;
    ///
    /// let mut events = Events::default();
    /// assert!(events.stamp() < events.stamp());
    /// ```
    pub fn stamp(&mut self) -> Stamp {
        self.clock.tick(stamp::wall())
    }

    /// Merges the stamp of a received message, so that all later events here get a later stamp.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::report::Events;
    ///
    /// let (mut ours, mut theirs) = (Events::default(), Events::default());
    /// let sent = theirs.stamp();
    /// ours.merge(sent);
    /// assert!(ours.stamp() > sent);
    /// ```
    pub fn merge(&mut self, theirs: Stamp) {
        self.clock.merge(stamp::wall(), theirs);
    }

    /// Returns the kept events since a stamp.
    ///
    /// # Example
    ///
    /// See [`Events`].
    pub fn since(&self, vm: &str, since: Stamp) -> VmEvents {
        let all = self.changes.iter().chain(&self.requests);
        let mut events: Vec<Event> = all.filter(|it| it.stamp >= since).cloned().collect();
        events.sort_by_key(|it| it.stamp);
        VmEvents {
            vm: vm.to_owned(),
            events,
            dropped: self.dropped,
        }
    }
}
