//! The task that seeks the manager's lease, and keeps the owners while it holds it.

use std::{cell::Cell, collections::HashMap, rc::Rc, time::Duration};

use bramleypier_util::{client::Client, clock::Clock};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    StreamExt,
    future::{self, Either},
};
use indexmap::IndexMap;

use super::{
    calls,
    keeper::{Effect, Ending, Event, Keeper, Order, Timing},
    record::{Point, Record, Term},
};
use crate::{
    catalogue::{Catalogue, ServiceId, TargetHash},
    fleet::{Beliefs, Fleet, Keys, Vm},
    report::Report,
    store::{Change, Commit, Error, Item, Lease, LeaseId, Put, Revision, Store, Transaction},
    target::Targets,
};

/// The time from one renewal of the lease to the next.
const RENEW: Duration = Duration::from_millis(600);
/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// The pause after a bid that failed.
const BID_PAUSE: Duration = Duration::from_millis(700);
/// How long a manager that stops waits for its last writes.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(600);

/// Beyond how many the older ones lose half their weight: some four seconds of a busy target.
const SAMPLES_MOST: f64 = 60.0;

/// What the manager's task is told.
#[derive(Debug)]
pub enum Message {
    /// What a VM counted since its last word.
    Load {
        /// Requests by service and key.
        counts: Vec<(ServiceId, Vec<(Point, u32)>)>,
        /// Sums in seconds and counts of service times without waiting, by target.
        times: Vec<(TargetHash, f64, u32)>,
    },
    /// The process stops: hand over, and tell when done.
    Stop(oneshot::Sender<()>),
    /// This start of a VM's process tells this VM, so it knows that it isn't the manager.
    Told(String),
    /// A call to a target ended.
    Called(ServiceId, Term, Point, bool, Ending),
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
    pub targets: Rc<dyn Targets>,
    /// Connections to targets for grants and releases.
    pub client: Client,
    /// What is believed of the fleet.
    pub beliefs: Beliefs,
    /// Decodes what is stored.
    pub catalogue: Rc<dyn Catalogue>,
    /// Whether this VM holds the lease; told here.
    pub leading: Rc<Cell<bool>>,
    /// Keys in the store.
    pub keys: Rc<Keys>,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
    /// Spans of grants.
    pub timing: Timing,
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
    keeper: Keeper,
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
    /// Sums in seconds and counts of service times without waiting, by target.
    times: HashMap<TargetHash, (f64, f64)>,
    reading: Vec<ServiceId>,
    lease: Option<(LeaseId, Duration)>,
    bidding: bool,
    bid_due: Option<Duration>,
    renew_due: Duration,
    /// When closed connections were last looked for.
    looked: Duration,
    stopping: Option<oneshot::Sender<()>>,
}

/// Starts the task and returns the way to talk to it.
pub fn start(context: Context) -> mpsc::UnboundedSender<Message> {
    let (sender, receiver) = mpsc::unbounded();
    let manager = Manager {
        context,
        sender: sender.clone(),
        kept: IndexMap::new(),
        times: HashMap::new(),
        reading: Vec::new(),
        lease: None,
        bidding: false,
        bid_due: None,
        renew_due: Duration::ZERO,
        looked: Duration::ZERO,
        stopping: None,
    };
    compio::runtime::spawn(manager.run(receiver)).detach();
    sender
}

impl Manager {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut changes = self.context.beliefs.listen();
        loop {
            let clock = self.context.clock.clone();
            let idle = self.kept.is_empty() && self.bid_due.is_none() && self.lease.is_none();
            let span = if idle { BID_PAUSE } else { TICK };
            let wait = Box::pin(clock.sleep(span));
            let heard = future::select(messages.next(), changes.next());
            match future::select(heard, wait).await {
                Either::Left((Either::Left((None, _)), _)) => return,
                Either::Left((Either::Left((Some(message), _)), _)) => self.hear(message),
                Either::Left((Either::Right(_), _)) => self.look(),
                Either::Right(_) => {}
            }
            self.tick();
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
            Message::Load { counts, times } => self.loaded(counts, &times),
            Message::Told(start) => self.told(&start),
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
                Effect::Note(text) => self.log(&format!("{text} service={service}")),
                Effect::Deposed => {
                    self.log(&format!(
                        "event=deposed service={service} cause=higher-fence"
                    ));
                    self.kept.shift_remove(service);
                }
            }
        }
    }

    fn loaded(
        &mut self,
        counts: Vec<(ServiceId, Vec<(Point, u32)>)>,
        times: &[(TargetHash, f64, u32)],
    ) {
        for (target, sum, count) in times {
            let total = self.times.entry(*target).or_default();
            if total.1 > SAMPLES_MOST {
                *total = (total.0 / 2.0, total.1 / 2.0);
            }
            total.0 += sum;
            total.1 += f64::from(*count);
        }
        for (service, counts) in counts {
            let fleet = self.context.beliefs.get();
            let times = calls::measured(&self.times, &calls::targets(&fleet, &service));
            if let Some(kept) = self.kept.get_mut(&service) {
                kept.keeper.set_times(times);
            }
            self.feed(&service, Event::Load(counts));
        }
    }

    fn called(&mut self, service: &str, term: Term, from: Point, grant: bool, ending: Ending) {
        if self
            .kept
            .get(service)
            .is_none_or(|kept| kept.keeper.term() != term)
        {
            return;
        }
        let event = if grant {
            Event::Granted(from, ending)
        } else {
            Event::Released(from, ending)
        };
        self.feed(service, event);
    }

    /// Takes note that a process knows of this manager: an earlier one has stopped then.
    fn told(&mut self, start: &str) {
        let earlier = |kept: &Kept| kept.earlier.as_deref() == Some(start);
        let services = self.kept.iter().filter(|(_, kept)| earlier(kept));
        let services: Vec<_> = services.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.earlier_stopped(&service, "it knows its successor");
        }
    }

    fn earlier_stopped(&mut self, service: &str, cause: &str) {
        let earlier = self
            .kept
            .get_mut(service)
            .and_then(|kept| kept.earlier.take());
        if let Some(start) = earlier {
            self.log(&format!(
                "event=earlier-manager-stopped start={start} cause=\"{cause}\""
            ));
            self.feed(service, Event::EarlierStopped);
        }
    }

    /// Looks whether earlier managers' processes have been followed by later starts.
    fn look_for_earlier(&mut self, fleet: &Fleet) {
        let own = &self.context.vm;
        let ended = |start: &str| {
            let name = start.rsplit_once('/').map_or(start, |(name, _)| name);
            let later = fleet.vms.get(name).is_some_and(|vm| vm.start != start);
            start != own.start && (name == own.name || later)
        };
        let services = self
            .kept
            .iter()
            .filter(|(_, kept)| kept.earlier.as_deref().is_some_and(ended));
        let services: Vec<_> = services.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.earlier_stopped(&service, "its VM has started again");
        }
    }

    /// Takes a change of beliefs in.
    fn look(&mut self) {
        let fleet = self.context.beliefs.get();
        self.look_for_earlier(&fleet);
        self.yield_to_other(&fleet);
        let services: Vec<_> = self.kept.keys().cloned().collect();
        for service in services {
            self.feed(&service, Event::Targets(calls::targets(&fleet, &service)));
        }
    }

    /// Stops at once when another start is known to be the manager.
    fn yield_to_other(&mut self, fleet: &Fleet) {
        let Some(manager) = &fleet.manager else {
            return;
        };
        self.bid_due = None;
        if manager.start != self.context.vm.start && !self.kept.is_empty() {
            self.log(&format!(
                "event=deposed cause=manager-is vm={}",
                manager.name
            ));
            self.kept.clear();
            self.drop_lease();
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.seek(now);
        self.keep_lease(now);
        if self.context.leading.get() {
            self.take_services();
        }
        self.look_for_closed(now);
        let services: Vec<_> = self.kept.keys().cloned().collect();
        for service in services {
            self.feed(&service, Event::Tick);
        }
    }

    /// Tells keepers which targets have closed connections since the last look.
    fn look_for_closed(&mut self, now: Duration) {
        let closed = self.context.client.closed_since(self.looked);
        self.looked = now;
        let services: Vec<_> = self.kept.keys().cloned().collect();
        for address in closed {
            self.log(&format!("event=target-closed address={address}"));
            for service in &services {
                self.feed(service, Event::Closed(address));
            }
        }
    }

    /// Bids for the lease when nobody has it, in an order that differs by VM.
    fn seek(&mut self, now: Duration) {
        let fleet = self.context.beliefs.get();
        let vacant = fleet.manager.is_none() && fleet.is_ready() && self.lease.is_none();
        if !vacant || self.bidding || self.stopping.is_some() {
            return;
        }
        let due = *self
            .bid_due
            .get_or_insert_with(|| now + calls::rank(&fleet, &self.context.vm));
        if now < due {
            return;
        }
        self.bidding = true;
        self.bid_due = Some(now + BID_PAUSE);
        let (context, sender) = (self.context.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let sent = context.clock.now();
            let result = calls::bid(&context).await;
            // The manager's task ends with the process only.
            let _ = sender.unbounded_send(Message::Bid(result, sent));
        })
        .detach();
    }

    fn drop_lease(&mut self) {
        self.lease = None;
        self.context.leading.set(false);
    }

    fn bid_ended(&mut self, result: Result<Option<Lease>, Error>, sent: Duration) {
        self.bidding = false;
        match result {
            Ok(Some(lease)) => {
                self.log(&format!("event=manager-elected lease={}", lease.id));
                self.lease = Some((lease.id, sent + lease.span));
                self.context.leading.set(true);
                self.renew_due = self.now() + RENEW;
                // What was kept under an earlier lease goes on if nobody has changed it since.
                for kept in self.kept.values_mut() {
                    kept.verified = false;
                }
            }
            Ok(None) => {}
            Err(error) => self.log(&format!("event=bid-failed {error}")),
        }
    }

    /// Renews the lease in time, and gives it up when it has run out.
    fn keep_lease(&mut self, now: Duration) {
        let Some((id, until)) = self.lease else {
            return;
        };
        if now >= until && self.context.leading.replace(false) {
            // It may still stand in the store, whose leases can pause: only the store tells.
            self.log("event=lease-uncertain cause=not-renewed-in-time");
        }
        if now < self.renew_due {
            return;
        }
        self.renew_due = now + RENEW;
        let (context, sender) = (self.context.clone(), self.sender.clone());
        compio::runtime::spawn(async move {
            let sent = context.clock.now();
            let result = context.store.renew(id).await;
            let _ = sender.unbounded_send(Message::Renewed(result, sent));
        })
        .detach();
    }

    fn renewed(&mut self, result: Result<Duration, Error>, sent: Duration) {
        match result {
            Ok(span) => {
                let Some((_, until)) = &mut self.lease else {
                    return;
                };
                *until = (*until).max(sent + span);
                self.extend();
            }
            Err(Error::NoLease(_)) => {
                self.log("event=lease-lost cause=ended-in-store");
                self.drop_lease();
            }
            Err(error) => self.log(&format!("event=renewal-failed {error}")),
        }
    }

    /// Lets keepers grant for as long as the lease holds.
    fn extend(&mut self) {
        let Some((_, until)) = self.lease else {
            return;
        };
        if self.now() < until && !self.context.leading.replace(true) {
            self.log("event=lease-regained");
        }
        let verified = self.kept.iter().filter(|(_, kept)| kept.verified);
        let services: Vec<_> = verified.map(|(name, _)| name.clone()).collect();
        for service in services {
            self.feed(&service, Event::Lease(until));
        }
    }

    /// Takes over each service with owners that isn't kept yet.
    fn take_services(&mut self) {
        let fleet = self.context.beliefs.get();
        let Some(config) = &fleet.config else {
            return;
        };
        let keyed = config.services.values().filter(|it| it.keyed);
        for service in keyed {
            let name = &service.name;
            let is_kept = self.kept.get(name).is_some_and(|kept| kept.verified);
            if is_kept || self.reading.contains(name) {
                continue;
            }
            self.reading.push(name.clone());
            let (context, sender) = (self.context.clone(), self.sender.clone());
            let name = name.clone();
            compio::runtime::spawn(async move {
                let key = context.keys.record(&name);
                let result = context.store.get(&key).await;
                if result.is_err() {
                    context.clock.sleep(BID_PAUSE).await;
                }
                let _ = sender.unbounded_send(Message::Read(name, result));
            })
            .detach();
        }
    }

    fn read(&mut self, service: &str, result: Result<Option<Item>, Error>) {
        self.reading.retain(|it| it != service);
        let is_kept = self.kept.get(service).is_some_and(|kept| kept.verified);
        if self.lease.is_none() || is_kept {
            return;
        }
        let item = match result {
            Ok(item) => item,
            Err(error) => {
                self.log(&format!("event=record-unread service={service} {error}"));
                return;
            }
        };
        let revision = item.as_ref().map_or(0, |item| item.revision);
        if self.goes_on(service, revision, item.as_ref()) {
            return;
        }
        let known = item.map(|item| Record::decode(&item.value));
        let record = match known {
            Some(Ok(record)) => record,
            Some(Err(error)) => {
                self.log(&format!(
                    "event=record-unreadable service={service} {error}"
                ));
                return;
            }
            None => Record::first(self.context.targets.last_point()),
        };
        let timing = self.context.timing;
        let now = self.now();
        let earlier = Some(record.manager.clone());
        let (keeper, effects) = Keeper::take_over(&self.context.vm.start, record, timing, now);
        self.log(&format!(
            "event=takeover service={service} term={} revision={revision}",
            keeper.term()
        ));
        let kept = Kept {
            keeper,
            earlier,
            revision,
            written: None,
            verified: true,
        };
        self.kept.insert(service.to_owned(), kept);
        self.apply(service, effects);
        let until = self.lease.map_or(now, |(_, until)| until);
        self.feed(service, Event::Lease(until));
        let fleet = self.context.beliefs.get();
        self.look_for_earlier(&fleet);
        self.feed(service, Event::Targets(calls::targets(&fleet, service)));
    }

    /// Goes on with a service that was kept under an earlier lease, if its record is unchanged.
    ///
    /// Another manager in between would have changed it: it writes before it grants.
    fn goes_on(&mut self, service: &str, revision: Revision, item: Option<&Item>) -> bool {
        let Some(kept) = self.kept.get_mut(service) else {
            return false;
        };
        let written = kept.written.as_ref().map(Record::encode);
        let landed = item.is_some_and(|item| Some(&item.value) == written.as_ref());
        if revision != kept.revision && !landed {
            self.kept.shift_remove(service);
            return false;
        }
        kept.verified = true;
        let late = landed && revision != kept.revision;
        kept.revision = revision;
        self.log(&format!(
            "event=service-kept service={service} revision={revision}"
        ));
        if late {
            self.feed(service, Event::Committed);
        }
        self.extend();
        true
    }

    fn commit(&mut self, service: &str, record: &Record) {
        let Some(kept) = self.kept.get_mut(service) else {
            return;
        };
        kept.written = Some(record.clone());
        let term = kept.keeper.term();
        let key = self.context.keys.record(service);
        let transaction = Transaction {
            expected: [(key.clone(), kept.revision)].into_iter().collect(),
            puts: vec![Put {
                key,
                value: record.encode(),
                lease: None,
            }],
            removes: Vec::new(),
        };
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let service = service.to_owned();
        compio::runtime::spawn(async move {
            let result = context.store.commit(transaction).await;
            let _ = sender.unbounded_send(Message::Committed(service, term, result));
        })
        .detach();
    }

    fn committed(&mut self, service: &str, term: Term, result: Result<Commit, Error>) {
        let Some(kept) = self.kept.get_mut(service) else {
            return;
        };
        if kept.keeper.term() != term {
            return;
        }
        let revision = match result {
            Ok(Commit::Done(revision)) => Some(revision),
            Ok(Commit::Conflict(items)) => {
                // An earlier try of the same write, whose answer was lost, may have landed.
                let written = kept.written.as_ref().map(Record::encode);
                let own = items
                    .iter()
                    .find(|item| Some(&item.value) == written.as_ref());
                own.map(|item| item.revision)
            }
            Err(error) => {
                self.log(&format!("event=commit-failed service={service} {error}"));
                self.feed(service, Event::CommitFailed);
                return;
            }
        };
        let Some(revision) = revision else {
            self.log(&format!(
                "event=deposed service={service} cause=record-changed"
            ));
            self.kept.shift_remove(service);
            return;
        };
        kept.revision = revision;
        let record = kept.written.as_ref().map(Record::encode);
        self.tell(service, revision, record.unwrap_or_default());
        self.feed(service, Event::Committed);
    }

    /// Takes a record that was written into this VM's beliefs, from where other VMs hear it.
    fn tell(&self, service: &str, revision: Revision, value: Vec<u8>) {
        let context = &self.context;
        let change = Change::Put(Item {
            key: context.keys.record(service),
            value,
            revision,
        });
        let now = self.now();
        let notes = context
            .beliefs
            .change(|fleet| fleet.on_change(now, &change, &context.keys, &*context.catalogue));
        context.report.lines(&notes);
    }

    fn call(&mut self, service: &str, order: Order, grant: bool) {
        let Some(kept) = self.kept.get(service) else {
            return;
        };
        let term = kept.keeper.term();
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let service = service.to_owned();
        compio::runtime::spawn(async move {
            let ending = calls::send(&context, &service, &order, grant).await;
            let _ =
                sender.unbounded_send(Message::Called(service, term, order.from, grant, ending));
        })
        .detach();
    }

    /// Hands over: no grant leaves any more, the records say so, the lease ends.
    async fn resigned(&mut self) -> bool {
        let context = self.context.clone();
        let work = async {
            for (service, kept) in &mut self.kept {
                let Some(record) = kept.keeper.resign(context.clock.now()) else {
                    continue;
                };
                let key = context.keys.record(service);
                let transaction = Transaction {
                    expected: [(key.clone(), kept.revision)].into_iter().collect(),
                    puts: vec![Put {
                        key,
                        value: record.encode(),
                        lease: None,
                    }],
                    removes: Vec::new(),
                };
                let result = context.store.commit(transaction).await;
                if let Err(error) = result {
                    context
                        .report
                        .line(&format!("event=resign-failed service={service} {error}"));
                }
            }
            if let Some((id, _)) = self.lease {
                let ended = context.store.end(id).await;
                context
                    .report
                    .line(&format!("event=manager-resigned ended={}", ended.is_ok()));
            }
        };
        // What could not be written in time is settled by the lease's own end.
        let _ = context.clock.timeout(RESIGN_TIMEOUT, work).await;
        self.kept.clear();
        self.drop_lease();
        if let Some(done) = self.stopping.take() {
            let _ = done.send(());
        }
        true
    }
}
