//! The command line of the soak test: runs a range of seeds and prints the violated guarantees.

use std::{env, io, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use bramleypier_soak::{
    check::{self, Violation},
    fleet,
    plan::{Plan, Size},
    run,
};
use compio::runtime::Runtime;
use quick_error::quick_error;

/// How many shorter plans are executed to find one that still violates a guarantee.
const SHRINK_ATTEMPTS: usize = 24;

quick_error! {
    /// The reason why a run failed.
    #[derive(Debug)]
    enum Error {
        /// The runtime could not be started, or the program's path is unknown.
        System(cause: io::Error) {
            display("step=setup peer=system cause={cause}")
            source(cause)
            from()
        }
        /// The run could not be set up.
        Fleet(cause: fleet::Error) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// What plans contain besides or in place of the faults of every plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
enum Extra {
    /// Also evacuate a failure domain and make targets cold from time to time
    Evacuate,
    /// Also make targets say that they leave, or that they want no requests for a while
    Notices,
    /// Also let the store come back from an older copy, time and again
    Older,
    /// Also partition some VMs from all targets from time to time
    Partitions,
    /// Let most targets fail, so that VMs use up their retry budget
    Budget,
    /// Let the paths to targets fail one by one, and nothing else
    BrokenPaths,
    /// Let the store turn several VMs away at once while configurations change, and nothing else
    TurnedAway,
    /// The services, callers and troubles of a deployment; 10 VMs and 32 seconds are its shape
    Deployment,
    /// Nothing.
    #[bpaf(skip)]
    Nothing,
}

/// Runs real processes under random faults and checks what callers and targets observe.
///
/// Example: bramleypier-soak --from 1 --seeds 50 --keep soak-logs
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The first seed
    #[bpaf(fallback(1))]
    from: u64,
    /// How many seeds are run, one after the other
    #[bpaf(fallback(1))]
    seeds: u64,
    /// The number of VMs
    #[bpaf(fallback(4))]
    vms: usize,
    /// For how many seconds faults are started
    #[bpaf(fallback(15))]
    seconds: u64,
    #[bpaf(external, fallback(Extra::Nothing))]
    extra: Extra,
    /// Another build of the program, which every other start of a VM runs
    #[bpaf(argument("FILE"), optional)]
    beside: Option<PathBuf>,
    /// Also let a further caller of each VM pipeline its requests
    pipeline: bool,
    /// The build of the program, if not the one beside this
    #[bpaf(argument("FILE"), optional)]
    program: Option<PathBuf>,
    /// After a violation, look for a shorter plan that still has one
    shrink: bool,
    /// The folder for the logs of the VMs, with a folder for each seed
    #[bpaf(argument("DIR"), optional)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut broken = 0;
    for seed in options.from..options.from + options.seeds {
        match run_seed(&options, seed) {
            Ok(0) => {}
            Ok(_) => broken += 1,
            Err(error) => {
                println!("seed={seed} {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("seeds={} broken={broken}", options.seeds);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one seed, prints the violated guarantees, and returns how many there are.
fn run_seed(options: &Options, seed: u64) -> Result<usize, Error> {
    let size = Size {
        vms: options.vms,
        seconds: options.seconds,
    };
    let plan = match options.extra {
        Extra::Evacuate => Plan::generate_with_evacuations(seed, size),
        Extra::Notices => Plan::generate_with_notices(seed, size),
        Extra::Older => Plan::generate_with_older_stores(seed, size),
        Extra::Partitions => Plan::generate_with_partitions(seed, size),
        Extra::Budget => Plan::generate_with_exhausted_budgets(seed, size),
        Extra::TurnedAway => Plan::generate_with_vms_turned_away(seed, size),
        Extra::BrokenPaths => Plan::generate_with_broken_paths(seed, size),
        Extra::Deployment => Plan::generate_like_deployment(seed, size),
        // Planned work alone must not interrupt any request, and what these targets do does.
        Extra::Nothing => match Plan::generate(seed, size) {
            plan if plan.is_planned() => plan,
            plan => plan.with_spoiled_responses(seed),
        },
    };
    let plan = if options.pipeline {
        plan.with_pipelining()
    } else {
        plan
    };
    let violations = run_plan(options, &plan, seed)?;
    println!(
        "seed={seed} steps={} planned={} broken={}",
        plan.steps.len(),
        plan.is_planned(),
        violations.len()
    );
    for violation in &violations {
        println!("seed={seed} broken: {violation}");
    }
    if violations.is_empty() {
        return Ok(0);
    }
    let plan = if options.shrink {
        shrink(options, plan, seed)?
    } else {
        plan
    };
    for step in &plan.steps {
        println!("seed={seed} {step}");
    }
    Ok(violations.len())
}

/// Executes a plan and returns the violated guarantees.
fn run_plan(options: &Options, plan: &Plan, seed: u64) -> Result<Vec<Violation>, Error> {
    let own = match &options.program {
        Some(program) => program.clone(),
        None => env::current_exe()?.with_file_name("bramleypier"),
    };
    let binaries: Vec<PathBuf> = [own].into_iter().chain(options.beside.clone()).collect();
    let folder = options.keep.as_ref().map(|it| it.join(seed.to_string()));
    let execution = run::execute(&binaries, plan, seed, folder.as_deref());
    let observations = Runtime::new()?.block_on(execution)?;
    let requests = observations.requests.len();
    println!(
        "seed={seed} requests={requests} recovered={:?}",
        observations.recovery_time
    );
    for (service, peak) in &observations.peaks {
        println!(
            "seed={seed} service={service} share={:.2} {peak:?}",
            peak.share()
        );
    }
    for partition in &observations.partitions {
        println!("seed={seed} {partition:?}");
    }
    Ok(check::violations(&observations))
}

/// Removes steps from a plan as long as a guarantee is still violated without them.
fn shrink(options: &Options, mut plan: Plan, seed: u64) -> Result<Plan, Error> {
    let mut length = plan.steps.len() / 2;
    let mut from = 0;
    for _ in 0..SHRINK_ATTEMPTS {
        if length == 0 {
            break;
        }
        let mut shorter = plan.clone();
        let to = (from + length).min(shorter.steps.len());
        shorter.steps.drain(from..to);
        if run_plan(options, &shorter, seed)?.is_empty() {
            from = to;
        } else {
            plan = shorter;
        }
        if from >= plan.steps.len() {
            (from, length) = (0, length / 2);
        }
    }
    Ok(plan)
}
