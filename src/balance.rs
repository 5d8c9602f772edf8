//! Which ranges to move, split and join, so that targets carry like loads and few ranges move.

use indexmap::IndexMap;

use crate::{
    document::Document,
    group::{Entry, Record, resize, successors},
    id::TargetId,
    key::Point,
    range::Range,
};

/// The load of a part of the hash space.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The part: a range, or a single hot point.
    pub range: Range,
    /// Work a second, in slots kept busy or requests; all of one unit.
    pub rate: f64,
}

/// The imbalance that is let be when churn and unavailable time weigh the same.
const THRESHOLD: f64 = 0.1;
/// The least and the greatest imbalance that weights can make of it.
const THRESHOLDS: (f64, f64) = (0.06, 0.12);
/// The share of the weight that the size of a range has, against its load.
const SPACE: f64 = 0.05;
/// The share of the space that a target without load may gather, times the number of targets.
const JOINING: f64 = 1.1;
/// The least part of the wanted relief for which a range is moved.
const LEAST: f64 = 0.1;
/// The most steps of one plan.
const STEPS: usize = 16;
/// Neighbours lighter than this share of a target's mean load are joined.
const COLD: f64 = 0.01;

/// A change of the record for balance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The range that holds the point is to go to the target of this index among the members.
    Move {
        /// A point of the range.
        at: Point,
        /// The index of the target.
        to: usize,
    },
    /// A range is to start at the point.
    Split {
        /// The point.
        at: Point,
    },
    /// The point is to stand alone.
    Isolate {
        /// The point.
        point: Point,
    },
    /// The range that starts at the point is to be joined to the one before it.
    Join {
        /// The point.
        at: Point,
    },
}

/// Marks the ranges of leaving and draining targets for the least loaded others.
///
/// `tends` says whose ranges the caller may move, `drains` who takes no more work.
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
pub fn drain_targets<T, D>(record: &mut Record, tends: T, drains: D)
where
    T: Fn(&str) -> bool,
    D: Fn(&str) -> bool,
{
    for index in 0..record.ranges.len() {
        let entry = &record.ranges[index];
        let owner = &entry.chain[0];
        let leaving = record
            .members
            .get(owner)
            .is_some_and(|member| member.leaving);
        if entry.moving || !tends(owner) || !(leaving || drains(owner)) {
            continue;
        }
        let shares = shares(record);
        let target = record
            .members
            .iter()
            .enumerate()
            .filter(|(_, (target, member))| {
                successors::is_eligible(member)
                    && !drains(target)
                    && !member.boot.is_empty()
                    && *target != owner
            })
            .min_by(|(_, (a, _)), (_, (b, _))| of(&shares, a).total_cmp(&of(&shares, b)))
            .map(|(to, _)| to);
        if let Some(to) = target {
            mark(record, index, to);
        }
    }
}

/// Returns the steps that bring the loads closer together, or none when that isn't worth a move.
///
/// The greatest load may exceed the mean by a threshold that the document's weights set: the more
/// churn costs against unavailable time, the higher. A step must take a fair part off that
/// excess, so that noise moves nothing.
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
pub fn plan<T>(record: &Record, loads: &[Load], document: &Document, tends: T) -> Vec<Step>
where
    T: Fn(&str) -> bool,
{
    let mut trial = record.clone();
    let mut steps = Vec::new();
    let limit = 1.0 + threshold(document);
    while steps.len() < STEPS {
        let scale = Scale::new(&trial, loads);
        let Some(found) = relieve(&trial, loads, &scale, limit, &tends) else {
            break;
        };
        apply(&mut trial, &found);
        steps.extend(found);
    }
    if steps.is_empty() {
        steps.extend(cold(&trial, loads, document, &tends));
    }
    steps
}

/// Applies steps to a record; those that no longer fit change nothing.
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
                    mark(record, index, to);
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

/// Returns the greatest load of a target over the mean, by slot; 1 without load.
///
/// # Example
///
/// ```
/// use bramleypier::{balance, group::Record};
///
/// assert!((balance::imbalance(&Record::default(), &[]) - 1.0).abs() < 1e-9);
/// ```
pub fn imbalance(record: &Record, loads: &[Load]) -> f64 {
    let scale = Scale::new(record, loads);
    let greatest = scale.targets.values().map(|load| load.rate);
    let mean = scale.total / scale.slots;
    if mean > 0.0 {
        greatest.fold(0.0, f64::max) / mean
    } else {
        1.0
    }
}

/// Puts a target at the head of a range's heirs and asks the owner to hand it over.
fn mark(record: &mut Record, index: usize, to: usize) {
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

fn threshold(document: &Document) -> f64 {
    let weight = document.churn_weight / document.unavailable_weight;
    let weight = if weight.is_finite() { weight } else { 1.0 };
    (THRESHOLD * weight).clamp(THRESHOLDS.0, THRESHOLDS.1)
}

/// The loads of a record's targets; a moving range counts for its next owner.
struct Scale {
    targets: IndexMap<TargetId, Sum>,
    total: f64,
    slots: f64,
}

/// What one target carries, by slot.
#[derive(Clone, Copy, Default)]
struct Sum {
    rate: f64,
    measured: f64,
    share: f64,
}

impl Scale {
    fn new(record: &Record, loads: &[Load]) -> Self {
        let mut scale = Self {
            targets: IndexMap::new(),
            total: 0.0,
            slots: 0.0,
        };
        for (target, member) in &record.members {
            if successors::is_eligible(member) && !member.boot.is_empty() {
                scale.targets.insert(target.clone(), Sum::default());
                scale.slots += f64::from(member.slots.max(1));
            }
        }
        let spread = Spread::new(record, loads);
        for entry in &record.ranges {
            let target = &entry.chain[usize::from(entry.moving && entry.chain.len() > 1)];
            let (measured, share) = (spread.measured(entry.range), entry.range.share());
            let rate = spread.rate(measured, share);
            scale.total += rate;
            let slots = record
                .members
                .get(target)
                .map_or(1, |member| member.slots.max(1));
            if let Some(sum) = scale.targets.get_mut(target) {
                sum.rate += rate / f64::from(slots);
                sum.measured += measured;
                sum.share += share;
            }
        }
        scale
    }

    fn mean(&self) -> f64 {
        self.total / self.slots.max(1.0)
    }
}

/// The measured loads, in order, with what makes them comparable to the size of ranges.
struct Spread {
    loads: Vec<Load>,
    total: f64,
    space: f64,
}

impl Spread {
    fn new(record: &Record, loads: &[Load]) -> Self {
        let mut loads = loads.to_vec();
        loads.sort_by_key(|load| load.range);
        Self {
            total: loads.iter().map(|load| load.rate).sum(),
            space: record.ranges.iter().map(|entry| entry.range.share()).sum(),
            loads,
        }
    }

    /// Returns the load measured in a part of the space.
    fn measured(&self, range: Range) -> f64 {
        let first = self
            .loads
            .partition_point(|load| load.range.end < range.start);
        self.loads[first..]
            .iter()
            .take_while(|load| load.range.start <= range.end)
            .map(|load| load.rate * common(load.range, range) / load.range.share())
            .sum()
    }

    /// Returns a range's part of the whole: mostly its load, and a little its size.
    fn rate(&self, measured: f64, share: f64) -> f64 {
        let size = share / self.space.max(f64::MIN_POSITIVE);
        if self.total > 0.0 {
            (1.0 - SPACE) * measured / self.total + SPACE * size
        } else {
            size
        }
    }
}

/// Returns the share of the space that two ranges have in common.
fn common(one: Range, other: Range) -> f64 {
    if !one.overlaps(&other) {
        return 0.0;
    }
    let range = Range {
        start: one.start.max(other.start),
        end: one.end.min(other.end),
    };
    range.share()
}

/// Returns the steps that relieve the most loaded target that may be relieved.
fn relieve<T>(
    record: &Record,
    loads: &[Load],
    scale: &Scale,
    limit: f64,
    tends: &T,
) -> Option<Vec<Step>>
where
    T: Fn(&str) -> bool,
{
    let mean = scale.mean();
    let lightest =
        |(_, a): &(&TargetId, &Sum), (_, b): &(&TargetId, &Sum)| a.rate.total_cmp(&b.rate);
    let (to, light) = scale.targets.iter().min_by(lightest)?;
    let joining = light.measured <= 0.0;
    let (from, heavy) = scale
        .targets
        .iter()
        .filter(|(target, sum)| tends(target) && sum.rate > light.rate)
        .max_by(lightest)?;
    let uneven = heavy.rate > mean * limit || (joining && light.rate < mean / limit);
    if !uneven {
        return None;
    }
    let slots = record
        .members
        .get(to)
        .map_or(1.0, |member| f64::from(member.slots.max(1)));
    let want = (heavy.rate - light.rate) / 2.0 * slots;
    let room = (JOINING * slots / scale.slots - light.share).max(0.0);
    let space: f64 = record.ranges.iter().map(|entry| entry.range.share()).sum();
    let room = if joining { room * space } else { f64::MAX };
    let index = record.members.get_index_of(to)?;
    let spread = Spread::new(record, loads);
    let own = |entry: &&Entry| !entry.moving && entry.chain[0] == *from;
    let fits = |entry: &&Entry| {
        let rate = rate(&spread, entry);
        rate <= want && rate >= want * LEAST && entry.range.share() <= room
    };
    let entries = || record.ranges.iter().filter(own);
    let best = entries()
        .filter(fits)
        .max_by(|a, b| rate(&spread, a).total_cmp(&rate(&spread, b)));
    if let Some(entry) = best {
        let at = entry.range.start;
        return Some(vec![Step::Move { at, to: index }]);
    }
    let hottest = entries()
        .filter(|entry| rate(&spread, entry) > want)
        .max_by(|a, b| rate(&spread, a).total_cmp(&rate(&spread, b)))?;
    divide(&spread, hottest, want)
}

fn rate(spread: &Spread, entry: &Entry) -> f64 {
    spread.rate(spread.measured(entry.range), entry.range.share())
}

/// Returns the step that divides a range: a hot point stands alone, or the load is halved.
fn divide(spread: &Spread, entry: &Entry, want: f64) -> Option<Vec<Step>> {
    if entry.range.start == entry.range.end {
        return None;
    }
    let inside =
        |load: &&Load| load.range.start == load.range.end && entry.range.contains(load.range.start);
    let hot = spread
        .loads
        .iter()
        .filter(inside)
        .max_by(|a, b| a.rate.total_cmp(&b.rate));
    if let Some(hot) = hot
        && spread.rate(hot.rate, 0.0) > want / 2.0
    {
        let point = hot.range.start;
        return Some(vec![Step::Isolate { point }]);
    }
    let at = entry.range.start + (entry.range.end - entry.range.start) / 2 + 1;
    Some(vec![Step::Split { at }])
}

/// Returns the joins of cold neighbours, when there are more ranges than the document asks for.
fn cold<T>(record: &Record, loads: &[Load], document: &Document, tends: &T) -> Vec<Step>
where
    T: Fn(&str) -> bool,
{
    let wanted = record.members.len() * usize::try_from(document.ranges).unwrap_or(1);
    if record.ranges.len() <= wanted {
        return Vec::new();
    }
    let spread = Spread::new(record, loads);
    let limit = Scale::new(record, loads).mean() * COLD;
    let joins = |pair: &&[Entry]| {
        let same = pair[0].chain[0] == pair[1].chain[0] && tends(&pair[0].chain[0]);
        let still = !pair[0].moving && !pair[1].moving;
        same && still && rate(&spread, &pair[0]) + rate(&spread, &pair[1]) < limit
    };
    let pairs = record.ranges.windows(2).filter(joins);
    let excess = record.ranges.len() - wanted;
    pairs
        .take(excess.min(STEPS))
        .map(|pair| Step::Join {
            at: pair[1].range.start,
        })
        .collect()
}

/// Returns the share of the space that each target holds, moving ranges counted for the next.
fn shares(record: &Record) -> IndexMap<TargetId, f64> {
    let mut shares = IndexMap::new();
    for entry in &record.ranges {
        let target = &entry.chain[usize::from(entry.moving && entry.chain.len() > 1)];
        *shares.entry(target.clone()).or_insert(0.0) += entry.range.share();
    }
    shares
}

fn of(shares: &IndexMap<TargetId, f64>, target: &str) -> f64 {
    shares.get(target).copied().unwrap_or(0.0)
}
