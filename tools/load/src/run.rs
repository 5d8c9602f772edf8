//! Runs the workers of one run and gathers what they report.

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

/// How long workers get to start before the first request is due.
const START: Duration = Duration::from_millis(200);

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// All requests, but for those of the warm-up.
    pub whole: Tally,
    /// The same by the second in which they were sent or answered.
    pub seconds: Vec<Tally>,
    /// How long requests were sent and counted.
    pub span: Duration,
}

impl Outcome {
    /// Returns the counts of all classes together.
    pub fn total(&self) -> Counts {
        self.whole.total()
    }
}

/// Runs the load and calls `progress` once a second.
///
/// # Errors
///
/// Fails when a worker can't start, or can't write its log.
pub fn run<F>(config: &Config, mut progress: F) -> io::Result<Outcome>
where
    F: FnMut(u64, &Tally),
{
    let start = clock::now() + START;
    let (sender, reports) = mpsc::channel();
    let workers: Vec<_> = (0..config.workers.max(1))
        .map(|worker| {
            let (config, sender) = (config.clone(), sender.clone());
            thread::spawn(move || worker::run(&config, worker, start, sender))
        })
        .collect();
    drop(sender);
    let outcome = gather(&reports, workers.len(), &mut progress);
    for worker in workers {
        let result = worker.join();
        result.unwrap_or_else(|_| Err(io::Error::other("a worker panicked")))?;
    }
    Ok(Outcome {
        span: config.span.saturating_sub(config.warm_up),
        ..outcome
    })
}

/// Adds up reports; a second is over when all workers have reported it.
fn gather<F>(reports: &Receiver<Report>, workers: usize, progress: &mut F) -> Outcome
where
    F: FnMut(u64, &Tally),
{
    let mut open: IndexMap<u64, (usize, Tally)> = IndexMap::new();
    let mut outcome = Outcome::default();
    for report in reports {
        let (count, tally) = open.entry(report.second).or_default();
        tally.merge(&report.tally);
        *count += 1;
        outcome.whole.merge(&report.tally);
        if *count == workers {
            progress(report.second, tally);
        }
    }
    open.sort_keys();
    outcome.seconds = open.into_values().map(|(_, tally)| tally).collect();
    outcome
}
