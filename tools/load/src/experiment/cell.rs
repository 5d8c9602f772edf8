//! One run and what came of it.

use std::{fmt, time::Duration};

use futures_util::future;

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
                            resident_mb,opened,retried,refused,imbalance,gap_ms,failing_ms,\
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
            None => f.write_str(",,,,,,,,"),
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
            "{:.3},{},{},{},{},{},{},{}",
            self.imbalance,
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
    let before = Readings::take(&scene).await?;
    let counted = config.span.saturating_sub(config.warm_up);
    let after = config.warm_up + counted / FAULT_PART;
    let load = scene::load(config);
    let strike = cell.fault.strike(&mut scene, after);
    let (outcome, struck) = future::join(load, strike).await;
    let (outcome, ()) = (outcome?, struck?);
    let readings = Readings::take(&scene).await?;
    let mut row = Row::new("bramleypier", cell, &outcome.total(), outcome.span);
    row.spent = Some(spent(&before, &readings, &outcome, config));
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
    Ok(account::account(&lines, &runs, &serving))
}

/// Readings of all VMs that run.
struct Readings {
    usage: Vec<(String, Usage)>,
    opened: i64,
    retried: i64,
    refused: i64,
}

impl Readings {
    async fn take(scene: &Scene) -> Result<Self, Error> {
        let running = scene.vms.iter().filter(|vm| scene.fleet.runs(vm));
        let usage = running.map(|vm| Ok((vm.clone(), scene.usage(vm)?)));
        Ok(Self {
            usage: usage.collect::<Result<_, Error>>()?,
            opened: scene.total("connections.opened").await?,
            retried: scene.total("requests.retried").await?,
            refused: scene.total("requests.not_run").await?,
        })
    }
}

/// Compares readings; a VM that was lost on the way counts in neither, but in the totals before.
fn spent(before: &Readings, after: &Readings, outcome: &Outcome, config: &Config) -> Spent {
    let mut cpu = Duration::ZERO;
    let mut greatest = Duration::ZERO;
    let mut resident_kb = 0;
    for (vm, usage) in &after.usage {
        let earlier = before.usage.iter().find(|(other, _)| other == vm);
        let own = usage.since(&earlier.map_or(Usage::default(), |(_, usage)| *usage));
        cpu += own;
        greatest = greatest.max(own);
        resident_kb = resident_kb.max(usage.resident_kb);
    }
    let share = config.span.as_secs_f64() / outcome.span.as_secs_f64().max(f64::MIN_POSITIVE);
    let sent = table::float(outcome.total().sent) * share;
    Spent {
        core: greatest.as_secs_f64() / config.span.as_secs_f64(),
        each: cpu.div_f64(sent.max(1.0)),
        resident_kb,
        opened: after.opened - before.opened,
        retried: after.retried - before.retried,
        refused: after.refused - before.refused,
    }
}
