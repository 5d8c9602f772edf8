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

mod body;
mod calls;
mod queue;
mod view;

use std::time::Duration;

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, VmId};

/// Number of a call, unique at the process that numbers it.
pub type CallId = u64;
/// Number of a VM's statements about itself; the higher refutes the lower.
pub type Incarnation = u64;

/// A process of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its identity, new on each start: `name#start`.
    pub vm: VmId,
    /// `IP:port` at which peers call it.
    pub address: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
}

/// A VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Its name, without a start.
    pub name: String,
    /// `IP:port` at which peers call it.
    pub address: String,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What is held of a member; at one incarnation the later in this order wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    #[default]
    Live,
    /// It answers and takes no new duty.
    Leaving,
    /// It has answered nobody lately.
    Suspect,
    /// The suspicion was not refuted, or another start answered in its place.
    Gone,
    /// It said that it stopped.
    Left,
}

/// News of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The member.
    pub peer: Peer,
    /// The incarnation that the standing refers to.
    pub incarnation: Incarnation,
    /// What is said of it.
    pub standing: Standing,
}

/// A message between two processes; a request, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The sender's word on itself.
    pub sender: Update,
    /// Hash of the sender's view of the duty members.
    pub view: u64,
    /// What it asks or answers.
    pub body: Body,
    /// News that travels along.
    pub updates: Vec<Update>,
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver is there.
    Probe,
    /// Answers a probe.
    Answer,
    /// Asks the receiver to probe another.
    Relay(Peer),
    /// Answers [`Body::Relay`]: whether the other answered.
    Relayed(bool),
    /// Compares views: the sender's hash of each failure domain.
    Compare(IndexMap<DomainId, u64>),
    /// Members of the failure domains that differ.
    Members(Vec<Update>),
}

/// What happens to a membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; several times a period.
    Tick,
    /// The platform's list was read.
    List(Vec<Listed>),
    /// Addresses from the settings.
    Seeds(Vec<String>),
    /// Another process asks; its task numbered the call.
    Asked {
        /// The task's number of the call.
        call: CallId,
        /// What is asked.
        message: Message,
    },
    /// A call of [`Effect::Ask`] was answered.
    Answered {
        /// The number in the effect.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// A call of [`Effect::Ask`] failed or timed out.
    Failed {
        /// The number in the effect.
        call: CallId,
    },
    /// This process begins to stop: it takes no new duty.
    Leave,
    /// This process has handed its duties over and ends.
    Stop,
}

/// What a membership wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call another process.
    Ask {
        /// The number to answer with.
        call: CallId,
        /// `IP:port`.
        address: String,
        /// What to ask.
        message: Message,
        /// How long the answer may take.
        within: Duration,
    },
    /// Answer a call of [`Event::Asked`].
    Answer {
        /// The number in the event.
        call: CallId,
        /// The answer.
        message: Message,
    },
    /// A member's standing changed, for the log and the time line.
    Changed(Update),
}

/// The times and bounds of a membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Between two rounds of probes.
    pub period: Duration,
    /// Probes in a round.
    pub probes: usize,
    /// How long a probe may take.
    pub direct: Duration,
    /// How long a probe through another may take.
    pub indirect: Duration,
    /// How many others are asked to probe.
    pub helpers: usize,
    /// How long a suspicion stands before it is a loss, in a fleet of up to 16.
    pub suspicion: Duration,
    /// Between two attempts to reach a process that is not a live member.
    pub retry: Duration,
    /// Between two comparisons of views.
    pub compare: Duration,
    /// How long a member that came back is no candidate; doubles at each return.
    pub hold: Duration,
    /// How long a loss is remembered.
    pub forget: Duration,
    /// How far the platform's list may lag.
    pub lag: Duration,
    /// Duty members kept of each failure domain.
    pub duty: usize,
    /// Further members kept.
    pub others: usize,
    /// Updates in one message.
    pub updates: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(200),
            probes: 2,
            direct: Duration::from_millis(200),
            indirect: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_millis(800),
            retry: Duration::from_secs(1),
            compare: Duration::from_secs(1),
            hold: Duration::from_secs(5),
            forget: Duration::from_hours(2),
            lag: Duration::from_mins(2),
            duty: 32,
            others: 32,
            updates: 8,
        }
    }
}

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
    leaving: indexmap::IndexSet<String>,
    random: StdRng,
    next_call: CallId,
    next_round: Duration,
    next_retry: Duration,
    next_compare: Duration,
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
    /// assert_eq!(members.size(), 1);
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
            leaving: indexmap::IndexSet::new(),
            random: StdRng::seed_from_u64(seed),
            next_call: 0,
            next_round: Duration::ZERO,
            next_retry: Duration::ZERO,
            next_compare: Duration::ZERO,
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

    /// Returns the members that probably live, this process among them; the leaving ones are not.
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
        self.view.live().cloned().collect()
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
        self.view.get(vm).is_some_and(view::Member::is_present)
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
    /// assert_eq!(Membership::new(Peer::default(), Timing::default(), 7).size(), 1);
    /// ```
    pub fn size(&self) -> usize {
        self.view.size()
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
    pub fn held(&self) -> usize {
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
