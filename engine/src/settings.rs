//! What one process is told about itself and its surroundings.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;

use crate::{catalogue::DomainId, fleet::VmId, owner::keeper, place::budget::Allowance};

/// The settings of one process; an adapter reads them from its file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The VM's name.
    pub name: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where other VMs reach it.
    pub peers: SocketAddr,
    /// Other VMs to ask while neither the store nor the manager is known.
    pub seeds: Vec<SocketAddr>,
    /// Where counters and latencies are served as text.
    pub metrics: SocketAddr,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// What the engine's own keys in the store begin with.
    pub prefix: String,
    /// How long a process that is told to stop may take.
    pub grace: Duration,
    /// What all VMs together may send again.
    pub allowance: Allowance,
    /// The longest hold that a grant may have.
    pub hold_most: Duration,
    /// The least grave kind of line that is logged.
    pub log_level: LevelFilter,
}

/// The hold of a grant, if the platform allows it.
///
/// Longer than it takes to replace a lost manager (a lease of 2 s and some 0.4 s) after a renewal that
/// was just due, and no longer, since the keys of a target that falls silent wait for its end.
const HOLD: Duration = Duration::from_millis(3200);
/// The hold of a grant while the manager can't renew its lease, if the platform allows it.
///
/// An outage of the store of some 9 s then costs no key its owner, also when the manager goes in it.
/// The keys of a target that falls silent soon after a takeover wait for its end.
const HOLD_ALONE: Duration = Duration::from_secs(10);
/// How many renewals fit into a hold: 2.4 s are left of one when the next is due.
const RENEWALS: u32 = 5;
/// How long after its lease a manager's last grant may hold, beyond a hold that began at its end.
///
/// With holds of 10 s an outage of 14 s costs no key its owner while the manager lives. The keys of a
/// target that falls silent at the moment of a takeover wait for all of it.
const BEYOND_HOLD: Duration = Duration::from_secs(2);

impl Settings {
    /// Returns the spans by which grants are kept.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::settings::timing;
    ///
    /// assert_eq!(timing(Duration::from_secs(10)).hold, Duration::from_millis(3200));
    /// assert_eq!(timing(Duration::from_secs(1)).hold, Duration::from_secs(1));
    /// ```
    pub fn timing(&self) -> keeper::Timing {
        timing(self.hold_most)
    }
}

/// Returns the spans by which grants are kept under a longest hold.
///
/// # Example
///
/// See [`Settings::timing`].
pub fn timing(hold_most: Duration) -> keeper::Timing {
    let hold = HOLD.min(hold_most);
    let hold_alone = HOLD_ALONE.min(hold_most);
    keeper::Timing {
        hold,
        hold_alone,
        renew: hold / RENEWALS,
        horizon: hold_alone + BEYOND_HOLD,
    }
}
