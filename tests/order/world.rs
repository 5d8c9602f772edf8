//! A simulated fleet: VMs with real ledgers and starters, messages that are delayed, duplicated or lost, and a store
//! with the record of views.

mod callers;

use std::{collections::BTreeMap, time::Duration};

use bramleypier::order::{
    Effect, Flaw, Ledger, Message, Order, Starter, Views, ledger,
    memory::Limits,
    plan::{Peer, Peers},
    starter::{self, Decision},
};
use indexmap::{IndexMap, IndexSet};

const DOMAINS: [&str; 3] = ["north", "centre", "south"];
const SHARDS: usize = 2;
/// The number of recent orders that callers send again.
const RECENT_ORDERS: usize = 4;
/// How long undated ids are kept.
const RETENTION: Duration = Duration::from_mins(10);

/// A step of a history: its kind, and two numbers that select what it acts on.
pub type Op = (u8, u16, u16);

struct Vm {
    ledger: Ledger,
    starter: Starter,
    domain: usize,
    paused: bool,
    leaving: bool,
    pending_reads: Vec<(u64, Views)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Asking,
    MayRun,
}

struct PendingOrder {
    order: usize,
    fingerprint: u128,
    stage: Stage,
}

/// What happened to an order so far.
#[derive(Default)]
struct History {
    fingerprints: IndexSet<u128>,
    /// The wall clock until which callers send the order again.
    resend_until: Duration,
    /// The fingerprint of the request that was sent to a target and not refused.
    sent: Option<u128>,
}

#[derive(Debug, Default)]
pub struct Counts {
    pub steps: u64,
    pub sent: u64,
    pub recorded: u64,
    pub unknown: u64,
    pub not_run: u64,
    pub mismatch: u64,
    pub views: u64,
}

pub struct World {
    flaw: Flaw,
    now: Duration,
    wall: Duration,
    vms: IndexMap<String, Vm>,
    gone: IndexSet<String>,
    started: u64,
    in_flight: Vec<(String, String, Message)>,
    writes: Vec<(u64, Views)>,
    record: (u64, Views),
    store_up: bool,
    orders: Vec<(Order, History)>,
    pending: BTreeMap<(String, u64), PendingOrder>,
    tokens: u64,
    last_decision: Option<Decision>,
    pub counts: Counts,
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let mut world = Self {
            flaw,
            now: Duration::from_secs(100),
            wall: Duration::from_secs(1_000_000),
            vms: IndexMap::new(),
            gone: IndexSet::new(),
            started: 0,
            in_flight: Vec::new(),
            writes: Vec::new(),
            record: (0, Views::default()),
            store_up: true,
            orders: Vec::new(),
            pending: BTreeMap::new(),
            tokens: 0,
            last_decision: None,
            counts: Counts::default(),
        };
        for domain in [0, 1, 2, 0, 1] {
            world.start(domain);
        }
        let domain = |(name, vm): (&String, &Vm)| (name.clone(), DOMAINS[vm.domain].to_string());
        let vms = world.vms.iter().map(domain).collect();
        world.record = (1, Views::initial(&vms, SHARDS));
        for vm in world.vms.values_mut() {
            vm.pending_reads.push(world.record.clone());
        }
        world
    }

    fn start(&mut self, domain: usize) {
        self.started += 1;
        let name = format!("vm#{}", self.started);
        let limits = Limits {
            bytes: 7_000,
            retention: RETENTION,
        };
        let vm = Vm {
            ledger: Ledger::new(&name, limits).with_flaw(self.flaw),
            starter: Starter::new(&name).with_flaw(self.flaw),
            domain,
            paused: false,
            leaving: false,
            pending_reads: Vec::new(),
        };
        self.vms.insert(name, vm);
    }

    pub fn step(&mut self, (kind, a, b): Op) -> Result<(), String> {
        self.counts.steps += 1;
        let (a, b) = (usize::from(a), usize::from(b));
        match kind % 100 {
            0..=9 => self.submit(a, b),
            10..=43 => (0..=b % 8).try_for_each(|step| self.deliver(a + step * b, false)),
            44..=47 => self.deliver_many(b % 64),
            48..=50 => self.deliver(a, true),
            51..=52 => {
                if !self.in_flight.is_empty() {
                    self.in_flight.swap_remove(a % self.in_flight.len());
                }
                Ok(())
            }
            53..=58 => self.tick(a, u64::try_from(b % 120).unwrap_or(0)),
            59..=62 => (0..self.vms.len()).try_for_each(|vm| self.tick(vm, 30)),
            63..=70 => self.end_run(a, b),
            71 => {
                self.crash(a);
                Ok(())
            }
            72 => {
                self.pause(a, true);
                Ok(())
            }
            73..=77 => {
                self.pause(a, false);
                Ok(())
            }
            78..=79 => self.update_peers(a, Some(b)),
            80..=81 => self.update_peers(a, None),
            82..=83 => (0..self.vms.len()).try_for_each(|vm| self.update_peers(vm, None)),
            84..=85 => {
                self.leave(a);
                Ok(())
            }
            86 => {
                self.store_up = b % 4 != 0;
                Ok(())
            }
            87..=90 => {
                self.write(a);
                Ok(())
            }
            91..=92 => {
                if !self.writes.is_empty() {
                    self.writes.swap_remove(a % self.writes.len());
                }
                Ok(())
            }
            93..=95 => self.read(a, b),
            96..=97 => (0..self.vms.len()).try_for_each(|vm| self.read(vm, b)),
            98 => {
                let span = [1, 5, 40, 700][b % 4];
                self.now += Duration::from_secs(span);
                self.wall += Duration::from_secs(span);
                Ok(())
            }
            _ => {
                self.stop_idle();
                Ok(())
            }
        }
    }

    /// Ends all faults and delivers all messages; then every order must be decided, and a new one must run.
    pub fn settle(&mut self) -> Result<(), String> {
        self.store_up = true;
        for vm in self.vms.values_mut() {
            vm.paused = false;
        }
        self.rounds(60)?;
        if let Some((key, pending)) = self.pending.iter().find(|it| it.1.stage == Stage::Asking) {
            return Err(format!("{key:?} of order {} undecided", pending.order));
        }
        // Passes the retention of the orders that fill the memory.
        self.wall += Duration::from_mins(15);
        self.now += Duration::from_mins(15);
        self.rounds(20)?;
        // Passes the horizon, if both memories of a shard were lost.
        self.wall += Duration::from_mins(1);
        for _ in 0..4 {
            self.orders.push(self.new_order(true, 0));
            let order = self.orders.len() - 1;
            let vm = usize::try_from(self.started).unwrap_or(0);
            self.send_order(vm, order, 1)?;
            self.rounds(6)?;
            if self.orders[order].1.sent.is_none() {
                let view = &self.record.1.view_of(&self.orders[order].0.id);
                return Err(format!(
                    "new order {order} did not run: {view:?} {:?}",
                    self.last_decision
                ));
            }
        }
        Ok(())
    }

    fn rounds(&mut self, count: u64) -> Result<(), String> {
        for _ in 0..count {
            self.stop_idle();
            for vm in 0..self.vms.len() {
                self.update_peers(vm, None)?;
                self.read(vm, usize::MAX)?;
                self.tick(vm, 50)?;
            }
            while !self.in_flight.is_empty() {
                self.deliver(0, false)?;
            }
            while !self.writes.is_empty() {
                self.write(0);
            }
            while self.pending.values().any(|it| it.stage == Stage::MayRun) {
                self.end_run(0, 0)?;
            }
        }
        Ok(())
    }

    fn name(&self, index: usize) -> String {
        let index = index % self.vms.len();
        self.vms.get_index(index).unwrap().0.clone()
    }

    fn starter_event(&mut self, name: &str, event: starter::Event) -> Result<(), String> {
        let effects = self.vms[name].starter.on(self.now, event);
        self.perform(name, effects)
    }

    fn ledger_event(&mut self, name: &str, event: ledger::Event) -> Result<(), String> {
        let effects = self.vms[name].ledger.on(self.now, event);
        self.perform(name, effects)
    }

    fn perform(&mut self, name: &str, effects: Vec<Effect>) -> Result<(), String> {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.in_flight.push((name.into(), to, message)),
                Effect::Read if self.store_up => {
                    let record = self.record.clone();
                    self.vms[name].pending_reads.push(record);
                }
                Effect::Write { base, views } => self.writes.push((base, views)),
                Effect::Decide { token, decision } => {
                    self.check_decision(&(name.into(), token), decision)?;
                }
                Effect::Read | Effect::Note(_) => {}
            }
        }
        Ok(())
    }

    fn deliver(&mut self, index: usize, keep: bool) -> Result<(), String> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let index = index % self.in_flight.len();
        let to = &self.in_flight[index].1;
        if self.vms.get(to).is_some_and(|vm| vm.paused) {
            return Ok(());
        }
        let (from, to, message) = if keep {
            self.in_flight[index].clone()
        } else {
            self.in_flight.swap_remove(index)
        };
        if !self.vms.contains_key(&to) {
            return Ok(());
        }
        if message.is_for_starter() {
            self.starter_event(&to, starter::Event::Message { from, message })
        } else {
            self.ledger_event(&to, ledger::Event::Message { from, message })
        }
    }

    /// Delivers messages in turn, from the newest or from the oldest on.
    fn deliver_many(&mut self, count: usize) -> Result<(), String> {
        for step in 0..count {
            let last = self.in_flight.len().saturating_sub(1);
            self.deliver(if count.is_multiple_of(2) { last } else { step }, false)?;
        }
        // All but the first 200 messages are lost.
        self.in_flight.truncate(200);
        Ok(())
    }

    fn tick(&mut self, index: usize, ms: u64) -> Result<(), String> {
        self.now += Duration::from_millis(ms);
        self.wall += Duration::from_millis(ms);
        let name = self.name(index);
        if self.vms[&name].paused {
            return Ok(());
        }
        let wall = self.wall;
        self.starter_event(&name, starter::Event::Tick)?;
        self.ledger_event(&name, ledger::Event::Tick { wall })
    }

    /// Gives a VM the current membership, in which one VM may be suspected wrongly.
    fn update_peers(&mut self, index: usize, suspect: Option<usize>) -> Result<(), String> {
        let name = self.name(index);
        if self.vms[&name].paused {
            return Ok(());
        }
        let suspect = suspect.map(|suspect| self.name(suspect));
        let peer = |(other, vm): (&String, &Vm)| {
            let peer = Peer {
                domain: DOMAINS[vm.domain].into(),
                up: other == &name || (suspect.as_ref() != Some(other) && !vm.paused),
                leaving: vm.leaving,
            };
            (other.clone(), peer)
        };
        let peers = Peers {
            vms: self.vms.iter().map(peer).collect(),
            gone: self.gone.clone(),
        };
        self.ledger_event(&name, ledger::Event::Peers(peers))
    }

    fn pause(&mut self, index: usize, paused: bool) {
        let name = self.name(index);
        self.vms[&name].paused = paused;
    }

    /// Stops a VM, which loses its state, and starts another in its place.
    fn crash(&mut self, index: usize) {
        let name = self.name(index);
        self.remove(&name);
    }

    fn remove(&mut self, name: &str) {
        let vm = self.vms.shift_remove(name).unwrap();
        self.pending.retain(|key, _| key.0 != name);
        self.gone.insert(name.into());
        self.start(vm.domain);
    }

    fn leave(&mut self, index: usize) {
        let name = self.name(index);
        if self.vms.values().filter(|vm| vm.leaving).count() < 2 {
            self.vms[&name].leaving = true;
        }
    }

    /// Stops a VM that shuts down, once it is idle.
    fn stop_idle(&mut self) {
        let idle = self.vms.iter().find(|(_, vm)| {
            vm.leaving && !vm.paused && vm.ledger.is_idle() && vm.starter.is_idle()
        });
        if let Some(name) = idle.map(|(name, _)| name.clone()) {
            self.remove(&name);
        }
    }

    fn write(&mut self, index: usize) {
        if self.writes.is_empty() || !self.store_up {
            return;
        }
        let (base, views) = self.writes.swap_remove(index % self.writes.len());
        if base == self.record.0 {
            self.counts.views += 1;
            self.record = (base + 1, views);
        }
    }

    /// Passes a record that was read, perhaps long ago, to the state machines of a VM, or to one of them.
    fn read(&mut self, index: usize, b: usize) -> Result<(), String> {
        let name = self.name(index);
        if self.vms[&name].paused {
            return Ok(());
        }
        let all = b == usize::MAX;
        if self.store_up && (all || b.is_multiple_of(3)) {
            let record = self.record.clone();
            self.vms[&name].pending_reads.push(record);
        }
        let pending_reads = &mut self.vms[&name].pending_reads;
        let Some((version, views)) = pending_reads.pop() else {
            return Ok(());
        };
        if all || !b.is_multiple_of(5) {
            let views = views.clone();
            self.starter_event(&name, starter::Event::Views { version, views })?;
        }
        if all || b % 5 != 1 {
            self.ledger_event(&name, ledger::Event::Views { version, views })?;
        }
        Ok(())
    }
}
