//! Routes: the owner of each range as one grantor knows it, and leases for senders.
//!
//! An owner that checks grants refuses requests for ranges that it no longer owns. For an
//! owner that doesn't, each sender needs a lease from a grantor before it may send requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    document::Fencing,
    grantor::{Effect, Grantor, Leased, Message},
    group::Entry,
    id::{BootId, Epoch, TargetId, VmId},
    range::Range,
};

/// The owner of a range and its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The range.
    pub range: Range,
    /// Its epoch.
    pub epoch: Epoch,
    /// The owner.
    pub target: TargetId,
    /// The owner's incarnation.
    pub boot: BootId,
    /// The owner's address.
    pub address: String,
    /// Whether the owner checks grants.
    pub fencing: Fencing,
    /// Whether this VM leases the range to senders now; never if the owner checks grants.
    pub leased: bool,
}

impl Grantor {
    /// Returns the routes that this VM knows now.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::grantor::{Grantor, Timing};
    ///
    /// let grantor = Grantor::new("vm-1#1".into(), "tracking/0".into(), Timing::default());
    /// assert!(grantor.routes(Duration::ZERO).is_empty());
    /// ```
    pub fn routes(&self, now: Duration) -> Vec<Route> {
        let route = |entry: &Entry| {
            let target = entry.chain.first()?;
            let member = self.view.members.get(target)?;
            Some(Route {
                range: entry.range,
                epoch: entry.epoch,
                target: target.clone(),
                boot: member.boot.clone(),
                address: member.address.clone(),
                fencing: member.fencing,
                leased: self.leases(now, entry),
            })
        };
        self.view.ranges.iter().filter_map(route).collect()
    }

    /// Returns whether this VM may lease the range to senders now.
    fn leases(&self, now: Duration, entry: &Entry) -> bool {
        let Some(target) = entry.chain.first() else {
            return false;
        };
        let member = self.view.members.get(target);
        member.is_some_and(|member| {
            member.fencing == Fencing::Unchecked
                && !entry.moving
                && self.may_renew(now, target, member)
        })
    }

    /// Sends a sender leases of all ranges that this VM may lease.
    pub(super) fn send_leases(
        &self,
        now: Duration,
        to: &VmId,
        asked: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let leased = |entry: &Entry| {
            let target = entry.chain.first()?;
            Some(Leased {
                range: entry.range,
                epoch: entry.epoch,
                target: target.clone(),
                term: self.view.members.get(target)?.term,
            })
        };
        let entries = self.view.ranges.iter();
        let routes = entries.filter(|entry| self.leases(now, entry));
        let routes = routes.filter_map(leased).collect();
        effects.push(Effect::Send {
            to: to.clone(),
            message: Message::Lease { asked, routes },
        });
    }
}
