//! Repeats losses on fleets of real processes and prints what each cost its keys, as CSV.

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

/// The longest gap that a histogram holds, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// The head of the CSV.
const HEAD: &str = "scenario,repetition,scope,keys,p50_ms,p90_ms,max_ms,unserved,last_work_ms,churn,\
                    dead_targets,platform_rate,calls,runs,doubled,lost,untrue,unsound,two_owners";

/// Runs drills on real processes: losses, freezes, cuts and planned stops.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// How often each scenario is run
    #[bpaf(argument("COUNT"), fallback(3))]
    repeat: usize,
    /// How many keys are looked up
    #[bpaf(argument("COUNT"), fallback(24))]
    keys: usize,
    /// How often each key is looked up
    #[bpaf(argument("MS"), fallback(20))]
    period_ms: u64,
    /// Targets don't check grants
    unchecked: bool,
    /// The program of the VMs; found beside this one unless given
    #[bpaf(argument("FILE"), optional)]
    program: Option<PathBuf>,
    /// A file of sections to add to the VMs' settings
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// Where the CSV goes; standard output unless given
    #[bpaf(argument("FILE"), optional)]
    csv: Option<PathBuf>,
    /// The scenarios to run; all unless given
    #[bpaf(positional("SCENARIO"), many)]
    scenarios: Vec<String>,
}

/// The gaps of a scenario over all repetitions.
struct Total {
    lost: Histogram<u64>,
    others: Histogram<u64>,
    clean: bool,
}

#[compio::main]
async fn main() -> ExitCode {
    match run(&options().run()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("drill failed: {fault}");
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
    let mut csv = output(options)?;
    writeln!(csv, "{HEAD}")?;
    let mut clean = true;
    for scenario in chosen(options)? {
        let mut total = Total::new()?;
        for repetition in 0..options.repeat {
            let outcome = drill::run(scenario, &setup).await?;
            total.add(&outcome);
            for (reason, count) in &outcome.reasons {
                eprintln!("  {count} not served for {reason}");
            }
            write_rows(&mut csv, scenario, repetition, &outcome)?;
        }
        total.print(scenario.name);
        clean &= total.clean;
    }
    Ok(clean)
}

fn output(options: &Options) -> io::Result<Box<dyn Write>> {
    match &options.csv {
        Some(path) => Ok(Box::new(File::create(path)?)),
        None => Ok(Box::new(io::stdout())),
    }
}

fn chosen(options: &Options) -> Result<Vec<&'static Scenario>, String> {
    if options.scenarios.is_empty() {
        return Ok(SCENARIOS.iter().collect());
    }
    let find = |name: &String| {
        let found = SCENARIOS.iter().find(|scenario| scenario.name == *name);
        found.ok_or_else(|| {
            let names: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
            format!("no scenario {name:?}; there are {}", names.join(", "))
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
    for (scope, gaps) in [("lost", &outcome.lost), ("others", &outcome.others)] {
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
            outcome.dead,
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
    let mut histogram = Histogram::new_with_bounds(1, LONGEST_MS, 3)?;
    for gap in gaps {
        histogram.saturating_record(u64::try_from(gap.as_millis()).unwrap_or(LONGEST_MS));
    }
    Ok(histogram)
}

impl Total {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            lost: histogram(&[])?,
            others: histogram(&[])?,
            clean: true,
        })
    }

    fn add(&mut self, outcome: &Outcome) {
        let millis = |gap: &Duration| u64::try_from(gap.as_millis()).unwrap_or(LONGEST_MS);
        for gap in &outcome.lost {
            self.lost.saturating_record(millis(gap));
        }
        for gap in &outcome.others {
            self.others.saturating_record(millis(gap));
        }
        if !outcome.findings.is_clean() {
            self.clean = false;
            eprintln!("{:#?}", outcome.findings);
        }
    }

    fn print(&self, name: &str) {
        eprintln!(
            "{name}: lost keys p50 {} ms, p90 {} ms, max {} ms ({}); other keys p90 {} ms, max {} ms ({}); {}",
            self.lost.value_at_quantile(0.5),
            self.lost.value_at_quantile(0.9),
            self.lost.max(),
            self.lost.len(),
            self.others.value_at_quantile(0.9),
            self.others.max(),
            self.others.len(),
            if self.clean {
                "audit clean"
            } else {
                "AUDIT FOUND FAULTS"
            },
        );
    }
}
