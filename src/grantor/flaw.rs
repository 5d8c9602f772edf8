//! Rules that tests switch off, to show that the checker finds what each prevents.

/// A rule to leave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Every rule holds.
    #[default]
    None,
    /// A grantor goes on granting without a word or a read.
    WordIgnored,
    /// A word counts from when it was received.
    WordLate,
    /// A read counts from when its answer was received.
    ReadLate,
    /// A word is given to whoever asks.
    WordUnnamed,
    /// After a strike a release does not wait for the struck grantor's words and reads to lapse.
    StrikeNoWait,
    /// A release does not wait until all have adopted the last strike.
    StrikeUnadopted,
    /// A strike does not wait until all have adopted the last one.
    StrikeTwice,
    /// A release does not wait for the grant to lapse.
    NoWait,
    /// A release needs only the own stop.
    LoneStop,
    /// A stop is withdrawn without asking anyone.
    LoneWithdraw,
    /// A stop that a struck grantor was told of is withdrawn as any other.
    StruckForgotten,
    /// A target is stopped while an own write about it is in doubt.
    StopInDoubt,
    /// A handover keeps the epoch.
    EpochKept,
    /// A release goes by a record older than the stops.
    OldHeirs,
    /// A new grantor starts as if it had stopped nothing.
    NewUnstopped,
    /// A planned move does not wait for the owner's confirmation.
    UnconfirmedMove,
    /// A restarted target is granted without a new term.
    BootIgnored,
    /// A target comes back while a chain still names it, under its old term.
    TermKept,
}
