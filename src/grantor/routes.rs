//! Where requests may go, as one grantor knows it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    document::Fencing,
    grantor::{Effect, Grantor, Leased, Message},
    group::Entry,
    id::{BootId, Epoch, TargetId, VmId},
    range::Range,
};

/// Who owns a range, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The range.
    pub range: Range,
    /// Its epoch.
    pub epoch: Epoch,
    /// The owner.
    pub target: TargetId,
    /// The owner's start.
    pub boot: BootId,
    /// The owner's address.
    pub address: String,
    /// Whether the owner checks grants.
    pub fencing: Fencing,
    /// Whether this VM leases the range to senders now; never for an owner that checks.
    pub leased: bool,
}

impl Grantor {
    /// Returns the routes as this VM knows them now.
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

    /// Returns whether senders get a lease of the range from this VM now.
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

    /// Answers a sender with leases of what this VM may lease.
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
