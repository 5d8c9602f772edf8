//! The store, the targets and the VMs of one run, with the proxies between them.
//!
//! VMs reach the store and the targets only through proxies, so that a run can disturb each connection by itself.

use std::{fs, io, net::SocketAddr, path::PathBuf, time::Duration};

use bramleypier_platform_standin::{
    server::Server,
    store::Store,
    vm::{ListenAddresses, Program},
};
use quick_error::quick_error;
use serde_json::{Value, json};

use crate::{
    plan::{Plan, TARGETS_PER_SERVICE},
    proxy::{Partition, Proxy},
};

/// The keys of the callers' requests.
pub const KEYS: [u64; 4] = [777, 20_000, 45_000, 60_000];
/// The failure domain of the VMs and of most targets.
const DEFAULT_ZONE: &str = "z1";
/// The failure domain that plans evacuate.
pub const EVACUATED_ZONE: &str = "z2";
/// How long a target takes for a request.
const REQUEST_TIME: Duration = Duration::from_millis(15);

quick_error! {
    /// The reason why a run could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// A proxy could not be started.
        Proxy(cause: io::Error) {
            display("step=proxy peer=loopback cause={cause}")
            source(cause)
        }
        /// A VM's process could not be started.
        Start(vm: usize, cause: io::Error) {
            display("step=start peer=vm-{vm} cause={cause}")
            source(cause)
        }
    }
}

/// One VM, across restarts of its process.
#[derive(Debug)]
pub struct Vm {
    /// The number of the VM.
    pub number: usize,
    /// The proxy in front of the store.
    pub store: Proxy,
    /// The addresses where it listens.
    pub listen: ListenAddresses,
    /// The process; `None` while it is being restarted, or after it has ended unexpectedly.
    pub program: Option<Program>,
    /// The logs of earlier processes.
    pub logs: Vec<Vec<String>>,
}

impl Vm {
    /// Returns how many of its processes have ended so far.
    pub fn starts(&self) -> usize {
        self.logs.len()
    }

    /// Keeps the log of a process that has ended.
    pub fn keep_log(&mut self, program: &Program) {
        let lines = program.lines.lock();
        self.logs
            .push(lines.map(|it| it.clone()).unwrap_or_default());
    }

    /// Returns the peak memory of its process, in bytes; 0 if no process runs.
    pub fn peak_memory(&self) -> u64 {
        let Some(program) = &self.program else {
            return 0;
        };
        let file = format!("/proc/{}/status", program.child.id());
        let status = fs::read_to_string(file).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = line.and_then(|it| it.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }
}

/// A target with the proxy in front of it. A plan refers to targets by the index of their slot, so a replacement
/// takes over the slot of its predecessor.
#[derive(Debug)]
pub struct TargetSlot {
    /// The service of the target.
    pub service: &'static str,
    /// The target.
    pub server: Server,
    /// The proxy in front of the target.
    pub proxy: Proxy,
    /// The failure domain of the target.
    pub zone: &'static str,
    /// Whether VMs reach it without the proxy, so that connections are refused once it has ended.
    pub direct: bool,
}

impl TargetSlot {
    /// Starts a target with this number, and a proxy in front of it.
    ///
    /// # Errors
    ///
    /// [`Error::Proxy`] when the proxy can't be started.
    pub async fn start(
        service: &'static str,
        zone: &'static str,
        number: usize,
        partition: Partition,
        direct: bool,
    ) -> Result<Self, Error> {
        let id = format!("i-{service}-{number}");
        let server = Server::start(&id, service == "keyed", REQUEST_TIME).await;
        let proxy = Proxy::start_with(server.address, partition).map_err(Error::Proxy)?;
        Ok(Self {
            service,
            server,
            proxy,
            zone,
            direct,
        })
    }

    /// Returns the target's entry in the store, with the address where VMs reach it.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        self.entry_cold(state, Duration::ZERO)
    }

    /// Returns the same entry for a target that stays cold for `cold`.
    pub fn entry_cold(&self, state: &str, cold: Duration) -> Vec<u8> {
        let entry = self.server.entry_in(self.zone, self.service, state, cold);
        // The stand-in's entries are JSON objects.
        let mut entry: Value = serde_json::from_slice(&entry).unwrap_or_default();
        if !self.direct {
            entry["address"] = json!(self.proxy.address.to_string());
        }
        entry.to_string().into_bytes()
    }

    /// Returns the key of the entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.server.id)
    }
}

/// A target that has been replaced.
#[derive(Clone, Debug)]
pub struct Replaced {
    /// Its service.
    pub service: &'static str,
    /// The target.
    pub server: Server,
}

/// All parts of a run.
#[derive(Debug)]
pub struct Cluster {
    /// The store.
    pub store: Store,
    /// The address of the store.
    pub address: SocketAddr,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The targets; those in the first half own keys.
    pub slots: Vec<TargetSlot>,
    /// The targets that have been replaced.
    pub replaced: Vec<Replaced>,
    /// The VMs' processes that are partitioned from the targets.
    pub partition: Partition,
    binaries: Vec<PathBuf>,
    /// The parameters in the VMs' settings.
    figures: String,
    last_target: usize,
}

impl Cluster {
    /// Starts the store, the targets and all proxies; no VM runs yet.
    ///
    /// VMs run the builds at `binaries`, of which there is at least one, in turn: each start of a VM the next one.
    ///
    /// # Errors
    ///
    /// [`Error::Proxy`] when a proxy can't be started.
    pub async fn new(binaries: &[PathBuf], plan: &Plan) -> Result<Self, Error> {
        let (store, address) = Store::start().await;
        let mut cluster = Self {
            store,
            address,
            vms: Vec::new(),
            slots: Vec::new(),
            replaced: Vec::new(),
            partition: Partition::default(),
            binaries: binaries.to_vec(),
            figures: plan.figures(),
            last_target: 0,
        };
        for number in 0..2 * TARGETS_PER_SERVICE {
            let service = if number < TARGETS_PER_SERVICE {
                "keyed"
            } else {
                "plain"
            };
            let last = number % TARGETS_PER_SERVICE == TARGETS_PER_SERVICE - 1;
            let zone = if plan.evacuates && last {
                EVACUATED_ZONE
            } else {
                DEFAULT_ZONE
            };
            let (number, partition) = (cluster.next_target(), cluster.partition.clone());
            let direct = plan.direct_targets && number % 2 == 1;
            let slot = TargetSlot::start(service, zone, number, partition, direct).await?;
            cluster.store.put(&slot.key(), &slot.entry("ready"));
            cluster.slots.push(slot);
        }
        for number in 0..plan.size.vms {
            cluster.vms.push(Vm {
                number,
                store: Proxy::start(address).map_err(Error::Proxy)?,
                listen: ListenAddresses::on_free_ports(),
                program: None,
                logs: Vec::new(),
            });
        }
        Ok(cluster)
    }

    /// Returns a number that no target has used yet.
    pub fn next_target(&mut self) -> usize {
        self.last_target += 1;
        self.last_target
    }

    /// Starts a VM's process.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] when it can't be started.
    pub fn start(&mut self, number: usize) -> Result<(), Error> {
        let others = self.vms.iter().filter(|vm| vm.number != number);
        let seeds: Vec<String> = others
            .take(3)
            .map(|vm| vm.listen.peers.to_string())
            .collect();
        let vm = &mut self.vms[number];
        let next = (number + vm.starts()) % self.binaries.len();
        let program = Program::start_with_figures(
            &self.binaries[next],
            &format!("vm-{number}"),
            vm.store.address,
            &seeds.join(","),
            vm.listen,
            &self.figures,
        );
        vm.program = Some(program.map_err(|cause| Error::Start(number, cause))?);
        Ok(())
    }

    /// Returns how many of the current targets own a key now.
    pub fn owners(&self, key: u64) -> usize {
        let servers = self.slots.iter().map(|slot| &slot.server);
        servers.filter(|server| server.holds(key)).count()
    }

    /// Returns the ids of all requests that ran; an id appears once for each time.
    pub fn executions(&self) -> Vec<String> {
        let servers = self.servers().into_iter();
        servers.flat_map(|(_, server)| server.ran()).collect()
    }

    /// Returns all targets with their services, also those that have been replaced.
    pub fn servers(&self) -> Vec<(&'static str, &Server)> {
        let current = self.slots.iter().map(|it| (it.service, &it.server));
        let replaced = self.replaced.iter().map(|it| (it.service, &it.server));
        current.chain(replaced).collect()
    }
}
