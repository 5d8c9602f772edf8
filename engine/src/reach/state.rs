//! Decides whether this VM is cut off from all targets, without any I/O.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use rand::{Rng, seq::SliceRandom};

/// How long a failed connection counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// How many targets must have failed, with no response from any other: a single one may have ended.
const MIN_FAILED: usize = 2;
/// The time between two checks of a suspicion that was not confirmed: all targets of a small fleet may have ended.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two probes of targets while this VM is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of VMs that can relay below which more are looked for.
const MIN_RELAYS: usize = 2;
/// The time between two searches for VMs that can relay.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// How many VMs are asked at the same time whether they reach targets.
const ASKED_VMS: usize = 8;
/// How many times other VMs are asked, one after the other, until one reaches targets.
const MAX_ROUNDS: usize = 3;

/// Returns the VMs to ask whether they reach targets, in rounds: the next is for when nobody of the one before does.
///
/// Load pattern: most VMs of a large fleet are cut off at the same time, and all of them ask. So each asks only a few, at
/// random, and more only if all of these are cut off too.
///
/// # Example
///
/// ```
/// use bramleypier_engine::reach::state;
///
/// let rounds = state::search_rounds((0..100).collect(), &mut rand::rng());
/// assert!(rounds.len() == 3 && rounds.iter().all(|round| round.len() == 8));
/// assert_eq!(state::search_rounds(vec!["a", "b"], &mut rand::rng()).len(), 1);
/// ```
pub fn search_rounds<T, R>(mut vms: Vec<T>, random: &mut R) -> Vec<Vec<T>>
where
    T: Clone,
    R: Rng,
{
    vms.shuffle(random);
    let rounds = vms.chunks(ASKED_VMS).take(MAX_ROUNDS);
    rounds.map(<[T]>::to_vec).collect()
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Check whether this VM reaches targets, and whether others reach those that it doesn't.
    Check,
    /// Probe some targets.
    Probe,
    /// Find out which VMs can relay.
    FindRelays,
}

/// What connections to targets show.
///
/// Of the responses only the first on a connection counts: when a path is cut, connections may live on while new ones
/// fail. Failures alone prove nothing, since targets end and are slow; they are the reason for a check.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::reach::state::{State, Step};
///
/// let now = Duration::from_secs(60);
/// let addresses = ["10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap()];
/// let mut state = State::default();
/// state.on_failure(now, addresses[0]);
/// assert_eq!(state.next_step(now, 0), Step::Wait, "a single target may have ended");
/// state.on_failure(now, addresses[1]);
/// assert_eq!(state.next_step(now, 0), Step::Check);
/// assert!(state.on_reached_elsewhere(now) && state.is_cut_off());
/// assert!(state.on_response() && !state.is_cut_off());
/// ```
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The targets at which connections have failed since the last response on a new one, and when.
    failures: IndexMap<SocketAddr, Duration>,
    cut_off: bool,
    check_due: Duration,
    probe_due: Duration,
    search_due: Duration,
}

impl State {
    /// Records the first response on a new connection; returns whether this VM was cut off until now.
    pub fn on_response(&mut self) -> bool {
        self.failures.clear();
        std::mem::replace(&mut self.cut_off, false)
    }

    /// Records that a connection has failed.
    pub fn on_failure(&mut self, now: Duration, target: SocketAddr) {
        self.failures
            .retain(|_, at| now.saturating_sub(*at) < FAILURE_MEMORY);
        self.failures.insert(target, now);
    }

    /// Records that another VM reaches targets; returns whether this VM counts as cut off from now on.
    ///
    /// A response that has arrived meanwhile rules it out.
    pub fn on_reached_elsewhere(&mut self, now: Duration) -> bool {
        let is_new = !self.cut_off && self.failures.len() >= MIN_FAILED;
        if is_new {
            self.cut_off = true;
            self.probe_due = now + PROBE_INTERVAL;
            self.search_due = now + SEARCH_INTERVAL;
        }
        is_new
    }

    /// Returns whether this VM reaches no target, while others do.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Returns what is to be done next, while `relays` VMs can relay; each step is returned once when it is due.
    pub fn next_step(&mut self, now: Duration, relays: usize) -> Step {
        if self.cut_off {
            return self.next_step_cut_off(now, relays);
        }
        if self.failures.len() < MIN_FAILED || now < self.check_due {
            return Step::Wait;
        }
        self.check_due = now + CHECK_INTERVAL;
        Step::Check
    }

    fn next_step_cut_off(&mut self, now: Duration, relays: usize) -> Step {
        if now >= self.search_due && relays < MIN_RELAYS {
            self.search_due = now + SEARCH_INTERVAL;
            return Step::FindRelays;
        }
        if now >= self.probe_due {
            self.probe_due = now + PROBE_INTERVAL;
            return Step::Probe;
        }
        Step::Wait
    }
}
