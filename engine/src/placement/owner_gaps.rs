//! Keys whose owner can't serve them: for how long that has lasted, and how much longer it is expected to last.
//!
//! Load pattern: an owner is lost, and all requests for its keys wait for the next one. Callers that are told to come
//! back soon come back too soon, and give up after a few refusals.

use std::{collections::HashMap, time::Duration};

use crate::{
    catalogue::{ServiceId, TargetId},
    owner::record::{Fence, KeyRange, RequestKey},
};

/// Up to which duration a gap is probably a planned move: one release, one write and one grant.
const MAX_MOVE_TIME: Duration = Duration::from_millis(400);
/// The time in which the keys of a lost owner are served again.
const REPLACEMENT_TIME: Duration = Duration::from_secs(4);
/// For which fraction of its duration a gap that has lasted longer is expected to go on.
const LEFT_FRACTION: f64 = 0.25;
/// How long lost targets are remembered.
const MEMORY: Duration = Duration::from_secs(30);

/// Returns how much longer a key is expected to have no owner, or `None` if it is probably moving.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::owner_gaps::expected_wait;
///
/// let ms = Duration::from_millis;
/// assert_eq!(expected_wait(ms(300)), None);
/// assert_eq!(expected_wait(ms(1000)), Some(ms(3000)));
/// assert_eq!(expected_wait(ms(8000)), Some(ms(2000)));
/// ```
pub fn expected_wait(gone_for: Duration) -> Option<Duration> {
    let left = REPLACEMENT_TIME
        .checked_sub(gone_for)
        .unwrap_or_else(|| gone_for.mul_f64(LEFT_FRACTION));
    (gone_for > MAX_MOVE_TIME).then_some(left)
}

/// The time in which a range has had no usable owner.
#[derive(Clone, Copy, Debug)]
struct Gap {
    fence: Fence,
    since: Duration,
    /// When a request last found no usable owner.
    seen_at: Duration,
}

/// The keys whose owners can't serve them, as far as requests have shown that, and the targets that are lost.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::{owner::record::KeyRange, placement::owner_gaps::OwnerGaps};
///
/// let ms = Duration::from_millis;
/// let key_range = KeyRange { from: 0, to: 9, fence: 5, owner: None };
/// let mut owner_gaps = OwnerGaps::default();
/// assert_eq!(owner_gaps.gone_for(ms(100), "s", &key_range), ms(0));
/// assert_eq!(owner_gaps.gone_for(ms(350), "s", &key_range), ms(250));
/// owner_gaps.record_accepted("s", &key_range);
/// assert_eq!(owner_gaps.gone_for(ms(400), "s", &key_range), ms(0));
/// assert_eq!(owner_gaps.gone_for(ms(9000), "s", &key_range), ms(0), "it may have ended");
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnerGaps {
    ranges: HashMap<(ServiceId, RequestKey), Gap>,
    /// When targets were lost.
    lost: HashMap<TargetId, Duration>,
}

impl OwnerGaps {
    /// Returns for how long a range has had no usable owner, which it has not now.
    ///
    /// # Example
    ///
    /// See [`OwnerGaps`].
    pub fn gone_for(&mut self, now: Duration, service: &str, key_range: &KeyRange) -> Duration {
        let id = (service.to_owned(), key_range.from);
        let gap = self.ranges.entry(id).or_insert(Gap {
            fence: key_range.fence,
            since: now,
            seen_at: now,
        });
        // A range that is released on the way to its next owner has the same gap.
        let owner_changed = gap.fence != key_range.fence && key_range.owner.is_some();
        // Without requests nothing shows that a gap has ended.
        if owner_changed || now >= gap.seen_at + REPLACEMENT_TIME {
            gap.since = now;
        }
        (gap.fence, gap.seen_at) = (key_range.fence, now);
        let since = gap.since;
        let owner = key_range.owner.as_ref();
        let lost_at = owner.and_then(|owner| self.lost.get(&owner.id).copied());
        now.saturating_sub(lost_at.map_or(since, |at| at.min(since)))
    }

    /// Records that the owner of a range has accepted a request for it.
    ///
    /// # Example
    ///
    /// See [`OwnerGaps`].
    pub fn record_accepted(&mut self, service: &str, key_range: &KeyRange) {
        if !self.ranges.is_empty() {
            self.ranges.remove(&(service.to_owned(), key_range.from));
        }
    }

    /// Applies a change of the fleet: targets that are announced no more, whether one is announced, and the ranges.
    pub fn apply_view<'a, A, F>(
        &mut self,
        now: Duration,
        gone: Vec<TargetId>,
        announced: A,
        find: F,
    ) where
        A: Fn(&str) -> bool,
        F: Fn(&str, RequestKey) -> Option<&'a KeyRange>,
    {
        for id in gone {
            self.lost.entry(id).or_insert(now);
        }
        self.lost
            .retain(|id, at| now < *at + MEMORY && !announced(id));
        self.ranges.retain(|(service, from), gap| {
            find(service, *from)
                .is_some_and(|it| it.from == *from && (it.fence == gap.fence || it.owner.is_none()))
        });
    }
}
