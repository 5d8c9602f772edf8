//! The checks of what VMs do after targets have said that they leave or want no requests for a while.

use std::time::Duration;

use bramleypier_soak::{
    check::{self, Observations, Violation},
    notices::{self, Arrival, Notice, Stop},
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(id: &str, vm: usize, at: u64) -> Arrival {
    Arrival {
        id: id.to_owned(),
        vm,
        sent: ms(at),
        arrived: ms(at + 5),
        answered: None,
        held_for: None,
    }
}

fn answered(id: &str, vm: usize, at: u64) -> Arrival {
    Arrival {
        answered: Some(ms(at + 20)),
        ..arrival(id, vm, at)
    }
}

fn refused(id: &str, vm: usize, at: u64) -> Arrival {
    Arrival {
        held_for: Some(ms(2000)),
        ..arrival(id, vm, at)
    }
}

fn notice(leaving: bool, arrivals: &[Arrival]) -> Notice {
    Notice {
        target: "i-1".to_owned(),
        leaving,
        arrivals: arrivals.to_vec(),
    }
}

#[test]
fn requests_to_a_leaving_target_are_unwanted_two_seconds_after_its_vm_was_told() {
    let arrivals = [
        answered("told", 0, 0),
        arrival("in-time", 0, 2019),
        arrival("late", 0, 2020),
        arrival("another-vm", 1, 9000),
    ];
    let unwanted = notices::unwanted(&notice(true, &arrivals), &[]);
    assert_eq!(unwanted, ["late"]);
}

#[test]
fn a_vm_that_was_started_again_has_not_been_told() {
    let arrivals = [answered("told", 0, 0), arrival("late", 0, 4000)];
    let stop = |vm, from, to| Stop {
        vm,
        from: ms(from),
        to: ms(to),
    };
    let unwanted = |stop| notices::unwanted(&notice(true, &arrivals), &[stop]);
    assert!(unwanted(stop(0, 1000, 2000)).is_empty());
    assert_eq!(unwanted(stop(1, 1000, 2000)), ["late"]);
    assert_eq!(unwanted(stop(0, 5000, 6000)), ["late"]);
}

#[test]
fn a_third_request_to_a_target_that_wants_none_is_unwanted() {
    let mut arrivals = vec![
        refused("first", 0, 0),
        arrival("in-transit", 0, 499),
        arrival("one", 0, 600),
        arrival("two", 0, 700),
        arrival("another-vm", 1, 800),
        arrival("after", 0, 2000),
    ];
    assert!(notices::unwanted(&notice(false, &arrivals), &[]).is_empty());
    arrivals.push(arrival("three", 0, 900));
    let unwanted = notices::unwanted(&notice(false, &arrivals), &[]);
    assert_eq!(unwanted, ["one", "two", "three"]);
}

#[test]
fn unwanted_requests_violate_a_guarantee() {
    let arrivals = [answered("told", 0, 0), arrival("late", 0, 4000)];
    let observations = Observations {
        recovery_time: Some(Duration::ZERO),
        notices: vec![notice(true, &arrivals)],
        ..Observations::default()
    };
    let expected = Violation::Unwanted("i-1".to_owned(), vec!["late".to_owned()]);
    assert_eq!(check::violations(&observations), [expected]);
}
