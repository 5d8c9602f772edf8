//! The number of VMs that share the slack of the retry budget.

use std::time::Duration;

use indexmap::IndexMap;

use crate::catalogue::VmId;

/// For how long a VM counts after it was last known to run.
///
/// The store removes the entry of a VM that it doesn't hear, which may go on serving its callers for as long as that
/// lasts.
const MEMORY: Duration = Duration::from_mins(5);

/// The VMs that share the slack of the retry budget, as one VM knows them.
///
/// A VM counts while the store lists it, or while it exchanges messages with the manager, and for five minutes after
/// that. A VM that has not exchanged messages with any manager for almost as long uses no slack: the others may no
/// longer count it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier_engine::placement::vm_count::VmCount;
///
/// let s = Duration::from_secs;
/// let mut vms = VmCount::default();
/// vms.record_listed(s(0), &["vm-1".to_owned(), "vm-2".to_owned()]);
/// vms.record_listed(s(5), &["vm-1".to_owned()]);
/// vms.record_exchange(s(200), &[], 0);
/// assert_eq!(vms.sharing(s(200), s(10)), 2);
/// assert_eq!(vms.sharing(s(305), s(10)), 1);
/// assert_eq!(vms.sharing(s(490), s(10)), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VmCount {
    /// Until when each VM counts; `None` while it is listed.
    until: IndexMap<VmId, Option<Duration>>,
    /// How many VMs the manager counts.
    told: usize,
    /// When this VM last exchanged messages with the manager.
    exchanged_at: Duration,
}

impl VmCount {
    /// Records which VMs the store lists from now on.
    ///
    /// # Example
    ///
    /// See [`VmCount`].
    pub fn record_listed(&mut self, now: Duration, listed: &[VmId]) {
        for until in self.until.values_mut() {
            until.get_or_insert(now + MEMORY);
        }
        for vm in listed {
            self.until.insert(vm.clone(), None);
        }
        self.discard_expired(now);
    }

    /// Records an exchange with the manager, which counts `told` VMs; `exchanging` are VMs that are known to run, listed
    /// or not.
    ///
    /// # Example
    ///
    /// See [`VmCount`].
    pub fn record_exchange(&mut self, now: Duration, exchanging: &[VmId], told: usize) {
        self.exchanged_at = now;
        self.told = told;
        for vm in exchanging {
            let until = self.until.entry(vm.clone());
            let until = until.or_insert(Some(now + MEMORY));
            if until.is_some() {
                *until = Some(now + MEMORY);
            }
        }
        self.discard_expired(now);
    }

    /// Returns how many VMs this one knows to run or to have run recently, without what the manager said.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier_engine::placement::vm_count::VmCount;
    ///
    /// let mut vms = VmCount::default();
    /// vms.record_exchange(Duration::ZERO, &["vm-3".to_owned()], 7);
    /// assert_eq!(vms.known(Duration::ZERO), 1);
    /// ```
    pub fn known(&self, now: Duration) -> usize {
        let counts = |until: &&Option<Duration>| until.is_none_or(|until| now < until);
        self.until.values().filter(counts).count()
    }

    /// Returns among how many VMs the slack is divided, or 0 if this VM may not use any of it.
    ///
    /// # Example
    ///
    /// See [`VmCount`].
    pub fn sharing(&self, now: Duration, window: Duration) -> usize {
        if now >= self.exchanged_at + MEMORY.saturating_sub(window) {
            return 0;
        }
        self.known(now).max(self.told)
    }

    fn discard_expired(&mut self, now: Duration) {
        self.until
            .retain(|_, until| until.is_none_or(|until| now < until));
    }
}
