//! One process: its sockets and tasks, from start to stop.

mod lifecycle;
mod listeners;
mod signals;

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use bramleypier_util::{
    body::Body,
    client::Client,
    clock::Clock,
    server::{self, Control},
};
use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::Response;
use quick_error::quick_error;

use self::{
    lifecycle::{Duties, Lifecycle},
    listeners::Listeners,
};
use crate::{
    caller::{
        CallerProtocol,
        attempt::Sender,
        forward,
        serve::{self, Gate},
        startup::StartupWait,
        timeouts::RouteTimeouts,
    },
    catalogue::Catalogue,
    fleet::{SharedFleet, StoreKeys, Vm},
    follow,
    health::Health,
    owner::{manager, tally::Tally},
    peer::sync,
    placement::{dispatch::Dispatcher, task},
    registration,
    report::Report,
    settings::Settings,
    store::{CountingStore, Store},
    target::TargetProtocol,
};

/// The most connections to one target from one VM.
const CONNECTIONS: usize = 24;
/// The most connections to one peer.
const PEER_CONNECTIONS: usize = 4;

quick_error! {
    /// Why a process could not start.
    #[derive(Debug)]
    pub enum Error {
        /// An address can't be listened on.
        Listen(address: SocketAddr, cause: io::Error) {
            display("step=listen peer={address} cause={cause}")
            source(cause)
        }
        /// There is a logger already.
        Log(cause: log::SetLoggerError) {
            display("step=log peer=process cause={cause}")
            source(cause)
        }
    }
}

/// What an adapter brings.
#[derive(Clone)]
pub struct Adapter {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Decodes what operators and targets wrote.
    pub catalogue: Rc<dyn Catalogue>,
    /// How targets are spoken to.
    pub targets: Rc<dyn TargetProtocol>,
    /// How callers are understood.
    pub callers: Rc<dyn CallerProtocol>,
}

impl std::fmt::Debug for Adapter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Adapter")
    }
}

/// Reads the settings file again; the text tells what is wrong with it.
pub type Reload = Box<dyn Fn() -> Result<Settings, String>>;

/// Runs a process until it is told to stop.
///
/// # Errors
///
/// [`Error`] when it could not start.
pub async fn run(
    settings: Settings,
    clock: Clock,
    adapter: Adapter,
    reload: Reload,
) -> Result<(), Error> {
    let report = Report::new(clock.clone());
    report.start_log(settings.log_level).map_err(Error::Log)?;
    let started = settings.clone();
    let process = Process::new(settings, clock, adapter, report.clone());
    let result = process.run(reload).await;
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
    shared_fleet: SharedFleet,
    keys: Rc<StoreKeys>,
    vm: Vm,
    store_health: Health,
    manager_health: Health,
    leading: Rc<Cell<bool>>,
    gate: Gate,
    tally: Tally,
    peers: Client,
}

impl Process {
    fn new(settings: Settings, clock: Clock, adapter: Adapter, report: Report) -> Self {
        let vm = Vm {
            name: settings.name.clone(),
            start: format!("{}/{:016x}", settings.name, rand::random::<u64>()),
            address: settings.peers,
            domain: settings.domain.clone(),
            capacity_millicores: settings.power,
        };
        let keys = Rc::new(StoreKeys {
            prefix: settings.prefix.clone(),
        });
        let peers = Client::new(clock.clone(), PEER_CONNECTIONS);
        let store = CountingStore::new(adapter.store.clone(), report.clone());
        let adapter = Adapter {
            store: Rc::new(store),
            ..adapter
        };
        Self {
            settings,
            clock,
            adapter,
            report,
            shared_fleet: SharedFleet::default(),
            keys,
            vm,
            store_health: Health::default(),
            manager_health: Health::default(),
            leading: Rc::default(),
            gate: Gate::default(),
            tally: Tally::default(),
            peers,
        }
    }

    async fn run(self, reload: Reload) -> Result<(), Error> {
        let listeners = Listeners::open(&self.settings).await?;
        self.report.line(&format!(
            "event=started vm={} start={} domain={} callers={} store={}",
            self.vm.name, self.vm.start, self.vm.domain, self.settings.callers, self.settings.store
        ));
        let callers = Control::default();
        self.follow();
        let dispatcher = self.start_desk();
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
        let exchange = self.exchange(&dispatcher, &manager);
        self.serve(listeners, &callers, &dispatcher, &exchange);
        spawn(sync::run(exchange));
        spawn(signals::watch_settings(
            reload,
            self.settings.clone(),
            self.clock.clone(),
            self.report.clone(),
        ));
        let starting = Lifecycle::new(Duties {
            clock: self.clock.clone(),
            report: self.report.clone(),
            shared_fleet: self.shared_fleet.clone(),
            gate: self.gate.clone(),
            grace: self.settings.grace,
            callers,
            manager,
            entry,
        });
        let leaving = match starting.until_ready().await {
            Ok(ready) => ready.until_told().await,
            Err(leaving) => leaving,
        };
        leaving.drain().await;
        Ok(())
    }

    fn follow(&self) {
        spawn(follow::run(follow::Context {
            store: self.adapter.store.clone(),
            catalogue: self.adapter.catalogue.clone(),
            keys: self.keys.clone(),
            shared_fleet: self.shared_fleet.clone(),
            store_health: self.store_health.clone(),
            manager_health: self.manager_health.clone(),
            leading: self.leading.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        }));
        spawn(follow::expire_targets(
            self.shared_fleet.clone(),
            self.clock.clone(),
            self.report.clone(),
        ));
    }

    fn start_desk(&self) -> task::Handle {
        let dispatcher = Dispatcher::new(
            &self.settings.domain,
            self.settings.retry_budget,
            rand::random(),
        )
        .with_vm(&self.settings.name, self.settings.burst_allowance);
        let handle = task::start(dispatcher, self.clock.clone(), self.report.clone());
        let (shared_fleet, shown) = (self.shared_fleet.clone(), handle.clone());
        let mut changes = shared_fleet.subscribe();
        spawn(async move {
            while changes.next().await.is_some() {
                while changes.try_recv().is_ok() {}
                shown.update_view(Rc::new(shared_fleet.get().view()));
            }
        });
        handle
    }

    fn start_manager(&self) -> mpsc::UnboundedSender<manager::Message> {
        manager::start(manager::Context {
            vm: self.vm.clone(),
            store: self.adapter.store.clone(),
            targets: self.adapter.targets.clone(),
            client: Client::new(self.clock.clone(), CONNECTIONS),
            shared_fleet: self.shared_fleet.clone(),
            catalogue: self.adapter.catalogue.clone(),
            leading: self.leading.clone(),
            store_health: self.store_health.clone(),
            keys: self.keys.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
            spans: self.settings.lease_limits,
        })
    }

    fn serve(
        &self,
        listeners: Listeners,
        callers: &Control,
        dispatcher: &task::Handle,
        exchange: &sync::Context,
    ) {
        let context = forward::Context {
            shared_fleet: self.shared_fleet.clone(),
            manager_health: self.manager_health.clone(),
            callers: self.adapter.callers.clone(),
            dispatcher: dispatcher.clone(),
            sender: Sender {
                client: Client::new(self.clock.clone(), CONNECTIONS),
                targets: self.adapter.targets.clone(),
                clock: self.clock.clone(),
            },
            early: StartupWait::new(&self.clock),
            patience: RouteTimeouts::default(),
            tally: self.tally.clone(),
            clock: self.clock.clone(),
            report: self.report.clone(),
        };
        let gate = self.gate.clone();
        spawn(serve::callers(
            listeners.callers,
            callers.clone(),
            context,
            gate.clone(),
        ));
        // These go on until the process ends: a stopping VM still says that it is not ready.
        let always = Control::default();
        spawn(serve::readiness(listeners.readiness, always.clone(), gate));
        let (shown, exchange) = (self.report.clone(), exchange.clone());
        let peers = move |request| sync::handle_request(exchange.clone(), request);
        spawn(server::serve(listeners.peers, always.clone(), peers));
        let metrics = move |_| {
            let text = shown.text();
            async move { Response::new(Body::from(text)) }
        };
        spawn(server::serve(listeners.metrics, always, metrics));
    }

    fn exchange(
        &self,
        dispatcher: &task::Handle,
        manager: &mpsc::UnboundedSender<manager::Message>,
    ) -> sync::Context {
        sync::Context {
            vm: self.vm.clone(),
            shared_fleet: self.shared_fleet.clone(),
            catalogue: self.adapter.catalogue.clone(),
            keys: self.keys.clone(),
            store_health: self.store_health.clone(),
            manager_health: self.manager_health.clone(),
            leading: self.leading.clone(),
            fleet_load: Rc::default(),
            lag: Rc::default(),
            tally: self.tally.clone(),
            dispatcher: dispatcher.clone(),
            manager: manager.clone(),
            seeds: self.settings.seeds.clone(),
            client: self.peers.clone(),
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
