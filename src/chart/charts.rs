//! The state charts of the router: the life cycles of a process, a target and a role (duty).
//!
//! Each submodule declares the states and events of one chart. Their names must match those of its
//! file under `charts/`.

use std::rc::Rc;

use crate::{chart::Chart, util::ini::Fault};

/// The life cycle of one process.
pub mod vm {
    use crate::util::names::names;

    names! {
        /// Where a process stands.
        pub enum State {
            /// It reads its settings and opens its sockets.
            Starting = "starting",
            /// It takes peers' messages, but no work yet.
            Joining = "joining",
            /// It takes work.
            Serving = "serving",
            /// It takes no new work, hands its duties on and finishes what is in flight.
            Stopping = "stopping",
            /// It is done.
            Stopped = "stopped",
        }
    }

    names! {
        /// An event in the life cycle of a process.
        pub enum Event {
            /// Its sockets are open.
            Listening = "listening",
            /// It knows its peers and the current documents.
            Joined = "joined",
            /// It was asked to stop.
            Stop = "stop",
            /// No request is in flight any more.
            Ended = "ended",
            /// The time allowed for requests in flight to finish has passed.
            Expired = "expired",
        }
    }
}

/// The state of a target, as observed by a process that sends it messages.
pub mod target {
    use crate::util::names::names;

    names! {
        /// Where a target stands.
        pub enum State {
            /// It has not been heard yet.
            Unknown = "unknown",
            /// It answers, and is slow until it has warmed up.
            Cold = "cold",
            /// It answers.
            Ready = "ready",
            /// It answers, and takes no new work.
            Draining = "draining",
            /// It does not answer.
            Silent = "silent",
            /// It lost its ranges while it was silent.
            Released = "released",
            /// It was removed from the document.
            Gone = "gone",
        }
    }

    names! {
        /// An observation about a target.
        pub enum Event {
            /// It reported that it is cold.
            Cold = "cold",
            /// It reported that it is ready.
            Ready = "ready",
            /// It reported that it is draining.
            Draining = "draining",
            /// It did not answer in time.
            Silence = "silence",
            /// Its ranges were given to their successors.
            Release = "release",
            /// It answered with another incarnation, so it has restarted.
            Restart = "restart",
            /// The document no longer names it.
            Removed = "removed",
        }
    }
}

/// The life cycle of a role (duty), in the process that may hold it.
pub mod duty {
    use crate::util::names::names;

    names! {
        /// The state of a role in this process.
        pub enum State {
            /// Another process holds it, or none does.
            Absent = "absent",
            /// This process is assigned, and is loading the state that the role needs.
            Taking = "taking",
            /// This process holds it.
            Held = "held",
            /// This process is handing it over to another.
            Handing = "handing",
        }
    }

    names! {
        /// An event in the life cycle of a role.
        pub enum Event {
            /// This process was assigned the role.
            Named = "named",
            /// This process may act in the role from now on.
            Confirmed = "confirmed",
            /// Another process was assigned the role.
            Move = "move",
            /// The other process has taken over.
            Handed = "handed",
            /// The lease on the role has expired.
            Lapse = "lapse",
        }
    }
}

/// Returns the state chart of a process.
///
/// # Errors
///
/// Returns a [`Fault`] if the chart is invalid.
///
/// # Example
///
/// ```
/// use bramleypier::chart::charts;
///
/// assert!(charts::vm().is_ok());
/// ```
pub fn vm() -> Result<Rc<Chart<vm::State, vm::Event>>, Fault> {
    Chart::parse("vm", include_str!("../../charts/vm.ini")).map(Rc::new)
}

/// Returns the state chart of a target.
///
/// # Errors
///
/// Returns a [`Fault`] if the chart is invalid.
///
/// # Example
///
/// ```
/// use bramleypier::chart::charts;
///
/// assert!(charts::target().is_ok());
/// ```
pub fn target() -> Result<Rc<Chart<target::State, target::Event>>, Fault> {
    Chart::parse("target", include_str!("../../charts/target.ini")).map(Rc::new)
}

/// Returns the state chart of a role (duty).
///
/// # Errors
///
/// Returns a [`Fault`] if the chart is invalid.
///
/// # Example
///
/// ```
/// use bramleypier::chart::charts;
///
/// assert!(charts::duty().is_ok());
/// ```
pub fn duty() -> Result<Rc<Chart<duty::State, duty::Event>>, Fault> {
    Chart::parse("duty", include_str!("../../charts/duty.ini")).map(Rc::new)
}
