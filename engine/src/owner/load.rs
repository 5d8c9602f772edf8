//! How busy each key is, forgotten with time.

use std::{collections::BTreeMap, time::Duration};

use super::record::Point;

/// The time in which a key's load is forgotten by half.
///
/// Long enough that keys at two requests a second count steadily, short enough that keys that were
/// busy a few seconds ago no longer decide.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// What is dropped as nothing, in requests.
const NOTHING: f64 = 0.02;

/// Requests by key, as a sum in which each loses half its weight in three seconds.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::load::Load;
///
/// let mut load = Load::default();
/// load.add(Duration::ZERO, [(7, 4)]);
/// assert_eq!(load.sum(0, 9), 4.0);
/// load.add(Duration::from_secs(3), []);
/// assert_eq!(load.sum(0, 9), 2.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Load {
    weights: BTreeMap<Point, f64>,
    at: Duration,
}

impl Load {
    /// Adds counts of requests by key, as of now.
    ///
    /// # Example
    ///
    /// See [`Load`].
    pub fn add<I>(&mut self, now: Duration, counts: I)
    where
        I: IntoIterator<Item = (Point, u32)>,
    {
        let passed = now.saturating_sub(self.at);
        self.at = now;
        let kept = (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.weights.retain(|_, weight| {
            *weight *= kept;
            *weight > NOTHING
        });
        for (point, count) in counts {
            *self.weights.entry(point).or_default() += f64::from(count);
        }
    }

    /// Returns the load of a range.
    ///
    /// # Example
    ///
    /// See [`Load`].
    pub fn sum(&self, from: Point, to: Point) -> f64 {
        self.weights
            .range(from..=to)
            .map(|(_, weight)| weight)
            .sum()
    }

    /// Returns the busy keys of a range with their loads, in order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::owner::load::Load;
    ///
    /// let mut load = Load::default();
    /// load.add(Duration::ZERO, [(7, 4), (3, 1)]);
    /// assert_eq!(load.keys(0, 9), [(3, 1.0), (7, 4.0)]);
    /// ```
    pub fn keys(&self, from: Point, to: Point) -> Vec<(Point, f64)> {
        let range = self.weights.range(from..=to);
        range.map(|(point, weight)| (*point, *weight)).collect()
    }
}
