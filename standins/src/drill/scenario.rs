//! What a drill does to its fleet, as data.

/// One thing that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The target is killed.
    KillTarget,
    /// The grantor is killed.
    KillGrantor,
    /// Another grantor is killed.
    KillSecondGrantor,
    /// All VMs and targets of a domain are killed.
    KillDomain,
    /// The target is frozen.
    FreezeTarget,
    /// The grantor is frozen.
    FreezeGrantor,
    /// What was frozen goes on.
    Resume,
    /// The platform's service goes down.
    PlatformDown,
    /// The platform's service comes back.
    PlatformUp,
    /// Nothing gets to the target, or back, or both.
    BlockTarget {
        /// Requests don't get there.
        requests: bool,
        /// Answers don't get back.
        answers: bool,
    },
    /// The grantor is cut off from VMs and targets; the platform still reaches it.
    IsolateGrantor,
    /// Cuts are mended.
    Unblock,
    /// The target says that it drains.
    DrainTarget,
    /// The document says that the target leaves.
    LeaveTarget,
    /// The grantor is stopped as planned.
    StopGrantor,
    /// A request that crashes each target that runs it is sent again and again.
    Crash,
}

/// A named course of steps.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What happens, in order.
    pub steps: &'static [Step],
    /// Whether its keys are the lost domain's, not only the lost target's.
    pub whole_domain: bool,
}

impl Scenario {
    /// Returns whether it needs forwarders before VMs and targets.
    pub fn needs_forwarders(&self) -> bool {
        self.steps.contains(&Step::Unblock)
    }
}

const fn scenario(name: &'static str, steps: &'static [Step]) -> Scenario {
    Scenario {
        name,
        steps,
        whole_domain: false,
    }
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    scenario("nothing", &[Step::Wait(5_000)]),
    scenario("target", &[Step::KillTarget, Step::Wait(6_000)]),
    scenario("grantor", &[Step::KillGrantor, Step::Wait(6_000)]),
    scenario(
        "target-and-grantor",
        &[Step::KillTarget, Step::KillGrantor, Step::Wait(8_000)],
    ),
    scenario(
        "grantor-then-target",
        &[
            Step::KillGrantor,
            Step::Wait(500),
            Step::KillTarget,
            Step::Wait(8_000),
        ],
    ),
    scenario(
        "two-grantors",
        &[
            Step::KillGrantor,
            Step::KillSecondGrantor,
            Step::Wait(8_000),
        ],
    ),
    Scenario {
        name: "domain",
        steps: &[Step::KillDomain, Step::Wait(8_000)],
        whole_domain: true,
    },
    scenario(
        "outage",
        &[
            Step::PlatformDown,
            Step::Wait(6_000),
            Step::PlatformUp,
            Step::Wait(2_000),
        ],
    ),
    // It takes ten minutes; a longer `--period-ms` keeps its logs small.
    scenario(
        "long-outage",
        &[
            Step::PlatformDown,
            Step::Wait(600_000),
            Step::PlatformUp,
            Step::Wait(2_000),
        ],
    ),
    scenario(
        "outage-target",
        &[
            Step::PlatformDown,
            Step::Wait(3_000),
            Step::KillTarget,
            Step::Wait(6_000),
            Step::PlatformUp,
            Step::Wait(2_000),
        ],
    ),
    scenario(
        "outage-grantor",
        &[
            Step::PlatformDown,
            Step::Wait(3_000),
            Step::KillGrantor,
            Step::Wait(6_000),
            Step::PlatformUp,
            Step::Wait(2_000),
        ],
    ),
    scenario(
        "outage-target-and-grantor",
        &[
            Step::PlatformDown,
            Step::Wait(3_000),
            Step::KillTarget,
            Step::KillGrantor,
            Step::Wait(5_000),
            Step::PlatformUp,
            Step::Wait(6_000),
        ],
    ),
    scenario(
        "freeze-target",
        &[
            Step::FreezeTarget,
            Step::Wait(4_000),
            Step::Resume,
            Step::Wait(4_000),
        ],
    ),
    scenario(
        "freeze-target-briefly",
        &[
            Step::FreezeTarget,
            Step::Wait(600),
            Step::Resume,
            Step::Wait(4_000),
        ],
    ),
    scenario(
        "freeze-grantor",
        &[
            Step::FreezeGrantor,
            Step::Wait(4_000),
            Step::Resume,
            Step::Wait(4_000),
        ],
    ),
    scenario(
        "cut-target",
        &[
            Step::BlockTarget {
                requests: true,
                answers: true,
            },
            Step::Wait(4_000),
            Step::Unblock,
            Step::Wait(4_000),
        ],
    ),
    scenario(
        "cut-target-answers",
        &[
            Step::BlockTarget {
                requests: false,
                answers: true,
            },
            Step::Wait(4_000),
            Step::Unblock,
            Step::Wait(4_000),
        ],
    ),
    scenario(
        "isolate-grantor",
        &[
            Step::IsolateGrantor,
            Step::Wait(5_000),
            Step::Unblock,
            Step::Wait(4_000),
        ],
    ),
    scenario("drain-target", &[Step::DrainTarget, Step::Wait(8_000)]),
    scenario("leave-target", &[Step::LeaveTarget, Step::Wait(8_000)]),
    scenario("stop-grantor", &[Step::StopGrantor, Step::Wait(4_000)]),
    scenario("crashing-request", &[Step::Crash, Step::Wait(6_000)]),
];
