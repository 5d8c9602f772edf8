//! Command-line tool that measures fleets of real processes, idle, under load and with faults.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bramleypier_load::{
    bench,
    config::Work,
    experiment::{self, fault::Fault, summary},
    idle,
    testbed::Error,
};

/// Measures fleets of bramleypier, for tests only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Compares look-ups through one VM with direct look-ups at targets, and measures large files
    #[bpaf(command)]
    Path {
        /// Executable of the VMs; by default it is looked up next to this one
        #[bpaf(argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// Directory of the services' documents
        #[bpaf(argument("DIR"), fallback(PathBuf::from("examples/quito")))]
        documents: PathBuf,
        /// Look-ups per second; repeat the option for several runs
        #[bpaf(argument("RATE"), many)]
        rate: Vec<f64>,
        /// Duration of each run
        #[bpaf(argument("SECONDS"), fallback(5.0))]
        seconds: f64,
        /// Number of rounds at each rate; a round is a direct run and a run through the VM
        #[bpaf(argument("COUNT"), fallback(1))]
        rounds: usize,
        /// Number of sending threads
        #[bpaf(argument("COUNT"), fallback(1))]
        workers: usize,
    },
    /// Measures idle fleets of several sizes, and how long a changed document takes to be in force
    #[bpaf(command)]
    Rest {
        /// Executable of the VMs; by default it is looked up next to this one
        #[bpaf(argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// Document of the service
        #[bpaf(
            argument("FILE"),
            fallback(PathBuf::from("examples/quito/tracking.ini"))
        )]
        document: PathBuf,
        /// Number of VMs; repeat the option for several fleets
        #[bpaf(argument("COUNT"), many)]
        vms: Vec<usize>,
        /// Duration for which each fleet is measured
        #[bpaf(argument("SECONDS"), fallback(10.0))]
        seconds: f64,
    },
    /// Measures a service at several loads, with and without faults, and compares it with baselines
    #[bpaf(command)]
    Load {
        /// Executable of the VMs; by default it is looked up next to this one
        #[bpaf(argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// Document of the service
        #[bpaf(
            argument("FILE"),
            fallback(PathBuf::from("examples/quito/tracking.ini"))
        )]
        document: PathBuf,
        /// Number of VMs
        #[bpaf(argument("COUNT"), fallback(10))]
        vms: usize,
        /// Load in percent of the capacity of all slots; repeat the option for several loads
        #[bpaf(argument("PERCENT"), many)]
        load: Vec<f64>,
        /// Fault to inject: steady (none), target, vm or platform; repeat the option for several faults
        #[bpaf(argument("FAULT"), many)]
        fault: Vec<Fault>,
        /// Number of rounds; each round does every run once
        #[bpaf(argument("COUNT"), fallback(3))]
        rounds: usize,
        /// Duration of each run, including its warm-up
        #[bpaf(argument("SECONDS"), fallback(12.0))]
        seconds: f64,
        /// Warm-up at the start of a run, which isn't counted
        #[bpaf(argument("SECONDS"), fallback(2.0))]
        warm_up: f64,
        /// Work time of a request: fixed:MS or exponential:MS
        #[bpaf(
            argument("TIME"),
            fallback(Work::Exponential(Duration::from_millis(10)))
        )]
        work: Work,
        /// Fraction of requests that are orders
        #[bpaf(argument("SHARE"), fallback(0.1))]
        orders: f64,
        /// Fraction of requests that are files
        #[bpaf(argument("SHARE"), fallback(0.0))]
        files: f64,
        /// Size of a file
        #[bpaf(argument("BYTES"), fallback(200_000))]
        file_bytes: u64,
        /// Number of keys
        #[bpaf(argument("COUNT"), fallback(100_000))]
        keys: usize,
        /// Exponent of the Zipf distribution of keys; at 0 all keys are equally likely
        #[bpaf(argument("EXPONENT"), fallback(0.0))]
        zipf: f64,
        /// Longest wait in a baseline's queue; use the limit that the document sets
        #[bpaf(argument("MS"), fallback(300))]
        patience_ms: u64,
        /// Number of sending threads
        #[bpaf(argument("COUNT"), fallback(2))]
        workers: usize,
        /// Also measure direct requests to plain targets under several balancing policies
        choices: bool,
        /// Directory in which the callers' logs are kept, one line per attempt; by default none are kept
        #[bpaf(argument("DIR"), optional)]
        lines: Option<PathBuf>,
        /// Directory for the table, the runs and the plots
        #[bpaf(argument("DIR"), fallback(PathBuf::from("experiment")))]
        out: PathBuf,
    },
}

/// Default numbers of VMs.
const DEFAULT_SIZES: [usize; 4] = [3, 6, 12, 24];
/// Default rates, in look-ups per second.
const DEFAULT_RATES: [f64; 3] = [500.0, 2000.0, 8000.0];
/// Default loads, in percent of the capacity of all slots.
const DEFAULT_LOADS: [f64; 5] = [50.0, 80.0, 95.0, 200.0, 500.0];
/// Default faults.
const DEFAULT_FAULTS: [Fault; 4] = [Fault::None, Fault::Target, Fault::Vm, Fault::Platform];

#[compio::main]
async fn main() -> ExitCode {
    match run(command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("experiment failed: {cause}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Path {
            program,
            documents,
            rate,
            seconds,
            rounds,
            workers,
        } => {
            let options = bench::Options {
                program,
                documents,
                rates: or_default(rate, &DEFAULT_RATES),
                duration: Duration::from_secs_f64(seconds.max(2.0)),
                rounds,
                workers,
            };
            bench::measure_path(&options).await
        }
        Command::Rest {
            program,
            document,
            vms,
            seconds,
        } => {
            let options = idle::Options {
                program,
                document,
                sizes: if vms.is_empty() {
                    DEFAULT_SIZES.to_vec()
                } else {
                    vms
                },
                duration: Duration::from_secs_f64(seconds.max(1.0)),
            };
            idle::measure(&options).await
        }
        Command::Load {
            program,
            document,
            vms,
            load,
            fault,
            rounds,
            seconds,
            warm_up,
            work,
            orders,
            files,
            file_bytes,
            keys,
            zipf,
            patience_ms,
            workers,
            choices,
            lines,
            out,
        } => {
            let options = experiment::Options {
                program,
                document,
                vms,
                loads: or_default(load, &DEFAULT_LOADS),
                faults: or_default(fault, &DEFAULT_FAULTS),
                rounds,
                duration: Duration::from_secs_f64(seconds.max(2.0)),
                warm_up: Duration::from_secs_f64(warm_up.max(0.0)),
                work,
                orders: orders.clamp(0.0, 1.0),
                files: files.clamp(0.0, 1.0),
                file_bytes,
                keys,
                zipf,
                max_wait: Duration::from_millis(patience_ms),
                workers,
                choices,
                lines,
            };
            let rows = experiment::run(&options).await?;
            summary::write(&out, &rows).map_err(|cause| Error::Load("write", cause))?;
            println!("\n{}", summary::markdown(&rows));
            Ok(())
        }
    }
}

/// Returns the given values, or the preset ones when none are given.
fn or_default<T>(given: Vec<T>, preset: &[T]) -> Vec<T>
where
    T: Clone,
{
    if given.is_empty() {
        return preset.to_vec();
    }
    given
}
