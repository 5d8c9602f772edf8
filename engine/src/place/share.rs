//! How the room at a busy target is shared among VMs.
//!
//! Load pattern: one key takes a third of all requests, several times what its owner can do, and each
//! VM has some of them waiting. Every VM hears at the same moment that the target's queue has become
//! short, and sends: the queue overflows, connections are broken off, and whoever gets in is answered
//! late. So VMs tell the manager what waits, and it gives each the right to send a few: in all as many as
//! there is room for, to the most urgent and then the oldest first.
//!
//! Late requests get room only while no other waits. An answer in time is worth the slot more, and a
//! late one would make the next late too.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::catalogue::TargetHash;

/// How many may be at a target beyond its slots until late requests get no room.
///
/// With one waiting, a target is never idle; more would make requests late that still have time.
pub const LATE_QUEUE: u32 = 1;

/// How urgent a waiting request is, and for how many milliseconds it has waited.
pub type Waited = (u32, u32);

/// One VM's requests that wait for one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Queue {
    /// The target.
    pub target: TargetHash,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// How many may be there at once, those that queue there included.
    pub limit: u32,
    /// How many wait that can still be answered within their goals.
    pub fresh: u32,
    /// The first of those.
    pub first: Vec<Waited>,
    /// How many others wait.
    pub late: u32,
}

/// What a VM may send to a busy target until it hears again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Share {
    /// The target.
    pub target: TargetHash,
    /// How many requests that can still be answered within their goals.
    pub fresh: u32,
    /// How many others.
    pub late: u32,
    /// How many requests that can still be answered in time wait at other VMs.
    pub line: u32,
    /// Whether any such request waits, at whichever VM.
    pub busy: bool,
}

/// Shares a target's room out to one VM.
///
/// `own` is what waits there; `others` is what waits at other VMs, with the milliseconds since they
/// told; `flights` counts the requests at the target and the rights that other VMs have got since.
///
/// # Example
///
/// ```
/// use bramleypier_engine::place::share::{self, Queue};
///
/// let queue = |first: Vec<(u32, u32)>| Queue {
///     target: 7,
///     slots: 2,
///     limit: 4,
///     fresh: first.len() as u32,
///     first,
///     late: 3,
/// };
/// let own = queue(vec![(1, 30), (1, 5)]);
/// let other = queue(vec![(1, 10)]);
/// // Two are there, so two more may go: its own oldest and the other VM's.
/// let share = share::of(&own, &[(&other, 10)], 2);
/// assert_eq!((share.fresh, share.late, share.line), (1, 0, 1));
/// ```
pub fn of(own: &Queue, others: &[(&Queue, u32)], flights: u32) -> Share {
    let waiting: u32 = others.iter().map(|(queue, _)| queue.fresh).sum();
    let all = waiting + own.fresh;
    let late_room = (own.slots + LATE_QUEUE).saturating_sub(flights + all);
    Share {
        target: own.target,
        fresh: first(own, others, own.limit.saturating_sub(flights)),
        late: late_room.min(own.late),
        line: waiting,
        busy: all > 0,
    }
}

/// How many of a VM's requests are among the first that wait for a target, of all VMs.
fn first(own: &Queue, others: &[(&Queue, u32)], room: u32) -> u32 {
    let rank = |(priority, age): Waited, since: u32| (priority, Reverse(age.saturating_add(since)));
    let own = own.first.iter().map(|it| (rank(*it, 0), true));
    let others = others
        .iter()
        .flat_map(|(queue, since)| queue.first.iter().map(|it| (rank(*it, *since), false)));
    let mut order: Vec<_> = own.chain(others).collect();
    order.sort_unstable();
    let room = usize::try_from(room).unwrap_or(usize::MAX);
    let count = order.iter().take(room).filter(|(_, own)| *own).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
