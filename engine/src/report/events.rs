//! The last events of this process, for a time line over all processes.

use std::collections::VecDeque;

use bramleypier_util::stamp::{self, Hybrid, Stamp};
use serde::{Deserialize, Serialize};

/// How many changes of beliefs are kept: some minutes of an eventful day.
const CHANGES: usize = 1000;
/// How many ends of requests are kept, apart, so that load doesn't push out what led to it.
const REQUESTS: usize = 500;

/// One thing that happened, as its log line tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Event {
    /// When, in the order of cause and effect over all processes.
    pub stamp: Stamp,
    /// `key=value` pairs.
    pub text: String,
}

/// What one process answers when asked for its events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct VmEvents {
    /// The VM.
    pub vm: String,
    /// Its events that are still kept, the oldest first.
    pub events: Vec<Event>,
    /// How many older ones are not kept any more.
    pub dropped: u64,
}

/// The events of this process, the oldest dropped and counted.
///
/// # Example
///
/// ```
/// use bramleypier_engine::report::Events;
///
/// let mut events = Events::default();
/// events.add("event=started", false);
/// events.add("event=request id=a", true);
/// let part = events.since("vm-1", 0);
/// assert_eq!((part.events.len(), part.dropped), (2, 0));
/// assert!(part.events[0].stamp < part.events[1].stamp);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Events {
    hybrid: Hybrid,
    changes: VecDeque<Event>,
    requests: VecDeque<Event>,
    dropped: u64,
}

impl Events {
    /// Adds an event that happens now.
    ///
    /// # Example
    ///
    /// See [`Events`].
    pub fn add(&mut self, text: &str, request: bool) {
        let stamp = self.hybrid.tick(stamp::wall());
        let (list, most) = if request {
            (&mut self.requests, REQUESTS)
        } else {
            (&mut self.changes, CHANGES)
        };
        if list.len() >= most {
            list.pop_front();
            self.dropped += 1;
        }
        let text = text.to_owned();
        list.push_back(Event { stamp, text });
    }

    /// Returns a stamp for a message that is sent now.
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
        self.hybrid.tick(stamp::wall())
    }

    /// Takes the stamp of a message that was received: what happens here from now on is later.
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
        self.hybrid.merge(stamp::wall(), theirs);
    }

    /// Returns what is kept since a stamp.
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
