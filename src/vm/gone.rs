//! Which VMs are gone for certain.
//!
//! Two things show it. The platform's list lags but doesn't err: once a VM has been known for longer than
//! the list may lag, a list without its name is newer than the VM's removal. Before that, a list without
//! it may only be too old to have it yet. And names are unique: a later start of the same name, once it is
//! live, took the place of an earlier one.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    id::VmId,
    membership::{self, Peer},
    platform::ListedVm,
};

/// How long the call that read a list may have taken.
const CALL: Duration = Duration::from_secs(2);

/// Judges by the platform's list, and by what is live.
#[derive(Clone, Debug)]
pub struct RemovalDetector {
    lag: Duration,
    /// Since when each VM is known.
    known: IndexMap<VmId, Duration>,
}

impl RemovalDetector {
    /// Creates a judge for a list that lags by no more than `lag`.
    ///
    /// # Example
    ///
    /// See [`RemovalDetector::detect`].
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            known: IndexMap::new(),
        }
    }

    /// Returns which of the VMs that are named are gone, by a list that was read just now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::vm::gone::RemovalDetector;
    ///
    /// let mut gone = RemovalDetector::new(Duration::from_secs(60));
    /// let named = ["vm-1#1".to_owned()].into();
    /// // Not listed yet, or no longer? It is too early to tell.
    /// assert!(gone.detect(Duration::from_secs(1), &named, &[], &[]).is_empty());
    /// assert_eq!(gone.detect(Duration::from_secs(70), &named, &[], &[]), named);
    /// ```
    pub fn detect(
        &mut self,
        now: Duration,
        named: &IndexSet<VmId>,
        list: &[ListedVm],
        live: &[Peer],
    ) -> IndexSet<VmId> {
        self.known.retain(|vm, _| named.contains(vm));
        for vm in named {
            self.known.entry(vm.clone()).or_insert(now);
        }
        let listed: IndexSet<&str> = list.iter().map(|vm| vm.name.as_str()).collect();
        let removed = |vm: &VmId| {
            let known = self.known.get(vm).copied().unwrap_or(now);
            now >= known + self.lag + CALL && !listed.contains(membership::name(vm))
        };
        let all = named.iter();
        // What answers probes is there, whatever the list says.
        let answers = |vm: &VmId| live.iter().any(|peer| peer.vm == *vm);
        let gone = all.filter(|vm| !answers(vm) && (removed(vm) || replaced(vm, live)));
        gone.cloned().collect()
    }
}

/// Returns whether a later start of a VM is live, and this one isn't.
fn replaced(vm: &VmId, live: &[Peer]) -> bool {
    let name = membership::name(vm);
    // The ids of starts are UUIDv7, which order by time.
    let later = |peer: &Peer| membership::name(&peer.vm) == name && peer.vm > *vm;
    live.iter().any(later)
}
