//! The ownership of one service with three targets, and readers of its effects.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Target,
    owner::{
        ownership::{CallOutcome, Effect, Event, OwnershipCommand, ServiceOwnership, Timing},
        record::{Incarnation, KeyRange, Record, RequestKey},
    },
};

pub const TIMING: Timing = Timing {
    lease: Duration::from_secs(2),
    grant_duration: Duration::from_secs(4),
    outage_duration: Duration::from_secs(10),
    renew_interval: Duration::from_millis(1300),
    latest_expiry: Duration::from_secs(12),
};
pub const LAST_KEY: RequestKey = 99;

pub fn target(number: u16) -> Target {
    Target {
        id: format!("t{number}"),
        start_time: 1,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 9000 + number).into(),
        domain: "d".to_owned(),
        slots: 2,
        leaving: false,
        cold: Duration::ZERO,
    }
}

/// The ownership of five granted ranges, of which the first target owns three that are not adjacent; returned with its
/// grants and the time.
pub fn granted_ownership() -> (ServiceOwnership, Vec<OwnershipCommand>, Duration) {
    let targets: Vec<Target> = (1..=3).map(target).collect();
    let owners = [0, 1, 0, 2, 0];
    let ranges = owners.iter().zip(0..).map(|(owner, index)| KeyRange {
        from: index * 20,
        to: index * 20 + 19,
        fence: 1,
        owner: Some(Incarnation::of(&targets[*owner])),
    });
    let record = Record {
        term: 1,
        resigned: true,
        settled: true,
        ranges: ranges.collect(),
        ..Record::unowned(LAST_KEY)
    };
    let now = Duration::from_secs(10);
    let (mut ownership, _) = ServiceOwnership::take_over("vm-1", record, TIMING, now);
    ownership.handle(now, Event::LeaseExtended(now + Duration::from_secs(2)));
    ownership.handle(now, Event::Targets(targets));
    let grants = grant_commands(&ownership.handle(now, Event::Committed));
    assert_eq!(grants.len(), owners.len());
    for command in &grants {
        ownership.handle(
            now,
            Event::GrantEnded(command.from, CallOutcome::Done(None)),
        );
    }
    (ownership, grants, now)
}

pub fn grant_commands(effects: &[Effect]) -> Vec<OwnershipCommand> {
    let commands = effects.iter().filter_map(|effect| match effect {
        Effect::Grant(command) => Some(command.clone()),
        _ => None,
    });
    commands.collect()
}

pub fn committed_record(effects: &[Effect]) -> Option<&Record> {
    effects.iter().find_map(|effect| match effect {
        Effect::Commit(record) => Some(record),
        _ => None,
    })
}

pub fn release_commands(effects: &[Effect]) -> Vec<OwnershipCommand> {
    let commands = effects.iter().filter_map(|effect| match effect {
        Effect::Release(command) => Some(command.clone()),
        _ => None,
    });
    commands.collect()
}

pub fn released_ranges(effects: &[Effect]) -> Vec<RequestKey> {
    let commands = effects.iter().filter_map(|effect| match effect {
        Effect::Release(command) => Some(command.from),
        _ => None,
    });
    commands.collect()
}
