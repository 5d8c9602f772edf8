//! One process of bramleypier: its tasks, and how they start and stop.
//!
//! Each task owns its state and talks to the others by messages:
//!
//! - [`news`] owns the view of the fleet and all that is spread, and watches the platform's service;
//! - [`mail`] sends to other VMs;
//! - [`owners`] owns the grantors of this VM, and the routes;
//! - [`crate::entry::router`] owns limits and says where a request may go;
//! - [`crate::entry::desk`] owns what is known of orders;
//! - [`admin`] answers peers and operators.

pub mod admin;
pub mod mail;
pub mod news;
pub mod owners;
pub mod wire;

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use compio::net::TcpListener;
use futures_channel::mpsc;
use futures_util::future;
use quick_error::quick_error;
use uuid::Uuid;

use crate::{
    clock::Clock,
    entry::{self, desk, router},
    gossip::Gossip,
    id::VmId,
    key,
    membership::{self, Peer},
    platform::Platform,
    settings::Settings,
    spread, target,
    util::server::{self, Control},
};

/// The most connections from this VM to one target: 12 VMs stay within its 120.
const TARGET_CONNECTIONS: usize = 10;
/// How often a stopping process looks whether its last request has ended.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long the balancer and the peers have to hear that this VM stops.
const NOTICE: Duration = Duration::from_millis(500);
/// The signal that asks for a stop.
const SIGTERM: i32 = 15;
/// The signal that a terminal sends.
const SIGINT: i32 = 2;

quick_error! {
    /// Why a process did not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address could not be bound.
        Bind(key: &'static str, address: SocketAddr, cause: io::Error) {
            display("[listen] {key} = {address}: {cause}")
            source(cause)
        }
    }
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Every request in flight was answered.
    Graceful,
    /// A second signal, or the end of the drain time, cut off this many requests.
    Cut(usize),
}

/// The senders to this process's tasks.
#[derive(Clone, Debug)]
pub struct Tasks {
    /// To [`mail`].
    pub mail: mpsc::UnboundedSender<mail::Message>,
    /// To [`news`].
    pub news: mpsc::UnboundedSender<news::Message>,
    /// To [`owners`].
    pub owners: mpsc::UnboundedSender<owners::Message>,
    /// To [`router`].
    pub router: mpsc::UnboundedSender<router::Message>,
    /// To [`desk`].
    pub desk: mpsc::UnboundedSender<desk::Message>,
}

/// Runs a process until it is told to stop.
///
/// # Errors
///
/// An address could not be bound; nothing was started.
pub async fn run(settings: Settings) -> Result<Ending, Error> {
    let callers = bind("callers", settings.callers).await?;
    let peers = bind("peers", settings.peers).await?;
    let bound = local(&peers, settings.peers);
    let address = settings.advertise.unwrap_or(bound);
    let vm = format!("{}#{}", settings.name, Uuid::now_v7().simple());
    let clock = Clock::real();
    let me = Peer {
        vm: vm.clone(),
        address: address.to_string(),
        domain: settings.domain.clone(),
    };
    let health = entry::Health::default();
    let (tasks, context) = start(&settings, &clock, me, &health);
    let caller_control = Control::default();
    let peer_control = Control::default();
    let handle = move |request| entry::handle(context.clone(), request);
    let entry = server::serve(callers.clone(), caller_control.clone(), handle);
    compio::runtime::spawn(entry).detach();
    let admin = admin::Admin::new(vm.clone(), tasks.clone(), clock.clone());
    let answer = move |request| admin.clone().handle(request);
    compio::runtime::spawn(server::serve(peers, peer_control.clone(), answer)).detach();
    ready(&vm, local(&callers, settings.callers), bound);
    log::info!(
        "step=start peer={vm} callers={}",
        local(&callers, settings.callers)
    );
    signal().await;
    let ending = stop(&settings, &clock, &tasks, &health, &caller_control).await;
    peer_control.stop();
    log::info!("step=stop peer={vm} ending={ending:?}");
    Ok(ending)
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| Error::Bind(key, address, cause))
}

fn local(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

/// Says on standard output that the process takes requests, and where.
fn ready(vm: &VmId, callers: SocketAddr, peers: SocketAddr) {
    let mut out = io::stdout();
    // Nobody may be reading; the process serves all the same.
    let _ = writeln!(out, "ready caller={callers} peer={peers} vm={vm}");
    let _ = out.flush();
}

/// Starts all tasks.
fn start(
    settings: &Settings,
    clock: &Clock,
    me: Peer,
    health: &entry::Health,
) -> (Tasks, entry::Context) {
    let (mail, mail_in) = mpsc::unbounded();
    let (news, news_in) = mpsc::unbounded();
    let (owners, owners_in) = mpsc::unbounded();
    let (router, router_in) = mpsc::unbounded();
    let (desk, desk_in) = mpsc::unbounded();
    let tasks = Tasks {
        mail,
        news,
        owners,
        router,
        desk,
    };
    let vm = me.vm.clone();
    let platform = Platform::new(clock.clone(), settings.platform, vm.clone());
    let sender = target::Sender::new(clock.clone(), TARGET_CONNECTIONS);
    let context = entry::Context {
        clock: clock.clone(),
        vm: vm.clone(),
        router: tasks.router.clone(),
        desk: tasks.desk.clone(),
        sender,
        health: health.clone(),
    };
    let address = settings_address(&me, settings.peers);
    let seed = key::point(&vm);
    let gossip = Gossip::new(
        me,
        membership::Timing::default(),
        spread::Limits::default(),
        seed,
    );
    let known = news::News::new(clock.clone(), platform.clone(), tasks.clone(), gossip, seed);
    let routing = router::Router::new(vm.clone(), clock.clone(), tasks.router.clone());
    let grants = owners::Owners::new(clock.clone(), vm.clone(), platform, tasks.clone());
    compio::runtime::spawn(known.run(news_in)).detach();
    compio::runtime::spawn(mail::run(clock.clone(), vm.clone(), address, mail_in)).detach();
    compio::runtime::spawn(grants.run(owners_in)).detach();
    compio::runtime::spawn(routing.run(router_in)).detach();
    compio::runtime::spawn(desk::Desk::new().run(desk_in)).detach();
    let seeds = settings.seeds.iter().map(SocketAddr::to_string).collect();
    let _ = tasks.news.unbounded_send(news::Message::Seeds(seeds));
    (tasks, context)
}

fn settings_address(me: &Peer, asked: SocketAddr) -> SocketAddr {
    me.address.parse().unwrap_or(asked)
}

/// Waits for a signal that asks for a stop.
async fn signal() {
    let term = Box::pin(compio::signal::unix::signal(SIGTERM));
    let interrupt = Box::pin(compio::signal::unix::signal(SIGINT));
    future::select(term, interrupt).await;
}

/// Stops in order: says so, hands duties over, ends what is in flight.
async fn stop(
    settings: &Settings,
    clock: &Clock,
    tasks: &Tasks,
    health: &entry::Health,
    callers: &Control,
) -> Ending {
    health.stop();
    let _ = tasks.news.unbounded_send(news::Message::Leave);
    let _ = tasks.owners.unbounded_send(owners::Message::Leave);
    clock.sleep(NOTICE).await;
    callers.stop();
    let drained = drain(clock, callers);
    let bounded = clock.timeout(settings.timing.drain, drained);
    let second = Box::pin(signal());
    future::select(Box::pin(bounded), second).await;
    let cut = callers.open();
    let _ = tasks.news.unbounded_send(news::Message::Stop);
    clock.sleep(STOP_POLL * 5).await;
    if cut == 0 {
        Ending::Graceful
    } else {
        Ending::Cut(cut)
    }
}

async fn drain(clock: &Clock, callers: &Control) {
    while callers.open() > 0 {
        clock.sleep(STOP_POLL).await;
    }
}
