//! Runs one cell of the experiment matrix and collects its results.

use std::{fmt, time::Duration};

use futures_util::future;
use indexmap::IndexMap;

use crate::{
    config::Config,
    experiment::{
        analysis::{self, Analysis},
        fault::Fault,
    },
    run::RunResults,
    table::{self, millis},
    tally::Counts,
    testbed::{self, Error, Testbed},
    usage::Usage,
};

/// The fault is injected after the counted time divided by this number.
const FAULT_TIME_DIVISOR: u32 = 4;

/// Slices of the hash space per target: the number of ranges that a target has.
const SLICES_PER_TARGET: u64 = 4;

/// One run of the experiment matrix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Injected fault.
    pub fault: Fault,
    /// Load, in percent of the capacity of all slots.
    pub load: f64,
    /// Number of the round, from zero.
    pub round: usize,
}

/// Resources that the VMs used in a run, and sums of their counters.
#[derive(Clone, Debug, Default)]
pub struct FleetUsage {
    /// Processor time of the busiest VM, as a fraction of one core.
    pub max_core_share: f64,
    /// Processor time of all VMs per request.
    pub cpu_per_request: Duration,
    /// Greatest resident memory of a VM, in kilobytes.
    pub resident_kb: u64,
    /// Number of connections opened to targets.
    pub opened: i64,
    /// Number of attempts after the first.
    pub retried: i64,
    /// Number of refused requests.
    pub refused: i64,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Row {
    /// Route of the requests: through the VMs, direct, or a simulated baseline.
    pub route: &'static str,
    /// Cell of the matrix.
    pub cell: Cell,
    /// Counts of requests, as their callers saw them.
    pub counts: Counts,
    /// Duration for which requests were counted.
    pub duration: Duration,
    /// Resources that the VMs used; none when no requests went through them.
    pub fleet_usage: Option<FleetUsage>,
    /// Analysis of the logs; none when there are no logs.
    pub analysis: Option<Analysis>,
}

impl Row {
    /// Header of a CSV table of rows.
    pub const CSV_HEADER: &str = "route,fault,load,round,sent,good,not_run,unknown,errors,unsound,\
                            goodput,p50_ms,p99_ms,p999_ms,max_ms,refused_p99_ms,core,cpu_us,\
                            resident_mb,opened,retried,refused,imbalance,churn,gap_ms,failing_ms,\
                            doubled,lost,untrue,unsound_audit,two_owners";

    /// Creates a row from the callers' counts, without usage and analysis.
    pub fn new(route: &'static str, cell: &Cell, counts: &Counts, duration: Duration) -> Self {
        Self {
            route,
            cell: *cell,
            counts: counts.clone(),
            duration,
            fleet_usage: None,
            analysis: None,
        }
    }

    /// Returns the number of successful requests per second.
    pub fn goodput(&self) -> f64 {
        table::goodput(&self.counts, self.duration)
    }
}

/// Formats the row as CSV.
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
        match &self.fleet_usage {
            Some(fleet_usage) => write!(f, ",{fleet_usage}")?,
            None => f.write_str(",,,,,,")?,
        }
        match &self.analysis {
            Some(analysis) => write!(f, ",{analysis}"),
            None => f.write_str(",,,,,,,,,"),
        }
    }
}

impl fmt::Display for FleetUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3},{:.1},{:.1},{},{},{}",
            self.max_core_share,
            self.cpu_per_request.as_secs_f64() * 1e6,
            table::megabytes(self.resident_kb),
            self.opened,
            self.retried,
            self.refused,
        )
    }
}

impl fmt::Display for Analysis {
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

/// Runs a cell on a newly started fleet and returns the fleet with the row.
///
/// # Errors
///
/// Fails when the load can't be sent, the fault can't be injected, or counters or logs can't be read.
pub async fn run(
    mut testbed: Testbed,
    cell: &Cell,
    config: &Config,
) -> Result<(Row, Testbed), Error> {
    let before = read_vms(&testbed).await?;
    let counted = config.duration.saturating_sub(config.warm_up);
    let due = config.warm_up + counted / FAULT_TIME_DIVISOR;
    let load = testbed::run_load(config);
    let inject = cell.fault.inject(&mut testbed, due);
    let (results, injected) = future::join(load, inject).await;
    let (results, ()) = (results?, injected?);
    let after = read_vms(&testbed).await?;
    let mut row = Row::new("bramleypier", cell, &results.total(), results.duration);
    row.fleet_usage = Some(compute_usage(&before, &after, &results, config));
    row.analysis = Some(analyse_logs(&testbed, config)?);
    Ok((row, testbed))
}

fn analyse_logs(testbed: &Testbed, config: &Config) -> Result<Analysis, Error> {
    let lines = analysis::read_call_logs(config).map_err(|cause| Error::Load("log", cause))?;
    let runs = testbed.fleet.runs_of_targets()?;
    let running = testbed.documents.iter().flat_map(|document| {
        let names = document.targets.keys();
        names.filter(|name| testbed.fleet.is_running(name)).cloned()
    });
    let running: Vec<String> = running.collect();
    let slices = testbed.fleet.targets.len() as u64 * SLICES_PER_TARGET;
    Ok(analysis::analyse(
        &lines,
        &runs,
        &running,
        slices,
        config.warm_up,
    ))
}

/// Usage and counters of a VM so far.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    usage: Usage,
    opened: i64,
    retried: i64,
    refused: i64,
}

/// Reads the usage and counters of all running VMs.
async fn read_vms(testbed: &Testbed) -> Result<IndexMap<String, Reading>, Error> {
    let mut readings = IndexMap::new();
    for vm in testbed.vms.iter().filter(|vm| testbed.fleet.is_running(vm)) {
        let totals = testbed.totals(vm).await?;
        let reading = Reading {
            usage: testbed.usage(vm)?,
            opened: testbed::metric_sum(&totals, "connections.opened"),
            retried: testbed::metric_sum(&totals, "requests.retried"),
            refused: testbed::metric_sum(&totals, "requests.not_run"),
        };
        readings.insert(vm.clone(), reading);
    }
    Ok(readings)
}

/// Computes the usage between two readings of the VMs that still run; that of a lost VM is unknown.
fn compute_usage(
    before: &IndexMap<String, Reading>,
    after: &IndexMap<String, Reading>,
    results: &RunResults,
    config: &Config,
) -> FleetUsage {
    let mut fleet_usage = FleetUsage::default();
    let mut cpu = Duration::ZERO;
    let mut max_cpu = Duration::ZERO;
    for (vm, reading) in after {
        let earlier = before.get(vm).copied().unwrap_or_default();
        let vm_cpu = reading.usage.since(&earlier.usage);
        cpu += vm_cpu;
        max_cpu = max_cpu.max(vm_cpu);
        fleet_usage.resident_kb = fleet_usage.resident_kb.max(reading.usage.resident_kb);
        fleet_usage.opened += reading.opened - earlier.opened;
        fleet_usage.retried += reading.retried - earlier.retried;
        fleet_usage.refused += reading.refused - earlier.refused;
    }
    let duration_ratio =
        config.duration.as_secs_f64() / results.duration.as_secs_f64().max(f64::MIN_POSITIVE);
    let count = table::to_f64(results.total().sent) * duration_ratio;
    fleet_usage.max_core_share = max_cpu.as_secs_f64() / config.duration.as_secs_f64();
    fleet_usage.cpu_per_request = cpu.div_f64(count.max(1.0));
    fleet_usage
}
