//! Ten real VMs whose targets refuse everything: what a service gets beyond the first attempt of each request, counted
//! from what callers sent and what reached the targets.

#[path = "harness/soak.rs"]
mod soak_run;

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bramleypier_soak::{
    check::{self, Violation},
    plan::{Fault, Plan, Size, Step, TARGETS_PER_SERVICE},
    proxy::Mode,
};

use crate::soak_run::SoakRun;

const VMS: usize = 10;
/// The VMs with an even number.
const EVEN_VMS: u32 = 0b01_0101_0101;
/// The VMs with an odd number.
const ODD_VMS: u32 = 0b10_1010_1010;
/// A time later than a window after the start of the VMs, when each may use its whole part of the budget.
const WINDOW_OVER: u64 = 14_000;
/// A time later than a lease in the store and a window after the start of the VMs.
const LEASE_AND_WINDOW_OVER: u64 = 24_000;
/// For how long all targets refuse requests.
const REFUSAL_MS: u64 = 12_000;

fn step(at: u64, duration: u64, fault: Fault) -> Step {
    Step {
        at: Duration::from_millis(at),
        duration: Duration::from_millis(duration),
        fault,
    }
}

/// A run of ten VMs in which all targets refuse requests from some time on.
struct Scenario {
    name: &'static str,
    /// When targets begin to refuse, in milliseconds.
    refusal_start: u64,
    /// The pause between two requests of a caller, in milliseconds.
    pause: u64,
    /// Whether VMs reach every other target without a proxy.
    direct_targets: bool,
    steps: Vec<Step>,
}

impl Scenario {
    /// Runs it while no other of this file runs, and returns the violations of the retry budget.
    ///
    /// With thirty VMs at once on a loaded machine, callers get so few responses that the budget isn't used up.
    fn run(self) -> Vec<Violation> {
        static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
        let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let plan = self.plan();
        let run = SoakRun::execute(&plan, 0, self.name);
        let peaks = &run.observations.peaks;
        println!("{}: {peaks:?}", self.name);
        assert!(
            peaks.values().any(|peak| peak.share() > 0.5),
            "the budget was not used up"
        );
        let mut violations = check::violations(&run.observations);
        violations.retain(|it| matches!(it, Violation::BudgetExceeded(..)));
        run.finish(violations.is_empty());
        violations
    }

    fn plan(&self) -> Plan {
        let size = Size {
            vms: VMS,
            seconds: REFUSAL_MS / 1000,
        };
        let refusals = (0..2 * TARGETS_PER_SERVICE)
            .map(|target| step(self.refusal_start, REFUSAL_MS, Fault::TargetRefuses(target)));
        Plan {
            steps: refusals.chain(self.steps.iter().copied()).collect(),
            pause: Duration::from_millis(self.pause),
            direct_targets: self.direct_targets,
            ..Plan::generate_with_exhausted_budgets(0, size)
        }
    }
}

/// Guards against counting a request again whenever a connection for it could not be opened.
#[test]
fn requests_that_could_not_be_sent_allow_no_more_retries() {
    let down = 0..2 * TARGETS_PER_SERVICE;
    let down = down.map(|target| step(WINDOW_OVER - 4000, 4000, Fault::TargetDown(target)));
    let scenario = Scenario {
        name: "unsent",
        refusal_start: WINDOW_OVER,
        pause: 120,
        direct_targets: true,
        steps: down.collect(),
    };
    assert_eq!(scenario.run(), []);
}

/// Guards against dividing the slack among the VMs that the store hears, while the others go on serving.
#[test]
fn vms_that_the_store_does_not_hear_share_the_slack() {
    let cuts = (0..7).map(|vm| step(500, 36_000, Fault::StorePath(vm, Mode::Silent)));
    let scenario = Scenario {
        name: "store-cut",
        refusal_start: LEASE_AND_WINDOW_OVER,
        pause: 500,
        direct_targets: false,
        steps: cuts.collect(),
    };
    assert_eq!(scenario.run(), []);
}

/// Guards against allowing retries for the same callers first at the VMs that they leave, then at those they go to.
#[test]
fn callers_that_move_to_other_vms_allow_no_more_retries() {
    let scenario = Scenario {
        name: "moving",
        refusal_start: WINDOW_OVER,
        pause: 40,
        direct_targets: false,
        steps: vec![
            step(0, WINDOW_OVER + 3000, Fault::Quiet(ODD_VMS)),
            step(WINDOW_OVER + 3000, 10_000, Fault::Quiet(EVEN_VMS)),
        ],
    };
    assert_eq!(scenario.run(), []);
}
