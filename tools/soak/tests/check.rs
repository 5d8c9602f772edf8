//! The checks of the soak: each violation is reported, and observations without one pass.

use std::time::Duration;

use bramleypier_soak::check::{
    self, InForce, Observations, Outcome, PartitionOutcome, RequestRecord, Tally, Violation,
};

fn request(id: &str, once: bool, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: id.to_owned(),
        once,
        service: "plain",
        vm: 0,
        sent: Duration::ZERO,
        ended: None,
        leaving: false,
        outcome,
    }
}

fn answered(status: u16, valid: bool) -> Outcome {
    Outcome::Answered { status, valid }
}

/// Observations without a violation: a served order, a served lookup that was retried, a refused order, and one whose
/// outcome is unknown to its caller.
fn no_violation() -> Observations {
    Observations {
        requests: vec![
            request("order", true, answered(200, true)),
            request("look", false, answered(200, true)),
            request("refused", true, answered(503, false)),
            request("in-doubt", true, answered(502, false)),
        ],
        executions: [
            ("order".to_owned(), 1),
            ("look".to_owned(), 3),
            ("in-doubt".to_owned(), 1),
        ]
        .into(),
        recovery_time: Some(Duration::from_secs(1)),
        peak_memory: vec![30 << 20],
        in_force: vec![in_force(0, 1, 1), in_force(0, 1, 2), in_force(0, 2, 2)],
        newest_version: 2,
        ..Observations::default()
    }
}

fn in_force(vm: usize, start: usize, version: u32) -> InForce {
    InForce {
        vm,
        start,
        version,
        took: Some(Duration::from_millis(200)),
    }
}

#[test]
fn a_run_without_violations_passes() {
    assert_eq!(check::violations(&no_violation()), []);
}

#[test]
fn each_violation_is_reported() {
    type Change = fn(&mut Observations);
    let cases: Vec<(Change, Violation)> = vec![
        (
            |it| {
                it.executions.insert("order".to_owned(), 2);
            },
            Violation::RanTwice("order".to_owned()),
        ),
        (
            |it| {
                it.executions.insert("refused".to_owned(), 1);
            },
            Violation::FalseRefusal("refused".to_owned()),
        ),
        (
            |it| it.requests[1].outcome = answered(200, false),
            Violation::WrongResponse("look".to_owned()),
        ),
        (
            |it| {
                it.planned_only = true;
                it.requests.truncate(2);
                it.requests[0].outcome = Outcome::Closed;
            },
            Violation::Interrupted("order".to_owned()),
        ),
        (
            |it| {
                it.double_ownership.insert(7, Duration::from_millis(80));
            },
            Violation::TwoOwners(7),
        ),
        (
            |it| it.in_force.push(in_force(0, 1, 1)),
            Violation::ConfigWentBack(in_force(0, 1, 1)),
        ),
        (|it| it.newest_version = 3, Violation::ConfigMissing(0)),
        (
            |it| it.in_force[1].took = Some(Duration::from_secs(3)),
            Violation::ConfigLate(InForce {
                took: Some(Duration::from_secs(3)),
                ..in_force(0, 1, 2)
            }),
        ),
        (
            |it| it.peak_memory[0] = 300 << 20,
            Violation::MemoryExceeded(0),
        ),
        (|it| it.crashed_vms.push(2), Violation::ProcessEnded(2)),
        (|it| it.recovery_time = None, Violation::NotRecovered),
        (
            |it| it.used_while_evacuated.push("i-1".to_owned()),
            Violation::Evacuated("i-1".to_owned()),
        ),
        (
            |it| {
                it.cold_peaks
                    .push(("i-1".to_owned(), check::COLD_MAX_PER_S + 1));
            },
            Violation::WarmupExceeded("i-1".to_owned(), check::COLD_MAX_PER_S + 1),
        ),
        (
            |it| it.recovery_time = Some(Duration::from_secs(20)),
            Violation::NotRecovered,
        ),
    ];
    for (change, violation) in cases {
        let mut observations = no_violation();
        change(&mut observations);
        assert_eq!(check::violations(&observations), [violation]);
    }
}

#[test]
fn effects_that_faults_may_have_are_allowed() {
    let mut observations = no_violation();
    observations
        .requests
        .push(request("closed", true, Outcome::Closed));
    observations.executions.insert("closed".to_owned(), 1);
    observations
        .double_ownership
        .insert(7, Duration::from_millis(20));
    assert_eq!(check::violations(&observations), []);
}

#[test]
fn callers_of_partitioned_vms_that_are_served_far_worse_are_a_violation() {
    let tally = |sent, served| Tally { sent, served };
    let violations = |partitioned, others| {
        let outcome = PartitionOutcome {
            partitioned,
            others,
        };
        let observations = Observations {
            partitions: vec![outcome],
            ..no_violation()
        };
        check::violations(&observations).len()
    };
    assert_eq!(violations(tally(100, 60), tally(100, 95)), 1);
    assert_eq!(violations(tally(100, 64), tally(100, 95)), 0);
    assert_eq!(violations(tally(12, 2), tally(100, 95)), 0);
    assert_eq!(violations(tally(13, 2), tally(100, 95)), 1);
}

/// Guards against a caller that is told of a success although its request's only run failed.
#[test]
fn a_success_in_place_of_a_failure_is_reported() {
    let mut observations = no_violation();
    observations.failures.insert("order".to_owned(), 1);
    let found = check::violations(&observations);
    assert_eq!(found, [Violation::WrongResponse("order".to_owned())]);
    // A look-up that failed and ran again was served.
    observations.failures = [("look".to_owned(), 2)].into();
    assert!(check::violations(&observations).is_empty());
}
