//! Drills with VMs of bramleypier as processes on a fleet of stand-ins.
//!
//! The program `bramleypier` must have been built; a test run of the whole workspace does so.

use std::time::Duration;

use bramleypier_standins::drill::{self, Options, Scenario, Step};

/// Runs a scenario and checks that the audit is clean and all keys are served at the end.
async fn check(name: &'static str, steps: &'static [Step]) {
    let scenario = Scenario {
        name,
        steps,
        whole_domain: false,
    };
    let options = Options {
        program: None,
        checks_grants: true,
        keys: 8,
        period: Duration::from_millis(50),
        settings: String::new(),
    };
    let outcome = drill::run(&scenario, &options).await.unwrap();
    let (calls, runs) = outcome.audited;
    assert!(calls > 0 && runs > 0, "{name}: {calls} calls, {runs} runs");
    assert!(
        outcome.findings.is_clean(),
        "{name}: {:#?}",
        outcome.findings
    );
    assert_eq!(outcome.unserved, 0, "{name}: {:#?}", outcome.reasons);
}

#[compio::test]
async fn target_lost() {
    check("target lost", &[Step::KillTarget, Step::Wait(8_000)]).await;
}

#[compio::test]
async fn platform_outage() {
    let steps = &[
        Step::PlatformDown,
        Step::Wait(3_000),
        Step::PlatformUp,
        Step::Wait(2_000),
    ];
    check("outage", steps).await;
}

#[compio::test]
async fn planned_stops() {
    let steps = &[
        Step::LeaveTarget,
        Step::Wait(3_000),
        Step::StopGrantor,
        Step::Wait(3_000),
    ];
    check("planned stops", steps).await;
}
