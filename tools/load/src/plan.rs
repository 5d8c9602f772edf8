//! The plan of a run: which request is due when. It depends on the configuration alone.

use std::{iter::Peekable, time::Duration};

use rand::{SeedableRng, rngs::StdRng};

use crate::{
    arrivals::{self, Arrivals},
    config::{Class, Config, Work},
    keys::Keys,
};

/// Keeps the streams of chance of a worker apart from those of others.
const WORKER_STRIDE: u64 = 1000;
/// The stream of chance for keys and work; the classes' arrivals have those below it.
const DRAWS: u64 = 10;

/// A request that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shot {
    /// When it is due, counted from the start of the run.
    pub due: Duration,
    /// Its number among those of its worker.
    pub number: u64,
    /// Its class.
    pub class: Class,
    /// Its key's number.
    pub key: usize,
    /// The time of its work, unless the stand-in decides.
    pub work: Option<Duration>,
}

/// The requests of one worker, in the order in which they are due.
#[derive(Clone, Debug)]
pub struct Plan {
    streams: [Peekable<Arrivals>; 3],
    keys: Keys,
    work: Work,
    span: Duration,
    number: u64,
    random: StdRng,
}

impl Plan {
    /// Creates the plan of a worker, which sends its share of all requests.
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
        let seed = config.seed.wrapping_add(worker as u64 * WORKER_STRIDE);
        let share = share(config.workers);
        let stream = |class: Class| {
            let rate = config.rates[class.index()] * share;
            let seed = seed.wrapping_add(class.index() as u64);
            Arrivals::new(config.pattern, rate, seed).peekable()
        };
        Self {
            streams: Class::ALL.map(stream),
            keys: Keys::new(config.keys, config.zipf),
            work: config.work,
            span: config.span,
            number: 0,
            random: StdRng::seed_from_u64(seed.wrapping_add(DRAWS)),
        }
    }

    fn work(&mut self) -> Option<Duration> {
        match self.work {
            Work::Unsaid => None,
            Work::Fixed(span) => Some(span),
            Work::Exponential(mean) => {
                let span = mean.mul_f64(arrivals::exponential(&mut self.random));
                Some(Duration::from_millis(round_millis(span)))
            }
        }
    }

    /// Returns the class whose next request is due first.
    fn first(&mut self) -> Option<(Duration, Class)> {
        let heads = Class::ALL.map(|class| {
            let head = self.streams[class.index()].peek();
            head.map(|due| (*due, class))
        });
        heads.into_iter().flatten().min_by_key(|(due, _)| *due)
    }
}

impl Iterator for Plan {
    type Item = Shot;

    fn next(&mut self) -> Option<Shot> {
        let (due, class) = self.first()?;
        if due >= self.span {
            return None;
        }
        self.streams[class.index()].next();
        self.number += 1;
        Some(Shot {
            due,
            number: self.number,
            class,
            key: self.keys.draw(&mut self.random),
            work: self.work(),
        })
    }
}

/// Returns the requests of all workers, in the order in which they are due.
///
/// # Example
///
/// ```
/// use bramleypier_load::{config::Config, plan};
///
/// let shots = plan::whole(&Config::default());
/// assert!(shots.is_sorted_by_key(|shot| shot.due));
/// ```
pub fn whole(config: &Config) -> Vec<Shot> {
    let plans = (0..config.workers.max(1)).flat_map(|worker| Plan::new(config, worker));
    let mut shots: Vec<Shot> = plans.collect();
    shots.sort_by_key(|shot| shot.due);
    shots
}

fn share(workers: usize) -> f64 {
    let workers = u32::try_from(workers.max(1)).unwrap_or(u32::MAX);
    f64::from(workers).recip()
}

fn round_millis(span: Duration) -> u64 {
    let half = Duration::from_micros(500);
    u64::try_from((span + half).as_millis()).unwrap_or(u64::MAX)
}
