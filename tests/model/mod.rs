//! Grantors, holders and senders over a bag of messages, with a tiny store, under faults.
//!
//! Time is logical. Every process reads a clock of its own, whose rate is off by up to 1 %.
#![allow(dead_code, reason = "each test program uses a part")]

mod faults;
mod store;
pub mod watchdog;

use std::{collections::BTreeMap, time::Duration};

use bramleypier::{
    document::{Document, Fencing, Ownership, Target, TargetState},
    grant::{Grant, Holder},
    grantor::{Effect, Event, Grantor, Kind, Message, Outcome, Timing, flaw::Flaw},
    group::build::Candidate,
    id::{DomainId, TargetId, VmId},
    route::Table,
};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::StdRng};

#[allow(unused_imports, reason = "each test program uses a part")]
pub use faults::{Fault, Lone, Plan, plan};
use store::Store;
use watchdog::Watchdog;

pub const GROUP: &str = "tracking/0";
pub const STORE: &str = "store";
pub const STEP: Duration = Duration::from_millis(20);
/// How long a lost VM still counts as live, and how far the platform's list lags.
const LOST: Duration = Duration::from_secs(3);
const GONE: Duration = Duration::from_secs(5);
pub const DOMAINS: [&str; 3] = ["norte", "centro", "sur"];

/// A clock that runs at its own rate from its own origin.
#[derive(Clone, Copy, Debug)]
pub struct Skewed {
    origin: Duration,
    rate: f64,
}

impl Skewed {
    fn new(rng: &mut StdRng) -> Self {
        Self {
            origin: Duration::from_millis(rng.random_range(1_000..100_000)),
            rate: rng.random_range(0.99..=1.01),
        }
    }

    fn read(&self, time: Duration) -> Duration {
        self.origin + time.mul_f64(self.rate)
    }
}

/// A VM with its grantor and its table as a sender.
#[derive(Debug)]
pub struct Vm {
    pub grantor: Grantor,
    pub table: Table,
    pub domain: DomainId,
    pub clock: Skewed,
    leased: Duration,
    writes: IndexMap<u64, Duration>,
    awake: Duration,
}

/// A target.
#[derive(Debug)]
pub struct Server {
    pub holder: Holder,
    pub clock: Skewed,
    pub domain: DomainId,
    pub fencing: Fencing,
    pub up: bool,
    starts: u32,
    awake: Duration,
}

/// A message under way.
#[allow(clippy::large_enum_variant, reason = "few are under way at once")]
#[derive(Clone, Debug)]
pub enum Payload {
    Event(Event),
    Call(Call),
    Grant(Duration, Option<Grant>),
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum Call {
    Write(u64, u64, Box<bramleypier::group::Record>),
    Read(Duration),
}

#[derive(Clone, Debug)]
struct Parcel {
    from: String,
    to: String,
    payload: Payload,
}

/// What goes wrong all the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Noise {
    /// Messages lost or late, in thousands.
    pub lost: u32,
    pub late: u32,
    pub doubled: u32,
}

/// Everything there is.
#[derive(Debug)]
pub struct World {
    pub time: Duration,
    pub timing: Timing,
    pub vms: IndexMap<VmId, Vm>,
    pub servers: IndexMap<TargetId, Server>,
    pub store: Store,
    pub watchdog: Watchdog,
    pub document: Document,
    /// Starts of targets that were replaced but may still run.
    pub ghosts: Vec<(TargetId, Holder, Skewed)>,
    /// One-way cuts, with their starts and ends.
    pub cuts: IndexMap<(String, String), (Duration, Duration)>,
    /// One-way links that take longer, with until when, and by how much.
    pub slow: IndexMap<(String, String), (Duration, Duration)>,
    /// VMs whose watches on the store are broken, with the ends.
    pub blind: IndexMap<VmId, Duration>,
    pub notes: Vec<(Duration, VmId, Kind, String)>,
    noise: Noise,
    stagger: bool,
    flaw: Flaw,
    rng: StdRng,
    bag: BTreeMap<(Duration, u64), Parcel>,
    parcels: u64,
    version: u64,
    starts: u32,
    pub dead: IndexMap<VmId, (Duration, DomainId)>,
    /// VMs that leave: they are no candidates, and end once no record names them.
    pub leaving: IndexSet<VmId>,
}

/// What a world starts with.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub vms: usize,
    pub targets: usize,
    pub unchecked: bool,
    /// Whether VMs start at different moments, so that their ticks don't fall together.
    pub stagger: bool,
    pub noise: Noise,
    pub flaw: Flaw,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 9,
            targets: 6,
            unchecked: false,
            stagger: false,
            noise: Noise::default(),
            flaw: Flaw::None,
        }
    }
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let document = document(setup.targets, setup.unchecked);
        let mut world = Self {
            time: Duration::ZERO,
            timing: Timing {
                drain: Duration::from_millis(500),
                ..Timing::default()
            },
            vms: IndexMap::new(),
            servers: IndexMap::new(),
            store: Store::new(),
            watchdog: Watchdog::default(),
            ghosts: Vec::new(),
            cuts: IndexMap::new(),
            blind: IndexMap::new(),
            slow: IndexMap::new(),
            notes: Vec::new(),
            noise: setup.noise,
            stagger: setup.stagger,
            flaw: setup.flaw,
            bag: BTreeMap::new(),
            parcels: 0,
            version: 1,
            starts: 0,
            dead: IndexMap::new(),
            leaving: IndexSet::new(),
            rng: StdRng::from_rng(&mut rng),
            document,
        };
        for (id, target) in world.document.targets.clone() {
            world.servers.insert(
                id.clone(),
                Server {
                    holder: Holder::new(format!("{id}-1")),
                    clock: Skewed::new(&mut rng),
                    domain: target.domain,
                    fencing: target.fencing,
                    up: true,
                    starts: 1,
                    awake: Duration::ZERO,
                },
            );
        }
        for index in 0..setup.vms {
            world.start_vm(DOMAINS[index % 3]);
        }
        world.tell_live();
        world.tell_document();
        world
    }

    /// Starts a VM under a new identity.
    pub fn start_vm(&mut self, domain: &str) {
        self.starts += 1;
        let id = format!("vm-{}#1", self.starts);
        let grantor = Grantor::new(id.clone(), GROUP.into(), self.timing).with_flaw(self.flaw);
        self.vms.insert(
            id,
            Vm {
                grantor,
                table: Table::default(),
                domain: domain.into(),
                clock: Skewed::new(&mut self.rng),
                leased: Duration::ZERO,
                writes: IndexMap::new(),
                awake: if self.stagger {
                    self.time + Duration::from_millis(self.rng.random_range(0..250))
                } else {
                    self.time
                },
            },
        );
    }

    pub fn kill_vm(&mut self, vm: &str) {
        if let Some(lost) = self.vms.shift_remove(vm) {
            self.dead.insert(vm.into(), (self.time, lost.domain));
        }
    }

    /// Runs until the time, or until the watchdog finds a fault.
    pub fn run(&mut self, until: Duration) -> Result<(), String> {
        while self.time < until {
            self.step()?;
        }
        Ok(())
    }

    /// Delivers what is due, lets every VM tick, and checks.
    pub fn step(&mut self) -> Result<(), String> {
        self.time += STEP;
        self.cuts.retain(|_, (_, end)| *end > self.time);
        self.slow.retain(|_, (end, _)| *end > self.time);
        while let Some(entry) = self.bag.first_entry() {
            if entry.key().0 > self.time {
                break;
            }
            let parcel = entry.remove();
            self.deliver(parcel);
        }
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            self.tick_vm(&vm);
        }
        if self.time.as_millis().is_multiple_of(500) {
            self.tell_live();
            self.tell_document();
        }
        self.check()
    }

    fn tick_vm(&mut self, id: &str) {
        let time = self.time;
        let Some(vm) = self.vms.get_mut(id).filter(|vm| vm.awake <= time) else {
            return;
        };
        let now = vm.clock.read(time);
        let patience = Duration::from_millis(500);
        let late: Vec<u64> = vm
            .writes
            .iter()
            .filter(|(_, sent)| now >= **sent + patience)
            .map(|(sequence, _)| *sequence)
            .collect();
        let asks = now >= vm.leased + self.timing.renew;
        if asks {
            vm.leased = now;
        }
        if asks {
            self.ask_leases(id, now);
        }
        for sequence in late {
            self.vms[id].writes.shift_remove(&sequence);
            let result = Outcome::Unknown;
            self.event(id, Event::Written { sequence, result });
        }
        self.event(id, Event::Tick);
    }

    /// Asks some grantors for leases of ranges whose owners don't check.
    fn ask_leases(&mut self, id: &str, asked: Duration) {
        let unchecked = self
            .servers
            .values()
            .any(|server| server.fencing == Fencing::Unchecked);
        let named: IndexSet<VmId> = match self.vms[id].grantor.record() {
            Some((_, record)) if unchecked => {
                let trios = record.grantors.values().flatten();
                trios.map(|grantor| grantor.vm.clone()).collect()
            }
            _ => return,
        };
        for vm in named {
            let message = Message::LeaseRequest { asked };
            let from = id.to_owned();
            self.send(id, &vm, Payload::Event(Event::Peer { from, message }));
        }
    }

    /// Gives a VM an event and carries out what it wants done.
    pub fn event(&mut self, id: &str, event: Event) {
        let time = self.time;
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        let now = vm.clock.read(time);
        if let Event::Peer { message, .. } = &event {
            match message {
                Message::Handover(fact) => vm.table.on_handover(fact.clone()),
                Message::Lease { asked, routes } => {
                    vm.table.on_lease(&self.timing, *asked, routes.clone());
                }
                _ => {}
            }
        }
        let effects = vm.grantor.on(now, event);
        if let Some((version, record)) = vm.grantor.record()
            && version > vm.table.version()
        {
            vm.table.on_record(version, record.clone());
        }
        for effect in effects {
            self.carry_out(id, now, effect);
        }
    }

    fn carry_out(&mut self, id: &str, now: Duration, effect: Effect) {
        let from = id.to_owned();
        match effect {
            Effect::Grant { target, grant, .. } => {
                self.send(id, &target, Payload::Grant(now, Some(grant)));
            }
            Effect::Probe { target, .. } => self.send(id, &target, Payload::Grant(now, None)),
            Effect::Send { to, message } => {
                self.send(id, &to, Payload::Event(Event::Peer { from, message }));
            }
            Effect::Write {
                base,
                sequence,
                record,
            } => {
                self.vms[id].writes.insert(sequence, now);
                let call = Call::Write(base, sequence, record);
                self.send(id, STORE, Payload::Call(call));
            }
            Effect::Read { asked } => self.send(id, STORE, Payload::Call(Call::Read(asked))),
            Effect::Handover(fact) => {
                self.watchdog.on_fact(&fact);
                let all: Vec<VmId> = self.vms.keys().cloned().collect();
                for vm in all {
                    let message = Message::Handover(fact.clone());
                    let from = from.clone();
                    self.send(id, &vm, Payload::Event(Event::Peer { from, message }));
                }
            }
            Effect::Note(note) => self.notes.push((
                self.time,
                from,
                note.kind,
                format!("{} {}", note.subject, note.detail),
            )),
        }
    }

    /// Puts a message into the bag: late, doubled, or not at all.
    #[allow(clippy::needless_pass_by_value, reason = "callers make it for this")]
    fn send(&mut self, from: &str, to: &str, payload: Payload) {
        let link = (from.to_owned(), to.to_owned());
        let cut = self.cuts.get(&link);
        let cut = cut.is_some_and(|(start, _)| *start <= self.time);
        let extra = self
            .slow
            .get(&link)
            .map_or(Duration::ZERO, |(_, extra)| *extra);
        if cut || self.rng.random_range(0..1000) < self.noise.lost {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1000) < self.noise.doubled);
        for _ in 0..copies {
            let late = self.rng.random_range(0..1000) < self.noise.late;
            let most = if late { 3_000 } else { 8 };
            let delay = Duration::from_millis(self.rng.random_range(1..=most));
            let parcel = Parcel {
                from: from.into(),
                to: to.into(),
                payload: payload.clone(),
            };
            self.put(self.time + delay + extra, parcel);
        }
    }

    fn put(&mut self, due: Duration, parcel: Parcel) {
        self.parcels += 1;
        self.bag.insert((due, self.parcels), parcel);
    }

    fn deliver(&mut self, parcel: Parcel) {
        if parcel.to == STORE {
            self.call(parcel);
            return;
        }
        if let Some(awake) = self.asleep(&parcel.to) {
            let spread = Duration::from_millis(self.rng.random_range(0..30));
            self.put(awake + spread, parcel);
            return;
        }
        if self.servers.contains_key(&parcel.to) {
            self.serve(parcel);
            return;
        }
        match parcel.payload {
            Payload::Event(event) => {
                if let Event::Written { sequence, .. } = &event
                    && let Some(vm) = self.vms.get_mut(&parcel.to)
                {
                    vm.writes.shift_remove(sequence);
                }
                self.event(&parcel.to, event);
            }
            Payload::Call(_) | Payload::Grant(..) => {}
        }
    }

    /// Until when a process sleeps, if it does.
    fn asleep(&self, id: &str) -> Option<Duration> {
        let vm = self.vms.get(id).map(|vm| vm.awake);
        let server = self.servers.get(id).map(|server| server.awake);
        vm.or(server).filter(|awake| *awake > self.time)
    }

    /// A target takes a grant or a question, and answers.
    fn serve(&mut self, parcel: Parcel) {
        let time = self.time;
        let Some(server) = self.servers.get_mut(&parcel.to).filter(|server| server.up) else {
            return;
        };
        let Payload::Grant(asked, grant) = parcel.payload else {
            return;
        };
        let now = server.clock.read(time);
        if let Some(grant) = grant {
            server.holder.on_grant(now, &grant);
        }
        let event = Event::TargetAnswered {
            target: parcel.to.clone(),
            asked,
            state: server.holder.state(now),
        };
        self.send(&parcel.to, &parcel.from, Payload::Event(event));
    }

    /// Tells every VM of the platform's list; it lags.
    pub fn tell_live(&mut self) {
        let done = |vm: &&VmId| self.vms.get(*vm).is_some_and(|vm| !vm.grantor.is_named());
        for vm in self
            .leaving
            .iter()
            .filter(done)
            .cloned()
            .collect::<Vec<_>>()
        {
            self.kill_vm(&vm);
        }
        let there = self.vms.iter().map(|(vm, state)| (vm, &state.domain));
        let lost = self.dead.iter();
        let lost = lost.filter(|(_, (at, _))| self.time < *at + LOST);
        let lost = lost.map(|(vm, (_, domain))| (vm, domain));
        let live: Vec<Candidate> = there
            .chain(lost)
            .filter(|(vm, _)| !self.leaving.contains(*vm))
            .map(|(vm, domain)| Candidate {
                vm: vm.clone(),
                domain: domain.clone(),
            })
            .collect();
        let gone: Vec<VmId> = self
            .dead
            .iter()
            .filter(|(_, (at, _))| self.time >= *at + GONE)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            if self.asleep(&vm).is_none() {
                self.event(&vm, Event::LiveVms { vms: live.clone() });
                self.event(&vm, Event::VmsGone { vms: gone.clone() });
            }
        }
    }

    pub fn tell_document(&mut self) {
        for vm in self.vms.keys().cloned().collect::<Vec<_>>() {
            if self.asleep(&vm).is_none() {
                let document = self.document.clone();
                let version = self.version;
                self.event(&vm, Event::Document { version, document });
            }
        }
    }

    /// Puts a changed document in force.
    pub fn change(&mut self, document: Document) {
        self.version += 1;
        self.document = document;
        self.tell_document();
    }

    /// Looks at who owns what at this moment.
    fn check(&mut self) -> Result<(), String> {
        let time = self.time;
        let unchecked = self
            .servers
            .values()
            .any(|server| server.fencing == Fencing::Unchecked);
        let mut owners = Vec::new();
        for point in watchdog::points() {
            let checked = self
                .servers
                .iter()
                .filter(|(_, server)| server.up && server.fencing == Fencing::Checked);
            for (target, server) in checked {
                if let Some(epoch) = server.holder.epoch(point, server.clock.read(time)) {
                    owners.push((point, epoch, target.clone(), false));
                }
            }
            for (target, holder, clock) in &self.ghosts {
                if let Some(epoch) = holder.epoch(point, clock.read(time)) {
                    owners.push((point, epoch, format!("{target} (replaced)"), false));
                }
            }
            for vm in self.vms.values().filter(|_| unchecked) {
                let Some(owner) = vm.table.owner(point) else {
                    continue;
                };
                let live = vm
                    .table
                    .valid_until(&owner)
                    .is_some_and(|until| vm.clock.read(time) < until);
                if owner.fencing == Fencing::Unchecked && live {
                    owners.push((point, owner.epoch, owner.target, true));
                }
            }
        }
        self.watchdog.on_owners(&owners);
        let verdict = self.watchdog.verdict();
        verdict.map_err(|fault| format!("at {time:?}: {fault}"))
    }

    /// Returns the points that nobody serves now.
    pub fn unserved(&self) -> Vec<u64> {
        let time = self.time;
        let served = |point: &u64| {
            let holds = |server: &Server| {
                server.up
                    && server.awake <= time
                    && server
                        .holder
                        .epoch(*point, server.clock.read(time))
                        .is_some()
            };
            let leases = |vm: &Vm| {
                let owner = vm.table.owner(*point);
                owner.is_some_and(|owner| {
                    let until = vm.table.valid_until(&owner);
                    let server = &self.servers[&owner.target];
                    owner.fencing == Fencing::Unchecked
                        && until.is_some_and(|until| vm.clock.read(time) < until)
                        && server.up
                        && server.awake <= time
                })
            };
            self.servers.values().any(holds) || self.vms.values().any(leases)
        };
        watchdog::points().filter(|point| !served(point)).collect()
    }

    /// Writes out what happened, for a failing run.
    pub fn story(&self) -> String {
        let line = |(at, vm, kind, text): &(Duration, VmId, Kind, String)| {
            format!("{:>8} ms {vm} {kind:?} {text}\n", at.as_millis())
        };
        self.notes.iter().map(line).collect()
    }
}

/// A document with targets spread over the failure domains.
pub fn document(targets: usize, unchecked: bool) -> Document {
    let target = |index: usize| Target {
        address: format!("127.0.0.1:{}", 7000 + index),
        domain: DOMAINS[index % 3].into(),
        fencing: if unchecked {
            Fencing::Unchecked
        } else {
            Fencing::Checked
        },
        slots: 2,
        connections: 130,
        state: TargetState::Serving,
    };
    Document {
        service: "tracking".into(),
        ownership: Ownership::Exclusive,
        groups: 1,
        ranges: 2,
        unavailable_weight: 1.0,
        churn_weight: 1.0,
        body_limit: 1 << 20,
        classes: IndexMap::new(),
        targets: (0..targets)
            .map(|index| (format!("t{index}"), target(index)))
            .collect(),
    }
}
