//! Records what this VM's grantors do and observe, as timeline events and counters.
//!
//! It keeps the observed state of each target, this VM's role in each group, and the ranges that no target is
//! known to serve.

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

/// Weight of a target's latest response in its smoothed load.
const SMOOTHING: f64 = 0.05;

/// The observed state of the targets and ranges of this VM's groups.
#[derive(Debug)]
pub struct GrantorEvents {
    recorder: Recorder,
    chart: Option<Rc<Chart<State, Event>>>,
    roles: IndexMap<GroupId, Machine<duty::State, duty::Event>>,
    targets: IndexMap<(GroupId, TargetId), TargetView>,
    /// Ranges that no target is known to serve, with the epoch that was lost or is expected.
    lost_ranges: IndexMap<(GroupId, Range), Epoch>,
}

/// The observed state of one target.
#[derive(Debug)]
struct TargetView {
    machine: Machine<State, Event>,
    boot: BootId,
    /// Requests running on the target, smoothed over its responses.
    running: f64,
}

impl GrantorEvents {
    /// Creates a recorder without any observations.
    pub fn new(recorder: Recorder) -> Self {
        Self {
            recorder,
            // Can't fail here: the process checks all charts at start.
            chart: charts::target().ok(),
            roles: IndexMap::new(),
            targets: IndexMap::new(),
            lost_ranges: IndexMap::new(),
        }
    }

    /// Records a target's response: its state, and the lost ranges for which it now holds a grant.
    pub fn answered(&mut self, group: &GroupId, target: &TargetId, state: &TargetState) {
        let service = service(group);
        self.recorder.count(&metrics::GRANTS_RENEWED, Some(service));
        let boot = &state.boot;
        let view = self.targets.get(&(group.clone(), target.clone()));
        if view.is_some_and(|view| !view.boot.is_empty() && view.boot != *boot) {
            self.target_event(group, target, Event::Restart);
        }
        let event = match state.phase {
            Phase::Cold => Event::Cold,
            Phase::Ready => Event::Ready,
            Phase::Draining => Event::Draining,
        };
        self.target_event(group, target, event);
        self.role_event(group, duty::Event::Confirmed);
        if let Some(view) = self.targets.get_mut(&(group.clone(), target.clone())) {
            view.boot.clone_from(boot);
            view.running += SMOOTHING * (f64::from(state.running) - view.running);
        }
        self.imbalance(group);
        self.mark_served(group, target, state);
    }

    /// Sets the imbalance metric for the targets to which this VM grants, in thousandths.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the imbalance is between 1 and the number of targets"
    )]
    fn imbalance(&self, group: &GroupId) {
        let service = service(group);
        let ours = self.targets.iter().filter(|((other, _), _)| other == group);
        let loads: Vec<f64> = ours.map(|(_, view)| view.running).collect();
        let thousandths = (measure::imbalance(&loads) * 1000.0) as u64;
        let metrics = self.recorder.metrics();
        metrics.set(&metrics::IMBALANCE, Some(service), thousandths);
    }

    /// Counts a call that a target did not answer; the grantor decides what follows.
    pub fn failed(&self, group: &GroupId) {
        let service = Some(service(group));
        self.recorder.count(&metrics::GRANTS_FAILED, service);
    }

    /// Records that a range was handed over to another target.
    pub fn moved(&mut self, group: &GroupId, handover: &Handover) {
        let successor = handover
            .chain
            .first()
            .map(|successor| successor.target.as_str());
        let target = successor.unwrap_or_default();
        self.range_event(
            group,
            Kind::RangeMoved,
            target,
            handover.range,
            handover.epoch,
        );
        self.lost_ranges
            .insert((group.clone(), handover.range), handover.epoch);
    }

    /// Records an action of a grantor; `routes` are the owners of the ranges as the grantor knows them.
    pub fn note(&mut self, group: &GroupId, note: &grantor::Note, routes: &[Route]) {
        let subject = note.subject.as_str();
        let kind = match note.kind {
            grantor::Kind::Stop => Kind::GrantStopped,
            grantor::Kind::Resume => Kind::StopWithdrawn,
            grantor::Kind::Release => Kind::TargetReleased,
            grantor::Kind::Replacement => Kind::GrantorStruck,
            grantor::Kind::Write => Kind::RecordWritten,
            grantor::Kind::Retire => return self.role_event(group, duty::Event::Move),
            // `moved` records handovers, with their range and epoch.
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
                self.target_event(group, &note.subject, Event::Silence);
                self.mark_lost(group, subject, routes);
            }
            Kind::TargetReleased => self.target_event(group, &note.subject, Event::Release),
            _ => {}
        }
    }

    /// Processes a newer record: whether it names this VM as a grantor, and who now owns the lost ranges.
    /// Other VMs account for a lost range when they grant to its new owner.
    pub fn record(&mut self, me: &VmId, group: &GroupId, record: &Record) {
        let mut grantors = record.grantors.values().flatten();
        let is_named = grantors.any(|grantor| grantor.vm == *me);
        let state = self.roles.get(group).map(Machine::state);
        self.role_event(
            group,
            match state {
                _ if is_named => duty::Event::Named,
                Some(duty::State::Handing) => duty::Event::Handed,
                _ => duty::Event::Lapse,
            },
        );
        let reassigned: Vec<Range> = self
            .lost_ranges
            .iter()
            .filter(|((lost_group, range), epoch)| {
                lost_group == group && is_granted_elsewhere(me, record, *range, **epoch)
            })
            .map(|((_, range), _)| *range)
            .collect();
        for range in reassigned {
            self.lost_ranges.swap_remove(&(group.clone(), range));
            self.recorder.pass(service(group), range);
        }
    }

    /// Processes a new document in force: targets that it no longer names are removed.
    pub fn document(&mut self, document: &Document) {
        let known: Vec<(GroupId, TargetId)> = self.targets.keys().cloned().collect();
        for (group, target) in known {
            let is_ours = service(&group) == document.service;
            if is_ours && !document.targets.contains_key(&target) {
                self.target_event(&group, &target, Event::Removed);
                self.targets.swap_remove(&(group, target));
            }
        }
    }

    /// Applies an event to this VM's grantor role in a group, and records the transition if there is one.
    fn role_event(&mut self, group: &GroupId, event: duty::Event) {
        if !self.roles.contains_key(group) {
            let Ok(chart) = charts::duty() else {
                return;
            };
            self.roles.insert(group.clone(), chart.machine());
        }
        let machine = self.roles.get_mut(group);
        let Some(Ok(change)) = machine.map(|machine| machine.on(event)) else {
            return;
        };
        let phase = timeline::Event::new(Duty::Grantor, event.name(), Kind::DutyPhase);
        let phase = phase.service(service(group)).peer(group);
        self.recorder.event(phase.cause(&change.to_string()));
    }

    /// Applies an event to a target's state chart and records the transition. Events without a
    /// transition from the current state are ignored: they add no information.
    fn target_event(&mut self, group: &GroupId, target: &TargetId, event: Event) {
        let Some(chart) = &self.chart else {
            return;
        };
        let entry = self.targets.entry((group.clone(), target.clone()));
        let view = entry.or_insert_with(|| TargetView {
            machine: chart.clone().machine(),
            boot: BootId::new(),
            running: 0.0,
        });
        let Ok(change) = view.machine.on(event) else {
            return;
        };
        let phase = timeline::Event::new(Duty::Grantor, event.name(), Kind::TargetPhase);
        let phase = phase.service(service(group)).target(target);
        self.recorder.event(phase.cause(&change.to_string()));
    }

    /// Records all ranges of a target as lost.
    fn mark_lost(&mut self, group: &GroupId, target: &str, routes: &[Route]) {
        for route in routes.iter().filter(|route| route.target == target) {
            self.lost_ranges
                .insert((group.clone(), route.range), route.epoch);
            self.range_event(group, Kind::RangeLost, target, route.range, route.epoch);
        }
    }

    /// Records the lost ranges for which a target now holds a grant as served again.
    fn mark_served(&mut self, group: &GroupId, target: &TargetId, state: &TargetState) {
        if self.lost_ranges.is_empty() {
            return;
        }
        for held in &state.held {
            let range = Range {
                start: held.start,
                end: held.end,
            };
            let is_live = held.until_ms > state.clock_ms;
            if is_live
                && self
                    .lost_ranges
                    .swap_remove(&(group.clone(), range))
                    .is_some()
            {
                self.range_event(group, Kind::RangeServed, target, range, held.epoch);
            }
        }
    }

    fn range_event(&self, group: &GroupId, kind: Kind, target: &str, range: Range, epoch: Epoch) {
        let event = timeline::Event::new(Duty::Grantor, "range", kind).service(service(group));
        let event = event.target(target).range(range).epoch(epoch);
        self.recorder.event(event);
    }
}

/// Returns whether a lost range has an owner at the expected epoch or a later one, and this VM isn't a grantor
/// of that owner.
fn is_granted_elsewhere(me: &VmId, record: &Record, range: Range, epoch: Epoch) -> bool {
    let mut entries = record.ranges.iter();
    let Some(entry) = entries.find(|entry| entry.range.overlaps(&range)) else {
        return false;
    };
    let owner = entry
        .chain
        .first()
        .and_then(|owner| record.members.get(owner));
    let grantors = owner.and_then(|owner| record.grantors.get(&owner.domain));
    let is_granted_here =
        grantors.is_some_and(|grantors| grantors.iter().any(|grantor| grantor.vm == *me));
    entry.epoch >= epoch && !is_granted_here
}

/// Returns the service of a group, whose id has the form `service/index`.
pub fn service(group: &GroupId) -> &str {
    group.split_once('/').map_or(group, |(service, _)| service)
}
