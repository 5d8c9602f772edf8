//! Simulates many VMs and the targets of one service, with or without keys.
//!
//! The dispatchers and the manager's state of the fleet are the real ones. Targets have slots and a queue, and each
//! VM has a sync exchange with the manager at a fixed interval.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{Target, Warmup},
    owner::record::{Incarnation, KeyRange, Record},
    peer::FleetLoad,
    placement::{
        budget::RetryAllowance,
        dispatch::{
            Charge, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event,
            FleetView, SyncUpdate,
        },
        warmup::BurstAllowance,
    },
    target::LoadReport,
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
/// How many requests a target runs at a time by default.
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

fn target(number: usize, slots: usize) -> Target {
    Target {
        id: format!("t{number}"),
        start_time: 1,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 9000 + u16::try_from(number).unwrap()).into(),
        domain: "d1".to_owned(),
        slots,
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
    /// How many requests a target runs at a time.
    pub slots: usize,
    /// Whether only one target, the owner of its key, can serve a request.
    pub keyed: bool,
    /// Whether arrivals and work vary; otherwise both are even.
    pub skewed: bool,
    /// The route's timeout and the callers', in milliseconds, if late responses are worth a slot.
    pub late: Option<Timeouts>,
    /// When the overload ends, in milliseconds; from then on half of the capacity is asked for.
    pub calm_from: u64,
    /// How many of the VMs, the last ones, have no exchange with the manager.
    pub cut_off: usize,
}

/// How long a route and its callers wait, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    pub route: u64,
    pub caller: u64,
}

/// A service without keys that refuses what would be late.
pub const DEFAULTS: Scenario = Scenario {
    vms: 8,
    targets: 40,
    cold_targets: 0,
    all_know_cold: 0,
    request_rate: 0.0,
    service_time: 70,
    goal: 500,
    sync_interval: 40,
    slots: SLOTS,
    keyed: false,
    skewed: false,
    late: None,
    calm_from: u64::MAX,
    cut_off: 0,
};

impl Scenario {
    /// The fleet as a VM sees it that knows, or does not know, which targets are cold.
    fn view(&self, knows_cold: bool) -> Event {
        let targets: Vec<Target> = (0..self.targets).map(|it| target(it, self.slots)).collect();
        let record = self
            .keyed
            .then(|| ("s".to_owned(), Rc::new(record(&targets))));
        let until = |number: usize| (format!("t{number}"), ms(DURATION_MS));
        Event::View(Rc::new(FleetView {
            targets: [("s".to_owned(), targets)].into(),
            records: record.into_iter().collect(),
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
        (self.targets * self.slots) as f64 * 1000.0 / self.service_time as f64
    }
}

/// How the requests ended.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When requests arrived at each target, in milliseconds.
    pub arrivals: HashMap<String, Vec<u64>>,
    pub submitted: usize,
    /// Requests that were answered within their goal, counted from their callers' first attempts.
    pub in_time: usize,
    /// Requests that were answered later, before their callers stopped waiting.
    pub late: usize,
    /// Refused attempts.
    pub refused: usize,
    /// Requests that were never answered, by the time of their first attempt in milliseconds.
    pub unserved: Vec<u64>,
    /// How long refused attempts had waited, in milliseconds.
    pub refused_after: Vec<u64>,
    /// How long requests were queued for targets that had a free slot as far as their VM knew, in milliseconds.
    pub idle_wait: u128,
    /// How long requests were queued at VMs while the owner of their key had a free slot, in milliseconds.
    pub idle: u64,
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
    ticket: u64,
    /// How many requests the dispatcher expected at the target when it sent this one.
    depth: f64,
    completion_kind: CompletionKind,
}

/// An attempt of a caller; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    key: u64,
    /// When the caller's first attempt was received.
    first_at: u64,
    received_at: u64,
    number: u32,
}

struct Simulation {
    scenario: Scenario,
    dispatchers: Vec<Dispatcher>,
    fleet_load: FleetLoad,
    /// When each of a target's slots becomes free, in milliseconds.
    slots_free_at: HashMap<String, Vec<u64>>,
    at_targets: Vec<TargetRequest>,
    /// The attempts by ticket.
    attempts: HashMap<u64, Attempt>,
    last_ticket: u64,
    /// The keys of attempts that are queued at VMs, by ticket.
    queued: HashMap<u64, u64>,
    /// How many requests each target has.
    in_flight: HashMap<String, usize>,
    /// Attempts that follow refusals, each with its time in milliseconds.
    retries: Vec<(u64, Attempt)>,
    random: SmallRng,
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
        attempts: HashMap::new(),
        last_ticket: 0,
        queued: HashMap::new(),
        in_flight: HashMap::new(),
        retries: Vec::new(),
        random: SmallRng::seed_from_u64(seed + 1),
        outcome: Outcome::default(),
    };
    let cold_known_at: Vec<u64> = (0..scenario.vms)
        .map(|_| random.random_range(0..=scenario.all_know_cold))
        .collect();
    let mut due = 0.0;
    for at in 0..DURATION_MS {
        for (vm, known_at) in cold_known_at.iter().enumerate() {
            simulation.run_vm(at, vm, *known_at);
        }
        simulation.complete_finished(at);
        simulation.count_idle();
        simulation.retry(at);
        let rate = if at < scenario.calm_from {
            scenario.request_rate
        } else {
            scenario.capacity() * 0.5
        };
        due += rate / 1000.0;
        while due >= 1.0 {
            due -= if scenario.skewed {
                -random.random_range(f64::EPSILON..1.0).ln()
            } else {
                1.0
            };
            let attempt = Attempt {
                key: simulation.random.random_range(0..scenario.targets as u64),
                first_at: at,
                received_at: at,
                number: 1,
            };
            simulation.outcome.submitted += 1;
            let vm = random.random_range(0..scenario.vms);
            simulation.submit(at, vm, attempt);
        }
    }
    simulation.outcome
}

impl Simulation {
    /// Runs what a VM does at this time: a sync exchange, a new fleet view, and a tick for its queue.
    fn run_vm(&mut self, at: u64, vm: usize, cold_known_at: u64) {
        let connected = vm + self.scenario.cut_off < self.scenario.vms;
        if connected && at % self.scenario.sync_interval == vm as u64 % self.scenario.sync_interval
        {
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
        fleet_load.record_service_times(now, &state.service_times);
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
            *self.in_flight.get_mut(&it.target).unwrap() -= 1;
            self.count_end(at, &it);
            let key = self.attempts[&it.ticket].key;
            let result = Completion {
                kind: it.completion_kind,
                sent_at: ms(it.sent),
                depth: it.depth,
                load: (self.scenario.cut_off > 0).then(|| self.load(&it.target)),
                ownership: self.scenario.keyed.then_some((key, 5)),
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

    /// Counts the requests that are queued for owners with free slots, once a millisecond.
    fn count_idle(&mut self) {
        if self.scenario.keyed {
            let in_flight = |key| self.in_flight.get(&format!("t{key}")).copied().unwrap_or(0);
            let idle = self
                .queued
                .values()
                .filter(|key| in_flight(**key) < self.scenario.slots);
            self.outcome.idle += idle.count() as u64;
        }
    }

    /// Returns the load that a target reports in its responses.
    fn load(&self, target: &str) -> LoadReport {
        let all = self.in_flight.get(target).copied().unwrap_or(0);
        let running = all.min(self.scenario.slots);
        LoadReport {
            running: u32::try_from(running).unwrap(),
            waiting: u32::try_from(all - running).unwrap(),
        }
    }

    /// Counts how a request that reached a target ended.
    fn count_end(&mut self, at: u64, request: &TargetRequest) {
        let first_at = self.attempts[&request.ticket].first_at;
        let patience = self.scenario.late.map_or(u64::MAX / 2, |it| it.caller);
        if request.completion_kind == CompletionKind::Lost || at > first_at + patience {
            self.outcome.unserved.push(first_at);
        } else if at <= first_at + self.scenario.goal {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    /// Counts a refused attempt, and lets its caller retry as callers do: twice at most, after the given time if that is
    /// no more than a third of what is left.
    fn refuse(&mut self, at: u64, ticket: u64, retry_after: Duration) {
        let attempt = self.attempts[&ticket];
        self.queued.remove(&ticket);
        self.outcome.refused += 1;
        self.outcome.refused_after.push(at - attempt.received_at);
        let left = self
            .scenario
            .late
            .map(|it| (attempt.first_at + it.caller).saturating_sub(at));
        let wait = u64::try_from(retry_after.as_millis()).unwrap();
        if attempt.number < 3 && left.is_some_and(|left| wait <= left / 3) {
            let number = attempt.number + 1;
            self.retries
                .push((at + wait, Attempt { number, ..attempt }));
        } else {
            self.outcome.unserved.push(attempt.first_at);
        }
    }

    /// Submits the attempts that are due, each at a random VM.
    fn retry(&mut self, at: u64) {
        let retries = std::mem::take(&mut self.retries);
        let (due, rest) = retries.into_iter().partition(|(due, _)| *due <= at);
        self.retries = rest;
        for (_, attempt) in due {
            let vm = self.random.random_range(0..self.scenario.vms);
            let received_at = at;
            self.submit(
                at,
                vm,
                Attempt {
                    received_at,
                    ..attempt
                },
            );
        }
    }

    fn submit(&mut self, at: u64, vm: usize, attempt: Attempt) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.attempts.insert(ticket, attempt);
        self.queued.insert(ticket, attempt.key);
        let late_until = self.scenario.late.map(|it| attempt.first_at + it.caller);
        let timeout = self
            .scenario
            .late
            .map_or(self.scenario.goal * 3, |it| it.route);
        let deadline = late_until.map_or(at + timeout, |until| until.min(at + timeout));
        let request = DispatchRequest {
            ticket,
            service: "s".to_owned(),
            key: self.scenario.keyed.then_some(attempt.key),
            priority: 1,
            received_at: ms(at),
            goal: ms(attempt.first_at + self.scenario.goal),
            deadline: ms(deadline),
            tried: Vec::new(),
            misdirected: Vec::new(),
            local_until: None,
            late_until: late_until.map(ms),
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
                } => {
                    self.outcome.idle_wait += basis.idle_wait.as_millis();
                    self.arrive(at, vm, ticket, target.id, basis.depth);
                }
                Effect::Refuse {
                    ticket,
                    retry_after,
                    basis,
                    ..
                } => {
                    self.outcome.idle_wait += basis.idle_wait.as_millis();
                    self.refuse(at, ticket, retry_after);
                }
            }
        }
    }

    /// Lets a request arrive at a target, which queues it or resets its connection.
    fn arrive(&mut self, at: u64, vm: usize, ticket: u64, target: String, depth: f64) {
        self.queued.remove(&ticket);
        let in_flight = self.in_flight.entry(target.clone()).or_default();
        let target_load = *in_flight;
        *in_flight += 1;
        let number: usize = target[1..].parse().unwrap();
        let factor = if number < self.scenario.cold_targets {
            2
        } else {
            1
        };
        let work = self.work() * factor;
        let slots = self.scenario.slots;
        let free_at = self.slots_free_at.entry(target.clone());
        let free_at = free_at.or_insert_with(|| vec![0; slots]);
        let slot = free_at.iter_mut().min().unwrap();
        let (ends_at, completion_kind) = if target_load < slots + TARGET_QUEUE {
            *slot = at.max(*slot) + work;
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
            ticket,
            depth,
            completion_kind,
        });
    }
    /// Returns the work of a request, in milliseconds: one in thirty takes seven times as long.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small figures"
    )]
    fn work(&mut self) -> u64 {
        let mean = self.scenario.service_time;
        if !self.scenario.skewed {
            return mean;
        }
        // The sum of twelve uniform numbers is nearly normal.
        let normal = (0..12)
            .map(|_| self.random.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        let long = if self.random.random_ratio(1, 30) {
            7.0
        } else {
            1.0
        };
        let factor = (normal * WORK_SPREAD - WORK_SPREAD * WORK_SPREAD / 2.0).exp() * long;
        // Of long requests the mean is 1.2 times as high.
        (mean as f64 * factor / 1.2).max(1.0) as u64
    }
}

/// The standard deviation of the logarithm of a request's work.
const WORK_SPREAD: f64 = 0.8;

/// A record in which each target owns the key that has its number.
fn record(targets: &[Target]) -> Record {
    let mut record = Record::unowned(targets.len() as u64 - 1);
    let ranges = targets.iter().zip(0..).map(|(target, key)| KeyRange {
        from: key,
        to: key,
        fence: 5,
        owner: Some(Incarnation::of(target)),
    });
    record.ranges = ranges.collect();
    record
}
