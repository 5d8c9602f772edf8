//! Measures the resources that idle fleets of several sizes use.
//!
//! The growth with the number of VMs is the basis of the capacity figures in the documentation.

use std::{path::PathBuf, time::Duration};

use bramleypier_standins::services;
use indexmap::IndexMap;

use crate::testbed::{self, Error, Setup, Testbed};

/// Time for a new fleet to become stable before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Interval at which the VMs' document versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a document to be in force on all VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Kinds of platform calls that are counted separately.
const CALL_KINDS: [&str; 4] = ["put", "get", "watch", "vms"];

/// Options of the idle measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Executable of the VMs; by default it is looked up next to the running executable.
    pub program: Option<PathBuf>,
    /// Document of the service.
    pub document: PathBuf,
    /// Numbers of VMs, one fleet each.
    pub sizes: Vec<usize>,
    /// Duration for which each fleet is measured.
    pub duration: Duration,
}

/// Measures a fleet of each size and prints a table.
///
/// # Errors
///
/// Fails when a fleet can't be started, or a process doesn't answer.
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

/// Counters of a fleet at one point in time; the lists have one entry per VM.
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
    let mut testbed = Testbed::start(&setup).await?;
    compio::time::sleep(SETTLE_TIME).await;
    let before = read_fleet(&testbed).await?;
    compio::time::sleep(options.duration).await;
    let after = read_fleet(&testbed).await?;
    let seconds = options.duration.as_secs_f64();
    let cpu = after.cpu.iter().zip(&before.cpu);
    let core = cpu.map(|(after, before)| after.saturating_sub(*before).as_secs_f64());
    let core = mean(core.map(|time| time / seconds * 100.0));
    #[allow(clippy::cast_precision_loss, reason = "counts are small")]
    let number = |count: u64| count as f64;
    let resident = mean(after.resident_kb.iter().map(|kb| number(*kb) / 1024.0));
    let sent = after.sent.iter().zip(&before.sent);
    let sent = sent.map(|(after, before)| number(u64::try_from(after - before).unwrap_or(0)));
    let sent = mean(sent) / seconds;
    let calls = CALL_KINDS.map(|kind| {
        let of = |reading: &Reading| number(reading.calls.get(kind).copied().unwrap_or(0));
        format!("{:.1}", (of(&after) - of(&before)) / seconds)
    });
    let update_time = time_update(&mut testbed).await?;
    Ok(format!(
        "| {size} | {core:.2} | {resident:.1} | {sent:.0} | {} | {:.2} |",
        calls.join(" | "),
        update_time.as_secs_f64(),
    ))
}

async fn read_fleet(testbed: &Testbed) -> Result<Reading, Error> {
    let mut reading = Reading {
        cpu: Vec::new(),
        resident_kb: Vec::new(),
        sent: Vec::new(),
        calls: testbed.fleet.call_counts().await?,
    };
    for vm in &testbed.vms {
        let usage = testbed.usage(vm)?;
        reading.cpu.push(usage.cpu);
        reading.resident_kb.push(usage.resident_kb);
        let totals = testbed.totals(vm).await?;
        reading
            .sent
            .push(testbed::metric_sum(&totals, "messages.bytes"));
    }
    Ok(reading)
}

/// Stores a changed document and returns the time until it is in force on every VM.
async fn time_update(testbed: &mut Testbed) -> Result<Duration, Error> {
    let versions = versions_in_force(testbed).await?;
    let before = bramleypier_standins::clock::now();
    let Some(document) = testbed.documents.first_mut() else {
        return Ok(Duration::ZERO);
    };
    let target = document.targets.keys().next().cloned().unwrap_or_default();
    document.set_target(&target, "connections", "100");
    services::put(&testbed.fleet, &testbed.vms[0], document).await?;
    loop {
        let elapsed = bramleypier_standins::clock::now().saturating_sub(before);
        let now = versions_in_force(testbed).await?;
        let all = now.iter().zip(&versions).all(|(now, before)| now > before);
        if all || elapsed > IN_FORCE_TIMEOUT {
            return Ok(elapsed);
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns how many document versions have come into force on each VM so far.
async fn versions_in_force(testbed: &Testbed) -> Result<Vec<i64>, Error> {
    let mut counts = Vec::new();
    for vm in &testbed.vms {
        let totals = testbed.totals(vm).await?;
        counts.push(testbed::metric_sum(&totals, "documents.forced"));
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
