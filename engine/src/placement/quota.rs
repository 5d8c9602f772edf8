//! Divides the free capacity of a busy target among VMs.
//!
//! Load pattern: one key gets a third of all requests, several times what its owner can process, and each VM has some
//! of them queued. All VMs learn at the same moment that the target's queue has become short, and all send. The queue
//! overflows, connections are closed, and the accepted requests get late responses. VMs therefore report their queued
//! requests to the manager, which assigns each VM a quota. The quotas add up to the free capacity and go to the
//! requests with the highest priority, the oldest first.
//!
//! A request with too many others ahead of it to meet its goal is demoted: the VM is notified, and the request no
//! longer counts as ahead of others.
//!
//! Requests past their goal only get capacity while no others are queued. A slot is worth more to a request that can
//! still meet its goal, and a late request would make the next one late too.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::Ticket;
use crate::catalogue::TargetHash;

/// How many requests beyond its slots a target may have before requests past their goal get no capacity.
///
/// With one queued request a target is never idle; more of them would delay requests that can still meet their goals.
pub const PAST_GOAL_QUEUE: u32 = 1;

/// A request that is queued for a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueuedRequest {
    /// The request's number at its VM.
    pub ticket: Ticket,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// How long the request has waited, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u32,
    /// How many others can be sent first without the request missing its goal.
    #[serde(rename = "reach")]
    pub max_ahead: u32,
}

/// The requests of one VM that are queued for one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetQueue {
    /// The target.
    pub target: TargetHash,
    /// How many requests the target processes at a time.
    pub slots: u32,
    /// How many requests the target may have at once, including those in its own queue.
    pub limit: u32,
    /// How many queued requests can still meet their goals.
    #[serde(rename = "fresh")]
    pub within_goal: u32,
    /// The first of these requests.
    pub first: Vec<QueuedRequest>,
    /// How many other requests are queued.
    #[serde(rename = "late")]
    pub past_goal: u32,
}

/// The requests that a VM may send to a busy target until the next sync exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quota {
    /// The target.
    pub target: TargetHash,
    /// How many requests it may send that can still meet their goals.
    #[serde(rename = "fresh")]
    pub within_goal: u32,
    /// How many other requests it may send.
    #[serde(rename = "late")]
    pub past_goal: u32,
    /// How many queued requests of other VMs meet their goals if all are sent by priority and age.
    #[serde(rename = "line")]
    pub others_within: u32,
    /// How many other requests they have queued.
    #[serde(rename = "behind")]
    pub others_past: u32,
    /// The VM's requests that can no longer meet their goals, since too many others are sent first.
    #[serde(rename = "beyond")]
    pub demoted: Vec<Ticket>,
    /// Whether any VM has a request queued that can still meet its goal.
    pub busy: bool,
    /// The minimum time until one more request may be sent, if the target is rate-limited.
    pub wait: Duration,
}

/// Assigns one VM its quota at a target.
///
/// `own` is the VM's queue. `others` are the queues of the other VMs, each with the milliseconds since it was reported.
/// `in_flight` counts the requests at the target, and the quotas that other VMs have been assigned since their reports.
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
/// // Two requests are in flight, so two more may be sent: this VM's oldest and the other VM's.
/// let quota = quota::allot(&own, &[(&other, 10)], 2);
/// assert_eq!((quota.within_goal, quota.past_goal, quota.others_within), (1, 0, 1));
/// // This VM's second request has two others ahead of it, and meets its goal behind at most one.
/// assert_eq!(quota.demoted, [2]);
/// ```
pub fn allot(own: &TargetQueue, others: &[(&TargetQueue, u32)], in_flight: u32) -> Quota {
    let others_within: u32 = others.iter().map(|(queue, _)| queue.within_goal).sum();
    let ranked = by_rank(own, others);
    let mut quota = Quota {
        target: own.target,
        busy: others_within + own.within_goal > 0,
        others_past: others.iter().map(|(queue, _)| queue.past_goal).sum(),
        ..Quota::default()
    };
    let free = own.limit.saturating_sub(in_flight);
    let mut queued_ahead = 0;
    for (it, is_own) in ranked {
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

/// The requests that may be sent to a rate-limited target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateCapacity {
    /// How many requests may be sent now.
    pub available: u32,
    /// The minimum time until one more may be sent.
    pub wait: Duration,
}

/// Assigns one VM its quota at a rate-limited target; see [`allot`].
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

/// Returns the requests that all VMs have queued for a target, by priority and age; `true` marks the VM's own.
fn by_rank(own: &TargetQueue, others: &[(&TargetQueue, u32)]) -> Vec<(QueuedRequest, bool)> {
    let own = own.first.iter().map(|it| (*it, true));
    let others = others.iter().flat_map(|(queue, since)| {
        queue.first.iter().map(|it| {
            let age = it.age_ms.saturating_add(*since);
            (QueuedRequest { age_ms: age, ..*it }, false)
        })
    });
    let mut ranked: Vec<(QueuedRequest, bool)> = own.chain(others).collect();
    ranked.sort_by_key(|(it, is_own)| (it.priority, Reverse(it.age_ms), *is_own));
    ranked
}
