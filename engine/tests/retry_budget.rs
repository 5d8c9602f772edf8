//! The retry budget while ten VMs retry at once because every target refuses requests.

mod retry_simulation;

use std::time::Duration;

use bramleypier_engine::placement::{
    budget::RetryBudget,
    dispatch::{Charge, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, SyncUpdate},
};

use crate::retry_simulation::{
    ALLOWANCE, FAILURE_START_MS, Outcome, Process, VMS, completion, count_within, ms, simulate,
    simulate_callers, view,
};

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
fn vms_unheard_by_the_store_share_the_slack() {
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
        local_until: None,
        late_until: None,
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
