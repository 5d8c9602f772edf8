//! The yardstick: a plan's requests served in order by queues that cost nothing.
//!
//! It is pure arithmetic over the arrivals and work times of a plan, with no hop, no connection and
//! no scheduling; nothing measured can be better than one queue before all slots.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::{plan::Shot, tally::Latencies};

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

    /// Serves a request that arrives at `due`, no earlier than any before; returns its latency.
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
    /// assert_eq!(queue.serve(Duration::ZERO, work), work);
    /// assert_eq!(queue.serve(Duration::ZERO, work), work * 2);
    /// ```
    pub fn serve(&mut self, due: Duration, work: Duration) -> Duration {
        let free = self.free.pop().map_or(Duration::ZERO, |Reverse(at)| at);
        let end = due.max(free) + work;
        self.free.push(Reverse(end));
        end.saturating_sub(due)
    }
}

/// Returns the latencies of one queue before all slots, but for the requests of the warm-up.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_load::{config::Config, perfect, plan};
///
/// let shots = plan::whole(&Config::default());
/// let latencies = perfect::one_queue(&shots, 30, Duration::from_millis(10), Duration::ZERO);
/// assert_eq!(latencies.count(), shots.len() as u64);
/// ```
pub fn one_queue(plan: &[Shot], slots: usize, work: Duration, warm_up: Duration) -> Latencies {
    queues(plan, 1, slots, work, warm_up, |_| 0)
}

/// Returns the latencies of `count` queues, each before `slots` slots; `queue_of` gives a
/// request's queue. Requests without a work time of their own take `work`.
pub fn queues<F>(
    plan: &[Shot],
    count: usize,
    slots: usize,
    work: Duration,
    warm_up: Duration,
    mut queue_of: F,
) -> Latencies
where
    F: FnMut(&Shot) -> usize,
{
    let mut all = vec![Queue::new(slots); count.max(1)];
    let mut latencies = Latencies::default();
    for shot in plan {
        let queue = queue_of(shot) % all.len();
        let latency = all[queue].serve(shot.due, shot.work.unwrap_or(work));
        if shot.due >= warm_up {
            latencies.add(latency);
        }
    }
    latencies
}
