//! Finds the requests that end the processes of the targets that run them, and refuses them.
//!
//! Load pattern: one request makes every target that runs it crash, and its caller sends it again and again, each time
//! with a new id and through any VM. Each VM sees no more than a few broken connections to different targets.
//!
//! [`Suspects`] decides from the crashes that all VMs have seen. VMs exchange these through the manager, which also keeps
//! the verdicts in the store (`records`), for processes that start later.

mod fingerprint;
pub mod records;
mod suspects;

use std::{cell::RefCell, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;

pub use self::{
    fingerprint::Fingerprint,
    suspects::{CrashReport, MAX_ENDED, Run, SUSPICION_TIME, Suspects, Verdict},
};
use crate::{
    catalogue::{self, Target},
    fleet::SharedFleet,
    report::Report,
};

/// A handle on this VM's suspects; clones share them.
#[derive(Clone)]
pub struct Quarantine {
    suspects: Rc<RefCell<Suspects>>,
    shared_fleet: SharedFleet,
    clock: Clock,
    report: Report,
}

impl std::fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Quarantine")
            .field("suspects", &self.suspects)
            .finish_non_exhaustive()
    }
}

impl Quarantine {
    /// Creates a handle without suspects; verdicts that the store holds are in `shared_fleet`.
    pub fn new(shared_fleet: SharedFleet, clock: Clock, report: Report) -> Self {
        Self {
            suspects: Rc::default(),
            shared_fleet,
            clock,
            report,
        }
    }

    /// Returns for how much longer a request is refused; `None` if it may be sent.
    pub fn remaining(&self, request: Fingerprint) -> Option<Duration> {
        let now = self.clock.now();
        let suspects = self.suspects.borrow();
        if suspects.knows(request) {
            return suspects.remaining(now, request);
        }
        let since = *self.shared_fleet.get().quarantined().get(&request)?;
        let left = (since + SUSPICION_TIME).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that the connection to a target broke while the target ran a request.
    pub fn record_crash(&self, request: Fingerprint, target: &Target) {
        let run = Run {
            target: catalogue::hash(&target.id),
            started: target.start_time,
        };
        self.report.line(&format!(
            "event=broken-under print={request} target={} born={}",
            target.id, target.start_time
        ));
        let now = self.clock.now();
        let verdicts = self.suspects.borrow_mut().record_crash(now, request, run);
        self.log(&verdicts, "own");
    }

    /// Records that a target has completed a request.
    pub fn record_completion(&self, request: Fingerprint) {
        if !self.suspects.borrow().knows(request) {
            return;
        }
        let now = self.clock.now();
        let verdicts = self.suspects.borrow_mut().record_completion(now, request);
        self.log(&verdicts, "own");
    }

    /// Adds what another VM knows.
    pub fn merge(&self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let verdicts = self.suspects.borrow_mut().merge(now, reports);
        self.log(&verdicts, "vm");
    }

    /// Returns what another VM may not know yet; everything if this VM contacts it for the first time.
    pub fn reports(&self, is_first: bool) -> Vec<CrashReport> {
        let now = self.clock.now();
        let suspects = self.suspects.borrow();
        if is_first {
            suspects.all(now)
        } else {
            suspects.news(now)
        }
    }

    /// Logs changed verdicts and who had the decisive report.
    fn log(&self, verdicts: &[Verdict], by: &str) {
        for it in verdicts {
            let event = if it.quarantined {
                "request-quarantined"
            } else {
                "request-acquitted"
            };
            let line = format!(
                "event={event} print={} ended={} by={by}",
                it.request, it.ended
            );
            self.report.line(&line);
        }
    }
}
