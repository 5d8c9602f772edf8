//! State charts: invalid charts are rejected with the line of the fault, and machines follow their
//! charts under random events.

use std::{fs, path::Path, rc::Rc};

use bramleypier::{
    chart::{
        self, Chart,
        charts::{self, vm},
    },
    util::names::Names,
};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const VALID: &str = "[chart]
initial = starting
final = stopped
events = listening, joined, stop, ended, expired
[state starting]
listening = joining
stop = stopped
[state joining]
joined = serving
stop = stopping
[state serving]
stop = stopping
[state stopping]
ended = stopped
expired = stopped
";

/// Text in the valid chart, its replacement, and the fault that is expected.
const FAULTS: &[(&str, &str, &str)] = &[
    (
        "starting\nfinal",
        "none\nfinal",
        ":2: [chart] initial: unknown state `none`",
    ),
    (
        "initial = starting\n",
        "",
        ":1: [chart] initial: missing key",
    ),
    (
        "stopped\nevents",
        "stopped, stop\nevents",
        ":3: [chart] final: unknown state `stop`",
    ),
    (
        "ended, expired",
        "ended",
        ":4: [chart] events: the event `expired` is missing",
    ),
    (
        "ended, expired",
        "ended, expired, ended",
        ":4: [chart] events: the event `ended` stands twice",
    ),
    (
        "ended, expired",
        "ended, expired, rest",
        ":4: [chart] events: unknown event `rest`",
    ),
    (
        "listening = joining",
        "open = joining",
        ":6: [state starting] open: unknown event `open`",
    ),
    (
        "listening = joining",
        "listening = waiting",
        ":6: [state starting] listening: unknown state `waiting`",
    ),
    (
        "[state serving]",
        "[state nowhere]",
        ":11: [state nowhere]: unknown state `nowhere`",
    ),
    (
        "[state serving]",
        "[states]",
        ":11: [states]: unknown section",
    ),
    (
        "[state serving]",
        "[state joining]",
        ":11: [state joining]: the section stands twice",
    ),
    (
        "joined = serving\n",
        "joined = serving\njoined = serving\n",
        ":10: [state joining] joined: the key stands twice",
    ),
    (
        "joined = serving\n",
        "joined = stopping\n",
        ":11: [state serving]: cannot be reached",
    ),
    (
        "expired = stopped\n",
        "",
        ":4: [chart] events: no state takes the event `expired`",
    ),
    (
        "[state serving]\nstop = stopping\n",
        "",
        ": [state serving]: is not final, but has no transition",
    ),
    (
        "expired = stopped\n",
        "expired = stopped\n[state stopped]\nstop = stopped\n",
        ":16: [state stopped]: is final, but has a transition",
    ),
];

#[test]
fn invalid_charts_are_rejected() {
    assert!(Chart::<vm::State, vm::Event>::parse("vm", VALID).is_ok());
    for (valid, invalid, expected) in FAULTS {
        let text = VALID.replacen(valid, invalid, 1);
        let fault = Chart::<vm::State, vm::Event>::parse("vm", &text).unwrap_err();
        assert_eq!(
            fault.to_string(),
            format!("charts/vm.ini{expected}"),
            "in {invalid}"
        );
    }
}

#[test]
fn every_chart_file_is_used() {
    chart::check_all().unwrap();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("charts");
    let files = fs::read_dir(folder).unwrap();
    let mut names: Vec<_> = files.map(|file| file.unwrap().file_name()).collect();
    names.sort();
    assert_eq!(names, ["duty.ini", "target.ini", "vm.ini"]);
}

/// Feeds a machine the picked events and compares each transition with the chart.
fn drive<S, E>(chart: &Rc<Chart<S, E>>, picks: &[usize])
where
    S: Names,
    E: Names,
{
    let mut machine = Rc::clone(chart).machine();
    for pick in picks {
        let event = E::ALL[pick % E::ALL.len()];
        let before = machine.state();
        match (chart.next(before, event), machine.on(event)) {
            (Some(next), Ok(change)) => assert_eq!((change.from, change.to), (before, next)),
            (None, Err(_)) => assert_eq!(machine.state(), before),
            (next, change) => panic!("the chart gives {next:?}, the machine {change:?}"),
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn machines_follow_their_charts(picks in collection::vec(0_usize..100, 0..40)) {
        drive(&charts::vm().unwrap(), &picks);
        drive(&charts::target().unwrap(), &picks);
        drive(&charts::duty().unwrap(), &picks);
    }
}
