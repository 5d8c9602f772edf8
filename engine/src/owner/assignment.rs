//! Assigns ranges of keys that have no owner.
//!
//! Load pattern: a service's first targets, or the keys of targets that have ended. All ranges get owners at once, in
//! proportion to what these can serve, before any load of the keys may be known.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use indexmap::IndexMap;

use super::{
    balance::{Candidate, Move},
    load::Load,
    record::{Incarnation, KeyRange, Record, RequestKey},
};

/// Splits ranges without an owner among candidates in proportion to capacity, the least loaded first.
///
/// Ranges without measured load are split by width; owners of neighbouring keys get no preference.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{
///     assignment,
///     balance::Candidate,
///     load::Load,
///     record::{Incarnation, Record},
/// };
///
/// let incarnation = |id: &str| Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let candidate = |id: &str| Candidate { incarnation: incarnation(id), capacity: 2.0 };
/// let record = Record::unowned(99);
/// let moves = assignment::assign(&record, &record.ranges, &[candidate("a"), candidate("b")], &Load::default());
/// let bounds: Vec<_> = moves.iter().map(|it| (it.from, it.to)).collect();
/// assert_eq!(bounds, [(0, 49), (50, 99)]);
/// ```
pub fn assign(
    record: &Record,
    free: &[KeyRange],
    candidates: &[Candidate],
    load: &Load,
) -> Vec<Move> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut weights = weights_of(record, candidates, load);
    let keys: u64 = record.ranges.iter().map(KeyRange::width).sum();
    let mut moves = Vec::new();
    for range in free {
        assign_range(range, keys, candidates, load, &mut weights, &mut moves);
    }
    moves
}

/// Returns the weight that each candidate carries already, see [`weight_of`].
fn weights_of(
    record: &Record,
    candidates: &[Candidate],
    load: &Load,
) -> IndexMap<Incarnation, f64> {
    let mut weights: IndexMap<_, _> = candidates
        .iter()
        .map(|it| (it.incarnation.clone(), 0.0))
        .collect();
    let keys: u64 = record.ranges.iter().map(KeyRange::width).sum();
    let total = load.rate(0, RequestKey::MAX).max(1.0);
    for range in &record.ranges {
        let Some(sum) = range
            .owner
            .as_ref()
            .and_then(|incarnation| weights.get_mut(incarnation))
        else {
            continue;
        };
        *sum += weight_of(range.from, range.to, keys, total, load);
    }
    weights
}

/// Returns the weight of a range: its fraction of all load, plus a little for its width, since its keys may get load.
fn weight_of(from: RequestKey, to: RequestKey, keys: u64, total: f64, load: &Load) -> f64 {
    const WIDTH_WEIGHT: f64 = 0.2;
    let width = (to - from + 1) as f64 / keys.max(1) as f64;
    load.rate(from, to) / total + WIDTH_WEIGHT * width
}

/// Gives a range without an owner to candidates, the least loaded first.
fn assign_range(
    range: &KeyRange,
    keys: u64,
    candidates: &[Candidate],
    load: &Load,
    weights: &mut IndexMap<Incarnation, f64>,
    moves: &mut Vec<Move>,
) {
    let total = load.rate(0, RequestKey::MAX).max(1.0);
    let capacity: f64 = candidates.iter().map(|it| it.capacity).sum();
    let whole: f64 = weight_of(range.from, range.to, keys, total, load);
    let all: f64 = weights.values().sum::<f64>() + whole;
    let mut rest = range.clone();
    loop {
        let Some(candidate) = least_loaded(candidates, weights) else {
            return;
        };
        let free_weight = all * candidate.capacity / capacity - weights[&candidate.incarnation];
        let remaining = weight_of(rest.from, rest.to, keys, total, load);
        let to = if free_weight >= remaining * 0.95 {
            rest.to
        } else {
            last_key_for(&rest, free_weight, keys, total, load)
        };
        let weight = weight_of(rest.from, to, keys, total, load);
        *weights.entry(candidate.incarnation.clone()).or_default() += weight;
        moves.push(Move {
            from: rest.from,
            to,
            owner: candidate.incarnation.clone(),
        });
        if to >= rest.to {
            return;
        }
        rest.from = to + 1;
    }
}

/// Returns the candidate with the lowest weight for its capacity.
fn least_loaded<'a>(
    candidates: &'a [Candidate],
    weights: &IndexMap<Incarnation, f64>,
) -> Option<&'a Candidate> {
    let level = |it: &Candidate| {
        weights.get(&it.incarnation).copied().unwrap_or(0.0) / it.capacity.max(0.01)
    };
    candidates
        .iter()
        .min_by(|a, b| level(a).total_cmp(&level(b)))
}

/// Returns the last key of the prefix of a range that weighs about `free_weight`, by bisection.
fn last_key_for(
    range: &KeyRange,
    free_weight: f64,
    keys: u64,
    total: f64,
    load: &Load,
) -> RequestKey {
    let (mut low, mut high) = (range.from, range.to);
    while low < high {
        let middle = low + (high - low) / 2;
        if weight_of(range.from, middle, keys, total, load) < free_weight {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    low
}
