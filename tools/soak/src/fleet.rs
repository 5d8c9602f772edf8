//! The store, the targets and the VMs of one run, with the proxies between them.
//!
//! VMs reach the store and the targets only through proxies, so that a run can disturb each connection by itself.

use std::{fs, io, net::SocketAddr, path::PathBuf, time::Duration};

use bramleypier_platform_standin::{
    server::{Capacity, Server},
    store::Store,
    vm::{ListenAddresses, Program},
};
use quick_error::quick_error;
use serde_json::{Value, json};

use crate::{
    deployment::{self, Service},
    plan::{Plan, Shape, TARGETS_PER_SERVICE},
    proxy::{Partition, Proxy},
};

/// The keys of the callers' requests.
pub const KEYS: [u64; 4] = [777, 20_000, 45_000, 60_000];
/// The failure domain of the VMs and of most targets.
const DEFAULT_ZONE: &str = "z1";
/// The failure domain that plans evacuate.
pub const EVACUATED_ZONE: &str = "z2";
/// The services of most plans, whose targets take any number of requests.
const SERVICES: [Service; 2] = [
    Service {
        name: "keyed",
        targets: TARGETS_PER_SERVICE,
        work_time: Duration::from_millis(15),
    },
    Service {
        name: "plain",
        targets: TARGETS_PER_SERVICE,
        work_time: Duration::from_millis(15),
    },
];
/// What a target of a deployment takes at once.
const CAPACITY: Capacity = Capacity {
    slots: deployment::SLOTS,
    queue: deployment::QUEUE,
};

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
    /// Returns whether a process of it has run.
    pub fn has_started(&self) -> bool {
        self.program.is_some() || !self.logs.is_empty()
    }

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
    /// How long it takes for a request.
    pub work_time: Duration,
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
        service: &Service,
        zone: &'static str,
        number: usize,
        partition: Partition,
        direct: bool,
    ) -> Result<Self, Error> {
        let Service {
            name, work_time, ..
        } = *service;
        let id = format!("i-{name}-{number}");
        let server = Server::start(&id, name == "keyed", work_time).await;
        let proxy = Proxy::start_with(server.address, partition).map_err(Error::Proxy)?;
        Ok(Self {
            service: name,
            work_time,
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

/// A target that has a number and isn't started yet.
#[derive(Clone, Debug)]
pub struct StartingTarget {
    service: Service,
    number: usize,
    partition: Partition,
    capacity: Option<Capacity>,
}

impl StartingTarget {
    /// Starts it in a failure domain.
    ///
    /// # Errors
    ///
    /// [`Error::Proxy`] when the proxy in front of it can't be started.
    pub async fn start(self, zone: &'static str, direct: bool) -> Result<TargetSlot, Error> {
        let Self {
            service,
            number,
            partition,
            capacity,
        } = self;
        let slot = TargetSlot::start(&service, zone, number, partition, direct).await?;
        slot.server.set_capacity(capacity);
        Ok(slot)
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
    services: &'static [Service],
    /// What a target takes at once; `None` for any number of requests.
    capacity: Option<Capacity>,
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
            services: match plan.shape {
                Shape::Small => &SERVICES,
                Shape::Deployment => &deployment::SERVICES,
            },
            capacity: (plan.shape == Shape::Deployment).then_some(CAPACITY),
            last_target: 0,
        };
        for service in cluster.services {
            for number in 1..=service.targets {
                let last = number == service.targets;
                let zone = if plan.evacuates && last {
                    EVACUATED_ZONE
                } else {
                    DEFAULT_ZONE
                };
                let direct = plan.direct_targets && cluster.last_target.is_multiple_of(2);
                let slot = cluster.start_target(service.name, zone, direct).await?;
                cluster.store.put(&slot.key(), &slot.entry("ready"));
                cluster.slots.push(slot);
            }
        }
        for number in 0..plan.size.vms + plan.spare_vms() {
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

    /// Starts a target of a service, with a number that no other has.
    ///
    /// # Errors
    ///
    /// [`Error::Proxy`] when the proxy in front of it can't be started.
    pub async fn start_target(
        &mut self,
        service: &str,
        zone: &'static str,
        direct: bool,
    ) -> Result<TargetSlot, Error> {
        self.prepare_target(service).start(zone, direct).await
    }

    /// Reserves a number for a target of a service, which can be started while the cluster is in use.
    pub fn prepare_target(&mut self, service: &str) -> StartingTarget {
        self.last_target += 1;
        let mut services = self.services.iter();
        StartingTarget {
            service: *services
                .find(|it| it.name == service)
                .unwrap_or(&self.services[0]),
            number: self.last_target,
            partition: self.partition.clone(),
            capacity: self.capacity,
        }
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
