//! What a dispatcher is told and what it answers.

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
    quota::{Quota, TargetQueue},
    rates::RateReport,
};
use crate::{
    catalogue::{ServiceId, Target, TargetHash, TargetId, Warmup},
    fleet::VmId,
    owner::record::{Fence, KeyRange, Record, RequestKey},
    target::Rate,
};

/// The number of a request; never used twice.
pub type Ticket = u64;

/// A request that asks for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// Its number.
    pub ticket: Ticket,
    /// The service.
    pub service: ServiceId,
    /// The key, where the service's keys have owners.
    pub point: Option<RequestKey>,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// When it came.
    pub received_at: Duration,
    /// When an answer is worth less.
    pub goal: Duration,
    /// When an answer is worth nothing.
    pub deadline: Duration,
    /// Targets that it was sent to already.
    pub tried: Vec<TargetId>,
    /// Owners that said that they don't hold its key, with the fences at which they were asked.
    pub misdirected: Vec<(TargetId, Fence)>,
    /// Whether its answer is large.
    pub large: bool,
    /// Whether it draws on the budget for repeats.
    pub is_retry: bool,
}

impl DispatchRequest {
    /// Returns whether a range's owner has refused the request at its present fence.
    pub(super) fn refused_by(&self, part: &KeyRange) -> bool {
        let Some(owner) = &part.owner else {
            return false;
        };
        let mut asked = self.misdirected.iter();
        asked.any(|(id, fence)| *id == owner.id && *fence == part.fence)
    }
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for a target.
    Request(DispatchRequest),
    /// A request that was sent has ended.
    Completed {
        /// Its target.
        target: TargetId,
        /// Its end.
        completion: Completion,
    },
    /// A target's answer named the rate to which it asks to be held, or none.
    Rate(TargetId, Option<Rate>),
    /// A request that waits was given up by its caller.
    Cancelled(Ticket),
    /// The announced targets, the owners of keys and the number of VMs are these.
    View(Rc<FleetView>),
    /// The manager has told of other VMs.
    Sync(SyncUpdate),
    /// Time passed.
    Tick,
}

/// What the manager tells a VM of the others; targets that are missing have and get nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncUpdate {
    /// Other VMs' requests by target.
    pub others: HashMap<TargetHash, u32>,
    /// What may be sent to busy targets.
    pub quotas: HashMap<TargetHash, Quota>,
    /// The time until the manager's next word.
    pub sync_interval: Duration,
    /// The rates that targets have named to any VM.
    pub rates: Vec<RateReport>,
}

/// What a dispatcher has under way, for other VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Requests at each target.
    pub in_flight: Vec<(TargetHash, u32)>,
    /// Sums in seconds and counts of service times without waiting.
    pub service_times: Vec<(TargetHash, f64, u32)>,
    /// What waits for busy targets.
    pub queues: Vec<TargetQueue>,
    /// The rates that targets have named.
    pub rates: Vec<RateReport>,
}

/// What a dispatcher is told of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Targets that may be sent work, by service.
    pub targets: IndexMap<ServiceId, Vec<Target>>,
    /// Owners by service.
    pub records: IndexMap<ServiceId, Rc<Record>>,
    /// The names of the VMs.
    pub vms: Vec<VmId>,
    /// Services all of whose targets stand in evacuated failure domains.
    pub evacuated: HashSet<ServiceId>,
    /// Until when targets are cold, or may be.
    pub cold: IndexMap<TargetId, Duration>,
    /// What cold targets bear, by service.
    pub warmups: IndexMap<ServiceId, Warmup>,
}

/// What a decision rested on, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Basis {
    /// The target that was looked at, if there was one.
    pub target: TargetId,
    /// The request's key, where its service has owners.
    pub point: Option<RequestKey>,
    /// How many requests were probably there.
    pub depth: f64,
    /// How long an answer would probably have taken.
    pub expected: Duration,
    /// How often the target ends a request while it is busy; zero without a target.
    pub completion_interval: Duration,
    /// How old the manager's word on other VMs' requests was; none without one.
    pub age: Option<Duration>,
    /// The fence of the target's ownership of the key; 0 where keys have no owners.
    pub fence: Fence,
    /// The rate to which the target asks to be held, if it does.
    pub rate: Option<Rate>,
    /// How the budget for repeats stood, where the request drew on it.
    pub budget: Option<Balance>,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = self
            .age
            .map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string());
        write!(
            f,
            "{} depth={:.1} expected_ms={} age_ms={age} fence={}",
            self.target,
            self.depth,
            self.expected.as_millis(),
            self.fence
        )?;
        if let Some(rate) = self.rate {
            write!(f, " rate={rate}")?;
        }
        match &self.budget {
            Some(budget) => write!(f, " {budget}"),
            None => Ok(()),
        }
    }
}

/// What a dispatcher decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request there.
    Send {
        /// The request.
        ticket: Ticket,
        /// The target.
        target: Target,
        /// What the decision rests on.
        basis: Basis,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: RefusalReason,
        /// When a place is likely free.
        retry_after: Duration,
        /// What the decision rests on.
        basis: Basis,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The service has no target that can be reached.
    NoTarget,
    /// All targets of the service stand in failure domains that operators have evacuated.
    Evacuated,
    /// Its key has no owner that can be reached.
    NoOwner,
    /// Its key's owner has refused it, though it may hold the key by now.
    Moved,
    /// No answer is expected in time.
    Late,
    /// No answer is expected within the route's goal, and others wait that can still have one.
    Goal,
    /// The target that could serve it is held to a rate, and others send there.
    Rate,
    /// The budget for repeats is spent.
    Budget,
    /// Too many wait here.
    Full,
}

impl RefusalReason {
    /// Returns the reason as logs and callers read it.
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
            Self::Budget => "budget",
            Self::Full => "full",
        }
    }
}
