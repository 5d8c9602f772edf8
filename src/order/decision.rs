//! An entry VM's decision on an order.

use super::Answer;

/// Whether an order may run, or else what its caller is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it, and report how it ended. No other attempt runs until then, so if this one is cancelled before it
    /// starts, `not-run` is the correct outcome for its id.
    Run,
    /// It ran before; this is its answer.
    Ran(Answer),
    /// It may have run before. Sending it again with the same id is safe.
    Unknown(UnknownReason),
    /// The id was used for another request, which is the caller's fault; this attempt did not run.
    Mismatch,
}

/// Why it is unknown whether an order ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// It may have run, but its outcome is lost.
    Lost,
    /// Another attempt was still running at the caller's deadline.
    Running,
    /// The members of its shard did not reply before the deadline.
    NoReply,
    /// The memory of the members is full.
    MemoryFull,
    /// The id is dated too far in the future.
    DatedAhead,
}
