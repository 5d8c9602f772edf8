//! Tracks which targets are cold, by their announcements and after the end of an evacuation.

use std::time::Duration;

use indexmap::IndexMap;

use super::Fleet;
use crate::catalogue::{ServiceId, Target, Warmup};

impl Fleet {
    /// Returns the limits of cold targets by service; services without a limit are left out.
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

    /// Returns whether any target of a service is cold or may be cold.
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

    /// Records how long a target stays cold from now on, as it announced.
    ///
    /// An announcement equal to the previous one counts too: the target may have become cold again, and the
    /// announcements in between may be lost.
    pub(super) fn set_cold(&mut self, now: Duration, target: &Target) {
        if target.cold.is_zero() {
            self.cold.swap_remove(&target.id);
        } else {
            self.cold.insert(target.id.clone(), now + target.cold);
        }
    }

    /// Removes a target; returns whether it was known.
    pub(super) fn remove_target(&mut self, now: Duration, id: &str) -> bool {
        self.cold.swap_remove(id);
        let unlisted = self.unlisted.swap_remove(id);
        let target = self.targets.swap_remove(id);
        let known = target.is_some() || unlisted.is_some();
        if let Some(target) = target {
            self.set_departed(now, target);
        }
        known
    }
}
