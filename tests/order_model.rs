//! Model test of orders under random faults: an order runs at most once, and callers get correct outcomes.
//!
//! A history is a random sequence of steps; `BRAMLEYPIER_CASES` sets the number of histories.

#[path = "order/world.rs"]
mod world;

use bramleypier::order::Flaw;
use proptest::{
    collection,
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner},
};
use world::{Counts, Op, World};

const SEED: u64 = 20_261_202;

fn cases(default: u32) -> u32 {
    let text = std::env::var("BRAMLEYPIER_CASES");
    text.ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn history() -> impl Strategy<Value = Vec<Op>> {
    collection::vec(any::<Op>(), 300..1_200)
}

fn run(ops: &[Op], flaw: Flaw) -> Result<Counts, String> {
    let mut world = World::new(flaw);
    for op in ops {
        world.step(*op)?;
    }
    if flaw == Flaw::None {
        world.settle()?;
    }
    Ok(world.counts)
}

proptest! {
    #![proptest_config(Config {
        cases: cases(64),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    })]

    #[test]
    fn orders_run_at_most_once(ops in history()) {
        let outcome = run(&ops, Flaw::None);
        prop_assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
    }
}

/// Guards against histories that exercise too little: each outcome must occur in some history.
#[test]
fn histories_reach_every_outcome() {
    let mut runner = runner();
    let mut sum = Counts::default();
    for _ in 0..cases(64) {
        let ops = history().new_tree(&mut runner).unwrap().current();
        let counts = run(&ops, Flaw::None).unwrap();
        sum.steps += counts.steps;
        sum.sent += counts.sent;
        sum.recorded += counts.recorded;
        sum.unknown += counts.unknown;
        sum.not_run += counts.not_run;
        sum.mismatch += counts.mismatch;
        sum.views += counts.views;
    }
    println!("{sum:?}");
    let reached = [
        sum.sent,
        sum.recorded,
        sum.unknown,
        sum.not_run,
        sum.mismatch,
        sum.views,
    ];
    assert!(reached.iter().all(|count| *count > 0), "{sum:?}");
}

/// Leaves out one safety rule at a time; the checks must detect each omission.
#[test]
fn the_checks_detect_each_missing_rule() {
    let flaws = [
        Flaw::HomeOnly,
        Flaw::MixedViews,
        Flaw::ResignDuringWrite,
        Flaw::ActAfterResigning,
        Flaw::LostIsNotRun,
        Flaw::IgnoreFingerprints,
        Flaw::NoTransfer,
        Flaw::SuspectIsGone,
        Flaw::NoHorizon,
        Flaw::NoFloor,
    ];
    for flaw in flaws {
        let mut runner = runner();
        let mut histories = (0..cases(4_000).max(4_000)).map(|_| {
            let ops = history().new_tree(&mut runner).unwrap().current();
            run(&ops, flaw)
        });
        let found = histories.position(|outcome| outcome.is_err());
        println!("{flaw:?}: detected in history {found:?}");
        assert!(found.is_some(), "{flaw:?} was not detected");
    }
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config::default(), rng)
}

/// A minimised history, found among 40,000: a suspended entry VM gets both replies to an attempt 700 s after it asked,
/// when the members have evicted the record that the order ran.
const LATE_REPLIES: [Op; 34] = [
    (104, 45058, 61345),
    (197, 11481, 9292),
    (101, 21473, 53452),
    (102, 10866, 21808),
    (7, 39290, 64984),
    (119, 16296, 53987),
    (46, 16818, 29838),
    (200, 48827, 45840),
    (243, 40086, 16485),
    (8, 11591, 31764),
    (8, 36395, 3340),
    (234, 19219, 960),
    (226, 58095, 2833),
    (124, 60118, 48940),
    (105, 20678, 30380),
    (59, 45555, 17243),
    (130, 36717, 10406),
    (71, 46722, 25172),
    (204, 6185, 13820),
    (15, 20452, 25526),
    (0, 63005, 39808),
    (105, 42897, 24921),
    (7, 33261, 37888),
    (146, 52381, 57643),
    (67, 766, 27202),
    (70, 43039, 35597),
    (128, 14451, 18853),
    (72, 51337, 16968),
    (104, 19625, 44624),
    (198, 53778, 59891),
    (105, 44501, 59538),
    (208, 64830, 6962),
    (76, 45197, 38595),
    (246, 50646, 23738),
];

/// Guards against a second run of an order whose replies arrive after its caller's deadline.
#[test]
fn an_order_does_not_run_after_its_callers_time_ended() {
    run(&LATE_REPLIES, Flaw::None).unwrap();
}
