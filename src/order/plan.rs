//! Decides when a shard gets a new view, and which one.
//!
//! The proposals are a pure function of what one VM knows. Any proposal is safe, because compare-and-swap and the
//! rules of [`super`] ensure that; its quality affects only how soon a shard has two members again, and how often
//! it moves.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{
    Flaw, HORIZON_MARGIN, Shard, View,
    view::{choose_home, choose_standby, weight},
};
use crate::id::{DomainId, VmId};

/// A VM's state in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is reachable.
    pub up: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The membership, as one VM knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// The VMs, this one included.
    pub vms: IndexMap<VmId, Peer>,
    /// VMs that are proven to be gone for good.
    pub gone: IndexSet<VmId>,
}

/// One VM's position in one shard, from which it proposes views.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The VM.
    pub vm: &'a str,
    /// The shard.
    pub shard: Shard,
    /// The newest view of the shard.
    pub view: &'a View,
    /// Whether the VM has the complete memory of the shard.
    pub complete: bool,
    /// The safety rule that a test leaves out.
    pub flaw: Flaw,
}

impl Peers {
    /// Returns the VMs that can become home or standby, with their failure domains.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::plan::Peers;
    ///
    /// assert!(Peers::default().usable().is_empty());
    /// ```
    pub fn usable(&self) -> IndexMap<VmId, DomainId> {
        let usable = self.vms.iter().filter(|(vm, _)| self.is_usable(vm));
        usable
            .map(|(vm, peer)| (vm.clone(), peer.domain.clone()))
            .collect()
    }

    fn is_usable(&self, vm: &str) -> bool {
        let peer = self.vms.get(vm);
        let available = peer.is_some_and(|peer| peer.up && !peer.leaving);
        available && !self.gone.contains(vm)
    }

    fn is_leaving(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|peer| peer.leaving)
    }

    fn is_gone(&self, vm: &str, flaw: Flaw) -> bool {
        self.gone.contains(vm) || (flaw == Flaw::SuspectIsGone && !self.is_usable(vm))
    }
}

impl Member<'_> {
    /// Returns the view that must follow because a member is lost or shuts down, if any.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::order::{Flaw, View, plan::{Member, Peers}};
    ///
    /// let view = View {
    ///     number: 1,
    ///     home: "a#1".into(),
    ///     standby: None,
    ///     complete_since: 1,
    ///     horizon: None,
    /// };
    /// let member = Member { vm: "a#1", shard: 0, view: &view, complete: true, flaw: Flaw::None };
    /// assert_eq!(member.required_view(&Peers::default(), Duration::ZERO), None);
    /// ```
    pub fn required_view(&self, peers: &Peers, wall: Duration) -> Option<View> {
        if self.complete && self.view.has_member(self.vm) {
            return self.replace_other(peers);
        }
        self.start_empty(peers, wall)
    }

    /// Returns a view that would distribute the shards better, if any.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::{Flaw, View, plan::{Member, Peers}};
    ///
    /// let view = View {
    ///     number: 1,
    ///     home: "a#1".into(),
    ///     standby: None,
    ///     complete_since: 1,
    ///     horizon: None,
    /// };
    /// let member = Member { vm: "a#1", shard: 0, view: &view, complete: true, flaw: Flaw::None };
    /// assert_eq!(member.improved_view(&Peers::default()), None);
    /// ```
    pub fn improved_view(&self, peers: &Peers) -> Option<View> {
        if !self.complete || !peers.is_usable(self.vm) {
            return None;
        }
        let usable = peers.usable();
        let standby = self.view.standby.as_deref()?;
        if self.view.home == self.vm {
            let best = choose_standby(&usable, self.shard, self.vm)?;
            return (best != standby).then(|| self.view.next(self.vm, Some(best)));
        }
        let outweighs = weight(self.shard, self.vm) > weight(self.shard, &self.view.home);
        (standby == self.vm && outweighs)
            .then(|| self.view.next(self.vm, Some(self.view.home.clone())))
    }

    /// Returns a view with this VM as home and another standby, if the other member is lost or shuts down, or if there
    /// is none yet.
    fn replace_other(&self, peers: &Peers) -> Option<View> {
        let other = self.view.members().find(|vm| *vm != self.vm);
        if other.is_some_and(|vm| peers.is_usable(vm)) {
            return None;
        }
        let usable = peers.usable();
        let next = choose_standby(&usable, self.shard, self.vm);
        let departed = other.is_some_and(|vm| peers.is_gone(vm, self.flaw) || peers.is_leaving(vm));
        (next.is_some() || departed).then(|| self.view.next(self.vm, next))
    }

    /// Returns a view with an empty memory and a horizon, if every VM that had the complete memory is gone for good.
    ///
    /// A standby without the complete memory proposes itself; otherwise the VM with the highest weight does.
    fn start_empty(&self, peers: &Peers, wall: Duration) -> Option<View> {
        let mine = self.view.standby.as_deref() == Some(self.vm);
        let gone = |vm: &VmId| peers.is_gone(vm, self.flaw) || (mine && vm == self.vm);
        if !self.view.members().all(gone) {
            return None;
        }
        let usable = peers.usable();
        if !mine && choose_home(&usable, self.shard).as_deref() != Some(self.vm) {
            return None;
        }
        let standby = choose_standby(&usable, self.shard, self.vm);
        let next = self.view.next(self.vm, standby);
        Some(View {
            complete_since: next.number,
            horizon: (self.flaw != Flaw::NoHorizon).then_some(wall + HORIZON_MARGIN),
            ..next
        })
    }
}
