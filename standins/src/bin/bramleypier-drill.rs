//! Runs drills repeatedly and writes the time without service and the audit's findings as CSV.

use std::{
    fs::File,
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;
use bramleypier_standins::drill::{self, Outcome, SCENARIOS, Scenario};
use hdrhistogram::Histogram;

/// The largest value of a histogram; longer gaps are recorded as this.
const MAX_GAP_MS: u64 = 600_000;
/// The header of the CSV.
const CSV_HEADER: &str = "scenario,repetition,scope,keys,p50_ms,p90_ms,max_ms,unserved,last_work_ms,churn,\
                    dead_targets,platform_rate,calls,runs,doubled,lost,untrue,unsound,two_owners";

/// Runs drills on real processes: crashes, freezes, network partitions and planned stops.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// How many times each scenario is run
    #[bpaf(argument("COUNT"), fallback(3))]
    repeat: usize,
    /// The number of keys to look up
    #[bpaf(argument("COUNT"), fallback(24))]
    keys: usize,
    /// The interval at which each key is looked up
    #[bpaf(argument("MS"), fallback(20))]
    period_ms: u64,
    /// Targets don't check grants
    unchecked: bool,
    /// The program of the VMs; by default the one next to this executable
    #[bpaf(argument("FILE"), optional)]
    program: Option<PathBuf>,
    /// A file with sections to append to the VMs' settings
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// The file for the CSV; standard output by default
    #[bpaf(argument("FILE"), optional)]
    csv: Option<PathBuf>,
    /// The scenarios to run; all by default
    #[bpaf(positional("SCENARIO"), many)]
    scenarios: Vec<String>,
}

/// The results of a scenario over all repetitions.
struct Totals {
    lost_gaps: Histogram<u64>,
    other_gaps: Histogram<u64>,
    clean: bool,
}

#[compio::main]
async fn main() -> ExitCode {
    match run(&options().run()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("drill failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<bool, Box<dyn std::error::Error>> {
    let settings = match &options.settings {
        Some(path) => std::fs::read_to_string(path)?,
        None => String::new(),
    };
    let setup = drill::Options {
        program: options.program.clone(),
        checks_grants: !options.unchecked,
        keys: options.keys,
        period: Duration::from_millis(options.period_ms),
        settings,
    };
    let mut csv = open_output(options)?;
    writeln!(csv, "{CSV_HEADER}")?;
    let mut clean = true;
    for scenario in selected_scenarios(options)? {
        let mut totals = Totals::new()?;
        for repetition in 0..options.repeat {
            let outcome = drill::run(scenario, &setup).await?;
            totals.add(&outcome);
            for (reason, count) in &outcome.reasons {
                eprintln!("  {count} look-ups not served: {reason}");
            }
            write_rows(&mut csv, scenario, repetition, &outcome)?;
        }
        totals.print(scenario.name);
        clean &= totals.clean;
    }
    Ok(clean)
}

fn open_output(options: &Options) -> io::Result<Box<dyn Write>> {
    match &options.csv {
        Some(path) => Ok(Box::new(File::create(path)?)),
        None => Ok(Box::new(io::stdout())),
    }
}

fn selected_scenarios(options: &Options) -> Result<Vec<&'static Scenario>, String> {
    if options.scenarios.is_empty() {
        return Ok(SCENARIOS.iter().collect());
    }
    let find = |name: &String| {
        let found = SCENARIOS.iter().find(|scenario| scenario.name == *name);
        found.ok_or_else(|| {
            let names: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
            format!(
                "unknown scenario {name:?}; the scenarios are {}",
                names.join(", ")
            )
        })
    };
    options.scenarios.iter().map(find).collect()
}

fn write_rows(
    csv: &mut dyn Write,
    scenario: &Scenario,
    repetition: usize,
    outcome: &Outcome,
) -> Result<(), Box<dyn std::error::Error>> {
    for (scope, gaps) in [
        ("lost", &outcome.lost_gaps),
        ("others", &outcome.other_gaps),
    ] {
        let gaps = histogram(gaps)?;
        let findings = &outcome.findings;
        writeln!(
            csv,
            "{},{repetition},{scope},{},{},{},{},{},{},{:.3},{},{:.1},{},{},{},{},{},{},{}",
            scenario.name,
            gaps.len(),
            gaps.value_at_quantile(0.5),
            gaps.value_at_quantile(0.9),
            gaps.max(),
            outcome.unserved,
            outcome.last_work.as_millis(),
            outcome.churn,
            outcome.dead_targets,
            outcome.platform_rate,
            outcome.audited.0,
            outcome.audited.1,
            findings.doubled.len(),
            findings.lost.len(),
            findings.untrue.len(),
            findings.unsound.len(),
            findings.two_owners.len(),
        )?;
    }
    csv.flush()?;
    Ok(())
}

fn histogram(gaps: &[Duration]) -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_GAP_MS, 3)?;
    for gap in gaps {
        histogram.saturating_record(u64::try_from(gap.as_millis()).unwrap_or(MAX_GAP_MS));
    }
    Ok(histogram)
}

impl Totals {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            lost_gaps: histogram(&[])?,
            other_gaps: histogram(&[])?,
            clean: true,
        })
    }

    fn add(&mut self, outcome: &Outcome) {
        let millis = |gap: &Duration| u64::try_from(gap.as_millis()).unwrap_or(MAX_GAP_MS);
        for gap in &outcome.lost_gaps {
            self.lost_gaps.saturating_record(millis(gap));
        }
        for gap in &outcome.other_gaps {
            self.other_gaps.saturating_record(millis(gap));
        }
        if !outcome.findings.is_clean() {
            self.clean = false;
            eprintln!("{:#?}", outcome.findings);
        }
    }

    fn print(&self, name: &str) {
        eprintln!(
            "{name}: lost keys p50 {} ms, p90 {} ms, max {} ms ({}); other keys p90 {} ms, max {} ms ({}); {}",
            self.lost_gaps.value_at_quantile(0.5),
            self.lost_gaps.value_at_quantile(0.9),
            self.lost_gaps.max(),
            self.lost_gaps.len(),
            self.other_gaps.value_at_quantile(0.9),
            self.other_gaps.max(),
            self.other_gaps.len(),
            if self.clean {
                "audit clean"
            } else {
                "AUDIT FOUND FAULTS"
            },
        );
    }
}
