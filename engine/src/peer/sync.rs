//! Both sides of the sync exchange: a VM sends its load to the manager, and the manager's response updates it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bramleypier_util::{body::Body, client::Client, clock::Clock};
use futures_channel::mpsc;
use hyper::{Request, Response, StatusCode, body::Incoming};
use indexmap::IndexMap;

use super::{
    Envelope, FleetLoad, News, SyncRequest, SyncResponse, admin,
    sync_interval::{self, Lag},
};
use crate::{
    catalogue::Catalogue,
    fleet::{LogPosition, Relay, SharedFleet, StoreKeys, Vm},
    health::Health,
    owner::{manager, tally::Tally},
    placement::{dispatch, hold_offs::HoldOffReport, task},
    report::Report,
};

/// The minimum time for which a VM relies on the manager after a valid response.
const MIN_RELIANCE: Duration = Duration::from_millis(450);
/// The number of sync intervals for which it relies on the manager: one exchange may fail.
const RELIANCE_INTERVALS: u32 = 2;
/// The maximum sync interval at which a VM continues to rely on the manager: changes that must be in force in two
/// seconds can't wait for more than two such intervals.
const MAX_RELIED_INTERVAL: Duration = Duration::from_millis(600);
/// The maximum sync interval at which a VM starts to rely on the manager.
const MAX_START_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum age of the manager's most recent call that the store answered, from when it was sent.
const MAX_STORE_ANSWER_AGE: Duration = Duration::from_millis(900);

/// The dependencies of both sides.
#[derive(Clone)]
pub struct Context {
    /// This VM's entry for this process.
    pub vm: Vm,
    /// This VM's view of the fleet.
    pub shared_fleet: SharedFleet,
    /// Decodes stored items.
    pub catalogue: Rc<dyn Catalogue>,
    /// The engine's own keys in the store.
    pub keys: Rc<StoreKeys>,
    /// Whether the store answers this VM.
    pub store_health: Health,
    /// Whether this VM relies on the manager's responses; updated here.
    pub manager_health: Health,
    /// Whether this VM is the manager.
    pub is_manager: Rc<Cell<bool>>,
    /// The in-flight and queued requests of all VMs, if this VM is the manager.
    pub fleet_load: Rc<RefCell<FleetLoad>>,
    /// How much later than requested this process wakes up.
    pub lag: Rc<RefCell<Lag>>,
    /// Counts this VM's requests by key.
    pub tally: Tally,
    /// The dispatcher, which decides where requests go.
    pub dispatcher: task::Handle,
    /// This VM's manager task.
    pub manager: mpsc::UnboundedSender<manager::Message>,
    /// Addresses of VMs to contact while none is known from the store.
    pub seeds: Vec<SocketAddr>,
    /// The connections to other VMs.
    pub client: Client,
    /// The clock.
    pub clock: Clock,
    /// The log and the metrics.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// Answers a sync request of another VM, or an operator's request.
pub async fn handle_request(context: Context, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != super::SYNC_PATH {
        return admin::answer(&context, &request);
    }
    match super::read(request).await {
        Ok(envelope) => super::answer(&context.handle_sync(envelope)),
        Err(reason) => {
            context
                .report
                .line(&format!("event=message-unreadable cause=\"{reason}\""));
            super::refuse(StatusCode::BAD_REQUEST)
        }
    }
}

impl Context {
    /// Records a VM's sync request and builds the response.
    fn handle_sync(&self, envelope: Envelope<SyncRequest>) -> Envelope<SyncResponse> {
        let Envelope { message, news } = envelope;
        self.report.merge(message.stamp);
        self.apply_news(&news);
        let now = self.clock.now();
        let healthy = self.is_manager.get()
            && self.store_health.is_healthy()
            && self
                .store_health
                .answered_since(now.saturating_sub(MAX_STORE_ANSWER_AGE));
        let mut fleet_load = self.fleet_load.borrow_mut();
        fleet_load.update(
            now,
            &message.start,
            message.in_flight,
            message.queues,
            message.interval,
        );
        fleet_load.merge_rates(now, &message.rates);
        fleet_load.set_hold_offs(now, &message.start, &news.hold_offs);
        let in_flight_elsewhere = fleet_load.in_flight_elsewhere(now, &message.start);
        let quotas = fleet_load.assign_quotas(now, &message.start);
        let rates = fleet_load.rates(now);
        let load = manager::Message::Load {
            counts: message.key_counts,
            times: message.service_times,
            rates: fleet_load.rate_limits(),
            refusing: fleet_load.refusing_targets(now),
        };
        // The send can't fail: the manager task runs until the process ends.
        let _ = self.manager.unbounded_send(load);
        if self.is_manager.get() && message.to_manager {
            let _ = self
                .manager
                .unbounded_send(manager::Message::SyncReceived(message.start.clone()));
        }
        // A VM that isn't the manager relays its state too, however old: otherwise a VM that starts while no VM
        // reaches the store could serve no requests. Older state never replaces newer state.
        let relay =
            self.shared_fleet
                .get()
                .relay(&self.vm.start, &message.position, &message.followed);
        let is_first = message.position.start != self.vm.start;
        let message = SyncResponse {
            healthy,
            in_flight_elsewhere,
            quotas,
            rates,
            relay,
            lag: self.lag.borrow().mean(),
            stamp: self.report.stamp(),
        };
        let news = self.news(is_first, Vec::new());
        Envelope { message, news }
    }

    /// Returns what another VM may not know yet; only the manager needs this VM's hold-offs.
    fn news(&self, is_first: bool, hold_offs: Vec<HoldOffReport>) -> News {
        let fleet = self.shared_fleet.get();
        let leaving = if is_first {
            fleet.all_leaving()
        } else {
            fleet.leaving_news(self.clock.now())
        };
        News { leaving, hold_offs }
    }

    /// Applies what another VM knows, and logs what is new.
    fn apply_news(&self, news: &News) {
        let now = self.clock.now();
        let lines = self.shared_fleet.record_leaving(now, &news.leaving, "vm");
        self.report.lines(&lines);
    }

    /// Records how much later than requested this process woke up.
    fn record_lag(&self, requested: Duration, actual: Duration) {
        let mut lag = self.lag.borrow_mut();
        self.report
            .time("lag", actual.saturating_sub(requested), &[]);
        if lag.add(requested, actual) {
            let event = if lag.is_long() {
                "lagging"
            } else {
                "keeping-up"
            };
            self.report.line(&format!(
                "event={event} lag_ms={} leading={}",
                lag.mean().as_millis(),
                self.is_manager.get()
            ));
        }
    }

    /// Applies a relay from another VM and logs the changes.
    fn apply_relay(&self, vm: &Vm, relay: &Relay, healthy_manager: bool) {
        let now = self.clock.now();
        let log_lines = self.shared_fleet.update(|fleet| {
            fleet.on_relay(now, relay, healthy_manager, &self.keys, &*self.catalogue)
        });
        if let Relay::Whole {
            items, followed, ..
        } = relay
        {
            self.report.line(&format!(
                "event=told-everything vm={} items={} followed={followed:?} changes={}",
                vm.name,
                items.len(),
                log_lines.len()
            ));
        }
        self.report.lines(&log_lines);
    }

    /// Decides from the manager's response whether this VM relies on the manager, and returns the decision.
    fn accept_response(&self, response: &SyncResponse, vm: &Vm, interval: Duration) -> bool {
        let relied = self.manager_health.is_healthy();
        let max_interval = if relied {
            MAX_RELIED_INTERVAL
        } else {
            MAX_START_INTERVAL
        };
        if !response.healthy {
            self.stop_relying("the manager does not follow the store");
            return false;
        }
        if interval > max_interval {
            self.stop_relying("the manager lags");
            return false;
        }
        if !relied {
            self.report
                .line(&format!("event=manager-heard vm={}", vm.name));
        }
        self.manager_health.record_outcome(true);
        true
    }

    /// Stops relying on the manager, so that this VM follows the store itself.
    fn stop_relying(&self, cause: &str) {
        if self.manager_health.is_healthy() {
            self.report
                .line(&format!("event=manager-unheard cause=\"{cause}\""));
            self.manager_health.record_outcome(false);
        }
    }

    /// Builds this VM's sync request.
    async fn message(&self, position: LogPosition, interval: Duration) -> Envelope<SyncRequest> {
        let state = self.dispatcher.take_snapshot().await;
        let fleet = self.shared_fleet.get();
        let reads_log = fleet
            .manager
            .as_ref()
            .is_some_and(|it| it.start == position.start);
        let followed = if reads_log {
            IndexMap::new()
        } else {
            fleet.followed().clone()
        };
        let message = SyncRequest {
            start: self.vm.start.clone(),
            to_manager: true,
            in_flight: state.in_flight,
            queues: state.queues,
            position,
            followed,
            key_counts: self.tally.take(),
            service_times: state.service_times,
            rates: state.rates,
            interval,
            stamp: self.report.stamp(),
        };
        let news = self.news(!reads_log, state.hold_offs);
        Envelope { message, news }
    }
}

/// Runs the sync exchanges with the manager until the process ends.
pub async fn run(context: Context) {
    let mut position = LogPosition::default();
    let mut valid_at = Duration::ZERO;
    let mut peers = PeerRotation::default();
    let mut interval = Duration::ZERO;
    let mut lag = Duration::ZERO;
    let mut manager_start = None;
    context.manager_health.record_outcome(false);
    loop {
        let manager = context.shared_fleet.get().manager.clone();
        let start = manager.as_ref().map(|vm| vm.start.clone());
        if start != manager_start {
            // The lag of the previous manager says nothing about the new one.
            (manager_start, lag) = (start, Duration::ZERO);
        }
        let request = context.message(position.clone(), interval).await;
        let busy = !request.message.in_flight.is_empty();
        let response = match manager {
            Some(vm) if vm.start == context.vm.start => {
                // The manager follows the store itself.
                context.manager_health.record_outcome(false);
                Some(context.handle_sync(request).message)
            }
            Some(vm) => {
                let sent = context.clock.now();
                let response = exchange(&context, &vm, &request, &mut position).await;
                if let Some(response) = &response
                    && context.accept_response(response, &vm, interval)
                {
                    valid_at = sent;
                }
                response
            }
            None => None,
        };
        if response.is_none()
            && !context.manager_health.is_healthy()
            && !context.store_health.is_healthy()
        {
            sync_with_next_peer(&context, &mut peers).await;
        }
        if let Some(response) = &response {
            // The manager handles its own sync requests without an exchange, so its lag doesn't lengthen the interval.
            lag = if context.is_manager.get() {
                Duration::ZERO
            } else {
                response.lag
            };
        }
        let vms = context.shared_fleet.get().vms.len();
        interval = sync_interval::next_interval(busy, vms, lag);
        if let Some(response) = response {
            let quotas = response.quotas.into_iter();
            context
                .dispatcher
                .send(dispatch::Event::Sync(dispatch::SyncUpdate {
                    others: response.in_flight_elsewhere.into_iter().collect(),
                    quotas: quotas.map(|quota| (quota.target, quota)).collect(),
                    rates: response.rates,
                    sync_interval: interval,
                }));
        }
        if context.clock.now() > valid_at + MIN_RELIANCE.max(interval * RELIANCE_INTERVALS) {
            context.stop_relying("no valid response in time");
        }
        let sleep_start = context.clock.now();
        context.clock.sleep(interval).await;
        context.record_lag(interval, context.clock.now().saturating_sub(sleep_start));
    }
}

/// The next VM to contact, and how far the change log of each has been read.
#[derive(Debug, Default)]
struct PeerRotation {
    next: usize,
    positions: HashMap<SocketAddr, LogPosition>,
}

/// Gets the state of one other VM, while neither the store nor the manager answers this VM.
async fn sync_with_next_peer(context: &Context, peers: &mut PeerRotation) {
    let fleet = context.shared_fleet.get();
    let known = fleet.vms.values().map(|vm| vm.address);
    let mut addresses: Vec<SocketAddr> = known.chain(context.seeds.iter().copied()).collect();
    addresses.retain(|address| *address != context.vm.address);
    if addresses.is_empty() {
        return;
    }
    peers.next = (peers.next + 1) % addresses.len();
    let address = addresses[peers.next];
    let vm = Vm {
        name: address.to_string(),
        address,
        ..context.vm.clone()
    };
    let position = peers.positions.entry(address).or_default();
    let message = SyncRequest {
        start: context.vm.start.clone(),
        position: position.clone(),
        followed: fleet.followed().clone(),
        stamp: context.report.stamp(),
        ..SyncRequest::default()
    };
    // Only the relay is used: quotas and counts from a VM that isn't the manager are meaningless.
    let news = context.news(true, Vec::new());
    exchange(context, &vm, &Envelope { message, news }, position).await;
}

/// Sends a sync request and applies the relay in the response; returns `None` after a failure.
async fn exchange(
    context: &Context,
    vm: &Vm,
    request: &Envelope<SyncRequest>,
    position: &mut LogPosition,
) -> Option<SyncResponse> {
    let sent = context.clock.now();
    let envelope = match super::sync(&context.client, vm.address, request).await {
        Ok(envelope) => envelope,
        Err(error) => {
            if context.manager_health.is_healthy() {
                context
                    .report
                    .line(&format!("event=sync-failed vm={} {error}", vm.name));
            }
            return None;
        }
    };
    let took = context.clock.now().saturating_sub(sent);
    context.report.time("sync", took, &[]);
    let Envelope {
        message: response,
        news,
    } = envelope;
    context.report.merge(response.stamp);
    context.apply_news(&news);
    if response.relay.position() != position {
        context.apply_relay(vm, &response.relay, response.healthy);
        *position = response.relay.position().clone();
    }
    Some(response)
}
