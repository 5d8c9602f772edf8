//! Tracks the targets that have said in a response that they are about to leave.
//!
//! Load pattern: targets are emptied while the store is down or they can't reach it, so their entries in the store
//! still announce them as ready. A target's own word counts as much as its entry, and VMs pass it on to each other
//! through the manager. It is never taken back, and ends with the incarnation that gave it: a target that starts again
//! under its id stays.

use std::{iter, time::Duration};

use super::{Fleet, SharedFleet};
use crate::catalogue::{StartTime, Target, TargetId};

/// How long the owner of a key gets requests for it after it has said that it leaves.
///
/// A move of its keys takes some 0.2 s, and until then nobody else can serve them. Two seconds after a target has told a
/// VM that it leaves, nothing from that VM may reach it.
pub(super) const OWNER_GRACE: Duration = Duration::from_secs(1);
/// How long a VM passes the word of a target on: several sync exchanges, of which some may fail.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// The most targets that one message names: those of a large failure domain may leave at the same moment.
const MAX_NEWS: usize = 128;
/// The maximum number of targets that are known to leave.
const MAX_LEAVING: usize = 4096;

/// What this VM knows of a target that says that it leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeavingWord {
    /// When this VM learned of it.
    pub(super) since: Duration,
    /// The start time of the incarnation that leaves; 0 if it isn't known.
    start_time: StartTime,
}

impl Fleet {
    /// Returns whether a target is about to leave, by its announcement or its own responses.
    ///
    /// # Example
    ///
    /// See [`SharedFleet::record_leaving`].
    pub fn is_leaving(&self, target: &Target) -> bool {
        target.leaving || self.leaving.contains_key(&target.id)
    }

    /// Returns whether an incarnation of a target may get requests now.
    ///
    /// One that is announced and says that it leaves may get those for its keys (`owned`) for a while.
    ///
    /// # Example
    ///
    /// See [`Commitment::check`](crate::placement::commitment::Commitment::check).
    pub fn accepts_requests(&self, now: Duration, target: &Target, owned: bool) -> bool {
        let Some(announced) = self.targets.get(&target.id) else {
            return false;
        };
        if announced.leaving
            || !announced.same_incarnation(target)
            || self.is_evacuated(&announced.domain)
        {
            return false;
        }
        let word = self.leaving.get(&target.id);
        word.is_none_or(|it| owned && now < it.since + OWNER_GRACE)
    }

    /// Returns the targets of which this VM has recently learned that they leave, for other VMs.
    ///
    /// # Example
    ///
    /// See [`SharedFleet::record_leaving`].
    pub fn leaving_news(&self, now: Duration) -> Vec<TargetId> {
        let newest_first = self.leaving.iter().rev();
        let recent = newest_first.take_while(|(_, word)| now < word.since + NEWS_TIME);
        let ids = recent.map(|(id, _)| id.clone());
        ids.take(MAX_NEWS).collect()
    }

    /// Returns the announced targets of which this VM knows that they leave, however long, for a VM that has just started
    /// or that this VM contacts for the first time.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// let shared_fleet = SharedFleet::default();
    /// shared_fleet.record_leaving(Duration::ZERO, &["t1".to_owned()], "answer");
    /// assert!(shared_fleet.get().all_leaving().is_empty(), "no such target is announced");
    /// ```
    pub fn all_leaving(&self) -> Vec<TargetId> {
        let newest_first = self.leaving.keys().rev();
        let announced = newest_first.filter(|id| self.targets.contains_key(*id));
        announced.take(MAX_NEWS).cloned().collect()
    }

    /// Returns the start times of the incarnations that are known to leave, one for each id; 0 where it isn't known.
    ///
    /// # Example
    ///
    /// See [`SharedFleet::merge_leaving`].
    pub fn leaving_starts(&self, ids: &[TargetId]) -> Vec<StartTime> {
        let words = ids.iter().map(|id| self.leaving.get(id));
        words.map(|it| it.map_or(0, |it| it.start_time)).collect()
    }

    /// Forgets that an earlier incarnation of a target was about to leave.
    pub(super) fn forget_leaving(&mut self, target: &Target) {
        let word = self.leaving.get(&target.id);
        if word.is_some_and(|it| it.start_time < target.start_time) {
            self.leaving.shift_remove(&target.id);
        }
    }

    /// Returns the start time that a target announces; 0 if it isn't known.
    fn announced_start(&self, id: &str) -> StartTime {
        self.targets.get(id).map_or(0, |it| it.start_time)
    }

    /// Returns whether it is news that the incarnation of a target that started at `start_time` leaves.
    fn is_news(&self, id: &str, start_time: StartTime) -> bool {
        let has_ended = start_time > 0 && start_time < self.announced_start(id);
        let known = self.leaving.get(id);
        !has_ended && known.is_none_or(|it| 0 < it.start_time && it.start_time < start_time)
    }

    /// Records that a target leaves; returns a log line that names the source of this knowledge.
    fn set_leaving(&mut self, now: Duration, id: &str, start_time: StartTime, by: &str) -> String {
        self.leaving.shift_remove(id);
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.shift_remove_index(0);
        }
        let word = LeavingWord {
            since: now,
            start_time,
        };
        self.leaving.insert(id.to_owned(), word);
        let announced = self.targets.contains_key(id);
        format!("event=target-leaving target={id} by={by} announced={announced}")
    }
}

impl SharedFleet {
    /// Records that targets leave; returns a log line for each one of which that was not known.
    ///
    /// `by` is the source: a target's `answer` to a request, its answer to a `grant`, or another `vm`. The word is of the
    /// incarnation that is announced.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// let shared_fleet = SharedFleet::default();
    /// let now = Duration::from_secs(1);
    /// let lines = shared_fleet.record_leaving(now, &["t1".to_owned()], "answer");
    /// assert_eq!(lines, ["event=target-leaving target=t1 by=answer announced=false"]);
    /// assert!(shared_fleet.record_leaving(now, &["t1".to_owned()], "answer").is_empty());
    /// assert_eq!(shared_fleet.get().leaving_news(now), ["t1"]);
    /// assert!(shared_fleet.get().leaving_news(now * 4).is_empty());
    /// ```
    pub fn record_leaving(&self, now: Duration, targets: &[TargetId], by: &str) -> Vec<String> {
        let fleet = self.get();
        let starts: Vec<_> = targets.iter().map(|it| fleet.announced_start(it)).collect();
        drop(fleet);
        self.set_leaving(now, targets, &starts, by)
    }

    /// Records what another VM tells of targets that leave; returns a log line for each one of which that was not known.
    ///
    /// `starts` has the start time of the incarnation that leaves for each target; VMs of older builds send none. The
    /// word of an incarnation that has ended has no effect.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::fleet::SharedFleet;
    ///
    /// let shared_fleet = SharedFleet::default();
    /// let (now, ids) = (Duration::from_secs(1), ["t1".to_owned()]);
    /// assert_eq!(shared_fleet.merge_leaving(now, &ids, &[7]).len(), 1);
    /// assert!(shared_fleet.merge_leaving(now, &ids, &[7]).is_empty());
    /// assert_eq!(shared_fleet.get().leaving_starts(&ids), [7]);
    /// ```
    pub fn merge_leaving(
        &self,
        now: Duration,
        targets: &[TargetId],
        starts: &[StartTime],
    ) -> Vec<String> {
        self.set_leaving(now, targets, starts, "vm")
    }

    fn set_leaving(
        &self,
        now: Duration,
        targets: &[TargetId],
        starts: &[StartTime],
        by: &str,
    ) -> Vec<String> {
        let fleet = self.get();
        let starts = starts.iter().copied().chain(iter::repeat(0));
        let unknown = targets.iter().zip(starts);
        let unknown = unknown.filter(|(id, start)| fleet.is_news(id, *start));
        let unknown: Vec<_> = unknown.collect();
        if unknown.is_empty() {
            return Vec::new();
        }
        // An update copies the state if another handle on it is held.
        drop(fleet);
        self.update(|fleet| {
            let lines = unknown
                .iter()
                .map(|(id, start)| fleet.set_leaving(now, id, *start, by));
            lines.collect()
        })
    }
}
