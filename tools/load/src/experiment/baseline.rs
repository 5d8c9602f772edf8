//! Yardsticks: the same arrivals and work times, served without any cost.

use std::time::Duration;

use crate::{
    config::{Config, Work},
    experiment::cell::{Cell, Row},
    perfect::{self, Terms},
    plan::{self, Shot},
};

/// Slots of a target.
const SLOTS: usize = 2;

/// Adds the rows of one queue before all slots, and of a queue for each target by key; who would
/// wait longer than `patience` is refused.
pub fn arithmetic(
    rows: &mut Vec<Row>,
    cell: &Cell,
    config: &Config,
    slots: u32,
    patience: Duration,
) {
    let plan = plan::whole(config);
    let slots = usize::try_from(slots).unwrap_or(1);
    let one = Terms {
        queues: 1,
        slots,
        work: mean(config.work),
        patience,
        warm_up: config.warm_up,
    };
    let split = Terms {
        queues: slots / SLOTS,
        slots: SLOTS,
        ..one
    };
    let span = config.span.saturating_sub(config.warm_up);
    let counts = perfect::serve(&plan, &one, |_| 0);
    rows.push(Row::new("one queue", cell, &counts, span));
    let counts = perfect::serve(&plan, &split, |shot: &Shot| shot.key);
    rows.push(Row::new("queue by key", cell, &counts, span));
}

fn mean(work: Work) -> Duration {
    match work {
        Work::Fixed(span) | Work::Exponential(span) => span,
        Work::Unsaid => Duration::ZERO,
    }
}
