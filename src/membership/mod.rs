//! Membership of the fleet: which VMs run, found out by probes between peers.
//!
//! The platform's list names the VMs that *may* run, and lags. Seed addresses from the settings are
//! contacted when the platform is down. Probes tell which VMs *do* run. Each period a VM probes a
//! few members. A member that doesn't answer is probed through others. If none of them reaches it,
//! it is suspected; the suspicion is sent along with probes, so that the member can refute it with a
//! higher incarnation. A member that doesn't refute it in time is declared lost. Each start is a new
//! identity (`name#start`), so an answer from another start at the same address shows at once that
//! the older one is lost.
//!
//! The view is bounded. In each failure domain a VM keeps the [`Timing::duty`] members that rank
//! first by a hash of their names. All VMs agree on these, and only they are eligible for roles. Of
//! the other members each VM keeps [`Timing::others`], a different selection at each VM, to probe.
//! A fleet that fits within these limits is known completely; the size of a larger one is estimated
//! from the density of the ranks.
//!
//! Membership is advisory: it tells which VMs probably run and grants no authority. On the smaller
//! side of a partition it shows the larger side as lost and offers candidates for every role. A role
//! that only one VM may hold therefore needs a lease or a compare-and-swap.

mod calls;
mod exchange;
mod member;
mod message;
mod queue;
mod timing;
mod view;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::{SeedableRng, rngs::StdRng};

use crate::id::{DomainId, VmId};
pub use crate::membership::{
    message::{Body, CallId, Effect, Event, Incarnation, Listed, Message, Peer, Standing, Update},
    timing::Timing,
};

/// The view that one process has of the fleet.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use bramleypier::membership::{Event, Membership, Peer, Timing};
///
/// let me = Peer {
///     vm: "vm-1#1".to_owned(),
///     address: "127.0.0.1:7000".to_owned(),
///     domain: "uio-norte".to_owned(),
/// };
/// let mut members = Membership::new(me, Timing::default(), 7);
/// let seeds = Event::Seeds(vec!["127.0.0.1:7001".to_owned()]);
/// assert!(members.on(Duration::ZERO, seeds).is_empty());
/// let effects = members.on(Duration::ZERO, Event::Tick);
/// assert_eq!(effects.len(), 1);
/// assert_eq!(members.live().len(), 1);
/// ```
#[derive(Debug)]
pub struct Membership {
    timing: Timing,
    view: view::View,
    queue: queue::Queue,
    calls: IndexMap<CallId, calls::Call>,
    relayed_probes: IndexMap<VmId, usize>,
    probe_order: Vec<VmId>,
    contacts: Vec<calls::Contact>,
    leaving: IndexSet<String>,
    random: StdRng,
    next_call: CallId,
    next_round: Duration,
    next_retry: Duration,
    next_compare: Duration,
    next_cleanup: Duration,
    last_tick: Option<Duration>,
    started: Option<Duration>,
}

impl Membership {
    /// Creates the membership of a process that knows only itself.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert_eq!(members.fleet_size(), 1);
    /// ```
    pub fn new(me: Peer, timing: Timing, seed: u64) -> Self {
        let view = view::View::new(me, timing.duty, timing.others);
        Self {
            timing,
            view,
            queue: queue::Queue::default(),
            calls: IndexMap::new(),
            relayed_probes: IndexMap::new(),
            probe_order: Vec::new(),
            contacts: Vec::new(),
            leaving: IndexSet::new(),
            random: StdRng::seed_from_u64(seed),
            next_call: 0,
            next_round: Duration::ZERO,
            next_retry: Duration::ZERO,
            next_compare: Duration::ZERO,
            next_cleanup: Duration::ZERO,
            last_tick: None,
            started: None,
        }
    }

    /// Processes an event and returns the actions to perform, in order.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::membership::{Event, Membership, Peer, Timing};
    ///
    /// let mut members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert!(members.on(Duration::ZERO, Event::Tick).is_empty());
    /// ```
    pub fn on(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        self.started.get_or_insert(now);
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::List(list) => self.list(now, &list, &mut effects),
            Event::Seeds(seeds) => self.seeds(seeds),
            Event::Asked { call, message } => self.asked(now, call, message, &mut effects),
            Event::Answered { call, message } => self.answered(now, call, message, &mut effects),
            Event::Failed { call } => self.failed(now, call, &mut effects),
            Event::Leave => self.announce(now, Standing::Leaving, &mut effects),
            Event::Stop => self.stop(now, &mut effects),
        }
        effects
    }

    /// Returns this process.
    pub fn me(&self) -> &Peer {
        self.view.me()
    }

    /// Returns the members that probably run, including this process and draining ones.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert_eq!(members.live(), vec![Peer::default()]);
    /// ```
    pub fn live(&self) -> Vec<Peer> {
        self.view.present().cloned().collect()
    }

    /// Returns whether a member probably runs, draining or not.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert!(!members.is_live("vm-9#1"));
    /// ```
    pub fn is_live(&self, vm: &str) -> bool {
        self.view.get(vm).is_some_and(member::Member::is_present)
    }

    /// Returns the standing of a member, if it is in the view.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Standing, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert_eq!(members.standing(""), Some(Standing::Live));
    /// ```
    pub fn standing(&self, vm: &str) -> Option<Standing> {
        self.view.get(vm).map(|member| member.standing)
    }

    /// Returns all members of the view with their incarnation and standing.
    pub fn members(&self) -> Vec<Update> {
        self.view.updates().collect()
    }

    /// Returns the failure domains that have a live member, sorted.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert_eq!(members.domains().len(), 1);
    /// ```
    pub fn domains(&self) -> Vec<DomainId> {
        self.view.domains()
    }

    /// Returns up to `count` eligible members for a subject, the best first, by rendezvous hashing.
    ///
    /// They are in different failure domains as far as there are enough. Members of the failure
    /// domain `outside` are skipped, as are draining ones and those that recently returned after a
    /// loss (see [`Timing::hold`]).
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert_eq!(members.candidates(Duration::ZERO, "group-1", 3, None).len(), 1);
    /// ```
    pub fn candidates(
        &self,
        now: Duration,
        subject: &str,
        count: usize,
        outside: Option<&str>,
    ) -> Vec<Peer> {
        self.view.candidates(now, subject, count, outside)
    }

    /// Returns up to `count` eligible members of one failure domain for a subject, the best first.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// let members = Membership::new(Peer::default(), Timing::default(), 7);
    /// assert!(members.candidates_in(Duration::ZERO, "watch", 3, "uio-sur").is_empty());
    /// ```
    pub fn candidates_in(
        &self,
        now: Duration,
        subject: &str,
        count: usize,
        domain: &str,
    ) -> Vec<Peer> {
        self.view.candidates_in(now, subject, count, domain)
    }

    /// Returns up to `count` random members to send new items to.
    ///
    /// Each VM of the fleet is chosen about equally often, although only a few VMs know each of the
    /// members that are not eligible.
    pub fn sample(&mut self, count: usize) -> Vec<Peer> {
        let mut peers = self.others(usize::MAX);
        peers.retain(|peer| !self.view.is_eligible(&peer.vm) || !self.skips_eligible());
        peers.truncate(count);
        peers
    }

    /// Returns the number of live VMs in the fleet, estimated if the view is incomplete.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// assert_eq!(Membership::new(Peer::default(), Timing::default(), 7).fleet_size(), 1);
    /// ```
    pub fn fleet_size(&self) -> usize {
        self.view.fleet_size()
    }

    /// Returns whether fewer than half of the recently known members are present.
    ///
    /// This hints that the process may be on the smaller side of a partition. Neither value grants
    /// any authority.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::membership::{Membership, Peer, Timing};
    ///
    /// assert!(!Membership::new(Peer::default(), Timing::default(), 7).is_minority());
    /// ```
    pub fn is_minority(&self) -> bool {
        self.view.is_minority()
    }

    /// Returns the number of members in the view, lost ones included.
    pub fn member_count(&self) -> usize {
        self.view.len()
    }

    /// Returns the hash of the eligible members; equal views have equal hashes.
    pub fn digest(&self) -> u64 {
        self.view.hash()
    }
}

/// Returns a VM's name: its identity without the start.
///
/// # Example
///
/// ```
/// use bramleypier::membership;
///
/// assert_eq!(membership::name("vm-1#1700"), "vm-1");
/// ```
pub fn name(vm: &str) -> &str {
    vm.split_once('#').map_or(vm, |(name, _)| name)
}
