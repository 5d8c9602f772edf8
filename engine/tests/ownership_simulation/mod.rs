//! A small model of VMs, targets and the store around the real keepers.

mod calls;
mod targets;

use std::time::Duration;

use bramleypier_engine::owner::{
    ownership::{CallOutcome, Effect, Event, ServiceOwnership, Timing},
    record::{Record, RequestKey},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use targets::{LAST, Targets};

/// The time of one step.
const TICK: Duration = Duration::from_millis(50);
/// How long the manager's lease lasts.
const LEASE: Duration = Duration::from_secs(2);
/// After how long a call without an answer is given up.
const TIMEOUT: Duration = Duration::from_millis(400);

pub const TIMING: Timing = Timing {
    lease: LEASE,
    grant_duration: Duration::from_secs(2),
    outage_duration: Duration::from_secs(3),
    renew_interval: Duration::from_millis(600),
    latest_expiry: Duration::from_secs(5),
};

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    ReleaseAtOwnFence,
    NoWaitForEarlier,
    RenewsForEver,
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Run,
    Freeze {
        vm: usize,
        ticks: u32,
    },
    Restart(usize),
    /// A planned stop: the process hands over as far as it can, and starts again.
    Resign(usize),
    Store {
        vm: usize,
        open: bool,
    },
    Link {
        vm: usize,
        target: usize,
        open: bool,
    },
    Crash {
        target: usize,
        ticks: u32,
    },
    Leave {
        target: usize,
        on: bool,
    },
    Announce {
        target: usize,
        on: bool,
    },
    Unanswered(u8),
    WritesLost(u8),
    Load {
        key: RequestKey,
        count: u32,
    },
    Heal,
}

/// What a VM hears later.
#[derive(Clone, Debug)]
enum Heard {
    Called {
        from: RequestKey,
        grant: bool,
        ending: CallOutcome,
    },
    Committed(bool),
}

struct Vm {
    frozen: u32,
    store: bool,
    ownership: Option<ServiceOwnership>,
    revision: u64,
    /// Until when the VM knows that it has the lease.
    lease: Duration,
    start: u64,
    heard: Vec<(Duration, u64, Heard)>,
    written: Option<Record>,
    /// The manager before this VM, until it is known to have stopped.
    earlier: Option<String>,
}

/// Everything.
pub struct World {
    flaw: Flaw,
    now: Duration,
    random: StdRng,
    vms: Vec<Vm>,
    targets: Targets,
    record: (u64, Record),
    /// Who has the lease in the store, and until when.
    lease: Option<(usize, u64, Duration)>,
    unanswered: u8,
    writes_lost: u8,
    /// Writes that may still take effect: when, by whom, expected revision, record.
    late_writes: Vec<(Duration, u64, Record)>,
    /// Starts of processes that have ended.
    ended: Vec<String>,
}

impl World {
    pub fn new(flaw: Flaw, seed: u64) -> Self {
        let vm = |start| Vm {
            frozen: 0,
            store: true,
            ownership: None,
            revision: 0,
            lease: Duration::ZERO,
            start,
            heard: Vec::new(),
            written: None,
            earlier: None,
        };
        Self {
            flaw,
            now: Duration::from_secs(100),
            random: StdRng::seed_from_u64(seed),
            vms: (0..3).map(vm).collect(),
            targets: Targets::new(),
            record: (1, Record::unowned(LAST)),
            lease: None,
            unanswered: 0,
            writes_lost: 0,
            late_writes: Vec::new(),
            ended: Vec::new(),
        }
    }

    pub fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Run => {}
            Step::Freeze { vm, ticks } => self.vms[vm].frozen = ticks,
            Step::Restart(vm) => self.restart(vm),
            Step::Resign(vm) => self.resign(vm),
            Step::Store { vm, open } => self.vms[vm].store = open,
            Step::Link { vm, target, open } => self.targets.set_link(vm, target, open),
            Step::Crash { target, ticks } => self.targets.crash(target, ticks),
            Step::Leave { target, on } => self.targets.set_leaving(target, on),
            Step::Announce { target, on } => self.targets.set_announced(target, on),
            Step::Unanswered(percent) => self.unanswered = percent,
            Step::WritesLost(percent) => self.writes_lost = percent,
            Step::Load { key, count } => self.load(key, count),
            Step::Heal => self.heal_all(),
        }
        self.pass()
    }

    pub fn heal_all(&mut self) {
        for vm in &mut self.vms {
            vm.frozen = 0;
            vm.store = true;
        }
        self.targets.heal();
        self.unanswered = 0;
        self.writes_lost = 0;
    }

    /// Keys that no target holds.
    pub fn unheld(&self) -> Vec<RequestKey> {
        (0..=LAST)
            .filter(|key| self.targets.holders(*key, self.now).is_empty())
            .collect()
    }

    fn restart(&mut self, vm: usize) {
        let start = self.random.random();
        let own = &mut self.vms[vm];
        self.ended.push(own.start.to_string());
        own.earlier = None;
        own.ownership = None;
        own.heard.clear();
        own.start = start;
        own.lease = Duration::ZERO;
        own.written = None;
    }

    /// Ends a process in order: its record says so if the store takes that.
    fn resign(&mut self, vm: usize) {
        let own = &mut self.vms[vm];
        let now = self.now;
        let record = own.ownership.as_mut().and_then(|it| it.resign(now));
        let stands = self.record.0 == own.revision && own.store;
        if let Some(record) = record.filter(|_| stands) {
            self.record = (self.record.0 + 1, record);
        }
        if self.lease.is_some_and(|(holder, ..)| holder == vm) && self.vms[vm].store {
            self.lease = None;
        }
        self.restart(vm);
    }

    /// Tells a manager that the one before it has ended, once its VM has started again.
    fn look_for_earlier(&mut self, vm: usize) {
        let own = &mut self.vms[vm];
        let ended = |start: &mut String| self.ended.contains(start);
        if own.ownership.is_some() && own.earlier.take_if(ended).is_some() {
            self.feed(vm, Event::PredecessorStopped);
        }
    }

    fn load(&mut self, key: RequestKey, count: u32) {
        for vm in 0..self.vms.len() {
            self.feed(vm, Event::Load(vec![(key, count)]));
        }
    }

    fn pass(&mut self) -> Result<(), String> {
        self.now += TICK;
        let now = self.now;
        self.targets.pass(now);
        if self.lease.is_some_and(|(.., until)| now >= until) {
            self.lease = None;
        }
        self.apply_late_writes();
        for vm in 0..self.vms.len() {
            if self.vms[vm].frozen > 0 {
                self.vms[vm].frozen -= 1;
                continue;
            }
            self.hear(vm);
            self.renew_or_bid(vm);
            self.look_for_earlier(vm);
            let announced = self.targets.announced();
            self.feed(vm, Event::Targets(announced));
            self.feed(vm, Event::Tick);
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        for key in 0..=LAST {
            let holders = self.targets.holders(key, self.now);
            if holders.len() > 1 {
                return Err(format!(
                    "key {key} is held by {holders:?} at {:?}",
                    self.now
                ));
            }
        }
        Ok(())
    }

    fn hear(&mut self, vm: usize) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.vms[vm].heard)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.vms[vm].heard = later;
        for (_, term, heard) in due {
            let current = self.vms[vm].ownership.as_ref().map(ServiceOwnership::term);
            if current != Some(term) {
                continue;
            }
            match heard {
                Heard::Called {
                    from,
                    grant: true,
                    ending,
                } => {
                    self.feed(vm, Event::GrantEnded(from, ending));
                }
                Heard::Called {
                    from,
                    grant: false,
                    ending,
                } => {
                    self.feed(vm, Event::ReleaseEnded(from, ending));
                }
                Heard::Committed(true) => self.feed(vm, Event::Committed),
                Heard::Committed(false) => self.feed(vm, Event::CommitFailed),
            }
        }
    }

    fn renew_or_bid(&mut self, vm: usize) {
        let now = self.now;
        let start = self.vms[vm].start;
        let mine = self
            .lease
            .is_some_and(|(own, of, _)| own == vm && of == start);
        if !self.vms[vm].store {
            return;
        }
        if mine && self.vms[vm].ownership.is_some() {
            self.lease = Some((vm, start, now + LEASE));
            self.vms[vm].lease = now + LEASE;
            let known = if self.flaw == Flaw::RenewsForEver {
                now + Duration::from_hours(1)
            } else {
                now + LEASE
            };
            self.feed(vm, Event::LeaseExtended(known));
            return;
        }
        if self.lease.is_some() || self.random.random_range(0..10) > 0 {
            return;
        }
        self.lease = Some((vm, start, now + LEASE));
        let mut timing = TIMING;
        if self.flaw == Flaw::NoWaitForEarlier {
            timing.latest_expiry = Duration::ZERO;
        }
        let (revision, record) = self.record.clone();
        self.vms[vm].earlier = Some(record.manager.clone());
        let (mut ownership, effects) =
            ServiceOwnership::take_over(&start.to_string(), record, timing, now);
        if self.flaw == Flaw::NoWaitForEarlier {
            // It still renews as long itself: only the waiting is left out.
            let _ = ownership.on(
                now,
                Event::LeaseExtended(now + LEASE + TIMING.latest_expiry),
            );
        }
        self.vms[vm].ownership = Some(ownership);
        self.vms[vm].revision = revision;
        self.vms[vm].heard.clear();
        self.apply(vm, effects);
        if self.flaw != Flaw::NoWaitForEarlier {
            self.feed(vm, Event::LeaseExtended(now + LEASE));
        }
    }

    fn feed(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let event = match event {
            Event::LeaseExtended(until) if self.flaw == Flaw::NoWaitForEarlier => {
                Event::LeaseExtended(until + TIMING.latest_expiry)
            }
            other => other,
        };
        let Some(ownership) = &mut self.vms[vm].ownership else {
            return;
        };
        let effects = ownership.on(now, event);
        self.apply(vm, effects);
    }

    fn apply(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(order) => {
                    let (delay, ending) = self.grant(vm, &order);
                    self.answer(
                        vm,
                        delay,
                        Heard::Called {
                            from: order.from,
                            grant: true,
                            ending,
                        },
                    );
                }
                Effect::Release(mut order) => {
                    if self.flaw == Flaw::ReleaseAtOwnFence {
                        order.fence -= 1;
                    }
                    let (delay, ending) = self.release(vm, &order);
                    self.answer(
                        vm,
                        delay,
                        Heard::Called {
                            from: order.from,
                            grant: false,
                            ending,
                        },
                    );
                }
                Effect::Commit(record) => self.commit(vm, record),
                Effect::Log(_) => {}
                Effect::Deposed => self.vms[vm].ownership = None,
            }
        }
    }
}
