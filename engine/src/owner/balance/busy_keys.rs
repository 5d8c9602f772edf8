//! The keys of one owner that have load, and the runs of them that are worth a move.

use super::{Ranges, Taken};
use crate::owner::{load::Load, record::RequestKey};

/// The maximum ratio of the wanted load that a run of keys may carry.
const MAX_RUN_RATIO: f64 = 1.25;

/// A run of keys with its rate in requests per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) from: RequestKey,
    pub(super) to: RequestKey,
    pub(super) rate: f64,
}

impl Run {
    /// Returns how many keys it has besides the first.
    fn width(&self) -> RequestKey {
        self.to - self.from
    }
}

/// The keys of one range that have load.
struct BusyRange {
    /// The keys with their rates, in requests per second.
    keys: Vec<(RequestKey, f64)>,
    /// For each key, the sum of the rates up to it, as far as they are likely not to be chance.
    sums: Vec<f64>,
}

impl BusyRange {
    fn new(load: &Load, from: RequestKey, to: RequestKey) -> Self {
        let keys = load.key_rates(from, to);
        let known = keys.iter().zip(load.known_ratios(from, to));
        let sums = known.scan(0.0, |sum, ((_, rate), ratio)| {
            *sum += rate * ratio;
            Some(*sum)
        });
        let sums = sums.collect();
        Self { keys, sums }
    }

    /// Returns the rate that a run of keys, given as indexes, is expected to keep, in requests per second.
    ///
    /// `density` is the rate of each key of the owner besides what is known.
    fn expected_rate(&self, start: usize, end: usize, density: f64) -> f64 {
        let before = start.checked_sub(1).map_or(0.0, |at| self.sums[at]);
        let width = self.keys[end].0 - self.keys[start].0 + 1;
        self.sums[end] - before + density * width as f64
    }

    fn run(&self, start: usize, end: usize, density: f64) -> Run {
        Run {
            from: self.keys[start].0,
            to: self.keys[end].0,
            rate: self.expected_rate(start, end, density),
        }
    }
}

/// The keys of one owner that have load.
pub(super) struct BusyKeys {
    ranges: Vec<BusyRange>,
    /// The rate of each key besides what is known, in requests per second.
    density: f64,
}

impl BusyKeys {
    /// Returns the busy keys of some ranges, which have `rate` requests per second in all.
    pub(super) fn new(load: &Load, ranges: &Ranges, rate: f64) -> Self {
        let busy = ranges.iter();
        let busy: Vec<_> = busy
            .map(|(from, to)| BusyRange::new(load, *from, *to))
            .collect();
        let known: f64 = busy.iter().filter_map(|it| it.sums.last()).sum();
        let width: u64 = ranges.iter().map(|(from, to)| to - from + 1).sum();
        Self {
            ranges: busy,
            density: (rate - known).max(0.0) / width.max(1) as f64,
        }
    }

    /// Returns the keys with their rates, in requests per second.
    pub(super) fn iter(&self) -> impl Iterator<Item = &(RequestKey, f64)> {
        self.ranges.iter().flat_map(|it| &it.keys)
    }

    /// Returns the single key with the highest expected rate of those that aren't taken.
    pub(super) fn hottest(&self, taken: &Taken) -> Option<Run> {
        let all = self.ranges.iter().flat_map(|range| {
            let key = |at| range.run(at, at, self.density);
            (0..range.keys.len()).map(key)
        });
        all.filter(|it| !taken.overlaps(it.from, it.to))
            .max_by(|a, b| a.rate.total_cmp(&b.rate))
    }

    /// Returns the narrowest run within one range that isn't taken and carries about `wanted` requests per second, at least
    /// `min_ratio` of it.
    pub(super) fn narrowest_run(&self, wanted: f64, min_ratio: f64, taken: &Taken) -> Option<Run> {
        let ranges = self.ranges.iter();
        let runs = ranges.filter_map(|it| self.narrowest_in(it, wanted, min_ratio, taken));
        runs.min_by_key(Run::width)
    }

    /// Returns the narrowest such run of one range, by a sliding window.
    fn narrowest_in(
        &self,
        range: &BusyRange,
        wanted: f64,
        min_ratio: f64,
        taken: &Taken,
    ) -> Option<Run> {
        let max = wanted * MAX_RUN_RATIO;
        let mut start = 0;
        let mut best: Option<Run> = None;
        for end in 0..range.keys.len() {
            let rate = |start| range.expected_rate(start, end, self.density);
            while start < end && (rate(start + 1) >= wanted || rate(start) > max) {
                start += 1;
            }
            let run = range.run(start, end, self.density);
            let fits = run.rate >= wanted * min_ratio && run.rate <= max;
            let narrower = best.is_none_or(|least| run.width() < least.width());
            if fits && narrower && !taken.overlaps(run.from, run.to) {
                best = Some(run);
            }
        }
        best
    }
}
