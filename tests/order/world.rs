//! VMs with real ledgers and starters, messages that come late, twice or never, and a record.

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
/// Orders that callers send again and again.
const OPEN_ORDERS: usize = 4;
/// How long undated ids are remembered.
const RETENTION: Duration = Duration::from_mins(10);

/// A step: which one, and two numbers that choose its subjects.
pub type Op = (u8, u16, u16);

struct Vm {
    ledger: Ledger,
    starter: Starter,
    domain: usize,
    paused: bool,
    leaving: bool,
    reads: Vec<(u64, Views)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Asking,
    MayRun,
}

struct Asked {
    order: usize,
    fingerprint: u128,
    stage: Stage,
}

#[derive(Default)]
struct Told {
    fingerprints: IndexSet<u128>,
    /// The wall clock until which callers send it again.
    until: Duration,
    /// What was sent to a target and not refused by it.
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
    starts: u64,
    bag: Vec<(String, String, Message)>,
    writes: Vec<(u64, Views)>,
    record: (u64, Views),
    up: bool,
    orders: Vec<(Order, Told)>,
    asked: BTreeMap<(String, u64), Asked>,
    tokens: u64,
    last: Option<Decision>,
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
            starts: 0,
            bag: Vec::new(),
            writes: Vec::new(),
            record: (0, Views::default()),
            up: true,
            orders: Vec::new(),
            asked: BTreeMap::new(),
            tokens: 0,
            last: None,
            counts: Counts::default(),
        };
        for domain in [0, 1, 2, 0, 1] {
            world.start(domain);
        }
        let domain = |(name, vm): (&String, &Vm)| (name.clone(), DOMAINS[vm.domain].to_string());
        let vms = world.vms.iter().map(domain).collect();
        world.record = (1, Views::initial(&vms, SHARDS));
        for vm in world.vms.values_mut() {
            vm.reads.push(world.record.clone());
        }
        world
    }

    fn start(&mut self, domain: usize) {
        self.starts += 1;
        let name = format!("vm#{}", self.starts);
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
            reads: Vec::new(),
        };
        self.vms.insert(name, vm);
    }

    pub fn step(&mut self, (kind, a, b): Op) -> Result<(), String> {
        self.counts.steps += 1;
        let (a, b) = (usize::from(a), usize::from(b));
        match kind % 100 {
            0..=9 => self.submit(a, b),
            10..=43 => (0..=b % 8).try_for_each(|step| self.deliver(a + step * b, false)),
            44..=47 => self.flush(b % 64),
            48..=50 => self.deliver(a, true),
            51..=52 => {
                if !self.bag.is_empty() {
                    self.bag.swap_remove(a % self.bag.len());
                }
                Ok(())
            }
            53..=58 => self.tick(a, u64::try_from(b % 120).unwrap_or(0)),
            59..=62 => (0..self.vms.len()).try_for_each(|vm| self.tick(vm, 30)),
            63..=70 => self.progress(a, b),
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
            78..=79 => self.hear(a, Some(b)),
            80..=81 => self.hear(a, None),
            82..=83 => (0..self.vms.len()).try_for_each(|vm| self.hear(vm, None)),
            84..=85 => {
                self.leave(a);
                Ok(())
            }
            86 => {
                self.up = b % 4 != 0;
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
                self.depart();
                Ok(())
            }
        }
    }

    /// Mends everything and lets all messages through; then every order must be decided, and a
    /// fresh one must run.
    pub fn settle(&mut self) -> Result<(), String> {
        self.up = true;
        for vm in self.vms.values_mut() {
            vm.paused = false;
        }
        self.rounds(60)?;
        if let Some((key, asked)) = self.asked.iter().find(|it| it.1.stage == Stage::Asking) {
            return Err(format!("{key:?} of order {} undecided", asked.order));
        }
        // Past the retention of what fills the memory.
        self.wall += Duration::from_mins(15);
        self.now += Duration::from_mins(15);
        self.rounds(20)?;
        // Past the horizon, if both memories of a shard were lost.
        self.wall += Duration::from_mins(1);
        for _ in 0..4 {
            self.orders.push(self.fresh(true, 0));
            let order = self.orders.len() - 1;
            let vm = usize::try_from(self.starts).unwrap_or(0);
            self.ask(vm, order, 1)?;
            self.rounds(6)?;
            if self.orders[order].1.sent.is_none() {
                let view = &self.record.1.view_of(&self.orders[order].0.id);
                return Err(format!(
                    "fresh order {order} did not run: {view:?} {:?}",
                    self.last
                ));
            }
        }
        Ok(())
    }

    fn rounds(&mut self, count: u64) -> Result<(), String> {
        for _ in 0..count {
            self.depart();
            for vm in 0..self.vms.len() {
                self.hear(vm, None)?;
                self.read(vm, usize::MAX)?;
                self.tick(vm, 50)?;
            }
            while !self.bag.is_empty() {
                self.deliver(0, false)?;
            }
            while !self.writes.is_empty() {
                self.write(0);
            }
            while self.asked.values().any(|it| it.stage == Stage::MayRun) {
                self.progress(0, 0)?;
            }
        }
        Ok(())
    }

    fn name(&self, index: usize) -> String {
        let index = index % self.vms.len();
        self.vms.get_index(index).unwrap().0.clone()
    }

    fn start_event(&mut self, name: &str, event: starter::Event) -> Result<(), String> {
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
                Effect::Send { to, message } => self.bag.push((name.into(), to, message)),
                Effect::Read if self.up => {
                    let record = self.record.clone();
                    self.vms[name].reads.push(record);
                }
                Effect::Write { base, views } => self.writes.push((base, views)),
                Effect::Decide { token, decision } => {
                    self.decided(&(name.into(), token), decision)?;
                }
                Effect::Read | Effect::Note(_) => {}
            }
        }
        Ok(())
    }

    fn deliver(&mut self, index: usize, keep: bool) -> Result<(), String> {
        if self.bag.is_empty() {
            return Ok(());
        }
        let index = index % self.bag.len();
        let to = &self.bag[index].1;
        if self.vms.get(to).is_some_and(|vm| vm.paused) {
            return Ok(());
        }
        let (from, to, message) = if keep {
            self.bag[index].clone()
        } else {
            self.bag.swap_remove(index)
        };
        if !self.vms.contains_key(&to) {
            return Ok(());
        }
        if message.is_for_starter() {
            self.start_event(&to, starter::Event::Message { from, message })
        } else {
            self.ledger_event(&to, ledger::Event::Message { from, message })
        }
    }

    /// Lets messages through in order, newest first or oldest first.
    fn flush(&mut self, count: usize) -> Result<(), String> {
        for step in 0..count {
            let last = self.bag.len().saturating_sub(1);
            self.deliver(if count.is_multiple_of(2) { last } else { step }, false)?;
        }
        // What waits for very long is lost.
        self.bag.truncate(200);
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
        self.start_event(&name, starter::Event::Tick)?;
        self.ledger_event(&name, ledger::Event::Tick { wall })
    }

    /// Tells a VM who is there; one may be suspected wrongly.
    fn hear(&mut self, index: usize, suspect: Option<usize>) -> Result<(), String> {
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

    /// A VM is lost with all it knew, and another starts in its place.
    fn crash(&mut self, index: usize) {
        let name = self.name(index);
        self.remove(&name);
    }

    fn remove(&mut self, name: &str) {
        let vm = self.vms.shift_remove(name).unwrap();
        self.asked.retain(|key, _| key.0 != name);
        self.gone.insert(name.into());
        self.start(vm.domain);
    }

    fn leave(&mut self, index: usize) {
        let name = self.name(index);
        if self.vms.values().filter(|vm| vm.leaving).count() < 2 {
            self.vms[&name].leaving = true;
        }
    }

    /// A VM that leaves is stopped once nobody needs it.
    fn depart(&mut self) {
        let idle = self.vms.iter().find(|(_, vm)| {
            vm.leaving && !vm.paused && vm.ledger.is_idle() && vm.starter.is_idle()
        });
        if let Some(name) = idle.map(|(name, _)| name.clone()) {
            self.remove(&name);
        }
    }

    fn write(&mut self, index: usize) {
        if self.writes.is_empty() || !self.up {
            return;
        }
        let (base, views) = self.writes.swap_remove(index % self.writes.len());
        if base == self.record.0 {
            self.counts.views += 1;
            self.record = (base + 1, views);
        }
    }

    /// One of a VM's machines gets a record that was read, perhaps long ago.
    fn read(&mut self, index: usize, b: usize) -> Result<(), String> {
        let name = self.name(index);
        if self.vms[&name].paused {
            return Ok(());
        }
        let all = b == usize::MAX;
        if self.up && (all || b.is_multiple_of(3)) {
            let record = self.record.clone();
            self.vms[&name].reads.push(record);
        }
        let reads = &mut self.vms[&name].reads;
        let Some((version, views)) = reads.pop() else {
            return Ok(());
        };
        if all || !b.is_multiple_of(5) {
            let views = views.clone();
            self.start_event(&name, starter::Event::Views { version, views })?;
        }
        if all || b % 5 != 1 {
            self.ledger_event(&name, ledger::Event::Views { version, views })?;
        }
        Ok(())
    }
}
