//! Grants: which ranges a target owns, until when, and the rules by which it enforces them.
//!
//! A grant's expiry is a reading of the target's own clock. So a grant that is delayed on the
//! network has expired when it arrives, and a target that was paused finds its grants expired when
//! it resumes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    id::{BootId, Epoch},
    key::Point,
    range::Range,
    util::decimal,
};

/// A grant as a grantor sends it to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation of the target for which the grant is meant.
    pub boot: BootId,
    /// Until when the target may start requests, in milliseconds of its own clock.
    pub until_ms: u64,
    /// The ranges that it owns.
    pub ranges: Vec<Claim>,
    /// The ranges that it has to release.
    pub release: Vec<Claim>,
}

/// A range at an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The first point.
    #[serde(with = "decimal")]
    pub start: Point,
    /// The last point.
    #[serde(with = "decimal")]
    pub end: Point,
    /// The epoch.
    pub epoch: Epoch,
}

impl Claim {
    /// Creates the claim of a range at an epoch.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{grant::Claim, range::Range};
    ///
    /// assert_eq!(Claim::new(Range::ALL, 1).range(), Range::ALL);
    /// ```
    pub fn new(range: Range, epoch: Epoch) -> Self {
        Self {
            start: range.start,
            end: range.end,
            epoch,
        }
    }

    /// Returns the range.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{grant::Claim, range::Range};
    ///
    /// assert!(Claim::new(Range::ALL, 1).range().contains(7));
    /// ```
    pub fn range(&self) -> Range {
        Range {
            start: self.start,
            end: self.end,
        }
    }
}

/// The state that a target reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetState {
    /// The target's incarnation.
    pub boot: BootId,
    /// The target's clock reading when it answered, in milliseconds.
    pub clock_ms: u64,
    /// Whether it accepts requests.
    pub phase: Phase,
    /// The load that it reports; it may be out of date or wrong.
    pub load: f64,
    /// The ranges that it holds.
    pub held: Vec<Held>,
    /// The ranges that it released, with no requests left in flight.
    pub released: Vec<Claim>,
    /// The ranges that it refused of the grant that this answers.
    pub refused: Vec<Claim>,
    /// The number of requests that it is running.
    pub running: u32,
}

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It is starting.
    Cold,
    /// It accepts requests.
    Ready,
    /// It completes its requests and accepts no more.
    Draining,
}

/// A range that a target holds until a reading of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The first point.
    #[serde(with = "decimal")]
    pub start: Point,
    /// The last point.
    #[serde(with = "decimal")]
    pub end: Point,
    /// The epoch.
    pub epoch: Epoch,
    /// The expiry, in milliseconds of the target's clock.
    pub until_ms: u64,
}

/// The grants of a target that checks them.
///
/// It keeps the highest epoch seen for each point. A range with a lower epoch, or with an epoch
/// that it released, is refused.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::{
///     grant::{Claim, Grant, Holder},
///     range::Range,
/// };
///
/// let mut holder = Holder::new("boot-1".into());
/// let now = Duration::from_secs(5);
/// holder.on_grant(now, &Grant {
///     boot: "boot-1".into(),
///     until_ms: 6000,
///     ranges: vec![Claim::new(Range::ALL, 3)],
///     release: vec![],
/// });
/// assert_eq!(holder.epoch(7, now), Some(3));
/// assert_eq!(holder.epoch(7, Duration::from_secs(6)), None);
/// ```
#[derive(Clone, Debug)]
pub struct Holder {
    boot: BootId,
    segments: Vec<Segment>,
    running: Vec<Point>,
}

/// The newest known grant or release of a part of the hash space.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    range: Range,
    epoch: Epoch,
    until: Duration,
    released: bool,
}

impl Segment {
    /// Returns the state where this segment and a newly received one overlap.
    fn merge(&self, newer: &Self) -> Self {
        if self.epoch > newer.epoch {
            return *self;
        }
        if self.epoch < newer.epoch {
            return *newer;
        }
        Self {
            until: self.until.max(newer.until),
            released: self.released || newer.released,
            ..*self
        }
    }
}

impl Holder {
    /// Creates the holder for a new incarnation, without grants.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::grant::Holder;
    ///
    /// assert_eq!(Holder::new("boot-1".into()).epoch(7, Duration::ZERO), None);
    /// ```
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            segments: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Applies a grant and returns the ranges that were refused.
    ///
    /// A grant for another incarnation is refused as a whole.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{
    ///     grant::{Claim, Grant, Holder},
    ///     range::Range,
    /// };
    ///
    /// let mut holder = Holder::new("boot-2".into());
    /// let grant = Grant {
    ///     boot: "boot-1".into(),
    ///     until_ms: 6000,
    ///     ranges: vec![Claim::new(Range::ALL, 3)],
    ///     release: vec![],
    /// };
    /// assert_eq!(holder.on_grant(Duration::ZERO, &grant), grant.ranges);
    /// ```
    pub fn on_grant(&mut self, now: Duration, grant: &Grant) -> Vec<Claim> {
        if grant.boot != self.boot {
            return grant.ranges.clone();
        }
        let until = Duration::from_millis(grant.until_ms);
        let mut refused = Vec::new();
        for claim in &grant.release {
            self.set(claim, Duration::ZERO, true);
        }
        for claim in &grant.ranges {
            self.set(claim, until, false);
            if until > now && !self.holds(claim, now) {
                refused.push(*claim);
            }
        }
        refused
    }

    /// Returns the epoch at which the target owns the point now, if it does.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::grant::Holder;
    ///
    /// assert_eq!(Holder::new("boot-1".into()).epoch(7, Duration::ZERO), None);
    /// ```
    pub fn epoch(&self, point: Point, now: Duration) -> Option<Epoch> {
        self.segments
            .iter()
            .find(|segment| segment.range.contains(point))
            .filter(|segment| !segment.released && now < segment.until)
            .map(|segment| segment.epoch)
    }

    /// Starts a request if the target owns the point now at exactly this epoch; returns whether it
    /// started.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::grant::Holder;
    ///
    /// assert!(!Holder::new("boot-1".into()).begin(7, 1, Duration::ZERO));
    /// ```
    pub fn begin(&mut self, point: Point, epoch: Epoch, now: Duration) -> bool {
        let owns = self.epoch(point, now) == Some(epoch);
        if owns {
            self.running.push(point);
        }
        owns
    }

    /// Ends a request that was started.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grant::Holder;
    ///
    /// Holder::new("boot-1".into()).finish(7);
    /// ```
    pub fn finish(&mut self, point: Point) {
        if let Some(index) = self.running.iter().position(|other| *other == point) {
            self.running.swap_remove(index);
        }
    }

    /// Returns the state that the target reports.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::grant::Holder;
    ///
    /// let state = Holder::new("boot-1".into()).state(Duration::from_secs(2));
    /// assert_eq!(state.clock_ms, 2000);
    /// ```
    pub fn state(&self, now: Duration) -> TargetState {
        let idle = |range: Range| !self.running.iter().any(|point| range.contains(*point));
        let released = self.segments.iter().filter(|segment| segment.released);
        let held = self
            .segments
            .iter()
            .filter(|segment| !segment.released && now < segment.until);
        TargetState {
            boot: self.boot.clone(),
            clock_ms: millis(now),
            phase: Phase::Ready,
            load: 0.0,
            held: held.map(Segment::held).collect(),
            released: released
                .filter(|segment| idle(segment.range))
                .map(|segment| Claim::new(segment.range, segment.epoch))
                .collect(),
            refused: Vec::new(),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns whether the target owns the whole range of the claim now, at the claim's epoch.
    fn holds(&self, claim: &Claim, now: Duration) -> bool {
        self.segments
            .iter()
            .filter(|segment| segment.range.overlaps(&claim.range()))
            .all(|segment| !segment.released && now < segment.until && segment.epoch == claim.epoch)
    }

    /// Applies a new grant or release to the known segments.
    fn set(&mut self, claim: &Claim, until: Duration, released: bool) {
        let newer = Segment {
            range: claim.range(),
            epoch: claim.epoch,
            until,
            released,
        };
        self.segments = overlay(&self.segments, &newer);
    }
}

impl Segment {
    fn held(&self) -> Held {
        Held {
            start: self.range.start,
            end: self.range.end,
            epoch: self.epoch,
            until_ms: millis(self.until),
        }
    }

    /// Returns whether the next segment can be joined to this one.
    fn is_joinable(&self, next: &Self) -> bool {
        self.range.end.checked_add(1) == Some(next.range.start)
            && self.epoch == next.epoch
            && self.until == next.until
            && self.released == next.released
    }
}

/// Applies a new segment to segments that are in order and do not overlap.
fn overlay(segments: &[Segment], newer: &Segment) -> Vec<Segment> {
    let mut parts = Vec::with_capacity(segments.len() + 2);
    let mut next_start = Some(newer.range.start);
    for segment in segments {
        if !segment.range.overlaps(&newer.range) {
            if segment.range.start > newer.range.end {
                fill(&mut parts, newer, &mut next_start, newer.range.end);
            }
            parts.push(*segment);
            continue;
        }
        let start = segment.range.start.max(newer.range.start);
        let end = segment.range.end.min(newer.range.end);
        if segment.range.start < start {
            parts.push(part(segment, segment.range.start, start - 1));
        }
        if start > 0 {
            fill(&mut parts, newer, &mut next_start, start - 1);
        }
        parts.push(part(&segment.merge(newer), start, end));
        next_start = end.checked_add(1);
        if segment.range.end > end {
            parts.push(part(segment, end + 1, segment.range.end));
        }
    }
    fill(&mut parts, newer, &mut next_start, newer.range.end);
    join(parts)
}

/// Adds the new segment from `next_start` up to `end`, where nothing was known.
fn fill(parts: &mut Vec<Segment>, newer: &Segment, next_start: &mut Option<Point>, end: Point) {
    if let Some(start) = *next_start
        && start <= end
    {
        parts.push(part(newer, start, end));
        *next_start = end.checked_add(1);
    }
}

fn part(segment: &Segment, start: Point, end: Point) -> Segment {
    Segment {
        range: Range { start, end },
        ..*segment
    }
}

fn join(parts: Vec<Segment>) -> Vec<Segment> {
    let mut joined: Vec<Segment> = Vec::with_capacity(parts.len());
    for part in parts {
        match joined.last_mut() {
            Some(last) if last.is_joinable(&part) => last.range.end = part.range.end,
            _ => joined.push(part),
        }
    }
    joined
}

fn millis(reading: Duration) -> u64 {
    u64::try_from(reading.as_millis()).unwrap_or(u64::MAX)
}
