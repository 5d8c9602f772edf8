//! The charts of this process, with the states and events that its code knows.

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
        /// What happens to a process.
        pub enum Event {
            /// Its sockets are open.
            Listening = "listening",
            /// It knows its peers and the documents in force.
            Joined = "joined",
            /// It was told to stop.
            Stop = "stop",
            /// Nothing is in flight any more.
            Ended = "ended",
            /// The time to finish what is in flight has passed.
            Expired = "expired",
        }
    }
}

/// A target, as a process that talks to it sees it.
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
        /// What is heard of a target.
        pub enum Event {
            /// It answered that it is cold.
            Cold = "cold",
            /// It answered that it is ready.
            Ready = "ready",
            /// It answered that it drains.
            Draining = "draining",
            /// It did not answer in time.
            Silence = "silence",
            /// Its ranges were given to their heirs.
            Release = "release",
            /// It answered as another start.
            Restart = "restart",
            /// The document no longer names it.
            Removed = "removed",
        }
    }
}

/// A duty, as the process that may hold it sees it.
pub mod duty {
    use crate::util::names::names;

    names! {
        /// Whether the duty is held.
        pub enum State {
            /// Another holds it, or nobody.
            Absent = "absent",
            /// This process is named, and learns what it must know first.
            Taking = "taking",
            /// This process holds it.
            Held = "held",
            /// This process passes it on.
            Handing = "handing",
        }
    }

    names! {
        /// What happens to a duty.
        pub enum Event {
            /// This process is to hold it.
            Named = "named",
            /// This process may act.
            Confirmed = "confirmed",
            /// Another process is to hold it.
            Move = "move",
            /// The other process has it.
            Handed = "handed",
            /// The lease on it has lapsed.
            Lapse = "lapse",
        }
    }
}

/// Returns the chart of a process.
///
/// # Errors
///
/// Returns the [`Fault`] of a chart that is not sound.
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

/// Returns the chart of a target.
///
/// # Errors
///
/// Returns the [`Fault`] of a chart that is not sound.
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

/// Returns the chart of a duty.
///
/// # Errors
///
/// Returns the [`Fault`] of a chart that is not sound.
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
