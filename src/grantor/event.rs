//! What reaches a grantor, and what it wants done.

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

/// What reaches a grantor.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform's list says that the VMs of these targets are leaving.
    Leaving {
        /// The targets.
        targets: Vec<TargetId>,
    },
    /// Time has passed; several times a second.
    Tick,
    /// A record of the group, whoever told of it.
    Record {
        /// Its version.
        version: Version,
        /// The record.
        record: Record,
    },
    /// The record as an own read of the platform's service found it: while it names this VM, it
    /// may grant.
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
        /// When it was asked.
        asked: Duration,
        /// Its answer.
        state: TargetState,
    },
    /// A target didn't answer.
    TargetFailed {
        /// The target.
        target: TargetId,
        /// When it was asked.
        asked: Duration,
    },
    /// A message of another VM.
    Peer {
        /// The VM.
        from: VmId,
        /// The message.
        message: Message,
    },
    /// The outcome of an own write.
    Written {
        /// The write.
        sequence: u64,
        /// Its outcome.
        result: Outcome,
    },
    /// VMs that are gone for good, by the platform's list.
    VmsGone {
        /// These VMs.
        vms: Vec<VmId>,
    },
    /// The VMs that may be named as grantors.
    LiveVms {
        /// These VMs.
        vms: Vec<Candidate>,
    },
    /// A document is in force.
    Document {
        /// Its version.
        version: Version,
        /// The document.
        document: Document,
    },
    /// What the senders measured lately.
    Load {
        /// Requests a second, by range.
        loads: Vec<Load>,
    },
    /// The VM is to stop: it grants no more, and names another in its place.
    Retire,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect and made this version.
    Committed(Version),
    /// Another write came first; the value stands at this version.
    Conflict(Version),
    /// Its answer was lost: it may have taken effect, or may still.
    Unknown,
}

/// What a grantor wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a grant; the answer comes back as [`Event::TargetAnswered`].
    Grant {
        /// The target.
        target: TargetId,
        /// Its address.
        address: String,
        /// The grant.
        grant: Grant,
    },
    /// Read a target's state; the answer comes back as [`Event::TargetAnswered`].
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
    /// Write the record by compare-and-swap; ends as [`Event::Written`].
    Write {
        /// The version that it replaces; 0 for none.
        base: Version,
        /// The write.
        sequence: u64,
        /// The record.
        record: Box<Record>,
    },
    /// Read the record from the platform's service; ends as [`Event::Read`].
    Read {
        /// When it is sent; it comes back with the answer.
        asked: Duration,
    },
    /// Spread a handover to all VMs.
    Handover(Handover),
    /// Put an event on the time line.
    Note(Note),
}

/// An event for the operators' time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened.
    pub kind: Kind,
    /// The target, VM or range that it is about.
    pub subject: String,
    /// What else there is to say.
    pub detail: String,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// This grantor stopped renewing a target.
    Stop,
    /// This grantor renews a target again.
    Resume,
    /// The target's grants have lapsed for certain; its ranges go to their heirs.
    Release,
    /// A range has a new owner.
    Handover,
    /// This grantor asks for a write that replaces others.
    Replacement,
    /// A write of the record ended.
    Write,
    /// This grantor grants no more.
    Retire,
}
