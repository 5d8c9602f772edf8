//! Measures fleets at several loads, with and without faults, and compares them with baselines.
//!
//! - [`fault`] injects faults during a run;
//! - [`cell`] does one run and collects its results;
//! - [`analysis`] evaluates the callers' and the targets' logs;
//! - [`baseline`] simulates the same arrivals and work without overhead;
//! - [`summary`] writes tables and plots of all runs.

pub mod analysis;
pub mod baseline;
pub mod cell;
pub mod fault;
pub mod summary;

use std::{path::PathBuf, time::Duration};

use crate::{
    config::{Config, Policy, Work},
    experiment::{
        cell::{Cell, Row},
        fault::Fault,
    },
    testbed::{Error, Setup, Testbed},
};

/// Load at which the requested work equals the capacity of all slots.
const FULL_LOAD_PERCENT: f64 = 100.0;
/// Maximum number of connections from all workers to all VMs: enough that requests queue in the VMs and
/// not in the load generator, and below the usual limit of file descriptors per process.
const MAX_CONNECTIONS: usize = 9000;
/// Interval of the balancer's health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);
/// Policies that are measured with direct requests to targets, with their route names.
const DIRECT_POLICIES: [(&str, Policy); 3] = [
    ("random", Policy::Random),
    ("two choices", Policy::TwoChoices),
    ("least own", Policy::LeastInFlight),
];

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Executable of the VMs; by default it is looked up next to the running executable.
    pub program: Option<PathBuf>,
    /// Document of the service.
    pub document: PathBuf,
    /// Number of VMs.
    pub vms: usize,
    /// Loads, in percent of the capacity of all slots.
    pub loads: Vec<f64>,
    /// Faults to inject, one per run.
    pub faults: Vec<Fault>,
    /// Number of rounds; each round does every run once.
    pub rounds: usize,
    /// Duration of each run, including its warm-up.
    pub duration: Duration,
    /// Warm-up at the start of a run, which isn't counted.
    pub warm_up: Duration,
    /// Work time of requests.
    pub work: Work,
    /// Fraction of requests that are orders.
    pub orders: f64,
    /// Fraction of requests that are files.
    pub files: f64,
    /// Size of a file, in bytes.
    pub file_bytes: u64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of keys.
    pub zipf: f64,
    /// Longest wait in a baseline's queue; it should be the limit that the document sets.
    pub max_wait: Duration,
    /// Number of sending threads.
    pub workers: usize,
    /// Whether direct requests to plain targets are also measured, under several policies.
    pub choices: bool,
    /// Directory for the callers' logs; by default that of the fleet, which is deleted after its run.
    pub lines: Option<PathBuf>,
}

/// Does all runs, round by round, prints their rows as they finish, and returns them.
///
/// # Errors
///
/// Fails when a fleet doesn't start, or a run can't be measured.
pub async fn run(options: &Options) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    println!("{}", Row::CSV_HEADER);
    for round in 0..options.rounds {
        for cell in round_cells(options, round) {
            let testbed = start_testbed(options).await?;
            let slots = testbed.slots();
            let config = cell_config(options, &testbed, &cell, slots)?;
            baseline::add_rows(&mut rows, &cell, &config, slots, options.max_wait);
            let (row, testbed) = cell::run(testbed, &cell, &config).await?;
            rows.push(row);
            if options.choices && cell.fault == Fault::None {
                measure_direct(&mut rows, &testbed, &cell, &config).await?;
            }
            print_rows(&rows, &cell);
        }
    }
    Ok(rows)
}

/// Returns the cells of a round; every second round reverses their order.
fn round_cells(options: &Options, round: usize) -> Vec<Cell> {
    let faults = options.faults.iter();
    let mut cells: Vec<Cell> = faults
        .flat_map(|fault| {
            let loads = options.loads.iter();
            loads.map(|load| Cell {
                fault: *fault,
                load: *load,
                round,
            })
        })
        .collect();
    if round % 2 == 1 {
        cells.reverse();
    }
    cells
}

async fn start_testbed(options: &Options) -> Result<Testbed, Error> {
    let setup = Setup {
        program: options.program.clone(),
        documents: vec![options.document.clone()],
        vms: options.vms,
    };
    let mut testbed = Testbed::start(&setup).await?;
    if options.choices {
        let count = testbed.fleet.targets.len();
        testbed.add_plain_targets(count).await?;
    }
    Ok(testbed)
}

fn cell_config(
    options: &Options,
    testbed: &Testbed,
    cell: &Cell,
    slots: u32,
) -> Result<Config, Error> {
    let mean = match options.work {
        Work::Fixed(duration) | Work::Exponential(duration) => duration,
        Work::Unspecified => Duration::from_millis(1),
    };
    let rate = cell.load / FULL_LOAD_PERCENT * f64::from(slots) / mean.as_secs_f64();
    let lookups = (1.0 - options.orders - options.files).max(0.0);
    let service = testbed.documents.first();
    Ok(Config {
        service: service.map_or_else(String::new, |document| document.service.clone()),
        addresses: testbed.entry_addresses()?,
        rates: [lookups, options.orders, options.files].map(|share| share * rate),
        file_bytes: options.file_bytes,
        seed: cell.round as u64 + 1,
        duration: options.duration,
        warm_up: options.warm_up,
        keys: options.keys,
        zipf: options.zipf,
        work: options.work,
        max_attempts: 3,
        workers: options.workers,
        connections: MAX_CONNECTIONS / (options.workers * options.vms).max(1),
        health_interval: Some(HEALTH_INTERVAL),
        log_file: Some(call_log_path(options, testbed, cell)),
        ..Config::default()
    })
}

/// Returns the path of the callers' log of a run.
fn call_log_path(options: &Options, testbed: &Testbed, cell: &Cell) -> PathBuf {
    let name = cell.fault.name().replace(' ', "-");
    let file = format!("{name}-{:.0}-{}.jsonl", cell.load, cell.round);
    let directory = options.lines.as_deref();
    directory.unwrap_or(testbed.fleet.dir()).join(file)
}

/// Measures direct requests from the callers to as many plain targets, under each policy.
async fn measure_direct(
    rows: &mut Vec<Row>,
    testbed: &Testbed,
    cell: &Cell,
    config: &Config,
) -> Result<(), Error> {
    for (name, policy) in DIRECT_POLICIES {
        let config = Config {
            addresses: testbed.plain_targets.clone(),
            direct: true,
            policy,
            health_interval: None,
            log_file: None,
            workers: testbed.vms.len(),
            ..config.clone()
        };
        let results = crate::testbed::run_load(&config).await?;
        rows.push(Row::new(name, cell, &results.total(), results.duration));
    }
    Ok(())
}

fn print_rows(rows: &[Row], cell: &Cell) {
    for row in rows.iter().filter(|row| row.cell == *cell) {
        println!("{row}");
    }
}
