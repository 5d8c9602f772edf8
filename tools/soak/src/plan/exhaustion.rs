//! Plans that use up the retry budget: most targets fail for many seconds, while VMs and callers come and go.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{ALLOWANCE, Fault, Plan, Shape, Size, Step, TARGETS_PER_SERVICE, VmSet, random_mode};
use crate::{budget::Allowance, proxy::Mode};

/// When targets begin to fail: later than a window after the VMs' start, so that each may use its whole part.
const FAILURE_START: Duration = Duration::from_secs(12);
/// The pauses between two requests of a caller, in milliseconds: from a rate at which the slack is most of the budget to one
/// at which it hardly counts.
const PAUSES_MS: [u64; 4] = [40, 120, 300, 500];
/// The number of VMs from which on the figures are those of the larger of the two small deployments.
const LARGER_VMS: usize = 12;
/// Its slack.
const LARGER_SLACK: u32 = 64;
/// For how long a target that has ended stays in the store, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2500..4500;
/// The time between the starts of two VMs of a series, in milliseconds.
const START_GAP_MS: std::ops::Range<u64> = 200..1500;
/// For how long VMs are suspended, in milliseconds.
const SUSPENSION_MS: std::ops::Range<u64> = 500..4000;
/// How long before targets fail callers begin to move.
const MOVES_LEAD: Duration = Duration::from_secs(5);
/// For how long callers of some VMs are quiet, in milliseconds.
const QUIET_MS: std::ops::Range<u64> = 2000..9000;

/// What happens to VMs and callers while targets fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// VMs are killed or stopped and started again, one after the other, for all the time.
    Starts,
    /// Some VMs lose the store for longer than a window, from before targets fail.
    StoreCut,
    /// VMs are suspended time and again.
    Suspensions,
    /// Callers of some VMs are quiet, then those of the others.
    MovingCallers,
    /// All callers are quiet time and again.
    Pulses,
}

impl Trouble {
    const ALL: [Self; 5] = [
        Self::Starts,
        Self::StoreCut,
        Self::Suspensions,
        Self::MovingCallers,
        Self::Pulses,
    ];
}

impl Plan {
    /// Generates a plan in which targets fail for `size.seconds` seconds, so that VMs use up their retry budget.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_soak::plan::{Fault, Plan, Size};
    ///
    /// let plan = Plan::generate_with_exhausted_budgets(1, Size { vms: 10, seconds: 20 });
    /// assert!(plan.steps.iter().any(|step| matches!(step.fault, Fault::TargetRefuses(_))));
    /// ```
    pub fn generate_with_exhausted_budgets(seed: u64, size: Size) -> Self {
        let mut random = SmallRng::seed_from_u64(seed.wrapping_add(1 << 36));
        let slack = if size.vms < LARGER_VMS {
            ALLOWANCE.slack
        } else {
            LARGER_SLACK
        };
        let mut plan = Self {
            size,
            steps: Vec::new(),
            evacuates: false,
            direct_targets: true,
            pause: Duration::from_millis(PAUSES_MS[random.random_range(0..PAUSES_MS.len())]),
            allowance: Allowance { slack, ..ALLOWANCE },
            pipelines: false,
            shape: Shape::Small,
        };
        plan.add_failures(&mut random);
        // About one in four plans has no other trouble, and one in three several kinds of it.
        for trouble in Trouble::ALL {
            if random.random_range(0..4) == 0 {
                plan.add_trouble(trouble, &mut random);
            }
        }
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    fn end(&self) -> Duration {
        FAILURE_START + Duration::from_secs(self.size.seconds)
    }

    fn add(&mut self, at: Duration, duration: Duration, fault: Fault) {
        self.steps.push(Step {
            at,
            duration,
            fault,
        });
    }

    /// Lets most targets refuse all requests; some of them end time and again, and paths to some are disturbed.
    fn add_failures(&mut self, random: &mut SmallRng) {
        let duration = Duration::from_secs(self.size.seconds);
        // In half of the plans one target stays well.
        let healthy = random.random_range(0..4 * TARGETS_PER_SERVICE);
        for target in 0..2 * TARGETS_PER_SERVICE {
            if target != healthy {
                self.add(FAILURE_START, duration, Fault::TargetRefuses(target));
            }
            match random.random_range(0..3) {
                0 => self.repeat(random, DOWN_MS, |_| Fault::TargetDown(target)),
                1 => self.repeat(random, DOWN_MS, |it| {
                    Fault::TargetPath(target, random_mode(it))
                }),
                _ => {}
            }
        }
    }

    /// Adds a fault time and again while targets fail.
    fn repeat<F>(&mut self, random: &mut SmallRng, length_ms: std::ops::Range<u64>, fault: F)
    where
        F: Fn(&mut SmallRng) -> Fault,
    {
        let mut at = FAILURE_START;
        while at < self.end() {
            let duration = Duration::from_millis(random.random_range(length_ms.clone()));
            self.add(at, duration, fault(random));
            at += duration + Duration::from_millis(random.random_range(START_GAP_MS));
        }
    }

    fn add_trouble(&mut self, trouble: Trouble, random: &mut SmallRng) {
        let vms = self.size.vms;
        match trouble {
            Trouble::Starts => self.add_starts(random),
            Trouble::StoreCut => {
                let share = random.random_range(2..4);
                for vm in (0..vms).filter(|vm| vm % share == 0) {
                    let at = Duration::from_secs(1);
                    let duration = self.end().saturating_sub(at);
                    self.add(at, duration, Fault::StorePath(vm, Mode::Silent));
                }
            }
            Trouble::Suspensions => {
                self.repeat(random, SUSPENSION_MS, |it| {
                    Fault::Pause(it.random_range(0..vms))
                });
            }
            Trouble::MovingCallers => self.add_moves(random),
            Trouble::Pulses => {
                let all: VmSet = (1 << vms) - 1;
                self.repeat(random, QUIET_MS, |_| Fault::Quiet(all));
            }
        }
    }

    /// Kills or stops one VM after the other, which start again at once, while targets fail.
    fn add_starts(&mut self, random: &mut SmallRng) {
        let mut at = FAILURE_START;
        for vm in (0..self.size.vms).cycle() {
            if at >= self.end() {
                break;
            }
            let fault = if random.random() {
                Fault::Kill(vm)
            } else {
                Fault::Stop(vm)
            };
            self.add(at, Duration::ZERO, fault);
            at += Duration::from_millis(random.random_range(START_GAP_MS));
        }
    }

    /// Lets the callers of every other VM be quiet, then those of the others, by turns.
    fn add_moves(&mut self, random: &mut SmallRng) {
        let all: VmSet = (1 << self.size.vms) - 1;
        let even: VmSet = (0..self.size.vms).step_by(2).map(|vm| 1 << vm).sum();
        let mut quiet = even;
        let mut at = FAILURE_START.saturating_sub(MOVES_LEAD);
        while at < self.end() {
            let duration = Duration::from_millis(random.random_range(QUIET_MS));
            self.add(at, duration, Fault::Quiet(quiet));
            quiet = all & !quiet;
            at += duration;
        }
    }
}
