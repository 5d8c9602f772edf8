//! Random histories of managers, targets and a store that showed a fault, kept as they were printed.

mod ownership_simulation;

use bramleypier_engine::owner::record::RequestKey;
use ownership_simulation::{
    Flaw, Simulation,
    Step::{
        self, Announce, ComeBack, Crash, Freeze, Heal, Leave, Link, Load, Resign, Restart, Run,
        Store, Unanswered, WritesLost,
    },
};

/// The number of steps after the end of all faults.
const RECOVERY_STEPS: usize = 600;

fn run(seed: u64, steps: &[Step]) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(Flaw::None, seed);
    for step in steps {
        simulation.step(*step)?;
    }
    Ok(simulation)
}

/// Runs a history and the time after it, without any fault, and returns the keys that nobody holds then.
fn keys_without_holder(seed: u64, steps: &[Step]) -> Vec<RequestKey> {
    let mut simulation = run(seed, steps).unwrap();
    simulation.heal_all();
    for _ in 0..RECOVERY_STEPS {
        simulation.step(Run).unwrap();
    }
    simulation.keys_without_holder()
}

/// Guards against a key with two holders after the store has come back older while keys moved.
#[test]
fn many_moves_in_one_round_leave_a_key_with_two_holders() {
    let result = run(14_043_846_750_650_019_259, TWO_HOLDERS);
    assert_eq!(result.err(), None);
}

/// Guards against a key that moves to and fro without end between two idle targets, so that it often has no holder.
#[test]
fn many_moves_in_one_round_leave_a_key_without_a_holder() {
    assert_eq!(
        keys_without_holder(12_358_017_675_992_452_209, NO_HOLDER),
        []
    );
}

/// Guards against a key with two holders after an owner has ended and started again in an era that its manager doesn't know.
#[test]
fn an_owner_that_restarts_in_a_new_era_gets_keys_from_an_earlier_manager() {
    let result = run(8_258_345_436_429_902_379, RESTART_IN_NEW_ERA);
    assert_eq!(result.err(), None);
}

/// Guards against a key with two holders; one of 100,000 histories.
#[test]
fn one_of_many_histories_leaves_a_key_with_two_holders() {
    let result = run(2_079_636_175_896_387_381, RARE_TWO_HOLDERS);
    assert_eq!(result.err(), None);
}

/// Guards against a key without a holder after all faults have ended; one of 25,000 histories.
#[test]
fn one_of_many_histories_leaves_a_key_without_a_holder() {
    assert_eq!(
        keys_without_holder(445_595_517_112_243_045, RARE_NO_HOLDER),
        []
    );
}

/// Guards against a key that moves to and fro without end between two rules, so that it often has no holder.
#[test]
fn a_redistribution_that_gains_nothing_is_undone_and_repeated() {
    assert_eq!(
        keys_without_holder(12_476_811_524_728_466_426, REPEATED_REDISTRIBUTION),
        []
    );
}

#[rustfmt::skip]
const RESTART_IN_NEW_ERA: &[Step] = &[
    Store { vm: 0, open: true }, Run, Run, Run, Run, Run, Run, Run, Run, Run, Crash { target: 0, ticks: 1 }, Load {
    key: 0, count: 10 }, Store { vm: 0, open: false }, Heal, Run, Run, Run, Load { key: 0, count: 10 }, Run, Load {
    key: 0, count: 10 }, Load { key: 0, count: 10 }, Load { key: 0, count: 10 }, Load { key: 0, count: 10 }, Run, Run,
    Load { key: 0, count: 10 }, Run, ComeBack(1), Load { key: 0, count: 10 }, Run, Run, Load { key: 0, count: 10 },
    Run, Load { key: 0, count: 10 }, Run, Run, Run, Run, Run, Load { key: 10, count: 44 }, Run, Run, Crash { target:
    0, ticks: 1 }, Load { key: 8, count: 51 }, Run, Run, Freeze { vm: 1, ticks: 18 }, Freeze { vm: 2, ticks: 13 },
    Store { vm: 0, open: true }, Run, Run, Load { key: 0, count: 10 }, Load { key: 0, count: 10 }, Load { key: 0,
    count: 10 }, Run, Run, Crash { target: 0, ticks: 1 }, Run, Run, Run, Run, Run, Run, Load { key: 15, count: 14 },
    Freeze { vm: 1, ticks: 18 }, Run, Crash { target: 1, ticks: 2 }, Crash { target: 0, ticks: 2 }, Run, Load { key:
    6, count: 53 }, Run, Run, Load { key: 0, count: 49 }, Run, Run, Store { vm: 2, open: false }, Run, Run, Freeze {
    vm: 0, ticks: 10 }, Run, Run, Run, Heal, Load { key: 11, count: 42 }, Crash { target: 3, ticks: 2 }, Run, Run,
    Freeze { vm: 2, ticks: 10 }, Load { key: 0, count: 10 }, Run, Run, Run, Run, Run, Run, Heal, Load { key: 1, count:
    10 }, Crash { target: 3, ticks: 1 }, Load { key: 11, count: 25 }, Run, Run, Run, Load { key: 1, count: 10 }, Run,
    Run, Run, Run, Freeze { vm: 2, ticks: 11 }, Run, Crash { target: 0, ticks: 1 }, Run, Crash { target: 3, ticks: 1
    }, Run, Run, Run, Run, Run, ComeBack(1), Load { key: 12, count: 10 }, Load { key: 12, count: 54 }, Run, Load {
    key: 1, count: 15 }, Run, Run, Run, Load { key: 1, count: 10 }, Resign(0), Run, Run, Run, Run, Freeze { vm: 1,
    ticks: 10 }, Run, Run, Freeze { vm: 2, ticks: 10 }, Heal, Run, Run, Load { key: 2, count: 10 }, Store { vm: 2,
    open: false }, Run, Run, Crash { target: 3, ticks: 2 }, Run, Run, ComeBack(2), Load { key: 0, count: 10 }, Store {
    vm: 2, open: true }, Run, Freeze { vm: 0, ticks: 28 }, Run, Load { key: 7, count: 10 }, Resign(0), Run, Run, Load
    { key: 7, count: 10 }, Run, Load { key: 1, count: 11 }, Run, Run, Crash { target: 3, ticks: 1 }, Load { key: 2,
    count: 11 }, Load { key: 0, count: 10 }, Load { key: 10, count: 10 }, Run, Freeze { vm: 1, ticks: 24 }, Run,
    ComeBack(1), Load { key: 2, count: 10 }, Run, Run, Run, Freeze { vm: 2, ticks: 16 }, Run, Run, Run, Crash {
    target: 3, ticks: 1 }, Run, Load { key: 0, count: 10 }, Run, Load { key: 0, count: 10 }, Load { key: 0, count: 10
    }, Load { key: 0, count: 10 }, Run, Run, Load { key: 0, count: 10 }, ComeBack(1), Crash { target: 3, ticks: 2 },
    Run, Run, Run, Run, Run, Run, Load { key: 1, count: 10 }, Run, Run, Load { key: 9, count: 10 }, Run, Run,
    ComeBack(1), Load { key: 2, count: 20 }, Run, Run, Run, Run, Run, Freeze { vm: 0, ticks: 10 }, Run, Run, Run, Run,
    Run, Crash { target: 1, ticks: 1 }, Run, Heal, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run,
];

#[rustfmt::skip]
const RARE_TWO_HOLDERS: &[Step] = &[
    Run, Leave { target: 0, on: false }, Run, Store { vm: 0, open: true }, Run, Run, Run, Resign(0), Run, Run, Crash {
    target: 1, ticks: 46 }, Restart(1), Run, Run, Link { vm: 2, target: 0, open: false }, Run, Run, Run, Run, Run,
    Run, Run, Load { key: 3, count: 2 }, Run, Store { vm: 0, open: true }, Run, Restart(1), Announce { target: 0, on:
    false }, Run, Run, Run, Run, Run, Load { key: 3, count: 10 }, Run, Run, Run, Load { key: 1, count: 19 }, Store {
    vm: 0, open: false }, Run, Leave { target: 0, on: false }, Freeze { vm: 1, ticks: 11 }, Run, Announce { target: 0,
    on: false }, Run, Link { vm: 0, target: 0, open: false }, ComeBack(1), Run, Run, Link { vm: 0, target: 0, open:
    false }, Run, Run, Run, Run, Load { key: 4, count: 9 }, Run, Leave { target: 0, on: false }, Run, Run, Heal, Leave
    { target: 0, on: false }, Store { vm: 0, open: false }, Run, Link { vm: 0, target: 3, open: false }, Store { vm:
    0, open: false }, Run, Run, Load { key: 0, count: 5 }, Load { key: 2, count: 1 }, Run, Store { vm: 0, open: false
    }, Store { vm: 0, open: false }, Run, Store { vm: 0, open: false }, Run, Leave { target: 0, on: false }, Run,
    Freeze { vm: 0, ticks: 12 }, Run, Run, Run, Run, Run, Resign(1), Crash { target: 2, ticks: 5 }, Run, Run, Run,
    Restart(2), Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
];

#[rustfmt::skip]
const RARE_NO_HOLDER: &[Step] = &[
    Store { vm: 0, open: false }, Crash { target: 0, ticks: 1 }, Leave { target: 0, on: false }, ComeBack(1), Run,
    Link { vm: 0, target: 0, open: false }, Leave { target: 0, on: false }, WritesLost(0), Run, Leave { target: 0, on:
    false }, Run, Crash { target: 0, ticks: 1 }, Run, WritesLost(0), Run, Store { vm: 0, open: false }, Run, Run,
    Leave { target: 0, on: false }, Load { key: 4, count: 33 }, Run, Run, Run, Restart(2), Run, Freeze { vm: 1, ticks:
    3 }, Run, Run, Heal, Run, Announce { target: 0, on: true }, Run, Run, Run, Run, Run, Run, Run, Crash { target: 0,
    ticks: 10 }, Run, Run, Load { key: 9, count: 8 }, Load { key: 2, count: 19 }, Freeze { vm: 0, ticks: 1 }, Run,
    Run, Run, Freeze { vm: 1, ticks: 7 }, Run, Run, Run, Leave { target: 0, on: false }, Resign(1), Link { vm: 0,
    target: 0, open: false }, Heal, Run, Run, WritesLost(0), Store { vm: 0, open: true }, Run, WritesLost(0), Store {
    vm: 0, open: false }, Run, Run, Run, Run, ComeBack(1), Run, Run, Run, Leave { target: 0, on: false }, Link { vm:
    0, target: 0, open: true }, Run, Unanswered(29), Run, Run, Heal, Unanswered(4), Run, Run, Load { key: 10, count:
    31 }, Run, Load { key: 0, count: 1 }, Run, Run, Run, Run, Leave { target: 0, on: false }, Leave { target: 2, on:
    true }, Run, Run, Restart(2), Freeze { vm: 2, ticks: 5 }, Run, Restart(0), Unanswered(35), Unanswered(0), Store {
    vm: 2, open: false }, Link { vm: 0, target: 0, open: false }, Run, Run, Run, Crash { target: 2, ticks: 1 }, Run,
    Run, ComeBack(1), Freeze { vm: 1, ticks: 3 }, Run, Restart(2), Heal, Link { vm: 1, target: 1, open: false }, Crash
    { target: 0, ticks: 3 }, Run, Heal, Heal, Leave { target: 0, on: false }, Resign(0), Run, Run, Run, Leave {
    target: 0, on: true }, Resign(1), Run, Unanswered(20), Run, Restart(0), Run, Run, Run, Store { vm: 0, open: true
    }, Leave { target: 2, on: true }, Restart(0), Run, Run, Unanswered(0), Unanswered(23), Run, ComeBack(1), Store {
    vm: 0, open: true }, Run, Run, Run, Resign(2), Run, Run, Run, Heal, Run, Run, Freeze { vm: 0, ticks: 5 }, Leave {
    target: 0, on: false }, Unanswered(19), Run, Run, Run, Announce { target: 0, on: false }, Freeze { vm: 1, ticks: 2
    }, Run, Leave { target: 0, on: false }, Run, Leave { target: 2, on: false }, Run, Heal, Run, Run, Run, Store { vm:
    0, open: true }, Run, Run, Store { vm: 0, open: true }, Run, Store { vm: 0, open: true }, Store { vm: 0, open:
    true }, Run, Run, Run, Run, Resign(1), Leave { target: 0, on: false }, Unanswered(30), Run, Announce { target: 3,
    on: false }, Run, Run, Run, Load { key: 0, count: 15 }, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Link {
    vm: 0, target: 0, open: false }, Run, Run, Freeze { vm: 0, ticks: 12 }, Run, Store { vm: 0, open: false }, Run,
    Store { vm: 0, open: false }, Run, Run, Store { vm: 0, open: false }, Run, Run, Run, Store { vm: 0, open: false },
    Heal, Run, Run, Run, Run, Run, Leave { target: 2, on: false }, Restart(1), Run, Run, Run, Run, Run, Store { vm: 0,
    open: false }, Run, Run, Restart(1), Load { key: 5, count: 37 }, Run, Run, Crash { target: 2, ticks: 2 }, Leave {
    target: 0, on: false }, Run, Heal, Run, Unanswered(0), Restart(1), Run, Leave { target: 0, on: false }, Run, Run,
    Run, Resign(1), Run, Run, Run, Resign(1), Run, Run, Run, Run, Run, Run, Run, Heal, Run, Announce { target: 0, on:
    false }, Resign(1), Load { key: 1, count: 9 },
];

#[rustfmt::skip]
const REPEATED_REDISTRIBUTION: &[Step] = &[
    Restart(0), Run, Leave { target: 0, on: false }, Run, Run, Run, Resign(1), Run, Run, Run, Run, Unanswered(15),
    Run, Run, Crash { target: 0, ticks: 14 }, Run, Run, WritesLost(0), Run, Run, ComeBack(1), Run, Store { vm: 0,
    open: true }, Run, Run, Leave { target: 0, on: false }, Leave { target: 0, on: false }, Restart(2), Freeze { vm:
    2, ticks: 17 }, Run, Run, Store { vm: 0, open: true }, Run, Run, ComeBack(1), Run, Run, Freeze { vm: 1, ticks: 8
    }, Leave { target: 0, on: false }, Store { vm: 0, open: false }, Restart(1), Leave { target: 0, on: false },
    Restart(1), Run, Leave { target: 0, on: false }, Heal, Run, Run, Link { vm: 0, target: 0, open: false }, Run, Run,
    Restart(0), Run, Run, Run, Crash { target: 0, ticks: 1 }, Run, Store { vm: 0, open: true }, Run, Store { vm: 2,
    open: false }, Run, Store { vm: 0, open: true }, Crash { target: 2, ticks: 1 }, Run, Run, Leave { target: 0, on:
    false }, Run, Crash { target: 0, ticks: 1 }, Run, Restart(0), Freeze { vm: 0, ticks: 8 }, Run, Leave { target: 0,
    on: false }, Run, Run, Run, Leave { target: 0, on: false }, Store { vm: 2, open: true }, Run, Leave { target: 0,
    on: false }, Link { vm: 0, target: 0, open: false }, Leave { target: 0, on: false }, Run, Run, Run, Freeze { vm:
    2, ticks: 7 }, Load { key: 0, count: 1 }, Run, Leave { target: 0, on: false }, Leave { target: 0, on: false },
    Run, Run, Heal, Run, Run, Leave { target: 0, on: false }, Store { vm: 0, open: false }, Run, Crash { target: 0,
    ticks: 1 }, Run, Run, Run, ComeBack(1), Run, Run, Run, Heal, Run, Store { vm: 0, open: true }, Restart(2), Run,
    Heal, Run, Store { vm: 1, open: false }, Run, Link { vm: 1, target: 0, open: false }, ComeBack(1), Run, Run, Run,
    Restart(2), Run, Run, Run, Run, Link { vm: 0, target: 3, open: false }, Run, Run, Store { vm: 0, open: false },
    Run, Run, Load { key: 0, count: 30 }, Store { vm: 1, open: false }, Leave { target: 0, on: false }, Run, Run, Run,
    Store { vm: 0, open: true }, Store { vm: 0, open: true }, Run, Run, Run, Load { key: 4, count: 7 }, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Store { vm: 2, open: true }, Run, Run, Run, Run, Run, ComeBack(1), Run, Store { vm:
    0, open: true }, Load { key: 0, count: 32 }, Run, Run, Run, Run, Run, Load { key: 0, count: 16 }, Run, Run, Load {
    key: 1, count: 18 }, Restart(1), Store { vm: 0, open: false }, Store { vm: 0, open: false }, Run, Run, Store { vm:
    0, open: false }, Store { vm: 0, open: false }, Store { vm: 0, open: false }, Store { vm: 0, open: false }, Run,
    Store { vm: 0, open: false }, Store { vm: 0, open: false }, Run, Load { key: 0, count: 1 }, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Store { vm: 0, open: false }, Heal, Run, Run, Crash { target: 3, ticks: 27 }, Run,
    Run, Run, Store { vm: 0, open: true }, Run, Run, Store { vm: 0, open: true }, Run, Run, Run, Run, Run, Store { vm:
    1, open: false }, Store { vm: 0, open: false }, Run, Run, Run, Run, Run, Run, Run, Resign(1), Run, Store { vm: 0,
    open: false }, Store { vm: 0, open: false }, Run, Run, Store { vm: 0, open: false }, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Store { vm: 0, open: false }, Restart(1), Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Heal, Run, Run, Run, Leave { target: 0, on: false }, Run, Resign(1), Load { key: 2, count: 18 }, Store { vm:
    0, open: false },
];

#[rustfmt::skip]
const TWO_HOLDERS: &[Step] = &[
    Run, Leave { target: 0, on: false }, Run, Run, Run, Link { vm: 0, target: 0, open: false }, Heal, Announce {
    target: 0, on: false }, Run, Link { vm: 0, target: 0, open: false }, Run, Run, Run, Run, Run, Run, Run, Run,
    Announce { target: 1, on: false }, Run, Run, Load { key: 0, count: 19 }, Unanswered(0), Run, Link { vm: 0, target:
    0, open: false }, Run, Leave { target: 0, on: false }, Run, Load { key: 1, count: 3 }, Freeze { vm: 0, ticks: 7 },
    Leave { target: 0, on: false }, Leave { target: 0, on: false }, Run, Run, Run, Load { key: 3, count: 13 }, Heal,
    Run, Leave { target: 0, on: false }, Run, Run, ComeBack(1), Freeze { vm: 0, ticks: 18 }, Run, Run, Run, Run, Run,
    Leave { target: 0, on: false }, Leave { target: 0, on: false }, Run, Run, Run, Store { vm: 0, open: false }, Leave
    { target: 0, on: false }, Run, Run, Run, Run, Crash { target: 1, ticks: 1 }, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run, Run,
    Run, Run, Run, Run, Run, Run, Run, Run, Run,
];

#[rustfmt::skip]
const NO_HOLDER: &[Step] = &[
    Crash { target: 0, ticks: 2 }, Leave { target: 0, on: false }, Leave { target: 0, on: false }, WritesLost(0), Run,
    Store { vm: 0, open: true }, Run, Run, Run, Store { vm: 0, open: true }, Run, Run, Run, Store { vm: 0, open: true
    }, Run, Freeze { vm: 0, ticks: 6 }, Run, Restart(0), Run, Store { vm: 0, open: false }, Freeze { vm: 1, ticks: 1
    }, Heal, Link { vm: 0, target: 0, open: false }, Run, Run, Run, Run, Run, Run, Run, Run, Link { vm: 0, target: 0,
    open: false }, Run, Restart(0), Store { vm: 0, open: true }, Store { vm: 0, open: true }, Run, Run, Run, Run,
    ComeBack(1), Freeze { vm: 1, ticks: 9 }, Run, Run, Leave { target: 1, on: false }, Run, Unanswered(0), Run,
    Resign(2), Run, Run, Link { vm: 0, target: 0, open: false }, Run, Unanswered(0), Run, Freeze { vm: 1, ticks: 24 },
    Load { key: 5, count: 4 }, Run, Announce { target: 1, on: false }, Unanswered(0), Run, Store { vm: 0, open: false
    }, Run, Run, Store { vm: 0, open: false }, Run, Store { vm: 0, open: true }, Leave { target: 0, on: false }, Leave
    { target: 0, on: false }, Store { vm: 0, open: true }, Run, Run, Run, Run, Run, Run, Load { key: 3, count: 20 },
    Run, Unanswered(13), Run, Run, Announce { target: 2, on: false }, Store { vm: 1, open: false }, Run, Run, Store {
    vm: 1, open: true }, Unanswered(13), Store { vm: 0, open: true }, Unanswered(13), Store { vm: 0, open: true },
    Leave { target: 0, on: false }, Link { vm: 0, target: 0, open: false }, Run, Run, Run, Run, Run, Heal, Store { vm:
    0, open: true }, Unanswered(0), Store { vm: 0, open: false }, Run, Restart(1), Run, Heal, Run, Restart(0), Leave {
    target: 0, on: false }, Run, Run, Store { vm: 0, open: false }, Link { vm: 0, target: 0, open: false }, Run, Run,
    Run, Run, Run, Run, Run, Store { vm: 0, open: false }, Heal, Run, Run, Run, Run, Run, Run, Run, Restart(0), Store
    { vm: 2, open: false }, WritesLost(0), Run, Run, Run, Run, Run, Store { vm: 2, open: true }, Restart(0), Run, Run,
    Link { vm: 0, target: 0, open: false }, Restart(0), Run, Run, Store { vm: 0, open: true }, Run, Run, Run, Load {
    key: 11, count: 29 }, Store { vm: 0, open: true }, Run, Run, Store { vm: 0, open: true }, Run, Run, Leave {
    target: 1, on: false }, Run, Run, Run, Run, Freeze { vm: 1, ticks: 24 }, Run, Store { vm: 0, open: true }, Run,
    Run, Run, Run, Run, Link { vm: 0, target: 0, open: false }, Run, Restart(2), Store { vm: 0, open: true }, Run,
    Run, Run, Store { vm: 0, open: true }, Run, Store { vm: 1, open: false }, Run, Run, Run, Store { vm: 0, open:
    false }, Run, Crash { target: 3, ticks: 1 }, Heal, Store { vm: 0, open: false }, Run, Store { vm: 0, open: false
    }, Run, Crash { target: 1, ticks: 2 }, Heal, Run, Link { vm: 0, target: 0, open: false }, Run, Crash { target: 0,
    ticks: 5 }, Leave { target: 2, on: true }, Run, Load { key: 4, count: 17 }, Crash { target: 0, ticks: 13 }, Run,
    Unanswered(27), Store { vm: 2, open: false }, Run, Link { vm: 0, target: 0, open: false }, Run, Run, Store { vm:
    0, open: false }, Run, ComeBack(2), Run, Run, Restart(1), Link { vm: 0, target: 0, open: false }, Store { vm: 2,
    open: false }, Run, Store { vm: 1, open: true }, Run, Run, Run, Run, Restart(0), Run, Store { vm: 1, open: true },
    Run, Run, Run, Store { vm: 0, open: false }, Run, Store { vm: 0, open: false }, Store { vm: 0, open: false }, Run,
    Run, Store { vm: 0, open: false }, Store { vm: 0, open: false }, Run, Run, Run, Run, Run, Run, Run, Resign(2),
    Run, Run, Run, Run, Run, Run, Store { vm: 0, open: false }, Run, Run, Run, Run, Run, Run, Run, Load { key: 1,
    count: 2 }, Run, Run, Resign(0),
];
