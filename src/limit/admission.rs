//! Admission control for one target: which requests are sent now, queued or refused.
//!
//! Each class of requests has a queue of its own. A request is queued only if it can be expected to
//! be sent before its class's queueing time and its own deadline end; else it is refused at once.
//! The state is changed by events alone, so that tests can drive it with a clock of their own.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{
    ConcurrencyLimit, blend,
    concurrency::{self, Sample, Slots},
    share::{self, ClassState},
};
use crate::{document::Class, request::Deadline};

/// The weight of a new sample in the average service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The time over which a class's rate of completions is measured.
const RATE_SPAN: Duration = Duration::from_millis(500);
/// The longest queue of a class whose service time isn't known yet.
const UNKNOWN_QUEUE: usize = 8;
/// The shortest time after which a refused request may be sent again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The longest time after which a refused request may be sent again.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// The minimum slot time that is counted for a request, however soon it ends.
const MIN_SLOT_TIME: Duration = Duration::from_micros(1);

/// The number that the user of the queue gives to a request; never used twice.
pub type Ticket = u64;

/// An input of an [`AdmissionQueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request arrived.
    Request {
        /// The number of the request.
        ticket: Ticket,
        /// Its class.
        class: String,
        /// Its deadline.
        deadline: Deadline,
    },
    /// An admitted request ended.
    Ended {
        /// The number of the request.
        ticket: Ticket,
        /// How it ended.
        sample: Sample,
    },
    /// The caller of a queued request cancelled it.
    Cancelled {
        /// The number of the request.
        ticket: Ticket,
    },
    /// The target has just started, and needs a warm-up.
    ColdStart,
    /// The target reports that it is overloaded.
    Overloaded,
    /// The target takes no more new requests.
    Drain,
    /// The document or the number of VMs changed.
    Slots(Slots),
    /// Time passed.
    Tick,
}

/// A decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the request.
    Admit(Ticket),
    /// Refuse the request, which was not sent.
    Refuse {
        /// The number of the request.
        ticket: Ticket,
        /// Why it is refused.
        reason: RefusalReason,
        /// The time after which the caller may send it again.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no such class.
    UnknownClass,
    /// The expected wait is longer than the class or the deadline allows.
    QueueFull,
    /// The request was queued for as long as its class or its deadline allows.
    QueueTimeout,
    /// No connection to the target can be established.
    Unreachable,
    /// The target takes no new requests.
    Draining,
}

/// The queued and in-flight requests of this VM for one target.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: ConcurrencyLimit,
    classes: IndexMap<String, ClassQueue>,
    in_flight: IndexMap<Ticket, Flight>,
    draining: bool,
}

/// The requests of one class.
#[derive(Debug)]
struct ClassQueue {
    /// Percent of the slots.
    share: u32,
    max_wait: Duration,
    queued: VecDeque<Queued>,
    in_flight: u32,
    /// The average time of a request at the target, in seconds.
    service_time: Option<f64>,
    /// The time for which its requests have held slots, divided by its share in percent.
    virtual_time: Duration,
    completions: CompletionRate,
}

impl ClassQueue {
    fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight == 0
    }
}

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct Flight {
    /// The index of its class.
    class: usize,
    sent: Duration,
}

#[derive(Debug)]
struct Queued {
    ticket: Ticket,
    until: Duration,
}

/// The measured number of requests that end per second.
#[derive(Debug, Default)]
struct CompletionRate {
    since: Duration,
    ended: u32,
    measured: Option<f64>,
}

impl CompletionRate {
    fn count(&mut self, now: Duration) {
        self.ended += 1;
        let span = now.saturating_sub(self.since);
        if span < RATE_SPAN {
            return;
        }
        let sample = f64::from(self.ended) / span.as_secs_f64();
        self.measured = Some(
            self.measured
                .map_or(sample, |rate| blend(rate, sample, 0.5)),
        );
        self.since = now;
        self.ended = 0;
    }

    /// Starts a new span, so that an idle time doesn't lower the rate.
    fn restart(&mut self, now: Duration) {
        self.since = now;
        self.ended = 0;
    }
}

impl AdmissionQueue {
    /// Creates the queue of a target with the classes of its service.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::{AdmissionQueue, concurrency::Slots};
    /// use indexmap::IndexMap;
    ///
    /// let queue = AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new());
    /// assert_eq!(queue.in_flight(), 0);
    /// ```
    pub fn new(slots: Slots, classes: &IndexMap<String, Class>) -> Self {
        let queue = |class: &Class| ClassQueue {
            share: class.share,
            max_wait: class.queue,
            queued: VecDeque::new(),
            in_flight: 0,
            service_time: None,
            virtual_time: Duration::ZERO,
            completions: CompletionRate::default(),
        };
        Self {
            limit: ConcurrencyLimit::new(slots),
            classes: classes
                .iter()
                .map(|(name, class)| (name.clone(), queue(class)))
                .collect(),
            in_flight: IndexMap::new(),
            draining: false,
        }
    }

    /// Returns how many requests are in flight.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::{AdmissionQueue, concurrency::Slots};
    /// use indexmap::IndexMap;
    ///
    /// assert_eq!(AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new()).in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns how many requests are queued.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::{AdmissionQueue, concurrency::Slots};
    /// use indexmap::IndexMap;
    ///
    /// assert_eq!(AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new()).waiting(), 0);
    /// ```
    pub fn waiting(&self) -> usize {
        self.classes.values().map(|class| class.queued.len()).sum()
    }

    /// Returns how many requests may be in flight.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::{AdmissionQueue, concurrency::Slots};
    /// use indexmap::IndexMap;
    ///
    /// assert_eq!(AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new()).limit(), 3);
    /// ```
    pub fn limit(&self) -> u32 {
        self.limit.limit()
    }

    /// Handles an event, and returns the decisions that follow from it and from the time.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::{
    ///     AdmissionQueue,
    ///     admission::{Effect, Event, RefusalReason},
    ///     concurrency::Slots,
    /// };
    /// use bramleypier::request::Deadline;
    /// use indexmap::IndexMap;
    ///
    /// let mut queue = AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new());
    /// let deadline = Deadline { at: Duration::from_secs(1) };
    /// let request = Event::Request { ticket: 1, class: "look-up".into(), deadline };
    /// let effects = queue.on(Duration::ZERO, request);
    /// assert!(matches!(effects[..], [Effect::Refuse { reason: RefusalReason::UnknownClass, .. }]));
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Request {
                ticket,
                class,
                deadline,
            } => effects.extend(self.enqueue(now, ticket, &class, deadline)),
            Event::Ended { ticket, sample } => self.end(now, ticket, sample),
            Event::Cancelled { ticket } => self.cancel(ticket),
            Event::ColdStart => self.limit.warm_up(),
            Event::Overloaded => self.limit.report_overload(),
            Event::Drain => effects.extend(self.drain()),
            Event::Slots(slots) => self.limit.resize(slots),
            Event::Tick => {}
        }
        effects.extend(self.expire(now));
        effects.extend(self.send(now));
        effects
    }

    /// Queues a request, or refuses it.
    fn enqueue(
        &mut self,
        now: Duration,
        ticket: Ticket,
        class: &str,
        deadline: Deadline,
    ) -> Option<Effect> {
        let refuse = |reason, retry_after| {
            Some(Effect::Refuse {
                ticket,
                reason,
                retry_after,
            })
        };
        if self.draining {
            return refuse(RefusalReason::Draining, RETRY_MIN);
        }
        let Some(index) = self.classes.get_index_of(class) else {
            return refuse(RefusalReason::UnknownClass, Duration::ZERO);
        };
        let remaining = deadline.at.saturating_sub(now);
        let max_wait = self.classes[index].max_wait.min(remaining);
        let closed = self
            .limit
            .closed_until(now)
            .map(|until| until.saturating_sub(now));
        if let Some(wait) = closed.filter(|wait| *wait > max_wait) {
            return refuse(RefusalReason::Unreachable, wait);
        }
        self.catch_up(index);
        if !self.would_send(index, now)
            && self.expected_wait(index).is_none_or(|wait| wait > max_wait)
        {
            self.limit.mark_saturated();
            return refuse(RefusalReason::QueueFull, self.retry_after(index, ticket));
        }
        let class = &mut self.classes[index];
        if class.is_idle() {
            class.completions.restart(now);
        }
        let until = now + max_wait;
        class.queued.push_back(Queued { ticket, until });
        None
    }

    /// Raises the virtual time of a class that leaves slots of its own unused.
    ///
    /// It becomes at least the lowest of the other busy classes, or the highest of all classes if
    /// no other is busy. Other classes borrowed the unused slots, and don't owe them.
    fn catch_up(&mut self, index: usize) {
        let class = &self.classes[index];
        if !class.queued.is_empty() || class.in_flight >= self.own_slots(index).max(1) {
            return;
        }
        let others = self.classes.values().enumerate();
        let others = others.filter(|(other, class)| *other != index && !class.is_idle());
        let lowest = others.map(|(_, class)| class.virtual_time).min();
        let highest = self.classes.values().map(|class| class.virtual_time).max();
        let floor = lowest.or(highest).unwrap_or_default();
        let class = &mut self.classes[index];
        class.virtual_time = class.virtual_time.max(floor);
    }

    fn own_slots(&self, index: usize) -> u32 {
        let shares: Vec<_> = self.classes.values().map(|class| class.share).collect();
        share::own_slots(self.limit.limit(), &shares)[index]
    }

    /// Returns whether a new request of the class would be sent at once.
    fn would_send(&self, index: usize, now: Duration) -> bool {
        let class = &self.classes[index];
        let classes = self.class_states();
        let fits = share::may_send(self.limit.limit(), &classes, index);
        class.queued.is_empty() && fits && self.limit.closed_until(now).is_none()
    }

    /// Returns how long a new request of the class would wait.
    ///
    /// With an unknown service time this is zero up to [`UNKNOWN_QUEUE`] queued requests, and
    /// unknown beyond.
    fn expected_wait(&self, index: usize) -> Option<Duration> {
        let class = &self.classes[index];
        let ahead = u32::try_from(class.queued.len()).unwrap_or(u32::MAX);
        let Some(rate) = self.rate(index) else {
            return (class.queued.len() < UNKNOWN_QUEUE).then_some(Duration::ZERO);
        };
        Some(seconds(f64::from(ahead.saturating_add(1)) / rate))
    }

    /// Returns how many requests of the class end per second.
    ///
    /// This is the measured rate, but at least what the class's own slots serve.
    fn rate(&self, index: usize) -> Option<f64> {
        let class = &self.classes[index];
        let own = self.own_slots(index).max(1);
        let lowest = f64::from(own) / class.service_time?.max(1e-6);
        // Requests in flight beyond the target's slots queue there, which lengthens the measured
        // service time: the rate computed from it alone would be too low.
        Some(
            class
                .completions
                .measured
                .map_or(lowest, |rate| rate.max(lowest)),
        )
    }

    /// Returns the time after which a refused request may be sent again: about twice the wait.
    fn retry_after(&self, index: usize, ticket: Ticket) -> Duration {
        let wait = self.expected_wait(index).unwrap_or(RETRY_MIN);
        concurrency::jitter(2 * wait, ticket.wrapping_mul(0x9e37_79b9)).clamp(RETRY_MIN, RETRY_MAX)
    }

    fn end(&mut self, now: Duration, ticket: Ticket, sample: Sample) {
        let Some(flight) = self.in_flight.swap_remove(&ticket) else {
            return;
        };
        let class = self.classes.get_index_mut(flight.class);
        let (name, class) = class.expect("classes are never removed");
        class.in_flight -= 1;
        let slot_time = now.saturating_sub(flight.sent).max(MIN_SLOT_TIME);
        class.virtual_time += slot_time / class.share.max(1);
        if let Sample::Answered(latency) = sample {
            let taken = latency.as_secs_f64();
            class.service_time = Some(
                class
                    .service_time
                    .map_or(taken, |average| blend(average, taken, SAMPLE_WEIGHT)),
            );
            class.completions.count(now);
        }
        self.limit.update(now, name, sample, ticket);
    }

    fn cancel(&mut self, ticket: Ticket) {
        for class in self.classes.values_mut() {
            class.queued.retain(|queued| queued.ticket != ticket);
        }
    }

    fn drain(&mut self) -> Vec<Effect> {
        self.draining = true;
        let queued = self
            .classes
            .values_mut()
            .flat_map(|class| class.queued.drain(..));
        let refuse = |queued: Queued| Effect::Refuse {
            ticket: queued.ticket,
            reason: RefusalReason::Draining,
            retry_after: RETRY_MIN,
        };
        queued.map(refuse).collect()
    }

    /// Refuses the requests that were queued for too long.
    fn expire(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        for index in 0..self.classes.len() {
            let queued = &mut self.classes[index].queued;
            let expired = queued.iter().filter(|request| request.until <= now);
            let expired: Vec<_> = expired.map(|request| request.ticket).collect();
            queued.retain(|request| request.until > now);
            effects.extend(expired.into_iter().map(|ticket| Effect::Refuse {
                ticket,
                reason: RefusalReason::QueueTimeout,
                retry_after: self.retry_after(index, ticket),
            }));
        }
        effects
    }

    /// Sends the queued requests that may be sent now.
    ///
    /// Each class is served first in, first out. Only requests that can be served in time are
    /// queued, so serving the newest first would only make others wait for longer.
    fn send(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.limit.closed_until(now).is_some() {
            return effects;
        }
        while let Some(index) = share::next(self.limit.limit(), &self.class_states()) {
            let class = &mut self.classes[index];
            let Some(next) = class.queued.pop_front() else {
                break;
            };
            class.in_flight += 1;
            let flight = Flight {
                class: index,
                sent: now,
            };
            self.in_flight.insert(next.ticket, flight);
            effects.push(Effect::Admit(next.ticket));
        }
        if self.waiting() > 0 {
            self.limit.mark_saturated();
        }
        effects
    }

    fn class_states(&self) -> Vec<ClassState> {
        let state = |class: &ClassQueue| ClassState {
            share: class.share,
            in_flight: class.in_flight,
            queued: class.queued.len(),
            service_time: seconds(class.service_time.unwrap_or_default()),
            max_wait: class.max_wait,
            virtual_time: class.virtual_time,
        };
        self.classes.values().map(state).collect()
    }
}

/// Returns a duration, or [`RETRY_MAX`] for one that is out of range.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_MAX)
}
