//! Baselines: simulates the same arrivals and work times without overhead.

use std::time::Duration;

use crate::{
    config::{Config, Work},
    experiment::cell::{Cell, Row},
    ideal::{self, Parameters},
    plan::{self, PlannedRequest},
};

/// Number of slots of a target.
const SLOTS_PER_TARGET: usize = 2;

/// Adds the rows of two simulations: one queue in front of all slots, and a queue per target with
/// requests assigned by key.
///
/// A request that would wait longer than `max_wait` is rejected.
pub fn add_rows(rows: &mut Vec<Row>, cell: &Cell, config: &Config, slots: u32, max_wait: Duration) {
    let plan = plan::all_requests(config);
    let slots = usize::try_from(slots).unwrap_or(1);
    let single_queue = Parameters {
        queues: 1,
        slots,
        work: mean_work(config.work),
        max_wait,
        warm_up: config.warm_up,
    };
    let queue_per_target = Parameters {
        queues: slots / SLOTS_PER_TARGET,
        slots: SLOTS_PER_TARGET,
        ..single_queue
    };
    let duration = config.duration.saturating_sub(config.warm_up);
    let counts = ideal::simulate(&plan, &single_queue, |_| 0);
    rows.push(Row::new("one queue", cell, &counts, duration));
    let counts = ideal::simulate(&plan, &queue_per_target, |request: &PlannedRequest| {
        request.key
    });
    rows.push(Row::new("queue by key", cell, &counts, duration));
}

fn mean_work(work: Work) -> Duration {
    match work {
        Work::Fixed(duration) | Work::Exponential(duration) => duration,
        Work::Unspecified => Duration::ZERO,
    }
}
