//! The budget for repeats, drawn on by ten VMs at once while every target turns requests away.

use std::{collections::VecDeque, ops::Range, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::Target,
    placement::{
        budget::{Allowance, RetryBudget},
        dispatch::{
            Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, FleetView,
        },
    },
};

const VMS: usize = 10;
const TARGETS: u16 = 4;
const STEP: u64 = 5;
/// The time between two requests of a VM.
const PAUSE: u64 = 125;
/// How long a target takes to answer, and to turn a request away.
const WORK: u64 = 50;
const REFUSAL: u64 = 5;
/// From when on all targets turn requests away.
const FAILING: u64 = 26_000;
const END: u64 = 50_000;
const ALLOWANCE: Allowance = Allowance {
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

fn view(listed: Range<usize>) -> Event {
    Event::View(Rc::new(FleetView {
        targets: [("s".to_owned(), (0..TARGETS).map(target).collect())].into(),
        vms: listed.map(|it| format!("vm-{it}")).collect(),
        ..FleetView::default()
    }))
}

/// A request that is to end, at its target and in time.
struct Under {
    due: u64,
    sent: u64,
    ask: DispatchRequest,
    target: String,
}

/// What a process of a VM knows: nothing of it outlasts the process.
struct Process {
    dispatcher: Dispatcher,
    under: VecDeque<Under>,
}

impl Process {
    fn start(now: u64, number: usize) -> Self {
        let seed = now + number as u64;
        let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, seed);
        dispatcher.handle(ms(now), view(0..VMS));
        Self {
            dispatcher,
            under: VecDeque::new(),
        }
    }

    fn step(&mut self, now: u64, seen: &mut Seen) {
        while self.under.front().is_some_and(|it| it.due <= now) {
            let it = self.under.pop_front().unwrap();
            self.end(now, it, seen);
        }
        self.tell(now, Event::Tick, None, seen);
    }

    fn end(&mut self, now: u64, it: Under, seen: &mut Seen) {
        let failing = it.sent >= FAILING;
        let ended = if failing {
            CompletionKind::Refused
        } else {
            CompletionKind::Answered(ms(WORK))
        };
        let end = Completion {
            kind: ended,
            sent: ms(it.sent),
            depth: 0.0,
            load: None,
            ownership: None,
        };
        let target = it.target.clone();
        self.tell(
            now,
            Event::Completed {
                target,
                completion: end,
            },
            None,
            seen,
        );
        if failing && !it.ask.is_retry {
            let again = DispatchRequest {
                tried: vec![it.target],
                is_retry: true,
                ..it.ask
            };
            self.tell(now, Event::Request(again.clone()), Some(&again), seen);
        }
    }

    fn request(&mut self, now: u64, ticket: u64, seen: &mut Seen) {
        let ask = DispatchRequest {
            ticket,
            service: "s".to_owned(),
            point: None,
            priority: 1,
            received_at: ms(now),
            goal: ms(now + 600),
            deadline: ms(now + 1500),
            tried: Vec::new(),
            misdirected: Vec::new(),
            large: false,
            is_retry: false,
        };
        seen.requests.push(now);
        self.tell(now, Event::Request(ask.clone()), Some(&ask), seen);
    }

    fn tell(&mut self, now: u64, event: Event, ask: Option<&DispatchRequest>, seen: &mut Seen) {
        for effect in self.dispatcher.handle(ms(now), event) {
            let Effect::Send { target, .. } = effect else {
                continue;
            };
            let ask = ask.expect("targets have room, so nothing waits");
            if ask.is_retry {
                seen.repeats.push(now);
            }
            let takes = if now >= FAILING { REFUSAL } else { WORK };
            self.under.push_back(Under {
                due: now + takes,
                sent: now,
                ask: ask.clone(),
                target: target.id,
            });
        }
    }
}

/// When callers sent requests, and when one reached a second target.
#[derive(Default)]
struct Seen {
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

fn within(times: &[u64], span: &Range<u64>) -> f64 {
    let before = |at| times.partition_point(|it| *it < at);
    let count = before(span.end) - before(span.start);
    f64::from(u32::try_from(count).unwrap())
}

impl Seen {
    /// Asserts that no window has more repeats than all VMs together may send.
    fn assert_within_budget(&self) {
        let window = u64::try_from(ALLOWANCE.window.as_millis()).unwrap();
        for from in &self.repeats {
            let repeats = within(&self.repeats, &(*from..from + window));
            let shifts = [0, window / 2, window];
            let requests =
                shifts.map(|it| within(&self.requests, &(from - it..from + window - it)));
            let requests = requests.into_iter().fold(0.0, f64::max);
            let most = requests.mul_add(ALLOWANCE.ratio, ALLOWANCE.slack);
            assert!(
                repeats <= most,
                "{repeats} repeats in the 10 s from {from} ms on, {most:.0} allowed for {requests} requests"
            );
        }
    }
}

/// Plays a day on which processes start again at `starts`, and VMs hear at `lists` which VMs are listed.
fn play(starts: &[(u64, Range<usize>)], lists: &[(u64, Range<usize>)]) -> Seen {
    let mut vms: Vec<Process> = (0..VMS).map(|it| Process::start(0, it)).collect();
    let mut seen = Seen::default();
    let mut ticket = 0;
    for now in (0..END).step_by(usize::try_from(STEP).unwrap()) {
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
        for vm in &mut vms {
            vm.step(now, &mut seen);
            if now % PAUSE == 0 {
                ticket += 1;
                vm.request(now, ticket, &mut seen);
            }
        }
    }
    seen
}

/// After all processes were killed each VM had its part of the budget anew, and the service got up to half more
/// than it may.
#[test]
fn processes_that_start_again_do_not_repeat_as_if_nothing_had_been_repeated() {
    let starts = [(31_000, 0..VMS), (36_000, 0..VMS), (37_000, 0..VMS)];
    play(&starts, &[]).assert_within_budget();
}

/// Once a process has lived for a window, it knows all that its VM has repeated.
#[test]
fn a_process_has_its_whole_part_of_the_budget_after_a_window() {
    let seen = play(&[(15_000, 0..VMS)], &[]);
    let window = FAILING..FAILING + 10_000;
    let used = within(&seen.repeats, &window);
    let requests = within(&seen.requests, &window);
    let most = requests.mul_add(ALLOWANCE.ratio, ALLOWANCE.slack);
    assert!(used >= 0.7 * most, "{used} of {most}");
    seen.assert_within_budget();
}

/// While the store was away the VMs' entries lapsed, and until all had written them again each VM counted on all of
/// the slack.
#[test]
fn vms_whose_entries_lapse_keep_to_their_parts_of_the_budget() {
    for least in [0, 1, 3] {
        let lists = [(27_000, 0..least), (29_000, 0..VMS)];
        play(&[], &lists).assert_within_budget();
    }
}

/// Repeats of the end of a slice were forgotten up to a second before they had left the window.
#[test]
fn a_repeat_counts_until_it_has_left_the_window() {
    let mut budget = RetryBudget::new(ms(0));
    let mut seen = Seen::default();
    for now in (19_950..40_000).step_by(50) {
        while budget.spend(ms(now), ALLOWANCE, 1).allows_retry() {
            seen.repeats.push(now);
        }
    }
    seen.assert_within_budget();
}
