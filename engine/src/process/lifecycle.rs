//! The lifecycle of a process, as its callers see it, with a type for each stage.
//!
//! ```text
//!  Starting ──view of the fleet is sufficient──► Ready ──stop requested──► Draining ──drained──► end
//!      └────────────────────stop requested───────────────────────────────────▲
//! ```
//!
//! Each stage has only the operations that are valid in it, and a transition consumes the stage before.

use std::{cell::Cell, marker::PhantomData, rc::Rc, time::Duration};

use bramleypier_util::{clock::Clock, server::Control};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either, LocalBoxFuture},
};

use super::signals;
use crate::{
    caller::serve, fleet::SharedFleet, owner::manager, registration, report::Report,
    serving::ServingState,
};

/// How long before the end of the grace period the process stops waiting for in-flight requests.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// How often a draining process checks whether its last connection has closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The view of the fleet is not yet sufficient to serve callers.
pub(super) enum Starting {}
/// Callers are served.
pub(super) enum Ready {}
/// Each response closes its connection, and the readiness check fails.
pub(super) enum Draining {}

/// The resources that a process opens and shuts down in order.
pub(super) struct Resources {
    pub(super) clock: Clock,
    pub(super) report: Report,
    pub(super) shared_fleet: SharedFleet,
    pub(super) serving: ServingState,
    /// How long a shutdown may take.
    pub(super) grace: Duration,
    /// Callers' connections.
    pub(super) callers: Control,
    /// The number of requests that this VM relays for others.
    pub(super) relayed: Rc<Cell<usize>>,
    pub(super) manager: mpsc::UnboundedSender<manager::Message>,
    /// This VM's entry in the store.
    pub(super) entry: registration::Handle,
}

/// A process in one stage of its lifecycle.
pub(super) struct Lifecycle<S> {
    resources: Resources,
    stop: LocalBoxFuture<'static, ()>,
    stage: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    fn into_stage<T>(self) -> Lifecycle<T> {
        Lifecycle {
            resources: self.resources,
            stop: self.stop,
            stage: PhantomData,
        }
    }
}

impl Lifecycle<Starting> {
    pub(super) fn new(resources: Resources) -> Self {
        Self {
            resources,
            stop: Box::pin(signals::stop_signal()),
            stage: PhantomData,
        }
    }

    /// Waits until callers can be served; a stop request before that starts draining at once.
    pub(super) async fn until_ready(mut self) -> Result<Lifecycle<Ready>, Lifecycle<Draining>> {
        let mut changes = self.resources.shared_fleet.subscribe();
        while !self.resources.shared_fleet.get().is_ready() {
            match future::select(changes.next(), &mut self.stop).await {
                Either::Left(_) => {}
                Either::Right(_) => return Err(self.into_stage()),
            }
        }
        self.resources.serving.set_ready(true);
        self.resources.report.line("event=ready");
        Ok(self.into_stage())
    }
}

impl Lifecycle<Ready> {
    /// Waits until the process is asked to stop.
    pub(super) async fn until_stop(mut self) -> Lifecycle<Draining> {
        (&mut self.stop).await;
        self.into_stage()
    }
}

impl Lifecycle<Draining> {
    /// Shuts down in order: the readiness check fails, the manager hands over, this VM's entry is removed,
    /// and callers' connections close once their requests have ended.
    pub(super) async fn drain(self) {
        let resources = self.resources;
        let deadline = resources.clock.now() + resources.grace.saturating_sub(EXIT_RESERVE);
        resources.serving.drain();
        let open = resources.callers.open();
        resources
            .report
            .line(&format!("event=stopping open={open}"));
        let balancer_delay = resources.clock.sleep(serve::BALANCER_DELAY);
        future::join(resign(&resources.manager), balancer_delay).await;
        resources.entry.end().await;
        resources.callers.stop();
        while (resources.callers.open() > 0 || resources.relayed.get() > 0)
            && resources.clock.now() < deadline
        {
            resources.clock.sleep(POLL_INTERVAL).await;
        }
        let closed = resources.callers.open();
        let unread = resources.callers.unread();
        resources
            .report
            .line(&format!("event=drained cut={closed} unread={unread}"));
    }
}

/// Asks the manager's task to hand over, and waits until it has.
async fn resign(manager: &mpsc::UnboundedSender<manager::Message>) {
    let (sender, done) = oneshot::channel();
    if manager
        .unbounded_send(manager::Message::Stop(sender))
        .is_ok()
    {
        // An error means that the task has ended, so there is nothing to hand over.
        let _ = done.await;
    }
}
