//! Tracks the failure domains that operators have evacuated.
//!
//! Load pattern: an operator evacuates a failure domain, and a third of all targets becomes unavailable within a
//! second. When the evacuation ends, all of them are cold at once, before any has announced it.

use std::time::Duration;

use super::Fleet;
use crate::{catalogue::DomainId, store::Revision};

impl Fleet {
    /// Returns whether a failure domain is evacuated, so its targets get no requests.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(!Fleet::default().is_evacuated("domain-1"));
    /// ```
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Starts the evacuation of a failure domain; returns log lines.
    pub(super) fn start_evacuation(
        &mut self,
        now: Duration,
        domain: DomainId,
        revision: Revision,
    ) -> Vec<String> {
        let targets = self.targets.values().filter(|it| it.domain == domain);
        let log_line = format!(
            "event=domain-evacuated domain={domain} targets={} revision={revision}",
            targets.count()
        );
        self.evacuated.entry(domain).or_insert(now);
        vec![log_line]
    }

    /// Ends the evacuation of a failure domain; returns log lines.
    ///
    /// Its targets may be cold before they announce it, so they count as cold from now on.
    pub(super) fn end_evacuation(&mut self, now: Duration, domain: &str) -> Vec<String> {
        // A VM that missed the start of the evacuation also treats the targets as cold.
        let since = self.evacuated.shift_remove(domain).unwrap_or(now);
        let warmups = self.warmups();
        let targets = self.targets.values().filter(|it| it.domain == domain);
        let cold = targets.filter_map(|it| {
            let warmup = warmups.get(&it.service)?;
            Some((it.id.clone(), now + warmup.duration))
        });
        let cold: Vec<_> = cold.collect();
        let log_line = format!(
            "event=domain-taken-back domain={domain} after_ms={} cold={}",
            now.saturating_sub(since).as_millis(),
            cold.len()
        );
        for (id, until) in cold {
            let known = self.cold.entry(id).or_default();
            *known = until.max(*known);
        }
        vec![log_line]
    }
}
