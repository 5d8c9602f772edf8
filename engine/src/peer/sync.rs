//! What both sides of the sync exchange do: a VM tells the manager its load, and the manager's response updates it.

use std::{
    cell::{Cell, RefCell},
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
    fleet::{LogPosition, Relay, SharedFleet, StoreKeys, Vm, VmId},
    health::Health,
    owner::{manager, tally::Tally},
    placement::{hold_offs::HoldOffReport, task},
    quarantine::Quarantine,
    report::Report,
    store::{Era, Store},
};

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
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Whether the store answers this VM.
    pub store_health: Health,
    /// Whether this VM relies on the manager's responses; updated here.
    pub manager_health: Health,
    /// Whether this VM is the manager.
    pub is_manager: Rc<Cell<bool>>,
    /// The in-flight and queued requests of all VMs, if this VM is the manager.
    pub fleet_load: Rc<RefCell<FleetLoad>>,
    /// How many VMs this one knows to run or to have run recently.
    pub vms_known: Rc<Cell<usize>>,
    /// How much later than requested this process wakes up.
    pub lag: Rc<RefCell<Lag>>,
    /// The requests under which targets have ended.
    pub quarantine: Quarantine,
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
    pub(super) fn handle_sync(&self, envelope: Envelope<SyncRequest>) -> Envelope<SyncResponse> {
        let Envelope { message, news } = envelope;
        self.report.merge(message.stamp);
        self.apply_news(&news);
        let now = self.clock.now();
        let confirmations = self.shared_fleet.confirmations();
        let healthy = self.is_manager.get()
            && self.store_health.is_healthy()
            && self
                .store_health
                .answered_since(now.saturating_sub(MAX_STORE_ANSWER_AGE))
            && confirmations.is_by_store(now);
        let mut fleet_load = self.fleet_load.borrow_mut();
        fleet_load.update(
            now,
            &message.start,
            message.in_flight,
            message.queues,
            message.interval,
        );
        fleet_load.record_service_times(now, &message.service_times);
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
        let fleet = self.shared_fleet.get();
        let mut relay = fleet.relay_to(
            news.era,
            &self.vm.start,
            &message.position,
            &message.followed,
        );
        let record_updates = if news.era == fleet.era() {
            fleet.take_updates(&mut relay, &news.held_records, &self.keys)
        } else {
            Vec::new()
        };
        drop(fleet);
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
        let news = News {
            confirmed_age: confirmations.age_by_store(now).filter(|_| healthy),
            known_age: confirmations.age(now),
            record_updates,
            held_records: IndexMap::new(),
            ..self.news(is_first, Vec::new())
        };
        Envelope { message, news }
    }

    /// Returns what another VM may not know yet; only the manager needs this VM's hold-offs.
    pub(super) fn news(&self, is_first: bool, hold_offs: Vec<HoldOffReport>) -> News {
        let fleet = self.shared_fleet.get();
        let leaving = if is_first {
            fleet.all_leaving()
        } else {
            fleet.leaving_news(self.clock.now())
        };
        News {
            leaving_starts: fleet.leaving_starts(&leaving),
            leaving,
            hold_offs,
            crashes: self.quarantine.reports(is_first),
            vms_sharing: if self.is_manager.get() {
                self.vms_known.get()
            } else {
                0
            },
            era: fleet.era(),
            held_records: fleet.held_records(),
            record_updates: Vec::new(),
            confirmed_age: None,
            known_age: None,
        }
    }

    /// Returns the VMs that exchange messages with this one as the manager though the store doesn't list them.
    pub(super) fn exchanging_vms(&self) -> Vec<VmId> {
        if !self.is_manager.get() {
            return Vec::new();
        }
        let fleet = self.shared_fleet.get();
        let fleet_load = self.fleet_load.borrow();
        let starts = fleet_load.starts(self.clock.now());
        let names = starts.into_iter().map(Vm::name_of_start);
        let unlisted = names.filter(|name| !fleet.vms.contains_key(*name));
        unlisted.map(str::to_owned).collect()
    }

    /// Applies what another VM knows, and logs what is new.
    pub(super) fn apply_news(&self, news: &News) {
        let now = self.clock.now();
        let (leaving, starts) = (&news.leaving, &news.leaving_starts);
        let lines = self.shared_fleet.merge_leaving(now, leaving, starts);
        self.report.lines(&lines);
        self.quarantine.merge(&news.crashes);
    }

    /// Records how much later than requested this process woke up.
    pub(super) fn record_lag(&self, requested: Duration, actual: Duration) {
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

    /// Completes a relay by what changed in the records that this VM holds; returns whether it may be applied.
    ///
    /// If not, this VM asks for the whole record the next time.
    pub(super) fn complete_relay(&self, vm: &Vm, relay: &mut Relay, news: &News) -> bool {
        let fleet = self.shared_fleet.get();
        if news.record_updates.is_empty() || news.era != fleet.era() {
            return true;
        }
        let completed = fleet.put_updates(relay, &news.record_updates, &self.keys);
        drop(fleet);
        let Err(service) = completed else {
            for update in &news.record_updates {
                let tags = [("service", update.service.as_str())];
                self.report.count("record_updates", &tags);
            }
            return true;
        };
        let line = format!(
            "event=record-update-rejected vm={} service={service}",
            vm.name
        );
        self.report.line(&line);
        self.shared_fleet
            .update(|fleet| fleet.forget_steps(&service));
        false
    }

    /// Applies a relay from another VM, whose view is of the era `era`, and logs the changes; returns whether it did.
    pub(super) fn apply_relay(
        &self,
        vm: &Vm,
        relay: &Relay,
        era: Era,
        healthy_manager: bool,
    ) -> bool {
        let now = self.clock.now();
        let log_lines = self.shared_fleet.update(|fleet| {
            fleet.on_relay_of(
                now,
                era,
                relay,
                healthy_manager,
                &self.keys,
                &*self.catalogue,
            )
        });
        let Some(log_lines) = log_lines else {
            return false;
        };
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
        true
    }

    /// Decides from the manager's response, which is of the era `era`, whether this VM relies on the manager, and returns
    /// the decision.
    pub(super) fn accept_response(
        &self,
        response: &SyncResponse,
        era: Era,
        vm: &Vm,
        interval: Duration,
    ) -> bool {
        if era < self.shared_fleet.get().era().max(self.store.era()) {
            self.stop_relying("the manager knows an older era of the store");
            return false;
        }
        let relied = self.manager_health.is_healthy();
        let limits = self.shared_fleet.confirmations().limits();
        if !response.healthy {
            self.stop_relying("the manager does not follow the store");
            return false;
        }
        if interval > sync_interval::max_interval(limits, relied) {
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

    /// Records up to when this VM knows everything by a response of the manager to an exchange that was sent at `sent`.
    pub(super) fn record_confirmation(&self, sent: Duration, news: &News, vm: &Vm) {
        if let Some(age) = news.confirmed_age {
            let at = sent.saturating_sub(age);
            let confirmations = self.shared_fleet.confirmations();
            confirmations.add_by_manager(at, &vm.name);
        }
    }

    /// Stops relying on the manager, so that this VM follows the store itself.
    pub(super) fn stop_relying(&self, cause: &str) {
        if self.manager_health.is_healthy() {
            self.report
                .line(&format!("event=manager-unheard cause=\"{cause}\""));
            self.manager_health.record_outcome(false);
        }
    }

    /// Builds this VM's sync request.
    pub(super) async fn message(
        &self,
        position: LogPosition,
        interval: Duration,
    ) -> Envelope<SyncRequest> {
        let state = self.dispatcher.take_snapshot().await;
        self.vms_known.set(state.vms_known);
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
