//! The task that owns the dispatcher and responds to requests for targets through channels.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either},
};

use super::dispatch::{
    Basis, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, FleetView,
    MIN_RETRY_AFTER, RefusalReason, Snapshot, Ticket,
};
use crate::{
    catalogue::{Rate, Target},
    report::Report,
    target::LoadReport,
};

/// How often queued requests are checked while no event arrives: deadlines pass, and load reports lose weight with age.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A message to the dispatcher's task.
enum Message {
    Request(DispatchRequest, oneshot::Sender<Result<Permit, Refused>>),
    Event(Event),
    Snapshot(oneshot::Sender<Snapshot>),
    RefuseAll,
}

/// The requests that wait for the dispatcher's decision.
type Pending = HashMap<Ticket, oneshot::Sender<Result<Permit, Refused>>>;

/// The refusal of a request for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// The reason.
    pub reason: RefusalReason,
    /// How long it takes until a slot is likely to be free.
    pub retry_after: Duration,
    /// The data behind the decision.
    pub basis: Basis,
}

impl Refused {
    /// Refuses a request without a decision of the dispatcher.
    fn without_decision(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: MIN_RETRY_AFTER,
            basis: Basis::default(),
        }
    }
}

/// Permission to send one request to a target; dropping it reports the request as abandoned.
#[derive(Debug)]
pub struct Permit {
    /// The target.
    pub target: Target,
    /// The data behind the decision.
    pub basis: Basis,
    /// When the permit was issued.
    pub sent_at: Duration,
    clock: Clock,
    dispatcher: Option<Handle>,
}

impl Permit {
    /// Reports the rate limit that the target's response asks for; `None` if it asks for none.
    pub fn report_rate(&self, rate: Option<Rate>) {
        // Most targets never ask for a limit, and a message for each of their responses would be wasted.
        if rate.is_none() && self.basis.rate.is_none() {
            return;
        }
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.send(Event::Rate(self.target.id.clone(), rate));
        }
    }

    /// Reports for how long the target wants no requests from this VM, if it says so.
    pub fn report_hold_off(&self, retry_after: Option<Duration>) {
        if let Some((dispatcher, time)) = self.dispatcher.as_ref().zip(retry_after) {
            dispatcher.send(Event::HoldOff(self.target.id.clone(), time));
        }
    }

    /// Reports how the request ended, and returns the permit.
    pub fn finish(mut self, kind: CompletionKind, load: Option<LoadReport>) {
        self.complete(kind, load);
    }

    /// Reports the end of the request, once.
    fn complete(&mut self, kind: CompletionKind, load: Option<LoadReport>) {
        if let Some(dispatcher) = self.dispatcher.take() {
            dispatcher.send(Event::Completed {
                target: self.target.id.clone(),
                completion: Completion {
                    kind,
                    sent_at: self.sent_at,
                    depth: self.basis.depth,
                    load,
                    ownership: self.basis.key.map(|key| (key, self.basis.fence)),
                },
            });
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let elapsed = self.clock.now().saturating_sub(self.sent_at);
        self.complete(CompletionKind::Abandoned(elapsed), None);
    }
}

/// A handle on the dispatcher's task.
#[derive(Clone, Debug)]
pub struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    last_ticket: Rc<Cell<Ticket>>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Message")
    }
}

/// Removes a queued request when the future that waits for it is dropped.
struct CancelOnDrop {
    dispatcher: Handle,
    ticket: Ticket,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.armed {
            self.dispatcher.send(Event::Cancelled(self.ticket));
        }
    }
}

impl Handle {
    /// Waits for a permit to send a request; the request's ticket is set here.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the dispatcher refuses the request.
    pub async fn acquire(&self, mut request: DispatchRequest) -> Result<Permit, Refused> {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        request.ticket = ticket;
        let (sender, receiver) = oneshot::channel();
        let closed = Refused {
            reason: RefusalReason::NoTarget,
            retry_after: TICK_INTERVAL,
            basis: Basis::default(),
        };
        let mut guard = CancelOnDrop {
            dispatcher: self.clone(),
            ticket,
            armed: true,
        };
        if self
            .sender
            .unbounded_send(Message::Request(request, sender))
            .is_err()
        {
            return Err(closed);
        }
        let result = receiver.await.unwrap_or(Err(closed));
        guard.armed = false;
        result
    }

    /// Sends an event to the dispatcher.
    pub fn send(&self, event: Event) {
        // The task only ends with the process, so a failed send needs no handling.
        let _ = self.sender.unbounded_send(Message::Event(event));
    }

    /// Refuses all queued requests and all later ones, because the process is about to end.
    pub fn refuse_all(&self) {
        // The task only ends with the process, so a failed send needs no handling.
        let _ = self.sender.unbounded_send(Message::RefuseAll);
    }

    /// Gives the dispatcher a new view of the fleet.
    pub fn update_view(&self, view: Rc<FleetView>) {
        self.send(Event::View(view));
    }

    /// Returns the in-flight and queued requests, and the service times measured since the last call.
    pub async fn take_snapshot(&self) -> Snapshot {
        let (sender, receiver) = oneshot::channel();
        // The task only ends with the process.
        let _ = self.sender.unbounded_send(Message::Snapshot(sender));
        receiver.await.unwrap_or_default()
    }
}

/// Starts the task and returns a handle on it.
pub fn start(dispatcher: Dispatcher, clock: Clock, report: Report) -> Handle {
    let (sender, receiver) = mpsc::unbounded();
    let handle = Handle {
        sender,
        last_ticket: Rc::default(),
    };
    compio::runtime::spawn(run(dispatcher, clock, report, receiver, handle.clone())).detach();
    handle
}

/// Handles messages until the process ends.
async fn run(
    mut dispatcher: Dispatcher,
    clock: Clock,
    report: Report,
    mut messages: mpsc::UnboundedReceiver<Message>,
    handle: Handle,
) {
    let mut pending = Pending::new();
    let mut stopping = false;
    loop {
        let message = if dispatcher.queue_len() == 0 {
            messages.next().await
        } else {
            match future::select(messages.next(), Box::pin(clock.sleep(TICK_INTERVAL))).await {
                Either::Left((message, _)) => message,
                Either::Right(_) => Some(Message::Event(Event::Tick)),
            }
        };
        let event = match message {
            None => return,
            Some(Message::Snapshot(sender)) => {
                // The receiver may have been dropped with its own task.
                let _ = sender.send(dispatcher.take_snapshot(clock.now()));
                continue;
            }
            Some(Message::RefuseAll) => {
                stopping = true;
                refuse_pending(&mut pending, &handle, &report);
                continue;
            }
            Some(Message::Event(event)) => event,
            Some(Message::Request(_, sender)) if stopping => {
                refuse_as_stopping(sender);
                continue;
            }
            Some(Message::Request(request, sender)) => {
                pending.insert(request.ticket, sender);
                Event::Request(request)
            }
        };
        if let Event::Cancelled(ticket) = &event {
            pending.remove(ticket);
        }
        let now = clock.now();
        for effect in dispatcher.handle(now, event) {
            apply(effect, &mut pending, &handle, &clock, now);
        }
        report.lines(&dispatcher.take_log_lines());
    }
}

/// Refuses all requests that wait for a decision, and takes them out of the dispatcher's queue.
fn refuse_pending(pending: &mut Pending, handle: &Handle, report: &Report) {
    report.line(&format!("event=queue-refused requests={}", pending.len()));
    for (ticket, sender) in pending.drain() {
        refuse_as_stopping(sender);
        handle.send(Event::Cancelled(ticket));
    }
}

fn refuse_as_stopping(sender: oneshot::Sender<Result<Permit, Refused>>) {
    let refused = Refused::without_decision(RefusalReason::Stopping);
    // The receiver may be gone with its caller.
    let _ = sender.send(Err(refused));
}

/// Sends a decision to the caller that waits for it.
fn apply(effect: Effect, pending: &mut Pending, handle: &Handle, clock: &Clock, now: Duration) {
    let (ticket, result) = match effect {
        Effect::Refuse {
            ticket,
            reason,
            retry_after,
            basis,
        } => (
            ticket,
            Err(Refused {
                reason,
                retry_after,
                basis,
            }),
        ),
        Effect::Send {
            ticket,
            target,
            basis,
        } => {
            let permit = Permit {
                target,
                basis,
                sent_at: now,
                clock: clock.clone(),
                dispatcher: Some(handle.clone()),
            };
            (ticket, Ok(permit))
        }
    };
    if let Some(sender) = pending.remove(&ticket) {
        // The receiver may be gone; the permit is then dropped, which reports the request as abandoned.
        let _ = sender.send(result);
    }
}
