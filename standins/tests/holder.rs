//! The rules by which a target accepts grants, as tables and as a property test.

use std::{env, time::Duration};

use bramleypier_standins::holder::{EpochRange, Grant, Holder};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn range((start, end, epoch): (u64, u64, u64)) -> EpochRange {
    EpochRange { start, end, epoch }
}

fn grant(until_ms: u64, ranges: &[(u64, u64, u64)], release: &[(u64, u64, u64)]) -> Grant {
    Grant {
        boot: String::new(),
        until_ms,
        ranges: ranges.iter().copied().map(range).collect(),
        release: release.iter().copied().map(range).collect(),
    }
}

/// Granted ranges, released ranges, and the number of ranges that are refused.
type Step = (
    &'static [(u64, u64, u64)],
    &'static [(u64, u64, u64)],
    usize,
);

/// A name, the steps, and work after them: a hash, an epoch, and whether it is admitted.
type Case = (&'static str, &'static [Step], &'static [(u64, u64, bool)]);

#[test]
fn epochs() {
    let table: &[Case] = &[
        ("nothing held", &[], &[(5, 0, false), (5, 1, false)]),
        (
            "bounds are inclusive",
            &[(&[(10, 20, 1)], &[], 0)],
            &[(9, 1, false), (10, 1, true), (20, 1, true), (21, 1, false)],
        ),
        (
            "work must name the exact epoch",
            &[(&[(0, 9, 2)], &[], 0)],
            &[(5, 1, false), (5, 2, true), (5, 3, false)],
        ),
        (
            "a lower epoch is refused",
            &[(&[(0, 9, 2)], &[], 0), (&[(0, 9, 1)], &[], 1)],
            &[(5, 1, false), (5, 2, true)],
        ),
        (
            "a higher epoch replaces the lower",
            &[(&[(0, 9, 1)], &[], 0), (&[(0, 9, 2)], &[], 0)],
            &[(5, 1, false), (5, 2, true)],
        ),
        (
            "a released epoch is refused from then on",
            &[
                (&[(0, 9, 1)], &[], 0),
                (&[], &[(0, 9, 1)], 0),
                (&[(0, 9, 1)], &[], 1),
            ],
            &[(5, 1, false)],
        ),
        (
            "release and grant in one message: the release wins",
            &[(&[(0, 9, 1)], &[(0, 9, 1)], 1)],
            &[(5, 1, false)],
        ),
        (
            "a release of a range that was never held counts too",
            &[
                (&[], &[(0, 9, 3)], 0),
                (&[(0, 9, 3)], &[], 1),
                (&[(0, 9, 4)], &[], 0),
            ],
            &[(5, 3, false), (5, 4, true)],
        ),
        (
            "a late release of an older epoch keeps the newer",
            &[(&[(0, 9, 4)], &[], 0), (&[], &[(0, 9, 3)], 0)],
            &[(5, 4, true)],
        ),
        (
            "a split at epochs above its parent's",
            &[(&[(0, 9, 1)], &[], 0), (&[(0, 4, 2), (5, 9, 3)], &[], 0)],
            &[(3, 1, false), (3, 2, true), (7, 3, true), (7, 2, false)],
        ),
        (
            "a part at the parent's epoch is refused",
            &[(&[(0, 9, 1)], &[], 0), (&[(0, 4, 1)], &[], 1)],
            &[(3, 1, true), (7, 1, true)],
        ),
        (
            "a part below the parent's epoch is refused",
            &[(&[(0, 9, 2)], &[], 0), (&[(5, 20, 1)], &[], 1)],
            &[(7, 2, true), (15, 1, false)],
        ),
        (
            "adjacent ranges don't overlap",
            &[(&[(0, 9, 5), (10, 19, 1)], &[], 0)],
            &[(9, 5, true), (10, 1, true)],
        ),
    ];
    for (name, steps, work) in table {
        let mut holder = Holder::default();
        for (ranges, release, refused) in *steps {
            let refusals = holder.grant(&grant(100, ranges, release));
            assert_eq!(refusals.len(), *refused, "{name}");
        }
        for (hash, epoch, admitted) in *work {
            let admits = holder.admits(Duration::from_millis(50), *hash, *epoch);
            assert_eq!(admits, *admitted, "{name}: {hash} at {epoch}");
        }
    }
}

#[test]
fn expiry() {
    let table = [
        ("one grant", vec![(1, 100)], (99, 1, true)),
        ("expires", vec![(1, 100)], (100, 1, false)),
        (
            "the latest expiry counts",
            vec![(1, 100), (1, 200)],
            (150, 1, true),
        ),
        (
            "an earlier expiry shortens nothing",
            vec![(1, 200), (1, 100)],
            (150, 1, true),
        ),
        (
            "a new epoch has its own expiry",
            vec![(1, 200), (2, 100)],
            (150, 2, false),
        ),
        (
            "renewed after it expired",
            vec![(1, 100), (1, 300)],
            (250, 1, true),
        ),
        ("expired on arrival", vec![(1, 10)], (50, 1, false)),
    ];
    for (name, grants, (now, epoch, admitted)) in table {
        let mut holder = Holder::default();
        for (epoch, until) in grants {
            holder.grant(&grant(until, &[(0, 9, epoch)], &[]));
        }
        let admits = holder.admits(Duration::from_millis(now), 5, epoch);
        assert_eq!(admits, admitted, "{name}");
    }
}

#[test]
fn released_once_nothing_is_in_flight() {
    let mut holder = Holder::default();
    holder.grant(&grant(100, &[(0, 9, 1), (10, 19, 1)], &[]));
    holder.start(1, 5, 1);
    holder.start(2, 15, 1);
    holder.grant(&grant(100, &[], &[(0, 9, 1)]));
    assert!(holder.released().is_empty(), "its work still runs");
    holder.end(1);
    assert_eq!(holder.released(), [range((0, 9, 1))]);
    assert_eq!(holder.running(), 1, "work of other ranges continues");
}

fn config() -> Config {
    let cases = env::var("BRAMLEYPIER_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(256),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Generates ranges of a hash space of 16 points at epochs from 1 to 6.
fn any_range() -> impl Strategy<Value = (u64, u64, u64)> {
    (0..16_u64, 0..16_u64, 1..=6_u64).prop_map(|(a, b, epoch)| (a.min(b), a.max(b), epoch))
}

proptest! {
    #![proptest_config(config())]

    /// In any order of messages, an epoch below one already granted, or one released, admits no work.
    #[test]
    fn old_epochs_are_never_admitted_again(steps in prop::collection::vec((any::<bool>(), any_range()), 1..40)) {
        let mut holder = Holder::default();
        let mut granted = [0_u64; 16];
        let mut released = [0_u64; 16];
        for (is_release, step) in steps {
            let (start, end, epoch) = step;
            let points = usize::try_from(start).unwrap()..=usize::try_from(end).unwrap();
            let message = if is_release {
                grant(100, &[], &[step])
            } else {
                grant(100, &[step], &[])
            };
            let refused = holder.grant(&message);
            let map = if is_release { &mut released } else { &mut granted };
            for point in points.filter(|_| refused.is_empty()) {
                map[point] = map[point].max(epoch);
            }
            for (point, hash) in (0..16_u64).enumerate() {
                let admitted = |epoch: &u64| holder.admits(Duration::ZERO, hash, *epoch);
                let admitted: Vec<u64> = (1..=6).filter(admitted).collect();
                prop_assert!(admitted.len() <= 1, "{hash} under {admitted:?}");
                for epoch in admitted {
                    prop_assert!(epoch >= granted[point], "{hash} under {epoch}, {} was granted", granted[point]);
                    prop_assert!(epoch > released[point], "{hash} under {epoch}, released");
                }
            }
        }
    }
}
