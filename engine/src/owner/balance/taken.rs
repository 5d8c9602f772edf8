//! The keys that a plan must leave where they are.

use std::collections::BTreeMap;

use super::Move;
use crate::owner::record::RequestKey;

/// Runs of keys that don't overlap, as first and last key.
#[derive(Clone, Debug, Default)]
pub(super) struct Taken(BTreeMap<RequestKey, RequestKey>);

impl Taken {
    /// Creates the set of the keys of some moves, which may overlap.
    pub(super) fn new(moves: &[Move]) -> Self {
        let mut taken = Self::default();
        for it in moves {
            taken.insert(it.from, it.to);
        }
        taken
    }

    /// Adds a run, and joins it with those that it overlaps.
    pub(super) fn insert(&mut self, from: RequestKey, to: RequestKey) {
        let (mut first, mut last) = (from, to);
        while let Some((begin, end)) = self.find(first, last) {
            first = first.min(begin);
            last = last.max(end);
            self.0.remove(&begin);
        }
        self.0.insert(first, last);
    }

    /// Returns whether any key of a run is in the set.
    pub(super) fn overlaps(&self, from: RequestKey, to: RequestKey) -> bool {
        self.find(from, to).is_some()
    }

    /// Returns the last run that overlaps another.
    fn find(&self, from: RequestKey, to: RequestKey) -> Option<(RequestKey, RequestKey)> {
        let (begin, end) = self.0.range(..=to).next_back()?;
        (*end >= from).then_some((*begin, *end))
    }
}
