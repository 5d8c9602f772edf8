//! Runs one process: opens its sockets, starts its tasks and shuts them down.

mod lifecycle;
mod listeners;
mod serving;
mod signals;

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use bramleypier_util::{client::Client, clock::Clock, memory::Memory, server::Control};
use futures_channel::mpsc;
use futures_util::StreamExt;
use quick_error::quick_error;

pub use self::signals::Signals;
use self::{
    lifecycle::{Lifecycle, Resources},
    listeners::Listeners,
};
use crate::{
    caller::CallerProtocol,
    catalogue::Catalogue,
    fleet::{SharedFleet, StoreKeys, Vm},
    follow,
    health::Health,
    owner::{manager, tally::Tally},
    peer::{inquiry, sync, sync_task},
    placement::{dispatch::Dispatcher, task},
    quarantine::{Quarantine, records},
    reach::{self, Reach},
    registration,
    report::Report,
    serving::ServingState,
    settings::Settings,
    store::{CountingStore, Store},
    target::TargetProtocol,
};

/// The maximum number of connections from one client of this VM to one target.
const MAX_TARGET_CONNECTIONS: usize = 24;
/// The maximum number of connections to one VM that relays requests.
const MAX_RELAY_CONNECTIONS: usize = 64;
/// The maximum number of connections to one other VM.
const MAX_PEER_CONNECTIONS: usize = 4;

quick_error! {
    /// An error that prevents a process from starting.
    #[derive(Debug)]
    pub enum Error {
        /// Listening on an address failed.
        Listen(address: SocketAddr, cause: io::Error) {
            display("step=listen peer={address} cause={cause}")
            source(cause)
        }
        /// A logger is already installed.
        Log(cause: log::SetLoggerError) {
            display("step=log peer=process cause={cause}")
            source(cause)
        }
    }
}

/// The implementations that an adapter supplies for one platform.
#[derive(Clone)]
pub struct Adapter {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Decodes what operators and targets write to the store.
    pub catalogue: Rc<dyn Catalogue>,
    /// The protocol that targets use.
    pub targets: Rc<dyn TargetProtocol>,
    /// The protocol that callers use.
    pub callers: Rc<dyn CallerProtocol>,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Adapter")
    }
}

/// Reads the settings file again; an error describes what is wrong with it.
pub type Reload = Box<dyn Fn() -> Result<Settings, String>>;

/// Runs a process until it is asked to stop.
///
/// # Errors
///
/// [`Error`] if the process can't start.
pub async fn run(
    settings: Settings,
    clock: Clock,
    adapter: Adapter,
    signals: Signals,
    reload: Reload,
) -> Result<(), Error> {
    let report = Report::new(clock.clone());
    report.start_log(settings.log_level).map_err(Error::Log)?;
    let started = settings.clone();
    let process = Process::new(settings, clock, adapter, report.clone());
    let result = process.run(signals, reload).await;
    match &result {
        Ok(()) => report.line(&format!("event=stopped vm={}", started.name)),
        Err(error) => log::error!("event=start-failed vm={} {error}", started.name),
    }
    report.finish();
    result
}

struct Process {
    settings: Settings,
    clock: Clock,
    adapter: Adapter,
    report: Report,
    /// This VM's view of the fleet.
    shared_fleet: SharedFleet,
    keys: Rc<StoreKeys>,
    vm: Vm,
    /// Whether the store answers this VM.
    store_health: Health,
    /// Whether the sync exchange with the manager works.
    manager_health: Health,
    /// Whether this VM holds the manager's lease.
    is_manager: Rc<Cell<bool>>,
    serving: ServingState,
    quarantine: Quarantine,
    tally: Tally,
    peer_client: Client,
    reach: Reach,
    /// Connections to targets, for requests.
    target_client: Client,
    /// Connections to VMs that relay requests.
    relay_client: Client,
    /// The memory for what is held for callers and other VMs.
    memory: Memory,
    /// The number of requests that this VM relays for others.
    relayed: Rc<Cell<usize>>,
}

/// Creates a client with connections to targets.
fn target_client(clock: &Clock, adapter: &Adapter, reach: &Reach) -> Client {
    Client::new(clock.clone(), MAX_TARGET_CONNECTIONS)
        .with_observer(reach.observer())
        .with_id_header(adapter.targets.id_header())
}

impl Process {
    fn new(settings: Settings, clock: Clock, adapter: Adapter, report: Report) -> Self {
        let vm = Vm {
            name: settings.name.clone(),
            start: Vm::start_id(&settings.name, rand::random()),
            address: settings.peers,
            domain: settings.domain.clone(),
            capacity_millicores: settings.capacity_millicores,
        };
        let keys = Rc::new(StoreKeys {
            prefix: settings.prefix.clone(),
        });
        let peer_client = Client::new(clock.clone(), MAX_PEER_CONNECTIONS);
        let store = CountingStore::new(adapter.store.clone(), report.clone());
        let adapter = Adapter {
            store: Rc::new(store),
            ..adapter
        };
        let shared_fleet = SharedFleet::new(settings.knowledge_limits);
        let reach = Reach::new(reach::Context {
            shared_fleet: shared_fleet.clone(),
            targets: adapter.targets.clone(),
            clock: clock.clone(),
            report: report.clone(),
        });
        let target_client = target_client(&clock, &adapter, &reach);
        let relay_client = Client::new(clock.clone(), MAX_RELAY_CONNECTIONS);
        let quarantine = Quarantine::new(shared_fleet.clone(), clock.clone(), report.clone());
        let memory = Memory::new(settings.capacity.held_bytes());
        Self {
            settings,
            memory,
            clock,
            adapter,
            report,
            shared_fleet,
            keys,
            vm,
            store_health: Health::default(),
            manager_health: Health::default(),
            is_manager: Rc::default(),
            serving: ServingState::default(),
            quarantine,
            tally: Tally::default(),
            peer_client,
            reach,
            target_client,
            relay_client,
            relayed: Rc::default(),
        }
    }

    async fn run(self, signals: Signals, reload: Reload) -> Result<(), Error> {
        let listeners = Listeners::open(&self.settings).await?;
        self.report.line(&format!(
            "event=started vm={} start={} domain={} callers={} store={}",
            self.vm.name, self.vm.start, self.vm.domain, self.settings.callers, self.settings.store
        ));
        let callers = Control::default();
        self.start_follower();
        self.start_quarantine();
        let dispatcher = self.start_dispatcher();
        let manager = self.start_manager();
        let entry = registration::start(registration::Context {
            vm: self.vm.clone(),
            store: self.adapter.store.clone(),
            keys: self.keys.clone(),
            store_health: self.store_health.clone(),
            manager_health: self.manager_health.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        });
        let sync_context = self.sync_context(&dispatcher, &manager);
        self.serve(listeners, &callers, &dispatcher, &sync_context);
        spawn(inquiry::run(sync_context.clone()));
        spawn(sync_task::run(sync_context));
        spawn(reach::task::run(reach::task::Context {
            vm: self.vm.clone(),
            reach: self.reach.clone(),
            peers: self.relay_client.clone(),
            targets: self.target_client.clone(),
            dispatcher: dispatcher.clone(),
        }));
        spawn(signals::watch_settings(
            reload,
            signals.reloads,
            self.settings.clone(),
            self.clock.clone(),
            self.report.clone(),
        ));
        let resources = Resources {
            clock: self.clock.clone(),
            report: self.report.clone(),
            shared_fleet: self.shared_fleet.clone(),
            serving: self.serving.clone(),
            grace: self.settings.grace,
            callers,
            relayed: self.relayed.clone(),
            dispatcher,
            manager,
            entry,
        };
        let starting = Lifecycle::new(resources, signals.stops);
        let draining = match starting.until_ready().await {
            Ok(ready) => ready.until_stop().await,
            Err(draining) => draining,
        };
        draining.drain().await;
        Ok(())
    }

    fn start_follower(&self) {
        spawn(follow::run(follow::Context {
            store: self.adapter.store.clone(),
            catalogue: self.adapter.catalogue.clone(),
            keys: self.keys.clone(),
            shared_fleet: self.shared_fleet.clone(),
            store_health: self.store_health.clone(),
            manager_health: self.manager_health.clone(),
            is_manager: self.is_manager.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        }));
        spawn(follow::expire_targets(
            self.shared_fleet.clone(),
            self.clock.clone(),
            self.report.clone(),
        ));
        spawn(follow::record_turns(
            self.shared_fleet.clone(),
            self.clock.clone(),
            self.report.clone(),
        ));
    }

    fn start_quarantine(&self) {
        spawn(records::run(records::Context {
            quarantine: self.quarantine.clone(),
            store: self.adapter.store.clone(),
            keys: self.keys.clone(),
            shared_fleet: self.shared_fleet.clone(),
            store_health: self.store_health.clone(),
            is_manager: self.is_manager.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        }));
    }

    fn start_dispatcher(&self) -> task::Handle {
        let dispatcher = Dispatcher::new(
            &self.settings.domain,
            self.settings.retry_budget,
            rand::random(),
        )
        .with_vm(&self.settings.name, self.settings.burst_allowance)
        .with_confirmations(self.shared_fleet.confirmations().clone());
        let handle = task::start(dispatcher, self.clock.clone(), self.report.clone());
        let (shared_fleet, task_handle) = (self.shared_fleet.clone(), handle.clone());
        let mut changes = shared_fleet.subscribe();
        spawn(async move {
            while changes.next().await.is_some() {
                while changes.try_recv().is_ok() {}
                task_handle.update_view(Rc::new(shared_fleet.get().view()));
            }
        });
        handle
    }

    fn start_manager(&self) -> mpsc::UnboundedSender<manager::Message> {
        manager::start(manager::Context {
            vm: self.vm.clone(),
            store: self.adapter.store.clone(),
            targets: self.adapter.targets.clone(),
            client: target_client(&self.clock, &self.adapter, &self.reach),
            shared_fleet: self.shared_fleet.clone(),
            catalogue: self.adapter.catalogue.clone(),
            is_manager: self.is_manager.clone(),
            store_health: self.store_health.clone(),
            keys: self.keys.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
            lease_limits: self.settings.lease_limits,
            reach: self.reach.clone(),
        })
    }

    fn sync_context(
        &self,
        dispatcher: &task::Handle,
        manager: &mpsc::UnboundedSender<manager::Message>,
    ) -> sync::Context {
        sync::Context {
            vm: self.vm.clone(),
            shared_fleet: self.shared_fleet.clone(),
            catalogue: self.adapter.catalogue.clone(),
            keys: self.keys.clone(),
            store: self.adapter.store.clone(),
            store_health: self.store_health.clone(),
            manager_health: self.manager_health.clone(),
            is_manager: self.is_manager.clone(),
            fleet_load: Rc::default(),
            vms_known: Rc::default(),
            lag: Rc::default(),
            quarantine: self.quarantine.clone(),
            tally: self.tally.clone(),
            dispatcher: dispatcher.clone(),
            manager: manager.clone(),
            seeds: self.settings.seeds.clone(),
            client: self.peer_client.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        }
    }
}

fn spawn<F>(future: F)
where
    F: Future<Output = ()> + 'static,
{
    compio::runtime::spawn(future).detach();
}
