//! Both sides of the exchange between a VM and the manager.

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
    FleetLoad, Sync, Synced, admin,
    sync_interval::{self, Lag},
};
use crate::{
    catalogue::Catalogue,
    fleet::{LogPosition, Relay, SharedFleet, StoreKeys, Vm},
    health::Health,
    owner::{manager, tally::Tally},
    placement::{dispatch, task},
    report::Report,
};

/// How long after the last good answer the manager still counts as heard, at the least.
const FRESH: Duration = Duration::from_millis(450);
/// After how many pauses without a good answer it doesn't: one exchange may fail.
const FRESH_PAUSES: u32 = 2;
/// The longest pause between two exchanges at which a manager that is heard goes on to be: what is to be in
/// force in two seconds can't wait for longer than two such pauses.
const PROMPT_MOST: Duration = Duration::from_millis(600);
/// The longest pause at which a manager comes to be heard.
const PROMPT: Duration = Duration::from_millis(400);
/// How long ago the latest call may have been sent that the store answered the manager.
const ANSWERED_MOST: Duration = Duration::from_millis(900);

/// What both sides share.
#[derive(Clone)]
pub struct Context {
    /// This start of this VM.
    pub vm: Vm,
    /// What is believed of the fleet.
    pub shared_fleet: SharedFleet,
    /// Decodes what is stored.
    pub catalogue: Rc<dyn Catalogue>,
    /// The engine's own keys.
    pub keys: Rc<StoreKeys>,
    /// Whether the store answers this VM.
    pub store_health: Health,
    /// Whether the manager is heard; told here.
    pub manager_health: Health,
    /// Whether this VM is the manager.
    pub leading: Rc<Cell<bool>>,
    /// What all VMs have under way, if this is the manager.
    pub fleet_load: Rc<RefCell<FleetLoad>>,
    /// How far this process lags.
    pub lag: Rc<RefCell<Lag>>,
    /// This VM's requests by key.
    pub tally: Tally,
    /// Decides on targets.
    pub dispatcher: task::Handle,
    /// This VM's manager task.
    pub manager: mpsc::UnboundedSender<manager::Message>,
    /// Other VMs to ask while none is known.
    pub seeds: Vec<SocketAddr>,
    /// Connections to other VMs.
    pub client: Client,
    /// The clock.
    pub clock: Clock,
    /// Logs and counters.
    pub report: Report,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

/// Answers a VM that tells this one, the manager, what it has under way.
pub async fn handle_request(context: Context, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != super::PATH {
        return admin::answer(&context, &request);
    }
    match super::read(request).await {
        Ok(message) => super::answer(&context.take(message)),
        Err(reason) => {
            context
                .report
                .line(&format!("event=message-unreadable cause=\"{reason}\""));
            super::refuse(StatusCode::BAD_REQUEST)
        }
    }
}

impl Context {
    /// Takes a VM's message in and builds the answer.
    fn take(&self, message: Sync) -> Synced {
        self.report.merge(message.stamp);
        let now = self.clock.now();
        let well = self.leading.get()
            && self.store_health.is_healthy()
            && self
                .store_health
                .answered_since(now.saturating_sub(ANSWERED_MOST));
        let mut fleet_load = self.fleet_load.borrow_mut();
        fleet_load.update(
            now,
            &message.start,
            message.flights,
            message.queues,
            message.pause,
        );
        fleet_load.merge_rates(now, &message.rates);
        let others = fleet_load.in_flight_elsewhere(now, &message.start);
        let shares = fleet_load.assign_quotas(now, &message.start);
        let rates = fleet_load.rates(now);
        let load = manager::Message::Load {
            counts: message.counts,
            times: message.times,
            rates: fleet_load.rate_limits(),
        };
        // The manager's task ends with the process only.
        let _ = self.manager.unbounded_send(load);
        if self.leading.get() && message.knows {
            let _ = self
                .manager
                .unbounded_send(manager::Message::SyncReceived(message.start.clone()));
        }
        // Who isn't the manager tells what it knows too, however old: a VM that starts while nobody
        // reaches the store could serve nothing otherwise, and no belief goes back by it.
        let relay =
            self.shared_fleet
                .get()
                .relay(&self.vm.start, &message.place, &message.followed);
        Synced {
            well,
            others,
            shares,
            rates,
            relay,
            lag: self.lag.borrow().mean(),
            stamp: self.report.stamp(),
        }
    }

    /// Takes note of how late this process woke up.
    fn note_lag(&self, asked: Duration, took: Duration) {
        let mut lag = self.lag.borrow_mut();
        self.report.time("lag", took.saturating_sub(asked), &[]);
        if lag.add(asked, took) {
            let event = if lag.is_long() {
                "lagging"
            } else {
                "keeping-up"
            };
            self.report.line(&format!(
                "event={event} lag_ms={} leading={}",
                lag.mean().as_millis(),
                self.leading.get()
            ));
        }
    }

    /// Takes in what another VM relays.
    fn take_relay(&self, vm: &Vm, relay: &Relay, well: bool) {
        let now = self.clock.now();
        let notes = self
            .shared_fleet
            .update(|fleet| fleet.on_relay(now, relay, well, &self.keys, &*self.catalogue));
        if let Relay::Whole {
            items, followed, ..
        } = relay
        {
            self.report.line(&format!(
                "event=told-everything vm={} items={} followed={followed:?} changes={}",
                vm.name,
                items.len(),
                notes.len()
            ));
        }
        self.report.lines(&notes);
    }

    /// Takes note of the manager's answer; returns whether this VM can rest on its word.
    fn note_word(&self, synced: &Synced, vm: &Vm, pause: Duration) -> bool {
        let heard = self.manager_health.is_healthy();
        let prompt = if heard { PROMPT_MOST } else { PROMPT };
        if !synced.well {
            self.unheard("it doesn't follow the store");
            return false;
        }
        if pause > prompt {
            self.unheard("it lags");
            return false;
        }
        if !heard {
            self.report
                .line(&format!("event=manager-heard vm={}", vm.name));
        }
        self.manager_health.record_outcome(true);
        true
    }

    fn unheard(&self, cause: &str) {
        if self.manager_health.is_healthy() {
            self.report
                .line(&format!("event=manager-unheard cause=\"{cause}\""));
            self.manager_health.record_outcome(false);
        }
    }

    /// Builds this VM's message.
    async fn message(&self, place: LogPosition, pause: Duration) -> Sync {
        let state = self.dispatcher.take_snapshot().await;
        let fleet = self.shared_fleet.get();
        let follows = fleet
            .manager
            .as_ref()
            .is_some_and(|it| it.start == place.start);
        let followed = if follows {
            IndexMap::new()
        } else {
            fleet.followed().clone()
        };
        Sync {
            start: self.vm.start.clone(),
            knows: true,
            flights: state.in_flight,
            queues: state.queues,
            place,
            followed,
            counts: self.tally.take(),
            times: state.service_times,
            rates: state.rates,
            pause,
            stamp: self.report.stamp(),
        }
    }
}

/// Tells the manager for as long as the process lives.
pub async fn run(context: Context) {
    let mut place = LogPosition::default();
    let mut heard_at = Duration::ZERO;
    let mut others = Others::default();
    let mut pause = Duration::ZERO;
    let mut lag = Duration::ZERO;
    let mut follows = None;
    context.manager_health.record_outcome(false);
    loop {
        let manager = context.shared_fleet.get().manager.clone();
        let start = manager.as_ref().map(|vm| vm.start.clone());
        if start != follows {
            // What the one before lagged says nothing of this one.
            (follows, lag) = (start, Duration::ZERO);
        }
        let message = context.message(place.clone(), pause).await;
        let busy = !message.flights.is_empty();
        let answer = match manager {
            Some(vm) if vm.start == context.vm.start => {
                // The manager follows the store itself.
                context.manager_health.record_outcome(false);
                Some(context.take(message))
            }
            Some(vm) => {
                let sent = context.clock.now();
                let answer = exchange(&context, &vm, &message, &mut place).await;
                if let Some(synced) = &answer
                    && context.note_word(synced, &vm, pause)
                {
                    heard_at = sent;
                }
                answer
            }
            None => None,
        };
        if answer.is_none()
            && !context.manager_health.is_healthy()
            && !context.store_health.is_healthy()
        {
            ask_others(&context, &mut others).await;
        }
        if let Some(synced) = &answer {
            // The manager's own words cost it no exchange.
            lag = if context.leading.get() {
                Duration::ZERO
            } else {
                synced.lag
            };
        }
        let vms = context.shared_fleet.get().vms.len();
        pause = sync_interval::next_interval(busy, vms, lag);
        if let Some(synced) = answer {
            let shares = synced.shares.into_iter();
            context
                .dispatcher
                .send(dispatch::Event::Sync(dispatch::SyncUpdate {
                    others: synced.others.into_iter().collect(),
                    quotas: shares.map(|share| (share.target, share)).collect(),
                    rates: synced.rates,
                    sync_interval: pause,
                }));
        }
        if context.clock.now() > heard_at + FRESH.max(pause * FRESH_PAUSES) {
            context.unheard("no answer");
        }
        let slept = context.clock.now();
        context.clock.sleep(pause).await;
        context.note_lag(pause, context.clock.now().saturating_sub(slept));
    }
}

/// Whom to ask next, and how far each was followed.
#[derive(Debug, Default)]
struct Others {
    next: usize,
    places: HashMap<SocketAddr, LogPosition>,
}

/// Asks one other VM for what it knows: neither the store nor the manager answers this one.
async fn ask_others(context: &Context, others: &mut Others) {
    let fleet = context.shared_fleet.get();
    let known = fleet.vms.values().map(|vm| vm.address);
    let mut addresses: Vec<SocketAddr> = known.chain(context.seeds.iter().copied()).collect();
    addresses.retain(|address| *address != context.vm.address);
    if addresses.is_empty() {
        return;
    }
    others.next = (others.next + 1) % addresses.len();
    let address = addresses[others.next];
    let vm = Vm {
        name: address.to_string(),
        address,
        ..context.vm.clone()
    };
    let place = others.places.entry(address).or_default();
    let message = Sync {
        start: context.vm.start.clone(),
        place: place.clone(),
        followed: fleet.followed().clone(),
        stamp: context.report.stamp(),
        ..Sync::default()
    };
    // What it tells of requests is the manager's business.
    exchange(context, &vm, &message, place).await;
}

async fn exchange(
    context: &Context,
    vm: &Vm,
    message: &Sync,
    place: &mut LogPosition,
) -> Option<Synced> {
    let sent = context.clock.now();
    let synced = match super::sync(&context.client, vm.address, message).await {
        Ok(synced) => synced,
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
    context.report.merge(synced.stamp);
    if synced.relay.position() != place {
        context.take_relay(vm, &synced.relay, synced.well);
        *place = synced.relay.position().clone();
    }
    Some(synced)
}
