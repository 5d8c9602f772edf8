//! What the grantors of this VM did and saw, as events of the time line and counters.

use std::rc::Rc;

use indexmap::IndexMap;

use super::recorder::Recorder;
use crate::{
    chart::{
        Chart, Machine,
        charts::{
            self, duty,
            target::{Event, State},
        },
    },
    document::Document,
    grant::{Phase, TargetState},
    grantor::{self, Route},
    group::Record,
    handover::Handover,
    id::{BootId, Epoch, GroupId, TargetId, VmId},
    measure, metrics,
    range::Range,
    timeline::{self, Duty, Kind},
    util::names::Names,
};

/// The weight of a target's newest answer in its smoothed load.
const SMOOTHING: f64 = 0.05;

/// What has been seen of the targets and ranges of this VM's groups.
#[derive(Debug)]
pub struct GrantorEvents {
    recorder: Recorder,
    chart: Option<Rc<Chart<State, Event>>>,
    duties: IndexMap<GroupId, Machine<duty::State, duty::Event>>,
    targets: IndexMap<(GroupId, TargetId), Seen>,
    /// Ranges that no target is known to serve, with the epoch that was lost or is awaited.
    lost: IndexMap<(GroupId, Range), Epoch>,
}

/// What was seen of one target.
#[derive(Debug)]
struct Seen {
    machine: Machine<State, Event>,
    boot: BootId,
    /// Requests that run there, smoothed over its answers.
    running: f64,
}

impl GrantorEvents {
    /// Creates notes of nothing.
    pub fn new(recorder: Recorder) -> Self {
        Self {
            recorder,
            // The process checked all charts when it started.
            chart: charts::target().ok(),
            duties: IndexMap::new(),
            targets: IndexMap::new(),
            lost: IndexMap::new(),
        }
    }

    /// Notes a target's answer: its state, and the lost ranges that it holds a grant for now.
    pub fn answered(&mut self, group: &GroupId, target: &TargetId, state: &TargetState) {
        let service = service(group);
        self.recorder.count(&metrics::GRANTS_RENEWED, Some(service));
        let boot = &state.boot;
        let seen = self.targets.get(&(group.clone(), target.clone()));
        if seen.is_some_and(|seen| !seen.boot.is_empty() && seen.boot != *boot) {
            self.on(group, target, Event::Restart);
        }
        let event = match state.phase {
            Phase::Cold => Event::Cold,
            Phase::Ready => Event::Ready,
            Phase::Draining => Event::Draining,
        };
        self.on(group, target, event);
        self.duty(group, duty::Event::Confirmed);
        if let Some(seen) = self.targets.get_mut(&(group.clone(), target.clone())) {
            seen.boot.clone_from(boot);
            seen.running += SMOOTHING * (f64::from(state.running) - seen.running);
        }
        self.imbalance(group);
        self.held(group, target, state);
    }

    /// Sets the imbalance among the targets of a service that this VM grants to.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the figure is between 1 and the count of targets"
    )]
    fn imbalance(&self, group: &GroupId) {
        let service = service(group);
        let ours = self.targets.iter().filter(|((other, _), _)| other == group);
        let loads: Vec<f64> = ours.map(|(_, seen)| seen.running).collect();
        let thousandths = (measure::imbalance(&loads) * 1000.0) as u64;
        let metrics = self.recorder.metrics();
        metrics.set(&metrics::IMBALANCE, Some(service), thousandths);
    }

    /// Notes that a target did not answer once; what follows from it is the grantor's to say.
    pub fn failed(&self, group: &GroupId) {
        let service = Some(service(group));
        self.recorder.count(&metrics::GRANTS_FAILED, service);
    }

    /// Notes that a range was given to another target.
    pub fn moved(&mut self, group: &GroupId, fact: &Handover) {
        let heir = fact.chain.first().map(|heir| heir.target.as_str());
        let target = heir.unwrap_or_default();
        self.range(group, Kind::RangeMoved, target, fact.range, fact.epoch);
        self.lost.insert((group.clone(), fact.range), fact.epoch);
    }

    /// Notes what a grantor did; `routes` are the ranges' owners as it knows them.
    pub fn note(&mut self, group: &GroupId, note: &grantor::Note, routes: &[Route]) {
        let subject = note.subject.as_str();
        let kind = match note.kind {
            grantor::Kind::Stop => Kind::GrantStopped,
            grantor::Kind::Resume => Kind::StopWithdrawn,
            grantor::Kind::Release => Kind::TargetReleased,
            grantor::Kind::Replacement => Kind::GrantorStruck,
            grantor::Kind::Write => Kind::RecordWritten,
            grantor::Kind::Retire => return self.duty(group, duty::Event::Move),
            // A handover is recorded as a fact, with its range and epoch.
            grantor::Kind::Handover => return,
        };
        let event = timeline::Event::new(Duty::Grantor, "grant", kind).service(service(group));
        let event = match kind {
            Kind::GrantStopped | Kind::StopWithdrawn | Kind::TargetReleased => {
                event.target(subject)
            }
            _ => event.peer(subject),
        };
        let event = if note.detail.is_empty() {
            event
        } else {
            event.cause(note.detail.as_str())
        };
        self.recorder.event(event);
        match kind {
            Kind::GrantStopped => {
                self.on(group, &note.subject, Event::Silence);
                self.lost(group, subject, routes);
            }
            Kind::TargetReleased => self.on(group, &note.subject, Event::Release),
            _ => {}
        }
    }

    /// Notes a newer record: whether it names this VM, and what it says of lost ranges. One
    /// whose new owner is granted to by other VMs is theirs to account for.
    pub fn record(&mut self, me: &VmId, group: &GroupId, record: &Record) {
        let mut grantors = record.grantors.values().flatten();
        let is_named = grantors.any(|grantor| grantor.vm == *me);
        let state = self.duties.get(group).map(Machine::state);
        self.duty(
            group,
            match state {
                _ if is_named => duty::Event::Named,
                Some(duty::State::Handing) => duty::Event::Handed,
                _ => duty::Event::Lapse,
            },
        );
        let passed: Vec<Range> = self
            .lost
            .iter()
            .filter(|((lost, range), epoch)| lost == group && passes(me, record, *range, **epoch))
            .map(|((_, range), _)| *range)
            .collect();
        for range in passed {
            self.lost.swap_remove(&(group.clone(), range));
            self.recorder.pass(service(group), range);
        }
    }

    /// Notes that a document is in force: targets that it no longer names are gone.
    pub fn document(&mut self, document: &Document) {
        let known: Vec<(GroupId, TargetId)> = self.targets.keys().cloned().collect();
        for (group, target) in known {
            let is_ours = service(&group) == document.service;
            if is_ours && !document.targets.contains_key(&target) {
                self.on(&group, &target, Event::Removed);
                self.targets.swap_remove(&(group, target));
            }
        }
    }

    /// Passes the duty of grantor to the state that its chart gives, likewise.
    fn duty(&mut self, group: &GroupId, event: duty::Event) {
        if !self.duties.contains_key(group) {
            let Ok(chart) = charts::duty() else {
                return;
            };
            self.duties.insert(group.clone(), chart.machine());
        }
        let machine = self.duties.get_mut(group);
        let Some(Ok(change)) = machine.map(|machine| machine.on(event)) else {
            return;
        };
        let phase = timeline::Event::new(Duty::Grantor, event.name(), Kind::DutyPhase);
        let phase = phase.service(service(group)).peer(group);
        self.recorder.event(phase.cause(&change.to_string()));
    }

    /// Passes a target to the state that its chart gives; an event that the state has no
    /// transition for says nothing new.
    fn on(&mut self, group: &GroupId, target: &TargetId, event: Event) {
        let Some(chart) = &self.chart else {
            return;
        };
        let entry = self.targets.entry((group.clone(), target.clone()));
        let seen = entry.or_insert_with(|| Seen {
            machine: chart.clone().machine(),
            boot: BootId::new(),
            running: 0.0,
        });
        let Ok(change) = seen.machine.on(event) else {
            return;
        };
        let phase = timeline::Event::new(Duty::Grantor, event.name(), Kind::TargetPhase);
        let phase = phase.service(service(group)).target(target);
        self.recorder.event(phase.cause(&change.to_string()));
    }

    /// Records the ranges of a target as lost.
    fn lost(&mut self, group: &GroupId, target: &str, routes: &[Route]) {
        for route in routes.iter().filter(|route| route.target == target) {
            self.lost.insert((group.clone(), route.range), route.epoch);
            self.range(group, Kind::RangeLost, target, route.range, route.epoch);
        }
    }

    /// Records the lost ranges that a target holds a grant for now.
    fn held(&mut self, group: &GroupId, target: &TargetId, state: &TargetState) {
        if self.lost.is_empty() {
            return;
        }
        for held in &state.held {
            let range = Range {
                start: held.start,
                end: held.end,
            };
            let is_live = held.until_ms > state.clock_ms;
            if is_live && self.lost.swap_remove(&(group.clone(), range)).is_some() {
                self.range(group, Kind::RangeServed, target, range, held.epoch);
            }
        }
    }

    fn range(&self, group: &GroupId, kind: Kind, target: &str, range: Range, epoch: Epoch) {
        let event = timeline::Event::new(Duty::Grantor, "range", kind).service(service(group));
        let event = event.target(target).range(range).epoch(epoch);
        self.recorder.event(event);
    }
}

/// Returns whether a range that was lost has an owner at a later epoch, or at the one that is
/// awaited, and this VM doesn't grant to it.
fn passes(me: &VmId, record: &Record, range: Range, epoch: Epoch) -> bool {
    let mut entries = record.ranges.iter();
    let Some(entry) = entries.find(|entry| entry.range.overlaps(&range)) else {
        return false;
    };
    let owner = entry
        .chain
        .first()
        .and_then(|owner| record.members.get(owner));
    let trio = owner.and_then(|owner| record.grantors.get(&owner.domain));
    let is_mine = trio.is_some_and(|trio| trio.iter().any(|grantor| grantor.vm == *me));
    entry.epoch >= epoch && !is_mine
}

/// Returns the service of a group: `service/index`.
pub fn service(group: &GroupId) -> &str {
    group.split_once('/').map_or(group, |(service, _)| service)
}
