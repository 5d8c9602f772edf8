//! State charts: what is unsound is refused by place, and random events keep to the chart.

use std::{fs, path::Path, rc::Rc};

use bramleypier::{
    chart::{
        self, Chart,
        charts::{self, order},
    },
    util::names::Names,
};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SOUND: &str = "[chart]
initial = absent
final = ran, unknown
events = start, ran, refused, lost
[state absent]
start = started
[state started]
ran = ran
refused = not_run
lost = unknown
[state not_run]
start = started
";

/// What is replaced in the sound chart, by what, and the fault that follows.
const FAULTS: &[(&str, &str, &str)] = &[
    (
        "absent\nfinal",
        "none\nfinal",
        "2: [chart] initial: unknown state `none`",
    ),
    ("initial = absent\n", "", "1: [chart] initial: missing key"),
    (
        "ran, unknown",
        "ran, lost",
        "3: [chart] final: unknown state `lost`",
    ),
    (
        "refused, lost",
        "refused",
        "4: [chart] events: the event `lost` is missing",
    ),
    (
        "refused, lost",
        "refused, lost, lost",
        "4: [chart] events: the event `lost` stands twice",
    ),
    (
        "refused, lost",
        "refused, lost, rest",
        "4: [chart] events: unknown event `rest`",
    ),
    (
        "start = started\n[state started]",
        "begin = started\n[state started]",
        "6: [state absent] begin: unknown event `begin`",
    ),
    (
        "start = started\n[state started]",
        "start = running\n[state started]",
        "6: [state absent] start: unknown state `running`",
    ),
    (
        "[state not_run]",
        "[state nowhere]",
        "11: [state nowhere]: unknown state `nowhere`",
    ),
    (
        "[state not_run]",
        "[states]",
        "11: [states]: unknown section",
    ),
    (
        "[state not_run]",
        "[state absent]",
        "11: [state absent]: the section stands twice",
    ),
    (
        "ran = ran\n",
        "ran = ran\nran = ran\n",
        "9: [state started] ran: the key stands twice",
    ),
    (
        "ran = ran\n",
        "ran = unknown\n",
        ": [state ran]: cannot be reached",
    ),
    (
        "lost = unknown\n",
        "",
        "4: [chart] events: no state takes the event `lost`",
    ),
    (
        "[state not_run]\nstart = started\n",
        "",
        ": [state not_run]: is not final, but has no transition",
    ),
    (
        "[state not_run]",
        "[state ran]",
        "11: [state ran]: is final, but has a transition",
    ),
];

#[test]
fn unsound_charts_are_refused() {
    assert!(Chart::<order::State, order::Event>::parse("order", SOUND).is_ok());
    for (sound, bad, expected) in FAULTS {
        let text = SOUND.replacen(sound, bad, 1);
        let fault = Chart::<order::State, order::Event>::parse("order", &text).unwrap_err();
        let place = if expected.starts_with(':') { "" } else { ":" };
        assert_eq!(
            fault.to_string(),
            format!("charts/order.ini{place}{expected}"),
            "in {bad}"
        );
    }
}

#[test]
fn every_file_is_a_chart_of_the_code() {
    chart::check_all().unwrap();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("charts");
    let files = fs::read_dir(folder).unwrap();
    let mut names: Vec<_> = files.map(|file| file.unwrap().file_name()).collect();
    names.sort();
    assert_eq!(names, ["duty.ini", "order.ini", "target.ini", "vm.ini"]);
}

/// Drives a machine by any events, and checks it against its chart.
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
            (next, change) => panic!("{next:?} is not {change:?}"),
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
    fn machines_keep_to_their_charts(picks in collection::vec(0_usize..100, 0..40)) {
        drive(&charts::vm().unwrap(), &picks);
        drive(&charts::target().unwrap(), &picks);
        drive(&charts::duty().unwrap(), &picks);
        drive(&charts::order().unwrap(), &picks);
    }

    #[test]
    fn an_order_that_ran_never_runs_again(picks in collection::vec(0_usize..4, 0..40)) {
        let mut machine = charts::order().unwrap().machine();
        let mut started_after_run = false;
        let mut ended = false;
        for pick in picks {
            let change = machine.on(order::Event::ALL[pick]);
            started_after_run |= ended && change.is_ok();
            ended |= matches!(machine.state(), order::State::Ran | order::State::Unknown);
        }
        prop_assert!(!started_after_run);
    }
}
