//! How the room at a busy target is shared among VMs.
//!
//! Load pattern: one key takes a third of all requests, several times what its owner can do, and each
//! VM has some of them waiting. Every VM hears at the same moment that the target's queue has become
//! short, and sends: the queue overflows, connections are broken off, and whoever gets in is answered
//! late. So VMs tell the manager what waits, and it gives each the right to send a few: in all as many as
//! there is room for, to the most urgent and then the oldest first.
//!
//! A request that has more before it than can be answered until its goal is told so, and counts in no line.
//!
//! Late requests get room only while no other waits. An answer in time is worth the slot more, and a
//! late one would make the next late too.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::Ticket;
use crate::catalogue::TargetHash;

/// How many may be at a target beyond its slots until late requests get no room.
///
/// With one waiting, a target is never idle; more would make requests late that still have time.
pub const LATE_QUEUE: u32 = 1;

/// One request that waits for a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueuedRequest {
    /// Its number at its VM.
    pub ticket: Ticket,
    /// How urgent it is; 0 is the most.
    pub priority: u32,
    /// For how many milliseconds it has waited.
    #[serde(rename = "age")]
    pub age_ms: u32,
    /// How many others can go first so that it is still answered within its goal.
    #[serde(rename = "reach")]
    pub max_ahead: u32,
}

/// One VM's requests that wait for one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetQueue {
    /// The target.
    pub target: TargetHash,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// How many may be there at once, those that queue there included.
    pub limit: u32,
    /// How many wait that can still be answered within their goals.
    #[serde(rename = "fresh")]
    pub within_goal: u32,
    /// The first of those.
    pub first: Vec<QueuedRequest>,
    /// How many others wait.
    #[serde(rename = "late")]
    pub past_goal: u32,
}

/// What a VM may send to a busy target until it hears again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quota {
    /// The target.
    pub target: TargetHash,
    /// How many requests that can still be answered within their goals.
    #[serde(rename = "fresh")]
    pub within_goal: u32,
    /// How many others.
    #[serde(rename = "late")]
    pub past_goal: u32,
    /// How many requests wait at other VMs that are answered in time if they go by rank.
    #[serde(rename = "line")]
    pub others_within: u32,
    /// How many others wait there.
    #[serde(rename = "behind")]
    pub others_past: u32,
    /// The VM's requests that can't be answered in time any more, since too many go first.
    #[serde(rename = "beyond")]
    pub demoted: Vec<Ticket>,
    /// Whether any request waits that can still be answered in time, at whichever VM.
    pub busy: bool,
    /// How long it takes at least until one more may go, where the target is held to a rate.
    pub wait: Duration,
}

/// Shares a target's room out to one VM.
///
/// `own` is what waits there; `others` is what waits at other VMs, with the milliseconds since they
/// told; `flights` counts the requests at the target and the rights that other VMs have got since.
///
/// # Example
///
/// ```
/// use bramleypier_engine::placement::quota::{self, TargetQueue, QueuedRequest};
///
/// let waited = |ticket, age| QueuedRequest { ticket, priority: 1, age_ms: age, max_ahead: 1 };
/// let queue = |first: Vec<QueuedRequest>| TargetQueue {
///     target: 7,
///     slots: 2,
///     limit: 4,
///     within_goal: first.len() as u32,
///     first,
///     past_goal: 3,
/// };
/// let own = queue(vec![waited(1, 30), waited(2, 5)]);
/// let other = queue(vec![waited(1, 10)]);
/// // Two are there, so two more may go: its own oldest and the other VM's.
/// let share = quota::allot(&own, &[(&other, 10)], 2);
/// assert_eq!((share.within_goal, share.past_goal, share.others_within), (1, 0, 1));
/// // Its second one has two before it, and reaches its goal behind one.
/// assert_eq!(share.demoted, [2]);
/// ```
pub fn allot(own: &TargetQueue, others: &[(&TargetQueue, u32)], flights: u32) -> Quota {
    let waiting: u32 = others.iter().map(|(queue, _)| queue.within_goal).sum();
    let order = by_rank(own, others);
    let mut share = Quota {
        target: own.target,
        busy: waiting + own.within_goal > 0,
        others_past: others.iter().map(|(queue, _)| queue.past_goal).sum(),
        ..Quota::default()
    };
    let room = own.limit.saturating_sub(flights);
    let mut kept = 0;
    for (it, is_own) in order {
        if kept > it.max_ahead {
            if is_own {
                share.demoted.push(it.ticket);
            }
            continue;
        }
        if is_own {
            share.within_goal += u32::from(kept < room);
        } else {
            share.others_within += 1;
        }
        kept += 1;
    }
    let late_room = (own.slots + LATE_QUEUE).saturating_sub(flights + kept);
    share.past_goal = late_room.min(own.past_goal);
    share
}

/// What may go to a target that is held to a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateCapacity {
    /// How many requests may go now.
    pub available: u32,
    /// How long it takes at least until one more may.
    pub wait: Duration,
}

/// Shares out to one VM what may go to a target that is held to a rate; see [`of`].
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::quota::{self, TargetQueue, RateCapacity, QueuedRequest};
///
/// let waited = |ticket, age| QueuedRequest { ticket, priority: 1, age_ms: age, max_ahead: 5 };
/// let own = TargetQueue {
///     target: 7,
///     slots: 2,
///     limit: 4,
///     within_goal: 2,
///     first: vec![waited(1, 30), waited(2, 5)],
///     past_goal: 3,
/// };
/// let room = RateCapacity { available: 1, wait: Duration::ZERO };
/// let share = quota::allot_at_rate(room, &own, &[], 0);
/// assert_eq!((share.within_goal, share.past_goal), (1, 0));
/// ```
pub fn allot_at_rate(
    room: RateCapacity,
    own: &TargetQueue,
    others: &[(&TargetQueue, u32)],
    flights: u32,
) -> Quota {
    let limit = own.limit.min(flights + room.available);
    let held = TargetQueue {
        limit,
        ..own.clone()
    };
    let share = allot(&held, others, flights);
    let late = share
        .past_goal
        .min(room.available.saturating_sub(share.within_goal));
    Quota {
        past_goal: late,
        wait: room.wait,
        ..share
    }
}

/// What waits for a target at all VMs, the most urgent and then the oldest first; `true` marks a VM's own.
fn by_rank(own: &TargetQueue, others: &[(&TargetQueue, u32)]) -> Vec<(QueuedRequest, bool)> {
    let own = own.first.iter().map(|it| (*it, true));
    let others = others.iter().flat_map(|(queue, since)| {
        queue.first.iter().map(|it| {
            let age = it.age_ms.saturating_add(*since);
            (QueuedRequest { age_ms: age, ..*it }, false)
        })
    });
    let mut order: Vec<(QueuedRequest, bool)> = own.chain(others).collect();
    order.sort_by_key(|(it, is_own)| (it.priority, Reverse(it.age_ms), *is_own));
    order
}
