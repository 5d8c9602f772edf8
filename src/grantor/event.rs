//! Events that a grantor handles, and the effects that it returns.

use std::time::Duration;

use crate::{
    balance::Load,
    document::Document,
    grant::{Grant, TargetState},
    grantor::message::Message,
    group::{Record, build::Candidate},
    handover::Handover,
    id::{TargetId, Version, VmId},
};

/// An event for a grantor.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform lists the VMs of these targets as leaving.
    Leaving {
        /// The targets.
        targets: Vec<TargetId>,
    },
    /// A timer tick; several times a second.
    Tick,
    /// A record of the group was received, from any source.
    Record {
        /// Its version.
        version: Version,
        /// The record.
        record: Record,
    },
    /// A read of this VM from the platform's service returned the record; if the record names
    /// this VM, it may issue grants for as long as a permission lasts from when the read was sent.
    Read {
        /// When the read was sent.
        asked: Duration,
        /// The record's version.
        version: Version,
        /// The record.
        record: Record,
    },
    /// A target answered.
    TargetAnswered {
        /// The target.
        target: TargetId,
        /// When the request was sent.
        asked: Duration,
        /// Its answer.
        state: TargetState,
    },
    /// A target did not answer.
    TargetFailed {
        /// The target.
        target: TargetId,
        /// When the request was sent.
        asked: Duration,
    },
    /// A message of another VM arrived.
    Peer {
        /// The VM.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// A write of this VM ended.
    Written {
        /// The sequence number of the write.
        sequence: u64,
        /// Its outcome.
        result: Outcome,
    },
    /// The platform's list shows that VMs are gone for good.
    VmsGone {
        /// These VMs.
        vms: Vec<VmId>,
    },
    /// The VMs that are live and may be named as grantors.
    LiveVms {
        /// These VMs.
        vms: Vec<Candidate>,
    },
    /// A document came into force.
    Document {
        /// Its version.
        version: Version,
        /// The document.
        document: Document,
    },
    /// Recent load as measured by the senders.
    Load {
        /// Requests a second, by range.
        loads: Vec<Load>,
    },
    /// The VM stops: it issues no more grants, and names another grantor in its place.
    Retire,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect and created this version.
    Committed(Version),
    /// Another write came first; the value has this version.
    Conflict(Version),
    /// The answer was lost: the write may have taken effect, or may still do so.
    Unknown,
}

/// An action that the grantor wants its VM to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a grant; the answer arrives as [`Event::TargetAnswered`].
    Grant {
        /// The target.
        target: TargetId,
        /// Its address.
        address: String,
        /// The grant.
        grant: Grant,
    },
    /// Read a target's state; the answer arrives as [`Event::TargetAnswered`].
    Probe {
        /// The target.
        target: TargetId,
        /// Its address.
        address: String,
    },
    /// Send a message to a VM.
    Send {
        /// The VM.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Write the record by compare-and-swap; the outcome arrives as [`Event::Written`].
    Write {
        /// The version that it replaces; 0 if there is no record yet.
        base: Version,
        /// The sequence number of the write.
        sequence: u64,
        /// The record.
        record: Box<Record>,
    },
    /// Read the record from the platform's service; the result arrives as [`Event::Read`].
    Read {
        /// When it is sent; returned with the result.
        asked: Duration,
    },
    /// Send a handover to all VMs.
    Handover(Handover),
    /// Put an event on the timeline.
    Note(Note),
}

/// An event for the operators' timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The kind of event.
    pub kind: Kind,
    /// The target, VM or range that it is about.
    pub subject: String,
    /// Further details, as `key=value` pairs.
    pub detail: String,
}

/// The kind of a timeline event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// This grantor stopped renewing a target.
    Stop,
    /// This grantor renews a target again.
    Resume,
    /// All grants of the target have expired; its ranges go to their successors.
    Release,
    /// A range has a new owner.
    Handover,
    /// This grantor sends a write that replaces another grantor.
    Replacement,
    /// A write of the record ended.
    Write,
    /// This grantor issues no more grants.
    Retire,
}
