//! Deals all keys anew when the load lies on a few targets only.
//!
//! Load pattern: the first requests after a start, or after the busy keys have changed, fall on a
//! narrow run of keys. Moving run by run takes seconds; one deal by the measured load takes as long
//! as one move.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "keys and their counts are far below 2^52 and never negative"
)]

use std::collections::HashMap;

use super::{
    balance::{Candidate, Move},
    load::Load,
    record::{Incarnation, Record, RequestKey},
};

/// From how many requests on the load is taken as known: with fifteen targets, three each.
const COUNTED_LEAST: f64 = 40.0;
/// The part of all load that must lie above its holder's part, before keys are dealt anew.
///
/// Dealing moves most keys; runs of keys move for less.
const EXCESS: f64 = 0.25;
/// How far above its part a holder may lie before that counts.
const TOLERANCE: f64 = 1.4;
/// The mean utilisation from which on it is worth while.
const USED_LEAST: f64 = 0.15;
/// The part of the weight that is spread evenly over all keys, which may become busy any time.
const EVEN_PART: f64 = 0.15;

/// Returns the moves of a new deal, or nothing while the load is spread well enough.
///
/// Each holder gets one run of keys, in the order in which holders have theirs.
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
/// let life = |id: &str| Incarnation { id: id.into(), start_time: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let part = |from, to, id| KeyRange { from, to, fence: 1, owner: Some(life(id)) };
/// let record = Record { ranges: vec![part(0, 49, "a"), part(50, 99, "b")], ..Record::default() };
/// let holders = ["a", "b"].map(|id| Candidate { incarnation: life(id), capacity: 20.0 });
/// let mut load = Load::default();
/// load.add(Duration::ZERO, (0..20).map(|key| (key, 6)));
/// let moves = redistribution::plan(&record, &holders, &load);
/// assert_eq!(moves.len(), 1);
/// assert!(moves[0].from < 20 && moves[0].to == 49);
/// ```
pub fn plan(record: &Record, holders: &[Candidate], load: &Load) -> Vec<Move> {
    let total = load.rate(0, RequestKey::MAX);
    let capacity: f64 = holders.iter().map(|it| it.capacity).sum();
    let uneven = excess(record, holders, load) > total * EXCESS;
    if load.request_count() < COUNTED_LEAST || total < capacity * USED_LEAST || !uneven {
        return Vec::new();
    }
    let Some(last) = record.ranges.last().map(|part| part.to) else {
        return Vec::new();
    };
    let bounds = cut(&ordered(record, holders), last, load, total, capacity);
    let mut moves = Vec::new();
    for (from, to, owner) in bounds {
        changed(record, from, to, &owner, &mut moves);
    }
    moves
}

/// The rate that lies above its holder's part.
fn excess(record: &Record, holders: &[Candidate], load: &Load) -> f64 {
    let mut rates: HashMap<&Incarnation, f64> = HashMap::new();
    for part in &record.ranges {
        if let Some(life) = &part.owner {
            *rates.entry(life).or_default() += load.rate(part.from, part.to);
        }
    }
    let total: f64 = rates.values().sum();
    let capacity: f64 = holders.iter().map(|it| it.capacity).sum();
    let above = |it: &Candidate| {
        let rate = rates.get(&it.incarnation).copied().unwrap_or(0.0);
        // What one key has can't be spread.
        (rate - total * it.capacity / capacity * TOLERANCE).max(0.0)
    };
    holders.iter().map(above).sum()
}

/// Holders in the order of the middle of their keys.
fn ordered<'a>(record: &Record, holders: &'a [Candidate]) -> Vec<&'a Candidate> {
    let middle = |it: &Candidate| {
        let own = record
            .ranges
            .iter()
            .filter(|part| part.owner.as_ref() == Some(&it.incarnation));
        let (sum, keys) = own.fold((0.0, 0.0), |(sum, keys), part| {
            let width = part.width() as f64;
            (sum + width * (part.from as f64 + width / 2.0), keys + width)
        });
        if keys > 0.0 { sum / keys } else { f64::MAX }
    };
    let mut sorted: Vec<&Candidate> = holders.iter().collect();
    sorted.sort_by(|a, b| middle(a).total_cmp(&middle(b)));
    sorted
}

/// Cuts all keys into one run for each holder, by load and a little by width.
fn cut(
    holders: &[&Candidate],
    last: RequestKey,
    load: &Load,
    total: f64,
    capacity: f64,
) -> Vec<(RequestKey, RequestKey, Incarnation)> {
    let keys = last as f64 + 1.0;
    let per_key = total * EVEN_PART / (1.0 - EVEN_PART) / keys;
    let whole = total + per_key * keys;
    let busy = load.key_rates(0, last);
    let mut bounds = Vec::new();
    let mut from = 0;
    let mut next = 0;
    let mut given = 0.0;
    let mut wanted = 0.0;
    for (at, holder) in holders.iter().enumerate() {
        wanted += whole * holder.capacity / capacity;
        let mut to = last;
        if at + 1 < holders.len() {
            let mut point = from;
            // Goes from busy key to busy key; in between, keys weigh alike.
            loop {
                let (key, rate) = busy.get(next).copied().unwrap_or((last + 1, 0.0));
                let gap = (key.saturating_sub(point)) as f64 * per_key;
                if given + gap >= wanted {
                    let steps = ((wanted - given) / per_key).max(0.0) as RequestKey;
                    given += steps as f64 * per_key;
                    point = (point + steps).min(last);
                    break;
                }
                given += gap;
                if key > last {
                    point = last;
                    break;
                }
                if given + rate / 2.0 >= wanted && key > from {
                    point = key;
                    break;
                }
                given += rate + per_key;
                point = key + 1;
                next += 1;
            }
            to = point.max(from + 1) - 1;
        }
        if from > last {
            break;
        }
        bounds.push((from, to.min(last), holder.incarnation.clone()));
        from = to + 1;
    }
    bounds
}

/// The pieces of a run that belong to others.
fn changed(
    record: &Record,
    from: RequestKey,
    to: RequestKey,
    owner: &Incarnation,
    moves: &mut Vec<Move>,
) {
    let within = record
        .ranges
        .iter()
        .filter(|part| part.from <= to && from <= part.to);
    for part in within.filter(|part| part.owner.as_ref() != Some(owner)) {
        moves.push(Move {
            from: part.from.max(from),
            to: part.to.min(to),
            owner: owner.clone(),
        });
    }
}
