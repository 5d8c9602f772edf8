//! The task that owns the dispatcher.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use bramleypier_util::clock::Clock;
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either},
};

use super::dispatch::{
    Basis, Completion, CompletionKind, DispatchRequest, Dispatcher, Effect, Event, FleetView,
    RefusalReason, Snapshot, Ticket,
};
use crate::{
    catalogue::Target,
    report::Report,
    target::{LoadReport, Rate},
};

/// How often waiting requests are looked at when nothing else happens: their time may have kind,
/// and load reports lose weight with age.
const TICK: Duration = Duration::from_millis(10);

/// What the dispatcher's task is told.
enum Message {
    Request(DispatchRequest, oneshot::Sender<Result<Permit, Refused>>),
    Event(Event),
    Snapshot(oneshot::Sender<Snapshot>),
}

/// Why a request got no target.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: RefusalReason,
    /// When a place is likely free.
    pub retry_after: Duration,
    /// What the decision rests on.
    pub basis: Basis,
}

/// The right to send one request to a target; must be given back by its end.
#[derive(Debug)]
pub struct Permit {
    /// The target.
    pub target: Target,
    /// What the decision rests on.
    pub basis: Basis,
    /// When the right was given.
    pub sent_at: Duration,
    clock: Clock,
    dispatcher: Option<Handle>,
}

impl Permit {
    /// Tells to which rate the target's answer asks to be held.
    pub fn report_rate(&self, rate: Option<Rate>) {
        // Most targets never name one, which is worth no message.
        if rate.is_none() && self.basis.rate.is_none() {
            return;
        }
        if let Some(dispatcher) = &self.dispatcher {
            dispatcher.send(Event::Rate(self.target.id.clone(), rate));
        }
    }

    /// Tells how the request kind.
    pub fn finish(mut self, kind: CompletionKind, load: Option<LoadReport>) {
        self.complete(kind, load);
    }

    fn complete(&mut self, kind: CompletionKind, load: Option<LoadReport>) {
        if let Some(dispatcher) = self.dispatcher.take() {
            dispatcher.send(Event::Completed {
                target: self.target.id.clone(),
                completion: Completion {
                    kind,
                    sent: self.sent_at,
                    depth: self.basis.depth,
                    load,
                    ownership: self.basis.point.map(|point| (point, self.basis.fence)),
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

/// Talks to the dispatcher's task.
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

/// Takes a request off the queue when whoever pending is gone.
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
    /// Asks for a target; the request's ticket is set here.
    ///
    /// # Errors
    ///
    /// [`Refused`] when the request can't be served.
    pub async fn acquire(&self, mut request: DispatchRequest) -> Result<Permit, Refused> {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        request.ticket = ticket;
        let (sender, receiver) = oneshot::channel();
        let closed = Refused {
            reason: RefusalReason::NoTarget,
            retry_after: TICK,
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

    /// Tells the dispatcher what happened.
    pub fn send(&self, event: Event) {
        // The task ends with the process only; then nothing is left to be told.
        let _ = self.sender.unbounded_send(Message::Event(event));
    }

    /// Shows the dispatcher another view of the fleet.
    pub fn update_view(&self, view: Rc<FleetView>) {
        self.send(Event::View(view));
    }

    /// Returns what is under way, and the service times measured since the last call.
    pub async fn take_snapshot(&self) -> Snapshot {
        let (sender, receiver) = oneshot::channel();
        // The task ends with the process only.
        let _ = self.sender.unbounded_send(Message::Snapshot(sender));
        receiver.await.unwrap_or_default()
    }
}

/// Starts the task and returns the way to talk to it.
pub fn start(dispatcher: Dispatcher, clock: Clock, report: Report) -> Handle {
    let (sender, receiver) = mpsc::unbounded();
    let handle = Handle {
        sender,
        last_ticket: Rc::default(),
    };
    compio::runtime::spawn(run(dispatcher, clock, report, receiver, handle.clone())).detach();
    handle
}

async fn run(
    mut dispatcher: Dispatcher,
    clock: Clock,
    report: Report,
    mut messages: mpsc::UnboundedReceiver<Message>,
    handle: Handle,
) {
    let mut pending: HashMap<Ticket, oneshot::Sender<Result<Permit, Refused>>> = HashMap::new();
    loop {
        let message = if dispatcher.queue_len() == 0 {
            messages.next().await
        } else {
            match future::select(messages.next(), Box::pin(clock.sleep(TICK))).await {
                Either::Left((message, _)) => message,
                Either::Right(_) => Some(Message::Event(Event::Tick)),
            }
        };
        let event = match message {
            None => return,
            Some(Message::Snapshot(sender)) => {
                // Whoever pending may be gone with its own task.
                let _ = sender.send(dispatcher.take_snapshot(clock.now()));
                continue;
            }
            Some(Message::Event(event)) => event,
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

fn apply(
    effect: Effect,
    pending: &mut HashMap<Ticket, oneshot::Sender<Result<Permit, Refused>>>,
    handle: &Handle,
    clock: &Clock,
    now: Duration,
) {
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
        // Whoever pending may have left meanwhile; a permit that is dropped is given back.
        let _ = sender.send(result);
    }
}
