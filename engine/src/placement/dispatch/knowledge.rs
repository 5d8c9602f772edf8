//! Holds or refuses requests while this VM's knowledge of targets is too old to send by it.

use std::time::Duration;

use super::{DEFAULT_RETRY_AFTER, DispatchRequest, Dispatcher, RefusalReason, admission::Decision};
use crate::fleet::{Confirmations, Freshness};

/// Whether this VM's knowledge of targets is recent enough to send requests by it.
#[derive(Clone, Debug, Default)]
pub(super) struct Knowledge {
    confirmations: Confirmations,
    /// What it is now, and since when.
    freshness: Option<(Freshness, Duration)>,
}

impl Knowledge {
    pub(super) fn new(confirmations: Confirmations) -> Self {
        Self {
            confirmations,
            freshness: None,
        }
    }

    /// Finds out whether the knowledge is recent enough; returns a log line if that has changed.
    pub(super) fn update(&mut self, now: Duration) -> Option<String> {
        let freshness = self.confirmations.freshness(now);
        let (before, since) = *self.freshness.get_or_insert((Freshness::Fresh, now));
        if freshness == before {
            return None;
        }
        self.freshness = Some((freshness, now));
        let event = match freshness {
            Freshness::Fresh => "knowledge-back",
            Freshness::BestKnown => "knowledge-best-known",
            Freshness::Awaited => "knowledge-old",
            Freshness::Stale => "knowledge-stale",
        };
        let took = now.saturating_sub(since).as_millis();
        let details = self.confirmations.describe(now);
        let silence = self.confirmations.store_silence(now);
        let silence = silence.map_or_else(String::new, |it| it.as_millis().to_string());
        Some(format!(
            "event={event} after_ms={took} {details} store_silent_ms={silence}"
        ))
    }
}

impl Dispatcher {
    /// Queues a request while this VM waits for news of targets, or refuses it if they don't come; `None` if what it knows
    /// may be used.
    pub(super) fn wait_for_news(
        &self,
        now: Duration,
        request: &DispatchRequest,
    ) -> Option<Decision> {
        match self.knowledge.confirmations.freshness(now) {
            Freshness::Fresh | Freshness::BestKnown => None,
            Freshness::Awaited if now < request.deadline => Some(Decision::Queue(None)),
            Freshness::Awaited | Freshness::Stale => Some(Decision::Refuse(
                RefusalReason::NoNews,
                DEFAULT_RETRY_AFTER,
                self.owner_basis(request),
            )),
        }
    }
}
