//! Builds one dispatcher in failure domain `d1` with its events, and reads its decisions.
//!
//! The dispatcher is one of two VMs and knows one service, `s`, whose targets have two slots each.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::HashMap, rc::Rc, time::Duration};

use bramleypier_engine::{
    catalogue::{self, Target},
    owner::record::{Incarnation, KeyRange, Record},
    placement::{
        budget::RetryAllowance,
        dispatch::{
            Charge, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event,
            FleetView, RefusalReason, SyncUpdate,
        },
        quota::Quota,
    },
};

/// The time between two sync responses of the manager.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(40);

pub const ALLOWANCE: RetryAllowance = RetryAllowance {
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

/// A fleet view of two VMs with these targets and, for a service with keys, their owners.
pub fn view_event(targets: Vec<Target>, records: Option<Record>) -> Event {
    let records = records.into_iter().map(|it| ("s".to_owned(), Rc::new(it)));
    Event::View(Rc::new(FleetView {
        targets: [("s".to_owned(), targets)].into_iter().collect(),
        records: records.collect(),
        vms: vec!["vm-1".to_owned(), "vm-2".to_owned()],
        ..FleetView::default()
    }))
}

/// A dispatcher that has received one fleet view.
pub fn dispatcher(targets: Vec<Target>, record: Option<Record>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("d1", ALLOWANCE, 7);
    dispatcher.handle(Duration::ZERO, view_event(targets, record));
    dispatcher
}

/// A sync update with the in-flight requests of other VMs, while no requests are queued.
pub fn in_flight_update(others: HashMap<catalogue::TargetHash, u32>) -> Event {
    Event::Sync(SyncUpdate {
        sync_interval: SYNC_INTERVAL,
        others,
        ..SyncUpdate::default()
    })
}

/// A sync update for one target with queued requests: other VMs' in-flight requests and this VM's quota.
pub fn quota_update(others: u32, quota: Quota) -> Event {
    Event::Sync(SyncUpdate {
        sync_interval: SYNC_INTERVAL,
        others: [(quota.target, others)].into(),
        quotas: [(quota.target, quota)].into(),
        ..SyncUpdate::default()
    })
}

/// A quota for `t0` with requests within their goals, and how many more of these are queued at other VMs.
pub fn busy_quota(within_goal_quota: u32, queued_elsewhere: u32) -> Quota {
    Quota {
        target: catalogue::hash("t0"),
        within_goal: within_goal_quota,
        past_goal: 0,
        others_within: queued_elsewhere,
        busy: true,
        ..Quota::default()
    }
}

/// A record in which one target owns all keys with fencing token 5.
pub fn record_owned_by(target: &Target) -> Record {
    let mut record = Record::unowned(99);
    record.ranges = vec![KeyRange {
        from: 0,
        to: 99,
        fence: 5,
        owner: Some(Incarnation::of(target)),
    }];
    record
}

/// A request without a key: 200 ms to its goal and 500 ms to its deadline.
pub fn ask(ticket: u64, now: Duration) -> DispatchRequest {
    DispatchRequest {
        ticket,
        service: "s".to_owned(),
        key: None,
        priority: 1,
        received_at: now,
        goal: now + ms(200),
        deadline: now + ms(500),
        tried: Vec::new(),
        misdirected: Vec::new(),
        local_until: None,
        late_until: None,
        charge: Charge::Request,
    }
}

/// The same request for key 7.
pub fn keyed(ticket: u64, now: Duration) -> DispatchRequest {
    DispatchRequest {
        key: Some(7),
        ..ask(ticket, now)
    }
}

/// Returns the requests that were sent, each with its target.
pub fn sent(effects: &[Effect]) -> Vec<(u64, String)> {
    let sent = |effect: &Effect| match effect {
        Effect::Send { ticket, target, .. } => Some((*ticket, target.id.clone())),
        Effect::Refuse { .. } => None,
    };
    effects.iter().filter_map(sent).collect()
}

/// Returns the requests that were refused, each with the reason.
pub fn refused(effects: &[Effect]) -> Vec<(u64, RefusalReason)> {
    let refused = |effect: &Effect| match effect {
        Effect::Refuse {
            ticket,
            reason: refusal_reason,
            ..
        } => Some((*ticket, *refusal_reason)),
        Effect::Send { .. } => None,
    };
    effects.iter().filter_map(refused).collect()
}

/// The completion of a request at a target that was sent at `sent`.
pub fn completed(target: &str, completion_kind: CompletionKind, sent: Duration) -> Event {
    Event::Completed {
        target: target.to_owned(),
        completion: Completion {
            kind: completion_kind,
            sent_at: sent,
            depth: 0.0,
            load: None,
            ownership: None,
        },
    }
}
