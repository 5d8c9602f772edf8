//! Requests that kill their target.
//!
//! Whatever was in flight on a target as it died is a suspect of that death. VMs tell each other
//! of suspects, so that another VM that gets the resend knows it too. What follows for a request:
//!
//! | deaths it is a suspect of | what it may do |
//! |---|---|
//! | none | anything |
//! | one, others were in flight too | run alone: no other suspect on that target at a time |
//! | one, as the only one | refused for [`SOLE`], then alone |
//! | two or more | refused for [`EXPIRY`] |
//! | the same two as another request | refused for a time of its own, then alone |
//!
//! An innocent request that stood beside a killer completes when it runs alone, and that clears it
//! on every VM. A request is known by what it asks for, not by its id, for callers may send it
//! again under another one. Suspicions form sets that only grow until they expire: the order in
//! which they are heard, and how often, changes nothing.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{
    id::{BootId, TargetId},
    request::Fingerprint,
};

/// How long a death counts.
pub const EXPIRY: Duration = Duration::from_mins(10);
/// How long a request is refused that was the only one in flight at a single death.
///
/// Short, for machines are lost every day while an innocent request runs: a key is to be served
/// again within seconds. A killer's second death comes sooner, and is its last, either way.
pub const SOLE: Duration = Duration::from_secs(3);
/// How long requests that were at the same two deaths are refused at the least.
pub const DOUBLE: Duration = Duration::from_secs(30);
/// How long before a death a request may have broken off and still be a suspect of it.
const BEFORE: Duration = Duration::from_secs(5);
/// How long a suspect waits for another that runs alone.
const TURN: Duration = Duration::from_millis(100);
/// How many suspicions are kept; the oldest go first.
const KEPT: usize = 16_384;
/// How many requests that broke off are kept.
const BROKEN: usize = 4_096;

/// One start of a target, which ended in its death.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incarnation {
    /// The target.
    pub target: TargetId,
    /// Its start.
    pub boot: BootId,
}

/// A piece of news, for all VMs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The death that it is, or was, a suspect of.
    pub death: Incarnation,
    /// When the death was seen, by the wall clock of the VM that saw it.
    pub at: Duration,
    /// Whether the request completed later, and is no suspect of it any more.
    pub cleared: bool,
}

/// How a request on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Completed,
    /// The connection broke, or no answer came.
    Lost,
    /// It never reached the target's work: refused, or not sent.
    NotRun,
}

/// What happens around a [`Quarantine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request is about to be sent to a target.
    Sent {
        /// The request's number; never used twice.
        ticket: u64,
        /// The request.
        fingerprint: Fingerprint,
        /// The target, and its start as far as is known.
        incarnation: Incarnation,
    },
    /// A request has ended.
    Ended {
        /// Its number.
        ticket: u64,
        /// How.
        end: End,
    },
    /// A target's process died, or a new start of it was seen.
    Died(Incarnation),
    /// Other VMs told of suspects.
    Received(Vec<Suspect>),
}

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Anything.
    Allow,
    /// Run, but say so with [`Event::Sent`] before anything else is checked for that target.
    RunAlone,
    /// Wait for another suspect that runs alone on the target.
    Wait(Duration),
    /// Nothing: it kills targets. The time after which it may be tried again.
    Refuse(Duration),
}

/// The suspects that one VM knows, and its own requests in flight.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, IndexMap<Incarnation, Suspicion>>,
    count: usize,
    flying: IndexMap<u64, Flight>,
    broken: IndexMap<u64, (Duration, Flight)>,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    at: Duration,
    cleared: bool,
}

#[derive(Clone, Debug)]
struct Flight {
    fingerprint: Fingerprint,
    incarnation: Incarnation,
}

impl Quarantine {
    /// Returns what a request may do at a target now; `wall` is the wall clock.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::quarantine::{Decision, Quarantine};
    ///
    /// assert_eq!(Quarantine::default().check(Duration::ZERO, 7, "a"), Decision::Allow);
    /// ```
    pub fn check(&self, wall: Duration, fingerprint: Fingerprint, target: &str) -> Decision {
        let deaths = self.deaths(wall, fingerprint);
        let Some(last) = deaths.values().max().copied() else {
            return Decision::Allow;
        };
        let until = match deaths.len() {
            1 if self.is_alone(wall, &deaths) => last + SOLE,
            1 => Duration::ZERO,
            2 if self.has_double(wall, fingerprint, &deaths) => {
                last + DOUBLE + stagger(fingerprint)
            }
            _ => last + EXPIRY,
        };
        if wall < until {
            return Decision::Refuse(until.saturating_sub(wall));
        }
        let trial = |flight: &Flight| {
            flight.incarnation.target == target && !self.deaths(wall, flight.fingerprint).is_empty()
        };
        if self.flying.values().any(trial) {
            return Decision::Wait(TURN);
        }
        Decision::RunAlone
    }

    /// Takes an event; returns the news for all other VMs.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::quarantine::{Decision, Incarnation, Event, Quarantine};
    ///
    /// let on = Incarnation { target: "a".into(), boot: "1".into() };
    /// let mut here = Quarantine::default();
    /// let wall = Duration::from_secs(1);
    /// here.on(wall, Event::Sent { ticket: 1, fingerprint: 7, incarnation: on.clone() });
    /// let news = here.on(wall, Event::Died(on));
    /// let mut there = Quarantine::default();
    /// there.on(wall, Event::Received(news));
    /// assert!(matches!(there.check(wall, 7, "b"), Decision::Refuse(_)));
    /// ```
    pub fn on(&mut self, wall: Duration, event: Event) -> Vec<Suspect> {
        match event {
            Event::Sent {
                ticket,
                fingerprint,
                incarnation,
            } => {
                self.flying.insert(
                    ticket,
                    Flight {
                        fingerprint,
                        incarnation,
                    },
                );
                Vec::new()
            }
            Event::Ended { ticket, end } => self.ended(wall, ticket, end),
            Event::Died(death) => self.died(wall, &death),
            Event::Received(items) => {
                for item in &items {
                    self.take(wall, item);
                }
                Vec::new()
            }
        }
    }

    /// Returns everything that is known, for a VM that has just started.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::quarantine::Quarantine;
    ///
    /// assert!(Quarantine::default().items().is_empty());
    /// ```
    pub fn items(&self) -> Vec<Suspect> {
        let suspects = self.suspects.iter();
        let items = suspects.flat_map(|(fingerprint, deaths)| {
            deaths.iter().map(|(death, it)| Suspect {
                fingerprint: *fingerprint,
                death: death.clone(),
                at: it.at,
                cleared: it.cleared,
            })
        });
        items.collect()
    }

    fn ended(&mut self, wall: Duration, ticket: u64, end: End) -> Vec<Suspect> {
        let broken = self.broken.shift_remove(&ticket).map(|(_, flight)| flight);
        let Some(flight) = self.flying.swap_remove(&ticket).or(broken) else {
            return Vec::new();
        };
        match end {
            End::Completed => self.clear(wall, flight.fingerprint),
            End::Lost => {
                self.keep(wall, ticket, flight);
                Vec::new()
            }
            End::NotRun => Vec::new(),
        }
    }

    /// Keeps a request that broke off, for a death that is seen later.
    fn keep(&mut self, wall: Duration, ticket: u64, flight: Flight) {
        if self.broken.len() >= BROKEN {
            self.broken.shift_remove_index(0);
        }
        self.broken.insert(ticket, (wall, flight));
    }

    /// Clears a request of the deaths it was a suspect of, since it has completed.
    fn clear(&mut self, wall: Duration, fingerprint: Fingerprint) -> Vec<Suspect> {
        let deaths = self.deaths(wall, fingerprint);
        let items = deaths.into_iter().map(|(death, at)| Suspect {
            fingerprint,
            death,
            at,
            cleared: true,
        });
        let items: Vec<_> = items.collect();
        for item in &items {
            self.take(wall, item);
        }
        items
    }

    fn died(&mut self, wall: Duration, death: &Incarnation) -> Vec<Suspect> {
        self.broken.retain(|_, (at, _)| wall < *at + BEFORE);
        let flying = self
            .flying
            .iter()
            .filter(|(_, flight)| flight.incarnation == *death);
        let tickets: Vec<_> = flying.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some(flight) = self.flying.swap_remove(&ticket) {
                self.keep(wall, ticket, flight);
            }
        }
        let broken = self.broken.values().map(|(_, flight)| flight);
        let there = broken.filter(|flight| flight.incarnation == *death);
        let prints: IndexSet<_> = there.map(|flight| flight.fingerprint).collect();
        let items = prints.into_iter().map(|fingerprint| Suspect {
            fingerprint,
            death: death.clone(),
            at: wall,
            cleared: false,
        });
        let items: Vec<_> = items.collect();
        for item in &items {
            self.take(wall, item);
        }
        items
    }

    /// Takes a piece of news. The earliest time of a death and any clearing win, so that order and
    /// repetition change nothing.
    fn take(&mut self, wall: Duration, item: &Suspect) {
        if item.at + EXPIRY <= wall {
            return;
        }
        if self.count >= KEPT {
            self.forget(wall);
        }
        let deaths = self.suspects.entry(item.fingerprint).or_default();
        let known = deaths.len();
        let suspicion = deaths.entry(item.death.clone()).or_insert(Suspicion {
            at: item.at,
            cleared: false,
        });
        suspicion.at = suspicion.at.min(item.at);
        suspicion.cleared |= item.cleared;
        self.count += deaths.len() - known;
    }

    /// Forgets what has expired, and the oldest request if that is not enough.
    fn forget(&mut self, wall: Duration) {
        self.suspects.retain(|_, deaths| {
            deaths.retain(|_, it| wall < it.at + EXPIRY);
            !deaths.is_empty()
        });
        self.count = self.suspects.values().map(IndexMap::len).sum();
        if self.count < KEPT {
            return;
        }
        // An eighth at once, so that this is seldom done.
        let oldest = self.suspects.len().div_ceil(8);
        let dropped = self.suspects.drain(..oldest);
        self.count -= dropped.map(|(_, deaths)| deaths.len()).sum::<usize>();
    }

    /// Returns the deaths that a request is a suspect of, with their times.
    fn deaths(&self, wall: Duration, fingerprint: Fingerprint) -> IndexMap<Incarnation, Duration> {
        let known = self.suspects.get(&fingerprint).into_iter().flatten();
        let live = known.filter(|(_, it)| !it.cleared && wall < it.at + EXPIRY);
        live.map(|(death, it)| (death.clone(), it.at)).collect()
    }

    /// Returns whether no other request is, or ever was, a suspect of the death.
    fn is_alone(&self, wall: Duration, deaths: &IndexMap<Incarnation, Duration>) -> bool {
        let suspects = self.suspects.values();
        let here = suspects.filter(|other| {
            let mut live = other.iter().filter(|(_, it)| wall < it.at + EXPIRY);
            live.any(|(death, _)| deaths.contains_key(death))
        });
        here.count() == 1
    }

    /// Returns whether another request is a suspect of all of these deaths: either may be at fault.
    fn has_double(
        &self,
        wall: Duration,
        fingerprint: Fingerprint,
        deaths: &IndexMap<Incarnation, Duration>,
    ) -> bool {
        let mut others = self.suspects.keys().filter(|other| **other != fingerprint);
        others.any(|other| {
            let theirs = self.deaths(wall, *other);
            deaths.keys().all(|death| theirs.contains_key(death))
        })
    }
}

/// Spreads the times at which requests that look alike are tried again.
fn stagger(fingerprint: Fingerprint) -> Duration {
    let part = u32::try_from(fingerprint % 1_024).unwrap_or(0);
    DOUBLE * part / 1_024
}
