//! Ten real VMs whose targets refuse everything: what a service gets beyond the first attempt of each request, counted
//! from what callers sent and what reached the targets.

use std::{env, fs, process, time::Duration};

use bramleypier_soak::{
    check::{self, Violation},
    plan::{Fault, Plan, Size, Step, TARGETS_PER_SERVICE},
    proxy::Mode,
    run,
};
use compio::runtime::Runtime;

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

/// Runs ten VMs while all targets refuse requests from `start` on, and returns the violations of the retry budget.
fn run_steps(name: &str, start: u64, pause_ms: u64, steps: &[Step]) -> Vec<Violation> {
    let size = Size {
        vms: VMS,
        seconds: 12,
    };
    let refusals = 0..2 * TARGETS_PER_SERVICE;
    let refusals = refusals.map(|target| step(start, REFUSAL_MS, Fault::TargetRefuses(target)));
    let plan = Plan {
        steps: refusals.chain(steps.iter().copied()).collect(),
        pause: Duration::from_millis(pause_ms),
        direct_targets: name == "unsent",
        ..Plan::generate_with_exhausted_budgets(0, size)
    };
    let binaries = [env!("CARGO_BIN_EXE_bramleypier").into()];
    let folder = env::temp_dir().join(format!("bramleypier-budget-{}-{name}", process::id()));
    let execution = run::execute(&binaries, &plan, 0, Some(&folder));
    let observations = Runtime::new().unwrap().block_on(execution).unwrap();
    println!("{name}: {:?}", observations.peaks);
    assert!(
        observations.peaks.values().any(|peak| peak.share() > 0.5),
        "the budget was not used up"
    );
    let mut violations = check::violations(&observations);
    violations.retain(|it| matches!(it, Violation::BudgetExceeded(..)));
    if violations.is_empty() {
        fs::remove_dir_all(&folder).unwrap();
    } else {
        println!("logs are kept in {}", folder.display());
    }
    violations
}

/// Guards against counting a request again whenever a connection for it could not be opened.
#[test]
fn requests_that_could_not_be_sent_allow_no_more_retries() {
    let down = 0..2 * TARGETS_PER_SERVICE;
    let down = down.map(|target| step(WINDOW_OVER - 4000, 4000, Fault::TargetDown(target)));
    assert_eq!(
        run_steps("unsent", WINDOW_OVER, 120, &down.collect::<Vec<_>>()),
        []
    );
}

/// Guards against dividing the slack among the VMs that the store hears, while the others go on serving.
#[test]
fn vms_that_the_store_does_not_hear_share_the_slack() {
    let cuts = 0..7;
    let cuts = cuts.map(|vm| step(500, 36_000, Fault::StorePath(vm, Mode::Silent)));
    assert_eq!(
        run_steps(
            "store-cut",
            LEASE_AND_WINDOW_OVER,
            500,
            &cuts.collect::<Vec<_>>()
        ),
        []
    );
}

/// Guards against allowing retries for the same callers first at the VMs that they leave, then at those they go to.
#[test]
fn callers_that_move_to_other_vms_allow_no_more_retries() {
    let moves = [
        step(0, WINDOW_OVER + 3000, Fault::Quiet(ODD_VMS)),
        step(WINDOW_OVER + 3000, 10_000, Fault::Quiet(EVEN_VMS)),
    ];
    assert_eq!(run_steps("moving", WINDOW_OVER, 40, &moves), []);
}
