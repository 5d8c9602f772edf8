//! The process's own life cycle: the chart `charts/vm.ini`, run.

use std::{cell::Cell, rc::Rc, time::Duration};

use futures_channel::oneshot;
use futures_util::future;

use super::{Parts, fleet, owners, recorder::Recorder};
use crate::{
    chart::{
        Machine,
        charts::{
            self,
            vm::{Event, State},
        },
    },
    entry::{self, orders},
    settings::Settings,
    timeline::{self, Duty, Kind},
    util::{ini, names::Names, server::Control},
};

/// How often a process looks whether it has joined, or its last request has ended.
const POLL: Duration = Duration::from_millis(20);
/// After this long a process takes work even if it has heard from nobody.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the balancer and the peers have to hear that this VM stops.
const NOTICE: Duration = Duration::from_millis(500);
/// How long a stopping VM waits for its shards of orders to be handed over.
const HAND_OVER: Duration = Duration::from_secs(3);
/// How long the last messages have to leave.
const FAREWELL: Duration = Duration::from_millis(200);
/// The signal that asks for a stop.
const SIGTERM: i32 = 15;
/// The signal that a terminal sends.
const SIGINT: i32 = 2;

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Every request in flight was answered.
    Graceful,
    /// A second signal, or the end of the drain time, cut off this many connections.
    Cut(usize),
}

/// What the process serves on.
#[derive(Clone, Debug)]
pub struct Served {
    /// What the balancer's health check sees.
    pub health: entry::Health,
    /// Callers' connections.
    pub callers: Control,
    /// Peers' connections.
    pub peers: Control,
}

/// Where the process stands, readable by others.
#[derive(Clone, Debug)]
pub struct Shown(Rc<Cell<State>>);

impl Shown {
    /// Returns the state's name.
    pub fn name(&self) -> &'static str {
        self.0.get().name()
    }
}

/// The life cycle, run by the chart.
#[derive(Debug)]
pub struct Life {
    machine: Machine<State, Event>,
    shown: Shown,
    recorder: Recorder,
}

impl Life {
    /// Begins a life cycle.
    ///
    /// # Errors
    ///
    /// The chart is unsound.
    pub fn new(recorder: Recorder) -> Result<Self, ini::Fault> {
        let machine = charts::vm()?.machine();
        let shown = Shown(Rc::new(Cell::new(machine.state())));
        recorder.event(timeline::Event::new(Duty::Process, "start", Kind::Started));
        Ok(Self {
            machine,
            shown,
            recorder,
        })
    }

    /// Returns where the process stands, now and later.
    pub fn state(&self) -> Shown {
        self.shown.clone()
    }

    /// The sockets are open.
    pub fn listening(&mut self) {
        self.on(Event::Listening);
    }

    /// Runs from the open sockets to the end.
    pub async fn run(mut self, settings: &Settings, parts: &Parts, served: &Served) -> Ending {
        let mut stop = Box::pin(signal());
        let join = Box::pin(join(parts));
        if let future::Either::Left(_) = future::select(join, &mut stop).await {
            self.on(Event::Joined);
            served.health.set(true);
            stop.await;
        }
        self.on(Event::Stop);
        self.stop(settings, parts, served).await
    }

    /// Stops in order: says so, hands duties over, ends what is in flight.
    async fn stop(&mut self, settings: &Settings, parts: &Parts, served: &Served) -> Ending {
        served.health.set(false);
        let _ = parts.tasks.fleet.unbounded_send(fleet::Message::Leave);
        let _ = parts.tasks.owners.unbounded_send(owners::Message::Leave);
        let _ = parts.tasks.orders.unbounded_send(orders::Message::Leave);
        parts.clock.sleep(NOTICE).await;
        served.callers.stop();
        let drained = drain(parts, &served.callers);
        let bounded = parts.clock.timeout(settings.timing.drain, drained);
        future::select(Box::pin(bounded), Box::pin(signal())).await;
        let open = served.callers.open();
        let (event, ending) = match open {
            0 => (Event::Ended, Ending::Graceful),
            open => (Event::Expired, Ending::Cut(open)),
        };
        let _ = parts.tasks.fleet.unbounded_send(fleet::Message::Stop);
        parts.clock.sleep(FAREWELL).await;
        self.on(event);
        let stopped = timeline::Event::new(Duty::Process, "stop", Kind::Stopped);
        let cause = format!("{ending:?}");
        self.recorder.event(stopped.cause(cause.as_str()));
        self.recorder.flush();
        served.peers.stop();
        ending
    }

    fn on(&mut self, event: Event) {
        match self.machine.on(event) {
            Ok(change) => {
                self.shown.0.set(change.to);
                let phase = timeline::Event::new(Duty::Process, event.name(), Kind::Phase);
                self.recorder.event(phase.cause(change.to.name()));
            }
            Err(cause) => log::error!("step=life peer=self cause={cause:?}"),
        }
    }
}

/// Waits until this process has learnt what is in force, from the platform or from a peer.
async fn join(parts: &Parts) {
    let joined = async {
        while !fleet::is_joined(&parts.tasks).await {
            parts.clock.sleep(POLL).await;
        }
    };
    // Serving late beats never serving: after a while it takes work, and refuses what it can't route.
    let _ = parts.clock.timeout(JOIN_TIMEOUT, joined).await;
}

/// Waits for a signal that asks for a stop.
async fn signal() {
    let term = Box::pin(compio::signal::unix::signal(SIGTERM));
    let interrupt = Box::pin(compio::signal::unix::signal(SIGINT));
    future::select(term, interrupt).await;
}

/// Waits until no request and no order is under way, then for what is known of orders to be handed
/// over; the last VM of a fleet has nobody to hand it to, and doesn't wait for long.
async fn drain(parts: &Parts, callers: &Control) {
    while callers.open() > 0 || !idle(parts).await.orders {
        parts.clock.sleep(POLL).await;
    }
    let handing = async {
        while !idle(parts).await.shards {
            parts.clock.sleep(POLL).await;
        }
    };
    let _ = parts.clock.timeout(HAND_OVER, handing).await;
}

async fn idle(parts: &Parts) -> orders::Idle {
    let (reply, answer) = oneshot::channel();
    let _ = parts
        .tasks
        .orders
        .unbounded_send(orders::Message::Idle(reply));
    let ended = orders::Idle {
        orders: true,
        shards: true,
    };
    answer.await.unwrap_or(ended)
}
