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

#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests, slots and keys are far below 2^52"
)]

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;

pub use super::order::{Effect, Ending, Event, Order, Timing};
use super::{
    balance::{self, Holder, Move},
    deal,
    live::{Live, Phase, lasting, shrunk},
    load::Load,
    record::{Fence, Life, Part, Point, Record, Term},
};
use crate::catalogue::{Target, TargetId};

/// The shortest hold that is worth a grant: a renewal takes up to its timeout of 0.4 s.
const HOLD_LEAST: Duration = Duration::from_millis(500);
/// How little may be left of the lease until grants hold for longer: two renewals are late then.
const ALONE: Duration = Duration::from_secs(1);
/// The pause before a call that got no answer is made again.
const AGAIN: Duration = Duration::from_millis(150);
/// The longest pause between two tries of a commit: each call to a store that is down is paid for.
const COMMIT_PAUSE_MOST: Duration = Duration::from_millis(1200);
/// How many grants in a row may go unanswered until only releases are tried.
///
/// With three in ten unanswered, six in a row are one in 1,400.
const SILENCES: u32 = 6;
/// How long the last grants of a manager that knows that it is replaced may be under way.
const LAST_GRANTS: Duration = Duration::from_millis(500);
/// How long a life that lost its ranges by silence or death gets no others.
///
/// A target that is dark stays announced for a while, and each range given to it waits for nothing;
/// one that starts again is another life and counts at once.
const SHUN: Duration = Duration::from_secs(10);
/// The least time between two rounds of moves for balance: a move takes some 100 ms, and the counts
/// that show its effect come every 40 ms.
const BALANCE_PAUSE: Duration = Duration::from_millis(400);
/// How long keys that have moved for balance are left alone: a busy key's requests wait at each
/// move, and its new owner's power is known better after a few seconds.
const REST: Duration = Duration::from_secs(3);
/// The least time between two deals of all keys, which wait for a moment each time.
const DEAL_PAUSE: Duration = Duration::from_secs(5);
/// The part of its power that a target counts for while it is cold.
const COLD_POWER: f64 = 0.5;
/// The time that one request takes, in seconds, while nothing was measured.
const USUAL_TIME: f64 = 0.1;
/// How long the first assignment waits for more targets to announce themselves.
///
/// All processes of a fleet start within some 0.3 s; a later target costs moves.
const GATHER: Duration = Duration::from_millis(1500);

/// What a commit under way will change.
#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    fence: Fence,
    moves: Vec<Move>,
    /// Whether this is the first commit of the term.
    takeover: bool,
}

/// The manager's state for one service.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::owner::{
///     keeper::{Effect, Event, Keeper, Timing},
///     record::Record,
/// };
///
/// let timing = Timing {
///     hold: Duration::from_secs(4),
///     hold_alone: Duration::from_secs(10),
///     renew: Duration::from_secs(1),
///     horizon: Duration::from_secs(12),
/// };
/// let now = Duration::ZERO;
/// let (mut keeper, effects) = Keeper::take_over("vm-1", Record::first(99), timing, now);
/// assert!(matches!(&effects[..], [Effect::Commit(record)] if record.term == 1));
/// assert!(keeper.on(now, Event::Committed).is_empty());
/// ```
#[derive(Debug)]
pub struct Keeper {
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
    /// Until when earlier managers may send grants.
    earlier_until: Duration,
    /// Until when grants of earlier managers may hold.
    earlier_end: Duration,
    /// Whether the manager before this one knew that those before it had stopped.
    earlier_settled: bool,
    live: IndexMap<Point, Live>,
    targets: IndexMap<TargetId, Target>,
    shunned: IndexMap<Life, Duration>,
    load: Load,
    /// The times that one request takes at targets, in seconds, as measured by those who send.
    times: IndexMap<TargetId, f64>,
    started: Duration,
    balanced: Duration,
    /// When keys were last dealt anew.
    dealt: Duration,
    /// Moves for balance, and until when their keys are left alone.
    moved: Vec<(Move, Duration)>,
    stopped: bool,
}

impl Keeper {
    /// Takes a service over from the manager that wrote `record`.
    ///
    /// The first effect writes the record for the new term; until [`Event::Committed`] nothing is
    /// granted.
    ///
    /// # Example
    ///
    /// See [`Keeper`].
    pub fn take_over(
        manager: &str,
        earlier: Record,
        timing: Timing,
        now: Duration,
    ) -> (Self, Vec<Effect>) {
        let first = earlier.term == 0;
        let earlier_settled = first || earlier.settled;
        let quiet = first || earlier.resigned && earlier.settled;
        let earlier_until = if quiet { now } else { now + timing.horizon };
        let earlier_end = if first {
            now
        } else if quiet {
            now + lasting(timing.hold_alone)
        } else {
            now + timing.horizon
        };
        let record = Record {
            settled: quiet,
            ..successor(earlier, manager)
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
            earlier_until,
            earlier_end,
            earlier_settled,
            live: IndexMap::new(),
            targets: IndexMap::new(),
            shunned: IndexMap::new(),
            load: Load::default(),
            times: IndexMap::new(),
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
    /// See [`Keeper`].
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the term.
    ///
    /// # Example
    ///
    /// See [`Keeper`].
    pub fn term(&self) -> Term {
        let pending = self.pending.as_ref().map(|it| it.record.term);
        pending.unwrap_or(self.record.term)
    }

    /// Sets the times that one request takes at targets, in seconds.
    ///
    /// # Example
    ///
    /// See [`Keeper`].
    pub fn set_times(&mut self, times: IndexMap<TargetId, f64>) {
        self.times = times;
    }

    /// Stops for good and returns the record that tells so, if it can be written now.
    ///
    /// After this no grant leaves; the next manager need not wait for this one.
    ///
    /// # Example
    ///
    /// See [`Keeper`].
    pub fn resign(&mut self, now: Duration) -> Option<Record> {
        self.stopped = true;
        if self.pending.is_some() || self.live.values().any(|live| live.busy) {
            return None;
        }
        let mut record = self.record.clone();
        record.resigned = true;
        record.settled = self.is_settled(now);
        Some(record)
    }

    /// Takes an event and returns what is to be done.
    ///
    /// # Example
    ///
    /// See [`Keeper`].
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Targets(targets) => self.targets(targets),
            Event::Granted(from, ending) => self.granted(now, from, &ending, &mut effects),
            Event::Released(from, ending) => self.released(now, from, ending, &mut effects),
            Event::Committed => self.committed(now),
            Event::CommitFailed => self.retry_commit(now),
            Event::Lease(until) => self.lease = until,
            Event::EarlierStopped => self.earlier_stopped(now),
            Event::Load(counts) => self.load.add(now, counts),
            Event::Closed(address) => self.hurry(now, address),
            Event::Tick => {}
        }
        if !self.stopped {
            self.free_lapsed(now, &mut effects);
            self.empty_leaving(now, &mut effects);
            self.balance(now, &mut effects);
            self.reassign(now, &mut effects);
            self.call(now, &mut effects);
        }
        effects
    }

    /// Takes note that the manager before this one sends nothing any more.
    fn earlier_stopped(&mut self, now: Duration) {
        if !self.earlier_settled {
            return;
        }
        let last = now + LAST_GRANTS;
        self.earlier_until = self.earlier_until.min(last);
        let end = last + lasting(self.timing.hold_alone);
        self.earlier_end = self.earlier_end.min(end);
    }

    /// Returns whether no earlier manager sends grants any more.
    fn is_settled(&self, now: Duration) -> bool {
        now >= self.earlier_until
    }

    fn targets(&mut self, targets: Vec<Target>) {
        let by_id = targets.into_iter().map(|it| (it.id.clone(), it));
        self.targets = by_id.collect();
    }

    fn granted(&mut self, now: Duration, from: Point, ending: &Ending, out: &mut Vec<Effect>) {
        let renew = self.timing.renew;
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        live.busy = false;
        live.due = now + AGAIN;
        if *ending != Ending::Unsent {
            live.unsent = 0;
        }
        match ending {
            Ending::Done(_) => {
                live.confirmed = true;
                live.extend(now);
                live.silences = 0;
                live.handover = None;
                live.due = now + renew;
            }
            Ending::Fenced => {
                self.stopped = true;
                out.push(Effect::Deposed);
            }
            Ending::Gone => self.bury_all(now, from, out),
            Ending::Unsent => live.unsent += 1,
            Ending::Silent => {
                live.extend(now);
                live.silences += 1;
                live.unsent = 0;
                if live.silences >= SILENCES && live.phase == Phase::Held {
                    live.phase = Phase::Releasing(None);
                    out.push(Effect::Note(format!("event=grant-silent from={from}")));
                }
            }
        }
    }

    fn released(&mut self, now: Duration, from: Point, ending: Ending, out: &mut Vec<Effect>) {
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        live.busy = false;
        live.due = now + AGAIN;
        match ending {
            Ending::Done(handover) => {
                let to = match &live.phase {
                    Phase::Releasing(to) => to.clone(),
                    Phase::Held | Phase::Free(_) => None,
                };
                live.phase = Phase::Free(to);
                live.handover = handover;
                live.until = None;
            }
            Ending::Gone => self.bury_all(now, from, out),
            // A release extends no hold; the hold runs out meanwhile.
            Ending::Fenced | Ending::Unsent | Ending::Silent => {}
        }
    }

    /// Makes grants to the owners at an address due at once: their answers tell whether they live.
    ///
    /// Keys of a target that has ended are without an owner for some 0.1 s instead of up to a whole
    /// time between renewals.
    fn hurry(&mut self, now: Duration, address: SocketAddr) {
        for part in &self.record.parts {
            let owned = part.owner.as_ref().is_some_and(|it| it.address == address);
            if let Some(live) = self.live.get_mut(&part.from).filter(|_| owned) {
                live.due = live.due.min(now);
            }
        }
    }

    /// The owner of a range has ended, and with it the hold of each range that it owned.
    fn bury_all(&mut self, now: Duration, from: Point, out: &mut Vec<Effect>) {
        let owner = self.record.find(from).and_then(|part| part.owner.clone());
        let its = self.record.parts.iter().filter(|part| part.owner == owner);
        // What a call is under way for is settled by that call's end.
        let idle = its.filter(|part| {
            let live = self.live.get(&part.from);
            live.is_some_and(|live| !live.busy && !matches!(live.phase, Phase::Free(_)))
        });
        let lost: Vec<Point> = idle.map(|part| part.from).collect();
        for from in lost {
            self.bury(now, from, out);
        }
    }

    /// A range's owner has ended. Its next life could be granted the range by an earlier manager.
    fn bury(&mut self, now: Duration, from: Point, out: &mut Vec<Effect>) {
        if self.is_settled(now) {
            return self.lose(now, from, "its life ended", out);
        }
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        live.confirmed = false;
        live.inherited = true;
        live.until = Some(now);
        if live.phase == Phase::Held {
            live.phase = Phase::Releasing(None);
            out.push(Effect::Note(format!(
                "event=range-waits from={from} cause=\"an earlier manager may still grant\""
            )));
        }
    }

    /// Frees a range whose owner can't hold it any more.
    fn lose(&mut self, now: Duration, from: Point, why: &str, out: &mut Vec<Effect>) {
        let Some(live) = self.live.get_mut(&from) else {
            return;
        };
        let to = match &live.phase {
            Phase::Releasing(to) => to.clone(),
            Phase::Held | Phase::Free(_) => None,
        };
        live.phase = Phase::Free(to);
        live.until = None;
        live.handover = None;
        let owner = self.record.find(from).and_then(|part| part.owner.clone());
        if let Some(owner) = owner {
            out.push(Effect::Note(format!(
                "event=range-lost from={from} owner={} cause=\"{why}\"",
                owner.id
            )));
            self.shunned.insert(owner, now + SHUN);
        }
    }

    fn retry_commit(&mut self, now: Duration) {
        self.commit_due = Some(now + self.commit_pause);
        self.commit_pause = (self.commit_pause * 2).min(COMMIT_PAUSE_MOST);
    }

    fn committed(&mut self, now: Duration) {
        self.commit_due = None;
        self.commit_pause = AGAIN;
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.takeover {
            self.record = pending.record;
            // The earlier manager may have been alone just now.
            let alone = now + lasting(self.timing.hold_alone);
            let until = alone.min(self.earlier_end);
            let live = self.record.parts.iter().map(|part| {
                let live = match part.owner {
                    Some(_) => Live {
                        inherited: true,
                        ..Live::held(now, Some(until), None)
                    },
                    None => Live::free(),
                };
                (part.from, live)
            });
            self.live = live.collect();
            return;
        }
        self.record.settled = pending.record.settled;
        for it in &pending.moves {
            self.settle(now, it, pending.fence);
        }
        join(&mut self.record, &mut self.live);
    }

    /// Makes a move of a commit that has taken effect live.
    fn settle(&mut self, now: Duration, it: &Move, fence: Fence) {
        let origin = self.record.find(it.from).map_or(it.from, |part| part.from);
        let handover = self
            .live
            .get(&origin)
            .and_then(|live| live.handover.clone());
        assign(&mut self.record, it, fence);
        for part in &self.record.parts {
            if !self.live.contains_key(&part.from) {
                let rest = self.live.get(&origin).cloned().unwrap_or_else(Live::free);
                self.live.insert(part.from, rest);
            }
        }
        self.live.insert(it.from, Live::held(now, None, handover));
    }

    /// Returns when a range's last grant has run out for certain.
    fn lapse(&self, live: &Live) -> Option<Duration> {
        let until = live.until?;
        if live.confirmed || !live.inherited {
            return Some(until);
        }
        Some(until.max(self.earlier_end))
    }

    fn free_lapsed(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let lapsed: Vec<Point> = self
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

    /// Asks owners that leave, or that are no longer announced, to let go.
    fn empty_leaving(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for part in &self.record.parts {
            let Some(live) = self.live.get_mut(&part.from) else {
                continue;
            };
            let Some(owner) = &part.owner else {
                continue;
            };
            if live.phase != Phase::Held || live.busy {
                continue;
            }
            let target = self.targets.get(&owner.id);
            let stays = target.is_some_and(|it| owner.is(it) && !it.leaving);
            if !stays {
                live.phase = Phase::Releasing(None);
                live.due = now;
                out.push(Effect::Note(format!(
                    "event=release-begun from={} to={} owner={} announced={}",
                    part.from,
                    part.to,
                    owner.id,
                    target.is_some()
                )));
            }
        }
    }

    /// Returns the targets that may own keys.
    fn holders(&self, now: Duration) -> Vec<Holder> {
        let usual = median(self.times.values().copied().collect()).unwrap_or(USUAL_TIME);
        let ready = self.targets.values().filter(|it| !it.leaving);
        let holders = ready.map(|it| {
            let time = self.times.get(&it.id).copied().unwrap_or(usual);
            let cold = if it.cold.is_zero() { 1.0 } else { COLD_POWER };
            Holder {
                life: Life::of(it),
                power: it.slots.max(1) as f64 / time * cold,
            }
        });
        let shunned = |it: &Holder| self.shunned.get(&it.life).is_some_and(|until| now < *until);
        let (bad, good): (Vec<_>, Vec<_>) = holders.partition(shunned);
        if good.is_empty() { bad } else { good }
    }

    fn balance(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let calm = self.live.values().all(|live| live.phase == Phase::Held);
        let rested = now >= self.balanced + BALANCE_PAUSE;
        if !calm || !rested || self.pending.is_some() {
            return;
        }
        self.balanced = now;
        let holders = self.holders(now);
        self.moved.retain(|(_, until)| now < *until);
        if now >= self.dealt + DEAL_PAUSE {
            let moves = deal::anew(&self.record, &holders, &self.load);
            if !moves.is_empty() {
                self.dealt = now;
                out.push(Effect::Note(format!(
                    "event=dealt-anew moves={}",
                    moves.len()
                )));
                for it in moves {
                    self.begin(now, it, Duration::ZERO, out);
                }
                return;
            }
        }
        let resting: Vec<Move> = self.moved.iter().map(|(it, _)| it.clone()).collect();
        for it in balance::even(&self.record, &holders, &self.load, &resting) {
            self.begin(now, it, REST, out);
        }
    }

    /// Begins a move: cuts the range out and asks its owner to let go.
    fn begin(&mut self, now: Duration, it: Move, rest: Duration, out: &mut Vec<Effect>) {
        let Some(from) = self.record.find(it.from).map(|part| part.from) else {
            return;
        };
        let within = self
            .record
            .find(it.to)
            .is_some_and(|part| part.from == from);
        let idle = self.live.get(&from).is_some_and(|live| !live.busy);
        if !within || !idle {
            return;
        }
        let whole = self.live[&from].clone();
        self.record.cut(it.from, it.to);
        for part in &self.record.parts {
            self.live.entry(part.from).or_insert_with(|| whole.clone());
        }
        out.push(Effect::Note(format!(
            "event=move-begun from={} to={} owner={} load={:.1}",
            it.from,
            it.to,
            it.owner.id,
            self.load.sum(it.from, it.to)
        )));
        self.moved.push((it.clone(), now + rest));
        if let Some(live) = self.live.get_mut(&it.from) {
            live.phase = Phase::Releasing(Some(it.owner));
            live.due = now;
        }
    }

    /// Writes owners for ranges that nobody holds.
    fn reassign(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if let Some(due) = self.commit_due {
            if let Some(pending) = self.pending.as_ref().filter(|_| now >= due) {
                out.push(Effect::Commit(pending.record.clone()));
                self.commit_due = None;
            }
            return;
        }
        let first = self.record.parts.iter().all(|part| part.owner.is_none());
        let gathering = first && now < self.started + GATHER;
        if self.pending.is_some() || gathering {
            return;
        }
        if !first && !self.record.settled && self.is_settled(now) {
            let next = self.next(now, Vec::new());
            out.push(Effect::Commit(next.record.clone()));
            self.pending = Some(next);
            return;
        }
        let is_free = |part: &&Part| self.live.get(&part.from).is_some_and(Live::is_free);
        let free: Vec<Part> = self.record.parts.iter().filter(is_free).cloned().collect();
        let holders = self.holders(now);
        if free.is_empty() || holders.is_empty() {
            return;
        }
        let mut moves = Vec::new();
        let mut open = Vec::new();
        for part in free {
            match self.intended(&part, &holders) {
                Some(owner) => moves.push(Move {
                    from: part.from,
                    to: part.to,
                    owner,
                }),
                None => open.push(part),
            }
        }
        moves.extend(balance::assign(&self.record, &open, &holders, &self.load));
        let next = self.next(now, moves);
        out.push(Effect::Commit(next.record.clone()));
        self.pending = Some(next);
    }

    fn intended(&self, part: &Part, holders: &[Holder]) -> Option<Life> {
        let Phase::Free(Some(life)) = &self.live.get(&part.from)?.phase else {
            return None;
        };
        let known = holders.iter().any(|it| it.life == *life);
        known.then(|| life.clone())
    }

    /// Builds the record after some moves.
    fn next(&mut self, now: Duration, moves: Vec<Move>) -> Pending {
        // The counter moves here too, so that no fence is given out twice.
        let fence = self.record.next_fence();
        let mut record = self.record.clone();
        record.settled = self.is_settled(now);
        for it in &moves {
            assign(&mut record, it, fence);
        }
        Pending {
            record,
            fence,
            moves,
            takeover: false,
        }
    }

    /// Returns how long a grant that is sent now is to hold; none if it may not be sent.
    ///
    /// Without the store nobody can replace the manager, and when it goes too, keys are served only
    /// until their holds run out: so these are longer then.
    fn hold(&self, now: Duration) -> Option<Duration> {
        if now + ALONE < self.lease {
            return Some(self.timing.hold);
        }
        let end = self.lease + self.timing.horizon;
        let left = end.saturating_sub(now + LAST_GRANTS);
        let hold = shrunk(left).min(self.timing.hold_alone);
        (hold >= HOLD_LEAST).then_some(hold)
    }

    /// Sends what is due: renewals of what is held, releases of what is to be let go.
    fn call(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let hold = self.hold(now);
        for part in &self.record.parts {
            let (Some(live), Some(owner)) = (self.live.get_mut(&part.from), &part.owner) else {
                continue;
            };
            if live.busy || now < live.due {
                continue;
            }
            let order = |fence, hold, handover| Order {
                owner: owner.clone(),
                from: part.from,
                to: part.to,
                fence,
                hold,
                handover,
            };
            match (&live.phase, hold) {
                (Phase::Held, Some(hold)) => {
                    live.busy = true;
                    live.hold = hold;
                    let order = order(part.fence, hold, live.handover.clone());
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

/// Gives a range of a record to another owner.
fn assign(record: &mut Record, it: &Move, fence: Fence) {
    record.cut(it.from, it.to);
    if let Some(part) = record.parts.iter_mut().find(|part| part.from == it.from) {
        part.fence = fence;
        part.owner = Some(it.owner.clone());
    }
}

/// The middle of some values.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The record of the term after `earlier`: the same owners, every fence raised.
fn successor(earlier: Record, manager: &str) -> Record {
    let mut record = Record {
        term: earlier.term + 1,
        manager: manager.to_owned(),
        resigned: false,
        counter: 0,
        parts: earlier.parts,
        settled: false,
    };
    let fence = record.next_fence();
    let mut parts: Vec<Part> = Vec::new();
    for mut part in record.parts {
        part.fence = fence;
        match parts.last_mut() {
            Some(last) if last.owner == part.owner => last.to = part.to,
            _ => parts.push(part),
        }
    }
    Record { parts, ..record }
}

/// Joins neighbours that are alike in owner and fence and that nothing is under way for.
fn join(record: &mut Record, live: &mut IndexMap<Point, Live>) {
    let calm = |live: Option<&Live>| live.is_some_and(|it| it.phase == Phase::Held && !it.busy);
    let mut parts: Vec<Part> = Vec::new();
    for part in record.parts.drain(..) {
        let alike = parts.last().is_some_and(|last| {
            let same = last.owner == part.owner && last.fence == part.fence;
            let fresh = live.get(&last.from).is_some_and(|it| it.handover.is_none())
                && live.get(&part.from).is_some_and(|it| it.handover.is_none());
            same && fresh && calm(live.get(&last.from)) && calm(live.get(&part.from))
        });
        if let Some(last) = parts.last_mut().filter(|_| alike) {
            last.to = part.to;
            let gone = live.shift_remove(&part.from);
            if let (Some(kept), Some(gone)) = (live.get_mut(&last.from), gone) {
                kept.until = kept.until.max(gone.until);
                kept.confirmed &= gone.confirmed;
                kept.due = kept.due.min(gone.due);
            }
        } else {
            parts.push(part);
        }
    }
    record.parts = parts;
}
