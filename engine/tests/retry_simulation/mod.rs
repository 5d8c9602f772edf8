//! Ten VMs that retry at once because every target refuses requests, and whether they keep to the retry budget.

use std::{collections::VecDeque, ops::Range, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::Target,
    placement::{
        budget::RetryAllowance,
        dispatch::{
            Charge, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event,
            FleetView,
        },
    },
};

pub const VMS: usize = 10;
pub const TARGETS: u16 = 4;
pub const STEP_MS: u64 = 5;
/// The time between two requests of a VM.
pub const REQUEST_INTERVAL_MS: u64 = 125;
/// How long a target takes to answer a request.
pub const SERVICE_TIME_MS: u64 = 50;
/// How long a target takes to refuse a request.
pub const REFUSAL_TIME_MS: u64 = 5;
/// From when on all targets refuse requests.
pub const FAILURE_START_MS: u64 = 26_000;
pub const END_MS: u64 = 50_000;
pub const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn target(number: u16) -> Target {
    Target {
        id: format!("t{number}"),
        start_time: 1,
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
        domain: "d1".to_owned(),
        slots: 64,
        leaving: false,
        cold: Duration::ZERO,
    }
}

/// The end of a request that was sent at a time.
pub fn completion(kind: CompletionKind, sent: u64) -> Completion {
    Completion {
        kind,
        sent_at: ms(sent),
        depth: 0.0,
        load: None,
        ownership: None,
    }
}

/// A fleet view that lists these VMs.
pub fn view(listed: Range<usize>) -> Event {
    Event::View(Rc::new(FleetView {
        targets: [("s".to_owned(), (0..TARGETS).map(target).collect())].into(),
        vms: listed.map(|it| format!("vm-{it}")).collect(),
        ..FleetView::default()
    }))
}

/// A request at a target; times are in milliseconds.
pub struct InFlight {
    pub completes_at: u64,
    pub sent: u64,
    pub request: DispatchRequest,
    pub target: String,
}

/// The state of one process of a VM, which is lost when the process restarts.
pub struct Process {
    pub dispatcher: Dispatcher,
    pub in_flight: VecDeque<InFlight>,
}

impl Process {
    pub fn start(now: u64, number: usize) -> Self {
        let seed = now + number as u64;
        let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, seed);
        dispatcher.handle(ms(now), view(0..VMS));
        Self {
            dispatcher,
            in_flight: VecDeque::new(),
        }
    }

    pub fn step(&mut self, now: u64, outcome: &mut Outcome) {
        while self
            .in_flight
            .front()
            .is_some_and(|it| it.completes_at <= now)
        {
            let it = self.in_flight.pop_front().unwrap();
            self.complete(now, it, outcome);
        }
        self.handle(now, Event::Tick, None, outcome);
    }

    /// Completes a request, and retries it if the target has refused its first attempt.
    pub fn complete(&mut self, now: u64, it: InFlight, outcome: &mut Outcome) {
        let is_refused = it.sent >= FAILURE_START_MS;
        let completion_kind = if is_refused {
            CompletionKind::Refused
        } else {
            CompletionKind::Answered(ms(SERVICE_TIME_MS))
        };
        let result = completion(completion_kind, it.sent);
        let target = it.target.clone();
        self.handle(
            now,
            Event::Completed {
                target,
                completion: result,
            },
            None,
            outcome,
        );
        if is_refused && it.request.charge == Charge::Request {
            let retry = DispatchRequest {
                tried: vec![it.target],
                charge: Charge::Retry,
                ..it.request
            };
            self.handle(now, Event::Request(retry.clone()), Some(&retry), outcome);
        }
    }

    pub fn submit(&mut self, now: u64, ticket: u64, outcome: &mut Outcome) {
        let request = DispatchRequest {
            ticket,
            service: "s".to_owned(),
            key: None,
            priority: 1,
            received_at: ms(now),
            goal: ms(now + 600),
            deadline: ms(now + 1500),
            tried: Vec::new(),
            misdirected: Vec::new(),
            local_until: None,
            late_until: None,
            charge: Charge::Request,
        };
        outcome.requested_at.push(now);
        self.handle(
            now,
            Event::Request(request.clone()),
            Some(&request),
            outcome,
        );
    }

    pub fn handle(
        &mut self,
        now: u64,
        event: Event,
        request: Option<&DispatchRequest>,
        outcome: &mut Outcome,
    ) {
        for effect in self.dispatcher.handle(ms(now), event) {
            let Effect::Send { target, .. } = effect else {
                continue;
            };
            let request = request.expect("targets have free slots, so no request is queued");
            if request.charge == Charge::Retry {
                outcome.retried_at.push(now);
            }
            let duration = if now >= FAILURE_START_MS {
                REFUSAL_TIME_MS
            } else {
                SERVICE_TIME_MS
            };
            self.in_flight.push_back(InFlight {
                completes_at: now + duration,
                sent: now,
                request: request.clone(),
                target: target.id,
            });
        }
    }
}

/// When callers sent requests and when VMs retried them, in milliseconds.
#[derive(Default)]
pub struct Outcome {
    pub requested_at: Vec<u64>,
    pub retried_at: Vec<u64>,
}

/// Returns how many of the sorted times lie in a span.
pub fn count_within(times: &[u64], span: &Range<u64>) -> f64 {
    let before = |at| times.partition_point(|it| *it < at);
    let count = before(span.end) - before(span.start);
    f64::from(u32::try_from(count).unwrap())
}

impl Outcome {
    /// Asserts that no window has more retries than all VMs together may send.
    ///
    /// The limit follows from the most requests in that window, the one half a window earlier and the one before it.
    pub fn assert_within_budget(&self) {
        let window = u64::try_from(ALLOWANCE.window.as_millis()).unwrap();
        for from in &self.retried_at {
            let retries = count_within(&self.retried_at, &(*from..from + window));
            let shifts = [0, window / 2, window];
            let requests =
                shifts.map(|it| count_within(&self.requested_at, &(from - it..from + window - it)));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let limit = requests.mul_add(ALLOWANCE.ratio, ALLOWANCE.slack);
            assert!(
                retries <= limit,
                "{retries} retries in the 10 s from {from} ms on, {limit:.0} allowed for {requests} requests"
            );
        }
    }
}

/// Simulates a run in which processes restart at `starts`, and VMs receive at `lists` which VMs are listed.
pub fn simulate(starts: &[(u64, Range<usize>)], lists: &[(u64, Range<usize>)]) -> Outcome {
    simulate_callers(starts, lists, REQUEST_INTERVAL_MS, |_, _| true)
}

/// Simulates such a run; `sends` tells at a time whether the callers of a VM send requests, at this interval.
pub fn simulate_callers<F>(
    starts: &[(u64, Range<usize>)],
    lists: &[(u64, Range<usize>)],
    interval: u64,
    sends: F,
) -> Outcome
where
    F: Fn(u64, usize) -> bool,
{
    let mut vms: Vec<Process> = (0..VMS).map(|it| Process::start(0, it)).collect();
    let mut outcome = Outcome::default();
    let mut ticket = 0;
    for now in (0..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        for (_, started) in starts.iter().filter(|it| it.0 == now) {
            for number in started.clone() {
                vms[number] = Process::start(now, number);
            }
        }
        for (_, listed) in lists.iter().filter(|it| it.0 == now) {
            for vm in &mut vms {
                vm.dispatcher.handle(ms(now), view(listed.clone()));
            }
        }
        for (number, vm) in vms.iter_mut().enumerate() {
            vm.step(now, &mut outcome);
            if now % interval == 0 && sends(now, number) {
                ticket += 1;
                vm.submit(now, ticket, &mut outcome);
            }
        }
    }
    outcome
}
