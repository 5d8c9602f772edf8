//! The scenarios of the drills, as lists of steps.

/// One action on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Waits for a time in milliseconds.
    Wait(u64),
    /// Kills the target under test.
    KillTarget,
    /// Kills a grantor of the target.
    KillGrantor,
    /// Kills a second grantor of the target.
    KillSecondGrantor,
    /// Kills all VMs and targets of the target's failure domain.
    KillDomain,
    /// Freezes the target.
    FreezeTarget,
    /// Freezes a grantor.
    FreezeGrantor,
    /// Resumes the frozen process.
    Resume,
    /// Takes the platform's key-value store down.
    PlatformDown,
    /// Brings the platform's key-value store back.
    PlatformUp,
    /// Blocks the traffic to the target, from it, or both.
    BlockTarget {
        /// Whether requests to the target are blocked.
        requests: bool,
        /// Whether responses from the target are blocked.
        responses: bool,
    },
    /// Blocks traffic between a grantor and all VMs and targets; it still reaches the platform.
    IsolateGrantor,
    /// Removes all blocks.
    Unblock,
    /// Makes the target report that it drains.
    DrainTarget,
    /// Marks the target as leaving in the service document.
    LeaveTarget,
    /// Stops a grantor gracefully.
    StopGrantor,
    /// Repeats a request that crashes every target that runs it.
    Crash,
}

/// A named sequence of steps.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// The steps in order.
    pub steps: &'static [Step],
    /// Whether the whole failure domain is lost, not only the target.
    pub whole_domain: bool,
}

impl Scenario {
    /// Returns whether it needs forwarders in front of VMs and targets.
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
    // Takes ten minutes; a longer `--period-ms` keeps the logs small.
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
                responses: true,
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
                responses: true,
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
