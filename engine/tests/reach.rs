//! VMs that are cut off from all targets, replayed with many VMs: how soon they find others that reach targets.

use std::{net::SocketAddr, time::Duration};

use bramleypier_engine::reach::state::{self, State, Step};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// The time within which a VM that is cut off must have another way.
const STABILITY: Duration = Duration::from_secs(3);
/// The time between two looks, as in the task.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a connection takes to fail.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long probes without a response take.
const PROBE_TIME: Duration = Duration::from_millis(300);
/// How long it takes until all VMs of a round have answered, if some of them reach nothing either.
const ROUND_TIME: Duration = Duration::from_millis(450);
const TARGETS: usize = 40;
const PROBED_TARGETS: usize = 4;

fn address(target: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(target).unwrap() + 1))
}

/// A fleet of which some VMs are cut off, and some targets have ended.
struct Fleet {
    cut_off: Vec<bool>,
    ended: Vec<bool>,
    random: SmallRng,
}

impl Fleet {
    fn new(seed: u64, vms: usize, cut_share: f64, ended_share: f64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut cut_off: Vec<bool> = (0..vms).map(|_| random.random_bool(cut_share)).collect();
        // One VM at least reaches targets.
        cut_off[0] = false;
        let ended = (0..TARGETS)
            .map(|_| random.random_bool(ended_share))
            .collect();
        Self {
            cut_off,
            ended,
            random,
        }
    }

    fn reaches_any(&self, vm: usize, targets: &[usize]) -> bool {
        !self.cut_off[vm] && targets.iter().any(|target| !self.ended[*target])
    }

    /// Replays one VM from the start of the partition; returns when it counts as cut off, with another VM to use.
    fn replay(&mut self, vm: usize, request_interval: Duration) -> Option<Duration> {
        let mut state = State::default();
        let (mut now, mut next_request) = (Duration::ZERO, Duration::ZERO);
        while now < STABILITY {
            now += LOOK_INTERVAL;
            while next_request + CONNECT_TIMEOUT <= now {
                let target = self.random.random_range(0..TARGETS);
                if self.reaches_any(vm, &[target]) {
                    state.on_response();
                } else {
                    state.on_failure(now, address(target));
                }
                next_request += request_interval;
            }
            if state.next_step(now, 0) != Step::Check {
                continue;
            }
            let probed: Vec<usize> = (0..PROBED_TARGETS)
                .map(|_| self.random.random_range(0..TARGETS))
                .collect();
            if self.reaches_any(vm, &probed) {
                state.on_response();
                continue;
            }
            now += PROBE_TIME;
            let others = (0..self.cut_off.len()).filter(|it| *it != vm).collect();
            for round in state::search_rounds(others, &mut self.random) {
                now += ROUND_TIME;
                if round.iter().any(|other| self.reaches_any(*other, &probed)) {
                    return state.on_reached_elsewhere(now).then_some(now);
                }
            }
        }
        None
    }
}

#[test]
fn vms_that_are_cut_off_find_another_way_in_time_at_any_size() {
    for vms in [3, 12, 60, 195, 300] {
        for (seed, share) in [(1, 0.1), (2, 0.34), (3, 0.7)] {
            let mut fleet = Fleet::new(seed, vms, share, 0.2);
            let cut: Vec<usize> = (0..vms).filter(|vm| fleet.cut_off[*vm]).collect();
            for vm in cut {
                let found = fleet.replay(vm, Duration::from_millis(100));
                assert!(
                    found.is_some_and(|at| at <= STABILITY),
                    "VM {vm} of {vms}, {share} cut off: {found:?}"
                );
            }
        }
    }
}

#[test]
fn vms_that_reach_targets_never_count_as_cut_off_though_most_targets_have_ended() {
    for vms in [3, 60, 300] {
        let mut fleet = Fleet::new(7, vms, 0.0, 0.7);
        for vm in 0..vms {
            assert_eq!(fleet.replay(vm, Duration::from_millis(20)), None);
        }
    }
}

#[test]
fn a_fleet_whose_targets_have_all_ended_counts_no_vm_as_cut_off() {
    let mut fleet = Fleet::new(9, 60, 0.0, 1.0);
    for vm in 0..60 {
        assert_eq!(fleet.replay(vm, Duration::from_millis(20)), None);
    }
}
