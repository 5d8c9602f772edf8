//! Requests that wait at the dispatcher since this VM's knowledge of targets is too old to send by it.

mod dispatch_fixture;

use std::time::Duration;

use bramleypier_engine::{
    fleet::Confirmations,
    placement::dispatch::{DispatchRequest, Dispatcher, Event},
};
use dispatch_fixture::{ALLOWANCE, ask, ms, refused, sent, target, view_event};

/// The time at which what this VM knows is too old.
const OLD: Duration = Duration::from_secs(10);
/// How long requests may wait for news.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A dispatcher whose knowledge nobody has confirmed since the start.
fn dispatcher_without_news() -> Dispatcher {
    let confirmations = Confirmations::default();
    confirmations.add_by_manager(Duration::ZERO, "vm-2");
    let mut dispatcher =
        Dispatcher::new("d1", ALLOWANCE, 7).with_confirmations(confirmations.clone());
    dispatcher.handle(
        Duration::ZERO,
        view_event(vec![target(0, "d1"), target(1, "d1")], None),
    );
    dispatcher
}

fn patient(ticket: u64, now: Duration) -> DispatchRequest {
    DispatchRequest {
        goal: now + ms(3000),
        deadline: now + ms(5000),
        ..ask(ticket, now)
    }
}

/// Guards against requests that are sent by knowledge of any age once they have waited.
#[test]
fn requests_are_sent_by_old_knowledge_after_a_wait() {
    let mut dispatcher = dispatcher_without_news();
    let effects = dispatcher.handle(OLD, Event::Request(patient(1, OLD)));
    assert_eq!(sent(&effects), []);
    assert_eq!(refused(&effects), []);
    let later = OLD + MAX_WAIT;
    let effects = dispatcher.handle(later, Event::Tick);
    assert_eq!(sent(&effects), []);
    assert_eq!(refused(&effects).len(), 1, "it has waited for long enough");
    let effects = dispatcher.handle(later + ms(1), Event::Request(patient(2, later + ms(1))));
    assert_eq!(sent(&effects), []);
}
