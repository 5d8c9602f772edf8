//! Takeovers in a new era of the store: what is fenced, and when the record is written.

mod ownership_fixture;

use std::time::Duration;

use bramleypier_engine::{
    catalogue::Target,
    owner::{
        ownership::{CallOutcome, Effect, Event, Memory, OwnershipCommand, ServiceOwnership},
        record::{self, Incarnation, KeyRange, Record},
    },
};

use ownership_fixture::{TIMING, committed_record, target};

const NOW: Duration = Duration::from_secs(100);
/// The era of the store in which the takeover happens; the record is of the one before.
const ERA: u64 = 2;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A record of the era before, in which two targets own a half of the keys 0 to 99 each.
fn record_of_earlier_era() -> Record {
    let range = |from, to, owner: &Target| KeyRange {
        from,
        to,
        fence: 1,
        owner: Some(Incarnation::of(owner)),
    };
    Record {
        term: record::first_term(ERA - 1) + 5,
        manager: "vm-0".to_owned(),
        counter: 40,
        ranges: vec![range(0, 49, &target(1)), range(50, 99, &target(2))],
        ..Record::default()
    }
}

fn take_over(memory: &Memory) -> ServiceOwnership {
    let record = record_of_earlier_era();
    let (ownership, effects) =
        ServiceOwnership::take_over_in_era("vm-1", record, ERA, memory, TIMING, NOW);
    assert_eq!(effects, [], "nothing is written before targets are fenced");
    ownership
}

fn lived_through(targets: &[u16]) -> Memory {
    Memory {
        targets: targets
            .iter()
            .map(|it| Incarnation::of(&target(*it)))
            .collect(),
        lived_through: true,
    }
}

fn fence_commands(effects: &[Effect]) -> Vec<OwnershipCommand> {
    let fences = effects.iter().filter_map(|effect| match effect {
        Effect::Fence(command) => Some(command.clone()),
        _ => None,
    });
    fences.collect()
}

/// Ends the calls, those to `silent` without a response, and returns what follows.
fn end_calls(
    ownership: &mut ServiceOwnership,
    now: Duration,
    commands: &[OwnershipCommand],
    silent: &str,
    otherwise: &CallOutcome,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for command in commands {
        let outcome = if command.owner.id == silent {
            CallOutcome::Silent
        } else {
            otherwise.clone()
        };
        let owner = command.owner.clone();
        let event = Event::FenceEnded(owner, command.from, outcome);
        effects.extend(ownership.handle(now, event));
    }
    effects
}

/// Ticks until the record is written, and returns when that was.
fn written_after(
    ownership: &mut ServiceOwnership,
    silent: &str,
    otherwise: &CallOutcome,
) -> Option<Duration> {
    for count in 0..400 {
        let now = NOW + ms(50) * count;
        let mut effects = ownership.handle(now, Event::Tick);
        let commands = fence_commands(&effects);
        effects.extend(end_calls(ownership, now, &commands, silent, otherwise));
        if committed_record(&effects).is_some() {
            return Some(now.saturating_sub(NOW));
        }
    }
    None
}

#[test]
fn each_target_releases_all_keys_that_the_record_gives_to_others() {
    let mut ownership = take_over(&lived_through(&[1, 2, 3]));
    let commands = fence_commands(&ownership.handle(NOW, Event::Tick));
    let calls: Vec<_> = commands
        .iter()
        .map(|it| (it.owner.id.as_str(), it.from, it.to))
        .collect();
    assert_eq!(calls, [("t1", 50, 99), ("t2", 0, 49), ("t3", 0, 99)]);
}

#[test]
fn the_record_is_written_once_all_targets_have_responded_and_keeps_the_owners() {
    let mut ownership = take_over(&lived_through(&[1, 2, 3]));
    let commands = fence_commands(&ownership.handle(NOW, Event::Tick));
    let done = CallOutcome::Done(None);
    let effects = end_calls(&mut ownership, NOW, &commands[..2], "", &done);
    assert_eq!(committed_record(&effects), None);
    let effects = end_calls(&mut ownership, NOW, &commands[2..], "", &done);
    let written = committed_record(&effects).expect("the record is written");
    assert_eq!(written.term, record::first_term(ERA));
    let owners = |record: &Record| -> Vec<_> {
        let ranges = record.ranges.iter();
        ranges.map(|it| (it.from, it.owner.clone())).collect()
    };
    assert_eq!(owners(written), owners(&record_of_earlier_era()));
    let fences = written.ranges.iter().map(|it| it.fence);
    assert!(fences.min().unwrap() > commands[0].fence);
    assert!(commands[0].fence > record_of_earlier_era().clone().next_fence());
}

#[test]
fn nothing_is_granted_before_the_record_is_written() {
    let mut ownership = take_over(&lived_through(&[1, 2]));
    let is_grant = |effect: &Effect| matches!(effect, Effect::Grant(_));
    let mut effects = ownership.handle(NOW, Event::LeaseExtended(NOW + TIMING.lease));
    let announced = vec![target(1), target(2)];
    effects.extend(ownership.handle(NOW, Event::Targets(announced)));
    let commands = fence_commands(&effects);
    let done = CallOutcome::Done(None);
    effects.extend(end_calls(&mut ownership, NOW, &commands, "", &done));
    assert!(!effects.iter().any(is_grant));
    let effects = ownership.handle(NOW, Event::Committed);
    assert_eq!(effects.iter().filter(|it| is_grant(it)).count(), 2);
}

/// Guards against a target that holds keys by a grant which the store has lost, and can't be reached.
#[test]
fn a_target_that_does_not_respond_is_waited_for_until_every_earlier_grant_has_expired() {
    let mut ownership = take_over(&lived_through(&[1, 2, 3]));
    let took = written_after(&mut ownership, "t3", &CallOutcome::Done(None)).unwrap();
    let longest = TIMING.lease + TIMING.latest_expiry;
    assert!(took >= longest && took <= longest + ms(50), "{took:?}");
}

#[test]
fn a_target_that_has_ended_is_waited_for_as_long_as_managers_take_to_learn_of_it() {
    let mut ownership = take_over(&lived_through(&[1, 2]));
    let took = written_after(&mut ownership, "", &CallOutcome::Gone).unwrap();
    assert!(took >= TIMING.renew_interval && took < ms(4000), "{took:?}");
}

/// Guards against targets that a new process doesn't know, since their entries are written again only now.
#[test]
fn a_new_process_waits_for_targets_to_announce_themselves() {
    let mut ownership = take_over(&Memory::default());
    let commands = fence_commands(&ownership.handle(NOW, Event::Tick));
    assert_eq!(
        commands.len(),
        2,
        "the owners of the record are fenced at once"
    );
    let done = CallOutcome::Done(None);
    end_calls(&mut ownership, NOW, &commands, "", &done);
    let later = NOW + ms(1500);
    let effects = ownership.handle(later, Event::Targets(vec![target(1), target(3)]));
    let commands = fence_commands(&effects);
    assert_eq!(commands[0].owner.id, "t3");
    let effects = end_calls(&mut ownership, later, &commands, "", &done);
    assert_eq!(committed_record(&effects), None);
    let effects = ownership.handle(NOW + ms(2500), Event::Tick);
    assert!(committed_record(&effects).is_some());
}

#[test]
fn a_first_start_waits_for_no_target_for_long() {
    let (mut ownership, _) = ServiceOwnership::take_over_in_era(
        "vm-1",
        Record::unowned(99),
        ERA,
        &lived_through(&[1, 2]),
        TIMING,
        NOW,
    );
    let took = written_after(&mut ownership, "t1", &CallOutcome::Done(None)).unwrap();
    assert!(took <= ms(1000), "{took:?}");
}

/// Guards against terms that are given out twice, since the store has forgotten those after a copy was made.
#[test]
fn a_takeover_in_the_same_era_needs_no_fencing() {
    let earlier = Record {
        term: record::first_term(ERA),
        ..record_of_earlier_era()
    };
    let (_, effects) =
        ServiceOwnership::take_over_in_era("vm-1", earlier, ERA, &Memory::default(), TIMING, NOW);
    let written = committed_record(&effects).expect("it is written at once");
    assert_eq!(written.term, record::first_term(ERA) + 1);
}
