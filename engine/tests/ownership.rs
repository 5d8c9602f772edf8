//! Runs random histories of managers, targets and a store, and checks that no key ever has two holders.
//!
//! The real ownership code runs on three VMs against a simulation of the targets (fences, grants that expire, restarts,
//! grants applied late) and of the store (compare-and-swap, a lease, lost responses, outages for some VMs). Some tests
//! leave out a rule on purpose, to show that the check notices it.

mod ownership_simulation;

use ownership_simulation::{Flaw, Simulation, Step};
use proptest::{
    prelude::*,
    strategy::ValueTree as _,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

/// The number of random histories, unless `BRAMLEYPIER_CASES` sets another.
const CASES: u32 = 64;
/// The number of steps in a history.
const STEPS: usize = 260;

fn cases(default_cases: u32) -> u32 {
    let setting = std::env::var("BRAMLEYPIER_CASES").ok();
    setting
        .and_then(|it| it.parse().ok())
        .unwrap_or(default_cases)
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..3_usize;
    let target = 0..4_usize;
    prop_oneof![
        30 => Just(Step::Run),
        2 => (vm.clone(), 1..60_u32).prop_map(|(vm, ticks)| Step::Freeze { vm, ticks }),
        2 => vm.clone().prop_map(Step::Restart),
        1 => vm.clone().prop_map(Step::Resign),
        3 => (vm.clone(), any::<bool>()).prop_map(|(vm, open)| Step::Store { vm, open }),
        3 => (vm.clone(), target.clone(), any::<bool>())
            .prop_map(|(vm, target, open)| Step::Link { vm, target, open }),
        2 => (target.clone(), 1..80_u32).prop_map(|(target, ticks)| Step::Crash { target, ticks }),
        1 => (target.clone(), any::<bool>()).prop_map(|(target, on)| Step::Leave { target, on }),
        2 => (target.clone(), any::<bool>()).prop_map(|(target, on)| Step::Announce { target, on }),
        2 => (0..40_u8).prop_map(Step::Unanswered),
        1 => (0..30_u8).prop_map(Step::WritesLost),
        3 => (0..16_u64, 1..60_u32).prop_map(|(key, count)| Step::Load { key, count }),
        1 => (1..6_usize).prop_map(Step::ComeBack),
        2 => Just(Step::Heal),
    ]
}

fn history() -> impl Strategy<Value = (u64, Vec<Step>)> {
    (any::<u64>(), prop::collection::vec(step(), STEPS))
}

/// A step of histories in which many keys move while the store comes back older, VMs pause and targets start again at once.
fn busy_step() -> impl Strategy<Value = Step> {
    let vm = 0..3_usize;
    let target = 0..4_usize;
    prop_oneof![
        40 => Just(Step::Run),
        4 => (vm.clone(), 10..30_u32).prop_map(|(vm, ticks)| Step::Freeze { vm, ticks }),
        1 => vm.clone().prop_map(Step::Resign),
        2 => (vm, any::<bool>()).prop_map(|(vm, open)| Step::Store { vm, open }),
        4 => (target, 1..3_u32).prop_map(|(target, ticks)| Step::Crash { target, ticks }),
        12 => (0..16_u64, 10..60_u32).prop_map(|(key, count)| Step::Load { key, count }),
        2 => (1..3_usize).prop_map(Step::ComeBack),
        2 => Just(Step::Heal),
    ]
}

fn busy_history() -> impl Strategy<Value = (u64, Vec<Step>)> {
    (any::<u64>(), prop::collection::vec(busy_step(), STEPS))
}

fn run_history(flaw: Flaw, seed: u64, steps: &[Step]) -> Result<(), String> {
    let mut simulation = Simulation::new(flaw, seed);
    for step in steps {
        simulation.step(*step)?;
    }
    Ok(())
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 3000,
        ..Config::default()
    }
}

/// Runs `test` on the same histories in every run, and panics with the shortest one that fails.
fn check_histories<T>(cases: u32, test: T)
where
    T: Fn(u64, &[Step]) -> Result<(), String>,
{
    check_histories_of(&history(), cases, test);
}

/// Does the same with histories of one kind.
fn check_histories_of<S, T>(histories: &S, cases: u32, test: T)
where
    S: Strategy<Value = (u64, Vec<Step>)>,
    T: Fn(u64, &[Step]) -> Result<(), String>,
{
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config(cases), random);
    let result = runner.run(histories, |(seed, steps)| {
        test(seed, &steps).map_err(TestCaseError::fail)
    });
    match result {
        Ok(()) => {}
        Err(TestError::Fail(reason, (seed, steps))) => panic!("{reason}\nseed {seed}\n{steps:?}"),
        Err(TestError::Abort(reason)) => panic!("gave up: {reason}"),
    }
}

#[test]
fn no_key_has_two_holders() {
    check_histories(cases(CASES), |seed, steps| {
        run_history(Flaw::None, seed, steps)
    });
}

/// Guards against second holders that come of moves, an older store, pauses and new incarnations within a second.
#[test]
fn no_key_has_two_holders_while_many_move() {
    check_histories_of(&busy_history(), cases(CASES), |seed, steps| {
        run_history(Flaw::None, seed, steps)
    });
}

#[test]
fn keys_have_owners_again_once_all_faults_are_over() {
    check_histories(cases(CASES) / 4, |seed, steps| {
        let mut simulation = Simulation::new(Flaw::None, seed);
        for step in steps {
            simulation.step(*step)?;
        }
        simulation.heal_all();
        for _ in 0..600 {
            simulation.step(Step::Run)?;
        }
        let keys_without_holder = simulation.keys_without_holder();
        if keys_without_holder.is_empty() {
            return Ok(());
        }
        Err(format!("keys without a holder: {keys_without_holder:?}"))
    });
}

/// Returns the number of histories after which a flaw is noticed, if it is.
fn histories_until_noticed(flaw: Flaw, histories: u64) -> Option<u64> {
    let mut runner = TestRunner::deterministic();
    (1..=histories).find(|_| {
        let tree = history().new_tree(&mut runner).expect("history generated");
        let (seed, steps) = tree.current();
        run_history(flaw, seed, &steps).is_err()
    })
}

#[test]
fn a_release_that_does_not_fence_is_noticed() {
    assert!(histories_until_noticed(Flaw::ReleaseWithoutHigherFence, 300).is_some());
}

#[test]
fn a_new_manager_that_does_not_wait_for_earlier_ones_is_noticed() {
    assert!(histories_until_noticed(Flaw::NoWaitForEarlierGrants, 1500).is_some());
}

/// The manager loses the store and all targets but one, which its successor can't reach.
fn isolated_manager() -> Vec<Step> {
    let store = |vm, open| Step::Store { vm, open };
    let cut = |vm, target| Step::Link {
        vm,
        target,
        open: false,
    };
    let mut steps = vec![store(1, false), store(2, false)];
    steps.extend([Step::Run; 120]);
    steps.extend([store(0, false), store(1, true)]);
    steps.extend([cut(1, 2), cut(2, 2), cut(0, 0), cut(0, 1), cut(0, 3)]);
    steps
}

#[test]
fn a_manager_that_renews_without_end_is_noticed() {
    let mut steps = isolated_manager();
    steps.extend([Step::Run; 400]);
    assert_eq!(run_history(Flaw::None, 1, &steps), Ok(()));
    assert!(run_history(Flaw::RenewsWithoutLease, 1, &steps).is_err());
}

/// The successor stops too, by `end`, while the first manager still renews its grants, and a third one takes over.
fn two_successors(end: Step, seed: u64) -> Result<(), String> {
    let mut steps = isolated_manager();
    steps.extend([Step::Run; 60]);
    steps.extend([end, Step::Store { vm: 2, open: true }]);
    steps.push(Step::Store { vm: 1, open: false });
    steps.extend([Step::Run; 200]);
    run_history(Flaw::None, seed, &steps)
}

#[test]
fn the_end_of_one_earlier_manager_proves_nothing_about_those_before_it() {
    for seed in 0..40 {
        for end in [Step::Resign(1), Step::Restart(1)] {
            assert_eq!(two_successors(end, seed), Ok(()), "{end:?}, seed {seed}");
        }
    }
}

/// Guards against a takeover that relies on a record which has lost the last moves.
#[test]
fn a_manager_that_trusts_older_records_is_noticed() {
    assert!(histories_until_noticed(Flaw::TrustsOlderRecords, 300).is_some());
}

/// Guards against a target that gets its keys back after it has released them, restarted, and forgotten the fence.
#[test]
fn an_owner_that_restarts_after_a_release_gets_no_keys_from_an_earlier_manager() {
    let store = |vm, open| Step::Store { vm, open };
    let mut steps = vec![store(1, false), store(2, false)];
    steps.extend([Step::Run; 120]);
    // Another VM takes over while the manager is frozen, and moves the keys of the first target.
    steps.extend([Step::Freeze { vm: 0, ticks: 75 }, store(1, true)]);
    steps.extend([Step::Run; 60]);
    let (target, on) = (0, false);
    steps.push(Step::Announce { target, on });
    steps.extend([Step::Run; 4]);
    steps.push(Step::Crash { target, ticks: 1 });
    steps.extend([Step::Run; 60]);
    for seed in 0..40 {
        assert_eq!(run_history(Flaw::None, seed, &steps), Ok(()), "seed {seed}");
    }
}
