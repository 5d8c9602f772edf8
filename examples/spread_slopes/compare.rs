//! A document's way to every VM: star, tree and the product's store.

use std::time::Duration;

use bramleypier::{
    gossip::{Content, Envelope},
    peer,
    spread::{Effect, Event, Id, Item, Kind, Limits, Message, Store},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Calls that a VM makes in one hop.
const CALLS: usize = 4;
/// Probes of a VM in one period.
const PROBES: usize = 2;
/// Between two rounds of probes.
const PERIOD: Duration = Duration::from_millis(200);
/// Bytes of the document: one that travels in the message, and one that is announced.
const SIZES: [usize; 2] = [1_500, 20_000];

/// What one way of spreading did.
#[derive(Debug, Default)]
struct Run {
    hops: usize,
    pushed: usize,
    rounds: usize,
    missed: usize,
    mean: usize,
    most: usize,
}

/// Compares the ways at each size.
pub fn run(sizes: &[usize]) {
    println!(
        "| VMs | document | way | hops | reached by hops | rounds of probes | never reached \
         | bytes/VM sent | most bytes of a VM |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        for bytes in SIZES {
            for lost in [None, Some(1)] {
                report(*size, bytes, "star", lost, &star(*size, bytes, lost));
                report(*size, bytes, "tree", lost, &tree(*size, bytes, lost));
                report(*size, bytes, "store", lost, &store(*size, bytes, lost));
            }
        }
    }
}

fn report(size: usize, bytes: usize, way: &str, lost: Option<usize>, run: &Run) {
    let suffix = if lost.is_some() { ", one lost" } else { "" };
    println!(
        "| {size} | {bytes} | {way}{suffix} | {} | {} | {} | {} | {} | {} |",
        run.hops, run.pushed, run.rounds, run.missed, run.mean, run.most
    );
}

/// The first VM sends to all; the one lost is itself, half-way through.
fn star(size: usize, bytes: usize, lost: Option<usize>) -> Run {
    let receivers = size - 1;
    let reached = if lost.is_some() {
        receivers / 2
    } else {
        receivers
    };
    let sent = reached * wire(&news(bytes));
    Run {
        hops: reached.div_ceil(CALLS),
        pushed: reached + 1,
        missed: receivers - reached,
        mean: sent / size,
        most: sent,
        ..Run::default()
    }
}

/// Each VM sends to [`CALLS`] children; the one lost is a child of the root.
fn tree(size: usize, bytes: usize, lost: Option<usize>) -> Run {
    let mut reached = vec![false; size];
    reached[0] = true;
    let mut run = Run::default();
    let mut level = vec![0];
    let mut sent = 0;
    while !level.is_empty() {
        let children = level
            .iter()
            .flat_map(|it| it * CALLS + 1..=it * CALLS + CALLS);
        level = children.filter(|it| *it < size).collect();
        sent += level.len();
        level.retain(|it| Some(*it) != lost);
        for it in &level {
            reached[*it] = true;
        }
        run.hops += usize::from(!level.is_empty());
    }
    let all = size - usize::from(lost.is_some());
    run.pushed = reached.iter().filter(|it| **it).count();
    run.missed = all - run.pushed;
    run.mean = sent * wire(&news(bytes)) / size;
    run.most = CALLS * wire(&news(bytes));
    run
}

/// Stores that push at random, then compare on probes.
fn store(size: usize, bytes: usize, lost: Option<usize>) -> Run {
    let mut stores = Stores::new(size, lost);
    stores.event(0, Event::Put(document(bytes)));
    let mut run = Run::default();
    while stores.hop() {
        run.hops += 1;
    }
    run.pushed = stores.reached();
    let all = size - usize::from(lost.is_some());
    while stores.reached() < all && run.rounds < 100 {
        run.rounds += 1;
        stores.probe();
        while stores.hop() {}
    }
    run.missed = all - stores.reached();
    run.mean = stores.bytes.iter().sum::<usize>() / size;
    run.most = stores.bytes.iter().copied().max().unwrap_or(0);
    run
}

/// A call under way: asker, asked, the asker's number (none for a push).
struct Call(usize, usize, Option<u64>, Message);

/// Stores of a fleet; a hop delivers every call that is under way, with its answer.
struct Stores {
    all: Vec<Store>,
    bytes: Vec<usize>,
    lost: Option<usize>,
    calls: Vec<Call>,
    now: Duration,
    random: StdRng,
}

impl Stores {
    fn new(size: usize, lost: Option<usize>) -> Self {
        Self {
            all: (0..size).map(|_| Store::new(Limits::default())).collect(),
            bytes: vec![0; size],
            lost,
            calls: Vec::new(),
            now: PERIOD,
            random: StdRng::seed_from_u64(5),
        }
    }

    fn reached(&self) -> usize {
        let holds = |it: &&Store| !it.in_force().is_empty();
        self.all.iter().filter(holds).count()
    }

    fn event(&mut self, at: usize, event: Event) -> Option<Message> {
        let mut answer = None;
        for effect in self.all[at].on(self.now, event) {
            match effect {
                Effect::Push { count, message } => self.push(at, count, &message),
                Effect::Ask {
                    call,
                    address,
                    message,
                } => {
                    let to = address.parse().unwrap_or(0);
                    self.calls.push(Call(at, to, Some(call), message));
                }
                Effect::Answer { message, .. } => answer = Some(message),
                Effect::Accepted(_) | Effect::Expired(_) => {}
            }
        }
        answer
    }

    fn push(&mut self, from: usize, count: usize, message: &Message) {
        for _ in 0..count {
            let to = self.random.random_range(0..self.all.len());
            self.calls.push(Call(from, to, None, message.clone()));
        }
    }

    /// Delivers the calls under way; returns whether there were any.
    fn hop(&mut self) -> bool {
        let calls = std::mem::take(&mut self.calls);
        let any = !calls.is_empty();
        for Call(from, to, call, message) in calls {
            self.bytes[from] += wire(&message);
            if Some(to) == self.lost {
                self.end(from, call);
                continue;
            }
            let asked = Event::Asked {
                call: 0,
                address: from.to_string(),
                message,
            };
            let Some(message) = self.event(to, asked) else {
                continue;
            };
            self.bytes[to] += wire(&message);
            if let Some(call) = call {
                self.event(from, Event::Answered { call, message });
            }
        }
        any
    }

    fn end(&mut self, from: usize, call: Option<u64>) {
        if let Some(call) = call {
            self.event(from, Event::Failed { call });
        }
    }

    /// Has every VM tell its digest to a few others and hear theirs, as probes do.
    fn probe(&mut self) {
        self.now += PERIOD;
        for from in 0..self.all.len() {
            for _ in 0..PROBES {
                let to = self.random.random_range(0..self.all.len());
                if Some(to) != self.lost && Some(from) != self.lost {
                    self.tell(from, to);
                    self.tell(to, from);
                }
            }
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        let digest = self.all[from].digest();
        let address = from.to_string();
        self.event(to, Event::Digest { address, digest });
    }
}

fn document(bytes: usize) -> Item {
    Item::new(Id::new(Kind::Document, "tracking"), 7, vec![b'x'; bytes])
}

fn news(bytes: usize) -> Message {
    Message::News(vec![document(bytes)])
}

/// Returns a message's size on the wire, without HTTP's own lines.
fn wire(message: &Message) -> usize {
    let envelope = Envelope {
        address: "10.0.0.1:7100".to_owned(),
        digest: u64::MAX,
        content: Content::Spread(message.clone()),
    };
    peer::encode(&envelope).map_or(0, |bytes| bytes.len())
}
