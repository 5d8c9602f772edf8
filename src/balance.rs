//! Load balancing: which ranges to move, split or join.
//!
//! The plan evens out the load per slot among the targets of a group and moves few ranges, since a
//! range that moves is unavailable for a short time. It changes only a record; grantors carry out
//! the moves as handovers.

use indexmap::IndexMap;

use crate::{
    document::Document,
    group::{Entry, Record, resize, successors},
    id::TargetId,
    key::Point,
    range::Range,
};

/// The measured load of a part of the hash space.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// A range, or a single hot point.
    pub range: Range,
    /// Work per second, as busy slots or as requests; all loads use the same unit.
    pub rate: f64,
}

/// The tolerated imbalance when churn and unavailable time have equal weights.
const THRESHOLD: f64 = 0.1;
/// The lowest and highest tolerated imbalance, whatever the weights.
const THRESHOLD_RANGE: (f64, f64) = (0.06, 0.12);
/// The part of a range's weight that comes from its size; the rest comes from its load.
const SIZE_WEIGHT: f64 = 0.05;
/// The largest part of the hash space that a target without load is given, as a multiple of its
/// part by slots.
const JOINING_SPACE: f64 = 1.1;
/// The smallest part of the wanted reduction that justifies a move.
const MIN_REDUCTION: f64 = 0.1;
/// The maximum number of steps in one plan.
const MAX_STEPS: usize = 16;
/// Neighbouring ranges are joined if their weights sum to less than this part of the mean per slot.
const COLD_PART: f64 = 0.01;

/// A change of a record that improves the balance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Moves a range to another target.
    Move {
        /// A point of the range.
        at: Point,
        /// The index of the target among the record's members.
        to: usize,
    },
    /// Splits a range in two.
    Split {
        /// The first point of the upper part.
        at: Point,
    },
    /// Gives a point a range of its own.
    Isolate {
        /// The point.
        point: Point,
    },
    /// Joins a range to the one before it.
    Join {
        /// The first point of the upper range.
        at: Point,
    },
}

/// Marks each range of a leaving or draining target to move to the target with the least space.
///
/// `may_move` returns whether the caller may move a target's ranges, and `is_draining` whether a
/// target takes no more work.
///
/// # Example
///
/// ```
/// use bramleypier::{balance, group::Record};
///
/// let mut record = Record::default();
/// balance::drain_targets(&mut record, |_| true, |_| false);
/// assert_eq!(record, Record::default());
/// ```
pub fn drain_targets<M, D>(record: &mut Record, may_move: M, is_draining: D)
where
    M: Fn(&str) -> bool,
    D: Fn(&str) -> bool,
{
    for index in 0..record.ranges.len() {
        let entry = &record.ranges[index];
        let owner = &entry.chain[0];
        let leaving = record
            .members
            .get(owner)
            .is_some_and(|member| member.leaving);
        if entry.moving || !may_move(owner) || !(leaving || is_draining(owner)) {
            continue;
        }
        let shares = space_shares(record);
        let target = record
            .members
            .iter()
            .enumerate()
            .filter(|(_, (target, member))| {
                successors::is_eligible(member)
                    && !is_draining(target)
                    && !member.boot.is_empty()
                    && *target != owner
            })
            .min_by(|(_, (a, _)), (_, (b, _))| {
                share_of(&shares, a).total_cmp(&share_of(&shares, b))
            })
            .map(|(to, _)| to);
        if let Some(to) = target {
            mark_move(record, index, to);
        }
    }
}

/// Returns the steps that even out the loads, or none if no step is worth its cost.
///
/// The highest load may exceed the mean by a threshold, which rises with the document's weight of
/// churn relative to that of unavailable time. A move must take a minimum part of the excess away,
/// so that noise in the measurements moves no range.
///
/// `may_move` returns whether the caller may move a target's ranges.
///
/// # Example
///
/// ```
/// use bramleypier::{
///     balance,
///     document::{Document, Ownership},
///     group::Record,
/// };
///
/// let document = Document {
///     service: "tracking".into(),
///     ownership: Ownership::Exclusive,
///     groups: 1,
///     ranges: 4,
///     unavailable_weight: 1.0,
///     churn_weight: 1.0,
///     body_limit: 1 << 20,
///     classes: Default::default(),
///     targets: Default::default(),
/// };
/// assert!(balance::plan(&Record::default(), &[], &document, |_| true).is_empty());
/// ```
pub fn plan<M>(record: &Record, loads: &[Load], document: &Document, may_move: M) -> Vec<Step>
where
    M: Fn(&str) -> bool,
{
    let mut planned = record.clone();
    let mut steps = Vec::new();
    let limit = 1.0 + threshold(document);
    while steps.len() < MAX_STEPS {
        let weights = TargetWeights::new(&planned, loads);
        let Some(found) = relieve(&planned, loads, &weights, limit, &may_move) else {
            break;
        };
        apply(&mut planned, &found);
        steps.extend(found);
    }
    if steps.is_empty() {
        steps.extend(join_cold(&planned, loads, document, &may_move));
    }
    steps
}

/// Applies steps to a record; a step that no longer applies changes nothing.
///
/// # Example
///
/// ```
/// use bramleypier::{balance, group::Record};
///
/// let mut record = Record::default();
/// balance::apply(&mut record, &[balance::Step::Split { at: 7 }]);
/// assert_eq!(record, Record::default());
/// ```
pub fn apply(record: &mut Record, steps: &[Step]) {
    let find = |record: &Record, at: Point| {
        let holds = |entry: &Entry| entry.range.contains(at);
        record.ranges.iter().position(holds)
    };
    for step in steps {
        match *step {
            Step::Move { at, to } => {
                if let Some(index) = find(record, at) {
                    mark_move(record, index, to);
                }
            }
            Step::Split { at } => {
                resize::split(record, at);
            }
            Step::Isolate { point } => {
                resize::isolate(record, point);
            }
            Step::Join { at } => {
                if let Some(index) = find(record, at).and_then(|index| index.checked_sub(1)) {
                    resize::join(record, index);
                }
            }
        }
    }
}

/// Returns the highest load per slot of a target divided by the mean; 1 without load.
///
/// # Example
///
/// ```
/// use bramleypier::{balance, group::Record};
///
/// assert!((balance::imbalance(&Record::default(), &[]) - 1.0).abs() < 1e-9);
/// ```
pub fn imbalance(record: &Record, loads: &[Load]) -> f64 {
    let weights = TargetWeights::new(record, loads);
    let per_target = weights.targets.values().map(|target| target.weight);
    let mean = weights.total / weights.slots;
    if mean > 0.0 {
        per_target.fold(0.0, f64::max) / mean
    } else {
        1.0
    }
}

/// Makes a target the first successor of a range and marks the range as moving, which asks its
/// owner to hand it over.
fn mark_move(record: &mut Record, index: usize, to: usize) {
    let Some(target) = record
        .members
        .get_index(to)
        .map(|(target, _)| target.clone())
    else {
        return;
    };
    let entry = &mut record.ranges[index];
    if entry.moving || entry.chain[0] == target {
        return;
    }
    entry.chain.retain(|heir| *heir != target);
    entry.chain.insert(1, target);
    entry.chain.truncate(successors::MAX_CHAIN);
    entry.moving = true;
}

/// Returns by which part of the mean the highest load may exceed it.
fn threshold(document: &Document) -> f64 {
    let weight = document.churn_weight / document.unavailable_weight;
    let weight = if weight.is_finite() { weight } else { 1.0 };
    (THRESHOLD * weight).clamp(THRESHOLD_RANGE.0, THRESHOLD_RANGE.1)
}

/// The weights of a record's targets; a moving range counts for its next owner.
struct TargetWeights {
    targets: IndexMap<TargetId, TargetWeight>,
    /// The sum of the weights of all ranges.
    total: f64,
    slots: f64,
}

/// The ranges of one target, summed up.
#[derive(Clone, Copy, Default)]
struct TargetWeight {
    /// Weight per slot.
    weight: f64,
    /// Measured load.
    measured: f64,
    /// Part of the hash space.
    share: f64,
}

impl TargetWeights {
    fn new(record: &Record, loads: &[Load]) -> Self {
        let mut weights = Self {
            targets: IndexMap::new(),
            total: 0.0,
            slots: 0.0,
        };
        for (target, member) in &record.members {
            if successors::is_eligible(member) && !member.boot.is_empty() {
                weights
                    .targets
                    .insert(target.clone(), TargetWeight::default());
                weights.slots += f64::from(member.slots.max(1));
            }
        }
        let load_map = LoadMap::new(record, loads);
        for entry in &record.ranges {
            let target = &entry.chain[usize::from(entry.moving && entry.chain.len() > 1)];
            let (measured, share) = (load_map.measured(entry.range), entry.range.share());
            let weight = load_map.weight(measured, share);
            weights.total += weight;
            let slots = record
                .members
                .get(target)
                .map_or(1, |member| member.slots.max(1));
            if let Some(sum) = weights.targets.get_mut(target) {
                sum.weight += weight / f64::from(slots);
                sum.measured += measured;
                sum.share += share;
            }
        }
        weights
    }

    /// Returns the mean weight per slot.
    fn mean(&self) -> f64 {
        self.total / self.slots.max(1.0)
    }
}

/// The measured loads sorted by range, with the totals that make load and size comparable.
struct LoadMap {
    loads: Vec<Load>,
    /// The sum of all loads.
    total: f64,
    /// The part of the hash space that the record covers.
    space: f64,
}

impl LoadMap {
    fn new(record: &Record, loads: &[Load]) -> Self {
        let mut loads = loads.to_vec();
        loads.sort_by_key(|load| load.range);
        Self {
            total: loads.iter().map(|load| load.rate).sum(),
            space: record.ranges.iter().map(|entry| entry.range.share()).sum(),
            loads,
        }
    }

    /// Returns the load measured in a part of the hash space.
    fn measured(&self, range: Range) -> f64 {
        let first = self
            .loads
            .partition_point(|load| load.range.end < range.start);
        self.loads[first..]
            .iter()
            .take_while(|load| load.range.start <= range.end)
            .map(|load| load.rate * overlap_share(load.range, range) / load.range.share())
            .sum()
    }

    /// Returns a range's part of the total weight: mostly its load, and to a small part its size.
    fn weight(&self, measured: f64, share: f64) -> f64 {
        let size = share / self.space.max(f64::MIN_POSITIVE);
        if self.total > 0.0 {
            (1.0 - SIZE_WEIGHT) * measured / self.total + SIZE_WEIGHT * size
        } else {
            size
        }
    }
}

/// Returns the part of the hash space that two ranges have in common.
fn overlap_share(one: Range, other: Range) -> f64 {
    if !one.overlaps(&other) {
        return 0.0;
    }
    let range = Range {
        start: one.start.max(other.start),
        end: one.end.min(other.end),
    };
    range.share()
}

/// Returns the steps that take load off the most loaded target whose ranges may move.
///
/// It aims to move half of the difference to the least loaded target, which receives the load. If
/// no range has a suitable weight, the heaviest one is divided instead.
fn relieve<M>(
    record: &Record,
    loads: &[Load],
    weights: &TargetWeights,
    limit: f64,
    may_move: &M,
) -> Option<Vec<Step>>
where
    M: Fn(&str) -> bool,
{
    let mean = weights.mean();
    let by_weight = |(_, a): &(&TargetId, &TargetWeight), (_, b): &(&TargetId, &TargetWeight)| {
        a.weight.total_cmp(&b.weight)
    };
    let (to, lightest) = weights.targets.iter().min_by(by_weight)?;
    let joining = lightest.measured <= 0.0;
    let (from, heaviest) = weights
        .targets
        .iter()
        .filter(|(target, sum)| may_move(target) && sum.weight > lightest.weight)
        .max_by(by_weight)?;
    let uneven = heaviest.weight > mean * limit || (joining && lightest.weight < mean / limit);
    if !uneven {
        return None;
    }
    let slots = record
        .members
        .get(to)
        .map_or(1.0, |member| f64::from(member.slots.max(1)));
    let wanted = (heaviest.weight - lightest.weight) / 2.0 * slots;
    let max_share = (JOINING_SPACE * slots / weights.slots - lightest.share).max(0.0);
    let space: f64 = record.ranges.iter().map(|entry| entry.range.share()).sum();
    let max_share = if joining { max_share * space } else { f64::MAX };
    let index = record.members.get_index_of(to)?;
    let load_map = LoadMap::new(record, loads);
    let own = |entry: &&Entry| !entry.moving && entry.chain[0] == *from;
    let fits = |entry: &&Entry| {
        let weight = entry_weight(&load_map, entry);
        weight <= wanted && weight >= wanted * MIN_REDUCTION && entry.range.share() <= max_share
    };
    let entries = || record.ranges.iter().filter(own);
    let best = entries()
        .filter(fits)
        .max_by(|a, b| entry_weight(&load_map, a).total_cmp(&entry_weight(&load_map, b)));
    if let Some(entry) = best {
        let at = entry.range.start;
        return Some(vec![Step::Move { at, to: index }]);
    }
    let hottest = entries()
        .filter(|entry| entry_weight(&load_map, entry) > wanted)
        .max_by(|a, b| entry_weight(&load_map, a).total_cmp(&entry_weight(&load_map, b)))?;
    divide(&load_map, hottest, wanted)
}

fn entry_weight(load_map: &LoadMap, entry: &Entry) -> f64 {
    load_map.weight(load_map.measured(entry.range), entry.range.share())
}

/// Returns the step that divides a range: it isolates the hottest point if that alone is heavy
/// enough, and else halves the range.
fn divide(load_map: &LoadMap, entry: &Entry, wanted: f64) -> Option<Vec<Step>> {
    if entry.range.start == entry.range.end {
        return None;
    }
    let inside =
        |load: &&Load| load.range.start == load.range.end && entry.range.contains(load.range.start);
    let hot = load_map
        .loads
        .iter()
        .filter(inside)
        .max_by(|a, b| a.rate.total_cmp(&b.rate));
    if let Some(hot) = hot
        && load_map.weight(hot.rate, 0.0) > wanted / 2.0
    {
        let point = hot.range.start;
        return Some(vec![Step::Isolate { point }]);
    }
    let at = entry.range.start + (entry.range.end - entry.range.start) / 2 + 1;
    Some(vec![Step::Split { at }])
}

/// Returns the joins of neighbouring ranges with little load, if there are more ranges than the
/// document asks for.
fn join_cold<M>(record: &Record, loads: &[Load], document: &Document, may_move: &M) -> Vec<Step>
where
    M: Fn(&str) -> bool,
{
    let wanted = record.members.len() * usize::try_from(document.ranges).unwrap_or(1);
    if record.ranges.len() <= wanted {
        return Vec::new();
    }
    let load_map = LoadMap::new(record, loads);
    let limit = TargetWeights::new(record, loads).mean() * COLD_PART;
    let can_join = |pair: &&[Entry]| {
        let same_owner = pair[0].chain[0] == pair[1].chain[0] && may_move(&pair[0].chain[0]);
        let settled = !pair[0].moving && !pair[1].moving;
        same_owner
            && settled
            && entry_weight(&load_map, &pair[0]) + entry_weight(&load_map, &pair[1]) < limit
    };
    let pairs = record.ranges.windows(2).filter(can_join);
    let excess = record.ranges.len() - wanted;
    pairs
        .take(excess.min(MAX_STEPS))
        .map(|pair| Step::Join {
            at: pair[1].range.start,
        })
        .collect()
}

/// Returns the part of the hash space that each target holds; a moving range counts for its next
/// owner.
fn space_shares(record: &Record) -> IndexMap<TargetId, f64> {
    let mut shares = IndexMap::new();
    for entry in &record.ranges {
        let target = &entry.chain[usize::from(entry.moving && entry.chain.len() > 1)];
        *shares.entry(target.clone()).or_insert(0.0) += entry.range.share();
    }
    shares
}

fn share_of(shares: &IndexMap<TargetId, f64>, target: &str) -> f64 {
    shares.get(target).copied().unwrap_or(0.0)
}
