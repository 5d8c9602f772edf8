//! Holds requests for a moment while this VM's knowledge of targets is too old to send by it.

use std::time::Duration;

use super::{DispatchRequest, Dispatcher, admission::Decision};
use crate::fleet::Confirmations;

/// How long requests wait for news at most: time for a call to the store, or for questions to two other VMs.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Whether this VM's knowledge of targets is recent enough to send requests by it.
#[derive(Clone, Debug, Default)]
pub(super) struct Knowledge {
    confirmations: Confirmations,
    /// Since when it is too old, if it is.
    old_since: Option<Duration>,
}

impl Knowledge {
    pub(super) fn new(confirmations: Confirmations) -> Self {
        Self {
            confirmations,
            old_since: None,
        }
    }

    /// Finds out whether the knowledge is recent enough; returns a log line if that has changed.
    pub(super) fn update(&mut self, now: Duration) -> Option<String> {
        let is_old = !self.confirmations.allow_sending(now);
        if is_old == self.old_since.is_some() {
            return None;
        }
        let details = self.confirmations.describe(now);
        if is_old {
            self.old_since = Some(now);
            return Some(format!("event=knowledge-old {details}"));
        }
        let since = self.old_since.take().unwrap_or(now);
        let took = now.saturating_sub(since).as_millis();
        Some(format!("event=knowledge-back took_ms={took} {details}"))
    }

    /// Returns whether requests have to wait for news.
    fn must_wait(&self, now: Duration) -> bool {
        self.old_since.is_some_and(|since| now < since + MAX_WAIT)
    }
}

impl Dispatcher {
    /// Queues a request while this VM waits for news of targets; `None` if it doesn't.
    pub(super) fn wait_for_news(
        &self,
        now: Duration,
        request: &DispatchRequest,
    ) -> Option<Decision> {
        let waits = self.knowledge.must_wait(now) && now < request.deadline;
        waits.then_some(Decision::Queue(None))
    }
}
