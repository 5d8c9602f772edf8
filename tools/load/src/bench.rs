//! Measures the request path through one VM and compares it with direct requests to targets.
//!
//! It also measures an idle VM, and the VM's memory while it forwards large files.

use std::{path::PathBuf, time::Duration};

use bramleypier_standins::clock;

use crate::{
    config::{Class, Config, Work},
    run::RunResults,
    table,
    testbed::{self, Error, Setup, Testbed},
};

/// Name of the VM through which all requests go.
const VM_NAME: &str = "vm-1";
/// Service that serves look-ups.
const LOOKUP_SERVICE: &str = "tracking";
/// Service that serves files.
const FILE_SERVICE: &str = "archive";
/// Number of targets that don't check grants, used for direct requests.
const PLAIN_TARGETS: usize = 8;
/// Size of a large file: 64 MiB.
const LARGE_FILE_BYTES: u64 = 64 << 20;

/// Options of the path measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Executable of the VMs; by default it is looked up next to the running executable.
    pub program: Option<PathBuf>,
    /// Directory of the services' documents.
    pub documents: PathBuf,
    /// Look-ups per second; each rate is a run of its own.
    pub rates: Vec<f64>,
    /// Duration of each run.
    pub duration: Duration,
    /// Number of rounds at each rate; a round is a direct run followed by a run through the VM.
    pub rounds: usize,
    /// Number of sending threads.
    pub workers: usize,
}

/// Measures the path and prints a table row for each run.
///
/// # Errors
///
/// Fails when the fleet doesn't start, or a run can't be measured.
pub async fn measure_path(options: &Options) -> Result<(), Error> {
    let setup = Setup {
        program: options.program.clone(),
        documents: [LOOKUP_SERVICE, FILE_SERVICE]
            .map(|name| options.documents.join(format!("{name}.ini")))
            .to_vec(),
        vms: 3,
    };
    let mut testbed = Testbed::start(&setup).await?;
    testbed.add_plain_targets(PLAIN_TARGETS).await?;
    measure_idle(&testbed, options.duration).await?;
    println!(
        "| route | rate/s | goodput/s | p50 ms | p99 ms | p99.9 ms | refused or failed | VM CPU us/request | requests a CPU second | VM resident MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for rate in &options.rates {
        for round in 0..options.rounds {
            let config = Config {
                rates: [*rate, 0.0, 0.0],
                seed: round as u64 + 1,
                duration: options.duration,
                work: Work::Fixed(Duration::ZERO),
                workers: options.workers,
                ..Config::default()
            };
            let direct = Config {
                addresses: testbed.plain_targets.clone(),
                direct: true,
                ..config.clone()
            };
            measure_load(&testbed, "straight", &direct).await?;
            let routed = Config {
                addresses: vec![testbed.entry_addresses()?[0]],
                ..config
            };
            measure_load(&testbed, "through", &routed).await?;
        }
    }
    measure_files(&testbed, options).await
}

/// Prints the processor time and memory that a VM uses while it receives no requests.
async fn measure_idle(testbed: &Testbed, duration: Duration) -> Result<(), Error> {
    let (start, before) = (clock::now(), testbed.usage(VM_NAME)?);
    compio::time::sleep(duration).await;
    let after = testbed.usage(VM_NAME)?;
    let elapsed = clock::now().saturating_sub(start);
    let core_share = after.since(&before).as_secs_f64() / elapsed.as_secs_f64();
    println!(
        "idle: {:.2} % of a core, {:.1} MB resident\n",
        core_share * 100.0,
        table::megabytes(after.resident_kb)
    );
    Ok(())
}

async fn measure_load(testbed: &Testbed, route: &str, config: &Config) -> Result<(), Error> {
    let before = testbed.usage(VM_NAME)?;
    let results = testbed::run_load(config).await?;
    let after = testbed.usage(VM_NAME)?;
    println!(
        "{}",
        format_row(
            route,
            config,
            &results,
            after.since(&before),
            after.resident_kb
        )
    );
    Ok(())
}

fn format_row(
    route: &str,
    config: &Config,
    results: &RunResults,
    cpu: Duration,
    resident: u64,
) -> String {
    let counts = results.overall.class(Class::Lookups);
    let [median, p99, p999, _] = table::quantiles(counts).map(table::millis);
    // Requests of the warm-up also use processor time, so they are added in proportion to its duration.
    let duration_ratio =
        config.duration.as_secs_f64() / results.duration.as_secs_f64().max(f64::MIN_POSITIVE);
    let sent = table::to_f64(counts.sent) * duration_ratio;
    let cpu_per_request = cpu.as_secs_f64() / sent.max(1.0);
    let (cpu_per_request, requests_per_cpu_second) = match route {
        "through" => (
            format!("{:.1}", cpu_per_request * 1e6),
            format!("{:.0}", cpu_per_request.max(f64::MIN_POSITIVE).recip()),
        ),
        _ => ("-".to_owned(), "-".to_owned()),
    };
    format!(
        "| {route} | {:.0} | {:.0} | {median} | {p99} | {p999} | {} | {cpu_per_request} | {requests_per_cpu_second} | {:.1} |",
        config.rates[0],
        table::goodput(counts, results.duration),
        counts.sent - counts.good,
        table::megabytes(resident),
    )
}

/// Downloads large files and prints by how much the VM's peak memory grew.
async fn measure_files(testbed: &Testbed, options: &Options) -> Result<(), Error> {
    let config = Config {
        service: FILE_SERVICE.to_owned(),
        addresses: vec![testbed.entry_addresses()?[0]],
        rates: [0.0, 0.0, 2.0],
        file_bytes: LARGE_FILE_BYTES,
        duration: options.duration,
        work: Work::Fixed(Duration::ZERO),
        deadline: Duration::from_secs(30),
        ..Config::default()
    };
    let before = testbed.usage(VM_NAME)?;
    let results = testbed::run_load(&config).await?;
    let after = testbed.usage(VM_NAME)?;
    let counts = results.overall.class(Class::Files);
    let cpu = after.since(&before).as_secs_f64();
    println!(
        "\nfiles of {} MB: {}; VM peak {:.1} MB before, {:.1} MB after; {:.2} CPU s for {} MB counted",
        LARGE_FILE_BYTES >> 20,
        table::summary_line(&results.overall, results.duration),
        table::megabytes(before.peak_kb),
        table::megabytes(after.peak_kb),
        cpu,
        counts.bytes >> 20,
    );
    Ok(())
}
