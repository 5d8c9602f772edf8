//! A few processes' gossip on one clock: calls are delivered, delayed, lost, doubled and cut as a
//! test says. It carries messages and nothing else; it models no load and no machines.
#![allow(dead_code, reason = "each test takes what it needs")]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use bramleypier::{
    gossip::{Content, Effect, Envelope, Event, Gossip},
    membership::{Body, Peer, Standing, Timing, Update},
    peer,
    spread::{Id, Item, Limits},
};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Between two ticks of a process.
pub const TICK: Duration = Duration::from_millis(50);

/// A fault of the code, put in to show that a check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// No process ever refutes what is said of it.
    NoRefutation,
    /// No process compares what it holds with others.
    NoComparison,
    /// A process may lose its items and go on under its identity.
    Amnesia,
}

/// How calls fare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost, in percent.
    pub lost: u32,
    /// Messages delivered twice, in percent.
    pub doubled: u32,
    /// The longest delay of a message; each has its own, so they overtake each other.
    pub delay: Duration,
}

/// A call under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Flight {
    asker: usize,
    start: u64,
    call: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Tick(usize, u64),
    Request(Flight, usize, Envelope),
    Answer(Flight, usize, Envelope),
    Timeout(Flight),
}

/// One process.
#[derive(Debug)]
pub struct Node {
    /// Its decisions.
    pub gossip: Gossip,
    /// Counts its starts.
    pub start: u64,
    /// Whether it runs.
    pub runs: bool,
    /// It does nothing before this.
    pub paused_until: Duration,
    /// Bytes it has sent.
    pub bytes: u64,
    /// Messages it has sent.
    pub messages: u64,
    inbound: IndexMap<u64, (Flight, usize)>,
    open: IndexSet<u64>,
    next_inbound: u64,
}

/// Something that a process told its log.
#[derive(Clone, Debug)]
pub struct Told {
    /// When.
    pub at: Duration,
    /// Which process.
    pub node: usize,
    /// What.
    pub update: Update,
}

/// Processes, and what is under way between them.
#[derive(Debug)]
pub struct Fleet {
    /// The processes, by number.
    pub nodes: Vec<Node>,
    /// The time.
    pub now: Duration,
    /// How calls fare.
    pub faults: Faults,
    /// Ordered pairs that are cut: nothing passes from the first to the second.
    pub cuts: IndexSet<(usize, usize)>,
    /// What the processes told.
    pub told: Vec<Told>,
    /// Whether message sizes are counted; that takes time.
    pub weighs: bool,
    /// Whether what the processes tell is kept.
    pub tells: bool,
    /// Time that the decisions took.
    pub spent: Duration,
    /// A fault put in.
    pub flaw: Option<Flaw>,
    /// The newest version that each start has had of each item.
    pub newest: IndexMap<(usize, u64, Id), u64>,
    /// Whether some start was ever seen to go back.
    pub went_back: bool,
    domains: usize,
    timing: Timing,
    limits: Limits,
    random: StdRng,
    steps: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    slots: Vec<Option<Step>>,
    free: Vec<usize>,
    sequence: u64,
}

impl Fleet {
    /// Creates processes that know three seeds, spread over failure domains.
    pub fn new(count: usize, domains: usize, timing: Timing, limits: Limits, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Duration::from_secs(1),
            faults: Faults::default(),
            cuts: IndexSet::new(),
            told: Vec::new(),
            weighs: false,
            tells: true,
            spent: Duration::ZERO,
            flaw: None,
            newest: IndexMap::new(),
            went_back: false,
            domains,
            timing,
            limits,
            random: StdRng::seed_from_u64(seed),
            steps: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            sequence: 0,
        };
        for number in 0..count {
            let node = fleet.make(number, 0);
            fleet.nodes.push(node);
            fleet.begin(number);
        }
        fleet
    }

    /// Returns the address of a process.
    pub fn address(number: usize) -> String {
        format!(
            "10.{}.{}.{}:7100",
            number >> 16,
            (number >> 8) & 255,
            number & 255
        )
    }

    /// Returns a process as its peers know it.
    pub fn peer(&self, number: usize) -> Peer {
        self.nodes[number].gossip.membership().me().clone()
    }

    /// Returns the numbers of the processes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|it| self.nodes[*it].runs)
            .collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, slot))) = self.steps.peek().copied() {
            if at > end {
                break;
            }
            self.steps.pop();
            self.now = self.now.max(at);
            if let Some(step) = self.slots[slot].take() {
                self.free.push(slot);
                self.step(step);
            }
        }
        self.now = end;
    }

    /// Hands an event to a process.
    pub fn put(&mut self, number: usize, event: Event) {
        if !self.nodes[number].runs {
            return;
        }
        let begun = Instant::now();
        let effects = self.nodes[number].gossip.on(self.now, event);
        self.spent += begun.elapsed();
        self.carry(number, effects);
    }

    /// Ends a process without a word.
    pub fn crash(&mut self, number: usize) {
        self.nodes[number].runs = false;
    }

    /// Starts a process that has ended, as a new identity.
    pub fn restart(&mut self, number: usize) {
        if self.nodes[number].runs {
            return;
        }
        let start = self.nodes[number].start + 1;
        self.nodes[number] = self.make(number, start);
        self.begin(number);
    }

    /// Takes a process's items away under its identity, if that flaw is in.
    pub fn forget(&mut self, number: usize) {
        if self.flaw == Some(Flaw::Amnesia) && self.nodes[number].runs {
            let start = self.nodes[number].start;
            self.nodes[number] = self.make(number, start);
            self.put(
                number,
                Event::Seeds(vec![Self::address(0), Self::address(1)]),
            );
        }
    }

    /// Stops a process for a while; what reaches it waits.
    pub fn pause(&mut self, number: usize, span: Duration) {
        self.nodes[number].paused_until = self.now + span;
    }

    fn make(&mut self, number: usize, start: u64) -> Node {
        let me = Peer {
            vm: format!("vm-{number}#{start}"),
            address: Self::address(number),
            domain: format!("domain-{}", number % self.domains),
        };
        let seed = self.random.random();
        Node {
            gossip: Gossip::new(me, self.timing.clone(), self.limits.clone(), seed),
            start,
            runs: true,
            paused_until: Duration::ZERO,
            bytes: 0,
            messages: 0,
            inbound: IndexMap::new(),
            open: IndexSet::new(),
            next_inbound: 0,
        }
    }

    fn begin(&mut self, number: usize) {
        let seeds = (0..3).map(Self::address).collect();
        self.put(number, Event::Seeds(seeds));
        let phase = TICK.mul_f64(self.random.random());
        let start = self.nodes[number].start;
        self.schedule(phase, Step::Tick(number, start));
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(step);
        self.sequence += 1;
        self.steps
            .push(Reverse((self.now + after, self.sequence, slot)));
    }

    fn step(&mut self, step: Step) {
        let (number, start) = match &step {
            Step::Tick(number, start) => (*number, *start),
            Step::Request(_, to, _) => (*to, self.nodes[*to].start),
            Step::Answer(flight, ..) | Step::Timeout(flight) => (flight.asker, flight.start),
        };
        let node = &self.nodes[number];
        if !node.runs || node.start != start {
            return;
        }
        if node.paused_until > self.now {
            let wait = node.paused_until.saturating_sub(self.now);
            return self.schedule(wait, step);
        }
        match step {
            Step::Tick(..) => {
                self.put(number, Event::Tick);
                self.schedule(TICK, step);
            }
            Step::Request(flight, to, envelope) => self.request(flight, to, envelope),
            Step::Answer(flight, _, envelope) => {
                if self.nodes[number].open.swap_remove(&flight.call) {
                    let call = flight.call;
                    self.put(number, Event::Answered { call, envelope });
                }
            }
            Step::Timeout(flight) => {
                if self.nodes[number].open.swap_remove(&flight.call) {
                    self.put(number, Event::Failed { call: flight.call });
                }
            }
        }
    }

    fn request(&mut self, flight: Flight, to: usize, envelope: Envelope) {
        let node = &mut self.nodes[to];
        node.next_inbound += 1;
        let call = node.next_inbound;
        node.inbound.insert(call, (flight, flight.asker));
        self.put(to, Event::Asked { call, envelope });
    }

    fn carry(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Ask {
                    call,
                    address,
                    envelope,
                    within,
                } => self.ask(number, call, &address, envelope, within),
                Effect::Answer { call, envelope } => self.answer(number, call, envelope),
                Effect::Changed(update) => self.tell(number, update),
                Effect::Accepted(item) => self.accepted(number, &item),
                Effect::Expired(_) => {}
            }
        }
    }

    fn tell(&mut self, node: usize, update: Update) {
        if self.tells {
            let at = self.now;
            self.told.push(Told { at, node, update });
        }
    }

    fn ask(&mut self, from: usize, call: u64, address: &str, envelope: Envelope, within: Duration) {
        let flight = Flight {
            asker: from,
            start: self.nodes[from].start,
            call,
        };
        self.nodes[from].open.insert(call);
        self.schedule(within, Step::Timeout(flight));
        let to = number_of(address).filter(|to| *to < self.nodes.len());
        if let Some(to) = to {
            self.send(from, to, envelope, |envelope| {
                Step::Request(flight, to, envelope)
            });
        }
    }

    fn answer(&mut self, from: usize, call: u64, envelope: Envelope) {
        if let Some((flight, to)) = self.nodes[from].inbound.swap_remove(&call) {
            self.send(from, to, envelope, |envelope| {
                Step::Answer(flight, to, envelope)
            });
        }
    }

    fn send<F>(&mut self, from: usize, to: usize, mut envelope: Envelope, step: F)
    where
        F: Fn(Envelope) -> Step,
    {
        self.spoil(&mut envelope);
        let node = &mut self.nodes[from];
        node.messages += 1;
        if self.weighs {
            let bytes = peer::encode(&envelope).map_or(0, |bytes| bytes.len());
            node.bytes += bytes as u64;
        }
        if self.cuts.contains(&(from, to)) || self.chance(self.faults.lost) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.doubled));
        for _ in 0..copies {
            let delay = self.faults.delay.mul_f64(self.random.random());
            self.schedule(delay, step(envelope.clone()));
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    fn spoil(&self, envelope: &mut Envelope) {
        match (self.flaw, &mut envelope.content) {
            (Some(Flaw::NoRefutation), Content::Member(message)) => {
                message.sender.incarnation = 0;
                let accuses = |it: &Update| it.standing > Standing::Leaving;
                let passes = |it: &Update| it.incarnation == 0 || accuses(it);
                message.updates.retain(passes);
                if let Body::Members(members) = &mut message.body {
                    members.retain(passes);
                }
            }
            (Some(Flaw::NoComparison), _) => envelope.digest = 0,
            _ => {}
        }
    }

    fn accepted(&mut self, number: usize, item: &Item) {
        let start = self.nodes[number].start;
        let key = (number, start, item.id.clone());
        let newest = self.newest.entry(key).or_default();
        self.went_back |= item.version < *newest;
        *newest = item.version.max(*newest);
    }
}

fn number_of(address: &str) -> Option<usize> {
    let (ip, _) = address.split_once(':')?;
    let parts: Vec<usize> = ip.split('.').filter_map(|part| part.parse().ok()).collect();
    match parts[..] {
        [_, a, b, c] => Some((a << 16) | (b << 8) | c),
        _ => None,
    }
}
