//! A call to another store, while its answer is awaited.

use super::Id;

/// A call under way.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Compare { address: String },
    Fetch { ids: Vec<Id> },
}
