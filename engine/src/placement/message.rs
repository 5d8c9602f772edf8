//! The dispatcher's events, decisions and snapshots.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;

pub use super::completion::{Completion, CompletionKind};
use super::{
    budget::Balance,
    hold_offs::HoldOffReport,
    quota::{Quota, TargetQueue},
    rates::RateReport,
};
use crate::{
    catalogue::{Rate, ServiceId, Target, TargetHash, TargetId, VmId, Warmup},
    owner::record::{Fence, KeyRange, Record, RequestKey},
};

/// The number of a request; never reused.
pub type Ticket = u64;

/// A request for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// The request's number.
    pub ticket: Ticket,
    /// The service.
    pub service: ServiceId,
    /// The key, if the service's keys have owners.
    pub key: Option<RequestKey>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// When the request was received.
    pub received_at: Duration,
    /// When the route's goal ends; a later response is worth less.
    pub goal: Duration,
    /// When the request times out; a later response is useless.
    pub deadline: Duration,
    /// Targets that the request was already sent to.
    pub tried: Vec<TargetId>,
    /// Owners that refused the request because they don't hold the key, each with its fence when the request was sent.
    pub misdirected: Vec<(TargetId, Fence)>,
    /// When a target in the own failure domain must be expected to respond to be preferred, if the response is large.
    pub local_until: Option<Duration>,
    /// When the caller stops waiting, if a late response is worth a slot; `None` if hardly.
    pub late_until: Option<Duration>,
    /// What it means for the retry budget.
    pub charge: Charge,
}

/// What an attempt of a caller's request means for the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// It is the first one, so the request is counted.
    Request,
    /// It follows attempts that sent nothing to any target; the request has been counted.
    Nothing,
    /// An earlier attempt may have reached a target, so this one is a retry.
    Retry,
}

impl DispatchRequest {
    /// Returns whether the owner of a range has refused the request at its current fence.
    pub(super) fn refused_by(&self, range: &KeyRange) -> bool {
        let Some(owner) = &range.owner else {
            return false;
        };
        let mut refusals = self.misdirected.iter();
        refusals.any(|(id, fence)| *id == owner.id && *fence == range.fence)
    }
}

/// An event for the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request needs a target.
    Request(DispatchRequest),
    /// A request that was sent has ended.
    Completed {
        /// The target.
        target: TargetId,
        /// How the request ended.
        completion: Completion,
    },
    /// A target's response asks for a rate limit, or for none.
    Rate(TargetId, Option<Rate>),
    /// A target has refused a request, and wants none from this VM for this time.
    HoldOff(TargetId, Duration),
    /// The caller of a queued request has left.
    Cancelled(Ticket),
    /// The announced targets, the owners of keys or the list of VMs have changed.
    View(Rc<FleetView>),
    /// The manager's sync response has arrived.
    Sync(SyncUpdate),
    /// Targets that could not be reached may be reachable now, or through other VMs.
    PathsChanged,
    /// Time has passed.
    Tick,
}

/// The manager's sync response. Targets without an entry have no requests of other VMs, and no quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncUpdate {
    /// Other VMs' in-flight requests by target.
    pub others: HashMap<TargetHash, u32>,
    /// This VM's quotas at busy targets.
    pub quotas: HashMap<TargetHash, Quota>,
    /// The time until the next sync exchange.
    pub sync_interval: Duration,
    /// The rate limits that targets have reported to any VM.
    pub rates: Vec<RateReport>,
    /// VMs that run though the store may not list them; only the manager knows them.
    pub exchanging: Vec<VmId>,
    /// Among how many VMs the manager divides the slack of the retry budget; 0 if it doesn't say.
    pub vms_sharing: usize,
}

/// The load and rate limits that this VM reports to the manager for the other VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// In-flight requests by target.
    pub in_flight: Vec<(TargetHash, u32)>,
    /// Service times without queueing: the sum in seconds and the count, by target.
    pub service_times: Vec<(TargetHash, f64, u32)>,
    /// Requests that are queued for busy targets.
    pub queues: Vec<TargetQueue>,
    /// The rate limits that targets have reported.
    pub rates: Vec<RateReport>,
    /// The targets that want no requests from this VM.
    pub hold_offs: Vec<HoldOffReport>,
    /// How many VMs this one knows to run or to have run recently.
    pub vms_known: usize,
}

/// A target that says that it leaves, and may still own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingOwner {
    /// The target.
    pub target: Target,
    /// Until when it may get requests for its keys.
    pub until: Duration,
}

/// The dispatcher's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Targets that accept new requests, by service.
    pub targets: IndexMap<ServiceId, Vec<Target>>,
    /// Targets that say that they leave; they may get requests for keys that they own, and no others.
    pub leaving_owners: Vec<LeavingOwner>,
    /// The owners of keys, by service.
    pub records: IndexMap<ServiceId, Rc<Record>>,
    /// The names of the VMs.
    pub vms: Vec<VmId>,
    /// Services all of whose targets are in evacuated failure domains.
    pub evacuated: HashSet<ServiceId>,
    /// The targets that are or may be cold, and until when.
    pub cold: IndexMap<TargetId, Duration>,
    /// The warm-up limits of cold targets, by service.
    pub warmups: IndexMap<ServiceId, Warmup>,
}

/// The data behind a decision, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Basis {
    /// The target that was considered, if any.
    pub target: TargetId,
    /// The request's key, if the service has owners.
    pub key: Option<RequestKey>,
    /// The estimated number of requests at the target.
    pub depth: f64,
    /// The expected response time.
    pub expected: Duration,
    /// The time that one request is taken to need at the target, without waiting.
    pub service_time: Duration,
    /// The age of that measurement; `None` if this VM has none.
    pub measured_age: Option<Duration>,
    /// For how long requests have been queued for the target; `None` if none are.
    pub queue_age: Option<Duration>,
    /// How many requests past their goal are queued for the target before this one.
    pub late_ahead: u32,
    /// The time between two completions at a busy target; zero without a target.
    pub completion_interval: Duration,
    /// The age of the last sync response; `None` before the first one.
    pub sync_age: Option<Duration>,
    /// The fence of the target's ownership of the key; 0 if keys have no owners.
    pub fence: Fence,
    /// For how long it was queued for targets with free slots, as far as this VM knew.
    pub idle_wait: Duration,
    /// The rate limit that the target asks for, in requests per second.
    pub rate: Option<Rate>,
    /// The state of the retry budget, if the request was charged to it.
    pub budget: Option<Balance>,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = self
            .sync_age
            .map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string());
        write!(
            f,
            "{} depth={:.1} expected_ms={} age_ms={age} fence={}",
            self.target,
            self.depth,
            self.expected.as_millis(),
            self.fence
        )?;
        if !self.service_time.is_zero() {
            write!(f, " service_ms={}", self.service_time.as_millis())?;
        }
        if let Some(age) = self.measured_age {
            write!(f, " measured_ms={}", age.as_millis())?;
        }
        if let Some(age) = self.queue_age {
            write!(f, " queue_ms={}", age.as_millis())?;
        }
        if !self.idle_wait.is_zero() {
            write!(f, " idle_ms={}", self.idle_wait.as_millis())?;
        }
        if self.late_ahead > 0 {
            write!(f, " late_ahead={}", self.late_ahead)?;
        }
        if let Some(rate) = self.rate {
            write!(f, " rate={rate}")?;
        }
        match &self.budget {
            Some(budget) => write!(f, " {budget}"),
            None => Ok(()),
        }
    }
}

/// A decision of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request.
    Send {
        /// The request's number.
        ticket: Ticket,
        /// The target.
        target: Target,
        /// The data behind the decision.
        basis: Basis,
    },
    /// Refuse the request.
    Refuse {
        /// The request's number.
        ticket: Ticket,
        /// The reason.
        reason: RefusalReason,
        /// How long it takes until a slot is likely to be free.
        retry_after: Duration,
        /// The data behind the decision.
        basis: Basis,
    },
}

/// The reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The service has no reachable target.
    NoTarget,
    /// All targets of the service are in failure domains that operators have evacuated.
    Evacuated,
    /// The key has no reachable owner.
    NoOwner,
    /// The key's owner has refused the request, although it may hold the key by now.
    Moved,
    /// No response is expected before the deadline.
    Late,
    /// No response is expected within the route's goal, and other queued requests can still meet theirs.
    Goal,
    /// The target that could serve the request is rate-limited, and other VMs send to it.
    Rate,
    /// The targets that could serve the request have refused others, and want none from this VM for a while.
    HoldOff,
    /// The retry budget is exhausted.
    Budget,
    /// This VM's queue is full.
    Full,
    /// This VM doesn't know any more which targets there are.
    NoNews,
    /// This VM's process is about to end.
    Stopping,
}

impl RefusalReason {
    /// Returns the name of the reason in logs and in responses to callers.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::placement::dispatch::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::Late.name(), "late");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::Evacuated => "evacuated",
            Self::NoOwner => "no-owner",
            Self::Moved => "moved",
            Self::Late => "late",
            Self::Goal => "goal",
            Self::Rate => "rate",
            Self::HoldOff => "hold-off",
            Self::Budget => "budget",
            Self::Full => "full",
            Self::NoNews => "no-news",
            Self::Stopping => "stopping",
        }
    }
}
