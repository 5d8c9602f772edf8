//! At most one owner, whatever fails; and every range owned again soon after.

mod model;

use std::time::Duration;

use model::{Fault, Plan, Setup, World, plan};
use proptest::{prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    let read = |name: &str| std::env::var(name).ok()?.parse().ok();
    ProptestConfig {
        cases: read("BRAMLEYPIER_CASES").unwrap_or(24),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(read("BRAMLEYPIER_SEED").map_or(20_261_202, u64::from)),
        max_shrink_iters: 400,
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
    vec![first, second]
}

#[test]
fn runs_that_once_found_a_fault_pass() {
    for plan in rows() {
        if let Err(fault) = plan.run(Setup::default()) {
            panic!("{plan:?}: {fault}");
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_point_has_two_owners_and_all_are_served_after_faults(plan in plan()) {
        let run: Result<World, String> = Plan::run(&plan, Setup::default());
        if let Err(fault) = run {
            return Err(TestCaseError::fail(fault));
        }
    }
}
