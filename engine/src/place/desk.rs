//! Decides for each request: send it now and where, let it wait, or refuse it.
//!
//! Load patterns that it answers:
//!
//! - *More arrives than targets can do*: a request that probably can't be answered in time is
//!   refused at once, with the time in which a place is likely free, so that the rest is served.
//! - *A target's queue is almost full*: it may break connections off instead of refusing, and an
//!   order broken off has an unknown outcome. Requests wait here instead, by rank.
//! - *Keys on their way to another owner*: their requests wait for the new owner, briefly.
//! - *A target that fails fast looks idle*: answers count, not promptness; one that fails often gets
//!   single requests until it does well.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::{collections::HashMap, rc::Rc, time::Duration};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub use super::message::{Ask, Basis, Effect, End, Ended, Event, State, Ticket, View, Why};
use super::{
    budget::{Allowance, Budget},
    member::Member,
};
use crate::{
    catalogue::{self, DomainId, ServiceId, TargetId},
    owner::record::{Fence, Point, Record},
};

/// How many requests a target may have waiting, from all VMs, as far as this VM can tell.
///
/// Targets queue some 8 and may break connections when full; VMs see each other's requests late, so
/// the last places are left empty.
const QUEUE_USED: f64 = 5.0;
/// How long a request waits for its key to have an owner, as a part of the route's goal.
///
/// A planned move takes one release, one write and one grant, some 50 to 200 ms; a lost owner takes
/// seconds, for which no request should be held.
const OWNER_WAIT_PART: f64 = 0.6;
/// How long a key whose owner has refused it counts as moving, unless a newer owner is known.
///
/// A move takes as long as the work that runs on the key; asking its old owner again meanwhile cost
/// 1,361 refused calls on a day with two busy keys.
const UNOWNED_SPAN: Duration = Duration::from_millis(100);
/// The share of the time left within which an answer must be expected for a request to be sent.
const WITHIN: f64 = 1.0;
/// How many may wait at a target before those that can't be answered within the goal are refused.
///
/// With one waiting, a target is never idle; more would make requests late that still have time.
const LATE_QUEUE: f64 = 1.0;
/// The least time to come back that is told.
const COME_BACK_LEAST: Duration = Duration::from_millis(20);
/// The time to come back when a key has no owner.
const COME_BACK_UNOWNED: Duration = Duration::from_millis(400);
/// How many requests may wait on one VM.
const WAITING_MOST: usize = 512;
/// By how much estimates are varied, so that VMs with the same news don't all pick the same target.
const JITTER: f64 = 0.12;

/// How much longer a request in another failure domain counts as taking: the way there and back is
/// some 3 ms of 60.
const AWAY: f64 = 1.04;
/// The same for a large answer: bytes between failure domains are paid for.
const AWAY_LARGE: f64 = 1.4;

/// What can be done for a request now.
enum Choice {
    Send(Basis),
    Wait,
    Refuse(Why, Duration, Basis),
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    counted: bool,
}

/// One VM's decisions on where requests go.
#[derive(Debug)]
pub struct Desk {
    domain: DomainId,
    allowance: Allowance,
    view: Rc<View>,
    members: IndexMap<TargetId, Member>,
    budgets: IndexMap<ServiceId, Budget>,
    waiting: Vec<Waiting>,
    /// Keys whose owners have refused them, with the owner's fence and for how long that counts.
    unowned: HashMap<Point, (Fence, Duration)>,
    random: SmallRng,
}

impl Desk {
    /// Creates the desk of a VM in a failure domain; it knows no target yet.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::place::{
    ///     budget::Allowance,
    ///     desk::{Desk, Event},
    /// };
    ///
    /// let allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
    /// let mut desk = Desk::new("domain-1", allowance, 1);
    /// assert!(desk.on(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn new(domain: &str, allowance: Allowance, seed: u64) -> Self {
        Self {
            domain: domain.to_owned(),
            allowance,
            view: Rc::default(),
            members: IndexMap::new(),
            budgets: IndexMap::new(),
            waiting: Vec::new(),
            unowned: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes an event and returns what is decided by it.
    ///
    /// # Example
    ///
    /// See [`Desk::new`].
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Ask(ask) => self.ask(now, ask, &mut effects),
            Event::Done { target, end } => {
                self.note_unowned(now, &end);
                if let Some(member) = self.members.get_mut(&target) {
                    member.ended(now, end);
                }
                self.serve(now, &mut effects);
            }
            Event::Left(ticket) => self.waiting.retain(|it| it.ask.ticket != ticket),
            Event::View(view) => {
                self.look(now, view);
                self.serve(now, &mut effects);
            }
            Event::Others(others) => {
                for member in self.members.values_mut() {
                    let count = others.get(&catalogue::hash(&member.target.id));
                    member.tell(now, count.copied().unwrap_or(0));
                }
                self.serve(now, &mut effects);
            }
            Event::Tick => self.serve(now, &mut effects),
        }
        effects
    }

    /// Returns how many requests wait.
    ///
    /// # Example
    ///
    /// See [`Desk::new`].
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns this VM's requests at each target, and the service times measured since the last
    /// call.
    ///
    /// # Example
    ///
    /// See [`Desk::new`].
    pub fn take_state(&mut self) -> State {
        let mut state = State::default();
        for member in self.members.values_mut() {
            let hash = catalogue::hash(&member.target.id);
            if member.own > 0 {
                state.flights.push((hash, member.own));
            }
            let (sum, count) = member.take_samples();
            if count > 0 {
                state.times.push((hash, sum, count));
            }
        }
        state
    }

    /// Remembers a key whose owner has refused it: it is moving.
    fn note_unowned(&mut self, now: Duration, end: &End) {
        if let (Ended::Unowned, Some((point, fence))) = (end.ended, end.owned) {
            self.unowned.retain(|_, (_, until)| now < *until);
            self.unowned.insert(point, (fence, now + UNOWNED_SPAN));
        }
    }

    /// Returns whether the owner of a key at a fence has just refused it.
    fn is_moving(&self, now: Duration, point: Point, fence: Fence) -> bool {
        let refused = self.unowned.get(&point);
        refused.is_some_and(|(own, until)| *own == fence && now < *until)
    }

    fn look(&mut self, now: Duration, view: Rc<View>) {
        let mut members = IndexMap::new();
        for target in view.targets.values().flatten() {
            let known = self.members.swap_remove(&target.id);
            let member = match known {
                Some(mut member) if member.target.same_life(target) => {
                    member.target = target.clone();
                    member
                }
                _ => Member::new(target.clone(), now),
            };
            members.insert(target.id.clone(), member);
        }
        self.members = members;
        self.view = view;
    }

    fn ask(&mut self, now: Duration, ask: Ask, out: &mut Vec<Effect>) {
        let budget = self.budgets.entry(ask.service.clone()).or_default();
        if !ask.repeat {
            budget.count(now, self.allowance);
        }
        let mut waiting = Waiting {
            ask,
            counted: false,
        };
        if !self.decide(now, &mut waiting, out) {
            self.hold(waiting, out);
        }
    }

    fn hold(&mut self, waiting: Waiting, out: &mut Vec<Effect>) {
        if self.waiting.len() >= WAITING_MOST {
            out.push(Effect::Refuse {
                ticket: waiting.ask.ticket,
                why: Why::Full,
                retry: COME_BACK_UNOWNED,
                basis: Basis::default(),
            });
            return;
        }
        let rank = |it: &Waiting| (it.ask.priority, it.ask.came);
        let place = self
            .waiting
            .partition_point(|it| rank(it) <= rank(&waiting));
        self.waiting.insert(place, waiting);
    }

    /// Decides again for all that wait, by rank.
    fn serve(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.waiting);
        for mut it in waiting {
            if !self.decide(now, &mut it, out) {
                self.waiting.push(it);
            }
        }
    }

    /// Decides for one request; returns whether that is its end here.
    fn decide(&mut self, now: Duration, it: &mut Waiting, out: &mut Vec<Effect>) -> bool {
        let ticket = it.ask.ticket;
        match self.choose(now, &it.ask) {
            Choice::Wait => false,
            Choice::Refuse(why, retry, basis) => {
                out.push(Effect::Refuse {
                    ticket,
                    why,
                    retry,
                    basis,
                });
                true
            }
            Choice::Send(basis) => {
                if it.ask.repeat && !it.counted {
                    let vms = self.view.vms;
                    let budget = self.budgets.entry(it.ask.service.clone()).or_default();
                    if !budget.spend(now, self.allowance, vms) {
                        let retry = self.allowance.window / 10;
                        let why = Why::Budget;
                        out.push(Effect::Refuse {
                            ticket,
                            why,
                            retry,
                            basis,
                        });
                        return true;
                    }
                    it.counted = true;
                }
                let Some(member) = self.members.get_mut(&basis.target) else {
                    return false;
                };
                member.sent(now);
                out.push(Effect::Send {
                    ticket,
                    target: member.target.clone(),
                    basis,
                });
                true
            }
        }
    }

    fn choose(&mut self, now: Duration, ask: &Ask) -> Choice {
        match (ask.point, self.view.records.get(&ask.service)) {
            (Some(point), Some(record)) => {
                let record = record.clone();
                self.choose_owner(now, ask, point, &record)
            }
            (Some(_), None) => self.unowned(now, ask),
            (None, _) => self.choose_any(now, ask),
        }
    }

    fn choose_owner(&self, now: Duration, ask: &Ask, point: Point, record: &Record) -> Choice {
        let Some(part) = record.find(point) else {
            return self.unowned(now, ask);
        };
        if self.is_moving(now, point, part.fence) {
            // A move ends within a few hundred milliseconds, a loss doesn't.
            return if now < ask.goal.min(ask.until) {
                Choice::Wait
            } else {
                self.unowned(now, ask)
            };
        }
        let member = part.owner.as_ref().and_then(|life| {
            let member = self.members.get(&life.id);
            member.filter(|it| life.is(&it.target))
        });
        let Some(member) = member else {
            return self.unowned(now, ask);
        };
        if !member.is_open(now) || ask.tried.contains(&member.target.id) {
            return self.unowned(now, ask);
        }
        Self::fit(now, ask, member, self.usual(&ask.service), part.fence)
    }

    /// What to do for a request whose key has no owner that can be reached.
    fn unowned(&self, now: Duration, ask: &Ask) -> Choice {
        let goal = ask.goal.saturating_sub(ask.came);
        let patience = ask.came + goal.mul_f64(OWNER_WAIT_PART);
        if now < patience.min(ask.until) {
            return Choice::Wait;
        }
        Choice::Refuse(Why::NoOwner, COME_BACK_UNOWNED, self.owner_basis(ask))
    }

    /// Tells which owner was known for a request that none could serve.
    fn owner_basis(&self, ask: &Ask) -> Basis {
        let record = self.view.records.get(&ask.service);
        let part = record
            .zip(ask.point)
            .and_then(|(record, point)| record.find(point));
        let owner = part.and_then(|part| part.owner.as_ref());
        Basis {
            target: owner.map_or_else(|| "none".to_owned(), |life| life.id.clone()),
            fence: part.map_or(0, |part| part.fence),
            ..Basis::default()
        }
    }

    fn choose_any(&mut self, now: Duration, ask: &Ask) -> Choice {
        let usual = self.usual(&ask.service);
        let Some(targets) = self.view.targets.get(&ask.service) else {
            return self.untargeted(now, ask);
        };
        let mut best: Option<(&Member, f64)> = None;
        for target in targets {
            let Some(member) = self.members.get(&target.id) else {
                continue;
            };
            if !member.is_open(now) || ask.tried.contains(&target.id) {
                continue;
            }
            let vary = 1.0 + self.random.random_range(-JITTER..JITTER);
            let mut score = member.expected(now, usual) * vary;
            score *= 1.0 + 4.0 * member.failures(now);
            if target.domain != self.domain {
                score *= if ask.large { AWAY_LARGE } else { AWAY };
            }
            if member.is_bad(now) {
                // Behind all others, so that it is used only when they are out of reach.
                score += 1000.0;
            }
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((member, score));
            }
        }
        match best {
            Some((member, _)) => Self::fit(now, ask, member, usual, 0),
            None => self.untargeted(now, ask),
        }
    }

    fn untargeted(&self, now: Duration, ask: &Ask) -> Choice {
        match self.unowned(now, ask) {
            Choice::Refuse(_, retry, basis) => Choice::Refuse(Why::NoTarget, retry, basis),
            choice => choice,
        }
    }

    /// Decides whether a request fits at a target, waits for it, or is too late for it.
    fn fit(now: Duration, ask: &Ask, member: &Member, usual: Option<f64>, fence: Fence) -> Choice {
        let left = ask.until.saturating_sub(now);
        let expected = Duration::from_secs_f64(member.expected(now, usual));
        let basis = Basis {
            target: member.target.id.clone(),
            point: ask.point,
            depth: member.depth(now),
            expected,
            age: member.told_age(now),
            fence,
        };
        if expected > left.mul_f64(WITHIN) {
            let over = expected.saturating_sub(left.mul_f64(WITHIN));
            return Choice::Refuse(Why::Late, over.max(COME_BACK_LEAST), basis);
        }
        let slots = member.target.slots.max(1) as f64;
        let depth = basis.depth;
        if depth + 1.0 > slots + QUEUE_USED {
            return Choice::Wait;
        }
        let goal_left = ask.goal.saturating_sub(now);
        if depth >= slots + LATE_QUEUE && expected > goal_left {
            return Choice::Wait;
        }
        Choice::Send(basis)
    }

    /// The median service time of a service's targets, in seconds.
    fn usual(&self, service: &str) -> Option<f64> {
        let targets = self.view.targets.get(service)?;
        let members = targets.iter().filter_map(|it| self.members.get(&it.id));
        let mut times: Vec<f64> = members.filter_map(Member::measured).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}
