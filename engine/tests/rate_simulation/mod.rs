//! Simulates many VMs and the targets of one service, the first of which asks for a rate limit for a while.
//!
//! The dispatchers and the manager's state of the fleet are the real ones. A target asks for the limit in its
//! responses and means the requests of all VMs together.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{self, Target},
    owner::record::{Incarnation, KeyRange, Record, RequestKey},
    peer::FleetLoad,
    placement::{
        budget::RetryAllowance,
        dispatch::{
            Charge, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event,
            FleetView, SyncUpdate, Ticket,
        },
        warmup::BurstAllowance,
    },
};

/// How many requests a target runs at a time.
pub const SLOTS: usize = 2;
pub const STEP_MS: u64 = 5;
/// The service time of a request.
pub const SERVICE_TIME_MS: u64 = 250;
pub const GOAL_MS: u64 = 600;
pub const DEADLINE_MS: u64 = 1500;
/// From when on the first target asks for a rate limit.
pub const LIMIT_START_MS: u64 = 4_000;
/// From when on it asks for none.
pub const LIMIT_END_MS: u64 = 20_000;
/// How long after its start VMs may exceed the limit.
pub const GRACE_MS: u64 = 3_000;
pub const END_MS: u64 = 26_000;
/// The window in which arrivals at the first target are counted.
pub const WINDOW_MS: u64 = 4_000;
pub const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The VMs, the targets, the load, and the rate limit of the first target.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub vms: usize,
    pub targets: u64,
    /// Whether the service has keys; the first target owns all of them, so all requests go there.
    pub keyed: bool,
    /// Whether VMs have sync exchanges with the manager.
    pub synced: bool,
    /// Requests per second, over all VMs.
    pub request_rate: u64,
    /// The rate limit of the first target, in requests per second.
    pub rate_limit: f64,
    /// The time between two sync exchanges of one VM with the manager, in milliseconds.
    pub sync_interval: u64,
    /// When another VM becomes the manager, without the state of the earlier one, in milliseconds; never if 0.
    pub takeover_at: u64,
}

impl Scenario {
    /// The fleet view of all VMs.
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

pub fn dispatch_request(
    ticket: Ticket,
    now: Duration,
    point: Option<RequestKey>,
) -> DispatchRequest {
    DispatchRequest {
        ticket,
        service: "s".to_owned(),
        key: point,
        priority: 1,
        received_at: now,
        goal: now + ms(GOAL_MS),
        deadline: now + ms(DEADLINE_MS),
        tried: Vec::new(),
        misdirected: Vec::new(),
        local_until: None,
        late_until: None,
        charge: Charge::Request,
    }
}

/// A request at a target; times are in milliseconds.
struct TargetRequest {
    ends_at: u64,
    sent: u64,
    vm: usize,
    target: String,
}

/// How the requests ended.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When requests arrived at the first target, in milliseconds.
    pub arrivals: Vec<u64>,
    pub answered: u32,
    pub refused: u32,
    /// How long the refused requests were queued, in milliseconds.
    pub refused_after: Vec<u64>,
}

impl Outcome {
    /// Returns how many requests arrived at the first target within a span, in milliseconds.
    pub fn arrivals_within(&self, from: u64, to: u64) -> u32 {
        let arrivals = self.arrivals.iter();
        let count = arrivals.filter(|it| (from..to).contains(*it)).count();
        u32::try_from(count).unwrap()
    }

    /// Returns the most arrivals in one window while VMs must keep to the limit.
    pub fn max_per_window(&self) -> u32 {
        let starts = self.arrivals.iter().copied();
        let starts =
            starts.filter(|it| (LIMIT_START_MS + GRACE_MS..LIMIT_END_MS - WINDOW_MS).contains(it));
        let counts = starts.map(|from| self.arrivals_within(from, from + WINDOW_MS));
        counts.max().unwrap_or(0)
    }
}

/// Returns how many requests may arrive in one window of four seconds by the requirements: 1.5 times as many as the
/// rate limit allows, and five more.
pub fn max_allowed(rate_limit: f64) -> u32 {
    let limit = (rate_limit * 1.5 * 4.0 + 5.0).floor();
    (0..1000)
        .take_while(|it| f64::from(*it) <= limit)
        .last()
        .unwrap()
}

struct Simulation {
    scenario: Scenario,
    dispatchers: Vec<Dispatcher>,
    fleet_load: FleetLoad,
    /// When each request was received, in milliseconds.
    received_at: HashMap<Ticket, u64>,
    /// When each of a target's slots becomes free, in milliseconds.
    slots_free_at: HashMap<String, [u64; SLOTS]>,
    at_targets: Vec<TargetRequest>,
    outcome: Outcome,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let dispatcher = |number: usize| {
            let name = format!("vm-{number}");
            let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, number as u64)
                .with_vm(&name, BurstAllowance::default());
            dispatcher.handle(Duration::ZERO, scenario.view());
            dispatcher
        };
        Self {
            scenario,
            dispatchers: (0..scenario.vms).map(dispatcher).collect(),
            fleet_load: FleetLoad::default(),
            received_at: HashMap::new(),
            slots_free_at: HashMap::new(),
            at_targets: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn handle(&mut self, now: u64, vm: usize, event: Event) {
        for effect in self.dispatchers[vm].handle(ms(now), event) {
            match effect {
                Effect::Send { target, .. } => self.arrive(now, vm, target.id),
                Effect::Refuse { ticket, .. } => {
                    self.outcome.refused += 1;
                    self.outcome
                        .refused_after
                        .push(now - self.received_at[&ticket]);
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, vm: usize, target: String) {
        if target == "t0" {
            self.outcome.arrivals.push(now);
        }
        let slots = self.slots_free_at.entry(target.clone()).or_default();
        let slot = slots.iter_mut().min().unwrap();
        *slot = now.max(*slot) + SERVICE_TIME_MS;
        self.at_targets.push(TargetRequest {
            ends_at: *slot,
            sent: now,
            vm,
            target,
        });
    }

    /// Completes the requests that targets have finished by now.
    fn complete_finished(&mut self, now: u64) {
        let all = std::mem::take(&mut self.at_targets);
        let (finished, open): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.ends_at <= now);
        self.at_targets = open;
        for it in finished {
            self.outcome.answered += 1;
            let is_limited = it.target == "t0" && (LIMIT_START_MS..LIMIT_END_MS).contains(&now);
            let rate_limit = is_limited.then_some(self.scenario.rate_limit);
            self.handle(now, it.vm, Event::Rate(it.target.clone(), rate_limit));
            let result = Completion {
                kind: CompletionKind::Answered(ms(now - it.sent)),
                sent_at: ms(it.sent),
                depth: 0.0,
                load: None,
                ownership: self.scenario.keyed.then_some((7, 5)),
            };
            let target = it.target;
            self.handle(
                now,
                it.vm,
                Event::Completed {
                    target,
                    completion: result,
                },
            );
        }
    }

    fn submit(&mut self, now: u64, ticket: Ticket) {
        self.received_at.insert(ticket, now);
        let request = dispatch_request(ticket, ms(now), self.scenario.keyed.then_some(7));
        let vm = catalogue::hash(&ticket.to_string()) as usize % self.scenario.vms;
        self.handle(now, vm, Event::Request(request));
    }

    /// Runs one sync exchange of a VM with the manager.
    fn sync_with_manager(&mut self, now: u64, vm: usize) {
        let state = self.dispatchers[vm].take_snapshot(ms(now));
        let start = format!("vm-{vm}");
        let (at, interval) = (ms(now), ms(self.scenario.sync_interval));
        let fleet_load = &mut self.fleet_load;
        fleet_load.update(at, &start, state.in_flight, state.queues, interval);
        fleet_load.merge_rates(at, &state.rates);
        let others = fleet_load
            .in_flight_elsewhere(at, &start)
            .into_iter()
            .collect();
        let quotas = fleet_load.assign_quotas(at, &start).into_iter();
        let update = SyncUpdate {
            others,
            quotas: quotas.map(|it| (it.target, it)).collect(),
            rates: fleet_load.rates(at),
            sync_interval: interval,
            ..SyncUpdate::default()
        };
        self.handle(now, vm, Event::Sync(update));
    }
}

pub fn simulate(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let mut ticket = 0;
    for now in (STEP_MS..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        simulation.complete_finished(now);
        if now == scenario.takeover_at {
            simulation.fleet_load = FleetLoad::default();
        }
        for vm in 0..scenario.vms {
            if scenario.synced
                && now % scenario.sync_interval == vm as u64 * STEP_MS % scenario.sync_interval
            {
                simulation.sync_with_manager(now, vm);
            }
            if now % 10 == 0 && simulation.dispatchers[vm].queue_len() > 0 {
                simulation.handle(now, vm, Event::Tick);
            }
        }
        while ticket < now * scenario.request_rate / 1000 {
            ticket += 1;
            simulation.submit(now, ticket);
        }
    }
    simulation.outcome
}
