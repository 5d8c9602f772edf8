//! A simulation of VMs, targets and the store around the real ownership code.

mod calls;
mod store;
mod targets;

use std::{collections::HashMap, time::Duration};

use bramleypier_engine::owner::{
    ownership::{CallOutcome, Effect, Event, Memory, ServiceOwnership, Timing},
    record::{Incarnation, Record, RequestKey},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use targets::{LAST_KEY, Targets};

/// The simulated time of one step.
const TICK: Duration = Duration::from_millis(50);
/// How long the manager's lease lasts.
const LEASE: Duration = Duration::from_secs(2);
/// How long VMs remember targets: longer than any grant lasts.
const MEMORY: Duration = Duration::from_secs(8);
/// How long a call waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(400);

pub const TIMING: Timing = Timing {
    lease: LEASE,
    grant_duration: Duration::from_secs(2),
    outage_duration: Duration::from_secs(3),
    renew_interval: Duration::from_millis(600),
    latest_expiry: Duration::from_secs(5),
};

/// A rule of the ownership code that a simulation leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Leaves out no rule.
    None,
    /// A release doesn't carry a higher fence than the grant before it.
    ReleaseWithoutHigherFence,
    /// A new manager doesn't wait until the grants of earlier managers have expired.
    NoWaitForEarlierGrants,
    /// A manager renews grants for long after it has lost its lease.
    RenewsWithoutLease,
    /// A manager relies on a record that may have lost the last moves.
    TrustsOlderRecords,
}

/// An event of a history; each takes one tick.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Run,
    Freeze {
        vm: usize,
        ticks: u32,
    },
    Restart(usize),
    /// A planned stop: the process resigns as far as it can, and restarts.
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
    /// The store comes back without its latest records, leases and the lease of the manager.
    ComeBack(usize),
    Heal,
}

/// The result of a call, which the VM receives later.
#[derive(Clone, Debug)]
enum Reply {
    Call {
        from: RequestKey,
        grant: bool,
        outcome: CallOutcome,
    },
    Fence {
        owner: Incarnation,
        from: RequestKey,
        outcome: CallOutcome,
    },
    Committed(bool),
}

struct Vm {
    /// The ticks for which the VM does nothing.
    frozen: u32,
    store_open: bool,
    ownership: Option<ServiceOwnership>,
    revision: u64,
    /// Until when the VM knows that it holds the lease.
    lease: Duration,
    start: u64,
    replies: Vec<(Duration, u64, Reply)>,
    last_write: Option<Record>,
    /// The manager before this VM, until it is known to have stopped.
    predecessor: Option<String>,
    /// The newest record that it has heard of.
    known: Option<Record>,
    /// The incarnations that it has seen announced, and when last.
    seen: HashMap<Incarnation, Duration>,
    /// The era of the store when its process first heard of the fleet.
    followed_in: Option<u64>,
    /// The era of the store when it took over.
    era: u64,
}

/// The VMs, the targets, the store and the faults in force.
pub struct Simulation {
    flaw: Flaw,
    now: Duration,
    random: StdRng,
    vms: Vec<Vm>,
    targets: Targets,
    /// The stored record and its revision.
    record: (u64, Record),
    /// All records that it has held in this era.
    history: Vec<Record>,
    /// How often the store has come back older.
    era: u64,
    /// The VM that holds the lease in the store, its start, and the expiry of the lease.
    lease: Option<(usize, u64, Duration)>,
    unanswered_percent: u8,
    lost_writes_percent: u8,
    /// Writes that may still take effect: the time, the expected revision and the record.
    late_writes: Vec<(Duration, u64, Record)>,
    /// The starts of the processes that have ended.
    ended: Vec<String>,
}

impl Simulation {
    pub fn new(flaw: Flaw, seed: u64) -> Self {
        let vm = |start| Vm {
            frozen: 0,
            store_open: true,
            ownership: None,
            revision: 0,
            lease: Duration::ZERO,
            start,
            replies: Vec::new(),
            last_write: None,
            predecessor: None,
            known: None,
            seen: HashMap::new(),
            followed_in: None,
            era: 1,
        };
        Self {
            flaw,
            now: Duration::from_secs(100),
            random: StdRng::seed_from_u64(seed),
            vms: (0..3).map(vm).collect(),
            targets: Targets::new(),
            record: (1, Record::unowned(LAST_KEY)),
            history: vec![Record::unowned(LAST_KEY)],
            era: 1,
            lease: None,
            unanswered_percent: 0,
            lost_writes_percent: 0,
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
            Step::Store { vm, open } => self.vms[vm].store_open = open,
            Step::Link { vm, target, open } => self.targets.set_link(vm, target, open),
            Step::Crash { target, ticks } => self.targets.crash(target, ticks),
            Step::Leave { target, on } => self.targets.set_leaving(target, on),
            Step::Announce { target, on } => self.targets.set_announced(target, on),
            Step::Unanswered(percent) => self.unanswered_percent = percent,
            Step::WritesLost(percent) => self.lost_writes_percent = percent,
            Step::Load { key, count } => self.load(key, count),
            Step::ComeBack(lost) => self.come_back(lost),
            Step::Heal => self.heal_all(),
        }
        self.advance()
    }

    pub fn heal_all(&mut self) {
        for vm in &mut self.vms {
            vm.frozen = 0;
            vm.store_open = true;
        }
        self.targets.heal();
        self.unanswered_percent = 0;
        self.lost_writes_percent = 0;
    }

    /// Keys for which no target holds a valid grant.
    pub fn keys_without_holder(&self) -> Vec<RequestKey> {
        (0..=LAST_KEY)
            .filter(|key| self.targets.holders(*key, self.now).is_empty())
            .collect()
    }

    fn restart(&mut self, vm: usize) {
        let start = self.random.random();
        let state = &mut self.vms[vm];
        self.ended.push(state.start.to_string());
        state.predecessor = None;
        state.ownership = None;
        state.replies.clear();
        state.start = start;
        state.lease = Duration::ZERO;
        state.last_write = None;
        state.known = None;
        state.seen.clear();
        state.followed_in = None;
    }

    /// Stops a process in order: the stored record says so if the store accepts the write.
    fn resign(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let now = self.now;
        let record = state.ownership.as_mut().and_then(|it| it.resign(now));
        let is_current = self.record.0 == state.revision && state.store_open;
        if let Some(record) = record.filter(|_| is_current) {
            self.store(record);
        }
        if self.lease.is_some_and(|(holder, ..)| holder == vm) && self.vms[vm].store_open {
            self.lease = None;
        }
        self.restart(vm);
    }

    /// Reports to a manager that the process of the manager before it has ended, once that VM has restarted.
    fn notice_stopped_predecessor(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let ended = |start: &mut String| self.ended.contains(start);
        if state.ownership.is_some() && state.predecessor.take_if(ended).is_some() {
            self.feed(vm, Event::PredecessorStopped);
        }
    }

    fn load(&mut self, key: RequestKey, count: u32) {
        for vm in 0..self.vms.len() {
            // A process without processor time counts no requests.
            if self.vms[vm].frozen == 0 {
                self.feed(vm, Event::Load(vec![(key, count)]));
            }
        }
    }

    fn advance(&mut self) -> Result<(), String> {
        self.now += TICK;
        let now = self.now;
        self.targets.advance(now);
        if self.lease.is_some_and(|(.., until)| now >= until) {
            self.lease = None;
        }
        self.apply_late_writes();
        for vm in 0..self.vms.len() {
            if self.vms[vm].frozen > 0 {
                self.vms[vm].frozen -= 1;
                continue;
            }
            self.receive_replies(vm);
            self.renew_or_bid(vm);
            self.notice_stopped_predecessor(vm);
            let announced = self.targets.announced();
            self.hear(vm, &announced);
            self.feed(vm, Event::Targets(announced));
            self.feed(vm, Event::Tick);
        }
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        for key in 0..=LAST_KEY {
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

    fn receive_replies(&mut self, vm: usize) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.vms[vm].replies)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.vms[vm].replies = later;
        for (_, term, reply) in due {
            let current = self.vms[vm].ownership.as_ref().map(ServiceOwnership::term);
            if current != Some(term) {
                continue;
            }
            match reply {
                Reply::Call {
                    from,
                    grant: true,
                    outcome,
                } => {
                    self.feed(vm, Event::GrantEnded(from, outcome));
                }
                Reply::Call {
                    from,
                    grant: false,
                    outcome,
                } => {
                    self.feed(vm, Event::ReleaseEnded(from, outcome));
                }
                Reply::Fence {
                    owner,
                    from,
                    outcome,
                } => self.feed(vm, Event::FenceEnded(owner, from, outcome)),
                Reply::Committed(true) => self.feed(vm, Event::Committed),
                Reply::Committed(false) => self.feed(vm, Event::CommitFailed),
            }
        }
    }

    fn renew_or_bid(&mut self, vm: usize) {
        let now = self.now;
        let start = self.vms[vm].start;
        let era = self.era;
        let has_lease = self
            .lease
            .is_some_and(|(holder, of, _)| holder == vm && of == start);
        let has_lease = has_lease && self.vms[vm].era == era;
        if !self.vms[vm].store_open {
            return;
        }
        if has_lease && self.vms[vm].ownership.is_some() {
            self.lease = Some((vm, start, now + LEASE));
            self.vms[vm].lease = now + LEASE;
            let expiry = if self.flaw == Flaw::RenewsWithoutLease {
                now + Duration::from_hours(1)
            } else {
                now + LEASE
            };
            self.feed(vm, Event::LeaseExtended(expiry));
            return;
        }
        if self.lease.is_some() || self.random.random_range(0..10) > 0 {
            return;
        }
        self.lease = Some((vm, start, now + LEASE));
        let mut timing = TIMING;
        if self.flaw == Flaw::NoWaitForEarlierGrants {
            timing.latest_expiry = Duration::ZERO;
        }
        let (revision, stored) = self.record.clone();
        let known = self.vms[vm].known.clone();
        let known = known.filter(|it| era > stored.era() && stored.is_older_than(it));
        let record = known.unwrap_or(stored);
        let is_later = era > record.era();
        self.vms[vm].predecessor = Some(record.manager.clone()).filter(|_| !is_later);
        let memory = Memory {
            targets: self.vms[vm].seen.keys().cloned().collect(),
            lived_through: self.vms[vm].followed_in.is_some_and(|it| it < era),
        };
        let era = if self.flaw == Flaw::TrustsOlderRecords {
            record.era()
        } else {
            era
        };
        let start = start.to_string();
        let (mut ownership, effects) =
            ServiceOwnership::take_over_in_era(&start, record, era, &memory, timing, now);
        if self.flaw == Flaw::NoWaitForEarlierGrants {
            // The manager itself still renews its grants for as long; only the wait for earlier grants is left out.
            let _ = ownership.handle(
                now,
                Event::LeaseExtended(now + LEASE + TIMING.latest_expiry),
            );
        }
        self.vms[vm].era = self.era;
        self.vms[vm].ownership = Some(ownership);
        self.vms[vm].revision = revision;
        self.vms[vm].replies.clear();
        self.apply(vm, effects);
        if self.flaw != Flaw::NoWaitForEarlierGrants {
            self.feed(vm, Event::LeaseExtended(now + LEASE));
        }
    }

    fn feed(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let event = match event {
            Event::LeaseExtended(until) if self.flaw == Flaw::NoWaitForEarlierGrants => {
                Event::LeaseExtended(until + TIMING.latest_expiry)
            }
            other => other,
        };
        let Some(ownership) = &mut self.vms[vm].ownership else {
            return;
        };
        let effects = ownership.handle(now, event);
        self.apply(vm, effects);
    }

    fn apply(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(command) => {
                    let (delay, outcome) = self.grant(vm, &command);
                    self.reply_after(
                        vm,
                        delay,
                        Reply::Call {
                            from: command.from,
                            grant: true,
                            outcome,
                        },
                    );
                }
                Effect::Release(mut command) => {
                    if self.flaw == Flaw::ReleaseWithoutHigherFence {
                        command.fence -= 1;
                    }
                    let (delay, outcome) = self.release(vm, &command);
                    self.reply_after(
                        vm,
                        delay,
                        Reply::Call {
                            from: command.from,
                            grant: false,
                            outcome,
                        },
                    );
                }
                Effect::Fence(command) => {
                    let (delay, outcome) = self.release(vm, &command);
                    let reply = Reply::Fence {
                        owner: command.owner,
                        from: command.from,
                        outcome,
                    };
                    self.reply_after(vm, delay, reply);
                }
                Effect::Commit(record) => self.commit(vm, record),
                Effect::Log(_) => {}
                Effect::Deposed => self.vms[vm].ownership = None,
            }
        }
    }
}
