//! Decides which VMs are certainly gone, from the platform's list of VMs and from membership.
//!
//! There are two kinds of evidence. The platform's list may be out of date by a bounded time, but is never
//! wrong: once a VM has been known for longer than that bound, a list without its name is newer than the VM's
//! removal. Before that, a list without it may merely predate the VM. And names are unique: a live process of
//! the same name that started later has replaced an earlier one.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    id::VmId,
    membership::{self, Peer},
    platform::ListedVm,
};

/// Maximum duration of the call that read the list; it adds to the list's lag.
const LIST_CALL_TIME: Duration = Duration::from_secs(2);

/// Detects removed VMs from the platform's list and the live peers.
#[derive(Clone, Debug)]
pub struct RemovalDetector {
    lag: Duration,
    /// Time at which each VM was first named in a call.
    first_seen: IndexMap<VmId, Duration>,
}

impl RemovalDetector {
    /// Creates a detector for a list that is out of date by at most `lag`.
    ///
    /// # Example
    ///
    /// See [`RemovalDetector::detect`].
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            first_seen: IndexMap::new(),
        }
    }

    /// Returns those of the VMs `named` that are certainly gone, given a list that was read just now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::vm::gone::RemovalDetector;
    ///
    /// let mut detector = RemovalDetector::new(Duration::from_secs(60));
    /// let named = ["vm-1#1".to_owned()].into();
    /// // The VM may be new and not listed yet, or removed: it is too early to tell.
    /// assert!(detector.detect(Duration::from_secs(1), &named, &[], &[]).is_empty());
    /// assert_eq!(detector.detect(Duration::from_secs(70), &named, &[], &[]), named);
    /// ```
    pub fn detect(
        &mut self,
        now: Duration,
        named: &IndexSet<VmId>,
        list: &[ListedVm],
        live: &[Peer],
    ) -> IndexSet<VmId> {
        self.first_seen.retain(|vm, _| named.contains(vm));
        for vm in named {
            self.first_seen.entry(vm.clone()).or_insert(now);
        }
        let listed: IndexSet<&str> = list.iter().map(|vm| vm.name.as_str()).collect();
        let removed = |vm: &VmId| {
            let first_seen = self.first_seen.get(vm).copied().unwrap_or(now);
            now >= first_seen + self.lag + LIST_CALL_TIME && !listed.contains(membership::name(vm))
        };
        let all = named.iter();
        // A VM that answers probes exists, whatever the list says.
        let answers = |vm: &VmId| live.iter().any(|peer| peer.vm == *vm);
        let gone = all.filter(|vm| !answers(vm) && (removed(vm) || replaced(vm, live)));
        gone.cloned().collect()
    }
}

/// Returns whether a live process of the same name started later than `vm`.
fn replaced(vm: &VmId, live: &[Peer]) -> bool {
    let name = membership::name(vm);
    // The part of a VM's id that identifies its start is a UUIDv7, which orders by time.
    let later = |peer: &Peer| membership::name(&peer.vm) == name && peer.vm > *vm;
    live.iter().any(later)
}
