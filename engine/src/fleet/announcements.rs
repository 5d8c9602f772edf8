//! Applies announcements of targets: which ones count, by the configuration's services and by the target's incarnation.
//!
//! Entries and the configuration arrive in any order, and a configuration may add or drop a service later. So an
//! announcement whose service isn't in the configuration is kept aside until it is.

use std::time::Duration;

use indexmap::IndexMap;

use super::Fleet;
use crate::{
    catalogue::{Catalogue, Target, TargetId},
    store::{Item, Revision},
};

/// A target that counts only once the configuration has its service.
#[derive(Clone, Debug)]
pub(super) struct UnlistedTarget {
    target: Target,
    /// When this VM learned of the announcement, from which on the target's warm-up counts.
    announced_at: Duration,
}

impl Fleet {
    /// Applies the entry of a target; an entry that can't be decoded names no target. Returns log lines.
    pub(super) fn apply_target<C>(
        &mut self,
        now: Duration,
        item: &Item,
        catalogue: &C,
    ) -> Vec<String>
    where
        C: Catalogue + ?Sized,
    {
        let Item {
            key,
            value,
            revision,
        } = item;
        match catalogue.target(key, value) {
            Ok(target) => self.announce(now, target, *revision),
            Err(error) => {
                let id = key.rsplit('/').next().unwrap_or_default();
                self.remove_target(now, id);
                vec![format!(
                    "event=target-unreadable revision={revision} {error}"
                )]
            }
        }
    }

    /// Applies an announcement, unless a later incarnation has announced itself under the same id.
    fn announce(&mut self, now: Duration, target: Target, revision: Revision) -> Vec<String> {
        let unlisted = self.unlisted.get(&target.id).map(|it| &it.target);
        let known = self.targets.get(&target.id).or(unlisted);
        let known_start = known.map_or(0, |it| it.start_time);
        // A target that doesn't announce its start time can't be compared: its newest entry counts.
        if target.start_time > 0 && target.start_time < known_start {
            return vec![format!(
                "event=target-older target={} born={} known={known_start} revision={revision}",
                target.id, target.start_time
            )];
        }
        if known_start > 0 && target.start_time > known_start {
            self.forget_leaving(&target);
        }
        let listed = self.has_service(&target);
        let log_line = format!(
            "event=target-announced target={} born={} service={} address={} leaving={} cold_ms={} listed={listed} \
             revision={revision}",
            target.id,
            target.start_time,
            target.service,
            target.address,
            target.leaving,
            target.cold.as_millis()
        );
        if listed {
            self.unlisted.swap_remove(&target.id);
            self.use_target(now, target);
        } else {
            self.put_aside(now, target);
        }
        vec![log_line]
    }

    /// Uses or puts aside targets according to a new configuration; returns log lines.
    pub(super) fn sort_targets(&mut self, now: Duration) -> Vec<String> {
        let dropped = self.targets.values().filter(|it| !self.has_service(it));
        let dropped: Vec<Target> = dropped.cloned().collect();
        let unlisted = std::mem::take(&mut self.unlisted);
        let (added, still): (IndexMap<TargetId, UnlistedTarget>, _) = unlisted
            .into_iter()
            .partition(|(_, it)| self.has_service(&it.target));
        self.unlisted = still;
        let mut log_lines = Vec::new();
        for target in dropped {
            log_lines.push(format!(
                "event=target-unlisted target={} service={}",
                target.id, target.service
            ));
            self.put_aside(now, target);
        }
        for UnlistedTarget {
            target,
            announced_at,
        } in added.into_values()
        {
            log_lines.push(format!(
                "event=target-listed target={} service={}",
                target.id, target.service
            ));
            self.use_target(announced_at, target);
        }
        log_lines
    }

    /// Returns whether the configuration has a target's service; before the first configuration any may be in it.
    fn has_service(&self, target: &Target) -> bool {
        let config = self.config.as_ref();
        config.is_none_or(|it| it.services.contains_key(&target.service))
    }

    fn use_target(&mut self, announced_at: Duration, target: Target) {
        self.set_cold(announced_at, &target);
        self.targets.insert(target.id.clone(), target);
    }

    fn put_aside(&mut self, now: Duration, target: Target) {
        self.remove_target(now, &target.id);
        let unlisted = UnlistedTarget {
            target,
            announced_at: now,
        };
        self.unlisted.insert(unlisted.target.id.clone(), unlisted);
    }
}
