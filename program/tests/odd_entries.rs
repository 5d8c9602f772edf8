//! Entries of another writer among those of the targets: VMs go on, follow the others, and send nothing there.

mod harness;

use std::time::Instant;

use bramleypier_platform_standin::server::Server;
use harness::{REQUEST_TIME, TEST_TIMEOUT, run_test, sleep_ms};
use hyper::StatusCode;

/// How deep values are nested: far deeper than a parser's call stack reaches.
const DEPTH: usize = 200_000;
/// Requests after the odd entries have come.
const REQUESTS: usize = 40;
/// The longest line of the log that an entry may cause, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// Returns an entry that would be valid with other values of these fields.
fn entry(fields: &[(&str, &str)]) -> String {
    let valid = [
        ("service", "\"plain\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"z1\""),
        ("version", "\"v1\""),
        ("capacity", "2"),
        ("state", "\"ready\""),
        ("warmup-left", "\"0ms\""),
        ("sequence", "1"),
        ("born", "1700000000000"),
    ];
    let mut parts = Vec::new();
    for (name, value) in valid {
        let odd = fields.iter().find(|(odd, _)| *odd == name);
        let value = odd.map_or(value, |(_, value)| *value);
        parts.push(format!("\"{name}\":{value}"));
    }
    format!("{{{}}}", parts.join(","))
}

/// Returns entries that name no target to use, each with what is odd about it.
fn odd_entries() -> Vec<(&'static str, String)> {
    let arrays = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let objects = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let long = format!("\"{}\"", "x".repeat(DEPTH));
    vec![
        ("nested arrays", arrays.clone()),
        ("nested objects", objects.clone()),
        ("brackets that never close", "[".repeat(DEPTH)),
        ("a nested service", entry(&[("service", &arrays)])),
        ("a nested address", entry(&[("address", &objects)])),
        ("a nested start time", entry(&[("born", &arrays)])),
        ("a nested sequence", entry(&[("sequence", &objects)])),
        ("a capacity beyond 64 bits", entry(&[("capacity", "1e30")])),
        (
            "a capacity of 64 bits",
            entry(&[("capacity", "18446744073709551615")]),
        ),
        (
            "a capacity of 32 bits",
            entry(&[("capacity", "4294967295")]),
        ),
        (
            "a sequence beyond 64 bits",
            entry(&[("sequence", "18446744073709551616")]),
        ),
        (
            "a sequence beyond all numbers",
            entry(&[("sequence", "1e999")]),
        ),
        (
            "a start time beyond 64 bits",
            entry(&[("born", "18446744073709551616")]),
        ),
        (
            "a warm-up beyond all times",
            entry(&[("warmup-left", "\"1e999s\"")]),
        ),
        (
            "a warm-up of many digits",
            entry(&[("warmup-left", "\"99999999999999999999ms\"")]),
        ),
        (
            "a port of 17 bits",
            entry(&[("address", "\"127.0.0.1:65536\"")]),
        ),
        (
            "a port of many digits",
            entry(&[("address", "\"127.0.0.1:99999999999999999999\"")]),
        ),
        ("a negative port", entry(&[("address", "\"127.0.0.1:-1\"")])),
        ("the port 0", entry(&[("address", "\"127.0.0.1:0\"")])),
        (
            "an address of nobody",
            entry(&[("address", "\"0.0.0.0:9\"")]),
        ),
        ("a long state", entry(&[("state", &long)])),
        ("a long address", entry(&[("address", &long)])),
        ("a long warm-up", entry(&[("warmup-left", &long)])),
    ]
}

/// Guards against an odd entry that ends the VMs that read it, or from which on they follow no other.
#[test]
fn odd_entries_among_the_targets_change_nothing_for_the_others() {
    run_test(async |mut harness| {
        let odd = odd_entries();
        for (number, (_, value)) in odd.iter().enumerate() {
            let key = format!("servers/i-odd-{number}");
            harness.store.put(&key, value.as_bytes());
        }
        let next = Server::start("i-next", false, REQUEST_TIME).await;
        let key = format!("servers/{}", next.id);
        harness.store.put(&key, &next.entry("plain", "ready"));
        harness.until_logged("target=i-next").await;
        let end = Instant::now() + TEST_TIMEOUT;
        while next.ran().is_empty() && Instant::now() < end {
            let _ = harness.send("GET", "/look/x", "next").await;
            sleep_ms(5).await;
        }
        assert!(!next.ran().is_empty(), "the new target gets no requests");
        for number in 0..REQUESTS {
            let id = format!("look-{number}");
            let (status, _) = harness.send("GET", "/look/x", &id).await;
            assert_eq!(status, StatusCode::OK, "{id}");
        }
        let running = harness.program.child.try_wait().unwrap().is_none();
        assert!(running, "the program has ended");
        for (number, (what, _)) in odd.iter().enumerate() {
            let used = harness
                .program
                .find_log(&format!("target-announced target=i-odd-{number} "));
            assert_eq!(used, None, "{what}");
        }
        let lines = harness.program.lines.lock().unwrap();
        let longest = lines.iter().map(String::len).max().unwrap_or_default();
        assert!(longest <= MAX_LINE_BYTES, "a line of {longest} bytes");
    });
}

/// Guards against VMs that don't start while an odd entry is there.
#[test]
fn a_vm_starts_among_odd_entries() {
    run_test(async |harness| {
        for (number, (_, value)) in odd_entries().iter().enumerate() {
            let key = format!("servers/i-odd-{number}");
            harness.store.put(&key, value.as_bytes());
        }
        let other = harness::start_vm("vm-2", harness.store_address, Some(&harness.program));
        harness.until_ready_at(&other).await;
        let (status, _) = harness.send_to(&other, "GET", "/look/x", "other").await;
        assert_eq!(status, StatusCode::OK);
        let (status, _) = harness.send("GET", "/look/x", "first").await;
        assert_eq!(status, StatusCode::OK);
    });
}
