//! The task that seeks the manager's lease, and keeps the owners while it holds it.

mod lease;
mod records;
mod updates;

use std::{cell::Cell, rc::Rc, time::Duration};

use bramleypier_util::{client::Client, clock::Clock};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either},
};
use indexmap::IndexMap;

use super::{
    calls,
    ownership::{CallOutcome, Effect, Event, OwnershipCommand, ServiceOwnership, Timing},
    record::{Record, RequestKey, Term},
    service_times::ServiceTimes,
};
use crate::{
    catalogue::{Catalogue, ServiceId, TargetHash},
    fleet::{SharedFleet, StoreKeys, Vm},
    health::Health,
    report::Report,
    settings::LeaseLimits,
    store::{Commit, Error, Item, Lease, LeaseId, Revision, Store},
    target::{Rate, TargetProtocol},
};

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// The pause after a bid that failed.
const BID_PAUSE: Duration = Duration::from_millis(700);

/// What the manager's task is told.
#[derive(Debug)]
pub enum Message {
    /// What a VM counted since its last word.
    Load {
        /// Requests by service and key.
        counts: Vec<(ServiceId, Vec<(RequestKey, u32)>)>,
        /// Sums in seconds and counts of service times without waiting, by target.
        times: Vec<(TargetHash, f64, u32)>,
        /// The rates that targets ask to be held to, as all VMs know.
        rates: Vec<(TargetHash, Rate)>,
    },
    /// The process stops: hand over, and tell when done.
    Stop(oneshot::Sender<()>),
    /// This start of a VM's process tells this VM, so it knows that it isn't the manager.
    SyncReceived(String),
    /// A call to a target ended.
    Called(ServiceId, Term, RequestKey, bool, CallOutcome),
    /// A commit of a record ended.
    Committed(ServiceId, Term, Result<Commit, Error>),
    /// A service's record was read.
    Read(ServiceId, Result<Option<Item>, Error>),
    /// A bid for the lease ended; the time is when it was sent.
    Bid(Result<Option<Lease>, Error>, Duration),
    /// The lease was renewed, or not; the time is when the call was sent.
    Renewed(Result<Duration, Error>, Duration),
}

/// What the task needs.
#[derive(Clone)]
pub struct Context {
    /// This start of this VM.
    pub vm: Vm,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// How targets are spoken to.
    pub targets: Rc<dyn TargetProtocol>,
    /// Connections to targets for grants and releases.
    pub client: Client,
    /// What is believed of the fleet.
    pub shared_fleet: SharedFleet,
    /// Decodes what is stored.
    pub catalogue: Rc<dyn Catalogue>,
    /// Whether this VM holds the lease; told here.
    pub leading: Rc<Cell<bool>>,
    /// When the store last answered; told here.
    pub store_health: Health,
    /// Keys in the store.
    pub keys: Rc<StoreKeys>,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
    /// What the platform sets for leases and holds.
    pub spans: LeaseLimits,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// A service that this VM keeps.
struct Kept {
    keeper: ServiceOwnership,
    /// The start of the process that was the manager before, while it may still be.
    earlier: Option<String>,
    revision: Revision,
    /// The record that is being written.
    written: Option<Record>,
    /// Whether the record is known to be unchanged since this VM won its present lease.
    verified: bool,
}

struct Manager {
    context: Context,
    sender: mpsc::UnboundedSender<Message>,
    kept: IndexMap<ServiceId, Kept>,
    times: ServiceTimes,
    /// The rates that targets ask to be held to.
    rates: IndexMap<TargetHash, Rate>,
    /// The spans of the lease and of grants, by the number of VMs at the last bid.
    timing: Timing,
    reading: Vec<ServiceId>,
    lease: Option<(LeaseId, Duration)>,
    bidding: bool,
    bid_due: Option<Duration>,
    /// When the entry of an earlier process of this VM may be removed again.
    clear_due: Duration,
    renew_due: Duration,
    /// When closed connections were last looked for.
    looked: Duration,
    /// When what is due was last looked at.
    ticked: Duration,
    /// Requests by service and key that keepers weren't told of yet.
    counts: IndexMap<ServiceId, Vec<(RequestKey, u32)>>,
    stopping: Option<oneshot::Sender<()>>,
}

/// Starts the task and returns the way to talk to it.
pub fn start(context: Context) -> mpsc::UnboundedSender<Message> {
    let (sender, receiver) = mpsc::unbounded();
    let timing = context.spans.timing(1);
    let manager = Manager {
        context,
        sender: sender.clone(),
        kept: IndexMap::new(),
        times: ServiceTimes::default(),
        rates: IndexMap::new(),
        timing,
        reading: Vec::new(),
        lease: None,
        bidding: false,
        bid_due: None,
        clear_due: Duration::ZERO,
        renew_due: Duration::ZERO,
        looked: Duration::ZERO,
        ticked: Duration::ZERO,
        counts: IndexMap::new(),
        stopping: None,
    };
    compio::runtime::spawn(manager.run(receiver)).detach();
    sender
}

impl Manager {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut changes = self.context.shared_fleet.subscribe();
        loop {
            let clock = self.context.clock.clone();
            let idle = self.kept.is_empty() && self.bid_due.is_none() && self.lease.is_none();
            let span = if idle { BID_PAUSE } else { TICK };
            let wait = Box::pin(clock.sleep(span));
            let heard = future::select(messages.next(), changes.next());
            match future::select(heard, wait).await {
                Either::Left((Either::Left((None, _)), _)) => return,
                Either::Left((Either::Left((Some(message), _)), _)) => self.hear(message),
                Either::Left((Either::Right(_), _)) => {
                    self.look();
                    // A manager may be gone: who bids late leaves the lease to a VM with less power.
                    self.tick();
                }
                Either::Right(_) => self.tick(),
            }
            // Not for each message: every VM sends several a second.
            if self.now() >= self.ticked + TICK {
                self.tick();
            }
            if self.stopping.is_some() && self.resigned().await {
                return;
            }
        }
    }

    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    fn log(&self, text: &str) {
        self.context.report.line(text);
    }

    fn hear(&mut self, message: Message) {
        match message {
            Message::Load {
                counts,
                times,
                rates,
            } => {
                self.rates = rates.into_iter().collect();
                self.loaded(counts, &times);
            }
            Message::SyncReceived(start) => self.told(&start),
            Message::Stop(done) => self.stopping = Some(done),
            Message::Called(service, term, from, grant, ending) => {
                self.called(&service, term, from, grant, ending);
            }
            Message::Committed(service, term, result) => self.committed(&service, term, result),
            Message::Read(service, result) => self.read(&service, result),
            Message::Bid(result, sent) => self.bid_ended(result, sent),
            Message::Renewed(result, sent) => self.renewed(result, sent),
        }
    }

    /// Feeds one event to a service's keeper and does what it wants done.
    fn feed(&mut self, service: &str, event: Event) {
        let now = self.now();
        let Some(kept) = self.kept.get_mut(service) else {
            return;
        };
        let effects = kept.keeper.on(now, event);
        self.apply(service, effects);
    }

    fn apply(&mut self, service: &str, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(order) => self.call(service, order, true),
                Effect::Release(order) => self.call(service, order, false),
                Effect::Commit(record) => self.commit(service, &record),
                Effect::Log(text) => self.log(&format!("{text} service={service}")),
                Effect::Deposed => {
                    self.log(&format!(
                        "event=deposed service={service} cause=higher-fence"
                    ));
                    self.kept.shift_remove(service);
                }
            }
        }
    }

    fn called(
        &mut self,
        service: &str,
        term: Term,
        from: RequestKey,
        grant: bool,
        ending: CallOutcome,
    ) {
        if self
            .kept
            .get(service)
            .is_none_or(|kept| kept.keeper.term() != term)
        {
            return;
        }
        let event = if grant {
            Event::GrantEnded(from, ending)
        } else {
            Event::ReleaseEnded(from, ending)
        };
        self.feed(service, event);
    }

    fn tick(&mut self) {
        let now = self.now();
        self.ticked = now;
        self.clear_earlier(now);
        self.seek(now);
        self.keep_lease(now);
        if self.context.leading.get() {
            self.take_services();
        }
        self.look_for_closed(now);
        let services: Vec<_> = self.kept.keys().cloned().collect();
        for service in services {
            self.tell_load(&service);
        }
    }

    fn call(&mut self, service: &str, order: OwnershipCommand, grant: bool) {
        let Some(kept) = self.kept.get(service) else {
            return;
        };
        let term = kept.keeper.term();
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let service = service.to_owned();
        compio::runtime::spawn(async move {
            let ending = calls::send_command(&context, &service, &order, grant).await;
            let _ =
                sender.unbounded_send(Message::Called(service, term, order.from, grant, ending));
        })
        .detach();
    }
}
