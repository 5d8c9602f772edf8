//! One order in memory, and the rules that check a new attempt against the earlier ones.

use std::time::Duration;

use super::{
    Attempt, AttemptState, Flaw, Order,
    entry::{AttemptRecord, CheckResult, ENTRY_BYTES, Entry},
};
use crate::request::Fingerprint;

/// How many attempts of one order are kept; only attempts that did not run are removed.
const MAX_ATTEMPTS: usize = 16;

/// One order in memory, with what its eviction depends on.
#[derive(Clone, Debug)]
pub(super) struct StoredOrder {
    pub(super) entry: Entry,
    pub(super) changed_at: Duration,
    pub(super) bytes: usize,
}

impl StoredOrder {
    pub(super) fn new(created_at: Option<Duration>) -> Self {
        Self {
            entry: Entry {
                created_at,
                ..Entry::default()
            },
            changed_at: Duration::ZERO,
            bytes: 0,
        }
    }

    pub(super) fn order(&self, id: &str, fingerprint: Fingerprint) -> Order {
        Order {
            id: id.into(),
            created_at: self.entry.created_at,
            fingerprint,
        }
    }

    /// Checks an attempt against the kept ones; `None` if no earlier attempt prevents it.
    ///
    /// `AlreadyOpen` is returned where this attempt itself is the only open one.
    pub(super) fn check(
        &self,
        order: &Order,
        attempt: &Attempt,
        flaw: Flaw,
    ) -> Option<CheckResult> {
        let attempts = &self.entry.attempts;
        if attempts
            .get(attempt)
            .is_some_and(|it| it.state == AttemptState::NotRun)
        {
            return Some(CheckResult::Ended);
        }
        let counted = || {
            attempts
                .iter()
                .filter(|(_, it)| it.state != AttemptState::NotRun)
        };
        let same_request = |it: &AttemptRecord| {
            it.fingerprint == order.fingerprint || flaw == Flaw::IgnoreFingerprints
        };
        let ran = counted().find_map(|(_, record)| match &record.state {
            AttemptState::Ran(answer) => Some((same_request(record), answer)),
            _ => None,
        });
        let others = || counted().filter(|(it, _)| *it != attempt);
        let [any, same] = [
            others().count(),
            others().filter(|it| same_request(it.1)).count(),
        ];
        let has = |state| counted().any(|(_, it)| it.state == state);
        match ran {
            Some((true, answer)) => Some(CheckResult::Ran(answer.clone())),
            Some((false, _)) => Some(CheckResult::Mismatch),
            None if any > 0 && same == 0 => Some(CheckResult::Mismatch),
            None if others().any(|(_, it)| it.state == AttemptState::Open) => {
                Some(CheckResult::Running)
            }
            None if has(AttemptState::Unknown) && flaw != Flaw::LostIsNotRun => {
                Some(CheckResult::Unknown)
            }
            None => has(AttemptState::Open).then_some(CheckResult::AlreadyOpen),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        let mut attempts = self.entry.attempts.values();
        attempts.any(|record| record.state == AttemptState::Open)
    }

    /// Returns whether the order may be evicted: no attempt is open, and its id is dated, so that the floor covers
    /// it, or its retention is over.
    pub(super) fn is_evictable(&self, now: Duration, retention: Duration) -> bool {
        let dated = self.entry.created_at.is_some();
        !self.is_open() && (dated || self.changed_at + retention <= now)
    }

    /// Removes the oldest attempts that did not run while there are too many.
    pub(super) fn trim_attempts(&mut self) {
        let attempts = &mut self.entry.attempts;
        while attempts.len() > MAX_ATTEMPTS {
            let not_run = attempts
                .values()
                .position(|it| it.state == AttemptState::NotRun);
            let Some(index) = not_run else {
                return;
            };
            attempts.shift_remove_index(index);
        }
    }

    pub(super) fn size_bytes(&self, id: &str) -> usize {
        let attempts = self.entry.attempts.iter();
        let bytes = attempts.map(|(attempt, record)| match &record.state {
            AttemptState::Ran(answer) => {
                attempt.vm.len() + answer.body.as_ref().map_or(0, Vec::len)
            }
            _ => attempt.vm.len(),
        });
        ENTRY_BYTES + 2 * id.len() + bytes.sum::<usize>()
    }
}
