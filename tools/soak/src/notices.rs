//! Checks that VMs comply with what targets say in their responses, without any I/O.
//!
//! Two statements are checked, for each VM by itself and while the store is down too:
//!
//! - *A target leaves*: a request that a caller has sent [`DRAIN_MAX`] or more after the VM has passed on a response
//!   that says so must not reach the target from that VM.
//! - *A target refuses a request and wants none for a time*: from [`IN_TRANSIT_MAX`] after the refusal to the end of
//!   that time, at most [`HELD_MAX`] requests of that VM may reach it.

use std::time::Duration;

/// How long after a VM has passed on that a target leaves the target may get new requests from it.
pub const DRAIN_MAX: Duration = Duration::from_secs(2);
/// How long after a refusal requests that were sent before may still reach a target.
pub const IN_TRANSIT_MAX: Duration = Duration::from_millis(500);
/// The most requests of one VM that may reach a target after that, while it wants none.
pub const HELD_MAX: usize = 2;

/// A request that reached a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The id of the request.
    pub id: String,
    /// The number of the VM that sent it.
    pub vm: usize,
    /// When its caller sent it.
    pub sent: Duration,
    /// When it reached the target.
    pub arrived: Duration,
    /// When its caller got the target's response; `None` if the response didn't get there.
    pub answered: Option<Duration>,
    /// For how long the target then wanted no requests from the VM; `None` if it didn't refuse the request.
    pub held_for: Option<Duration>,
}

/// A time in which a VM's process was suspended, or ended and was started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The number of the VM.
    pub vm: usize,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
}

/// All requests that reached a target since it made a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The id of the target.
    pub target: String,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// The requests, in the order of their arrival.
    pub arrivals: Vec<Arrival>,
}

/// Returns the requests that reached a target although the VM that sent them knew that it wants none.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_soak::notices::{self, Arrival, Notice};
///
/// let s = Duration::from_secs;
/// let arrival = |id: &str, at| Arrival {
///     id: id.to_owned(),
///     vm: 0,
///     sent: at,
///     arrived: at,
///     answered: Some(at),
///     held_for: None,
/// };
/// let arrivals = vec![arrival("a", s(1)), arrival("b", s(2)), arrival("c", s(3))];
/// let notice = Notice { target: "i-1".to_owned(), leaving: true, arrivals };
/// assert_eq!(notices::unwanted(&notice, &[]), ["c"]);
/// ```
pub fn unwanted(notice: &Notice, stops: &[Stop]) -> Vec<String> {
    if notice.leaving {
        unwanted_while_leaving(notice, stops)
    } else {
        unwanted_while_held(notice, stops)
    }
}

/// Returns the requests that a VM sent to a leaving target too late.
fn unwanted_while_leaving(notice: &Notice, stops: &[Stop]) -> Vec<String> {
    let arrivals = &notice.arrivals;
    let is_unwanted = |late: &&Arrival| {
        let own = arrivals.iter().filter(|it| it.vm == late.vm);
        let told = own.filter_map(|it| it.answered).min();
        told.is_some_and(|told| {
            late.sent >= told + DRAIN_MAX && !has_stopped(stops, late.vm, told, late.arrived)
        })
    };
    let unwanted = arrivals.iter().filter(is_unwanted);
    unwanted.map(|it| it.id.clone()).collect()
}

/// Returns the requests that a VM sent while the target wanted none, if they are too many.
fn unwanted_while_held(notice: &Notice, stops: &[Stop]) -> Vec<String> {
    for refused in &notice.arrivals {
        let Some(time) = refused.held_for else {
            continue;
        };
        let unwanted = refused.arrived + IN_TRANSIT_MAX..refused.arrived + time;
        let later = notice.arrivals.iter().filter(|it| {
            let stopped = has_stopped(stops, it.vm, refused.arrived, it.arrived);
            it.vm == refused.vm && unwanted.contains(&it.arrived) && !stopped
        });
        let ids: Vec<String> = later.map(|it| it.id.clone()).collect();
        if ids.len() > HELD_MAX {
            return ids;
        }
    }
    Vec::new()
}

/// Returns whether a VM's process stopped between two times.
fn has_stopped(stops: &[Stop], vm: usize, from: Duration, to: Duration) -> bool {
    let overlaps = |it: &Stop| it.vm == vm && it.from <= to && it.to >= from;
    stops.iter().any(overlaps)
}
