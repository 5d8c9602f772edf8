//! What a fleet costs at rest, by its size: slopes for the page on capacity.

use std::{path::PathBuf, time::Duration};

use bramleypier_standins::services;
use indexmap::IndexMap;

use crate::scene::{self, Error, Scene, Setup};

/// How long a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(12);
/// How often the VMs are asked which version of the document they have.
const POLL: Duration = Duration::from_millis(10);
/// The longest wait for a document to be in force everywhere.
const FORCED: Duration = Duration::from_secs(15);
/// The kinds of calls to the platform that are told apart.
const CALLS: [&str; 4] = ["put", "get", "watch", "vms"];

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the VMs; found beside the running one unless it is given.
    pub program: Option<PathBuf>,
    /// The service's document.
    pub document: PathBuf,
    /// The sizes of the fleets.
    pub sizes: Vec<usize>,
    /// How long each is measured.
    pub span: Duration,
}

/// Measures a fleet of each size, and prints a table.
///
/// # Errors
///
/// Fails when a fleet can't be brought up, or a process doesn't answer.
pub async fn measure(options: &Options) -> Result<(), Error> {
    println!(
        "| VMs | core, % | resident, MB | sent, bytes/s | put/s | get/s | watch/s | list/s | in force, s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in &options.sizes {
        println!("{}", row(options, *size).await?);
    }
    Ok(())
}

/// What was read of a fleet at one time.
struct Reading {
    cpu: Vec<Duration>,
    resident_kb: Vec<u64>,
    sent: Vec<i64>,
    calls: IndexMap<String, u64>,
}

async fn row(options: &Options, size: usize) -> Result<String, Error> {
    let setup = Setup {
        program: options.program.clone(),
        documents: vec![options.document.clone()],
        vms: size,
    };
    let mut scene = Scene::start(&setup).await?;
    compio::time::sleep(SETTLE).await;
    let before = read(&scene).await?;
    compio::time::sleep(options.span).await;
    let after = read(&scene).await?;
    let seconds = options.span.as_secs_f64();
    let busy = after.cpu.iter().zip(&before.cpu);
    let core = busy.map(|(after, before)| after.saturating_sub(*before).as_secs_f64());
    let core = mean(core.map(|time| time / seconds * 100.0));
    #[allow(clippy::cast_precision_loss, reason = "counts are small")]
    let number = |count: u64| count as f64;
    let resident = mean(after.resident_kb.iter().map(|kb| number(*kb) / 1024.0));
    let sent = after.sent.iter().zip(&before.sent);
    let sent = sent.map(|(after, before)| number(u64::try_from(after - before).unwrap_or(0)));
    let sent = mean(sent) / seconds;
    let calls = CALLS.map(|kind| {
        let of = |reading: &Reading| number(reading.calls.get(kind).copied().unwrap_or(0));
        format!("{:.1}", (of(&after) - of(&before)) / seconds)
    });
    let forced = force(&mut scene).await?;
    Ok(format!(
        "| {size} | {core:.2} | {resident:.1} | {sent:.0} | {} | {:.2} |",
        calls.join(" | "),
        forced.as_secs_f64(),
    ))
}

async fn read(scene: &Scene) -> Result<Reading, Error> {
    let mut reading = Reading {
        cpu: Vec::new(),
        resident_kb: Vec::new(),
        sent: Vec::new(),
        calls: scene.fleet.counts().await?,
    };
    for vm in &scene.vms {
        let usage = scene.usage(vm)?;
        reading.cpu.push(usage.cpu);
        reading.resident_kb.push(usage.resident_kb);
        let totals = scene.totals(vm).await?;
        reading.sent.push(scene::total(&totals, "messages.bytes"));
    }
    Ok(reading)
}

/// Puts a changed document; returns when every VM has it in force.
async fn force(scene: &mut Scene) -> Result<Duration, Error> {
    let versions = forced(scene).await?;
    let before = bramleypier_standins::clock::now();
    let Some(document) = scene.documents.first_mut() else {
        return Ok(Duration::ZERO);
    };
    let target = document.targets.keys().next().cloned().unwrap_or_default();
    document.set_target(&target, "connections", "100");
    services::put(&scene.fleet, &scene.vms[0], document).await?;
    loop {
        let took = bramleypier_standins::clock::now().saturating_sub(before);
        let now = forced(scene).await?;
        let all = now.iter().zip(&versions).all(|(now, before)| now > before);
        if all || took > FORCED {
            return Ok(took);
        }
        compio::time::sleep(POLL).await;
    }
}

/// Returns how many versions of documents came into force at each VM.
async fn forced(scene: &Scene) -> Result<Vec<i64>, Error> {
    let mut counts = Vec::new();
    for vm in &scene.vms {
        let totals = scene.totals(vm).await?;
        counts.push(scene::total(&totals, "documents.forced"));
    }
    Ok(counts)
}

fn mean<I>(values: I) -> f64
where
    I: IntoIterator<Item = f64>,
{
    let (count, sum) = values
        .into_iter()
        .fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
    sum / f64::max(count, 1.0)
}
