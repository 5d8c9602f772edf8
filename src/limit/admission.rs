//! The way to one target: what is sent now, what waits, and what is refused.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{
    ConcurrencyLimit, blend,
    concurrency::{self, Sample, Slots},
    share::{self, Lane},
};
use crate::{document::Class, request::Deadline};

/// The part of a new sample in the averages.
const PART: f64 = 0.1;
/// The time over which the drain rate is measured.
const RATE_SPAN: Duration = Duration::from_millis(500);
/// How many may wait in a class of which nothing was measured yet.
const UNKNOWN_QUEUE: usize = 8;
/// The shortest time to come back.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The longest time to come back.
const RETRY_MAX: Duration = Duration::from_secs(30);

/// What a request counts for at the least, however soon it ends.
const LEAST_HOLD: Duration = Duration::from_micros(1);

/// The caller's number of a request; never used twice.
pub type Ticket = u64;

/// What happens at a gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request came in.
    Request {
        /// Its number.
        ticket: Ticket,
        /// Its class.
        class: String,
        /// When its time ends.
        deadline: Deadline,
    },
    /// A request that was admitted has ended.
    Ended {
        /// Its number.
        ticket: Ticket,
        /// How.
        sample: Sample,
    },
    /// The caller of a request that waits went away.
    Cancelled {
        /// Its number.
        ticket: Ticket,
    },
    /// The target has started and is cold.
    ColdStart,
    /// The target says that it is overloaded.
    Overloaded,
    /// The target gets no new work.
    Drain,
    /// The document, or the number of VMs, changed.
    Slots(Slots),
    /// Time passed.
    Tick,
}

/// What a gate decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the request.
    Admit(Ticket),
    /// Refuse the request; it was not sent.
    Refuse {
        /// Its number.
        ticket: Ticket,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no such class.
    UnknownClass,
    /// It would wait for longer than its class or its deadline allows.
    QueueFull,
    /// Its time ended while it waited.
    QueueTimeout,
    /// The target can't be reached.
    Unreachable,
    /// The target is leaving.
    Draining,
}

/// The state of the way to one target.
#[derive(Debug)]
pub struct AdmissionQueue {
    cap: ConcurrencyLimit,
    lanes: IndexMap<String, Queue>,
    flying: IndexMap<Ticket, Flight>,
    draining: bool,
}

#[derive(Debug)]
struct Queue {
    share: u32,
    longest: Duration,
    waiting: VecDeque<Waiting>,
    used: u32,
    /// Seconds that a request takes.
    hold: Option<f64>,
    /// For how long its requests have held slots, for each percent of its share.
    passed: Duration,
    rate: Rate,
}

impl Queue {
    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.used == 0
    }
}

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct Flight {
    lane: usize,
    since: Duration,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    until: Duration,
}

/// How many requests end in a second.
#[derive(Debug, Default)]
struct Rate {
    since: Duration,
    ended: u32,
    measured: Option<f64>,
}

impl Rate {
    fn take(&mut self, now: Duration) {
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

    /// Starts a new span after a time in which there was nothing to do.
    fn wake(&mut self, now: Duration) {
        self.since = now;
        self.ended = 0;
    }
}

impl AdmissionQueue {
    /// Creates the gate of a target for the classes of its service.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::limit::{AdmissionQueue, concurrency::Slots};
    /// use indexmap::IndexMap;
    ///
    /// let gate = AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new());
    /// assert_eq!(gate.in_flight(), 0);
    /// ```
    pub fn new(slots: Slots, classes: &IndexMap<String, Class>) -> Self {
        let queue = |class: &Class| Queue {
            share: class.share,
            longest: class.queue,
            waiting: VecDeque::new(),
            used: 0,
            hold: None,
            passed: Duration::ZERO,
            rate: Rate::default(),
        };
        Self {
            cap: ConcurrencyLimit::new(slots),
            lanes: classes
                .iter()
                .map(|(name, class)| (name.clone(), queue(class)))
                .collect(),
            flying: IndexMap::new(),
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
        self.flying.len()
    }

    /// Returns how many requests wait.
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
        self.lanes.values().map(|lane| lane.waiting.len()).sum()
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
        self.cap.limit()
    }

    /// Takes an event.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::limit::{AdmissionQueue, concurrency::Slots, admission::{Effect, Event, RefusalReason}};
    /// use bramleypier::request::Deadline;
    /// use indexmap::IndexMap;
    ///
    /// let mut gate = AdmissionQueue::new(Slots { slots: 2, vms: 1 }, &IndexMap::new());
    /// let deadline = Deadline { at: Duration::from_secs(1) };
    /// let ask = Event::Request { ticket: 1, class: "look-up".into(), deadline };
    /// let effects = gate.on(Duration::ZERO, ask);
    /// assert!(matches!(effects[..], [Effect::Refuse { reason: RefusalReason::UnknownClass, .. }]));
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Request {
                ticket,
                class,
                deadline,
            } => effects.extend(self.ask(now, ticket, &class, deadline)),
            Event::Ended { ticket, sample } => self.done(now, ticket, sample),
            Event::Cancelled { ticket } => self.dropped(ticket),
            Event::ColdStart => self.cap.warm_up(),
            Event::Overloaded => self.cap.hint_busy(),
            Event::Drain => effects.extend(self.drain()),
            Event::Slots(slots) => self.cap.resize(slots),
            Event::Tick => {}
        }
        effects.extend(self.expire(now));
        effects.extend(self.send(now));
        effects
    }

    fn ask(
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
        let Some(index) = self.lanes.get_index_of(class) else {
            return refuse(RefusalReason::UnknownClass, Duration::ZERO);
        };
        let left = deadline.at.saturating_sub(now);
        let longest = self.lanes[index].longest.min(left);
        let closed = self.cap.closed(now).map(|until| until.saturating_sub(now));
        if let Some(wait) = closed.filter(|wait| *wait > longest) {
            return refuse(RefusalReason::Unreachable, wait);
        }
        self.level(index);
        if !self.would_send(index, now) && self.expected(index).is_none_or(|wait| wait > longest) {
            self.cap.used_up();
            return refuse(RefusalReason::QueueFull, self.retry(index, ticket));
        }
        let lane = &mut self.lanes[index];
        if lane.is_idle() {
            lane.rate.wake(now);
        }
        let until = now + longest;
        lane.waiting.push_back(Waiting { ticket, until });
        None
    }

    /// Brings a class that leaves slots of its own unused up to the least of the busy others, and to
    /// all that was had if none is busy: what it left unused was lent, and is not owed.
    fn level(&mut self, index: usize) {
        let lane = &self.lanes[index];
        if !lane.waiting.is_empty() || lane.used >= self.own(index).max(1) {
            return;
        }
        let others = self.lanes.values().enumerate();
        let others = others.filter(|(other, lane)| *other != index && !lane.is_idle());
        let least = others.map(|(_, lane)| lane.passed).min();
        let most = self.lanes.values().map(|lane| lane.passed).max();
        let floor = least.or(most).unwrap_or_default();
        let lane = &mut self.lanes[index];
        lane.passed = lane.passed.max(floor);
    }

    fn own(&self, index: usize) -> u32 {
        let shares: Vec<_> = self.lanes.values().map(|lane| lane.share).collect();
        share::own(self.cap.limit(), &shares)[index]
    }

    fn would_send(&self, index: usize, now: Duration) -> bool {
        let lane = &self.lanes[index];
        let lanes = self.view();
        let fits = share::may_send(self.cap.limit(), &lanes, index);
        lane.waiting.is_empty() && fits && self.cap.closed(now).is_none()
    }

    /// Returns how long one more request of the class would wait, as far as is known; nothing if
    /// nothing is known and enough wait already.
    fn expected(&self, index: usize) -> Option<Duration> {
        let lane = &self.lanes[index];
        let ahead = u32::try_from(lane.waiting.len()).unwrap_or(u32::MAX);
        let Some(rate) = self.rate(index) else {
            return (lane.waiting.len() < UNKNOWN_QUEUE).then_some(Duration::ZERO);
        };
        Some(seconds(f64::from(ahead.saturating_add(1)) / rate))
    }

    /// Returns how many requests of the class end in a second: what was measured, and no less than
    /// its own slots give.
    fn rate(&self, index: usize) -> Option<f64> {
        let lane = &self.lanes[index];
        let own = self.own(index).max(1);
        let least = f64::from(own) / lane.hold?.max(1e-6);
        // What is in flight beyond the target's slots waits there: holds are longer than work.
        Some(lane.rate.measured.map_or(least, |rate| rate.max(least)))
    }

    fn retry(&self, index: usize, ticket: Ticket) -> Duration {
        let wait = self.expected(index).unwrap_or(RETRY_MIN);
        concurrency::jitter(2 * wait, ticket.wrapping_mul(0x9e37_79b9)).clamp(RETRY_MIN, RETRY_MAX)
    }

    fn done(&mut self, now: Duration, ticket: Ticket, sample: Sample) {
        let Some(flight) = self.flying.swap_remove(&ticket) else {
            return;
        };
        let lane = self.lanes.get_index_mut(flight.lane);
        let (class, lane) = lane.expect("lanes stay");
        lane.used -= 1;
        let held = now.saturating_sub(flight.since).max(LEAST_HOLD);
        lane.passed += held / lane.share.max(1);
        if let Sample::Answered(latency) = sample {
            let taken = latency.as_secs_f64();
            lane.hold = Some(lane.hold.map_or(taken, |hold| blend(hold, taken, PART)));
            lane.rate.take(now);
        }
        self.cap.learn(now, class, sample, ticket);
    }

    fn dropped(&mut self, ticket: Ticket) {
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    fn drain(&mut self) -> Vec<Effect> {
        self.draining = true;
        let waiting = self
            .lanes
            .values_mut()
            .flat_map(|lane| lane.waiting.drain(..));
        let refuse = |waiting: Waiting| Effect::Refuse {
            ticket: waiting.ticket,
            reason: RefusalReason::Draining,
            retry_after: RETRY_MIN,
        };
        waiting.map(refuse).collect()
    }

    /// Refuses what has waited for too long.
    fn expire(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        for index in 0..self.lanes.len() {
            let waiting = &mut self.lanes[index].waiting;
            let late = waiting.iter().filter(|one| one.until <= now);
            let late: Vec<_> = late.map(|one| one.ticket).collect();
            waiting.retain(|one| one.until > now);
            effects.extend(late.into_iter().map(|ticket| Effect::Refuse {
                ticket,
                reason: RefusalReason::QueueTimeout,
                retry_after: self.retry(index, ticket),
            }));
        }
        effects
    }

    /// Sends what may be sent. First in, first out: as nobody is let in who can't be served in
    /// time, turning the queue round would only make some wait for longer.
    fn send(&mut self, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.cap.closed(now).is_some() {
            return effects;
        }
        while let Some(index) = share::next(self.cap.limit(), &self.view()) {
            let lane = &mut self.lanes[index];
            let Some(next) = lane.waiting.pop_front() else {
                break;
            };
            lane.used += 1;
            let flight = Flight {
                lane: index,
                since: now,
            };
            self.flying.insert(next.ticket, flight);
            effects.push(Effect::Admit(next.ticket));
        }
        if self.waiting() > 0 {
            self.cap.used_up();
        }
        effects
    }

    fn view(&self) -> Vec<Lane> {
        let view = |lane: &Queue| Lane {
            share: lane.share,
            used: lane.used,
            waiting: lane.waiting.len(),
            hold: seconds(lane.hold.unwrap_or_default()),
            queue: lane.longest,
            passed: lane.passed,
        };
        self.lanes.values().map(view).collect()
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_MAX)
}
