//! Rules that tests switch off, to show that the checker finds what each prevents.

/// A rule to leave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Every rule holds.
    #[default]
    None,
    /// A grantor goes on granting without a word or a read.
    NoPermission,
    /// A word counts from when it was received.
    PermissionFromReceipt,
    /// A read counts from when its answer was received.
    ReadFromReceipt,
    /// A word is given to whoever asks.
    PermissionForAnyone,
    /// After a strike a release does not wait for the struck grantor's words and reads to lapse.
    ReplacementNoWait,
    /// A release does not wait until all have adopted the last strike.
    ReplacementUnconfirmed,
    /// A strike does not wait until all have adopted the last one.
    ConcurrentReplacements,
    /// A release does not wait for the grant to lapse.
    ReleaseNoWait,
    /// A release needs only the own stop.
    ReleaseOnOwnStop,
    /// A stop is withdrawn without asking anyone.
    WithdrawUnconfirmed,
    /// A stop that a struck grantor was told of is withdrawn as any other.
    ReplacedForgotten,
    /// A target is stopped while an own write about it is in doubt.
    StopDuringWrite,
    /// A handover keeps the epoch.
    EpochUnchanged,
    /// A release goes by a record older than the stops.
    OutdatedSuccessors,
    /// A new grantor starts as if it had stopped nothing.
    NewGrantorUnstopped,
    /// A planned move does not wait for the owner's confirmation.
    UnconfirmedMove,
    /// A restarted target is granted without a new term.
    BootIgnored,
    /// A target comes back while a chain still names it, under its old term.
    TermUnchanged,
}
