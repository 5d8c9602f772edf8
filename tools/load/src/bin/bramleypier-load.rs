//! Sends load at fixed times and tells what came of it.

use std::{fs, io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bramleypier_load::{
    arrivals::Pattern,
    config::{Class, Config, Spread, Work},
    plot::{Plot, Series},
    run::{self, Outcome},
    table,
};

/// Load for bramleypier, open loop, for tests only: requests are due at times fixed in advance, and
/// latencies count from there.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// An address to send to; give one option for each
    #[bpaf(argument("ADDRESS"), some("give at least one --to"))]
    to: Vec<SocketAddr>,
    /// The addresses are those of targets' stand-ins, not of entry VMs
    direct: bool,
    /// How an address is chosen: round, random, two or least
    #[bpaf(argument("POLICY"), fallback(Spread::Round))]
    spread: Spread,
    /// The service that is asked
    #[bpaf(argument("NAME"), fallback("tracking".to_owned()))]
    service: String,
    /// Look-ups a second
    #[bpaf(argument("RATE"), fallback(0.0))]
    lookups: f64,
    /// Orders a second
    #[bpaf(argument("RATE"), fallback(0.0))]
    orders: f64,
    /// Files a second
    #[bpaf(argument("RATE"), fallback(0.0))]
    files: f64,
    /// The size of a file
    #[bpaf(argument("BYTES"), fallback(200_000))]
    file_bytes: u64,
    /// How arrivals are spaced: constant or poisson
    #[bpaf(argument("PATTERN"), fallback(Pattern::Poisson))]
    arrivals: Pattern,
    /// What all chance is drawn from
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// How long requests are sent
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    seconds: f64,
    /// How long at the start nothing is counted
    #[bpaf(argument("SECONDS"), fallback(1.0))]
    warm_up: f64,
    /// How many keys there are
    #[bpaf(argument("COUNT"), fallback(10_000))]
    keys: usize,
    /// The exponent of Zipf's law for keys; all are equally likely at 0
    #[bpaf(argument("EXPONENT"), fallback(0.0))]
    zipf: f64,
    /// The time of the work: unsaid, fixed:MS or exponential:MS
    #[bpaf(argument("TIME"), fallback(Work::Unsaid))]
    work: Work,
    /// How long callers are ready to wait
    #[bpaf(argument("MS"), fallback(2000))]
    deadline_ms: u64,
    /// How often an order is sent at the most, when its outcome is unknown
    #[bpaf(argument("COUNT"), fallback(1))]
    sends: usize,
    /// How many threads send
    #[bpaf(argument("COUNT"), fallback(1))]
    workers: usize,
    /// The most connections of a worker to an address
    #[bpaf(argument("COUNT"), fallback(256))]
    connections: usize,
    /// How often the health of entry VMs is checked; never unless given
    #[bpaf(argument("MS"), optional)]
    health_ms: Option<u64>,
    /// Where one line a request is written; each worker adds its number to the name
    #[bpaf(argument("FILE"), optional)]
    log: Option<PathBuf>,
    /// Where figures by the second are written
    #[bpaf(argument("FILE"), optional)]
    csv: Option<PathBuf>,
    /// Where a plot of latencies by the second is written
    #[bpaf(argument("FILE"), optional)]
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    match load(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("load failed: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn load(options: &Options) -> io::Result<()> {
    let config = config(options);
    let second = Duration::from_secs(1);
    let outcome = run::run(&config, |number, tally| {
        println!("{number:>4} s  {}", table::line(tally, second));
    })?;
    println!("whole  {}", table::line(&outcome.whole, outcome.span));
    if let Some(path) = &options.csv {
        table::write_csv(path, &outcome)?;
    }
    if let Some(path) = &options.svg {
        fs::write(path, plot(&outcome).svg())?;
    }
    Ok(())
}

fn config(options: &Options) -> Config {
    let options = options.clone();
    Config {
        service: options.service,
        addresses: options.to,
        direct: options.direct,
        spread: options.spread,
        rates: [options.lookups, options.orders, options.files],
        pattern: options.arrivals,
        seed: options.seed,
        span: Duration::from_secs_f64(options.seconds.max(0.0)),
        warm_up: Duration::from_secs_f64(options.warm_up.max(0.0)),
        keys: options.keys,
        zipf: options.zipf,
        file_bytes: options.file_bytes,
        work: options.work,
        deadline: Duration::from_millis(options.deadline_ms),
        sends: options.sends,
        workers: options.workers,
        connections: options.connections,
        health: options.health_ms.map(Duration::from_millis),
        log: options.log,
    }
}

/// Plots the median and the 99th percentile of each class by the second.
fn plot(outcome: &Outcome) -> Plot {
    let mut series = Vec::new();
    for class in Class::ALL {
        for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
            let points: Vec<(f64, f64)> = (0_u32..)
                .zip(&outcome.seconds)
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
        across: "second".to_owned(),
        up: "ms".to_owned(),
        is_log: true,
        series,
    }
}
