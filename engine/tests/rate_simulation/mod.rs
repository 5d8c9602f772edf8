//! Many VMs before targets of one service, the first of which names a rate for a time.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{self, Target},
    owner::record::{Incarnation, KeyRange, Record, RequestKey},
    peer::FleetLoad,
    placement::{
        budget::Allowance,
        dispatch::{
            Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, FleetView,
            SyncUpdate, Ticket,
        },
        warmup::BurstAllowance,
    },
};

pub const SLOTS: usize = 2;
pub const STEP: u64 = 5;
/// How long a request takes at a target.
pub const WORK: u64 = 250;
pub const GOAL: u64 = 600;
pub const DEADLINE: u64 = 1500;
/// From when on, and until when, the first target names a rate.
pub const NAMED: u64 = 4_000;
pub const LIFTED: u64 = 20_000;
/// By when VMs must keep to it.
pub const GRACE: u64 = 3_000;
pub const END: u64 = 26_000;
/// The span over which what reaches it is counted.
pub const SPAN: u64 = 4_000;
pub const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How many VMs send to how many targets, and what the first target names.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub vms: usize,
    pub targets: u64,
    /// Whether keys have owners: the first target's are asked for, and no others.
    pub keyed: bool,
    /// Whether VMs hear the manager.
    pub heard: bool,
    /// Requests a second, over all VMs.
    pub load: u64,
    /// The rate that the first target names, in requests a second.
    pub rate: f64,
    /// The time between two words of the manager to one VM, in milliseconds.
    pub pause: u64,
    /// When another VM becomes the manager, which knows nothing of what was told before.
    pub replaced: u64,
}

impl Scene {
    pub fn view(&self) -> Event {
        let targets: Vec<Target> = (0..self.targets).map(target).collect();
        let mut record = Record::unowned(99);
        record.ranges = vec![KeyRange {
            from: 0,
            to: 99,
            fence: 5,
            owner: Some(Incarnation::of(&targets[0])),
        }];
        let records = self.keyed.then(|| ("s".to_owned(), Rc::new(record)));
        Event::View(Rc::new(FleetView {
            targets: [("s".to_owned(), targets)].into(),
            records: records.into_iter().collect(),
            vms: (0..self.vms).map(|it| format!("vm-{it}")).collect(),
            ..FleetView::default()
        }))
    }
}

pub fn target(number: u64) -> Target {
    Target {
        id: format!("t{number}"),
        start_time: 1,
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
        domain: "d1".to_owned(),
        slots: SLOTS,
        leaving: false,
        cold: Duration::ZERO,
    }
}

pub fn ask(ticket: Ticket, now: Duration, point: Option<RequestKey>) -> DispatchRequest {
    DispatchRequest {
        ticket,
        service: "s".to_owned(),
        point,
        priority: 1,
        received_at: now,
        goal: now + ms(GOAL),
        deadline: now + ms(DEADLINE),
        tried: Vec::new(),
        misdirected: Vec::new(),
        large: false,
        is_retry: false,
    }
}

/// A request at a target.
struct Running {
    ends: u64,
    sent: u64,
    vm: usize,
    target: String,
}

/// What reached the first target and when, and what became of requests.
#[derive(Debug, Default)]
pub struct Seen {
    pub arrived: Vec<u64>,
    pub answered: u32,
    pub refused: u32,
    /// How long the refused ones were held, in milliseconds.
    pub held: Vec<u64>,
}

impl Seen {
    pub fn within(&self, from: u64, to: u64) -> u32 {
        let arrived = self.arrived.iter();
        let count = arrived.filter(|it| (from..to).contains(*it)).count();
        u32::try_from(count).unwrap()
    }

    /// The most arrivals in one span while the named rate must be kept to.
    pub fn most(&self) -> u32 {
        let starts = self.arrived.iter().copied();
        let starts = starts.filter(|it| (NAMED + GRACE..LIFTED - SPAN).contains(it));
        let counts = starts.map(|from| self.within(from, from + SPAN));
        counts.max().unwrap_or(0)
    }
}

/// What the users allow in one span.
pub fn allowed(rate: f64) -> u32 {
    let most = (rate * 1.5 * 4.0 + 5.0).floor();
    (0..1000)
        .take_while(|it| f64::from(*it) <= most)
        .last()
        .unwrap()
}

struct World {
    scene: Scene,
    dispatchers: Vec<Dispatcher>,
    fleet_load: FleetLoad,
    came: HashMap<Ticket, u64>,
    free: HashMap<String, [u64; SLOTS]>,
    running: Vec<Running>,
    seen: Seen,
}

impl World {
    fn new(scene: Scene) -> Self {
        let dispatcher = |number: usize| {
            let name = format!("vm-{number}");
            let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, number as u64)
                .with_vm(&name, BurstAllowance::default());
            dispatcher.handle(Duration::ZERO, scene.view());
            dispatcher
        };
        Self {
            scene,
            dispatchers: (0..scene.vms).map(dispatcher).collect(),
            fleet_load: FleetLoad::default(),
            came: HashMap::new(),
            free: HashMap::new(),
            running: Vec::new(),
            seen: Seen::default(),
        }
    }

    fn on(&mut self, now: u64, vm: usize, event: Event) {
        for effect in self.dispatchers[vm].handle(ms(now), event) {
            match effect {
                Effect::Send { target, .. } => self.send(now, vm, target.id),
                Effect::Refuse { ticket, .. } => {
                    self.seen.refused += 1;
                    self.seen.held.push(now - self.came[&ticket]);
                }
            }
        }
    }

    fn send(&mut self, now: u64, vm: usize, target: String) {
        if target == "t0" {
            self.seen.arrived.push(now);
        }
        let slots = self.free.entry(target.clone()).or_default();
        let slot = slots.iter_mut().min().unwrap();
        *slot = now.max(*slot) + WORK;
        self.running.push(Running {
            ends: *slot,
            sent: now,
            vm,
            target,
        });
    }

    fn end(&mut self, now: u64) {
        let all = std::mem::take(&mut self.running);
        let (over, open): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.ends <= now);
        self.running = open;
        for it in over {
            self.seen.answered += 1;
            let needy = it.target == "t0" && (NAMED..LIFTED).contains(&now);
            let rate = needy.then_some(self.scene.rate);
            self.on(now, it.vm, Event::Rate(it.target.clone(), rate));
            let end = Completion {
                kind: CompletionKind::Answered(ms(now - it.sent)),
                sent: ms(it.sent),
                depth: 0.0,
                load: None,
                ownership: self.scene.keyed.then_some((7, 5)),
            };
            let target = it.target;
            self.on(
                now,
                it.vm,
                Event::Completed {
                    target,
                    completion: end,
                },
            );
        }
    }

    fn ask(&mut self, now: u64, ticket: Ticket) {
        self.came.insert(ticket, now);
        let ask = ask(ticket, ms(now), self.scene.keyed.then_some(7));
        let vm = catalogue::hash(&ticket.to_string()) as usize % self.scene.vms;
        self.on(now, vm, Event::Request(ask));
    }

    /// A VM tells the manager, and hears its word.
    fn exchange(&mut self, now: u64, vm: usize) {
        let state = self.dispatchers[vm].take_snapshot(ms(now));
        let start = format!("vm-{vm}");
        let (at, pause) = (ms(now), ms(self.scene.pause));
        let fleet_load = &mut self.fleet_load;
        fleet_load.update(at, &start, state.in_flight, state.queues, pause);
        fleet_load.merge_rates(at, &state.rates);
        let others = fleet_load
            .in_flight_elsewhere(at, &start)
            .into_iter()
            .collect();
        let shares = fleet_load.assign_quotas(at, &start).into_iter();
        let word = SyncUpdate {
            others,
            quotas: shares.map(|it| (it.target, it)).collect(),
            rates: fleet_load.rates(at),
            sync_interval: pause,
        };
        self.on(now, vm, Event::Sync(word));
    }
}

pub fn play(scene: Scene) -> Seen {
    let mut world = World::new(scene);
    let mut ticket = 0;
    for now in (STEP..END).step_by(usize::try_from(STEP).unwrap()) {
        world.end(now);
        if now == scene.replaced {
            world.fleet_load = FleetLoad::default();
        }
        for vm in 0..scene.vms {
            if scene.heard && now % scene.pause == vm as u64 * STEP % scene.pause {
                world.exchange(now, vm);
            }
            if now % 10 == 0 && world.dispatchers[vm].queue_len() > 0 {
                world.on(now, vm, Event::Tick);
            }
        }
        while ticket < now * scene.load / 1000 {
            ticket += 1;
            world.ask(now, ticket);
        }
    }
    world.seen
}
