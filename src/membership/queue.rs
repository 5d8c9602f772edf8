//! News that waits to travel on messages.

use indexmap::IndexMap;

use super::Update;
use crate::id::VmId;

/// Updates with how often each is still to be sent; the least sent go first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: IndexMap<VmId, Waiting>,
}

/// One update that waits.
#[derive(Debug)]
struct Waiting {
    update: Update,
    sent: usize,
    left: usize,
}

impl Queue {
    /// Adds news, in place of older news of the same member.
    pub(super) fn push(&mut self, update: Update, times: usize) {
        let waiting = Waiting {
            update,
            sent: 0,
            left: times,
        };
        self.waiting.insert(waiting.update.peer.vm.clone(), waiting);
    }

    /// Takes up to `count` updates for one message.
    pub(super) fn take(&mut self, count: usize) -> Vec<Update> {
        self.waiting.sort_by_key(|_, waiting| waiting.sent);
        let mut updates = Vec::new();
        for waiting in self.waiting.values_mut().take(count) {
            waiting.sent += 1;
            waiting.left = waiting.left.saturating_sub(1);
            updates.push(waiting.update.clone());
        }
        self.waiting.retain(|_, waiting| waiting.left > 0);
        updates
    }

    /// Drops the oldest news beyond a bound.
    pub(super) fn bound(&mut self, most: usize) {
        while self.waiting.len() > most {
            self.waiting.pop();
        }
    }
}
