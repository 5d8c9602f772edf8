//! What an entry VM decides on an order.

use super::Answer;

/// What is decided on an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it, and report how it ended. Until then nobody else runs it, so if it is given up before
    /// it starts, `not-run` is the truth for its id.
    Run,
    /// It ran before; this is its answer.
    Ran(Answer),
    /// It may have run before. It is safe to send it again with the same id.
    Unknown(UnknownReason),
    /// The id was used for something else; this attempt was not run, and the caller is at fault.
    Mismatch,
}

/// Why it can't be said whether an order ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// It may have run, and nobody knows any more.
    Lost,
    /// It was still running when the caller's time ended.
    Running,
    /// The members of its shard gave no answer in time.
    NoReply,
    /// The members' memory is full.
    MemoryFull,
    /// The id is dated too far ahead.
    DatedAhead,
}
