//! Failure domains that operators have evacuated.
//!
//! Load pattern: an operator empties a failure domain, and a third of all targets is gone within a second; when
//! it is taken back they are all cold at once, before any of them has said so.

use std::time::Duration;

use super::Fleet;
use crate::{catalogue::DomainId, store::Revision};

impl Fleet {
    /// Returns whether the targets of a failure domain are to get nothing.
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

    pub(super) fn evacuate(
        &mut self,
        now: Duration,
        domain: DomainId,
        revision: Revision,
    ) -> Vec<String> {
        let targets = self.targets.values().filter(|it| it.domain == domain);
        let note = format!(
            "event=domain-evacuated domain={domain} targets={} revision={revision}",
            targets.count()
        );
        self.evacuated.entry(domain).or_insert(now);
        vec![note]
    }

    /// Takes an evacuated failure domain back: its targets may be cold, and may say so later.
    pub(super) fn take_back(&mut self, now: Duration, domain: &str) -> Vec<String> {
        // Who hears of the end only has missed the evacuation, and its targets may be cold all the same.
        let since = self.evacuated.shift_remove(domain).unwrap_or(now);
        let warmups = self.warmups();
        let targets = self.targets.values().filter(|it| it.domain == domain);
        let cold = targets.filter_map(|it| {
            let warmup = warmups.get(&it.service)?;
            Some((it.id.clone(), now + warmup.duration))
        });
        let cold: Vec<_> = cold.collect();
        let note = format!(
            "event=domain-taken-back domain={domain} after_ms={} cold={}",
            now.saturating_sub(since).as_millis(),
            cold.len()
        );
        for (id, until) in cold {
            let known = self.cold.entry(id).or_default();
            *known = until.max(*known);
        }
        vec![note]
    }
}
