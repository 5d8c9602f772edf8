//! A call to another process whose response is pending.

use super::Id;

/// A pending call.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Compare { address: String },
    Fetch { ids: Vec<Id> },
}
