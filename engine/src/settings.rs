//! What one process is told about itself and its surroundings.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;

use crate::{
    catalogue::DomainId,
    fleet::VmId,
    owner::ownership,
    placement::{budget::Allowance, warmup::BurstAllowance},
};

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
    pub retry_budget: Allowance,
    /// What all VMs together may send to a cold target.
    pub burst_allowance: BurstAllowance,
    /// What the VM can do as the manager, in thousandths of a core.
    pub power: u32,
    /// What the platform sets for leases and holds.
    pub lease_limits: LeaseLimits,
    /// The least grave kind of line that is logged.
    pub log_level: LevelFilter,
}

/// How long the manager's lease lasts, if the store allows it.
///
/// With a renewal each quarter of it, two lost renewals are borne. Until a lost manager's lease has ended
/// no busy key moves and no dark target's keys get an owner.
const LEASE: Duration = Duration::from_millis(1200);
/// The longest lease, however many VMs there are: keys are to be served again within 4 s of a loss.
const LEASE_MOST: Duration = Duration::from_secs(3);
/// How long it takes from the end of a manager's lease until another has renewed the grants: bids, a
/// record read and written, one call to each target.
const TAKEOVER: Duration = Duration::from_millis(600);
/// The hold of a grant while the manager can't renew its lease, if the platform allows it.
///
/// An outage of the store of some 9 s then costs no key its owner, also when the manager goes in it.
/// The keys of a target that falls silent soon after a takeover wait for its end.
const HOLD_ALONE: Duration = Duration::from_secs(10);
/// How many renewals fit into a hold; when the next is due, enough of it is left to replace the
/// manager.
const RENEWALS: u32 = 5;
/// How long after its lease a manager's last grant may hold, beyond a hold that began at its end.
///
/// With holds of 10 s an outage of 14 s costs no key its owner while the manager lives. The keys of a
/// target that falls silent at the moment of a takeover wait for all of it.
const BEYOND_HOLD: Duration = Duration::from_secs(2);

/// From how many VMs on the manager's lease, and the pause between their words to it, grow in
/// proportion to them.
///
/// At the usual pause 600 words a second reach the manager then. With more, it needs longer to renew all grants
/// than a lease that fits few VMs lasts.
pub(crate) const BASELINE_VMS: u32 = 24;

/// What the platform sets for leases and holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// The shortest lease that the store gives.
    pub min_lease: Duration,
    /// The longest hold that a grant may have.
    pub max_grant: Duration,
}

impl LeaseLimits {
    /// Returns the spans of the manager's lease and of grants for so many VMs.
    ///
    /// A hold outlasts the replacement of a manager that is lost when a renewal was just due, and is no
    /// longer, since the keys of a target that falls silent wait for its end.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::settings::LeaseLimits;
    ///
    /// let ms = Duration::from_millis;
    /// let spans = |min_lease, max_grant| LeaseLimits { min_lease, max_grant };
    /// assert_eq!(spans(ms(1000), ms(10_000)).timing(8).grant_duration, ms(2250));
    /// assert_eq!(spans(ms(1000), ms(10_000)).timing(60).lease, ms(3000));
    /// assert_eq!(spans(ms(3000), ms(10_000)).timing(8).grant_duration, ms(4500));
    /// assert_eq!(spans(ms(1000), ms(1000)).timing(8).grant_duration, ms(1000));
    /// ```
    pub fn timing(&self, vms: usize) -> ownership::Timing {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX).max(BASELINE_VMS);
        let lease = (LEASE * vms / BASELINE_VMS).min(LEASE_MOST);
        let lease = lease.max(self.min_lease);
        let grant_duration = ((lease + TAKEOVER) * RENEWALS / (RENEWALS - 1)).min(self.max_grant);
        let outage_duration = HOLD_ALONE.min(self.max_grant);
        ownership::Timing {
            lease,
            grant_duration,
            outage_duration,
            renew_interval: grant_duration / RENEWALS,
            latest_expiry: outage_duration + BEYOND_HOLD,
        }
    }
}
