//! The lifecycle of a process, as its callers see it, with a type for each stage.
//!
//! ```text
//!  Starting ──view of the fleet is sufficient──► Ready ──stop requested──► Draining ──drained──► end
//!      └────────────────────stop requested───────────────────────────────────▲
//! ```
//!
//! Each stage has only the operations that are valid in it, and a transition consumes the stage before.

use std::{cell::Cell, marker::PhantomData, pin::pin, rc::Rc, time::Duration};

use bramleypier_util::{clock::Clock, server::Control, signals::Arrivals};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either},
};

use crate::{
    caller::serve,
    fleet::SharedFleet,
    owner::manager,
    placement::task,
    registration,
    report::Report,
    serving::{ServingState, StopTimes},
};

/// How long before the end of the grace period attempts at targets are given up.
const ATTEMPTS_RESERVE: Duration = Duration::from_millis(500);
/// How long before the end of the grace period the process ends: between the two, the callers whose attempts were given
/// up get their responses.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// How long before attempts are given up the last one starts.
///
/// Long requests take seven times as long as the mean, which is 0.3 s.
const LAST_ATTEMPT_TIME: Duration = Duration::from_millis(2100);
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
    pub(super) dispatcher: task::Handle,
    pub(super) manager: mpsc::UnboundedSender<manager::Message>,
    /// This VM's entry in the store.
    pub(super) entry: registration::Handle,
}

/// A process in one stage of its lifecycle.
pub(super) struct Lifecycle<S> {
    resources: Resources,
    /// Requests to stop.
    stops: Arrivals,
    stage: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    fn into_stage<T>(self) -> Lifecycle<T> {
        Lifecycle {
            resources: self.resources,
            stops: self.stops,
            stage: PhantomData,
        }
    }
}

impl Lifecycle<Starting> {
    pub(super) fn new(resources: Resources, stops: Arrivals) -> Self {
        Self {
            resources,
            stops,
            stage: PhantomData,
        }
    }

    /// Waits until callers can be served; a stop request before that starts draining at once.
    pub(super) async fn until_ready(mut self) -> Result<Lifecycle<Ready>, Lifecycle<Draining>> {
        let mut changes = self.resources.shared_fleet.subscribe();
        while !self.resources.shared_fleet.get().is_ready() {
            match future::select(changes.next(), self.stops.next()).await {
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
        self.stops.next().await;
        self.into_stage()
    }
}

impl Lifecycle<Draining> {
    /// Shuts down in order: the readiness check fails, the manager hands over, this VM's entry is removed,
    /// and callers' connections close once their requests have ended.
    pub(super) async fn drain(self) {
        let resources = self.resources;
        let schedule = Schedule::new(resources.clock.now(), resources.grace);
        resources.serving.drain(schedule.times);
        let open = resources.callers.open();
        resources
            .report
            .line(&format!("event=stopping open={open}"));
        let refuse = pin!(async {
            resources.sleep_until(schedule.last_attempt).await;
            resources.dispatcher.refuse_all();
            future::pending::<()>().await;
        });
        let shut_down = pin!(resources.shut_down(&schedule));
        future::select(shut_down, refuse).await;
        let closed = resources.callers.open();
        let unread = resources.callers.unread();
        resources
            .report
            .line(&format!("event=drained cut={closed} unread={unread}"));
    }
}

impl Resources {
    async fn sleep_until(&self, end: Duration) {
        let left = end.saturating_sub(self.clock.now());
        self.clock.sleep(left).await;
    }

    /// Hands over and closes callers' connections once their requests have ended.
    async fn shut_down(&self, schedule: &Schedule) {
        let hand_over = pin!(async {
            let balancer_delay = self.clock.sleep(serve::BALANCER_DELAY);
            future::join(resign(&self.manager), balancer_delay).await;
            self.entry.end().await;
        });
        // Connections are closed in time even if the store, which is told of the handover, doesn't answer.
        let last_attempt = pin!(self.sleep_until(schedule.last_attempt));
        let rest = match future::select(hand_over, last_attempt).await {
            Either::Left(_) => Either::Left(future::ready(())),
            Either::Right(((), rest)) => Either::Right(rest),
        };
        self.callers.stop();
        let ended = pin!(future::join(rest, self.until_closed()));
        let exit = pin!(self.sleep_until(schedule.exit));
        future::select(ended, exit).await;
    }

    /// Waits until no request is left: neither of a caller nor of another VM.
    async fn until_closed(&self) {
        while self.callers.open() > 0 || self.relayed.get() > 0 {
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }
}

/// When a draining process takes its last steps.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// When requests that aren't at a target are refused; no attempt starts afterwards.
    last_attempt: Duration,
    /// When callers and attempts at targets end.
    times: StopTimes,
    /// When the process ends at the latest.
    exit: Duration,
}

impl Schedule {
    /// Creates the schedule of a process that was asked to stop at `start`.
    fn new(start: Duration, grace: Duration) -> Self {
        let before_end = |reserve| start + grace.saturating_sub(reserve);
        let attempts_end = before_end(ATTEMPTS_RESERVE);
        let last_attempt = attempts_end.saturating_sub(LAST_ATTEMPT_TIME);
        // Until then the load balancer sends requests.
        let balanced_until = start + serve::BALANCER_DELAY;
        Self {
            last_attempt: last_attempt.max(balanced_until).min(attempts_end),
            times: StopTimes {
                balanced_until,
                attempts_end,
            },
            exit: before_end(EXIT_RESERVE),
        }
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
