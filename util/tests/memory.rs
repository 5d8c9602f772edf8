//! What a process holds for others stays within its limit, and who gives way.

use bramleypier_util::memory::{Held, Memory, SMALL_BYTES};
use futures_util::FutureExt as _;
use proptest::prelude::*;

const LIMIT: usize = 8 * SMALL_BYTES;

/// What happens to a holder.
#[derive(Clone, Copy, Debug)]
enum Step {
    New,
    Resize(usize, usize),
    Spare(usize, usize),
    Wait(usize, bool),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let (index, bytes) = (0..12_usize, 0..LIMIT);
    prop_oneof![
        Just(Step::New),
        (index.clone(), bytes.clone()).prop_map(|(index, bytes)| Step::Resize(index, bytes)),
        (index.clone(), bytes).prop_map(|(index, bytes)| Step::Spare(index, bytes)),
        (index.clone(), any::<bool>()).prop_map(|(index, waits)| Step::Wait(index, waits)),
        index.prop_map(Step::Drop),
    ]
}

fn is_asked(held: &Held) -> bool {
    held.until_asked().now_or_never().is_some()
}

proptest! {
    #[test]
    fn the_limit_holds_whatever_happens(steps in prop::collection::vec(step(), 1..200)) {
        let memory = Memory::new(LIMIT);
        let mut holders: Vec<Held> = Vec::new();
        for step in steps {
            match step {
                Step::New => holders.push(memory.hold()),
                Step::Resize(index, bytes) => {
                    if let Some(held) = holders.get(index) {
                        let before = held.bytes();
                        let resized = held.resize(bytes);
                        prop_assert_eq!(held.bytes(), if resized.is_ok() { bytes } else { before });
                    }
                }
                Step::Spare(index, bytes) => {
                    if let Some(held) = holders.get(index) {
                        let _ = held.resize_spare(bytes);
                    }
                }
                Step::Wait(index, waits) => {
                    if let Some(held) = holders.get(index) {
                        held.set_waiting(waits);
                    }
                }
                Step::Drop(index) => {
                    if index < holders.len() {
                        holders.remove(index);
                    }
                }
            }
            // Whoever is asked gives up at once.
            holders.retain(|held| !is_asked(held));
            prop_assert!(memory.used() <= LIMIT);
            prop_assert_eq!(memory.used(), holders.iter().map(Held::bytes).sum::<usize>());
        }
        drop(holders);
        prop_assert_eq!(memory.used(), 0);
    }
}

#[test]
fn the_oldest_that_waits_gives_way_to_a_new_one() {
    let memory = Memory::new(LIMIT);
    let holders: Vec<Held> = (0..6).map(|_| memory.hold()).collect();
    for held in &holders {
        held.set_waiting(true);
        held.resize(SMALL_BYTES).unwrap();
    }
    assert!(!holders.iter().any(is_asked));
    let large = memory.hold();
    assert!(
        large.resize(2 * SMALL_BYTES).is_ok(),
        "two others give way, and a quarter is left"
    );
    let asked: Vec<bool> = holders.iter().map(is_asked).collect();
    assert_eq!(asked, [true, true, false, false, false, false]);
}

#[test]
fn one_that_does_not_wait_is_not_asked() {
    let memory = Memory::new(LIMIT);
    let working = memory.hold();
    working.resize(6 * SMALL_BYTES).unwrap();
    assert!(memory.hold().resize(2 * SMALL_BYTES).is_err());
    assert!(!is_asked(&working));
    let small = memory.hold();
    assert!(
        small.resize(SMALL_BYTES).is_ok(),
        "a part is kept for small ones"
    );
    assert!(
        memory.hold().resize_spare(1).is_err(),
        "and not for what may stay unread"
    );
}
