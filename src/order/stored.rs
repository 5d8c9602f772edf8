//! One order in memory, with its attempts.

use std::time::Duration;

use super::{
    Attempt, Fate, Flaw, Order,
    entry::{ENTRY_BYTES, Entry, Standing, Trial},
};
use crate::request::Fingerprint;

/// How many attempts of one order are kept; those that did not run go first.
const ATTEMPTS: usize = 16;

/// One order in memory.
#[derive(Clone, Debug)]
pub(super) struct StoredOrder {
    pub(super) entry: Entry,
    pub(super) changed: Duration,
    pub(super) bytes: usize,
}

impl StoredOrder {
    pub(super) fn new(created_at: Option<Duration>) -> Self {
        Self {
            entry: Entry {
                created_at,
                ..Entry::default()
            },
            changed: Duration::ZERO,
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

    /// Returns what the attempts say; nothing if none of them ran or may run.
    pub(super) fn standing(
        &self,
        order: &Order,
        attempt: &Attempt,
        flaw: Flaw,
    ) -> Option<Standing> {
        let attempts = &self.entry.attempts;
        if attempts
            .get(attempt)
            .is_some_and(|it| it.fate == Fate::NotRun)
        {
            return Some(Standing::Ended);
        }
        let counted = || attempts.iter().filter(|(_, it)| it.fate != Fate::NotRun);
        let alike = |it: &Trial| it.fingerprint == order.fingerprint || flaw == Flaw::AnyPrint;
        let ran = counted().find_map(|(_, trial)| match &trial.fate {
            Fate::Ran(answer) => Some((alike(trial), answer)),
            _ => None,
        });
        let rivals = || counted().filter(|(it, _)| *it != attempt);
        let [any, same] = [rivals().count(), rivals().filter(|it| alike(it.1)).count()];
        let has = |fate| counted().any(|(_, it)| it.fate == fate);
        match ran {
            Some((true, answer)) => Some(Standing::Ran(answer.clone())),
            Some((false, _)) => Some(Standing::Mismatch),
            None if any > 0 && same == 0 => Some(Standing::Mismatch),
            None if rivals().any(|(_, it)| it.fate == Fate::Open) => Some(Standing::Running),
            None if has(Fate::Unknown) && flaw != Flaw::LostIsFree => Some(Standing::Unknown),
            None => has(Fate::Open).then_some(Standing::Mine),
        }
    }

    pub(super) fn is_open(&self) -> bool {
        let mut attempts = self.entry.attempts.values();
        attempts.any(|trial| trial.fate == Fate::Open)
    }

    pub(super) fn may_go(&self, now: Duration, retention: Duration) -> bool {
        let dated = self.entry.created_at.is_some();
        !self.is_open() && (dated || self.changed + retention <= now)
    }

    pub(super) fn forget_attempts(&mut self) {
        let attempts = &mut self.entry.attempts;
        while attempts.len() > ATTEMPTS {
            let idle = attempts.values().position(|it| it.fate == Fate::NotRun);
            let Some(index) = idle else {
                return;
            };
            attempts.shift_remove_index(index);
        }
    }

    pub(super) fn measure(&self, id: &str) -> usize {
        let attempts = self.entry.attempts.iter();
        let bytes = attempts.map(|(attempt, trial)| match &trial.fate {
            Fate::Ran(answer) => attempt.vm.len() + answer.body.as_ref().map_or(0, Vec::len),
            _ => attempt.vm.len(),
        });
        ENTRY_BYTES + 2 * id.len() + bytes.sum::<usize>()
    }
}
