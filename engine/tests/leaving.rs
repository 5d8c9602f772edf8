//! Targets that say in their responses that they leave: requests for their keys, and how VMs tell each other.

mod dispatch_fixture;
mod fleet_fixture;

use std::{rc::Rc, time::Duration};

use bramleypier_engine::{
    fleet::{SharedFleet, StoreKeys},
    peer::{Envelope, News, SyncRequest},
    placement::dispatch::{CompletionKind, Event, FleetView, LeavingOwner, RefusalReason},
};
use dispatch_fixture::{
    ask, completed, dispatcher, keyed, ms, record_owned_by, refused, sent, target, view_event,
};
use fleet_fixture::{TextCatalogue, put};
use proptest::prelude::*;
use serde::Serialize;

/// The moment at which the owner in these tests gets no more requests.
const END_MS: u64 = 1000;

/// A view in which the owner `t0` of all keys leaves, beside the target `t1`.
fn leaving_view() -> Event {
    let owner = target(0, "d1");
    let Event::View(view) = view_event(vec![target(1, "d1")], Some(record_owned_by(&owner))) else {
        unreachable!("the fixture builds a view");
    };
    Event::View(Rc::new(FleetView {
        leaving_owners: vec![LeavingOwner {
            target: owner,
            until: ms(END_MS),
        }],
        ..FleetView::clone(&view)
    }))
}

#[test]
fn a_leaving_owner_gets_requests_for_its_keys_until_its_time_ends() {
    let owner = target(0, "d1");
    let mut it = dispatcher(vec![owner.clone()], Some(record_owned_by(&owner)));
    it.handle(ms(0), leaving_view());
    for at in [0, 500, END_MS - 1] {
        let effects = it.handle(ms(at), Event::Request(keyed(at, ms(at))));
        assert_eq!(sent(&effects), [(at, "t0".to_owned())]);
        let answered = CompletionKind::Answered(ms(50));
        it.handle(ms(at + 50), completed("t0", answered, ms(at)));
    }
}

/// Guards against callers that are held for an owner that will not come back: nobody else has got the keys in that
/// time, so the caller is told at once.
#[test]
fn requests_for_keys_of_an_owner_that_has_left_are_refused_at_once() {
    let owner = target(0, "d1");
    let mut it = dispatcher(vec![owner.clone()], Some(record_owned_by(&owner)));
    it.handle(ms(0), leaving_view());
    let effects = it.handle(ms(END_MS), Event::Request(keyed(1, ms(END_MS))));
    assert_eq!(refused(&effects), [(1, RefusalReason::NoOwner)]);
}

#[test]
fn a_leaving_target_gets_no_request_without_a_key() {
    let mut it = dispatcher(vec![target(0, "d1"), target(1, "d1")], None);
    it.handle(ms(0), leaving_view());
    for ticket in 0..50 {
        let effects = it.handle(ms(0), Event::Request(ask(ticket, ms(0))));
        assert!(sent(&effects).iter().all(|(_, id)| id == "t1"));
    }
}

/// A fleet of two ready targets.
fn shared_fleet() -> SharedFleet {
    let shared_fleet = SharedFleet::default();
    for (key, revision) in [("targets/t0", 1), ("targets/t1", 2)] {
        announce(&shared_fleet, key, "ready", revision);
    }
    shared_fleet
}

fn announce(shared_fleet: &SharedFleet, key: &str, value: &str, revision: u64) {
    let keys = StoreKeys {
        prefix: "own/".to_owned(),
    };
    let change = put(key, value, revision);
    shared_fleet.update(|fleet| fleet.on_change(ms(0), &change, &keys, &TextCatalogue));
}

/// Returns the targets of a view that get requests without a key, and the leaving ones.
fn available(shared_fleet: &SharedFleet) -> (Vec<String>, Vec<String>) {
    let view = shared_fleet.get().view();
    let targets = view.targets.values().flatten();
    let leaving = view.leaving_owners.iter();
    (
        targets.map(|it| it.id.clone()).collect(),
        leaving.map(|it| it.target.id.clone()).collect(),
    )
}

/// Guards against a target that comes back into use because its entry is written or listed again.
#[test]
fn a_newer_announcement_does_not_take_back_that_a_target_leaves() {
    let shared_fleet = shared_fleet();
    shared_fleet.record_leaving(ms(0), &["t0".to_owned()], "answer");
    let expected = (vec!["t1".to_owned()], vec!["t0".to_owned()]);
    assert_eq!(available(&shared_fleet), expected);
    announce(&shared_fleet, "targets/t0", "ready", 3);
    assert_eq!(available(&shared_fleet), expected);
    announce(&shared_fleet, "targets/t0", "leaving", 4);
    assert_eq!(available(&shared_fleet), (vec!["t1".to_owned()], vec![]));
}

#[test]
fn a_target_that_is_announced_after_another_vm_knew_that_it_leaves_gets_no_request() {
    let shared_fleet = shared_fleet();
    shared_fleet.record_leaving(ms(0), &["t2".to_owned()], "vm");
    announce(&shared_fleet, "targets/t2", "ready", 5);
    assert_eq!(available(&shared_fleet).1, ["t2"]);
}

/// Guards against a VM that starts again and sends to a target of which all others know that it leaves.
#[test]
fn a_vm_that_starts_is_told_of_all_announced_targets_that_leave() {
    let shared_fleet = shared_fleet();
    for id in ["t0", "gone"] {
        shared_fleet.record_leaving(ms(0), &[id.to_owned()], "answer");
    }
    let fleet = shared_fleet.get();
    assert!(fleet.leaving_news(ms(60_000)).is_empty());
    assert_eq!(fleet.all_leaving(), ["t0"]);
}

#[test]
fn news_of_leaving_targets_are_few_and_recent() {
    let shared_fleet = SharedFleet::default();
    let ids: Vec<_> = (0..5000).map(|number| format!("t{number}")).collect();
    shared_fleet.record_leaving(ms(0), &ids, "vm");
    shared_fleet.record_leaving(ms(2000), &["last".to_owned()], "answer");
    let news = shared_fleet.get().leaving_news(ms(2000));
    assert!(news.len() <= 128 && news[0] == "last", "{}", news.len());
    assert_eq!(shared_fleet.get().leaving_news(ms(4000)), ["last"]);
    assert!(shared_fleet.get().leaving_news(ms(5000)).is_empty());
}

/// Builds without news decode the first value of a message as the whole message.
#[test]
fn builds_without_news_read_messages_with_news() {
    let message = SyncRequest {
        start: "vm-1/7".to_owned(),
        ..SyncRequest::default()
    };
    let news = News {
        leaving: vec!["t0".to_owned()],
        vms_sharing: 10,
        ..News::default()
    };
    let envelope = Envelope {
        message: message.clone(),
        news,
    };
    let read: SyncRequest = rmp_serde::from_slice(&envelope.encode()).unwrap();
    assert_eq!(read, message);
    let earlier = rmp_serde::to_vec(&message).unwrap();
    let read = Envelope::<SyncRequest>::decode(&earlier).unwrap();
    assert_eq!(read.news, News::default());
}

/// News of a later build, with a field that this one doesn't know.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct LaterNews {
    added_later: Vec<u32>,
}

#[test]
fn news_with_unknown_and_missing_fields_are_read() {
    let mut bytes = rmp_serde::to_vec(&SyncRequest::default()).unwrap();
    let later = LaterNews {
        added_later: vec![1, 2],
    };
    bytes.extend(rmp_serde::to_vec_named(&later).unwrap());
    let read = Envelope::<SyncRequest>::decode(&bytes).unwrap();
    assert_eq!(read.news, News::default());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// However the statements and announcements interleave, a leaving target gets nothing without a key, and nothing
    /// with one a second after it was first known to leave.
    #[test]
    fn no_order_of_events_brings_a_leaving_target_back(
        steps in prop::collection::vec((0_u64..4000, 0_usize..3), 1..40),
    ) {
        let shared_fleet = shared_fleet();
        let mut steps = steps;
        steps.sort_unstable();
        let mut since = None;
        for (revision, (at, kind)) in (10_u64..).zip(steps) {
            match kind {
                0 => announce(&shared_fleet, "targets/t0", "ready", revision),
                1 => {
                    shared_fleet.record_leaving(ms(at), &["t0".to_owned()], "answer");
                    since.get_or_insert(at);
                }
                _ => {
                    shared_fleet.record_leaving(ms(at), &["t0".to_owned()], "vm");
                    since.get_or_insert(at);
                }
            }
            let view = shared_fleet.get().view();
            let used = view.targets.values().flatten().any(|it| it.id == "t0");
            prop_assert_eq!(used, since.is_none());
            if let Some(since) = since {
                let until = view.leaving_owners[0].until;
                prop_assert!(until <= ms(since) + Duration::from_secs(1));
            }
        }
    }
}
