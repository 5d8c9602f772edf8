//! One run and what came of it.

use std::{fmt, time::Duration};

use futures_util::future;
use indexmap::IndexMap;

use crate::{
    config::Config,
    experiment::{
        account::{self, Account},
        fault::Fault,
    },
    run::Outcome,
    scene::{self, Error, Scene},
    table::{self, millis},
    tally::Counts,
    usage::Usage,
};

/// The part of the counted time after which something breaks.
const FAULT_PART: u32 = 4;

/// Slices of the hash space for each target: as many as its ranges.
const SLICES: u64 = 4;

/// One run of the matrix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// What breaks.
    pub fault: Fault,
    /// The load, in percent of what all slots can do.
    pub load: f64,
    /// The round.
    pub round: usize,
}

/// What the VMs spent and counted in a run.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    /// Processor time of each VM as a share of a core, the greatest.
    pub core: f64,
    /// Processor time for each request.
    pub each: Duration,
    /// Resident memory of the VM that has most, in kilobytes.
    pub resident_kb: u64,
    /// Connections opened to targets.
    pub opened: i64,
    /// Attempts after the first.
    pub retried: i64,
    /// Requests refused.
    pub refused: i64,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Row {
    /// Which way the requests took.
    pub route: &'static str,
    /// The run.
    pub cell: Cell,
    /// Requests, as their callers counted them.
    pub counts: Counts,
    /// How long requests were counted.
    pub span: Duration,
    /// What the VMs spent, where requests went through them.
    pub spent: Option<Spent>,
    /// What the logs say, where there are logs.
    pub account: Option<Account>,
}

impl Row {
    /// The head of a table of rows.
    pub const HEAD: &str = "route,fault,load,round,sent,good,not_run,unknown,errors,unsound,\
                            goodput,p50_ms,p99_ms,p999_ms,max_ms,refused_p99_ms,core,cpu_us,\
                            resident_mb,opened,retried,refused,imbalance,churn,gap_ms,failing_ms,\
                            doubled,lost,untrue,unsound_audit,two_owners";

    /// Creates a row of what callers saw.
    pub fn new(route: &'static str, cell: &Cell, counts: &Counts, span: Duration) -> Self {
        Self {
            route,
            cell: *cell,
            counts: counts.clone(),
            span,
            spent: None,
            account: None,
        }
    }

    /// Returns requests served well in a second.
    pub fn goodput(&self) -> f64 {
        table::goodput(&self.counts, self.span)
    }
}

/// Writes the row as CSV.
impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        let [median, p99, p999, max] = table::quantiles(counts).map(millis);
        write!(
            f,
            "{},{},{:.0},{},{},{},{},{},{},{},{:.1},{median},{p99},{p999},{max},{}",
            self.route,
            self.cell.fault.name(),
            self.cell.load,
            self.cell.round,
            counts.sent,
            counts.good,
            counts.not_run,
            counts.unknown,
            counts.errors,
            counts.unsound,
            self.goodput(),
            millis(counts.refused.quantile(0.99)),
        )?;
        match &self.spent {
            Some(spent) => write!(f, ",{spent}")?,
            None => f.write_str(",,,,,,")?,
        }
        match &self.account {
            Some(account) => write!(f, ",{account}"),
            None => f.write_str(",,,,,,,,,"),
        }
    }
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3},{:.1},{:.1},{},{},{}",
            self.core,
            self.each.as_secs_f64() * 1e6,
            table::megabytes(self.resident_kb),
            self.opened,
            self.retried,
            self.refused,
        )
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let findings = &self.findings;
        write!(
            f,
            "{:.3},{:.3},{},{},{},{},{},{},{}",
            self.imbalance,
            self.churn,
            self.gap.as_millis(),
            self.failing.as_millis(),
            findings.doubled.len(),
            findings.lost.len(),
            findings.untrue.len(),
            findings.unsound.len(),
            findings.two_owners.len(),
        )
    }
}

/// Runs a cell on a fresh fleet, and gives the fleet back.
///
/// # Errors
///
/// Fails when load can't be sent, or logs can't be read.
pub async fn run(mut scene: Scene, cell: &Cell, config: &Config) -> Result<(Row, Scene), Error> {
    let before = readings(&scene).await?;
    let counted = config.span.saturating_sub(config.warm_up);
    let due = config.warm_up + counted / FAULT_PART;
    let load = scene::load(config);
    let strike = cell.fault.strike(&mut scene, due);
    let (outcome, struck) = future::join(load, strike).await;
    let (outcome, ()) = (outcome?, struck?);
    let after = readings(&scene).await?;
    let mut row = Row::new("bramleypier", cell, &outcome.total(), outcome.span);
    row.spent = Some(spent(&before, &after, &outcome, config));
    row.account = Some(account(&scene, config)?);
    Ok((row, scene))
}

fn account(scene: &Scene, config: &Config) -> Result<Account, Error> {
    let lines = account::lines(config).map_err(|cause| Error::Load("log", cause))?;
    let runs = scene.fleet.runs_of_targets()?;
    let serving = scene.documents.iter().flat_map(|document| {
        let names = document.targets.keys();
        names.filter(|name| scene.fleet.runs(name)).cloned()
    });
    let serving: Vec<String> = serving.collect();
    let slices = scene.fleet.targets.len() as u64 * SLICES;
    Ok(account::account(
        &lines,
        &runs,
        &serving,
        slices,
        config.warm_up,
    ))
}

/// What a VM has spent and counted so far.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    usage: Usage,
    opened: i64,
    retried: i64,
    refused: i64,
}

/// Reads all VMs that run.
async fn readings(scene: &Scene) -> Result<IndexMap<String, Reading>, Error> {
    let mut readings = IndexMap::new();
    for vm in scene.vms.iter().filter(|vm| scene.fleet.runs(vm)) {
        let totals = scene.totals(vm).await?;
        let reading = Reading {
            usage: scene.usage(vm)?,
            opened: scene::total(&totals, "connections.opened"),
            retried: scene::total(&totals, "requests.retried"),
            refused: scene::total(&totals, "requests.not_run"),
        };
        readings.insert(vm.clone(), reading);
    }
    Ok(readings)
}

/// Compares readings of the VMs that still run; what a lost VM spent is not known.
fn spent(
    before: &IndexMap<String, Reading>,
    after: &IndexMap<String, Reading>,
    outcome: &Outcome,
    config: &Config,
) -> Spent {
    let mut spent = Spent::default();
    let mut cpu = Duration::ZERO;
    let mut greatest = Duration::ZERO;
    for (vm, reading) in after {
        let earlier = before.get(vm).copied().unwrap_or_default();
        let own = reading.usage.since(&earlier.usage);
        cpu += own;
        greatest = greatest.max(own);
        spent.resident_kb = spent.resident_kb.max(reading.usage.resident_kb);
        spent.opened += reading.opened - earlier.opened;
        spent.retried += reading.retried - earlier.retried;
        spent.refused += reading.refused - earlier.refused;
    }
    let share = config.span.as_secs_f64() / outcome.span.as_secs_f64().max(f64::MIN_POSITIVE);
    let count = table::float(outcome.total().sent) * share;
    spent.core = greatest.as_secs_f64() / config.span.as_secs_f64();
    spent.each = cpu.div_f64(count.max(1.0));
    spent
}
