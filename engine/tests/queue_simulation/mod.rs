//! Many VMs before the targets of one service without keys: arrivals, slots, queues, and the manager's words.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{Target, Warmup},
    peer::FleetLoad,
    placement::{
        budget::Allowance,
        dispatch::{
            Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, FleetView,
            SyncUpdate,
        },
        warmup::BurstAllowance,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(3),
    rate: 8.0,
};
pub const TOLERANCE: BurstAllowance = BurstAllowance {
    factor: 1.5,
    slack: 8.0,
};
/// How long the load lasts, in milliseconds.
pub const LENGTH: u64 = 4000;
/// How many requests a target runs at a time.
pub const SLOTS: usize = 3;
/// How many more it queues; what comes beyond that is lost.
const QUEUE: usize = 12;
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn names(vms: usize) -> Vec<String> {
    (0..vms).map(|it| format!("vm-{it}")).collect()
}

fn target(number: usize) -> Target {
    Target {
        id: format!("t{number}"),
        start_time: 1,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 9000 + u16::try_from(number).unwrap()).into(),
        domain: "d1".to_owned(),
        slots: SLOTS,
        leaving: false,
        cold: Duration::ZERO,
    }
}

/// A load, and what VMs know of the targets.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub vms: usize,
    pub targets: usize,
    /// How many of them are cold; VMs hear so at times of their own.
    pub cold: usize,
    /// When the last VM hears that, in milliseconds.
    pub heard: u64,
    /// Requests a second, over all VMs.
    pub rate: f64,
    /// How long a request takes, in milliseconds; twice as long at a cold target.
    pub work: u64,
    /// Until when an answer is in time, in milliseconds.
    pub goal: u64,
    /// The time between two words of the manager, in milliseconds.
    pub pause: u64,
}

impl Scene {
    fn view(&self, cold: bool) -> Event {
        let targets: Vec<Target> = (0..self.targets).map(target).collect();
        let until = |number: usize| (format!("t{number}"), ms(LENGTH));
        Event::View(Rc::new(FleetView {
            targets: [("s".to_owned(), targets)].into(),
            vms: names(self.vms),
            cold: (0..self.cold).filter(|_| cold).map(until).collect(),
            warmups: [("s".to_owned(), WARMUP)].into(),
            ..FleetView::default()
        }))
    }

    /// How many requests a second all targets can answer while they are warm.
    #[allow(clippy::cast_precision_loss, reason = "small figures")]
    pub fn capacity(&self) -> f64 {
        (self.targets * SLOTS) as f64 * 1000.0 / self.work as f64
    }
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Seen {
    /// When requests reached each target, in milliseconds.
    pub arrived: HashMap<String, Vec<u64>>,
    pub asked: usize,
    pub in_time: usize,
    pub refused: usize,
    /// Requests that found a target's queue full.
    pub lost: usize,
}

impl Seen {
    /// The most arrivals in a second at any of the first targets.
    pub fn worst(&self, targets: usize) -> usize {
        let windows = (0..targets).flat_map(|number| {
            let times = self.arrived.get(&format!("t{number}"));
            let times = times.cloned().unwrap_or_default();
            let starts = times.clone();
            starts.into_iter().map(move |from| {
                let within = times.iter().filter(|at| (from..from + 1000).contains(*at));
                within.count()
            })
        });
        windows.max().unwrap_or(0)
    }

    pub fn of_target(&self, number: usize) -> usize {
        self.arrived.get(&format!("t{number}")).map_or(0, Vec::len)
    }
}

/// A request at a target.
struct Running {
    /// When it ends, in milliseconds.
    ends: u64,
    vm: usize,
    target: String,
    sent: u64,
    came: u64,
    depth: f64,
    ended: CompletionKind,
}

struct World {
    scene: Scene,
    dispatchers: Vec<Dispatcher>,
    fleet_load: FleetLoad,
    /// When each of a target's slots is free, in milliseconds.
    free: HashMap<String, [u64; SLOTS]>,
    running: Vec<Running>,
    came: HashMap<u64, u64>,
    seen: Seen,
}

/// Plays a load; figures of the first second are part of them.
pub fn play(scene: Scene, seed: u64) -> Seen {
    let mut random = SmallRng::seed_from_u64(seed);
    let dispatchers = names(scene.vms).into_iter().zip(0..).map(|(name, number)| {
        let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, number).with_vm(&name, TOLERANCE);
        dispatcher.handle(Duration::ZERO, scene.view(scene.heard == 0));
        dispatcher
    });
    let mut world = World {
        scene,
        dispatchers: dispatchers.collect(),
        fleet_load: FleetLoad::default(),
        free: HashMap::new(),
        running: Vec::new(),
        came: HashMap::new(),
        seen: Seen::default(),
    };
    let hears: Vec<u64> = (0..scene.vms)
        .map(|_| random.random_range(0..=scene.heard))
        .collect();
    let mut due = 0.0;
    let mut ticket = 0;
    for at in 0..LENGTH {
        for (vm, hears) in hears.iter().enumerate() {
            world.turn(at, vm, *hears);
        }
        world.end(at);
        due += scene.rate / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            ticket += 1;
            world.ask(at, random.random_range(0..scene.vms), ticket);
        }
    }
    world.seen
}

impl World {
    /// What a VM does by the clock: it hears the manager, and looks at what waits.
    fn turn(&mut self, at: u64, vm: usize, hears: u64) {
        if at % self.scene.pause == vm as u64 % self.scene.pause {
            let word = self.exchange(at, vm);
            self.on(at, vm, Event::Sync(word));
        }
        if self.scene.heard > 0 && hears == at {
            self.on(at, vm, self.scene.view(true));
        }
        if at.is_multiple_of(10) && self.dispatchers[vm].queue_len() > 0 {
            self.on(at, vm, Event::Tick);
        }
    }

    fn exchange(&mut self, at: u64, vm: usize) -> SyncUpdate {
        let start = format!("vm-{vm}/1");
        let (now, pause) = (ms(at), ms(self.scene.pause));
        let state = self.dispatchers[vm].take_snapshot(now);
        let fleet_load = &mut self.fleet_load;
        fleet_load.update(now, &start, state.in_flight, state.queues, pause);
        let shares = fleet_load.assign_quotas(now, &start).into_iter();
        SyncUpdate {
            others: fleet_load
                .in_flight_elsewhere(now, &start)
                .into_iter()
                .collect(),
            quotas: shares.map(|share| (share.target, share)).collect(),
            sync_interval: pause,
            ..SyncUpdate::default()
        }
    }

    fn end(&mut self, at: u64) {
        let all = std::mem::take(&mut self.running);
        let (over, open): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.ends <= at);
        self.running = open;
        for it in over {
            let in_time = it.ended != CompletionKind::Lost && at <= it.came + self.scene.goal;
            self.seen.in_time += usize::from(in_time);
            let end = Completion {
                kind: it.ended,
                sent: ms(it.sent),
                depth: it.depth,
                load: None,
                ownership: None,
            };
            let target = it.target;
            self.on(
                at,
                it.vm,
                Event::Completed {
                    target,
                    completion: end,
                },
            );
        }
    }

    fn ask(&mut self, at: u64, vm: usize, ticket: u64) {
        self.seen.asked += 1;
        self.came.insert(ticket, at);
        let ask = DispatchRequest {
            ticket,
            service: "s".to_owned(),
            point: None,
            priority: 1,
            received_at: ms(at),
            goal: ms(at + self.scene.goal),
            deadline: ms(at + self.scene.goal * 3),
            tried: Vec::new(),
            misdirected: Vec::new(),
            large: false,
            is_retry: false,
        };
        self.on(at, vm, Event::Request(ask));
    }

    fn on(&mut self, at: u64, vm: usize, event: Event) {
        for effect in self.dispatchers[vm].handle(ms(at), event) {
            match effect {
                Effect::Send {
                    ticket,
                    target,
                    basis,
                } => self.send(at, vm, ticket, target.id, basis.depth),
                Effect::Refuse { .. } => self.seen.refused += 1,
            }
        }
    }

    fn send(&mut self, at: u64, vm: usize, ticket: u64, target: String, depth: f64) {
        let there = self.running.iter().filter(|it| it.target == target).count();
        let number: usize = target[1..].parse().unwrap();
        let factor = if number < self.scene.cold { 2 } else { 1 };
        let slots = self.free.entry(target.clone()).or_default();
        let slot = slots.iter_mut().min().unwrap();
        let (ends, ended) = if there < SLOTS + QUEUE {
            *slot = at.max(*slot) + self.scene.work * factor;
            (*slot, CompletionKind::Answered(ms(*slot - at)))
        } else {
            self.seen.lost += 1;
            (at + 1, CompletionKind::Lost)
        };
        let arrived = self.seen.arrived.entry(target.clone()).or_default();
        arrived.push(at);
        self.running.push(Running {
            ends,
            vm,
            target,
            sent: at,
            came: self.came[&ticket],
            depth,
            ended,
        });
    }
}
