//! What a manager records, grants and releases for one service; free of I/O.
//!
//! The rules, and what each protects against:
//!
//! - An owner and its fence stand in the store before the first grant at that fence leaves, and the
//!   record changes only by compare-and-swap. So a manager that was replaced unawares can only
//!   renew pairs that once stood there.
//! - A takeover raises every fence. The owners stay; earlier managers are refused by each target
//!   that has heard of the new fence.
//! - A range gets a new owner only once nobody can hold it: its owner has confirmed the release,
//!   or that life of it has ended, or the last grant that can have arrived has run out. A shorter
//!   grant doesn't end a longer one.
//! - A manager that can't renew its lease goes on granting, with holds that all end by
//!   [`Timing::horizon`] after the lease. A successor reckons with such grants, unless every manager
//!   before it is known to have stopped; the end of the last one alone says nothing of those that
//!   it had not waited for itself ([`Record::settled`]).
//! - The next life of a target knows no fence, and an earlier manager could grant to it. So the end
//!   of a life counts only once no earlier manager is left, or once the next life was fenced.
//! - A grant without an answer may have arrived until the moment at which its connection was reset.

mod call_outcomes;
mod commit;
mod moves;
mod predecessors;

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;

use self::{commit::Pending, moves::Rested, predecessors::Earlier};
pub use super::events::{CallOutcome, Effect, Event, OwnershipCommand, Timing};
use super::{
    load::Load,
    range_state::{Live, Phase, shrunk},
    record::{Incarnation, Record, RequestKey, Term},
};
use crate::{
    catalogue::{Target, TargetId},
    target::Rate,
};

/// The shortest hold that is worth a grant: a renewal takes up to its timeout of 0.4 s.
const HOLD_LEAST: Duration = Duration::from_millis(500);
/// The hold of the first grant to an owner, which may have turned dark unnoticed.
///
/// It outlasts the call's timeout of 0.4 s, and no key that was moved to a dark target waits for longer.
const HOLD_FIRST: Duration = Duration::from_millis(600);
/// The shortest hold by which a silent owner is asked whether it answers again.
const HOLD_ASKING: Duration = Duration::from_millis(200);
/// How little of the lease may be left until grants hold for longer: two renewals are late then.
const ALONE_PART: f64 = 0.4;
/// The pause before a call that got no answer is made again.
const AGAIN: Duration = Duration::from_millis(150);
/// How long after its decision a grant may arrive: it is begun within 0.4 s, and given up after 0.4 s.
const LAST_GRANTS: Duration = Duration::from_millis(800);

/// The manager's state for one service.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     ownership::{Effect, Event, ServiceOwnership, Timing},
///     record::Record,
/// };
///
/// let timing = Timing {
///     lease: Duration::from_secs(2),
///     grant_duration: Duration::from_secs(4),
///     outage_duration: Duration::from_secs(10),
///     renew_interval: Duration::from_secs(1),
///     latest_expiry: Duration::from_secs(12),
/// };
/// let now = Duration::ZERO;
/// let (mut keeper, effects) = ServiceOwnership::take_over("vm-1", Record::unowned(99), timing, now);
/// assert!(matches!(&effects[..], [Effect::Commit(record)] if record.term == 1));
/// assert!(keeper.on(now, Event::Committed).is_empty());
/// ```
#[derive(Debug)]
pub struct ServiceOwnership {
    timing: Timing,
    record: Record,
    /// The commit under way.
    pending: Option<Pending>,
    /// When a failed commit is made again.
    commit_due: Option<Duration>,
    /// How long to wait after the next failed commit.
    commit_pause: Duration,
    /// Until when the manager's lease holds.
    lease: Duration,
    /// Managers of earlier terms.
    earlier: Earlier,
    live: IndexMap<RequestKey, Live>,
    targets: IndexMap<TargetId, Target>,
    shunned: IndexMap<Incarnation, Duration>,
    /// Until when targets bear few requests: they are cold.
    warming: IndexMap<TargetId, Duration>,
    load: Load,
    /// The times that one request takes at targets, in seconds, as measured by those who send.
    times: IndexMap<TargetId, f64>,
    /// The rates to which targets ask to be held.
    rates: IndexMap<TargetId, Rate>,
    started: Duration,
    balanced: Duration,
    /// When keys were last dealt anew.
    dealt: Duration,
    /// Moves for balance whose keys are left alone.
    moved: Vec<Rested>,
    stopped: bool,
}

impl ServiceOwnership {
    /// Takes a service over from the manager that wrote `record`.
    ///
    /// The first effect writes the record for the new term; until [`Event::Committed`] nothing is
    /// granted.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn take_over(
        manager: &str,
        earlier: Record,
        timing: Timing,
        now: Duration,
    ) -> (Self, Vec<Effect>) {
        let past = Earlier::of(&earlier, timing, now);
        let record = Record {
            settled: past.is_over(now),
            ..commit::successor(earlier, manager)
        };
        let pending = Pending {
            record: record.clone(),
            fence: 0,
            moves: Vec::new(),
            takeover: true,
        };
        let keeper = Self {
            timing,
            record: Record::default(),
            pending: Some(pending),
            commit_due: None,
            commit_pause: AGAIN,
            lease: now,
            earlier: past,
            live: IndexMap::new(),
            targets: IndexMap::new(),
            shunned: IndexMap::new(),
            warming: IndexMap::new(),
            load: Load::default(),
            times: IndexMap::new(),
            rates: IndexMap::new(),
            started: now,
            balanced: now,
            dealt: Duration::ZERO,
            moved: Vec::new(),
            stopped: false,
        };
        (keeper, vec![Effect::Commit(record)])
    }

    /// Returns the record as it was last known to stand in the store.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the term.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn term(&self) -> Term {
        let pending = self.pending.as_ref().map(|it| it.record.term);
        pending.unwrap_or(self.record.term)
    }

    /// Sets the times that one request takes at targets, in seconds.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_service_times(&mut self, times: IndexMap<TargetId, f64>) {
        self.times = times;
    }

    /// Sets the rates to which targets ask to be held; such a target counts as able to do no more.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_rate_limits(&mut self, rates: IndexMap<TargetId, Rate>) {
        self.rates = rates;
    }

    /// Sets until when targets bear few requests; they own keys only if there is no other.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn set_warming(&mut self, warming: IndexMap<TargetId, Duration>) {
        self.warming = warming;
    }

    /// Stops for good and returns the record that tells so, if it can be written now.
    ///
    /// After this no grant leaves; the next manager need not wait for this one.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn resign(&mut self, now: Duration) -> Option<Record> {
        self.stopped = true;
        if self.pending.is_some() || self.live.values().any(|live| live.busy) {
            return None;
        }
        let mut record = self.record.clone();
        record.resigned = true;
        record.settled = self.earlier.is_over(now);
        Some(record)
    }

    /// Takes an event and returns what is to be done.
    ///
    /// # Example
    ///
    /// See [`ServiceOwnership`].
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Targets(targets) => self.targets(targets),
            Event::GrantEnded(from, ending) => self.granted(now, from, &ending, &mut effects),
            Event::ReleaseEnded(from, ending) => self.released(now, from, ending, &mut effects),
            Event::Committed => self.committed(now),
            Event::CommitFailed => self.retry_commit(now),
            Event::LeaseExtended(until) => self.lease = until,
            Event::PredecessorStopped => self.earlier.on_stopped(now),
            Event::Load(counts) => self.load.add(now, counts),
            Event::ConnectionClosed(address) => self.hurry(now, address),
            Event::Tick => {}
        }
        if !self.stopped {
            self.free_lapsed(now, &mut effects);
            self.empty_unfit(now, &mut effects);
            self.balance(now, &mut effects);
            self.reassign(now, &mut effects);
            self.call(now, &mut effects);
        }
        effects
    }

    fn targets(&mut self, targets: Vec<Target>) {
        let by_id = targets.into_iter().map(|it| (it.id.clone(), it));
        self.targets = by_id.collect();
    }

    /// Returns when a range's last grant has run out for certain.
    fn lapse(&self, live: &Live) -> Option<Duration> {
        let until = live.until?;
        if live.confirmed || !live.inherited {
            return Some(until);
        }
        Some(until.max(self.earlier.holds()))
    }

    fn free_lapsed(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let lapsed: Vec<RequestKey> = self
            .live
            .iter()
            .filter(|(_, live)| !live.busy && !matches!(live.phase, Phase::Free(_)))
            .filter(|(_, live)| match self.lapse(live) {
                Some(lapse) => now >= lapse,
                // Nothing was ever sent that arrived: whoever can't be reached twice is left.
                None => live.unsent >= 2,
            })
            .map(|(from, _)| *from)
            .collect();
        for from in lapsed {
            self.lose(now, from, "no answer until its hold ran out", out);
        }
    }

    fn is_warming(&self, now: Duration, target: &TargetId) -> bool {
        self.warming.get(target).is_some_and(|until| now < *until)
    }

    /// The owners that are to let go: they leave, are no longer announced, or are cold while others aren't.
    fn unfit(&self, now: Duration) -> HashSet<Incarnation> {
        let ready = |it: &Target| !it.leaving;
        let warm = self
            .targets
            .values()
            .any(|it| ready(it) && !self.is_warming(now, &it.id));
        let owners = self.record.ranges.iter().filter_map(|it| it.owner.as_ref());
        let stays = |owner: &Incarnation| {
            let target = self.targets.get(&owner.id);
            let there = target.is_some_and(|it| owner.is_announced_by(it) && ready(it));
            there && !(warm && self.is_warming(now, &owner.id))
        };
        owners.filter(|owner| !stays(owner)).cloned().collect()
    }

    /// Asks owners to let go that are to.
    fn empty_unfit(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let unfit = self.unfit(now);
        for part in &self.record.ranges {
            let Some(live) = self.live.get_mut(&part.from) else {
                continue;
            };
            let Some(owner) = &part.owner else {
                continue;
            };
            if live.phase != Phase::Held || live.busy {
                continue;
            }
            if unfit.contains(owner) {
                live.phase = Phase::Releasing(None);
                live.due = now;
                out.push(Effect::Log(format!(
                    "event=release-begun from={} to={} owner={} announced={}",
                    part.from,
                    part.to,
                    owner.id,
                    self.targets.contains_key(&owner.id)
                )));
            }
        }
    }

    /// Returns how long a grant that is sent now is to hold; none if it may not be sent.
    ///
    /// Without the store nobody can replace the manager, and when it goes too, keys are served only
    /// until their holds run out: so these are longer then.
    fn grant_duration(&self, now: Duration) -> Option<Duration> {
        if now + self.timing.lease.mul_f64(ALONE_PART) < self.lease {
            return Some(self.timing.grant_duration);
        }
        let end = self.lease + self.timing.latest_expiry;
        let left = end.saturating_sub(now + LAST_GRANTS);
        let grant_duration = shrunk(left).min(self.timing.outage_duration);
        (grant_duration >= HOLD_LEAST).then_some(grant_duration)
    }

    /// Sends what is due: renewals of what is held, releases of what is to be let go.
    fn call(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let grant_duration = self.grant_duration(now);
        for part in &self.record.ranges {
            let (Some(live), Some(owner)) = (self.live.get_mut(&part.from), &part.owner) else {
                continue;
            };
            if live.busy || now < live.due {
                continue;
            }
            let order = |fence, grant_duration, handover| OwnershipCommand {
                owner: owner.clone(),
                from: part.from,
                to: part.to,
                fence,
                grant_duration,
                decided_at: now,
                handover,
            };
            let grant_duration =
                grant_duration.and_then(|grant_duration| bounded(now, live, grant_duration));
            if grant_duration.is_none() && live.phase == Phase::Held && live.is_silent() {
                live.phase = Phase::Releasing(None);
                out.push(Effect::Log(format!(
                    "event=grant-silent from={}",
                    part.from
                )));
            }
            match (&live.phase, grant_duration) {
                (Phase::Held, Some(grant_duration)) => {
                    live.busy = true;
                    live.grant_duration = grant_duration;
                    let order = order(part.fence, grant_duration, live.handover.clone());
                    out.push(Effect::Grant(order));
                }
                (Phase::Releasing(_), _) => {
                    live.busy = true;
                    out.push(Effect::Release(order(part.fence + 1, Duration::ZERO, None)));
                }
                (Phase::Held | Phase::Free(_), _) => {}
            }
        }
    }
}

/// Shortens a hold so that a silent owner gets none beyond the one that it may have, and a new owner a
/// short one until it has answered.
///
/// A dark owner's range waits for the last grant that may have arrived: each one that is sent while it is
/// silent makes it wait longer.
fn bounded(now: Duration, live: &Live, grant_duration: Duration) -> Option<Duration> {
    let until = match live.until {
        None => return Some(grant_duration.min(HOLD_FIRST)),
        Some(_) if !live.is_silent() => return Some(grant_duration),
        Some(until) => until,
    };
    let left = shrunk(until.saturating_sub(now + LAST_GRANTS));
    (left >= HOLD_ASKING).then(|| left.min(grant_duration))
}
