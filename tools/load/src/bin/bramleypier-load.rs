//! Command-line tool that sends requests at planned times and prints the results.

use std::{fs, io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bramleypier_load::{
    arrivals::Pattern,
    config::{Class, Config, Policy, Work},
    plot::{Plot, Series},
    run::{self, RunResults},
    table,
};

/// Open-loop load generator for bramleypier, for tests only: requests are due at times planned in
/// advance, and latencies count from these times.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to send to; repeat the option for several addresses
    #[bpaf(argument("ADDRESS"), some("give at least one --to"))]
    to: Vec<SocketAddr>,
    /// The addresses are those of targets' stand-ins, not of entry VMs
    direct: bool,
    /// Policy that chooses an address: round, random, two or least
    #[bpaf(argument("POLICY"), fallback(Policy::RoundRobin))]
    spread: Policy,
    /// Name of the requested service
    #[bpaf(argument("NAME"), fallback("tracking".to_owned()))]
    service: String,
    /// Look-ups per second
    #[bpaf(argument("RATE"), fallback(0.0))]
    lookups: f64,
    /// Orders per second
    #[bpaf(argument("RATE"), fallback(0.0))]
    orders: f64,
    /// Files per second
    #[bpaf(argument("RATE"), fallback(0.0))]
    files: f64,
    /// Size of a file
    #[bpaf(argument("BYTES"), fallback(200_000))]
    file_bytes: u64,
    /// Distribution of arrivals: constant or poisson
    #[bpaf(argument("PATTERN"), fallback(Pattern::Poisson))]
    arrivals: Pattern,
    /// Seed of all random numbers
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Duration for which requests are sent, including the warm-up
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    seconds: f64,
    /// Warm-up at the start of the run, which isn't counted
    #[bpaf(argument("SECONDS"), fallback(1.0))]
    warm_up: f64,
    /// Number of keys
    #[bpaf(argument("COUNT"), fallback(10_000))]
    keys: usize,
    /// Exponent of the Zipf distribution of keys; at 0 all keys are equally likely
    #[bpaf(argument("EXPONENT"), fallback(0.0))]
    zipf: f64,
    /// Work time of a request: unsaid (the stand-in decides), fixed:MS or exponential:MS
    #[bpaf(argument("TIME"), fallback(Work::Unspecified))]
    work: Work,
    /// Deadline that callers send with a request
    #[bpaf(argument("MS"), fallback(2000))]
    deadline_ms: u64,
    /// Maximum number of attempts for an order whose outcome is unknown
    #[bpaf(argument("COUNT"), fallback(1))]
    sends: usize,
    /// Number of sending threads
    #[bpaf(argument("COUNT"), fallback(1))]
    workers: usize,
    /// Maximum number of connections per worker and address
    #[bpaf(argument("COUNT"), fallback(256))]
    connections: usize,
    /// Interval of health checks of entry VMs; by default there are none
    #[bpaf(argument("MS"), optional)]
    health_ms: Option<u64>,
    /// File for one line per attempt; each worker appends its number to the name
    #[bpaf(argument("FILE"), optional)]
    log: Option<PathBuf>,
    /// File for the results of each second
    #[bpaf(argument("FILE"), optional)]
    csv: Option<PathBuf>,
    /// File for a plot of the latencies of each second
    #[bpaf(argument("FILE"), optional)]
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    match run_load(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("load failed: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run_load(options: &Options) -> io::Result<()> {
    let config = config(options);
    let second = Duration::from_secs(1);
    let results = run::run(&config, |number, tally| {
        println!("{number:>4} s  {}", table::summary_line(tally, second));
    })?;
    println!(
        "whole  {}",
        table::summary_line(&results.overall, results.duration)
    );
    if let Some(path) = &options.csv {
        table::write_csv(path, &results)?;
    }
    if let Some(path) = &options.svg {
        fs::write(path, plot(&results).svg())?;
    }
    Ok(())
}

fn config(options: &Options) -> Config {
    let options = options.clone();
    Config {
        service: options.service,
        addresses: options.to,
        direct: options.direct,
        policy: options.spread,
        rates: [options.lookups, options.orders, options.files],
        pattern: options.arrivals,
        seed: options.seed,
        duration: Duration::from_secs_f64(options.seconds.max(0.0)),
        warm_up: Duration::from_secs_f64(options.warm_up.max(0.0)),
        keys: options.keys,
        zipf: options.zipf,
        file_bytes: options.file_bytes,
        work: options.work,
        deadline: Duration::from_millis(options.deadline_ms),
        max_attempts: options.sends,
        workers: options.workers,
        connections: options.connections,
        health_interval: options.health_ms.map(Duration::from_millis),
        log_file: options.log,
    }
}

/// Plots the median and the 99th percentile of each class for each second.
fn plot(results: &RunResults) -> Plot {
    let mut series = Vec::new();
    for class in Class::ALL {
        for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
            let points: Vec<(f64, f64)> = (0_u32..)
                .zip(&results.per_second)
                .filter(|(_, tally)| tally.class(class).served.count() > 0)
                .map(|(second, tally)| {
                    let latency = tally.class(class).served.quantile(share);
                    (f64::from(second), latency.as_secs_f64() * 1000.0)
                })
                .collect();
            if !points.is_empty() {
                let name = format!("{} {name}", class.name());
                series.push(Series { name, points });
            }
        }
    }
    Plot {
        title: "Latency from the time a request was due".to_owned(),
        x_label: "second".to_owned(),
        y_label: "ms".to_owned(),
        is_log: true,
        series,
    }
}
