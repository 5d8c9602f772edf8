//! Safety rules that tests disable, to show that the checker finds the fault that each prevents.

/// A safety rule to disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// No rule is disabled.
    #[default]
    None,
    /// A grantor issues grants without a permission or a read.
    NoPermission,
    /// A permission lasts from when it was received, not from when it was requested.
    PermissionFromReceipt,
    /// A read lasts from when its answer was received, not from when it was sent.
    ReadFromReceipt,
    /// A permission is given to any VM that requests one.
    PermissionForAnyone,
    /// A release does not wait for the permissions and reads of a replaced grantor to expire.
    ReplacementNoWait,
    /// A release does not wait until all grantors know the last replacement.
    ReplacementUnconfirmed,
    /// A replacement does not wait until all grantors know the last one.
    ConcurrentReplacements,
    /// A release does not wait for the grant to expire.
    ReleaseNoWait,
    /// A release needs only the grantor's own stop.
    ReleaseOnOwnStop,
    /// A stop is withdrawn without asking the other grantors.
    WithdrawUnconfirmed,
    /// A stop that a replaced grantor may have received is withdrawn like any other.
    ReplacedForgotten,
    /// A target is stopped while the outcome of a write of the grantor that changes its ranges is
    /// unknown.
    StopDuringWrite,
    /// A handover keeps the epoch instead of raising it.
    EpochUnchanged,
    /// A release uses a record older than the stops.
    OutdatedSuccessors,
    /// A new grantor starts without stops.
    NewGrantorUnstopped,
    /// A planned move does not wait for the owner's confirmation.
    UnconfirmedMove,
    /// A restarted target gets grants without a new term.
    BootIgnored,
    /// A released target is readmitted while a chain still names it under its old term.
    TermUnchanged,
}
