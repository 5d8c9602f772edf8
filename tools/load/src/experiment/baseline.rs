//! Yardsticks: the same arrivals and work times, served without any cost.

use std::time::Duration;

use crate::{
    config::{Config, Work},
    experiment::cell::{Cell, Row},
    perfect,
    plan::{self, Shot},
    tally::{Counts, Latencies},
};

/// Slots of a target.
const SLOTS: usize = 2;

/// Adds the rows of one queue before all slots, and of a queue for each target by key.
pub fn arithmetic(rows: &mut Vec<Row>, cell: &Cell, config: &Config, slots: u32, work: Work) {
    let plan = plan::whole(config);
    let slots = usize::try_from(slots).unwrap_or(1);
    let mean = match work {
        Work::Fixed(span) | Work::Exponential(span) => span,
        Work::Unsaid => Duration::ZERO,
    };
    let one = perfect::one_queue(&plan, slots, mean, config.warm_up);
    rows.push(row("one queue", cell, config, &one));
    let by_key = |shot: &Shot| shot.key;
    let split = perfect::queues(&plan, slots / SLOTS, SLOTS, mean, config.warm_up, by_key);
    rows.push(row("queue by key", cell, config, &split));
}

fn row(route: &'static str, cell: &Cell, config: &Config, latencies: &Latencies) -> Row {
    let counts = Counts {
        sent: latencies.count(),
        good: latencies.count_within(config.deadline),
        ran: latencies.count(),
        served: latencies.clone(),
        ..Counts::default()
    };
    Row::new(
        route,
        cell,
        &counts,
        config.span.saturating_sub(config.warm_up),
    )
}
