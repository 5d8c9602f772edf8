//! Measures a fleet of real processes under load and faults.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bramleypier_load::{
    bench,
    config::Work,
    experiment::{self, fault::Fault, summary},
    rest,
    scene::Error,
};

/// Experiments with bramleypier, for tests only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Measures look-ups through one VM against the same straight at targets, and large files
    #[bpaf(command)]
    Path {
        /// The program of the VMs; found beside this one unless given
        #[bpaf(argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// The directory of the documents
        #[bpaf(argument("DIR"), fallback(PathBuf::from("examples/quito")))]
        documents: PathBuf,
        /// Look-ups a second; give one option for each run
        #[bpaf(argument("RATE"), many)]
        rate: Vec<f64>,
        /// How long each run takes
        #[bpaf(argument("SECONDS"), fallback(5.0))]
        seconds: f64,
        /// How often runs take turns
        #[bpaf(argument("COUNT"), fallback(1))]
        rounds: usize,
        /// Threads that send
        #[bpaf(argument("COUNT"), fallback(1))]
        workers: usize,
    },
    /// Measures fleets at rest by their size, and how fast a document is in force
    #[bpaf(command)]
    Rest {
        /// The program of the VMs; found beside this one unless given
        #[bpaf(argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// The service's document
        #[bpaf(
            argument("FILE"),
            fallback(PathBuf::from("examples/quito/tracking.ini"))
        )]
        document: PathBuf,
        /// How many VMs there are; give one option for each fleet
        #[bpaf(argument("COUNT"), many)]
        vms: Vec<usize>,
        /// How long each fleet is measured
        #[bpaf(argument("SECONDS"), fallback(10.0))]
        seconds: f64,
    },
    /// Measures a service at several loads, whole and with a fault, against yardsticks
    #[bpaf(command)]
    Load {
        /// The program of the VMs; found beside this one unless given
        #[bpaf(argument("FILE"), optional)]
        program: Option<PathBuf>,
        /// The service's document
        #[bpaf(
            argument("FILE"),
            fallback(PathBuf::from("examples/quito/tracking.ini"))
        )]
        document: PathBuf,
        /// How many VMs there are
        #[bpaf(argument("COUNT"), fallback(10))]
        vms: usize,
        /// A load in percent of what all slots can do; give one option for each
        #[bpaf(argument("PERCENT"), many)]
        load: Vec<f64>,
        /// What breaks: steady, target, vm or platform; give one option for each
        #[bpaf(argument("FAULT"), many)]
        fault: Vec<Fault>,
        /// How often each run is done, in turns
        #[bpaf(argument("COUNT"), fallback(3))]
        rounds: usize,
        /// How long each run takes, its warm-up included
        #[bpaf(argument("SECONDS"), fallback(12.0))]
        seconds: f64,
        /// How long at the start nothing is counted
        #[bpaf(argument("SECONDS"), fallback(2.0))]
        warm_up: f64,
        /// The time of the work: fixed:MS or exponential:MS
        #[bpaf(
            argument("TIME"),
            fallback(Work::Exponential(Duration::from_millis(10)))
        )]
        work: Work,
        /// The share of requests that are orders
        #[bpaf(argument("SHARE"), fallback(0.1))]
        orders: f64,
        /// The share of requests that are files
        #[bpaf(argument("SHARE"), fallback(0.0))]
        files: f64,
        /// The size of a file
        #[bpaf(argument("BYTES"), fallback(200_000))]
        file_bytes: u64,
        /// How many keys there are
        #[bpaf(argument("COUNT"), fallback(100_000))]
        keys: usize,
        /// The exponent of Zipf's law for keys; all are equally likely at 0
        #[bpaf(argument("EXPONENT"), fallback(0.0))]
        zipf: f64,
        /// The longest wait in a yardstick's queue: as long as the document allows
        #[bpaf(argument("MS"), fallback(300))]
        patience_ms: u64,
        /// Threads that send
        #[bpaf(argument("COUNT"), fallback(2))]
        workers: usize,
        /// Choices among plain targets are measured too
        choices: bool,
        /// Where callers' lines are kept, one a sending; nowhere unless given
        #[bpaf(argument("DIR"), optional)]
        lines: Option<PathBuf>,
        /// Where the table, the runs and the plots are written
        #[bpaf(argument("DIR"), fallback(PathBuf::from("experiment")))]
        out: PathBuf,
    },
}

/// The sizes of fleets when none are given.
const SIZES: [usize; 4] = [3, 6, 12, 24];
/// The rates when none are given.
const RATES: [f64; 3] = [500.0, 2000.0, 8000.0];
/// The loads when none are given.
const LOADS: [f64; 5] = [50.0, 80.0, 95.0, 200.0, 500.0];
/// What breaks when nothing is given.
const FAULTS: [Fault; 4] = [Fault::None, Fault::Target, Fault::Vm, Fault::Platform];

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
                rates: or(rate, &RATES),
                span: Duration::from_secs_f64(seconds.max(2.0)),
                rounds,
                workers,
            };
            bench::path(&options).await
        }
        Command::Rest {
            program,
            document,
            vms,
            seconds,
        } => {
            let options = rest::Options {
                program,
                document,
                sizes: if vms.is_empty() { SIZES.to_vec() } else { vms },
                span: Duration::from_secs_f64(seconds.max(1.0)),
            };
            rest::measure(&options).await
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
                loads: or(load, &LOADS),
                faults: or(fault, &FAULTS),
                rounds,
                span: Duration::from_secs_f64(seconds.max(2.0)),
                warm_up: Duration::from_secs_f64(warm_up.max(0.0)),
                work,
                orders: orders.clamp(0.0, 1.0),
                files: files.clamp(0.0, 1.0),
                file_bytes,
                keys,
                zipf,
                patience: Duration::from_millis(patience_ms),
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

/// Returns what was given, or else the preset.
fn or<T>(given: Vec<T>, preset: &[T]) -> Vec<T>
where
    T: Clone,
{
    if given.is_empty() {
        return preset.to_vec();
    }
    given
}
