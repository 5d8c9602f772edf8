//! Changes of the record: the takeover, new owners, and what takes effect once a commit has succeeded.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Effect, RETRY_DELAY, ServiceOwnership};
use crate::owner::{
    assignment,
    balance::{Candidate, Move},
    range_state::{Phase, RangeState, worst_case_duration},
    record::{self, Fence, Incarnation, KeyRange, Record, RequestKey},
};
use crate::store::Era;

/// The longest delay between two attempts of a commit: each call to an unavailable store takes some time.
const MAX_COMMIT_BACKOFF: Duration = Duration::from_millis(1200);

/// How long the first assignment waits for more targets to be announced.
///
/// All processes of a fleet start within some 0.3 s; each target that is announced later needs keys moved to it.
const TARGET_WAIT: Duration = Duration::from_millis(1500);

/// A commit that is being written, and what it changes.
#[derive(Clone, Debug)]
pub(super) struct PendingCommit {
    pub(super) record: Record,
    /// The fence of the moved ranges.
    pub(super) fence: Fence,
    pub(super) moves: Vec<Move>,
    /// Whether this is the first commit of the term.
    pub(super) takeover: bool,
}

impl ServiceOwnership {
    /// Schedules a retry of the commit with exponential backoff.
    pub(super) fn commit_failed(&mut self, now: Duration) {
        self.commit_retry_at = Some(now + self.commit_backoff);
        self.commit_backoff = (self.commit_backoff * 2).min(MAX_COMMIT_BACKOFF);
    }

    /// Applies the commit that has succeeded.
    pub(super) fn committed(&mut self, now: Duration) {
        self.commit_retry_at = None;
        self.commit_backoff = RETRY_DELAY;
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.takeover {
            self.record = pending.record;
            // The earlier manager may have sent grants of the longer duration until just now.
            let longest = now + worst_case_duration(self.timing.outage_duration);
            let expires_at = longest.min(self.predecessors.latest_expiry());
            let states = self.record.ranges.iter().map(|range| {
                let state = match range.owner {
                    Some(_) => RangeState {
                        inherited: true,
                        ..RangeState::owned(now, Some(expires_at), None)
                    },
                    None => RangeState::free(),
                };
                (range.from, state)
            });
            self.states = states.collect();
            return;
        }
        self.record.settled = pending.record.settled;
        for it in &pending.moves {
            self.apply_move(now, it, pending.fence);
        }
        merge_adjacent(&mut self.record, &mut self.states);
    }

    /// Applies one move of a commit that has succeeded: its range gets the new owner and its grant is due.
    fn apply_move(&mut self, now: Duration, it: &Move, fence: Fence) {
        let origin = self
            .record
            .find(it.from)
            .map_or(it.from, |range| range.from);
        let handover = self
            .states
            .get(&origin)
            .and_then(|state| state.handover.clone());
        set_owner(&mut self.record, it, fence);
        for range in &self.record.ranges {
            if !self.states.contains_key(&range.from) {
                let state = self
                    .states
                    .get(&origin)
                    .cloned()
                    .unwrap_or_else(RangeState::free);
                self.states.insert(range.from, state);
            }
        }
        self.states
            .insert(it.from, RangeState::owned(now, None, handover));
    }

    /// Commits owners for free ranges, or retries a failed commit.
    pub(super) fn assign_free(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if let Some(retry_at) = self.commit_retry_at {
            if let Some(pending) = self.pending.as_ref().filter(|_| now >= retry_at) {
                effects.push(Effect::Commit(pending.record.clone()));
                self.commit_retry_at = None;
            }
            return;
        }
        let first = self.record.ranges.iter().all(|range| range.owner.is_none());
        let waiting = first && now < self.started_at + TARGET_WAIT;
        if self.pending.is_some() || waiting {
            return;
        }
        if !first && !self.record.settled && self.predecessors.have_stopped(now) {
            let next = self.next_commit(now, Vec::new());
            effects.push(Effect::Commit(next.record.clone()));
            self.pending = Some(next);
            return;
        }
        let is_free = |range: &&KeyRange| {
            self.states
                .get(&range.from)
                .is_some_and(RangeState::is_free)
        };
        let free: Vec<KeyRange> = self.record.ranges.iter().filter(is_free).cloned().collect();
        let candidates = self.candidates(now);
        if free.is_empty() || candidates.is_empty() {
            return;
        }
        let mut moves = Vec::new();
        let mut unassigned = Vec::new();
        for range in free {
            match self.intended_owner(&range, &candidates) {
                Some(owner) => moves.push(Move {
                    from: range.from,
                    to: range.to,
                    owner,
                }),
                None => unassigned.push(range),
            }
        }
        moves.extend(assignment::assign(
            &self.record,
            &unassigned,
            &candidates,
            &self.load,
        ));
        let next = self.next_commit(now, moves);
        effects.push(Effect::Commit(next.record.clone()));
        self.pending = Some(next);
    }

    /// Returns the owner that was chosen for a free range, if it may still own keys.
    fn intended_owner(&self, range: &KeyRange, candidates: &[Candidate]) -> Option<Incarnation> {
        let Phase::Free(Some(incarnation)) = &self.states.get(&range.from)?.phase else {
            return None;
        };
        let known = candidates.iter().any(|it| it.incarnation == *incarnation);
        known.then(|| incarnation.clone())
    }

    /// Builds the commit of some moves.
    fn next_commit(&mut self, now: Duration, moves: Vec<Move>) -> PendingCommit {
        // The fence is taken from the current record, whose counter advances, so that no fence is used twice.
        let fence = self.record.next_fence();
        let mut record = self.record.clone();
        record.settled = self.predecessors.have_stopped(now);
        for it in &moves {
            set_owner(&mut record, it, fence);
        }
        PendingCommit {
            record,
            fence,
            moves,
            takeover: false,
        }
    }
}

/// Sets the owner and the fence of a range of a record.
fn set_owner(record: &mut Record, it: &Move, fence: Fence) {
    record.split(it.from, it.to);
    if let Some(range) = record.ranges.iter_mut().find(|range| range.from == it.from) {
        range.fence = fence;
        range.owner = Some(it.owner.clone());
    }
}

/// Returns the record of the term after `earlier`: the same owners, with every fence raised.
///
/// The first term of a later era is above all terms that the store may have forgotten.
pub(super) fn successor(earlier: Record, manager: &str, era: Era) -> Record {
    let mut record = Record {
        term: record::first_term(era).max(earlier.term + 1),
        manager: manager.to_owned(),
        resigned: false,
        counter: 0,
        ranges: earlier.ranges,
        settled: false,
    };
    let fence = record.next_fence();
    let mut ranges: Vec<KeyRange> = Vec::new();
    for mut range in record.ranges {
        range.fence = fence;
        match ranges.last_mut() {
            Some(last) if last.owner == range.owner => last.to = range.to,
            _ => ranges.push(range),
        }
    }
    Record { ranges, ..record }
}

/// Merges adjacent ranges with the same owner and fence for which no call or handover is pending.
fn merge_adjacent(record: &mut Record, states: &mut IndexMap<RequestKey, RangeState>) {
    let is_steady = |state: Option<&RangeState>| {
        state.is_some_and(|it| it.phase == Phase::Owned && !it.in_flight)
    };
    let mut ranges: Vec<KeyRange> = Vec::new();
    for range in record.ranges.drain(..) {
        let mergeable = ranges.last().is_some_and(|last| {
            let same = last.owner == range.owner && last.fence == range.fence;
            let no_handover = states
                .get(&last.from)
                .is_some_and(|it| it.handover.is_none())
                && states
                    .get(&range.from)
                    .is_some_and(|it| it.handover.is_none());
            same && no_handover
                && is_steady(states.get(&last.from))
                && is_steady(states.get(&range.from))
        });
        if let Some(last) = ranges.last_mut().filter(|_| mergeable) {
            last.to = range.to;
            let removed = states.shift_remove(&range.from);
            if let (Some(kept), Some(removed)) = (states.get_mut(&last.from), removed) {
                kept.expires_at = kept.expires_at.max(removed.expires_at);
                kept.confirmed &= removed.confirmed;
                kept.next_call = kept.next_call.min(removed.next_call);
            }
        } else {
            ranges.push(range);
        }
    }
    record.ranges = ranges;
}
