//! Which keys move, replayed under the loads that hurt: a skewed start, one key busier than a slow
//! target can serve, targets that join, and loads that only scatter.

use std::time::{Duration, Instant};

use bramleypier_engine::owner::{
    balance::{self, Candidate, Move},
    load::Load,
    record::{Incarnation, KeyRange, Record, RequestKey},
    redistribution,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const LAST: RequestKey = 65_535;
/// The pause between two rounds of moves.
const ROUND: Duration = Duration::from_millis(400);

fn holder(number: u16, capacity: f64) -> Candidate {
    Candidate {
        incarnation: Incarnation {
            id: format!("t{number}"),
            start_time: 1,
            address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
        },
        capacity,
    }
}

/// Keys split evenly.
fn even(holders: &[Candidate]) -> Record {
    let count = holders.len() as u64;
    let width = (LAST + 1) / count;
    let part = |(at, holder): (u64, &Candidate)| KeyRange {
        from: at * width,
        to: if at + 1 == count {
            LAST
        } else {
            (at + 1) * width - 1
        },
        fence: 1,
        owner: Some(holder.incarnation.clone()),
    };
    Record {
        ranges: (0..).zip(holders).map(part).collect(),
        ..Record::default()
    }
}

/// Ten holders of one capacity with keys split evenly, and how many keys each has.
fn ten() -> (Vec<Candidate>, Record, u64) {
    let holders: Vec<_> = (0..10).map(|number| holder(number, 30.0)).collect();
    let record = even(&holders);
    (holders, record, (LAST + 1) / 10)
}

fn apply(record: &mut Record, moves: &[Move]) {
    for it in moves {
        record.split(it.from, it.to);
        let parts = record.ranges.iter_mut();
        for part in parts.filter(|part| it.from <= part.from && part.to <= it.to) {
            part.owner = Some(it.owner.clone());
        }
    }
}

fn used(record: &Record, holders: &[Candidate], load: &Load) -> Vec<f64> {
    let rate = |holder: &Candidate| {
        let own = record
            .ranges
            .iter()
            .filter(|part| part.owner.as_ref() == Some(&holder.incarnation));
        own.map(|part| load.rate(part.from, part.to)).sum::<f64>() / holder.capacity
    };
    holders.iter().map(rate).collect()
}

fn moved(moves: &[Move]) -> f64 {
    let keys: u64 = moves.iter().map(|it| it.to - it.from + 1).sum();
    let share = |count: u64| f64::from(u32::try_from(count).unwrap());
    share(keys) / share(LAST + 1)
}

/// Requests at a rate for some seconds, on keys drawn by `key`.
fn requests<F>(load: &mut Load, from: Duration, seconds: u64, rate: u64, mut key: F)
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
fn a_skewed_start_is_dealt_once_by_load() {
    let holders: Vec<_> = (0..15).map(|number| holder(number, 30.0)).collect();
    let mut record = even(&holders);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(3);
    requests(&mut load, Duration::ZERO, 1, 250, || {
        38_000 + random.random_range(0..4000)
    });
    let before = used(&record, &holders, &load);
    assert!(before.iter().any(|it| *it > 3.0), "{before:?}");
    let moves = redistribution::plan(&record, &holders, &load);
    apply(&mut record, &moves);
    let after = used(&record, &holders, &load);
    assert!(after.iter().all(|it| *it < 1.0), "{after:?}");
    assert!(
        redistribution::plan(&record, &holders, &load).is_empty(),
        "dealt again"
    );
}

#[test]
fn a_key_busier_than_its_slow_owner_moves_to_a_fast_one_and_stays() {
    let mut holders: Vec<_> = (0..15).map(|number| holder(number, 22.0)).collect();
    for fast in [4, 9, 14] {
        holders[fast].capacity = 50.0;
    }
    let mut record = even(&holders);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(5);
    requests(&mut load, Duration::ZERO, 5, 150, || {
        random.random_range(0..=LAST)
    });
    let hot = 100;
    let mut owners = Vec::new();
    let mut resting: Vec<Move> = Vec::new();
    for round in 0..10 {
        let from = Duration::from_secs(5) + Duration::from_millis(400 * round);
        for tick in 0..10 {
            let now = from + Duration::from_millis(tick * 40);
            let counts = [(hot, 2), (random.random_range(0..=LAST), 4)];
            load.add(now, counts);
        }
        let moves = balance::plan(&record, &holders, &load, &resting);
        apply(&mut record, &moves);
        resting.extend(moves);
        owners.push(record.find(hot).unwrap().owner.clone().unwrap().id);
    }
    let last = owners.last().unwrap();
    assert!(["t4", "t9", "t14"].contains(&last.as_str()), "{owners:?}");
    owners.dedup();
    assert!(owners.len() <= 3, "it went to and fro: {owners:?}");
}

#[test]
fn a_target_that_joins_gets_some_load() {
    let mut holders: Vec<_> = (0..4).map(|number| holder(number, 30.0)).collect();
    let record = even(&holders);
    holders.push(holder(9, 30.0));
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(8);
    requests(&mut load, Duration::ZERO, 8, 50, || {
        random.random_range(0..=LAST)
    });
    let moves = balance::plan(&record, &holders, &load, &[]);
    assert!(moves.iter().any(|it| it.owner.id == "t9"), "{moves:?}");
}

#[test]
fn loads_that_only_scatter_move_nothing() {
    let holders: Vec<_> = (0..8).map(|number| holder(number, 40.0)).collect();
    let record = even(&holders);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(9);
    requests(&mut load, Duration::ZERO, 20, 100, || {
        random.random_range(0..=LAST)
    });
    assert!(balance::plan(&record, &holders, &load, &[]).is_empty());
    assert!(redistribution::plan(&record, &holders, &load).is_empty());
}

#[test]
fn busy_runs_move_by_few_keys() {
    let holders: Vec<_> = (0..8).map(|number| holder(number, 30.0)).collect();
    let record = even(&holders);
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(10);
    requests(&mut load, Duration::ZERO, 8, 75, || {
        match random.random_range(0..3) {
            0 => 500 + random.random_range(0..60),
            _ => random.random_range(0..=LAST),
        }
    });
    let moves = balance::plan(&record, &holders, &load, &[]);
    assert!(!moves.is_empty());
    assert!(moved(&moves) < 0.02, "{moves:?}");
}

/// The busiest target held nothing but one key that no target can serve, and until that cooled down no keys left
/// any of the other busy ones.
#[test]
fn a_target_that_can_not_be_relieved_keeps_no_other_from_it() {
    let (holders, record, width) = ten();
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(11);
    requests(&mut load, Duration::ZERO, 8, 125, || {
        match random.random_range(0..10) {
            0..=4 => 17,
            5..=7 => width + random.random_range(0..width),
            _ => random.random_range(2 * width..=LAST),
        }
    });
    let before = used(&record, &holders, &load);
    assert!(before[0] > 1.5 && before[1] > 1.0, "{before:?}");
    let moves = balance::plan(&record, &holders, &load, &[]);
    let relieves = |it: &Move| (width..2 * width).contains(&it.from);
    assert!(moves.iter().any(relieves), "{moves:?}");
}

/// Keys that have just moved stay; that was a reason to leave all other targets' keys where they were, too.
#[test]
fn a_busy_target_whose_keys_rest_keeps_no_other_from_being_relieved() {
    let (holders, record, width) = ten();
    let mut load = Load::default();
    let mut random = StdRng::seed_from_u64(12);
    requests(&mut load, Duration::ZERO, 8, 125, || {
        match random.random_range(0..10) {
            0..=3 => random.random_range(0..width),
            4..=6 => width + random.random_range(0..width),
            _ => random.random_range(2 * width..=LAST),
        }
    });
    let resting = Move {
        from: 0,
        to: width - 1,
        owner: holders[0].incarnation.clone(),
    };
    let moves = balance::plan(&record, &holders, &load, &[resting]);
    let relieves = |it: &Move| (width..2 * width).contains(&it.from);
    assert!(moves.iter().any(relieves), "{moves:?}");
}

/// With three thousand targets, of which hundreds were too busy and could not be relieved, one round of moves took
/// the manager longer than the pause between two.
#[test]
fn a_round_looks_at_a_few_of_thousands_of_busy_targets() {
    let mut holders: Vec<_> = (0..3000).map(|number| holder(number, 2.0)).collect();
    for holder in &mut holders[1000..] {
        holder.capacity = 6.0;
    }
    let record = even(&holders);
    let width = (LAST + 1) / 3000;
    let mut load = Load::default();
    let busy = (0..1000 * width).map(|key| (key, 4));
    load.add(Duration::ZERO, busy);
    let resting = Move {
        from: 0,
        to: LAST,
        owner: holders[0].incarnation.clone(),
    };
    let begun = Instant::now();
    let moves = balance::plan(&record, &holders, &load, &[resting]);
    assert!(begun.elapsed() < ROUND, "{:?}", begun.elapsed());
    assert_eq!(moves, []);
}
