//! The retry budget while ten VMs retry at once because every target refuses requests.

use std::{collections::VecDeque, ops::Range, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::Target,
    placement::{
        budget::{RetryAllowance, RetryBudget},
        dispatch::{
            Charge, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event,
            FleetView, SyncUpdate,
        },
    },
};

const VMS: usize = 10;
const TARGETS: u16 = 4;
const STEP_MS: u64 = 5;
/// The time between two requests of a VM.
const REQUEST_INTERVAL_MS: u64 = 125;
/// How long a target takes to answer a request.
const SERVICE_TIME_MS: u64 = 50;
/// How long a target takes to refuse a request.
const REFUSAL_TIME_MS: u64 = 5;
/// From when on all targets refuse requests.
const FAILURE_START_MS: u64 = 26_000;
const END_MS: u64 = 50_000;
const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(number: u16) -> Target {
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
fn completion(kind: CompletionKind, sent: u64) -> Completion {
    Completion {
        kind,
        sent_at: ms(sent),
        depth: 0.0,
        load: None,
        ownership: None,
    }
}

/// A fleet view that lists these VMs.
fn view(listed: Range<usize>) -> Event {
    Event::View(Rc::new(FleetView {
        targets: [("s".to_owned(), (0..TARGETS).map(target).collect())].into(),
        vms: listed.map(|it| format!("vm-{it}")).collect(),
        ..FleetView::default()
    }))
}

/// A request at a target; times are in milliseconds.
struct InFlight {
    completes_at: u64,
    sent: u64,
    request: DispatchRequest,
    target: String,
}

/// The state of one process of a VM, which is lost when the process restarts.
struct Process {
    dispatcher: Dispatcher,
    in_flight: VecDeque<InFlight>,
}

impl Process {
    fn start(now: u64, number: usize) -> Self {
        let seed = now + number as u64;
        let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, seed);
        dispatcher.handle(ms(now), view(0..VMS));
        Self {
            dispatcher,
            in_flight: VecDeque::new(),
        }
    }

    fn step(&mut self, now: u64, outcome: &mut Outcome) {
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
    fn complete(&mut self, now: u64, it: InFlight, outcome: &mut Outcome) {
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

    fn submit(&mut self, now: u64, ticket: u64, outcome: &mut Outcome) {
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
            large: false,
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

    fn handle(
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
struct Outcome {
    requested_at: Vec<u64>,
    retried_at: Vec<u64>,
}

/// Returns how many of the sorted times lie in a span.
fn count_within(times: &[u64], span: &Range<u64>) -> f64 {
    let before = |at| times.partition_point(|it| *it < at);
    let count = before(span.end) - before(span.start);
    f64::from(u32::try_from(count).unwrap())
}

impl Outcome {
    /// Asserts that no window has more retries than all VMs together may send.
    ///
    /// The limit follows from the most requests in that window, the one half a window earlier and the one before it.
    fn assert_within_budget(&self) {
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
fn simulate(starts: &[(u64, Range<usize>)], lists: &[(u64, Range<usize>)]) -> Outcome {
    simulate_callers(starts, lists, REQUEST_INTERVAL_MS, |_, _| true)
}

/// Simulates such a run; `sends` tells at a time whether the callers of a VM send requests, at this interval.
fn simulate_callers<F>(
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

/// Guards against a restart that gives each VM its whole part of the budget again: after all processes were killed, the
/// service got up to half more retries than allowed.
#[test]
fn restarted_processes_keep_to_the_budget() {
    let starts = [(31_000, 0..VMS), (36_000, 0..VMS), (37_000, 0..VMS)];
    simulate(&starts, &[]).assert_within_budget();
}

/// Once a process has run for a whole window, it knows all retries of its VM in that window.
#[test]
fn a_process_has_its_whole_part_of_the_budget_after_a_window() {
    let outcome = simulate(&[(15_000, 0..VMS)], &[]);
    let window = FAILURE_START_MS..FAILURE_START_MS + 10_000;
    let retries = count_within(&outcome.retried_at, &window);
    let requests = count_within(&outcome.requested_at, &window);
    let limit = requests.mul_add(ALLOWANCE.ratio, ALLOWANCE.slack);
    assert!(retries >= 0.7 * limit, "{retries} of {limit} retries");
    outcome.assert_within_budget();
}

/// Guards against VMs that each use the whole slack: the VMs' entries expired while the store was unavailable, and
/// until all VMs had written theirs again, each divided the slack among too few VMs.
#[test]
fn vms_keep_to_their_parts_of_the_budget_when_entries_expire() {
    for listed in [0, 1, 3] {
        let lists = [(27_000, 0..listed), (29_000, 0..VMS)];
        simulate(&[], &lists).assert_within_budget();
    }
}

/// Guards against dropping a slice of the window too early: retries at its end no longer counted up to a second before
/// they had left the window.
#[test]
fn a_retry_counts_until_it_has_left_the_window() {
    let mut budget = RetryBudget::new(ms(0));
    let mut outcome = Outcome::default();
    for now in (19_950..40_000).step_by(50) {
        while budget.spend(ms(now), ALLOWANCE, 1).allows_retry() {
            outcome.retried_at.push(now);
        }
    }
    outcome.assert_within_budget();
}

/// Guards against allowing retries for the same callers first at the VMs that they leave, then at those they go to.
#[test]
fn callers_that_move_to_other_vms_allow_no_more_retries() {
    for moved_at in (FAILURE_START_MS..FAILURE_START_MS + 8000).step_by(1000) {
        let sends = |now, number| (now < moved_at) == (number % 2 == 0);
        simulate_callers(&[], &[], 25, sends).assert_within_budget();
    }
}

/// Guards against saving what requests have earned until a window in which hardly any come.
#[test]
fn requests_in_pulses_allow_no_more_retries() {
    for period in (2000..20_000).step_by(1500) {
        let sends = |now, _| now % period < period / 4;
        simulate_callers(&[], &[], 25, sends).assert_within_budget();
    }
}

/// Guards against counting a request again whenever nothing of it could be sent.
#[test]
fn requests_that_could_not_be_sent_allow_no_more_retries() {
    let mut process = Process::start(0, 0);
    let mut outcome = Outcome::default();
    let now = FAILURE_START_MS;
    for ticket in 0..400 {
        process.submit(now, ticket, &mut outcome);
        for _ in 0..4 {
            let unsent = process.in_flight.pop_back().unwrap();
            let target = unsent.target.clone();
            let completion = completion(CompletionKind::Abandoned(Duration::ZERO), now);
            let event = Event::Completed { target, completion };
            process.handle(now, event, None, &mut outcome);
            let again = DispatchRequest {
                charge: Charge::Nothing,
                ..unsent.request
            };
            let event = Event::Request(again.clone());
            process.handle(now, event, Some(&again), &mut outcome);
        }
        let refused = process.in_flight.pop_back().unwrap();
        process.complete(now, refused, &mut outcome);
        process.in_flight.clear();
    }
    outcome.assert_within_budget();
}

/// Guards against dividing the slack among the VMs that the store hears, while the others go on serving.
#[test]
fn vms_that_the_store_does_not_hear_share_the_slack() {
    for listed in [0, 1, 3, 5] {
        let lists = [(5000, 0..listed)];
        simulate_callers(&[], &lists, 1000, |_, _| true).assert_within_budget();
    }
}

/// Sends retries with one VM's dispatcher after an exchange with the manager; returns how many were allowed.
fn count_retries(now: Duration, exchanged_at: Duration, sync: SyncUpdate) -> usize {
    let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, 1);
    dispatcher.handle(Duration::ZERO, view(0..2));
    dispatcher.handle(exchanged_at, Event::Sync(sync));
    let retry = |ticket| DispatchRequest {
        ticket,
        service: "s".to_owned(),
        key: None,
        priority: 1,
        received_at: now,
        goal: now + ms(600),
        deadline: now + ms(1500),
        tried: Vec::new(),
        misdirected: Vec::new(),
        large: false,
        charge: Charge::Retry,
    };
    let effects = (0..60).flat_map(|ticket| dispatcher.handle(now, Event::Request(retry(ticket))));
    let sent = effects.filter(|it| matches!(it, Effect::Send { .. }));
    sent.count()
}

/// A process that starts while the store doesn't hear some VMs learns of them from the manager.
#[test]
fn vms_that_only_the_manager_knows_share_the_slack() {
    let now = Duration::from_secs(20);
    let told = |vms_sharing| SyncUpdate {
        vms_sharing,
        ..SyncUpdate::default()
    };
    let exchanging = SyncUpdate {
        exchanging: vec!["vm-8".to_owned(), "vm-9".to_owned()],
        ..SyncUpdate::default()
    };
    assert_eq!(count_retries(now, now, told(0)), 24);
    assert_eq!(count_retries(now, now, told(10)), 4);
    assert_eq!(count_retries(now, now, exchanging), 12);
}

/// A VM that no manager has heard for minutes may not be counted by the others any more.
#[test]
fn a_vm_that_is_cut_off_for_minutes_uses_no_slack() {
    let exchanged_at = Duration::from_secs(20);
    let retries = |minutes| {
        let now = exchanged_at + Duration::from_mins(minutes);
        count_retries(now, exchanged_at, SyncUpdate::default())
    };
    assert_eq!(retries(4), 24);
    assert_eq!(retries(5), 0);
}
