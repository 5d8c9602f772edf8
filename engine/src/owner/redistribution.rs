//! Plans new owners for all keys of a service when only a few targets have most of the load.
//!
//! Load pattern: the first requests after a start, or after the hot keys have changed, fall on a narrow run
//! of keys. Moving keys run by run takes seconds; one redistribution by the measured load takes as long as
//! one move.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "keys and their counts are far below 2^52 and never negative"
)]

use std::collections::HashMap;

use super::{
    balance::{self, Candidate, Move},
    load::Load,
    record::{Incarnation, KeyRange, Record, RequestKey},
};

/// The minimum number of requests that must have been counted before the load counts as known.
const MIN_REQUESTS: f64 = 40.0;
/// That number for each target: below it, chance alone makes some targets look far busier than others.
const MIN_REQUESTS_PER_TARGET: f64 = 3.0;
/// The ratio of the excess load, see [`excess`], to all load above which keys are redistributed.
///
/// A redistribution moves most keys; single runs of keys move for a smaller excess.
const MIN_EXCESS_RATIO: f64 = 0.25;
/// Ratio of a candidate's load to its fair share above which the rest counts as excess.
const MAX_IMBALANCE: f64 = 1.4;
/// That number before targets are levelled: a target's time is known by then to a third.
const MIN_LEVEL_REQUESTS_PER_TARGET: f64 = 8.0;
/// Ratio of a candidate's load to its share above which the rest counts as excess in [`speed_gain`].
const MAX_SPEED_IMBALANCE: f64 = 1.15;
/// The minimum gain that is worth levelling the targets, as a ratio to all load.
const MIN_SPEED_GAIN: f64 = 0.03;
/// The minimum ratio of that gain to the fraction of keys that move for it.
const MIN_GAIN_PER_KEYS: f64 = 0.15;
/// The minimum mean utilisation at which levelling is worth its cost: below it, hardly any target queues requests.
const MIN_LEVEL_UTILISATION: f64 = 0.3;
/// The minimum mean utilisation at which a redistribution is worth its cost.
const MIN_UTILISATION: f64 = 0.15;
/// The fraction of the weight that is spread evenly over all keys, since any key may become hot.
const WIDTH_WEIGHT: f64 = 0.15;
/// The maximum ratio of the excess that is left after a redistribution: the load of a single key is left whoever owns it.
const MAX_KEPT_EXCESS: f64 = 0.75;

/// Plans a redistribution, or returns nothing while the load is spread well enough.
///
/// Each candidate gets one run of keys; the runs are in the order in which the candidates own keys now.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     balance::Candidate,
///     redistribution,
///     load::Load,
///     record::{Incarnation, KeyRange, Record},
/// };
///
/// let incarnation = |id: &str| Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let range = |from, to, id| KeyRange { from, to, fence: 1, owner: Some(incarnation(id)) };
/// let record = Record { ranges: vec![range(0, 49, "a"), range(50, 99, "b")], ..Record::default() };
/// let candidates = ["a", "b"].map(|id| Candidate { incarnation: incarnation(id), capacity: 20.0 });
/// let mut load = Load::default();
/// load.add(Duration::ZERO, (0..20).map(|key| (key, 6)));
/// let moves = redistribution::plan(&record, &candidates, &load);
/// assert_eq!(moves.len(), 1);
/// assert!(moves[0].from < 20 && moves[0].to == 49);
/// ```
pub fn plan(record: &Record, candidates: &[Candidate], load: &Load) -> Vec<Move> {
    let total = load.rate(0, RequestKey::MAX);
    let capacity: f64 = candidates.iter().map(|it| it.capacity).sum();
    let known = is_load_known(candidates.len(), load);
    if !known || total < capacity * MIN_UTILISATION {
        return Vec::new();
    }
    let rates = owner_rates(record, candidates, load);
    let shares = candidates.iter().map(|it| it.capacity);
    let before = excess(&rates, shares, MAX_IMBALANCE);
    if before <= total * MIN_EXCESS_RATIO {
        return Vec::new();
    }
    let Some(last) = record.ranges.last().map(|range| range.to) else {
        return Vec::new();
    };
    let ordered = in_key_order(record, candidates);
    let bounds = split_by_load(&ordered, last, load, total, capacity);
    let next: Vec<f64> = bounds.iter().map(|it| load.rate(it.0, it.1)).collect();
    let shares = ordered.iter().map(|it| it.capacity);
    if excess(&next, shares, MAX_IMBALANCE) > before * MAX_KEPT_EXCESS {
        return Vec::new();
    }
    let mut moves = Vec::new();
    for (from, to, owner) in bounds {
        push_changes(record, from, to, &owner, &mut moves);
    }
    moves
}

/// Returns whether enough requests were counted for a number of targets.
fn is_load_known(targets: usize, load: &Load) -> bool {
    load.request_count() >= MIN_REQUESTS.max(MIN_REQUESTS_PER_TARGET * targets as f64)
}

/// Returns by how much the excess load falls, as a ratio to all load, if keys are owned by capacity instead of by
/// `nominal`, the capacities of the candidates if all were equally fast.
///
/// It is near zero if the candidates are alike, and negative once keys are owned by capacity. Most scatter of the load is
/// left out, see [`balance::level`].
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     balance::Candidate,
///     redistribution,
///     load::Load,
///     record::{Incarnation, KeyRange, Record},
/// };
///
/// let incarnation = |id: &str| Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let range = |from, to, id| KeyRange { from, to, fence: 1, owner: Some(incarnation(id)) };
/// let record = Record { ranges: vec![range(0, 49, "a"), range(50, 99, "b")], ..Record::default() };
/// let candidate = |id: &str, capacity| Candidate { incarnation: incarnation(id), capacity };
/// let mut load = Load::default();
/// load.add(Duration::ZERO, (0..100).map(|key| (key, 1)));
/// let uneven = [candidate("a", 400.0), candidate("b", 800.0)];
/// assert!(redistribution::speed_gain(&record, &uneven, &[600.0, 600.0], &load) > 0.1);
/// let alike = [candidate("a", 590.0), candidate("b", 610.0)];
/// assert!(redistribution::speed_gain(&record, &alike, &[600.0, 600.0], &load) < 0.01);
/// ```
pub fn speed_gain(record: &Record, candidates: &[Candidate], nominal: &[f64], load: &Load) -> f64 {
    let rates = balance::expected_rates(record, candidates, load);
    let total: f64 = rates.iter().sum();
    let capacity: f64 = candidates.iter().map(|it| it.capacity).sum();
    let min_requests = MIN_LEVEL_REQUESTS_PER_TARGET * candidates.len() as f64;
    let known = load.request_count() >= min_requests.max(MIN_REQUESTS);
    if !known || total < capacity * MIN_LEVEL_UTILISATION {
        return 0.0;
    }
    let by_capacity = candidates.iter().map(|it| it.capacity);
    let by_nominal = nominal.iter().copied();
    let now = excess(&rates, by_capacity, MAX_SPEED_IMBALANCE);
    let then = excess(&rates, by_nominal, MAX_SPEED_IMBALANCE);
    (now - then) / total
}

/// Returns whether moves that level the candidates are worth their cost, which is the fraction of keys that move.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{record::Record, redistribution};
///
/// assert!(!redistribution::is_level_worth(&Record::unowned(9), 0.02, &[]));
/// assert!(redistribution::is_level_worth(&Record::unowned(9), 0.1, &[]));
/// ```
pub fn is_level_worth(record: &Record, gain: f64, moves: &[Move]) -> bool {
    let keys = record.ranges.iter().map(KeyRange::width).sum::<u64>() as f64;
    let count = moves.iter().map(|it| it.to - it.from + 1).sum::<u64>() as f64;
    gain >= MIN_SPEED_GAIN && gain >= count / keys.max(1.0) * MIN_GAIN_PER_KEYS
}

/// Returns the rate of each candidate, in requests per second.
fn owner_rates(record: &Record, candidates: &[Candidate], load: &Load) -> Vec<f64> {
    let mut rates: HashMap<&Incarnation, f64> = HashMap::new();
    for range in &record.ranges {
        if let Some(incarnation) = &range.owner {
            *rates.entry(incarnation).or_default() += load.rate(range.from, range.to);
        }
    }
    let rate = |it: &Candidate| rates.get(&it.incarnation).copied().unwrap_or(0.0);
    candidates.iter().map(rate).collect()
}

/// Returns the load that exceeds the fair shares of its owners by a factor, in requests per second.
///
/// `capacities` are those of the owners, in the order of their rates.
fn excess<I>(rates: &[f64], capacities: I, max_imbalance: f64) -> f64
where
    I: Iterator<Item = f64> + Clone,
{
    let total: f64 = rates.iter().sum();
    let sum: f64 = capacities.clone().sum();
    // The load of one key can't be split.
    let above =
        |(rate, capacity): (&f64, f64)| (rate - total * capacity / sum * max_imbalance).max(0.0);
    rates.iter().zip(capacities).map(above).sum()
}

/// Returns the candidates in the order of the middle of their keys.
fn in_key_order<'a>(record: &Record, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let middle = |it: &Candidate| {
        let own = record
            .ranges
            .iter()
            .filter(|range| range.owner.as_ref() == Some(&it.incarnation));
        let (sum, keys) = own.fold((0.0, 0.0), |(sum, keys), range| {
            let width = range.width() as f64;
            (
                sum + width * (range.from as f64 + width / 2.0),
                keys + width,
            )
        });
        if keys > 0.0 { sum / keys } else { f64::MAX }
    };
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by(|a, b| middle(a).total_cmp(&middle(b)));
    sorted
}

/// Splits all keys into one run for each candidate, by load and a little by width.
fn split_by_load(
    candidates: &[&Candidate],
    last: RequestKey,
    load: &Load,
    total: f64,
    capacity: f64,
) -> Vec<(RequestKey, RequestKey, Incarnation)> {
    let keys = last as f64 + 1.0;
    let per_key = total * WIDTH_WEIGHT / (1.0 - WIDTH_WEIGHT) / keys;
    let whole = total + per_key * keys;
    let hot_keys = load.key_rates(0, last);
    let mut bounds = Vec::new();
    let mut from = 0;
    let mut next = 0;
    let mut assigned = 0.0;
    let mut wanted = 0.0;
    for (at, candidate) in candidates.iter().enumerate() {
        wanted += whole * candidate.capacity / capacity;
        let mut to = last;
        if at + 1 < candidates.len() {
            let mut position = from;
            // Steps from hot key to hot key; all keys in between have the same weight.
            loop {
                let (key, rate) = hot_keys.get(next).copied().unwrap_or((last + 1, 0.0));
                let gap = (key.saturating_sub(position)) as f64 * per_key;
                if assigned + gap >= wanted {
                    let steps = ((wanted - assigned) / per_key).max(0.0) as RequestKey;
                    assigned += steps as f64 * per_key;
                    position = (position + steps).min(last);
                    break;
                }
                assigned += gap;
                if key > last {
                    position = last;
                    break;
                }
                if assigned + rate / 2.0 >= wanted && key > from {
                    position = key;
                    break;
                }
                assigned += rate + per_key;
                position = key + 1;
                next += 1;
            }
            to = position.max(from + 1) - 1;
        }
        if from > last {
            break;
        }
        bounds.push((from, to.min(last), candidate.incarnation.clone()));
        from = to + 1;
    }
    bounds
}

/// Adds moves for the pieces of a run that other targets own.
fn push_changes(
    record: &Record,
    from: RequestKey,
    to: RequestKey,
    owner: &Incarnation,
    moves: &mut Vec<Move>,
) {
    let overlapping = record
        .ranges
        .iter()
        .filter(|range| range.from <= to && from <= range.to);
    for range in overlapping.filter(|range| range.owner.as_ref() != Some(owner)) {
        moves.push(Move {
            from: range.from.max(from),
            to: range.to.min(to),
            owner: owner.clone(),
        });
    }
}
