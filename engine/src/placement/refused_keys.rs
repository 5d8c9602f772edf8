//! Keys that their owners refuse, and when to send requests for them again.
//!
//! Load pattern: an owner releases a key, or its process ends and a target of another service gets its address. Until
//! the next owner is known, each request for its keys would be sent there and refused.

use std::{collections::HashMap, time::Duration};

use crate::{
    catalogue::ServiceId,
    owner::record::{Fence, KeyRange, RequestKey},
};

/// How long a key counts as moving after the first refusal by its owner, unless a newer owner is known.
///
/// A move takes as long as the work that runs on the key, and the old owner refuses each request meanwhile.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest such time; an owner that regains its grant at the same fence gets no requests for this long.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The time in which an owner refuses a key that it doesn't hold: a refusal needs no slot, and targets are a few
/// milliseconds away.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// How many consecutive refusals make the whole range count as refused: a single key may have left the range.
const MIN_REFUSALS: u32 = 2;
/// How long after its first refusal a range that is still refused counts as lost.
///
/// A move takes one release, one write and one grant, some 50 to 200 ms.
const MAX_MOVE_TIME: Duration = Duration::from_millis(400);

/// A range of keys: its service and its first key.
type RangeId = (ServiceId, RequestKey);

/// The time during which no request is sent after a refusal.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// When the first refusal was received.
    started_at: Duration,
    /// When the next request may be sent.
    until: Duration,
    /// The length of the current backoff.
    duration: Duration,
}

impl Backoff {
    /// Returns the backoff after a refusal, twice as long as the one before.
    fn after_refusal(now: Duration, before: Option<Self>) -> Self {
        let duration = before.map_or(INITIAL_BACKOFF, |it| (it.duration * 2).min(MAX_BACKOFF));
        Self {
            started_at: before.map_or(now, |it| it.started_at),
            until: now + duration,
            duration,
        }
    }
}

/// The keys of a range that its owner refuses at one fence.
#[derive(Clone, Debug)]
struct RefusedRange {
    fence: Fence,
    /// The backoffs for single keys.
    keys: HashMap<RequestKey, Backoff>,
    /// The number of consecutive refusals.
    count: u32,
    /// The backoff for all keys of the range.
    whole: Option<Backoff>,
}

/// Whether a request for a key may be sent to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// A request may be sent.
    Open,
    /// The key is probably moving to another owner.
    Moving,
    /// The key has been refused for longer than a move takes.
    Lost,
}

/// The keys that their owners refuse.
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
/// let key_range = KeyRange { from: 0, to: 9, fence: 5, owner: None };
/// let mut refused_keys = RefusedKeys::default();
/// refused_keys.record_refusal(ms(0), "s", &key_range, 7);
/// assert_eq!(refused_keys.state(ms(50), "s", &key_range, 7), KeyState::Moving);
/// assert_eq!(refused_keys.state(ms(50), "s", &key_range, 8), KeyState::Open, "another key");
/// assert_eq!(refused_keys.state(ms(100), "s", &key_range, 7), KeyState::Open, "one request may be sent");
/// refused_keys.record_sent(ms(100), "s", &key_range, 7);
/// assert_eq!(refused_keys.state(ms(110), "s", &key_range, 7), KeyState::Moving, "only one at a time");
/// ```
#[derive(Clone, Debug, Default)]
pub struct RefusedKeys {
    ranges: HashMap<RangeId, RefusedRange>,
}

impl RefusedKeys {
    /// Returns the state of a key in a range.
    ///
    /// # Example
    ///
    /// See [`RefusedKeys`].
    pub fn state(
        &self,
        now: Duration,
        service: &str,
        key_range: &KeyRange,
        key: RequestKey,
    ) -> KeyState {
        let Some(range) = self.range(service, key_range) else {
            return KeyState::Open;
        };
        let backoffs = [range.whole.as_ref(), range.keys.get(&key)];
        let backoff = backoffs.into_iter().flatten().find(|it| now < it.until);
        match backoff {
            None => KeyState::Open,
            Some(backoff) if now < backoff.started_at + MAX_MOVE_TIME => KeyState::Moving,
            Some(_) => KeyState::Lost,
        }
    }

    /// Records a request sent to the owner; others wait until it would have been refused.
    ///
    /// # Example
    ///
    /// See [`RefusedKeys`].
    pub fn record_sent(
        &mut self,
        now: Duration,
        service: &str,
        key_range: &KeyRange,
        key: RequestKey,
    ) {
        if self.ranges.is_empty() {
            return;
        }
        let Some(range) = self.ranges.get_mut(&(service.to_owned(), key_range.from)) else {
            return;
        };
        if range.fence != key_range.fence {
            return;
        }
        let backoffs = [range.whole.as_mut(), range.keys.get_mut(&key)];
        for backoff in backoffs.into_iter().flatten() {
            backoff.until = backoff.until.max(now + REFUSAL_TIME);
        }
    }

    /// Records that the owner has refused a key.
    ///
    /// # Example
    ///
    /// See [`RefusedKeys`].
    pub fn record_refusal(
        &mut self,
        now: Duration,
        service: &str,
        key_range: &KeyRange,
        key: RequestKey,
    ) {
        let new_range = || RefusedRange {
            fence: key_range.fence,
            keys: HashMap::new(),
            count: 0,
            whole: None,
        };
        let id = (service.to_owned(), key_range.from);
        let range = self.ranges.entry(id).or_insert_with(new_range);
        if range.fence != key_range.fence {
            *range = new_range();
        }
        let before = range.keys.get(&key).copied();
        range.keys.insert(key, Backoff::after_refusal(now, before));
        range.count += 1;
        if range.count >= MIN_REFUSALS {
            range.whole = Some(Backoff::after_refusal(now, range.whole));
        }
    }

    /// Records that the owner has accepted a request for a key, and so holds it.
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
    /// let key_range = KeyRange { from: 0, to: 9, fence: 5, owner: None };
    /// let mut refused_keys = RefusedKeys::default();
    /// refused_keys.record_refusal(Duration::ZERO, "s", &key_range, 7);
    /// refused_keys.record_accepted("s", &key_range, 7);
    /// assert_eq!(refused_keys.state(Duration::ZERO, "s", &key_range, 7), KeyState::Open);
    /// ```
    pub fn record_accepted(&mut self, service: &str, key_range: &KeyRange, key: RequestKey) {
        let id = (service.to_owned(), key_range.from);
        let Some(range) = self.ranges.get_mut(&id) else {
            return;
        };
        if range.fence != key_range.fence {
            return;
        }
        range.keys.remove(&key);
        range.whole = None;
        range.count = 0;
        if range.keys.is_empty() {
            self.ranges.remove(&id);
        }
    }

    /// Drops ranges that have changed; `find` returns the current range of a key.
    pub fn retain<'a, F>(&mut self, find: F)
    where
        F: Fn(&str, RequestKey) -> Option<&'a KeyRange>,
    {
        self.ranges.retain(|(service, from), range| {
            find(service, *from).is_some_and(|key_range| key_range.fence == range.fence)
        });
    }

    /// Returns the refusals of a range at its current fence, if there are any.
    fn range(&self, service: &str, key_range: &KeyRange) -> Option<&RefusedRange> {
        if self.ranges.is_empty() {
            return None;
        }
        let range = self.ranges.get(&(service.to_owned(), key_range.from))?;
        (range.fence == key_range.fence).then_some(range)
    }
}
