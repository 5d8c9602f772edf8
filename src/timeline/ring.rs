//! Keeps the latest events of this process in bounded memory.

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

/// A ring buffer of the latest events of this process; the oldest are dropped and counted.
///
/// Events recorded per request have a buffer of their own with the same capacity, so that during an
/// overload they do not displace the events that led to it.
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
    clock: Hybrid,
    events: Buffer,
    requests: Buffer,
}

/// A bounded buffer of events, the oldest first.
#[derive(Clone, Debug)]
struct Buffer {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Buffer {
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

    /// Returns the stamp from which the buffer is complete; 0 if nothing was dropped.
    fn complete_since(&self) -> Stamp {
        let first = self.events.front().filter(|_| self.dropped > 0);
        first.map_or(0, |event| event.stamp)
    }
}

/// The events that one process returns for a query.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessEvents {
    /// The process.
    pub vm: VmId,
    /// The events that passed the filter.
    pub events: Vec<Event>,
    /// How many events the process has dropped.
    pub dropped: u64,
    /// The stamp from which the events are complete; 0 if nothing was dropped.
    pub oldest: Stamp,
}

impl Ring {
    /// Creates an empty ring for a process, with `capacity` events in each of its two buffers.
    ///
    /// # Example
    ///
    /// See [`Ring`].
    pub fn new(vm: VmId, capacity: usize) -> Self {
        Self {
            vm,
            clock: Hybrid::default(),
            events: Buffer::new(capacity),
            requests: Buffer::new(capacity),
        }
    }

    /// Stamps an event with the wall clock's time, stores it and returns it as stored.
    ///
    /// # Example
    ///
    /// See [`Ring`].
    pub fn record(&mut self, wall: Duration, event: Event) -> &Event {
        let event = Event {
            stamp: self.clock.tick(wall),
            vm: self.vm.clone(),
            ..event
        };
        if event.kind.is_frequent() {
            self.requests.push(event)
        } else {
            self.events.push(event)
        }
    }

    /// Returns a new stamp, for a message that is sent now.
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
        self.clock.tick(wall)
    }

    /// Merges the stamp of a received message, so that later events are ordered after it.
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
        self.clock.merge(wall, stamp);
    }

    /// Returns the events that pass a filter, in the order of their stamps.
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
            oldest: self
                .events
                .complete_since()
                .max(self.requests.complete_since()),
        }
    }

    /// Returns how many events were dropped.
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
        self.clock.ignored()
    }

    /// Returns the stored events; those recorded per request come last.
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
