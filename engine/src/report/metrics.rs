//! Aggregates counters and histograms in the process and renders them as text.

use std::{
    fmt::Write as _,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::MetricSink;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// The longest latency that a histogram distinguishes.
const MAX_LATENCY_MS: u64 = 120_000;
/// The significant decimal digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The number of metrics kept; names contain routes, which operators can replace at any time.
const MAX_METRICS: usize = 2_000;

#[derive(Debug)]
enum Aggregate {
    Count(u64),
    Latencies(Box<Histogram<u64>>),
}

/// Aggregates the metrics that the client emits; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct Aggregates(Arc<Mutex<IndexMap<String, Aggregate>>>);

impl MetricSink for Aggregates {
    /// Adds one metric in the client's format, `name:value|kind|#tags`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some((name, value, is_time)) = parse(metric) {
            self.add(name, value, is_time);
        }
        Ok(metric.len())
    }
}

impl Aggregates {
    fn add(&self, name: String, value: u64, is_time: bool) {
        let mut aggregates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if aggregates.len() >= MAX_METRICS && !aggregates.contains_key(&name) {
            return;
        }
        let aggregate = aggregates
            .entry(name)
            .or_insert_with(|| new_aggregate(is_time));
        match aggregate {
            Aggregate::Count(sum) => *sum += value,
            Aggregate::Latencies(latencies) => latencies.saturating_record(value),
        }
    }

    /// Returns all values as text, one per line.
    pub fn text(&self) -> String {
        let aggregates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, aggregate) in aggregates.iter() {
            // Writing to a string never fails.
            let _ = match aggregate {
                Aggregate::Count(sum) => writeln!(text, "{name} {sum}"),
                Aggregate::Latencies(latencies) => writeln!(text, "{}", render(name, latencies)),
            };
        }
        text
    }
}

fn new_aggregate(is_time: bool) -> Aggregate {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
    match histogram {
        Ok(histogram) if is_time => Aggregate::Latencies(Box::new(histogram)),
        _ => Aggregate::Count(0),
    }
}

fn render(name: &str, latencies: &Histogram<u64>) -> String {
    let (name, tags) = name.split_once('{').unwrap_or((name, ""));
    let tags = if tags.is_empty() {
        String::new()
    } else {
        format!("{{{tags}")
    };
    format!(
        "{name}_count{tags} {}\n{name}_ms_p50{tags} {}\n{name}_ms_p99{tags} {}\n{name}_ms_max{tags} {}",
        latencies.len(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.max()
    )
}

/// Parses `name:value|kind|#tags` into name with tags, value, and whether it is a latency.
fn parse(metric: &str) -> Option<(String, u64, bool)> {
    let (name, rest) = metric.split_once(':')?;
    let mut fields = rest.split('|');
    let value = fields.next()?.parse().ok()?;
    let kind = fields.next()?;
    let tags = fields.find_map(|field| field.strip_prefix('#'));
    let name = match tags {
        Some(tags) => format!("{name}{{{tags}}}"),
        None => name.to_owned(),
    };
    Some((name, value, kind == "ms"))
}
