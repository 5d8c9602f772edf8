//! Targets that are cold, by what they say and by what happened to them.

use std::time::Duration;

use indexmap::IndexMap;

use super::Fleet;
use crate::catalogue::{ServiceId, Target, Warmup};

impl Fleet {
    /// Returns what cold targets bear, by service; services without a bound are left out.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(Fleet::default().warmups().is_empty());
    /// ```
    pub fn warmups(&self) -> IndexMap<ServiceId, Warmup> {
        let services = self.config.iter().flat_map(|config| &config.services);
        let limited = services.filter_map(|(name, it)| Some((name.clone(), it.warmup?)));
        limited.collect()
    }

    /// Returns whether any target of a service is cold, or may be.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::Fleet;
    ///
    /// assert!(!Fleet::default().has_cold_target(Duration::ZERO, "s"));
    /// ```
    pub fn has_cold_target(&self, now: Duration, service: &str) -> bool {
        let cold = self.cold.iter().filter(|(_, until)| now < **until);
        let mut targets = cold.filter_map(|(id, _)| self.targets.get(id));
        targets.any(|target| target.service == service)
    }

    /// Takes note of how long a target says that it stays cold, from now on.
    ///
    /// Also where it says the same as before: it may have turned cold again, and what it said in between
    /// may be lost.
    pub(super) fn note_cold(&mut self, now: Duration, target: &Target) {
        if target.cold.is_zero() {
            self.cold.swap_remove(&target.id);
        } else {
            self.cold.insert(target.id.clone(), now + target.cold);
        }
    }

    /// Forgets a target; returns whether it was known.
    pub(super) fn forget_target(&mut self, id: &str) -> bool {
        self.cold.swap_remove(id);
        self.targets.swap_remove(id).is_some()
    }
}
