//! Measures what a group's record costs those that hold it, by targets and ranges: the decisions
//! alone, without sockets.
//!
//! `cargo run --release --example role_slopes` prints, for a group of 16 targets, the record's
//! size as the platform's service and as peers see it, the size of one target's grant, and the
//! time to take a record in and to look an owner up; then the grants that its grantors send in a
//! second of calm, and the time that all their decisions take, for each grant.

#[path = "role_slopes/grants.rs"]
mod grants;

use std::{
    fmt::Write,
    hint,
    time::{Duration, Instant},
};

use bramleypier::{
    document::{Document, text},
    grant::{Claim, Grant, Held, Phase, TargetState},
    group::{
        Record,
        build::{self, Candidate},
    },
    key, peer,
    route::Table,
};

/// Targets of a group.
const TARGETS: usize = 16;
/// Ranges of a target.
const RANGES: [u32; 4] = [1, 4, 16, 64];
/// Look-ups timed.
const LOOKUPS: u32 = 1_000_000;
/// Records taken in.
const RECORDS: u32 = 50;

fn main() {
    println!(
        "| targets | ranges of each | record, bytes of JSON | record, bytes between peers \
         | a target's grant, bytes | its answer, bytes | taken in, us | look-up, ns | grants/s \
         | grantors, us a grant |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for ranges in RANGES {
        match record(ranges) {
            Some(record) => report(ranges, &record),
            None => eprintln!("no record of {ranges} ranges a target"),
        }
    }
}

fn report(ranges: u32, record: &Record) {
    let json = serde_json::to_vec(record).map_or(0, |bytes| bytes.len());
    let packed = peer::encode(record).map_or(0, |bytes| bytes.len());
    let sent = grant(record);
    let grant = serde_json::to_vec(&sent).map_or(0, |bytes| bytes.len());
    let answer = serde_json::to_vec(&answer(&sent)).map_or(0, |bytes| bytes.len());
    let taken = taken_in(record);
    let found = look_up(record);
    let (rate, time) = grants::House::new(record, &candidates()).calm();
    let cost = time.as_secs_f64() * 1e6 / rate;
    println!(
        "| {TARGETS} | {ranges} | {json} | {packed} | {grant} | {answer} | {} | {} | {rate:.0} | {cost:.1} |",
        taken.as_micros(),
        found.as_nanos()
    );
}

fn document(ranges: u32) -> Option<Document> {
    let mut text = format!(
        "[service]\nname = tracking\nownership = exclusive\ngroups = 1\nranges = {ranges}\n\
         unavailable_weight = 10\nchurn_weight = 1\nbody_limit = 1048576\n\
         [class lookups]\nmethods = GET\nidempotent = true\nshare = 100\n\
         deadline_ms = 2000\nqueue_ms = 300\n"
    );
    for number in 0..TARGETS {
        let _ = write!(
            text,
            "[target tracking-{number}]\naddress = 10.0.0.{number}:7100\n\
             domain = domain-{}\nfencing = checked\nslots = 2\nconnections = 130\n",
            number % 3
        );
    }
    text::parse("tracking.ini", &text).ok()
}

fn record(ranges: u32) -> Option<Record> {
    build::initial_record("tracking/0", 1, &document(ranges)?, &candidates())
}

fn candidates() -> Vec<Candidate> {
    (0..12)
        .map(|number| Candidate {
            vm: format!("vm-{number}#1764710000000"),
            domain: format!("domain-{}", number % 3),
        })
        .collect()
}

fn grant(record: &Record) -> Grant {
    let owner = record.ranges.first().and_then(|entry| entry.chain.first());
    let claims = record
        .ranges
        .iter()
        .filter(|entry| entry.chain.first() == owner)
        .map(|entry| Claim::new(entry.range, entry.epoch))
        .collect();
    Grant {
        boot: "1764710000000".to_owned(),
        until_ms: 1_000_000,
        ranges: claims,
        release: Vec::new(),
    }
}

fn answer(grant: &Grant) -> TargetState {
    let held = grant.ranges.iter().map(|claim| Held {
        start: claim.start,
        end: claim.end,
        epoch: claim.epoch,
        until_ms: grant.until_ms,
    });
    TargetState {
        boot: grant.boot.clone(),
        clock_ms: grant.until_ms,
        phase: Phase::Ready,
        load: 0.5,
        held: held.collect(),
        released: Vec::new(),
        refused: Vec::new(),
        running: 2,
    }
}

fn taken_in(record: &Record) -> Duration {
    let mut table = Table::default();
    let mut spent = Duration::ZERO;
    for version in 1..=RECORDS {
        let record = record.clone();
        let begun = Instant::now();
        table.on_record(u64::from(version), record);
        spent += begun.elapsed();
    }
    spent / RECORDS
}

fn look_up(record: &Record) -> Duration {
    let mut table = Table::default();
    table.on_record(1, record.clone());
    let begun = Instant::now();
    for number in 0..LOOKUPS {
        let point = key::point(&number.to_string());
        hint::black_box(table.owner(point));
    }
    begun.elapsed() / LOOKUPS
}
