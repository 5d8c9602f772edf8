//! The yardstick: a plan's requests served in order by queues that cost nothing.
//!
//! It is pure arithmetic over the arrivals and work times of a plan, with no hop, no connection and
//! no scheduling; nothing measured can be better than one queue before all slots.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::{plan::Shot, tally::Counts};

/// One queue before some slots.
#[derive(Clone, Debug)]
pub struct Queue {
    /// When each slot is free next.
    free: BinaryHeap<Reverse<Duration>>,
}

impl Queue {
    /// Creates a queue before `slots` slots.
    pub fn new(slots: usize) -> Self {
        let free = std::iter::repeat_n(Reverse(Duration::ZERO), slots.max(1));
        Self {
            free: free.collect(),
        }
    }

    /// Takes a request that arrives at `due`, no earlier than any before, unless it would wait
    /// longer than `patience`; returns its latency.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::perfect::Queue;
    ///
    /// let mut queue = Queue::new(1);
    /// let work = Duration::from_millis(10);
    /// assert_eq!(queue.serve(Duration::ZERO, work, work), Some(work));
    /// assert_eq!(queue.serve(Duration::ZERO, work, work), Some(work * 2));
    /// assert_eq!(queue.serve(Duration::ZERO, work, work), None);
    /// ```
    pub fn serve(&mut self, due: Duration, work: Duration, patience: Duration) -> Option<Duration> {
        let Reverse(free) = self.free.peek().copied()?;
        if free > due + patience {
            return None;
        }
        self.free.pop();
        let end = due.max(free) + work;
        self.free.push(Reverse(end));
        Some(end.saturating_sub(due))
    }
}

/// What the yardstick counts and serves by.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How many queues there are.
    pub queues: usize,
    /// How many slots stand behind each.
    pub slots: usize,
    /// The work of requests without a work time of their own.
    pub work: Duration,
    /// The longest wait; who would wait longer is refused at once.
    pub patience: Duration,
    /// How long at the start nothing is counted.
    pub warm_up: Duration,
}

/// Serves a plan; `queue_of` gives a request's queue.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_load::{config::Config, perfect, plan};
///
/// let plan = plan::whole(&Config::default());
/// let terms = perfect::Terms {
///     queues: 1,
///     slots: 30,
///     work: Duration::from_millis(10),
///     patience: Duration::from_secs(1),
///     warm_up: Duration::ZERO,
/// };
/// assert_eq!(perfect::serve(&plan, &terms, |_| 0).ran, plan.len() as u64);
/// ```
pub fn serve<F>(plan: &[Shot], terms: &Terms, mut queue_of: F) -> Counts
where
    F: FnMut(&Shot) -> usize,
{
    let mut queues = vec![Queue::new(terms.slots); terms.queues.max(1)];
    let mut counts = Counts::default();
    for shot in plan {
        let queue = queue_of(shot) % queues.len();
        let work = shot.work.unwrap_or(terms.work);
        let latency = queues[queue].serve(shot.due, work, terms.patience);
        if shot.due < terms.warm_up {
            continue;
        }
        counts.sent += 1;
        match latency {
            Some(latency) => {
                counts.ran += 1;
                counts.good += 1;
                counts.served.add(latency);
            }
            None => counts.not_run += 1,
        }
    }
    counts
}
