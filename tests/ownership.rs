//! At most one owner, whatever fails; and every range owned again soon after.

mod model;

use std::time::Duration;

use bramleypier::grantor::flaw::Flaw;
use model::{Fault, Lone, Plan, Setup, World, plan};
use proptest::{prelude::*, test_runner::RngSeed};

/// Reads a number from the environment, for longer searches.
fn setting(name: &str, fallback: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(fallback)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: u32::try_from(setting("BRAMLEYPIER_CASES", 8)).unwrap_or(8),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(setting("BRAMLEYPIER_SEED", 20_261_202)),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

#[test]
fn a_calm_fleet_serves_every_point_and_leaves_the_store_alone() {
    let mut world = World::new(Setup::default());
    world.run(Duration::from_secs(8)).unwrap();
    assert!(world.unserved().is_empty(), "{}", world.story());
    let (writes, reads) = (world.store.writes, world.store.reads);
    world.run(Duration::from_secs(30)).unwrap();
    assert!(world.unserved().is_empty(), "{}", world.story());
    assert_eq!((world.store.writes, world.store.reads), (writes, reads));
}

/// Runs that once found a fault.
fn rows() -> Vec<Plan> {
    let second = Plan {
        seed: 11_252_304_821_321_578_785,
        unchecked: false,
        noise: (0, 0, 0),
        faults: vec![
            (9248, Fault::KillVm(24)),
            (10001, Fault::KillVm(58)),
            (10001, Fault::KillVm(53)),
            (10001, Fault::KillVm(28)),
            (10001, Fault::KillGrantor(0)),
        ],
    };
    let carried = Plan {
        seed: 7_529_396_103_615_906_228,
        unchecked: true,
        noise: (1, 5, 28),
        faults: vec![
            (5579, Fault::LoseAnswers(5)),
            (6181, Fault::KillVm(44)),
            (18581, Fault::LoseDomain(20, 1919)),
            (18641, Fault::Strand(59, 1000, 11)),
            (18961, Fault::Island(57, 7641)),
        ],
    };
    let first = Plan {
        seed: 11_729_941_944_822_251_671,
        unchecked: false,
        noise: (24, 12, 11),
        faults: vec![
            (3000, Fault::Mute(9, 1611)),
            (6647, Fault::Outage(341)),
            (17771, Fault::KillGrantor(0)),
            (17881, Fault::FreezeTarget(0, 536)),
        ],
    };
    // Two calms that end in the middle of a planned move.
    let third = Plan {
        seed: 11_691_160_897_599_883_614,
        unchecked: false,
        noise: (21, 2, 18),
        faults: vec![
            (3961, Fault::RestartTarget(62)),
            (4221, Fault::FreezeTarget(63, 5521)),
            (4941, Fault::ReplaceVm(19)),
        ],
    };
    let fourth = Plan {
        seed: 453_512_824_776_371_850,
        unchecked: true,
        noise: (0, 0, 0),
        faults: vec![
            (6301, Fault::RestartTarget(10)),
            (7081, Fault::FreezeTarget(0, 3461)),
        ],
    };
    vec![first, carried, second, third, fourth]
}

#[test]
fn runs_that_once_found_a_fault_pass() {
    for plan in rows() {
        if let Err(fault) = plan.run(Setup::default()) {
            panic!("{plan:?}: {fault}");
        }
    }
}

/// Each rule left out, with faults under which that makes a second owner or leaves a point unserved.
fn flaws() -> Vec<(Flaw, Vec<(u64, Fault)>)> {
    vec![
        (
            Flaw::NoPermission,
            vec![(3000, Fault::Lone(0, 4000, Lone::LastRead))],
        ),
        (
            Flaw::PermissionFromReceipt,
            vec![(3000, Fault::Lone(0, 3000, Lone::LateWords))],
        ),
        (
            Flaw::ReadFromReceipt,
            vec![(3000, Fault::Lone(0, 3000, Lone::LateReads))],
        ),
        (
            Flaw::PermissionForAnyone,
            vec![(3000, Fault::Lone(0, 3000, Lone::Returns))],
        ),
        (
            Flaw::ReplacementNoWait,
            vec![(3000, Fault::Pair(0, 4000, true))],
        ),
        (
            Flaw::ReplacementUnconfirmed,
            vec![(3000, Fault::Pair(0, 6000, true))],
        ),
        (
            Flaw::ConcurrentReplacements,
            vec![(3000, Fault::Pair(0, 7000, false))],
        ),
        (
            Flaw::ReleaseNoWait,
            vec![(3000, Fault::Strand(0, 4000, 15))],
        ),
        (
            Flaw::ReleaseOnOwnStop,
            vec![(3000, Fault::Strand(0, 4000, 16))],
        ),
        (
            Flaw::WithdrawUnconfirmed,
            vec![
                (3000, Fault::FreezeTarget(0, 1300)),
                (3900, Fault::Isolate(0, 2600)),
            ],
        ),
        (
            Flaw::ReplacedForgotten,
            vec![
                (3000, Fault::FreezeTarget(0, 1300)),
                (3900, Fault::Isolate(0, 2600)),
            ],
        ),
        (Flaw::EpochUnchanged, vec![(3000, Fault::KillTarget(0))]),
        (
            Flaw::NewGrantorUnstopped,
            vec![
                (3000, Fault::KillGrantor(0)),
                (3000, Fault::Strand(1, 5000, 15)),
            ],
        ),
        (Flaw::UnconfirmedMove, vec![(3000, Fault::Hot(0))]),
        (Flaw::BootIgnored, vec![(3000, Fault::RestartTarget(0))]),
        (Flaw::TermUnchanged, vec![(3000, Fault::RestartTarget(0))]),
    ]
}

/// Runs the faults under a flaw, or none.
fn storm(faults: &[(u64, Fault)], flaw: Flaw) -> Result<World, String> {
    let plan = Plan {
        seed: 1,
        unchecked: false,
        noise: (0, 0, 0),
        faults: faults.to_vec(),
    };
    let setup = Setup {
        flaw,
        ..Setup::default()
    };
    plan.storm(setup)
}

#[test]
fn each_rule_is_needed() {
    for (flaw, faults) in flaws() {
        let found = match storm(&faults, flaw) {
            Ok(world) => flaw == Flaw::EpochUnchanged && !world.unserved().is_empty(),
            Err(_) => true,
        };
        assert!(found, "{flaw:?} was not found");
    }
}

#[test]
fn the_same_faults_make_no_second_owner_under_all_rules() {
    for (flaw, faults) in flaws() {
        let world = storm(&faults, Flaw::None).unwrap_or_else(|fault| panic!("{flaw:?}: {fault}"));
        let served = flaw != Flaw::EpochUnchanged || world.unserved().is_empty();
        assert!(served, "{flaw:?}: unserved\n{}", world.story());
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_point_has_two_owners_and_all_are_served_after_faults(plan in plan()) {
        let run: Result<World, String> = Plan::run(&plan, Setup { stagger: true, ..Setup::default() });
        if let Err(fault) = run {
            return Err(TestCaseError::fail(fault));
        }
    }
}
