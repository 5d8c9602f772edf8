//! How the record changes: takeover, new owners, and what a commit makes true.

use std::time::Duration;

use indexmap::IndexMap;

use super::{AGAIN, Effect, ServiceOwnership};
use crate::owner::{
    balance::{self, Candidate, Move},
    range_state::{Live, Phase, lasting},
    record::{Fence, Incarnation, KeyRange, Record, RequestKey},
};

/// The longest pause between two tries of a commit: each call to a store that is down is paid for.
const COMMIT_PAUSE_MOST: Duration = Duration::from_millis(1200);

/// How long the first assignment waits for more targets to announce themselves.
///
/// All processes of a fleet start within some 0.3 s; a later target costs moves.
const GATHER: Duration = Duration::from_millis(1500);

/// What a commit under way will change.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) record: Record,
    pub(super) fence: Fence,
    pub(super) moves: Vec<Move>,
    /// Whether this is the first commit of the term.
    pub(super) takeover: bool,
}

impl ServiceOwnership {
    pub(super) fn retry_commit(&mut self, now: Duration) {
        self.commit_due = Some(now + self.commit_pause);
        self.commit_pause = (self.commit_pause * 2).min(COMMIT_PAUSE_MOST);
    }

    pub(super) fn committed(&mut self, now: Duration) {
        self.commit_due = None;
        self.commit_pause = AGAIN;
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.takeover {
            self.record = pending.record;
            // The earlier manager may have been alone just now.
            let alone = now + lasting(self.timing.outage_duration);
            let until = alone.min(self.earlier.holds());
            let live = self.record.ranges.iter().map(|part| {
                let live = match part.owner {
                    Some(_) => Live {
                        inherited: true,
                        ..Live::held(now, Some(until), None)
                    },
                    None => Live::free(),
                };
                (part.from, live)
            });
            self.live = live.collect();
            return;
        }
        self.record.settled = pending.record.settled;
        for it in &pending.moves {
            self.settle(now, it, pending.fence);
        }
        join(&mut self.record, &mut self.live);
    }

    /// Makes a move of a commit that has taken effect live.
    fn settle(&mut self, now: Duration, it: &Move, fence: Fence) {
        let origin = self.record.find(it.from).map_or(it.from, |part| part.from);
        let handover = self
            .live
            .get(&origin)
            .and_then(|live| live.handover.clone());
        assign(&mut self.record, it, fence);
        for part in &self.record.ranges {
            if !self.live.contains_key(&part.from) {
                let rest = self.live.get(&origin).cloned().unwrap_or_else(Live::free);
                self.live.insert(part.from, rest);
            }
        }
        self.live.insert(it.from, Live::held(now, None, handover));
    }

    /// Writes owners for ranges that nobody holds.
    pub(super) fn reassign(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if let Some(due) = self.commit_due {
            if let Some(pending) = self.pending.as_ref().filter(|_| now >= due) {
                out.push(Effect::Commit(pending.record.clone()));
                self.commit_due = None;
            }
            return;
        }
        let first = self.record.ranges.iter().all(|part| part.owner.is_none());
        let gathering = first && now < self.started + GATHER;
        if self.pending.is_some() || gathering {
            return;
        }
        if !first && !self.record.settled && self.earlier.is_over(now) {
            let next = self.next(now, Vec::new());
            out.push(Effect::Commit(next.record.clone()));
            self.pending = Some(next);
            return;
        }
        let is_free = |part: &&KeyRange| self.live.get(&part.from).is_some_and(Live::is_free);
        let free: Vec<KeyRange> = self.record.ranges.iter().filter(is_free).cloned().collect();
        let holders = self.holders(now);
        if free.is_empty() || holders.is_empty() {
            return;
        }
        let mut moves = Vec::new();
        let mut open = Vec::new();
        for part in free {
            match self.intended(&part, &holders) {
                Some(owner) => moves.push(Move {
                    from: part.from,
                    to: part.to,
                    owner,
                }),
                None => open.push(part),
            }
        }
        moves.extend(balance::assign(&self.record, &open, &holders, &self.load));
        let next = self.next(now, moves);
        out.push(Effect::Commit(next.record.clone()));
        self.pending = Some(next);
    }

    fn intended(&self, part: &KeyRange, holders: &[Candidate]) -> Option<Incarnation> {
        let Phase::Free(Some(life)) = &self.live.get(&part.from)?.phase else {
            return None;
        };
        let known = holders.iter().any(|it| it.incarnation == *life);
        known.then(|| life.clone())
    }

    /// Builds the record after some moves.
    fn next(&mut self, now: Duration, moves: Vec<Move>) -> Pending {
        // The counter moves here too, so that no fence is given out twice.
        let fence = self.record.next_fence();
        let mut record = self.record.clone();
        record.settled = self.earlier.is_over(now);
        for it in &moves {
            assign(&mut record, it, fence);
        }
        Pending {
            record,
            fence,
            moves,
            takeover: false,
        }
    }
}

/// Gives a range of a record to another owner.
fn assign(record: &mut Record, it: &Move, fence: Fence) {
    record.split(it.from, it.to);
    if let Some(part) = record.ranges.iter_mut().find(|part| part.from == it.from) {
        part.fence = fence;
        part.owner = Some(it.owner.clone());
    }
}

/// The record of the term after `earlier`: the same owners, every fence raised.
pub(super) fn successor(earlier: Record, manager: &str) -> Record {
    let mut record = Record {
        term: earlier.term + 1,
        manager: manager.to_owned(),
        resigned: false,
        counter: 0,
        ranges: earlier.ranges,
        settled: false,
    };
    let fence = record.next_fence();
    let mut ranges: Vec<KeyRange> = Vec::new();
    for mut part in record.ranges {
        part.fence = fence;
        match ranges.last_mut() {
            Some(last) if last.owner == part.owner => last.to = part.to,
            _ => ranges.push(part),
        }
    }
    Record { ranges, ..record }
}

/// Joins neighbours that are alike in owner and fence and that nothing is under way for.
fn join(record: &mut Record, live: &mut IndexMap<RequestKey, Live>) {
    let calm = |live: Option<&Live>| live.is_some_and(|it| it.phase == Phase::Held && !it.busy);
    let mut ranges: Vec<KeyRange> = Vec::new();
    for part in record.ranges.drain(..) {
        let alike = ranges.last().is_some_and(|last| {
            let same = last.owner == part.owner && last.fence == part.fence;
            let fresh = live.get(&last.from).is_some_and(|it| it.handover.is_none())
                && live.get(&part.from).is_some_and(|it| it.handover.is_none());
            same && fresh && calm(live.get(&last.from)) && calm(live.get(&part.from))
        });
        if let Some(last) = ranges.last_mut().filter(|_| alike) {
            last.to = part.to;
            let gone = live.shift_remove(&part.from);
            if let (Some(kept), Some(gone)) = (live.get_mut(&last.from), gone) {
                kept.until = kept.until.max(gone.until);
                kept.confirmed &= gone.confirmed;
                kept.due = kept.due.min(gone.due);
            }
        } else {
            ranges.push(part);
        }
    }
    record.ranges = ranges;
}
