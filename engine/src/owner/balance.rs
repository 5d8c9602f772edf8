//! Which keys move to which target.
//!
//! Moving is paid by the share of keys that change hands, so the narrowest run of keys that carries
//! the needed load is taken. Busy keys lie close together; a few keys out of 65,536 often suffice.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::{
    load::Load,
    record::{Life, Part, Point, Record},
};

/// How far a target's load per slot may lie above the mean before keys move, as a factor.
///
/// Counts of some 50 requests scatter by 14 %; below 1.3 the scatter alone would move keys.
const TOLERANCE: f64 = 1.3;
/// The least load, in requests of the last seconds, worth a move.
const WORTH_MOVING: f64 = 6.0;
/// The most moves begun at once: each makes its keys wait for a moment.
const MOVES: usize = 4;
/// What a busy target's surplus may be undershot by, so that a narrower run is found.
const LEAST_PART: f64 = 0.5;

/// A move of some keys to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The first key.
    pub from: Point,
    /// The last key.
    pub to: Point,
    /// The new owner.
    pub owner: Life,
}

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its life.
    pub life: Life,
    /// How much it can do beside the others; slots times relative speed.
    pub power: f64,
}

/// Splits ranges that nobody owns among holders, in proportion to power, least loaded first.
///
/// Ranges without measured load are cut evenly; owners of neighbouring keys are preferred to none.
///
/// # Example
///
/// ```
/// use bramleypier_engine::owner::{
///     balance::{self, Holder},
///     load::Load,
///     record::{Life, Record},
/// };
///
/// let holder = |id: &str| Holder { life: Life { id: id.into(), born: 0, address: "127.0.0.1:1".parse().unwrap() }, power: 2.0 };
/// let record = Record::first(99);
/// let moves = balance::assign(&record, &record.parts, &[holder("a"), holder("b")], &Load::default());
/// let bounds: Vec<_> = moves.iter().map(|it| (it.from, it.to)).collect();
/// assert_eq!(bounds, [(0, 49), (50, 99)]);
/// ```
pub fn assign(record: &Record, free: &[Part], holders: &[Holder], load: &Load) -> Vec<Move> {
    if holders.is_empty() {
        return Vec::new();
    }
    let mut filled = fill(record, holders, load);
    let keys: u64 = record.parts.iter().map(Part::width).sum();
    let mut moves = Vec::new();
    for part in free {
        split(part, keys, holders, load, &mut filled, &mut moves);
    }
    moves
}

/// What each holder carries, in parts of all load and keys.
fn fill(record: &Record, holders: &[Holder], load: &Load) -> IndexMap<Life, f64> {
    let mut filled: IndexMap<_, _> = holders.iter().map(|it| (it.life.clone(), 0.0)).collect();
    let keys: u64 = record.parts.iter().map(Part::width).sum();
    let total = load.sum(0, Point::MAX).max(1.0);
    for part in &record.parts {
        let Some(sum) = part.owner.as_ref().and_then(|life| filled.get_mut(life)) else {
            continue;
        };
        *sum += weigh(part.from, part.to, keys, total, load);
    }
    filled
}

/// The weight of a range: mostly its load, a little its keys, which may become busy.
fn weigh(from: Point, to: Point, keys: u64, total: f64, load: &Load) -> f64 {
    const KEYS_PART: f64 = 0.2;
    let width = (to - from + 1) as f64 / keys.max(1) as f64;
    load.sum(from, to) / total + KEYS_PART * width
}

fn split(
    part: &Part,
    keys: u64,
    holders: &[Holder],
    load: &Load,
    filled: &mut IndexMap<Life, f64>,
    moves: &mut Vec<Move>,
) {
    let total = load.sum(0, Point::MAX).max(1.0);
    let power: f64 = holders.iter().map(|it| it.power).sum();
    let whole: f64 = weigh(part.from, part.to, keys, total, load);
    let all: f64 = filled.values().sum::<f64>() + whole;
    let mut rest = part.clone();
    loop {
        let Some(holder) = emptiest(holders, filled) else {
            return;
        };
        let room = all * holder.power / power - filled[&holder.life];
        let left = weigh(rest.from, rest.to, keys, total, load);
        let to = if room >= left * 0.95 {
            rest.to
        } else {
            reach(&rest, room, keys, total, load)
        };
        let weight = weigh(rest.from, to, keys, total, load);
        *filled.entry(holder.life.clone()).or_default() += weight;
        moves.push(Move {
            from: rest.from,
            to,
            owner: holder.life.clone(),
        });
        if to >= rest.to {
            return;
        }
        rest.from = to + 1;
    }
}

fn emptiest<'a>(holders: &'a [Holder], filled: &IndexMap<Life, f64>) -> Option<&'a Holder> {
    let level = |it: &Holder| filled.get(&it.life).copied().unwrap_or(0.0) / it.power.max(0.01);
    holders.iter().min_by(|a, b| level(a).total_cmp(&level(b)))
}

/// The last key of a prefix of `part` that weighs about `room`, by bisection.
fn reach(part: &Part, room: f64, keys: u64, total: f64, load: &Load) -> Point {
    let (mut low, mut high) = (part.from, part.to);
    while low < high {
        let middle = low + (high - low) / 2;
        if weigh(part.from, middle, keys, total, load) < room {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    low
}

/// Plans moves from the busiest holders to the idlest.
///
/// Returns nothing while no holder stands out: see the constants of this module.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     balance::{self, Holder},
///     load::Load,
///     record::{Life, Part, Record},
/// };
///
/// let life = |id: &str| Life { id: id.into(), born: 0, address: "127.0.0.1:1".parse().unwrap() };
/// let part = |from, to, id| Part { from, to, fence: 1, owner: Some(life(id)) };
/// let record = Record { parts: vec![part(0, 49, "a"), part(50, 99, "b")], ..Record::default() };
/// let mut load = Load::default();
/// load.add(Duration::ZERO, [(1, 30), (9, 30), (60, 2)]);
/// let holders = [
///     Holder { life: life("a"), power: 2.0 },
///     Holder { life: life("b"), power: 2.0 },
/// ];
/// let moves = balance::even(&record, &holders, &load);
/// assert_eq!((moves[0].from, moves[0].to), (1, 1));
/// assert_eq!(moves[0].owner.id, "b");
/// ```
pub fn even(record: &Record, holders: &[Holder], load: &Load) -> Vec<Move> {
    let power: f64 = holders.iter().map(|it| it.power).sum();
    let mut loads: HashMap<&Life, f64> = holders.iter().map(|it| (&it.life, 0.0)).collect();
    for part in &record.parts {
        if let Some(sum) = part.owner.as_ref().and_then(|life| loads.get_mut(life)) {
            *sum += load.sum(part.from, part.to);
        }
    }
    let total: f64 = loads.values().sum();
    let mean = total / power.max(0.01);
    let mut moves: Vec<Move> = Vec::new();
    while moves.len() < MOVES {
        let level = |it: &&Holder| loads[&it.life] / it.power;
        let by_level = |a: &&Holder, b: &&Holder| level(a).total_cmp(&level(b));
        let Some(busiest) = holders.iter().max_by(by_level) else {
            break;
        };
        let Some(idlest) = holders.iter().min_by(by_level) else {
            break;
        };
        let surplus = loads[&busiest.life] - mean * busiest.power;
        let room = mean * idlest.power - loads[&idlest.life];
        let empty = loads[&idlest.life] < 1.0;
        let stands_out = level(&busiest) > mean * TOLERANCE;
        if !stands_out && !empty {
            break;
        }
        let want = surplus
            .max(0.0)
            .min(room)
            .max(if empty { room / 2.0 } else { 0.0 });
        if want < WORTH_MOVING / 2.0 || (want < WORTH_MOVING && !empty) {
            break;
        }
        let Some((from, to, weight)) = narrowest(record, &busiest.life, want, load, &moves) else {
            break;
        };
        moves.push(Move {
            from,
            to,
            owner: idlest.life.clone(),
        });
        *loads.entry(&busiest.life).or_default() -= weight;
        *loads.entry(&idlest.life).or_default() += weight;
    }
    moves
}

/// The narrowest run of an owner's keys that carries between half of `want` and a little more.
fn narrowest(
    record: &Record,
    owner: &Life,
    want: f64,
    load: &Load,
    taken: &[Move],
) -> Option<(Point, Point, f64)> {
    const MOST_PART: f64 = 1.2;
    let own = record
        .parts
        .iter()
        .filter(|part| part.owner.as_ref() == Some(owner));
    let mut best: Option<(Point, Point, f64)> = None;
    for part in own {
        let keys = load.keys(part.from, part.to);
        let mut start = 0;
        let mut sum = 0.0;
        for (end, (last, weight)) in keys.iter().enumerate() {
            sum += weight;
            while start < end && sum - keys[start].1 >= want * LEAST_PART && sum > want * MOST_PART
            {
                sum -= keys[start].1;
                start += 1;
            }
            while start < end && sum - keys[start].1 >= want {
                sum -= keys[start].1;
                start += 1;
            }
            let first = keys[start].0;
            let overlaps = taken.iter().any(|it| it.from <= *last && first <= it.to);
            if sum < want * LEAST_PART || sum > want * MOST_PART || overlaps {
                continue;
            }
            let width = last - first;
            if best.is_none_or(|(from, to, _)| width < to - from) {
                best = Some((first, *last, sum));
            }
        }
    }
    best
}
