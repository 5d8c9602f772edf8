//! A VM is reported as gone only when that is certain.

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

/// Seconds since the VM `a#2` was first named, listed names, live VMs, and whether `a#2` is gone.
type Case<'a> = (u64, &'a [&'a str], &'a [&'a str], bool);

const CASES: &[Case<'_>] = &[
    // The list may predate the VM.
    (0, &[], &[], false),
    (59, &[], &["a#2"], false),
    (59, &["b"], &[], false),
    // The list's maximum lag and the call's duration have passed.
    (63, &["b"], &[], true),
    (63, &["a"], &[], false),
    // The VM isn't listed, but answers probes.
    (63, &["b"], &["a#2"], false),
    // Another process of the same name is live.
    (1, &["a"], &["a#3"], true),
    (1, &["a"], &["a#1"], false),
    (1, &["a"], &["ab#3"], false),
    // Two live processes of one name: neither is gone while both answer probes.
    (1, &["a"], &["a#2", "a#3"], false),
];

#[test]
fn reports_a_vm_as_gone_only_when_that_is_certain() {
    for (second, names, vms, expected) in CASES {
        let mut detector = RemovalDetector::new(LAG);
        let named = ["a#2".to_owned()].into();
        detector.detect(
            Duration::from_secs(5),
            &named,
            &listed(&["a"]),
            &live(&["a#2"]),
        );
        let now = Duration::from_secs(5 + second);
        let found = detector.detect(now, &named, &listed(names), &live(vms));
        assert_eq!(!found.is_empty(), *expected, "{second} {names:?} {vms:?}");
    }
}

#[test]
fn a_vm_that_is_named_again_starts_a_new_waiting_time() {
    let mut detector = RemovalDetector::new(LAG);
    let named = ["a#2".to_owned()].into();
    detector.detect(Duration::ZERO, &named, &[], &[]);
    detector.detect(Duration::from_secs(90), &[].into(), &[], &[]);
    assert!(
        detector
            .detect(Duration::from_secs(91), &named, &[], &[])
            .is_empty()
    );
}
