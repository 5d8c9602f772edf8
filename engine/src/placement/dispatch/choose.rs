//! Which target a request goes to, and whether it fits there in time.

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::time::Duration;

use rand::{Rng, seq::index};

use super::{
    Basis, COME_BACK_UNOWNED, DispatchRequest, Dispatcher, RefusalReason,
    admission::{Choice, Place, Standing},
};
use crate::{
    catalogue::{Target, TargetId},
    owner::record::{Record, RequestKey},
    placement::{
        quota::Quota,
        refused_keys,
        target_state::{Member, UNKNOWN_TIME},
    },
};

/// How long a request waits for its key to have an owner, as a part of the route's goal.
///
/// A planned move takes one release, one write and one grant, some 50 to 200 ms; a lost owner takes
/// seconds, for which no request should be held.
const OWNER_WAIT_PART: f64 = 0.6;
/// The least time to come back that is told: a caller is some 10 ms away.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// By how much estimates are varied, so that VMs with the same news don't all pick the same target.
const JITTER: f64 = 0.12;
/// How much longer a request in another failure domain counts as taking: the way there and back is
/// some 3 ms of 60.
const AWAY: f64 = 1.04;

/// How many targets are drawn for a request, of which those that are near and a few others are compared.
///
/// All VMs hear the same counts at the same time, and each would send to the same few that look best. With
/// some drawn at random for each request they spread, and one of the faster is nearly always among them.
const DRAWN: usize = 12;
/// How many of those in other failure domains are compared.
const DRAWN_AWAY: usize = 3;
/// How many service times a goal is usually worth: what is assumed while nothing was measured.
const GOAL_TIMES: f64 = 5.0;
/// How long a median of service times counts: it changes slowly, and hundreds of targets are in it.
const USUAL_LIFE: Duration = Duration::from_millis(50);

impl Dispatcher {
    pub(super) fn choose(
        &mut self,
        now: Duration,
        ask: &DispatchRequest,
        standing: Standing,
    ) -> Choice {
        if self.view.evacuated.contains(&ask.service) {
            return Choice::Refuse(
                RefusalReason::Evacuated,
                COME_BACK_UNOWNED,
                self.owner_basis(ask),
            );
        }
        match (ask.point, self.view.records.get(&ask.service)) {
            (Some(point), Some(record)) => {
                let record = record.clone();
                self.choose_owner(now, ask, standing, point, &record)
            }
            (Some(_), None) => self.unowned(now, ask),
            (None, _) => self.choose_any(now, ask, standing),
        }
    }

    fn choose_owner(
        &self,
        now: Duration,
        ask: &DispatchRequest,
        standing: Standing,
        point: RequestKey,
        record: &Record,
    ) -> Choice {
        let Some(part) = record.find(point) else {
            return self.unowned(now, ask);
        };
        match self.unowned.standing(now, &ask.service, part, point) {
            // A move ends within a few hundred milliseconds, a loss doesn't.
            refused_keys::KeyState::Moving if now < ask.goal.min(ask.deadline) => {
                return Choice::Wait(None);
            }
            refused_keys::KeyState::Moving | refused_keys::KeyState::Lost => {
                return self.unowned(now, ask);
            }
            refused_keys::KeyState::Open => {}
        }
        if ask.refused_by(part) {
            // Its owner takes others by now, or another request finds out. To ask once more would be a
            // repeat, perhaps at another service's target.
            return Choice::Refuse(RefusalReason::Moved, MIN_RETRY_AFTER, self.owner_basis(ask));
        }
        let member = part.owner.as_ref().and_then(|life| {
            let member = self.members.get(&life.id);
            member.filter(|it| life.is_announced_by(&it.target))
        });
        let Some(member) = member else {
            return self.unowned(now, ask);
        };
        if !member.is_open(now) || ask.tried.contains(&member.target.id) {
            return self.unowned(now, ask);
        }
        let place = Place {
            member,
            usual: self.usual(ask),
            fence: part.fence,
            standing,
            before: self.line(&member.target.id),
        };
        place.fit(now, ask)
    }

    /// What to do for a request whose key has no owner that can be reached.
    fn unowned(&self, now: Duration, ask: &DispatchRequest) -> Choice {
        let goal = ask.goal.saturating_sub(ask.received_at);
        let patience = ask.received_at + goal.mul_f64(OWNER_WAIT_PART);
        if now < patience.min(ask.deadline) {
            return Choice::Wait(None);
        }
        Choice::Refuse(
            RefusalReason::NoOwner,
            COME_BACK_UNOWNED,
            self.owner_basis(ask),
        )
    }

    /// Tells which owner was known for a request that none could serve.
    fn owner_basis(&self, ask: &DispatchRequest) -> Basis {
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

    fn choose_any(&mut self, now: Duration, ask: &DispatchRequest, standing: Standing) -> Choice {
        let view = self.view.clone();
        let Some(targets) = view.targets.get(&ask.service) else {
            return self.untargeted(now, ask);
        };
        let drawn = self.draw(ask, targets);
        let few = self.best(now, ask, drawn.into_iter());
        let Some(id) = few.or_else(|| self.best(now, ask, targets.iter())) else {
            return self.untargeted(now, ask);
        };
        let place = Place {
            member: &self.members[&id],
            usual: self.usual(ask),
            fence: 0,
            standing,
            before: self.line(&id),
        };
        place.fit(now, ask)
    }

    /// Draws the targets that are compared for a request: more of those that are near, since bytes between
    /// failure domains are paid for; for a large answer all.
    ///
    /// Cold ones to which this VM may send are always among them: no more than two others may, so what is not
    /// sent from here is hardly sent at all.
    fn draw<'a>(&mut self, ask: &DispatchRequest, targets: &'a [Target]) -> Vec<&'a Target> {
        if ask.large {
            return targets.iter().collect();
        }
        let count = DRAWN.min(targets.len());
        let drawn = index::sample(&mut self.random, targets.len(), count);
        let drawn = drawn.into_iter().map(|place| &targets[place]);
        let (mut kept, away): (Vec<_>, Vec<_>) = drawn.partition(|it| it.domain == self.domain);
        kept.extend(away.into_iter().take(DRAWN_AWAY));
        let paced = self.paced.get(&ask.service).into_iter().flatten();
        kept.extend(paced.filter_map(|place| targets.get(*place)));
        kept
    }

    /// The best of some targets that can be reached.
    fn best<'a, T>(&mut self, now: Duration, ask: &DispatchRequest, targets: T) -> Option<TargetId>
    where
        T: Iterator<Item = &'a Target>,
    {
        let usual = self.usual(ask);
        let mut best: Option<(&Target, Rank)> = None;
        for target in targets {
            let Some(member) = self.members.get(&target.id) else {
                continue;
            };
            let open = member.is_open(now) && member.has_pace(now);
            if !open || ask.tried.contains(&target.id) {
                continue;
            }
            let vary = 1.0 + self.random.random_range(-JITTER..JITTER);
            let rank = rank(now, ask, member, usual, target.domain == self.domain);
            let rank = (rank.0, rank.1 * vary);
            if best.is_none_or(|(_, least)| rank < least) {
                best = Some((target, rank));
            }
        }
        best.map(|(target, _)| target.id.clone())
    }

    fn untargeted(&self, now: Duration, ask: &DispatchRequest) -> Choice {
        match self.unowned(now, ask) {
            Choice::Refuse(_, retry, basis) => {
                Choice::Refuse(RefusalReason::NoTarget, retry, basis)
            }
            choice => choice,
        }
    }

    /// The service time that is usual for a request, in seconds: as measured, or else by its goal.
    pub(super) fn usual(&self, ask: &DispatchRequest) -> Option<f64> {
        let measured = self.usual.get(&ask.service).copied();
        measured.or_else(|| {
            let goal = ask.goal.saturating_sub(ask.received_at);
            let assumed = goal.div_f64(GOAL_TIMES).max(UNKNOWN_TIME);
            Some(assumed.as_secs_f64())
        })
    }

    /// Takes the median service time of each service's targets anew, unless that was done just now.
    pub(super) fn refresh_usual(&mut self, now: Duration) {
        if now < self.usual_due {
            return;
        }
        self.usual_due = now + USUAL_LIFE;
        let view = self.view.clone();
        for (service, targets) in &view.targets {
            let members = targets.iter().filter_map(|it| self.members.get(&it.id));
            let mut times: Vec<f64> = members.filter_map(Member::measured).collect();
            let middle = times.len() / 2;
            if times.is_empty() {
                continue;
            }
            let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
            self.usual.insert(service.clone(), *median);
        }
    }
}

/// How good a target is for a request: its tier, then the time in which it would answer, in seconds.
type Rank = (Tier, f64);

/// Targets of a later tier are used only when none of an earlier one is left.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Tier {
    /// For a large answer: in the caller's failure domain, and in time.
    Near,
    /// Any that has room.
    Open,
    /// Other VMs' requests take all its room.
    Taken,
    /// It fails too often.
    Bad,
}

fn rank(
    now: Duration,
    ask: &DispatchRequest,
    member: &Member,
    usual: Option<f64>,
    near: bool,
) -> Rank {
    let expected = member.expected(now, usual);
    let in_time = now + Duration::from_secs_f64(expected) <= ask.goal;
    let taken = |share: &Quota| share.busy && share.within_goal == 0;
    let tier = if member.is_bad(now) {
        Tier::Bad
    } else if member.is_shared(now, usual, false) && member.share().is_some_and(taken) {
        Tier::Taken
    } else if ask.large && near && in_time {
        // Bytes between failure domains are paid for, so a faster target elsewhere is no reason.
        Tier::Near
    } else {
        Tier::Open
    };
    let away = if near { 1.0 } else { AWAY };
    (tier, expected * away * (1.0 + 4.0 * member.failures(now)))
}
