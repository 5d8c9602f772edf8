//! Plans in which the store turns several VMs away at once while configurations change.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Fault, Plan, Size, Step, VmSet};
use crate::proxy::Mode;

/// When the first VMs are turned away: they count as disturbed for some time after their start.
const FIRST_FAULT: Duration = Duration::from_secs(4);
/// For how long VMs are turned away, in milliseconds: mostly longer than the manager's lease.
const FAULT_DURATION_MS: std::ops::Range<u64> = 1500..8000;
/// The time between two faults, in milliseconds.
const FAULT_GAP_MS: std::ops::Range<u64> = 200..2500;
/// The time between two configurations, in milliseconds.
const CONFIG_GAP_MS: std::ops::Range<u64> = 300..2000;

impl Plan {
    /// Generates a plan in which the store turns away some VMs, time and again, but never all of them.
    ///
    /// All VMs must have every configuration in force in time, since they reach each other.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_vms_turned_away(1, Size { vms: 6, seconds: 20 });
    /// assert!(plan.steps.iter().any(|step| matches!(step.fault, Fault::TurnedAway(..))));
    /// ```
    pub fn generate_with_vms_turned_away(seed: u64, size: Size) -> Self {
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 38));
        let end = FIRST_FAULT + Duration::from_secs(size.seconds);
        let mut millis = |range| Duration::from_millis(random.random_range(range));
        let mut steps = Vec::new();
        let mut at = FIRST_FAULT;
        while at < end {
            steps.push(Step {
                at,
                duration: Duration::ZERO,
                fault: Fault::Configs(1),
            });
            at += millis(CONFIG_GAP_MS);
        }
        let all: VmSet = (1 << size.vms.min(31)) - 1;
        let mut at = FIRST_FAULT;
        while at < end {
            let duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
            // One VM at least is in the set, and one isn't.
            let vms = random.random_range(1..all.max(2));
            steps.push(Step {
                at,
                duration,
                fault: Fault::TurnedAway(vms, random_mode(&mut random)),
            });
            at += duration + Duration::from_millis(random.random_range(FAULT_GAP_MS));
        }
        steps.sort_by_key(|step| step.at);
        Self::of_steps(size, steps)
    }
}

fn random_mode(random: &mut SmallRng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Reset,
        1 => Mode::CutBack,
        2 => Mode::Stall,
        _ => Mode::Silent,
    }
}
