//! Writes tables and plots of all runs.

use std::{fmt::Write, fs, io, path::Path};

use indexmap::IndexMap;

use crate::{
    experiment::cell::Row,
    plot::{Plot, Series},
    table,
};

/// Rows that belong together, such as those of one route, fault and load over all rounds.
type Group<'a> = Vec<&'a Row>;

/// Median, least and greatest value of a figure over the rounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Median.
    pub median: f64,
    /// Least value.
    pub least: f64,
    /// Greatest value.
    pub greatest: f64,
}

impl Range {
    /// Returns the range of the values; all zero when there are none.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::experiment::summary::Range;
    ///
    /// let range = Range::of(&[3.0, 1.0, 2.0]);
    /// assert_eq!((range.least, range.median, range.greatest), (1.0, 2.0, 3.0));
    /// ```
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or(0.0);
        Self {
            median: at(sorted.len() / 2),
            least: at(0),
            greatest: at(sorted.len().saturating_sub(1)),
        }
    }

    fn text(self) -> String {
        if self.least.to_bits() == self.greatest.to_bits() {
            return format_value(self.median);
        }
        let Self {
            median,
            least,
            greatest,
        } = self;
        format!(
            "{} ({}-{})",
            format_value(median),
            format_value(least),
            format_value(greatest)
        )
    }
}

/// Writes all runs as CSV, a Markdown table, the findings of the audits, and a plot for each fault.
///
/// # Errors
///
/// Fails when a file can't be written.
pub fn write(directory: &Path, rows: &[Row]) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let lines: Vec<String> = rows.iter().map(ToString::to_string).collect();
    let csv = format!("{}\n{}\n", Row::CSV_HEADER, lines.join("\n"));
    fs::write(directory.join("runs.csv"), csv)?;
    fs::write(directory.join("table.md"), markdown(rows))?;
    fs::write(directory.join("findings.txt"), findings(rows))?;
    for (fault, rows) in group_by(rows, |row| row.cell.fault.name().to_owned()) {
        let name = format!("{}.svg", fault.replace(' ', "-"));
        fs::write(directory.join(name), plot(&fault, &rows).svg())?;
    }
    Ok(())
}

/// Returns the log entries of the audits' findings, one per line.
fn findings(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let examples = row.analysis.iter().flat_map(|analysis| &analysis.examples);
        let cell = row.cell;
        for example in examples {
            let name = cell.fault.name();
            // Writing to a string never fails.
            let _ = writeln!(
                text,
                "{name} {:.0} % round {}: {example}",
                cell.load, cell.round
            );
        }
    }
    text
}

/// Returns a Markdown table: a row for each fault, load and route.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = "| fault | load % | route | goodput/s | p50 ms | p99 ms | p99.9 ms | not run | \
                    unknown | longest gap ms | failing ms | VM core | VM MB | opened | retried | \
                    audit findings |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
        .to_owned();
    let name = |row: &Row| {
        let cell = row.cell;
        format!("{} | {:.0} | {}", cell.fault.name(), cell.load, row.route)
    };
    for (name, group) in group_by(rows, name) {
        // Writing to a string never fails.
        let _ = writeln!(text, "| {name} | {} |", figures(&group).join(" | "));
    }
    text
}

/// Returns the figures of one table row.
fn figures(group: &Group<'_>) -> Vec<String> {
    let range = |figure: &dyn Fn(&Row) -> f64| {
        let values: Vec<f64> = group.iter().map(|row| figure(row)).collect();
        Range::of(&values).text()
    };
    let quantile = |share: f64| {
        range(&move |row: &Row| row.counts.served.quantile(share).as_secs_f64() * 1000.0)
    };
    let mut figures = vec![
        range(&Row::goodput),
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        range(&|row| table::to_f64(row.counts.not_run)),
        range(&|row| table::to_f64(row.counts.unknown)),
    ];
    let has_analysis = group.iter().all(|row| row.analysis.is_some());
    let from_analysis = |figure: &dyn Fn(&super::analysis::Analysis) -> f64| {
        range(&|row| row.analysis.as_ref().map_or(0.0, figure))
    };
    let from_usage = |figure: &dyn Fn(&super::cell::FleetUsage) -> f64| {
        range(&|row| row.fleet_usage.as_ref().map_or(0.0, figure))
    };
    if !has_analysis {
        figures.extend(std::iter::repeat_n("-".to_owned(), 7));
        return figures;
    }
    figures.extend([
        from_analysis(&|analysis| analysis.gap.as_secs_f64() * 1000.0),
        from_analysis(&|analysis| analysis.failing.as_secs_f64() * 1000.0),
        from_usage(&|fleet_usage| fleet_usage.max_core_share),
        from_usage(&|fleet_usage| table::megabytes(fleet_usage.resident_kb)),
        from_usage(&|fleet_usage| signed_to_f64(fleet_usage.opened)),
        from_usage(&|fleet_usage| signed_to_f64(fleet_usage.retried)),
        from_analysis(&|analysis| table::to_f64(analysis.finding_count())),
    ]);
    figures
}

fn signed_to_f64(count: i64) -> f64 {
    f64::from(i32::try_from(count).unwrap_or(i32::MAX))
}

/// Plots the 99th percentile of each route against the load, as the median over the rounds.
fn plot(fault: &str, rows: &Group<'_>) -> Plot {
    let mut routes: IndexMap<&str, IndexMap<u64, Vec<f64>>> = IndexMap::new();
    for row in rows {
        let loads = routes.entry(row.route).or_default();
        let p99 = row.counts.served.quantile(0.99).as_secs_f64() * 1000.0;
        loads.entry(row.cell.load.to_bits()).or_default().push(p99);
    }
    let series = routes.into_iter().map(|(route, loads)| {
        let mut points: Vec<(f64, f64)> = loads
            .into_iter()
            .map(|(load, values)| (f64::from_bits(load), Range::of(&values).median))
            .collect();
        points.sort_by(|one, other| one.0.total_cmp(&other.0));
        Series {
            name: route.to_owned(),
            points,
        }
    });
    Plot {
        title: format!("99th percentile of what ran: {fault}"),
        x_label: "load, % of what all slots can do".to_owned(),
        y_label: "ms".to_owned(),
        is_log: true,
        series: series.collect(),
    }
}

fn group_by<'a, F, R>(rows: R, name: F) -> IndexMap<String, Group<'a>>
where
    F: Fn(&Row) -> String,
    R: IntoIterator<Item = &'a Row>,
{
    let mut groups: IndexMap<String, Group<'a>> = IndexMap::new();
    for row in rows {
        groups.entry(name(row)).or_default().push(row);
    }
    groups
}

fn format_value(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}
