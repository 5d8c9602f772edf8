//! A process's life towards its callers, a type for each stage.
//!
//! ```text
//!  Starting ──beliefs suffice──► Ready ──told to stop──► Leaving ──drained──► end
//!      └──────────────told to stop────────────────────────▲
//! ```
//!
//! Each stage has the operations that make sense in it only, and a step takes the stage before.

use std::{marker::PhantomData, time::Duration};

use bramleypier_util::{clock::Clock, server::Control};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either, LocalBoxFuture},
};

use super::signals;
use crate::{
    caller::serve::{self, Gate},
    fleet::SharedFleet,
    owner::manager,
    registration,
    report::Report,
};

/// What is left of the grace when the process gives up waiting for requests in flight.
const FAREWELL: Duration = Duration::from_millis(500);
/// How often a stopping process looks whether its last request has ended.
const POLL: Duration = Duration::from_millis(20);

/// Nothing is known yet that callers could be served by.
pub(super) enum Starting {}
/// Callers are welcome.
pub(super) enum Ready {}
/// Each answer is its connection's last; nothing new is taken on.
pub(super) enum Leaving {}

/// What a process has to open and to end in order.
pub(super) struct Duties {
    pub(super) clock: Clock,
    pub(super) report: Report,
    pub(super) shared_fleet: SharedFleet,
    pub(super) gate: Gate,
    /// How long a stop may take.
    pub(super) grace: Duration,
    /// Callers' connections.
    pub(super) callers: Control,
    pub(super) manager: mpsc::UnboundedSender<manager::Message>,
    /// This VM's entry in the store.
    pub(super) entry: registration::Handle,
}

/// A process in one stage of its life.
pub(super) struct Lifecycle<S> {
    duties: Duties,
    stop: LocalBoxFuture<'static, ()>,
    stage: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    fn into_stage<T>(self) -> Lifecycle<T> {
        Lifecycle {
            duties: self.duties,
            stop: self.stop,
            stage: PhantomData,
        }
    }
}

impl Lifecycle<Starting> {
    pub(super) fn new(duties: Duties) -> Self {
        Self {
            duties,
            stop: Box::pin(signals::stop_signal()),
            stage: PhantomData,
        }
    }

    /// Waits until callers can be served; a process that is told to stop before leaves at once.
    pub(super) async fn until_ready(mut self) -> Result<Lifecycle<Ready>, Lifecycle<Leaving>> {
        let mut changes = self.duties.shared_fleet.subscribe();
        while !self.duties.shared_fleet.get().is_ready() {
            match future::select(changes.next(), &mut self.stop).await {
                Either::Left(_) => {}
                Either::Right(_) => return Err(self.into_stage()),
            }
        }
        self.duties.gate.set_ready(true);
        self.duties.report.line("event=ready");
        Ok(self.into_stage())
    }
}

impl Lifecycle<Ready> {
    /// Waits until the process is told to stop.
    pub(super) async fn until_told(mut self) -> Lifecycle<Leaving> {
        (&mut self.stop).await;
        self.into_stage()
    }
}

impl Lifecycle<Leaving> {
    /// Ends in order: no new connections, duties handed over, requests in flight ended.
    pub(super) async fn drain(self) {
        let duties = self.duties;
        let end = duties.clock.now() + duties.grace.saturating_sub(FAREWELL);
        duties.gate.leave();
        let open = duties.callers.open();
        duties.report.line(&format!("event=stopping open={open}"));
        let noticed = duties.clock.sleep(serve::NOTICED);
        future::join(resign(&duties.manager), noticed).await;
        duties.entry.end().await;
        duties.callers.stop();
        while duties.callers.open() > 0 && duties.clock.now() < end {
            duties.clock.sleep(POLL).await;
        }
        let cut = duties.callers.open();
        duties.report.line(&format!("event=drained cut={cut}"));
    }
}

/// Has the manager's task hand over, and waits until it has.
async fn resign(manager: &mpsc::UnboundedSender<manager::Message>) {
    let (sender, done) = oneshot::channel();
    if manager
        .unbounded_send(manager::Message::Stop(sender))
        .is_ok()
    {
        // A task that ended by itself has nothing to hand over.
        let _ = done.await;
    }
}
