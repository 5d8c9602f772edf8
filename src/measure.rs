//! Computes the measures for operators: load imbalance, churn and unavailable time.
//!
//! Several processes report the same move or loss of a range. The epochs of the reports identify
//! duplicates, so that each move or loss counts once.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, ServiceId},
    range::Range,
    timeline::{
        event::{Event, Kind},
        stamp,
    },
};

/// Returns the greatest load divided by the mean load; 1 if the load is even or there is none.
///
/// # Example
///
/// ```
/// use bramleypier::measure;
///
/// assert!((measure::imbalance(&[1.0, 3.0]) - 1.5).abs() < 1e-9);
/// assert!((measure::imbalance(&[]) - 1.0).abs() < 1e-9);
/// ```
#[allow(
    clippy::cast_precision_loss,
    reason = "there are fewer targets than 2^52"
)]
pub fn imbalance(loads: &[f64]) -> f64 {
    let sum: f64 = loads.iter().sum();
    if sum <= 0.0 {
        return 1.0;
    }
    let greatest = loads.iter().copied().fold(0.0, f64::max);
    greatest * loads.len() as f64 / sum
}

/// The measures of one service over a span of the time line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measures {
    /// How many ranges moved.
    pub moves: u64,
    /// The fraction of the hash space that moved; a range that moves twice counts twice.
    pub churn: f64,
    /// Seconds without a serving owner, summed over ranges.
    pub unavailable: f64,
    /// How many ranges, or parts of ranges, have no serving owner at the end of the span.
    pub open: u64,
}

impl Measures {
    /// Returns the churn per hour, if these measures were taken over the span.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::measure::Measures;
    ///
    /// let measures = Measures { churn: 0.5, ..Measures::default() };
    /// assert!((measures.churn_hourly(Duration::from_secs(1800)) - 1.0).abs() < 1e-9);
    /// ```
    pub fn churn_hourly(&self, span: Duration) -> f64 {
        if span.is_zero() {
            return 0.0;
        }
        self.churn * 3600.0 / span.as_secs_f64()
    }
}

/// A period in which no target serves a range or a part of one.
#[derive(Clone, Copy, Debug)]
struct Gap {
    range: Range,
    since: Duration,
    /// The part as a fraction of the range that was lost, so that all parts count as one range.
    weight: f64,
}

/// The measures, open gaps and latest epochs of the ranges of one service.
#[derive(Clone, Debug, Default)]
struct Ranges {
    measures: Measures,
    gaps: Vec<Gap>,
    /// The epoch at which each range was last served.
    served_epochs: IndexMap<Range, Epoch>,
    /// The epoch at which each range last moved.
    moved_epochs: IndexMap<Range, Epoch>,
}

/// Computes the measures from events, as they are recorded or from a merged time line.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::{
///     measure::Meter,
///     range::Range,
///     timeline::{Duty, Event, Kind, Ring},
/// };
///
/// let mut ring = Ring::new("vm-1#1".to_owned(), 9);
/// let mut meter = Meter::default();
/// for (second, kind, epoch) in [(10, Kind::RangeLost, 1), (12, Kind::RangeServed, 2)] {
///     let event = Event::new(Duty::Grantor, "release", kind)
///         .service("tracking")
///         .range(Range::ALL)
///         .epoch(epoch);
///     meter.on(ring.record(Duration::from_secs(second), event));
/// }
/// let measures = meter.measures(Duration::from_secs(20));
/// assert!((measures["tracking"].unavailable - 2.0).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Meter {
    services: IndexMap<ServiceId, Ranges>,
}

impl Meter {
    /// Handles one event; the events of a merged time line must be passed in its order.
    ///
    /// # Example
    ///
    /// See [`Meter`].
    pub fn on(&mut self, event: &Event) {
        let (Some(service), Some(range), Some(epoch)) = (&event.service, event.range, event.epoch)
        else {
            return;
        };
        let ranges = self.services.entry(service.clone()).or_default();
        match event.kind {
            Kind::RangeMoved => ranges.moved(range, epoch),
            Kind::RangeLost => ranges.lost(range, epoch, stamp::time(event.stamp)),
            Kind::RangeServed => ranges.served(range, epoch, stamp::time(event.stamp)),
            _ => {}
        }
    }

    /// Ends the gaps of a range at a time since 1970, although no report says that it is served: from
    /// then on, other processes count its unavailable time.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::{
    ///     measure::Meter,
    ///     range::Range,
    ///     timeline::{Duty, Event, Kind, Ring},
    /// };
    ///
    /// let mut ring = Ring::new("vm-1#1".to_owned(), 9);
    /// let mut meter = Meter::default();
    /// let event = Event::new(Duty::Grantor, "range", Kind::RangeLost);
    /// let event = event.service("a").range(Range::ALL).epoch(1);
    /// meter.on(ring.record(Duration::from_secs(10), event));
    /// meter.close_gaps("a", Range::ALL, Duration::from_secs(11));
    /// assert_eq!(meter.measures(Duration::from_secs(20))["a"].open, 0);
    /// ```
    pub fn close_gaps(&mut self, service: &str, range: Range, at: Duration) {
        if let Some(ranges) = self.services.get_mut(service) {
            ranges.close(range, at);
        }
    }

    /// Returns the measures of each service up to a time since 1970.
    ///
    /// # Example
    ///
    /// See [`Meter`].
    pub fn measures(&self, until: Duration) -> IndexMap<ServiceId, Measures> {
        let services = self.services.iter();
        services
            .map(|(service, ranges)| (service.clone(), ranges.measures(until)))
            .collect()
    }
}

impl Ranges {
    fn moved(&mut self, range: Range, epoch: Epoch) {
        if highest_epoch(&self.moved_epochs, range).is_some_and(|known| epoch <= known) {
            return;
        }
        set_epoch(&mut self.moved_epochs, range, epoch);
        self.measures.moves += 1;
        self.measures.churn += range.share();
    }

    fn lost(&mut self, range: Range, epoch: Epoch, at: Duration) {
        let outdated = highest_epoch(&self.served_epochs, range).is_some_and(|known| epoch < known);
        let known = self.gaps.iter().any(|gap| gap.range.overlaps(&range));
        if outdated || known {
            return;
        }
        self.gaps.push(Gap {
            range,
            since: at,
            weight: 1.0,
        });
    }

    fn served(&mut self, range: Range, epoch: Epoch, at: Duration) {
        if highest_epoch(&self.served_epochs, range).is_some_and(|known| epoch < known) {
            return;
        }
        set_epoch(&mut self.served_epochs, range, epoch);
        self.close(range, at);
    }

    /// Ends the gaps within a range; the parts of gaps outside it stay open.
    fn close(&mut self, range: Range, at: Duration) {
        let mut open = Vec::new();
        for gap in std::mem::take(&mut self.gaps) {
            let outside = subtract(&gap, range);
            let left: f64 = outside.iter().map(|part| part.weight).sum();
            let closed = (gap.weight - left).max(0.0);
            self.measures.unavailable += closed * at.saturating_sub(gap.since).as_secs_f64();
            open.extend(outside);
        }
        self.gaps = open;
    }

    fn measures(&self, until: Duration) -> Measures {
        let open_seconds = self.gaps.iter().map(|gap| {
            let span = until.saturating_sub(gap.since);
            gap.weight * span.as_secs_f64()
        });
        Measures {
            unavailable: self.measures.unavailable + open_seconds.sum::<f64>(),
            open: u64::try_from(self.gaps.len()).unwrap_or(u64::MAX),
            ..self.measures
        }
    }
}

/// Returns the highest known epoch of the ranges that overlap a range.
fn highest_epoch(known: &IndexMap<Range, Epoch>, range: Range) -> Option<Epoch> {
    let overlapping = known.iter().filter(|(other, _)| other.overlaps(&range));
    overlapping.map(|(_, epoch)| *epoch).max()
}

/// Sets the epoch of a range, and removes the older ranges that lie within it.
fn set_epoch(known: &mut IndexMap<Range, Epoch>, range: Range, epoch: Epoch) {
    known.retain(|other, _| other.start < range.start || range.end < other.end);
    known.insert(range, epoch);
}

/// Returns the parts of a gap outside a range that is served.
fn subtract(gap: &Gap, served: Range) -> Vec<Gap> {
    let whole = gap.range;
    if !whole.overlaps(&served) {
        return vec![*gap];
    }
    let mut parts = Vec::new();
    if whole.start < served.start {
        parts.push(Range {
            start: whole.start,
            end: served.start - 1,
        });
    }
    if served.end < whole.end {
        parts.push(Range {
            start: served.end + 1,
            end: whole.end,
        });
    }
    let part = |range: Range| Gap {
        range,
        weight: gap.weight * range.share() / whole.share(),
        ..*gap
    };
    parts.into_iter().map(part).collect()
}
