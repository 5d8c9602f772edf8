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
    /// Whether the VMs have more requests queued that can still meet their goals than the target has room for.
    pub busy: bool,
    /// The minimum time until one more request may be sent, if the target is rate-limited.
    pub wait: Duration,
}

/// Another VM's queue at the same target.
#[derive(Clone, Copy, Debug)]
pub struct OtherQueue<'a> {
    /// The queue, as the VM reported it.
    pub queue: &'a TargetQueue,
    /// How long ago that was, in milliseconds.
    pub age_ms: u32,
    /// The time until that VM gets its next quota.
    pub next_in: Duration,
}

/// The requests that a target may have at once, less those that it has, and how fast it completes them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// How many requests are at the target, with the quotas that other VMs have been assigned since their reports.
    pub in_flight: u32,
    /// How many requests it surely completes per second while it is full; 0 if that is unknown.
    pub completion_rate: f64,
}

/// The free capacity of a target, of which older requests of other VMs take a part at their next quotas.
///
/// What would be idle until then, and is free again by then, goes to the VM that gets its quota now. Without this, the
/// oldest requests of many VMs keep each other waiting while the target is idle.
#[derive(Debug)]
struct FreeCapacity {
    now: u32,
    completion_rate: f64,
    /// When older requests take their part, in order.
    older: Vec<Duration>,
}

impl FreeCapacity {
    /// Reserves capacity for an older request of a VM that gets its next quota after this time.
    fn reserve(&mut self, next_in: Duration) {
        let position = self.older.partition_point(|it| *it <= next_in);
        self.older.insert(position, next_in);
    }

    /// Returns whether `count` requests may be sent now, so that all older ones still get their part in time.
    fn allows(&self, count: u32) -> bool {
        if count > self.now {
            return false;
        }
        let spare = f64::from(self.now - count);
        let mut taken = 0.0;
        self.older.iter().all(|next_in| {
            taken += 1.0;
            taken <= spare + (next_in.as_secs_f64() * self.completion_rate).floor()
        })
    }
}

/// A request in one of the queues at a target.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    request: QueuedRequest,
    /// The time until its VM gets the next quota; `None` for the VM that gets one now.
    next_in: Option<Duration>,
}

impl Quota {
    /// Returns whether it tells the VM anything.
    pub(crate) fn is_of_use(&self) -> bool {
        self.busy || self.within_goal > 0 || self.past_goal > 0 || self.others_past > 0
    }
}

/// Assigns one VM its quota at a target.
///
/// `own` is the VM's queue, and `others` are those of the other VMs. `in_flight` counts the requests at the target, and the quotas that other VMs have been assigned since their reports.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::quota::{self, Occupancy, OtherQueue, TargetQueue, QueuedRequest};
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
/// let other = OtherQueue { queue: &other, age_ms: 10, next_in: Duration::from_millis(30) };
/// let occupancy = Occupancy { in_flight: 2, completion_rate: 0.0 };
/// let quota = quota::allot(&own, &[other], occupancy);
/// assert_eq!((quota.within_goal, quota.past_goal, quota.others_within), (1, 0, 1));
/// // This VM's second request has two others ahead of it, and meets its goal behind at most one.
/// assert_eq!(quota.demoted, [2]);
/// ```
pub fn allot(own: &TargetQueue, others: &[OtherQueue<'_>], occupancy: Occupancy) -> Quota {
    let Occupancy {
        in_flight,
        completion_rate,
    } = occupancy;
    let others_within: u32 = others.iter().map(|it| it.queue.within_goal).sum();
    let ranked = by_rank(own, others);
    let limits = others.iter().map(|it| it.queue.limit);
    let limit = limits.chain([own.limit]).max().unwrap_or(0);
    let mut quota = Quota {
        target: own.target,
        busy: others_within + own.within_goal > limit.saturating_sub(in_flight),
        others_past: others.iter().map(|it| it.queue.past_goal).sum(),
        ..Quota::default()
    };
    let mut free = FreeCapacity {
        now: own.limit.saturating_sub(in_flight),
        completion_rate,
        older: Vec::new(),
    };
    let mut queued_ahead = 0;
    for it in ranked {
        if queued_ahead > it.request.max_ahead {
            if it.next_in.is_none() {
                quota.demoted.push(it.request.ticket);
            }
            continue;
        }
        if let Some(next_in) = it.next_in {
            quota.others_within += 1;
            free.reserve(next_in);
        } else {
            quota.within_goal += u32::from(free.allows(quota.within_goal + 1));
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
    others: &[OtherQueue<'_>],
    in_flight: u32,
) -> Quota {
    let limit = own.limit.min(in_flight + capacity.available);
    let limited = TargetQueue {
        limit,
        ..own.clone()
    };
    let occupancy = Occupancy {
        in_flight,
        completion_rate: 0.0,
    };
    let quota = allot(&limited, others, occupancy);
    let past_goal = quota
        .past_goal
        .min(capacity.available.saturating_sub(quota.within_goal));
    Quota {
        past_goal,
        wait: capacity.wait,
        ..quota
    }
}

/// Returns the requests that all VMs have queued for a target, by priority and age.
fn by_rank(own: &TargetQueue, others: &[OtherQueue<'_>]) -> Vec<Ranked> {
    let own = own.first.iter().map(|request| Ranked {
        request: *request,
        next_in: None,
    });
    let others = others.iter().flat_map(|other| {
        other.queue.first.iter().map(|request| Ranked {
            request: QueuedRequest {
                age_ms: request.age_ms.saturating_add(other.age_ms),
                ..*request
            },
            next_in: Some(other.next_in),
        })
    });
    let mut ranked: Vec<Ranked> = own.chain(others).collect();
    ranked.sort_by_key(|it| {
        let own = it.next_in.is_none();
        (it.request.priority, Reverse(it.request.age_ms), own)
    });
    ranked
}
