//! Targets that spoil some of their responses, added to other plans.

use std::time::Duration;

use bramleypier_platform_standin::server;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use super::{DeploymentFault, Fault, Plan, Step, TARGETS_PER_SERVICE};
use crate::proxy::Spoiling;

/// For how long the targets of a service spoil responses in one way.
const SPOILING_TIME: Duration = Duration::from_millis(700);
/// The percentage of responses that they spoil.
const SPOILED_PERCENT: std::ops::RangeInclusive<u8> = 5..=30;

impl Plan {
    /// Adds targets that spoil some of their responses, in one way after the other, until the end of the plan.
    ///
    /// Meanwhile a target of the service without keys fails now and then: no beginning of a success may make one of that.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate(1, Size { vms: 3, seconds: 20 }).with_spoiled_responses(1);
    /// assert!(plan.steps.iter().any(|step| matches!(step.fault, Fault::OfDeployment(_))));
    /// ```
    #[must_use]
    pub fn with_spoiled_responses(mut self, seed: u64) -> Self {
        // A generator of its own keeps the other steps of the seed as they are.
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 40));
        let mut ways = Spoiling::ALL;
        ways.shuffle(&mut random);
        let end = Duration::from_secs(self.size.seconds);
        let mut at = Duration::ZERO;
        for spoiling in ways.into_iter().cycle() {
            if at >= end {
                break;
            }
            for service in ["plain", "keyed"] {
                let percent = random.random_range(SPOILED_PERCENT);
                self.steps.push(Step {
                    at,
                    duration: SPOILING_TIME,
                    fault: DeploymentFault::Spoil(service, spoiling, percent).into(),
                });
            }
            if spoiling == Spoiling::CutAnswer {
                let target = TARGETS_PER_SERVICE + random.random_range(0..TARGETS_PER_SERVICE);
                self.steps.push(Step {
                    at,
                    duration: SPOILING_TIME,
                    fault: Fault::Target(target, server::Fault::Fail),
                });
            }
            at += SPOILING_TIME;
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }
}
