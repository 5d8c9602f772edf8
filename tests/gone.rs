//! A VM is taken for gone only where that is certain.

use std::time::Duration;

use bramleypier::{
    membership::Peer,
    platform::{Kind, ListedVm, State},
    vm::gone::RemovalDetector,
};

const LAG: Duration = Duration::from_mins(1);

fn listed(names: &[&str]) -> Vec<ListedVm> {
    let vm = |name: &&str| ListedVm {
        name: (*name).to_owned(),
        address: "127.0.0.1:1".to_owned(),
        domain: "d".to_owned(),
        kind: Kind::Entry,
        state: State::Live,
    };
    names.iter().map(vm).collect()
}

fn live(vms: &[&str]) -> Vec<Peer> {
    let peer = |vm: &&str| Peer {
        vm: (*vm).to_owned(),
        address: "127.0.0.1:1".to_owned(),
        domain: "d".to_owned(),
    };
    vms.iter().map(peer).collect()
}

/// Seconds since the VM `a#2` is known, names listed, VMs live, and whether it is gone.
type Case<'a> = (u64, &'a [&'a str], &'a [&'a str], bool);

const CASES: &[Case<'_>] = &[
    // The list may be too old to have it yet.
    (0, &[], &[], false),
    (59, &[], &["a#2"], false),
    (59, &["b"], &[], false),
    // It lags no further.
    (63, &["b"], &[], true),
    (63, &["a"], &[], false),
    // It answers all the same.
    (63, &["b"], &["a#2"], false),
    // Another start of its name.
    (1, &["a"], &["a#3"], true),
    (1, &["a"], &["a#1"], false),
    (1, &["a"], &["ab#3"], false),
    // Two processes of one name: neither is gone while both are heard.
    (1, &["a"], &["a#2", "a#3"], false),
];

#[test]
fn only_what_is_certain_is_gone() {
    for (second, names, vms, expected) in CASES {
        let mut gone = RemovalDetector::new(LAG);
        let named = ["a#2".to_owned()].into();
        gone.detect(
            Duration::from_secs(5),
            &named,
            &listed(&["a"]),
            &live(&["a#2"]),
        );
        let now = Duration::from_secs(5 + second);
        let found = gone.detect(now, &named, &listed(names), &live(vms));
        assert_eq!(!found.is_empty(), *expected, "{second} {names:?} {vms:?}");
    }
}

#[test]
fn a_vm_that_is_named_again_is_known_anew() {
    let mut gone = RemovalDetector::new(LAG);
    let named = ["a#2".to_owned()].into();
    gone.detect(Duration::ZERO, &named, &[], &[]);
    gone.detect(Duration::from_secs(90), &[].into(), &[], &[]);
    assert!(
        gone.detect(Duration::from_secs(91), &named, &[], &[])
            .is_empty()
    );
}
