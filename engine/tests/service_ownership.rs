//! What a keeper does when a life of a target ends.

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Target,
    owner::{
        ownership::{CallOutcome, Effect, Event, OwnershipCommand, ServiceOwnership, Timing},
        record::{Incarnation, KeyRange, Record, RequestKey},
    },
};

const TIMING: Timing = Timing {
    lease: Duration::from_secs(2),
    grant_duration: Duration::from_secs(4),
    outage_duration: Duration::from_secs(10),
    renew_interval: Duration::from_millis(1300),
    latest_expiry: Duration::from_secs(12),
};
const LAST: RequestKey = 99;

fn target(number: u16) -> Target {
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

/// A keeper whose first target owns three ranges apart, all granted; returns it with the grants.
fn ownership() -> (ServiceOwnership, Vec<OwnershipCommand>, Duration) {
    let targets: Vec<Target> = (1..=3).map(target).collect();
    let owners = [0, 1, 0, 2, 0];
    let parts = owners.iter().zip(0..).map(|(owner, place)| KeyRange {
        from: place * 20,
        to: place * 20 + 19,
        fence: 1,
        owner: Some(Incarnation::of(&targets[*owner])),
    });
    let record = Record {
        term: 1,
        resigned: true,
        settled: true,
        ranges: parts.collect(),
        ..Record::unowned(LAST)
    };
    let now = Duration::from_secs(10);
    let (mut ownership, _) = ServiceOwnership::take_over("vm-1", record, TIMING, now);
    ownership.on(now, Event::LeaseExtended(now + Duration::from_secs(2)));
    ownership.on(now, Event::Targets(targets));
    let grants = grants(&ownership.on(now, Event::Committed));
    assert_eq!(grants.len(), owners.len());
    for order in &grants {
        ownership.on(now, Event::GrantEnded(order.from, CallOutcome::Done(None)));
    }
    (ownership, grants, now)
}

fn grants(effects: &[Effect]) -> Vec<OwnershipCommand> {
    let orders = effects.iter().filter_map(|effect| match effect {
        Effect::Grant(order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

fn committed(effects: &[Effect]) -> Option<&Record> {
    effects.iter().find_map(|effect| match effect {
        Effect::Commit(record) => Some(record),
        _ => None,
    })
}

#[test]
fn the_end_of_a_life_frees_all_its_ranges_at_once() {
    let (mut ownership, _, now) = ownership();
    let due = now + TIMING.renew_interval;
    let lost = grants(&ownership.on(due, Event::Tick));
    let first = lost.iter().find(|order| order.owner.id == "t1").unwrap();
    for order in lost.iter().filter(|order| order.owner.id != "t1") {
        ownership.on(due, Event::GrantEnded(order.from, CallOutcome::Done(None)));
    }
    // Its other two calls are still under way when the first tells.
    let others: Vec<_> = lost
        .iter()
        .filter(|order| order.owner.id == "t1" && order.from != first.from)
        .collect();
    for order in &others {
        ownership.on(due, Event::GrantEnded(order.from, CallOutcome::Done(None)));
    }
    let effects = ownership.on(due, Event::GrantEnded(first.from, CallOutcome::Gone));
    let record = committed(&effects).expect("new owners are written at once");
    let left = record.ranges.iter().filter(|part| {
        let owner = part.owner.as_ref();
        owner.is_some_and(|owner| owner.id == "t1")
    });
    assert_eq!(left.count(), 0, "no range stays with a life that has ended");
}

#[test]
fn a_closed_connection_makes_its_targets_grants_due() {
    let (mut ownership, granted, now) = ownership();
    let soon = now + Duration::from_millis(100);
    assert!(grants(&ownership.on(soon, Event::Tick)).is_empty());
    let effects = ownership.on(soon, Event::ConnectionClosed(target(1).address));
    let expected: Vec<RequestKey> = granted
        .iter()
        .filter(|order| order.owner.id == "t1")
        .map(|order| order.from)
        .collect();
    let sent: Vec<RequestKey> = grants(&effects).iter().map(|order| order.from).collect();
    assert_eq!(sent, expected);
}

#[test]
fn grants_hold_longer_while_the_lease_is_not_renewed() {
    let (mut ownership, granted, now) = ownership();
    assert!(
        granted
            .iter()
            .all(|order| order.grant_duration == TIMING.grant_duration)
    );
    // The lease of two seconds was last renewed at `now`.
    let alone = now + TIMING.renew_interval;
    let sent = grants(&ownership.on(alone, Event::Tick));
    assert_eq!(sent.len(), granted.len());
    assert!(
        sent.iter()
            .all(|order| order.grant_duration == TIMING.outage_duration)
    );
    for order in &sent {
        ownership.on(
            alone,
            Event::GrantEnded(order.from, CallOutcome::Done(None)),
        );
    }
    // The store answers again, and one target falls silent.
    let back = alone + Duration::from_secs(1);
    ownership.on(back, Event::LeaseExtended(back + Duration::from_secs(2)));
    let freed = freed(&mut ownership, back, &CallOutcome::Silent);
    assert!(
        freed >= alone + TIMING.outage_duration,
        "freed at {freed:?}"
    );
}

#[test]
fn a_takeover_reckons_with_a_manager_that_was_alone() {
    let (mut ownership, _, now) = ownership();
    let freed = freed(&mut ownership, now, &CallOutcome::Unsent);
    assert!(freed >= now + TIMING.outage_duration, "freed at {freed:?}");
}

/// Plays on until the keys of the first target move, whose calls all end so.
fn freed(ownership: &mut ServiceOwnership, from: Duration, ending: &CallOutcome) -> Duration {
    let step = Duration::from_millis(50);
    let mut at = from;
    loop {
        at += step;
        let mut effects = ownership.on(at, Event::LeaseExtended(at + Duration::from_secs(2)));
        for order in grants(&effects) {
            let first = order.owner.id == "t1";
            let ending = if first {
                ending.clone()
            } else {
                CallOutcome::Done(None)
            };
            effects.extend(ownership.on(at, Event::GrantEnded(order.from, ending)));
        }
        for from in releases(&effects) {
            effects.extend(ownership.on(at, Event::ReleaseEnded(from, CallOutcome::Unsent)));
        }
        if committed(&effects).is_some() {
            return at;
        }
        assert!(at < from + Duration::from_secs(30), "its keys move at last");
    }
}

fn releases(effects: &[Effect]) -> Vec<RequestKey> {
    let orders = effects.iter().filter_map(|effect| match effect {
        Effect::Release(order) => Some(order.from),
        _ => None,
    });
    orders.collect()
}

#[test]
fn a_target_that_only_refuses_keeps_its_ranges_until_its_hold_ran_out() {
    let (mut ownership, _, now) = ownership();
    let freed = freed(&mut ownership, now, &CallOutcome::Unsent);
    assert!(freed >= now + TIMING.grant_duration, "freed at {freed:?}");
}

/// A dark target's ranges wait for its hold; a key that grows busy elsewhere must not wait with them.
#[test]
fn a_busy_key_moves_while_a_silent_owners_ranges_wait() {
    let (mut ownership, _, now) = ownership();
    let step = Duration::from_millis(50);
    let mut at = now;
    let mut begun = None;
    while at < now + Duration::from_secs(4) && begun.is_none() {
        at += step;
        let mut effects = ownership.on(at, Event::LeaseExtended(at + Duration::from_secs(2)));
        // The first target is dark and asked to let go; then two keys of the second grow busy.
        let busy = at > now + TIMING.renew_interval + Duration::from_millis(1200);
        let counts = if busy {
            vec![(25, 4), (26, 2)]
        } else {
            Vec::new()
        };
        effects.extend(ownership.on(at, Event::Load(counts)));
        for order in grants(&effects) {
            let dark = order.owner.id == "t1";
            let ending = if dark {
                CallOutcome::Silent
            } else {
                CallOutcome::Done(None)
            };
            effects.extend(ownership.on(at, Event::GrantEnded(order.from, ending)));
        }
        let moved = effects.iter().find_map(|effect| match effect {
            Effect::Log(note) if note.starts_with("event=move-begun") => Some(note.clone()),
            _ => None,
        });
        begun = moved;
        for order in orders_released(&effects) {
            let dark = order.owner.id == "t1";
            let ending = if dark {
                CallOutcome::Silent
            } else {
                CallOutcome::Done(None)
            };
            ownership.on(at, Event::ReleaseEnded(order.from, ending));
        }
        ownership.on(at, Event::Committed);
    }
    let begun = begun.expect("nothing moves beside a dark target");
    assert!(
        !begun.contains("owner=t1"),
        "moved to the dark target: {begun}"
    );
}

fn orders_released(effects: &[Effect]) -> Vec<OwnershipCommand> {
    let orders = effects.iter().filter_map(|effect| match effect {
        Effect::Release(order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

/// A run of keys moves while they are calm; then one of them takes most requests, and another target
/// has turned out to be three times as fast.
#[test]
fn a_key_that_turns_busy_in_a_run_that_has_just_moved_moves_again() {
    let (mut ownership, _, now) = ownership();
    let step = Duration::from_millis(50);
    let mut at = now;
    let mut first: Option<(RequestKey, Duration)> = None;
    let mut second = None;
    while at < now + Duration::from_secs(6) && second.is_none() {
        at += step;
        let mut effects = ownership.on(at, Event::LeaseExtended(at + Duration::from_secs(2)));
        let mut counts = vec![(25, 1), (30, 1), (35, 1)];
        counts.extend(first.map(|(key, _)| (key, 8)));
        effects.extend(ownership.on(at, Event::Load(counts)));
        effects = settled(&mut ownership, at, effects);
        for (from, to, owner) in effects.iter().filter_map(begun) {
            match first {
                None => {
                    first = Some((if from <= 30 && 30 <= to { 30 } else { from }, at));
                    let fast = if owner == "t1" { "t3" } else { "t1" };
                    let time = |id: &str| (id.to_owned(), if id == fast { 0.03 } else { 0.1 });
                    ownership.set_service_times(["t1", "t2", "t3"].map(time).into_iter().collect());
                }
                Some((key, _)) if from <= key && key <= to => second = Some(at),
                Some(_) => {}
            }
        }
    }
    let (_, first) = first.expect("nothing moved");
    let waited = second.expect("the busy key stays").saturating_sub(first);
    assert!(waited < Duration::from_secs(2), "{waited:?}");
}

/// The bounds of a move that has begun and its new owner, from its line in the log.
fn begun(effect: &Effect) -> Option<(RequestKey, RequestKey, String)> {
    let Effect::Log(note) = effect else {
        return None;
    };
    let rest = note.strip_prefix("event=move-begun ")?;
    let mut values = rest
        .split(' ')
        .filter_map(|pair| Some(pair.split_once('=')?.1));
    let from = values.next()?.parse().ok()?;
    let to = values.next()?.parse().ok()?;
    Some((from, to, values.next()?.to_owned()))
}

/// Answers every call and commit until nothing is left to do, and returns all effects.
fn settled(
    ownership: &mut ServiceOwnership,
    at: Duration,
    mut effects: Vec<Effect>,
) -> Vec<Effect> {
    let mut next = 0;
    while let Some(effect) = effects.get(next).cloned() {
        next += 1;
        effects.extend(match effect {
            Effect::Grant(order) => {
                ownership.on(at, Event::GrantEnded(order.from, CallOutcome::Done(None)))
            }
            Effect::Release(order) => {
                ownership.on(at, Event::ReleaseEnded(order.from, CallOutcome::Done(None)))
            }
            Effect::Commit(_) => ownership.on(at, Event::Committed),
            Effect::Deposed | Effect::Log(_) => Vec::new(),
        });
    }
    effects
}

/// Dark owners answer nothing and are still announced for some seconds.
#[test]
fn a_silent_owner_is_not_granted_beyond_the_hold_that_it_has() {
    let (mut ownership, now) = rested();
    let freed = freed(&mut ownership, now, &CallOutcome::Silent);
    // Its last renewal has just been answered; the next may have arrived.
    let least = now + TIMING.grant_duration;
    assert!(
        freed >= least,
        "freed at {freed:?}, before its hold ran out"
    );
    let most = least + TIMING.renew_interval + Duration::from_millis(400);
    assert!(freed <= most, "freed at {freed:?} instead of {most:?}");
}

/// Three in ten answers are lost on the way: a target that lives keeps its keys.
#[test]
fn an_owner_that_answers_again_is_renewed_before_less_is_left_than_usual() {
    let (mut ownership, now) = rested();
    let at = now + TIMING.renew_interval + Duration::from_millis(50);
    let first = grants(&ownership.on(at, Event::LeaseExtended(at + Duration::from_secs(2))));
    for order in &first {
        let ending = if order.owner.id == "t1" {
            CallOutcome::Silent
        } else {
            CallOutcome::Done(None)
        };
        ownership.on(at, Event::GrantEnded(order.from, ending));
    }
    let again = at + Duration::from_millis(200);
    let asked = grants(&ownership.on(again, Event::LeaseExtended(again + Duration::from_secs(2))));
    assert_eq!(asked.len(), 3, "it is asked at once");
    assert!(
        asked
            .iter()
            .all(|order| order.grant_duration < TIMING.grant_duration)
    );
    for order in &asked {
        ownership.on(
            again,
            Event::GrantEnded(order.from, CallOutcome::Done(None)),
        );
    }
    let shorter = TIMING
        .grant_duration
        .saturating_sub(asked[0].grant_duration);
    let due = again + TIMING.renew_interval.saturating_sub(shorter);
    let renewed = grants(&ownership.on(due, Event::LeaseExtended(due + Duration::from_secs(2))));
    let its = renewed.iter().filter(|order| order.owner.id == "t1");
    assert!(
        its.clone()
            .all(|order| order.grant_duration == TIMING.grant_duration)
    );
    assert_eq!(its.count(), 3, "renewed early, and in full");
}

/// A keeper whose owners have answered for so long that no earlier manager's grant holds any more, at
/// the moment at which they have just been renewed.
fn rested() -> (ServiceOwnership, Duration) {
    let (mut ownership, _, now) = ownership();
    let step = Duration::from_millis(50);
    let mut at = now;
    loop {
        at += step;
        let effects = ownership.on(at, Event::LeaseExtended(at + Duration::from_secs(2)));
        let renewed = !grants(&effects).is_empty();
        settled(&mut ownership, at, effects);
        if renewed && at > now + TIMING.outage_duration + TIMING.grant_duration {
            return (ownership, at);
        }
    }
}

/// Busy keys move to the target that looks best, and that may just have been cut off.
#[test]
fn a_new_owner_that_never_answers_holds_keys_up_for_a_second() {
    let (mut ownership, now) = rested();
    // The first target leaves; its ranges go to others, of which the second turns dark.
    let mut targets: Vec<Target> = (1..=3).map(target).collect();
    targets[0].leaving = true;
    let step = Duration::from_millis(50);
    let mut first: Option<Duration> = None;
    let mut at = now;
    let mut effects = ownership.on(at, Event::Targets(targets));
    loop {
        at += step;
        effects.extend(ownership.on(at, Event::LeaseExtended(at + Duration::from_secs(2))));
        let mut next = 0;
        while let Some(effect) = effects.get(next).cloned() {
            next += 1;
            let event = match effect {
                Effect::Grant(order) if order.owner.id == "t2" && order.from != 20 => {
                    first.get_or_insert(at);
                    Event::GrantEnded(order.from, CallOutcome::Silent)
                }
                Effect::Grant(order) => Event::GrantEnded(order.from, CallOutcome::Done(None)),
                Effect::Release(order) if order.owner.id == "t2" => {
                    Event::ReleaseEnded(order.from, CallOutcome::Silent)
                }
                Effect::Release(order) => Event::ReleaseEnded(order.from, CallOutcome::Done(None)),
                Effect::Commit(_) => Event::Committed,
                Effect::Deposed | Effect::Log(_) => continue,
            };
            effects.extend(ownership.on(at, event));
        }
        let lost = effects.iter().any(
            |effect| matches!(effect, Effect::Log(note) if note.starts_with("event=range-lost")),
        );
        if lost {
            break;
        }
        effects.clear();
        assert!(at < now + Duration::from_secs(20), "nothing is lost");
    }
    let waited = at.saturating_sub(first.unwrap());
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}
