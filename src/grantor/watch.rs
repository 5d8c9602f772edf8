//! A grantor's state for one target: whether it answers, and which grantors have stopped it.
//!
//! A stop is a grantor's promise not to renew the target's grant until the stop is withdrawn.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    grant::TargetState,
    grantor::message::Stop,
    group,
    id::{TargetId, Term, Version, VmId},
};

/// A grantor's state for one target under one term.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    /// The term.
    pub term: Term,
    /// The serial of the write that named the grantor.
    pub since: Term,
    /// The newest record known when the watch began; stops sent with an older one are ignored.
    pub version: Version,
    /// When the watch began.
    pub started: Duration,
    /// When the incarnation that the record names last answered.
    pub last_answer: Option<Duration>,
    /// Since when that incarnation has answered without a break.
    pub steady_since: Option<Duration>,
    /// The last answer of any incarnation, and when it was received.
    pub state: Option<(Duration, TargetState)>,
    /// When the last grant or probe was sent.
    pub last_request: Option<Duration>,
    /// This grantor's own stop.
    pub own_stop: Option<OwnStop>,
    /// The stops of the other grantors, and when they were received.
    pub other_stops: IndexMap<VmId, (Duration, Stop)>,
    /// For each other grantor, the number below which its stops were withdrawn.
    pub withdrawn: IndexMap<VmId, (Term, u64)>,
    /// Whether the target was released; never reset.
    pub released: bool,
}

/// A stop of this grantor.
#[derive(Clone, Debug)]
pub(super) struct OwnStop {
    /// When it began.
    pub started: Duration,
    /// Its number; 0 for the initial stop of a new grantor.
    pub sequence: u64,
    /// The VMs that may have received it and have not erased it.
    pub recipients: IndexSet<VmId>,
    /// The VMs that have erased it, with whether they had no stop themselves and the record version
    /// of the withdrawal.
    pub erased_by: IndexMap<VmId, (bool, Version)>,
    /// Whether it continues the initial stop of a new grantor.
    pub initial: bool,
    /// When the other grantors were last asked to erase it.
    pub withdraw_sent: Option<Duration>,
}

impl Watch {
    /// Creates the state for a target, without answers or stops.
    pub fn new(term: Term, since: Term, version: Version, now: Duration) -> Self {
        Self {
            term,
            since,
            version,
            started: now,
            last_answer: None,
            steady_since: None,
            state: None,
            last_request: None,
            own_stop: None,
            other_stops: IndexMap::new(),
            withdrawn: IndexMap::new(),
            released: false,
        }
    }

    /// Stores an answer; `is_current` says whether it came from the incarnation that the record names.
    pub fn on_state(
        &mut self,
        now: Duration,
        state: TargetState,
        is_current: bool,
        span: Duration,
    ) {
        if is_current {
            let recent = self.last_answer.is_some_and(|last| now < last + span);
            if !recent || self.steady_since.is_none() {
                self.steady_since = Some(now);
            }
            self.last_answer = Some(now);
        }
        self.state = Some((now, state));
    }

    /// Returns whether the incarnation that the record names answered within the span.
    pub fn is_responsive(&self, now: Duration, span: Duration) -> bool {
        self.last_answer.is_some_and(|last| now < last + span)
    }

    /// Returns the last state that the target reported, if it was received within the span.
    pub fn recent_state(&self, now: Duration, span: Duration) -> Option<&TargetState> {
        let (at, state) = self.state.as_ref()?;
        (now < *at + span).then_some(state)
    }

    /// Stores another grantor's stop, unless it was withdrawn or a newer one is known.
    pub fn on_stop(&mut self, now: Duration, from: &VmId, stop: Stop) {
        let number = (stop.since, stop.sequence);
        let stale = stop.term != self.term || stop.version < self.version;
        if stale || self.withdrawn_below(from) > number {
            return;
        }
        let known = self.other_stops.get(from);
        if known.is_none_or(|(_, known)| (known.since, known.sequence) < number) {
            self.other_stops.insert(from.clone(), (now, stop));
        }
    }

    /// Erases another grantor's stop, and ignores copies of it that arrive later.
    pub fn erase(&mut self, from: &VmId, stop: &Stop) {
        let number = (stop.since, stop.sequence);
        let known = self.other_stops.get(from);
        if known.is_some_and(|(_, known)| (known.since, known.sequence) <= number) {
            self.other_stops.shift_remove(from);
        }
        let below = self
            .withdrawn_below(from)
            .max((stop.since, stop.sequence + 1));
        self.withdrawn.insert(from.clone(), below);
    }

    /// Returns the number below which another grantor's stops are withdrawn.
    pub fn withdrawn_below(&self, from: &VmId) -> (Term, u64) {
        self.withdrawn.get(from).copied().unwrap_or((0, 0))
    }

    /// Stops the target until the stop is withdrawn.
    pub fn stop(&mut self, now: Duration, sequence: u64) {
        let before = self.own_stop.take();
        let initial = sequence == 0 || before.as_ref().is_some_and(|own| own.initial);
        self.own_stop = Some(OwnStop {
            started: now,
            sequence,
            recipients: before.map(|own| own.recipients).unwrap_or_default(),
            initial,
            erased_by: IndexMap::new(),
            withdraw_sent: None,
        });
        self.steady_since = None;
    }

    /// Returns whether the own stop can be withdrawn only while some other grantor has none.
    ///
    /// A grantor that received the stop and was then replaced can't be asked to erase it. It could
    /// have released the target only on the stops of all grantors of the domain, so one grantor
    /// without a stop shows that it didn't. The same holds for the grantor that a new one replaced.
    pub fn needs_unstopped_peer(&self, others: &[group::Grantor]) -> bool {
        let named = |vm: &VmId| others.iter().any(|other| other.vm == *vm);
        let replaced = |own: &OwnStop| own.recipients.iter().any(|vm| !named(vm));
        self.own_stop
            .as_ref()
            .is_some_and(|own| own.initial || replaced(own))
    }

    /// Returns the own stop as a message for another grantor, unless it is being withdrawn.
    pub fn announce_stop(
        &mut self,
        target: &TargetId,
        version: Version,
        to: &VmId,
    ) -> Option<Stop> {
        let (term, since) = (self.term, self.since);
        let own = self
            .own_stop
            .as_mut()
            .filter(|own| own.erased_by.is_empty())?;
        own.recipients.insert(to.clone());
        Some(Stop {
            target: target.clone(),
            term,
            since,
            sequence: own.sequence,
            version,
        })
    }
}
