//! Plans a run: decides which request is due when, from the configuration alone.

use std::{iter::Peekable, time::Duration};

use rand::{SeedableRng, rngs::StdRng};

use crate::{
    arrivals::{self, Arrivals},
    config::{Class, Config, Work},
    keys::Keys,
};

/// Distance between the seeds of two workers, so that their random streams differ.
const WORKER_SEED_STRIDE: u64 = 1000;
/// Seed offset of the random stream for keys and work times; the arrivals of the classes use lower offsets.
const KEY_AND_WORK_STREAM: u64 = 10;

/// Planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Due time, counted from the start of the run.
    pub due: Duration,
    /// Sequence number among the requests of its worker.
    pub number: u64,
    /// Class of the work.
    pub class: Class,
    /// Number of the key.
    pub key: usize,
    /// Work time; without one the stand-in decides.
    pub work: Option<Duration>,
}

/// Iterator over the requests of one worker, ordered by due time.
#[derive(Clone, Debug)]
pub struct Plan {
    streams: [Peekable<Arrivals>; 3],
    keys: Keys,
    work: Work,
    duration: Duration,
    number: u64,
    rng: StdRng,
}

impl Plan {
    /// Creates the plan of one worker, at an equal share of the configured rates.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_load::{config::Config, plan::Plan};
    ///
    /// let config = Config::default();
    /// assert!(Plan::new(&config, 0).eq(Plan::new(&config, 0)));
    /// ```
    pub fn new(config: &Config, worker: usize) -> Self {
        let seed = config.seed.wrapping_add(worker as u64 * WORKER_SEED_STRIDE);
        let share = worker_share(config.workers);
        let stream = |class: Class| {
            let rate = config.rates[class.index()] * share;
            let seed = seed.wrapping_add(class.index() as u64);
            Arrivals::new(config.pattern, rate, seed).peekable()
        };
        Self {
            streams: Class::ALL.map(stream),
            keys: Keys::new(config.keys, config.zipf),
            work: config.work,
            duration: config.duration,
            number: 0,
            rng: StdRng::seed_from_u64(seed.wrapping_add(KEY_AND_WORK_STREAM)),
        }
    }

    fn next_work(&mut self) -> Option<Duration> {
        match self.work {
            Work::Unspecified => None,
            Work::Fixed(duration) => Some(duration),
            Work::Exponential(mean) => {
                let duration = mean.mul_f64(arrivals::exponential(&mut self.rng));
                Some(Duration::from_millis(round_millis(duration)))
            }
        }
    }

    /// Returns the class whose next request is due first, with the due time.
    fn next_due(&mut self) -> Option<(Duration, Class)> {
        let upcoming = Class::ALL.map(|class| {
            let next = self.streams[class.index()].peek();
            next.map(|due| (*due, class))
        });
        upcoming.into_iter().flatten().min_by_key(|(due, _)| *due)
    }
}

impl Iterator for Plan {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let (due, class) = self.next_due()?;
        if due >= self.duration {
            return None;
        }
        self.streams[class.index()].next();
        self.number += 1;
        Some(PlannedRequest {
            due,
            number: self.number,
            class,
            key: self.keys.sample(&mut self.rng),
            work: self.next_work(),
        })
    }
}

/// Returns the requests of all workers, ordered by due time.
///
/// # Example
///
/// ```
/// use bramleypier_load::{config::Config, plan};
///
/// let requests = plan::all_requests(&Config::default());
/// assert!(requests.is_sorted_by_key(|request| request.due));
/// ```
pub fn all_requests(config: &Config) -> Vec<PlannedRequest> {
    let plans = (0..config.workers.max(1)).flat_map(|worker| Plan::new(config, worker));
    let mut requests: Vec<PlannedRequest> = plans.collect();
    requests.sort_by_key(|request| request.due);
    requests
}

fn worker_share(workers: usize) -> f64 {
    let workers = u32::try_from(workers.max(1)).unwrap_or(u32::MAX);
    f64::from(workers).recip()
}

fn round_millis(duration: Duration) -> u64 {
    let half = Duration::from_micros(500);
    u64::try_from((duration + half).as_millis()).unwrap_or(u64::MAX)
}
