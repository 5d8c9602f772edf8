//! Plans of faults and planned work, generated from a seed.
//!
//! A seed always gives the same plan. One in four plans has planned work only.

mod broken_paths;
mod deployment;
mod exhaustion;
mod fault;
mod spoiled;
mod turned_away;

use std::{fmt, time::Duration};

use bramleypier_platform_standin::{server, store};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use self::fault::{DeploymentFault, Fault, VmSet};

use crate::{
    budget::Allowance,
    proxy::{Cut, Mode},
};

/// The time between the starts of two faults, in milliseconds; most faults last longer, so that several overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 150..1500;
/// The duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4000;
/// The duration of an evacuation.
const EVACUATION_TIME: Duration = Duration::from_secs(6);
/// The minimum time for which a target says something in its responses: longer than VMs may take to comply.
const NOTICE_TIME: Duration = Duration::from_secs(4);
/// The age of the copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 300..4000;
/// The duration of a partition: longer than VMs have to find another way.
const PARTITION_TIME: Duration = Duration::from_secs(7);
/// When the first partition starts: VMs count as disturbed for some time after their start.
const FIRST_PARTITION: Duration = Duration::from_secs(5);
/// How long a target stays cold after it has announced that.
pub const COLD_TIME: Duration = Duration::from_secs(4);
/// The pause between two requests of one caller, unless a plan sets another.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// The retry budget of the smaller deployments.
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60,
    window: Duration::from_secs(10),
};
/// The number of targets of each service.
pub const TARGETS_PER_SERVICE: usize = 3;

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The number of VMs.
    pub vms: usize,
    /// The time during which faults start, in seconds.
    pub seconds: u64,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The time from the start of the callers to the start of the step.
    pub at: Duration,
    /// How long it lasts; ignored by instantaneous faults and by faults with a fixed duration.
    pub duration: Duration,
    /// A fault or a piece of planned work.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at_ms={} span_ms={} fault={:?}",
            self.at.as_millis(),
            self.duration.as_millis(),
            self.fault
        )
    }
}

/// The services, targets and callers of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Two services of three targets each, which take any number of requests.
    Small,
    /// Those of [`crate::deployment`].
    Deployment,
}

/// The steps of a run, ordered by time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The size of the run.
    pub size: Size,
    /// The steps.
    pub steps: Vec<Step>,
    /// Whether the targets are in two failure domains, one of which is evacuated from time to time.
    pub evacuates: bool,
    /// Whether VMs reach every other target without a proxy.
    pub direct_targets: bool,
    /// The pause between two requests of one caller.
    pub pause: Duration,
    /// The retry budget that VMs are told, and that is checked.
    pub allowance: Allowance,
    /// Whether a further caller of each VM pipelines its requests.
    pub pipelines: bool,
    /// The services, targets and callers.
    pub shape: Shape,
}

impl Plan {
    /// Generates a plan.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Plan, Size};
    ///
    /// let plan = Plan::generate(1, Size { vms: 3, seconds: 20 });
    /// assert!(plan.steps.len() > 10);
    /// ```
    pub fn generate(seed: u64, size: Size) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        // One in four runs has planned work only, which must not interrupt any request.
        let planned_only = random.random_range(0..4) == 0;
        let mut at = 0;
        let mut steps = Vec::new();
        while at < size.seconds * 1000 {
            let fault = if planned_only {
                random_planned_work(&mut random, size)
            } else {
                random_fault(&mut random, size)
            };
            steps.push(Step {
                at: Duration::from_millis(at),
                duration: Duration::from_millis(random.random_range(FAULT_DURATION_MS)),
                fault,
            });
            at += random.random_range(FAULT_GAP_MS) * if planned_only { 4 } else { 1 };
        }
        Self::of_steps(size, steps)
    }

    /// Returns the plan with these steps, and with callers and targets as in most plans.
    fn of_steps(size: Size, steps: Vec<Step>) -> Self {
        Self {
            size,
            steps,
            evacuates: false,
            direct_targets: false,
            pause: REQUEST_PAUSE,
            allowance: ALLOWANCE,
            pipelines: false,
            shape: Shape::Small,
        }
    }

    /// Adds a caller to each VM that pipelines its requests.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Plan, Size};
    ///
    /// let size = Size { vms: 3, seconds: 20 };
    /// assert!(Plan::generate(1, size).with_pipelining().pipelines);
    /// ```
    #[must_use]
    pub fn with_pipelining(self) -> Self {
        Self {
            pipelines: true,
            ..self
        }
    }

    /// Generates the same plan, with additional evacuations of a failure domain and targets that become cold.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_evacuations(1, Size { vms: 3, seconds: 20 });
    /// assert!(plan.steps.iter().any(|step| step.fault == Fault::Evacuate));
    /// ```
    pub fn generate_with_evacuations(seed: u64, size: Size) -> Self {
        let mut plan = Self::generate(seed, size);
        plan.evacuates = true;
        // A generator of its own keeps the other steps of the seed as they are in `Plan::generate`.
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 32));
        let mut at = Duration::ZERO;
        while at < Duration::from_secs(size.seconds) {
            plan.steps.push(Step {
                at,
                duration: EVACUATION_TIME,
                fault: Fault::Evacuate,
            });
            plan.steps.push(Step {
                at: at + EVACUATION_TIME / 4,
                duration: COLD_TIME,
                fault: Fault::Cold(
                    TARGETS_PER_SERVICE + random.random_range(0..TARGETS_PER_SERVICE - 1),
                ),
            });
            at += EVACUATION_TIME + Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        }
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    /// Generates the same plan, with additional targets that say that they leave or want no requests.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_notices(1, Size { vms: 3, seconds: 20 });
    /// let is_notice = |fault| matches!(fault, Fault::TargetSaysLeaving(_) | Fault::TargetHoldsOff(_));
    /// assert!(plan.steps.iter().any(|step| is_notice(step.fault)));
    /// ```
    pub fn generate_with_notices(seed: u64, size: Size) -> Self {
        let mut plan = Self::generate(seed, size);
        // A generator of its own keeps the other steps of the seed as they are in `Plan::generate`.
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 33));
        let mut at = Duration::ZERO;
        while at < Duration::from_secs(size.seconds) {
            let target = random.random_range(0..2 * TARGETS_PER_SERVICE);
            let fault = if random.random() {
                Fault::TargetSaysLeaving(target)
            } else {
                Fault::TargetHoldsOff(target)
            };
            plan.steps.push(Step {
                at,
                duration: NOTICE_TIME + Duration::from_millis(random.random_range(FAULT_GAP_MS)),
                fault,
            });
            at += Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        }
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    /// Generates the same plan, with a store that comes back older time and again.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_older_stores(1, Size { vms: 3, seconds: 20 });
    /// assert!(plan.steps.iter().any(|step| matches!(step.fault, Fault::OlderStore(_))));
    /// ```
    pub fn generate_with_older_stores(seed: u64, size: Size) -> Self {
        let mut plan = Self::generate(seed, size);
        // A generator of its own keeps the other steps of the seed as they are in `Plan::generate`.
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 34));
        let mut at = Duration::from_secs(1);
        while at < Duration::from_secs(size.seconds) {
            let age = Duration::from_millis(random.random_range(COPY_AGE_MS));
            let duration = Duration::from_millis(random.random_range(FAULT_GAP_MS));
            plan.steps.push(Step {
                at,
                duration,
                fault: Fault::OlderStore(age),
            });
            // One copy at a time: the next is taken from what came back.
            at += age + duration + Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        }
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    /// Generates the same plan, with additional partitions of some VMs from all targets.
    ///
    /// The other faults of plans with an even seed concern targets and configurations only, so that VMs are disturbed
    /// by nothing else.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_partitions(1, Size { vms: 3, seconds: 20 });
    /// assert!(plan.steps.iter().any(|step| matches!(step.fault, Fault::Partition(..))));
    /// ```
    pub fn generate_with_partitions(seed: u64, size: Size) -> Self {
        let mut plan = Self::generate(seed, size);
        if seed.is_multiple_of(2) {
            plan.steps.retain(|step| step.fault.spares_vms());
        }
        // A generator of its own keeps the other steps of the seed as they are in `Plan::generate`.
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 35));
        let all: VmSet = (1 << size.vms.min(31)) - 1;
        let mut at = FIRST_PARTITION;
        while at < Duration::from_secs(size.seconds) {
            // One VM at least is in the set, and one isn't.
            let vms = random.random_range(1..all.max(2));
            let cut = match random.random_range(0..3) {
                0 => Cut::Hang,
                1 => Cut::Reset,
                _ => Cut::RefuseNew,
            };
            plan.steps.push(Step {
                at,
                duration: PARTITION_TIME,
                fault: Fault::Partition(vms, cut),
            });
            at += PARTITION_TIME + Duration::from_millis(random.random_range(FAULT_DURATION_MS));
        }
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    /// Returns how many VMs are started in the course of the run.
    pub(crate) fn spare_vms(&self) -> usize {
        let added =
            |step: &&Step| matches!(step.fault, Fault::OfDeployment(DeploymentFault::Add(_)));
        self.steps.iter().filter(added).count()
    }

    /// Returns the parameters in the VMs' settings.
    pub(crate) fn figures(&self) -> String {
        let Allowance {
            ratio,
            slack,
            window,
        } = self.allowance;
        let window = window.as_millis();
        format!(
            "grace=6s,hold-max=10000ms,budget-ratio={ratio},budget-window={window}ms,retry-slack={slack}"
        )
    }

    /// Returns whether all steps are planned work.
    pub fn is_planned(&self) -> bool {
        self.steps.iter().all(|step| step.fault.is_planned())
    }
}

fn random_planned_work(random: &mut SmallRng, size: Size) -> Fault {
    match random.random_range(0..4) {
        0 | 1 => Fault::Stop(random.random_range(0..size.vms)),
        2 => Fault::Configs(random.random_range(1..6)),
        _ => Fault::TargetLeaves(random.random_range(0..2 * TARGETS_PER_SERVICE)),
    }
}

fn random_fault(random: &mut SmallRng, size: Size) -> Fault {
    let vm = random.random_range(0..size.vms);
    let target = random.random_range(0..2 * TARGETS_PER_SERVICE);
    match random.random_range(0..16) {
        0 => Fault::Kill(vm),
        1 => Fault::Stop(vm),
        2 => Fault::StopAll,
        3 => Fault::Pause(vm),
        4 | 5 => Fault::StorePath(vm, random_mode(random)),
        6 | 7 => Fault::TargetPath(target, random_mode(random)),
        8 => Fault::Store(match random.random_range(0..4) {
            0 => store::Fault::Status(503),
            1 => store::Fault::Status(429),
            2 => store::Fault::Silent,
            _ => store::Fault::LoseAnswer,
        }),
        9 => Fault::Lapse,
        10 => Fault::Forget,
        11 => Fault::Configs(random.random_range(1..8)),
        12 | 13 => Fault::Target(target, random_target_fault(random)),
        14 => Fault::TargetEnds(target),
        _ => Fault::TargetLeaves(target),
    }
}

fn random_mode(random: &mut SmallRng) -> Mode {
    match random.random_range(0..5) {
        0 => Mode::Delay,
        1 => Mode::Reset,
        2 => Mode::CutThere,
        3 => Mode::CutBack,
        _ => Mode::Silent,
    }
}

fn random_target_fault(random: &mut SmallRng) -> server::Fault {
    match random.random_range(0..5) {
        0 => server::Fault::ForeignId,
        1 => server::Fault::Unsigned,
        2 => server::Fault::Refuse,
        3 => server::Fault::Fail,
        _ => server::Fault::LateGrants,
    }
}
