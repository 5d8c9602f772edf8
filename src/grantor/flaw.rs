//! Rules that tests switch off, to show that the checker finds what each prevents.

/// A rule to leave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Every rule holds.
    #[default]
    None,
    /// A grantor goes on granting without session and word.
    WordIgnored,
    /// A strike does not wait for the platform's word that the session is over.
    EarlyStrike,
    /// A strike does not wait for the others to withhold their words, nor for words to lapse.
    WordsLive,
    /// A release does not wait for the grant to lapse.
    NoWait,
    /// A release needs only the own stop.
    LoneStop,
    /// A stop is withdrawn without asking anyone.
    LoneWithdraw,
    /// A stop that a struck grantor was told of is withdrawn all the same.
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
