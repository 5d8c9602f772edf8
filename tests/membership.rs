//! Tests of membership, during faults and after them.

mod fleet;

use std::{env, time::Duration};

use bramleypier::{
    gossip::Event,
    membership::{self, Listed, Membership, Peer, Standing, Timing},
    spread::Limits,
    watcher,
};
use fleet::{Faults, Flaw, Fleet};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};

const MILLIS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn new_fleet(count: usize, seed: u64) -> Fleet {
    Fleet::new(count, 3, Timing::default(), Limits::default(), seed)
}

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
    CutLink(usize, usize),
    Partition(usize),
    RestoreLinks,
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    SetFaults(u32, u32, u64),
    Stop(usize),
}

fn op(count: usize) -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (100..4_000_u64).prop_map(Op::Run),
        3 => (0..count, 0..count).prop_map(|(a, b)| Op::CutLink(a, b)),
        1 => (1..count).prop_map(Op::Partition),
        2 => Just(Op::RestoreLinks),
        2 => (0..count).prop_map(Op::Crash),
        2 => (0..count).prop_map(Op::Restart),
        2 => (0..count, 100..6_000_u64).prop_map(|(it, ms)| Op::Pause(it, ms)),
        2 => (0..40_u32, 0..20_u32, 0..400_u64).prop_map(|(a, b, c)| Op::SetFaults(a, b, c)),
        1 => (0..count).prop_map(Op::Stop),
    ]
}

fn apply(fleet: &mut Fleet, op: &Op) {
    match *op {
        Op::Run(ms) => fleet.run(MILLIS * u32::try_from(ms).unwrap_or(0)),
        Op::CutLink(a, b) => {
            fleet.cuts.insert((a, b));
        }
        Op::Partition(at) => {
            let all = fleet.nodes.len();
            let pairs = (0..at).flat_map(|a| (at..all).flat_map(move |b| [(a, b), (b, a)]));
            fleet.cuts.extend(pairs);
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
        Op::Stop(it) => {
            fleet.put(it, Event::Stop);
            fleet.run(100 * MILLIS);
            fleet.crash(it);
        }
    }
}

fn end_faults(fleet: &mut Fleet, span: Duration) {
    fleet.cuts.clear();
    fleet.faults = Faults::default();
    read_list(fleet);
    fleet.run(span);
}

/// Has each VM that is a watcher of its failure domain, in its own view, read the platform's list.
///
/// Without the list, VMs whose seeds all stopped could not find each other.
fn read_list(fleet: &mut Fleet) {
    let running = fleet.running();
    let listed = |number: &usize| {
        let peer = fleet.peer(*number);
        Listed {
            name: membership::name(&peer.vm).to_owned(),
            address: peer.address,
            domain: peer.domain,
            leaving: false,
        }
    };
    let list: Vec<Listed> = running.iter().map(listed).collect();
    for number in running {
        let me = fleet.peer(number);
        let members = fleet.nodes[number].gossip.membership();
        let watchers = members.candidates_in(fleet.now, watcher::SUBJECT, 2, &me.domain);
        if watchers.contains(&me) {
            fleet.put(number, Event::List(list.clone()));
        }
    }
}

/// Checks that each running VM has exactly the running VMs as live members.
fn check_views(fleet: &Fleet) -> Result<(), String> {
    let running = fleet.running();
    for a in &running {
        let members = fleet.nodes[*a].gossip.membership();
        let mut live: Vec<Peer> = members.live();
        let mut expected: Vec<Peer> = running.iter().map(|b| fleet.peer(*b)).collect();
        live.sort_by(|x, y| x.vm.cmp(&y.vm));
        expected.sort_by(|x, y| x.vm.cmp(&y.vm));
        if live != expected {
            return Err(format!(
                "vm {a} has live members {live:?}, expected {expected:?}"
            ));
        }
    }
    let digests = running
        .iter()
        .map(|it| fleet.nodes[*it].gossip.membership().digest());
    let mut digests: Vec<u64> = digests.collect();
    digests.dedup();
    if digests.len() > 1 {
        return Err(format!("views differ: {digests:x?}"));
    }
    Ok(())
}

fn check_faults(ops: &[Op], seed: u64, flaw: Option<Flaw>) -> Result<(), String> {
    let mut fleet = new_fleet(7, seed);
    fleet.flaw = flaw;
    for op in ops {
        apply(&mut fleet, op);
        for node in &fleet.nodes {
            let count = node.gossip.membership().member_count();
            if count > 2 * (3 * 32 + 32) {
                return Err(format!("view with {count} members"));
            }
        }
    }
    end_faults(&mut fleet, 30 * SECOND);
    check_views(&fleet)
}

#[test]
fn all_vms_agree_on_the_members_after_any_faults() {
    let ops = proptest::collection::vec(op(7), 1..24);
    let mut runner = TestRunner::new(config());
    runner
        .run(&(ops, any::<u64>()), |(ops, seed)| {
            check_faults(&ops, seed, None).map_err(TestCaseError::fail)
        })
        .unwrap();
}

#[test]
fn the_check_fails_without_refutation() {
    let ops = [
        Op::Run(3_000),
        Op::Partition(3),
        Op::Run(6_000),
        Op::RestoreLinks,
        Op::Run(3_000),
    ];
    assert_eq!(check_faults(&ops, 1, None), Ok(()));
    assert!(check_faults(&ops, 1, Some(Flaw::NoRefutation)).is_err());
}

#[test]
fn no_member_is_declared_lost_without_faults() {
    for seed in 0..8 {
        let mut fleet = new_fleet(12, seed);
        fleet.faults.delay = 20 * MILLIS;
        fleet.run(60 * SECOND);
        assert_eq!(check_views(&fleet), Ok(()));
        assert!(
            fleet
                .told
                .iter()
                .all(|it| it.update.standing == Standing::Live)
        );
    }
}

#[test]
fn a_cut_link_between_two_vms_declares_no_member_lost() {
    for cuts in [vec![(1, 2)], vec![(2, 1)], vec![(1, 2), (2, 1)]] {
        let mut fleet = new_fleet(6, 5);
        fleet.run(3 * SECOND);
        fleet.cuts.extend(cuts);
        fleet.run(60 * SECOND);
        assert_eq!(check_views(&fleet), Ok(()));
        assert!(
            fleet
                .told
                .iter()
                .all(|it| it.update.standing < Standing::Gone)
        );
    }
}

#[test]
fn all_vms_declare_a_lost_vm_and_a_restart_replaces_it_at_once() {
    let mut fleet = new_fleet(12, 3);
    fleet.run(5 * SECOND);
    let old = fleet.peer(4).vm;
    fleet.crash(4);
    fleet.restart(4);
    fleet.run(SECOND);
    for number in fleet.running() {
        assert!(!fleet.nodes[number].gossip.membership().is_live(&old));
    }
    fleet.crash(4);
    fleet.run(4 * SECOND);
    assert_eq!(check_views(&fleet), Ok(()));
}

#[test]
fn a_paused_vm_declares_no_other_lost() {
    let mut fleet = new_fleet(6, 9);
    fleet.run(3 * SECOND);
    fleet.pause(2, 10 * SECOND);
    fleet.run(20 * SECOND);
    let is_lost = |it: &fleet::Told| it.update.standing >= Standing::Gone;
    let losses = fleet.told.iter().filter(|it| is_lost(it));
    assert!(losses.clone().all(|it| it.update.peer.vm == "vm-2#0"));
    assert!(losses.count() > 0);
    assert_eq!(check_views(&fleet), Ok(()));
}

#[test]
fn a_member_that_often_returns_is_temporarily_no_candidate() {
    let mut fleet = new_fleet(4, 9);
    fleet.run(3 * SECOND);
    for _ in 0..3 {
        fleet.pause(2, 5 * SECOND);
        fleet.run(7 * SECOND);
    }
    let now = fleet.now;
    let members = fleet.nodes[0].gossip.membership();
    let is_candidate = |now| {
        let candidates = members.candidates(now, "group-1", 4, None);
        candidates.iter().any(|it| it.vm == "vm-2#0")
    };
    assert!(members.is_live("vm-2#0"));
    assert!(!is_candidate(now));
    assert!(is_candidate(now + 90 * SECOND));
}

#[test]
fn candidates_are_in_different_domains_and_equal_at_all_vms() {
    let mut fleet = new_fleet(9, 2);
    fleet.run(5 * SECOND);
    let chosen = |number: usize, outside| {
        let members = fleet.nodes[number].gossip.membership();
        members.candidates(fleet.now, "group-1", 3, outside)
    };
    let mut domains: Vec<String> = chosen(0, None).into_iter().map(|it| it.domain).collect();
    domains.sort();
    domains.dedup();
    assert_eq!(domains.len(), 3);
    assert!(
        chosen(0, Some("domain-1"))
            .iter()
            .all(|it| it.domain != "domain-1")
    );
    assert_eq!(chosen(0, Some("domain-1")).len(), 3);
    for number in 1..9 {
        assert_eq!(chosen(number, None), chosen(0, None));
    }
}

#[test]
fn a_leaving_vm_is_no_candidate_and_a_stopped_one_has_left() {
    let mut fleet = new_fleet(5, 4);
    fleet.run(3 * SECOND);
    fleet.put(3, Event::Leave);
    fleet.run(2 * SECOND);
    let members = fleet.nodes[0].gossip.membership();
    assert!(members.is_live("vm-3#0"));
    assert_eq!(members.live().len(), 5);
    assert_eq!(members.candidates(fleet.now, "x", 9, None).len(), 4);
    fleet.put(3, Event::Stop);
    fleet.run(200 * MILLIS);
    fleet.crash(3);
    fleet.run(SECOND);
    let members = fleet.nodes[0].gossip.membership();
    assert_eq!(members.standing("vm-3#0"), Some(Standing::Left));
    assert_eq!(check_views(&fleet), Ok(()));
}

#[test]
fn members_without_seeds_are_found_through_the_list() {
    let peer = |name: &str, port: u16| Listed {
        name: name.to_owned(),
        address: format!("127.0.0.1:{port}"),
        domain: "uio-sur".to_owned(),
        leaving: false,
    };
    let mut members = Membership::new(Peer::default(), Timing::default(), 1);
    let list = vec![peer("vm-1", 1), peer("vm-2", 2)];
    members.on(SECOND, membership::Event::List(list));
    let effects = members.on(SECOND, membership::Event::Tick);
    assert_eq!(effects.len(), 2);
}

#[test]
fn the_smaller_side_of_a_partition_reports_a_minority() {
    let mut fleet = new_fleet(6, 8);
    fleet.run(5 * SECOND);
    apply(&mut fleet, &Op::Partition(2));
    fleet.run(6 * SECOND);
    assert!(fleet.nodes[0].gossip.membership().is_minority());
    assert!(!fleet.nodes[4].gossip.membership().is_minority());
}

/// Creates a fleet far larger than its views, so that their limits take effect in a fleet that is
/// small enough to run fast.
fn new_bounded_fleet(count: usize, seed: u64) -> Fleet {
    let timing = Timing {
        duty: 4,
        others: 8,
        ..Timing::default()
    };
    Fleet::new(count, 3, timing, Limits::default(), seed)
}

fn candidates_at(fleet: &Fleet, number: usize) -> Vec<Peer> {
    let members = fleet.nodes[number].gossip.membership();
    members.candidates(fleet.now, "group-1", 6, None)
}

#[test]
fn bounded_views_agree_on_the_candidates_and_replace_lost_ones() {
    let mut fleet = new_bounded_fleet(60, 6);
    fleet.run(20 * SECOND);
    for round in 0..2 {
        let first = candidates_at(&fleet, 0);
        for number in fleet.running() {
            let members = fleet.nodes[number].gossip.membership();
            assert!(members.member_count() <= 3 * 4 + 8 + 3 * 4 + 8);
            assert_eq!(
                candidates_at(&fleet, number),
                first,
                "round {round} at {number}"
            );
        }
        let lost: Vec<usize> = first.iter().map(number_of).filter(|it| *it != 0).collect();
        for number in &lost {
            fleet.crash(*number);
        }
        fleet.run(30 * SECOND);
        let now = candidates_at(&fleet, 0);
        assert!(now.iter().all(|peer| !lost.contains(&number_of(peer))));
        assert_eq!(now.len(), 6);
    }
}

/// Checks that all running VMs choose the same candidates, and only running ones.
fn check_candidates(fleet: &Fleet) -> Result<(), String> {
    let running = fleet.running();
    let Some(first) = running.first() else {
        return Ok(());
    };
    let expected = candidates_at(fleet, *first);
    for number in &running {
        let chosen = candidates_at(fleet, *number);
        if chosen != expected {
            return Err(format!(
                "vm {number} chooses {chosen:?}, expected {expected:?}"
            ));
        }
    }
    let runs = |peer: &Peer| running.iter().any(|it| fleet.peer(*it) == *peer);
    if expected.iter().all(runs) {
        Ok(())
    } else {
        Err(format!("not all candidates run: {expected:?}"))
    }
}

fn check_bounded_faults(ops: &[Op], seed: u64) -> Result<(), String> {
    let timing = Timing {
        duty: 2,
        others: 4,
        ..Timing::default()
    };
    let mut fleet = Fleet::new(24, 3, timing, Limits::default(), seed);
    fleet.run(5 * SECOND);
    for op in ops {
        apply(&mut fleet, op);
    }
    // A returned member is no candidate for up to 80 s, and for different times at VMs that saw
    // different returns.
    end_faults(&mut fleet, 120 * SECOND);
    check_candidates(&fleet)
}

#[test]
fn bounded_views_choose_the_same_candidates_after_any_faults() {
    let ops = proptest::collection::vec(op(24), 1..24);
    let config = Config {
        cases: config().cases / 4 + 1,
        ..config()
    };
    TestRunner::new(config)
        .run(&(ops, any::<u64>()), |(ops, seed)| {
            check_bounded_faults(&ops, seed).map_err(TestCaseError::fail)
        })
        .unwrap();
}

fn number_of(peer: &Peer) -> usize {
    let name = membership::name(&peer.vm);
    name.trim_start_matches("vm-").parse().unwrap()
}

#[test]
fn the_size_of_a_fleet_beyond_the_view_is_estimated() {
    let mut fleet = new_bounded_fleet(60, 6);
    fleet.run(20 * SECOND);
    let size = fleet.nodes[5].gossip.membership().fleet_size();
    assert!((30..120).contains(&size), "{size}");
}
