//! The path through one VM, against the same work straight at the targets.

use std::{path::PathBuf, time::Duration};

use bramleypier_standins::clock;

use crate::{
    config::{Class, Config, Work},
    run::Outcome,
    scene::{self, Error, Scene, Setup},
    table,
};

/// The VM through which all requests go.
const VM: &str = "vm-1";
/// The service of look-ups.
const LOOKUPS: &str = "tracking";
/// The service of files.
const FILES: &str = "archive";
/// Targets that check no grants, for the work straight at them.
const PLAIN: usize = 8;
/// The size of a large file.
const LARGE: u64 = 64 << 20;

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the VMs; found beside the running one unless it is given.
    pub program: Option<PathBuf>,
    /// The directory of the documents.
    pub documents: PathBuf,
    /// Look-ups a second, one run each.
    pub rates: Vec<f64>,
    /// How long each run takes.
    pub span: Duration,
    /// How often runs through the VM and straight runs take turns.
    pub rounds: usize,
    /// Threads that send.
    pub workers: usize,
}

/// Measures the path, printing a row for each run.
///
/// # Errors
///
/// Fails when the fleet doesn't start.
pub async fn path(options: &Options) -> Result<(), Error> {
    let setup = Setup {
        program: options.program.clone(),
        documents: [LOOKUPS, FILES]
            .map(|name| options.documents.join(format!("{name}.ini")))
            .to_vec(),
        vms: 3,
    };
    let mut scene = Scene::start(&setup).await?;
    scene.add_plain(PLAIN).await?;
    idle(&scene, options.span).await?;
    println!(
        "| route | rate/s | goodput/s | p50 ms | p99 ms | p99.9 ms | refused or failed | VM CPU us/request | requests a CPU second | VM resident MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for rate in &options.rates {
        for round in 0..options.rounds {
            let config = Config {
                rates: [*rate, 0.0, 0.0],
                seed: round as u64 + 1,
                span: options.span,
                work: Work::Fixed(Duration::ZERO),
                workers: options.workers,
                ..Config::default()
            };
            let straight = Config {
                addresses: scene.plain.clone(),
                direct: true,
                ..config.clone()
            };
            measure(&scene, "straight", &straight).await?;
            let through = Config {
                addresses: vec![scene.callers()?[0]],
                ..config
            };
            measure(&scene, "through", &through).await?;
        }
    }
    files(&scene, options).await
}

/// Tells what a VM spends while no requests come.
async fn idle(scene: &Scene, span: Duration) -> Result<(), Error> {
    let (start, before) = (clock::now(), scene.usage(VM)?);
    compio::time::sleep(span).await;
    let after = scene.usage(VM)?;
    let took = clock::now().saturating_sub(start);
    let share = after.since(&before).as_secs_f64() / took.as_secs_f64();
    println!(
        "idle: {:.2} % of a core, {:.1} MB resident\n",
        share * 100.0,
        table::megabytes(after.resident_kb)
    );
    Ok(())
}

async fn measure(scene: &Scene, route: &str, config: &Config) -> Result<(), Error> {
    let before = scene.usage(VM)?;
    let outcome = scene::load(config).await?;
    let after = scene.usage(VM)?;
    println!(
        "{}",
        row(
            route,
            config,
            &outcome,
            after.since(&before),
            after.resident_kb
        )
    );
    Ok(())
}

fn row(route: &str, config: &Config, outcome: &Outcome, cpu: Duration, resident: u64) -> String {
    let counts = outcome.whole.class(Class::Lookups);
    let [median, p99, p999, _] = table::quantiles(counts).map(table::millis);
    // The warm-up's requests cost processor time too.
    let share = config.span.as_secs_f64() / outcome.span.as_secs_f64().max(f64::MIN_POSITIVE);
    let sent = table::float(counts.sent) * share;
    let each = cpu.as_secs_f64() / sent.max(1.0);
    let (each, a_second) = match route {
        "through" => (
            format!("{:.1}", each * 1e6),
            format!("{:.0}", each.max(f64::MIN_POSITIVE).recip()),
        ),
        _ => ("-".to_owned(), "-".to_owned()),
    };
    format!(
        "| {route} | {:.0} | {:.0} | {median} | {p99} | {p999} | {} | {each} | {a_second} | {:.1} |",
        config.rates[0],
        table::goodput(counts, outcome.span),
        counts.sent - counts.good,
        table::megabytes(resident),
    )
}

/// Pulls large files and tells how far the VM's memory grew.
async fn files(scene: &Scene, options: &Options) -> Result<(), Error> {
    let config = Config {
        service: FILES.to_owned(),
        addresses: vec![scene.callers()?[0]],
        rates: [0.0, 0.0, 2.0],
        file_bytes: LARGE,
        span: options.span,
        work: Work::Fixed(Duration::ZERO),
        deadline: Duration::from_secs(30),
        ..Config::default()
    };
    let before = scene.usage(VM)?;
    let outcome = scene::load(&config).await?;
    let after = scene.usage(VM)?;
    let counts = outcome.whole.class(Class::Files);
    let cpu = after.since(&before).as_secs_f64();
    println!(
        "\nfiles of {} MB: {}; VM peak {:.1} MB before, {:.1} MB after; {:.2} CPU s for {} MB counted",
        LARGE >> 20,
        table::line(&outcome.whole, outcome.span),
        table::megabytes(before.peak_kb),
        table::megabytes(after.peak_kb),
        cpu,
        counts.bytes >> 20,
    );
    Ok(())
}
