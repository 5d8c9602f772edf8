//! Tests of settings: each fault is one line with the file, line, key and reason.

use std::{env, path::Path, time::Duration};

use bramleypier::settings;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const VALID: &str = "[vm]
name = vm-1
domain = uio-norte
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
address = 127.0.0.1:7000
";

fn config() -> Config {
    let cases = env::var("BRAMLEYPIER_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(128),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn missing_keys_have_their_presets() {
    let settings = settings::parse("vm.ini", VALID).unwrap();
    assert_eq!(settings.domain, "uio-norte");
    assert_eq!(settings.timing.drain, Duration::from_secs(30));
    assert!(settings.seeds.is_empty() && settings.statsd.is_none() && settings.log_file.is_none());
}

#[test]
fn optional_keys_are_parsed() {
    let text = format!(
        "{VALID}[peers] ; known at the start\nseeds = 127.0.0.1:1, 127.0.0.1:2 ; two\n\
         [log]\nlevel = warn\nfile = C:\\vm.log\n[metrics]\n\tstatsd=127.0.0.1:8125\r\n\
         [limits]\nevents = 10\n"
    );
    let settings = settings::parse("vm.ini", &text).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.log_level, log::LevelFilter::Warn);
    assert_eq!(settings.log_file.as_deref(), Some(Path::new("C:\\vm.log")));
    assert_eq!(settings.statsd.unwrap().port(), 8125);
    assert_eq!(settings.limits.events, 10);
    let text = VALID.replace(
        "peers = 127.0.0.1:0",
        "peers = 127.0.0.1:0\nadvertise = 127.0.0.1:9",
    );
    let settings = settings::parse("vm.ini", &text).unwrap();
    assert_eq!(settings.advertise.unwrap().port(), 9);
}

/// A replacement in the valid text (old, new), and the fault that it causes.
const FAULTS: &[(&str, &str, &str)] = &[
    (
        "name = vm-1",
        "name = VM 1",
        "2: [vm] name: `VM 1`: a name is made of a-z, 0-9, `-` and `.`",
    ),
    (
        "name = vm-1",
        "name =",
        "2: [vm] name: a name has 1 to 63 characters",
    ),
    (
        "name = vm-1",
        "name = ; none",
        "2: [vm] name: a name has 1 to 63 characters",
    ),
    (
        "name = vm-1",
        "name = -vm",
        "2: [vm] name: `-vm`: a name starts and ends with a letter or digit",
    ),
    (
        "name = vm-1",
        "name",
        "2: [vm] name: expected `key = value`",
    ),
    (
        "name = vm-1",
        "name: vm-1",
        "2: [vm] name: vm-1: expected `key = value`",
    ),
    (
        "name = vm-1",
        "Name = vm-1",
        "2: [vm] Name: a key is made of a-z, 0-9 and `_`",
    ),
    (
        "name = vm-1",
        "name = vm-1\nname = vm-2",
        "3: [vm] name: the key stands twice",
    ),
    (
        "name = vm-1",
        "name = vm-1\n[vm]",
        "3: [vm]: the section stands twice",
    ),
    (
        "name = vm-1",
        "name = vm-1 \\",
        "2: [vm]: a line cannot be continued with `\\`",
    ),
    (
        "name = vm-1",
        "name = v\u{7}m",
        "2: [vm]: a control character",
    ),
    ("name = vm-1", "; nothing", "1: [vm] name: missing key"),
    (
        "[vm]\n",
        "colour = red\n[vm]\n",
        "1: colour: the key stands before the first section",
    ),
    ("[vm]", "[vm", "1: the section's `]` is missing"),
    ("[vm]", "[vm] x", "1: only a comment may follow `]`"),
    ("[listen]", "[hear]", "4: [hear]: unknown section"),
    ("[listen]", "[vm x]", "4: [vm x]: unknown section"),
    (
        "callers = 127.0.0.1:0",
        "callers = localhost:0",
        "5: [listen] callers: `localhost:0` is not IP:port",
    ),
    (
        "peers = 127.0.0.1:0",
        "peers = 127.0.0.1",
        "6: [listen] peers: `127.0.0.1` is not IP:port",
    ),
    (
        "peers = 127.0.0.1:0",
        "callers = 127.0.0.1:0",
        "6: [listen] callers: the key stands twice",
    ),
    (
        "7000\n",
        "0\n",
        "8: [platform] address: port 0 cannot be called",
    ),
    (
        "7000\n",
        "7000\n[log]\nlevel = loud\n",
        "10: [log] level: `loud` is not one of error, warn, info, debug, trace",
    ),
    (
        "7000\n",
        "7000\n[limits]\nevents = 0\n",
        "10: [limits] events: 0 events is not within 1 to 1000000",
    ),
    (
        "7000\n",
        "7000\n[limits]\nevents = +5\n",
        "10: [limits] events: `+5` is not a whole number of events",
    ),
    (
        "7000\n",
        "7000\n[timing]\nprobe_ms = 1.5\n",
        "10: [timing] probe_ms: `1.5` is not a whole number of ms",
    ),
    (
        "7000\n",
        "7000\n[timing]\nspeed = 1\n",
        "10: [timing] speed: unknown key",
    ),
    (
        "7000\n",
        "7000\n[peers]\nseeds = 127.0.0.1:1,,\n",
        "10: [peers] seeds: `` is not IP:port",
    ),
];

#[test]
fn faults_name_line_section_and_key() {
    for (valid, invalid, expected) in FAULTS {
        let text = VALID.replacen(valid, invalid, 1);
        let fault = settings::parse("vm.ini", &text).unwrap_err().to_string();
        assert_eq!(fault, format!("vm.ini:{expected}"), "in {invalid}");
    }
}

#[test]
fn missing_keys_and_files_are_reported() {
    let fault = settings::parse("vm.ini", "").unwrap_err();
    assert_eq!(fault.to_string(), "vm.ini: [vm] name: missing key");
    let fault = settings::load(Path::new("no/such.ini"))
        .unwrap_err()
        .to_string();
    assert!(
        fault.starts_with("no/such.ini: cannot be read: "),
        "{fault}"
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_gives_settings_or_a_one_line_fault(text in "(\\[vm\\]|name|=|;| |\\\\|\r?\n|[\\x00-\\x7f]|\\PC){0,60}") {
        if let Err(fault) = settings::parse("vm.ini", &text) {
            let line = fault.to_string();
            prop_assert!(!line.contains('\n') && line.starts_with("vm.ini"), "{line:?}");
        }
    }

    #[test]
    fn inserted_lines_never_panic(line in 0_usize..9, text in "\\PC{0,20}") {
        let mut lines: Vec<&str> = VALID.lines().collect();
        lines.insert(line, &text);
        let _ = settings::parse("vm.ini", &lines.join("\n"));
    }
}
