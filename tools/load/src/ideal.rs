//! Baseline: simulates queues without overhead that serve a plan's requests in order.
//!
//! It uses only the arrivals and work times of a plan, without hops, connections or scheduling, so no
//! measured system can do better than one queue in front of all slots.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use crate::{plan::PlannedRequest, tally::Counts};

/// First-in, first-out queue in front of several slots.
#[derive(Clone, Debug)]
pub struct Queue {
    /// Time at which each slot becomes free.
    slot_free_at: BinaryHeap<Reverse<Duration>>,
}

impl Queue {
    /// Creates a queue in front of `slots` slots.
    pub fn new(slots: usize) -> Self {
        let free_times = std::iter::repeat_n(Reverse(Duration::ZERO), slots.max(1));
        Self {
            slot_free_at: free_times.collect(),
        }
    }

    /// Serves a request that arrives at `due` and returns its latency; rejects it when it would wait
    /// longer than `max_wait`.
    ///
    /// Arrival times must not decrease from call to call.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_load::ideal::Queue;
    ///
    /// let mut queue = Queue::new(1);
    /// let work = Duration::from_millis(10);
    /// assert_eq!(queue.serve(Duration::ZERO, work, work), Some(work));
    /// assert_eq!(queue.serve(Duration::ZERO, work, work), Some(work * 2));
    /// assert_eq!(queue.serve(Duration::ZERO, work, work), None);
    /// ```
    pub fn serve(&mut self, due: Duration, work: Duration, max_wait: Duration) -> Option<Duration> {
        let Reverse(free_at) = self.slot_free_at.peek().copied()?;
        if free_at > due + max_wait {
            return None;
        }
        self.slot_free_at.pop();
        let finished = due.max(free_at) + work;
        self.slot_free_at.push(Reverse(finished));
        Some(finished.saturating_sub(due))
    }
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Number of queues.
    pub queues: usize,
    /// Number of slots of each queue.
    pub slots: usize,
    /// Work time of requests whose plan names none.
    pub work: Duration,
    /// Longest wait; a request that would wait longer is rejected on arrival.
    pub max_wait: Duration,
    /// Warm-up at the start of the plan, which isn't counted.
    pub warm_up: Duration,
}

/// Simulates a plan; `queue_of` returns the queue of a request.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_load::{config::Config, ideal, plan};
///
/// let plan = plan::all_requests(&Config::default());
/// let params = ideal::Parameters {
///     queues: 1,
///     slots: 30,
///     work: Duration::from_millis(10),
///     max_wait: Duration::from_secs(1),
///     warm_up: Duration::ZERO,
/// };
/// assert_eq!(ideal::simulate(&plan, &params, |_| 0).ran, plan.len() as u64);
/// ```
pub fn simulate<F>(plan: &[PlannedRequest], params: &Parameters, mut queue_of: F) -> Counts
where
    F: FnMut(&PlannedRequest) -> usize,
{
    let mut queues = vec![Queue::new(params.slots); params.queues.max(1)];
    let mut counts = Counts::default();
    for request in plan {
        let queue = queue_of(request) % queues.len();
        let work = request.work.unwrap_or(params.work);
        let latency = queues[queue].serve(request.due, work, params.max_wait);
        if request.due < params.warm_up {
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
