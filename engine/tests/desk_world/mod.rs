//! One dispatcher in one failure domain: targets, owners, requests, and what was decided.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{self, Target},
    owner::record::{Incarnation, KeyRange, Record},
    placement::{
        budget::Allowance,
        dispatch::{
            Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, FleetView,
            RefusalReason, SyncUpdate,
        },
        quota::Quota,
    },
};

/// The time between two words of the manager.
pub const PAUSE: Duration = Duration::from_millis(40);

pub const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 20.0,
    window: Duration::from_secs(10),
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn target(number: u16, domain: &str) -> Target {
    Target {
        id: format!("t{number}"),
        start_time: 1,
        service: "s".to_owned(),
        address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
        domain: domain.to_owned(),
        slots: 2,
        leaving: false,
        cold: Duration::ZERO,
    }
}

pub fn view(targets: Vec<Target>, records: Option<Record>) -> Event {
    let records = records.into_iter().map(|it| ("s".to_owned(), Rc::new(it)));
    Event::View(Rc::new(FleetView {
        targets: [("s".to_owned(), targets)].into_iter().collect(),
        records: records.collect(),
        vms: vec!["vm-1".to_owned(), "vm-2".to_owned()],
        ..FleetView::default()
    }))
}

pub fn dispatcher(targets: Vec<Target>, record: Option<Record>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, 7);
    dispatcher.handle(Duration::ZERO, view(targets, record));
    dispatcher
}

/// The manager's word on other VMs' requests, while nothing waits for any target.
pub fn told(others: HashMap<catalogue::TargetHash, u32>) -> Event {
    Event::Sync(SyncUpdate {
        sync_interval: PAUSE,
        others,
        ..SyncUpdate::default()
    })
}

/// The manager's word on one target for which requests wait.
pub fn shared(others: u32, share: Quota) -> Event {
    Event::Sync(SyncUpdate {
        sync_interval: PAUSE,
        others: [(share.target, others)].into(),
        quotas: [(share.target, share)].into(),
        ..SyncUpdate::default()
    })
}

pub fn busy(fresh: u32, line: u32) -> Quota {
    Quota {
        target: catalogue::hash("t0"),
        within_goal: fresh,
        past_goal: 0,
        others_within: line,
        busy: true,
        ..Quota::default()
    }
}

pub fn owned_by(target: &Target) -> Record {
    let mut record = Record::unowned(99);
    record.ranges = vec![KeyRange {
        from: 0,
        to: 99,
        fence: 5,
        owner: Some(Incarnation::of(target)),
    }];
    record
}

pub fn ask(ticket: u64, now: Duration) -> DispatchRequest {
    DispatchRequest {
        ticket,
        service: "s".to_owned(),
        point: None,
        priority: 1,
        received_at: now,
        goal: now + ms(200),
        deadline: now + ms(500),
        tried: Vec::new(),
        misdirected: Vec::new(),
        large: false,
        is_retry: false,
    }
}

pub fn keyed(ticket: u64, now: Duration) -> DispatchRequest {
    DispatchRequest {
        point: Some(7),
        ..ask(ticket, now)
    }
}

pub fn sent(effects: &[Effect]) -> Vec<(u64, String)> {
    let send = |effect: &Effect| match effect {
        Effect::Send { ticket, target, .. } => Some((*ticket, target.id.clone())),
        Effect::Refuse { .. } => None,
    };
    effects.iter().filter_map(send).collect()
}

pub fn refused(effects: &[Effect]) -> Vec<(u64, RefusalReason)> {
    let refuse = |effect: &Effect| match effect {
        Effect::Refuse {
            ticket,
            reason: why,
            ..
        } => Some((*ticket, *why)),
        Effect::Send { .. } => None,
    };
    effects.iter().filter_map(refuse).collect()
}

pub fn done(target: &str, ended: CompletionKind, sent: Duration) -> Event {
    Event::Completed {
        target: target.to_owned(),
        completion: Completion {
            kind: ended,
            sent,
            depth: 0.0,
            load: None,
            ownership: None,
        },
    }
}
