//! Targets that say that they leave, or that they want no requests for a while, and the requests that reached them.

use std::time::Duration;

use bramleypier_platform_standin::server::{self, Server};
use indexmap::IndexMap;

use super::Run;
use crate::{
    check::{Observations, RequestRecord},
    notices::{Arrival, Notice, Stop},
    proxy::Proxy,
};

/// The time for which a refusing target wants no requests, in seconds.
const HOLD_OFF_SECONDS: &str = "2";
/// The same time.
const HOLD_OFF: Duration = Duration::from_secs(2);

/// A time in which the path to a target was disturbed.
#[derive(Clone, Debug)]
pub(super) struct PathDisturbance {
    pub(super) target: String,
    pub(super) from: Duration,
    pub(super) to: Duration,
}

/// A target that has made a statement.
#[derive(Clone, Debug)]
pub(super) struct Statement {
    server: Server,
    leaving: bool,
    from: Duration,
    to: Duration,
}

impl Run {
    /// Makes a target say that it leaves, and announces that in the store after a delay.
    pub(super) async fn leave_unannounced(&self, target: usize, delay: Duration) {
        let server = self.cluster.borrow().slots[target].server.clone();
        server.set_leaving(true);
        let from = self.clock.now();
        self.clock.sleep(delay).await;
        self.replace(target, super::faults::DRAIN_TIME).await;
        self.note_statement(server, true, from);
    }

    /// Makes a target refuse all requests for some time, and say when to come back.
    pub(super) async fn hold_off(&self, target: usize, duration: Duration) {
        let server = self.cluster.borrow().slots[target].server.clone();
        let from = self.clock.now();
        server.set_retry_after(Some(HOLD_OFF_SECONDS));
        server.set_fault(Some(server::Fault::Refuse));
        self.clock.sleep(duration).await;
        server.set_fault(None);
        server.set_retry_after(None);
        self.note_statement(server, false, from);
    }

    fn note_statement(&self, server: Server, leaving: bool, from: Duration) {
        let to = self.clock.now();
        self.statements.borrow_mut().push(Statement {
            server,
            leaving,
            from,
            to,
        });
    }

    /// Records a time in which a VM's process did not run all the time.
    pub(super) fn note_stop(&self, vm: usize, from: Duration, to: Duration) {
        self.note_disturbance(Some(vm), from, to);
        self.observations
            .borrow_mut()
            .stops
            .push(Stop { vm, from, to });
    }

    /// Records the requests that reached targets after their statements.
    pub(super) fn note_notices(&self, observations: &mut Observations) {
        let requests: IndexMap<&str, &RequestRecord> = observations
            .requests
            .iter()
            .map(|request| (request.id.as_str(), request))
            .collect();
        let statements = self.statements.borrow();
        // A refusal that a disturbed path has lost or delayed binds no VM.
        let counted = statements
            .iter()
            .filter(|it| it.leaving || !self.was_path_disturbed(it));
        let notices: Vec<Notice> = counted.map(|it| it.notice(&requests)).collect();
        observations.notices = notices;
    }

    /// Records that the path to a target is disturbed for a time, and returns the proxy in front of it.
    pub(super) fn disturb_path(&self, target: usize, from: Duration, to: Duration) -> Proxy {
        let cluster = self.cluster.borrow();
        let slot = &cluster.slots[target];
        self.path_disturbances.borrow_mut().push(PathDisturbance {
            target: slot.server.id.clone(),
            from,
            to,
        });
        slot.proxy.clone()
    }

    /// Returns whether the path to a target was disturbed while it made a statement.
    fn was_path_disturbed(&self, statement: &Statement) -> bool {
        let overlaps = |it: &PathDisturbance| {
            it.target == statement.server.id
                && it.from <= statement.to + HOLD_OFF
                && it.to >= statement.from
        };
        self.path_disturbances.borrow().iter().any(overlaps)
    }
}

impl Statement {
    /// Collects the requests that reached the target since its statement.
    fn notice(&self, requests: &IndexMap<&str, &RequestRecord>) -> Notice {
        let all = self.server.arrivals();
        let since = all.into_iter().filter(|it| it.at >= self.from);
        let since = since.filter(|it| self.leaving || it.at < self.to + HOLD_OFF);
        let arrivals = since.filter_map(|it| {
            let request = requests.get(it.id.as_str())?;
            Some(Arrival {
                id: it.id,
                vm: request.vm,
                sent: request.sent,
                arrived: it.at,
                answered: request.ended.filter(|_| request.leaving),
                held_for: it.retry_after.map(|_| HOLD_OFF),
            })
        });
        Notice {
            target: self.server.id.clone(),
            leaving: self.leaving,
            arrivals: arrivals.collect(),
        }
    }
}
