//! What a grantor knows of one target: whether it is heard, and who has stopped it.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    grant::TargetState,
    grantor::message::Stop,
    group,
    id::{TargetId, Term, Version, VmId},
};

/// One target under one term, as one grantor sees it.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    /// The term.
    pub term: Term,
    /// The serial of the write that named the grantor.
    pub since: Term,
    /// The newest record known when the watch began; stops told by an older one are void.
    pub version: Version,
    /// When the watch began.
    pub started: Duration,
    /// When the start that the record names was last heard.
    pub last_answer: Option<Duration>,
    /// Since when it has been heard without a break.
    pub steady_since: Option<Duration>,
    /// When any start of it was last heard, and what it said.
    pub state: Option<(Duration, TargetState)>,
    /// When it was last asked.
    pub last_request: Option<Duration>,
    /// The own stop.
    pub own_stop: Option<OwnStop>,
    /// The stops of the others, and when they were heard of.
    pub other_stops: IndexMap<VmId, (Duration, Stop)>,
    /// Stops below these were withdrawn.
    pub withdrawn: IndexMap<VmId, (Term, u64)>,
    /// Whether the release was decided; for good.
    pub released: bool,
}

/// An own stop.
#[derive(Clone, Debug)]
pub(super) struct OwnStop {
    /// When it began.
    pub started: Duration,
    /// Its number; 0 for the stop with which a grantor starts.
    pub sequence: u64,
    /// Who may have heard of it and hasn't erased it.
    pub recipients: IndexSet<VmId>,
    /// Who has erased it, whether they had no stop themselves, and by which record they answered.
    pub erased_by: IndexMap<VmId, (bool, Version)>,
    /// Whether it goes back to the stop with which a grantor starts.
    pub initial: bool,
    /// When the others were last asked to erase it.
    pub withdraw_sent: Option<Duration>,
}

impl Watch {
    /// Begins to watch.
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

    /// Notes an answer, and whether it came from the start that the record names.
    pub fn on_state(&mut self, now: Duration, state: TargetState, named: bool, gap: Duration) {
        if named {
            let recent = self.last_answer.is_some_and(|last| now < last + gap);
            if !recent || self.steady_since.is_none() {
                self.steady_since = Some(now);
            }
            self.last_answer = Some(now);
        }
        self.state = Some((now, state));
    }

    /// Returns whether the named start was heard within the span.
    pub fn is_responsive(&self, now: Duration, span: Duration) -> bool {
        self.last_answer.is_some_and(|last| now < last + span)
    }

    /// Returns what the target said last, if it said it within the span.
    pub fn recent_state(&self, now: Duration, span: Duration) -> Option<&TargetState> {
        let (at, state) = self.state.as_ref()?;
        (now < *at + span).then_some(state)
    }

    /// Takes another's stop, unless it was withdrawn or a newer one is known.
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

    /// Erases another's stop, and whatever of it may still be on its way.
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

    /// Returns the number below which another's stops are withdrawn.
    pub fn withdrawn_below(&self, from: &VmId) -> (Term, u64) {
        self.withdrawn.get(from).copied().unwrap_or((0, 0))
    }

    /// Stops the target, for good until this is withdrawn.
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

    /// Returns whether the own stop can only be withdrawn while some fellow has none.
    ///
    /// A grantor that was told of it and then struck can't be asked. It could only have acted on
    /// the stops of its whole trio. The same goes for the one that a new grantor replaced.
    pub fn needs_unstopped_peer(&self, others: &[group::Grantor]) -> bool {
        let named = |vm: &VmId| others.iter().any(|other| other.vm == *vm);
        let replaced = |own: &OwnStop| own.recipients.iter().any(|vm| !named(vm));
        self.own_stop
            .as_ref()
            .is_some_and(|own| own.initial || replaced(own))
    }

    /// Returns the own stop as it is told to others, unless it is being withdrawn.
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
