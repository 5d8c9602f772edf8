//! Runs the sample services on a fleet of real processes, injects faults, and audits the outcome.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;
use bramleypier_standins::{
    audit::{self, Findings},
    caller::{Callers, Sample},
    clock,
    document::Document,
    fleet::Fleet,
    measure,
    platform::Faults,
    services::{self, Setup, Traffic},
};

/// The VMs, with their failure domains.
const VMS: [(&str, &str); 3] = [
    ("vm-1", "uio-norte"),
    ("vm-2", "uio-centro"),
    ("vm-3", "uio-sur"),
];
/// The VM that is killed.
const LOST_VM: &str = "vm-2";
/// The number of keys per service that get all kinds of requests.
const KEYS: usize = 6;
/// The number of further keys per service that are looked up in turn.
const SPREAD_KEYS: usize = 500;
/// The maximum number of reasons to print.
const MAX_REASONS: usize = 8;
/// The size of a downloaded file.
const FILE_BYTES: u64 = 200_000;

type BoxError = Box<dyn std::error::Error>;

/// Starts the platform, targets and three VMs, sends requests, kills a target and a VM, takes the
/// platform down for a while, and compares what callers were told with what targets ran.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The directory of the sample documents
    #[bpaf(argument("DIR"), fallback(PathBuf::from("examples")))]
    examples: PathBuf,
    /// The program of the VMs; by default the one next to this executable
    #[bpaf(argument("FILE"), optional)]
    program: Option<PathBuf>,
    /// The file for the timeline; by default one in the directory for temporary files
    #[bpaf(argument("FILE"), optional)]
    timeline: Option<PathBuf>,
    /// The file for the look-ups, as CSV
    #[bpaf(argument("FILE"), optional)]
    csv: Option<PathBuf>,
}

/// The result of a run.
struct Outcome {
    findings: Findings,
    measures: Vec<String>,
    timeline: PathBuf,
}

#[compio::main]
async fn main() -> ExitCode {
    let options = options().run();
    match run(&options).await {
        Ok(outcome) => report(&outcome),
        Err(error) => {
            eprintln!("demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn report(outcome: &Outcome) -> ExitCode {
    let findings = &outcome.findings;
    println!("cut or foreign answers: {}", findings.unsound.len());
    println!("keys with two owners: {}", findings.two_owners.len());
    println!("doubled: {}", findings.doubled.len());
    println!("lost: {}", findings.lost.len());
    println!("untrue not-run: {}", findings.untrue.len());
    for measure in &outcome.measures {
        println!("{measure}");
    }
    println!("time line: {}", outcome.timeline.display());
    if findings.is_clean() {
        return ExitCode::SUCCESS;
    }
    eprintln!("{findings:#?}");
    ExitCode::FAILURE
}

async fn run(options: &Options) -> Result<Outcome, BoxError> {
    let mut fleet = Fleet::start(options.program.clone()).await?;
    let mut documents = start_targets(&mut fleet, &options.examples).await?;
    for (name, domain) in VMS {
        fleet.add_vm(name, domain, false).await?;
    }
    for document in &mut documents {
        services::put(&fleet, VMS[0].0, document).await?;
    }
    println!(
        "started {} targets and {} VMs",
        fleet.targets.len(),
        fleet.vms.len()
    );
    let callers = Callers::new(fleet.caller_addresses(), Duration::from_secs(2));
    for document in &documents {
        let keys = services::keys(&document.service, KEYS);
        let timeout = Duration::from_secs(20);
        services::wait_ready(&callers, &document.service, &keys, timeout).await?;
    }
    println!("all services respond");
    let traffic = Traffic::default();
    for document in &documents {
        start_traffic(&traffic, &callers, document);
    }
    let checked = documents
        .iter()
        .find(|document| document.targets.values().any(|target| target.checks_grants))
        .ok_or("no document has a target that checks grants")?;
    let key = &services::keys(&checked.service, 1)[0];
    let lost_target = callers.look_up(&checked.service, key).await.target;
    inject_faults(&mut fleet, &callers, &lost_target).await?;
    traffic.stop().await;
    let timeline = write_timeline(&fleet, options).await?;
    let runs = fleet.runs_of_targets()?;
    let findings = audit::audit(&callers.calls(), &runs);
    println!("{} calls, {} runs", callers.calls().len(), runs.len());
    let samples = callers.samples();
    if let Some(path) = &options.csv {
        write_samples(path, &samples)?;
    }
    println!(
        "{} look-ups; reasons why some were not served:",
        samples.len()
    );
    for (reason, count) in measure::reasons(&samples).iter().take(MAX_REASONS) {
        println!("  {count} for {reason}");
    }
    Ok(Outcome {
        findings,
        measures: format_measures(&callers, &runs, &documents, &lost_target),
        timeline,
    })
}

async fn start_targets(fleet: &mut Fleet, examples: &Path) -> Result<Vec<Document>, BoxError> {
    let setup = Setup {
        work_ms: 5,
        proxied: false,
    };
    let mut documents = Vec::new();
    for path in document_files(examples)? {
        documents.push(services::start(fleet, &path, &setup).await?);
    }
    Ok(documents)
}

/// Lists the documents in the direct subdirectories of a directory, ordered by path.
fn document_files(examples: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(examples)? {
        let entry = entry?.path();
        if entry.is_dir() {
            let entries = fs::read_dir(entry)?.filter_map(Result::ok);
            files.extend(entries.map(|file| file.path()));
        }
    }
    files.retain(|file| file.extension().is_some_and(|kind| kind == "ini"));
    files.sort();
    Ok(files)
}

fn start_traffic(traffic: &Traffic, callers: &Callers, document: &Document) {
    let service = &document.service;
    let keys = services::keys(service, KEYS);
    services::look_up_keys(traffic, callers, service, &keys, Duration::from_millis(100));
    let spread: Vec<String> = (0..SPREAD_KEYS)
        .map(|n| format!("{service}-spread-{n}"))
        .collect();
    services::look_up_in_turn(
        traffic,
        callers,
        service,
        &spread,
        Duration::from_millis(10),
    );
    if document.takes_orders {
        let callers = callers.with_deadline(Duration::from_secs(5));
        services::order_keys(traffic, &callers, service, &keys, Duration::from_millis(50));
    }
    if document.takes_files {
        let callers = callers.with_deadline(Duration::from_secs(10));
        let period = Duration::from_millis(500);
        services::fetch_files(traffic, &callers, service, &keys, period, FILE_BYTES);
    }
}

/// Kills a target, then a VM, then takes the platform down for a while.
async fn inject_faults(fleet: &mut Fleet, callers: &Callers, target: &str) -> Result<(), BoxError> {
    let pause = Duration::from_secs(4);
    compio::time::sleep(pause / 2).await;
    println!("killing target {target}");
    fleet.kill(target)?;
    fleet.deregister(target).await?;
    compio::time::sleep(pause).await;
    println!("killing VM {LOST_VM}");
    fleet.kill(LOST_VM)?;
    fleet.deregister(LOST_VM).await?;
    callers.set_entries(fleet.caller_addresses());
    compio::time::sleep(pause).await;
    println!("taking the platform down");
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    fleet.platform_faults(&down).await?;
    compio::time::sleep(pause).await;
    fleet.platform_faults(&Faults::default()).await?;
    println!("the platform is back");
    compio::time::sleep(pause / 2).await;
    Ok(())
}

async fn write_timeline(fleet: &Fleet, options: &Options) -> Result<PathBuf, BoxError> {
    let path = options.timeline.clone().unwrap_or_else(|| {
        let name = format!("bramleypier-demo-{}.txt", std::process::id());
        std::env::temp_dir().join(name)
    });
    let settings = fleet.settings_path(VMS[0].0)?.display().to_string();
    let output = fleet
        .run_command(&["timeline", "--settings", &settings])
        .await?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into());
    }
    fs::write(&path, &output.stdout)?;
    Ok(path)
}

fn write_samples(path: &Path, samples: &[Sample]) -> io::Result<()> {
    let mut file = io::BufWriter::new(fs::File::create(path)?);
    writeln!(file, "sent_ms,service,key,took_ms,target,reason")?;
    for sample in samples {
        writeln!(
            file,
            "{},{},{},{},{},\"{}\"",
            sample.sent.as_millis(),
            sample.service,
            sample.key,
            sample.took.as_millis(),
            sample.target,
            sample.reason,
        )?;
    }
    file.flush()
}

fn format_measures(
    callers: &Callers,
    runs: &[bramleypier_standins::journal::Run],
    documents: &[Document],
    lost_target: &str,
) -> Vec<String> {
    let imbalances = documents.iter().map(|document| {
        let names = document.targets.keys().filter(|name| *name != lost_target);
        let names: Vec<String> = names.cloned().collect();
        measure::imbalance(runs, &names)
    });
    let imbalance = imbalances.fold(0.0, f64::max);
    let mut samples = callers.samples();
    samples.retain(|sample| !sample.key.contains("-spread-"));
    let gaps = measure::gaps(&samples, clock::now());
    let worst = gaps.values().max().copied().unwrap_or_default();
    let total: Duration = gaps.values().sum();
    vec![
        format!(
            "imbalance: {imbalance:.2} (largest to mean number of runs of a service's targets)"
        ),
        format!("churn: {:.3} moves per key", measure::churn(runs)),
        format!(
            "unavailable time: {:.2} s for the worst key, {:.2} s in total over {} keys",
            worst.as_secs_f64(),
            total.as_secs_f64(),
            gaps.len()
        ),
    ]
}
