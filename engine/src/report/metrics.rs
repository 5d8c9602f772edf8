//! Counters and histograms, summed up in the process and shown as text.

use std::{
    fmt::Write as _,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::MetricSink;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// The longest latency that is told apart, in milliseconds.
const LONGEST: u64 = 120_000;
/// Significant digits of a latency.
const DIGITS: u8 = 2;
/// The most metrics that are kept: names come from routes, which operators may change all day.
const METRICS: usize = 2_000;

#[derive(Debug)]
enum Total {
    Count(u64),
    Times(Box<Histogram<u64>>),
}

/// Sums up what the metrics client sends; clones share the sums.
#[derive(Clone, Debug, Default)]
pub struct Totals(Arc<Mutex<IndexMap<String, Total>>>);

impl MetricSink for Totals {
    /// Takes one metric in the client's form, `name:value|kind|#tags`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some((name, value, is_time)) = parse(metric) {
            self.add(name, value, is_time);
        }
        Ok(metric.len())
    }
}

impl Totals {
    fn add(&self, name: String, value: u64, is_time: bool) {
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if totals.len() >= METRICS && !totals.contains_key(&name) {
            return;
        }
        let total = totals.entry(name).or_insert_with(|| fresh(is_time));
        match total {
            Total::Count(sum) => *sum += value,
            Total::Times(times) => times.saturating_record(value),
        }
    }

    /// Returns all sums as text, one a line.
    pub fn text(&self) -> String {
        let totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, total) in totals.iter() {
            // Writing to a string can't fail.
            let _ = match total {
                Total::Count(sum) => writeln!(text, "{name} {sum}"),
                Total::Times(times) => writeln!(text, "{}", shown(name, times)),
            };
        }
        text
    }
}

fn fresh(is_time: bool) -> Total {
    let times = Histogram::new_with_bounds(1, LONGEST, DIGITS);
    match times {
        Ok(times) if is_time => Total::Times(Box::new(times)),
        _ => Total::Count(0),
    }
}

fn shown(name: &str, times: &Histogram<u64>) -> String {
    let (name, tags) = name.split_once('{').unwrap_or((name, ""));
    let tags = if tags.is_empty() {
        String::new()
    } else {
        format!("{{{tags}")
    };
    format!(
        "{name}_count{tags} {}\n{name}_ms_p50{tags} {}\n{name}_ms_p99{tags} {}\n{name}_ms_max{tags} {}",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    )
}

/// Takes `name:value|kind|#tags` apart.
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
