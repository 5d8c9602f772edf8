//! Which VMs are proved to be gone for good.
//!
//! The platform's list lags: a VM that has just started may not be on it yet, and one that was
//! taken off may still be. So a VM that probes find alive is never gone. One that doesn't answer is
//! gone once the list has dropped it, once the list has lacked it for longer than it can lag, or
//! once a later start of the same VM is alive, as a VM runs one process at a time.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::id::VmId;

/// How long the list may lag behind a VM's start.
pub const LAG: Duration = Duration::from_secs(30);

/// What one VM has read in the platform's list.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::order::gone::Listing;
///
/// let second = Duration::from_secs(1);
/// let mut listing = Listing::default();
/// listing.read(["a", "b"]);
/// listing.read(["a"]);
/// assert!(listing.is_gone(2 * second, "b#1", &[]));
/// assert!(!listing.is_gone(2 * second, "a#1", &[]));
/// assert!(listing.is_gone(2 * second, "a#1", &["a#2".into()]));
/// ```
#[derive(Debug, Default)]
pub struct Listing {
    /// The names on the list.
    listed: IndexSet<String>,
    /// Names that were on it and are off it.
    dropped: IndexSet<String>,
    /// Since when VMs are asked about that neither answer nor are on the list.
    absent: IndexMap<VmId, Duration>,
    is_read: bool,
}

impl Listing {
    /// Takes the names of the list as it was read now.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::gone::Listing;
    ///
    /// Listing::default().read(["a"]);
    /// ```
    pub fn read<'a, N>(&mut self, names: N)
    where
        N: IntoIterator<Item = &'a str>,
    {
        self.is_read = true;
        let listed: IndexSet<_> = names.into_iter().map(String::from).collect();
        let was = std::mem::take(&mut self.listed);
        self.dropped.extend(was);
        self.dropped.retain(|name| !listed.contains(name));
        self.listed = listed;
    }

    /// Returns whether a VM is gone for good, given those that are alive.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::gone::Listing;
    ///
    /// assert!(!Listing::default().is_gone(Duration::ZERO, "a#1", &[])); // no list was read
    /// ```
    pub fn is_gone(&mut self, now: Duration, vm: &str, live: &[VmId]) -> bool {
        let name = name(vm);
        let alive = live.iter().any(|other| other == vm);
        // Starts of one VM are in the order of their ids.
        let later = live
            .iter()
            .any(|other| self::name(other) == name && other.as_str() > vm);
        if alive || !self.is_read || self.listed.contains(name) {
            self.absent.swap_remove(vm);
            return later && !alive;
        }
        let since = *self.absent.entry(vm.into()).or_insert(now);
        later || self.dropped.contains(name) || since + LAG <= now
    }
}

fn name(vm: &str) -> &str {
    vm.split_once('#').map_or(vm, |(name, _)| name)
}
