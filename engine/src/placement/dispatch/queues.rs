//! What waits for targets, as the manager is told, and what the manager says of it.

use std::time::Duration;

use indexmap::IndexMap;

use super::{DispatchRequest, Dispatcher, SyncUpdate, Ticket};
use crate::{
    catalogue::{self, TargetId},
    placement::{
        quota::{QueuedRequest, TargetQueue},
        target_state::Member,
    },
};

impl Dispatcher {
    /// Marks the requests that the manager says too many go before.
    pub(super) fn note_beyond(&mut self, word: &SyncUpdate) {
        let beyond: Vec<Ticket> = word
            .quotas
            .values()
            .flat_map(|share| share.demoted.iter().copied())
            .collect();
        for it in &mut self.waiting {
            it.beyond |= beyond.contains(&it.ask.ticket);
        }
    }

    /// How many requests that can still be answered within their goals wait for a target.
    pub(super) fn line(&self, target: &str) -> u32 {
        let lines = self.waiting.iter().filter_map(|it| it.line.as_ref());
        let count = lines
            .filter(|line| line.within_goal && line.target == target)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// What waits for each target, by rank.
    pub(super) fn queues(&self, now: Duration) -> Vec<TargetQueue> {
        let mut queues: IndexMap<&TargetId, TargetQueue> = IndexMap::new();
        for it in &self.waiting {
            let Some((line, member)) = it
                .line
                .as_ref()
                .and_then(|line| Some((line, self.members.get(&line.target)?)))
            else {
                continue;
            };
            let usual = self.usual(&it.ask);
            let queue = queues.entry(&line.target).or_insert_with(|| TargetQueue {
                target: catalogue::hash(&line.target),
                slots: member.slots(),
                limit: member.limit(now, usual),
                ..TargetQueue::default()
            });
            if !line.within_goal {
                queue.past_goal += 1;
                continue;
            }
            let Some(reach) = reach(now, &it.ask, member, usual) else {
                // It is late by the next word, so a right that comes with it would be lost.
                continue;
            };
            queue.within_goal += 1;
            if queue.first.len() < queue.limit as usize {
                let age = now.saturating_sub(it.ask.received_at).as_millis();
                queue.first.push(QueuedRequest {
                    ticket: it.ask.ticket,
                    priority: it.ask.priority,
                    age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                    max_ahead: reach,
                });
            }
        }
        queues.into_values().collect()
    }
}

/// Returns how many others can go before a request that waits, so that it is answered within its goal by a
/// right that comes with the next word; none if it can't be.
fn reach(now: Duration, ask: &DispatchRequest, member: &Member, usual: Option<f64>) -> Option<u32> {
    let expected = Duration::from_secs_f64(member.expected(now, usual));
    let left = ask.goal.checked_sub(now + member.pause() + expected)?;
    let turns = left.as_millis() / member.turn(now, usual).as_millis().max(1);
    Some(u32::try_from(turns).unwrap_or(u32::MAX))
}
