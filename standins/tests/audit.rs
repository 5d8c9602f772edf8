//! Tables of what callers were told and what targets ran, with the findings that the audit reports.

use bramleypier_standins::{
    audit::{self, Call, Findings, ReportedOutcome},
    journal::Run,
};

fn call(id: &str, sent_ms: u64, reported: ReportedOutcome) -> Call {
    Call {
        id: id.to_owned(),
        idempotent: id.starts_with("look"),
        sent_ms,
        reported,
        sound: true,
    }
}

fn run(id: &str, started_ms: u64) -> Run {
    let is_look_up = id.starts_with("look");
    Run {
        idempotency: if is_look_up {
            String::new()
        } else {
            id.to_owned()
        },
        path: format!("/status?tag={id}"),
        key: "key".to_owned(),
        boot: "boot".to_owned(),
        epoch: 1,
        started_ms,
        ..Run::default()
    }
}

fn run_at(boot: &str, epoch: u64, started_ms: u64) -> Run {
    Run {
        boot: boot.to_owned(),
        epoch,
        ..run("", started_ms)
    }
}

/// Returns the names of the lists that are not empty.
fn finding_names(findings: &Findings) -> String {
    let lists = [
        ("doubled", &findings.doubled),
        ("lost", &findings.lost),
        ("untrue", &findings.untrue),
        ("unsound", &findings.unsound),
        ("two-owners", &findings.two_owners),
    ];
    let found = lists.iter().filter(|(_, list)| !list.is_empty());
    let found: Vec<&str> = found.map(|(name, _)| *name).collect();
    assert_eq!(found.is_empty(), findings.is_clean());
    found.join(" ")
}

#[test]
fn outcomes() {
    use ReportedOutcome::{NotRun, Ran, Unknown};
    let table = [
        ("ran once", vec![("o", 1, Ran)], vec![("o", 2)], ""),
        (
            "no response, ran",
            vec![("o", 1, Unknown)],
            vec![("o", 2)],
            "",
        ),
        ("no response, not run", vec![("o", 1, Unknown)], vec![], ""),
        ("refused", vec![("o", 1, NotRun)], vec![], ""),
        (
            "order twice",
            vec![("o", 1, Ran)],
            vec![("o", 2), ("o", 3)],
            "doubled",
        ),
        (
            "look-up twice",
            vec![("look", 1, Ran)],
            vec![("look", 2), ("look", 3)],
            "",
        ),
        ("no run", vec![("o", 1, Ran)], vec![("other", 2)], "lost"),
        (
            "refused, ran",
            vec![("o", 1, NotRun)],
            vec![("o", 2)],
            "untrue",
        ),
        (
            "look-up refused, ran",
            vec![("look", 1, NotRun)],
            vec![("look", 2)],
            "untrue",
        ),
        (
            "refused, retried",
            vec![("o", 1, NotRun), ("o", 5, Ran)],
            vec![("o", 6)],
            "",
        ),
        (
            "refused, ran, retried",
            vec![("o", 1, NotRun), ("o", 5, Ran)],
            vec![("o", 3)],
            "untrue",
        ),
        (
            "ran, retry refused",
            vec![("o", 1, Unknown), ("o", 5, NotRun)],
            vec![("o", 3)],
            "untrue",
        ),
        (
            "look-up ran, retry refused",
            vec![("look", 1, Unknown), ("look", 5, NotRun)],
            vec![("look", 3)],
            "",
        ),
        (
            "first attempt runs after the retry is refused",
            vec![("o", 1, Unknown), ("o", 5, NotRun)],
            vec![("o", 6)],
            "",
        ),
        (
            "both attempts refused, ran",
            vec![("o", 1, NotRun), ("o", 5, NotRun)],
            vec![("o", 6)],
            "untrue",
        ),
        (
            "order retried, ran twice",
            vec![("o", 1, Unknown), ("o", 5, Ran)],
            vec![("o", 2), ("o", 6)],
            "doubled",
        ),
    ];
    for (name, calls, runs, expected) in table {
        let calls: Vec<Call> = calls
            .iter()
            .map(|(id, at, reported)| call(id, *at, *reported))
            .collect();
        let runs: Vec<Run> = runs.iter().map(|(id, at)| run(id, *at)).collect();
        assert_eq!(
            finding_names(&audit::audit(&calls, &runs)),
            expected,
            "{name}"
        );
    }
}

#[test]
fn unsound_answers() {
    let truncated = Call {
        sound: false,
        ..call("o", 1, ReportedOutcome::Ran)
    };
    let findings = audit::audit(&[truncated], &[run("o", 2)]);
    assert_eq!(finding_names(&findings), "unsound");
}

#[test]
fn owners() {
    let table = [
        ("one owner", vec![("a", 1, 10), ("a", 1, 20)], ""),
        ("a move", vec![("a", 1, 10), ("b", 2, 20)], ""),
        (
            "a move there and back",
            vec![("a", 1, 10), ("b", 2, 20), ("a", 3, 30)],
            "",
        ),
        (
            "old owner continues",
            vec![("a", 1, 10), ("b", 2, 20), ("a", 1, 30)],
            "two-owners",
        ),
        (
            "one epoch, two owners",
            vec![("a", 1, 10), ("b", 1, 20)],
            "two-owners",
        ),
        (
            "one epoch, two incarnations of a target",
            vec![("a#1", 1, 10), ("a#2", 1, 20)],
            "two-owners",
        ),
        ("logs out of order", vec![("b", 2, 20), ("a", 1, 10)], ""),
        (
            "no epochs",
            vec![("a", 0, 10), ("b", 0, 20), ("a", 0, 30)],
            "",
        ),
    ];
    for (name, runs, expected) in table {
        let runs = runs
            .iter()
            .map(|(boot, epoch, at)| run_at(boot, *epoch, *at));
        let runs: Vec<Run> = runs.collect();
        assert_eq!(finding_names(&audit::audit(&[], &runs)), expected, "{name}");
    }
}
