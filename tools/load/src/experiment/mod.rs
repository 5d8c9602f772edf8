//! Fleets at several loads, whole and with a fault, against yardsticks.
//!
//! - [`fault`] is what breaks during a run;
//! - [`cell`] is one run and what came of it;
//! - [`account`] reads the callers' and the targets' logs;
//! - [`baseline`] gives the yardsticks of the same arrivals and work;
//! - [`summary`] makes tables and plots of all runs.

pub mod account;
pub mod baseline;
pub mod cell;
pub mod fault;
pub mod summary;

use std::{path::PathBuf, time::Duration};

use crate::{
    config::{Config, Spread, Work},
    experiment::{
        cell::{Cell, Row},
        fault::Fault,
    },
    scene::{Error, Scene, Setup},
};

/// How much load there is, as a share of what all slots can do.
const FULL: f64 = 100.0;
/// The most connections from all workers to all VMs: enough that requests wait there and not here,
/// and fewer than the descriptors that a process commonly gets.
const CONNECTIONS: usize = 9000;
/// How often the balancer checks a VM's health.
const HEALTH_PERIOD: Duration = Duration::from_millis(250);
/// The choices among targets that are measured straight at them.
const CHOICES: [(&str, Spread); 3] = [
    ("random", Spread::Random),
    ("two choices", Spread::Two),
    ("least own", Spread::Least),
];

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the VMs; found beside the running one unless it is given.
    pub program: Option<PathBuf>,
    /// The service's document.
    pub document: PathBuf,
    /// How many VMs there are.
    pub vms: usize,
    /// Loads, in percent of what all slots can do.
    pub loads: Vec<f64>,
    /// What breaks.
    pub faults: Vec<Fault>,
    /// How often each run is done.
    pub rounds: usize,
    /// How long each run takes, its warm-up included.
    pub span: Duration,
    /// How long at the start nothing is counted.
    pub warm_up: Duration,
    /// The time of the work.
    pub work: Work,
    /// The share of requests that are orders.
    pub orders: f64,
    /// The share of requests that are files.
    pub files: f64,
    /// The size of a file.
    pub file_bytes: u64,
    /// How many keys there are.
    pub keys: usize,
    /// The exponent of Zipf's law for keys.
    pub zipf: f64,
    /// The longest wait in a yardstick's queue: as long as the document allows.
    pub patience: Duration,
    /// Threads that send.
    pub workers: usize,
    /// Whether choices among plain targets are measured too.
    pub choices: bool,
    /// Where callers' lines are kept; with the fleet, which goes after its run, unless given.
    pub lines: Option<PathBuf>,
}

/// Does all runs, in turns, and returns their rows; prints each as it comes.
///
/// # Errors
///
/// Fails when a fleet doesn't start.
pub async fn run(options: &Options) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    println!("{}", Row::HEAD);
    for round in 0..options.rounds {
        for cell in order(options, round) {
            let scene = start(options).await?;
            let slots = scene.slots();
            let config = config(options, &scene, &cell, slots)?;
            baseline::arithmetic(&mut rows, &cell, &config, slots, options.patience);
            let (row, scene) = cell::run(scene, &cell, &config).await?;
            rows.push(row);
            if options.choices && cell.fault == Fault::None {
                straight(&mut rows, &scene, &cell, &config).await?;
            }
            show(&rows, &cell);
        }
    }
    Ok(rows)
}

/// Returns the cells of a round; every other round goes through them backwards.
fn order(options: &Options, round: usize) -> Vec<Cell> {
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

async fn start(options: &Options) -> Result<Scene, Error> {
    let setup = Setup {
        program: options.program.clone(),
        documents: vec![options.document.clone()],
        vms: options.vms,
    };
    let mut scene = Scene::start(&setup).await?;
    if options.choices {
        let count = scene.fleet.targets.len();
        scene.add_plain(count).await?;
    }
    Ok(scene)
}

fn config(options: &Options, scene: &Scene, cell: &Cell, slots: u32) -> Result<Config, Error> {
    let mean = match options.work {
        Work::Fixed(span) | Work::Exponential(span) => span,
        Work::Unsaid => Duration::from_millis(1),
    };
    let rate = cell.load / FULL * f64::from(slots) / mean.as_secs_f64();
    let lookups = (1.0 - options.orders - options.files).max(0.0);
    let service = scene.documents.first();
    Ok(Config {
        service: service.map_or_else(String::new, |document| document.service.clone()),
        addresses: scene.callers()?,
        rates: [lookups, options.orders, options.files].map(|share| share * rate),
        file_bytes: options.file_bytes,
        seed: cell.round as u64 + 1,
        span: options.span,
        warm_up: options.warm_up,
        keys: options.keys,
        zipf: options.zipf,
        work: options.work,
        sends: 3,
        workers: options.workers,
        connections: CONNECTIONS / (options.workers * options.vms).max(1),
        health: Some(HEALTH_PERIOD),
        log: Some(lines(options, scene, cell)),
        ..Config::default()
    })
}

/// Returns where the callers' lines of a run are written.
fn lines(options: &Options, scene: &Scene, cell: &Cell) -> PathBuf {
    let name = cell.fault.name().replace(' ', "-");
    let file = format!("{name}-{:.0}-{}.jsonl", cell.load, cell.round);
    let directory = options.lines.as_deref();
    directory.unwrap_or(scene.fleet.dir()).join(file)
}

/// Measures choices among as many plain targets, straight from the callers.
async fn straight(
    rows: &mut Vec<Row>,
    scene: &Scene,
    cell: &Cell,
    config: &Config,
) -> Result<(), Error> {
    for (name, spread) in CHOICES {
        let config = Config {
            addresses: scene.plain.clone(),
            direct: true,
            spread,
            health: None,
            log: None,
            workers: scene.vms.len(),
            ..config.clone()
        };
        let outcome = crate::scene::load(&config).await?;
        rows.push(Row::new(name, cell, &outcome.total(), outcome.span));
    }
    Ok(())
}

fn show(rows: &[Row], cell: &Cell) {
    for row in rows.iter().filter(|row| row.cell == *cell) {
        println!("{row}");
    }
}
