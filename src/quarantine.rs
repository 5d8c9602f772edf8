//! Quarantine of requests that may crash their target.
//!
//! Every request in flight at a target when its process dies is a suspect of that death. VMs send
//! their suspects to each other, since a caller may send the request again through another VM:
//!
//! | deaths of which the request is a suspect | decision |
//! |---|---|
//! | none | allowed |
//! | one, with other suspects | runs alone: no other suspect at that target at the same time |
//! | one, as the only suspect | refused for [`SOLE`], then runs alone |
//! | two, and another request is a suspect of both | refused for [`DOUBLE`] to twice that, then runs alone |
//! | any others | refused for [`EXPIRY`] |
//!
//! A harmless request that was in flight beside a crashing one completes when it runs alone, which
//! clears it on every VM. A request is identified by a fingerprint of its content, not by its id,
//! since callers may send it again under another id. Suspicions form sets that only grow until they
//! expire, so the order in which a VM receives them, and how often, makes no difference.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{
    id::{BootId, TargetId},
    request::Fingerprint,
};

/// The time for which a death counts.
pub const EXPIRY: Duration = Duration::from_mins(10);
/// The time for which the only suspect of a single death is refused.
///
/// It is short, since machines fail every day while a harmless request runs, and its key must be
/// served again within seconds. A request that does crash its target causes a second death soon
/// after, and is then refused for [`EXPIRY`].
pub const SOLE: Duration = Duration::from_secs(3);
/// The minimum time for which requests are refused that are suspects of the same two deaths.
pub const DOUBLE: Duration = Duration::from_secs(30);
/// The time after the loss of a request in which a death of its target still makes it a suspect.
const LOST_WINDOW: Duration = Duration::from_secs(5);
/// The wait before a suspect is checked again while another one runs alone at the target.
const TURN_WAIT: Duration = Duration::from_millis(100);
/// The maximum number of suspicions; the oldest are dropped first.
const MAX_SUSPICIONS: usize = 16_384;
/// The maximum number of lost requests that are remembered; the oldest are dropped first.
const MAX_LOST: usize = 4_096;

/// One run of a target's process, from its start to its death.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incarnation {
    /// The target.
    pub target: TargetId,
    /// The id of its start.
    pub boot: BootId,
}

/// A suspicion against a request, as sent to all VMs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// The fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The incarnation of the target that died.
    pub death: Incarnation,
    /// When the death was noticed, by the wall clock of the VM that noticed it.
    pub at: Duration,
    /// Whether the request completed later, and is no longer a suspect of this death.
    pub cleared: bool,
}

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Completed,
    /// The connection failed, or no answer arrived.
    Lost,
    /// The request didn't run: it was refused, or not sent.
    NotRun,
}

/// An input of a [`Quarantine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request is about to be sent to a target.
    Sent {
        /// The number of the request; never used twice.
        ticket: u64,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The target, and its current start as far as it is known.
        incarnation: Incarnation,
    },
    /// A request ended.
    Ended {
        /// The number of the request.
        ticket: u64,
        /// How it ended.
        end: End,
    },
    /// A target's process died, which a new start of the target shows too.
    Died(Incarnation),
    /// Suspects were received from other VMs.
    Received(Vec<Suspect>),
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Allow,
    /// It may be sent. [`Event::Sent`] must follow before another request to the target is checked.
    RunAlone,
    /// It must wait for another suspect at the target, and be checked again after this time.
    Wait(Duration),
    /// It must not be sent, since it may crash the target; it may be checked again after this time.
    Refuse(Duration),
}

/// The suspects known to one VM, and the VM's own requests in flight.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, IndexMap<Incarnation, Suspicion>>,
    /// The number of suspicions of all requests together.
    count: usize,
    in_flight: IndexMap<u64, Flight>,
    /// Lost requests, with the time of their loss, oldest first.
    lost: IndexMap<u64, (Duration, Flight)>,
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
    /// Returns whether a request may be sent to a target now; `wall` is the wall clock.
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
            1 if self.is_sole_suspect(wall, &deaths) => last + SOLE,
            1 => Duration::ZERO,
            2 if self.has_equal_suspect(wall, fingerprint, &deaths) => {
                last + DOUBLE + stagger(fingerprint)
            }
            _ => last + EXPIRY,
        };
        if wall < until {
            return Decision::Refuse(until.saturating_sub(wall));
        }
        let is_suspect_here = |flight: &Flight| {
            flight.incarnation.target == target && !self.deaths(wall, flight.fingerprint).is_empty()
        };
        if self.in_flight.values().any(is_suspect_here) {
            return Decision::Wait(TURN_WAIT);
        }
        Decision::RunAlone
    }

    /// Handles an event, and returns the suspects to send to all other VMs.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::quarantine::{Decision, Event, Incarnation, Quarantine};
    ///
    /// let incarnation = Incarnation { target: "a".into(), boot: "1".into() };
    /// let mut one = Quarantine::default();
    /// let wall = Duration::from_secs(1);
    /// one.on(wall, Event::Sent { ticket: 1, fingerprint: 7, incarnation: incarnation.clone() });
    /// let suspects = one.on(wall, Event::Died(incarnation));
    /// let mut other = Quarantine::default();
    /// other.on(wall, Event::Received(suspects));
    /// assert!(matches!(other.check(wall, 7, "b"), Decision::Refuse(_)));
    /// ```
    pub fn on(&mut self, wall: Duration, event: Event) -> Vec<Suspect> {
        match event {
            Event::Sent {
                ticket,
                fingerprint,
                incarnation,
            } => {
                self.in_flight.insert(
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
            Event::Received(suspects) => {
                for suspect in &suspects {
                    self.add(wall, suspect);
                }
                Vec::new()
            }
        }
    }

    /// Returns all known suspects, for a VM that has just started.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::quarantine::Quarantine;
    ///
    /// assert!(Quarantine::default().suspects().is_empty());
    /// ```
    pub fn suspects(&self) -> Vec<Suspect> {
        let suspects = self.suspects.iter();
        let suspects = suspects.flat_map(|(fingerprint, deaths)| {
            deaths.iter().map(|(death, it)| Suspect {
                fingerprint: *fingerprint,
                death: death.clone(),
                at: it.at,
                cleared: it.cleared,
            })
        });
        suspects.collect()
    }

    fn ended(&mut self, wall: Duration, ticket: u64, end: End) -> Vec<Suspect> {
        let lost = self.lost.shift_remove(&ticket).map(|(_, flight)| flight);
        let Some(flight) = self.in_flight.swap_remove(&ticket).or(lost) else {
            return Vec::new();
        };
        match end {
            End::Completed => self.clear(wall, flight.fingerprint),
            End::Lost => {
                self.remember(wall, ticket, flight);
                Vec::new()
            }
            End::NotRun => Vec::new(),
        }
    }

    /// Remembers a lost request, in case the death of its target is noticed later.
    fn remember(&mut self, wall: Duration, ticket: u64, flight: Flight) {
        if self.lost.len() >= MAX_LOST {
            self.lost.shift_remove_index(0);
        }
        self.lost.insert(ticket, (wall, flight));
    }

    /// Clears a completed request of the deaths of which it was a suspect.
    fn clear(&mut self, wall: Duration, fingerprint: Fingerprint) -> Vec<Suspect> {
        let deaths = self.deaths(wall, fingerprint);
        let suspects = deaths.into_iter().map(|(death, at)| Suspect {
            fingerprint,
            death,
            at,
            cleared: true,
        });
        let suspects: Vec<_> = suspects.collect();
        for suspect in &suspects {
            self.add(wall, suspect);
        }
        suspects
    }

    fn died(&mut self, wall: Duration, death: &Incarnation) -> Vec<Suspect> {
        self.lost.retain(|_, (at, _)| wall < *at + LOST_WINDOW);
        let in_flight = self
            .in_flight
            .iter()
            .filter(|(_, flight)| flight.incarnation == *death);
        let tickets: Vec<_> = in_flight.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some(flight) = self.in_flight.swap_remove(&ticket) {
                self.remember(wall, ticket, flight);
            }
        }
        let lost = self.lost.values().map(|(_, flight)| flight);
        let concerned = lost.filter(|flight| flight.incarnation == *death);
        let fingerprints: IndexSet<_> = concerned.map(|flight| flight.fingerprint).collect();
        let suspects = fingerprints.into_iter().map(|fingerprint| Suspect {
            fingerprint,
            death: death.clone(),
            at: wall,
            cleared: false,
        });
        let suspects: Vec<_> = suspects.collect();
        for suspect in &suspects {
            self.add(wall, suspect);
        }
        suspects
    }

    /// Adds a suspect.
    ///
    /// The earliest time of a death wins, and so does a clearing, so that the order and repetition of
    /// messages make no difference.
    fn add(&mut self, wall: Duration, suspect: &Suspect) {
        if suspect.at + EXPIRY <= wall {
            return;
        }
        if self.count >= MAX_SUSPICIONS {
            self.evict(wall);
        }
        let deaths = self.suspects.entry(suspect.fingerprint).or_default();
        let known = deaths.len();
        let suspicion = deaths.entry(suspect.death.clone()).or_insert(Suspicion {
            at: suspect.at,
            cleared: false,
        });
        suspicion.at = suspicion.at.min(suspect.at);
        suspicion.cleared |= suspect.cleared;
        self.count += deaths.len() - known;
    }

    /// Drops expired suspicions, and the oldest requests if that isn't enough.
    fn evict(&mut self, wall: Duration) {
        self.suspects.retain(|_, deaths| {
            deaths.retain(|_, it| wall < it.at + EXPIRY);
            !deaths.is_empty()
        });
        self.count = self.suspects.values().map(IndexMap::len).sum();
        if self.count < MAX_SUSPICIONS {
            return;
        }
        // Drops an eighth at once, so that evictions are rare.
        let oldest = self.suspects.len().div_ceil(8);
        let dropped = self.suspects.drain(..oldest);
        self.count -= dropped.map(|(_, deaths)| deaths.len()).sum::<usize>();
    }

    /// Returns the deaths of which a request is a suspect, with their times.
    fn deaths(&self, wall: Duration, fingerprint: Fingerprint) -> IndexMap<Incarnation, Duration> {
        let known = self.suspects.get(&fingerprint).into_iter().flatten();
        let current = known.filter(|(_, it)| !it.cleared && wall < it.at + EXPIRY);
        current.map(|(death, it)| (death.clone(), it.at)).collect()
    }

    /// Returns whether no other request is a suspect of the death, or was one before it was cleared.
    fn is_sole_suspect(&self, wall: Duration, deaths: &IndexMap<Incarnation, Duration>) -> bool {
        let suspects = self.suspects.values();
        let concerned = suspects.filter(|other| {
            let mut current = other.iter().filter(|(_, it)| wall < it.at + EXPIRY);
            current.any(|(death, _)| deaths.contains_key(death))
        });
        concerned.count() == 1
    }

    /// Returns whether another request is a suspect of all of these deaths, so that either of the
    /// two may be the cause.
    fn has_equal_suspect(
        &self,
        wall: Duration,
        fingerprint: Fingerprint,
        deaths: &IndexMap<Incarnation, Duration>,
    ) -> bool {
        let mut others = self.suspects.keys().filter(|other| **other != fingerprint);
        others.any(|other| {
            let other_deaths = self.deaths(wall, *other);
            deaths.keys().all(|death| other_deaths.contains_key(death))
        })
    }
}

/// Returns an additional time by the fingerprint, so that suspects of the same deaths run apart.
fn stagger(fingerprint: Fingerprint) -> Duration {
    let part = u32::try_from(fingerprint % 1_024).unwrap_or(0);
    DOUBLE * part / 1_024
}
