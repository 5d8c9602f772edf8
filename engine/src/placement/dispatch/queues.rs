//! The requests queued for targets: how they are reported to the manager, and which of them it demotes.

use std::time::Duration;

use indexmap::IndexMap;

use super::{DispatchRequest, Dispatcher, SyncUpdate, Ticket};
use crate::{
    catalogue::{self, TargetId},
    placement::{
        quota::{QueuedRequest, TargetQueue},
        target_state::TargetState,
    },
};

impl Dispatcher {
    /// Marks the requests that the manager has demoted.
    pub(super) fn mark_demoted(&mut self, sync: &SyncUpdate) {
        let demoted: Vec<Ticket> = sync
            .quotas
            .values()
            .flat_map(|quota| quota.demoted.iter().copied())
            .collect();
        for it in &mut self.queue {
            it.demoted |= demoted.contains(&it.request.ticket);
        }
    }

    /// Returns how many requests are queued for a target that can still meet their goals, or that can't.
    pub(super) fn queued_for(&self, target: &str, within_goal: bool) -> u32 {
        let queues = self.queue.iter().filter_map(|it| it.queue.as_ref());
        let count = queues
            .filter(|key| key.within_goal == within_goal && key.target == target)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Adds the time since the last event to the waits of requests that are queued for targets with free slots.
    pub(super) fn record_idle_waits(&mut self, now: Duration) {
        let counted_at = std::mem::replace(&mut self.idle_counted_at, now);
        let elapsed = now.saturating_sub(counted_at);
        for it in &mut self.queue {
            let target = it.queue.as_ref().map(|key| &key.target);
            let state = target.and_then(|target| self.target_states.get(target));
            if state.is_some_and(|it| it.depth(counted_at) < f64::from(it.slots())) {
                it.idle_wait += elapsed;
            }
        }
    }

    /// Returns the queue of each target, by priority and age.
    pub(super) fn queues(&self, now: Duration) -> Vec<TargetQueue> {
        let mut queues: IndexMap<&TargetId, TargetQueue> = IndexMap::new();
        for it in &self.queue {
            let Some((key, state)) = it
                .queue
                .as_ref()
                .and_then(|key| Some((key, self.target_states.get(&key.target)?)))
            else {
                continue;
            };
            let typical_time = self.typical_time(&it.request);
            let queue = queues.entry(&key.target).or_insert_with(|| TargetQueue {
                target: catalogue::hash(&key.target),
                slots: state.slots(),
                limit: state.max_in_flight(now, typical_time),
                ..TargetQueue::default()
            });
            if !key.within_goal {
                queue.past_goal += 1;
                continue;
            }
            let Some(max_ahead) = max_ahead(now, &it.request, state, typical_time) else {
                // The goal is missed before the next sync exchange, so a quota that comes with it would be wasted.
                continue;
            };
            queue.within_goal += 1;
            if queue.first.len() < queue.limit as usize {
                let age = now.saturating_sub(it.request.received_at).as_millis();
                queue.first.push(QueuedRequest {
                    ticket: it.request.ticket,
                    priority: it.request.priority,
                    age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                    max_ahead,
                });
            }
        }
        queues.into_values().collect()
    }
}

/// Returns how many others can be sent before a queued request that gets a quota with the next sync exchange, so that
/// it still meets its goal; `None` if it can't.
fn max_ahead(
    now: Duration,
    request: &DispatchRequest,
    state: &TargetState,
    typical_time: Option<f64>,
) -> Option<u32> {
    let expected = Duration::from_secs_f64(state.expected_time(now, typical_time));
    let remaining = request
        .goal
        .checked_sub(now + state.sync_interval() + expected)?;
    let ahead = remaining.as_millis()
        / state
            .completion_interval(now, typical_time)
            .as_millis()
            .max(1);
    Some(u32::try_from(ahead).unwrap_or(u32::MAX))
}
