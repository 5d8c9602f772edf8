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
pub const PAST_GOAL_QUEUE: u32 = 1;

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
/// told; `in_flight` counts the requests at the target and the rights that other VMs have got since.
///
/// # Example
///
/// ```
/// use bramleypier_engine::placement::quota::{self, TargetQueue, QueuedRequest};
///
/// let queued = |ticket, age| QueuedRequest { ticket, priority: 1, age_ms: age, max_ahead: 1 };
/// let queue = |first: Vec<QueuedRequest>| TargetQueue {
///     target: 7,
///     slots: 2,
///     limit: 4,
///     within_goal: first.len() as u32,
///     first,
///     past_goal: 3,
/// };
/// let own = queue(vec![queued(1, 30), queued(2, 5)]);
/// let other = queue(vec![queued(1, 10)]);
/// // Two are there, so two more may go: its own oldest and the other VM's.
/// let quota = quota::allot(&own, &[(&other, 10)], 2);
/// assert_eq!((quota.within_goal, quota.past_goal, quota.others_within), (1, 0, 1));
/// // Its second one has two before it, and reaches its goal behind one.
/// assert_eq!(quota.demoted, [2]);
/// ```
pub fn allot(own: &TargetQueue, others: &[(&TargetQueue, u32)], in_flight: u32) -> Quota {
    let others_within: u32 = others.iter().map(|(queue, _)| queue.within_goal).sum();
    let order = by_rank(own, others);
    let mut quota = Quota {
        target: own.target,
        busy: others_within + own.within_goal > 0,
        others_past: others.iter().map(|(queue, _)| queue.past_goal).sum(),
        ..Quota::default()
    };
    let free = own.limit.saturating_sub(in_flight);
    let mut queued_ahead = 0;
    for (it, is_own) in order {
        if queued_ahead > it.max_ahead {
            if is_own {
                quota.demoted.push(it.ticket);
            }
            continue;
        }
        if is_own {
            quota.within_goal += u32::from(queued_ahead < free);
        } else {
            quota.others_within += 1;
        }
        queued_ahead += 1;
    }
    let past_goal_free = (own.slots + PAST_GOAL_QUEUE).saturating_sub(in_flight + queued_ahead);
    quota.past_goal = past_goal_free.min(own.past_goal);
    quota
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
/// let queued = |ticket, age| QueuedRequest { ticket, priority: 1, age_ms: age, max_ahead: 5 };
/// let own = TargetQueue {
///     target: 7,
///     slots: 2,
///     limit: 4,
///     within_goal: 2,
///     first: vec![queued(1, 30), queued(2, 5)],
///     past_goal: 3,
/// };
/// let capacity = RateCapacity { available: 1, wait: Duration::ZERO };
/// let quota = quota::allot_at_rate(capacity, &own, &[], 0);
/// assert_eq!((quota.within_goal, quota.past_goal), (1, 0));
/// ```
pub fn allot_at_rate(
    capacity: RateCapacity,
    own: &TargetQueue,
    others: &[(&TargetQueue, u32)],
    in_flight: u32,
) -> Quota {
    let limit = own.limit.min(in_flight + capacity.available);
    let limited = TargetQueue {
        limit,
        ..own.clone()
    };
    let quota = allot(&limited, others, in_flight);
    let past_goal = quota
        .past_goal
        .min(capacity.available.saturating_sub(quota.within_goal));
    Quota {
        past_goal,
        wait: capacity.wait,
        ..quota
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
