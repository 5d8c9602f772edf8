//! Measures a fleet of real processes under load and faults.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bramleypier_load::bench;

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
}

/// The rates when none are given.
const RATES: [f64; 3] = [500.0, 2000.0, 8000.0];

#[compio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
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
                rates: if rate.is_empty() {
                    RATES.to_vec()
                } else {
                    rate
                },
                span: Duration::from_secs_f64(seconds.max(2.0)),
                rounds,
                workers,
            };
            bench::path(&options).await
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("experiment failed: {cause}");
            ExitCode::FAILURE
        }
    }
}
