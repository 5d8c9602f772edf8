//! Detects that this VM reaches no target, and sends requests through other VMs meanwhile.
//!
//! Load pattern: some VMs, perhaps all of a failure domain, lose all paths to targets for seconds, while callers, the
//! store and other VMs still reach them. Their connections to targets hang, are reset, or live on while new ones fail. The
//! load balancer goes on sending them callers, so what they can't deliver themselves they pass on to a VM that can
//! ([`relay`]). [`state`] decides, [`task`] probes and asks other VMs.

pub mod relay;
pub mod state;
pub mod task;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bramleypier_util::{
    body::Body,
    client::{Client, ConnectionObserver},
    clock::Clock,
};
use futures_util::future;
use hyper::Request;
use rand::seq::{IndexedRandom, IteratorRandom};

use self::state::{State, Step};
use crate::{
    catalogue::TargetId,
    fleet::{SharedFleet, Vm},
    report::Report,
    target::TargetProtocol,
};

/// The timeout of a probe: longer than a connection takes to open, with one lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How many targets a check probes at the same time: some of them may have ended.
const PROBED_TARGETS: usize = 4;

/// The dependencies of [`Reach`].
#[derive(Clone)]
pub struct Context {
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// Builds probes.
    pub targets: Rc<dyn TargetProtocol>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// How a request gets to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this VM.
    Direct,
    /// Through another VM.
    Through(Vm),
    /// Not at all: this VM reaches no target, and no VM that does is known.
    None,
}

/// Whether this VM reaches targets, and which VMs it can use instead; clones share the state.
#[derive(Clone)]
pub struct Reach {
    context: Context,
    /// Connections for probes only: each probe opens a new one.
    client: Client,
    state: Rc<RefCell<State>>,
    relays: Rc<RefCell<Vec<Vm>>>,
}

impl std::fmt::Debug for Reach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reach")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

/// Records what new connections show.
struct Observer {
    state: Rc<RefCell<State>>,
    clock: Clock,
    report: Report,
}

impl ConnectionObserver for Observer {
    fn on_response(&self, peer: SocketAddr) {
        if self.state.borrow_mut().on_response() {
            self.report
                .line(&format!("event=targets-reached peer={peer}"));
        }
    }

    fn on_failure(&self, peer: SocketAddr) {
        self.state.borrow_mut().on_failure(self.clock.now(), peer);
    }
}

impl Reach {
    /// Creates the state of a process that knows nothing yet.
    pub fn new(context: Context) -> Self {
        let reach = Self {
            client: Client::new(context.clock.clone(), PROBED_TARGETS),
            context,
            state: Rc::default(),
            relays: Rc::default(),
        };
        let client = reach.client.clone().with_observer(reach.observer());
        Self { client, ..reach }
    }

    /// Returns an observer of the connections of another client to targets.
    pub fn observer(&self) -> Rc<dyn ConnectionObserver> {
        Rc::new(Observer {
            state: self.state.clone(),
            clock: self.context.clock.clone(),
            report: self.context.report.clone(),
        })
    }

    /// Returns whether this VM reaches no target, while other VMs do.
    pub fn is_cut_off(&self) -> bool {
        self.state.borrow().is_cut_off()
    }

    /// Returns the path that a request to a target takes now.
    pub fn path(&self) -> Path {
        if !self.is_cut_off() {
            return Path::Direct;
        }
        let relays = self.relays.borrow();
        relays
            .choose(&mut rand::rng())
            .map_or(Path::None, |vm| Path::Through(vm.clone()))
    }

    /// Returns the reading of the clock.
    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    /// Stops sending requests through a VM, until it says again that it reaches targets.
    pub fn drop_relay(&self, vm: &Vm) {
        self.relays.borrow_mut().retain(|it| it.start != vm.start);
    }

    /// Adds VMs that reach targets.
    fn add_relays(&self, found: Vec<Vm>) {
        let mut relays = self.relays.borrow_mut();
        relays.retain(|it| !found.iter().any(|vm| vm.name == it.name));
        relays.extend(found);
    }

    /// Returns whether a target responds to this VM now; true if no target is known.
    pub async fn reaches_targets(&self) -> bool {
        if self.is_cut_off() {
            return false;
        }
        let targets = self.random_targets();
        targets.is_empty() || self.probe_any(&targets).await
    }

    /// Returns some targets.
    fn random_targets(&self) -> Vec<TargetId> {
        let fleet = self.context.shared_fleet.get();
        let targets = fleet.targets.keys().cloned();
        targets.choose_multiple(&mut rand::rng(), PROBED_TARGETS)
    }

    /// Returns whether any of some targets responds on a new connection.
    async fn probe_any(&self, targets: &[TargetId]) -> bool {
        let fleet = self.context.shared_fleet.get();
        let known = targets.iter().filter_map(|id| fleet.targets.get(id));
        let probes = known
            .take(PROBED_TARGETS)
            .map(|target| self.probe(target.address));
        future::join_all(probes).await.contains(&true)
    }

    async fn probe(&self, address: SocketAddr) -> bool {
        let call = self.context.targets.probe();
        let mut request = Request::new(Body::from(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = http::Uri::from_static(call.path);
        *request.headers_mut() = call.headers;
        if let Ok(host) = http::HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(http::header::HOST, host);
        }
        let sent = self.client.send(address, request, PROBE_TIMEOUT).await;
        // The connection isn't used again: the next probe must open another one.
        self.client.close_idle();
        sent.is_ok()
    }

    fn next_step(&self) -> Step {
        let relays = self.relays.borrow().len();
        self.state.borrow_mut().next_step(self.now(), relays)
    }
}
