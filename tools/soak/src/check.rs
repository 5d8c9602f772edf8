//! Checks the observations of a run for violated guarantees, without any I/O.
//!
//! The guarantees concern requests, owners of keys, configurations, evacuated and cold targets, the memory of the VMs'
//! processes, and recovery after faults. The times of configurations, and requests to evacuated or cold targets, count
//! only for VMs that no fault disturbed.

use std::{fmt, time::Duration};

use bramleypier_platform_standin::store;
use indexmap::IndexMap;

use crate::{
    budget::{self, Overtime, Peak},
    notices::{self, Notice, Stop},
};

/// The most memory that a VM's process may use, in bytes: the allowance of a node for control software.
pub const MEMORY_MAX_BYTES: u64 = 256 << 20;
/// The longest time for which two targets may own a key: each target measures the grant duration with its own clock.
pub const DOUBLE_OWNERSHIP_MAX: Duration = Duration::from_millis(50);
/// The longest time from the last fault until everything is served again.
pub const RECOVERY_MAX: Duration = Duration::from_secs(15);
/// The longest time from the acceptance of a configuration until it is in force on an undisturbed VM.
pub const IN_FORCE_MAX: Duration = Duration::from_secs(2);

/// The most requests that a cold target may get in a second, as in the stand-in's configuration.
pub const COLD_MAX_PER_S: usize = store::WARMUP_PER_S;

/// The time after which callers of VMs that are partitioned from all targets must be served like those of the others.
pub const STABILITY: Duration = Duration::from_secs(3);

/// Returns the most times that lie within a window of this length.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_soak::check;
///
/// let times = [0, 900, 1000, 1899].map(Duration::from_millis);
/// assert_eq!(check::most_within(&times, Duration::from_secs(1)), 3);
/// ```
pub fn most_within(times: &[Duration], window: Duration) -> usize {
    let counts = times.iter().map(|from| {
        let range = *from..*from + window;
        times.iter().filter(|at| range.contains(at)).count()
    });
    counts.max().unwrap_or(0)
}

/// How many requests were sent to VMs, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The requests that were sent.
    pub sent: usize,
    /// Those that were served.
    pub served: usize,
}

/// How callers were served while some VMs were partitioned from all targets, from [`STABILITY`] after its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionOutcome {
    /// At the partitioned VMs.
    pub partitioned: Tally,
    /// At the others.
    pub others: Tally,
}

impl PartitionOutcome {
    /// Returns whether callers of the partitioned VMs were served less than two thirds as often as the others, and more
    /// than ten and one in fifty were not.
    fn is_poor(&self) -> bool {
        let Self {
            partitioned,
            others,
        } = self;
        let failed = partitioned.sent - partitioned.served;
        failed > 10 + partitioned.sent / 50
            && 3 * partitioned.served * others.sent < 2 * others.served * partitioned.sent
    }
}

/// The outcome of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got a response.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether it is the complete response of a target to this request.
        valid: bool,
    },
    /// No byte of the request was sent.
    Unsent,
    /// The connection was closed without a complete response.
    Closed,
    /// The caller timed out.
    GivenUp,
    /// A response ahead of it on the connection announced the close, so it counts as not read.
    Unread,
    /// The response in its place names another request.
    Foreign,
}

/// A request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// The id of the request.
    pub id: String,
    /// Whether it may run at most once.
    pub once: bool,
    /// The service that its route goes to.
    pub service: &'static str,
    /// The number of the VM that it was sent to.
    pub vm: usize,
    /// When it was sent, by the clock of the run.
    pub sent: Duration,
    /// When the caller had the whole response; `None` if it got none.
    pub ended: Option<Duration>,
    /// Whether that response said that its target leaves.
    pub leaving: bool,
    /// How it ended.
    pub outcome: Outcome,
}

/// A report in a VM's log that a configuration is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The number of the VM.
    pub vm: usize,
    /// The number of the VM's processes that had ended before this one.
    pub start: usize,
    /// The version of the configuration.
    pub version: u32,
    /// The time since the configuration was accepted; `None` if the VM or the store was disturbed meanwhile.
    pub took: Option<Duration>,
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The requests of all callers.
    pub requests: Vec<RequestRecord>,
    /// How often each request ran, summed over all targets.
    pub executions: IndexMap<String, usize>,
    /// How often each request ran and got a failure in response.
    pub failures: IndexMap<String, usize>,
    /// The longest time for which two targets owned a key, by key.
    pub double_ownership: IndexMap<u64, Duration>,
    /// The configurations that came into force, in the order of the logs.
    pub in_force: Vec<InForce>,
    /// The newest version that the store accepted.
    pub newest_version: u32,
    /// The peak memory of each VM's process, in bytes.
    pub peak_memory: Vec<u64>,
    /// The VMs whose processes ended although the run had not stopped them.
    pub crashed_vms: Vec<usize>,
    /// The time from the last fault until everything was served again; `None` if it never was.
    pub recovery_time: Option<Duration>,
    /// Whether all steps of the plan were planned work.
    pub planned_only: bool,
    /// The targets that started a request during an evacuation of their failure domain, after the time allowed for it
    /// to take effect.
    pub used_while_evacuated: Vec<String>,
    /// The cold targets, with the most requests that they started within a second.
    pub cold_peaks: Vec<(String, usize)>,
    /// The targets that said that they leave or want no requests, with the requests that reached them.
    pub notices: Vec<Notice>,
    /// The times in which VMs' processes were suspended or started again.
    pub stops: Vec<Stop>,
    /// How callers were served during partitions of VMs from all targets.
    pub partitions: Vec<PartitionOutcome>,
    /// The window of each service that was nearest to the retry budget, by service.
    pub peaks: IndexMap<&'static str, Peak>,
    /// The requests that ran on more targets than their route allows.
    pub spread: Vec<String>,
    /// The attempts that gave a target more time than its caller had left.
    pub overtime: Overtime,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A request that may run at most once ran more often.
    RanTwice(String),
    /// A request was refused as not run, although it had run.
    FalseRefusal(String),
    /// A caller got a successful response that no target had sent for this request, or an incomplete one.
    WrongResponse(String),
    /// Planned work interrupted a request: it ran, but its caller got no response.
    Interrupted(String),
    /// Two targets owned a key for too long.
    TwoOwners(u64),
    /// A VM went back to an older configuration.
    ConfigWentBack(InForce),
    /// A configuration came into force too late.
    ConfigLate(InForce),
    /// The newest configuration never came into force on a VM.
    ConfigMissing(usize),
    /// A VM's process used too much memory.
    MemoryExceeded(usize),
    /// A VM's process ended although the run had not stopped it.
    ProcessEnded(usize),
    /// Not everything was served again in time after the last fault.
    NotRecovered,
    /// A target in an evacuated failure domain got a request.
    Evacuated(String),
    /// A cold target got more requests per second than its warm-up rate, given here.
    WarmupExceeded(String, usize),
    /// A target got these requests of a VM that knew that it wants none.
    Unwanted(String, Vec<String>),
    /// Callers of VMs that were partitioned from all targets were served far worse than those of the others.
    Unserved(PartitionOutcome),
    /// A service got more retries in some window than all VMs together may send.
    BudgetExceeded(&'static str, Peak),
    /// Too many requests ran on more targets than their routes allow.
    TooManyAttempts(Vec<String>),
    /// Targets were given more time than callers had left.
    Overtime(Overtime),
}

impl Violation {
    /// Returns whether a request did not end as its caller was told, whatever the load of the machine.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::check::Violation;
    ///
    /// assert!(Violation::RanTwice("1-1".to_owned()).breaks_a_promise());
    /// assert!(!Violation::NotRecovered.breaks_a_promise());
    /// ```
    pub fn breaks_a_promise(&self) -> bool {
        matches!(
            self,
            Self::RanTwice(_) | Self::FalseRefusal(_) | Self::WrongResponse(_)
        )
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Returns the guarantees that a run has violated.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_soak::check::{self, Observations, Violation};
///
/// let mut observations =
///     Observations { recovery_time: Some(Duration::ZERO), ..Observations::default() };
/// assert!(check::violations(&observations).is_empty());
/// observations.double_ownership.insert(7, Duration::from_secs(1));
/// assert_eq!(check::violations(&observations), [Violation::TwoOwners(7)]);
/// ```
pub fn violations(observations: &Observations) -> Vec<Violation> {
    let mut found: Vec<Violation> = observations
        .requests
        .iter()
        .filter_map(|request| check_request(observations, request))
        .collect();
    let overlaps = observations.double_ownership.iter();
    found.extend(
        overlaps
            .filter(|(_, duration)| **duration > DOUBLE_OWNERSHIP_MAX)
            .map(|(key, _)| Violation::TwoOwners(*key)),
    );
    found.extend(check_configurations(&observations.in_force));
    found.extend(missing_configurations(observations));
    let peak_memory = observations.peak_memory.iter().enumerate();
    found.extend(
        peak_memory
            .filter(|(_, bytes)| **bytes > MEMORY_MAX_BYTES)
            .map(|(vm, _)| Violation::MemoryExceeded(vm)),
    );
    let used_while_evacuated = observations.used_while_evacuated.iter().cloned();
    found.extend(used_while_evacuated.map(Violation::Evacuated));
    let cold_peaks = observations.cold_peaks.iter().cloned();
    found.extend(
        cold_peaks
            .filter(|(_, peak)| *peak > COLD_MAX_PER_S)
            .map(|(id, peak)| Violation::WarmupExceeded(id, peak)),
    );
    found.extend(observations.notices.iter().filter_map(|notice| {
        let ids = notices::unwanted(notice, &observations.stops);
        (!ids.is_empty()).then(|| Violation::Unwanted(notice.target.clone(), ids))
    }));
    let partitions = observations.partitions.iter();
    found.extend(
        partitions
            .filter(|it| it.is_poor())
            .map(|it| Violation::Unserved(*it)),
    );
    found.extend(check_budget(observations));
    found.extend(
        observations
            .crashed_vms
            .iter()
            .map(|vm| Violation::ProcessEnded(*vm)),
    );
    if observations
        .recovery_time
        .is_none_or(|duration| duration > RECOVERY_MAX)
    {
        found.push(Violation::NotRecovered);
    }
    found
}

/// Returns the violations by what was sent again.
fn check_budget(observations: &Observations) -> Vec<Violation> {
    let peaks = observations.peaks.iter();
    let exceeded = peaks.filter(|(_, peak)| peak.share() > 1.0);
    let mut found: Vec<Violation> = exceeded
        .map(|(service, peak)| Violation::BudgetExceeded(service, *peak))
        .collect();
    if observations.spread.len() > budget::SPREAD_MAX {
        found.push(Violation::TooManyAttempts(observations.spread.clone()));
    }
    if observations.overtime.is_too_much() {
        found.push(Violation::Overtime(observations.overtime));
    }
    found
}

/// Returns the violation by one request, if there is one.
fn check_request(observations: &Observations, request: &RequestRecord) -> Option<Violation> {
    let executions = observations
        .executions
        .get(&request.id)
        .copied()
        .unwrap_or(0);
    if request.once && executions > 1 {
        return Some(Violation::RanTwice(request.id.clone()));
    }
    let failures = observations.failures.get(&request.id).copied();
    // A success that no target has sent; a request with none of either may be one that is left out of the record.
    let only_failures = failures.is_some_and(|it| it >= executions);
    match request.outcome {
        Outcome::Answered {
            status: 200..300,
            valid,
        } => (!valid || only_failures).then(|| Violation::WrongResponse(request.id.clone())),
        Outcome::Foreign => Some(Violation::WrongResponse(request.id.clone())),
        Outcome::Unread if request.once && executions > 0 => {
            Some(Violation::FalseRefusal(request.id.clone()))
        }
        Outcome::Answered {
            status: 408 | 421 | 429 | 503,
            ..
        } if request.once && executions > 0 => Some(Violation::FalseRefusal(request.id.clone())),
        Outcome::Answered {
            status: 502 | 504, ..
        }
        | Outcome::Closed
            if observations.planned_only && executions > 0 =>
        {
            Some(Violation::Interrupted(request.id.clone()))
        }
        _ => None,
    }
}

/// Returns the VMs whose last process never had the newest configuration in force.
fn missing_configurations(observations: &Observations) -> Vec<Violation> {
    let last = |vm: usize| {
        let lines = observations.in_force.iter().filter(|line| line.vm == vm);
        lines.map(|line| (line.start, line.version)).max()
    };
    let vms = 0..observations.peak_memory.len();
    let is_behind =
        |vm: &usize| last(*vm).is_none_or(|(_, version)| version < observations.newest_version);
    vms.filter(is_behind)
        .map(Violation::ConfigMissing)
        .collect()
}

/// Returns the configurations that came into force late, or replaced a newer one.
fn check_configurations(lines: &[InForce]) -> Vec<Violation> {
    let mut highest_versions: IndexMap<(usize, usize), u32> = IndexMap::new();
    let mut found = Vec::new();
    for line in lines {
        let highest = highest_versions.entry((line.vm, line.start)).or_default();
        if line.version < *highest {
            found.push(Violation::ConfigWentBack(*line));
        }
        *highest = line.version.max(*highest);
        if line.took.is_some_and(|took| took > IN_FORCE_MAX) {
            found.push(Violation::ConfigLate(*line));
        }
    }
    found
}
