//! Simulated targets with the fences that they have seen, the grants that they hold, and restarts.

use std::{collections::HashMap, time::Duration};

use bramleypier_engine::{
    catalogue::Target,
    owner::{
        ownership::{CallOutcome, OwnershipCommand},
        record::{Fence, Incarnation, RequestKey},
    },
};

/// The last key.
pub const LAST_KEY: RequestKey = 15;
/// The factor by which a target's clock runs too slowly.
const CLOCK_SLOWDOWN: f64 = 1.02;
/// The simulated time of one step.
const TICK: Duration = Duration::from_millis(50);

struct TargetState {
    target: Target,
    up: bool,
    down_for: u32,
    announced: bool,
    /// The highest fence seen and the expiry of the grant, by key.
    grants: HashMap<RequestKey, (Fence, Duration)>,
}

/// A grant that is applied some time after its arrival; its duration counts from the arrival.
struct LateGrant {
    at: Duration,
    arrived: Duration,
    command: OwnershipCommand,
}

pub struct Targets {
    states: Vec<TargetState>,
    /// Cut links, by VM and target.
    cut_links: Vec<(usize, usize)>,
    late_grants: Vec<LateGrant>,
}

impl Targets {
    pub fn new() -> Self {
        let new_state = |number: usize| TargetState {
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
            grants: HashMap::new(),
        };
        Self {
            states: (0..4).map(new_state).collect(),
            cut_links: Vec::new(),
            late_grants: Vec::new(),
        }
    }

    pub fn set_link(&mut self, vm: usize, target: usize, open: bool) {
        self.cut_links.retain(|it| *it != (vm, target));
        if !open {
            self.cut_links.push((vm, target));
        }
    }

    /// Ends an incarnation; another one starts under the same id after some steps.
    pub fn crash(&mut self, target: usize, ticks: u32) {
        let state = &mut self.states[target];
        state.up = false;
        state.down_for = ticks;
        state.grants.clear();
        let address = state.target.address;
        self.late_grants
            .retain(|late| late.command.owner.address != address);
    }

    pub fn set_leaving(&mut self, target: usize, on: bool) {
        self.states[target].target.leaving = on;
    }

    pub fn set_announced(&mut self, target: usize, on: bool) {
        self.states[target].announced = on;
    }

    pub fn announce_all(&mut self) {
        for state in &mut self.states {
            state.announced = true;
        }
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        for state in &mut self.states {
            state.announced = true;
            state.target.leaving = false;
            state.down_for = state.down_for.min(1);
        }
    }

    pub fn announced(&self) -> Vec<Target> {
        let visible = self.states.iter().filter(|state| state.announced);
        visible.map(|state| state.target.clone()).collect()
    }

    pub fn advance(&mut self, now: Duration) {
        for state in &mut self.states {
            if !state.up && state.down_for <= 1 {
                state.up = true;
                state.target.start_time += 1;
            }
            state.down_for = state.down_for.saturating_sub(1);
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_grants)
            .into_iter()
            .partition(|late| late.at <= now);
        self.late_grants = later;
        for late in due {
            self.apply(late.arrived, &late.command);
        }
    }

    fn index_of(&self, incarnation: &Incarnation) -> Option<usize> {
        self.states
            .iter()
            .position(|state| state.target.address == incarnation.address)
    }

    pub fn is_linked(&self, vm: usize, incarnation: &Incarnation) -> bool {
        self.index_of(incarnation)
            .is_some_and(|target| !self.cut_links.contains(&(vm, target)))
    }

    pub fn is_listening(&self, incarnation: &Incarnation) -> bool {
        self.index_of(incarnation)
            .is_some_and(|target| self.states[target].up)
    }

    fn apply(&mut self, arrived: Duration, command: &OwnershipCommand) -> CallOutcome {
        let Some(target) = self.index_of(&command.owner) else {
            return CallOutcome::Gone;
        };
        let state = &mut self.states[target];
        if !state.up {
            return CallOutcome::Gone;
        }
        let has_higher_fence = |key: RequestKey| {
            state
                .grants
                .get(&key)
                .is_some_and(|(seen, _)| *seen > command.fence)
        };
        if (command.from..=command.to).any(has_higher_fence) {
            return CallOutcome::Fenced;
        }
        let until = arrived + command.grant_duration.mul_f64(CLOCK_SLOWDOWN);
        for key in command.from..=command.to {
            // The protocol doesn't say that a shorter grant ends a longer one early.
            let earlier = state
                .grants
                .get(&key)
                .map_or(until, |(_, earlier)| *earlier);
            state
                .grants
                .insert(key, (command.fence, until.max(earlier)));
        }
        CallOutcome::Done(None)
    }

    pub fn grant(&mut self, now: Duration, command: &OwnershipCommand) -> CallOutcome {
        // The grant arrives within the step.
        self.apply(now + TICK, command)
    }

    pub fn grant_late(&mut self, now: Duration, delay: Duration, command: &OwnershipCommand) {
        self.late_grants.push(LateGrant {
            at: now + TICK + delay,
            arrived: now + TICK,
            command: command.clone(),
        });
    }

    pub fn release(&mut self, command: &OwnershipCommand) {
        let Some(target) = self.index_of(&command.owner) else {
            return;
        };
        let state = &mut self.states[target];
        for key in command.from..=command.to {
            let seen = state.grants.get(&key).map_or(0, |(seen, _)| *seen);
            state
                .grants
                .insert(key, (command.fence.max(seen), Duration::ZERO));
        }
    }

    /// The ids of the targets that hold a valid grant for a key.
    pub fn holders(&self, key: RequestKey, now: Duration) -> Vec<String> {
        let has_grant = |state: &&TargetState| {
            state
                .grants
                .get(&key)
                .is_some_and(|(_, until)| now < *until)
        };
        let holders = self
            .states
            .iter()
            .filter(|state| state.up)
            .filter(has_grant);
        holders.map(|state| state.target.id.clone()).collect()
    }
}
