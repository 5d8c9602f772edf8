//! The life cycle of the process, following the state chart `charts/vm.ini`.
//!
//! The process opens its sockets, joins the fleet, serves until a signal asks it to stop, hands over its roles
//! and drains the requests in flight.

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::signals::Arrivals;
use futures_channel::oneshot;
use futures_util::{StreamExt as _, future};

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

/// Interval between checks whether the process has joined, or has no request left.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time after which a process serves requests even if it has reached neither the platform nor a peer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the load balancer and the peers to notice that this VM is stopping.
const STOP_NOTICE_TIME: Duration = Duration::from_millis(500);
/// Maximum time that a stopping VM waits for the handover of its order shards.
const SHARD_HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to send the last messages before the process ends.
const FINAL_SEND_TIME: Duration = Duration::from_millis(200);

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Every request in flight was answered.
    Graceful,
    /// A second signal or the drain timeout closed this many connections.
    Cut(usize),
}

/// Controls of the process's health check and of its two servers.
#[derive(Clone, Debug)]
pub struct Servers {
    /// The result of the load balancer's health check.
    pub health: entry::Health,
    /// The server for callers.
    pub callers: Control,
    /// The server for peers.
    pub peers: Control,
}

/// Shared handle to the current state of the life cycle.
#[derive(Clone, Debug)]
pub struct StateHandle(Rc<Cell<State>>);

impl StateHandle {
    /// Returns the name of the current state.
    pub fn name(&self) -> &'static str {
        self.0.get().name()
    }
}

/// The life cycle of the process, driven by its state chart.
#[derive(Debug)]
pub struct Life {
    machine: Machine<State, Event>,
    current: StateHandle,
    recorder: Recorder,
}

impl Life {
    /// Starts the life cycle.
    ///
    /// # Errors
    ///
    /// The state chart is invalid.
    pub fn new(recorder: Recorder) -> Result<Self, ini::Fault> {
        let machine = charts::vm()?.machine();
        let current = StateHandle(Rc::new(Cell::new(machine.state())));
        recorder.event(timeline::Event::new(Duty::Process, "start", Kind::Started));
        Ok(Self {
            machine,
            current,
            recorder,
        })
    }

    /// Returns a handle to the current state, which follows later changes.
    pub fn state(&self) -> StateHandle {
        self.current.clone()
    }

    /// Records that the sockets are open.
    pub fn listening(&mut self) {
        self.on(Event::Listening);
    }

    /// Runs the process from the opening of its sockets to its end.
    pub async fn run(
        mut self,
        settings: &Settings,
        parts: &Parts,
        servers: &Servers,
        mut stops: Arrivals,
    ) -> Ending {
        let join = Box::pin(join(parts));
        if let future::Either::Left(_) = future::select(join, stops.next()).await {
            self.on(Event::Joined);
            servers.health.set(true);
            stops.next().await;
        }
        self.on(Event::Stop);
        self.stop(settings, parts, servers, stops).await
    }

    /// Stops in order: announces the stop, hands over roles, and drains the requests in flight.
    async fn stop(
        &mut self,
        settings: &Settings,
        parts: &Parts,
        servers: &Servers,
        mut stops: Arrivals,
    ) -> Ending {
        servers.health.set(false);
        let _ = parts.tasks.fleet.unbounded_send(fleet::Message::Leave);
        let _ = parts.tasks.owners.unbounded_send(owners::Message::Leave);
        let _ = parts.tasks.orders.unbounded_send(orders::Message::Leave);
        parts.clock.sleep(STOP_NOTICE_TIME).await;
        servers.callers.stop();
        let drained = drain(parts, &servers.callers);
        let bounded = parts.clock.timeout(settings.timing.drain, drained);
        future::select(Box::pin(bounded), stops.next()).await;
        let open = servers.callers.open();
        let (event, ending) = match open {
            0 => (Event::Ended, Ending::Graceful),
            open => (Event::Expired, Ending::Cut(open)),
        };
        let _ = parts.tasks.fleet.unbounded_send(fleet::Message::Stop);
        parts.clock.sleep(FINAL_SEND_TIME).await;
        self.on(event);
        let stopped = timeline::Event::new(Duty::Process, "stop", Kind::Stopped);
        let cause = format!("{ending:?}");
        self.recorder.event(stopped.cause(cause.as_str()));
        self.recorder.flush();
        servers.peers.stop();
        ending
    }

    fn on(&mut self, event: Event) {
        match self.machine.on(event) {
            Ok(change) => {
                self.current.0.set(change.to);
                let phase = timeline::Event::new(Duty::Process, event.name(), Kind::Phase);
                self.recorder.event(phase.cause(change.to.name()));
            }
            Err(cause) => log::error!("step=life peer=self cause={cause:?}"),
        }
    }
}

/// Waits until this process knows the configuration in force, from the platform or from a peer.
async fn join(parts: &Parts) {
    let joined = async {
        while !fleet::is_joined(&parts.tasks).await {
            parts.clock.sleep(POLL_PERIOD).await;
        }
    };
    // After the timeout the process serves anyway, and refuses requests that it can't route, rather than never
    // serving at all.
    let _ = parts.clock.timeout(JOIN_TIMEOUT, joined).await;
}

/// Waits until no request and no order is in progress, then until the order shards are handed over. The last
/// VM of a fleet has no successor for its shards, so this second wait is limited by [`SHARD_HANDOVER_TIMEOUT`].
async fn drain(parts: &Parts, callers: &Control) {
    while callers.open() > 0 || !idle_state(parts).await.orders {
        parts.clock.sleep(POLL_PERIOD).await;
    }
    let handed_over = async {
        while !idle_state(parts).await.shards {
            parts.clock.sleep(POLL_PERIOD).await;
        }
    };
    let _ = parts
        .clock
        .timeout(SHARD_HANDOVER_TIMEOUT, handed_over)
        .await;
}

async fn idle_state(parts: &Parts) -> orders::Idle {
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
