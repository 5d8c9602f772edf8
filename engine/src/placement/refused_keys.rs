//! Keys that their owners refuse, and when to ask again.
//!
//! Load pattern: an owner lets a key go, or ends and another service's target gets its address. Until the
//! news of the next owner come, each request for its keys would go there and be refused.

use std::{collections::HashMap, time::Duration};

use crate::{
    catalogue::ServiceId,
    owner::record::{Fence, KeyRange, RequestKey},
};

/// How long a key whose owner has refused it counts as moving at first, unless a newer owner is known.
///
/// A move takes as long as the work that runs on the key, and its old owner refuses each request meanwhile.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest such time: an owner that has its grant back at the same fence is missed so long.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// How soon an owner refuses a key that it doesn't hold: refusals wait for no slot, and targets are a few
/// milliseconds away.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// How many keys in a row an owner must refuse until all of its range count as refused: one key alone
/// may have been taken from the range.
const MIN_REFUSALS: u32 = 2;
/// How long after its first refusal a range that is still refused counts as lost.
///
/// A move takes one release, one write and one grant, some 50 to 200 ms.
const MAX_MOVE_TIME: Duration = Duration::from_millis(400);

/// A range of keys, by service and its first key.
type RangeId = (ServiceId, RequestKey);

/// When something that was refused may be backoffs for again.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    started_at: Duration,
    until: Duration,
    duration: Duration,
}

impl Backoff {
    fn after_refusal(now: Duration, before: Option<Self>) -> Self {
        let duration = before.map_or(INITIAL_BACKOFF, |it| (it.duration * 2).min(MAX_BACKOFF));
        Self {
            started_at: before.map_or(now, |it| it.started_at),
            until: now + duration,
            duration,
        }
    }
}

/// What one owner refuses of a range at one fence.
#[derive(Clone, Debug)]
struct RefusedRange {
    fence: Fence,
    keys: HashMap<RequestKey, Backoff>,
    /// How many refusals came in a row.
    count: u32,
    whole: Option<Backoff>,
}

/// How a key stands that its owner has refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// It may be backoffs for.
    Open,
    /// It is probably on its way to another owner.
    Moving,
    /// It has been refused for longer than a move takes.
    Lost,
}

/// The keys that owners refuse.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::{
///     owner::record::KeyRange,
///     placement::refused_keys::{KeyState, RefusedKeys},
/// };
///
/// let ms = Duration::from_millis;
/// let part = KeyRange { from: 0, to: 9, fence: 5, owner: None };
/// let mut refused_keys = RefusedKeys::default();
/// refused_keys.record_refusal(ms(0), "s", &part, 7);
/// assert_eq!(refused_keys.state(ms(50), "s", &part, 7), KeyState::Moving);
/// assert_eq!(refused_keys.state(ms(50), "s", &part, 8), KeyState::Open, "another key");
/// assert_eq!(refused_keys.state(ms(100), "s", &part, 7), KeyState::Open, "one may ask");
/// refused_keys.record_sent(ms(100), "s", &part, 7);
/// assert_eq!(refused_keys.state(ms(110), "s", &part, 7), KeyState::Moving, "and only one");
/// ```
#[derive(Clone, Debug, Default)]
pub struct RefusedKeys {
    ranges: HashMap<RangeId, RefusedRange>,
}

impl RefusedKeys {
    /// Returns how a key of a range stands.
    ///
    /// # Example
    ///
    /// See [`RefusedKeys`].
    pub fn state(
        &self,
        now: Duration,
        service: &str,
        part: &KeyRange,
        point: RequestKey,
    ) -> KeyState {
        let Some(range) = self.range(service, part) else {
            return KeyState::Open;
        };
        let backoffs = [range.whole.as_ref(), range.keys.get(&point)];
        let backoffs = backoffs.into_iter().flatten().find(|it| now < it.until);
        match backoffs {
            None => KeyState::Open,
            Some(backoff) if now < backoff.started_at + MAX_MOVE_TIME => KeyState::Moving,
            Some(_) => KeyState::Lost,
        }
    }

    /// Takes note of a request that is sent to the owner: others wait until it would have been refused.
    ///
    /// # Example
    ///
    /// See [`RefusedKeys`].
    pub fn record_sent(
        &mut self,
        now: Duration,
        service: &str,
        part: &KeyRange,
        point: RequestKey,
    ) {
        if self.ranges.is_empty() {
            return;
        }
        let Some(range) = self.ranges.get_mut(&(service.to_owned(), part.from)) else {
            return;
        };
        if range.fence != part.fence {
            return;
        }
        let backoffs = [range.whole.as_mut(), range.keys.get_mut(&point)];
        for backoff in backoffs.into_iter().flatten() {
            backoff.until = backoff.until.max(now + REFUSAL_TIME);
        }
    }

    /// Takes note that the owner has refused a key.
    ///
    /// # Example
    ///
    /// See [`RefusedKeys`].
    pub fn record_refusal(
        &mut self,
        now: Duration,
        service: &str,
        part: &KeyRange,
        point: RequestKey,
    ) {
        let new_range = || RefusedRange {
            fence: part.fence,
            keys: HashMap::new(),
            count: 0,
            whole: None,
        };
        let id = (service.to_owned(), part.from);
        let range = self.ranges.entry(id).or_insert_with(new_range);
        if range.fence != part.fence {
            *range = new_range();
        }
        let before = range.keys.get(&point).copied();
        range
            .keys
            .insert(point, Backoff::after_refusal(now, before));
        range.count += 1;
        if range.count >= MIN_REFUSALS {
            range.whole = Some(Backoff::after_refusal(now, range.whole));
        }
    }

    /// Takes note that the owner has taken a request for a key: it holds it.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::{
    ///     owner::record::KeyRange,
    ///     placement::refused_keys::{KeyState, RefusedKeys},
    /// };
    ///
    /// let part = KeyRange { from: 0, to: 9, fence: 5, owner: None };
    /// let mut refused_keys = RefusedKeys::default();
    /// refused_keys.record_refusal(Duration::ZERO, "s", &part, 7);
    /// refused_keys.record_accepted("s", &part, 7);
    /// assert_eq!(refused_keys.state(Duration::ZERO, "s", &part, 7), KeyState::Open);
    /// ```
    pub fn record_accepted(&mut self, service: &str, part: &KeyRange, point: RequestKey) {
        let id = (service.to_owned(), part.from);
        let Some(range) = self.ranges.get_mut(&id) else {
            return;
        };
        if range.fence != part.fence {
            return;
        }
        range.keys.remove(&point);
        range.whole = None;
        range.count = 0;
        if range.keys.is_empty() {
            self.ranges.remove(&id);
        }
    }

    /// Forgets ranges that have changed; `find` returns the range of a key as it stands now.
    pub fn retain<'a, F>(&mut self, find: F)
    where
        F: Fn(&str, RequestKey) -> Option<&'a KeyRange>,
    {
        self.ranges.retain(|(service, from), range| {
            find(service, *from).is_some_and(|part| part.fence == range.fence)
        });
    }

    fn range(&self, service: &str, part: &KeyRange) -> Option<&RefusedRange> {
        if self.ranges.is_empty() {
            return None;
        }
        let range = self.ranges.get(&(service.to_owned(), part.from))?;
        (range.fence == part.fence).then_some(range)
    }
}
