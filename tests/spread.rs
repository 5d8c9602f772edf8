//! How news reaches every process: under faults, and once they have passed.

mod fleet;

use std::{env, time::Duration};

use bramleypier::{
    gossip::Event,
    membership::Timing,
    spread::{self, Content, Effect, Id, Item, Kind, Limits, Message, Store},
    watcher::{self, Call, Change, Listing, Watcher},
};
use fleet::{Faults, Flaw, Fleet};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};

const SECOND: Duration = Duration::from_secs(1);

fn config() -> Config {
    let cases = env::var("BRAMLEYPIER_CASES")
        .ok()
        .and_then(|it| it.parse().ok());
    Config {
        cases: cases.unwrap_or(24),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
enum Op {
    Run(u64),
    Put(usize, usize, usize),
    Remove(usize, usize),
    Older(usize, usize),
    Cut(usize, usize),
    Heal,
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    Weather(u32, u32, u64),
    Forget(usize),
}

fn op(count: usize) -> impl Strategy<Value = Op> {
    let size = prop_oneof![Just(10_usize), Just(5_000)];
    prop_oneof![
        5 => (50..3_000_u64).prop_map(Op::Run),
        6 => (0..count, 0..3_usize, size).prop_map(|(it, name, size)| Op::Put(it, name, size)),
        1 => (0..count, 0..3_usize).prop_map(|(it, name)| Op::Remove(it, name)),
        2 => (0..count, 0..3_usize).prop_map(|(it, name)| Op::Older(it, name)),
        2 => (0..count, 0..count).prop_map(|(a, b)| Op::Cut(a, b)),
        1 => Just(Op::Heal),
        1 => (0..count).prop_map(Op::Crash),
        1 => (0..count).prop_map(Op::Restart),
        1 => (0..count, 100..4_000_u64).prop_map(|(it, ms)| Op::Pause(it, ms)),
        1 => (0..40_u32, 0..20_u32, 0..400_u64).prop_map(|(a, b, c)| Op::Weather(a, b, c)),
        1 => (0..count).prop_map(Op::Forget),
    ]
}

fn id(name: usize) -> Id {
    Id::new(Kind::Document, format!("service-{name}"))
}

/// A value tells its version, so that a mixed-up value shows.
fn value(version: u64, size: usize) -> Vec<u8> {
    let mut bytes = version.to_le_bytes().to_vec();
    bytes.resize(size, 0);
    bytes
}

fn apply(fleet: &mut Fleet, op: &Op, version: &mut u64) {
    match *op {
        Op::Run(ms) => fleet.run(Duration::from_millis(ms)),
        Op::Put(it, name, size) => {
            *version += 1;
            let item = Item::new(id(name), *version, value(*version, size));
            fleet.put(it, Event::Put(item));
        }
        Op::Remove(it, name) => {
            *version += 1;
            fleet.put(it, Event::Put(Item::removed(id(name), *version)));
        }
        Op::Older(it, name) => {
            let older = *version / 2;
            let item = Item::new(id(name), older, value(older, 10));
            fleet.put(it, Event::Put(item));
        }
        Op::Cut(a, b) => {
            fleet.cuts.insert((a, b));
        }
        Op::Heal => fleet.cuts.clear(),
        Op::Crash(it) => fleet.crash(it),
        Op::Restart(it) => fleet.restart(it),
        Op::Pause(it, ms) => fleet.pause(it, Duration::from_millis(ms)),
        Op::Weather(lost, doubled, delay) => {
            fleet.faults = Faults {
                lost,
                doubled,
                delay: Duration::from_millis(delay),
            };
        }
        Op::Forget(it) => fleet.forget(it),
    }
}

/// Returns the newest version of an item that a running process holds.
fn newest(fleet: &Fleet, name: usize) -> Option<u64> {
    let held = |it: &usize| fleet.nodes[*it].gossip.store().version(&id(name));
    fleet.running().iter().filter_map(held).max()
}

fn survives(ops: &[Op], seed: u64, flaw: Option<Flaw>) -> Result<(), String> {
    let mut fleet = Fleet::new(6, 3, Timing::default(), Limits::default(), seed);
    fleet.flaw = flaw;
    let mut version = 0;
    fleet.run(SECOND);
    for op in ops {
        apply(&mut fleet, op, &mut version);
        if fleet.went_back {
            return Err(format!("a version went back at {op:?}"));
        }
    }
    let expected: Vec<Option<u64>> = (0..3).map(|name| newest(&fleet, name)).collect();
    fleet.cuts.clear();
    fleet.faults = Faults::default();
    fleet.run(20 * SECOND);
    if fleet.went_back {
        return Err("a version went back".to_owned());
    }
    for number in fleet.running() {
        let store = fleet.nodes[number].gossip.store();
        for (name, expected) in expected.iter().enumerate() {
            let held = store.version(&id(name));
            if held < *expected {
                return Err(format!("vm {number} holds {held:?}, not {expected:?}"));
            }
            let text = store.value(&id(name)).map(|bytes| bytes[..8].to_vec());
            if text.is_some_and(|text| text != held.unwrap_or(0).to_le_bytes()) {
                return Err(format!("vm {number} holds another version's value"));
            }
        }
    }
    Ok(())
}

#[test]
fn under_any_faults_nothing_goes_back_and_then_all_hold_the_newest() {
    let ops = proptest::collection::vec(op(6), 1..40);
    let mut runner = TestRunner::new(config());
    runner
        .run(&(ops, any::<u64>()), |(ops, seed)| {
            survives(&ops, seed, None).map_err(TestCaseError::fail)
        })
        .unwrap();
}

#[test]
fn the_checks_find_flaws() {
    let lossy = [
        Op::Weather(39, 0, 0),
        Op::Crash(5),
        Op::Put(0, 0, 5_000),
        Op::Run(1_000),
        Op::Restart(5),
        Op::Run(1_000),
    ];
    let amnesia = [
        Op::Put(2, 0, 10),
        Op::Put(2, 0, 10),
        Op::Run(1_000),
        Op::Forget(4),
        Op::Older(4, 0),
    ];
    let cases = [
        (&lossy[..], Flaw::NoComparison),
        (&amnesia[..], Flaw::Amnesia),
    ];
    for (ops, flaw) in cases {
        assert_eq!(survives(ops, 3, None), Ok(()), "{flaw:?}");
        assert!(survives(ops, 3, Some(flaw)).is_err(), "{flaw:?}");
    }
}

#[test]
fn a_vm_started_in_an_outage_learns_the_newest_from_its_peers() {
    let mut fleet = Fleet::new(5, 3, Timing::default(), Limits::default(), 4);
    fleet.crash(4);
    fleet.run(2 * SECOND);
    fleet.put(0, Event::Put(Item::new(id(0), 9, value(9, 400_000))));
    fleet.run(SECOND);
    fleet.restart(4);
    fleet.run(2 * SECOND);
    let gossip = &fleet.nodes[4].gossip;
    assert_eq!(gossip.store().version(&id(0)), Some(9));
    assert!(gossip.store().synced_peers() > 0);
    let agreement = gossip.agreement(fleet.now, 2 * SECOND);
    assert!(agreement.heard > 0 && agreement.differ.is_empty());
}

#[test]
fn a_big_value_crosses_once_to_each_that_wants_it() {
    let mut fleet = Fleet::new(12, 3, Timing::default(), Limits::default(), 4);
    fleet.run(3 * SECOND);
    fleet.weighs = true;
    let before: u64 = fleet.nodes.iter().map(|it| it.bytes).sum();
    fleet.put(0, Event::Put(Item::new(id(0), 9, value(9, 200_000))));
    fleet.run(2 * SECOND);
    let bytes: u64 = fleet.nodes.iter().map(|it| it.bytes).sum::<u64>() - before;
    assert!((11 * 200_000..12 * 200_000).contains(&bytes), "{bytes}");
}

#[test]
fn two_that_hold_nothing_learn_nothing_by_agreeing() {
    let mut fleet = Fleet::new(2, 1, Timing::default(), Limits::default(), 4);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.nodes[0].gossip.store().synced_peers(), 0);
    fleet.put(0, Event::Put(Item::new(id(0), 9, value(9, 10))));
    fleet.run(3 * SECOND);
    assert_eq!(fleet.nodes[1].gossip.store().synced_peers(), 1);
}

fn lasting(name: &str, version: u64, seconds: u32) -> Item {
    Item::new(Id::new(Kind::Suspect, name), version, vec![1]).with_ttl(SECOND * seconds)
}

#[test]
fn what_lasts_for_a_time_ends_and_is_bounded() {
    let limits = Limits {
        lasting: 10,
        ..Limits::default()
    };
    let mut store = Store::new(limits);
    for number in 0..50 {
        let item = lasting(&format!("{number}"), 1, 60 + number);
        store.on(SECOND, spread::Event::Put(item));
    }
    assert_eq!(store.in_force().len(), 10);
    assert!(store.version(&Id::new(Kind::Suspect, "49")).is_some());
    store.on(200 * SECOND, spread::Event::Tick);
    assert!(store.in_force().is_empty());
    assert_eq!(store.digest(), 0);
}

#[test]
fn an_unwanted_big_value_is_known_by_its_version_alone() {
    let mut store = Store::new(Limits::default());
    store.skip_values(Kind::Record);
    let item = Item {
        id: Id::new(Kind::Record, "tracking/0"),
        version: 7,
        content: Content::Announced(900_000),
        left: None,
    };
    let asked = spread::Event::Asked {
        call: 1,
        address: "127.0.0.1:1".to_owned(),
        message: Message::News(vec![item.clone()]),
    };
    let effects = store.on(SECOND, asked);
    assert!(!effects.iter().any(|it| matches!(it, Effect::Ask { .. })));
    assert_eq!(store.version(&item.id), Some(7));
    assert_eq!(store.bytes(), 0);
}

fn listing(revision: u64, keys: &[(&str, u64)]) -> Listing {
    let keys = keys.iter().map(|(key, version)| Change {
        key: (*key).to_owned(),
        version: *version,
    });
    Listing {
        revision,
        keys: keys.collect(),
    }
}

fn on_duty(place: usize) -> Watcher {
    let mut watcher = Watcher::new(watcher::Timing::default(), 1);
    let duty = watcher::Event::Role {
        rank: Some(place),
        fleet_size: 12,
    };
    assert_eq!(watcher.on(SECOND, duty), [watcher::Effect::List]);
    watcher
}

#[test]
fn a_watcher_lists_reads_and_watches() {
    use watcher::{Effect as Wants, Event as Happens};
    let mut watcher = on_duty(0);
    let change = |version| Change {
        key: "doc".to_owned(),
        version,
    };
    let effects = watcher.on(SECOND, Happens::Listed(listing(5, &[("doc", 4)])));
    let expected = [
        Wants::Reachable(true),
        Wants::Read(change(4)),
        Wants::Watch(5),
    ];
    assert_eq!(effects, expected);
    assert!(watcher.on(SECOND, Happens::Read(change(4))).is_empty());
    let effects = watcher.on(SECOND, Happens::Watched(listing(8, &[("doc", 8)])));
    assert_eq!(effects, [Wants::Read(change(8)), Wants::Watch(8)]);
    watcher.on(SECOND, Happens::Read(change(8)));
    let effects = watcher.on(SECOND, Happens::Watched(listing(9, &[("doc", 0)])));
    assert_eq!(effects, [Wants::Removed(change(9)), Wants::Watch(9)]);
}

#[test]
fn a_second_watcher_reads_only_what_spread_did_not_bring() {
    use watcher::{Effect as Wants, Event as Happens};
    for (brought, reads) in [(true, 0), (false, 1)] {
        let mut watcher = on_duty(1);
        watcher.on(SECOND, Happens::Listed(listing(5, &[("doc", 4)])));
        if brought {
            let change = listing(5, &[("doc", 4)]).keys.remove(0);
            watcher.on(SECOND, Happens::Stored(change));
        }
        let effects = watcher.on(3 * SECOND, Happens::Tick);
        let count = effects.iter().filter(|it| matches!(it, Wants::Read(_)));
        assert_eq!(count.count(), reads);
    }
}

#[test]
fn in_an_outage_a_watcher_backs_off_and_then_lists_anew() {
    use watcher::{Effect as Wants, Event as Happens};
    let mut watcher = on_duty(0);
    watcher.on(SECOND, Happens::Listed(listing(5, &[])));
    watcher.on(SECOND, Happens::Failed(Call::Watch));
    assert_eq!(watcher.is_reachable(), Some(false));
    let mut asked = 0;
    for tenth in 10..6_010 {
        let now = Duration::from_millis(100) * tenth;
        let effects = watcher.on(now, Happens::Tick);
        if effects.contains(&Wants::List) {
            asked += 1;
            watcher.on(now, Happens::Failed(Call::List));
        }
    }
    assert!((60..200).contains(&asked), "{asked} lists in ten minutes");
    let wakes = watcher.on(700 * SECOND, Happens::Tick);
    assert_eq!(wakes, [Wants::List]);
    let effects = watcher.on(700 * SECOND, Happens::Listed(listing(6, &[])));
    assert_eq!(effects, [Wants::Reachable(true), Wants::Watch(6)]);
}

#[test]
fn without_watchers_the_fleet_asks_at_a_bounded_rate() {
    use watcher::{Effect as Wants, Event as Happens};
    let size = 100;
    let mut lists = 0;
    for seed in 0..100 {
        let mut watcher = Watcher::new(watcher::Timing::default(), seed);
        watcher.on(
            SECOND,
            Happens::Role {
                rank: None,
                fleet_size: size,
            },
        );
        for second in 1..=600 {
            let effects = watcher.on(SECOND * second, Happens::Tick);
            if effects.contains(&Wants::List) {
                lists += 1;
                watcher.on(SECOND * second, Happens::Failed(Call::List));
            }
        }
    }
    assert!(
        (600..1_800).contains(&lists),
        "{lists} lists in ten minutes"
    );
}
