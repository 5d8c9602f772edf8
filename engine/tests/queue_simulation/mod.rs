//! Simulates many VMs and the targets of one service without keys.
//!
//! The dispatchers and the manager's state of the fleet are the real ones. Targets have slots and a queue, and each
//! VM has a sync exchange with the manager at a fixed interval.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{Target, Warmup},
    peer::FleetLoad,
    placement::{
        budget::RetryAllowance,
        dispatch::{
            Charge, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event,
            FleetView, SyncUpdate,
        },
        warmup::BurstAllowance,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(3),
    rate: 8.0,
};
pub const BURST_ALLOWANCE: BurstAllowance = BurstAllowance {
    factor: 1.5,
    slack: 8.0,
};
/// How long the load lasts.
pub const DURATION_MS: u64 = 4000;
/// How many requests a target runs at a time.
pub const SLOTS: usize = 3;
/// How many more requests it queues; it resets the connections of any others.
const TARGET_QUEUE: usize = 12;
const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn vm_names(vms: usize) -> Vec<String> {
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

/// The load, and what VMs know of the targets.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub vms: usize,
    pub targets: usize,
    /// How many of the targets, the first ones, are cold; each VM learns this at a time of its own.
    pub cold_targets: usize,
    /// When the last VM learns which targets are cold, in milliseconds; 0 if all know it from the start.
    pub all_know_cold: u64,
    /// Requests per second, over all VMs.
    pub request_rate: f64,
    /// The service time of a request, in milliseconds; twice as long at a cold target.
    pub service_time: u64,
    /// The latency objective, in milliseconds.
    pub goal: u64,
    /// The time between two sync exchanges of a VM with the manager, in milliseconds.
    pub sync_interval: u64,
}

impl Scenario {
    /// The fleet as a VM sees it that knows, or does not know, which targets are cold.
    fn view(&self, knows_cold: bool) -> Event {
        let targets: Vec<Target> = (0..self.targets).map(target).collect();
        let until = |number: usize| (format!("t{number}"), ms(DURATION_MS));
        Event::View(Rc::new(FleetView {
            targets: [("s".to_owned(), targets)].into(),
            vms: vm_names(self.vms),
            cold: (0..self.cold_targets)
                .filter(|_| knows_cold)
                .map(until)
                .collect(),
            warmups: [("s".to_owned(), WARMUP)].into(),
            ..FleetView::default()
        }))
    }

    /// Returns how many requests per second all targets can answer while they are warm.
    #[allow(clippy::cast_precision_loss, reason = "small figures")]
    pub fn capacity(&self) -> f64 {
        (self.targets * SLOTS) as f64 * 1000.0 / self.service_time as f64
    }
}

/// How the requests ended.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When requests arrived at each target, in milliseconds.
    pub arrivals: HashMap<String, Vec<u64>>,
    pub submitted: usize,
    /// Requests that were answered within their goal.
    pub in_time: usize,
    pub refused: usize,
    /// Requests whose connections a target with a full queue reset.
    pub reset: usize,
}

impl Outcome {
    /// Returns the most arrivals within one second at any of the first targets.
    pub fn max_arrivals_per_second(&self, targets: usize) -> usize {
        let windows = (0..targets).flat_map(|number| {
            let times = self.arrivals.get(&format!("t{number}"));
            let times = times.cloned().unwrap_or_default();
            let starts = times.clone();
            starts.into_iter().map(move |from| {
                let within = times.iter().filter(|at| (from..from + 1000).contains(*at));
                within.count()
            })
        });
        windows.max().unwrap_or(0)
    }

    /// Returns how many requests arrived at a target.
    pub fn arrivals_at(&self, number: usize) -> usize {
        self.arrivals.get(&format!("t{number}")).map_or(0, Vec::len)
    }
}

/// A request at a target; times are in milliseconds.
struct TargetRequest {
    /// When its response reaches the VM.
    ends_at: u64,
    vm: usize,
    target: String,
    sent: u64,
    received_at: u64,
    /// How many requests the dispatcher expected at the target when it sent this one.
    depth: f64,
    completion_kind: CompletionKind,
}

struct Simulation {
    scenario: Scenario,
    dispatchers: Vec<Dispatcher>,
    fleet_load: FleetLoad,
    /// When each of a target's slots becomes free, in milliseconds.
    slots_free_at: HashMap<String, [u64; SLOTS]>,
    at_targets: Vec<TargetRequest>,
    /// When each request was received, in milliseconds, by ticket.
    received_at: HashMap<u64, u64>,
    outcome: Outcome,
}

/// Simulates a load; the outcome covers all of it, the first second included.
pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let dispatchers = vm_names(scenario.vms)
        .into_iter()
        .zip(0..)
        .map(|(name, number)| {
            let mut dispatcher =
                Dispatcher::new("d1", ALLOWANCE, number).with_vm(&name, BURST_ALLOWANCE);
            dispatcher.handle(Duration::ZERO, scenario.view(scenario.all_know_cold == 0));
            dispatcher
        });
    let mut simulation = Simulation {
        scenario,
        dispatchers: dispatchers.collect(),
        fleet_load: FleetLoad::default(),
        slots_free_at: HashMap::new(),
        at_targets: Vec::new(),
        received_at: HashMap::new(),
        outcome: Outcome::default(),
    };
    let cold_known_at: Vec<u64> = (0..scenario.vms)
        .map(|_| random.random_range(0..=scenario.all_know_cold))
        .collect();
    let mut due = 0.0;
    let mut ticket = 0;
    for at in 0..DURATION_MS {
        for (vm, known_at) in cold_known_at.iter().enumerate() {
            simulation.run_vm(at, vm, *known_at);
        }
        simulation.complete_finished(at);
        due += scenario.request_rate / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            ticket += 1;
            simulation.submit(at, random.random_range(0..scenario.vms), ticket);
        }
    }
    simulation.outcome
}

impl Simulation {
    /// Runs what a VM does at this time: a sync exchange, a new fleet view, and a tick for its queue.
    fn run_vm(&mut self, at: u64, vm: usize, cold_known_at: u64) {
        if at % self.scenario.sync_interval == vm as u64 % self.scenario.sync_interval {
            let update = self.sync_with_manager(at, vm);
            self.handle(at, vm, Event::Sync(update));
        }
        if self.scenario.all_know_cold > 0 && cold_known_at == at {
            self.handle(at, vm, self.scenario.view(true));
        }
        if at.is_multiple_of(10) && self.dispatchers[vm].queue_len() > 0 {
            self.handle(at, vm, Event::Tick);
        }
    }

    /// Runs one sync exchange of a VM with the manager, and returns what the VM receives.
    fn sync_with_manager(&mut self, at: u64, vm: usize) -> SyncUpdate {
        let start = format!("vm-{vm}/1");
        let (now, interval) = (ms(at), ms(self.scenario.sync_interval));
        let state = self.dispatchers[vm].take_snapshot(now);
        let fleet_load = &mut self.fleet_load;
        fleet_load.update(now, &start, state.in_flight, state.queues, interval);
        let quotas = fleet_load.assign_quotas(now, &start).into_iter();
        SyncUpdate {
            others: fleet_load
                .in_flight_elsewhere(now, &start)
                .into_iter()
                .collect(),
            quotas: quotas.map(|quota| (quota.target, quota)).collect(),
            sync_interval: interval,
            ..SyncUpdate::default()
        }
    }

    /// Completes the requests that targets have finished by now.
    fn complete_finished(&mut self, at: u64) {
        let all = std::mem::take(&mut self.at_targets);
        let (finished, open): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.ends_at <= at);
        self.at_targets = open;
        for it in finished {
            let in_time = it.completion_kind != CompletionKind::Lost
                && at <= it.received_at + self.scenario.goal;
            self.outcome.in_time += usize::from(in_time);
            let result = Completion {
                kind: it.completion_kind,
                sent_at: ms(it.sent),
                depth: it.depth,
                load: None,
                ownership: None,
            };
            let target = it.target;
            self.handle(
                at,
                it.vm,
                Event::Completed {
                    target,
                    completion: result,
                },
            );
        }
    }

    fn submit(&mut self, at: u64, vm: usize, ticket: u64) {
        self.outcome.submitted += 1;
        self.received_at.insert(ticket, at);
        let request = DispatchRequest {
            ticket,
            service: "s".to_owned(),
            key: None,
            priority: 1,
            received_at: ms(at),
            goal: ms(at + self.scenario.goal),
            deadline: ms(at + self.scenario.goal * 3),
            tried: Vec::new(),
            misdirected: Vec::new(),
            large: false,
            charge: Charge::Request,
        };
        self.handle(at, vm, Event::Request(request));
    }

    fn handle(&mut self, at: u64, vm: usize, event: Event) {
        for effect in self.dispatchers[vm].handle(ms(at), event) {
            match effect {
                Effect::Send {
                    ticket,
                    target,
                    basis,
                } => self.arrive(at, vm, ticket, target.id, basis.depth),
                Effect::Refuse { .. } => self.outcome.refused += 1,
            }
        }
    }

    /// Lets a request arrive at a target, which queues it or resets its connection.
    fn arrive(&mut self, at: u64, vm: usize, ticket: u64, target: String, depth: f64) {
        let target_load = self
            .at_targets
            .iter()
            .filter(|it| it.target == target)
            .count();
        let number: usize = target[1..].parse().unwrap();
        let factor = if number < self.scenario.cold_targets {
            2
        } else {
            1
        };
        let slots = self.slots_free_at.entry(target.clone()).or_default();
        let slot = slots.iter_mut().min().unwrap();
        let (ends_at, completion_kind) = if target_load < SLOTS + TARGET_QUEUE {
            *slot = at.max(*slot) + self.scenario.service_time * factor;
            (*slot, CompletionKind::Answered(ms(*slot - at)))
        } else {
            self.outcome.reset += 1;
            (at + 1, CompletionKind::Lost)
        };
        let arrivals = self.outcome.arrivals.entry(target.clone()).or_default();
        arrivals.push(at);
        self.at_targets.push(TargetRequest {
            ends_at,
            vm,
            target,
            sent: at,
            received_at: self.received_at[&ticket],
            depth,
            completion_kind,
        });
    }
}
