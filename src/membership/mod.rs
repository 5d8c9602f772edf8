//! Who is there: membership of the fleet by probes between peers.
//!
//! The platform's list says who *may* be there, and lags; seeds from the settings say whom to ask
//! when the platform is down; probes say who *is* there. Each period a VM probes a few members. One
//! that fails to answer is probed through others; one that answers nobody is suspected, and the
//! suspicion travels on the probes, so that its subject can refute it with a higher incarnation. A
//! suspicion that stands is a loss. A start is a new identity (`name#start`), so the answer of
//! another start at the same address settles the old one's loss at once.
//!
//! The view is bounded. Of each failure domain a VM keeps the [`Timing::duty`] members that rank
//! first by a hash of their names: all VMs agree on these, and duties are given to them alone. Of
//! the rest it keeps [`Timing::others`], different ones at each VM, for the probes. Below their sum
//! the view is whole. How many VMs there are is estimated from the density of the ranks.
//!
//! Membership advises: it says who probably lives. It gives no authority. On the smaller side of a
//! partition it shows the larger side as lost and offers candidates for every duty; a duty that
//! must be held by one VM is held by a lease or by a compare-and-swap, never by this module's word.

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

/// One process's view of the fleet.
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
    inquiries: IndexMap<VmId, usize>,
    order: Vec<VmId>,
    contacts: Vec<calls::Contact>,
    leaving: IndexSet<String>,
    random: StdRng,
    next_call: CallId,
    next_round: Duration,
    next_retry: Duration,
    next_compare: Duration,
    next_forget: Duration,
    last_tick: Option<Duration>,
    started: Option<Duration>,
}

impl Membership {
    /// Creates the view of a process that knows only itself.
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
            inquiries: IndexMap::new(),
            order: Vec::new(),
            contacts: Vec::new(),
            leaving: IndexSet::new(),
            random: StdRng::seed_from_u64(seed),
            next_call: 0,
            next_round: Duration::ZERO,
            next_retry: Duration::ZERO,
            next_compare: Duration::ZERO,
            next_forget: Duration::ZERO,
            last_tick: None,
            started: None,
        }
    }

    /// Takes an event in and returns what is to be done, in order.
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

    /// Returns the members that probably live, this process and leaving ones among them.
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

    /// Returns whether a member probably lives, leaving or not.
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

    /// Returns what is held of a member, if it is in the view.
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

    /// Returns every member of the view with what is held of it.
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

    /// Returns up to `count` duty members for a subject, the best first, by rendezvous hashing.
    ///
    /// They stand in different failure domains while there are such. Members of `outside` are
    /// passed over, as are leaving ones and those that came back within [`Timing::hold`].
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

    /// Returns up to `count` duty members of one failure domain for a subject, the best first.
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

    /// Returns up to `count` members at random, for news.
    ///
    /// Each VM of the fleet is chosen about equally often, though few know each of the others.
    pub fn sample(&mut self, count: usize) -> Vec<Peer> {
        let mut peers = self.others(usize::MAX);
        peers.retain(|peer| !self.view.is_duty(&peer.vm) || !self.passes_over());
        peers.truncate(count);
        peers
    }

    /// Returns how many live VMs the fleet has, estimated where the view is not whole.
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

    /// Returns whether fewer than half of the members that were known lately live.
    ///
    /// A hint that this process may stand on the smaller side of a partition; no authority follows
    /// from it, or from its absence.
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

    /// Returns how many members the view holds, lost ones included.
    pub fn member_count(&self) -> usize {
        self.view.len()
    }

    /// Returns the hash of the view of the duty members; equal views have equal hashes.
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
