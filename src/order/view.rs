//! Views: which VMs are home and standby of each shard, and the choice of those VMs by rendezvous hashing.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Shard, ViewNumber};
use crate::{
    id::{DomainId, VmId},
    key,
};

/// The number of shards of a new record; it is fixed afterwards.
pub const SHARDS: usize = 64;

/// Home and standby of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// The view's number.
    pub number: ViewNumber,
    /// The VM that admits attempts.
    pub home: VmId,
    /// The VM with the second copy of the memory; `None` while there is no other VM.
    pub standby: Option<VmId>,
    /// The view since which no memory was lost: the first view, or the one after the last loss of both memories.
    #[serde(rename = "founded")]
    pub complete_since: ViewNumber,
    /// Orders whose ids are not provably younger than this may have been lost; since the Unix epoch.
    pub horizon: Option<Duration>,
}

impl View {
    /// Returns whether the VM is the home or the standby.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::View;
    ///
    /// let view = View {
    ///     number: 1,
    ///     home: "a#1".into(),
    ///     standby: None,
    ///     complete_since: 1,
    ///     horizon: None,
    /// };
    /// assert!(view.has_member("a#1"));
    /// ```
    pub fn has_member(&self, vm: &str) -> bool {
        self.home == vm || self.standby.as_deref() == Some(vm)
    }

    /// Returns the home and the standby, if there is one.
    ///
    /// # Example
    ///
    /// ```
    /// # use bramleypier::order::View;
    /// # let view = View {
    /// #     number: 1,
    /// #     home: "a#1".into(),
    /// #     standby: Some("b#1".into()),
    /// #     complete_since: 1,
    /// #     horizon: None,
    /// # };
    /// assert_eq!(view.members().count(), 2);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &VmId> {
        std::iter::once(&self.home).chain(&self.standby)
    }

    /// Returns the next view, with the given home and standby and the same memory.
    ///
    /// # Example
    ///
    /// ```
    /// # use bramleypier::order::View;
    /// # let view = View {
    /// #     number: 1,
    /// #     home: "a#1".into(),
    /// #     standby: Some("b#1".into()),
    /// #     complete_since: 1,
    /// #     horizon: None,
    /// # };
    /// let next = view.next("b#1", Some("c#1".into()));
    /// assert_eq!((next.number, next.complete_since), (2, 1));
    /// ```
    #[must_use]
    pub fn next(&self, home: &str, standby: Option<VmId>) -> Self {
        Self {
            number: self.number + 1,
            home: home.into(),
            standby,
            complete_since: self.complete_since,
            horizon: self.horizon,
        }
    }
}

/// The record of all views: one value in the platform's service, changed by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Views {
    /// The views, by shard.
    pub shards: Vec<View>,
}

impl Views {
    /// Creates the initial record.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::Views;
    /// use indexmap::IndexMap;
    ///
    /// let vms = IndexMap::from([("a#1".into(), "north".into()), ("b#1".into(), "south".into())]);
    /// let views = Views::initial(&vms, 4);
    /// assert_eq!(views.shards.len(), 4);
    /// assert!(views.shards.iter().all(|view| view.standby.is_some()));
    /// ```
    pub fn initial(vms: &IndexMap<VmId, DomainId>, shards: usize) -> Self {
        let view = |shard| {
            let home = choose_home(vms, shard)?;
            Some(View {
                number: 1,
                standby: choose_standby(vms, shard, &home),
                home,
                complete_since: 1,
                horizon: None,
            })
        };
        Self {
            shards: (0..shards).filter_map(view).collect(),
        }
    }

    /// Returns the shard of an order with its view.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::order::Views;
    ///
    /// assert!(Views::default().view_of("dispatch/1").is_none());
    /// ```
    pub fn view_of(&self, id: &str) -> Option<(Shard, &View)> {
        let shard = super::shard(id, self.shards.len());
        Some((shard, self.shards.get(shard)?))
    }
}

/// Returns the preferred home of a shard: the VM with the highest rendezvous weight.
///
/// # Example
///
/// ```
/// use bramleypier::order::view;
/// use indexmap::IndexMap;
///
/// let vms = IndexMap::from([("a#1".into(), "north".into())]);
/// assert_eq!(view::choose_home(&vms, 7).as_deref(), Some("a#1"));
/// ```
pub fn choose_home(vms: &IndexMap<VmId, DomainId>, shard: Shard) -> Option<VmId> {
    let best = vms.keys().max_by_key(|vm| weight(shard, vm))?;
    Some(best.clone())
}

/// Returns the preferred standby of a shard: the VM with the highest rendezvous weight, in another failure domain
/// than the home if possible.
///
/// # Example
///
/// ```
/// use bramleypier::order::view;
/// use indexmap::IndexMap;
///
/// let vms = IndexMap::from([
///     ("a#1".into(), "north".into()),
///     ("b#1".into(), "north".into()),
///     ("c#1".into(), "south".into()),
/// ]);
/// assert_eq!(view::choose_standby(&vms, 7, "a#1").as_deref(), Some("c#1"));
/// ```
pub fn choose_standby(vms: &IndexMap<VmId, DomainId>, shard: Shard, home: &str) -> Option<VmId> {
    let domain = vms.get(home);
    let others = vms.iter().filter(|(vm, _)| *vm != home);
    let best = others.max_by_key(|(vm, other)| (Some(*other) != domain, weight(shard, vm)))?;
    Some(best.0.clone())
}

/// Returns the rendezvous weight of a VM for a shard.
///
/// # Example
///
/// ```
/// use bramleypier::order::view;
///
/// assert_ne!(view::weight(1, "a#1"), view::weight(2, "a#1"));
/// ```
pub fn weight(shard: Shard, vm: &str) -> u64 {
    key::weight(&format!("orders/{shard}"), vm)
}
