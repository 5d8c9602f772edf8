//! Tests of item distribution and of the watcher, during faults and after them.

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
    PutOlder(usize, usize),
    CutLink(usize, usize),
    RestoreLinks,
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    SetFaults(u32, u32, u64),
    LoseItems(usize),
}

fn op(count: usize) -> impl Strategy<Value = Op> {
    let size = prop_oneof![Just(10_usize), Just(5_000)];
    prop_oneof![
        5 => (50..3_000_u64).prop_map(Op::Run),
        6 => (0..count, 0..3_usize, size).prop_map(|(it, name, size)| Op::Put(it, name, size)),
        1 => (0..count, 0..3_usize).prop_map(|(it, name)| Op::Remove(it, name)),
        2 => (0..count, 0..3_usize).prop_map(|(it, name)| Op::PutOlder(it, name)),
        2 => (0..count, 0..count).prop_map(|(a, b)| Op::CutLink(a, b)),
        1 => Just(Op::RestoreLinks),
        1 => (0..count).prop_map(Op::Crash),
        1 => (0..count).prop_map(Op::Restart),
        1 => (0..count, 100..4_000_u64).prop_map(|(it, ms)| Op::Pause(it, ms)),
        1 => (0..40_u32, 0..20_u32, 0..400_u64).prop_map(|(a, b, c)| Op::SetFaults(a, b, c)),
        1 => (0..count).prop_map(Op::LoseItems),
    ]
}

fn id(name: usize) -> Id {
    Id::new(Kind::Document, format!("service-{name}"))
}

/// Returns a value that starts with its version, so that a value stored under a wrong version is
/// detected.
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
        Op::PutOlder(it, name) => {
            let older = *version / 2;
            let item = Item::new(id(name), older, value(older, 10));
            fleet.put(it, Event::Put(item));
        }
        Op::CutLink(a, b) => {
            fleet.cuts.insert((a, b));
        }
        Op::RestoreLinks => fleet.cuts.clear(),
        Op::Crash(it) => fleet.crash(it),
        Op::Restart(it) => fleet.restart(it),
        Op::Pause(it, ms) => fleet.pause(it, Duration::from_millis(ms)),
        Op::SetFaults(lost, doubled, delay) => {
            fleet.faults = Faults {
                lost,
                doubled,
                delay: Duration::from_millis(delay),
            };
        }
        Op::LoseItems(it) => fleet.forget(it),
    }
}

/// Returns the newest version of an item at any running process.
fn newest(fleet: &Fleet, name: usize) -> Option<u64> {
    let stored = |it: &usize| fleet.nodes[*it].gossip.store().version(&id(name));
    fleet.running().iter().filter_map(stored).max()
}

fn check_faults(ops: &[Op], seed: u64, flaw: Option<Flaw>) -> Result<(), String> {
    let mut fleet = Fleet::new(6, 3, Timing::default(), Limits::default(), seed);
    fleet.flaw = flaw;
    let mut version = 0;
    fleet.run(SECOND);
    for op in ops {
        apply(&mut fleet, op, &mut version);
        if fleet.went_back {
            return Err(format!("a lower version was accepted at {op:?}"));
        }
    }
    let expected: Vec<Option<u64>> = (0..3).map(|name| newest(&fleet, name)).collect();
    fleet.cuts.clear();
    fleet.faults = Faults::default();
    fleet.run(20 * SECOND);
    if fleet.went_back {
        return Err("a lower version was accepted".to_owned());
    }
    for number in fleet.running() {
        let store = fleet.nodes[number].gossip.store();
        for (name, expected) in expected.iter().enumerate() {
            let stored = store.version(&id(name));
            if stored < *expected {
                return Err(format!(
                    "vm {number} has version {stored:?}, expected at least {expected:?}"
                ));
            }
            let text = store.value(&id(name)).map(|bytes| bytes[..8].to_vec());
            if text.is_some_and(|text| text != stored.unwrap_or(0).to_le_bytes()) {
                return Err(format!("vm {number} has the value of another version"));
            }
        }
    }
    Ok(())
}

#[test]
fn versions_never_decrease_during_any_faults_and_all_vms_converge() {
    let ops = proptest::collection::vec(op(6), 1..40);
    let mut runner = TestRunner::new(config());
    runner
        .run(&(ops, any::<u64>()), |(ops, seed)| {
            check_faults(&ops, seed, None).map_err(TestCaseError::fail)
        })
        .unwrap();
}

#[test]
fn the_checks_detect_flaws() {
    let message_loss = [
        Op::SetFaults(39, 0, 0),
        Op::Crash(5),
        Op::Put(0, 0, 5_000),
        Op::Run(1_000),
        Op::Restart(5),
        Op::Run(1_000),
    ];
    let item_loss = [
        Op::Put(2, 0, 10),
        Op::Put(2, 0, 10),
        Op::Run(1_000),
        Op::LoseItems(4),
        Op::PutOlder(4, 0),
    ];
    let cases = [
        (&message_loss[..], Flaw::NoComparison),
        (&item_loss[..], Flaw::Amnesia),
    ];
    for (ops, flaw) in cases {
        assert_eq!(check_faults(ops, 3, None), Ok(()), "{flaw:?}");
        assert!(check_faults(ops, 3, Some(flaw)).is_err(), "{flaw:?}");
    }
}

#[test]
fn a_vm_started_during_an_outage_gets_the_newest_items_from_its_peers() {
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
fn a_large_value_is_sent_once_to_each_vm_that_needs_it() {
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
fn two_empty_processes_do_not_count_as_synced() {
    let mut fleet = Fleet::new(2, 1, Timing::default(), Limits::default(), 4);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.nodes[0].gossip.store().synced_peers(), 0);
    fleet.put(0, Event::Put(Item::new(id(0), 9, value(9, 10))));
    fleet.run(3 * SECOND);
    assert_eq!(fleet.nodes[1].gossip.store().synced_peers(), 1);
}

fn expiring(name: &str, version: u64, seconds: u32) -> Item {
    Item::new(Id::new(Kind::Suspect, name), version, vec![1]).with_ttl(SECOND * seconds)
}

#[test]
fn items_with_a_time_to_live_expire_and_are_bounded() {
    let limits = Limits {
        lasting: 10,
        ..Limits::default()
    };
    let mut store = Store::new(limits);
    for number in 0..50 {
        let item = expiring(&format!("{number}"), 1, 60 + number);
        store.on(SECOND, spread::Event::Put(item));
    }
    assert_eq!(store.in_force().len(), 10);
    assert!(store.version(&Id::new(Kind::Suspect, "49")).is_some());
    store.on(200 * SECOND, spread::Event::Tick);
    assert!(store.in_force().is_empty());
    assert_eq!(store.digest(), 0);
}

#[test]
fn only_the_version_of_a_skipped_large_value_is_stored() {
    let mut store = Store::new(Limits::default());
    store.skip_values(Kind::Record);
    let item = Item {
        id: Id::new(Kind::Record, "tracking/0"),
        version: 7,
        content: Content::Announced(900_000),
        left: None,
    };
    let request = spread::Event::Asked {
        call: 1,
        address: "127.0.0.1:1".to_owned(),
        message: Message::News(vec![item.clone()]),
    };
    let effects = store.on(SECOND, request);
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

fn active_watcher(rank: usize) -> Watcher {
    let mut watcher = Watcher::new(watcher::Timing::default(), 1);
    let role = watcher::Event::Role {
        rank: Some(rank),
        fleet_size: 12,
    };
    assert_eq!(watcher.on(SECOND, role), [watcher::Effect::List]);
    watcher
}

#[test]
fn a_watcher_lists_reads_and_watches() {
    use watcher::{Effect as Wants, Event as Happens};
    let mut watcher = active_watcher(0);
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
fn a_second_watcher_reads_only_what_it_has_not_received() {
    use watcher::{Effect as Wants, Event as Happens};
    for (received, reads) in [(true, 0), (false, 1)] {
        let mut watcher = active_watcher(1);
        watcher.on(SECOND, Happens::Listed(listing(5, &[("doc", 4)])));
        if received {
            let change = listing(5, &[("doc", 4)]).keys.remove(0);
            watcher.on(SECOND, Happens::Stored(change));
        }
        let effects = watcher.on(3 * SECOND, Happens::Tick);
        let count = effects.iter().filter(|it| matches!(it, Wants::Read(_)));
        assert_eq!(count.count(), reads);
    }
}

#[test]
fn a_watcher_backs_off_during_an_outage_and_then_lists_again() {
    use watcher::{Effect as Wants, Event as Happens};
    let mut watcher = active_watcher(0);
    watcher.on(SECOND, Happens::Listed(listing(5, &[])));
    watcher.on(SECOND, Happens::Failed(Call::Watch));
    assert_eq!(watcher.is_reachable(), Some(false));
    let mut lists = 0;
    for tenth in 10..6_010 {
        let now = Duration::from_millis(100) * tenth;
        let effects = watcher.on(now, Happens::Tick);
        if effects.contains(&Wants::List) {
            lists += 1;
            watcher.on(now, Happens::Failed(Call::List));
        }
    }
    assert!((60..200).contains(&lists), "{lists} lists in ten minutes");
    let effects = watcher.on(700 * SECOND, Happens::Tick);
    assert_eq!(effects, [Wants::List]);
    let effects = watcher.on(700 * SECOND, Happens::Listed(listing(6, &[])));
    assert_eq!(effects, [Wants::Reachable(true), Wants::Watch(6)]);
}

#[test]
fn the_fleet_lists_at_a_bounded_rate_without_watchers() {
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
