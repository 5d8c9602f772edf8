//! The task that bids for the manager's lease and, while this VM holds it, manages the owners of all services.
//!
//! `lease` obtains and renews the lease, `records` reads and writes the services' records, and `updates`
//! passes changes of the fleet and its load to the services.

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
    calls::{self, CallKind},
    ownership::{CallOutcome, Effect, Event, OwnershipCommand, ServiceOwnership, Timing},
    record::{Incarnation, Record, RequestKey, Term},
    service_times::ServiceTimes,
};
use crate::{
    catalogue::{Catalogue, Rate, ServiceId, TargetHash},
    fleet::{SharedFleet, StoreKeys, Vm},
    health::Health,
    reach::Reach,
    report::Report,
    settings::LeaseLimits,
    store::{Commit, Error, Item, Lease, LeaseId, Revision, Store},
    target::TargetProtocol,
};

/// The time between two checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after a failed bid or a failed read of a record, and between two ticks while there is no work.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// A call to a target that has ended.
#[derive(Debug)]
pub struct EndedCall {
    kind: CallKind,
    owner: Incarnation,
    from: RequestKey,
    outcome: CallOutcome,
}

impl EndedCall {
    /// Returns the event by which the service learns of it.
    fn into_event(self) -> Event {
        match self.kind {
            CallKind::Grant => Event::GrantEnded(self.from, self.outcome),
            CallKind::Release => Event::ReleaseEnded(self.from, self.outcome),
            CallKind::Fence => Event::FenceEnded(self.owner, self.from, self.outcome),
        }
    }
}

/// A message to the manager's task.
#[derive(Debug)]
pub enum Message {
    /// The requests and service times that a VM counted since its last sync request.
    Load {
        /// Requests by service and key.
        counts: Vec<(ServiceId, Vec<(RequestKey, u32)>)>,
        /// Service times without the time in a queue, as a sum in seconds and a count, by target.
        times: Vec<(TargetHash, f64, u32)>,
        /// The rate limits that targets ask for, as known from all VMs.
        rates: Vec<(TargetHash, Rate)>,
        /// The targets that refuse the requests of several VMs, and until when.
        refusing: Vec<(TargetHash, Duration)>,
    },
    /// The process stops: resign, then answer on the channel.
    Stop(oneshot::Sender<()>),
    /// The process with this start sent a sync request to this VM, so it knows that it isn't the manager.
    SyncReceived(String),
    /// A call to a target ended.
    CallEnded(ServiceId, Term, EndedCall),
    /// The commit of a record ended.
    CommitEnded(ServiceId, Term, Result<Commit, Error>),
    /// The read of a service's record ended.
    RecordRead(ServiceId, Result<Option<Item>, Error>),
    /// A bid for the lease ended; the time is when it was sent.
    BidEnded(Result<Option<Lease>, Error>, Duration),
    /// A renewal of the lease ended; the time is when the call was sent.
    RenewalEnded(Result<Duration, Error>, Duration),
}

/// The dependencies of the manager's task.
#[derive(Clone)]
pub struct Context {
    /// This VM, with the start of this process.
    pub vm: Vm,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Builds and reads the calls to targets.
    pub targets: Rc<dyn TargetProtocol>,
    /// Connections to targets for grants and releases.
    pub client: Client,
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// Decodes entries of the store.
    pub catalogue: Rc<dyn Catalogue>,
    /// Whether this VM holds the lease; set by this task.
    pub is_manager: Rc<Cell<bool>>,
    /// When the store last answered; set by this task.
    pub store_health: Health,
    /// Keys in the store.
    pub keys: Rc<StoreKeys>,
    /// The clock.
    pub clock: Clock,
    /// The log and the metrics.
    pub report: Report,
    /// The platform's limits for leases and grants.
    pub lease_limits: LeaseLimits,
    /// Whether this VM reaches targets.
    pub reach: Reach,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// A service whose key ownership this VM manages.
struct ManagedService {
    ownership: ServiceOwnership,
    /// The process start of the previous manager, until it is known to have stopped.
    predecessor: Option<String>,
    /// The revision of the record in the store.
    revision: Revision,
    /// The record that was written last or is being written.
    written: Option<Record>,
    /// Whether the record is known to be unchanged since this VM won its current lease.
    verified: bool,
}

/// The state of the manager's task.
struct Manager {
    context: Context,
    sender: mpsc::UnboundedSender<Message>,
    services: IndexMap<ServiceId, ManagedService>,
    service_times: ServiceTimes,
    /// The rate limits that targets ask for.
    rate_limits: IndexMap<TargetHash, Rate>,
    /// The targets that refuse requests, and until when.
    refusing: IndexMap<TargetHash, Duration>,
    /// The durations of the lease and of grants, for the number of VMs at the last bid.
    timing: Timing,
    /// Services whose records are being read.
    reading: Vec<ServiceId>,
    /// The lease and its end.
    lease: Option<(LeaseId, Duration)>,
    /// Whether a bid is in flight.
    bidding: bool,
    /// When the next bid may be sent, if one is planned.
    bid_at: Option<Duration>,
    /// When the next attempt to remove the entry of an earlier process of this VM may be made.
    cleanup_at: Duration,
    /// When the lease is renewed next.
    renew_at: Duration,
    /// When due work was last done.
    ticked_at: Duration,
    /// Counts of requests by service and key since the last tick.
    counts: IndexMap<ServiceId, Vec<(RequestKey, u32)>>,
    /// The channel to answer on once the manager has resigned, if the process stops.
    stopping: Option<oneshot::Sender<()>>,
}

/// Starts the task and returns the sender of its messages.
pub fn start(context: Context) -> mpsc::UnboundedSender<Message> {
    let (sender, receiver) = mpsc::unbounded();
    let timing = context.lease_limits.timing(1);
    let manager = Manager {
        context,
        sender: sender.clone(),
        services: IndexMap::new(),
        service_times: ServiceTimes::default(),
        rate_limits: IndexMap::new(),
        refusing: IndexMap::new(),
        timing,
        reading: Vec::new(),
        lease: None,
        bidding: false,
        bid_at: None,
        cleanup_at: Duration::ZERO,
        renew_at: Duration::ZERO,
        ticked_at: Duration::ZERO,
        counts: IndexMap::new(),
        stopping: None,
    };
    compio::runtime::spawn(manager.run(receiver)).detach();
    sender
}

impl Manager {
    /// Handles messages and changes of the fleet until the process stops.
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut changes = self.context.shared_fleet.subscribe();
        loop {
            let clock = self.context.clock.clone();
            let idle = self.services.is_empty() && self.bid_at.is_none() && self.lease.is_none();
            let interval = if idle { RETRY_DELAY } else { TICK_INTERVAL };
            let wait = Box::pin(clock.sleep(interval));
            let input = future::select(messages.next(), changes.next());
            match future::select(input, wait).await {
                Either::Left((Either::Left((None, _)), _)) => return,
                Either::Left((Either::Left((Some(message), _)), _)) => self.handle(message),
                Either::Left((Either::Right(_), _)) => {
                    self.fleet_changed();
                    // The manager may have ended: a late bid would leave the lease to a VM with less capacity.
                    self.tick();
                }
                Either::Right(_) => self.tick(),
            }
            // Not after every message: each VM sends several per second.
            if self.now() >= self.ticked_at + TICK_INTERVAL {
                self.tick();
            }
            if self.stopping.is_some() && self.resign().await {
                return;
            }
            self.yield_if_cut_off().await;
        }
    }

    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    fn log(&self, text: &str) {
        self.context.report.line(text);
    }

    /// Handles one message.
    fn handle(&mut self, message: Message) {
        match message {
            Message::Load {
                counts,
                times,
                rates,
                refusing,
            } => {
                self.rate_limits = rates.into_iter().collect();
                self.refusing = refusing.into_iter().collect();
                self.add_load(counts, &times);
            }
            Message::SyncReceived(start) => self.sync_received(&start),
            Message::Stop(done) => self.stopping = Some(done),
            Message::CallEnded(service, term, call) => self.call_ended(&service, term, call),
            Message::CommitEnded(name, term, result) => self.commit_ended(&name, term, result),
            Message::RecordRead(service, result) => self.record_read(&service, result),
            Message::BidEnded(result, sent) => self.bid_ended(result, sent),
            Message::RenewalEnded(result, sent) => self.renewal_ended(result, sent),
        }
    }

    /// Passes an event to a service's ownership state and carries out the effects.
    fn handle_event(&mut self, service: &str, event: Event) {
        let now = self.now();
        let Some(managed) = self.services.get_mut(service) else {
            return;
        };
        let effects = managed.ownership.handle(now, event);
        self.apply_effects(service, effects);
    }

    /// Carries out the effects that a service asks for.
    fn apply_effects(&mut self, service: &str, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(command) => self.start_call(service, command, CallKind::Grant),
                Effect::Release(command) => self.start_call(service, command, CallKind::Release),
                Effect::Fence(command) => self.start_call(service, command, CallKind::Fence),
                Effect::Commit(record) => self.commit(service, &record),
                Effect::Log(text) => self.log(&format!("{text} service={service}")),
                Effect::Deposed => {
                    self.log(&format!(
                        "event=deposed service={service} cause=higher-fence"
                    ));
                    self.services.shift_remove(service);
                }
            }
        }
    }

    /// Passes the outcome of a call to its service, unless the service has entered another term since.
    fn call_ended(&mut self, service: &str, term: Term, call: EndedCall) {
        let is_current = |managed: &ManagedService| managed.ownership.term() == term;
        if self.services.get(service).is_some_and(is_current) {
            self.handle_event(service, call.into_event());
        }
    }

    /// Does the work that is due.
    fn tick(&mut self) {
        let now = self.now();
        self.ticked_at = now;
        self.remove_stale_entry(now);
        self.bid_if_vacant(now);
        self.renew_lease(now);
        if self.context.is_manager.get() {
            self.leave_earlier_eras();
            self.take_over_services();
        }
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in services {
            self.forward_load(&service);
        }
    }

    /// Sends a call to a target in a task of its own.
    fn start_call(&mut self, service: &str, command: OwnershipCommand, kind: CallKind) {
        let Some(managed) = self.services.get(service) else {
            return;
        };
        let term = managed.ownership.term();
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let service = service.to_owned();
        compio::runtime::spawn(async move {
            let outcome = calls::send_command(&context, &service, &command, kind).await;
            let call = EndedCall {
                kind,
                owner: command.owner,
                from: command.from,
                outcome,
            };
            let _ = sender.unbounded_send(Message::CallEnded(service, term, call));
        })
        .detach();
    }
}
