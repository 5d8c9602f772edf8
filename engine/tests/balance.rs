//! Tests which keys the manager moves between targets, under loads that are hard to balance: a skewed start,
//! a hot key that a slow target can't serve, targets that join, and loads that only vary at random.

use std::time::Duration;

use bramleypier_engine::owner::{
    balance::{self, Candidate, Move},
    load::Load,
    record::{Incarnation, KeyRange, Record, RequestKey},
    redistribution,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::time;

const LAST_KEY: RequestKey = 65_535;
/// The time between two rounds of moves.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

fn candidate(number: u16, capacity: f64) -> Candidate {
    Candidate {
        incarnation: Incarnation {
            id: format!("t{number}"),
            start_time: 1,
            address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
        },
        capacity,
    }
}

/// A record that splits all keys evenly among the candidates.
fn split_evenly(candidates: &[Candidate]) -> Record {
    let count = candidates.len() as u64;
    let width = (LAST_KEY + 1) / count;
    let range = |(at, candidate): (u64, &Candidate)| KeyRange {
        from: at * width,
        to: if at + 1 == count {
            LAST_KEY
        } else {
            (at + 1) * width - 1
        },
        fence: 1,
        owner: Some(candidate.incarnation.clone()),
    };
    Record {
        ranges: (0..).zip(candidates).map(range).collect(),
        ..Record::default()
    }
}

/// Ten candidates of equal capacity, a record that splits all keys evenly, and the number of keys of each candidate.
fn ten_candidates() -> (Vec<Candidate>, Record, u64) {
    let candidates: Vec<_> = (0..10).map(|number| candidate(number, 30.0)).collect();
    let record = split_evenly(&candidates);
    (candidates, record, (LAST_KEY + 1) / 10)
}

fn apply(record: &mut Record, moves: &[Move]) {
    for next in moves {
        record.split(next.from, next.to);
        let ranges = record.ranges.iter_mut();
        for range in ranges.filter(|range| next.from <= range.from && range.to <= next.to) {
            range.owner = Some(next.owner.clone());
        }
    }
}

fn utilisation(record: &Record, candidates: &[Candidate], load: &Load) -> Vec<f64> {
    let of_candidate = |candidate: &Candidate| {
        let owned = record
            .ranges
            .iter()
            .filter(|range| range.owner.as_ref() == Some(&candidate.incarnation));
        owned
            .map(|range| load.rate(range.from, range.to))
            .sum::<f64>()
            / candidate.capacity
    };
    candidates.iter().map(of_candidate).collect()
}

fn moved_fraction(moves: &[Move]) -> f64 {
    let keys: u64 = moves.iter().map(|it| it.to - it.from + 1).sum();
    let to_float = |count: u64| f64::from(u32::try_from(count).unwrap());
    to_float(keys) / to_float(LAST_KEY + 1)
}

/// Adds `rate` requests per second for some seconds, with keys sampled by `key`.
fn add_requests<F>(load: &mut Load, from: Duration, seconds: u64, rate: u64, mut key: F)
where
    F: FnMut() -> RequestKey,
{
    for tick in 0..seconds * 25 {
        let now = from + Duration::from_millis(tick * 40);
        let counts: Vec<_> = (0..rate / 25).map(|_| (key(), 1)).collect();
        load.add(now, counts);
    }
}

#[test]
fn a_skewed_start_is_redistributed_once_by_load() {
    let candidates: Vec<_> = (0..15).map(|number| candidate(number, 30.0)).collect();
    let mut record = split_evenly(&candidates);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(3);
    add_requests(&mut load, Duration::ZERO, 1, 250, || {
        38_000 + random.random_range(0..4000)
    });
    let before = utilisation(&record, &candidates, &load);
    assert!(before.iter().any(|it| *it > 3.0), "{before:?}");
    let moves = redistribution::plan(&record, &candidates, &load);
    apply(&mut record, &moves);
    let after = utilisation(&record, &candidates, &load);
    assert!(after.iter().all(|it| *it < 1.0), "{after:?}");
    assert!(
        redistribution::plan(&record, &candidates, &load).is_empty(),
        "redistributed twice"
    );
}

#[test]
fn a_key_busier_than_its_slow_owner_moves_to_a_fast_one_and_stays() {
    let mut candidates: Vec<_> = (0..15).map(|number| candidate(number, 22.0)).collect();
    for fast in [4, 9, 14] {
        candidates[fast].capacity = 50.0;
    }
    let mut record = split_evenly(&candidates);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(5);
    add_requests(&mut load, Duration::ZERO, 5, 150, || {
        random.random_range(0..=LAST_KEY)
    });
    let hot = 100;
    let mut owners = Vec::new();
    let mut cooling: Vec<Move> = Vec::new();
    for round in 0..10 {
        let from = Duration::from_secs(5) + Duration::from_millis(400 * round);
        for tick in 0..10 {
            let now = from + Duration::from_millis(tick * 40);
            let counts = [(hot, 2), (random.random_range(0..=LAST_KEY), 4)];
            load.add(now, counts);
        }
        let moves = balance::plan(&record, &candidates, &load, &cooling);
        apply(&mut record, &moves);
        cooling.extend(moves);
        owners.push(record.find(hot).unwrap().owner.clone().unwrap().id);
    }
    let last = owners.last().unwrap();
    assert!(["t4", "t9", "t14"].contains(&last.as_str()), "{owners:?}");
    owners.dedup();
    assert!(
        owners.len() <= 3,
        "the key moved back and forth: {owners:?}"
    );
}

#[test]
fn a_target_that_joins_gets_some_load() {
    let mut candidates: Vec<_> = (0..4).map(|number| candidate(number, 30.0)).collect();
    let record = split_evenly(&candidates);
    candidates.push(candidate(9, 30.0));
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(8);
    add_requests(&mut load, Duration::ZERO, 8, 50, || {
        random.random_range(0..=LAST_KEY)
    });
    let moves = balance::plan(&record, &candidates, &load, &[]);
    assert!(moves.iter().any(|it| it.owner.id == "t9"), "{moves:?}");
}

#[test]
fn random_variation_of_load_moves_nothing() {
    let candidates: Vec<_> = (0..8).map(|number| candidate(number, 40.0)).collect();
    let record = split_evenly(&candidates);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(9);
    add_requests(&mut load, Duration::ZERO, 20, 100, || {
        random.random_range(0..=LAST_KEY)
    });
    assert!(balance::plan(&record, &candidates, &load, &[]).is_empty());
    assert!(redistribution::plan(&record, &candidates, &load).is_empty());
}

#[test]
fn a_hot_run_of_keys_is_relieved_by_moving_few_keys() {
    let candidates: Vec<_> = (0..8).map(|number| candidate(number, 30.0)).collect();
    let record = split_evenly(&candidates);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(10);
    add_requests(&mut load, Duration::ZERO, 8, 75, || {
        match random.random_range(0..3) {
            0 => 500 + random.random_range(0..60),
            _ => random.random_range(0..=LAST_KEY),
        }
    });
    let moves = balance::plan(&record, &candidates, &load, &[]);
    assert!(!moves.is_empty());
    assert!(moved_fraction(&moves) < 0.02, "{moves:?}");
}

/// Guards against one target that blocks the relief of all others: the busiest target owned only a key that no target
/// can serve, and until that key was less busy, no keys left the other busy targets.
#[test]
fn a_target_that_can_not_be_relieved_keeps_no_other_from_it() {
    let (candidates, record, width) = ten_candidates();
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(11);
    add_requests(&mut load, Duration::ZERO, 8, 125, || {
        match random.random_range(0..10) {
            0..=4 => 17,
            5..=7 => width + random.random_range(0..width),
            _ => random.random_range(2 * width..=LAST_KEY),
        }
    });
    let before = utilisation(&record, &candidates, &load);
    assert!(before[0] > 1.5 && before[1] > 1.0, "{before:?}");
    let moves = balance::plan(&record, &candidates, &load, &[]);
    let relieves = |it: &Move| (width..2 * width).contains(&it.from);
    assert!(moves.iter().any(relieves), "{moves:?}");
}

/// Guards against one target whose keys are all in their cooldown: they stay where they are, and they also kept the
/// keys of all other busy targets in place.
#[test]
fn a_busy_target_whose_keys_rest_keeps_no_other_from_being_relieved() {
    let (candidates, record, width) = ten_candidates();
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(12);
    add_requests(&mut load, Duration::ZERO, 8, 125, || {
        match random.random_range(0..10) {
            0..=3 => random.random_range(0..width),
            4..=6 => width + random.random_range(0..width),
            _ => random.random_range(2 * width..=LAST_KEY),
        }
    });
    let cooling = Move {
        from: 0,
        to: width - 1,
        owner: candidates[0].incarnation.clone(),
    };
    let moves = balance::plan(&record, &candidates, &load, &[cooling]);
    let relieves = |it: &Move| (width..2 * width).contains(&it.from);
    assert!(moves.iter().any(relieves), "{moves:?}");
}

/// Returns the processor time of this thread, which other processes don't lengthen by taking turns with it.
fn processor_time() -> Duration {
    let spent = time::clock_gettime(time::ClockId::ThreadCPUTime);
    Duration::try_from(spent).unwrap()
}

/// Guards against a round of moves that takes the manager longer than the time between two rounds, as it did with
/// 3,000 targets of which hundreds were overloaded and could not be relieved.
#[test]
fn a_round_examines_few_of_thousands_of_busy_targets() {
    let mut candidates: Vec<_> = (0..3000).map(|number| candidate(number, 2.0)).collect();
    for candidate in &mut candidates[1000..] {
        candidate.capacity = 6.0;
    }
    let record = split_evenly(&candidates);
    let width = (LAST_KEY + 1) / 3000;
    let mut load = Load::default();
    let busy = (0..1000 * width).map(|key| (key, 4));
    load.add(Duration::ZERO, busy);
    let cooling = Move {
        from: 0,
        to: LAST_KEY,
        owner: candidates[0].incarnation.clone(),
    };
    let start = processor_time();
    let moves = balance::plan(&record, &candidates, &load, &[cooling]);
    let took = processor_time().saturating_sub(start);
    assert!(took < ROUND_INTERVAL, "{took:?}");
    assert_eq!(moves, []);
}

/// Guards against the same with uneven speeds and hot keys, when hundreds of moves are worth making.
#[test]
fn a_round_of_hundreds_of_moves_among_thousands_of_targets_is_short() {
    let speed = |number: u16| if number.is_multiple_of(3) { 16.0 } else { 7.0 };
    let candidates: Vec<_> = (0..4096)
        .map(|number| candidate(number, speed(number)))
        .collect();
    let record = split_evenly(&candidates);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(13);
    add_requests(&mut load, Duration::ZERO, 5, 24_000, || {
        if random.random_bool(0.3) {
            20_000 + random.random_range(0..1600)
        } else {
            random.random_range(0..=LAST_KEY)
        }
    });
    let start = processor_time();
    let moves = balance::plan(&record, &candidates, &load, &[]);
    let took = processor_time().saturating_sub(start);
    assert!(took < ROUND_INTERVAL, "{took:?}");
    let level = balance::level(&record, &candidates, &load, &[]);
    assert_eq!(moves.len(), 512);
    assert!(level.len() > 1000, "{}", level.len());
}
