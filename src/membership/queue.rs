//! Updates queued to be sent with later messages.

use indexmap::IndexMap;

use super::Update;
use crate::id::VmId;

/// Queued updates; those sent least often go first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    updates: IndexMap<VmId, QueuedUpdate>,
}

/// A queued update and how often it has been and is still to be sent.
#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    sent: usize,
    remaining: usize,
}

impl Queue {
    /// Adds an update, replacing an older one of the same member.
    pub(super) fn push(&mut self, update: Update, times: usize) {
        let queued = QueuedUpdate {
            update,
            sent: 0,
            remaining: times,
        };
        self.updates.insert(queued.update.peer.vm.clone(), queued);
    }

    /// Returns up to `count` updates for one message and counts them as sent.
    pub(super) fn take(&mut self, count: usize) -> Vec<Update> {
        self.updates.sort_by_key(|_, queued| queued.sent);
        let mut updates = Vec::new();
        for queued in self.updates.values_mut().take(count) {
            queued.sent += 1;
            queued.remaining = queued.remaining.saturating_sub(1);
            updates.push(queued.update.clone());
        }
        self.updates.retain(|_, queued| queued.remaining > 0);
        updates
    }

    /// Drops updates from the end of the queue until at max `max` remain.
    pub(super) fn truncate(&mut self, max: usize) {
        while self.updates.len() > max {
            self.updates.pop();
        }
    }
}
