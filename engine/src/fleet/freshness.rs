//! Whether what a VM knows of the store is recent enough to act by it.

/// Whether a VM may act by what it knows of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It knows what the store had a moment ago.
    Fresh,
    /// It may be old, but neither the store nor any VM that was asked tells more, as in an outage of the store.
    BestKnown,
    /// It is too old, and news are expected within a moment.
    Awaited,
    /// It is too old, and no news have come.
    Stale,
}

impl Freshness {
    /// Returns whether a VM may act by what it knows.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier_engine::fleet::Freshness;
    ///
    /// assert!(Freshness::BestKnown.is_usable() && !Freshness::Stale.is_usable());
    /// ```
    pub fn is_usable(self) -> bool {
        matches!(self, Self::Fresh | Self::BestKnown)
    }
}
