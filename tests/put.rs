//! Tests of puts: of concurrent puts one is accepted and the others get a conflict, and no outcome is wrong if answers
//! are lost.

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

const VALID: &str = "[service]
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

/// A store of one value, with injected faults.
#[derive(Default)]
struct Store {
    version: Version,
    value: String,
}

/// The fault of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The call is not sent.
    Unsent,
    /// The call takes effect, but its answer is lost.
    Lost,
    /// The call never takes effect, but the caller can't know that.
    Uncertain,
    /// The call takes effect, another operator puts the next version, and the answer is lost.
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
        let next = Stored::parse(&self.value).next(&VALID.replace("40", "30"), stamp);
        self.put(self.version, &next.to_string());
    }

    fn call(&mut self, step: &Step, fault: Fault) -> Event {
        match step {
            Step::Read if fault != Fault::None => Event::ReadFailed,
            Step::Read if self.version == 0 => Event::Read(None),
            Step::Read => Event::Read(Some((self.version, self.value.clone()))),
            Step::Write(..) if fault == Fault::Unsent => Event::WriteFailed,
            Step::Write(..) if fault == Fault::Uncertain => Event::WriteUncertain,
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
            Step::Done(_) => unreachable!("the put has ended"),
        }
    }

    /// Puts a text. The faults apply to the calls in order; calls after the last fault succeed.
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
fn outcomes_match_the_store_under_faults() {
    use Fault::{Lost, None, Overtaken, Uncertain, Unsent};
    let cases: &[(&[Fault], Outcome, Version)] = &[
        (&[], Outcome::Accepted(3), 3),
        (&[Unsent, Unsent, None], Outcome::Accepted(3), 3),
        (&[None, Unsent], Outcome::Accepted(3), 3),
        (&[None, Lost], Outcome::Accepted(3), 3),
        (&[None, Lost, Unsent, Unsent], Outcome::Accepted(3), 3),
        (&[None, Uncertain], Outcome::Accepted(3), 3),
        (&[None, Uncertain, None, Lost], Outcome::Accepted(3), 3),
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
        assert_eq!(&store.run(VALID, "w1", 0, faults), outcome, "{faults:?}");
        assert_eq!(store.version, *version, "{faults:?}");
    }
}

#[test]
fn conflict_shows_the_difference_to_the_current_version() {
    let mut store = Store::default();
    store.run(VALID, "w1", 0, &[]);
    store.overtake("w2");
    let before = store.value.clone();
    let Outcome::Conflict(conflict) = store.run(&VALID.replace("60", "50"), "w3", 3, &[]) else {
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
fn invalid_or_unchanged_document_writes_nothing() {
    let mut store = Store::default();
    store.run(VALID, "w1", 0, &[]);
    let before = store.value.clone();
    let refused = store.run(&VALID.replace("127.0.0.1:2", "127.0.0.1:3"), "w2", 3, &[]);
    assert!(matches!(refused, Outcome::Refused(_)), "{refused:?}");
    assert!(matches!(
        store.run("[service]", "w2", 3, &[]),
        Outcome::Refused(_)
    ));
    assert_eq!(store.run(VALID, "w2", 3, &[]), Outcome::Unchanged(3));
    assert_eq!((store.version, &store.value), (3, &before));
}

#[test]
fn lost_answer_is_unknown_if_the_value_has_no_stamps() {
    let mut store = Store::default();
    let stamp = Stamp::new("w1", 0, 5, "ana");
    let (mut operation, _) = Operation::start("a.ini", VALID, stamp).unwrap();
    operation.handle(Event::Read(None));
    assert_eq!(operation.handle(Event::WriteUncertain), Step::Read);
    store.put(0, VALID);
    let step = operation.handle(store.call(&Step::Read, Fault::None));
    assert_eq!(step, Step::Done(Outcome::Unknown));
}

fn fault() -> impl Strategy<Value = Fault> {
    use Fault::{Lost, None, Overtaken, Uncertain, Unsent};
    prop::sample::select(vec![None, Unsent, Lost, Uncertain, Overtaken])
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn stored_values_round_trip(text in "([ -~]{0,20}\n){0,4}", count in 0_usize..80) {
        let mut stored = Stored::default();
        for index in 0..count {
            let base = Version::try_from(index).unwrap();
            stored = stored.next(&text, Stamp::new(&format!("w{index}"), base, base, "ana"));
        }
        prop_assert_eq!(Stored::parse(&stored.to_string()), stored);
    }

    #[test]
    fn outcomes_are_never_wrong(faults in collection::vec(fault(), 0..16), stale: bool) {
        let mut store = Store::default();
        store.run(&VALID.replace("60", "50"), "w0", 0, &[]);
        let base = if stale { 1 } else { 3 };
        let outcome = store.run(VALID, "w1", base, &faults);
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
