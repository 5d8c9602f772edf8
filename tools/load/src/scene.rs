//! A fleet of real processes on loopback, set up for a measurement.

use std::{
    io,
    net::{AddrParseError, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use bramleypier_standins::{caller::Callers, document::Document, fleet, fleet::Fleet, services};
use compio::runtime;
use indexmap::IndexMap;
use quick_error::quick_error;
use serde::Deserialize;

use crate::{
    config::Config,
    run::{self, Outcome},
    usage::Usage,
};

/// How long services may take until they are served.
const READY: Duration = Duration::from_secs(30);
/// How many keys must be served before a measurement starts.
const READY_KEYS: usize = 100;
/// The failure domains, one after the other.
const DOMAINS: [&str; 3] = ["uio-norte", "uio-centro", "uio-sur"];

quick_error! {
    /// Why a measurement did not come about.
    #[derive(Debug)]
    pub enum Error {
        /// A step with the fleet failed.
        Fleet(cause: fleet::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A service could not be set up.
        Service(cause: services::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// An address is none.
        Address(text: String, cause: AddrParseError) {
            display("address {text:?}: {cause}")
            source(cause)
        }
        /// The load could not be sent, or a file not written.
        Load(step: &'static str, cause: io::Error) {
            display("step={step} cause={cause}")
            source(cause)
        }
    }
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program of the VMs; found beside the running one unless it is given.
    pub program: Option<PathBuf>,
    /// The documents of the services.
    pub documents: Vec<PathBuf>,
    /// How many VMs there are.
    pub vms: usize,
}

/// The part of a VM's status that is read.
#[derive(Debug, Deserialize)]
struct Status {
    totals: IndexMap<String, i64>,
}

/// A fleet that serves.
#[derive(Debug)]
pub struct Scene {
    /// The processes.
    pub fleet: Fleet,
    /// The services' documents, with the targets' real addresses.
    pub documents: Vec<Document>,
    /// The VMs' names.
    pub vms: Vec<String>,
    /// Where targets are that check no grants and are on no document.
    pub plain: Vec<SocketAddr>,
}

impl Scene {
    /// Starts everything and waits until all services are served.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started, or a service isn't served in time.
    pub async fn start(setup: &Setup) -> Result<Self, Error> {
        let mut scene = Self {
            fleet: Fleet::start(setup.program.clone()).await?,
            documents: Vec::new(),
            vms: Vec::new(),
            plain: Vec::new(),
        };
        for path in &setup.documents {
            scene.add_targets(path).await?;
        }
        for number in 0..setup.vms {
            let name = format!("vm-{}", number + 1);
            let domain = DOMAINS[number % DOMAINS.len()];
            scene.fleet.add_vm(&name, domain, false).await?;
            scene.vms.push(name);
        }
        for document in &mut scene.documents {
            services::put(&scene.fleet, &scene.vms[0], document).await?;
        }
        scene.wait_ready().await?;
        Ok(scene)
    }

    /// Starts the targets of a document; the callers name the time of the work.
    async fn add_targets(&mut self, path: &Path) -> Result<(), Error> {
        let loaded = Document::load(path);
        let mut document = loaded.map_err(|cause| Error::Load("document", cause))?;
        for (name, target) in document.targets.clone() {
            let checks = format!("--checks={}", target.checks);
            let slots = format!("--slots={}", target.slots);
            let arguments = [checks.as_str(), &slots, "--work-ms=0", "--fixed"];
            let started = self
                .fleet
                .add_target(&name, &target.domain, false, &arguments);
            document.set_address(&name, &started.await?);
        }
        self.documents.push(document);
        Ok(())
    }

    /// Starts targets that check no grants, for work straight at them.
    ///
    /// # Errors
    ///
    /// Fails when one can't be started.
    pub async fn add_plain(&mut self, count: usize) -> Result<(), Error> {
        for number in 0..count {
            let name = format!("plain-{number}");
            let arguments = ["--checks=false", "--work-ms=0", "--fixed"];
            let started = self.fleet.add_target(&name, DOMAINS[0], false, &arguments);
            self.plain.push(parse(&started.await?)?);
            // It is on no document; the list need not name it.
            self.fleet.unlist(&name).await?;
        }
        Ok(())
    }

    /// Returns how many requests all targets on documents run at a time.
    pub fn slots(&self) -> u32 {
        let documents = self.documents.iter();
        let targets = documents.flat_map(|document| document.targets.values());
        targets
            .filter_map(|target| target.slots.parse::<u32>().ok())
            .sum()
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        for vm in &self.vms {
            let entry = self.fleet.vms.get(vm).map(|vm| vm.caller.clone());
            let callers = Callers::new(entry.into_iter().collect(), Duration::from_secs(2));
            for document in &self.documents {
                let keys = services::keys(&document.service, READY_KEYS);
                services::wait_ready(&callers, &document.service, &keys, READY).await?;
            }
        }
        Ok(())
    }

    /// Returns where callers reach the VMs that run.
    ///
    /// # Errors
    ///
    /// Fails when an address is none.
    pub fn callers(&self) -> Result<Vec<SocketAddr>, Error> {
        self.fleet
            .callers()
            .iter()
            .map(|text| parse(text))
            .collect()
    }

    /// Returns where the targets of a service are.
    ///
    /// # Errors
    ///
    /// Fails when an address is none.
    pub fn targets(&self, service: &str) -> Result<Vec<SocketAddr>, Error> {
        let document = self.documents.iter().find(|other| other.service == service);
        let names = document.map(|document| document.targets.keys());
        let targets = names.into_iter().flatten().filter_map(|name| {
            let target = self.fleet.targets.get(name);
            target.map(|target| parse(&target.address))
        });
        targets.collect()
    }

    /// Reads what a VM or target has spent so far.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't run.
    pub fn usage(&self, name: &str) -> Result<Usage, Error> {
        let usage = Usage::read(self.fleet.id(name)?);
        usage.map_err(|cause| Error::Load("usage", cause))
    }

    /// Returns a VM's counts, by metric and service.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't answer.
    pub async fn totals(&self, vm: &str) -> Result<IndexMap<String, i64>, Error> {
        let vm = self.fleet.vms.get(vm);
        let peer = vm.map_or("", |vm| vm.peer.as_str());
        let status = self
            .fleet
            .client()
            .get_json::<Status>(peer, "/admin/status");
        let status = status.await.map_err(fleet::Error::from)?;
        Ok(status.totals)
    }
}

/// Returns the sum of a metric over all services.
///
/// # Example
///
/// ```
/// use bramleypier_load::scene;
/// use indexmap::indexmap;
///
/// let totals = indexmap! { "requests.ran{service=a}".into() => 2, "requests.ran{service=b}".into() => 3 };
/// assert_eq!(scene::total(&totals, "requests.ran"), 5);
/// ```
pub fn total(totals: &IndexMap<String, i64>, metric: &str) -> i64 {
    let own = totals.iter().filter(|(name, _)| is_of(name, metric));
    own.map(|(_, value)| value).sum()
}

/// Returns whether a total's name, with or without a service, is that of a metric.
fn is_of(name: &str, metric: &str) -> bool {
    name.split('{').next() == Some(metric)
}

fn parse(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|cause| Error::Address(text.to_owned(), cause))
}

/// Runs load beside the calling task.
///
/// # Errors
///
/// Fails when a worker can't start, or can't write its log.
pub async fn load(config: &Config) -> Result<Outcome, Error> {
    let config = config.clone();
    let task = runtime::spawn_blocking(move || run::run(&config, |_, _| ()));
    let outcome = task.await;
    outcome
        .unwrap_or_else(|_| Err(io::Error::other("the load panicked")))
        .map_err(|cause| Error::Load("load", cause))
}
