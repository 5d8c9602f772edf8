//! Request rates of key ranges and of hot keys, estimated from the requests of this VM.
//!
//! The load balancer spreads callers evenly over all VMs, so the requests of one VM are a fair sample
//! of the total, and only the proportions matter. Memory is bounded: hot points are found by the
//! Misra-Gries algorithm, which finds every point with more than one in [`MAX_POINTS`] of a group's
//! requests.

use indexmap::IndexMap;

use crate::{balance::Load, key::Point, range::Range};

/// The largest number of points that are counted at a time.
pub const MAX_POINTS: usize = 512;
/// The fraction of a group's requests above which a point is reported apart from its range.
const HOT_SHARE: f64 = 0.005;
/// The factor applied to all counts after each reading, so that old requests lose weight.
const DECAY_FACTOR: f64 = 0.7;

/// Counts the requests for the keys of one group.
///
/// # Example
///
/// ```
/// use bramleypier::{entry::demand::Demand, range::Range};
///
/// let mut demand = Demand::default();
/// for _ in 0..100 {
///     demand.count(Range::ALL, 7);
/// }
/// let loads = demand.read();
/// assert!(loads.iter().any(|load| load.range == Range { start: 7, end: 7 }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Demand {
    ranges: IndexMap<Range, f64>,
    points: IndexMap<Point, f64>,
}

impl Demand {
    /// Counts a request for a point of a range.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{entry::demand::Demand, range::Range};
    ///
    /// let mut demand = Demand::default();
    /// demand.count(Range::ALL, 7);
    /// ```
    pub fn count(&mut self, range: Range, point: Point) {
        *self.ranges.entry(range).or_default() += 1.0;
        if let Some(count) = self.points.get_mut(&point) {
            *count += 1.0;
        } else if self.points.len() < MAX_POINTS {
            self.points.insert(point, 1.0);
        } else {
            self.points.retain(|_, count| {
                *count -= 1.0;
                *count > 0.0
            });
        }
    }

    /// Returns the loads of ranges that don't overlap, and lowers all counts by the decay factor.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::entry::demand::Demand;
    ///
    /// assert!(Demand::default().read().is_empty());
    /// ```
    pub fn read(&mut self) -> Vec<Load> {
        let total: f64 = self.ranges.values().sum();
        let threshold = (total * HOT_SHARE).max(1.0);
        let hot = self.points.iter().filter(|(_, count)| **count > threshold);
        let mut hot: Vec<(Point, f64)> = hot.map(|(point, count)| (*point, *count)).collect();
        hot.sort_by_key(|(point, _)| *point);
        let ranges = self.ranges.iter();
        let loads = ranges.flat_map(|(range, count)| split_load(*range, *count, &hot));
        let loads = loads.collect();
        self.decay();
        loads
    }

    fn decay(&mut self) {
        let decay = |count: &mut f64| {
            *count *= DECAY_FACTOR;
            *count >= 1.0
        };
        self.ranges.retain(|_, count| decay(count));
        self.points.retain(|_, count| decay(count));
    }
}

/// Splits a range's load into its hot points and the ranges between them.
fn split_load(range: Range, count: f64, hot: &[(Point, f64)]) -> Vec<Load> {
    let inside = hot.iter().filter(|(point, _)| range.contains(*point));
    let inside: Vec<&(Point, f64)> = inside.collect();
    let hottest: f64 = inside.iter().map(|(_, count)| count).sum();
    let rest = (count - hottest).max(0.0) / range.share();
    let mut loads = Vec::new();
    let mut next = Some(range.start);
    let between = |start: Point, end: Point| {
        let range = Range { start, end };
        let rate = rest * range.share();
        Load { range, rate }
    };
    for (point, rate) in inside {
        if let Some(start) = next.filter(|start| start < point) {
            loads.push(between(start, point - 1));
        }
        let range = Range {
            start: *point,
            end: *point,
        };
        loads.push(Load { range, rate: *rate });
        next = point.checked_add(1);
    }
    if let Some(start) = next.filter(|start| *start <= range.end) {
        loads.push(between(start, range.end));
    }
    loads
}
