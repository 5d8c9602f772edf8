//! What the grantors of one group spend while all is well.

use std::time::{Duration, Instant};

use bramleypier::{
    grant::{Grant, Held, Phase, TargetState},
    grantor::{Effect, Event, Grantor, Outcome, Timing},
    group::{Record, build::Candidate},
    id::{TargetId, Version, VmId},
};
use indexmap::IndexMap;

/// Between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// How long the group settles, and is then measured.
const SPANS: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(20)];

/// A group's grantors with targets that answer at once.
pub struct House {
    grantors: IndexMap<VmId, Grantor>,
    held: IndexMap<TargetId, Vec<Held>>,
    events: Vec<(VmId, Event)>,
    record: (Version, Record),
    now: Duration,
    spent: Duration,
    grants: u32,
}

impl House {
    /// Creates the grantors that a first record names.
    pub fn new(record: &Record, live: &[Candidate]) -> Self {
        let grantor = |vm: &Candidate| {
            let grantor = Grantor::new(vm.vm.clone(), record.group.clone(), Timing::default());
            (vm.vm.clone(), grantor)
        };
        let mut house = Self {
            grantors: live.iter().map(grantor).collect(),
            held: IndexMap::new(),
            events: Vec::new(),
            record: (1, record.clone()),
            now: Duration::from_secs(1),
            spent: Duration::ZERO,
            grants: 0,
        };
        house.tell(&Event::LiveVms { vms: live.to_vec() });
        house.publish();
        house
    }

    /// Returns the grants sent, and the time spent by all grantors, in a second of calm.
    pub fn calm(&mut self) -> (f64, Duration) {
        self.run(SPANS[0]);
        self.spent = Duration::ZERO;
        self.grants = 0;
        self.run(SPANS[1]);
        let seconds = SPANS[1].as_secs_f64();
        (
            f64::from(self.grants) / seconds,
            self.spent.div_f64(seconds),
        )
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.tell(&Event::Tick);
            while !self.events.is_empty() {
                for (vm, event) in std::mem::take(&mut self.events) {
                    self.feed(&vm, event);
                }
            }
        }
    }

    fn tell(&mut self, event: &Event) {
        for vm in self.grantors.keys() {
            self.events.push((vm.clone(), event.clone()));
        }
    }

    fn publish(&mut self) {
        let (version, record) = self.record.clone();
        self.tell(&Event::Record { version, record });
    }

    fn feed(&mut self, vm: &VmId, event: Event) {
        let Some(grantor) = self.grantors.get_mut(vm) else {
            return;
        };
        let begun = Instant::now();
        let effects = grantor.on(self.now, event);
        self.spent += begun.elapsed();
        for effect in effects {
            self.carry(vm, effect);
        }
    }

    fn carry(&mut self, vm: &VmId, effect: Effect) {
        match effect {
            Effect::Grant { target, grant, .. } => self.grant(vm, &target, &grant),
            Effect::Probe { target, .. } => self.answer(vm, &target),
            Effect::Send { to, message } => {
                let from = vm.clone();
                self.events.push((to, Event::Peer { from, message }));
            }
            Effect::Write {
                base,
                sequence,
                record,
            } => self.write(vm, base, sequence, *record),
            Effect::Read { asked } => {
                let (version, record) = self.record.clone();
                let event = Event::Read {
                    asked,
                    version,
                    record,
                };
                self.events.push((vm.clone(), event));
            }
            _ => {}
        }
    }

    fn grant(&mut self, vm: &VmId, target: &TargetId, grant: &Grant) {
        self.grants += 1;
        let held = grant.ranges.iter().map(|claim| Held {
            start: claim.start,
            end: claim.end,
            epoch: claim.epoch,
            until_ms: grant.until_ms,
        });
        self.held.insert(target.clone(), held.collect());
        self.answer(vm, target);
    }

    fn answer(&mut self, vm: &VmId, target: &TargetId) {
        let state = TargetState {
            boot: "boot-1".to_owned(),
            clock_ms: u64::try_from(self.now.as_millis()).unwrap_or(0),
            phase: Phase::Ready,
            load: 0.5,
            held: self.held.get(target).cloned().unwrap_or_default(),
            released: Vec::new(),
            refused: Vec::new(),
            running: 1,
        };
        let event = Event::TargetAnswered {
            target: target.clone(),
            asked: self.now,
            state,
        };
        self.events.push((vm.clone(), event));
    }

    fn write(&mut self, vm: &VmId, base: Version, sequence: u64, record: Record) {
        let result = if base == self.record.0 {
            self.record = (base + 1, record);
            self.publish();
            Outcome::Committed(base + 1)
        } else {
            Outcome::Conflict(self.record.0)
        };
        self.events
            .push((vm.clone(), Event::Written { sequence, result }));
    }
}
