//! Formats results as CSV for programs and as text lines for people.

use std::{fmt::Write, fs, io, path::Path, time::Duration};

use crate::{
    config::Class,
    run::RunResults,
    tally::{Counts, Tally},
};

/// Header of the CSV file.
const CSV_HEADER: &str = "second,class,sent,ran,not_run,unknown,errors,unsound,resent,goodput,\
                    p50_ms,p99_ms,p999_ms,max_ms,refused_p99_ms\n";

/// Formats a duration in milliseconds, with two decimals.
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
pub fn millis(duration: Duration) -> String {
    format!("{:.2}", duration.as_secs_f64() * 1000.0)
}

/// Converts a count to a float.
pub fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts kilobytes to megabytes.
pub fn megabytes(kilobytes: u64) -> f64 {
    to_f64(kilobytes) / 1024.0
}

/// Returns the number of successful requests per second.
pub fn goodput(counts: &Counts, duration: Duration) -> f64 {
    to_f64(counts.good) / duration.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns a run as CSV: a row for each second and class, and one per class for the whole run.
pub fn csv(results: &RunResults) -> String {
    let mut text = CSV_HEADER.to_owned();
    let second = Duration::from_secs(1);
    for (index, tally) in results.per_second.iter().enumerate() {
        write_rows(&mut text, &index.to_string(), tally, second);
    }
    write_rows(&mut text, "whole", &results.overall, results.duration);
    text
}

fn write_rows(text: &mut String, name: &str, tally: &Tally, duration: Duration) {
    for class in active_classes(tally) {
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
            goodput(counts, duration),
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
pub fn write_csv(path: &Path, results: &RunResults) -> io::Result<()> {
    fs::write(path, csv(results))
}

/// Returns a tally as one line of text.
pub fn summary_line(tally: &Tally, duration: Duration) -> String {
    let classes = active_classes(tally).map(|class| {
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
            goodput(counts, duration),
        )
    });
    classes.collect::<Vec<_>>().join("; ")
}

/// Returns the median, the 99th and the 99.9th percentile, and the maximum of the latencies.
pub fn quantiles(counts: &Counts) -> [Duration; 4] {
    [
        counts.served.quantile(0.5),
        counts.served.quantile(0.99),
        counts.served.quantile(0.999),
        counts.served.max(),
    ]
}

fn active_classes(tally: &Tally) -> impl Iterator<Item = Class> {
    Class::ALL.into_iter().filter(|class| {
        let counts = tally.class(*class);
        counts.sent + counts.ran + counts.not_run + counts.unknown > 0
    })
}
