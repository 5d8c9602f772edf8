//! Ranges of the hash space.

use serde::{Deserialize, Serialize};

use crate::key::Point;

/// A range of the hash space; both bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The first point.
    pub start: Point,
    /// The last point.
    pub end: Point,
}

impl Range {
    /// The whole hash space.
    pub const ALL: Self = Self {
        start: 0,
        end: Point::MAX,
    };

    /// Returns whether the range contains the point.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::range::Range;
    ///
    /// assert!(Range::ALL.contains(7));
    /// ```
    pub fn contains(&self, point: Point) -> bool {
        self.start <= point && point <= self.end
    }

    /// Returns whether the two ranges have a point in common.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::range::Range;
    ///
    /// let low = Range { start: 0, end: 9 };
    /// assert!(low.overlaps(&Range { start: 9, end: 10 }));
    /// assert!(!low.overlaps(&Range { start: 10, end: 11 }));
    /// ```
    pub fn overlaps(&self, other: &Self) -> bool {
        self.start <= other.end && other.start <= self.end
    }

    /// Returns the size of the range as a fraction of the hash space, from 0 to 1.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::range::Range;
    ///
    /// assert!((Range::ALL.share() - 1.0).abs() < 1e-9);
    /// ```
    #[allow(
        clippy::cast_precision_loss,
        reason = "53 bits are precise enough for a fraction of the hash space"
    )]
    pub fn share(&self) -> f64 {
        ((self.end - self.start) as f64 + 1.0) / (Point::MAX as f64 + 1.0)
    }

    /// Splits the range into `count` parts of nearly equal size, in order.
    ///
    /// A count of zero gives one part; a count above the number of points gives one part per point.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::range::Range;
    ///
    /// let parts = Range::ALL.split(4);
    /// assert_eq!(parts.len(), 4);
    /// assert_eq!(parts[3].end, u64::MAX);
    /// ```
    pub fn split(&self, count: u64) -> Vec<Self> {
        let points = u128::from(self.end - self.start) + 1;
        let count = u128::from(count.max(1)).min(points);
        let bound = |part: u128| self.start + u64::try_from(points * part / count).unwrap_or(0);
        (0..count)
            .map(|part| Self {
                start: bound(part),
                end: if part + 1 == count {
                    self.end
                } else {
                    bound(part + 1) - 1
                },
            })
            .collect()
    }
}
