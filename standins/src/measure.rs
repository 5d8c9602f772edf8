//! The measurements of a run: load imbalance, moves of keys, and time without service.
//!
//! They are computed from the callers' look-ups and the targets' logs.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{caller::Sample, journal::Run};

/// A look-up that takes longer than this counts as not served.
pub const SERVED_WITHIN: Duration = Duration::from_millis(250);

/// Returns the ratio of the largest to the mean number of runs per target, over the given targets.
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
        let matching = runs.iter().filter(|run| run.target == *target);
        matching.count()
    });
    let largest = counts.clone().max().unwrap_or(0) as f64;
    let total: usize = counts.sum();
    if total == 0 {
        return 1.0;
    }
    largest * targets.len() as f64 / total as f64
}

/// Returns the mean number of moves to another target per key, over the keys that ran under an epoch.
#[allow(clippy::cast_precision_loss, reason = "counts of runs are small")]
pub fn churn(runs: &[Run]) -> f64 {
    let mut by_key: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for run in runs.iter().filter(|run| run.epoch > 0) {
        by_key.entry(&run.key).or_default().push(run);
    }
    let moves: usize = by_key.values_mut().map(|runs| count_moves(runs)).sum();
    moves as f64 / by_key.len().max(1) as f64
}

fn count_moves(runs: &mut [&Run]) -> usize {
    runs.sort_by_key(|run| run.started_ms);
    let pairs = runs.windows(2);
    pairs
        .filter(|pair| pair[0].target != pair[1].target)
        .count()
}

/// Returns for each key the longest time without service.
///
/// A gap starts when the first look-up that failed or took too long is sent, and ends when the next
/// one that is served in time is sent. A gap that is still open lasts until `end`.
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
    let mut gap_start = None;
    for sample in samples {
        if !is_in_time(sample) {
            gap_start.get_or_insert(sample.sent);
        } else if let Some(from) = gap_start.take() {
            longest = longest.max(sample.sent.saturating_sub(from));
        }
    }
    let open_gap = gap_start.map_or(Duration::ZERO, |from| end.saturating_sub(from));
    longest.max(open_gap)
}

fn is_in_time(sample: &Sample) -> bool {
    sample.served() && sample.took <= SERVED_WITHIN
}

/// Returns the keys that were looked up since a point in time and not served since then.
pub fn unserved(samples: &[Sample], since: Duration) -> IndexSet<String> {
    let recent = samples.iter().filter(|sample| sample.sent >= since);
    let mut keys: IndexSet<String> = recent.clone().map(|sample| sample.key.clone()).collect();
    for sample in recent.filter(|sample| sample.served()) {
        keys.swap_remove(&sample.key);
    }
    keys
}

/// Returns the reasons why look-ups were not served with their counts, the most frequent first.
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

/// Returns the keys that one of `targets` served, by the last served look-up sent before `before`.
pub fn keys_served_by(
    samples: &[Sample],
    targets: &IndexSet<String>,
    before: Duration,
) -> Vec<String> {
    let mut owners: IndexMap<&str, (Duration, &str)> = IndexMap::new();
    let all = samples.iter();
    for sample in all.filter(|sample| sample.served() && sample.sent < before) {
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
