//! State machine of a grantor: the role of one VM that issues grants to the targets of one group.
//!
//! A grantor renews the grants of its targets, stops renewing targets that don't answer, releases
//! them, hands their ranges to successors, and writes changes of the group record. The rules are
//! on the design page, section "Ownership".
//!
//! The state machine does no I/O: [`Grantor::on`] takes an event and returns the effects to carry
//! out. Safety doesn't depend on the order or timing of events, only on clocks that run at nearly
//! the same rate.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    balance::Load,
    document::Document,
    group::{self, Record, build::Candidate, merge},
    handover::{Handover, Handovers},
    id::{DomainId, Epoch, GroupId, TargetId, Term, Version, VmId},
    range::Range,
};

pub mod event;
#[doc(hidden)]
pub mod flaw;
pub mod message;
mod peers;
mod record_writes;
mod release;
mod routes;
mod targets;
pub mod timing;
mod watch;

pub use event::{Effect, Event, Kind, Note, Outcome};
pub use message::{Leased, Message, Stop};
pub use routes::Route;
pub use timing::Timing;

use flaw::Flaw;
use watch::Watch;

/// The most handovers kept that the record doesn't include yet.
const MAX_HANDOVERS: usize = 16_384;

/// The state of one VM as a grantor of one group.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::grantor::{Event, Grantor, Timing};
///
/// let mut grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
/// assert!(grantor.on(Duration::ZERO, Event::Tick).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Grantor {
    vm: VmId,
    group: GroupId,
    timing: Timing,
    flaw: Flaw,
    /// The newest record known.
    record: Option<(Version, Record)>,
    /// The record with the pending handovers applied.
    view: Record,
    /// Handovers that the record doesn't include yet.
    pending_handovers: Handovers,
    /// When the pending handovers were last sent to all VMs.
    last_spread: Duration,
    /// Expiry of each received permission, by issuing VM and failure domain.
    permissions: IndexMap<(VmId, DomainId), Duration>,
    /// Until when this VM may grant to a failure domain's targets because a read of its own found
    /// itself named in the record.
    reads: IndexMap<DomainId, Duration>,
    peers: IndexMap<VmId, Peer>,
    /// The base version of the last change of each failure domain's grantors, and since when all
    /// grantors that it names are known to have the changed record.
    known_changes: IndexMap<DomainId, (Version, Option<Duration>)>,
    /// When each other VM last answered a permission request; only VMs that answered recently are
    /// named in place of an unresponsive grantor.
    answers: IndexMap<VmId, Duration>,
    /// Until when this VM doesn't name a replaced grantor again.
    excluded: IndexMap<VmId, Duration>,
    watches: IndexMap<TargetId, Watch>,
    /// Planned moves of ranges whose owners don't check grants.
    unchecked_moves: IndexMap<(Range, Epoch), UncheckedMove>,
    pending: Option<Pending>,
    document: Option<(Version, Document)>,
    live: Vec<Candidate>,
    gone: IndexSet<VmId>,
    loads: Vec<Load>,
    /// Since when the record needs a write.
    write_wanted: Option<Duration>,
    /// The earliest time for the next rebalancing move.
    balance_from: Duration,
    /// Sequence number of this VM's last write or stop.
    sequence: u64,
    last_request: Duration,
    /// When the record was last read.
    last_read: Duration,
    record_checked: Duration,
    retired: bool,
    /// Targets whose VMs were ever listed as leaving; a VM that is leaving never returns to service.
    leaving: IndexSet<TargetId>,
}

/// The known state of another grantor.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When a message of it was last received.
    last_received: Duration,
    /// The newest record version that it is known to have.
    version: Version,
    /// When a record was last sent to it.
    record_sent: Option<Duration>,
}

/// A write of this VM whose outcome isn't known yet.
#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    base: Version,
    record: Record,
    sent: Duration,
    /// The owners whose ranges, epochs or successors it changes.
    changed_owners: IndexSet<TargetId>,
}

/// A planned move of a range whose owner doesn't check grants.
#[derive(Clone, Copy, Debug)]
struct UncheckedMove {
    version: Version,
    known_since: Option<Duration>,
}

impl Grantor {
    /// Creates the grantor of one VM for one group, without a record.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grantor::{Grantor, Timing};
    ///
    /// let grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
    /// assert!(grantor.record().is_none());
    /// ```
    pub fn new(vm: VmId, group: GroupId, timing: Timing) -> Self {
        Self {
            vm,
            group,
            timing,
            flaw: Flaw::None,
            record: None,
            view: Record::default(),
            pending_handovers: Handovers::new(),
            last_spread: Duration::ZERO,
            permissions: IndexMap::new(),
            reads: IndexMap::new(),
            peers: IndexMap::new(),
            known_changes: IndexMap::new(),
            answers: IndexMap::new(),
            excluded: IndexMap::new(),
            watches: IndexMap::new(),
            unchecked_moves: IndexMap::new(),
            pending: None,
            document: None,
            live: Vec::new(),
            gone: IndexSet::new(),
            loads: Vec::new(),
            write_wanted: None,
            balance_from: Duration::ZERO,
            sequence: 0,
            last_request: Duration::ZERO,
            last_read: Duration::ZERO,
            record_checked: Duration::ZERO,
            retired: false,
            leaving: IndexSet::new(),
        }
    }

    /// Disables a safety rule, for tests that show which fault the rule prevents.
    #[doc(hidden)]
    #[must_use]
    pub fn with_flaw(mut self, flaw: Flaw) -> Self {
        self.flaw = flaw;
        self
    }

    /// Handles an event and returns the effects to carry out, in order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::grantor::{Event, Grantor, Timing};
    ///
    /// let mut grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
    /// let event = Event::VmsGone { vms: vec!["vm-2#1".into()] };
    /// assert!(grantor.on(Duration::from_millis(500), event).is_empty());
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Record { version, record } => self.on_record(now, version, record, &mut effects),
            Event::Read {
                asked,
                version,
                record,
            } => self.on_read(now, asked, version, record, &mut effects),
            Event::TargetAnswered { target, state, .. } => {
                self.on_target(now, &target, state, &mut effects);
            }
            Event::TargetFailed { .. } => {}
            Event::Peer { from, message } => self.on_peer(now, &from, message, &mut effects),
            Event::Written { sequence, result } => {
                self.on_written(now, sequence, result, &mut effects);
            }
            Event::VmsGone { vms } => self.gone = vms.into_iter().collect(),
            Event::LiveVms { vms } => self.live = vms,
            Event::Document { version, document } => {
                let newer = self
                    .document
                    .as_ref()
                    .is_none_or(|(known, _)| *known < version);
                if newer && document.service == self.service() {
                    self.document = Some((version, document));
                }
            }
            Event::Load { loads } => self.loads = loads,
            Event::Leaving { targets } => self.leaving.extend(targets),
            Event::Retire => self.retire(&mut effects),
        }
        effects
    }

    /// Returns the newest record known, with its version.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grantor::{Grantor, Timing};
    ///
    /// let grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
    /// assert!(grantor.record().is_none());
    /// ```
    pub fn record(&self) -> Option<(Version, &Record)> {
        let (version, record) = self.record.as_ref()?;
        Some((*version, record))
    }

    /// Returns the handovers that the record doesn't include yet.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grantor::{Grantor, Timing};
    ///
    /// let grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
    /// assert_eq!(grantor.handovers().count(), 0);
    /// ```
    pub fn handovers(&self) -> impl Iterator<Item = &Handover> {
        self.pending_handovers.values()
    }

    /// Returns whether the newest record names this VM as a grantor.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::grantor::{Grantor, Timing};
    ///
    /// let grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
    /// assert!(!grantor.is_named());
    /// ```
    pub fn is_named(&self) -> bool {
        self.domains().next().is_some()
    }

    fn service(&self) -> &str {
        let name = self.group.rsplit_once('/');
        name.map_or(self.group.as_str(), |(service, _)| service)
    }

    fn version(&self) -> Version {
        self.record.as_ref().map_or(0, |(version, _)| *version)
    }

    /// Returns the failure domains that this VM grants to.
    fn domains(&self) -> impl Iterator<Item = &DomainId> {
        let named =
            |grantors: &Vec<group::Grantor>| grantors.iter().any(|grantor| grantor.vm == self.vm);
        self.view
            .grantors
            .iter()
            .filter(move |(_, grantors)| named(grantors))
            .map(|(domain, _)| domain)
    }

    fn grantors(&self, domain: &str) -> &[group::Grantor] {
        self.view.grantors.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns this VM's entry among the grantors of a failure domain.
    fn own_grantor(&self, domain: &str) -> Option<&group::Grantor> {
        self.grantors(domain)
            .iter()
            .find(|grantor| grantor.vm == self.vm)
    }

    /// Returns the other grantors of a failure domain's targets.
    fn other_grantors(&self, domain: &str) -> Vec<group::Grantor> {
        let others = self
            .grantors(domain)
            .iter()
            .filter(|grantor| grantor.vm != self.vm);
        others.cloned().collect()
    }

    /// Returns the failure domain of a target.
    fn target_domain(&self, target: &str) -> Option<DomainId> {
        let member = self.view.members.get(target)?;
        Some(member.domain.clone())
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.tick_peers(now, effects);
        self.tick_targets(now, effects);
        self.tick_record(now, effects);
        self.spread_handovers(now, effects);
    }

    /// Takes over a record if it is newer than the known one.
    fn on_record(
        &mut self,
        now: Duration,
        version: Version,
        record: Record,
        effects: &mut Vec<Effect>,
    ) {
        if version <= self.version() || record.group != self.group {
            return;
        }
        self.resolve_pending(version, &record, effects);
        self.note_grantor_changes(now, &record);
        self.pending_handovers
            .retain(|_, handover| !merge::includes(&record, handover));
        let moving = record.ranges.iter().filter(|entry| entry.moving);
        let owners: IndexSet<TargetId> = moving.map(|entry| entry.chain[0].clone()).collect();
        self.record = Some((version, record));
        self.rebuild_view(now);
        self.renew_next_tick(&owners);
        self.note_known_changes(now);
        self.derive_handovers(now, effects);
    }

    /// Reacts to a record that changes the grantors of a failure domain.
    ///
    /// The next tick sends this VM's stops to the other grantors at once. A grantor that the record
    /// removes isn't named again for a while, since the membership may still list it as live.
    fn note_grantor_changes(&mut self, now: Duration, record: &Record) {
        if self.view.grantors == record.grantors {
            return;
        }
        self.last_request = Duration::ZERO;
        for (domain, grantors) in &self.view.grantors {
            let stays = |vm: &VmId| {
                let named = record.grantors.get(domain).into_iter().flatten();
                named.into_iter().any(|grantor| grantor.vm == *vm)
            };
            for removed in grantors.iter().filter(|grantor| !stays(&grantor.vm)) {
                let until = now + self.timing.exclusion;
                self.excluded.insert(removed.vm.clone(), until);
            }
        }
    }

    /// Adds a handover to the pending ones; returns whether it is new.
    fn add_handover(&mut self, now: Duration, handover: Handover) -> bool {
        let key = (handover.range, handover.epoch);
        let known = self.pending_handovers.contains_key(&key)
            || self.pending_handovers.len() >= MAX_HANDOVERS;
        let recorded = self
            .record
            .as_ref()
            .is_some_and(|(_, record)| merge::includes(record, &handover));
        if known || recorded || handover.group != self.group {
            return false;
        }
        let owner = handover.chain.first().map(|heir| heir.target.clone());
        self.pending_handovers.insert(key, handover);
        self.rebuild_view(now);
        self.renew_next_tick(owner.as_ref());
        true
    }

    /// Schedules a renewal of these targets for the next tick, since their ranges have changed.
    fn renew_next_tick<'a, I>(&mut self, targets: I)
    where
        I: IntoIterator<Item = &'a TargetId>,
    {
        for target in targets {
            if let Some(watch) = self.watches.get_mut(target) {
                watch.last_request = None;
            }
        }
    }

    /// Recomputes the view, the watches and the unchecked moves.
    fn rebuild_view(&mut self, now: Duration) {
        if let Some((_, record)) = &self.record {
            let view = merge::view(record, &self.pending_handovers);
            if view.ranges != self.view.ranges || view.members != self.view.members {
                self.balance_from = now + record_writes::BALANCE_DELAY;
            }
            self.view = view;
        }
        self.refresh_watches(now);
        self.refresh_unchecked_moves();
    }

    /// Sends the handovers that the record doesn't include to all VMs again, once per grant duration.
    fn spread_handovers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if now < self.last_spread + self.timing.grant {
            return;
        }
        self.last_spread = now;
        effects.extend(
            self.pending_handovers
                .values()
                .cloned()
                .map(Effect::Handover),
        );
    }

    /// Stops issuing grants and permissions; those already issued stay valid until they expire.
    fn retire(&mut self, effects: &mut Vec<Effect>) {
        if !self.retired {
            self.retired = true;
            effects.push(note(Kind::Retire, &self.vm, String::new()));
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

/// Builds an effect that puts an event on the timeline.
fn note(kind: Kind, subject: &str, detail: String) -> Effect {
    Effect::Note(Note {
        kind,
        subject: subject.to_owned(),
        detail,
    })
}

/// Returns whether a grantor that was named at `since` starts with a stop for a target of this
/// term.
fn starts_stopped(term: Term, since: Term) -> bool {
    term < since
}
