mod model;
use bramleypier::grantor::flaw::Flaw;
use model::{Plan, Setup, plan};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngSeed, TestRunner},
};
use std::time::{Duration, Instant};

fn bad(plan: &Plan, flaw: Flaw) -> Option<String> {
    let run = plan.run(Setup {
        flaw,
        ..Setup::default()
    });
    run.err()
        .map(|e| e.lines().next().unwrap_or("").to_owned())
        .filter(|e| !e.contains("unserved"))
}

#[test]
fn find() {
    let name = std::env::var("FLAW").unwrap();
    let all = [
        Flaw::WordIgnored,
        Flaw::WordLate,
        Flaw::ReadLate,
        Flaw::WordUnnamed,
        Flaw::StrikeNoWait,
        Flaw::StrikeUnadopted,
        Flaw::StrikeTwice,
        Flaw::NoWait,
        Flaw::LoneStop,
        Flaw::LoneWithdraw,
        Flaw::StruckForgotten,
        Flaw::StopInDoubt,
        Flaw::EpochKept,
        Flaw::OldHeirs,
        Flaw::NewUnstopped,
        Flaw::UnconfirmedMove,
        Flaw::BootIgnored,
        Flaw::TermKept,
    ];
    let seed: u64 = std::env::var("SEED").unwrap().parse().unwrap();
    let secs: u64 = std::env::var("SECS").unwrap().parse().unwrap();
    let strategy = plan();
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    });
    for flaw in all
        .into_iter()
        .filter(|f| name == "all" || format!("{f:?}") == name)
    {
        let start = Instant::now();
        let mut count = 0;
        let mut found = None;
        while start.elapsed() < Duration::from_secs(secs) {
            count += 1;
            let plan = strategy.new_tree(&mut runner).unwrap().current();
            if let Some(e) = bad(&plan, flaw) {
                found = Some((plan, e));
                break;
            }
        }
        let Some((mut plan, mut e)) = found else {
            println!("{flaw:?}: none in {count}");
            continue;
        };
        // shrink
        let mut index = 0;
        while index < plan.faults.len() {
            let mut less = plan.clone();
            less.faults.remove(index);
            if let Some(x) = bad(&less, flaw) {
                plan = less;
                e = x;
            } else {
                index += 1;
            }
        }
        for noise in [(0, 0, 0)] {
            let less = Plan {
                noise,
                ..plan.clone()
            };
            if let Some(x) = bad(&less, flaw) {
                plan = less;
                e = x;
            }
        }
        let ok = bad(&plan, Flaw::None);
        println!("{flaw:?}: after {count}: {e}\n  sound: {ok:?}\n  {plan:?}");
    }
}
