//! The last events of one process, in bounded memory.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    id::VmId,
    timeline::{
        event::Event,
        filter::Filter,
        stamp::{Hybrid, Stamp},
    },
};

/// The last events of this process; the oldest are dropped and counted.
///
/// Events of single requests are kept apart, as many again, so that an overload does not push out
/// what led to it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::timeline::{Duty, Event, Filter, Kind, Ring};
///
/// let mut ring = Ring::new("vm-1#1".to_owned(), 1);
/// for kind in [Kind::Started, Kind::Stopped] {
///     ring.record(Duration::from_secs(1), Event::new(Duty::Process, "run", kind));
/// }
/// let part = ring.query(&Filter::default());
/// assert_eq!((part.events.len(), part.dropped), (1, 1));
/// ```
#[derive(Clone, Debug)]
pub struct Ring {
    vm: VmId,
    hybrid: Hybrid,
    events: Queue,
    requests: Queue,
}

/// Events of one sort, the oldest first.
#[derive(Clone, Debug)]
struct Queue {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Queue {
    fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    fn push(&mut self, event: Event) -> &Event {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
        &self.events[self.events.len() - 1]
    }

    /// Returns the stamp from which on nothing was dropped.
    fn whole_since(&self) -> Stamp {
        let first = self.events.front().filter(|_| self.dropped > 0);
        first.map_or(0, |event| event.stamp)
    }
}

/// What one process answers when asked for its events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessEvents {
    /// The process.
    pub vm: VmId,
    /// The events that passed the filter.
    pub events: Vec<Event>,
    /// How many events are no longer kept.
    pub dropped: u64,
    /// The stamp from which on the part lacks nothing; 0 if nothing was dropped.
    pub oldest: Stamp,
}

impl Ring {
    /// Creates an empty ring of a process that keeps up to `capacity` events.
    ///
    /// # Example
    ///
    /// See [`Ring`].
    pub fn new(vm: VmId, capacity: usize) -> Self {
        Self {
            vm,
            hybrid: Hybrid::default(),
            events: Queue::new(capacity),
            requests: Queue::new(capacity),
        }
    }

    /// Records an event at a reading of the wall clock, and returns it as recorded.
    ///
    /// # Example
    ///
    /// See [`Ring`].
    pub fn record(&mut self, wall: Duration, event: Event) -> &Event {
        let event = Event {
            stamp: self.hybrid.tick(wall),
            vm: self.vm.clone(),
            ..event
        };
        if event.kind.is_frequent() {
            self.requests.push(event)
        } else {
            self.events.push(event)
        }
    }

    /// Returns the stamp for a message that is sent now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::timeline::Ring;
    ///
    /// let mut ring = Ring::new("vm-1#1".to_owned(), 1);
    /// assert!(ring.stamp(Duration::ZERO) < ring.stamp(Duration::ZERO));
    /// ```
    pub fn stamp(&mut self, wall: Duration) -> Stamp {
        self.hybrid.tick(wall)
    }

    /// Takes the stamp of a message that was received, so that what follows is ordered after it.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::timeline::Ring;
    ///
    /// let mut ring = Ring::new("vm-1#1".to_owned(), 1);
    /// ring.receive(Duration::ZERO, 9);
    /// assert!(ring.stamp(Duration::ZERO) > 9);
    /// ```
    pub fn receive(&mut self, wall: Duration, stamp: Stamp) {
        self.hybrid.merge(wall, stamp);
    }

    /// Returns the events that pass a filter, for one who asks.
    ///
    /// # Example
    ///
    /// See [`Ring`].
    pub fn query(&self, filter: &Filter) -> ProcessEvents {
        let passing = self.events().filter(|event| filter.passes(event));
        let mut events: Vec<Event> = passing.cloned().collect();
        events.sort_by_key(|event| event.stamp);
        ProcessEvents {
            vm: self.vm.clone(),
            events,
            dropped: self.dropped(),
            oldest: self.events.whole_since().max(self.requests.whole_since()),
        }
    }

    /// Returns how many events are no longer kept.
    ///
    /// # Example
    ///
    /// See [`Ring`].
    pub fn dropped(&self) -> u64 {
        self.events.dropped + self.requests.dropped
    }

    /// Returns how many stamps were ignored because they were far ahead of the wall clock.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::timeline::Ring;
    ///
    /// let mut ring = Ring::new("vm-1#1".to_owned(), 1);
    /// ring.receive(Duration::ZERO, u64::MAX);
    /// assert_eq!(ring.ignored(), 1);
    /// ```
    pub fn ignored(&self) -> u64 {
        self.hybrid.ignored()
    }

    /// Returns the events that are kept; those of requests come last.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::timeline::Ring;
    ///
    /// assert_eq!(Ring::new("vm-1#1".to_owned(), 1).events().count(), 0);
    /// ```
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.events.iter().chain(&self.requests.events)
    }
}
