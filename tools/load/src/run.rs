//! Runs the workers of one load run and merges their reports.

use std::{
    io,
    sync::mpsc::{self, Receiver},
    thread,
    time::Duration,
};

use bramleypier_standins::clock;
use indexmap::IndexMap;

use crate::{
    config::Config,
    tally::{Counts, Tally},
    worker::{self, Report},
};

/// Time for workers to start before the first request is due.
const START_DELAY: Duration = Duration::from_millis(200);

/// Results of a load run.
#[derive(Clone, Debug, Default)]
pub struct RunResults {
    /// Counts of all requests except those of the warm-up.
    pub overall: Tally,
    /// The same counts, by the second in which requests were sent or their results came.
    pub per_second: Vec<Tally>,
    /// Duration for which requests were counted: the run without its warm-up.
    pub duration: Duration,
}

impl RunResults {
    /// Returns the counts of all classes together.
    pub fn total(&self) -> Counts {
        self.overall.total()
    }
}

/// Runs the load and calls `progress` for each second that all workers have reported.
///
/// # Errors
///
/// Fails when a worker can't start or can't write its log.
pub fn run<F>(config: &Config, mut progress: F) -> io::Result<RunResults>
where
    F: FnMut(u64, &Tally),
{
    let start = clock::now() + START_DELAY;
    let (sender, reports) = mpsc::channel();
    let workers: Vec<_> = (0..config.workers.max(1))
        .map(|worker| {
            let (config, sender) = (config.clone(), sender.clone());
            thread::spawn(move || worker::run(&config, worker, start, sender))
        })
        .collect();
    drop(sender);
    let results = collect_reports(&reports, workers.len(), &mut progress);
    for worker in workers {
        let result = worker.join();
        result.unwrap_or_else(|_| Err(io::Error::other("a worker panicked")))?;
    }
    Ok(RunResults {
        duration: config.duration.saturating_sub(config.warm_up),
        ..results
    })
}

/// Merges reports by second; a second is complete when all workers have reported it.
fn collect_reports<F>(reports: &Receiver<Report>, workers: usize, progress: &mut F) -> RunResults
where
    F: FnMut(u64, &Tally),
{
    let mut pending: IndexMap<u64, (usize, Tally)> = IndexMap::new();
    let mut results = RunResults::default();
    for report in reports {
        let (count, tally) = pending.entry(report.second).or_default();
        tally.merge(&report.tally);
        *count += 1;
        results.overall.merge(&report.tally);
        if *count == workers {
            progress(report.second, tally);
        }
    }
    pending.sort_keys();
    results.per_second = pending.into_values().map(|(_, tally)| tally).collect();
    results
}
