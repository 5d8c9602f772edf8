//! Renders a merged time line as text.

use std::fmt::Write as _;

use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{
    measure::Measures,
    timeline::{
        account::MergedTimeline,
        event::Event,
        stamp::{self, Stamp},
    },
};

/// Formats a stamp as a time in UTC and its counter within the millisecond.
///
/// # Example
///
/// ```
/// use bramleypier::timeline::render;
///
/// assert_eq!(render::stamp((1 << 16) + 2), "1970-01-01T00:00:00.001Z+2");
/// ```
pub fn stamp(stamp: Stamp) -> String {
    format!("{}+{}", utc(stamp), stamp::count(stamp))
}

/// Formats a stamp's time in UTC, with milliseconds.
///
/// # Example
///
/// ```
/// use bramleypier::timeline::render;
///
/// assert_eq!(render::utc(1 << 16), "1970-01-01T00:00:00.001Z");
/// ```
pub fn utc(stamp: Stamp) -> String {
    let since = time::Duration::try_from(stamp::time(stamp)).unwrap_or(time::Duration::MAX);
    let Some(time) = OffsetDateTime::UNIX_EPOCH.checked_add(since) else {
        return format!("{}ms", stamp::time(stamp).as_millis());
    };
    let (year, month, day) = time.to_calendar_date();
    let (hour, minute, second, milli) = time.to_hms_milli();
    let month = u8::from(month);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Parses an RFC 3339 time as the first stamp of its millisecond.
///
/// # Example
///
/// ```
/// use bramleypier::timeline::render;
///
/// assert_eq!(render::parse("1970-01-01T00:00:00.001Z"), Some(1 << 16));
/// assert_eq!(render::parse("yesterday"), None);
/// ```
pub fn parse(text: &str) -> Option<Stamp> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    let since = time - OffsetDateTime::UNIX_EPOCH;
    Some(stamp::first(since.try_into().ok()?))
}

/// Renders a merged time line: a line for each event, then the measures and what is missing.
///
/// # Example
///
/// ```
/// use bramleypier::timeline::{MergedTimeline, render};
///
/// let merged = MergedTimeline::merge(Vec::new(), vec!["vm-3#1".to_owned()]);
/// assert!(render::text(&merged).contains("not reached: vm-3#1"));
/// ```
pub fn text(timeline: &MergedTimeline) -> String {
    let mut page = String::new();
    for event in &timeline.events {
        line(&mut page, event);
    }
    let count = timeline.events.len();
    let processes = timeline.answered.len();
    let _ = writeln!(page, "{count} events of {processes} processes");
    for (service, measures) in &timeline.measures {
        let Measures {
            moves,
            churn,
            unavailable,
            open,
        } = measures;
        let _ = writeln!(
            page,
            "service={service} moves={moves} churn={churn:.4} unavailable={unavailable:.3}s lost={open}"
        );
    }
    for vm in &timeline.unreached {
        let _ = writeln!(page, "not reached: {vm}; what it knows is missing");
    }
    for (vm, (dropped, oldest)) in &timeline.dropped {
        let oldest = utc(*oldest);
        let _ = writeln!(
            page,
            "dropped: {dropped} events of {vm}, those before {oldest}"
        );
    }
    page
}

/// Appends the line of one event; writing to a string cannot fail.
fn line(page: &mut String, event: &Event) {
    let _ = writeln!(page, "{} {} {event}", stamp(event.stamp), event.vm);
}
