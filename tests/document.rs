//! Tests of document validation and of the round trip between documents and their text.

use std::{env, fs, path::Path, time::Duration};

use bramleypier::document::{
    Class, Document, Fencing, Ownership, Target, TargetState, check, text,
};
use indexmap::IndexMap;
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const VALID: &str = "[service]
name = a
[class orders]
methods = POST
idempotent = false
share = 40
[class rest]
idempotent = true
share = 60
[target t1]
address = 127.0.0.1:1
domain = d
[target t2]
address = 127.0.0.1:2
domain = d
";

fn config() -> Config {
    let cases = env::var("BRAMLEYPIER_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(128),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A replacement in the valid text (old, new), and the fault that it causes.
const FAULTS: &[(&str, &str, &str)] = &[
    (
        "name = a",
        "name = A",
        "2: [service] name: `A`: a name is made of a-z, 0-9, `-` and `.`",
    ),
    (
        "name = a",
        "name = healthz",
        "2: [service] name: is a path of the router's own",
    ),
    (
        "name = a",
        "name = a\nowner = b",
        "3: [service] owner: unknown key",
    ),
    (
        "name = a",
        "name = a\nownership = none",
        "3: [service] ownership: `none` is not one of exclusive, shared",
    ),
    (
        "name = a",
        "name = a\ngroups = 3",
        "3: [service] groups: is more than the 2 targets",
    ),
    (
        "name = a",
        "name = a\ngroups = 0",
        "3: [service] groups: 0 groups is not within 1 to 4096",
    ),
    (
        "name = a",
        "name = a\nchurn_weight = NaN",
        "3: [service] churn_weight: NaN is not within 0 to 1000000",
    ),
    (
        "name = a",
        "name = a\nchurn_weight = much",
        "3: [service] churn_weight: `much` is not a number",
    ),
    (
        "idempotent = false\n",
        "",
        "3: [class orders] idempotent: missing key",
    ),
    (
        "idempotent = false",
        "idempotent = no",
        "5: [class orders] idempotent: `no` is not one of true, false",
    ),
    (
        "methods = POST",
        "methods = POST,,GET",
        "4: [class orders] methods: `` is not a method in capitals",
    ),
    (
        "methods = POST",
        "methods = ",
        "7: [class rest]: never takes a request: [class orders] takes them before",
    ),
    (
        "methods = POST",
        "path = /x",
        "4: [class orders] path: `/x` starts with `/`",
    ),
    (
        "share = 40",
        "share = 41",
        "9: [class rest] share: the shares up to here are 101 %, more than 100",
    ),
    (
        "share = 40",
        "share = 40\nqueue_ms = 10001",
        "7: [class orders] queue_ms: is more than deadline_ms",
    ),
    (
        "[class rest]",
        "[class orders]",
        "7: [class orders]: the section stands twice",
    ),
    (
        "[class rest]",
        "[class -]",
        "7: [class -]: `-`: a name starts and ends with a letter or digit",
    ),
    (
        "[class rest]",
        "[classes rest]",
        "7: [classes rest]: unknown section",
    ),
    ("[class rest]", "[class]", "7: [class]: unknown section"),
    (
        "127.0.0.1:2",
        "127.0.0.1:1",
        "14: [target t2] address: `127.0.0.1:1` is the address of [target t1]",
    ),
    (
        "127.0.0.1:2",
        "127.0.0.1:0",
        "14: [target t2] address: port 0 cannot be called",
    ),
    ("domain = d\n", "", "10: [target t1] domain: missing key"),
    (
        "domain = d\n",
        "domain = d\nstate = gone\n",
        "13: [target t1] state: `gone` is not one of serving, leaving",
    ),
    (
        "domain = d\n",
        "domain = d\nslots = 0\n",
        "13: [target t1] slots: 0 requests is not within 1 to 10000",
    ),
];

#[test]
fn faults_name_line_section_and_key() {
    for (valid, invalid, expected) in FAULTS {
        let text = VALID.replacen(valid, invalid, 1);
        let fault = text::parse("a.ini", &text).unwrap_err().to_string();
        assert_eq!(fault, format!("a.ini:{expected}"), "in {invalid}");
    }
}

#[test]
fn missing_sections_and_oversized_texts_are_rejected() {
    let cases = [
        ("", "a.ini: [service] name: missing key"),
        (
            "[service]\nname = a",
            "a.ini:1: [service]: the service has no target",
        ),
        (
            "[service]\nname = a\n[target t]\naddress = 127.0.0.1:1\ndomain = d",
            "a.ini:1: [service]: the service has no class",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(
            text::parse("a.ini", text).unwrap_err().to_string(),
            expected
        );
    }
    let long = " ".repeat(text::MAX_TEXT_BYTES + 1);
    let fault = text::parse("a.ini", &long).unwrap_err().to_string();
    assert_eq!(fault, "a.ini: has 900001 bytes, more than 900000");
}

#[test]
fn targets_and_ranges_of_a_group_are_limited_by_its_record() {
    let many = |count: usize, ranges: u32| {
        let mut document = text::parse("a.ini", VALID).unwrap();
        let target = document.targets["t1"].clone();
        document.ranges = ranges;
        document.targets = (0..count)
            .map(|index| {
                let address = format!("127.0.0.1:{}", index + 1);
                (
                    format!("t{index}"),
                    Target {
                        address,
                        ..target.clone()
                    },
                )
            })
            .collect();
        check::validate(&document).map_err(|flaw| (flaw.key, flaw.reason))
    };
    assert_eq!(many(256, 16), Ok(()));
    let reason = "leaves 257 targets to a group, more than 256".to_owned();
    assert_eq!(many(257, 1), Err(("groups", reason)));
    let reason = "leaves 4352 ranges to a group, more than 4096".to_owned();
    assert_eq!(many(17, 256), Err(("ranges", reason)));
}

/// A replacement in the next version (old, new), and the fault that it causes.
const CHANGES: &[(&str, &str, &str)] = &[
    (
        "name = a",
        "name = b",
        "2: [service] name: cannot change from `a`",
    ),
    (
        "name = a",
        "name = a\ngroups = 2",
        "3: [service] groups: cannot change from 1; make another service",
    ),
    (
        "name = a",
        "name = a\nownership = shared",
        "3: [service] ownership: cannot change; make another service",
    ),
    (
        "127.0.0.1:2",
        "127.0.0.1:3",
        "14: [target t2] address: cannot change; give the server another name",
    ),
    (
        "domain = d\n",
        "domain = e\n",
        "12: [target t1] domain: cannot change; give the server another name",
    ),
    (
        "domain = d\n",
        "domain = d\nfencing = checked\n",
        "13: [target t1] fencing: cannot change; give the server another name",
    ),
    (
        "[target t2]",
        "[target t3]",
        "1: [service]: [target t2] is gone, but it was not leaving: put `state = leaving` first",
    ),
];

#[test]
fn changes_of_fixed_keys_are_rejected() {
    let base = text::parse("a.ini", VALID).unwrap();
    for (valid, invalid, expected) in CHANGES {
        let next = VALID.replacen(valid, invalid, 1);
        let fault = text::parse_change("a.ini", &next, &base).unwrap_err();
        assert_eq!(
            fault.to_string(),
            format!("a.ini:{expected}"),
            "in {invalid}"
        );
    }
    let mut leaving = base.clone();
    leaving.targets["t2"].state = TargetState::Leaving;
    let without = VALID.split("[target t2]").next().unwrap();
    assert!(text::parse_change("a.ini", without, &leaving).is_ok());
}

#[test]
fn examples_are_valid() {
    let sizes = [
        ("quito/tracking", 15),
        ("quito/dispatch", 8),
        ("quito/archive", 13),
        ("colombo/entrydesk", 12),
        ("colombo/bibledger", 7),
        ("colombo/startlists", 11),
    ];
    for (name, targets) in sizes {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let written = fs::read_to_string(root.join(format!("examples/{name}.ini"))).unwrap();
        let document = text::parse(name, &written).unwrap();
        assert_eq!(document.targets.len(), targets, "{name}");
        let domains: IndexMap<_, _> = document.targets.values().map(|t| (&t.domain, ())).collect();
        assert_eq!(domains.len(), 3, "{name}");
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9]([a-z0-9.-]{0,8}[a-z0-9])?".prop_filter("reserved", |name| name != "healthz")
}

prop_compose! {
    fn class()(
        methods in collection::vec("[A-Z]{3,6}", 1..3),
        path in "([a-z0-9/._-]{0,8}[a-z0-9])?",
        idempotent: bool,
        share in 1_u32..=25,
        queue in 0_u64..5_000,
        rest in 1_u64..5_000,
    ) -> Class {
        Class {
            methods,
            path: path.trim_start_matches('/').to_owned(),
            idempotent,
            share,
            deadline: Duration::from_millis(queue + rest),
            queue: Duration::from_millis(queue),
        }
    }
}

prop_compose! {
    fn target()(domain in name(), checked: bool, slots in 1_u32..9, connections in 1_u32..999, leaving: bool) -> Target {
        Target {
            address: String::new(),
            domain,
            fencing: if checked { Fencing::Checked } else { Fencing::Unchecked },
            slots,
            connections,
            state: if leaving { TargetState::Leaving } else { TargetState::Serving },
        }
    }
}

prop_compose! {
    fn document()(
        service in name(),
        shared: bool,
        ranges in 1_u32..=256,
        weights in (0.0_f64..1e6, 0.0_f64..1e6),
        body_limit in 1_u64..(1 << 30),
        classes in collection::vec((name(), class()), 1..4),
        targets in collection::vec((name(), target()), 1..6),
    ) -> Document {
        let mut targets: IndexMap<_, _> = targets.into_iter().collect();
        for (index, target) in targets.values_mut().enumerate() {
            target.address = format!("10.0.0.{}:80", index + 1);
        }
        Document {
            service,
            ownership: if shared { Ownership::Shared } else { Ownership::Exclusive },
            groups: 1,
            ranges,
            unavailable_weight: weights.0,
            churn_weight: weights.1,
            body_limit,
            classes: classes.into_iter().collect(),
            targets,
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn formatted_documents_parse_to_the_same_document(document in document()) {
        let written = text::format(&document);
        match text::parse("a.ini", &written) {
            Ok(read) => prop_assert_eq!(read, document),
            // A random class may match every request of a later one, which is then invalid.
            Err(fault) => prop_assert!(fault.reason.starts_with("never takes"), "{fault}"),
        }
    }

    #[test]
    fn any_changed_line_gives_a_document_or_a_one_line_fault(line in 0_usize..16, text in "([a-z_]{1,9} ?= ?)?\\PC{0,12}") {
        let mut lines: Vec<&str> = VALID.lines().collect();
        lines[line.min(14)] = &text;
        if let Err(fault) = text::parse("a.ini", &lines.join("\n")) {
            let fault = fault.to_string();
            prop_assert!(fault.starts_with("a.ini") && !fault.contains('\n'), "{fault:?}");
        }
    }
}
