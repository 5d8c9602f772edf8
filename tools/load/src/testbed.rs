//! Starts a fleet of real processes on loopback for a measurement and reads their counters.

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
    run::{self, RunResults},
    usage::Usage,
};

/// Timeout for services to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of keys that must be served before a measurement starts.
const READY_KEYS: usize = 100;
/// Failure domains, assigned to the VMs in turn.
const DOMAINS: [&str; 3] = ["uio-norte", "uio-centro", "uio-sur"];

quick_error! {
    /// Reason why a measurement failed.
    #[derive(Debug)]
    pub enum Error {
        /// An operation on the fleet failed.
        Fleet(cause: fleet::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A service couldn't be set up.
        Service(cause: services::Error) {
            from()
            display("{cause}")
            source(cause)
        }
        /// An address is invalid.
        Address(text: String, cause: AddrParseError) {
            display("address {text:?}: {cause}")
            source(cause)
        }
        /// The load couldn't be sent, or a file couldn't be read or written.
        Load(step: &'static str, cause: io::Error) {
            display("step={step} cause={cause}")
            source(cause)
        }
    }
}

/// Composition of a fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Executable of the VMs; by default it is looked up next to the running executable.
    pub program: Option<PathBuf>,
    /// Documents of the services.
    pub documents: Vec<PathBuf>,
    /// Number of VMs.
    pub vms: usize,
}

/// Part of a VM's status that is read here.
#[derive(Debug, Deserialize)]
struct Status {
    totals: IndexMap<String, i64>,
}

/// Running fleet with its services.
#[derive(Debug)]
pub struct Testbed {
    /// Processes of the fleet.
    pub fleet: Fleet,
    /// Documents of the services, with the targets' actual addresses.
    pub documents: Vec<Document>,
    /// Names of the VMs.
    pub vms: Vec<String>,
    /// Addresses of targets that don't check grants and stand in no document.
    pub plain_targets: Vec<SocketAddr>,
}

impl Testbed {
    /// Starts all processes and waits until all services are ready.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started, or a service isn't ready in time.
    pub async fn start(setup: &Setup) -> Result<Self, Error> {
        let mut testbed = Self {
            fleet: Fleet::start(setup.program.clone()).await?,
            documents: Vec::new(),
            vms: Vec::new(),
            plain_targets: Vec::new(),
        };
        for path in &setup.documents {
            testbed.add_targets(path).await?;
        }
        for number in 0..setup.vms {
            let name = format!("vm-{}", number + 1);
            let domain = DOMAINS[number % DOMAINS.len()];
            testbed.fleet.add_vm(&name, domain, false).await?;
            testbed.vms.push(name);
        }
        for document in &mut testbed.documents {
            services::put(&testbed.fleet, &testbed.vms[0], document).await?;
        }
        testbed.wait_ready().await?;
        Ok(testbed)
    }

    /// Starts the targets of a document; their work time is zero unless a request names one.
    async fn add_targets(&mut self, path: &Path) -> Result<(), Error> {
        let loaded = Document::load(path);
        let mut document = loaded.map_err(|cause| Error::Load("document", cause))?;
        for (name, target) in document.targets.clone() {
            let checks = format!("--checks={}", target.checks_grants);
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

    /// Starts targets that don't check grants, for direct requests.
    ///
    /// # Errors
    ///
    /// Fails when a target can't be started.
    pub async fn add_plain_targets(&mut self, count: usize) -> Result<(), Error> {
        for number in 0..count {
            let name = format!("plain-{number}");
            let arguments = ["--checks=false", "--work-ms=0", "--fixed"];
            let started = self.fleet.add_target(&name, DOMAINS[0], false, &arguments);
            self.plain_targets.push(parse_address(&started.await?)?);
            // No document names this target, so it doesn't need to stay in the platform's list.
            self.fleet.deregister(&name).await?;
        }
        Ok(())
    }

    /// Returns the number of requests that the targets of all documents can run at the same time.
    pub fn slots(&self) -> u32 {
        let documents = self.documents.iter();
        let targets = documents.flat_map(|document| document.targets.values());
        targets
            .filter_map(|target| target.slots.parse::<u32>().ok())
            .sum()
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        for vm in &self.vms {
            let entry = self.fleet.vms.get(vm).map(|vm| vm.caller_address.clone());
            let callers = Callers::new(entry.into_iter().collect(), Duration::from_secs(2));
            for document in &self.documents {
                let keys = services::keys(&document.service, READY_KEYS);
                services::wait_ready(&callers, &document.service, &keys, READY_TIMEOUT).await?;
            }
        }
        Ok(())
    }

    /// Returns the addresses of the running VMs for callers.
    ///
    /// # Errors
    ///
    /// Fails when an address is invalid.
    pub fn entry_addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        self.fleet
            .caller_addresses()
            .iter()
            .map(|text| parse_address(text))
            .collect()
    }

    /// Returns the addresses of the targets of a service.
    ///
    /// # Errors
    ///
    /// Fails when an address is invalid.
    pub fn targets(&self, service: &str) -> Result<Vec<SocketAddr>, Error> {
        let document = self.documents.iter().find(|other| other.service == service);
        let names = document.map(|document| document.targets.keys());
        let targets = names.into_iter().flatten().filter_map(|name| {
            let target = self.fleet.targets.get(name);
            target.map(|target| parse_address(&target.address))
        });
        targets.collect()
    }

    /// Reads the processor time and memory that a VM or target has used so far.
    ///
    /// # Errors
    ///
    /// Fails when the process isn't running.
    pub fn usage(&self, name: &str) -> Result<Usage, Error> {
        let usage = Usage::read(self.fleet.process_id(name)?);
        usage.map_err(|cause| Error::Load("usage", cause))
    }

    /// Returns a VM's counters by metric and service.
    ///
    /// # Errors
    ///
    /// Fails when the VM doesn't answer.
    pub async fn totals(&self, vm: &str) -> Result<IndexMap<String, i64>, Error> {
        let vm = self.fleet.vms.get(vm);
        let peer = vm.map_or("", |vm| vm.peer_address.as_str());
        let status = self
            .fleet
            .client()
            .get_json::<Status>(peer, "/admin/status");
        let status = status.await.map_err(fleet::Error::from)?;
        Ok(status.totals)
    }
}

/// Returns the sum of a counter over all services.
///
/// # Example
///
/// ```
/// use bramleypier_load::testbed;
/// use indexmap::indexmap;
///
/// let totals = indexmap! { "requests.ran{service=a}".into() => 2, "requests.ran{service=b}".into() => 3 };
/// assert_eq!(testbed::metric_sum(&totals, "requests.ran"), 5);
/// ```
pub fn metric_sum(totals: &IndexMap<String, i64>, metric: &str) -> i64 {
    let matching = totals.iter().filter(|(name, _)| is_metric(name, metric));
    matching.map(|(_, value)| value).sum()
}

/// Returns whether the name of a counter, with or without a service, is that of a metric.
fn is_metric(name: &str, metric: &str) -> bool {
    name.split('{').next() == Some(metric)
}

fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|cause| Error::Address(text.to_owned(), cause))
}

/// Runs a load on its own threads while the calling task awaits it.
///
/// # Errors
///
/// Fails when a worker can't start or can't write its log.
pub async fn run_load(config: &Config) -> Result<RunResults, Error> {
    let config = config.clone();
    let task = runtime::spawn_blocking(move || run::run(&config, |_, _| ()));
    let results = task.await;
    results
        .unwrap_or_else(|_| Err(io::Error::other("the load panicked")))
        .map_err(|cause| Error::Load("load", cause))
}
