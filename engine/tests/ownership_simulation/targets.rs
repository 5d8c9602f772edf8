//! Targets with fences, holds and lives.

use std::{collections::HashMap, time::Duration};

use bramleypier_engine::{
    catalogue::Target,
    owner::{
        ownership::{CallOutcome, OwnershipCommand},
        record::{Fence, Incarnation, RequestKey},
    },
};

/// The last key.
pub const LAST: RequestKey = 15;
/// How much slower than true a target's clock runs.
const SLOW: f64 = 1.02;
/// The time of one step.
const TICK: Duration = Duration::from_millis(50);

struct Own {
    target: Target,
    up: bool,
    down_for: u32,
    announced: bool,
    /// The highest fence seen, and the end of the hold, by key.
    holds: HashMap<RequestKey, (Fence, Duration)>,
}

/// A grant that is applied later; its hold counts from its arrival.
struct Late {
    at: Duration,
    arrived: Duration,
    order: OwnershipCommand,
}

pub struct Targets {
    all: Vec<Own>,
    /// Cut links, by VM and target.
    cut: Vec<(usize, usize)>,
    late: Vec<Late>,
}

impl Targets {
    pub fn new() -> Self {
        let own = |number: usize| Own {
            target: Target {
                id: format!("t{number}"),
                start_time: 1,
                service: "s".to_owned(),
                address: format!("127.0.0.1:{}", 100 + number).parse().unwrap(),
                domain: "d".to_owned(),
                slots: 2,
                leaving: false,
                cold: Duration::ZERO,
            },
            up: true,
            down_for: 0,
            announced: true,
            holds: HashMap::new(),
        };
        Self {
            all: (0..4).map(own).collect(),
            cut: Vec::new(),
            late: Vec::new(),
        }
    }

    pub fn set_link(&mut self, vm: usize, target: usize, open: bool) {
        self.cut.retain(|it| *it != (vm, target));
        if !open {
            self.cut.push((vm, target));
        }
    }

    /// Ends a life; another begins under the same id after some steps.
    pub fn crash(&mut self, target: usize, ticks: u32) {
        let own = &mut self.all[target];
        own.up = false;
        own.down_for = ticks;
        own.holds.clear();
        let address = own.target.address;
        self.late.retain(|late| late.order.owner.address != address);
    }

    pub fn set_leaving(&mut self, target: usize, on: bool) {
        self.all[target].target.leaving = on;
    }

    pub fn set_announced(&mut self, target: usize, on: bool) {
        self.all[target].announced = on;
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        for own in &mut self.all {
            own.announced = true;
            own.target.leaving = false;
            own.down_for = own.down_for.min(1);
        }
    }

    pub fn announced(&self) -> Vec<Target> {
        let shown = self.all.iter().filter(|own| own.announced);
        shown.map(|own| own.target.clone()).collect()
    }

    pub fn pass(&mut self, now: Duration) {
        for own in &mut self.all {
            if !own.up && own.down_for <= 1 {
                own.up = true;
                own.target.start_time += 1;
            }
            own.down_for = own.down_for.saturating_sub(1);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late = later;
        for late in due {
            self.apply(late.arrived, &late.order);
        }
    }

    fn place(&self, life: &Incarnation) -> Option<usize> {
        self.all
            .iter()
            .position(|own| own.target.address == life.address)
    }

    pub fn is_open(&self, vm: usize, life: &Incarnation) -> bool {
        self.place(life)
            .is_some_and(|target| !self.cut.contains(&(vm, target)))
    }

    pub fn listens(&self, life: &Incarnation) -> bool {
        self.place(life).is_some_and(|target| self.all[target].up)
    }

    fn apply(&mut self, arrived: Duration, order: &OwnershipCommand) -> CallOutcome {
        let Some(target) = self.place(&order.owner) else {
            return CallOutcome::Gone;
        };
        let own = &mut self.all[target];
        if !own.up {
            return CallOutcome::Gone;
        }
        let higher = |key: RequestKey| {
            own.holds
                .get(&key)
                .is_some_and(|(seen, _)| *seen > order.fence)
        };
        if (order.from..=order.to).any(higher) {
            return CallOutcome::Fenced;
        }
        let until = arrived + order.grant_duration.mul_f64(SLOW);
        for key in order.from..=order.to {
            // Nothing says that a shorter grant ends a longer one.
            let before = own.holds.get(&key).map_or(until, |(_, before)| *before);
            own.holds.insert(key, (order.fence, until.max(before)));
        }
        CallOutcome::Done(None)
    }

    pub fn grant(&mut self, now: Duration, order: &OwnershipCommand) -> CallOutcome {
        // It arrives within the step.
        self.apply(now + TICK, order)
    }

    pub fn grant_late(&mut self, now: Duration, late: Duration, order: &OwnershipCommand) {
        self.late.push(Late {
            at: now + TICK + late,
            arrived: now + TICK,
            order: order.clone(),
        });
    }

    pub fn release(&mut self, order: &OwnershipCommand) {
        let Some(target) = self.place(&order.owner) else {
            return;
        };
        let own = &mut self.all[target];
        for key in order.from..=order.to {
            let seen = own.holds.get(&key).map_or(0, |(seen, _)| *seen);
            own.holds
                .insert(key, (order.fence.max(seen), Duration::ZERO));
        }
    }

    /// The targets that hold a key.
    pub fn holders(&self, key: RequestKey, now: Duration) -> Vec<String> {
        let holds = |own: &&Own| own.holds.get(&key).is_some_and(|(_, until)| now < *until);
        let holders = self.all.iter().filter(|own| own.up).filter(holds);
        holders.map(|own| own.target.id.clone()).collect()
    }
}
