//! The three measures as callers and targets' logs show them.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{caller::Sample, journal::Run};

/// A look-up answered later than this counts as one that was not served.
pub const SERVED_WITHIN: Duration = Duration::from_millis(250);

/// Returns the greatest over the mean count of runs by target, for the targets given.
///
/// # Example
///
/// ```
/// use bramleypier_standins::{journal::Run, measure};
///
/// let runs = [Run { target: "a".into(), ..Run::default() }];
/// assert_eq!(measure::imbalance(&runs, &["a".into(), "b".into()]), 2.0);
/// ```
#[allow(clippy::cast_precision_loss, reason = "counts of runs are small")]
pub fn imbalance(runs: &[Run], targets: &[String]) -> f64 {
    let counts = targets.iter().map(|target| {
        let own = runs.iter().filter(|run| run.target == *target);
        own.count()
    });
    let greatest = counts.clone().max().unwrap_or(0) as f64;
    let total: usize = counts.sum();
    if total == 0 {
        return 1.0;
    }
    greatest * targets.len() as f64 / total as f64
}

/// Returns how many times a key's work went on at another target, for each key that had work
/// under an epoch.
#[allow(clippy::cast_precision_loss, reason = "counts of runs are small")]
pub fn churn(runs: &[Run]) -> f64 {
    let mut by_key: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for run in runs.iter().filter(|run| run.epoch > 0) {
        by_key.entry(&run.key).or_default().push(run);
    }
    let moves: usize = by_key.values_mut().map(|runs| moves(runs)).sum();
    moves as f64 / by_key.len().max(1) as f64
}

fn moves(runs: &mut [&Run]) -> usize {
    runs.sort_by_key(|run| run.started_ms);
    let pairs = runs.windows(2);
    pairs
        .filter(|pair| pair[0].target != pair[1].target)
        .count()
}

/// Returns for each key the longest time without a look-up that was served.
///
/// A gap runs from the sending of the first look-up that failed, or was answered late, to the
/// sending of the next one that was served in time; one that never ended runs to `end`.
pub fn gaps(samples: &[Sample], end: Duration) -> IndexMap<String, Duration> {
    let mut by_key: IndexMap<&str, Vec<&Sample>> = IndexMap::new();
    for sample in samples {
        by_key.entry(&sample.key).or_default().push(sample);
    }
    let gaps = by_key.into_iter();
    gaps.map(|(key, samples)| (key.to_owned(), longest_gap(samples, end)))
        .collect()
}

fn longest_gap(mut samples: Vec<&Sample>, end: Duration) -> Duration {
    samples.sort_by_key(|sample| sample.sent);
    let mut longest = Duration::ZERO;
    let mut since = None;
    for sample in samples {
        if !in_time(sample) {
            since.get_or_insert(sample.sent);
        } else if let Some(from) = since.take() {
            longest = longest.max(sample.sent.saturating_sub(from));
        }
    }
    let open = since.map_or(Duration::ZERO, |from| end.saturating_sub(from));
    longest.max(open)
}

fn in_time(sample: &Sample) -> bool {
    sample.served() && sample.took <= SERVED_WITHIN
}

/// Returns the keys that were looked up since a time, and never served since.
pub fn unserved(samples: &[Sample], since: Duration) -> IndexSet<String> {
    let recent = samples.iter().filter(|sample| sample.sent >= since);
    let mut keys: IndexSet<String> = recent.clone().map(|sample| sample.key.clone()).collect();
    for sample in recent.filter(|sample| sample.served()) {
        keys.swap_remove(&sample.key);
    }
    keys
}

/// Returns why look-ups were not served, the most frequent reason first, with its count.
pub fn reasons(samples: &[Sample]) -> Vec<(String, usize)> {
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    for sample in samples.iter().filter(|sample| !sample.served()) {
        *counts.entry(&sample.reason).or_default() += 1;
    }
    counts.sort_by(|_, one, _, other| other.cmp(one));
    let counts = counts.into_iter();
    counts
        .map(|(reason, count)| (reason.to_owned(), count))
        .collect()
}

/// Returns the keys that a target served, by its last answers before a time.
pub fn keys_served_by(
    samples: &[Sample],
    targets: &IndexSet<String>,
    before: Duration,
) -> Vec<String> {
    let mut owners: IndexMap<&str, (Duration, &str)> = IndexMap::new();
    let earlier = samples.iter();
    for sample in earlier.filter(|sample| sample.served() && sample.sent < before) {
        let owner = owners.entry(&sample.key).or_default();
        if owner.0 <= sample.sent {
            *owner = (sample.sent, &sample.target);
        }
    }
    owners
        .into_iter()
        .filter(|(_, (_, target))| targets.contains(*target))
        .map(|(key, _)| key.to_owned())
        .collect()
}
