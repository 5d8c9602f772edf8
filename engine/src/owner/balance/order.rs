//! Candidates in the order of a value.

use std::{cmp::Ordering, collections::BTreeSet};

/// A value with a total order.
#[derive(Clone, Copy, Debug)]
struct Value(f64);

impl Ord for Value {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Value {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Value {}

/// Candidates, as indexes, in the order of a value; those with equal values are in the order of their indexes.
#[derive(Clone, Debug, Default)]
pub(super) struct Order(BTreeSet<(Value, usize)>);

impl Order {
    /// Returns the candidate with the highest value.
    pub(super) fn highest(&self) -> Option<usize> {
        self.0.last().map(|(_, at)| *at)
    }

    /// Returns the candidates with the lowest values, in order.
    pub(super) fn lowest(&self, count: usize) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().take(count).map(|(_, at)| *at)
    }

    /// Removes a candidate with its present value; returns whether it was there.
    pub(super) fn remove(&mut self, value: f64, at: usize) -> bool {
        self.0.remove(&(Value(value), at))
    }

    /// Replaces the value of a candidate, if it is there.
    pub(super) fn replace(&mut self, value: f64, next: f64, at: usize) {
        if self.remove(value, at) {
            self.0.insert((Value(next), at));
        }
    }
}

impl FromIterator<(f64, usize)> for Order {
    fn from_iter<I>(values: I) -> Self
    where
        I: IntoIterator<Item = (f64, usize)>,
    {
        let values = values.into_iter().map(|(value, at)| (Value(value), at));
        Self(values.collect())
    }
}
