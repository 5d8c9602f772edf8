//! Plans in which the paths to targets fail one by one, for a short time each.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{ALLOWANCE, Fault, Plan, Shape, Size, Step, TARGETS_PER_SERVICE};
use crate::proxy::Mode;

/// When the first path fails: VMs have measured all targets before.
const FIRST_FAULT: Duration = Duration::from_secs(12);
/// The time between the starts of two faults of one path.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// The duration of a fault.
const FAULT_TIME: Duration = Duration::from_millis(600);
/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(250);

impl Plan {
    /// Generates a plan in which the path to each target fails time and again for `size.seconds` seconds: it is slow,
    /// resets its connections or stays silent.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_broken_paths(1, Size { vms: 10, seconds: 14 });
    /// assert!(plan.steps.iter().all(|step| matches!(step.fault, Fault::TargetPath(..))));
    /// ```
    pub fn generate_with_broken_paths(seed: u64, size: Size) -> Self {
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 37));
        let mut steps = Vec::new();
        let mut at = FIRST_FAULT;
        while at < FIRST_FAULT + Duration::from_secs(size.seconds) {
            for target in 0..2 * TARGETS_PER_SERVICE {
                let mode = match random.random_range(0..3) {
                    0 => Mode::Delay,
                    1 => Mode::Reset,
                    _ => Mode::Silent,
                };
                steps.push(Step {
                    at,
                    duration: FAULT_TIME,
                    fault: Fault::TargetPath(target, mode),
                });
            }
            at += FAULT_INTERVAL;
        }
        Self {
            size,
            steps,
            evacuates: false,
            direct_targets: false,
            pause: PAUSE,
            allowance: ALLOWANCE,
            pipelines: false,
            shape: Shape::Small,
        }
    }
}
