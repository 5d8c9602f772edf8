//! One bramleypier process: its tasks, and how they start and stop.
//!
//! Each task owns its state and communicates with the others by messages:
//!
//! - [`fleet`] owns the view of the fleet and all gossiped items, and watches the platform's service;
//! - [`outbound`] sends messages to other VMs;
//! - [`owners`] owns the grantors of this VM;
//! - [`crate::entry::router`] owns routes and limits, and decides where a request is sent;
//! - [`crate::entry::orders`] owns the state of orders;
//! - [`admin`] serves peers and operators;
//! - [`life`] runs the life cycle of the process.

pub mod admin;
pub mod fleet;
pub mod gone;
pub mod grantor_events;
pub mod life;
pub mod outbound;
pub mod owners;
pub mod recorder;
pub mod ticks;
pub mod wire;

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use bramleypier_util::signals::Arrivals;
use compio::net::TcpListener;
use futures_channel::mpsc;
use quick_error::quick_error;
use uuid::Uuid;

use crate::{
    clock::Clock,
    entry::{self, orders, router, ticket},
    gossip::Gossip,
    id::VmId,
    key,
    membership::Peer,
    metrics::{self, Metrics},
    order::memory,
    platform::Platform,
    settings::{self, Settings},
    spread, target,
    util::{
        ini,
        server::{self, Control},
    },
};

pub use life::Ending;

/// Maximum number of connections from this VM to one target; 12 VMs stay within a target's limit of 120.
const TARGET_CONNECTIONS: usize = 10;
/// Interval between sends of the metrics.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a process failed to start.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(key: &'static str, address: SocketAddr, cause: io::Error) {
            display("[listen] {key}: {address}: {cause}")
            source(cause)
        }
        /// The socket for metrics could not be opened.
        Metrics(cause: metrics::Error) {
            display("[metrics] statsd: {cause}")
            source(cause)
            from()
        }
        /// A state chart is invalid; this is a bug in the program.
        Chart(cause: ini::Fault) {
            display("{cause}")
            from()
        }
    }
}

/// Senders of the channels of this process's tasks.
#[derive(Clone, Debug)]
pub struct Tasks {
    /// To [`outbound`].
    pub outbound: mpsc::UnboundedSender<outbound::Message>,
    /// To [`fleet`].
    pub fleet: mpsc::UnboundedSender<fleet::Message>,
    /// To [`owners`].
    pub owners: mpsc::UnboundedSender<owners::Message>,
    /// To [`router`].
    pub router: mpsc::UnboundedSender<ticket::Message>,
    /// To [`orders`].
    pub orders: mpsc::UnboundedSender<orders::Message>,
}

/// Receivers of the channels of this process's tasks.
struct Inboxes {
    outbound: mpsc::UnboundedReceiver<outbound::Message>,
    fleet: mpsc::UnboundedReceiver<fleet::Message>,
    owners: mpsc::UnboundedReceiver<owners::Message>,
    router: mpsc::UnboundedReceiver<ticket::Message>,
    orders: mpsc::UnboundedReceiver<orders::Message>,
}

/// Shared context of the process's tasks.
#[derive(Clone, Debug)]
pub struct Parts {
    /// This VM as its peers know it.
    pub me: Peer,
    /// The process's clock.
    pub clock: Clock,
    /// Client of the platform's service.
    pub platform: Platform,
    /// Senders to the other tasks.
    pub tasks: Tasks,
    /// Records events in the timeline, the metrics and the log.
    pub recorder: recorder::Recorder,
    /// Durations from the settings.
    pub timing: settings::Timing,
    /// Limits on the number of remembered orders and how long they are kept.
    pub memory: memory::Limits,
}

/// Runs a process until a signal stops it.
///
/// # Errors
///
/// An address could not be bound, the socket for metrics could not be opened, or a state chart is invalid. The
/// process doesn't serve then.
pub async fn run(settings: Settings, stops: Arrivals) -> Result<Ending, Error> {
    let callers = bind("callers", settings.callers).await?;
    let peers = bind("peers", settings.peers).await?;
    let metrics = Metrics::open(settings.statsd)?;
    let caller = local_address(&callers, settings.callers);
    let peer = local_address(&peers, settings.peers);
    let address = settings.advertise.unwrap_or(peer);
    let vm = format!("{}#{}", settings.name, Uuid::now_v7().simple());
    let recorder = recorder::Recorder::new(vm.clone(), settings.limits.events, metrics.clone());
    let mut life = life::Life::new(recorder.clone())?;
    let (tasks, inboxes) = channels();
    let clock = Clock::real();
    let parts = Parts {
        me: Peer {
            vm: vm.clone(),
            address: address.to_string(),
            domain: settings.domain.clone(),
        },
        platform: Platform::new(clock.clone(), settings.platform, vm.clone())
            .with_metrics(metrics.clone()),
        clock,
        tasks,
        recorder,
        timing: settings.timing.clone(),
        memory: settings.memory(),
    };
    let context = start_tasks(&parts, inboxes, address);
    let servers = life::Servers {
        health: context.health.clone(),
        callers: Control::default(),
        peers: Control::default(),
    };
    let handle = move |request| entry::handle(context.clone(), request);
    compio::runtime::spawn(server::serve(callers, servers.callers.clone(), handle)).detach();
    let admin = admin::Admin::new(parts.clone(), servers.callers.clone(), life.state());
    let answer = move |request| admin.clone().handle(request);
    compio::runtime::spawn(server::serve(peers, servers.peers.clone(), answer)).detach();
    let seeds = settings.seeds.iter().map(SocketAddr::to_string).collect();
    let _ = parts
        .tasks
        .fleet
        .unbounded_send(fleet::Message::Seeds(seeds));
    life.listening();
    print_ready(&vm, caller, peer);
    Ok(life.run(&settings, &parts, &servers, stops).await)
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Bind(key, address, cause))
}

fn local_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Prints to standard output that the process accepts requests, and at which addresses.
fn print_ready(vm: &VmId, callers: SocketAddr, peers: SocketAddr) {
    let mut out = io::stdout();
    // Standard output may be closed; the process serves regardless.
    let _ = writeln!(out, "ready caller={callers} peer={peers} vm={vm}");
    let _ = out.flush();
}

fn channels() -> (Tasks, Inboxes) {
    let (outbound, outbound_in) = mpsc::unbounded();
    let (fleet, fleet_in) = mpsc::unbounded();
    let (owners, owners_in) = mpsc::unbounded();
    let (router, router_in) = mpsc::unbounded();
    let (orders, orders_in) = mpsc::unbounded();
    let tasks = Tasks {
        outbound,
        fleet,
        owners,
        router,
        orders,
    };
    let inboxes = Inboxes {
        outbound: outbound_in,
        fleet: fleet_in,
        owners: owners_in,
        router: router_in,
        orders: orders_in,
    };
    (tasks, inboxes)
}

/// Starts all tasks and returns the context for handling requests.
fn start_tasks(parts: &Parts, inboxes: Inboxes, address: SocketAddr) -> entry::Context {
    let seed = key::point(&parts.me.vm);
    let timing = parts.timing.membership();
    let gossip = Gossip::new(parts.me.clone(), timing, spread::Limits::default(), seed);
    let fleet = fleet::FleetTask::new(parts.clone(), gossip, seed);
    let owners = owners::Owners::new(parts.clone());
    let router = router::Router::new(parts.clone());
    let orders = orders::OrderTask::new(parts.clone());
    compio::runtime::spawn(fleet.run(inboxes.fleet)).detach();
    compio::runtime::spawn(owners.run(inboxes.owners)).detach();
    compio::runtime::spawn(router.run(inboxes.router)).detach();
    compio::runtime::spawn(orders.run(inboxes.orders)).detach();
    compio::runtime::spawn(outbound::run(parts.clone(), address, inboxes.outbound)).detach();
    let sender = target::Sender::new(parts.clock.clone(), TARGET_CONNECTIONS);
    compio::runtime::spawn(flush_metrics(parts.clone(), sender.clone())).detach();
    entry::Context {
        clock: parts.clock.clone(),
        vm: parts.me.vm.clone(),
        router: parts.tasks.router.clone(),
        orders: parts.tasks.orders.clone(),
        sender,
        health: entry::Health::default(),
        recorder: parts.recorder.clone(),
    }
}

/// Sends the metrics periodically.
async fn flush_metrics(parts: Parts, sender: target::Sender) {
    loop {
        parts.clock.sleep(FLUSH_PERIOD).await;
        let opened = sender.opened();
        parts.recorder.set(&metrics::CONNECTIONS_OPENED, opened);
        parts.recorder.flush();
    }
}
