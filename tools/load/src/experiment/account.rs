//! What the callers' and the targets' logs say of a run.

use std::{io, time::Duration};

use bramleypier_standins::{
    audit::{self, Call, Findings, Told},
    caller::Sample,
    clock,
    journal::Run,
    measure,
};
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::{
    config::{Class, Config},
    journal::{self, Line},
    worker,
};

/// The length of a slice of time in which failures are counted.
const SLICE: u64 = 100;
/// How many findings of each kind are told in full.
const EXAMPLES: usize = 5;
/// One request in so many may fail in a slice that counts as served.
const TOLERATED: u64 = 100;

/// What the logs say of a run.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Greatest over mean count of runs by target.
    pub imbalance: f64,
    /// How often a key's work went on at another target, for each key.
    pub churn: f64,
    /// The longest time for which a slice of the hash space was not served in time.
    pub gap: Duration,
    /// All slices of time in which more than one request in a hundred was not served.
    pub failing: Duration,
    /// What the audit found.
    pub findings: Findings,
    /// All that is known of some of the requests that it found.
    pub examples: Vec<String>,
}

impl Account {
    /// Returns how many findings the audit has.
    pub fn count(&self) -> u64 {
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

/// Reads what the workers of a run wrote.
///
/// # Errors
///
/// Fails when a file can't be read.
pub fn lines(config: &Config) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for worker in 0..config.workers.max(1) {
        if let Some(path) = worker::log_path(config, worker) {
            lines.extend(journal::read(&path)?);
        }
    }
    Ok(lines)
}

/// Joins the callers' lines with what the targets ran.
///
/// The hash space is cut into `slices` equal parts; the first `warm_up` counts for the audit only.
///
/// # Example
///
/// ```
/// use bramleypier_load::experiment::account;
///
/// assert!(account::account(&[], &[], &[], 60, std::time::Duration::ZERO).findings.is_clean());
/// ```
pub fn account(
    lines: &[Line],
    runs: &[Run],
    targets: &[String],
    slices: u64,
    warm_up: Duration,
) -> Account {
    let calls: Vec<Call> = lines.iter().map(Line::call).collect();
    let first = lines.iter().map(|line| line.sent_ms).min().unwrap_or(0);
    let from = first + clock::millis(warm_up);
    let counted = lines.iter().filter(move |line| line.sent_ms >= from);
    let lookups = || counted.clone().filter(|line| line.class == Class::Lookups);
    let samples: Vec<Sample> = lookups().map(|line| sample(line, slices)).collect();
    let last = lookups().map(|line| line.sent_ms).max().unwrap_or(0);
    let gaps = measure::gaps(&samples, Duration::from_millis(last));
    let findings = audit::audit(&calls, runs);
    Account {
        examples: examples(&findings, lines, runs),
        imbalance: measure::imbalance(runs, targets),
        churn: measure::churn(runs),
        gap: gaps.values().max().copied().unwrap_or_default(),
        failing: failing(lookups()),
        findings,
    }
}

/// Tells what callers and targets say of the first few requests and keys that were found.
fn examples(findings: &Findings, lines: &[Line], runs: &[Run]) -> Vec<String> {
    let kinds = [
        ("doubled", &findings.doubled),
        ("lost", &findings.lost),
        ("untrue", &findings.untrue),
        ("unsound", &findings.unsound),
        ("two owners", &findings.two_owners),
    ];
    let found = kinds.iter().flat_map(|(kind, list)| {
        let first = list.iter().take(EXAMPLES);
        first.map(move |name| (kind, name))
    });
    let mut examples = Vec::new();
    for (kind, name) in found {
        examples.push(format!("{kind}: {name}"));
        let told = lines.iter().filter(|line| line.id == *name);
        examples.extend(told.map(|line| format!("  told {line:?}")));
        let ran = runs.iter().filter(|run| {
            run.key == *name || run.idempotency == *name || run.path.contains(name.as_str())
        });
        examples.extend(ran.map(|run| format!("  ran {run:?}")));
    }
    examples
}

/// Takes a line as a sample of the slice that its key stands in.
fn sample(line: &Line, slices: u64) -> Sample {
    let served = is_served(line);
    let point = u128::from(xxh3::xxh3_64(line.key.as_bytes()));
    let slice = (point * u128::from(slices.max(1))) >> u64::BITS;
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
    line.told == Told::Ran && line.sound && line.status == 200
}

/// Adds up the slices of time in which too many look-ups were not served.
///
/// # Example
///
/// ```
/// use bramleypier_load::experiment::account;
///
/// assert!(account::failing([].into_iter()).is_zero());
/// ```
pub fn failing<'a, I>(lines: I) -> Duration
where
    I: Iterator<Item = &'a Line>,
{
    let mut slices: IndexMap<u64, (u64, u64)> = IndexMap::new();
    for line in lines {
        let (all, failed) = slices.entry(line.sent_ms / SLICE).or_default();
        *all += 1;
        *failed += u64::from(!is_served(line));
    }
    let failing = slices
        .values()
        .filter(|(all, failed)| failed * TOLERATED > *all);
    Duration::from_millis(failing.count() as u64 * SLICE)
}
