//! Puts: one winner, one clear conflict, and no false outcome when answers are lost.

use std::env;

use bramleypier::{
    document::{
        put::{Event, Operation, Outcome, Step},
        stored::{Stamp, Stored},
    },
    id::Version,
    platform::WriteOutcome,
};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SOUND: &str = "[service]
name = a
[class orders]
methods = POST
idempotent = false
share = 40
[class rest]
idempotent = true
share = 60
[target t1]
address = 127.0.0.1:1
domain = d
[target t2]
address = 127.0.0.1:2
domain = d
";

fn config() -> Config {
    let cases = env::var("BRAMLEYPIER_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(128),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A store of one value, whose answers fail as told.
#[derive(Default)]
struct Store {
    version: Version,
    value: String,
}

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The call never arrives.
    Unsent,
    /// The call takes effect and its answer is lost.
    Lost,
    /// The call is in doubt and never takes effect.
    Doubt,
    /// The call takes effect, another operator puts at once, and the answer is lost.
    Overtaken,
}

impl Store {
    fn put(&mut self, base: Version, value: &str) -> WriteOutcome {
        if base != self.version {
            return WriteOutcome::Conflict(self.version);
        }
        self.version += 3;
        value.clone_into(&mut self.value);
        WriteOutcome::Committed(self.version)
    }

    fn overtake(&mut self, writer: &str) {
        let stamp = Stamp::new(writer, self.version, 9, "eva");
        let next = Stored::parse(&self.value).next(&SOUND.replace("40", "30"), stamp);
        self.put(self.version, &next.to_string());
    }

    fn call(&mut self, step: &Step, fault: Fault) -> Event {
        match step {
            Step::Read if fault != Fault::None => Event::ReadFailed,
            Step::Read if self.version == 0 => Event::Read(None),
            Step::Read => Event::Read(Some((self.version, self.value.clone()))),
            Step::Write(..) if fault == Fault::Unsent => Event::WriteFailed,
            Step::Write(..) if fault == Fault::Doubt => Event::WriteUncertain,
            Step::Write(base, value) => {
                let put = self.put(*base, value);
                if fault == Fault::Overtaken {
                    self.overtake("w9");
                }
                if fault == Fault::None {
                    return Event::Written(put);
                }
                Event::WriteUncertain
            }
            Step::Done(_) => unreachable!("it is done"),
        }
    }

    /// Puts a text while these faults befall the calls in turn, and none the later ones.
    fn run(&mut self, text: &str, writer: &str, base: Version, faults: &[Fault]) -> Outcome {
        let stamp = Stamp::new(writer, base, 5, "ana");
        let (mut operation, mut step) = match Operation::start("a.ini", text, stamp) {
            Ok(started) => started,
            Err(fault) => return Outcome::Refused(fault),
        };
        let mut faults = faults.iter().copied();
        loop {
            if let Step::Done(outcome) = step {
                return outcome;
            }
            let fault = faults.next().unwrap_or(Fault::None);
            step = operation.handle(self.call(&step, fault));
        }
    }
}

#[test]
fn puts_end_truthfully() {
    use Fault::{Doubt, Lost, None, Overtaken, Unsent};
    let cases: &[(&[Fault], Outcome, Version)] = &[
        (&[], Outcome::Accepted(3), 3),
        (&[Unsent, Unsent, None], Outcome::Accepted(3), 3),
        (&[None, Unsent], Outcome::Accepted(3), 3),
        (&[None, Lost], Outcome::Accepted(3), 3),
        (&[None, Lost, Unsent, Unsent], Outcome::Accepted(3), 3),
        (&[None, Doubt], Outcome::Accepted(3), 3),
        (&[None, Doubt, None, Lost], Outcome::Accepted(3), 3),
        (&[None, Overtaken], Outcome::Accepted(3), 6),
        (&[Unsent; 20], Outcome::Unreached, 0),
        (
            &[
                None, Lost, Unsent, Unsent, Unsent, Unsent, Unsent, Unsent, Unsent, Unsent, Unsent,
                Unsent, Unsent,
            ],
            Outcome::Unknown,
            3,
        ),
    ];
    for (faults, outcome, version) in cases {
        let mut store = Store::default();
        assert_eq!(&store.run(SOUND, "w1", 0, faults), outcome, "{faults:?}");
        assert_eq!(store.version, *version, "{faults:?}");
    }
}

#[test]
fn of_two_operators_one_wins_and_the_other_sees_the_difference() {
    let mut store = Store::default();
    store.run(SOUND, "w1", 0, &[]);
    store.overtake("w2");
    let before = store.value.clone();
    let Outcome::Conflict(conflict) = store.run(&SOUND.replace("60", "50"), "w3", 3, &[]) else {
        panic!("no conflict");
    };
    assert_eq!((conflict.base, conflict.version), (3, 6));
    assert_eq!((conflict.operator.as_str(), conflict.at_ms), ("eva", 9));
    assert!(
        conflict.difference.contains("-share = 30\n+share = 40\n"),
        "{}",
        conflict.difference
    );
    assert_eq!(store.value, before);
}

#[test]
fn a_refused_or_equal_document_changes_nothing() {
    let mut store = Store::default();
    store.run(SOUND, "w1", 0, &[]);
    let before = store.value.clone();
    let refused = store.run(&SOUND.replace("127.0.0.1:2", "127.0.0.1:3"), "w2", 3, &[]);
    assert!(matches!(refused, Outcome::Refused(_)), "{refused:?}");
    assert!(matches!(
        store.run("[service]", "w2", 3, &[]),
        Outcome::Refused(_)
    ));
    assert_eq!(store.run(SOUND, "w2", 3, &[]), Outcome::Unchanged(3));
    assert_eq!((store.version, &store.value), (3, &before));
}

#[test]
fn a_value_without_stamps_leaves_a_lost_answer_unknown() {
    let mut store = Store::default();
    let stamp = Stamp::new("w1", 0, 5, "ana");
    let (mut operation, _) = Operation::start("a.ini", SOUND, stamp).unwrap();
    operation.handle(Event::Read(None));
    assert_eq!(operation.handle(Event::WriteUncertain), Step::Read);
    store.put(0, SOUND);
    let step = operation.handle(store.call(&Step::Read, Fault::None));
    assert_eq!(step, Step::Done(Outcome::Unknown));
}

fn fault() -> impl Strategy<Value = Fault> {
    use Fault::{Doubt, Lost, None, Overtaken, Unsent};
    prop::sample::select(vec![None, Unsent, Lost, Doubt, Overtaken])
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn stamps_come_back_from_a_value(text in "([ -~]{0,20}\n){0,4}", count in 0_usize..80) {
        let mut stored = Stored::default();
        for index in 0..count {
            let base = Version::try_from(index).unwrap();
            stored = stored.next(&text, Stamp::new(&format!("w{index}"), base, base, "ana"));
        }
        prop_assert_eq!(Stored::parse(&stored.to_string()), stored);
    }

    #[test]
    fn an_outcome_is_never_false(faults in collection::vec(fault(), 0..16), stale: bool) {
        let mut store = Store::default();
        store.run(&SOUND.replace("60", "50"), "w0", 0, &[]);
        let base = if stale { 1 } else { 3 };
        let outcome = store.run(SOUND, "w1", base, &faults);
        let stored = Stored::parse(&store.value);
        let log = stored.log(store.version);
        let own = log.iter().find(|(_, stamp)| stamp.writer == "w1").map(|(version, _)| *version);
        match outcome {
            Outcome::Accepted(version) => prop_assert_eq!(own, Some(version)),
            Outcome::Unknown => {}
            _ => prop_assert_eq!(own, None),
        }
    }
}
