//! The settings of one process, and the durations of leases and grants that follow from them.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;

use crate::{
    capacity::Capacity,
    catalogue::DomainId,
    fleet::{KnowledgeLimits, VmId},
    owner::ownership,
    placement::{budget::RetryAllowance, warmup::BurstAllowance},
};

/// The settings of one process; an adapter reads them from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The VM's name.
    pub name: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address of the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The address that other VMs connect to.
    pub peers: SocketAddr,
    /// Other VMs to contact while neither the store nor the manager is reachable.
    pub seeds: Vec<SocketAddr>,
    /// The address that serves counters and latencies as text.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The prefix of the engine's own keys in the store.
    pub prefix: String,
    /// The most requests of a caller's connection that are open at once.
    pub open_requests: usize,
    /// How long a shutdown may take.
    pub grace: Duration,
    /// The budget for the retries of all VMs together.
    pub retry_budget: RetryAllowance,
    /// The amount by which the requests of all VMs together may exceed a cold target's rate.
    pub burst_allowance: BurstAllowance,
    /// What the process may take of its VM.
    pub capacity: Capacity,
    /// The VM's capacity as the manager, in thousandths of a core.
    pub capacity_millicores: u32,
    /// The platform's limits for leases and grants.
    pub lease_limits: LeaseLimits,
    /// How old a VM's knowledge of the store may be.
    pub knowledge_limits: KnowledgeLimits,
    /// The lowest severity that is logged.
    pub log_level: LevelFilter,
}

/// How long the manager's lease lasts with up to [`BASELINE_VMS`] VMs, if the store allows it.
///
/// It is renewed after each quarter, so it survives two lost renewals. Until the lease of a failed manager
/// has ended, no hot key moves and the keys of an unresponsive target get no new owner.
const BASE_LEASE: Duration = Duration::from_millis(1200);
/// The longest lease for any number of VMs: keys must be served again within 4 s of a failure.
const MAX_LEASE: Duration = Duration::from_secs(3);
/// How long it takes from the end of a manager's lease until its successor has renewed the grants: bids for
/// the lease, reading and writing a record, and one call to each target.
const TAKEOVER_TIME: Duration = Duration::from_millis(600);
/// The duration of a grant while the manager can't renew its lease, if the platform allows it.
///
/// Every key then keeps its owner in a store outage of about 9 s, even if the manager fails during it.
/// In return, the keys of a target that becomes unresponsive soon after a takeover get no new owner until the
/// grant ends.
const OUTAGE_GRANT_TIME: Duration = Duration::from_secs(10);
/// The number of renewals within the duration of a grant; when the next one is due, enough time is left to
/// replace the manager.
const RENEWALS_PER_GRANT: u32 = 5;
/// How much later than a grant made at the end of the manager's lease its last grant may expire.
///
/// With grants of 10 s, every key keeps its owner in a store outage of 14 s while the manager runs. In return,
/// the keys of a target that becomes unresponsive at the moment of a takeover get no new owner for all of it.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// The number of VMs above which the manager's lease and the interval of their sync requests grow in
/// proportion to the number.
///
/// At this number and the shortest interval, 600 sync requests per second reach the manager. With more VMs, it
/// would take longer to renew all grants than the base lease lasts.
pub(crate) const BASELINE_VMS: u32 = 24;

/// The platform's limits for leases and grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// The shortest lease that the store grants.
    pub min_lease: Duration,
    /// The longest duration that a grant may have.
    pub max_grant: Duration,
}

impl LeaseLimits {
    /// Returns the durations of the manager's lease and of its grants for a number of VMs.
    ///
    /// A grant outlasts the replacement of a manager that fails just when a renewal is due. It is no longer
    /// than that, because the keys of a target that becomes unresponsive get no new owner until it ends.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::settings::LeaseLimits;
    ///
    /// let ms = Duration::from_millis;
    /// let limits = |min_lease, max_grant| LeaseLimits { min_lease, max_grant };
    /// assert_eq!(limits(ms(1000), ms(10_000)).timing(8).grant_duration, ms(2250));
    /// assert_eq!(limits(ms(1000), ms(10_000)).timing(60).lease, ms(3000));
    /// assert_eq!(limits(ms(3000), ms(10_000)).timing(8).grant_duration, ms(4500));
    /// assert_eq!(limits(ms(1000), ms(1000)).timing(8).grant_duration, ms(1000));
    /// ```
    pub fn timing(&self, vms: usize) -> ownership::Timing {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX).max(BASELINE_VMS);
        let lease = (BASE_LEASE * vms / BASELINE_VMS).min(MAX_LEASE);
        let lease = lease.max(self.min_lease);
        let grant_duration = ((lease + TAKEOVER_TIME) * RENEWALS_PER_GRANT
            / (RENEWALS_PER_GRANT - 1))
            .min(self.max_grant);
        let outage_duration = OUTAGE_GRANT_TIME.min(self.max_grant);
        ownership::Timing {
            lease,
            grant_duration,
            outage_duration,
            renew_interval: grant_duration / RENEWALS_PER_GRANT,
            latest_expiry: outage_duration + EXPIRY_MARGIN,
        }
    }
}
