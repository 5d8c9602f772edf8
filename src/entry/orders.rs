//! The task that owns this VM's state of orders, both as an entry VM and as home or standby of shards.
//!
//! A request asks the task whether its order may run, and reports how the order ended. An order that
//! ran before is answered with its stored outcome, so that a resend doesn't run it twice.

use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Collected};
use hyper::{Response, body::Bytes};
use indexmap::{IndexMap, IndexSet};

use super::{Context, Job, forward, payload::Payload, reply};
use crate::{
    id::{Version, VmId},
    metrics,
    order::{
        self, Answer, Effect, Ledger, Order, Starter, Views, ledger, plan,
        starter::{self, Decision, End, UnknownReason},
    },
    peer,
    platform::{self, WriteOutcome},
    request::{self, Attempt, Outcome, Received, Step, Verdict, call},
    spread::{Id, Item, Kind},
    timeline::{self, Duty, stamp},
    util::body::Body,
    vm::{Parts, fleet, fleet::Fleet, gone::RemovalDetector, outbound, ticks, wire},
};

/// The interval of [`Message::Tick`].
const TICK: Duration = Duration::from_millis(50);
/// The largest response body that is stored with an outcome, in bytes.
const STORED_ANSWER_BYTES: usize = 4 * 1024;
/// How long a caller is asked to wait before it asks for the outcome again.
const OUTCOME_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The peer that is named when no target caused the outcome.
const ORDERS_PEER: &str = "orders";

/// A message to the task for orders.
#[derive(Debug)]
pub enum Message {
    /// The periodic wake-up.
    Tick,
    /// The fleet has changed.
    Fleet(Fleet),
    /// The platform's list of VMs was read.
    Listed(Vec<platform::ListedVm>),
    /// The views of orders were read from the platform or received from another VM.
    Views(Version, Bytes),
    /// The platform stores no views yet.
    NoViews,
    /// A message from another VM.
    Peer(VmId, order::Message),
    /// Asks whether an order may run.
    Begin {
        /// The order.
        order: Order,
        /// How long the caller still waits for the response.
        left: Duration,
        /// Receives the order's token at this VM, and the decision.
        reply: oneshot::Sender<(u64, Decision)>,
    },
    /// An order that was allowed to run has ended.
    Ended(u64, End),
    /// This VM stops: it hands over its roles as home and standby.
    Leave,
    /// Asks which work is still in progress at this VM.
    Idle(oneshot::Sender<Idle>),
}

/// Which work of a stopping VM has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idle {
    /// No order of this entry VM is in progress.
    pub orders: bool,
    /// No shard is left to hand over.
    pub shards: bool,
}

/// The state of the task for orders.
#[derive(Debug)]
pub struct OrderTask {
    parts: Parts,
    ledger: Ledger,
    starter: Starter,
    fleet: Option<Fleet>,
    detector: RemovalDetector,
    gone: IndexSet<VmId>,
    version: Version,
    views: Views,
    is_draining: bool,
    next_token: u64,
    pending: IndexMap<u64, oneshot::Sender<(u64, Decision)>>,
}

impl OrderTask {
    /// Creates the task's state, without views and without orders.
    pub fn new(parts: Parts) -> Self {
        Self {
            ledger: Ledger::new(&parts.me.vm, parts.memory),
            starter: Starter::new(&parts.me.vm),
            detector: RemovalDetector::new(parts.timing.list_lag),
            parts,
            fleet: None,
            gone: IndexSet::new(),
            version: 0,
            views: Views::default(),
            is_draining: false,
            next_token: 0,
            pending: IndexMap::new(),
        }
    }

    /// Handles messages until all senders are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        ticks::start(&self.parts.clock, &self.parts.tasks.orders, TICK, || {
            Message::Tick
        });
        self.read();
        while let Some(message) = messages.next().await {
            self.on(message);
        }
    }

    fn on(&mut self, message: Message) {
        match message {
            Message::Tick => self.tick(),
            Message::Fleet(fleet) => {
                self.fleet = Some(fleet);
                self.update_peers();
            }
            Message::Listed(list) => self.listed(&list),
            Message::Views(version, bytes) => self.views(version, &bytes),
            Message::NoViews => self.apply_views(),
            Message::Peer(from, message) => self.peer(from, message),
            Message::Begin { order, left, reply } => self.begin(order, left, reply),
            Message::Ended(token, end) => self.starter(starter::Event::Ended { token, end }),
            Message::Leave => {
                self.is_draining = true;
                self.update_peers();
            }
            Message::Idle(reply) => {
                let _ = reply.send(Idle {
                    orders: self.starter.is_idle(),
                    shards: self.ledger.is_idle(),
                });
            }
        }
    }

    fn tick(&mut self) {
        let wall = stamp::wall();
        self.ledger(ledger::Event::Tick { wall });
        self.starter(starter::Event::Tick);
        let (held, _) = self.ledger.size();
        self.parts.recorder.set(&metrics::ORDERS_HELD, held as u64);
        // A caller that has disconnected needs no decision.
        let cancelled: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, reply)| reply.is_canceled())
            .map(|(token, _)| *token)
            .collect();
        for token in cancelled {
            self.pending.swap_remove(&token);
            self.starter(starter::Event::Cancelled { token });
        }
    }

    fn begin(&mut self, order: Order, left: Duration, reply: oneshot::Sender<(u64, Decision)>) {
        self.next_token += 1;
        let token = self.next_token;
        self.pending.insert(token, reply);
        let deadline = self.parts.clock.now() + left;
        self.starter(starter::Event::Begin {
            token,
            order,
            deadline,
            wall: stamp::wall(),
        });
    }

    /// Passes a message to the state machine that it is for: the starter or the ledger.
    fn peer(&mut self, from: VmId, message: order::Message) {
        if message.is_for_starter() {
            self.starter(starter::Event::Message { from, message });
        } else {
            self.ledger(ledger::Event::Message { from, message });
        }
    }

    // --- The fleet and the views ---

    /// Records which members of views are certainly gone.
    fn listed(&mut self, list: &[platform::ListedVm]) {
        let members = self.views.shards.iter().flat_map(order::View::members);
        let named: IndexSet<VmId> = members.cloned().collect();
        let live = self.fleet.as_ref().map_or(&[][..], |fleet| &fleet.live);
        let now = self.parts.clock.now();
        let gone = self.detector.detect(now, &named, list, live);
        if gone.iter().any(|vm| !self.gone.contains(vm)) {
            self.gone = gone;
            self.update_peers();
        }
    }

    fn update_peers(&mut self) {
        let Some(fleet) = &self.fleet else {
            return;
        };
        let me = &self.parts.me.vm;
        let vms = fleet.live.iter().map(|peer| {
            let known = plan::Peer {
                domain: peer.domain.clone(),
                up: true,
                leaving: fleet.leaving.contains(peer) || (peer.vm == *me && self.is_draining),
            };
            (peer.vm.clone(), known)
        });
        let peers = plan::Peers {
            vms: vms.collect(),
            gone: self.gone.clone(),
        };
        self.ledger(ledger::Event::Peers(peers));
    }

    fn views(&mut self, version: Version, bytes: &Bytes) {
        match peer::decode(bytes) {
            Ok(views) if version > self.version => {
                self.version = version;
                self.views = views;
                let id = Id::new(Kind::View, fleet::VIEWS);
                let item = Item::new(id, version, bytes.to_vec());
                let _ = self
                    .parts
                    .tasks
                    .fleet
                    .unbounded_send(fleet::Message::Put(item));
            }
            Ok(_) => {}
            Err(cause) => {
                log::error!("step=views peer=platform version={version} cause={cause:?}");
                return;
            }
        }
        self.apply_views();
    }

    fn apply_views(&mut self) {
        let (version, views) = (self.version, self.views.clone());
        self.ledger(ledger::Event::Views {
            version,
            views: views.clone(),
        });
        self.starter(starter::Event::Views { version, views });
    }

    // --- The state machines ---

    fn ledger(&mut self, event: ledger::Event) {
        let effects = self.ledger.on(self.parts.clock.now(), event);
        self.apply(effects);
    }

    fn starter(&mut self, event: starter::Event) {
        let effects = self.starter.on(self.parts.clock.now(), event);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        let mut notes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(to, message),
                Effect::Read => self.read(),
                Effect::Write { base, views } => self.write(base, &views),
                Effect::Note(note) => notes.push(note),
                Effect::Decide { token, decision } => self.decide(token, decision),
            }
        }
        self.record_changes(&notes);
    }

    /// Sends the decision to the request; an order whose caller has disconnected is cancelled before it starts.
    fn decide(&mut self, token: u64, decision: Decision) {
        let Some(reply) = self.pending.swap_remove(&token) else {
            return;
        };
        if matches!(decision, Decision::Ran(_)) {
            self.parts.recorder.count(&metrics::ORDERS_DOUBLE, None);
        }
        if let Err((token, Decision::Run)) = reply.send((token, decision)) {
            self.starter(starter::Event::Cancelled { token });
        }
    }

    /// Sends a message; one to this VM itself bypasses the network.
    fn send(&self, to: VmId, message: order::Message) {
        if to == self.parts.me.vm {
            let message = Message::Peer(to, message);
            let _ = self.parts.tasks.orders.unbounded_send(message);
            return;
        }
        let message = outbound::Message::Send(to, wire::Message::Order(message));
        let _ = self.parts.tasks.outbound.unbounded_send(message);
    }

    fn read(&self) {
        let parts = self.parts.clone();
        compio::runtime::spawn(async move {
            let message = match parts.platform.get(platform::ORDERS).await {
                Ok(Some((version, bytes))) => Message::Views(version, bytes),
                Ok(None) => Message::NoViews,
                // The state machines ask again.
                Err(_) => return,
            };
            let _ = parts.tasks.orders.unbounded_send(message);
        })
        .detach();
    }

    /// Writes the views by compare-and-swap; if the write fails, reads the current views.
    fn write(&self, base: Version, views: &Views) {
        let parts = self.parts.clone();
        let Ok(bytes) = peer::encode(views) else {
            return;
        };
        compio::runtime::spawn(async move {
            let put = parts
                .platform
                .put(platform::ORDERS, base, bytes.clone())
                .await;
            let message = match put {
                Ok(WriteOutcome::Committed(version)) => Message::Views(version, bytes),
                _ => match parts.platform.get(platform::ORDERS).await {
                    Ok(Some((version, bytes))) => Message::Views(version, bytes),
                    _ => return,
                },
            };
            let _ = parts.tasks.orders.unbounded_send(message);
        })
        .detach();
    }

    /// Records changes of views on the timeline: one event for all shards with the same change.
    fn record_changes(&self, notes: &[order::Note]) {
        let mut grouped: IndexMap<(order::Change, order::ViewNumber), Vec<String>> =
            IndexMap::new();
        for note in notes {
            let shards = grouped.entry((note.change, note.view)).or_default();
            shards.push(note.shard.to_string());
        }
        for ((change, view), shards) in grouped {
            let kind = match change {
                order::Change::Horizon => timeline::Kind::MemoryLost,
                _ => timeline::Kind::ViewChanged,
            };
            let event = timeline::Event::new(Duty::Orders, "view", kind).version(view);
            let cause = format!("change={change:?} shards={}", shards.join(","));
            self.parts.recorder.event(event.cause(cause.as_str()));
        }
    }
}

/// Runs an order unless it ran before, and records its outcome.
///
/// # Errors
///
/// Returns the verdict for the caller if the order may not run or no target answered it.
pub async fn run(
    context: &Context,
    attempt: Attempt<Received>,
    job: Job,
    bytes: Bytes,
) -> Result<Response<Body>, Verdict> {
    let Some(order) = order_of(&job, &bytes) else {
        let reason = "work that is not idempotent needs an Idempotency-Key";
        return Err(Verdict::not_run(
            &attempt.proof(),
            400,
            Step::Parse,
            "caller",
            reason,
        ));
    };
    let (token, decision) = begin(context, &job, order).await;
    match decision {
        Decision::Run => {}
        Decision::Ran(answer) => return Ok(replay(&answer)),
        Decision::Mismatch => {
            let reason = "the id was used for another request";
            return Err(Verdict::not_run(
                &attempt.proof(),
                422,
                Step::Order,
                ORDERS_PEER,
                reason,
            ));
        }
        Decision::Unknown(why) => return Err(unknown_verdict(why)),
    }
    let result = forward::run(context, attempt.admit(), &job, Payload::Buffered(bytes)).await;
    let (result, end) = match result {
        Ok(answered) => {
            let (response, answer) = capture_answer(answered.response).await;
            (Ok(response), End::Ran(answer))
        }
        Err(verdict) => {
            let end = verdict.proof().map_or(End::Unknown, End::NotRun);
            (Err(verdict), end)
        }
    };
    let _ = context.orders.unbounded_send(Message::Ended(token, end));
    result
}

/// Returns the order of a request with an id; the same id at another service is another order.
fn order_of(job: &Job, bytes: &Bytes) -> Option<Order> {
    let id = job.call.id.as_ref()?;
    Some(Order {
        id: format!("{}/{id}", job.call.service),
        created_at: call::created_at(id),
        fingerprint: request::fingerprint(&job.call.method, &job.call.uri, bytes),
    })
}

async fn begin(context: &Context, job: &Job, order: Order) -> (u64, Decision) {
    let left = job
        .deadline
        .remaining(context.clock.now())
        .unwrap_or_default();
    let (reply, answer) = oneshot::channel();
    let message = Message::Begin { order, left, reply };
    let _ = context.orders.unbounded_send(message);
    answer
        .await
        .unwrap_or((0, Decision::Unknown(UnknownReason::NoReply)))
}

fn unknown_verdict(why: UnknownReason) -> Verdict {
    let (status, reason) = match why {
        UnknownReason::Lost => (502, "it may have run before; nobody knows any more"),
        UnknownReason::Running => (409, "it is still running"),
        UnknownReason::NoReply => (
            503,
            "who remembers it did not answer; this attempt did not run",
        ),
        UnknownReason::MemoryFull => (
            503,
            "there is no room to remember it; this attempt did not run",
        ),
        UnknownReason::DatedAhead => (400, "its id is dated too far ahead"),
    };
    let verdict = Verdict::unknown(status, Step::Order, ORDERS_PEER, reason);
    match why {
        UnknownReason::Running | UnknownReason::NoReply | UnknownReason::MemoryFull => {
            verdict.retry_after(OUTCOME_RETRY_AFTER)
        }
        UnknownReason::Lost | UnknownReason::DatedAhead => verdict,
    }
}

/// Builds the response for an order that ran before, from its stored answer.
fn replay(answer: &Answer) -> Response<Body> {
    let body = answer.body.clone().unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(media) = HeaderValue::from_str(&answer.media) {
        headers.insert(header::CONTENT_TYPE, media);
    }
    reply::mark(headers, Outcome::Ran, Step::Order, ORDERS_PEER);
    response
}

/// Returns the response with the answer to store for later resends: status, media type and a small body.
async fn capture_answer(response: Response<Body>) -> (Response<Body>, Answer) {
    let (head, body) = response.into_parts();
    let media = head.headers.get(header::CONTENT_TYPE);
    let media = media
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let status = head.status.as_u16();
    if !body.is_whole() {
        let mut answer = Answer::new(status, &media, &[], STORED_ANSWER_BYTES);
        answer.body = None;
        return (Response::from_parts(head, body), answer);
    }
    // The body is in memory, so collecting it can't fail.
    let bytes = body.collect().await.map(Collected::to_bytes);
    let bytes = bytes.unwrap_or_default();
    let answer = Answer::new(status, &media, &bytes, STORED_ANSWER_BYTES);
    (Response::from_parts(head, Body::from(bytes)), answer)
}
