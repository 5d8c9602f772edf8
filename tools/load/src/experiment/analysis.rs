//! Analyses the logs that the callers and the targets wrote during a run.

use std::{io, time::Duration};

use bramleypier_standins::{
    audit::{self, Call, Findings, ReportedOutcome},
    caller::Sample,
    clock,
    journal::Run,
    measure,
};
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::{
    call_log::{self, Line},
    config::{Class, Config},
    worker,
};

/// Length of a time slice for which failures are counted.
const SLICE_MS: u64 = 100;
/// Number of findings of each kind that are described in full.
const MAX_EXAMPLES: usize = 5;
/// A time slice counts as served when at most one of this many requests fails.
const REQUESTS_PER_TOLERATED_FAILURE: u64 = 100;

/// Results of the analysis of a run.
#[derive(Clone, Debug, Default)]
pub struct Analysis {
    /// Greatest divided by mean number of executed requests per target.
    pub imbalance: f64,
    /// Number of moves to another target per key, as the targets' logs show them.
    pub churn: f64,
    /// Longest time for which some slice of the hash space was not served in time.
    pub gap: Duration,
    /// Total time of the time slices in which more than one request in a hundred was not served.
    pub failing: Duration,
    /// Findings of the audit.
    pub findings: Findings,
    /// Log entries of the first few findings of each kind.
    pub examples: Vec<String>,
}

impl Analysis {
    /// Returns the number of findings of the audit.
    pub fn finding_count(&self) -> u64 {
        let findings = &self.findings;
        let lists = [
            &findings.doubled,
            &findings.lost,
            &findings.untrue,
            &findings.unsound,
            &findings.two_owners,
        ];
        lists.iter().map(|list| list.len() as u64).sum()
    }
}

/// Reads the log files of all workers of a run.
///
/// # Errors
///
/// Fails when a file can't be read.
pub fn read_call_logs(config: &Config) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for worker in 0..config.workers.max(1) {
        if let Some(path) = worker::log_path(config, worker) {
            lines.extend(call_log::read(&path)?);
        }
    }
    Ok(lines)
}

/// Joins the callers' log with the requests that the targets ran.
///
/// The hash space is divided into `slices` equal parts. Requests of the first `warm_up` count for the audit only.
///
/// # Example
///
/// ```
/// use bramleypier_load::experiment::analysis;
///
/// assert!(analysis::analyse(&[], &[], &[], 60, std::time::Duration::ZERO).findings.is_clean());
/// ```
pub fn analyse(
    lines: &[Line],
    runs: &[Run],
    targets: &[String],
    slices: u64,
    warm_up: Duration,
) -> Analysis {
    let calls: Vec<Call> = lines.iter().map(Line::call).collect();
    let first = lines.iter().map(|line| line.sent_ms).min().unwrap_or(0);
    let from = first + clock::millis(warm_up);
    let counted = lines.iter().filter(move |line| line.sent_ms >= from);
    let lookups = || counted.clone().filter(|line| line.class == Class::Lookups);
    let samples: Vec<Sample> = lookups().map(|line| to_sample(line, slices)).collect();
    let last = lookups().map(|line| line.sent_ms).max().unwrap_or(0);
    let gaps = measure::gaps(&samples, Duration::from_millis(last));
    let findings = audit::audit(&calls, runs);
    Analysis {
        examples: describe_findings(&findings, lines, runs),
        imbalance: measure::imbalance(runs, targets),
        churn: measure::churn(runs),
        gap: gaps.values().max().copied().unwrap_or_default(),
        failing: failing_time(lookups()),
        findings,
    }
}

/// Lists the log entries of callers and targets for the first few findings of each kind.
fn describe_findings(findings: &Findings, lines: &[Line], runs: &[Run]) -> Vec<String> {
    let kinds = [
        ("doubled", &findings.doubled),
        ("lost", &findings.lost),
        ("untrue", &findings.untrue),
        ("unsound", &findings.unsound),
        ("two owners", &findings.two_owners),
    ];
    let found = kinds.iter().flat_map(|(kind, list)| {
        let first = list.iter().take(MAX_EXAMPLES);
        first.map(move |name| (kind, name))
    });
    let mut examples = Vec::new();
    for (kind, name) in found {
        examples.push(format!("{kind}: {name}"));
        let calls = lines.iter().filter(|line| line.id == *name);
        examples.extend(calls.map(|line| format!("  told {line:?}")));
        let ran = runs.iter().filter(|run| {
            run.key == *name || run.idempotency == *name || run.path.contains(name.as_str())
        });
        examples.extend(ran.map(|run| format!("  ran {run:?}")));
    }
    examples
}

/// Converts a log line to a sample of the hash space slice that contains its key.
fn to_sample(line: &Line, slices: u64) -> Sample {
    let served = is_served(line);
    let hash = u128::from(xxh3::xxh3_64(line.key.as_bytes()));
    let slice = (hash * u128::from(slices.max(1))) >> u64::BITS;
    Sample {
        service: String::new(),
        key: slice.to_string(),
        sent: Duration::from_millis(line.sent_ms),
        took: Duration::from_micros(line.latency_us),
        target: if served {
            line.peer.clone()
        } else {
            String::new()
        },
        reason: String::new(),
    }
}

fn is_served(line: &Line) -> bool {
    line.told == ReportedOutcome::Ran && line.sound && line.status == 200
}

/// Returns the total time of the time slices in which too many look-ups were not served.
///
/// # Example
///
/// ```
/// use bramleypier_load::experiment::analysis;
///
/// assert!(analysis::failing_time([].into_iter()).is_zero());
/// ```
pub fn failing_time<'a, I>(lines: I) -> Duration
where
    I: Iterator<Item = &'a Line>,
{
    let mut slices: IndexMap<u64, (u64, u64)> = IndexMap::new();
    for line in lines {
        let (all, failed) = slices.entry(line.sent_ms / SLICE_MS).or_default();
        *all += 1;
        *failed += u64::from(!is_served(line));
    }
    let failing = slices
        .values()
        .filter(|(all, failed)| failed * REQUESTS_PER_TOLERATED_FAILURE > *all);
    Duration::from_millis(failing.count() as u64 * SLICE_MS)
}
