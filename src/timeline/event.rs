//! An event of the time line: its kind, the role that recorded it and what it concerns.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, RequestId, ServiceId, TargetId, Version, VmId},
    key::Point,
    range::Range,
    timeline::stamp::Stamp,
    util::names::names,
};

names! {
    /// The role (duty) in which a process recorded an event.
    pub enum Duty {
        /// Its own start, stop and settings.
        Process = "process",
        /// Tracking which other processes are live.
        Member = "member",
        /// Taking callers' requests.
        Entry = "entry",
        /// Keeping the results of orders, so that each runs at most once.
        Orders = "orders",
        /// Granting ranges to targets.
        Grantor = "grantor",
        /// Reading the platform's key-value service and distributing changes to the other VMs.
        Watcher = "watcher",
    }
}

names! {
    /// What happened.
    pub enum Kind {
        /// The process started.
        Started = "started",
        /// The process passed to another state of its life cycle.
        Phase = "phase",
        /// The process stopped, with nothing left in flight.
        Stopped = "stopped",
        /// A VM was found to be there.
        PeerJoined = "peer-joined",
        /// A VM did not answer and is being asked through others.
        PeerSuspected = "peer-suspected",
        /// A VM is taken for lost.
        PeerLost = "peer-lost",
        /// A VM said that it leaves.
        PeerLeft = "peer-left",
        /// A duty of this VM passed to another state.
        DutyPhase = "duty-phase",
        /// A target passed to another state.
        TargetPhase = "target-phase",
        /// A grantor stopped renewing a target for good until it is settled.
        GrantStopped = "grant-stopped",
        /// A stop was withdrawn by all that were told of it.
        StopWithdrawn = "stop-withdrawn",
        /// All grantors of a silent target have stopped and its grants have lapsed for certain.
        TargetReleased = "target-released",
        /// A range lost its owner, at the epoch that it had.
        RangeLost = "range-lost",
        /// A range was given to a target at a new epoch.
        RangeMoved = "range-moved",
        /// A target serves a range under a live grant of this epoch.
        RangeServed = "range-served",
        /// A grantor was replaced by another VM.
        GrantorStruck = "grantor-struck",
        /// A group's record was written.
        RecordWritten = "record-written",
        /// A document came into force.
        DocumentForced = "document-forced",
        /// A document in the platform's service could not be read; the last sound one stays in force.
        DocumentRefused = "document-refused",
        /// A shard of request ids has other memories.
        ViewChanged = "view-changed",
        /// Both memories of a shard were lost; orders that may be older are answered `unknown`.
        MemoryLost = "memory-lost",
        /// A request was refused, and did not run.
        RequestRefused = "request-refused",
        /// It could not be learned whether a request ran.
        RequestUnknown = "request-unknown",
        /// A request ran on a target as it died; it is refused once that proves to be its doing.
        Quarantined = "quarantined",
        /// The platform's service stopped answering.
        PlatformLost = "platform-lost",
        /// The platform's service answers again.
        PlatformBack = "platform-back",
    }
}

impl Kind {
    /// Returns whether events of the kind are recorded per request, so that their number is unbounded.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::timeline::Kind;
    ///
    /// assert!(Kind::RequestRefused.is_frequent());
    /// assert!(!Kind::RangeMoved.is_frequent());
    /// ```
    pub fn is_frequent(self) -> bool {
        matches!(self, Self::RequestRefused | Self::RequestUnknown)
    }
}

/// An event: what happened, on which VM, and which objects it concerns.
///
/// The same event is logged as a line: `Display` writes it as `key=value` pairs.
///
/// # Example
///
/// ```
/// use bramleypier::timeline::{Duty, Event, Kind};
///
/// let event = Event::new(Duty::Grantor, "release", Kind::RangeMoved)
///     .target("tracking-3")
///     .epoch(5);
/// assert_eq!(
///     event.to_string(),
///     "duty=grantor step=release kind=range-moved target=tracking-3 epoch=5"
/// );
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The hybrid logical time of the event; set by the ring.
    pub stamp: Stamp,
    /// The VM on which it happened; set by the ring.
    pub vm: VmId,
    /// The role in which the VM acted.
    pub duty: Duty,
    /// The step of the operation in which it happened.
    pub step: String,
    /// What happened.
    pub kind: Kind,
    /// The other party, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// The service that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The target that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// The request that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The key that it concerns, as its point in the hash space.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub point: Option<Point>,
    /// The range that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range: Option<Range>,
    /// The range's epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// The version of the document or record that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Why it happened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}

/// Defines methods that set one optional field each.
macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $type:ty,)+) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub fn $field(mut self, $field: $type) -> Self {
                self.$field = Some($field.into());
                self
            }
        )+
    };
}

impl Event {
    /// Creates an event without any of the optional fields.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::timeline::{Duty, Event, Kind};
    ///
    /// let event = Event::new(Duty::Process, "start", Kind::Started);
    /// assert_eq!(event.kind, Kind::Started);
    /// ```
    pub fn new(duty: Duty, step: &str, kind: Kind) -> Self {
        Self {
            stamp: 0,
            vm: VmId::new(),
            duty,
            step: step.to_owned(),
            kind,
            peer: None,
            service: None,
            target: None,
            request: None,
            point: None,
            range: None,
            epoch: None,
            version: None,
            cause: None,
        }
    }

    setters! {
        /// Sets the other party.
        peer: &str,
        /// Sets the service that it concerns.
        service: &str,
        /// Sets the target that it concerns.
        target: &str,
        /// Sets the request that it concerns.
        request: &str,
        /// Sets the key that it concerns, as its point in the hash space.
        point: Point,
        /// Sets the range that it concerns.
        range: Range,
        /// Sets the range's epoch.
        epoch: Epoch,
        /// Sets the version of the document or record that it concerns.
        version: Version,
        /// Sets why it happened.
        cause: &str,
    }

    /// Returns whether the event concerns a point in the hash space, by its range or its key.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{range::Range, timeline::{Duty, Event, Kind}};
    ///
    /// let event = Event::new(Duty::Grantor, "move", Kind::RangeMoved).range(Range::ALL);
    /// assert!(event.concerns(7));
    /// ```
    pub fn concerns(&self, point: Point) -> bool {
        let within = self.range.is_some_and(|range| range.contains(point));
        within || self.point == Some(point)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            duty, step, kind, ..
        } = self;
        write!(f, "duty={duty} step={step} kind={kind}")?;
        pair(f, "peer", self.peer.as_ref())?;
        pair(f, "service", self.service.as_ref())?;
        pair(f, "target", self.target.as_ref())?;
        pair(f, "request", self.request.as_ref())?;
        pair(f, "point", self.point.map(|point| format!("{point:016x}")))?;
        let bounds = |range: Range| format!("{:016x}-{:016x}", range.start, range.end);
        pair(f, "range", self.range.map(bounds))?;
        pair(f, "epoch", self.epoch)?;
        pair(f, "version", self.version)?;
        pair(
            f,
            "cause",
            self.cause.as_ref().map(|cause| format!("{cause:?}")),
        )
    }
}

/// Writes ` key=value` if there is a value.
fn pair<T>(f: &mut fmt::Formatter<'_>, key: &str, value: Option<T>) -> fmt::Result
where
    T: fmt::Display,
{
    match value {
        Some(value) => write!(f, " {key}={value}"),
        None => Ok(()),
    }
}
