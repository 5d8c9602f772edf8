//! Figures as tables: CSV for machines, columns for people.

use std::{fmt::Write, fs, io, path::Path, time::Duration};

use crate::{
    config::Class,
    run::Outcome,
    tally::{Counts, Tally},
};

/// The head of the CSV file.
const HEAD: &str = "second,class,sent,ran,not_run,unknown,errors,unsound,resent,goodput,\
                    p50_ms,p99_ms,p999_ms,max_ms,refused_p99_ms\n";

/// Returns a span in milliseconds, with two decimals.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_load::table;
///
/// assert_eq!(table::millis(Duration::from_micros(1234)), "1.23");
/// ```
pub fn millis(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1000.0)
}

/// Returns a count as a float.
pub fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns kilobytes as megabytes.
pub fn megabytes(kilobytes: u64) -> f64 {
    float(kilobytes) / 1024.0
}

/// Returns how many requests a second were served well.
pub fn goodput(counts: &Counts, span: Duration) -> f64 {
    float(counts.good) / span.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns a run as CSV: a row a second and class, and one for the whole.
pub fn csv(outcome: &Outcome) -> String {
    let mut text = HEAD.to_owned();
    let second = Duration::from_secs(1);
    for (index, tally) in outcome.seconds.iter().enumerate() {
        rows(&mut text, &index.to_string(), tally, second);
    }
    rows(&mut text, "whole", &outcome.whole, outcome.span);
    text
}

fn rows(text: &mut String, name: &str, tally: &Tally, span: Duration) {
    for class in used(tally) {
        let counts = tally.class(class);
        let latencies = quantiles(counts).map(millis).join(",");
        let row = writeln!(
            text,
            "{name},{},{},{},{},{},{},{},{},{:.1},{latencies},{}",
            class.name(),
            counts.sent,
            counts.ran,
            counts.not_run,
            counts.unknown,
            counts.errors,
            counts.unsound,
            counts.resent,
            goodput(counts, span),
            millis(counts.refused.quantile(0.99)),
        );
        // Writing to a string never fails.
        let _ = row;
    }
}

/// Writes a run as CSV.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn write_csv(path: &Path, outcome: &Outcome) -> io::Result<()> {
    fs::write(path, csv(outcome))
}

/// Returns one line on a tally, for people.
pub fn line(tally: &Tally, span: Duration) -> String {
    let classes = used(tally).map(|class| {
        let counts = tally.class(class);
        let [median, p99, p999, max] = quantiles(counts).map(millis);
        format!(
            "{}: sent={} ran={} not-run={} unknown={} errors={} unsound={} resent={} \
             goodput={:.0}/s p50={median} p99={p99} p99.9={p999} max={max} ms",
            class.name(),
            counts.sent,
            counts.ran,
            counts.not_run,
            counts.unknown,
            counts.errors,
            counts.unsound,
            counts.resent,
            goodput(counts, span),
        )
    });
    classes.collect::<Vec<_>>().join("; ")
}

/// Returns the median, the 99th and the 99.9th percentile, and the greatest latency.
pub fn quantiles(counts: &Counts) -> [Duration; 4] {
    [
        counts.served.quantile(0.5),
        counts.served.quantile(0.99),
        counts.served.quantile(0.999),
        counts.served.max(),
    ]
}

fn used(tally: &Tally) -> impl Iterator<Item = Class> {
    Class::ALL.into_iter().filter(|class| {
        let counts = tally.class(*class);
        counts.sent + counts.ran + counts.not_run + counts.unknown > 0
    })
}
