//! Tests when the keys of an owner are free whose address another target uses, while earlier managers may still send.

mod ownership_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Target,
    owner::{
        ownership::{CallOutcome, Effect, Event, ServiceOwnership},
        record::{Incarnation, KeyRange, Record},
    },
};
use ownership_fixture::{TIMING, granted_ownership, target};

const START: Duration = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(50);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A service whose previous manager may still send; the first target owns two of three ranges.
fn taken_over() -> ServiceOwnership {
    let ranges = [1, 2, 1].iter().zip(0..).map(|(owner, index)| KeyRange {
        from: index * 20,
        to: index * 20 + 19,
        fence: 1,
        owner: Some(Incarnation::of(&target(*owner))),
    });
    let record = Record {
        term: 1,
        manager: "vm-0".to_owned(),
        ranges: ranges.collect(),
        ..Record::unowned(59)
    };
    ServiceOwnership::take_over("vm-1", record, TIMING, START).0
}

/// Runs until all keys of the first target are free, whose calls end with what `outcome` returns for the time since the
/// takeover; returns that time.
fn freed_after<F>(targets: &[Target], outcome: F) -> Duration
where
    F: Fn(Duration) -> CallOutcome,
{
    let mut ownership = taken_over();
    ownership.handle(START, Event::Targets(targets.to_vec()));
    let mut pending = vec![Effect::Commit(Record::default())];
    let mut freed = 0;
    for count in 0..600 {
        let now = START + STEP * count;
        let mut effects = ownership.handle(now, Event::LeaseExtended(now + TIMING.lease));
        effects.append(&mut pending);
        for effect in effects {
            let outcome_of = |owner: &Incarnation| {
                if owner.id == "t1" {
                    outcome(now.saturating_sub(START))
                } else {
                    CallOutcome::Done(None)
                }
            };
            let event = match effect {
                Effect::Grant(it) => Event::GrantEnded(it.from, outcome_of(&it.owner)),
                Effect::Release(it) => Event::ReleaseEnded(it.from, outcome_of(&it.owner)),
                Effect::Commit(_) => Event::Committed,
                Effect::Log(line) => {
                    freed += usize::from(line.starts_with("event=range-lost"));
                    continue;
                }
                Effect::Fence(_) | Effect::Deposed => continue,
            };
            pending.extend(ownership.handle(now, event));
        }
        if freed == 2 {
            return now.saturating_sub(START);
        }
    }
    panic!("the keys stay with the first target");
}

fn others() -> Vec<Target> {
    vec![target(2), target(3)]
}

/// Guards against keys that wait 12 s for grants which no process accepts.
#[test]
fn keys_are_free_soon_after_the_first_answer_of_another_target() {
    let silent_until = ms(500);
    let freed = freed_after(&others(), |now| {
        if now < silent_until {
            CallOutcome::Silent
        } else {
            CallOutcome::Replaced
        }
    });
    // With a renewal interval of 1.3 s the answers have to span 1.1 s.
    assert!(freed <= silent_until + ms(1200), "{freed:?}");
}

/// Guards against a grant that an earlier manager sent before it noticed the end of the owner.
#[test]
fn one_answer_of_another_target_frees_nothing() {
    let freed = freed_after(&others(), |now| {
        if now < ms(150) {
            CallOutcome::Replaced
        } else {
            CallOutcome::Silent
        }
    });
    assert!(freed >= TIMING.latest_expiry, "{freed:?}");
}

/// Guards against an id that served at its address between the answers of two other targets.
#[test]
fn answers_that_are_far_apart_prove_nothing() {
    let freed = freed_after(&others(), |now| {
        if now < ms(150) || now > ms(2500) {
            CallOutcome::Replaced
        } else {
            CallOutcome::Silent
        }
    });
    assert!(freed > ms(2500 + 600), "{freed:?}");
}

/// Guards against a next incarnation that an earlier manager has granted keys.
#[test]
fn keys_of_an_id_that_is_announced_again_wait_for_earlier_grants() {
    let mut targets = others();
    targets.push(Target {
        start_time: 2,
        address: ([127, 0, 0, 1], 9100).into(),
        ..target(1)
    });
    let freed = freed_after(&targets, |_| CallOutcome::Replaced);
    assert!(freed >= TIMING.latest_expiry, "{freed:?}");
}

/// Guards against a manager that grants to the next process under an owner's id, long after the owner's last answer.
#[test]
fn a_manager_without_a_fresh_lease_sends_nothing_to_owners_that_are_silent_for_long() {
    let (mut ownership, _, now) = granted_ownership();
    let mut last = [now; 2];
    for count in 1..200 {
        let now = now + STEP * count;
        for effect in ownership.handle(now, Event::Tick) {
            let Effect::Grant(it) = effect else { continue };
            let silent = it.owner.id == "t1";
            let outcome = if silent {
                CallOutcome::Silent
            } else {
                CallOutcome::Done(None)
            };
            last[usize::from(silent)] = now;
            ownership.handle(now, Event::GrantEnded(it.from, outcome));
        }
    }
    let max_silence = TIMING.renew_interval + ms(600);
    assert!(last[1] > now && last[1] <= now + max_silence, "{last:?}");
    assert!(last[0] > now + TIMING.lease + ms(4000), "{last:?}");
}
