//! The measurements, as tables of look-ups and runs.

use std::time::Duration;

use bramleypier_standins::{caller::Sample, journal::Run, measure};
use indexmap::IndexSet;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sample(sent: u64, took: u64, target: &str) -> Sample {
    Sample {
        service: "s".to_owned(),
        key: "k".to_owned(),
        sent: ms(sent),
        took: ms(took),
        target: target.to_owned(),
        reason: String::new(),
    }
}

fn run(key: &str, target: &str, started_ms: u64, epoch: u64) -> Run {
    Run {
        key: key.to_owned(),
        target: target.to_owned(),
        started_ms,
        epoch,
        ..Run::default()
    }
}

#[test]
fn gaps() {
    let table = [
        ("all served", vec![(0, 5, "t"), (20, 5, "t")], 0),
        (
            "one failed",
            vec![(0, 5, "t"), (20, 5, ""), (40, 5, "t")],
            20,
        ),
        (
            "a slow one counts as failed",
            vec![(0, 900, "t"), (20, 5, "t")],
            20,
        ),
        (
            "the longest of two gaps",
            vec![(0, 5, ""), (20, 5, "t"), (40, 5, ""), (90, 5, "t")],
            50,
        ),
        (
            "look-ups out of order",
            vec![(40, 5, "t"), (20, 5, ""), (0, 5, "t")],
            20,
        ),
        ("never served again", vec![(0, 5, "t"), (20, 5, "")], 980),
    ];
    for (name, samples, expected) in table {
        let samples = samples
            .iter()
            .map(|(sent, took, target)| sample(*sent, *took, target));
        let samples: Vec<Sample> = samples.collect();
        assert_eq!(
            measure::gaps(&samples, ms(1000))["k"],
            ms(expected),
            "{name}"
        );
    }
}

#[test]
fn owners_before_an_event() {
    let samples = [
        sample(30, 1, "b"),
        sample(10, 1, "a"),
        sample(50, 1, "a"),
        sample(20, 1, ""),
    ];
    let keys = |target: &str, before| {
        let targets = IndexSet::from([target.to_owned()]);
        measure::keys_served_by(&samples, &targets, ms(before)).len()
    };
    assert_eq!((keys("a", 25), keys("b", 25)), (1, 0));
    assert_eq!((keys("a", 40), keys("b", 40)), (0, 1));
    assert_eq!(keys("a", 60), 1);
}

#[test]
fn churn_and_imbalance() {
    let runs = [
        run("k", "a", 1, 1),
        run("k", "b", 3, 2),
        run("k", "a", 2, 1),
        run("k", "b", 4, 2),
        run("l", "a", 1, 1),
        // Keys of shared services have no owners (epoch 0), so they don't count as moved.
        run("m", "a", 1, 0),
        run("m", "b", 2, 0),
    ];
    assert!((measure::churn(&runs) - 0.5).abs() < 1e-9);
    let names = ["a", "b", "c"].map(str::to_owned);
    assert!((measure::imbalance(&runs, &names) - 4.0 * 3.0 / 7.0).abs() < 1e-9);
    assert!((measure::imbalance(&[], &names) - 1.0).abs() < 1e-9);
}
